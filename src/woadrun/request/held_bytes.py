"""A bound on the bytes of responses that a daemon holds in memory."""

from __future__ import annotations

from woadrun.connection import memory_account

# Part of the daemon's memory limit that may hold bytes of responses for slow
# callers, or read ahead for a retry.
MEMORY_SHARE = 1 / 8
DEFAULT_MAX_HELD_BYTES = 16 * 1024 * 1024


def get_max_held_bytes(memory_mb: float | None) -> int:
  """Returns the bound on held bytes for a memory limit in megabytes, if any."""
  if memory_mb is None:
    return DEFAULT_MAX_HELD_BYTES
  return int(memory_mb * 1024 * 1024 * MEMORY_SHARE)


class HeldBytes:
  """The bytes held of all responses; `most` is the bound on `total`.

  They are part of the account of the process.
  """

  def __init__(
    self,
    *,
    most: int = DEFAULT_MAX_HELD_BYTES,
    account: memory_account.Account | None = None,
  ) -> None:
    self.most = most
    self.account = account or memory_account.Account(most=2 * most)
    self._holder = self.account.open(memory_account.Kind.RESPONSE, 'bodies')

  @property
  def total(self) -> int:
    """The bytes held now."""
    return self._holder.size

  def add(self, size: int) -> None:
    """Counts bytes; a negative `size` counts bytes that are no longer held."""
    self._holder.note(size)

  async def wait_for_room(self) -> int:
    """Returns the number of bytes that may be added once it is above 0."""
    while (room := self._get_room()) <= 0:
      await self.account.wait_for_change()
    return room

  def _get_room(self) -> int:
    room = self.account.get_room(memory_account.Kind.RESPONSE)
    return min(self.most - self.total, room)
