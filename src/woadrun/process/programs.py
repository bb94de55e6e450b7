"""Owner and standby roles of this daemon for the budgets of programs.

A program is a sequence of turns, its requests to models, with a common budget
of tokens.  Members are the daemons of a fleet.  A program has a home failure
domain, usually that in which it started, and there an owner, chosen by
rendezvous hashing; the member ranked next is its standby.

Having one owner is an optimization only: each reservation is a conditional
write, so a second owner cannot overspend the budget.  Without the store no turn
is admitted.
"""

from __future__ import annotations

import asyncio
import copy
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
from woadrun.process import histories
from woadrun.process import program_copies
from woadrun.process import reservations
from woadrun.process import ticks
from woadrun.process.load import program_gate
from woadrun.process.store import flusher
from woadrun.process.store import program_rows
from woadrun.process.store import store_access
from woadrun.process.store import turn_store
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')

# Time without a turn that begins or ends after which a program is evicted from
# memory.
IDLE_TIMEOUT_SECONDS = 60.0
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
    self._members = members
    self._store = store
    self._turns = turns
    self.cache = turn_store.TurnCache()
    self.entry_by_program: dict[str, program_rows.Entry] = {}
    self._loading_by_program: dict[str, asyncio.Task[list[ledger.Ledger]]] = {}
    self._arrivals = arrivals.Arrivals()
    self._rows = program_rows.ProgramRows(
      store=store, turns=turns, cache=self.cache, domain=members.me.domain
    )
    self._copies = program_copies.Copies(members=members, messenger=messenger)
    self._reservations = reservations.Reservations(
      domain=members.me.domain,
      store=store,
      rows=self._rows,
      copies=self._copies,
    )
    self.copy_receiver = copy_receiver.CopyReceiver(
      entry_by_program=self.entry_by_program,
      cache=self.cache,
      copies=self._copies,
      domain=members.me.domain,
    )
    self.flusher = flusher.Flusher(
      store=store,
      program_store=self._rows,
      copies=self._copies,
      entry_by_program=self.entry_by_program,
    )

  async def on_start(self) -> None:
    """Registers the handlers for copies and starts the flusher."""
    sent = self._members.datagrams
    sent.handle(datagrams.PROGRAM_COPY, self.copy_receiver.receive_copy)
    sent.handle(
      datagrams.REMOTE_PROGRAM_COPY, self.copy_receiver.receive_remote_copy
    )
    await self.add_runtime_dependency(self.flusher)

  async def on_stop(self) -> None:
    """Ends the reads that nobody waits for."""
    self.cache.cancel_reads()
    for task in self._loading_by_program.values():
      task.cancel()

  # --- The owner's role -------------------------------------------------------

  async def open_turn(
    self, ask: turn_messages.OpenTurn
  ) -> turn_messages.OpenedTurn:
    """Returns the history of a turn once its tokens are reserved.

    If another domain is the program's home and `ask.is_away` is not set,
    reserves nothing and returns the name of that domain, with the history if it
    is cached.  A brief `ask` gets no history.

    Raises `budget_exceeded` if the turn does not fit the budget, `not_owner` if
    the program is not known and may not begin, `unknown_program` if the turn to
    continue from is not found, `service_full` if the program may not begin yet,
    `outcome_unknown` if another daemon handles, or did lately, a copy of the
    turn, and the other errors of `Reservations.reserve`.
    """
    is_first_arrival = self._arrivals.note(ask)
    is_admitted = False
    try:
      opened = await self._open_turn(ask)
      is_admitted = not opened.home
      return opened
    finally:
      if is_first_arrival and not is_admitted:
        self._arrivals.forget(ask.request)

  async def _open_turn(
    self, ask: turn_messages.OpenTurn
  ) -> turn_messages.OpenedTurn:
    if ask.admission is None:
      return await self._open_admitted(ask)
    if self._is_first(ask, ask.admission):
      # Asked before anything is loaded or reserved, so that a refused program
      # leaves nothing behind.
      self._gate.admit(
        program_gate.FirstTurn(
          program=ask.program, request=ask.request, ask=ask.admission
        )
      )
    try:
      opened = await self._open_admitted(ask)
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
    self, ask: turn_messages.OpenTurn
  ) -> turn_messages.OpenedTurn:
    """Opens a turn of a program that may begin, or is under way."""
    entry = await self._get_entry(ask)
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
    async with entry.lock:
      is_reserved = await self._reserve(entry, ask)
    if not is_reserved:
      return turn_messages.OpenedTurn(home=entry.ledger.home)
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
  ) -> bool:
    try:
      return await self._reservations.reserve(entry, ask)
    finally:
      if entry.is_unverified and not entry.ledger.spent:
        # The next turn asks the store and the other members.
        self.entry_by_program.pop(ask.program, None)

  async def close_turn(
    self, done: turn_messages.CloseTurn
  ) -> turn_messages.Closed:
    """Settles a turn that has ended.

    Its reservation is replaced by the tokens that it delivered.  A complete
    turn is cached.
    """
    self._gate.record_closed(done.program, done.request)
    if not done.has_run:
      self._arrivals.forget(done.request)
    entry = self.entry_by_program.get(done.program)
    if done.turn is not None:
      self.cache.put(done.turn)
    if entry is None:
      return turn_messages.Closed()
    entry.used_at = time.monotonic()
    entry.ledger.settle(done.request, done.tokens)
    if done.instance:
      entry.prefixes.note(done.instance, done.parts, now=entry.used_at)
    # A complete turn in the store already records its tokens, so its settlement
    # need not be written at once.
    entry.needs_flush |= done.turn is None
    turns = () if done.turn is None else (done.turn,)
    self._copies.send_in_background(entry, turns)
    if entry.ledger.home == self._members.me.domain:
      self._copies.send_remote_in_background(entry, turns)
    return turn_messages.Closed()

  async def _get_entry(self, ask: turn_messages.OpenTurn) -> program_rows.Entry:
    entry = self.entry_by_program.get(ask.program)
    if entry is None:
      loaded = await self._load_entry(ask)
      # A concurrent call may have loaded the program in the meantime.
      entry = self.entry_by_program.setdefault(ask.program, loaded)
    entry.used_at = time.monotonic()
    return entry

  async def _load_entry(
    self, ask: turn_messages.OpenTurn
  ) -> program_rows.Entry:
    """Returns a new entry, from the store and other members where needed.

    A program without a row is created if `ask.begins` is set; otherwise raises
    `not_owner`.  Raises `platform_unavailable` if the store cannot be read.
    """
    if not ask.parent and ask.begins:
      # A turn without a parent usually starts a program.  If the program exists
      # already, the failed condition of the first write returns its row, so no
      # read is needed here.
      return program_rows.Entry(
        program=ask.program, ledger=self._rows.make(), is_unverified=True
      )
    view, *others = await self._share_ledgers(ask.program)
    if not ask.begins and not view.version:
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER, 'The program is not known to this daemon.'
      )
    for other in others:
      view.merge(other)
    return program_rows.Entry(
      program=ask.program, ledger=view, needs_flush=view.is_dirty
    )

  async def _share_ledgers(self, program: str) -> list[ledger.Ledger]:
    """Returns the result of `_fetch_ledgers`, copied for each caller.

    Callers that ask at the same time share one call, which goes on if they
    leave.
    """
    loading = self._loading_by_program.get(program)
    if loading is not None:
      ledgers = await asyncio.shield(loading)
      if ledgers[0].version:
        return copy.deepcopy(ledgers)
      # The program may have begun after that read.  One that runs now began
      # later.
      loading = self._loading_by_program.get(program)
    if loading is None:
      loading = asyncio.ensure_future(self._fetch_ledgers(program))
      self._loading_by_program[program] = loading
      loading.add_done_callback(lambda task: self._note_fetched(program, task))
    return copy.deepcopy(await asyncio.shield(loading))

  def _note_fetched(
    self, program: str, task: asyncio.Task[list[ledger.Ledger]]
  ) -> None:
    self._loading_by_program.pop(program, None)
    if not task.cancelled() and task.exception() is not None:
      log.debug('Program %s could not be read: %s', program, task.exception())

  async def _fetch_ledgers(self, program: str) -> list[ledger.Ledger]:
    """Returns the ledgers of a program from the store and other members.

    The first one is that of the store, a new one if the program has no row.
    Members that know nothing more are left out: a previous owner knows which
    turns have ended that the row still has as reserved.
    """
    row, copies = await asyncio.gather(
      self._rows.read(program), self._copies.fetch(program)
    )
    return [row, *(program_copies.decode(copy) for copy in copies)]

  # --- Planned stop -----------------------------------------------------------

  async def hand_over(self) -> None:
    """Sends each program in use to the member that takes over from this one.

    That member then needs no reads of the store.  Failures are logged.
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
