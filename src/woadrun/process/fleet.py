"""The daemons of all failure domains: who they are and who is heard.

Each daemon registers in the row store and sends short datagrams to others.
Silence of one that was heard before makes it suspect; one that was never
heard counts as alive until a message to it fails.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import hashlib
import logging
import math
import time

import mode
import msgspec

from woadrun import errors
from woadrun.connection import rows
from woadrun.process import feed

log = logging.getLogger('woadrun.fleet')

TABLE = 'members'
# Between two datagrams to one peer, in seconds.
BEAT_SECONDS = 0.25
# Three lost datagrams in a row and a late timer, in seconds.
SUSPECT_SECONDS = 0.9
# What datagrams tell of domains is gathered no more often, in seconds: it is
# asked for several times in each request.
REPORT_SECONDS = 0.05
# A member that is new in the list is heard so soon, in seconds: it learns of
# this daemon by the same feed.
FIRST_BEAT_SECONDS = 2.0
# A peer that could not be reached is left aside for so long, in seconds.
FAILED_SECONDS = 0.5
# A member silent for so long has its row removed, in seconds; it registers
# again if it lives.
GONE_SECONDS = 15.0
# Up to so many daemons, each beats to all others; beyond, to its neighbours
# in its own domain and to a few in each other one.
FULL_MESH = 24
NEIGHBOURS = 16
FAR_PEERS = 2


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
  """A daemon; `address` is where other daemons reach it."""

  name: str
  address: str
  domain: str


class MemberRow(msgspec.Struct, kw_only=True):
  """A member as it is registered."""

  address: str
  domain: str
  incarnation: str


class Beat(msgspec.Struct, kw_only=True, omit_defaults=True):
  """What a daemon says of itself in a datagram.

  `feeds` has the newest change known of each table.  `running` counts the
  requests that it has at each instance, `silent` names
  the domains that it and its neighbours hear nothing of, `hears` those that
  it hears itself.  `suspects` names members of its own domain that it heard
  before and does not any more.  `is_owing` says that it has spent of
  other domains' programs what the store does not have yet, `is_behind` that
  the store lacks anything of what it keeps.
  """

  name: str
  address: str
  domain: str
  has_store: bool = False
  feeds: dict[str, int] = {}
  is_leaving: bool = False
  running: dict[str, int] = {}
  silent: tuple[str, ...] = ()
  hears: tuple[str, ...] = ()
  suspects: tuple[str, ...] = ()
  is_owing: bool = False
  is_behind: bool = False


@dataclasses.dataclass(kw_only=True)
class Heard:
  """The last datagram of a peer, and when it came."""

  beat: Beat
  at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Reported:
  """What was heard of late: domains, and members that are suspect."""

  at: float
  domains: set[str]
  suspects: set[str]


class Fleet(mode.Service):
  """All members, this daemon included."""

  def __init__(
    self,
    *,
    me: Member,
    incarnation: str,
    store: rows.RowStore,
    make_beat: Callable[[], Beat],
    on_beat: Callable[[Beat], None],
  ) -> None:
    super().__init__()
    self.me = me
    self._incarnation = incarnation
    self._store = store
    self._make_beat = make_beat
    self._on_beat = on_beat
    self.member_by_name: dict[str, Member] = {me.name: me}
    self.heard_by_name: dict[str, Heard] = {}
    self._failed_until: dict[str, float] = {}
    self._known_since: dict[str, float] = {}
    self._suspects: set[str] = set()
    self._version_by_name: dict[str, int] = {}
    self.is_leaving = False
    self._reported = _Reported(at=-math.inf, domains=set(), suspects=set())
    self._transport: asyncio.DatagramTransport | None = None
    self.feed = feed.Feed(
      store=store, table=TABLE, on_list=self._take_list, on_row=self._take_row
    )

  # --- Who there is ---------------------------------------------------------

  def is_alive(self, name: str) -> bool:
    """Returns whether a member is believed to answer."""
    if name == self.me.name:
      return True
    now = time.monotonic()
    if self._failed_until.get(name, 0.0) > now:
      return False
    heard = self.heard_by_name.get(name)
    if heard is not None:
      return now - heard.at < SUSPECT_SECONDS
    # Where all beat to all, one that is listed but never heard is silent.
    known_since = self._known_since.get(name, now)
    if now - known_since < FIRST_BEAT_SECONDS:
      return True
    if self._is_mesh:
      return False
    # In larger fleets its neighbours tell.
    member = self.member_by_name.get(name)
    if member is None or name in self._get_reported().suspects:
      return False
    return not self.is_silent(member.domain)

  @property
  def _is_mesh(self) -> bool:
    return len(self.member_by_name) <= FULL_MESH

  def is_silent(self, domain: str) -> bool:
    """Returns whether nothing is heard of another domain.

    Each daemon hears few members of other domains, or none: what neighbours
    hear counts as well.
    """
    if domain == self.me.domain or domain in self._get_reported().domains:
      return False
    now = time.monotonic()
    known = [
      now - self._known_since.get(member.name, now)
      for member in self.member_by_name.values()
      if member.domain == domain
    ]
    return bool(known) and max(known) >= FIRST_BEAT_SECONDS

  def _get_reported(self) -> _Reported:
    """Returns what was heard of late, here or by neighbours."""
    now = time.monotonic()
    if now - self._reported.at >= REPORT_SECONDS:
      self._reported = self._collect_reports(now)
    return self._reported

  def _collect_reports(self, now: float) -> _Reported:
    domains: set[str] = set()
    suspects: set[str] = set()
    for heard in self.heard_by_name.values():
      if now - heard.at >= SUSPECT_SECONDS:
        continue
      domains.add(heard.beat.domain)
      if heard.beat.domain == self.me.domain:
        domains.update(heard.beat.hears)
        suspects.update(heard.beat.suspects)
    return _Reported(at=now, domains=domains, suspects=suspects)

  def get_heard_domains(self) -> tuple[str, ...]:
    """Returns the other domains of which a member is heard here."""
    now = time.monotonic()
    found = {
      heard.beat.domain
      for heard in self.heard_by_name.values()
      if now - heard.at < SUSPECT_SECONDS
    }
    return tuple(sorted(found - {self.me.domain}))

  def get_suspects(self) -> tuple[str, ...]:
    """Returns the members of the own domain that were heard before."""
    return tuple(
      name
      for name in sorted(self._suspects)
      if name in self.member_by_name
      and self.member_by_name[name].domain == self.me.domain
    )

  @property
  def domains(self) -> set[str]:
    """All failure domains with a member."""
    return {member.domain for member in self.member_by_name.values()}

  @property
  def is_isolated(self) -> bool:
    """Whether no other member is heard, though its own domain has others.

    Who hears other domains is not cut off: the members of its own are dead.
    """
    others = [n for n in self.member_by_name if n != self.me.name]
    domains = [self.member_by_name[name].domain for name in others]
    is_alone = not any(self.is_alive(name) for name in others)
    return self.me.domain in domains and is_alone

  def find_silent(self) -> list[str]:
    """Returns the other domains of which nothing is heard."""
    others = sorted(self.domains - {self.me.domain})
    return [domain for domain in others if self.is_silent(domain)]

  def find_unsettled(self) -> set[str]:
    """Returns the other domains that may spend without the store.

    Those are the silent ones, those that do not hear this domain, and those
    that have not yet told the store what they spent.
    """
    return set(self.find_silent()) | {
      heard.beat.domain
      for name, heard in self.heard_by_name.items()
      if heard.beat.domain != self.me.domain
      and (heard.beat.is_owing or self.me.domain in heard.beat.silent)
      and self.is_alive(name)
    }

  @property
  def is_settled(self) -> bool:
    """Whether no member may have what the store lacks.

    All are heard, and each says so.
    """
    return all(
      self.is_alive(name)
      and not (
        name in self.heard_by_name and self.heard_by_name[name].beat.is_behind
      )
      for name in self.member_by_name
    )

  def get_silence(self) -> float:
    """Returns for how long a whole domain has been silent, in seconds.

    It is 0 where none is, and the longest time where several are.
    """
    now = time.monotonic()
    heard_by_domain: dict[str, float] = {}
    for heard in self.heard_by_name.values():
      domain = heard.beat.domain
      last = heard_by_domain.get(domain, -math.inf)
      heard_by_domain[domain] = max(last, heard.at)
    lasting = (
      now - last
      for domain, last in heard_by_domain.items()
      if domain != self.me.domain and self.is_silent(domain)
    )
    return max(lasting, default=0.0)

  def note_failure(self, name: str) -> None:
    """Leaves a member aside for a while: a message to it failed."""
    self._failed_until[name] = time.monotonic() + FAILED_SECONDS

  def rank(self, key: str, domain: str) -> list[Member]:
    """Returns a domain's live members in the order of their claim on a key.

    The order is by rendezvous hashing: a member that comes or goes moves
    only the keys that it had or gets.
    """
    alive = [
      member
      for member in self.member_by_name.values()
      if member.domain == domain
      and self.is_alive(member.name)
      and not self._is_leaving(member.name)
    ]
    return sorted(alive, key=lambda m: _weigh(m.name, key), reverse=True)

  def is_first_of_all(self, key: str) -> bool:
    """Returns whether this daemon has the first claim in all domains."""
    alive = [name for name in self.member_by_name if self.is_alive(name)]
    return max(alive, key=lambda name: _weigh(name, key)) == self.me.name

  def find_with_store(self) -> list[Member]:
    """Returns live peers that reach the store, those of our domain first."""
    found = [
      self.member_by_name[name]
      for name, heard in self.heard_by_name.items()
      if heard.beat.has_store
      and name in self.member_by_name
      and self.is_alive(name)
    ]
    return sorted(found, key=lambda m: (m.domain != self.me.domain, m.name))

  def _is_leaving(self, name: str) -> bool:
    if name == self.me.name:
      return self.is_leaving
    heard = self.heard_by_name.get(name)
    return heard is not None and heard.beat.is_leaving

  # --- Registration ---------------------------------------------------------

  async def on_start(self) -> None:
    """Listens for datagrams and begins to follow the registrations."""
    host, _, port = self.me.address.rpartition(':')
    loop = asyncio.get_running_loop()
    self._transport, _ = await loop.create_datagram_endpoint(
      lambda: _Receiver(on_datagram=self._receive),
      local_addr=(host, int(port)),
    )
    await self.add_runtime_dependency(self.feed)

  async def on_stop(self) -> None:
    """Stops listening."""
    if self._transport is not None:
      self._transport.close()

  async def register(self) -> None:
    """Writes this daemon's row."""
    row = MemberRow(
      address=self.me.address,
      domain=self.me.domain,
      incarnation=self._incarnation,
    )
    key = rows.Key(TABLE, '', self.me.name)
    await self._store.change(writes=[(key, msgspec.json.encode(row))])
    log.info('Registered at %s.', self.me.address)

  async def unregister(self) -> None:
    """Removes this daemon's row."""
    await self._store.change(removes=[rows.Key(TABLE, '', self.me.name)])

  @mode.Service.task
  async def _stay_registered(self) -> None:
    while not self.should_stop:
      if self.me.name not in self._version_by_name and not self.is_leaving:
        await self._try(self.register())
      await self._remove_gone()
      await self.sleep(1.0)

  async def _remove_gone(self) -> None:
    now = time.monotonic()
    for name, heard in list(self.heard_by_name.items()):
      if now - heard.at < GONE_SECONDS or name not in self._version_by_name:
        continue
      # One member is enough to do it.
      alive = [n for n in self.member_by_name if self.is_alive(n)]
      if min(alive) != self.me.name:
        continue
      log.info('Removing member %s: silent for %.1f s.', name, now - heard.at)
      key = rows.Key(TABLE, '', name)
      version = self._version_by_name[name]
      await self._try(
        self._store.change(removes=[key], conditions=[(key, version)])
      )

  async def _try(self, change: object) -> None:
    try:
      await change  # type: ignore[misc]
    except errors.WoadrunError as error:
      log.warning('A registration was not changed: %s', error.message)

  def _take_list(self, found: tuple[rows.Row, ...]) -> None:
    listed = {row.key.name for row in found}
    for name in [n for n in self._version_by_name if n not in listed]:
      self._forget(name)
    for row in found:
      self._take_row(row)

  def _take_row(self, row: rows.Row) -> None:
    name = row.key.name
    if row.is_removed:
      self._forget(name)
      return
    self._version_by_name[name] = row.version
    if name == self.me.name:
      return
    try:
      found = msgspec.json.decode(row.value, type=MemberRow)
    except msgspec.MsgspecError as error:
      log.error('The row of member %s is unreadable: %s', name, error)
      return
    self._add(Member(name=name, address=found.address, domain=found.domain))

  def _forget(self, name: str) -> None:
    self._version_by_name.pop(name, None)
    if name != self.me.name:
      self.member_by_name.pop(name, None)
      self.heard_by_name.pop(name, None)
      log.info('Member %s is gone.', name)

  def _add(self, member: Member) -> None:
    known = self.member_by_name.get(member.name)
    if known != member:
      log.info('Member %s at %s.', member.name, member.address)
      self.member_by_name[member.name] = member
      self.heard_by_name.pop(member.name, None)
      self._known_since[member.name] = time.monotonic()

  # --- Datagrams ------------------------------------------------------------

  @mode.Service.task
  async def _send_beats(self) -> None:
    while not self.should_stop:
      self.send_beats()
      self._note_suspects()
      await self.sleep(BEAT_SECONDS)

  def send_beats(self) -> None:
    """Sends one datagram to each peer that this daemon beats to."""
    if self._transport is None:
      return
    data = msgspec.json.encode(self._make_beat())
    for member in self._get_targets():
      host, _, port = member.address.rpartition(':')
      self._transport.sendto(data, (host, int(port)))

  def _get_targets(self) -> list[Member]:
    others = [m for m in self.member_by_name.values() if m != self.me]
    if len(others) < FULL_MESH:
      return others
    domains = {member.domain for member in others} - {self.me.domain}
    targets = _find_neighbours(self.me, others)
    for domain in sorted(domains):
      far = [member for member in others if member.domain == domain]
      far.sort(key=lambda m: _weigh(m.name, self.me.name))
      targets.extend(far[:FAR_PEERS])
    return targets

  def _receive(self, data: bytes) -> None:
    try:
      beat = msgspec.json.decode(data, type=Beat)
    except msgspec.MsgspecError as error:
      log.warning('Ignored a datagram: %s', error)
      return
    if beat.name == self.me.name:
      return
    self._add(Member(name=beat.name, address=beat.address, domain=beat.domain))
    self.heard_by_name[beat.name] = Heard(beat=beat, at=time.monotonic())
    self._reported = _Reported(at=-math.inf, domains=set(), suspects=set())
    self._on_beat(beat)

  def _note_suspects(self) -> None:
    now = time.monotonic()
    suspects = {
      name
      for name, heard in self.heard_by_name.items()
      if now - heard.at >= SUSPECT_SECONDS
    }
    for name in suspects - self._suspects:
      log.warning('Member %s is silent.', name)
    for name in self._suspects - suspects:
      log.info('Member %s is heard again.', name)
    self._suspects = suspects


class _Receiver(asyncio.DatagramProtocol):
  """Hands each datagram on."""

  def __init__(self, *, on_datagram: Callable[[bytes], None]) -> None:
    self._on_datagram = on_datagram

  def datagram_received(self, data: bytes, addr: object) -> None:
    """Hands one datagram on."""
    self._on_datagram(data)


def _weigh(name: str, key: str) -> bytes:
  return hashlib.blake2b(f'{name} {key}'.encode(), digest_size=8).digest()


def _find_neighbours(me: Member, others: list[Member]) -> list[Member]:
  ring = sorted(
    (m for m in (*others, me) if m.domain == me.domain), key=lambda m: m.name
  )
  if len(ring) <= NEIGHBOURS + 1:
    return [member for member in ring if member != me]
  place = ring.index(me)
  steps = range(1, NEIGHBOURS // 2 + 1)
  ahead = [ring[(place + step) % len(ring)] for step in steps]
  behind = [ring[place - step] for step in steps]
  return [*ahead, *behind]
