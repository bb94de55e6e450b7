"""Who serves a slot, and how it passes from one daemon to another.

A batch of records counts as committed once the slot's standby has it
under the slot's epoch.  A standby that takes over first stops to
acknowledge the old epoch; so no clock is trusted, and an owner that was
frozen finds out before any effect.  The roster row says who won.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import logging
import time

import mode

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.decisions import pace
from woadrun.process import copies
from woadrun.process import membership
from woadrun.process import replication
from woadrun.process import slots
from woadrun.process import storage
from woadrun.version import program
from woadrun.version import roster

log = logging.getLogger('woadrun.ownership')

SYNC_TIMEOUT = 3.0
ANNOUNCE_TIMEOUT = 3.0
# A slot whose standby acknowledged something so lately is surely ours.
CONFIRMED_SECONDS = 1.0
# The part of the platform's writes that checkpoints may take.
CHECKPOINT_SHARE = 0.2

# Called when this daemon becomes the owner of a slot.
OwnedListener = Callable[[slots.Holding], None]


class Ownership(mode.Service):
  """The slots of this daemon, and the steps that change who holds them."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    links: peers.Peers,
    store: storage.Storage,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._links = links
    self._store = store
    self._answers = config.limits.answers
    self._address = config.daemon.address
    self.holding_by_slot: dict[int, slots.Holding] = {}
    self.copies = copies.Copies(
      members=members,
      address=self._address,
      answers=self._answers,
      is_held=lambda number: number in self.holding_by_slot,
    )
    self.replica_by_slot = self.copies.replica_by_slot
    self._loading: set[int] = set()
    # The epochs at which slots were left to their standbys.
    self._yielded: dict[int, int] = {}
    self.on_owned: OwnedListener = lambda holding: None
    self.get_running: Callable[[int], list[tuple[int, str, str]]] = (
      lambda slot: []
    )
    self.forks = 0
    self.streams = replication.Replication(
      address=self._address,
      links=links,
      timeout=config.timing.commit,
      on_ack=self._note_ack,
      is_wanted=self._is_wanted,
    )
    members.listeners.append(self._on_roster)
    members.directory.claims = self.get_claims

  async def on_stop(self) -> None:
    """Ends the streams to the standbys."""
    await self.streams.on_stop()

  # --- Committing -----------------------------------------------------------

  async def open(self, number: int) -> slots.Holding:
    """Returns an owned slot that can be appended to right now.

    Waits while the slot changes hands.  Raises `not_owner` otherwise.
    """
    deadline = time.monotonic() + self._config.timing.hold
    while True:
      holding = self.holding_by_slot.get(number)
      is_coming = number in self._loading
      if holding is not None and holding.opened.is_set():
        return holding
      if (holding is None and not is_coming) or time.monotonic() > deadline:
        raise slots.make_not_owner(f'Slot {number} is not owned here.')
      if holding is None:
        await asyncio.sleep(self._config.timing.heartbeat / 10)
        continue
      with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(holding.opened.wait(), 0.5)

  def append(
    self, holding: slots.Holding, records: list[program.Record]
  ) -> slots.Ticket:
    """Returns the ticket of records that are applied here at once."""
    if self.holding_by_slot.get(holding.number) is not holding:
      raise slots.make_not_owner(f'Slot {holding.number} was given away.')
    ticket = holding.append(
      records,
      answers=self._answers,
      written=self._store.get_written(holding.number),
    )
    self._store.add(ticket.append)
    if holding.standby:
      self.streams.send(holding.standby, ticket.append)
    else:
      self.add_future(self._settle_alone(holding, ticket))
    return ticket

  async def settle(self, ticket: slots.Ticket, *, is_strong: bool) -> None:
    """Returns once a batch is committed.

    A strong commit, that an action needs, has to be held by the standby
    or the platform; without either only the others are let through.
    """
    await self._members.confirm()
    retry_after = self._config.timing.silent_after
    try:
      held = await asyncio.wait_for(
        asyncio.shield(ticket.held), self._config.timing.commit
      )
    except TimeoutError:
      raise slots.make_not_committed(
        'No other daemon holds the record yet.', retry_after=retry_after
      ) from None
    if is_strong and held < slots.Held.PLATFORM:
      raise slots.make_not_committed(
        'Neither the standby nor the platform can hold the intent.',
        retry_after=retry_after,
      )

  async def confirm(self, holding: slots.Holding) -> None:
    """Returns once a fresh round trip shows that the slot is still ours."""
    age = time.monotonic() - holding.confirmed_at
    if age > CONFIRMED_SECONDS:
      await self.settle(self.append(holding, []), is_strong=False)

  async def _settle_alone(
    self, holding: slots.Holding, ticket: slots.Ticket
  ) -> None:
    wait = self._config.timing.commit / 2
    if self._members.is_platform_up():
      try:
        await asyncio.wait_for(self._store.wait_flushed(ticket.append), wait)
      except TimeoutError:
        ticket.settle(slots.Held.NOWHERE)
        return
      holding.confirmed_at = time.monotonic()
      ticket.settle(slots.Held.PLATFORM)
      return
    ticket.settle(slots.Held.NOWHERE)

  def _is_wanted(self, standby: str, append: messages.Append) -> bool:
    holding = self.holding_by_slot.get(append.slot)
    return (
      holding is not None
      and holding.standby == standby
      and holding.version == append.version
      and any(t.append.sequence == append.sequence for t in holding.tickets)
    )

  def _note_ack(self, standby: str, ack: messages.Ack) -> None:
    holding = self.holding_by_slot.get(ack.slot)
    if holding is None or holding.standby != standby:
      return
    if ack.verdict == slots.Verdict.OK:
      holding.settle(ack.sequence, self._get_weight(holding))
    elif ack.verdict == slots.Verdict.GAP:
      self.add_future(self._resync(holding))
    else:
      holding.fail(slots.make_not_owner(f'Slot {ack.slot} was taken over.'))
      self.add_future(self._refresh())

  def _get_weight(self, holding: slots.Holding) -> slots.Held:
    """Returns what an acknowledgement of the slot's standby counts for.

    While the table is out only the other one of the pair that the table
    names can vouch that nobody else acts for the slot.
    """
    entry = self._members.roster.slots[holding.number]
    is_pair = holding.standby in (entry.owner, entry.standby)
    is_sure = is_pair or not holding.is_claimed
    return slots.Held.STANDBY if is_sure else slots.Held.HELPER

  async def _refresh(self) -> None:
    try:
      await self._members.refresh()
    except errors.WoadrunError as error:
      log.debug('Roster not read: %s', error)

  # --- The roster in force --------------------------------------------------

  def get_claims(self) -> dict[int, roster.Version]:
    """Returns the slots served without the table's word, with the version."""
    return {
      number: holding.version
      for number, holding in self.holding_by_slot.items()
      if holding.is_claimed
    }

  def find_copied(self, message: messages.Copies) -> messages.Copies:
    """Returns which slots this daemon serves as claims or has a copy of."""
    known = self._members.roster.slots
    claims = self.get_claims()
    copied = [
      number
      for number in message.slots
      if number in claims
      or (
        (replica := self.replica_by_slot.get(number)) is not None
        and replica.version.epoch == known[number].epoch
      )
    ]
    return messages.Copies(slots=copied)

  def _on_roster(self, new: roster.Roster) -> None:
    for number, entry in enumerate(new.slots):
      if entry.owner == self._address:
        self._hold(number, entry)
      else:
        self._give_up(number, entry)

  def _hold(self, number: int, entry: roster.Slot) -> None:
    holding = self.holding_by_slot.get(number)
    if holding is not None:
      self._follow(holding, entry)
      return
    if self._yielded.get(number) == entry.epoch:
      # The standby serves the slot, and will tell the table so.
      return
    copy = self.copies.take(number, entry.owner_before)
    if copy is not None:
      holding = _make_holding(number, entry, copy.state)
      self._begin(holding, copy.tail)
      self.add_future(self._check_standby(holding))
    elif entry.before == 0:
      # Nobody has ever held the slot: it is empty.
      self._begin(_make_holding(number, entry, program.SlotState()))
    elif number not in self._loading:
      self._loading.add(number)
      self.add_future(self._load(number))

  def _follow(self, holding: slots.Holding, entry: roster.Slot) -> None:
    if holding.epoch == entry.epoch:
      return
    holding.version = roster.Version(entry.epoch)
    holding.standby = entry.standby
    holding.is_claimed = False
    standby, sequence = holding.synced
    if standby and standby == entry.standby:
      holding.settle(sequence, slots.Held.STANDBY)
    elif entry.standby:
      self.add_future(self._check_standby(holding))
    for ticket in holding.tickets:
      self.add_future(self._settle_alone(holding, ticket))

  async def _check_standby(self, holding: slots.Holding) -> None:
    """Sends an empty batch, which a standby without a copy reports as a gap.

    The write of a pair may succeed although its answer is lost and the standby
    was told to drop its copy.  A slot without calls would stay without a copy,
    and nobody could take it over.
    """
    try:
      current = await self.open(holding.number)
      if current.standby:
        self.append(current, [])
    except errors.WoadrunError as error:
      log.debug('Slot %d not checked: %s', holding.number, error)

  def _begin(
    self, holding: slots.Holding, tail: Iterable[messages.Append] = ()
  ) -> None:
    self._store.begin(holding.number, tail)
    holding.opened.set()
    self.holding_by_slot[holding.number] = holding
    self.on_owned(holding)

  def begin_claim(self, number: int, replica: slots.Replica) -> None:
    """Serves a slot that this daemon stood by for, without the table's word."""
    del self.replica_by_slot[number]
    holding = slots.Holding(
      number=number, version=replica.version, standby='', state=replica.state
    )
    holding.claim(self._address)
    self._begin(holding, replica.tail)

  def _give_up(self, number: int, entry: roster.Slot) -> None:
    holding = self.holding_by_slot.get(number)
    if holding and holding.is_claimed and holding.epoch == entry.epoch:
      # Only other slots changed; the table does not know of the claim yet.
      return
    self.holding_by_slot.pop(number, None)
    self._loading.discard(number)
    if holding is not None:
      self._drop(holding, entry)
    if holding is not None and holding.epoch == entry.before:
      # What this daemon has not written yet it goes on to write.
      self.copies.keep(number, entry, holding.state)
    else:
      self.copies.follow(number, entry)

  def _drop(self, holding: slots.Holding, entry: roster.Slot) -> None:
    log.info('Slot %d goes to %s.', holding.number, entry.owner)
    if holding.is_claimed and holding.standby != entry.owner:
      self._report_fork(holding)
    holding.fail(slots.make_not_owner(f'Slot {holding.number} was taken.'))
    holding.opened.set()

  def _report_fork(self, holding: slots.Holding) -> None:
    # Two ends of a history exist; neither is dropped silently.
    self.forks += 1
    log.error('Slot %d has a second end at %s.', holding.number, self._address)
    self.add_future(self._store.keep_fork(holding.number, holding.state))

  async def _load(self, number: int) -> None:
    # No copy is left in the domain.  An owner that is cut off from most of
    # it notices within this time and stops.
    await asyncio.sleep(self._config.timing.silent_after)
    while number in self._loading:
      try:
        state = await self._store.load(number, answers=self._answers)
        break
      except errors.WoadrunError as error:
        log.warning('Slot %d not loaded: %s', number, error.message)
        await asyncio.sleep(self._config.timing.silent_after)
    entry = self._members.roster.slots[number]
    if number in self._loading and entry.owner == self._address:
      self._loading.discard(number)
      log.warning('Slot %d was loaded from the platform.', number)
      self._begin(_make_holding(number, entry, state))

  # --- Copying ---------------------------------------------------------------

  async def copy(
    self, holding: slots.Holding, standby: str, *, copy_id: str = ''
  ) -> None:
    """Sends an owned slot's state to a standby to be."""
    message = messages.Sync(
      sender=self._address,
      slot=holding.number,
      version=holding.version,
      state=holding.state,
      tail=self._store.get_unwritten(holding.number),
      copy_id=copy_id,
    )
    await self._send_copy(message, standby)

  async def copy_replica(
    self, number: int, replica: slots.Replica, standby: str
  ) -> None:
    """Sends the state of a slot that is being taken over."""
    message = messages.Sync(
      sender=self._address,
      slot=number,
      version=replica.version,
      state=replica.state,
      tail=list(replica.tail),
    )
    await self._send_copy(message, standby)

  async def _send_copy(self, message: messages.Sync, standby: str) -> None:
    await self._links.post(
      standby, 'sync', message, type=messages.Done, timeout=SYNC_TIMEOUT
    )

  async def announce(self, held: list[slots.Holding], target: str) -> None:
    """Tells a receiver of slots which of their calls are finished here."""
    requests = [r for h in held for r in self.get_running(h.number)]
    if not requests:
      return
    message = messages.Handover(
      sender=self._address,
      incarnation=self._members.incarnation,
      requests=requests,
    )
    await self._links.post(
      target, 'handover', message, type=messages.Done, timeout=ANNOUNCE_TIMEOUT
    )

  async def _resync(self, holding: slots.Holding) -> None:
    if holding.is_resyncing:
      return
    holding.is_resyncing = True
    holding.opened.clear()
    sequence = holding.state.sequence
    try:
      await self.copy(holding, holding.standby)
      self.note_copied(holding, sequence)
    except errors.WoadrunError as error:
      log.debug('Slot %d not copied: %s', holding.number, error)
    finally:
      holding.is_resyncing = False
      holding.opened.set()

  def note_copied(self, holding: slots.Holding, sequence: int) -> None:
    """Marks what a copy held as committed: the slot's standby has it."""
    holding.settle(sequence, self._get_weight(holding))

  def yield_slots(self, claims: dict[int, roster.Version]) -> None:
    """Gives up what another daemon serves while the table is out.

    A copy of the time before its claim is of no use any more.
    """
    for number, claim in claims.items():
      self.copies.drop_before(number, claim)
      holding = self.holding_by_slot.get(number)
      if holding is not None and copies.is_after(claim, holding.version):
        del self.holding_by_slot[number]
        self._yielded[number] = claim.epoch
        entry = roster.Slot(owner=claim.claimer, epoch=claim.epoch)
        self._drop(holding, entry)

  # --- Checkpoints ----------------------------------------------------------

  @mode.Service.task
  async def _write_checkpoints(self) -> None:
    while not self.should_stop:
      await self.sleep(self._get_checkpoint_interval())
      try:
        await self._checkpoint_all()
      except errors.WoadrunError as error:
        log.debug('Checkpoint not written: %s', error)

  def _get_checkpoint_interval(self) -> float:
    # All slots of all daemons share a part of the platform's writes.
    slots = len(self.holding_by_slot) * self._members.count_daemons()
    budget = self._config.platform.writes_per_second * CHECKPOINT_SHARE
    return pace.get_interval(self._config.timing.checkpoint, slots, budget)

  async def _checkpoint_all(self) -> None:
    for number, holding in list(self.holding_by_slot.items()):
      if holding.checkpointed != holding.state.sequence:
        sequence = holding.state.sequence
        await self._store.checkpoint(number, holding.version, holding.state)
        holding.checkpointed = sequence
    known = self._members.roster
    live = set(known.incarnations) - self._members.get_silent()
    if roster.rank('clean', live)[:1] == [self._address]:
      await self._store.clean(len(known.slots))

  def dump(self) -> dict[str, object]:
    """Returns the state of this part as plain data."""
    return {
      'owned': {
        str(n): {
          'epoch': h.epoch,
          'claim': h.version.claim,
          'standby': h.standby,
          'sequence': h.state.sequence,
          'programs': len(h.state.program_by_id),
          'under_way': len(h.tickets),
          'is_open': h.opened.is_set(),
          'is_claimed': h.is_claimed,
        }
        for n, h in sorted(self.holding_by_slot.items())
      },
      'standing_by': self.copies.dump(),
      'loading': sorted(self._loading),
      'forks': self.forks,
      'replicated_batches': self.streams.sent,
    }


def _make_holding(
  number: int, entry: roster.Slot, state: program.SlotState
) -> slots.Holding:
  return slots.Holding(
    number=number,
    version=roster.Version(entry.epoch),
    standby=entry.standby,
    state=state,
  )
