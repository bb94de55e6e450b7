"""When a refused caller may come back."""

from __future__ import annotations

# The shortest time that makes sense: a refused caller that returns at once
# meets the same state, in seconds.
LEAST_SECONDS = 0.1
MOST_SECONDS = 2.0


def estimate(*, running: int, slots: int, seconds: float) -> float:
  """Returns the seconds until a slot should be free.

  `running` counts requests at all instances of a service, `slots` what they
  run at a time, `seconds` how long a request takes there.
  """
  if slots <= 0:
    return MOST_SECONDS
  ahead = max(0, running - slots) + 1
  return min(MOST_SECONDS, max(LEAST_SECONDS, ahead / slots * seconds))
