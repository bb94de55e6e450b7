"""Serving of slots while the table service is unavailable.

The roster row cannot be changed during an outage of the table.  A daemon then
*claims* a slot, under a higher version within the epoch, to serve it in place
of a silent owner or of an owner that stops as planned, or to continue as the
owner without its silent standby.  Heartbeats broadcast the claims, each claimed
slot is copied to another daemon, and `transitions` writes the claims to the
roster row when the table is available again.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import logging

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.process import membership
from woadrun.process import ownership
from woadrun.process import slots
from woadrun.version import program
from woadrun.version import roster

log = logging.getLogger('woadrun.outage')

OFFER_TIMEOUT_SECONDS = 3.0
FORGET_TIMEOUT_SECONDS = 1.0


class OutageHandler:
  """Claims, replicates and offers slots while the table is unavailable."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    links: peers.Peers,
    held: ownership.Ownership,
  ) -> None:
    self._config = config
    self._members = members
    self._links = links
    self._ownership = held
    self._address = config.daemon.address

  # --- Handover to standbys while the table is unavailable ------------------

  async def offer(self, numbers: Iterable[int], target: str) -> None:
    """Offers slots to their standby, which claims them.

    Exactly one of the two daemons can commit records, whether or not the answer
    arrives: a standby that claims a slot acknowledges no further batches of the
    previous owner.
    """
    held = [
      h
      for n in numbers
      if (h := self._ownership.owned_slot_by_number.get(n))
      and h.standby == target
    ]
    for holding in held:
      holding.opened.clear()
    try:
      for holding in held:
        await slots.wait_until_committed(holding, self._config.timing.commit)
      await self._ownership.send_running_calls(held, target)
      offer = messages.Offer(
        sender=self._address,
        version_by_slot={h.number: h.version for h in held},
      )
      taken = await self._links.post(
        target,
        'offer',
        offer,
        type=messages.Offer,
        timeout=OFFER_TIMEOUT_SECONDS,
      )
      for number, claim in taken.version_by_slot.items():
        self._members.directory.record_claim(
          self._members.domain, number, claim
        )
      self._ownership.release_claimed_slots(taken.version_by_slot)
    finally:
      for holding in held:
        holding.opened.set()

  def accept_offer(self, offer: messages.Offer) -> messages.Offer:
    """Claims offered slots and returns those that this daemon serves."""
    taken = {
      number: replica
      for number, version in offer.version_by_slot.items()
      if (replica := self._ownership.replica_by_slot.get(number)) is not None
      and (replica.owner, replica.version) == (offer.sender, version)
    }
    if taken:
      log.warning(
        '%s offers %d slots; claiming them.', offer.sender, len(taken)
      )
    self._claim_replicas(taken)
    claims = self._ownership.get_claims()
    return messages.Offer(
      sender=self._address,
      version_by_slot={
        number: claim
        for number, claim in claims.items()
        if number in offer.version_by_slot
      },
    )

  # --- Claiming slots -------------------------------------------------------

  def claim(self, taken: dict[int, slots.Replica]) -> bool:
    """Claims slots of a silent owner; returns whether this daemon has a quorum.

    An isolated daemon claims nothing.
    """
    if not self._members.has_quorum():
      log.warning('This daemon has no quorum and claims no slots.')
      return False
    self._claim_replicas(taken)
    return True

  def _claim_replicas(self, taken: dict[int, slots.Replica]) -> None:
    for number, replica in taken.items():
      if self._ownership.replica_by_slot.get(number) is replica:
        self._ownership.begin_claim(number, replica)

  async def drop_silent_standbys(self) -> None:
    """Claims owned slots whose standby no other member can reach.

    Does nothing while the table is available or without a quorum.
    """
    if self._members.is_platform_up():
      return
    silent = self._members.get_silent()
    standbys = {
      h.standby for h in self._ownership.owned_slot_by_number.values()
    } & silent
    for standby in sorted(standbys):
      await self._continue_without_standby(standby)

  async def _continue_without_standby(self, standby: str) -> None:
    if not self._members.has_quorum():
      return
    if await self._members.is_member_reachable(standby):
      return
    for holding in self._ownership.owned_slot_by_number.values():
      if holding.standby == standby:
        log.warning(
          'Slot %d continues without its standby %s.', holding.number, standby
        )
        holding.claim(self._address)
        holding.settle(holding.state.sequence, slots.Durability.NOWHERE)

  # --- Temporary standbys while the table is unavailable --------------------

  async def replicate_claims(self) -> None:
    """Copies claimed slots to a temporary standby.

    The other daemon of the pair in the roster is preferred, because actions can
    be committed with it as well.
    """
    numbers_by_standby: dict[str, list[int]] = {}
    for number, holding in self._ownership.owned_slot_by_number.items():
      standby = (
        self._choose_temporary_standby(holding) if holding.is_claimed else ''
      )
      if standby and standby != holding.standby:
        numbers_by_standby.setdefault(standby, []).append(number)
    for standby, numbers in sorted(numbers_by_standby.items()):
      await asyncio.gather(
        *(self._replicate_claim(n, standby) for n in numbers)
      )

  def _choose_temporary_standby(self, holding: slots.OwnedSlot) -> str:
    unfit = self._members.get_unfit()
    known = self._members.roster
    entry = known.slots[holding.number]
    for member in (entry.owner, entry.standby):
      if member not in ('', self._address) and member not in unfit:
        return member
    if holding.standby and holding.standby not in unfit:
      return holding.standby
    return roster.choose_standby(
      known, holding.number, owner=self._address, unfit=unfit
    )

  async def _replicate_claim(self, number: int, standby: str) -> None:
    holding = self._ownership.owned_slot_by_number.get(number)
    if holding is None or not holding.opened.is_set():
      return
    holding.opened.clear()
    try:
      if holding.standby:
        # The previous standby gets no further batches.  It must drop its copy
        # so that it cannot take the slot over from an outdated one.
        await self._release_standby(holding)
      sequence = holding.state.sequence
      await self._ownership.send_copy(holding, standby)
      holding.standby = standby
      self._ownership.mark_replicated(holding, sequence)
      log.info('Slot %d was copied to temporary standby %s.', number, standby)
    except errors.WoadrunError as error:
      log.debug('Slot %d not copied to temporary standby: %s', number, error)
    finally:
      holding.opened.set()

  async def _release_standby(self, holding: slots.OwnedSlot) -> None:
    message = messages.Sync(
      sender=self._address,
      slot=holding.number,
      version=holding.version,
      state=program.SlotState(),
    )
    await self._links.post(
      holding.standby,
      'sync/forget',
      message,
      type=messages.Done,
      timeout=FORGET_TIMEOUT_SECONDS,
    )
    holding.standby = ''
