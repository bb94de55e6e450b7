"""Weighted max-min fair division of a quantity."""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Mapping
from typing import TypeVar

_Key = TypeVar('_Key', bound=Hashable)

DEFAULT_WEIGHT = 1.0


def divide(
  total: float,
  demand_by_key: Mapping[_Key, float],
  weight_by_key: Mapping[_Key, float],
) -> dict[_Key, float]:
  """Divides `total` by weighted max-min fairness.

  A key whose demand is below its weighted part gets its demand, and what it
  leaves is divided among the others by weight.  Keys without a weight have
  `DEFAULT_WEIGHT`; weights are positive.
  """

  def get_weight(key: _Key) -> float:
    return weight_by_key.get(key, DEFAULT_WEIGHT)

  # In order of demand per weight, each key either is satisfied or gets the same
  # part per weight as all keys after it.
  keys = sorted(
    demand_by_key, key=lambda key: demand_by_key[key] / get_weight(key)
  )
  left = max(0.0, total)
  weight_left = sum(map(get_weight, keys))
  share_by_key: dict[_Key, float] = {}
  for key in keys:
    weight = get_weight(key)
    # Rounding may leave `weight_left` below the last weight.
    part = left * min(1.0, weight / max(weight, weight_left))
    share = min(max(0.0, demand_by_key[key]), part)
    share_by_key[key] = share
    left -= share
    weight_left -= weight
  return share_by_key
