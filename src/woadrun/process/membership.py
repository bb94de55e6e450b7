"""Membership of the failure domain, failure detection and the roster.

The roster of a failure domain is one row of the platform's table service.  It
lists the domain's daemons, its members, and the owner and standby of each slot,
a share of the domain's programs.  A member is listed by address, with the
incarnation, a random id, of its process.

The roster row is the single source of truth for slot ownership.  Heartbeats
detect silent daemons and spread new versions of the roster and of the
operators' table, the configuration that operators edit; they never change
ownership by themselves.  While the table service is unavailable, a daemon may
claim a slot, that is, serve it although the roster does not say so.
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
from woadrun.connection import http
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.connection import table
from woadrun.process import directory
from woadrun.process import vm_list
from woadrun.version import roster

log = logging.getLogger('woadrun.membership')

ROSTER_TABLE = 'roster'
# Largest domain in which every daemon exchanges heartbeats with all others.
MAX_FULL_MESH_DAEMONS = 8
# In a larger domain each daemon exchanges heartbeats with the daemons that
# share a slot with it and with this number of successors in the ring of
# addresses.
RING_SUCCESSORS = 2
# Maximum total rate at which the daemons of one domain read the roster row.
ROSTER_READS_PER_SECOND = 2.0
# How long another daemon's report of a silent member is valid.  A member that
# this daemon exchanges heartbeats with is judged by those alone.
SUSPICION_TTL_SECONDS = 3.0
# A foreign domain counts as unreachable when none of its daemons has sent a
# heartbeat for this time.
DOMAIN_TIMEOUT_SECONDS = 5.0
# Share of the heartbeats to foreign domains whose target is chosen from all
# regions instead of only the own one.
ALL_REGIONS_SHARE = 0.2

RosterListener = Callable[[roster.Roster], None]


class Membership(mode.Service):
  """Tracks the members and rosters of this and of other failure domains.

  `own_roster_listeners` are called with each new roster of this domain.
  `loads` returns the loads of the upstreams whose queues this daemon keeps, and
  `load_by_upstream` has those that peers reported.  `table_version` returns the
  version of the operators' table that this daemon has; `on_newer_table` is
  called with the address of a peer that has a newer one.  `is_leaving` is set
  during a planned stop.  Times are on the monotonic clock.
  """

  def __init__(
    self,
    *,
    config: settings.Settings,
    rows: table.Table,
    messenger: peers.Peers,
    vms: vm_list.VmList,
  ) -> None:
    super().__init__()
    self._config = config
    self.vms = vms
    self._table = rows
    self._links = messenger
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
    self.own_roster_listeners: list[RosterListener] = []
    # Called when the roster of any domain changes.
    self.any_roster_listeners: list[Callable[[], None]] = []
    self.loads: Callable[[], list[messages.UpstreamLoad]] = list
    self.load_by_upstream: dict[str, messages.UpstreamLoad] = {}
    self.table_version: Callable[[], int] = lambda: 0
    self.on_newer_table: Callable[[str], None] = lambda address: None
    self._heard_at: dict[str, float] = {}
    self._heartbeat_targets: list[str] = []
    self._target_since: dict[str, float] = {}
    self._domain_heard_at: dict[str, float] = {}
    self._suspected_at: dict[str, float] = {}
    self._leaving_members: set[str] = set()
    self._confirmed_at = float('-inf')
    self._platform_answered_at = float('-inf')
    self._heartbeat_tasks: dict[str, asyncio.Task] = {}

  # --- Reading --------------------------------------------------------------

  def get_silent(self) -> set[str]:
    """Returns the members that this daemon suspects to be dead.

    These are the heartbeat targets that do not answer and the other members
    that a peer reported recently and that were not heard since.
    """
    now = time.monotonic()
    targets = set(self._heartbeat_targets)
    silent = self._get_unresponsive()
    for member, at in self._suspected_at.items():
      heard = self._heard_at.get(member, float('-inf'))
      if (
        member not in targets
        and now - at < SUSPICION_TTL_SECONDS
        and heard < at
      ):
        silent.add(member)
    return silent & set(self.roster.incarnations)

  def _get_unresponsive(self) -> set[str]:
    """Returns the members whose heartbeats this daemon itself misses.

    Only these are reported to other daemons: a suspicion that every receiver
    passed on would never expire.
    """
    now = time.monotonic()
    limit = self._config.timing.silent_after
    return {
      m
      for m in self._heartbeat_targets
      if now - self._get_last_heard(m) > limit
    }

  def _get_last_heard(self, member: str) -> float:
    # A member that became a heartbeat target only recently has had no time to
    # answer, so it counts as heard at that time.
    since = self._target_since.get(member, time.monotonic())
    return max(since, self._heard_at.get(member, since))

  def get_unfit(self) -> set[str]:
    """Returns the members that must not receive new slots.

    They are silent, in a planned stop, or on a VM that will be removed soon.
    """
    listed = self.vms.get_leaving() & set(self.roster.incarnations)
    return self.get_silent() | self._leaving_members | listed

  def has_quorum(self) -> bool:
    """Returns whether a majority of the heartbeat targets answered recently.

    This daemon counts itself as one of them and as heard.
    """
    targets = self._heartbeat_targets
    heard = len(set(targets) - self.get_silent())
    return 2 * (heard + 1) > len(targets) + 1

  def is_platform_up(self) -> bool:
    """Returns whether the table service answered a recent roster call."""
    limit = 2 * self._config.timing.silent_after + self._get_read_interval()
    return time.monotonic() - self._platform_answered_at < limit

  def count_daemons(self) -> int:
    """Returns about how many daemons share the platform, in all domains.

    Each VM of the platform's list counts as one.  Returns at least the number
    of members of this domain, since that list may be out of date, and 1.
    """
    return max(1, len(self.vms.vm_by_address), len(self.roster.incarnations))

  @property
  def process_name(self) -> str:
    """A name of this process that no other process ever has."""
    return directory.make_process_name(self.address, self.incarnation)

  def make_heartbeat(self) -> messages.Heartbeat:
    """Returns a heartbeat with the current state of this daemon."""
    return messages.Heartbeat(
      sender=self.address,
      domain=self.domain,
      incarnation=self.incarnation,
      roster_version=self.roster.version,
      table_version=self.table_version(),
      leaving=self.is_leaving,
      suspects=sorted(self._get_unresponsive()),
      claims=self.directory.claims(),
      loads=self.loads(),
      leaving_vms=sorted(self.vms.get_leaving()),
    )

  # --- The roster -----------------------------------------------------------

  async def update_roster(self, change: roster.Change) -> bool:
    """Changes the roster row; returns whether `change` produced a new roster.

    `change` may be called again after a conflict with another writer.  The
    roster in the table service is applied in either case.  A new one is sent to
    the other members.  Raises a platform error if the table service cannot be
    reached.
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
    self._record_confirmed(started)
    self.apply_roster(stored)
    is_changed = bool(changed_to) and stored.version == changed_to
    if is_changed and stored.version > before:
      await self._broadcast_roster()
    return is_changed

  async def refresh_roster(self) -> None:
    """Reads the roster row and applies it if it is newer.

    Raises a platform error if the table service cannot be reached.
    """
    started = time.monotonic()
    row = await self._table.read(ROSTER_TABLE, self.domain)
    found = http.decode(row.value, type=roster.Roster) if row else None
    self._record_confirmed(started)
    if found is not None:
      self.apply_roster(found)

  async def confirm_not_isolated(self) -> None:
    """Returns once it is certain that this daemon is not isolated.

    Either most heartbeat targets answered recently, or the table service did,
    which is asked if necessary.  Raises `isolated` otherwise.
    """
    age = time.monotonic() - self._confirmed_at
    if self.has_quorum() or age < self._config.timing.silent_after:
      return
    try:
      await self.refresh_roster()
    except errors.WoadrunError:
      raise errors.WoadrunError(
        errors.Code.ISOLATED,
        'This daemon can reach neither its failure domain nor the table '
        'service.',
        retry_after=self._config.timing.silent_after,
      ) from None

  def apply_roster(self, new: roster.Roster) -> bool:
    """Applies a roster if it is newer than the known one of its domain.

    Returns whether it was newer.  Only a roster of this domain changes the
    members and the heartbeat targets.
    """
    if new.domain != self.domain:
      known = self.directory.roster_by_domain.get(new.domain)
      if known is None or new.version > known.version:
        self.directory.roster_by_domain[new.domain] = new
        for notify in self.any_roster_listeners:
          notify()
        return True
      return False
    if new.version <= self.roster.version:
      return False
    now = time.monotonic()
    self._leaving_members &= set(new.incarnations)
    self.roster = self.directory.roster = new
    self._heartbeat_targets = self._find_heartbeat_targets()
    self._target_since = {
      member: self._target_since.get(member, now)
      for member in self._heartbeat_targets
    }
    for listener in self.own_roster_listeners:
      listener(new)
    for notify in self.any_roster_listeners:
      notify()
    return True

  async def fetch_roster(self, domain: str, address: str) -> None:
    """Fetches a domain's roster and claims from a peer; applies newer ones.

    Raises an error if the peer does not answer.
    """
    answer = await self._links.post(
      address,
      'roster/get',
      messages.RosterQuery(domain=domain),
      type=messages.RosterAnswer,
      timeout=self._config.timing.silent_after,
    )
    if answer.roster is not None:
      self.apply_roster(answer.roster)
    for slot, claim in answer.claims.items():
      self.directory.record_claim(domain, slot, claim)

  async def is_member_reachable(self, address: str) -> bool:
    """Returns whether a new round trip shows that a member is alive.

    Asks the member itself for a heartbeat, and all other heartbeat targets
    whether they heard it recently.  One positive answer suffices.
    """
    others = [m for m in self._heartbeat_targets if m != address]
    answers = await asyncio.gather(
      self._probe(address),
      *(self._query_liveness(other, address) for other in others),
    )
    return any(answers)

  # --- Heartbeats -----------------------------------------------------------

  def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
    """Records the state that a peer reports in its heartbeat.

    A newer roster that it reports is fetched in the background.
    """
    now = time.monotonic()
    self._domain_heard_at[heartbeat.domain] = now
    if heartbeat.domain == self.domain:
      self._record_member(heartbeat, now)
      if heartbeat.roster_version > self.roster.version:
        self.add_future(self._try_fetch(self.domain, heartbeat.sender))
    else:
      known = self.directory.roster_by_domain.get(heartbeat.domain)
      if known is None or heartbeat.roster_version > known.version:
        self.add_future(self._try_fetch(heartbeat.domain, heartbeat.sender))
    for load in heartbeat.loads:
      self.load_by_upstream[load.name] = load
    self.vms.record_leaving_vms(heartbeat.leaving_vms)
    if heartbeat.table_version > self.table_version():
      self.on_newer_table(heartbeat.sender)

  def add_heartbeat_target(self, address: str) -> None:
    """Adds a member to the heartbeat targets until a new roster is applied."""
    if address not in self._heartbeat_targets:
      self._heartbeat_targets.append(address)
      self._target_since[address] = time.monotonic()

  def _record_member(self, heartbeat: messages.Heartbeat, now: float) -> None:
    # Another process at the address of a member does not show that the member
    # is alive.
    expected = self.roster.incarnations.get(heartbeat.sender)
    if expected is not None and expected != heartbeat.incarnation:
      return
    self._heard_at[heartbeat.sender] = now
    self._suspected_at.pop(heartbeat.sender, None)
    if heartbeat.leaving:
      self._leaving_members.add(heartbeat.sender)
    for member in heartbeat.suspects:
      self._suspected_at[member] = now
    self.directory.replace_claims(heartbeat.sender, heartbeat.claims)

  def _find_heartbeat_targets(self) -> list[str]:
    members = roster.get_members(self.roster)
    others = [m for m in members if m != self.address]
    if len(members) <= MAX_FULL_MESH_DAEMONS:
      return others
    index = sum(m < self.address for m in others)
    ring = [
      others[(index + step) % len(others)] for step in range(RING_SUCCESSORS)
    ]
    partners = roster.get_partners(self.roster, self.address)
    return sorted(partners | set(ring))

  async def _probe(self, address: str) -> bool:
    try:
      heartbeat = await self._exchange(address)
    except errors.WoadrunError:
      return False
    return heartbeat.incarnation == self.roster.incarnations.get(address)

  async def _query_liveness(self, other: str, address: str) -> bool:
    try:
      answer = await self._links.post(
        other,
        'alive',
        messages.LivenessQuery(address=address),
        type=messages.LivenessAnswer,
        timeout=self._config.timing.heartbeat,
      )
    except errors.WoadrunError:
      return False
    if answer.roster_version > self.roster.version:
      await self._try_fetch(self.domain, other)
    return answer.is_heard

  def has_recent_heartbeat(self, address: str) -> bool:
    """Returns whether a member sent this daemon a heartbeat recently."""
    heard = self._heard_at.get(address, float('-inf'))
    return time.monotonic() - heard < self._config.timing.silent_after

  def mark_domain_unreachable(self, domain: str) -> None:
    """Marks another domain as unreachable until a heartbeat of it arrives."""
    self._domain_heard_at.pop(domain, None)

  def has_recent_domain_heartbeat(self, domain: str) -> bool:
    """Returns whether any daemon of a domain sent a heartbeat recently.

    Returns True for this domain.
    """
    if domain == self.domain:
      return True
    heard = self._domain_heard_at.get(domain, float('-inf'))
    return time.monotonic() - heard < DOMAIN_TIMEOUT_SECONDS

  async def _exchange(self, address: str) -> messages.Heartbeat:
    heartbeat = await self._links.post(
      address,
      'heartbeat',
      self.make_heartbeat(),
      type=messages.Heartbeat,
      timeout=self._config.timing.silent_after / 2,
    )
    self.record_heartbeat(heartbeat)
    return heartbeat

  async def bootstrap_from(self, address: str) -> None:
    """Fetches roster and claims from a daemon that no known roster lists.

    A newer operators' table that its heartbeat reports is fetched as well.
    Raises an error if the daemon does not answer.
    """
    heartbeat = await self._exchange(address)
    await self.fetch_roster(heartbeat.domain, address)

  async def _try_exchange(self, address: str) -> None:
    try:
      await self._exchange(address)
    except errors.WoadrunError as error:
      log.debug('Cannot exchange heartbeats with %s: %s', address, error)

  @mode.Service.task
  async def _send_heartbeats(self) -> None:
    while not self.should_stop:
      for address in (
        *self._heartbeat_targets,
        *self._choose_foreign_targets(),
      ):
        task = self._heartbeat_tasks.get(address)
        if task is None or task.done():
          self._heartbeat_tasks[address] = asyncio.ensure_future(
            self._try_exchange(address)
          )
      pause = self._config.timing.heartbeat * random.uniform(0.9, 1.1)
      due = time.monotonic() + pause
      await self.sleep(pause)
      self._log_loop_delay(time.monotonic() - due)

  def _log_loop_delay(self, seconds: float) -> None:
    """Logs a long delay of the event loop, during which heartbeats are missed.

    The log line distinguishes a frozen daemon from one that is cut off.
    """
    if seconds > self._config.timing.silent_after / 2:
      log.warning(
        'Event loop was late by %.1f s: process frozen or short of CPU time.',
        seconds,
      )

  def _choose_foreign_targets(self) -> list[str]:
    # Returns no daemon or one.  A daemon is chosen with a probability equal to
    # the heartbeat interval in seconds, that is, one per second on average:
    # mostly of the own region, and with a probability of `ALL_REGIONS_SHARE` of
    # any region.
    region = set(self._config.daemon.region_domains) - {self.domain}
    is_any_region = random.random() < ALL_REGIONS_SHARE
    domains = (
      self.vms.get_domains() - {self.domain} if is_any_region else region
    )
    foreign = self.vms.get_staying(domains)
    is_due = random.random() < self._config.timing.heartbeat
    return [random.choice(foreign)] if foreign and is_due else []

  # --- Background reading ---------------------------------------------------

  @mode.Service.task
  async def _read_roster(self) -> None:
    while not self.should_stop:
      await self.sleep(self._get_read_interval() * random.uniform(0.5, 1.5))
      try:
        await self.refresh_roster()
      except errors.WoadrunError as error:
        log.debug('Cannot read the roster: %s', error)

  def _get_read_interval(self) -> float:
    return max(1.0, len(self.roster.incarnations) / ROSTER_READS_PER_SECOND)

  def _record_confirmed(self, at: float) -> None:
    self._confirmed_at = max(self._confirmed_at, at)
    self._platform_answered_at = max(self._platform_answered_at, at)

  async def _broadcast_roster(self) -> None:
    # The daemons of a changed pair need the new roster before the next call.
    # The others would get it by heartbeat; sending it avoids that they route
    # calls to the previous owner until then.
    excluded = self.get_silent() | {self.address}
    others = [m for m in self.roster.incarnations if m not in excluded]
    await asyncio.gather(*(self._send_roster(other) for other in others))

  async def _send_roster(self, address: str) -> None:
    try:
      await self._links.post(
        address,
        'roster/put',
        messages.RosterAnswer(roster=self.roster),
        type=messages.Done,
        timeout=self._config.timing.heartbeat,
      )
    except errors.WoadrunError as error:
      log.debug('Cannot send the roster to %s: %s', address, error)

  async def _try_fetch(self, domain: str, address: str) -> None:
    try:
      await self.fetch_roster(domain, address)
    except errors.WoadrunError as error:
      log.debug(
        'Cannot fetch the roster of domain %s from %s: %s',
        domain,
        address,
        error,
      )

  # --- Joining and leaving --------------------------------------------------

  def is_joined(self) -> bool:
    """Returns whether the roster lists this process, by its incarnation."""
    return self.roster.incarnations.get(self.address) == self.incarnation

  async def join(self) -> None:
    """Adds this process to the roster, where it holds no slots yet.

    Raises a platform error if the table service cannot be reached.
    """
    await self.update_roster(
      lambda current: roster.with_member(
        current, self.address, self.incarnation
      )
    )
    log.info('Joined failure domain %s as %s.', self.domain, self.address)

  async def leave_domain(self) -> None:
    """Removes this process from the roster; its slots pass to their standbys.

    Has no effect if the roster lists another process at this address.  Raises a
    platform error if the table service cannot be reached.
    """

    def without(current: roster.Roster) -> roster.Roster | None:
      if current.incarnations.get(self.address) != self.incarnation:
        return None
      return roster.without_member(current, self.address)

    await self.update_roster(without)
    log.info('Left failure domain %s.', self.domain)

  def dump(self) -> dict[str, object]:
    """Returns the state of the membership as plain data."""
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
