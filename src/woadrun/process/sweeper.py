"""Removes expired turns and programs from the store.

Each daemon sweeps a share of the parts, assigned by rendezvous hashing, and
reads one part at a time.  Two daemons may sweep the same part safely.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import logging
import time

import mode
import msgspec

from woadrun import errors
from woadrun.connection import rows
from woadrun.process import feed
from woadrun.process import fleet
from woadrun.process import program_rows
from woadrun.process import turn_store
from woadrun.version import ledger

log = logging.getLogger('woadrun.sweeper')

# Interval between two parts: a daemon reads a few kilobytes a second.
SWEEP_INTERVAL_SECONDS = 15.0
# Margin after the expiry of a turn, because clocks of VMs differ and a request
# may just be reading the turn.
EXPIRY_MARGIN_SECONDS = 60.0
# Time without a write after which a program has expired.
PROGRAM_RETENTION_SECONDS = 3600.0
# Rows removed in one transaction; the store takes at most a hundred.
MAX_BATCH_ROWS = 100


class Sweeper(mode.Service):
  """Sweeps one part after another."""

  def __init__(self, *, store: rows.RowStore, members: fleet.Fleet) -> None:
    super().__init__()
    self._store = store
    self._members = members
    self.removed = 0

  @mode.Service.task
  async def _sweep_periodically(self) -> None:
    while not self.should_stop:
      # A daemon that has just started has more urgent work.
      await asyncio.sleep(SWEEP_INTERVAL_SECONDS)
      for table, part in self._find_parts():
        try:
          await self.sweep(table, part, now=time.time())
        except errors.WoadrunError as error:
          log.info(
            'Part %s of table %s not swept: %s', part, table, error.message
          )
        await asyncio.sleep(SWEEP_INTERVAL_SECONDS)

  def _find_parts(self) -> Iterator[tuple[str, str]]:
    parts = [f'{number:02x}' for number in range(turn_store.PART_COUNT)]
    for part in self._members.find_first_ranked_keys(parts):
      yield turn_store.TABLE, part
      yield program_rows.TABLE, part

  async def sweep(self, table: str, part: str, *, now: float) -> None:
    """Removes the expired rows of a part."""
    page = await feed.read_all(self._store, table, part)
    find = (
      _find_expired_turns
      if table == turn_store.TABLE
      else _find_expired_programs
    )
    expired = list(find(page.rows, now))
    for at in range(0, len(expired), MAX_BATCH_ROWS):
      await self._store.change(removes=expired[at : at + MAX_BATCH_ROWS])
    self.removed += len(expired)
    if expired:
      log.info(
        'Removed %d rows of part %s of table %s.', len(expired), part, table
      )


def _find_expired_turns(
  found: tuple[rows.Row, ...], now: float
) -> Iterator[rows.Key]:
  is_expired = False
  for row in found:
    # The further pieces of a turn sort after its first piece.
    if '/' not in row.key.name:
      is_expired = turn_store.is_expired(
        row.value, now=now - EXPIRY_MARGIN_SECONDS
      )
    if is_expired:
      yield row.key


def _find_expired_programs(
  found: tuple[rows.Row, ...], now: float
) -> Iterator[rows.Key]:
  for row in found:
    kept = msgspec.json.decode(row.value, type=ledger.LedgerRow)
    if kept.written_at + PROGRAM_RETENTION_SECONDS < now:
      yield row.key
