"""Removes expired turns and programs from the store.

Each daemon sweeps a share of the parts, assigned by rendezvous hashing, and
reads one part at a time.  Two daemons may sweep the same part safely.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import dataclasses
import logging
import time

import mode

from woadrun import decoding
from woadrun import errors
from woadrun.connection import rows
from woadrun.process import feed
from woadrun.process import fleet
from woadrun.process.store import line_expiries
from woadrun.process.store import program_rows
from woadrun.process.store import turn_store
from woadrun.version import ledger

log = logging.getLogger('woadrun.sweeper')

# Minimum interval between two parts: a daemon reads a few kilobytes a second.
SWEEP_INTERVAL_SECONDS = 15.0
# Minimum time between two sweeps of the same part: in a large fleet each daemon
# has few parts, and would otherwise read the turns that are kept too often.
MIN_PASS_SECONDS = 600.0
# Margin after the expiry of a turn, because clocks of VMs differ and a request
# may just be reading the turn.
EXPIRY_MARGIN_SECONDS = 60.0
# Time after which pieces of a turn are removed if its first one, which is
# written last, is still missing.
ORPHAN_SECONDS = 60.0
# Time without a write after which a program has expired.
PROGRAM_RETENTION_SECONDS = 3600.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _StoredTurn:
  """A turn as stored, with the rows of its pieces in order."""

  name: str
  pieces: tuple[rows.Row, ...]

  @property
  def is_complete(self) -> bool:
    """Whether the first piece, which is written last, is there."""
    return self.pieces[0].key.name == self.name

  @property
  def first_turn(self) -> str:
    """The request id of the first turn of its line."""
    data = b''.join(row.value for row in self.pieces)
    return turn_store.find_first_turn(data, name=self.name)


class Sweeper(mode.Service):
  """Sweeps one part after another."""

  def __init__(self, *, store: rows.RowStore, members: fleet.Fleet) -> None:
    super().__init__()
    self._store = store
    self._members = members
    self.removed_rows = 0
    # When pieces without the first one were first seen, in Unix time.
    self._orphaned_at_by_key: dict[rows.Key, float] = {}

  @mode.Service.task
  async def _sweep_periodically(self) -> None:
    while not self.should_stop:
      # A daemon that has just started has more urgent work.
      await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
      parts = list(self._find_parts())
      pause = max(SWEEP_INTERVAL_SECONDS, MIN_PASS_SECONDS / max(1, len(parts)))
      for table, part in parts:
        try:
          await self.sweep(table, part, now=time.time())
        except errors.WoadrunError as error:
          log.info(
            'Part %s of table %s not swept: %s', part, table, error.message
          )
        await asyncio.sleep(pause)

  def _find_parts(self) -> Iterator[tuple[str, str]]:
    parts = [f'{number:02x}' for number in range(turn_store.PART_COUNT)]
    for part in self._members.find_first_ranked_keys(parts):
      yield turn_store.TABLE, part
      yield program_rows.TABLE, part
    for part in self._members.find_first_ranked_keys(line_expiries.PARTS):
      yield line_expiries.TABLE, part

  async def sweep(self, table: str, part: str, *, now: float) -> None:
    """Removes the expired rows of a part."""
    page = await feed.read_all(self._store, table, part)
    limit = now - EXPIRY_MARGIN_SECONDS
    if table == turn_store.TABLE:
      turns = list(_group_pieces(page.rows))
      expired = await self._find_expired_turns(turns, limit)
      expired.extend(self._find_orphans(turns, part, now))
    elif table == line_expiries.TABLE:
      expired = list(_find_expired_lines(page.rows, limit))
    else:
      expired = list(_find_expired_programs(page.rows, now))
    for at in range(0, len(expired), rows.MAX_CHANGE_ROWS):
      await self._store.change(removes=expired[at : at + rows.MAX_CHANGE_ROWS])
    self.removed_rows += len(expired)
    if expired:
      log.info(
        'Removed %d rows of part %s of table %s.', len(expired), part, table
      )

  async def _find_expired_turns(
    self, turns: list[_StoredTurn], limit: float
  ) -> list[rows.Key]:
    """Returns the rows of turns that expired before `limit`, in Unix time.

    A turn whose own expiry has passed is kept while its line goes on.
    """
    expired = [
      (turn.first_turn, turn.pieces)
      for turn in turns
      if turn.is_complete
      and turn_store.is_expired(turn.pieces[0].value, now=limit)
    ]
    kept = await line_expiries.find_kept(
      self._store, {first for first, _ in expired}, now=limit
    )
    return [
      row.key
      for first, pieces in expired
      if first not in kept
      # The first piece last: without it the others would stay for good.
      for row in reversed(pieces)
    ]

  def _find_orphans(
    self, turns: list[_StoredTurn], part: str, now: float
  ) -> Iterator[rows.Key]:
    """Yields the pieces of turns of which the first one was never written.

    Its writer has ended meanwhile, or was refused.
    """
    keys = {
      row.key for turn in turns if not turn.is_complete for row in turn.pieces
    }
    known = self._orphaned_at_by_key
    for key in [k for k in known if k.part == part and k not in keys]:
      del known[key]
    for key in keys:
      if known.setdefault(key, now) + ORPHAN_SECONDS < now:
        yield key


def _group_pieces(found: tuple[rows.Row, ...]) -> Iterator[_StoredTurn]:
  rows_by_name: dict[str, list[rows.Row]] = {}
  for row in found:
    if not turn_store.is_piece(row.key.name):
      continue
    name = turn_store.get_first_name(row.key.name)
    rows_by_name.setdefault(name, []).append(row)
  for name, pieces in rows_by_name.items():
    pieces.sort(key=lambda row: turn_store.get_piece_number(row.key.name))
    yield _StoredTurn(name=name, pieces=tuple(pieces))


def _find_expired_lines(
  found: tuple[rows.Row, ...], limit: float
) -> Iterator[rows.Key]:
  for row in found:
    if line_expiries.is_expired(row.value, now=limit):
      yield row.key


def _find_expired_programs(
  found: tuple[rows.Row, ...], now: float
) -> Iterator[rows.Key]:
  for row in found:
    try:
      kept = decoding.decode_json(row.value, type=ledger.LedgerRow)
    except decoding.MalformedData as error:
      log.error(
        'Program row %s is left, since it cannot be decoded: %s',
        decoding.shorten(row.key.name),
        error,
      )
      continue
    if kept.written_at + PROGRAM_RETENTION_SECONDS < now:
      yield row.key
