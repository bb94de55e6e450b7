"""Programs whose budget and history this daemon looks after.

A program has an owner in its home domain, found by rendezvous hashing, and
a standby after it.  With the store in reach the owner only saves time: each
reservation is a conditional write, so that a second owner does no harm.
With the store out of reach the owner goes on by itself: what it decides
counts when the standby has it, and the store gets it as soon as it is back.
"""

from __future__ import annotations

import asyncio
import logging
import time

import mode
import msgspec

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import copy_intake
from woadrun.process import datagrams
from woadrun.process import fleet
from woadrun.process import flusher
from woadrun.process import histories
from woadrun.process import program_copies
from woadrun.process import program_rows
from woadrun.process import reservations
from woadrun.process import store_access
from woadrun.process import ticks
from woadrun.process import turn_store
from woadrun.process import unsaved_turns
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')

# A program without a call for so long leaves the memory, in seconds.
IDLE_SECONDS = 60.0
# A daemon that started so shortly ago may have forgotten programs that still
# run, in seconds: what it does not know is new only if the store says so.
YOUNG_SECONDS = 20.0
# A program that begins while a cut begins may begin on its other side as well,
# for so long, in seconds: until a call of the store is lost, and until a domain
# that was cut off then is silent.
UNSURE_SECONDS = 2.5
PARALLEL_HANDOVERS = 16
# A program without a call for so long is not handed over at a planned stop,
# in seconds: its pauses are shorter.
IN_USE_SECONDS = 15.0


