"""Sleeps that end together, so that a process wakes seldom.

A daemon has about ten periodic tasks, which would each wake an idle daemon by a
timer of its own.
"""

from __future__ import annotations

import asyncio
import random
import time

# Where the ticks of this process lie, in seconds: those of daemons that start
# at the same moment should not fall together.
_PHASE = random.random()


def get_rest(seconds: float, *, now: float) -> float:
  """Returns the seconds from `now` until a sleep of about `seconds` ends.

  It ends at a multiple of `seconds` on the monotonic clock, which is at least
  half of them away: a timer that fires early does not fire twice.
  """
  passed = (now - _PHASE) % seconds
  rest = seconds - passed
  return rest if rest >= seconds / 2 else rest + seconds


async def sleep(seconds: float) -> None:
  """Sleeps for about `seconds`, until the tick that is due then."""
  await asyncio.sleep(get_rest(seconds, now=time.monotonic()))
