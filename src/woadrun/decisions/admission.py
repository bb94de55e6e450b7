"""Early refusal, limits of rows and retry budgets."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

# Up to so many units for each domain a limit is kept whole by one domain:
# cut into shares it would leave some domains with nothing.
SPLIT_FROM = 8
# A retry budget saves up at most this many retries.
MOST_RETRIES = 10.0
# Most places or calls that are lent ahead of need.
MOST_SPARE = 16


def get_share(limit: int, domains: Sequence[str], domain: str) -> int:
  """Returns the part of a limit that one domain may use by itself.

  The parts add up to the limit, so that it holds while domains are cut
  off from each other.
  """
  ordered = sorted(domains)
  index = ordered.index(domain)
  count = len(ordered)
  return limit * (index + 1) // count - limit * index // count


def is_split(limit: float, domains: Sequence[str]) -> bool:
  """Returns whether each domain keeps a part of the limit itself."""
  return limit >= SPLIT_FROM * len(domains)


def get_spare(free: int, members: int) -> int:
  """Returns how much of a free limit to lend ahead of need to one daemon.

  So little that all daemons together could take as much and leave half.
  """
  return max(0, min(MOST_SPARE, free // (2 * max(1, members))))


def estimate_return(waiting: int, slots: int, seconds: float) -> float:
  """Returns the seconds until a refused call has a chance to start."""
  return max(0.5, waiting / max(1, slots) * seconds)


def fill(level: float, *, seconds: float, rate: float, burst: float) -> float:
  """Returns the level of a token bucket after some seconds."""
  return min(burst, level + seconds * rate)


@dataclasses.dataclass(kw_only=True)
class Bucket:
  """A token bucket; `rate` in units a second."""

  rate: float
  burst: float
  level: float
  filled_at: float

  def take(self, now: float) -> float:
    """Returns 0 and takes one unit, or the seconds until there is one."""
    seconds = now - self.filled_at
    self.level = fill(
      self.level, seconds=seconds, rate=self.rate, burst=self.burst
    )
    self.filled_at = now
    if self.level >= 1.0:
      self.level -= 1.0
      return 0.0
    if self.rate <= 0:
      return 60.0
    return (1.0 - self.level) / self.rate


@dataclasses.dataclass(kw_only=True)
class RetryBudget:
  """Retries that first calls have earned."""

  level: float = 1.0

  def note_call(self, share: float) -> None:
    """Earns the row's share of a retry."""
    self.level = min(MOST_RETRIES, self.level + share)

  def take(self) -> bool:
    """Returns whether one more retry is within the budget, and takes it."""
    if self.level < 1.0:
      return False
    self.level -= 1.0
    return True
