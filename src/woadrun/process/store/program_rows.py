"""Programs as rows of the store, and as entries in a daemon's memory.

A program is a series of turns, model requests that share a budget of tokens.
Its ledger has the tokens of settled turns, which have ended, and the tokens
reserved for running ones.  The daemon that decides on a program's turns is its
owner, a member of the program's home domain.  Another daemon may become owner
at any time, so each write is conditional on the row's version.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import secrets
import time

import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import rows
from woadrun.decisions import retry_after
from woadrun.process.store import store_access
from woadrun.process.store import turn_store
from woadrun.version import ledger
from woadrun.version import prefixes

log = logging.getLogger('woadrun.programs')

TABLE = 'programs'
# Minimum interval between two reads of a row for turns that do not fit the
# budget.  Other daemons settle ended turns, which may free tokens, within about
# this time.
REFRESH_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class Entry:
  """A program in memory.

  Times are on the monotonic clock.  `lock` is held while a reservation is
  decided, and while the row is flushed.  `unconfirmed_writes` are the ids of
  writes that may have been applied although no answer arrived.  `needs_flush`
  says that the row should be written without waiting for the next call.
  `decided` has the request ids of turns that this daemon admitted and whose end
  the row may not count yet.  `is_unverified` says that neither the store nor a
  daemon was asked yet whether the program is new.  `refreshed_at` is the time
  of the last `ProgramRows.refresh`, `used_at` that of the last call.
  `prefixes` records which instances read which prompts.
  """

  program: str
  ledger: ledger.Ledger
  lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
  unconfirmed_writes: set[str] = dataclasses.field(default_factory=set)
  needs_flush: bool = False
  decided: set[str] = dataclasses.field(default_factory=set)
  is_unverified: bool = False
  refreshed_at: float = -math.inf
  used_at: float = dataclasses.field(default_factory=time.monotonic)
  prefixes: prefixes.Prefixes = dataclasses.field(
    default_factory=prefixes.Prefixes
  )

  def find_decided(self) -> set[str]:
    """Returns the turns of `decided` that the ledger still lists."""
    self.decided = {r for r in self.decided if self.ledger.knows(r)}
    return self.decided


class ProgramRows:
  """Reads and writes the rows of programs.

  `domain` is the home domain of programs that have no row yet.
  """

  def __init__(
    self,
    *,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    cache: turn_store.TurnCache,
    domain: str,
  ) -> None:
    self._store = store
    self._turns = turns
    self._cache = cache
    self._domain = domain

  def make(self) -> ledger.Ledger:
    """Returns the ledger of a program that starts in this domain.

    It has version 0: there is no row yet.
    """
    row = ledger.LedgerRow(home=self._domain)
    return ledger.Ledger(saved=row, version=0)

  async def read(self, program: str) -> ledger.Ledger:
    """Returns the ledger of a program as stored.

    Returns the result of `make` if the program has no row.  Turns that the
    store or the cache has, but the row still has as reserved, are settled in
    the result.  Raises `errors.WoadrunError` if the store cannot be reached or
    the row cannot be decoded.
    """
    key = _get_key(program)
    page = await self._store.bounded.read(
      TABLE, key.part, first=key.name, end=f'{key.name}\0'
    )
    if not page.rows:
      return self.make()
    row = _decode(page.rows[0].value)
    found = ledger.Ledger(saved=row, version=page.rows[0].version)
    await self._resolve(found)
    return found

  async def _resolve(self, found: ledger.Ledger) -> None:
    # The previous owner may have stopped before it settled turns that had
    # completed.
    names = list(found.saved.reserved)
    turns = await turn_store.load_turns(
      names, cache=self._cache, store=self._turns
    )
    for turn in turns:
      if turn is not None:
        found.settle(turn.request, turn.tokens)

  async def refresh(self, entry: Entry) -> None:
    """Reloads an entry from the store.

    Calls within REFRESH_INTERVAL_SECONDS of the last one do nothing: programs
    that retry in a loop call again and again after their budget is spent.
    Raises `errors.WoadrunError` if the row cannot be read.
    """
    now = time.monotonic()
    if now - entry.refreshed_at < REFRESH_INTERVAL_SECONDS:
      return
    await self.reload(entry)
    entry.refreshed_at = now

  async def reload(self, entry: Entry) -> None:
    """Applies the stored row to an entry if it is newer.

    Changes of the entry that are not saved yet are kept.  Raises
    `errors.WoadrunError` if the row cannot be read.
    """
    found = await self.read(entry.program)
    entry.is_unverified = False
    if found.version > entry.ledger.version:
      entry.ledger.rebase(found.saved, found.version)
    for request in found.saved.reserved:
      turn = self._cache.get(request)
      if turn is not None:
        entry.ledger.settle(request, turn.tokens)

  async def save(self, entry: Entry) -> bool:
    """Writes an entry's row if the row is still the one that is known.

    Returns whether the store has all changes of the entry.  False means that
    another daemon changed the row: the entry is rebased onto that row, and its
    changes are still to be written by another call.  The write is repeated
    until the store answers, and may have been applied if this is cancelled.
    Raises `errors.WoadrunError` if the store rejects the write or the row
    cannot be decoded.
    """
    held = entry.ledger
    write = secrets.token_hex(4)
    row = held.make_row(write, now=time.time())
    key = _get_key(entry.program)
    entry.unconfirmed_writes.add(write)
    outcome = await self._store.durable.change(
      writes=[(key, msgspec.json.encode(row))],
      conditions=[(key, held.version)],
    )
    if outcome.is_done:
      held.note_saved(row, outcome.version)
      self._note_saved(entry)
      return True
    was_unverified = entry.is_unverified
    entry.is_unverified = False
    self._apply_conflict(entry, outcome)
    if was_unverified:
      await self._resolve(held)
    return not held.is_dirty

  def _note_saved(self, entry: Entry) -> None:
    entry.unconfirmed_writes.clear()
    entry.is_unverified = False
    entry.needs_flush = False

  def _apply_conflict(self, entry: Entry, outcome: rows.Outcome) -> None:
    current = outcome.rows[0] if outcome.rows else None
    if current is None or not current.version:
      # The row was there before and is gone, usually because it expired: the
      # program is treated as new.
      row = ledger.LedgerRow(home=entry.ledger.home)
      entry.ledger.rebase(row, 0)
      return
    row = _decode(current.value)
    if row.write in entry.unconfirmed_writes:
      entry.ledger.note_saved(row, current.version)
      self._note_saved(entry)
      return
    log.info(
      'Program %s was changed by another daemon: row version %d, expected %d.',
      entry.program,
      current.version,
      entry.ledger.version,
    )
    entry.ledger.rebase(row, current.version)


def _get_key(program: str) -> rows.Key:
  name = rows.make_name(program)
  return rows.Key(TABLE, turn_store.get_part(program), name)


def _decode(value: bytes) -> ledger.LedgerRow:
  try:
    return decoding.decode_json(value, type=ledger.LedgerRow)
  except decoding.MalformedData as error:
    # The row was written in another format.  The spending of the program is
    # unknown, so it must not count as a new one.
    log.error('Cannot decode the row of a program: %s', error)
    raise errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'The row of the program cannot be decoded: {error}',
      retry_after=retry_after.OUTAGE_CHECK_SECONDS,
    ) from error
