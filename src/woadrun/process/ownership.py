"""Ownership of slots: commits, replication to standbys and changes of owner.

A slot is a numbered part of a failure domain's programs.  The domain's roster,
a row of the table service (the table), names each slot's pair, which is its
owner and its standby, and its epoch, the roster version at which the pair last
changed.  While the table is unavailable, a daemon may claim a slot: it serves
the slot under a higher version within the epoch, without a change of the roster
(see `outage`).

A batch of records is committed once the slot's standby has acknowledged it
under the slot's epoch.  A standby stops acknowledging the old epoch before it
takes over.  The protocol therefore relies on no clock, and an owner that was
frozen learns of its replacement before it causes any effect.  If two daemons
serve a slot nevertheless, the roster row decides which of them is the owner.
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
from woadrun.decisions import write_rate
from woadrun.process import copies
from woadrun.process import membership
from woadrun.process import replication
from woadrun.process import slots
from woadrun.process import storage
from woadrun.version import program
from woadrun.version import roster

log = logging.getLogger('woadrun.ownership')

SYNC_TIMEOUT_SECONDS = 3.0
HANDOVER_TIMEOUT_SECONDS = 3.0
# Within this time of a slot's last acknowledgement, `confirm` returns without a
# new round trip.
CONFIRMATION_TTL_SECONDS = 1.0
# Share of the platform's write rate that checkpoints may use.
CHECKPOINT_WRITE_SHARE = 0.2

# Called when this daemon becomes the owner of a slot.
OwnedListener = Callable[[slots.OwnedSlot], None]


class Ownership(mode.Service):
  """The slots that this daemon owns or replicates, and their transitions."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    links: peers.Peers,
    store: storage.SlotStorage,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._links = links
    self._store = store
    self._answers = config.limits.answers
    self._address = config.daemon.address
    self.owned_slot_by_number: dict[int, slots.OwnedSlot] = {}
    self.copies = copies.Copies(
      members=members,
      address=self._address,
      answers=self._answers,
      is_owned=lambda number: number in self.owned_slot_by_number,
    )
    self.replica_by_slot = self.copies.replica_by_slot
    self._loading: set[int] = set()
    # The epoch, by slot, within which another daemon claimed a slot that this
    # daemon owned.
    self._yielded_epoch_by_slot: dict[int, int] = {}
    self.on_slot_owned: OwnedListener = lambda holding: None
    # Returns the calls of a slot that run here, as slot number, program id and
    # request id.
    self.get_running: Callable[[int], list[tuple[int, str, str]]] = (
      lambda slot: []
    )
    # Counts the slots whose history here diverged from that of the new owner.
    self.forks = 0
    self.streams = replication.Replication(
      address=self._address,
      links=links,
      timeout=config.timing.commit,
      on_ack=self._handle_ack,
      is_pending=self._is_pending,
    )
    members.listeners.append(self._on_roster)
    members.directory.claims = self.get_claims

  async def on_stop(self) -> None:
    """Stops the replication streams to the standbys."""
    await self.streams.on_stop()

  # --- Committing -----------------------------------------------------------

  async def open(self, number: int) -> slots.OwnedSlot:
    """Returns an owned slot that accepts appends.

    Waits while the slot is being loaded, copied or transferred.  Raises
    `not_owner` if this daemon does not own the slot, or if the wait exceeds
    `timing.hold`.
    """
    deadline = time.monotonic() + self._config.timing.hold
    while True:
      holding = self.owned_slot_by_number.get(number)
      is_loading = number in self._loading
      if holding is not None and holding.opened.is_set():
        return holding
      if (holding is None and not is_loading) or time.monotonic() > deadline:
        raise slots.make_not_owner_error(
          f'Slot {number} is not served by this daemon.'
        )
      if holding is None:
        await asyncio.sleep(self._config.timing.heartbeat / 10)
        continue
      # Checks every 0.5 s for the deadline and for a change of owner.
      with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(holding.opened.wait(), 0.5)

  def append(
    self, holding: slots.OwnedSlot, records: list[program.Record]
  ) -> slots.PendingBatch:
    """Applies records to an owned slot and returns their ticket.

    The ticket completes once the standby has acknowledged the records.  Without
    a standby, it completes once the platform has stored them, or with `NOWHERE`
    if that fails.  It fails if another daemon takes the slot over.  Raises
    `not_owner` if this daemon no longer owns the slot or the slot accepts no
    appends now.
    """
    if self.owned_slot_by_number.get(holding.number) is not holding:
      raise slots.make_not_owner_error(
        f'Slot {holding.number} has another owner now.'
      )
    ticket = holding.append(
      records,
      answers=self._answers,
      written=self._store.get_written_sequence(holding.number),
    )
    self._store.add(ticket.append)
    if holding.standby:
      self.streams.send(holding.standby, ticket.append)
    else:
      self.add_future(self._commit_without_standby(holding, ticket))
    return ticket

  async def settle(
    self, ticket: slots.PendingBatch, *, is_strong: bool
  ) -> None:
    """Returns once a batch is committed.

    A strong commit requires that the standby or the platform has stored the
    batch.  It is used for an action, a call that must not be executed twice.
    Without `is_strong`, a batch that neither of them stores counts as committed
    too, once its ticket completes.  Raises `not_committed` if the batch is not
    committed within `timing.commit`, `not_owner` if another daemon took the
    slot over, and `isolated` if this daemon is isolated.
    """
    await self._members.confirm_not_isolated()
    retry_after = self._config.timing.silent_after
    try:
      held = await asyncio.wait_for(
        asyncio.shield(ticket.durability), self._config.timing.commit
      )
    except TimeoutError:
      raise slots.make_not_committed_error(
        'No other daemon has acknowledged the record yet.',
        retry_after=retry_after,
      ) from None
    if is_strong and held < slots.Durability.PLATFORM:
      raise slots.make_not_committed_error(
        'Neither the standby nor the platform has stored the record.',
        retry_after=retry_after,
      )

  async def confirm(self, holding: slots.OwnedSlot) -> None:
    """Returns once an acknowledgement shows that this daemon owns the slot.

    Called before an answer that appends no record.  If the last acknowledgement
    is too old, commits an empty batch and raises the errors of `append` and
    `settle`.  As there, a batch that neither the standby nor the platform
    stores is sufficient.
    """
    age = time.monotonic() - holding.confirmed_at
    if age > CONFIRMATION_TTL_SECONDS:
      await self.settle(self.append(holding, []), is_strong=False)

  async def _commit_without_standby(
    self, holding: slots.OwnedSlot, ticket: slots.PendingBatch
  ) -> None:
    # Half of the time that `settle` waits, so that the ticket completes first.
    wait = self._config.timing.commit / 2
    if self._members.is_platform_up():
      try:
        await asyncio.wait_for(self._store.wait_stored(ticket.append), wait)
      except TimeoutError:
        ticket.settle(slots.Durability.NOWHERE)
        return
      holding.confirmed_at = time.monotonic()
      ticket.settle(slots.Durability.PLATFORM)
      return
    ticket.settle(slots.Durability.NOWHERE)

  def _is_pending(self, standby: str, append: messages.Append) -> bool:
    holding = self.owned_slot_by_number.get(append.slot)
    return (
      holding is not None
      and holding.standby == standby
      and holding.version == append.version
      and any(t.append.sequence == append.sequence for t in holding.tickets)
    )

  def _handle_ack(self, standby: str, ack: messages.Ack) -> None:
    holding = self.owned_slot_by_number.get(ack.slot)
    if holding is None or holding.standby != standby:
      return
    if ack.verdict == slots.AckStatus.OK:
      holding.settle(ack.sequence, self._get_ack_level(holding))
    elif ack.verdict == slots.AckStatus.GAP:
      self.add_future(self._resync(holding))
    else:
      holding.fail(
        slots.make_not_owner_error(
          f'Slot {ack.slot} was taken over by another daemon.'
        )
      )
      self.add_future(self._refresh_roster())

  def _get_ack_level(self, holding: slots.OwnedSlot) -> slots.Durability:
    """Returns the commit level of an acknowledgement by the slot's standby.

    A slot is claimed while the table is unavailable.  Then only the other
    daemon of the pair in the roster can guarantee that no other daemon serves
    the slot.
    """
    entry = self._members.roster.slots[holding.number]
    is_pair = holding.standby in (entry.owner, entry.standby)
    is_certain = is_pair or not holding.is_claimed
    return slots.Durability.STANDBY if is_certain else slots.Durability.HELPER

  async def _refresh_roster(self) -> None:
    try:
      await self._members.refresh_roster()
    except errors.WoadrunError as error:
      log.debug('Roster read failed: %s', error)

  # --- Applying the roster --------------------------------------------------

  def get_claims(self) -> dict[int, roster.Version]:
    """Returns the versions of the claimed slots, by slot number.

    A claimed slot is served here although the roster row does not say so.
    """
    return {
      number: holding.version
      for number, holding in self.owned_slot_by_number.items()
      if holding.is_claimed
    }

  def find_available_slots(self, message: messages.Copies) -> messages.Copies:
    """Returns the requested slots that this daemon claims or has a copy of.

    Copies of earlier epochs do not count.
    """
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
        self._own(number, entry)
      else:
        self._release(number, entry)

  def _own(self, number: int, entry: roster.Slot) -> None:
    holding = self.owned_slot_by_number.get(number)
    if holding is not None:
      self._update_pair(holding, entry)
      return
    if self._yielded_epoch_by_slot.get(number) == entry.epoch:
      # Another daemon claimed the slot and will record that in the roster row.
      return
    copy = self.copies.pop(number, entry.owner_before)
    if copy is not None:
      holding = _make_holding(number, entry, copy.state)
      self._start_serving(holding, copy.tail)
      self.add_future(self._probe_standby(holding))
    elif entry.before == 0:
      # No daemon has owned the slot before, so it is empty.
      self._start_serving(_make_holding(number, entry, program.SlotState()))
    elif number not in self._loading:
      self._loading.add(number)
      self.add_future(self._load_from_platform(number))

  def _update_pair(self, holding: slots.OwnedSlot, entry: roster.Slot) -> None:
    if holding.epoch == entry.epoch:
      return
    holding.version = roster.Version(entry.epoch)
    holding.standby = entry.standby
    holding.is_claimed = False
    standby, sequence = holding.copied_to
    if standby and standby == entry.standby:
      holding.settle(sequence, slots.Durability.STANDBY)
    elif entry.standby:
      self.add_future(self._probe_standby(holding))
    for ticket in holding.tickets:
      self.add_future(self._commit_without_standby(holding, ticket))

  async def _probe_standby(self, holding: slots.OwnedSlot) -> None:
    """Sends an empty batch, which a standby without a copy reports as a gap.

    The write of a new pair to the roster row may succeed although the table
    service's answer is lost.  The slot's owner then tells the new standby to
    drop its copy.  Without this check, a slot without calls would stay without
    a copy, and no daemon could take it over.
    """
    try:
      current = await self.open(holding.number)
      if current.standby:
        self.append(current, [])
    except errors.WoadrunError as error:
      log.debug('Standby check of slot %d failed: %s', holding.number, error)

  def _start_serving(
    self, holding: slots.OwnedSlot, tail: Iterable[messages.Append] = ()
  ) -> None:
    self._store.begin(holding.number, tail)
    holding.opened.set()
    self.owned_slot_by_number[holding.number] = holding
    self.on_slot_owned(holding)

  def begin_claim(self, number: int, replica: slots.Replica) -> None:
    """Starts serving a slot from the local replica, without a table write."""
    del self.replica_by_slot[number]
    holding = slots.OwnedSlot(
      number=number, version=replica.version, standby='', state=replica.state
    )
    holding.claim(self._address)
    self._start_serving(holding, replica.tail)

  def _release(self, number: int, entry: roster.Slot) -> None:
    holding = self.owned_slot_by_number.get(number)
    if holding and holding.is_claimed and holding.epoch == entry.epoch:
      # The roster changed other slots only and does not include this daemon's
      # claim yet.
      return
    self.owned_slot_by_number.pop(number, None)
    self._loading.discard(number)
    if holding is not None:
      self._stop_serving(holding, entry)
    if holding is not None and holding.epoch == entry.before:
      # The replica starts without a tail of unwritten batches: the storage of
      # this daemon still writes those that it has queued for the platform.
      self.copies.become_standby(number, entry, holding.state)
    else:
      self.copies.apply_entry(number, entry)

  def _stop_serving(self, holding: slots.OwnedSlot, entry: roster.Slot) -> None:
    log.info('Slot %d is now served by %s.', holding.number, entry.owner)
    if holding.is_claimed and holding.standby != entry.owner:
      self._record_fork(holding)
    holding.fail(
      slots.make_not_owner_error(
        f'Slot {holding.number} has another owner now.'
      )
    )
    holding.opened.set()

  def _record_fork(self, holding: slots.OwnedSlot) -> None:
    # The slot has two divergent histories.  That of the new owner stays in
    # effect; this daemon's is stored for operators to merge.
    self.forks += 1
    log.error(
      'Slot %d has divergent histories; storing that of %s.',
      holding.number,
      self._address,
    )
    self.add_future(self._store.store_fork(holding.number, holding.state))

  async def _load_from_platform(self, number: int) -> None:
    # The failure domain has no copy of the slot.  An owner that is cut off from
    # most of the domain detects that within this delay and stops serving the
    # slot.
    await asyncio.sleep(self._config.timing.silent_after)
    while number in self._loading:
      try:
        state = await self._store.load(number, answers=self._answers)
        break
      except errors.WoadrunError as error:
        log.warning('Load of slot %d failed: %s', number, error.message)
        await asyncio.sleep(self._config.timing.silent_after)
    entry = self._members.roster.slots[number]
    if number in self._loading and entry.owner == self._address:
      self._loading.discard(number)
      log.warning('Slot %d was loaded from the platform.', number)
      self._start_serving(_make_holding(number, entry, state))

  # --- Copying ---------------------------------------------------------------

  async def send_copy(
    self, holding: slots.OwnedSlot, standby: str, *, copy_id: str = ''
  ) -> None:
    """Sends an owned slot's state to its standby or future standby.

    Raises `stale_epoch` if the receiver would not use the copy.
    """
    message = messages.Sync(
      sender=self._address,
      slot=holding.number,
      version=holding.version,
      state=holding.state,
      tail=self._store.get_unwritten_batches(holding.number),
      copy_id=copy_id,
    )
    await self._post_copy(message, standby)

  async def send_replica(
    self, number: int, replica: slots.Replica, standby: str
  ) -> None:
    """Sends the replica of a slot that this daemon is taking over.

    Raises `stale_epoch` if the receiver, the future standby, would not use it.
    """
    message = messages.Sync(
      sender=self._address,
      slot=number,
      version=replica.version,
      state=replica.state,
      tail=list(replica.tail),
    )
    await self._post_copy(message, standby)

  async def _post_copy(self, message: messages.Sync, standby: str) -> None:
    await self._links.post(
      standby, 'sync', message, type=messages.Done, timeout=SYNC_TIMEOUT_SECONDS
    )

  async def send_running_calls(
    self, held: list[slots.OwnedSlot], target: str
  ) -> None:
    """Tells the future owner of slots which of their calls run here.

    This daemon completes these calls: they are not moved with their slots.
    """
    requests = [r for h in held for r in self.get_running(h.number)]
    if not requests:
      return
    message = messages.Handover(
      sender=self._address,
      incarnation=self._members.incarnation,
      requests=requests,
    )
    await self._links.post(
      target,
      'handover',
      message,
      type=messages.Done,
      timeout=HANDOVER_TIMEOUT_SECONDS,
    )

  async def _resync(self, holding: slots.OwnedSlot) -> None:
    if holding.is_resyncing:
      return
    holding.is_resyncing = True
    holding.opened.clear()
    sequence = holding.state.sequence
    try:
      await self.send_copy(holding, holding.standby)
      self.mark_replicated(holding, sequence)
    except errors.WoadrunError as error:
      log.debug('Copy of slot %d to standby failed: %s', holding.number, error)
    finally:
      holding.is_resyncing = False
      holding.opened.set()

  def mark_replicated(self, holding: slots.OwnedSlot, sequence: int) -> None:
    """Marks the batches that a copy contains as replicated to the standby."""
    holding.settle(sequence, self._get_ack_level(holding))

  def release_claimed_slots(self, claims: dict[int, roster.Version]) -> None:
    """Stops serving slots that another daemon claims with a newer version.

    A claim is newer than a version of the same epoch with a lower claim number.
    Replicas that are older than the claims are dropped, since they may miss
    later records.
    """
    for number, claim in claims.items():
      self.copies.drop_superseded(number, claim)
      holding = self.owned_slot_by_number.get(number)
      if holding is not None and copies.supersedes(claim, holding.version):
        del self.owned_slot_by_number[number]
        self._yielded_epoch_by_slot[number] = claim.epoch
        entry = roster.Slot(owner=claim.claimer, epoch=claim.epoch)
        self._stop_serving(holding, entry)

  # --- Checkpoints ----------------------------------------------------------

  @mode.Service.task
  async def _write_checkpoints(self) -> None:
    while not self.should_stop:
      await self.sleep(self._get_checkpoint_interval())
      try:
        await self._checkpoint_all()
      except errors.WoadrunError as error:
        log.debug('Checkpoint write failed: %s', error)

  def _get_checkpoint_interval(self) -> float:
    # The checkpoints of all slots of all daemons share a part of the platform's
    # write rate.  Their number is estimated from the slots owned here.
    slot_count = len(self.owned_slot_by_number) * self._members.count_daemons()
    budget = self._config.platform.writes_per_second * CHECKPOINT_WRITE_SHARE
    return write_rate.get_interval(
      self._config.timing.checkpoint, slot_count, budget
    )

  async def _checkpoint_all(self) -> None:
    for number, holding in list(self.owned_slot_by_number.items()):
      if holding.checkpoint_sequence != holding.state.sequence:
        sequence = holding.state.sequence
        await self._store.checkpoint(number, holding.version, holding.state)
        holding.checkpoint_sequence = sequence
    known = self._members.roster
    live = set(known.incarnations) - self._members.get_silent()
    # One live member of the domain deletes the objects that no load needs.
    if roster.rank('clean', live)[:1] == [self._address]:
      await self._store.clean(len(known.slots))

  def dump(self) -> dict[str, object]:
    """Returns the state of the slots as plain data."""
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
        for n, h in sorted(self.owned_slot_by_number.items())
      },
      'standing_by': self.copies.dump(),
      'loading': sorted(self._loading),
      'forks': self.forks,
      'replicated_batches': self.streams.sent,
    }


def _make_holding(
  number: int, entry: roster.Slot, state: program.SlotState
) -> slots.OwnedSlot:
  return slots.OwnedSlot(
    number=number,
    version=roster.Version(entry.epoch),
    standby=entry.standby,
    state=state,
  )