class Programs(mode.Service):
  """The owner's and the standby's part for all programs."""

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    links: peers.Messenger,
  ) -> None:
    super().__init__()
    self._created_at = time.monotonic()
    self._members = members
    self._store = store
    self._turns = turns
    self.cache = turn_store.TurnCache()
    self.entry_by_program: dict[str, program_rows.Entry] = {}
    self.unsaved = unsaved_turns.UnsavedTurns()
    self._rows = program_rows.ProgramRows(
      store=store, turns=turns, cache=self.cache, domain=members.me.domain
    )
    self._copies = program_copies.Copies(
      members=members, links=links, unsaved=self.unsaved
    )
    self._reservations = reservations.Reservations(
      members=members,
      store=store,
      rows=self._rows,
      copies=self._copies,
    )
    self.intake = copy_intake.CopyIntake(
      entry_by_program=self.entry_by_program,
      cache=self.cache,
      unsaved=self.unsaved,
      copies=self._copies,
      domain=members.me.domain,
    )
    self.flusher = flusher.Flusher(
      members=members,
      links=links,
      store=store,
      turns=turns,
      program_store=self._rows,
      copies=self._copies,
      entry_by_program=self.entry_by_program,
      unsaved=self.unsaved,
    )

  async def on_start(self) -> None:
    """Begins to take copies, and to bring to the store what it lacks."""
    sent = self._members.datagrams
    sent.handle(datagrams.COPY, self.intake.receive_copy)
    sent.handle(datagrams.FAR_COPY, self.intake.receive_far_copy)
    await self.add_runtime_dependency(self.flusher)

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
      if ask.is_brief:
        return turn_messages.OpenedTurn(home=home)
      known = histories.find_cached(ask.parent, self.cache)
      if known is None:
        return turn_messages.OpenedTurn(home=home)
      return msgspec.structs.replace(known, home=home, has_history=True)
    opened = turn_messages.OpenedTurn()
    if not ask.is_brief:
      opened = await histories.find(
        ask.parent, cache=self.cache, store=self._turns
      )
    # A program without a row may begin in another domain at this moment: both
    # spent the whole budget behind.
    has_row = entry.ledger.version > 0
    # Alone, a slow store is the only witness: two members that each took the
    # other for dead spent the same budget.
    has_standby = self._copies.has_standby(ask.program)
    is_slow = self._store.is_slow and has_standby
    if is_slow and not ask.is_away and has_row:
      # The standby's word comes a hundred times sooner than a slow write,
      # which held up each turn by half a second; the store gets it behind.
      # The end of a turn still waits for the store.
      await self._reservations.reserve_behind(entry, ask)
    else:
      is_new = entry.is_guess
      async with entry.lock:
        await self._reserve(entry, ask)
      if is_new and home == entry.ledger.home:
        # A cut that begins now finds the program known on its other side.
        entry.unknown_in = self._members.domains - {home}
        self._copies.tell_begin_behind(entry)
    log.debug(
      'Turn %s of %s may run: %d spent with it, row %d.',
      ask.request,
      ask.program,
      entry.ledger.spent,
      entry.ledger.version,
    )
    cached = entry.prefixes.find(ask.parts, now=time.monotonic())
    return msgspec.structs.replace(opened, cached_by_instance=cached)

  async def _reserve(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> None:
    try:
      await self._reservations.reserve(entry, ask)
    finally:
      if entry.is_guess and not entry.ledger.spent:
        # The next call asks the others.  What was spent must not be forgotten:
        # as a cut began, programs that loop had their budget anew after each
        # refusal.
        self.entry_by_program.pop(ask.program, None)

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
    entry.note_settled()
    entry.note_told()
    if done.instance:
      entry.prefixes.note(done.instance, done.parts, now=entry.used_at)
    if not done.is_saved:
      entry.acted.add(done.request)
    # A whole turn in the store tells by itself what it was given.
    entry.needs_flush |= done.turn is None or not done.is_saved
    turns = () if done.turn is None else (done.turn,)
    if done.is_saved:
      self._copies.send_behind(entry, turns)
    else:
      await self._copies.send(entry, turns)
    if entry.ledger.home == self._members.me.domain:
      self._copies.send_far_behind(entry, turns)
      self._copies.tell_begin_behind(entry)
    return turn_messages.Closed()

  def keep(self, done: turn_messages.CloseTurn) -> None:
    """Keeps a whole turn, and brings it to the store if that lacks it."""
    if done.turn is None:
      return
    self.cache.put(done.turn)
    if not done.is_saved:
      self.unsaved.put(done.turn, domain=self._members.me.domain)

  async def _load(
    self, ask: turn_messages.OpenTurn, *, is_new: bool
  ) -> program_rows.Entry:
    entry = self.entry_by_program.get(ask.program)
    if entry is None:
      loaded = await self._find(ask, is_new=is_new)
      # Another call may have loaded it meanwhile.
      entry = self.entry_by_program.setdefault(ask.program, loaded)
    elif entry.is_copy and not self._store.is_reached:
      await self._confirm(entry)
    entry.used_at = time.monotonic()
    return entry

  async def _confirm(self, entry: program_rows.Entry) -> None:
    # Without the store nothing tells whether a copy is the newest one.  A
    # third member with an older copy had let a budget be exceeded.
    for copy in await self._copies.ask(entry.program):
      entry.ledger.merge(program_copies.decode(copy))
    entry.is_copy = False

  async def _find(
    self, ask: turn_messages.OpenTurn, *, is_new: bool
  ) -> program_rows.Entry:
    is_settled = self._store.is_reached and self._members.is_settled
    if is_settled and not ask.parent and ask.begins:
      # A first turn begins a program, or the failed condition of its first
      # write brings the row: nothing has to be read before.
      return program_rows.Entry(
        program=ask.program,
        ledger=self._rows.make(),
        is_guess=True,
        unsure_until=time.monotonic() + UNSURE_SECONDS,
      )
    views = await self._find_views(ask)
    if not ask.begins:
      views = [view for view in views if view.version or view.is_dirty]
    for view in views[1:]:
      views[0].merge(view)
    if views:
      return program_rows.Entry(
        program=ask.program, ledger=views[0], needs_flush=views[0].is_dirty
      )
    if not is_new:
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER, 'The program is not known here.'
      )
    is_split = self._is_young or bool(self._members.find_unsettled())
    return program_rows.Entry(
      program=ask.program,
      ledger=self._rows.make(is_split=is_split),
      unsure_until=time.monotonic() + UNSURE_SECONDS - self._store.outage,
    )

  @property
  def _is_young(self) -> bool:
    """Whether this daemon may have forgotten programs that still run."""
    return time.monotonic() - self._created_at < YOUNG_SECONDS

  async def _find_views(
    self, ask: turn_messages.OpenTurn
  ) -> list[ledger.Ledger]:
    """Returns a program as the store and other members have it."""
    # Who had the program before may hold what it spent in an outage, which
    # the store does not have yet: without it a budget was exceeded.
    row, copies = await asyncio.gather(
      self._rows.read(
        ask.program, is_split=bool(self._members.find_unsettled())
      ),
      self._copies.ask(ask.program, is_young=self._is_young),
      return_exceptions=True,
    )
    if isinstance(copies, BaseException):
      raise copies
    views = [program_copies.decode(copy) for copy in copies]
    if isinstance(row, ledger.Ledger):
      return [row, *views]
    if not isinstance(row, errors.WoadrunError):
      raise row
    log.info('Program %s was not read: %s', ask.program, row.message)
    return views

  # --- What the store lacks -------------------------------------------------

  @property
  def is_owing(self) -> bool:
    """Whether the store lacks what was spent of other domains' programs."""
    mine = self._members.me.domain
    return any(
      entry.needs_flush and entry.ledger.owes and entry.ledger.home != mine
      for entry in self.entry_by_program.values()
    )

  @property
  def is_behind(self) -> bool:
    """Whether the store lacks what others must know before they decide."""
    return len(self.unsaved) > 0 or any(
      entry.needs_flush and entry.ledger.owes
      for entry in self.entry_by_program.values()
    )

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
    slots = asyncio.Semaphore(PARALLEL_HANDOVERS)

    async def hand(entry: program_rows.Entry) -> None:
      async with slots:
        turns = tuple(turns_by_program.get(entry.program, ()))
        await self._copies.try_send(entry, turns)

    await asyncio.gather(*(hand(entry) for entry in entries))
    log.info('%d programs are handed over.', len(entries))

  @mode.Service.task
  async def _expire_often(self) -> None:
    while not self.should_stop:
      await ticks.sleep(1.0)
      self.cache.expire()
      limit = time.monotonic() - IDLE_SECONDS
      idle = [
        program
        for program, entry in self.entry_by_program.items()
        if entry.used_at < limit
        and not (entry.needs_flush and self._copies.is_first(program))
      ]
      for program in idle:
        del self.entry_by_program[program]
