"""Programs as the row store has them, and as a daemon holds them."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import secrets
import time

import msgspec

from woadrun import errors
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.process import store_access
from woadrun.process import turn_store
from woadrun.version import ledger
from woadrun.version import prefixes
from woadrun.version import spending

log = logging.getLogger('woadrun.programs')

TABLE = 'programs'
# Between two reads of a row because its budget does not hold a turn, in
# seconds: other daemons settle what their turns were given within that time.
REFRESH_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class Entry:
  """A program in memory.

  `attempts` are the ids of writes that may have been done although no
  answer came.  `offline_known` is what other domains know to be spent while
  the store is out: this one has a part of the rest.  `least_told` is the least
  that they were told since they were asked last to count what is spent;
  `telling` is held meanwhile.  `far` is what the home in another domain told
  last, which the store may lack.  `unknown_in` names the other domains that
  may not have heard of a program that began here.  `guarded_most` bounds the
  budget while another domain may spend without the store.
  `needs_flush` says that the row should not wait for the next call.
  `is_copy` says that another daemon told it last; `acted` has the turns that
  this daemon itself decided on and the store does not count yet.
  `is_guess` says that neither the store nor a daemon was asked yet whether
  the program is new.  Until `unsure_until`, on the monotonic clock, a cut may
  have begun that nobody has noticed, and the program with it elsewhere.
  `prefixes` tells where its prompts were read.
  """

  program: str
  ledger: ledger.Ledger
  lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
  attempts: set[str] = dataclasses.field(default_factory=set)
  offline_known: int | None = None
  least_told: float = math.inf
  telling: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
  far: turn_messages.LedgerCopy | None = None
  unknown_in: set[str] = dataclasses.field(default_factory=set)
  guarded_most: float | None = None
  needs_flush: bool = False
  is_copy: bool = False
  is_guess: bool = False
  unsure_until: float = -math.inf
  acted: set[str] = dataclasses.field(default_factory=set)
  refreshed_at: float = -math.inf
  used_at: float = dataclasses.field(default_factory=time.monotonic)
  prefixes: prefixes.Prefixes = dataclasses.field(
    default_factory=prefixes.Prefixes
  )
  spending: spending.Spending = dataclasses.field(
    default_factory=spending.Spending
  )

  def note_settled(self) -> None:
    """Takes note of what is settled now."""
    self.spending.note(self.ledger.settled, now=time.monotonic())

  def get_known(self, *, lasted: float) -> int:
    """Returns what other domains surely know to be spent, in tokens.

    An outage or a cut has lasted for `lasted` seconds.
    """
    known = self.spending.get_known(now=time.monotonic(), lasted=lasted)
    return min(known, self.ledger.settled)

  def note_told(self) -> None:
    """Takes note that other domains are told what is spent now.

    It may be less than what they were told before, once a turn has ended.
    """
    spent = self.ledger.spent
    self.least_told = min(self.least_told, spent)
    if self.offline_known is not None:
      self.offline_known = min(self.offline_known, spent)


class ProgramRows:
  """Reads and writes the rows of programs.

  `domain` becomes the home of a program that the store does not have.
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

  def make(self, *, is_split: bool = False) -> ledger.Ledger:
    """Returns the budget of a program that begins here.

    With `is_split` it may have begun elsewhere too.
    """
    row = ledger.LedgerRow(home=self._domain, is_split=is_split)
    return ledger.Ledger(saved=row, version=0)

  async def read(
    self, program: str, *, is_split: bool = False
  ) -> ledger.Ledger:
    """Returns a program's budget as the store has it.

    One that it does not have is new, as with `make`.
    """
    key = _get_key(program)
    page = await self._store.read(
      TABLE, key.part, first=program, end=f'{program}\0'
    )
    if not page.rows:
      return self.make(is_split=is_split)
    row = _decode(page.rows[0].value)
    found = ledger.Ledger(saved=row, version=page.rows[0].version)
    await self._resolve(found)
    return found

  async def _resolve(self, found: ledger.Ledger) -> None:
    # The owner before may have ended before it settled what had run whole.
    names = list(found.saved.reserved)
    turns = await turn_store.gather(names, cache=self._cache, store=self._turns)
    for turn in turns:
      if turn is not None:
        found.settle(turn.request, turn.tokens)

  async def refresh(self, entry: Entry) -> None:
    """Brings an entry up to what the store has, if that can be reached.

    It is not read again at once: programs that loop without end ask again and
    again after their budget is spent.
    """
    now = time.monotonic()
    if now - entry.refreshed_at < REFRESH_SECONDS:
      return
    entry.refreshed_at = now
    try:
      await self.read_anew(entry)
    except errors.WoadrunError as error:
      log.info('A budget was not read anew: %s', error.message)

  async def read_anew(self, entry: Entry) -> None:
    """Brings an entry up to what the store has; raises where it is not read."""
    found = await self.read(entry.program)
    entry.is_guess = False
    if found.version > entry.ledger.version:
      entry.ledger.rebase(found.saved, found.version)
    for request in found.saved.reserved:
      turn = self._cache.get(request)
      if turn is not None:
        entry.ledger.settle(request, turn.tokens)

  async def save(self, entry: Entry) -> bool:
    """Returns whether the row is written; else it was changed meanwhile."""
    held = entry.ledger
    write = secrets.token_hex(4)
    row = held.make_row(write, now=time.time())
    key = _get_key(entry.program)
    entry.attempts.add(write)
    outcome = await self._store.change(
      writes=[(key, msgspec.json.encode(row))],
      conditions=[(key, held.version)],
    )
    if outcome.is_done:
      held.note_saved(row, outcome.version)
      self._note_saved(entry)
      return True
    was_guess = entry.is_guess
    entry.is_guess = False
    self._take_conflict(entry, outcome)
    if was_guess:
      await self._resolve(held)
    return not held.is_dirty

  def _note_saved(self, entry: Entry) -> None:
    entry.attempts.clear()
    entry.is_guess = False
    entry.offline_known = None
    entry.needs_flush = False
    held = entry.ledger
    entry.acted = {
      request
      for request in entry.acted
      if request in held.given
      or (request in held.reserved and request not in held.saved.reserved)
    }

  def _take_conflict(self, entry: Entry, outcome: rows.Outcome) -> None:
    current = outcome.rows[0] if outcome.rows else None
    if current is None or not current.version:
      # The row is not there, although it was: it counts as new.
      row = ledger.LedgerRow(home=entry.ledger.home)
      entry.ledger.rebase(row, 0)
      return
    row = _decode(current.value)
    if row.write in entry.attempts:
      entry.ledger.note_saved(row, current.version)
      self._note_saved(entry)
      return
    log.info(
      'Program %s was changed by another daemon: row %d, known %d.',
      entry.program,
      current.version,
      entry.ledger.version,
    )
    entry.ledger.rebase(row, current.version)


def _get_key(program: str) -> rows.Key:
  return rows.Key(TABLE, turn_store.get_part(program), program)


def _decode(value: bytes) -> ledger.LedgerRow:
  try:
    return msgspec.json.decode(value, type=ledger.LedgerRow)
  except msgspec.MsgspecError as error:
    # Another writer's: what the program spent is not known any more.
    log.error('A row of a program is unreadable: %s', error)
    raise errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'The row of the program is unreadable: {error}',
      retry_after=1.0,
    ) from error
