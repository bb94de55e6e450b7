"""Shares of row limits, token buckets, retry budgets and early refusal."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses

# A limit below this many units per failure domain is held by a single domain:
# divided into shares, it would leave some domains with nothing.
MIN_UNITS_PER_DOMAIN = 8
# A retry budget accumulates at most this many retries.
MAX_SAVED_RETRIES = 10.0
# At most this many places or calls are lent to a daemon in advance.
MAX_LENT_IN_ADVANCE = 16


def get_share(limit: int, domains: Sequence[str], domain: str) -> int:
  """Returns the share of a limit that one failure domain enforces alone.

  The shares add up to the limit, so the limit holds during a network
  partition between domains.
  """
  ordered = sorted(domains)
  index = ordered.index(domain)
  count = len(ordered)
  return limit * (index + 1) // count - limit * index // count


def is_split(limit: float, domains: Sequence[str]) -> bool:
  """Returns whether the limit is divided into one share per domain."""
  return limit >= MIN_UNITS_PER_DOMAIN * len(domains)


def get_prefetch_units(free: int, members: int) -> int:
  """Returns how many free units to lend to one daemon in advance.

  `free` counts the units of the limit that are not lent, `members` the
  daemons that may borrow.  If every daemon borrows as much, half of `free`
  is left.
  """
  return max(0, min(MAX_LENT_IN_ADVANCE, free // (2 * max(1, members))))


def estimate_wait(ahead: float, slots: int, seconds: float) -> float:
  """Returns the seconds until a call that finds all slots busy can begin.

  `ahead` counts the calls that are served before it, `slots` the calls that run
  concurrently, and `seconds` is the mean duration of a call.
  """
  return (ahead + 1) / max(1, slots) * seconds


def fill(level: float, *, seconds: float, rate: float, burst: float) -> float:
  """Returns the level of a token bucket after `seconds` of refill at `rate`."""
  return min(burst, level + seconds * rate)


@dataclasses.dataclass(kw_only=True)
class TokenBucket:
  """A token bucket.

  `rate` is in units per second, `burst` and `level` in units.  `filled_at` is
  the time of the last refill, in seconds.
  """

  rate: float
  burst: float
  level: float
  filled_at: float

  def take(self, now: float) -> float:
    """Takes one unit, if the bucket has one.

    Returns 0 if the unit was taken, else the seconds until one is available.
    """
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
  """Limits retries to a fraction of first calls.

  `level` is the number of retries that are available.
  """

  level: float = 1.0

  def note_call(self, share: float) -> None:
    """Adds `share` of a retry to the budget, for one first call."""
    self.level = min(MAX_SAVED_RETRIES, self.level + share)

  def take(self) -> bool:
    """Takes one retry; returns False if the budget has none left."""
    if self.level < 1.0:
      return False
    self.level -= 1.0
    return True
