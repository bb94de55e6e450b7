"""Durations that were observed, and how long to wait for what has none.

Some waits have no line: a request waits for an answer that may come at any
moment or not at all.  Such a wait leaves the caller time for the work itself.
"""

from __future__ import annotations

import dataclasses

# Weight of the newest duration in the moving averages: requests differ by a
# factor of ten, so that a few samples say little.
EWMA_WEIGHT = 0.05
# Mean without any sample.
INITIAL_ESTIMATE_SECONDS = 0.2


@dataclasses.dataclass(kw_only=True)
class UsualDuration:
  """Moving averages, in seconds, of durations and of their distance from it."""

  mean: float = INITIAL_ESTIMATE_SECONDS
  deviation: float = 0.0

  def record(self, seconds: float, *, is_failure: bool = False) -> None:
    """Adds a duration.  A failure never lowers the averages."""
    distance = seconds - self.mean
    if is_failure:
      self.mean += EWMA_WEIGHT * max(0.0, distance)
      return
    self.deviation += EWMA_WEIGHT * (abs(distance) - self.deviation)
    self.mean += EWMA_WEIGHT * distance

  @property
  def seconds(self) -> float:
    """A duration that most do not exceed: the mean and one mean deviation."""
    return self.mean + self.deviation


def limit_wait(
  seconds_left: float, *, work_seconds: float, answer_seconds: float
) -> float:
  """Returns for how many seconds a request waits for an answer.

  `seconds_left` is the time of its caller, `work_seconds` the usual duration of
  the work that follows, and `answer_seconds` the usual time until the answer.
  A caller without the time for the work does not wait for a late answer.
  """
  return min(seconds_left, max(seconds_left - work_seconds, answer_seconds))
