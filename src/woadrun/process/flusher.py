"""Brings to the store what it lacks of turns and budgets."""

from __future__ import annotations

import asyncio
import logging
import time

import mode

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import beats
from woadrun.process import fleet
from woadrun.process import program_copies
from woadrun.process import program_rows
from woadrun.process import store_access
from woadrun.process import ticks
from woadrun.process import turn_store
from woadrun.process import unsaved_turns

log = logging.getLogger('woadrun.programs')

# Between looks for what the store lacks, in seconds.  Each look wakes the
# process, so that they are not more frequent than an outage needs.
FLUSH_SECONDS = 0.25
# What a turn was given replaces what was reserved for it with the next turn's
# reservation; a program without a call for so long, in seconds, is written by
# itself.  Written at once, it took one call of the store more for each turn.
SETTLE_SECONDS = 1.5
PARALLEL_FLUSHES = 16
# Looks since the store is in reach before a daemon asks after the turns that
# another one should have brought there: well within the second or two that all
# daemons may have until they are lost together.
LOOKS_BEFORE_ASKING = 3
# Until a member that does not tell which turns it stored counts as lost, in
# seconds.
ASK_SECONDS = 0.6


class Flusher(mode.Service):
  """Writes behind, as soon as the store is in reach.

  `entry_by_program` and `unsaved` are those of the daemon's programs.  Up to
  five daemons keep a turn of an outage: the first member in its domain stores
  it, the others ask.  With all of them storing it, the store refused other
  calls for their rate as it came back.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    links: peers.Messenger,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    program_store: program_rows.ProgramRows,
    copies: program_copies.Copies,
    entry_by_program: dict[str, program_rows.Entry],
    unsaved: unsaved_turns.UnsavedTurns,
  ) -> None:
    super().__init__()
    self._members = members
    self._links = links
    self._looks = 0
    self._store = store
    self._turns = turns
    self._rows = program_store
    self._copies = copies
    self._entry_by_program = entry_by_program
    self._unsaved = unsaved

  @mode.Service.task
  async def _flush_often(self) -> None:
    while not self.should_stop:
      await ticks.sleep(FLUSH_SECONDS)
      await self.flush()

  async def flush(self) -> bool:
    """Returns whether the store has all that it should."""
    self._looks = self._looks + 1 if self._store.is_reached else 0
    if self._unsaved and self._looks:
      await self._flush_turns()
    if self._store.is_reached:
      await self._flush_ledgers()
    return not self._unsaved

  async def _flush_turns(self) -> None:
    turns_by_member = self._divide()
    await self._write(turns_by_member.pop(self._members.me, []))
    if self._looks >= LOOKS_BEFORE_ASKING:
      asked = turns_by_member.items()
      await asyncio.gather(*(self._ask(m, turns) for m, turns in asked))

  def _divide(self) -> dict[beats.Member, list[turn_messages.Turn]]:
    """Returns the turns by the member that stores them first."""
    turns_by_member: dict[beats.Member, list[turn_messages.Turn]] = {}
    for item in self._unsaved.get_all():
      ranked = self._members.rank(item.turn.program, item.domain)
      first = ranked[0] if ranked else self._members.me
      turns_by_member.setdefault(first, []).append(item.turn)
    return turns_by_member

  async def _ask(
    self, member: beats.Member, turns: list[turn_messages.Turn]
  ) -> None:
    """Forgets what a member stored, and stores what it does not know."""
    requests = tuple(turn.request for turn in turns)
    try:
      found = await self._links.post(
        member.address,
        'turns/stored',
        turn_messages.AskStored(requests=requests),
        type=turn_messages.StoredTurns,
        timeout=ASK_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info('%s does not tell what it stored: %s', member.name, error)
      found = turn_messages.StoredTurns()
    for request in found.stored:
      self._unsaved.drop(request)
    known = {*found.stored, *found.pending}
    await self._write([turn for turn in turns if turn.request not in known])

  async def _write(self, turns: list[turn_messages.Turn]) -> None:
    if not turns:
      return
    slots = asyncio.Semaphore(PARALLEL_FLUSHES)

    async def write(turn: turn_messages.Turn) -> None:
      async with slots:
        await self._turns.write(turn)
      self._unsaved.drop(turn.request)

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
      and self._copies.is_first(entry.program)
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
