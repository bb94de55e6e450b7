"""An event loop whose clock jumps to the next timer.

No timer is waited for: simulated minutes of a fleet cost only the processor
time of their callbacks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import selectors
import time

# Initial readings of the monotonic clock and of the time of day.
INITIAL_MONOTONIC_SECONDS = 1_000.0
INITIAL_TIME_OF_DAY_SECONDS = 1_800_000_000.0
# Tasks that are cancelled may start further ones, a few levels deep.
MAX_CANCEL_ROUNDS = 20


class Clock:
  """A virtual clock; `now` is its monotonic reading in seconds."""

  def __init__(self) -> None:
    self.now = INITIAL_MONOTONIC_SECONDS

  def get_time_of_day(self) -> float:
    """Returns the time of day at `now`, in seconds since the epoch."""
    return INITIAL_TIME_OF_DAY_SECONDS + self.now - INITIAL_MONOTONIC_SECONDS


class JumpingSelector(selectors.DefaultSelector):
  """A selector that advances the clock by its timeout and reports no event."""

  def __init__(self, *, clock: Clock) -> None:
    super().__init__()
    self._clock = clock

  def select(
    self, timeout: float | None = None
  ) -> list[tuple[selectors.SelectorKey, int]]:
    """Returns an empty list; raises RuntimeError if no timer is set."""
    if timeout is None:
      raise RuntimeError('Deadlock: all tasks are waiting and no timer is set.')
    self._clock.now += max(0.0, timeout)
    return []


@contextlib.contextmanager
def run_by(clock: Clock) -> Iterator[asyncio.AbstractEventLoop]:
  """Yields an event loop while the clocks of module `time` read `clock`.

  These are `monotonic`, `perf_counter` and `time`.  Tasks that are still
  pending at exit are cancelled.
  """
  monotonic, time_of_day = time.monotonic, time.time
  perf_counter = time.perf_counter
  time.monotonic = time.perf_counter = lambda: clock.now
  time.time = clock.get_time_of_day
  loop = asyncio.SelectorEventLoop(JumpingSelector(clock=clock))
  loop.set_exception_handler(lambda loop, context: None)
  asyncio.set_event_loop(loop)
  try:
    yield loop
  finally:
    _cancel_tasks(loop)
    asyncio.set_event_loop(None)
    loop.close()
    time.monotonic, time.time = monotonic, time_of_day
    time.perf_counter = perf_counter


def _cancel_tasks(loop: asyncio.AbstractEventLoop) -> None:
  """Cancels tasks until none is left; raises RuntimeError if some remain.

  Tasks that are cancelled may start others.  A task that outlives its loop is
  closed by the garbage collector, in the middle of whatever runs then.
  """
  for _ in range(MAX_CANCEL_ROUNDS):
    tasks = asyncio.all_tasks(loop)
    if not tasks:
      return
    for task in tasks:
      task.cancel()
    loop.run_until_complete(asyncio.wait(tasks, timeout=60.0))
  tasks = asyncio.all_tasks(loop)
  if tasks:
    raise RuntimeError(f'{len(tasks)} tasks cannot be cancelled: {tasks}')
