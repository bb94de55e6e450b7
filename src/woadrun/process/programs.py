"""Owner and standby roles of this daemon for the budgets of programs.

A program is a sequence of turns, its requests to models, with a common budget
of tokens.  Members are the daemons of a fleet.  A program has a home failure
domain, usually that in which it started, and there an owner, chosen by
rendezvous hashing; the member ranked next is its standby.

While the store is reachable, having one owner is an optimization only: each
reservation is a conditional write, so a second owner cannot overspend the
budget.  While the store is unreachable, the owner continues without it: a
decision is valid once the standby has acknowledged it, and the owner writes it
to the store when the store is reachable again.
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
from woadrun.process import arrivals
from woadrun.process import copy_receiver
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
from woadrun.process.load import program_gate
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')

# Time without a turn that begins or ends after which a program is evicted from
# memory.
IDLE_TIMEOUT_SECONDS = 60.0
# Time after the start of this daemon in which programs that it served before a
# restart may still be running.  In this time, a program that no member knows is
# new only if the store says so; if the store cannot be read, the program counts
# as one that may also have started elsewhere (`is_split`).
STARTUP_WINDOW_SECONDS = 20.0
# Time for which a network partition may go undetected: until a request to the
# store fails and an unreachable domain counts as silent.  A program that starts
# in this time may start on the other side of the partition too.
PARTITION_DETECTION_SECONDS = 2.5
MAX_PARALLEL_HANDOVERS = 16
# Programs with a turn that began or ended within this time are handed over at a
# planned stop.  Pauses between the turns of a running program are shorter.
ACTIVE_WINDOW_SECONDS = 15.0


class Programs(mode.Service):
  """Reserves and settles the budgets of programs, as owner or as standby.

  `gate` decides which programs may begin.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    messenger: peers.Messenger,
    gate: program_gate.ProgramGate,
  ) -> None:
    super().__init__()
    self._gate = gate
    self._created_at = time.monotonic()
    self._members = members
    self._store = store
    self._turns = turns
    self.cache = turn_store.TurnCache()
    self.entry_by_program: dict[str, program_rows.Entry] = {}
    self.unsaved = unsaved_turns.UnsavedTurns()
    self._arrivals = arrivals.Arrivals()
    self._rows = program_rows.ProgramRows(
      store=store, turns=turns, cache=self.cache, domain=members.me.domain
    )
    self._copies = program_copies.Copies(
      members=members, messenger=messenger, unsaved=self.unsaved
    )
    self._reservations = reservations.Reservations(
      members=members,
      store=store,
      rows=self._rows,
      copies=self._copies,
    )
    self.copy_receiver = copy_receiver.CopyReceiver(
      entry_by_program=self.entry_by_program,
      cache=self.cache,
      unsaved=self.unsaved,
      copies=self._copies,
      domain=members.me.domain,
    )
    self.flusher = flusher.Flusher(
      members=members,
      messenger=messenger,
      store=store,
      turns=turns,
      program_store=self._rows,
      copies=self._copies,
      entry_by_program=self.entry_by_program,
      cache=self.cache,
      unsaved=self.unsaved,
    )

  async def on_start(self) -> None:
    """Registers the handlers for copies and starts the flusher."""
    sent = self._members.datagrams
    sent.handle(datagrams.PROGRAM_COPY, self.copy_receiver.receive_copy)
    sent.handle(
      datagrams.REMOTE_PROGRAM_COPY, self.copy_receiver.receive_remote_copy
    )
    await self.add_runtime_dependency(self.flusher)

  # --- The owner's role -------------------------------------------------------

  async def open_turn(
    self, ask: turn_messages.OpenTurn, *, is_new: bool = False
  ) -> turn_messages.OpenedTurn:
    """Returns the history of a turn once its tokens are reserved.

    If another domain is the program's home and `ask.is_away` is not set,
    reserves nothing and returns the name of that domain, with the history if it
    is cached.  A brief `ask` gets no history.  With `is_new` a program that no
    member knows is created even if the store cannot be read.

    Raises `budget_exceeded` if the turn does not fit the budget, `not_owner` if
    this daemon cannot decide, `unknown_program` if the turn to continue from is
    not found, `service_full` if the program may not begin yet,
    `outcome_unknown` if another daemon handles, or did lately, a copy of the
    turn, and the other errors of `Reservations.reserve`.
    """
    is_first_arrival = self._arrivals.note(ask)
    is_admitted = False
    try:
      opened = await self._open_turn(ask, is_new=is_new)
      is_admitted = not opened.home
      return opened
    finally:
      if is_first_arrival and not is_admitted:
        self._arrivals.forget(ask.request)

  async def _open_turn(
    self, ask: turn_messages.OpenTurn, *, is_new: bool
  ) -> turn_messages.OpenedTurn:
    if ask.admission is None:
      return await self._open_admitted(ask, is_new=is_new)
    if self._is_first(ask, ask.admission):
      # Asked before anything is loaded or reserved, so that a refused program
      # leaves nothing behind.
      self._gate.admit(
        program_gate.FirstTurn(
          program=ask.program, request=ask.request, ask=ask.admission
        )
      )
    try:
      opened = await self._open_admitted(ask, is_new=is_new)
    except BaseException:
      self._gate.record_closed(ask.program, ask.request, has_run=False)
      raise
    if opened.home:
      self._gate.record_closed(ask.program, ask.request, has_run=False)
    else:
      self._gate.record_opened(ask.program, ask.request, ask.admission)
    return opened

  def _is_first(
    self, ask: turn_messages.OpenTurn, admission: turn_messages.AdmissionRequest
  ) -> bool:
    """Returns whether a turn is the first of a program that begins here."""
    if ask.parent or ask.is_away or not (ask.begins and admission.is_first):
      return False
    entry = self.entry_by_program.get(ask.program)
    has_spent = entry is not None and entry.ledger.spent > 0
    return not has_spent and not self._gate.knows(ask.program)

  async def _open_admitted(
    self, ask: turn_messages.OpenTurn, *, is_new: bool
  ) -> turn_messages.OpenedTurn:
    """Opens a turn of a program that may begin, or is under way."""
    entry = await self._get_entry(ask, is_new=is_new)
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
    # A program without a row may be starting in another domain at the same
    # time.  Its reservation must be in the store first: when it was written in
    # the background, both domains spent the whole budget.
    has_row = entry.ledger.version > 0
    # Without a standby, only the store can show that another member decides for
    # the program, however slow the store is.  Otherwise, two members that each
    # considered the other one dead spent the same budget.
    has_standby = self._copies.has_standby(ask.program)
    is_slow = self._store.is_slow and has_standby
    if is_slow and not ask.is_away and has_row:
      # Waiting for a slow write delayed each turn by half a second; the standby
      # acknowledges a hundred times sooner.  The reservation is written to the
      # store in the background.  The end of a turn still waits for the store.
      await self._reservations.reserve_at_standby(entry, ask)
    else:
      was_unverified = entry.is_unverified
      async with entry.lock:
        await self._reserve(entry, ask)
      if was_unverified and home == entry.ledger.home:
        # Announced at once, so that the other domains know the program if a
        # network partition begins before its next turn.
        entry.uninformed_domains = self._members.domains - {home}
        self._copies.announce_in_background(entry)
    log.debug(
      'Turn %s of %s is granted: %d tokens spent with it, row version %d.',
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
      if entry.is_unverified and not entry.ledger.spent:
        # The entry of a refused first turn is dropped, so that the next turn
        # asks the other members.  A ledger with spent tokens must be kept: when
        # it was dropped at the start of a network partition, programs that
        # retried in a loop got a new budget after each refusal.
        self.entry_by_program.pop(ask.program, None)

  async def close_turn(
    self, done: turn_messages.CloseTurn
  ) -> turn_messages.Closed:
    """Settles a turn that has ended.

    Its reservation is replaced by the tokens that it delivered.  For a turn
    that is not in the store, returns once the standby has acknowledged the
    settlement, and raises if no member does.  Raises `not_owner` if such a turn
    is complete and its program is not known here, unless `done.is_away` is set.
    """
    self._gate.record_closed(done.program, done.request)
    if not done.has_run:
      self._arrivals.forget(done.request)
    entry = self.entry_by_program.get(done.program)
    self.keep_turn(done)
    if entry is None:
      if done.turn is None or done.is_saved or done.is_away:
        return turn_messages.Closed()
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER,
        'The program is not known to this daemon; the turn is not settled.',
      )
    entry.used_at = time.monotonic()
    entry.ledger.settle(done.request, done.tokens)
    entry.note_settled()
    entry.note_reported()
    if done.instance:
      entry.prefixes.note(done.instance, done.parts, now=entry.used_at)
    if not done.is_saved:
      entry.local_decisions.add(done.request)
    # A complete turn in the store already records its tokens, so its settlement
    # need not be written at once.
    entry.needs_flush |= done.turn is None or not done.is_saved
    turns = () if done.turn is None else (done.turn,)
    if done.is_saved:
      self._copies.send_in_background(entry, turns)
    else:
      copied_to = await self._copies.send(entry, turns)
      if turns:
        log.info(
          'Turn %s of %s is not in the store: it is held here, a copy by %s.',
          done.request,
          done.program,
          copied_to or 'nobody, as no other member of the domain is alive',
        )
    if entry.ledger.home == self._members.me.domain:
      self._copies.send_remote_in_background(entry, turns)
      self._copies.announce_in_background(entry)
    return turn_messages.Closed()

  def keep_turn(self, done: turn_messages.CloseTurn) -> None:
    """Caches a complete turn, and queues it for the store if not saved there.

    A turn that was not completed is ignored.
    """
    if done.turn is None:
      return
    self.cache.put(done.turn)
    if not done.is_saved:
      self.unsaved.put(done.turn, domain=self._members.me.domain)

  async def _get_entry(
    self, ask: turn_messages.OpenTurn, *, is_new: bool
  ) -> program_rows.Entry:
    entry = self.entry_by_program.get(ask.program)
    if entry is None:
      loaded = await self._load_entry(ask, is_new=is_new)
      # A concurrent call may have loaded the program in the meantime.
      entry = self.entry_by_program.setdefault(ask.program, loaded)
    elif entry.is_copy and not self._store.is_reachable:
      await self._merge_peer_copies(entry)
    entry.used_at = time.monotonic()
    return entry

  async def _merge_peer_copies(self, entry: program_rows.Entry) -> None:
    # Without the store, a copy from an owner is not known to be the newest one.
    # When a member that was neither owner nor standby relied on an older copy,
    # a budget was exceeded.
    for copy in await self._copies.fetch(entry.program):
      entry.ledger.merge(program_copies.decode(copy))
    entry.is_copy = False

  async def _load_entry(
    self, ask: turn_messages.OpenTurn, *, is_new: bool
  ) -> program_rows.Entry:
    """Returns a new entry, from the store and other members where needed.

    A program without a row is created if `ask.begins` is set.  If nothing is
    found and the store cannot be read, or `ask.begins` is not set, raises
    `not_owner` unless `is_new` is set.
    """
    # Whether the store can be read and no member has spending that it lacks.
    is_settled = self._store.is_reachable and self._members.is_store_current
    if is_settled and not ask.parent and ask.begins:
      # A turn without a parent usually starts a program.  If the program exists
      # already, the failed condition of the first write returns its row, so no
      # read is needed here.
      return program_rows.Entry(
        program=ask.program,
        ledger=self._rows.make(),
        is_unverified=True,
        undetected_partition_until=time.monotonic()
        + PARTITION_DETECTION_SECONDS,
      )
    views = await self._fetch_ledgers(ask)
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
        errors.Code.NOT_OWNER, 'The program is not known to this daemon.'
      )
    is_split = self._is_in_startup_window or bool(
      self._members.find_unsettled_domains()
    )
    # A partition that caused the current outage began when the outage did, and
    # part of its detection time has passed.
    return program_rows.Entry(
      program=ask.program,
      ledger=self._rows.make(is_split=is_split),
      undetected_partition_until=time.monotonic()
      + PARTITION_DETECTION_SECONDS
      - self._store.outage_seconds,
    )

  @property
  def _is_in_startup_window(self) -> bool:
    """Whether programs from before a restart of this daemon may still run."""
    return time.monotonic() - self._created_at < STARTUP_WINDOW_SECONDS

  async def _fetch_ledgers(
    self, ask: turn_messages.OpenTurn
  ) -> list[ledger.Ledger]:
    """Returns the ledgers of a program from the store and other members.

    Members that know nothing more are left out, as is the store if it cannot be
    read; a program that has no row gets a new ledger.
    """
    # Other members are always asked: a previous owner may hold spending from an
    # outage that is not in the store yet.  When it was not counted, a budget
    # was exceeded.
    row, copies = await asyncio.gather(
      self._rows.read(
        ask.program,
        is_split=bool(self._members.find_unsettled_domains()),
        is_bounded=True,
      ),
      self._copies.fetch(
        ask.program, includes_remote=self._is_in_startup_window
      ),
      return_exceptions=True,
    )
    if isinstance(copies, BaseException):
      raise copies
    views = [program_copies.decode(copy) for copy in copies]
    if isinstance(row, ledger.Ledger):
      return [row, *views]
    if not isinstance(row, errors.WoadrunError):
      raise row
    log.info('Program %s not read from the store: %s', ask.program, row.message)
    return views

  # --- Unsaved state ----------------------------------------------------------

  @property
  def is_owing(self) -> bool:
    """Whether the store lacks spending of this daemon that other domains need.

    It is spending from the budgets of programs whose home is another domain.
    """
    mine = self._members.me.domain
    return any(
      entry.needs_flush
      and entry.ledger.has_uncounted_turns
      and entry.ledger.home != mine
      for entry in self.entry_by_program.values()
    )

  @property
  def is_behind(self) -> bool:
    """Whether this daemon has turns or spending that the store lacks."""
    return len(self.unsaved) > 0 or any(
      entry.needs_flush and entry.ledger.has_uncounted_turns
      for entry in self.entry_by_program.values()
    )

  # --- Planned stop -----------------------------------------------------------

  async def hand_over(self) -> None:
    """Sends each program in use to the member that takes over from this one.

    The store usually has the programs as well, but it may be unreachable now,
    or become unreachable before a program's next turn.  Failures are logged.
    """
    turns_by_program: dict[str, list[turn_messages.Turn]] = {}
    for turn in self.cache.get_recent():
      turns_by_program.setdefault(turn.program, []).append(turn)
    start = time.monotonic() - ACTIVE_WINDOW_SECONDS
    entries = [e for e in self.entry_by_program.values() if e.used_at > start]
    semaphore = asyncio.Semaphore(MAX_PARALLEL_HANDOVERS)

    async def send_entry(entry: program_rows.Entry) -> None:
      async with semaphore:
        turns = tuple(turns_by_program.get(entry.program, ()))
        await self._copies.try_send(entry, turns)

    await asyncio.gather(*(send_entry(entry) for entry in entries))
    log.info('Handed over %d programs.', len(entries))

  @mode.Service.task
  async def _expire_periodically(self) -> None:
    """Evicts expired turns and idle programs.

    A program with unsaved changes stays on the member that ranks first, which
    writes them to the store.
    """
    while not self.should_stop:
      await ticks.sleep(1.0)
      self.cache.expire()
      idle_since = time.monotonic() - IDLE_TIMEOUT_SECONDS
      idle = [
        program
        for program, entry in self.entry_by_program.items()
        if entry.used_at < idle_since
        and not (entry.needs_flush and self._copies.is_first(program))
      ]
      for program in idle:
        del self.entry_by_program[program]
