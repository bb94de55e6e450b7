"""The copies of slots that this daemon stores for other daemons.

A replica acknowledges its owner's batches.  A learner is a copy sent before a
change of the pair; it becomes a replica when the roster names this daemon as
the standby.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import logging

from woadrun import errors
from woadrun.connection import messages
from woadrun.process import membership
from woadrun.process import slots
from woadrun.version import program
from woadrun.version import roster

log = logging.getLogger('woadrun.ownership')


class Copies:
  """Stores the copies of slots of which this daemon is or becomes standby."""

  def __init__(
    self,
    *,
    members: membership.Membership,
    address: str,
    answers: int,
    is_owned: Callable[[int], bool],
  ) -> None:
    self._members = members
    self._address = address
    self._answers = answers
    self._is_owned = is_owned
    self.replica_by_slot: dict[int, slots.Replica] = {}
    self._learner_by_slot: dict[int, slots.Learner] = {}

  # --- Messages of owners -----------------------------------------------------

  def receive(self, message: messages.Replicate) -> messages.Replicated:
    """Applies the batches of an owner and acknowledges or rejects each."""
    acks = [
      messages.Ack(
        slot=append.slot,
        sequence=append.sequence,
        verdict=self._receive(append).value,
      )
      for append in message.appends
    ]
    return messages.Replicated(acks=acks)

  def _receive(self, append: messages.Append) -> slots.AckStatus:
    entry = self._members.roster.slots[append.slot]
    if entry.epoch > append.epoch or self._is_owned(append.slot):
      return slots.AckStatus.STALE
    replica = self.replica_by_slot.get(append.slot)
    if replica is None:
      log.info(
        'Slot %d: no copy for batch %d of epoch %d; requesting a copy.',
        append.slot,
        append.sequence,
        append.epoch,
      )
      return slots.AckStatus.GAP
    return replica.receive(append, answers=self._answers)

  def learn(self, message: messages.Sync) -> messages.Done:
    """Stores a copy of a slot of which this daemon is or becomes standby.

    The sender treats the records of an acknowledged copy as replicated, so a
    copy that would not be used is refused.
    """
    replica = self.replica_by_slot.get(message.slot)
    if replica is not None and replica.is_fenced:
      raise make_stale_error('This daemon is taking over the slot.')
    if self._is_owned(message.slot):
      raise make_stale_error('This daemon owns the slot.')
    if self._members.roster.slots[message.slot].epoch > message.version.epoch:
      raise make_stale_error('This daemon knows a newer epoch of the slot.')
    if self._is_from_current_owner(message):
      if replica is not None and replica.version > message.version:
        raise make_stale_error('This daemon has a replica of a newer version.')
      self.replica_by_slot[message.slot] = slots.Replica(
        owner=message.sender,
        version=message.version,
        state=message.state,
        tail=collections.deque(message.tail),
      )
      self._members.add_heartbeat_target(message.sender)
    else:
      self._learner_by_slot[message.slot] = slots.Learner(
        sender=message.sender,
        version=message.version,
        state=message.state,
        tail=message.tail,
        copy_id=message.copy_id,
      )
    return messages.Done()

  def _is_from_current_owner(self, message: messages.Sync) -> bool:
    entry = self._members.roster.slots[message.slot]
    if entry.epoch != message.version.epoch:
      return False
    is_pair = (entry.owner, entry.standby) == (message.sender, self._address)
    return is_pair or message.version.claimer == message.sender

  def forget(self, message: messages.Sync) -> messages.Done:
    """Drops a copy at the request of the owner that sent it.

    The owner's change of the pair failed, or it chose another standby.
    """
    learner = self._learner_by_slot.get(message.slot)
    # The request to drop a copy may arrive after the next copy of the slot.
    copy_key = (message.sender, message.copy_id)
    if learner is not None and (learner.sender, learner.copy_id) == copy_key:
      del self._learner_by_slot[message.slot]
    replica = self.replica_by_slot.get(message.slot)
    if (
      replica is not None
      and replica.version.claim > 0
      and (replica.owner, replica.version) == (message.sender, message.version)
    ):
      del self.replica_by_slot[message.slot]
    return messages.Done()

  # --- Changes of the roster and claims -------------------------------------

  def pop(
    self, number: int, epoch: int
  ) -> slots.Replica | slots.Learner | None:
    """Removes the copies of a slot; returns one of `epoch`, or None.

    A new owner starts from that copy.
    """
    replica = self.replica_by_slot.pop(number, None)
    learner = self._learner_by_slot.pop(number, None)
    for copy in (replica, learner):
      if copy is not None and copy.version.epoch == epoch:
        return copy
    return None

  def become_standby(
    self, number: int, entry: roster.Slot, state: program.SlotState
  ) -> None:
    """Turns the state of a formerly owned slot into a replica.

    If the roster entry names another standby, the state is discarded.
    """
    if entry.standby != self._address:
      self.apply_entry(number, entry)
      return
    self._learner_by_slot.pop(number, None)
    self._store_replica(number, entry, roster.Version(entry.epoch), state, [])

  def apply_entry(self, number: int, entry: roster.Slot) -> None:
    """Keeps, drops or activates the copy of a slot whose pair changed."""
    replica = self.replica_by_slot.get(number)
    is_standby = entry.standby == self._address
    if replica is not None:
      is_current = is_standby or replica.version.claim > 0
      if is_current and replica.version.epoch == entry.epoch:
        return
      del self.replica_by_slot[number]
    if not is_standby:
      return
    learner = self._learner_by_slot.pop(number, None)
    version = roster.Version(entry.epoch)
    if learner is not None and learner.version.epoch == entry.epoch:
      # The owner received the new pair before this daemon and sent a copy of
      # the new epoch.
      version = learner.version
    elif learner is None or learner.version.epoch != entry.before:
      log.warning(
        'Slot %d: became standby in epoch %d without a copy.',
        number,
        entry.epoch,
      )
      return
    self._store_replica(number, entry, version, learner.state, learner.tail)

  def _store_replica(
    self,
    number: int,
    entry: roster.Slot,
    version: roster.Version,
    state: program.SlotState,
    tail: list[messages.Append],
  ) -> None:
    self.replica_by_slot[number] = slots.Replica(
      owner=entry.owner,
      version=version,
      state=state,
      tail=collections.deque(tail),
    )

  def drop_superseded(self, number: int, claim: roster.Version) -> None:
    """Drops a replica older than a claim, since it may miss records."""
    replica = self.replica_by_slot.get(number)
    if replica is not None and supersedes(claim, replica.version):
      del self.replica_by_slot[number]

  def dump(self) -> dict[str, object]:
    """Returns the copies as plain data."""
    return {
      str(n): {
        'owner': r.owner,
        'epoch': r.version.epoch,
        'claim': r.version.claim,
        'sequence': r.state.sequence,
        'is_fenced': r.is_fenced,
      }
      for n, r in sorted(self.replica_by_slot.items())
    }


def supersedes(claim: roster.Version, version: roster.Version) -> bool:
  """Returns whether a claim is newer than a version of the same epoch."""
  return claim.epoch == version.epoch and claim.claim > version.claim


def make_stale_error(message: str) -> errors.WoadrunError:
  """Returns the error for a copy that is outdated."""
  return errors.WoadrunError(errors.Code.STALE_EPOCH, message)
