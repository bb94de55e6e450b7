"""Writes turns and ledgers to the store that are not saved yet."""

from __future__ import annotations

import asyncio
import logging
import time

import mode

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import program_copies
from woadrun.process import program_rows
from woadrun.process import store_access
from woadrun.process import ticks
from woadrun.process import turn_store
from woadrun.process import unsaved_turns

log = logging.getLogger('woadrun.programs')

# Interval between checks for unsaved state.  Each check wakes the process, so
# that the checks are no more frequent than an outage requires.
FLUSH_INTERVAL_SECONDS = 0.25
# Time without a call after which a settled program is written on its own.  The
# tokens of a turn otherwise replace its reservation with the write of the next
# turn's reservation.  Written at once, they took one more call to the store for
# each turn.
SETTLE_DELAY_SECONDS = 1.5
MAX_PARALLEL_WRITES = 16
# Flushes with the store reachable before a daemon asks about turns that another
# daemon should have stored.  That is well within the second or two that all
# daemons may have until they are lost together.
FLUSHES_BEFORE_QUERY = 3
# Timeout for the query which turns a member has stored; a member that does not
# answer counts as lost.
QUERY_TIMEOUT_SECONDS = 0.6


class Flusher(mode.Service):
  """Writes unsaved turns and ledgers once the store is reachable.

  `entry_by_program`, `cache` and `unsaved` are those of the daemon's programs.
  Up to five daemons keep a turn of an outage: the member that ranks first in
  the turn's domain stores it, and the others ask that member.  When all of them
  stored it, the store refused other calls for exceeding its rate after the
  outage.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    messenger: peers.Messenger,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    program_store: program_rows.ProgramRows,
    copies: program_copies.Copies,
    entry_by_program: dict[str, program_rows.Entry],
    cache: turn_store.TurnCache,
    unsaved: unsaved_turns.UnsavedTurns,
  ) -> None:
    super().__init__()
    self._members = members
    self._links = messenger
    self._reachable_flushes = 0
    self._store = store
    self._turns = turns
    self._rows = program_store
    self._copies = copies
    self._entry_by_program = entry_by_program
    self._cache = cache
    self._unsaved = unsaved

  @mode.Service.task
  async def _flush_periodically(self) -> None:
    while not self.should_stop:
      await ticks.sleep(FLUSH_INTERVAL_SECONDS)
      await self.flush()

  async def flush(self) -> bool:
    """Writes what is due; returns whether no unsaved turn is left."""
    self._reachable_flushes = (
      self._reachable_flushes + 1 if self._store.is_reachable else 0
    )
    if self._unsaved and self._reachable_flushes:
      await self._flush_turns()
    if self._store.is_reachable:
      await self._flush_ledgers()
    return not self._unsaved

  async def _flush_turns(self) -> None:
    turns_by_member = self._group_by_member()
    await self._write(turns_by_member.pop(self._members.me, []))
    if self._reachable_flushes >= FLUSHES_BEFORE_QUERY:
      queried = turns_by_member.items()
      await asyncio.gather(*(self._query(m, turns) for m, turns in queried))

  def _group_by_member(
    self,
  ) -> dict[fleet_heartbeats.Member, list[turn_messages.Turn]]:
    """Returns the turns by the member that stores them."""
    turns_by_member: dict[
      fleet_heartbeats.Member, list[turn_messages.Turn]
    ] = {}
    for item in self._unsaved.get_all():
      ranked = self._members.rank(item.turn.program, item.domain)
      first = ranked[0] if ranked else self._members.me
      turns_by_member.setdefault(first, []).append(item.turn)
    return turns_by_member

  async def _query(
    self, member: fleet_heartbeats.Member, turns: list[turn_messages.Turn]
  ) -> None:
    """Drops the turns that a member stored, and writes those it lacks."""
    requests = tuple(turn.request for turn in turns)
    try:
      found = await self._links.post(
        member.address,
        'turns/stored',
        turn_messages.StoredTurnsQuery(requests=requests),
        type=turn_messages.StoredTurns,
        timeout=QUERY_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info(
        '%s did not answer which turns it stored: %s', member.name, error
      )
      found = turn_messages.StoredTurns()
    for request in found.stored:
      self._unsaved.drop(request)
    known = {*found.stored, *found.pending}
    await self._write([turn for turn in turns if turn.request not in known])

  async def _write(self, turns: list[turn_messages.Turn]) -> None:
    if not turns:
      return
    semaphore = asyncio.Semaphore(MAX_PARALLEL_WRITES)
    restored: set[str] = set()

    async def write(turn: turn_messages.Turn) -> None:
      async with semaphore:
        await self._turns.write(turn)
        for before in self._find_expired_line(turn):
          if before.request not in restored:
            restored.add(before.request)
            await self._turns.write(before)
      self._unsaved.drop(turn.request)

    results = await asyncio.gather(
      *(write(turn) for turn in turns), return_exceptions=True
    )
    failures = [r for r in results if isinstance(r, BaseException)]
    for failure in failures[:1]:
      log.warning('%d turns not stored yet: %s', len(failures), failure)
    log.info(
      'Stored %d turns, and %d before them that may have expired meanwhile.',
      len(turns) - len(failures),
      len(restored),
    )

  def _find_expired_line(
    self, turn: turn_messages.Turn
  ) -> list[turn_messages.Turn]:
    """Returns the turns before an unsaved one that the store may have removed.

    Members that reached the store during an outage of this one did not know
    that the line went on.
    """
    before = [self._cache.get(request) for request in turn.line]
    saved = [
      item
      for item in before
      if item is not None and item.request not in self._unsaved
    ]
    if not saved or saved[-1].kept_until >= time.time():
      return []
    return saved

  async def _flush_ledgers(self) -> None:
    limit = time.monotonic() - SETTLE_DELAY_SECONDS
    due = [
      entry
      for entry in self._entry_by_program.values()
      if entry.needs_flush
      and (entry.ledger.has_uncounted_turns or entry.used_at < limit)
      and self._copies.is_first(entry.program)
    ]
    semaphore = asyncio.Semaphore(MAX_PARALLEL_WRITES)

    async def save(entry: program_rows.Entry) -> None:
      async with semaphore, entry.lock:
        if entry.ledger.is_dirty:
          # Turns of the program wait for the lock meanwhile.
          await self._rows.save(entry, is_bounded=True)
        else:
          entry.needs_flush = False
      self._copies.send_in_background(entry, ())

    results = await asyncio.gather(
      *(save(entry) for entry in due), return_exceptions=True
    )
    failures = [r for r in results if isinstance(r, BaseException)]
    for failure in failures[:1]:
      log.warning('%d programs not stored yet: %s', len(failures), failure)
