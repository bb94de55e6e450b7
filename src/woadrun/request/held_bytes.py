"""A bound on the bytes of responses that a daemon holds in memory."""

from __future__ import annotations

import asyncio

# Part of the daemon's memory limit that may hold bytes of responses.
MEMORY_SHARE = 1 / 8
DEFAULT_MAX_HELD_BYTES = 16 * 1024 * 1024


def get_max_held_bytes(memory_mb: float | None) -> int:
  """Returns the bound on held bytes for a memory limit in megabytes, if any."""
  if memory_mb is None:
    return DEFAULT_MAX_HELD_BYTES
  return int(memory_mb * 1024 * 1024 * MEMORY_SHARE)


class HeldBytes:
  """The bytes held of all responses; `most` is the bound on `total`."""

  def __init__(self, *, most: int = DEFAULT_MAX_HELD_BYTES) -> None:
    self.most = most
    self.total = 0
    self._room = asyncio.Event()
    self._room.set()

  def add(self, size: int) -> None:
    """Counts bytes; a negative `size` counts bytes that are no longer held."""
    self.total += size
    if self.total < self.most:
      self._room.set()
    else:
      self._room.clear()

  async def wait_for_room(self) -> int:
    """Returns the number of bytes that may be added once it is above 0."""
    await self._room.wait()
    return self.most - self.total
