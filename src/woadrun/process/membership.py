"""Who is in the failure domain, who is silent, and the roster in force.

The roster row is the only truth about who owns what.  Heartbeats tell
who is silent and spread new versions of roster and table; they decide
nothing by themselves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging
import random
import time
import uuid

import mode
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.connection import table
from woadrun.process import directory
from woadrun.process import vm_list
from woadrun.version import roster

log = logging.getLogger('woadrun.membership')

ROSTER_TABLE = 'roster'
# Up to this size every daemon of a domain exchanges heartbeats with all.
FULL_MESH = 8
# Beyond it, these many successors in the ring besides the partners.
RING = 2
# Reads of the roster row a second by the daemons of one domain together.
ROSTER_READS = 2.0
# How long another daemon's word about a silent one counts.
SUSPECT_SECONDS = 3.0
# After so long without a word a whole domain seems cut off.
DOMAIN_SECONDS = 5.0
# The part of heartbeats across domains that goes beyond the region.
FAR_SHARE = 0.2

RosterListener = Callable[[roster.Roster], None]


class Membership(mode.Service):
  """The process's knowledge of its own and of other failure domains."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    rows: table.Table,
    links: peers.Peers,
    vms: vm_list.VmList,
  ) -> None:
    super().__init__()
    self._config = config
    self.vms = vms
    self._table = rows
    self._links = links
    self.address = config.daemon.address
    self.domain = config.daemon.domain
    self.incarnation = uuid.uuid4().hex[:12]
    self.directory = directory.Directory(
      address=self.address,
      own=roster.make_empty(self.domain, slots=config.daemon.slots),
      vms=vms,
      get_silent=self.get_silent,
    )
    self.roster = self.directory.roster
    self.is_leaving = False
    self.listeners: list[RosterListener] = []
    # Called when the roster of any domain changed.
    self.known_listeners: list[Callable[[], None]] = []
    self.loads: Callable[[], list[messages.UpstreamLoad]] = list
    self.load_by_upstream: dict[str, messages.UpstreamLoad] = {}
    self.table_version: Callable[[], int] = lambda: 0
    self.on_newer_table: Callable[[str], None] = lambda address: None
    self._heard_at: dict[str, float] = {}
    self._targets: list[str] = []
    self._watched_since: dict[str, float] = {}
    self._domain_heard_at: dict[str, float] = {}
    self._suspected_at: dict[str, float] = {}
    self._leaving: set[str] = set()
    self._confirmed_at = float('-inf')
    self._platform_ok_at = float('-inf')
    self._beating: dict[str, asyncio.Task] = {}

  # --- Reading --------------------------------------------------------------

  def get_silent(self) -> set[str]:
    """Returns the members that seem dead, as far as this daemon knows."""
    now = time.monotonic()
    targets = set(self._targets)
    silent = self._get_unanswering()
    for member, at in self._suspected_at.items():
      heard = self._heard_at.get(member, float('-inf'))
      if member not in targets and now - at < SUSPECT_SECONDS and heard < at:
        silent.add(member)
    return silent & set(self.roster.incarnations)

  def _get_unanswering(self) -> set[str]:
    """Returns the members that this daemon itself hears nothing of.

    Only they are told to others: a rumour that is passed on would never
    end.
    """
    now = time.monotonic()
    limit = self._config.timing.silent_after
    return {m for m in self._targets if now - self._get_heard(m) > limit}

  def _get_heard(self, member: str) -> float:
    # A member that is watched only since a moment has had no time to speak.
    since = self._watched_since.get(member, time.monotonic())
    return max(since, self._heard_at.get(member, since))

  def get_unfit(self) -> set[str]:
    """Returns the members that must get no new slots."""
    listed = self.vms.get_leaving() & set(self.roster.incarnations)
    return self.get_silent() | self._leaving | listed

  def has_quorum(self) -> bool:
    """Returns whether most of the members watched were heard lately."""
    targets = self._targets
    heard = len(set(targets) - self.get_silent())
    return 2 * (heard + 1) > len(targets) + 1

  def is_platform_up(self) -> bool:
    """Returns whether the table answered lately."""
    limit = 2 * self._config.timing.silent_after + self._get_read_interval()
    return time.monotonic() - self._platform_ok_at < limit

  def count_daemons(self) -> int:
    """Returns how many daemons share the platform, in all domains."""
    return max(1, len(self.vms.vm_by_address), len(self.roster.incarnations))

  @property
  def process_name(self) -> str:
    """Returns what names this process among all that ever ran."""
    return directory.make_process_name(self.address, self.incarnation)

  def make_heartbeat(self) -> messages.Heartbeat:
    """Returns what this daemon says of itself now."""
    return messages.Heartbeat(
      sender=self.address,
      domain=self.domain,
      incarnation=self.incarnation,
      roster_version=self.roster.version,
      table_version=self.table_version(),
      leaving=self.is_leaving,
      suspects=sorted(self._get_unanswering()),
      claims=self.directory.claims(),
      loads=self.loads(),
      leaving_vms=sorted(self.vms.get_leaving()),
    )

  # --- The roster -----------------------------------------------------------

  async def change(self, change: roster.Change) -> bool:
    """Returns whether `change` led to a new roster, which is in force then.

    Raises a platform error when the table can't be reached.
    """
    before = self.roster.version
    changed_to = 0

    def step(current: roster.Roster) -> roster.Roster | None:
      nonlocal changed_to
      new = change(current)
      changed_to = current.version + 1 if new is not None else 0
      if new is None:
        return None
      return msgspec.structs.replace(new, version=changed_to)

    started = time.monotonic()
    stored = await self._table.update(
      ROSTER_TABLE,
      self.domain,
      step,
      type=roster.Roster,
      empty=roster.make_empty(self.domain, slots=self._config.daemon.slots),
    )
    self._note_confirmed(started)
    self.adopt(stored)
    is_changed = bool(changed_to) and stored.version == changed_to
    if is_changed and stored.version > before:
      await self._push()
    return is_changed

  async def refresh(self) -> None:
    """Reads the roster row; raises a platform error when that fails."""
    started = time.monotonic()
    row = await self._table.read(ROSTER_TABLE, self.domain)
    self._note_confirmed(started)
    if row is not None:
      self.adopt(msgspec.json.decode(row.value, type=roster.Roster))

  async def confirm(self) -> None:
    """Returns when this daemon knows that it is not isolated.

    Either most members were heard lately, or the table just answered.
    Raises `isolated` otherwise.
    """
    age = time.monotonic() - self._confirmed_at
    if self.has_quorum() or age < self._config.timing.silent_after:
      return
    try:
      await self.refresh()
    except errors.WoadrunError:
      raise errors.WoadrunError(
        errors.Code.ISOLATED,
        'This daemon reaches neither its failure domain nor the table.',
        retry_after=self._config.timing.silent_after,
      ) from None

  def adopt(self, new: roster.Roster) -> bool:
    """Returns whether a roster is newer than the one known, and takes it."""
    if new.domain != self.domain:
      known = self.directory.roster_by_domain.get(new.domain)
      if known is None or new.version > known.version:
        self.directory.roster_by_domain[new.domain] = new
        for note_known in self.known_listeners:
          note_known()
        return True
      return False
    if new.version <= self.roster.version:
      return False
    now = time.monotonic()
    self._leaving &= set(new.incarnations)
    self.roster = self.directory.roster = new
    self._targets = self._find_targets()
    self._watched_since = {
      member: self._watched_since.get(member, now) for member in self._targets
    }
    for listener in self.listeners:
      listener(new)
    for note_known in self.known_listeners:
      note_known()
    return True

  async def fetch(self, domain: str, address: str) -> None:
    """Takes a domain's roster from a peer, if it knows a newer one."""
    answer = await self._links.post(
      address,
      'roster/get',
      messages.AskRoster(domain=domain),
      type=messages.RosterAnswer,
      timeout=self._config.timing.silent_after,
    )
    if answer.roster is not None:
      self.adopt(answer.roster)
    for slot, claim in answer.claims.items():
      self.directory.note_claim(domain, slot, claim)

  async def is_heard_by_others(self, address: str) -> bool:
    """Returns whether a fresh round trip shows that a member is alive.

    Asks the member itself and all others that should know.
    """
    others = [m for m in self._targets if m != address]
    answers = await asyncio.gather(
      self._probe(address),
      *(self._ask(other, address) for other in others),
    )
    return any(answers)

  # --- Heartbeats -----------------------------------------------------------

  def note_heartbeat(self, beat: messages.Heartbeat) -> None:
    """Takes in what a peer says of itself."""
    now = time.monotonic()
    self._domain_heard_at[beat.domain] = now
    if beat.domain == self.domain:
      self._note_member(beat, now)
      if beat.roster_version > self.roster.version:
        self.add_future(self._try_fetch(self.domain, beat.sender))
    else:
      known = self.directory.roster_by_domain.get(beat.domain)
      if known is None or beat.roster_version > known.version:
        self.add_future(self._try_fetch(beat.domain, beat.sender))
    for load in beat.loads:
      self.load_by_upstream[load.name] = load
    self.vms.note_told(beat.leaving_vms)
    if beat.table_version > self.table_version():
      self.on_newer_table(beat.sender)

  def watch(self, address: str) -> None:
    """Exchanges heartbeats with a member until the next roster."""
    if address not in self._targets:
      self._targets.append(address)
      self._watched_since[address] = time.monotonic()

  def _note_member(self, beat: messages.Heartbeat, now: float) -> None:
    expected = self.roster.incarnations.get(beat.sender)
    if expected is not None and expected != beat.incarnation:
      return
    self._heard_at[beat.sender] = now
    self._suspected_at.pop(beat.sender, None)
    if beat.leaving:
      self._leaving.add(beat.sender)
    for member in beat.suspects:
      self._suspected_at[member] = now
    self.directory.note_claims_of(beat.sender, beat.claims)

  def _find_targets(self) -> list[str]:
    members = roster.get_members(self.roster)
    others = [m for m in members if m != self.address]
    if len(members) <= FULL_MESH:
      return others
    index = sum(m < self.address for m in others)
    ring = [others[(index + step) % len(others)] for step in range(RING)]
    partners = roster.get_partners(self.roster, self.address)
    return sorted(partners | set(ring))

  async def _probe(self, address: str) -> bool:
    try:
      beat = await self._exchange(address)
    except errors.WoadrunError:
      return False
    return beat.incarnation == self.roster.incarnations.get(address)

  async def _ask(self, other: str, address: str) -> bool:
    try:
      answer = await self._links.post(
        other,
        'alive',
        messages.AskAlive(address=address),
        type=messages.Alive,
        timeout=self._config.timing.heartbeat,
      )
    except errors.WoadrunError:
      return False
    if answer.roster_version > self.roster.version:
      await self._try_fetch(self.domain, other)
    return answer.is_heard

  def hears(self, address: str) -> bool:
    """Returns whether a member spoke to this daemon lately."""
    heard = self._heard_at.get(address, float('-inf'))
    return time.monotonic() - heard < self._config.timing.silent_after

  def note_unreached(self, domain: str) -> None:
    """Takes a domain for cut off until one of its daemons speaks again."""
    self._domain_heard_at.pop(domain, None)

  def hears_domain(self, domain: str) -> bool:
    """Returns whether any daemon of a domain spoke to this one lately."""
    if domain == self.domain:
      return True
    heard = self._domain_heard_at.get(domain, float('-inf'))
    return time.monotonic() - heard < DOMAIN_SECONDS

  async def _exchange(self, address: str) -> messages.Heartbeat:
    beat = await self._links.post(
      address,
      'heartbeat',
      self.make_heartbeat(),
      type=messages.Heartbeat,
      timeout=self._config.timing.silent_after / 2,
    )
    self.note_heartbeat(beat)
    return beat

  async def greet(self, address: str) -> None:
    """Learns roster and table from a daemon outside any roster known."""
    beat = await self._exchange(address)
    await self.fetch(beat.domain, address)

  async def _beat(self, address: str) -> None:
    try:
      await self._exchange(address)
    except errors.WoadrunError as error:
      log.debug('No heartbeat: %s', error)

  @mode.Service.task
  async def _send_heartbeats(self) -> None:
    while not self.should_stop:
      for address in (*self._targets, *self._choose_foreign()):
        task = self._beating.get(address)
        if task is None or task.done():
          self._beating[address] = asyncio.ensure_future(self._beat(address))
      pause = self._config.timing.heartbeat * random.uniform(0.9, 1.1)
      due = time.monotonic() + pause
      await self.sleep(pause)
      self._note_late(time.monotonic() - due)

  def _note_late(self, seconds: float) -> None:
    """Logs a long delay of the event loop, in which heartbeats are missed."""
    if seconds > self._config.timing.silent_after / 2:
      log.warning(
        'Event loop was late by %.1f s: frozen, or short of processor time.',
        seconds,
      )

  def _choose_foreign(self) -> list[str]:
    # Now and then a daemon of another region, else one of this region.
    region = set(self._config.daemon.region_domains) - {self.domain}
    is_far = random.random() < FAR_SHARE
    domains = self.vms.get_domains() - {self.domain} if is_far else region
    foreign = self.vms.get_staying(domains)
    is_due = random.random() < self._config.timing.heartbeat
    return [random.choice(foreign)] if foreign and is_due else []

  # --- Background reading ---------------------------------------------------

  @mode.Service.task
  async def _read_roster(self) -> None:
    while not self.should_stop:
      await self.sleep(self._get_read_interval() * random.uniform(0.5, 1.5))
      try:
        await self.refresh()
      except errors.WoadrunError as error:
        log.debug('Roster not read: %s', error)

  def _get_read_interval(self) -> float:
    return max(1.0, len(self.roster.incarnations) / ROSTER_READS)

  def _note_confirmed(self, at: float) -> None:
    self._confirmed_at = max(self._confirmed_at, at)
    self._platform_ok_at = max(self._platform_ok_at, at)

  async def _push(self) -> None:
    # The pair's daemons must know before the next call; the rest may
    # learn by heartbeat, yet a push spares them a detour.
    away = self.get_silent() | {self.address}
    others = [m for m in self.roster.incarnations if m not in away]
    await asyncio.gather(*(self._push_to(other) for other in others))

  async def _push_to(self, address: str) -> None:
    try:
      await self._links.post(
        address,
        'roster/put',
        messages.RosterAnswer(roster=self.roster),
        type=messages.Done,
        timeout=self._config.timing.heartbeat,
      )
    except errors.WoadrunError as error:
      log.debug('Roster not pushed: %s', error)

  async def _try_fetch(self, domain: str, address: str) -> None:
    try:
      await self.fetch(domain, address)
    except errors.WoadrunError as error:
      log.debug('Roster not fetched: %s', error)

  # --- Joining and leaving --------------------------------------------------

  def is_joined(self) -> bool:
    """Returns whether the roster has this very process as a member."""
    return self.roster.incarnations.get(self.address) == self.incarnation

  async def join(self) -> None:
    """Adds this process to the roster."""
    await self.change(
      lambda current: roster.with_member(
        current, self.address, self.incarnation
      )
    )
    log.info('Joined %s as %s.', self.domain, self.address)

  async def quit(self) -> None:
    """Takes this process out of the roster."""

    def without(current: roster.Roster) -> roster.Roster | None:
      if current.incarnations.get(self.address) != self.incarnation:
        return None
      return roster.without_member(current, self.address)

    await self.change(without)
    log.info('Left %s.', self.domain)

  def dump(self) -> dict[str, object]:
    """Returns the state of this part as plain data."""
    return {
      'address': self.address,
      'domain': self.domain,
      'incarnation': self.incarnation,
      'is_leaving': self.is_leaving,
      'roster': msgspec.to_builtins(self.roster),
      'roster_versions': {
        domain: known.version
        for domain, known in self.directory.roster_by_domain.items()
      },
      'silent': sorted(self.get_silent()),
      'unfit': sorted(self.get_unfit()),
      'has_quorum': self.has_quorum(),
      'is_platform_up': self.is_platform_up(),
      'vms': sorted(self.vms.vm_by_address),
      'leaving_vms': sorted(self.vms.get_leaving()),
    }
