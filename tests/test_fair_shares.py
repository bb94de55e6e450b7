"""Weighted max-min fairness: no part is unfair, and none is wasted."""

import hypothesis
from hypothesis import strategies
import pytest

from woadrun.decisions import fair_shares

KEYS = strategies.sampled_from('abcdefgh')
AMOUNTS = strategies.floats(0, 1e6)
DEMANDS = strategies.dictionaries(KEYS, AMOUNTS)
WEIGHTS = strategies.dictionaries(KEYS, strategies.floats(0.01, 1000))


@hypothesis.given(total=AMOUNTS, demand_by_key=DEMANDS, weight_by_key=WEIGHTS)
def test_shares_are_max_min_fair(total, demand_by_key, weight_by_key):
  shares = fair_shares.divide(total, demand_by_key, weight_by_key)
  assert shares.keys() == demand_by_key.keys()
  expected = min(total, sum(demand_by_key.values()))
  assert sum(shares.values()) == pytest.approx(expected, abs=1e-6)
  levels = {k: s / weight_by_key.get(k, 1.0) for k, s in shares.items()}
  for key, share in shares.items():
    assert 0 <= share <= demand_by_key[key]
    if share < demand_by_key[key] * (1 - 1e-9) - 1e-9:
      # Nobody has more per weight than one that wants more.
      assert levels[key] >= max(levels.values()) * (1 - 1e-6) - 1e-6


def test_a_small_demand_is_met_and_the_rest_divided_by_weight():
  shares = fair_shares.divide(
    10.0, {'a': 1.0, 'b': 90.0, 'c': 90.0}, {'b': 2.0}
  )
  assert shares == pytest.approx({'a': 1.0, 'b': 6.0, 'c': 3.0})
