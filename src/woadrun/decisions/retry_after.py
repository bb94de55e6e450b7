"""When a refused caller may come back."""

from __future__ import annotations

# The shortest time that makes sense: a refused caller that returns at once
# meets the same state, in seconds.
LEAST_SECONDS = 0.1
MOST_SECONDS = 2.0
# The shortest time after which an outage is worth another try, in seconds.
# Outages and cuts last seconds, and a caller has few tries: sent back sooner it
# had spent them before the end.
LEAST_OUTAGE_SECONDS = 1.5


def estimate(*, running: int, slots: int, seconds: float) -> float:
  """Returns the seconds until a slot should be free.

  `running` counts requests at all instances of a service, `slots` what they
  run at a time, `seconds` how long a request takes there.
  """
  if slots <= 0:
    return MOST_SECONDS
  ahead = max(0, running - slots) + 1
  return min(MOST_SECONDS, max(LEAST_SECONDS, ahead / slots * seconds))


def estimate_outage(lasted: float) -> float:
  """Returns the seconds until an outage should be over.

  Nothing tells how long an outage lasts but how long it has lasted, in
  seconds: it is taken to last as long again.  A caller that comes back
  sooner spends its few tries while nobody can serve it.
  """
  return min(MOST_SECONDS, max(LEAST_OUTAGE_SECONDS, lasted))
