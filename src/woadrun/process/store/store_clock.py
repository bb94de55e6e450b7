"""Estimate of the row store's monotonic clock.

Daemons have no common clock.  They exchange times as readings of the store's
clock, of which each daemon keeps bounds derived from its own round trips.
"""

from __future__ import annotations

import math

# Maximum drift between two monotonic clocks, in seconds per second.
MAX_DRIFT = 2e-4


class StoreClock:
  """Bounds of the store's clock relative to the local monotonic clock."""

  def __init__(self) -> None:
    self._min_offset = -math.inf
    self._max_offset = math.inf
    self._updated_at = 0.0

  @property
  def is_known(self) -> bool:
    """Whether there has been any reading of the store's clock."""
    return self._max_offset < math.inf

  def record_reading(
    self, reading: float, *, began: float, ended: float
  ) -> None:
    """Records a reading that was taken between two local times."""
    self.record_bounds((reading, reading), began=began, ended=ended)

  def record_bounds(
    self, reading: tuple[float, float], *, began: float, ended: float
  ) -> None:
    """Records bounds of a reading that was taken between two local times."""
    drift = MAX_DRIFT * max(0.0, ended - self._updated_at)
    min_offset, max_offset = reading[0] - ended, reading[1] - began
    self._min_offset = max(self._min_offset - drift, min_offset)
    self._max_offset = min(self._max_offset + drift, max_offset)
    if self._min_offset > self._max_offset:
      # The store's clock was reset: earlier readings are void.
      self._min_offset, self._max_offset = min_offset, max_offset
    self._updated_at = ended

  def get_bounds(self, now: float) -> tuple[float, float] | None:
    """Returns the bounds of the store's clock at a local time.

    Returns None if there was no reading.
    """
    if not self.is_known:
      return None
    drift = MAX_DRIFT * max(0.0, now - self._updated_at)
    return now + self._min_offset - drift, now + self._max_offset + drift

  def get_age(self, reading: float, now: float) -> float:
    """Returns the most seconds since a reading of the store's clock.

    Returns infinity if there was no reading.
    """
    bounds = self.get_bounds(now)
    return math.inf if bounds is None else bounds[1] - reading
