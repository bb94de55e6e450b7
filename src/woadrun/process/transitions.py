"""Transitions of slots between daemons: takeover, handover and balancing.

A slot is a numbered part of a failure domain's programs.  The domain's roster,
a row of the table service (the table), names each slot's pair, which is its
owner and its standby, and its epoch, the roster version at which the pair last
changed.  While the table is unavailable, a daemon may claim a slot: it serves
the slot without a change of the roster (see `outage`).

At each heartbeat interval a daemon checks the slots that it owns or stands by
for.  It changes the roster to replace a silent owner or standby, to move slots
before a planned stop, and to balance the slots among the daemons.  A member is
silent if its heartbeats are missing, and unfit, which excludes it from getting
slots, if it is silent or about to stop.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import functools
import logging
import secrets

import mode

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.process import membership
from woadrun.process import outage
from woadrun.process import ownership
from woadrun.process import slots
from woadrun.version import program
from woadrun.version import roster

log = logging.getLogger('woadrun.transitions')

COPIES_QUERY_TIMEOUT_SECONDS = 1.0
FORGET_TIMEOUT_SECONDS = 1.0
# Heartbeat intervals between two checks whether slots have to be balanced and
# silent members removed from the roster.
HEARTBEATS_PER_REBALANCE = 3


class Transitions(mode.Service):
  """Changes the owners and standbys of slots on behalf of this daemon."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    links: peers.Peers,
    held: ownership.Ownership,
    outage_handler: outage.OutageHandler,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._links = links
    self._ownership = held
    self._outage = outage_handler
    self._address = config.daemon.address
    self._change_lock = asyncio.Lock()
    self._heartbeat_count = 0
    self.takeovers = 0

  # --- Changing pairs -------------------------------------------------------

  async def _assign_standby(self, numbers: Iterable[int], standby: str) -> bool:
    """Copies slots to a new standby and names it in the roster.

    An empty `standby` leaves the slots without one.  Skips slots that this
    daemon does not own.  Returns whether the roster was changed.  If a copy or
    the change fails, tells the standby to drop the copies and raises the error.
    """
    held = [
      h for n in numbers if (h := self._ownership.owned_slot_by_number.get(n))
    ]
    pairs = {h.number: (h.epoch, self._address, standby) for h in held}
    copy_id = secrets.token_hex(4)
    for holding in held:
      holding.opened.clear()
    try:
      copied = held if standby else []
      await asyncio.gather(
        *(
          self._ownership.send_copy(h, standby, copy_id=copy_id) for h in copied
        )
      )
      for holding in held:
        holding.copied_to = (standby, holding.state.sequence)
      return await self._members.update_roster(
        lambda current: roster.with_pairs(current, pairs)
      )
    except errors.WoadrunError:
      await self._discard_copies(held, standby, copy_id)
      raise
    finally:
      for holding in held:
        holding.copied_to = ('', 0)
        holding.opened.set()

  async def _discard_copies(
    self, held: list[slots.OwnedSlot], standby: str, copy_id: str
  ) -> None:
    for holding in held if standby else ():
      message = messages.Sync(
        sender=self._address,
        slot=holding.number,
        version=holding.version,
        state=program.SlotState(),
        copy_id=copy_id,
      )
      with contextlib.suppress(errors.WoadrunError):
        await self._links.post(
          standby,
          'sync/forget',
          message,
          type=messages.Done,
          timeout=FORGET_TIMEOUT_SECONDS,
        )

  async def _transfer(self, numbers: list[int], target: str) -> bool:
    """Makes `target` the owner of those slots of which it is the standby.

    This daemon becomes their standby, unless it leaves.  Returns whether the
    roster was changed.  Raises `not_committed` or `TimeoutError` if `target`
    does not acknowledge the batches of a slot in time.
    """
    held = [
      h
      for n in numbers
      if (h := self._ownership.owned_slot_by_number.get(n))
      and h.standby == target
    ]
    unfit = self._members.get_unfit() | {self._address}
    known = self._members.roster
    pairs: dict[int, tuple[int, str, str]] = {}
    await asyncio.gather(*(self._confirm_standby(h) for h in held))
    for holding in held:
      holding.opened.clear()
    try:
      for holding in held:
        await slots.wait_until_committed(holding, self._config.timing.commit)
        standby = self._address
        if self._members.is_leaving:
          standby = roster.choose_standby(
            known, holding.number, owner=target, unfit=unfit
          )
        if standby and standby != self._address:
          await self._ownership.send_copy(holding, standby)
        pairs[holding.number] = (holding.epoch, target, standby)
      await self._ownership.send_running_calls(held, target)
      return await self._members.update_roster(
        lambda current: roster.with_pairs(current, pairs)
      )
    finally:
      for holding in held:
        holding.opened.set()

  async def _confirm_standby(self, holding: slots.OwnedSlot) -> None:
    # The standby may have missed the change of the roster that named it.  It
    # must have the state of the current epoch before it becomes the owner.
    ticket = self._ownership.append(holding, [])
    held = await asyncio.wait_for(
      asyncio.shield(ticket.durability), self._config.timing.commit
    )
    if held is not slots.Durability.STANDBY:
      raise slots.make_not_committed_error(
        f'Slot {holding.number} has no standby that acknowledges batches.',
        retry_after=1.0,
      )

  # --- Taking over ----------------------------------------------------------

  async def _take_over(self, owner: str) -> None:
    if await self._members.is_member_reachable(owner):
      return
    taken = {
      n: replica
      for n, replica in self._ownership.replica_by_slot.items()
      if replica.owner == owner
    }
    log.warning('Owner %s is silent; taking over %d slots.', owner, len(taken))
    # A fenced replica acknowledges no batches, so that the owner cannot commit
    # any more.
    for replica in taken.values():
      replica.is_fenced = True
    pairs = await self._prepare_pairs(taken)
    try:
      await self._members.update_roster(
        lambda current: roster.with_pairs(current, pairs)
      )
      self.takeovers += 1
    except errors.WoadrunError as error:
      log.warning('Table unavailable; claiming slots: %s', error.message)
      self.takeovers += self._outage.claim(taken)
    for number, replica in taken.items():
      if self._ownership.replica_by_slot.get(number) is replica:
        replica.is_fenced = False

  async def _prepare_pairs(
    self, taken: dict[int, slots.Replica]
  ) -> dict[int, tuple[int, str, str]]:
    """Copies replicas to new standbys and returns the new pairs.

    The pairs are those for `roster.with_pairs`.  A slot that has no candidate,
    or whose copy fails, gets no standby.
    """
    unfit = self._members.get_unfit()
    known = self._members.roster

    async def prepare(number: int, replica: slots.Replica) -> str:
      standby = roster.choose_standby(
        known, number, owner=self._address, unfit=unfit
      )
      if not standby:
        return ''
      try:
        await self._ownership.send_replica(number, replica, standby)
      except errors.WoadrunError:
        return ''
      return standby

    standbys = await asyncio.gather(*(prepare(n, r) for n, r in taken.items()))
    return {
      number: (replica.version.epoch, self._address, standby)
      for (number, replica), standby in zip(
        taken.items(), standbys, strict=True
      )
    }

  # --- The steps of each heartbeat ------------------------------------------

  @mode.Service.task
  async def _run_steps(self) -> None:
    while not self.should_stop:
      await self.sleep(self._config.timing.heartbeat)
      self._heartbeat_count += 1
      async with self._change_lock:
        try:
          await self._step()
        except (TimeoutError, errors.WoadrunError) as error:
          log.debug('Transition step aborted: %s', error)

  async def _step(self) -> None:
    members = self._members
    if self._address not in members.roster.incarnations:
      return
    silent = members.get_silent()
    owners = {
      r.owner for r in self._ownership.replica_by_slot.values()
    } & silent
    for owner in sorted(owners):
      await self._take_over(owner)
    try:
      await self._record_claims()
    except errors.WoadrunError:
      # The table is unavailable, so the claims are not recorded for now.
      await self._outage.drop_silent_standbys()
      await self._outage.replicate_claims()
      raise
    await self._adopt_orphans(silent)
    if not members.is_leaving:
      await self._restore_standbys()
    if (
      self._heartbeat_count % HEARTBEATS_PER_REBALANCE == 0
      and not members.is_leaving
    ):
      await self._rebalance()
      await self._remove_dead_members(silent)

  async def _record_claims(self) -> None:
    """Names this daemon in the roster as the owner of the slots it claims."""
    claimed = {
      n: (h.epoch, self._address, '')
      for n, h in self._ownership.owned_slot_by_number.items()
      if h.is_claimed
    }
    if claimed:
      await self._members.update_roster(
        lambda current: roster.with_pairs(current, claimed)
      )

  async def _adopt_orphans(self, silent: set[str]) -> None:
    """Becomes the owner of slots that no live daemon can take over.

    These are slots without a live owner or standby (orphans), each adopted by
    one fit member, and slots with a silent owner whose standby is this daemon
    and has no copy.  Slots whose owner or standby answers, or that another
    member may have a copy of, are left alone.
    """
    known = self._members.roster
    live = set(known.incarnations) - self._members.get_unfit()
    orphans = [
      number
      for number in roster.find_orphans(known, silent)
      if roster.rank(f'adopt/{number}', live)[:1] == [self._address]
    ]
    without_copy = list(self._find_slots_without_copy(silent))
    candidates = {
      number: (known.slots[number].epoch, self._address, '')
      for number in (*orphans, *without_copy)
    }
    reachable = await self._find_reachable(
      self._get_pair_members(candidates) - {self._address}
    )
    for number in list(candidates):
      entry = known.slots[number]
      if {entry.owner, entry.standby} & reachable:
        del candidates[number]
    for number in await self._find_copied_elsewhere(candidates):
      del candidates[number]
    for number in candidates.keys() & set(without_copy):
      log.warning(
        'Slot %d has a silent owner and no copy; loading it from the platform.',
        number,
      )
    if candidates:
      await self._members.update_roster(
        lambda current: roster.with_pairs(current, candidates)
      )

  async def _find_reachable(self, members: set[str]) -> set[str]:
    """Returns the members that a new round trip shows to be alive."""
    probed = sorted(members - {''})
    answers = await asyncio.gather(
      *(self._members.is_member_reachable(member) for member in probed)
    )
    return {m for m, is_heard in zip(probed, answers, strict=True) if is_heard}

  def _find_slots_without_copy(self, silent: set[str]) -> Iterator[int]:
    """Yields slots of silent owners of which this standby has no copy.

    `roster.find_orphans` omits them, since their standby is alive.
    """
    for number, entry in enumerate(self._members.roster.slots):
      is_affected = entry.standby == self._address and entry.owner in silent
      has_copy = (
        number in self._ownership.replica_by_slot
        or number in self._ownership.owned_slot_by_number
      )
      if is_affected and not has_copy:
        yield number

  async def _find_copied_elsewhere(self, numbers: Iterable[int]) -> set[int]:
    """Returns the slots among `numbers` of which another member has a copy.

    Copies may be made while the table is unavailable.  The member with the copy
    takes the slot over itself; the state on the platform may be older.  A
    member that is alive but does not answer may have a copy of any slot, so all
    of `numbers` are returned.
    """
    request = messages.Copies(slots=sorted(numbers))
    if not request.slots:
      return set()

    async def query(member: str) -> list[int]:
      try:
        answer = await self._links.post(
          member,
          'copies',
          request,
          type=messages.Copies,
          timeout=COPIES_QUERY_TIMEOUT_SECONDS,
        )
      except errors.WoadrunError:
        is_alive = await self._members.is_member_reachable(member)
        return request.slots if is_alive else []
      return answer.slots

    silent = self._members.get_silent() | {self._address}
    others = set(self._members.roster.incarnations) - silent
    answers = await asyncio.gather(*map(query, sorted(others)))
    return {number for answer in answers for number in answer}

  async def _find_reachable_standbys(self, unfit: set[str]) -> set[str]:
    # A daemon that was frozen has no recent heartbeats when it resumes.  It has
    # to probe a silent standby before it replaces the standby, which may have
    # taken the slot over.
    silent = self._members.get_silent()
    standbys = {
      h.standby for h in self._ownership.owned_slot_by_number.values()
    }
    return await self._find_reachable(standbys & silent & unfit)

  def _get_pair_members(self, numbers: Iterable[int]) -> set[str]:
    entries = [self._members.roster.slots[n] for n in numbers]
    return {m for entry in entries for m in (entry.owner, entry.standby)}

  async def _restore_standbys(self) -> None:
    """Replaces missing and unfit standbys of the slots that this daemon owns.

    A silent standby that answers a new probe stays.
    """
    unfit = self._members.get_unfit()
    known = self._members.roster
    unfit -= await self._find_reachable_standbys(unfit)
    numbers_by_standby: dict[str, list[int]] = {}
    for number, holding in self._ownership.owned_slot_by_number.items():
      if holding.standby and holding.standby not in unfit:
        continue
      choice = roster.choose_standby(
        known, number, owner=self._address, unfit=unfit
      )
      if choice != holding.standby:
        numbers_by_standby.setdefault(choice, []).append(number)
    for choice, numbers in numbers_by_standby.items():
      await self._replace_standby(numbers, choice)
    if not numbers_by_standby:
      await self._outage.drop_silent_standbys()

  async def _replace_standby(self, numbers: list[int], choice: str) -> None:
    """Assigns a standby, or drops silent ones if the table is unavailable."""
    try:
      await self._assign_standby(numbers, choice)
    except errors.WoadrunError as error:
      if error.code is not errors.Code.PLATFORM_UNAVAILABLE:
        raise
      await self._outage.drop_silent_standbys()

  async def _rebalance(self) -> None:
    unfit = self._members.get_unfit()
    numbers, target = roster.plan_rebalance(
      self._members.roster, self._address, unfit=unfit
    )
    if not numbers:
      return
    entries = self._members.roster.slots
    unpaired = [n for n in numbers if entries[n].standby != target]
    if unpaired:
      await self._assign_standby(unpaired, target)
    await self._transfer(numbers, target)

  async def _remove_dead_members(self, silent: set[str]) -> None:
    known = self._members.roster
    for member in sorted(silent):
      if any(member in (s.owner, s.standby) for s in known.slots):
        continue
      live = set(known.incarnations) - silent
      if roster.rank(f'prune/{member}', live)[:1] == [self._address]:
        await self._members.update_roster(
          functools.partial(_without_unused, member=member)
        )

  # --- A planned stop -------------------------------------------------------

  async def hand_over(self) -> bool:
    """Transfers slots in one round and returns whether this daemon may stop.

    While the table is available, the roster must name this daemon neither as
    owner nor as standby of a slot.  Otherwise it must serve no slot.  Without
    another daemon that can receive slots, returns True.  Failed transfers are
    logged.
    """
    async with self._change_lock:
      known = self._members.roster
      unfit = self._members.get_unfit() | {self._address}
      if not set(known.incarnations) - unfit:
        return True
      try:
        await self._transfer_all(unfit)
      except (TimeoutError, errors.WoadrunError) as error:
        log.warning('Transfer of slots not complete yet: %s', error)
    if not self._members.is_platform_up():
      # The roster row cannot be changed.  Other daemons serve the slots, which
      # is sufficient.
      return not self._ownership.owned_slot_by_number
    entries = self._members.roster.slots
    return not any(self._address in (s.owner, s.standby) for s in entries)

  async def _transfer_all(self, unfit: set[str]) -> None:
    if self._members.is_platform_up():
      await self._restore_standbys()
    numbers_by_standby: dict[str, list[int]] = {}
    for number, holding in self._ownership.owned_slot_by_number.items():
      numbers_by_standby.setdefault(holding.standby, []).append(number)
    for target, numbers in sorted(numbers_by_standby.items()):
      if not target or target in unfit:
        continue
      if self._members.is_platform_up():
        await self._transfer(numbers, target)
      else:
        await self._outage.offer(numbers, target)


def _without_unused(
  current: roster.Roster, member: str
) -> roster.Roster | None:
  """Returns the roster without a member, or None if a slot names it."""
  if any(member in (slot.owner, slot.standby) for slot in current.slots):
    return None
  return roster.without_member(current, member)
