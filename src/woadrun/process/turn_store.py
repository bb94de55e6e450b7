"""Finished turns: in the row store, and those kept in memory.

A turn is found by its request id alone, by any daemon and for any program.
A turn larger than a row lies in several rows of one part, written together.
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
PARTS = 256
# Reads of one history under way at a time.
PARALLEL_READS = 8
# The first piece of a row begins so: when the turn's time is over, in
# seconds of the time of day, so that nobody has to decode the rest.
_HEAD = struct.Struct('>d')


def get_part(name: str) -> str:
  """Returns the part of a row."""
  return hashlib.blake2b(name.encode(), digest_size=1).hexdigest()


def is_over(piece: bytes, *, now: float) -> bool:
  """Returns whether the turn that begins so may be forgotten."""
  (until,) = _HEAD.unpack_from(piece)
  return bool(until < now)


class TurnStore:
  """Turns by request id, in the row store.

  `row_bytes` is the largest value of a row.
  """

  def __init__(self, *, store: rows.RowStore, row_bytes: int) -> None:
    self._store = store
    self._row_bytes = row_bytes

  async def write(self, turn: turn_messages.Turn) -> None:
    """Stores a turn; a second time changes nothing."""
    head = _HEAD.pack(turn.ended_at + turn.retention)
    data = head + msgspec.msgpack.encode(turn)
    part = get_part(turn.request)
    size = self._row_bytes
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    writes = [
      (rows.Key(TABLE, part, _get_name(turn.request, number)), piece)
      for number, piece in enumerate(pieces)
    ]
    await self._store.change(writes=writes)

  async def read(self, request: str) -> turn_messages.Turn | None:
    """Returns a turn, or None where the store has none."""
    # '0' is the sign after '/': the range holds all pieces of one turn.
    page = await self._store.read(
      TABLE, get_part(request), first=request, end=f'{request}0'
    )
    if not page.rows:
      return None
    found = sorted(page.rows, key=lambda row: _get_number(row.key.name))
    data = b''.join(row.value for row in found)
    return msgspec.msgpack.decode(data[_HEAD.size :], type=turn_messages.Turn)


class TurnCache:
  """Turns in memory, kept for as long as they may be continued."""

  def __init__(self) -> None:
    self._turn_by_request: dict[str, turn_messages.Turn] = {}
    self._until_by_request: dict[str, float] = {}

  def __len__(self) -> int:
    return len(self._turn_by_request)

  def get(self, request: str) -> turn_messages.Turn | None:
    """Returns a turn that is kept."""
    return self._turn_by_request.get(request)

  def get_all(self) -> list[turn_messages.Turn]:
    """Returns all turns that are kept."""
    return list(self._turn_by_request.values())

  def put(self, turn: turn_messages.Turn) -> None:
    """Keeps a turn."""
    self._turn_by_request[turn.request] = turn
    self._until_by_request[turn.request] = time.monotonic() + turn.retention

  def expire(self) -> None:
    """Drops the turns whose time is over."""
    now = time.monotonic()
    over = [r for r, until in self._until_by_request.items() if until < now]
    for request in over:
      del self._until_by_request[request]
      del self._turn_by_request[request]


async def gather(
  names: Iterable[str], *, cache: TurnCache, store: TurnStore
) -> list[turn_messages.Turn | None]:
  """Returns the turns of some ids, None for each that nobody has."""
  slots = asyncio.Semaphore(PARALLEL_READS)

  async def find(request: str) -> turn_messages.Turn | None:
    known = cache.get(request)
    if known is not None:
      return known
    async with slots:
      turn = await store.read(request)
    if turn is not None:
      cache.put(turn)
    return turn

  return list(await asyncio.gather(*(find(name) for name in names)))


def _get_name(request: str, number: int) -> str:
  return f'{request}/{number}' if number else request


def _get_number(name: str) -> int:
  _, _, number = name.partition('/')
  return int(number or 0)
