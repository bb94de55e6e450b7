"""How a team's requests are held to its rate.

Answers a burst at a team's limit: a request that has its turn soon waits for
it, one that does not is refused at once.  Whatever is granted, no span of time
has more than the rate for its length and one burst.
"""

from __future__ import annotations

import dataclasses

from woadrun.decisions import admission

# A request that would wait longer is refused, in seconds: its caller does
# better to come back.
MOST_WAIT_SECONDS = 0.5


@dataclasses.dataclass(kw_only=True)
class Bucket:
  """Units that may be granted now; below 0 where some are promised.

  `at` is when `level` was right, in seconds.
  """

  level: float
  at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
  """Whether a unit is granted.

  A granted one may be used after `wait`, a refused one asked for again after
  `retry_after`, both in seconds.
  """

  is_granted: bool
  wait: float = 0.0
  retry_after: float = 0.0


def get_capacity(burst: float) -> float:
  """Returns what a bucket holds: without any burst still one request."""
  return max(1.0, burst)


def accrue(bucket: Bucket, *, rate: float, burst: float, now: float) -> None:
  """Adds to a bucket what came at `rate` a second until now."""
  bucket.level = admission.fill(
    bucket.level,
    seconds=max(0.0, now - bucket.at),
    rate=rate,
    burst=get_capacity(burst),
  )
  bucket.at = now


def take(bucket: Bucket, *, rate: float, burst: float, now: float) -> Outcome:
  """Returns whether one unit is granted, which then is taken."""
  accrue(bucket, rate=rate, burst=burst, now=now)
  wait = max(0.0, 1.0 - bucket.level) / rate
  if wait > MOST_WAIT_SECONDS:
    return Outcome(is_granted=False, retry_after=wait)
  bucket.level -= 1.0
  return Outcome(is_granted=True, wait=wait)
