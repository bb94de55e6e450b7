"""Sleeps aligned to common ticks, so that an idle process wakes up less often.

A daemon has about ten periodic tasks, each of which would otherwise wake the
idle daemon with a timer of its own.
"""

from __future__ import annotations

import asyncio
import random
import time

# Offset of the ticks of this process, in seconds.  It is random so that daemons
# started at the same moment do not tick at the same times.
_OFFSET_SECONDS = random.random()


def get_tick_delay(seconds: float, *, now: float) -> float:
  """Returns the seconds from `now` until a sleep of about `seconds` ends.

  The sleep ends on a tick: a multiple of `seconds` on the monotonic clock, plus
  the offset of this process.  That tick is at least half of `seconds` away, so
  that a timer that fires early does not fire twice for one tick.
  """
  passed = (now - _OFFSET_SECONDS) % seconds
  rest = seconds - passed
  return rest if rest >= seconds / 2 else rest + seconds


async def sleep(seconds: float) -> None:
  """Sleeps until the tick that is about `seconds` away."""
  await asyncio.sleep(get_tick_delay(seconds, now=time.monotonic()))
