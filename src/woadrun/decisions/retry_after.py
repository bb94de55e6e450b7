"""Estimates of when a refused caller should retry."""

from __future__ import annotations

# Lower bound of the delay: a caller that retries immediately would be refused
# for the same reason.
MIN_SECONDS = 0.1
MAX_SECONDS = 2.0
# Lower bound of the delay during an outage.  Outages and network partitions
# last seconds and a caller has few attempts: with a shorter delay it would use
# up its attempts before the outage ends.
MIN_OUTAGE_SECONDS = 1.5


def estimate(*, running: int, slots: int, seconds: float) -> float:
  """Returns the estimated seconds until a slot is free.

  `running` counts the requests at all instances of a service, `slots` the
  requests that these instances run concurrently, and `seconds` is the mean
  duration of a request there.
  """
  if slots <= 0:
    return MAX_SECONDS
  ahead = max(0, running - slots) + 1
  return min(MAX_SECONDS, max(MIN_SECONDS, ahead / slots * seconds))


def estimate_outage(elapsed: float) -> float:
  """Returns the estimated seconds until an outage ends.

  The only known predictor of the remaining duration is the elapsed duration,
  so the outage is assumed to last as long again.  A caller that retries sooner
  uses up its few attempts while no daemon can serve it.
  """
  return min(MAX_SECONDS, max(MIN_OUTAGE_SECONDS, elapsed))
