"""Instances that are leaving the platform's list, or have left it.

An instance that ends as planned first says that it is draining, or leaves the
list, and goes on for a known time.  One that ends sooner has not ended as
planned.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
  from woadrun.version import instances

# Maximum number of departures; the oldest ones are dropped first.
MAX_DEPARTURES = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Departure:
  """An instance that began to drain, or left the list, at a monotonic time."""

  instance: instances.Instance
  at: float


class Departures:
  """The latest departures, by incarnation."""

  def __init__(
    self, *, get_now: Callable[[], float] = lambda: time.monotonic()
  ) -> None:
    self._get_now = get_now
    self._by_incarnation_id: dict[str, Departure] = {}

  def record(self, instance: instances.Instance) -> None:
    """Records that an instance is draining or is not listed any more.

    The first of both counts.
    """
    id = instance.incarnation_id
    if id in self._by_incarnation_id:
      return
    self._by_incarnation_id[id] = Departure(
      instance=instance, at=self._get_now()
    )
    if len(self._by_incarnation_id) > MAX_DEPARTURES:
      del self._by_incarnation_id[next(iter(self._by_incarnation_id))]

  def withdraw(self, incarnation_id: str) -> None:
    """Records that an instance is listed as ready."""
    self._by_incarnation_id.pop(incarnation_id, None)

  def find(self, incarnation_id: str) -> Departure | None:
    """Returns the departure of an instance, or None if none is known."""
    return self._by_incarnation_id.get(incarnation_id)
