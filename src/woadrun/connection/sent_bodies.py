"""Bodies of requests that are sent piece by piece.

aiohttp passes a whole body of bytes to the transport, which holds a copy of
what the kernel does not take at once.
"""

from __future__ import annotations

from aiohttp import abc
from aiohttp import payload

PIECE_BYTES = 65_536


class SentBody(payload.BytesPayload):
  """A body of bytes; the transport holds no more than a few pieces of it."""

  async def write_with_length(
    self, writer: abc.AbstractStreamWriter, content_length: int | None
  ) -> None:
    """Writes the body, at most `content_length` bytes if given."""
    value = memoryview(self._value)[:content_length]
    for start in range(0, len(value), PIECE_BYTES):
      await writer.write(value[start : start + PIECE_BYTES])

  async def write(self, writer: abc.AbstractStreamWriter) -> None:
    """Writes the whole body."""
    await self.write_with_length(writer, None)


def split(body: bytes) -> bytes | SentBody:
  """Returns what aiohttp is to send as the body of a request."""
  return body if len(body) <= PIECE_BYTES else SentBody(body)
