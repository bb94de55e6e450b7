"""Reads the start of a response into memory before its caller gets any of it.

A response that breaks off in this part can be replaced by that of another
instance, because the caller has seen neither its head nor its body.
"""

from __future__ import annotations

import collections
from collections.abc import AsyncGenerator
import contextlib
import time

from woadrun.request import held_bytes

# Size of the body up to which a response is read ahead: most responses that are
# no streams are far smaller.
MAX_RESPONSE_BYTES = 65_536
# Part of the bound on held bytes that responses read ahead may take.  The rest
# is left to slow callers, whose responses would be cut off without it.
MAX_HELD_SHARE = 1 / 2


class ResponseBuffer:
  """The start of one response, which counts as held until it is passed on.

  `chunks` is the body of the response.  `size` is the number of bytes read so
  far, and `received_at` the time of the last of them, on the monotonic clock.
  `close` must be called in any case.
  """

  def __init__(
    self, *, chunks: AsyncGenerator[bytes], held: held_bytes.HeldBytes
  ) -> None:
    self.size = 0
    self.received_at = time.monotonic()
    self._chunks = chunks
    self._held = held
    self._buffered: collections.deque[bytes] = collections.deque()

  async def fill(self) -> None:
    """Reads until the response is complete or exceeds a bound.

    Raises what reading raises, `ResponseLost` if the response is truncated.
    Both bounds may be exceeded by one chunk.
    """
    while self._has_room():
      try:
        chunk = await anext(self._chunks)
      except StopAsyncIteration:
        return
      self.size += len(chunk)
      self.received_at = time.monotonic()
      self._buffered.append(chunk)
      self._held.add(len(chunk))

  async def read(self) -> AsyncGenerator[bytes]:
    """Yields the body from its start; the part not read ahead as it arrives."""
    async with contextlib.aclosing(self._chunks):
      while self._buffered:
        chunk = self._buffered.popleft()
        self._held.add(-len(chunk))
        yield chunk
      async for chunk in self._chunks:
        yield chunk

  async def close(self) -> None:
    """Ends reading and drops the bytes held."""
    self._held.add(-sum(map(len, self._buffered)))
    self._buffered.clear()
    await self._chunks.aclose()

  def _has_room(self) -> bool:
    is_below_share = self._held.total < self._held.most * MAX_HELD_SHARE
    return self.size <= MAX_RESPONSE_BYTES and is_below_share
