"""Token bucket that limits the requests of a team to its rate.

Load pattern: a team at its limit sends a burst.  A request whose unit becomes
available soon is granted it in advance and waits for it.  Over any period of
time, granted requests never exceed the rate times the length of the period plus
one burst.
"""

from __future__ import annotations

import dataclasses

from woadrun.decisions import admission

# A unit is granted at most this long before it is available: if the owner of
# the rate is lost, the next one does not know of such units.
MAX_ADVANCE_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True)
class BucketState:
  """The state of a token bucket, without its rate and burst.

  `level` is the number of available units; it is negative if units were granted
  in advance.  `updated_at` is the time of the last update of `level`, in
  seconds.
  """

  level: float
  updated_at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
  """The result of a request for one unit.

  A granted unit may be used after `wait`; a refused request may be retried
  after `retry_after`.  Both are in seconds.
  """

  is_granted: bool
  wait: float = 0.0
  retry_after: float = 0.0


def get_capacity(burst: float) -> float:
  """Returns the capacity of a bucket, which is at least one request."""
  return max(1.0, burst)


def accrue(
  bucket: BucketState, *, rate: float, burst: float, now: float
) -> None:
  """Adds the units that have accrued at `rate` per second until `now`."""
  bucket.level = admission.fill(
    bucket.level,
    seconds=max(0.0, now - bucket.updated_at),
    rate=rate,
    burst=get_capacity(burst),
  )
  bucket.updated_at = now


def get_wait(bucket: BucketState, *, rate: float) -> float:
  """Returns the seconds until the next unit, at `rate` units per second."""
  return max(0.0, 1.0 - bucket.level) / rate


def take(
  bucket: BucketState,
  *,
  rate: float,
  burst: float,
  now: float,
  max_wait: float = MAX_ADVANCE_SECONDS,
) -> Outcome:
  """Takes one unit if it is available within `max_wait`.

  Returns whether the unit was granted, and when to use it or to retry.
  """
  accrue(bucket, rate=rate, burst=burst, now=now)
  wait = get_wait(bucket, rate=rate)
  if wait > max_wait:
    return Outcome(is_granted=False, retry_after=wait)
  bucket.level -= 1.0
  return Outcome(is_granted=True, wait=wait)


def give_back(
  bucket: BucketState, *, rate: float, burst: float, now: float
) -> None:
  """Adds a unit that was taken and not used."""
  accrue(bucket, rate=rate, burst=burst, now=now)
  bucket.level = min(get_capacity(burst), bucket.level + 1.0)
