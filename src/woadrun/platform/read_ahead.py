"""Reads answers of instances ahead of slow callers, within a bound.

An instance cuts off an answer that stays unread for some seconds.  The answer
of a slow caller is therefore read into memory while fewer bytes than a bound
are held of all answers; reading pauses at the bound.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncGenerator

import aiohttp

from woadrun.request import exchange
from woadrun.request import held_bytes

# Time for which a caller takes no more bytes until its answer is read ahead.
# It is far shorter than the time after which an instance cuts off an answer.
SLOW_CALLER_SECONDS = 0.25
# Maximum size of one read.  Concurrent reads may exceed the bound by one each,
# and aiohttp buffers twice as much of each answer.
READ_BYTES = 16_384


class AnswerReader:
  """Reads one answer, ahead of its caller only while the caller is slow.

  `close` must be called in any case.
  """

  def __init__(
    self, *, response: aiohttp.ClientResponse, held: held_bytes.HeldBytes
  ) -> None:
    self._response = response
    self._held = held
    self._chunks: collections.deque[bytes] = collections.deque()
    self._changed = asyncio.Event()
    self._task: asyncio.Task[None] | None = None
    self._timer: asyncio.TimerHandle | None = None
    # Whether the task waits for room.
    self._is_paused = False

  def is_at_end(self) -> bool:
    """Returns whether all bytes have arrived and been yielded."""
    return not self._chunks and self._response.content.at_eof()

  async def read(self) -> AsyncGenerator[bytes]:
    """Yields the answer; raises `ResponseLost` if it breaks off."""
    content = self._response.content
    loop = asyncio.get_running_loop()
    try:
      while True:
        chunk = await self._next() if self._task else await content.readany()
        if not chunk:
          return
        if self._task is not None:
          yield chunk
          continue
        self._timer = loop.call_later(SLOW_CALLER_SECONDS, self._start)
        try:
          yield chunk
        finally:
          self._timer.cancel()
    except TimeoutError as error:
      raise exchange.ResponseOverdue(
        str(error) or type(error).__name__
      ) from error
    except (aiohttp.ClientError, OSError) as error:
      raise exchange.ResponseLost(str(error) or type(error).__name__) from error

  def close(self) -> None:
    """Stops reading and drops the bytes held."""
    if self._timer is not None:
      # A caller that disconnects may leave `read` suspended.
      self._timer.cancel()
    if self._task is not None:
      self._task.cancel()
    self._held.add(-sum(map(len, self._chunks)))
    self._chunks.clear()

  def _start(self) -> None:
    self._task = asyncio.ensure_future(self._read_ahead())
    self._task.add_done_callback(self._record_end)

  def _record_end(self, task: asyncio.Task[None]) -> None:
    if not task.cancelled():
      # Marks the error as retrieved: the caller may never ask for it.
      task.exception()
    self._changed.set()

  async def _read_ahead(self) -> None:
    while True:
      self._is_paused = True
      self._changed.set()
      room = await self._held.wait_for_room()
      self._is_paused = False
      chunk = await self._response.content.read(min(READ_BYTES, room))
      if not chunk:
        return
      self._chunks.append(chunk)
      self._held.add(len(chunk))
      self._changed.set()

  async def _next(self) -> bytes:
    """Returns the next chunk, empty at the end; raises the error of reading."""
    assert self._task is not None
    while not self._chunks and not self._task.done():
      if self._is_paused:
        # The bytes held for others, which may never take them, must not delay
        # a caller that takes its own.
        self._task.cancel()
        self._task, self._is_paused = None, False
        return await self._response.content.readany()
      self._changed.clear()
      await self._changed.wait()
    if not self._chunks:
      self._task.result()
      return b''
    chunk = self._chunks.popleft()
    self._held.add(-len(chunk))
    return chunk
