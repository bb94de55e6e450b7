"""Time limits of a planned stop, from its signal to the end of the process.

A request that has begun gets an answer before the platform kills the process.
What surely cannot end by then is rejected at once, as not run.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging
import math
import time

from woadrun import errors
from woadrun.process import event_log

log = logging.getLogger('woadrun.stop')

# Time from the start of a planned stop until listeners may close: the load
# balancer checks readiness every second and removes a daemon after two failed
# checks.
DRAIN_DELAY_SECONDS = 2.5
# Margin between the end of a planned stop and the moment at which the platform
# kills the process.
KILL_MARGIN_SECONDS = 0.3
# Time for storing unsaved turns, after the last answer.
FLUSH_TIMEOUT_SECONDS = 0.5
# Time for closing listeners and services, after turns are stored.
CLOSE_TIMEOUT_SECONDS = 0.2
# Part of a short grace period that each of these times may take.
MAX_DRAIN_SHARE = 1 / 2
MAX_FLUSH_SHARE = 1 / 8
MAX_CLOSE_SHARE = 1 / 16
MAX_MARGIN_SHARE = 1 / 8


class StopReached(Exception):
  """Raised in what a planned stop cannot wait for any longer."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Schedule:
  """The steps of a planned stop, in seconds from its start.

  Listeners close at `drained`, the last answers are sent by `answered`, unsaved
  turns are stored by `stored`, and all services are closed by `closed`.
  """

  drained: float
  answered: float
  stored: float
  closed: float


def plan(grace: float) -> Schedule:
  """Returns the steps of a stop with a grace period in seconds."""
  closed = grace - min(KILL_MARGIN_SECONDS, grace * MAX_MARGIN_SHARE)
  stored = closed - min(CLOSE_TIMEOUT_SECONDS, grace * MAX_CLOSE_SHARE)
  answered = stored - min(FLUSH_TIMEOUT_SECONDS, grace * MAX_FLUSH_SHARE)
  drained = min(DRAIN_DELAY_SECONDS, answered, grace * MAX_DRAIN_SHARE)
  return Schedule(
    drained=drained, answered=answered, stored=stored, closed=closed
  )


class PlannedStop:
  """A planned stop of this process, which may never begin.

  `grace` is the time in seconds from its signal until the platform kills the
  process.  `rejected` counts the requests that were rejected because they could
  not end in time, and `cut` those that it ended while they were running.
  """

  def __init__(self, *, grace: float) -> None:
    self.schedule = plan(grace)
    self.rejected = 0
    self.cut = 0
    self._began_at: float | None = None
    self._is_announced = False
    self._ends: list[tuple[str, float]] = []
    self._callbacks: dict[object, Callable[[], None]] = {}
    self._begin_callbacks: dict[object, Callable[[], None]] = {}

  @property
  def has_begun(self) -> bool:
    """Whether the signal has come."""
    return self._began_at is not None

  @property
  def answers_until(self) -> float:
    """When the last answers are due, on the monotonic clock."""
    if self._began_at is None:
      return math.inf
    return self._began_at + self.schedule.answered

  def note_signal(self) -> None:
    """Notes that the signal has come; may be called from a signal handler.

    The grace period counts from here, and requests are rejected from here on:
    a busy event loop calls `begin` much later.
    """
    if self._began_at is None:
      self._began_at = time.monotonic()

  def begin(self) -> None:
    """Starts the stop; a second call changes nothing."""
    if self._is_announced:
      return
    self._is_announced = True
    self.note_signal()
    self.note_end('begun')
    loop = asyncio.get_running_loop()
    delay = self.get_seconds_until(self.schedule.answered)
    loop.call_later(delay, self._end_waiting)
    for on_begin in list(self._begin_callbacks.values()):
      on_begin()

  def get_seconds_until(self, step: float) -> float:
    """Returns the seconds until a time of the schedule, at least 0.

    The stop has begun.
    """
    assert self._began_at is not None
    return max(0.0, self._began_at + step - time.monotonic())

  def note_end(self, step: str) -> None:
    """Notes that a step has ended, for the log.  The stop has begun."""
    assert self._began_at is not None
    self._ends.append((step, time.monotonic() - self._began_at))

  def log_ends(self) -> None:
    """Logs when each step ended, in seconds from the signal."""
    log.info(
      'Planned stop, seconds from its signal: %s.',
      ', '.join(f'{step} {seconds:.3f}' for step, seconds in self._ends),
      extra=event_log.RARE,
    )

  def limit(self, deadline: float) -> float:
    """Returns the earlier of a deadline and the time of the last answers."""
    return min(deadline, self.answers_until)

  def check(self, needed_until: float) -> None:
    """Raises `stopping` if what needs until a time cannot end in time."""
    if needed_until > self.answers_until:
      self.rejected += 1
      raise make_rejection()

  @contextlib.contextmanager
  def watch(self, on_end: Callable[[], None]) -> Iterator[None]:
    """Calls `on_end` if the last answers are due before the context exits."""
    key = object()
    self._callbacks[key] = on_end
    if time.monotonic() >= self.answers_until:
      # Begun after `_end_waiting`, such as by a retry.
      asyncio.get_running_loop().call_soon(
        lambda: self._callbacks.pop(key, lambda: None)()
      )
    try:
      yield
    finally:
      self._callbacks.pop(key, None)

  @contextlib.asynccontextmanager
  async def bound(self) -> AsyncIterator[None]:
    """Cancels the block as the last answers are due; raises `StopReached`."""
    scope = asyncio.timeout(None)
    now = asyncio.get_running_loop().time()
    try:
      async with scope:
        with self.watch(lambda: scope.reschedule(now)):
          yield
    except TimeoutError as error:
      if not scope.expired():
        raise
      raise StopReached('The daemon is stopping.') from error

  @contextlib.asynccontextmanager
  async def reject_late(self) -> AsyncIterator[None]:
    """Ends a wait before a request runs: raises `stopping` like `check`."""
    try:
      async with self.bound():
        yield
    except StopReached as error:
      self.rejected += 1
      raise make_rejection() from error

  @contextlib.asynccontextmanager
  async def reject_slow(self, patience: float) -> AsyncIterator[None]:
    """Raises `stopping` if the block lasts for long while the process stops.

    `patience` is the time in seconds, from the later of the start of the stop
    and that of the block.
    """
    scope = asyncio.timeout(None)
    key = object()

    def set_end() -> None:
      scope.reschedule(asyncio.get_running_loop().time() + patience)

    try:
      async with scope:
        self._begin_callbacks[key] = set_end
        if self.has_begun:
          set_end()
        yield
    except TimeoutError as error:
      if not scope.expired():
        raise
      self.rejected += 1
      raise make_rejection() from error
    finally:
      self._begin_callbacks.pop(key, None)

  def _end_waiting(self) -> None:
    callbacks = list(self._callbacks.values())
    self._callbacks.clear()
    if callbacks:
      log.warning(
        'Planned stop: %d requests have not ended in time.', len(callbacks)
      )
    self.cut += len(callbacks)
    for on_end in callbacks:
      on_end()


def make_rejection() -> errors.WoadrunError:
  """Returns the error for a request that a stopping daemon has not run."""
  return errors.WoadrunError(
    errors.Code.STOPPING,
    'The daemon is stopping and the request could not end in time.',
    retry_after=0.0,
  )
