"""The copies of slots that this daemon holds for other daemons.

A replica acknowledges its owner's batches; a learner was sent ahead of a
change of the pair and becomes one when the roster says so.
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
  """The slots that this daemon stands by for, or is about to."""

  def __init__(
    self,
    *,
    members: membership.Membership,
    address: str,
    answers: int,
    is_held: Callable[[int], bool],
  ) -> None:
    self._members = members
    self._address = address
    self._answers = answers
    self._is_held = is_held
    self.replica_by_slot: dict[int, slots.Replica] = {}
    self._learner_by_slot: dict[int, slots.Learner] = {}

  # --- What owners send -----------------------------------------------------

  def receive(self, message: messages.Replicate) -> messages.Replicated:
    """Returns the word on each batch that an owner sent."""
    acks = [
      messages.Ack(
        slot=append.slot,
        sequence=append.sequence,
        verdict=self._receive(append).value,
      )
      for append in message.appends
    ]
    return messages.Replicated(acks=acks)

  def _receive(self, append: messages.Append) -> slots.Verdict:
    entry = self._members.roster.slots[append.slot]
    if entry.epoch > append.epoch or self._is_held(append.slot):
      return slots.Verdict.STALE
    replica = self.replica_by_slot.get(append.slot)
    if replica is None:
      log.info(
        'Slot %d: no copy for batch %d of epoch %d, asking for one.',
        append.slot,
        append.sequence,
        append.epoch,
      )
      return slots.Verdict.GAP
    return replica.receive(append, answers=self._answers)

  def learn(self, message: messages.Sync) -> messages.Done:
    """Takes the copy of a slot that this daemon is to stand by for.

    The sender counts an acknowledged copy as held, so a copy that would not
    be used is refused.
    """
    replica = self.replica_by_slot.get(message.slot)
    if replica is not None and replica.is_fenced:
      raise make_stale('This daemon is taking the slot over.')
    if self._is_held(message.slot):
      raise make_stale('This daemon serves the slot itself.')
    if self._members.roster.slots[message.slot].epoch > message.version.epoch:
      raise make_stale('This daemon knows a newer pair of the slot.')
    if self._is_standby_of(message):
      if replica is not None and replica.version > message.version:
        raise make_stale('This daemon stands by for a newer owner.')
      self.replica_by_slot[message.slot] = slots.Replica(
        owner=message.sender,
        version=message.version,
        state=message.state,
        tail=collections.deque(message.tail),
      )
      self._members.watch(message.sender)
    else:
      self._learner_by_slot[message.slot] = slots.Learner(
        sender=message.sender,
        version=message.version,
        state=message.state,
        tail=message.tail,
        copy_id=message.copy_id,
      )
    return messages.Done()

  def _is_standby_of(self, message: messages.Sync) -> bool:
    entry = self._members.roster.slots[message.slot]
    if entry.epoch != message.version.epoch:
      return False
    is_pair = (entry.owner, entry.standby) == (message.sender, self._address)
    return is_pair or message.version.claimer == message.sender

  def forget(self, message: messages.Sync) -> messages.Done:
    """Drops a copy whose change of the pair did not come about."""
    learner = self._learner_by_slot.get(message.slot)
    # A request to drop a copy may arrive after the next copy.
    sent = (message.sender, message.copy_id)
    if learner is not None and (learner.sender, learner.copy_id) == sent:
      del self._learner_by_slot[message.slot]
    replica = self.replica_by_slot.get(message.slot)
    if (
      replica is not None
      and replica.version.claim > 0
      and (replica.owner, replica.version) == (message.sender, message.version)
    ):
      del self.replica_by_slot[message.slot]
    return messages.Done()

  # --- What the roster and claims say ---------------------------------------

  def take(
    self, number: int, epoch: int
  ) -> slots.Replica | slots.Learner | None:
    """Returns the copy of an epoch, for an owner to begin with, if any."""
    replica = self.replica_by_slot.pop(number, None)
    learner = self._learner_by_slot.pop(number, None)
    for copy in (replica, learner):
      if copy is not None and copy.version.epoch == epoch:
        return copy
    return None

  def keep(
    self, number: int, entry: roster.Slot, state: program.SlotState
  ) -> None:
    """Stands by for a slot that this daemon owned before."""
    if entry.standby != self._address:
      self.follow(number, entry)
      return
    self._learner_by_slot.pop(number, None)
    self._stand_by(number, entry, roster.Version(entry.epoch), state, [])

  def follow(self, number: int, entry: roster.Slot) -> None:
    """Keeps the copy of a slot that the roster, or a claim, wants here."""
    replica = self.replica_by_slot.get(number)
    is_standby = entry.standby == self._address
    if replica is not None:
      is_wanted = is_standby or replica.version.claim > 0
      if is_wanted and replica.version.epoch == entry.epoch:
        return
      del self.replica_by_slot[number]
    if not is_standby:
      return
    learner = self._learner_by_slot.pop(number, None)
    version = roster.Version(entry.epoch)
    if learner is not None and learner.version.epoch == entry.epoch:
      # The owner learned of the new pair before this daemon did.
      version = learner.version
    elif learner is None or learner.version.epoch != entry.before:
      log.warning(
        'Slot %d: named as standby in epoch %d without a copy.',
        number,
        entry.epoch,
      )
      return
    self._stand_by(number, entry, version, learner.state, learner.tail)

  def _stand_by(
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

  def drop_before(self, number: int, claim: roster.Version) -> None:
    """Drops a copy of the time before a claim: it may lack what came since."""
    replica = self.replica_by_slot.get(number)
    if replica is not None and is_after(claim, replica.version):
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


def is_after(claim: roster.Version, version: roster.Version) -> bool:
  """Returns whether a claim follows a version within its epoch."""
  return claim.epoch == version.epoch and claim.claim > version.claim


def make_stale(message: str) -> errors.WoadrunError:
  """Returns the refusal of a copy that came too late."""
  return errors.WoadrunError(errors.Code.STALE_EPOCH, message)
