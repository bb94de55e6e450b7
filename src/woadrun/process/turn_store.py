"""Finished turns in the store, and a cache of them in memory.

A turn is found by its request id alone, by any daemon and for any program.  A
turn larger than a row is stored as several rows of one part, which are written
together.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import hashlib
import struct
import time

import msgspec

from woadrun.connection import rows
from woadrun.connection import turn_messages

TABLE = 'turns'
# Parts of a table, which spread the writes; their names have two digits.
PART_COUNT = 256
# Maximum parallel reads for one history.
MAX_PARALLEL_READS = 8
# The first piece of a turn starts with the turn's expiry, in seconds of the
# time of day, so that the sweeper need not decode the rest.
_EXPIRY_HEADER = struct.Struct('>d')


def get_part(name: str) -> str:
  """Returns the part of the table in which a row lies."""
  return hashlib.blake2b(name.encode(), digest_size=1).hexdigest()


def is_expired(piece: bytes, *, now: float) -> bool:
  """Returns whether the turn that starts with this piece has expired."""
  (until,) = _EXPIRY_HEADER.unpack_from(piece)
  return bool(until < now)


class TurnStore:
  """Turns by request id, in the store.

  `row_bytes` is the largest value of a row.
  """

  def __init__(self, *, store: rows.RowStore, row_bytes: int) -> None:
    self._store = store
    self._row_bytes = row_bytes

  async def write(self, turn: turn_messages.Turn) -> None:
    """Stores a turn; storing it again has no effect."""
    header = _EXPIRY_HEADER.pack(turn.ended_at + turn.retention)
    data = header + msgspec.msgpack.encode(turn)
    part = get_part(turn.request)
    size = self._row_bytes
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    writes = [
      (rows.Key(TABLE, part, _get_row_name(turn.request, number)), piece)
      for number, piece in enumerate(pieces)
    ]
    await self._store.change(writes=writes)

  async def read(self, request: str) -> turn_messages.Turn | None:
    """Returns a turn, or None if the store has none."""
    # '0' is the character after '/': the range covers all pieces of one turn.
    page = await self._store.read(
      TABLE, get_part(request), first=request, end=f'{request}0'
    )
    if not page.rows:
      return None
    found = sorted(page.rows, key=lambda row: _get_piece_number(row.key.name))
    data = b''.join(row.value for row in found)
    return msgspec.msgpack.decode(
      data[_EXPIRY_HEADER.size :], type=turn_messages.Turn
    )


class TurnCache:
  """Cache of turns, each kept for its retention time."""

  def __init__(self) -> None:
    self._turn_by_request: dict[str, turn_messages.Turn] = {}
    self._until_by_request: dict[str, float] = {}

  def __len__(self) -> int:
    return len(self._turn_by_request)

  def get(self, request: str) -> turn_messages.Turn | None:
    """Returns a cached turn, or None if it is not cached."""
    return self._turn_by_request.get(request)

  def get_all(self) -> list[turn_messages.Turn]:
    """Returns all cached turns."""
    return list(self._turn_by_request.values())

  def put(self, turn: turn_messages.Turn) -> None:
    """Adds a turn, or replaces it and restarts its retention time."""
    self._turn_by_request[turn.request] = turn
    self._until_by_request[turn.request] = time.monotonic() + turn.retention

  def expire(self) -> None:
    """Evicts the turns whose retention time is over."""
    now = time.monotonic()
    expired = [r for r, until in self._until_by_request.items() if until < now]
    for request in expired:
      del self._until_by_request[request]
      del self._turn_by_request[request]


async def load_turns(
  names: Iterable[str], *, cache: TurnCache, store: TurnStore
) -> list[turn_messages.Turn | None]:
  """Returns the turns with the given ids, None for each that is not found."""
  semaphore = asyncio.Semaphore(MAX_PARALLEL_READS)

  async def find(request: str) -> turn_messages.Turn | None:
    known = cache.get(request)
    if known is not None:
      return known
    async with semaphore:
      turn = await store.read(request)
    if turn is not None:
      cache.put(turn)
    return turn

  return list(await asyncio.gather(*(find(name) for name in names)))


def _get_row_name(request: str, number: int) -> str:
  return f'{request}/{number}' if number else request


def _get_piece_number(name: str) -> int:
  _, _, number = name.partition('/')
  return int(number or 0)
