"""Estimates of when a refused caller should return.

They follow from what a daemon has observed.
"""

from __future__ import annotations

# Interval at which a daemon checks whether an outage has ended.  A caller that
# returns sooner meets a daemon that knows no more than before.
OUTAGE_CHECK_SECONDS = 0.25


def estimate(
  *, running: int, slots: int, seconds: float, slots_of_instance: float
) -> float:
  """Returns the estimated seconds until a request finds a free slot.

  `running` counts the requests at all instances of a service, `slots` the
  requests that these instances run concurrently, and `seconds` is the mean
  duration of a request there.  Even if other instances have free slots, one
  that has refused a request has one after a request of its own has ended;
  `slots_of_instance` is the number of its slots, a mean.  Without slots, the
  result is that of `estimate_outage` for one that has just begun.
  """
  if slots <= 0:
    return estimate_outage(0.0)
  ahead = max(0, running - slots) + 1
  return max(ahead / slots, 1.0 / max(1.0, slots_of_instance)) * seconds


def estimate_outage(elapsed: float) -> float:
  """Returns the estimated seconds until an outage ends.

  The only known predictor of the remaining duration is the elapsed duration,
  so the outage is assumed to last as long again.
  """
  return max(OUTAGE_CHECK_SECONDS, elapsed)
