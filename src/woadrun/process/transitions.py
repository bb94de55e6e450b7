"""The steps by which slots pass from one daemon to another.

Each heartbeat a daemon looks at the slots that it holds or stands by
for, and changes the roster where a pair has to change: for a silent
owner or standby, for a planned stop, and for balance.
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

ASK_TIMEOUT = 1.0
FORGET_TIMEOUT = 1.0
# Heartbeats between two looks at the balance of slots and at old members.
BALANCE_BEATS = 3


class Transitions(mode.Service):
  """The changes of pairs that this daemon makes."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    links: peers.Peers,
    held: ownership.Ownership,
    without_table: outage.Outage,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._links = links
    self._held = held
    self._outage = without_table
    self._address = config.daemon.address
    self._changing = asyncio.Lock()
    self._beats = 0
    self.takeovers = 0

  # --- Changing pairs -------------------------------------------------------

  async def _pair(self, numbers: Iterable[int], standby: str) -> bool:
    """Returns whether the slots have a new standby that has their state."""
    held = [h for n in numbers if (h := self._held.holding_by_slot.get(n))]
    pairs = {h.number: (h.epoch, self._address, standby) for h in held}
    copy_id = secrets.token_hex(4)
    for holding in held:
      holding.opened.clear()
    try:
      copied = held if standby else []
      await asyncio.gather(
        *(self._held.copy(h, standby, copy_id=copy_id) for h in copied)
      )
      for holding in held:
        holding.synced = (standby, holding.state.sequence)
      return await self._members.change(
        lambda current: roster.with_pairs(current, pairs)
      )
    except errors.WoadrunError:
      await self._forget(held, standby, copy_id)
      raise
    finally:
      for holding in held:
        holding.synced = ('', 0)
        holding.opened.set()

  async def _forget(
    self, held: list[slots.Holding], standby: str, copy_id: str
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
          timeout=FORGET_TIMEOUT,
        )

  async def _give(self, numbers: list[int], target: str) -> bool:
    """Returns whether the standby `target` became the slots' owner."""
    held = [
      h
      for n in numbers
      if (h := self._held.holding_by_slot.get(n)) and h.standby == target
    ]
    unfit = self._members.get_unfit() | {self._address}
    known = self._members.roster
    pairs: dict[int, tuple[int, str, str]] = {}
    await asyncio.gather(*(self._check_standby(h) for h in held))
    for holding in held:
      holding.opened.clear()
    try:
      for holding in held:
        await slots.wait_settled(holding, self._config.timing.commit)
        standby = self._address
        if self._members.is_leaving:
          standby = roster.choose_standby(
            known, holding.number, owner=target, unfit=unfit
          )
        if standby and standby != self._address:
          await self._held.copy(holding, standby)
        pairs[holding.number] = (holding.epoch, target, standby)
      await self._held.announce(held, target)
      return await self._members.change(
        lambda current: roster.with_pairs(current, pairs)
      )
    finally:
      for holding in held:
        holding.opened.set()

  async def _check_standby(self, holding: slots.Holding) -> None:
    # The receiver may have missed the change that made it the standby; it
    # must have the state of this very epoch before it becomes the owner.
    ticket = self._held.append(holding, [])
    held = await asyncio.wait_for(
      asyncio.shield(ticket.held), self._config.timing.commit
    )
    if held is not slots.Held.STANDBY:
      raise slots.make_not_committed(
        f'Slot {holding.number} has no standby.', retry_after=1.0
      )

  # --- Taking over ----------------------------------------------------------

  async def _take_over(self, owner: str) -> None:
    if await self._members.is_heard_by_others(owner):
      return
    taken = {
      n: replica
      for n, replica in self._held.replica_by_slot.items()
      if replica.owner == owner
    }
    log.warning('%s is silent; taking %d slots over.', owner, len(taken))
    for replica in taken.values():
      replica.is_fenced = True
    pairs = await self._prepare_pairs(taken)
    try:
      await self._members.change(
        lambda current: roster.with_pairs(current, pairs)
      )
      self.takeovers += 1
    except errors.WoadrunError as error:
      log.warning('The table is out: %s', error.message)
      self.takeovers += self._outage.claim(taken)
    for number, replica in taken.items():
      if self._held.replica_by_slot.get(number) is replica:
        replica.is_fenced = False

  async def _prepare_pairs(
    self, taken: dict[int, slots.Replica]
  ) -> dict[int, tuple[int, str, str]]:
    unfit = self._members.get_unfit()
    known = self._members.roster

    async def prepare(number: int, replica: slots.Replica) -> str:
      standby = roster.choose_standby(
        known, number, owner=self._address, unfit=unfit
      )
      if not standby:
        return ''
      try:
        await self._held.copy_replica(number, replica, standby)
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
  async def _watch(self) -> None:
    while not self.should_stop:
      await self.sleep(self._config.timing.heartbeat)
      self._beats += 1
      async with self._changing:
        try:
          await self._step()
        except (TimeoutError, errors.WoadrunError) as error:
          log.debug('Step left: %s', error)

  async def _step(self) -> None:
    members = self._members
    if self._address not in members.roster.incarnations:
      return
    silent = members.get_silent()
    owners = {r.owner for r in self._held.replica_by_slot.values()} & silent
    for owner in sorted(owners):
      await self._take_over(owner)
    try:
      await self._settle_claims()
    except errors.WoadrunError:
      # The table is out.
      await self._outage.leave_silent_standbys()
      await self._outage.cover_claims()
      raise
    await self._adopt_orphans(silent)
    if not members.is_leaving:
      await self._find_standbys()
    if self._beats % BALANCE_BEATS == 0 and not members.is_leaving:
      await self._balance()
      await self._prune(silent)

  async def _settle_claims(self) -> None:
    claimed = {
      n: (h.epoch, self._address, '')
      for n, h in self._held.holding_by_slot.items()
      if h.is_claimed
    }
    if claimed:
      await self._members.change(
        lambda current: roster.with_pairs(current, claimed)
      )

  async def _adopt_orphans(self, silent: set[str]) -> None:
    known = self._members.roster
    live = set(known.incarnations) - self._members.get_unfit()
    orphans = [
      number
      for number in roster.find_orphans(known, silent)
      if roster.rank(f'adopt/{number}', live)[:1] == [self._address]
    ]
    uncopied = list(self._find_uncopied(silent))
    mine = {
      number: (known.slots[number].epoch, self._address, '')
      for number in (*orphans, *uncopied)
    }
    heard = await self._find_heard(self._get_holders(mine) - {self._address})
    for number in list(mine):
      entry = known.slots[number]
      if {entry.owner, entry.standby} & heard:
        del mine[number]
    for number in await self._find_copied(mine):
      del mine[number]
    for number in mine.keys() & set(uncopied):
      log.warning('Slot %d: silent owner and no copy, loading it.', number)
    if mine:
      await self._members.change(
        lambda current: roster.with_pairs(current, mine)
      )

  async def _find_heard(self, members: set[str]) -> set[str]:
    """Returns the members that a fresh round trip shows to be alive."""
    asked = sorted(members - {''})
    answers = await asyncio.gather(
      *(self._members.is_heard_by_others(member) for member in asked)
    )
    return {m for m, is_heard in zip(asked, answers, strict=True) if is_heard}

  def _find_uncopied(self, silent: set[str]) -> Iterator[int]:
    """Yields slots of silent owners for which this standby has no copy.

    `find_orphans` leaves them out, since their standby is alive.
    """
    for number, entry in enumerate(self._members.roster.slots):
      is_mine = entry.standby == self._address and entry.owner in silent
      is_here = (
        number in self._held.replica_by_slot
        or number in self._held.holding_by_slot
      )
      if is_mine and not is_here:
        yield number

  async def _find_copied(self, numbers: Iterable[int]) -> set[int]:
    """Returns which orphans some member has a copy of, made without the table.

    It takes them over itself; the platform may know less.  A member that
    lives and gives no answer may have any.
    """
    asked = messages.Copies(slots=sorted(numbers))
    if not asked.slots:
      return set()

    async def ask(member: str) -> list[int]:
      try:
        answer = await self._links.post(
          member, 'copies', asked, type=messages.Copies, timeout=ASK_TIMEOUT
        )
      except errors.WoadrunError:
        is_alive = await self._members.is_heard_by_others(member)
        return asked.slots if is_alive else []
      return answer.slots

    silent = self._members.get_silent() | {self._address}
    others = set(self._members.roster.incarnations) - silent
    answers = await asyncio.gather(*map(ask, sorted(others)))
    return {number for answer in answers for number in answer}

  async def _find_alive(self, unfit: set[str]) -> set[str]:
    # A daemon that was frozen itself hears nobody when it wakes.  Before it
    # replaces a standby, which may have taken over, it has to ask.
    silent = self._members.get_silent()
    standbys = {h.standby for h in self._held.holding_by_slot.values()}
    return await self._find_heard(standbys & silent & unfit)

  def _get_holders(self, numbers: Iterable[int]) -> set[str]:
    entries = [self._members.roster.slots[n] for n in numbers]
    return {m for entry in entries for m in (entry.owner, entry.standby)}

  async def _find_standbys(self) -> None:
    unfit = self._members.get_unfit()
    known = self._members.roster
    unfit -= await self._find_alive(unfit)
    numbers_by_standby: dict[str, list[int]] = {}
    for number, holding in self._held.holding_by_slot.items():
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
      await self._outage.leave_silent_standbys()

  async def _replace_standby(self, numbers: list[int], choice: str) -> None:
    try:
      await self._pair(numbers, choice)
    except errors.WoadrunError as error:
      if error.code is not errors.Code.PLATFORM_UNAVAILABLE:
        raise
      await self._outage.leave_silent_standbys()

  async def _balance(self) -> None:
    unfit = self._members.get_unfit()
    numbers, target = roster.plan_give_away(
      self._members.roster, self._address, unfit=unfit
    )
    if not numbers:
      return
    entries = self._members.roster.slots
    unpaired = [n for n in numbers if entries[n].standby != target]
    if unpaired:
      await self._pair(unpaired, target)
    await self._give(numbers, target)

  async def _prune(self, silent: set[str]) -> None:
    known = self._members.roster
    for member in sorted(silent):
      if any(member in (s.owner, s.standby) for s in known.slots):
        continue
      live = set(known.incarnations) - silent
      if roster.rank(f'prune/{member}', live)[:1] == [self._address]:
        await self._members.change(
          functools.partial(_without_idle, member=member)
        )

  # --- A planned stop -------------------------------------------------------

  async def hand_over(self) -> bool:
    """Returns whether no slot is left here, after one round of giving."""
    async with self._changing:
      known = self._members.roster
      unfit = self._members.get_unfit() | {self._address}
      if not set(known.incarnations) - unfit:
        return True
      try:
        await self._give_all(unfit)
      except (TimeoutError, errors.WoadrunError) as error:
        log.warning('Slots not given away yet: %s', error)
    if not self._members.is_platform_up():
      # The row cannot be changed: it is enough that others serve the slots.
      return not self._held.holding_by_slot
    entries = self._members.roster.slots
    return not any(self._address in (s.owner, s.standby) for s in entries)

  async def _give_all(self, unfit: set[str]) -> None:
    if self._members.is_platform_up():
      await self._find_standbys()
    numbers_by_standby: dict[str, list[int]] = {}
    for number, holding in self._held.holding_by_slot.items():
      numbers_by_standby.setdefault(holding.standby, []).append(number)
    for target, numbers in sorted(numbers_by_standby.items()):
      if not target or target in unfit:
        continue
      if self._members.is_platform_up():
        await self._give(numbers, target)
      else:
        await self._outage.offer(numbers, target)


def _without_idle(current: roster.Roster, member: str) -> roster.Roster | None:
  if any(member in (slot.owner, slot.standby) for slot in current.slots):
    return None
  return roster.without_member(current, member)
