"""The calls of one daemon that wait for the row store, and their order.

Calls to a store that answers slowly wait here rather than there.  A call whose
caller has left is then never sent, and those that finish what has begun come
before those that begin something.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import enum
import time

from woadrun import errors
from woadrun.connection import http
from woadrun.decisions import concurrency_limit

# Of this many calls that are sent while others wait, the last one is of the
# least urgent kind, which would otherwise wait for as long as there are others.
FAIR_SHARE = 8


class Urgency(enum.IntEnum):
  """What waits for a call, the most urgent first.

  `COMMIT`: a request that runs or is about to; `LOAD`: a request that needs its
  history; `BACKGROUND`: no request.
  """

  COMMIT = 0
  LOAD = 1
  BACKGROUND = 2


class CallQueue:
  """Limits the calls of a daemon that are under way at the store.

  `waiting` counts the calls that are not sent yet.
  """

  def __init__(self) -> None:
    self._limit = concurrency_limit.ConcurrencyLimit()
    self._running = 0
    self._sent = 0
    self._waiting_by_urgency: dict[
      Urgency, collections.deque[asyncio.Future[None]]
    ] = {urgency: collections.deque() for urgency in Urgency}
    self.waiting = 0

  @property
  def limit(self) -> int:
    """How many calls may be under way."""
    return self._limit.calls

  @property
  def running(self) -> int:
    """How many calls are under way."""
    return self._running

  @contextlib.asynccontextmanager
  async def enter(self, urgency: Urgency) -> AsyncIterator[None]:
    """Returns a context for one call, entered once it may be sent."""
    await self._wait_for_turn(urgency)
    began = time.monotonic()
    is_full = self._running >= self._limit.calls
    try:
      yield
    except (http.RateLimited, TimeoutError):
      self._limit.record_failure(began=began, now=time.monotonic())
      raise
    except errors.WoadrunError:
      # A refusal at once does not tell of too many calls.
      if time.monotonic() - began > concurrency_limit.LATE_SECONDS:
        self._limit.record_failure(began=began, now=time.monotonic())
      raise
    else:
      self._limit.record_answer(
        began=began, now=time.monotonic(), is_full=is_full
      )
    finally:
      self._running -= 1
      self._send_waiting()

  async def _wait_for_turn(self, urgency: Urgency) -> None:
    if self._running < self._limit.calls and not self.waiting:
      self._running += 1
      self._sent += 1
      return
    turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    self._waiting_by_urgency[urgency].append(turn)
    self.waiting += 1
    try:
      await turn
    except asyncio.CancelledError:
      if turn.done() and not turn.cancelled() and turn.exception() is None:
        # Its turn had come at the same moment.
        self._running -= 1
        self._send_waiting()
      raise
    finally:
      self.waiting -= 1

  def _send_waiting(self) -> None:
    while self._running < self._limit.calls:
      turn = self._pop_next()
      if turn is None:
        return
      self._running += 1
      self._sent += 1
      turn.set_result(None)

  def _pop_next(self) -> asyncio.Future[None] | None:
    is_fair_turn = self._sent % FAIR_SHARE == FAIR_SHARE - 1
    for urgency in sorted(Urgency, reverse=is_fair_turn):
      waiting = self._waiting_by_urgency[urgency]
      while waiting:
        turn = waiting.popleft()
        if not turn.done():
          return turn
    return None
