"""Removes from the row store what nobody may continue from any more.

Each daemon looks after a share of the parts, found by rendezvous hashing,
and reads one of them at a time.  Two daemons at one part do no harm.
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

# Between two parts, in seconds: a daemon reads a few kilobytes a second.
PAUSE_SECONDS = 15.0
# Clocks of VMs differ, and a turn may just be asked for, in seconds.
MARGIN_SECONDS = 60.0
# A program without a write for so long is over, in seconds.
PROGRAM_SECONDS = 3600.0
# Rows removed by one change; the store takes at most a hundred.
BATCH = 100


class Sweeper(mode.Service):
  """Looks at one part after the other."""

  def __init__(self, *, store: rows.RowStore, members: fleet.Fleet) -> None:
    super().__init__()
    self._store = store
    self._members = members
    self.removed = 0

  @mode.Service.task
  async def _sweep_often(self) -> None:
    while not self.should_stop:
      # A daemon that has just started has more urgent work.
      await asyncio.sleep(PAUSE_SECONDS)
      for table, part in self._find_parts():
        try:
          await self.sweep(table, part, now=time.time())
        except errors.WoadrunError as error:
          log.info('Part %s of %s not swept: %s', part, table, error.message)
        await asyncio.sleep(PAUSE_SECONDS)

  def _find_parts(self) -> Iterator[tuple[str, str]]:
    parts = [f'{number:02x}' for number in range(turn_store.PARTS)]
    for part in self._members.find_own(parts):
      yield turn_store.TABLE, part
      yield program_rows.TABLE, part

  async def sweep(self, table: str, part: str, *, now: float) -> None:
    """Removes the rows of a part whose time is over."""
    page = await feed.read_all(self._store, table, part)
    find = _find_old_turns if table == turn_store.TABLE else _find_old_programs
    old = list(find(page.rows, now))
    for at in range(0, len(old), BATCH):
      await self._store.change(removes=old[at : at + BATCH])
    self.removed += len(old)
    if old:
      log.info('%d rows of part %s of %s removed.', len(old), part, table)


def _find_old_turns(
  found: tuple[rows.Row, ...], now: float
) -> Iterator[rows.Key]:
  is_old = False
  for row in found:
    # The further pieces of a turn follow its first one.
    if '/' not in row.key.name:
      is_old = turn_store.is_over(row.value, now=now - MARGIN_SECONDS)
    if is_old:
      yield row.key


def _find_old_programs(
  found: tuple[rows.Row, ...], now: float
) -> Iterator[rows.Key]:
  for row in found:
    kept = msgspec.json.decode(row.value, type=ledger.LedgerRow)
    if kept.written_at + PROGRAM_SECONDS < now:
      yield row.key
