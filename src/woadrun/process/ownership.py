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
# Within this time of a slot's last acknowledgement, `confirm_ownership` returns
# without a new round trip.
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
    messenger: peers.Peers,
    store: storage.SlotStorage,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._links = messenger
    self._store = store
    self._answers = config.limits.answers
    self._address = config.daemon.address
    self.owned_slot_by_number: dict[int, slots.OwnedSlot] = {}
    self.copies = copies.SlotCopies(
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
    self.on_slot_owned: OwnedListener = lambda owned_slot: None
    # Returns the calls of a slot that run here, as slot number, program id and
    # request id.
    self.get_running: Callable[[int], list[tuple[int, str, str]]] = (
      lambda slot: []
    )
    # Counts the slots whose history here diverged from that of the new owner.
    self.forks = 0
    self.streams = replication.Replication(
      address=self._address,
      messenger=messenger,
      timeout=config.timing.commit,
      on_ack=self._handle_ack,
      is_pending=self._is_pending,
    )
    members.own_roster_listeners.append(self._on_roster)
    members.directory.claims = self.get_claims

  async def on_stop(self) -> None:
    """Stops the replication streams to the standbys."""
    await self.streams.on_stop()

  # --- Committing -----------------------------------------------------------

  async def wait_until_writable(self, number: int) -> slots.OwnedSlot:
    """Returns an owned slot that accepts appends.

    Waits while the slot is being loaded, copied or transferred.  Raises
    `not_owner` if this daemon does not own the slot, or if the wait exceeds
    `timing.hold`.
    """
    deadline = time.monotonic() + self._config.timing.hold
    while True:
      owned_slot = self.owned_slot_by_number.get(number)
      is_loading = number in self._loading
      if owned_slot is not None and owned_slot.writable.is_set():
        return owned_slot
      if (owned_slot is None and not is_loading) or time.monotonic() > deadline:
        raise slots.make_not_owner_error(
          f'Slot {number} is not served by this daemon.'
        )
      if owned_slot is None:
        await asyncio.sleep(self._config.timing.heartbeat / 10)
        continue
      # Checks every 0.5 s for the deadline and for a change of owner.
      with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(owned_slot.writable.wait(), 0.5)

  def append(
    self, owned_slot: slots.OwnedSlot, records: list[program.Record]
  ) -> slots.PendingBatch:
    """Applies records to an owned slot and returns their ticket.

    The ticket completes once the standby has acknowledged the records.  Without
    a standby, it completes once the platform has stored them, or with `NOWHERE`
    if that fails.  It fails if another daemon takes the slot over.  Raises
    `not_owner` if this daemon no longer owns the slot or the slot accepts no
    appends now.
    """
    if self.owned_slot_by_number.get(owned_slot.number) is not owned_slot:
      raise slots.make_not_owner_error(
        f'Slot {owned_slot.number} has another owner now.'
      )
    ticket = owned_slot.append(
      records,
      answers=self._answers,
      written=self._store.get_written_sequence(owned_slot.number),
    )
    self._store.add(ticket.append)
    if owned_slot.standby:
      self.streams.send(owned_slot.standby, ticket.append)
    else:
      self.add_future(self._commit_without_standby(owned_slot, ticket))
    return ticket

  async def wait_for_commit(
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

  async def confirm_ownership(self, owned_slot: slots.OwnedSlot) -> None:
    """Returns once an acknowledgement shows that this daemon owns the slot.

    Called before an answer that appends no record.  If the last acknowledgement
    is too old, commits an empty batch and raises the errors of `append` and
    `wait_for_commit`.  As there, a batch that neither the standby nor the
    platform stores is sufficient.
    """
    age = time.monotonic() - owned_slot.confirmed_at
    if age > CONFIRMATION_TTL_SECONDS:
      await self.wait_for_commit(self.append(owned_slot, []), is_strong=False)

  async def _commit_without_standby(
    self, owned_slot: slots.OwnedSlot, ticket: slots.PendingBatch
  ) -> None:
    # Half of the time that `wait_for_commit` waits, so that the ticket
    # completes first.
    wait = self._config.timing.commit / 2
    if self._members.is_platform_up():
      try:
        await asyncio.wait_for(self._store.wait_stored(ticket.append), wait)
      except TimeoutError:
        ticket.settle(slots.Durability.NOWHERE)
        return
      owned_slot.confirmed_at = time.monotonic()
      ticket.settle(slots.Durability.PLATFORM)
      return
    ticket.settle(slots.Durability.NOWHERE)

  def _is_pending(self, standby: str, append: messages.Append) -> bool:
    owned_slot = self.owned_slot_by_number.get(append.slot)
    return (
      owned_slot is not None
      and owned_slot.standby == standby
      and owned_slot.version == append.version
      and any(t.append.sequence == append.sequence for t in owned_slot.tickets)
    )

  def _handle_ack(self, standby: str, ack: messages.Ack) -> None:
    owned_slot = self.owned_slot_by_number.get(ack.slot)
    if owned_slot is None or owned_slot.standby != standby:
      return
    if ack.verdict == slots.AckStatus.OK:
      owned_slot.settle(ack.sequence, self._get_ack_level(owned_slot))
    elif ack.verdict == slots.AckStatus.GAP:
      self.add_future(self._resync(owned_slot))
    else:
      owned_slot.fail(
        slots.make_not_owner_error(
          f'Slot {ack.slot} was taken over by another daemon.'
        )
      )
      self.add_future(self._refresh_roster())

  def _get_ack_level(self, owned_slot: slots.OwnedSlot) -> slots.Durability:
    """Returns the commit level of an acknowledgement by the slot's standby.

    A slot is claimed while the table is unavailable.  Then only the other
    daemon of the pair in the roster can guarantee that no other daemon serves
    the slot.
    """
    entry = self._members.roster.slots[owned_slot.number]
    is_pair = owned_slot.standby in (entry.owner, entry.standby)
    is_certain = is_pair or not owned_slot.is_claimed
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
      number: owned_slot.version
      for number, owned_slot in self.owned_slot_by_number.items()
      if owned_slot.is_claimed
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
    owned_slot = self.owned_slot_by_number.get(number)
    if owned_slot is not None:
      self._update_pair(owned_slot, entry)
      return
    if self._yielded_epoch_by_slot.get(number) == entry.epoch:
      # Another daemon claimed the slot and will record that in the roster row.
      return
    copy = self.copies.pop(number, entry.owner_before)
    if copy is not None:
      owned_slot = _make_owned_slot(number, entry, copy.state)
      self._start_serving(owned_slot, copy.tail)
      self.add_future(self._probe_standby(owned_slot))
    elif entry.before == 0:
      # No daemon has owned the slot before, so it is empty.
      self._start_serving(_make_owned_slot(number, entry, program.SlotState()))
    elif number not in self._loading:
      self._loading.add(number)
      self.add_future(self._load_from_platform(number))

  def _update_pair(
    self, owned_slot: slots.OwnedSlot, entry: roster.Slot
  ) -> None:
    if owned_slot.epoch == entry.epoch:
      return
    owned_slot.version = roster.Version(entry.epoch)
    owned_slot.standby = entry.standby
    owned_slot.is_claimed = False
    standby, sequence = owned_slot.copied_to
    if standby and standby == entry.standby:
      owned_slot.settle(sequence, slots.Durability.STANDBY)
    elif entry.standby:
      self.add_future(self._probe_standby(owned_slot))
    for ticket in owned_slot.tickets:
      self.add_future(self._commit_without_standby(owned_slot, ticket))

  async def _probe_standby(self, owned_slot: slots.OwnedSlot) -> None:
    """Sends an empty batch, which a standby without a copy reports as a gap.

    The write of a new pair to the roster row may succeed although the table
    service's answer is lost.  The slot's owner then tells the new standby to
    drop its copy.  Without this check, a slot without calls would stay without
    a copy, and no daemon could take it over.
    """
    try:
      current = await self.wait_until_writable(owned_slot.number)
      if current.standby:
        self.append(current, [])
    except errors.WoadrunError as error:
      log.debug('Standby check of slot %d failed: %s', owned_slot.number, error)

  def _start_serving(
    self, owned_slot: slots.OwnedSlot, tail: Iterable[messages.Append] = ()
  ) -> None:
    self._store.begin_ownership(owned_slot.number, tail)
    owned_slot.writable.set()
    self.owned_slot_by_number[owned_slot.number] = owned_slot
    self.on_slot_owned(owned_slot)

  def begin_claim(self, number: int, replica: slots.Replica) -> None:
    """Starts serving a slot from the local replica, without a table write."""
    del self.replica_by_slot[number]
    owned_slot = slots.OwnedSlot(
      number=number, version=replica.version, standby='', state=replica.state
    )
    owned_slot.claim(self._address)
    self._start_serving(owned_slot, replica.tail)

  def _release(self, number: int, entry: roster.Slot) -> None:
    owned_slot = self.owned_slot_by_number.get(number)
    if owned_slot and owned_slot.is_claimed and owned_slot.epoch == entry.epoch:
      # The roster changed other slots only and does not include this daemon's
      # claim yet.
      return
    self.owned_slot_by_number.pop(number, None)
    self._loading.discard(number)
    if owned_slot is not None:
      self._stop_serving(owned_slot, entry)
    if owned_slot is not None and owned_slot.epoch == entry.before:
      # The replica starts without a tail of unwritten batches: the storage of
      # this daemon still writes those that it has queued for the platform.
      self.copies.become_standby(number, entry, owned_slot.state)
    else:
      self.copies.apply_entry(number, entry)

  def _stop_serving(
    self, owned_slot: slots.OwnedSlot, entry: roster.Slot
  ) -> None:
    log.info('Slot %d is now served by %s.', owned_slot.number, entry.owner)
    if owned_slot.is_claimed and owned_slot.standby != entry.owner:
      self._record_fork(owned_slot)
    owned_slot.fail(
      slots.make_not_owner_error(
        f'Slot {owned_slot.number} has another owner now.'
      )
    )
    owned_slot.writable.set()

  def _record_fork(self, owned_slot: slots.OwnedSlot) -> None:
    # The slot has two divergent histories.  That of the new owner stays in
    # effect; this daemon's is stored for operators to merge.
    self.forks += 1
    log.error(
      'Slot %d has divergent histories; storing that of %s.',
      owned_slot.number,
      self._address,
    )
    self.add_future(self._store.store_fork(owned_slot.number, owned_slot.state))

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
      self._start_serving(_make_owned_slot(number, entry, state))

  # --- Copying ---------------------------------------------------------------

  async def send_copy(
    self, owned_slot: slots.OwnedSlot, standby: str, *, copy_id: str = ''
  ) -> None:
    """Sends an owned slot's state to its standby or future standby.

    Raises `stale_epoch` if the receiver would not use the copy.
    """
    message = messages.Sync(
      sender=self._address,
      slot=owned_slot.number,
      version=owned_slot.version,
      state=owned_slot.state,
      tail=self._store.get_unwritten_batches(owned_slot.number),
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

  async def _resync(self, owned_slot: slots.OwnedSlot) -> None:
    if owned_slot.is_resyncing:
      return
    owned_slot.is_resyncing = True
    owned_slot.writable.clear()
    sequence = owned_slot.state.sequence
    try:
      await self.send_copy(owned_slot, owned_slot.standby)
      self.mark_replicated(owned_slot, sequence)
    except errors.WoadrunError as error:
      log.debug(
        'Copy of slot %d to standby failed: %s', owned_slot.number, error
      )
    finally:
      owned_slot.is_resyncing = False
      owned_slot.writable.set()

  def mark_replicated(self, owned_slot: slots.OwnedSlot, sequence: int) -> None:
    """Marks the batches that a copy contains as replicated to the standby."""
    owned_slot.settle(sequence, self._get_ack_level(owned_slot))

  def release_claimed_slots(self, claims: dict[int, roster.Version]) -> None:
    """Stops serving slots that another daemon claims with a newer version.

    A claim is newer than a version of the same epoch with a lower claim number.
    Replicas that are older than the claims are dropped, since they may miss
    later records.
    """
    for number, claim in claims.items():
      self.copies.drop_superseded(number, claim)
      owned_slot = self.owned_slot_by_number.get(number)
      if owned_slot is not None and copies.supersedes(
        claim, owned_slot.version
      ):
        del self.owned_slot_by_number[number]
        self._yielded_epoch_by_slot[number] = claim.epoch
        entry = roster.Slot(owner=claim.claimer, epoch=claim.epoch)
        self._stop_serving(owned_slot, entry)

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
    for number, owned_slot in list(self.owned_slot_by_number.items()):
      if owned_slot.checkpoint_sequence != owned_slot.state.sequence:
        sequence = owned_slot.state.sequence
        await self._store.checkpoint(
          number, owned_slot.version, owned_slot.state
        )
        owned_slot.checkpoint_sequence = sequence
    known = self._members.roster
    live = set(known.incarnations) - self._members.get_silent()
    # One live member of the domain deletes the objects that no load needs.
    if roster.rank('clean', live)[:1] == [self._address]:
      await self._store.delete_obsolete_objects(len(known.slots))

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
          'is_open': h.writable.is_set(),
          'is_claimed': h.is_claimed,
        }
        for n, h in sorted(self.owned_slot_by_number.items())
      },
      'standing_by': self.copies.dump(),
      'loading': sorted(self._loading),
      'forks': self.forks,
      'replicated_batches': self.streams.sent,
    }


def _make_owned_slot(
  number: int, entry: roster.Slot, state: program.SlotState
) -> slots.OwnedSlot:
  return slots.OwnedSlot(
    number=number,
    version=roster.Version(entry.epoch),
    standby=entry.standby,
    state=state,
  )
