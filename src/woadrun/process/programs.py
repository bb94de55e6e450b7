"""Programs whose budget and history this daemon looks after.

A program has an owner in its home domain, found by rendezvous hashing, and
a standby after it.  With the store in reach the owner only saves time: each
reservation is a conditional write, so that a second owner does no harm.
With the store out of reach the owner goes on by itself: what it decides
counts when the standby has it, and the store gets it as soon as it is back.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import secrets
import time

import mode
import msgspec

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.process import fleet
from woadrun.process import store_access
from woadrun.process import turn_store
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')

TABLE = 'programs'
# Conflicts of one reservation before it is refused; each means that another
# daemon wrote the same row.
MOST_CONFLICTS = 6
# Until a standby that does not acknowledge is passed over, in seconds.
COPY_SECONDS = 0.6
# Copies under way that nobody waits for; more are dropped, since the store
# has what they hold.
MOST_COPIES = 256
# Between looks for what the store lacks, in seconds.
FLUSH_SECONDS = 0.1
# A program without a call for so long leaves the memory, in seconds.
IDLE_SECONDS = 60.0
# When a caller of a turn that is not found may come back, in seconds.
RETRY_SECONDS = 0.3
PARALLEL_FLUSHES = 16
# A program without a call for so long is not handed over at a planned stop,
# in seconds: its pauses are shorter.
IN_USE_SECONDS = 15.0


@dataclasses.dataclass(kw_only=True)
class Entry:
  """A program in memory.

  `attempts` are the ids of writes that may have been done although no
  answer came.  `offline_most` bounds the budget while the store is out.
  `needs_flush` says that the row should not wait for the next call.
  """

  program: str
  ledger: ledger.Ledger
  lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
  attempts: set[str] = dataclasses.field(default_factory=set)
  offline_most: float | None = None
  needs_flush: bool = False
  used_at: float = dataclasses.field(default_factory=time.monotonic)


class Programs(mode.Service):
  """The owner's and the standby's part for all programs."""

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    links: peers.Peers,
  ) -> None:
    super().__init__()
    self._members = members
    self._store = store
    self._turns = turns
    self._links = links
    self.cache = turn_store.TurnCache()
    self.entry_by_program: dict[str, Entry] = {}
    self.unsaved: dict[str, turn_messages.Turn] = {}
    self._copies: set[asyncio.Task[None]] = set()

  # --- The owner's part -----------------------------------------------------

  async def open(
    self, ask: turn_messages.OpenTurn, *, is_new: bool = False
  ) -> turn_messages.OpenedTurn:
    """Returns the history of a turn once its tokens are reserved.

    Raises `budget_exceeded` where the budget does not hold the turn,
    `not_owner` where this daemon cannot know, `unknown_program` where the
    turn to continue from is not found.
    """
    entry = await self._load(ask, is_new=is_new)
    home = entry.ledger.home
    if home != self._members.me.domain and not ask.is_away:
      return turn_messages.OpenedTurn(home=home)
    opened = await self._find_history(ask.parent)
    if self._store.is_slow and not ask.is_away:
      # The standby's word comes a hundred times sooner than a slow write,
      # which held up each turn by half a second; the store gets it behind.
      # The end of a turn still waits for the store.
      await self._reserve_behind(entry, ask)
    else:
      async with entry.lock:
        await self._reserve(entry, ask)
    log.debug(
      'Turn %s of %s may run: %d spent with it, row %d.',
      ask.request,
      ask.program,
      entry.ledger.spent,
      entry.ledger.version,
    )
    return opened

  async def close(self, done: turn_messages.CloseTurn) -> turn_messages.Closed:
    """Takes note of how a turn ended.

    A turn that the store does not have counts once the standby has it.
    """
    entry = self.entry_by_program.get(done.program)
    self.keep(done)
    if entry is None:
      if done.turn is None or done.is_saved or done.is_away:
        return turn_messages.Closed()
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER, 'This daemon does not know the program.'
      )
    entry.used_at = time.monotonic()
    entry.ledger.settle(done.request, done.tokens)
    # A whole turn in the store tells by itself what it was given.
    entry.needs_flush |= done.turn is None or not done.is_saved
    turns = () if done.turn is None else (done.turn,)
    if done.is_saved:
      self._copy_behind(entry, turns)
    else:
      await self._copy(entry, turns)
    return turn_messages.Closed()

  def keep(self, done: turn_messages.CloseTurn) -> None:
    """Keeps a whole turn, and brings it to the store if that lacks it."""
    if done.turn is None:
      return
    self.cache.put(done.turn)
    if not done.is_saved:
      self.unsaved[done.request] = done.turn

  async def _load(self, ask: turn_messages.OpenTurn, *, is_new: bool) -> Entry:
    entry = self.entry_by_program.get(ask.program)
    if entry is None:
      try:
        found = await self._read_ledger(ask.program)
      except errors.WoadrunError as error:
        if not is_new:
          raise errors.WoadrunError(
            errors.Code.NOT_OWNER,
            f'The program is not known here: {error.message}',
            retry_after=RETRY_SECONDS,
          ) from error
        found = self._make_ledger()
      # Another call may have loaded it meanwhile.
      entry = self.entry_by_program.setdefault(
        ask.program, Entry(program=ask.program, ledger=found)
      )
    entry.used_at = time.monotonic()
    return entry

  def _make_ledger(self) -> ledger.Ledger:
    row = ledger.LedgerRow(home=self._members.me.domain)
    return ledger.Ledger(saved=row, version=0)

  async def _read_ledger(self, program: str) -> ledger.Ledger:
    key = _get_key(program)
    page = await self._store.read(
      TABLE, key.part, first=program, end=f'{program}\0'
    )
    if not page.rows:
      return self._make_ledger()
    row = _decode(page.rows[0].value)
    found = ledger.Ledger(saved=row, version=page.rows[0].version)
    await self._resolve(found)
    return found

  async def _resolve(self, found: ledger.Ledger) -> None:
    # The owner before may have ended before it settled what had run whole.
    names = list(found.reserved)
    turns = await turn_store.gather(names, cache=self.cache, store=self._turns)
    for turn in turns:
      if turn is not None:
        found.settle(turn.request, turn.tokens)

  async def _find_history(self, parent: str) -> turn_messages.OpenedTurn:
    if not parent:
      return turn_messages.OpenedTurn()
    try:
      last = (await self._gather((parent,)))[0]
      turns = [*await self._gather(last.line), last]
    except errors.WoadrunError as error:
      if error.code is not errors.Code.PLATFORM_UNAVAILABLE:
        raise
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER,
        f'The history is not known here: {error.message}',
        retry_after=RETRY_SECONDS,
      ) from error
    return turn_messages.OpenedTurn(
      line=tuple(turn.request for turn in turns),
      history=b''.join(turn.input + turn.output for turn in turns),
      instance=last.instance,
    )

  async def _gather(self, names: tuple[str, ...]) -> list[turn_messages.Turn]:
    found = await turn_store.gather(names, cache=self.cache, store=self._turns)
    turns = [turn for turn in found if turn is not None]
    if len(turns) < len(found):
      raise errors.WoadrunError(
        errors.Code.UNKNOWN_PROGRAM,
        f'A turn of the history is not found: {" ".join(names)}.',
        retry_after=RETRY_SECONDS,
      )
    return turns

  # --- Reserving ------------------------------------------------------------

  async def _reserve(self, entry: Entry, ask: turn_messages.OpenTurn) -> None:
    budget = math.inf if ask.budget is None else ask.budget
    for _ in range(MOST_CONFLICTS):
      await self._check_budget(entry, ask, budget)
      entry.ledger.reserve(ask.request, ask.most)
      try:
        if await self._save(entry):
          self._copy_behind(entry, ())
          return
      except errors.WoadrunError as error:
        await self._reserve_without_store(entry, ask, budget, error)
        return
      # Another daemon changed the row: what fitted before may not fit now.
      if ask.request not in entry.ledger.saved.reserved:
        entry.ledger.reserved.pop(ask.request, None)
    raise errors.WoadrunError(
      errors.Code.NOT_COMMITTED,
      'Too many daemons write to the program.',
      retry_after=RETRY_SECONDS,
    )

  async def _reserve_behind(
    self, entry: Entry, ask: turn_messages.OpenTurn
  ) -> None:
    budget = math.inf if ask.budget is None else ask.budget
    await self._check_budget(entry, ask, budget)
    entry.ledger.reserve(ask.request, ask.most)
    reason = errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE, 'the store is slow', retry_after=1.0
    )
    await self._reserve_without_store(entry, ask, budget, reason)

  async def _check_budget(
    self, entry: Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    held = entry.ledger
    if ask.request in held.reserved:
      return
    if ask.is_away and held.home != self._members.me.domain:
      self._check_away(entry, ask, budget)
    if held.can_reserve(ask.most, most=budget):
      return
    if self._store.is_reached:
      await self._refresh(entry)
      if held.can_reserve(ask.most, most=budget):
        return
    raise errors.WoadrunError(
      errors.Code.BUDGET_EXCEEDED,
      f'The budget of {budget:.0f} tokens does not hold {ask.most} more '
      f'after {held.spent}.',
    )

  def _check_away(
    self, entry: Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    # The home domain may be spending the other half without the store.
    held = entry.ledger
    if held.away_most is None and budget < math.inf:
      held.away_most = held.spent + int((budget - held.spent) / 2)
    if held.away_most is None:
      return
    if not held.can_reserve(ask.most, most=held.away_most):
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        f'The domain {held.home}, which has the budget, is out of reach.',
        retry_after=RETRY_SECONDS,
      )

  async def _refresh(self, entry: Entry) -> None:
    try:
      found = await self._read_ledger(entry.program)
    except errors.WoadrunError as error:
      log.info('A budget was not read anew: %s', error.message)
      return
    if found.version > entry.ledger.version:
      entry.ledger.rebase(found.saved, found.version)
    for request in found.saved.reserved:
      turn = self.cache.get(request)
      if turn is not None:
        entry.ledger.settle(request, turn.tokens)

  async def _save(self, entry: Entry) -> bool:
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
    self._take_conflict(entry, outcome)
    return not held.is_dirty

  def _note_saved(self, entry: Entry) -> None:
    entry.attempts.clear()
    entry.offline_most = None
    entry.needs_flush = False

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

  async def _reserve_without_store(
    self,
    entry: Entry,
    ask: turn_messages.OpenTurn,
    budget: float,
    error: errors.WoadrunError,
  ) -> None:
    held = entry.ledger
    try:
      if ask.is_away:
        raise error
      self._check_offline(entry, ask, budget)
      await self._copy(entry, ())
    except errors.WoadrunError:
      held.reserved.pop(ask.request, None)
      raise
    entry.needs_flush = True
    log.info(
      'Turn %s of %s may run without the store: %d spent, row %d (%s).',
      ask.request,
      ask.program,
      held.spent,
      held.version,
      error.message,
    )

  def _check_offline(
    self, entry: Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    # Other domains may be spending the other half through the store.
    held = entry.ledger
    if entry.offline_most is None:
      before = held.spent - held.reserved.get(ask.request, 0)
      entry.offline_most = before + (budget - before) / 2
    if held.spent > max(entry.offline_most, ask.most):
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store is out, and the part of the budget that needs none is '
        'spent.',
        retry_after=1.0,
      )

  # --- Copies ---------------------------------------------------------------

  async def _copy(
    self, entry: Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Brings a program to its standby, unless no other member is alive."""
    message = self._make_copy(entry, turns)
    me = self._members.me
    failure: errors.WoadrunError | None = None
    for member in self._members.rank(entry.program, me.domain):
      if member.name == me.name:
        continue
      try:
        await self._links.post(
          member.address,
          'program/copy',
          message,
          type=turn_messages.Closed,
          timeout=COPY_SECONDS,
        )
        return
      except errors.WoadrunError as error:
        self._members.note_failure(member.name)
        failure = error
    if failure is not None:
      raise failure

  def _copy_behind(
    self, entry: Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    if len(self._copies) >= MOST_COPIES:
      log.warning('A copy of %s is left out: too many.', entry.program)
      return
    task = asyncio.ensure_future(self._try_copy(entry, turns))
    self._copies.add(task)
    task.add_done_callback(self._copies.discard)

  async def _try_copy(
    self, entry: Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    try:
      await self._copy(entry, turns)
    except errors.WoadrunError as error:
      log.info('No copy of %s: %s', entry.program, error.message)

  def _make_copy(
    self, entry: Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> turn_messages.LedgerCopy:
    held = entry.ledger
    unsaved = tuple(t.request for t in turns if t.request in self.unsaved)
    return turn_messages.LedgerCopy(
      program=entry.program,
      home=held.home,
      settled=held.settled,
      reserved=dict(held.reserved),
      saved_settled=held.saved.settled,
      saved_reserved=dict(held.saved.reserved),
      version=held.version,
      turns=turns,
      unsaved=unsaved,
    )

  async def take_copy(
    self, copy: turn_messages.LedgerCopy
  ) -> turn_messages.Closed:
    """Keeps what the owner of a program sent."""
    for turn in copy.turns:
      self.cache.put(turn)
      if turn.request in copy.unsaved:
        self.unsaved[turn.request] = turn
    saved = ledger.LedgerRow(
      home=copy.home,
      settled=copy.saved_settled,
      reserved=copy.saved_reserved,
    )
    held = ledger.Ledger(saved=saved, version=copy.version)
    held.settled = copy.settled
    held.reserved = dict(copy.reserved)
    entry = self.entry_by_program.get(copy.program)
    if entry is None:
      self.entry_by_program[copy.program] = Entry(
        program=copy.program, ledger=held
      )
    elif copy.version >= entry.ledger.version and not entry.lock.locked():
      entry.ledger = held
      entry.used_at = time.monotonic()
    self.entry_by_program[copy.program].needs_flush = held.is_dirty
    return turn_messages.Closed()

  # --- Behind ---------------------------------------------------------------

  @mode.Service.task
  async def _flush_often(self) -> None:
    while not self.should_stop:
      await self.sleep(FLUSH_SECONDS)
      await self.flush()

  async def flush(self) -> bool:
    """Returns whether the store has all that it should."""
    if self.unsaved and self._store.is_reached:
      await self._flush_turns()
    if self._store.is_reached:
      await self._flush_ledgers()
    return not self.unsaved

  async def _flush_turns(self) -> None:
    slots = asyncio.Semaphore(PARALLEL_FLUSHES)

    async def write(turn: turn_messages.Turn) -> None:
      async with slots:
        await self._turns.write(turn)
      self.unsaved.pop(turn.request, None)

    turns = list(self.unsaved.values())
    results = await asyncio.gather(
      *(write(turn) for turn in turns), return_exceptions=True
    )
    failures = [r for r in results if isinstance(r, BaseException)]
    for failure in failures[:1]:
      log.warning('%d turns not stored yet: %s', len(failures), failure)
    log.info('%d turns brought to the store.', len(turns) - len(failures))

  async def _flush_ledgers(self) -> None:
    due = [
      entry
      for entry in self.entry_by_program.values()
      if entry.needs_flush and self._is_first(entry.program)
    ]
    slots = asyncio.Semaphore(PARALLEL_FLUSHES)

    async def save(entry: Entry) -> None:
      async with slots, entry.lock:
        if entry.ledger.is_dirty:
          await self._save(entry)
        else:
          entry.needs_flush = False
      self._copy_behind(entry, ())

    results = await asyncio.gather(
      *(save(entry) for entry in due), return_exceptions=True
    )
    failures = [r for r in results if isinstance(r, BaseException)]
    for failure in failures[:1]:
      log.warning('%d budgets not stored yet: %s', len(failures), failure)

  def _is_first(self, program: str) -> bool:
    me = self._members.me
    ranked = self._members.rank(program, me.domain)
    return not ranked or ranked[0] == me

  # --- A planned stop -------------------------------------------------------

  async def hand_over(self) -> None:
    """Brings what is in use to those who look after it from now on.

    The store has it as well, unless it is out; but the next outage may
    come before a program's next call.
    """
    turns_by_program: dict[str, list[turn_messages.Turn]] = {}
    for turn in self.cache.get_all():
      turns_by_program.setdefault(turn.program, []).append(turn)
    limit = time.monotonic() - IN_USE_SECONDS
    entries = [e for e in self.entry_by_program.values() if e.used_at > limit]
    slots = asyncio.Semaphore(PARALLEL_FLUSHES)

    async def hand(entry: Entry) -> None:
      async with slots:
        turns = tuple(turns_by_program.get(entry.program, ()))
        await self._try_copy(entry, turns)

    await asyncio.gather(*(hand(entry) for entry in entries))
    log.info('%d programs are handed over.', len(entries))

  @mode.Service.task
  async def _expire_often(self) -> None:
    while not self.should_stop:
      await self.sleep(1.0)
      self.cache.expire()
      limit = time.monotonic() - IDLE_SECONDS
      idle = [
        program
        for program, entry in self.entry_by_program.items()
        if entry.used_at < limit
        and not (entry.needs_flush and self._is_first(program))
      ]
      for program in idle:
        del self.entry_by_program[program]


def _get_key(program: str) -> rows.Key:
  return rows.Key(TABLE, turn_store.get_part(program), program)


def _decode(value: bytes) -> ledger.LedgerRow:
  return msgspec.json.decode(value, type=ledger.LedgerRow)
