"""Brings to the store what it lacks of turns and budgets."""

from __future__ import annotations

import asyncio
import logging
import time

import mode

from woadrun.connection import turn_messages
from woadrun.process import fleet
from woadrun.process import program_copies
from woadrun.process import program_rows
from woadrun.process import store_access
from woadrun.process import turn_store

log = logging.getLogger('woadrun.programs')

# Between looks for what the store lacks, in seconds.  Each look wakes the
# process, so that they are not more frequent than an outage needs.
FLUSH_SECONDS = 0.2
# What a turn was given replaces what was reserved for it with the next turn's
# reservation; a program without a call for so long, in seconds, is written by
# itself.  Written at once, it took one call of the store more for each turn.
SETTLE_SECONDS = 1.5
PARALLEL_FLUSHES = 16


class Flusher(mode.Service):
  """Writes behind, as soon as the store is in reach.

  `entry_by_program` and `unsaved` are those of the daemon's programs.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    program_store: program_rows.ProgramRows,
    copies: program_copies.Copies,
    entry_by_program: dict[str, program_rows.Entry],
    unsaved: dict[str, turn_messages.Turn],
  ) -> None:
    super().__init__()
    self._members = members
    self._store = store
    self._turns = turns
    self._rows = program_store
    self._copies = copies
    self._entry_by_program = entry_by_program
    self._unsaved = unsaved

  @mode.Service.task
  async def _flush_often(self) -> None:
    while not self.should_stop:
      await asyncio.sleep(FLUSH_SECONDS)
      await self.flush()

  async def flush(self) -> bool:
    """Returns whether the store has all that it should."""
    if self._unsaved and self._store.is_reached:
      await self._flush_turns()
    if self._store.is_reached:
      await self._flush_ledgers()
    return not self._unsaved

  async def _flush_turns(self) -> None:
    slots = asyncio.Semaphore(PARALLEL_FLUSHES)

    async def write(turn: turn_messages.Turn) -> None:
      async with slots:
        await self._turns.write(turn)
      self._unsaved.pop(turn.request, None)

    turns = list(self._unsaved.values())
    results = await asyncio.gather(
      *(write(turn) for turn in turns), return_exceptions=True
    )
    failures = [r for r in results if isinstance(r, BaseException)]
    for failure in failures[:1]:
      log.warning('%d turns not stored yet: %s', len(failures), failure)
    log.info('%d turns brought to the store.', len(turns) - len(failures))

  async def _flush_ledgers(self) -> None:
    limit = time.monotonic() - SETTLE_SECONDS
    due = [
      entry
      for entry in self._entry_by_program.values()
      if entry.needs_flush
      and (entry.ledger.owes or entry.used_at < limit)
      and self.is_first(entry.program)
    ]
    slots = asyncio.Semaphore(PARALLEL_FLUSHES)

    async def save(entry: program_rows.Entry) -> None:
      async with slots, entry.lock:
        if entry.ledger.is_dirty:
          await self._rows.save(entry)
        else:
          entry.needs_flush = False
      self._copies.send_behind(entry, ())

    results = await asyncio.gather(
      *(save(entry) for entry in due), return_exceptions=True
    )
    failures = [r for r in results if isinstance(r, BaseException)]
    for failure in failures[:1]:
      log.warning('%d budgets not stored yet: %s', len(failures), failure)

  def is_first(self, program: str) -> bool:
    """Returns whether this daemon has the first claim on a program."""
    me = self._members.me
    ranked = self._members.rank(program, me.domain)
    return not ranked or ranked[0] == me
