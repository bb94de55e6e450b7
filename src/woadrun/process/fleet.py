"""Membership and failure detection for the daemons of all failure domains.

Daemons send heartbeats to each other as short datagrams.  In a small fleet each
daemon sends to all others, and suspects a member whose heartbeats stop.  In a
large fleet members send heartbeats to the hubs of their domain only, and learn
the state of other members from the digests of the hubs.

A failure domain (domain) is a group of VMs that may be cut off from the others
together.  The hubs are two members of a domain chosen by rank; a digest
summarizes the heartbeats that a hub has received from its domain.  The store is
the platform's row store, which holds a row for each member.  A daemon follows
that table through a feed, directly or through its peers.

A program is a client's series of calls; its turns are the calls that generate
tokens.  The tokens are taken from the budget of the program, and those taken so
far are its spending.  A program belongs to one domain, its home domain.  One
member there, its owner, decides on its turns; another one, its standby, keeps a
copy of these decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import itertools
import logging
import math
import time

import mode
import msgspec

from woadrun import decoding
from woadrun.process import datagrams
from woadrun.process import fleet_heartbeats
from woadrun.process import hubs
from woadrun.process import members
from woadrun.process import returning_domains
from woadrun.process import ticks
from woadrun.process import views

log = logging.getLogger('woadrun.fleet')

# Table of the row store with one row for each registered member.
TABLE = 'members'
# Interval between two heartbeats to one peer, in seconds.
HEARTBEAT_INTERVAL_SECONDS = 0.25
# Shortest time between two heartbeats that a hub sends at once because the
# reports of the store changed.  While about half of the daemons suspect the
# store, each report could change the majority, and a hub sends to its whole
# domain.
MIN_RELAY_INTERVAL_SECONDS = 0.1
SUSPECT_TIMEOUT_SECONDS = hubs.SUSPECT_TIMEOUT_SECONDS
# Number of heartbeats between two checks of all members for silence.  The
# results are used only to remove rows and to write log lines, which may be
# seconds late.
HEARTBEATS_PER_SILENCE_CHECK = 2
# Time for which the merged view of heartbeats and digests is cached, in
# seconds.  Each request to this daemon needs the view several times.
VIEW_TTL_SECONDS = 0.05
# Timeout for the first heartbeat of a member that is new in the list, in
# seconds.  The member learns of this daemon from the feed of the same table.
FIRST_HEARTBEAT_TIMEOUT_SECONDS = 2.0
# Time after which a daemon of a large fleet that hears nothing of its own
# domain considers itself cut off, in seconds: it then presumes the other
# members of its domain dead.  Finding new hubs after the loss of both takes
# less than this time.
OWN_DOMAIN_TIMEOUT_SECONDS = 2.0
# Time for which a peer counts as failed after a message to it failed, in
# seconds.
FAILURE_TTL_SECONDS = 0.5
# Largest fleet in which each daemon sends heartbeats to all others.  In larger
# fleets heartbeats go through hubs, since the number of datagrams would grow
# with the square of the number of members.
FULL_MESH_MAX_MEMBERS = 24


class Fleet(mode.Service):
  """All members of the fleet, including this daemon.

  `make_fleet_heartbeat` returns the next heartbeat of this daemon.
  `on_heartbeat` is called with each heartbeat received, `on_digest` with each
  digest that is newer than the last one of its hub, including those that this
  daemon makes as a hub.  `last_heartbeat_by_name` has the last heartbeat of
  each peer that sent one.
  """

  def __init__(
    self,
    *,
    me: fleet_heartbeats.Member,
    make_fleet_heartbeat: Callable[[], fleet_heartbeats.FleetHeartbeat],
    on_heartbeat: Callable[[fleet_heartbeats.FleetHeartbeat], None],
    on_digest: Callable[[fleet_heartbeats.Digest], None] = lambda digest: None,
  ) -> None:
    super().__init__()
    self.me = me
    self._make_beat = make_fleet_heartbeat
    self._on_beat = on_heartbeat
    self._on_digest = on_digest
    self._members = members.Members(me=me)
    self.member_by_name = self._members.by_name
    self.last_heartbeat_by_name: dict[str, fleet_heartbeats.LastHeartbeat] = {}
    self.is_leaving = False
    self._hubs = hubs.Hubs(me=me)
    self._failed_until: dict[str, float] = {}
    self._added_at: dict[str, float] = {}
    self._last_added_at = -math.inf
    self._silent_since: dict[str, float] = {}
    self._view = views.View(at=-math.inf)
    self._last_digest_at = -math.inf
    self._relayed_at = -math.inf
    # In a large fleet: the hubs of the own domain, and the members to which
    # this daemon sends digests.
    self._chosen_hubs: list[fleet_heartbeats.Member] = []
    self._digest_receivers: list[fleet_heartbeats.Member] = []
    self._heard_at_by_domain: dict[str, float] = {}
    self._returning_domains = returning_domains.ReturningDomains()
    self._started_at = time.monotonic()
    self.datagrams = datagrams.Datagrams(address=me.address)
    self.datagrams.handle(datagrams.HEARTBEAT, self._receive)

  # --- Members --------------------------------------------------------------

  @property
  def is_full_mesh(self) -> bool:
    """Whether each daemon sends heartbeats to all others.

    It is False if many members are known, and while digests arrive: a daemon
    that starts in a large fleet while the store is unavailable knows few
    members, and the digests show it that the fleet is large.
    """
    if len(self.member_by_name) > FULL_MESH_MAX_MEMBERS:
      return False
    return time.monotonic() - self._last_digest_at >= hubs.DIGEST_TTL_SECONDS

  def is_alive(self, name: str) -> bool:
    """Returns whether a member is presumed alive.

    That is so if no message to it failed within FAILURE_TTL_SECONDS, and it was
    heard within the suspect timeout or is new.  In a large fleet, a member that
    was not heard is also presumed alive if its domain is heard and the digests
    do not report it silent.  This daemon itself always counts as alive.
    """
    if name == self.me.name:
      return True
    now = time.monotonic()
    if self._failed_until.get(name, 0.0) > now:
      return False
    return self._is_presumed_alive(name, now)

  def _is_presumed_alive(self, name: str, now: float) -> bool:
    """Returns whether a member is presumed alive, ignoring failed messages.

    A name for which no time of addition is known counts as new.
    """
    heard = self.last_heartbeat_by_name.get(name)
    if heard is not None and now - heard.at < SUSPECT_TIMEOUT_SECONDS:
      return True
    is_new = (
      now - self._added_at.get(name, now) < FIRST_HEARTBEAT_TIMEOUT_SECONDS
    )
    if self.is_full_mesh:
      return heard is None and is_new
    member = self.member_by_name.get(name)
    if member is None:
      return False
    return is_new or self._is_reported_alive(member, now)

  def _is_reported_alive(
    self, member: fleet_heartbeats.Member, now: float
  ) -> bool:
    view = self._get_view()
    if member.name in view.silent or self.is_domain_silent(member.domain):
      return False
    # While the hubs of its own domain are lost, a daemon hears nothing of that
    # domain.  It presumes the domain's members alive until it considers itself
    # cut off.
    heard_at = self._heard_at_by_domain.get(self.me.domain, -math.inf)
    return (
      member.domain != self.me.domain
      or now - heard_at < OWN_DOMAIN_TIMEOUT_SECONDS
    )

  def is_domain_silent(self, domain: str) -> bool:
    """Returns whether nothing is heard of another domain.

    The result is False for the own domain, for a domain without known members,
    and while all members of the domain are so new that their first heartbeats
    may not have arrived yet.
    """
    if domain == self.me.domain:
      return False
    view = self._get_view()
    known = view.is_silent_by_domain.get(domain)
    if known is None:
      known = view.is_silent_by_domain[domain] = self._compute_is_silent(domain)
    return known

  def _compute_is_silent(self, domain: str) -> bool:
    now = time.monotonic()
    heard_at = self._heard_at_by_domain.get(domain, -math.inf)
    if now - heard_at < self._get_silence_timeout():
      return False
    known = [
      now - self._added_at.get(name, now)
      for name in self._members.get_all_of(domain)
    ]
    return bool(known) and max(known) >= FIRST_HEARTBEAT_TIMEOUT_SECONDS

  def _get_silence_timeout(self) -> float:
    return (
      SUSPECT_TIMEOUT_SECONDS if self.is_full_mesh else hubs.DIGEST_TTL_SECONDS
    )

  def _get_view(self) -> views.View:
    now = time.monotonic()
    if now - self._view.at >= VIEW_TTL_SECONDS:
      self._view = views.merge(
        domain=self.me.domain,
        at=now,
        heard=self.last_heartbeat_by_name.values(),
        digests=() if self.is_full_mesh else self._hubs.find_fresh(),
        max_age=SUSPECT_TIMEOUT_SECONDS,
        is_hub=self._hubs.is_hub,
      )
    return self._view

  @property
  def domains(self) -> set[str]:
    """The failure domains that have at least one member."""
    return self._members.domains

  @property
  def is_isolated(self) -> bool:
    """Whether no other member is alive, though others of the domain are known.

    A daemon that hears other domains is not cut off: in that case the other
    members of its own domain are dead.
    """
    others = [n for n in self.member_by_name if n != self.me.name]
    domains = [self.member_by_name[name].domain for name in others]
    is_alone = not any(self.is_alive(name) for name in others)
    return self.me.domain in domains and is_alone

  @property
  def is_cut_off(self) -> bool:
    """Whether nothing is heard of any other domain, though some are known.

    A daemon that starts while its domain is cut off knows the others only from
    reports of its peers that they are silent.
    """
    reported = self._get_view().reported_silent
    others = (self.domains | reported) - {self.me.domain}
    return bool(others) and all(
      domain in reported or self.is_domain_silent(domain) for domain in others
    )

  def find_silent_domains(self) -> list[str]:
    """Returns the other domains of which nothing is heard, sorted."""
    others = sorted(self.domains - {self.me.domain})
    return [domain for domain in others if self.is_domain_silent(domain)]

  def find_unsettled_domains(self) -> set[str]:
    """Returns the other domains with spending that the store may not have.

    These are the domains that are silent, that were silent until recently, that
    do not hear this domain, or that have not yet written all their spending to
    the store.  A daemon that has just started adds the domains that its peers
    report as silent.
    """
    view = self._get_view()
    reported = view.owing | view.deaf
    if time.monotonic() - self._started_at < FIRST_HEARTBEAT_TIMEOUT_SECONDS:
      # A daemon that has just started cannot detect silent domains itself yet.
      # Without the reports of its peers, a daemon that restarted during a
      # network partition would spend the whole budget itself.
      reported |= view.reported_silent
    returning = self._returning_domains.find_pending(self._get_reported_at)
    return (set(self.find_silent_domains()) | reported | returning) - {
      self.me.domain
    }

  def _get_reported_at(self, domain: str, since: float) -> float:
    """Returns a time since which each live member of a domain has reported.

    The result is -inf if there is no such time yet.  `since` is the time at
    which the domain was heard again.  In a small fleet, once the suspect
    timeout has passed since then, members that were not heard within the
    suspect timeout are ignored as dead: the standby of such a member holds its
    decisions and reports them.
    """
    if not self.is_full_mesh:
      return self._hubs.get_reported_at(domain)
    now = time.monotonic()
    heard_at = (
      self.last_heartbeat_by_name[name].at
      if name in self.last_heartbeat_by_name
      else -math.inf
      for name in self._members.get_all_of(domain)
    )
    is_late = now - since >= SUSPECT_TIMEOUT_SECONDS
    awaited = (
      at for at in heard_at if not is_late or now - at < SUSPECT_TIMEOUT_SECONDS
    )
    return min(awaited, default=-math.inf)

  @property
  def is_store_current(self) -> bool:
    """Whether no member may hold data that the store lacks.

    This requires that each domain is heard and reports that it holds no such
    data.  A single silent member is ignored: its standby holds what this member
    decided without the store, and reports it.  If single members counted, the
    start of each program during a rolling restart would need queries to the
    store and to two other daemons.
    """
    return (
      not self._get_view().behind
      and not self.find_unsettled_domains()
      and not self._has_unreported_member()
    )

  def _has_unreported_member(self) -> bool:
    """Returns whether a recently added member has not reported its state yet.

    Without this check, a daemon that joined after an outage of the store, and
    had heard no other member, relied on the store alone and missed spending
    that its standby had granted.
    """
    now = time.monotonic()
    if now - self._last_added_at >= FIRST_HEARTBEAT_TIMEOUT_SECONDS:
      return False
    return any(
      now - since < FIRST_HEARTBEAT_TIMEOUT_SECONDS
      and name in self.member_by_name
      and not self._has_report_of(name)
      for name, since in self._added_at.items()
    )

  def get_domain_silence_seconds(self) -> float:
    """Returns how long ago a silent domain was last heard, in seconds.

    The result is the longest time if several domains are silent.  It is 0 if no
    domain is silent, or none of the silent domains was ever heard.
    """
    now = time.monotonic()
    heard_at = self._heard_at_by_domain
    lasting = (
      now - heard_at[d] for d in self.find_silent_domains() if d in heard_at
    )
    return max(lasting, default=0.0)

  def get_isolation_seconds(self) -> float:
    """Returns how long ago any other member was heard, in seconds.

    The result is 0 if none was ever heard.
    """
    heard_at = max(self._heard_at_by_domain.values(), default=None)
    return 0.0 if heard_at is None else time.monotonic() - heard_at

  def get_silent_seconds(self) -> dict[str, float]:
    """Returns for how long each member has counted as silent, by name.

    The time is in seconds since a check first found the member silent, which is
    later than its last heartbeat.  Members that are not silent are left out.
    """
    now = time.monotonic()
    return {name: now - since for name, since in self._silent_since.items()}

  def get_unheard_seconds(self) -> float:
    """Returns for how long the member that was heard last was not heard.

    That is 0 without other members.  In a large fleet, which members are silent
    is told by hubs, so that it is the time since one of the own domain's was
    heard, or infinite while a domain is silent.
    """
    now = time.monotonic()
    others = [name for name in self.member_by_name if name != self.me.name]
    if self.is_full_mesh:
      heard = self.last_heartbeat_by_name
      return max(
        (
          now - (heard[n].at if n in heard else self._added_at.get(n, now))
          for n in others
        ),
        default=0.0,
      )
    if self.find_silent_domains():
      return math.inf
    if len(self._members.get_all_of(self.me.domain)) <= 1:
      return 0.0
    return now - self._heard_at_by_domain.get(self.me.domain, -math.inf)

  def record_failure(self, name: str) -> None:
    """Records a failed message to a member.

    The member counts as failed for FAILURE_TTL_SECONDS.
    """
    self._failed_until[name] = time.monotonic() + FAILURE_TTL_SECONDS
    self._invalidate_view()

  def rank(self, key: str, domain: str) -> list[fleet_heartbeats.Member]:
    """Returns a domain's members alive and not leaving, ranked for a key.

    The ranking is by rendezvous hashing, the highest weight first.
    """
    return self._members.rank(key, domain, self._find_eligible(domain))

  def _find_eligible(self, domain: str) -> list[fleet_heartbeats.Member]:
    """Returns a domain's members that are alive and not leaving."""
    view = self._get_view()
    known = view.eligible_by_domain.get(domain)
    if known is None:
      known = [
        member
        for member in self._members.get_all_of(domain).values()
        if self.is_alive(member.name) and not self._is_leaving(member.name)
      ]
      view.eligible_by_domain[domain] = known
    return known

  def find_active_names(self) -> list[str]:
    """Returns the names of all members alive and not leaving, sorted."""
    return sorted(
      member.name
      for domain in self.domains
      for member in self._find_eligible(domain)
    )

  def is_first_ranked(self, key: str) -> bool:
    """Returns whether this daemon ranks first for a key in the whole fleet."""
    return bool(self.find_first_ranked_keys([key]))

  def find_first_ranked_keys(self, keys: Iterable[str]) -> list[str]:
    """Returns the keys for which this daemon ranks first in the whole fleet.

    A key is assigned to a domain first and then to a member of that domain, so
    that not every key is hashed with each of hundreds of members.  Unlike in
    `rank`, members that are leaving take part.
    """
    alive_by_domain = {
      domain: [
        name for name in self._members.get_all_of(domain) if self.is_alive(name)
      ]
      for domain in self.domains
    }
    domains = [domain for domain, names in alive_by_domain.items() if names]
    mine = self.me.domain
    keys_of_own_domain = (
      key for key in keys if _find_first_ranked(key, domains) == mine
    )
    names = alive_by_domain[mine]
    return [
      key
      for key in keys_of_own_domain
      if _find_first_ranked(key, names) == self.me.name
    ]

  @property
  def is_hub(self) -> bool:
    """Whether this daemon is a hub and makes digests of its domain."""
    return self._hubs.is_hub

  def may_reach_store(self, name: str) -> bool:
    """Returns whether a peer may have access to the store.

    The result is False only if the peer's heartbeats or all digests of its
    domain report that it has none.
    """
    return name not in self._get_view().storeless

  def has_peer_with_store(self) -> bool:
    """Returns whether any live peer has access to the store."""
    return any(self._has_store_access(name) for name in self.member_by_name)

  def _has_store_access(self, name: str) -> bool:
    return (
      self._has_report_of(name)
      and self.may_reach_store(name)
      and self.is_alive(name)
    )

  def count_store_reports(self) -> tuple[int, int]:
    """Returns how many members suspect the store, and how many it answers.

    The heartbeats of the others tell this; in a large fleet, the digests count
    this daemon as well.
    """
    view = self._get_view()
    return view.suspecting, view.served

  def find_peers_with_store(self) -> list[fleet_heartbeats.Member]:
    """Returns live peers with access to the store, the own domain's first.

    The order differs between daemons, so that daemons that lose access at the
    same time do not all ask the same peers.
    """
    found = [
      member
      for name, member in self.member_by_name.items()
      if self._has_store_access(name)
    ]
    return sorted(
      found,
      key=lambda m: (
        m.domain != self.me.domain,
        hubs.get_rendezvous_weight(m.name, self.me.name),
      ),
    )

  def _has_report_of(self, name: str) -> bool:
    """Returns whether a known member's state was ever received.

    The state comes from the member itself or, in a large fleet, from a digest
    of its domain.  The result is False for this daemon.
    """
    if name == self.me.name:
      return False
    if name in self.last_heartbeat_by_name:
      return True
    domain = self.member_by_name[name].domain
    return not self.is_full_mesh and domain in self._heard_at_by_domain

  def _is_leaving(self, name: str) -> bool:
    if name == self.me.name:
      return self.is_leaving
    return name in self._get_view().leaving

  def add(self, member: fleet_heartbeats.Member) -> None:
    """Adds a member, or updates its address or domain.

    A member with a new address or domain counts as new: its last heartbeat is
    discarded.
    """
    if self._members.add(member):
      log.info('Added member %s at %s.', member.name, member.address)
      self.last_heartbeat_by_name.pop(member.name, None)
      self._added_at[member.name] = time.monotonic()
      self._last_added_at = self._added_at[member.name]
      self._invalidate_view()

  def remove_member(self, name: str) -> None:
    """Removes a member that is no longer registered, except this daemon."""
    if name == self.me.name:
      return
    self._members.forget(name)
    self.last_heartbeat_by_name.pop(name, None)
    self._invalidate_view()
    log.info('Removed member %s.', name)

  # --- Datagrams ------------------------------------------------------------

  async def on_start(self) -> None:
    """Starts to listen for datagrams."""
    await self.datagrams.open()

  async def on_stop(self) -> None:
    """Stops listening for datagrams."""
    self.datagrams.close()

  @mode.Service.task
  async def _send_heartbeats(self) -> None:
    for number in itertools.count():
      if self.should_stop:
        return
      self.send_heartbeats()
      if number % HEARTBEATS_PER_SILENCE_CHECK == 0:
        self._update_silence()
      await ticks.sleep(HEARTBEAT_INTERVAL_SECONDS)

  def send_heartbeats(self) -> None:
    """Sends the heartbeats that are due to their receivers."""
    for heartbeat, targets in self.plan_heartbeats():
      data = msgspec.json.encode(heartbeat)
      for member in targets:
        self.datagrams.send(member.address, datagrams.HEARTBEAT, data)

  def plan_heartbeats(
    self,
  ) -> list[
    tuple[fleet_heartbeats.FleetHeartbeat, list[fleet_heartbeats.Member]]
  ]:
    """Returns the heartbeats that are due, each with its receivers.

    In a small fleet one heartbeat goes to all others.  In a large fleet one
    goes to the hubs of the own domain, one with the newest digests to the
    members that receive digests from this daemon, and, if this daemon is a hub,
    one with the digest of its domain to the hubs of other domains.  The last
    two leave out this daemon's own counts of requests and failures, since the
    digests of hubs include them.  A hub calls `on_digest` with the digest that
    it makes.
    """
    mine = self._make_beat()
    if self.is_full_mesh:
      return [(mine, [m for m in self.member_by_name.values() if m != self.me])]
    chosen = self._hubs.choose_hubs(
      self._members.get_all_of(self.me.domain).values(),
      self.last_heartbeat_by_name,
      silent=self._get_view().silent,
    )
    own = self._hubs.make_digest(
      mine,
      self._find_expected(),
      self.last_heartbeat_by_name,
      is_hub=self.me in chosen,
    )
    if own is not None:
      self._on_digest(own)
    to_hubs = msgspec.structs.replace(
      mine, wants_digests=True, digests=_as_tuple(own)
    )
    plan = [(to_hubs, [member for member in chosen if member != self.me])]
    listeners = self._find_digest_receivers(chosen)
    self._chosen_hubs, self._digest_receivers = chosen, listeners
    if listeners:
      plan.append((self._hubs.make_answer(mine), listeners))
    if own is not None:
      to_remote = msgspec.structs.replace(
        mine,
        running={},
        failing={},
        demand={},
        turn_times={},
        digests=(own,),
      )
      plan.append((to_remote, self._find_remote_hubs()))
    return plan

  @property
  def is_relaying(self) -> bool:
    """Whether other members get news of their domain through this daemon."""
    return not self.is_full_mesh and self._hubs.is_hub

  def find_news_receivers(self) -> list[fleet_heartbeats.Member]:
    """Returns the members to which this daemon sends news that cannot wait.

    In a small fleet these are all others.  In a large one they are the hubs of
    the own domain, and for a hub also the members of its domain and the hubs of
    other domains.  The hubs pass the news on.
    """
    if self.is_full_mesh:
      return [m for m in self.member_by_name.values() if m != self.me]
    found = {member.name: member for member in self._chosen_hubs}
    if self._hubs.is_hub:
      found |= {member.name: member for member in self._digest_receivers}
      found |= {member.name: member for member in self._find_remote_hubs()}
    found.pop(self.me.name, None)
    return list(found.values())

  def find_report_receivers(
    self,
  ) -> tuple[list[fleet_heartbeats.Member], list[fleet_heartbeats.Member]]:
    """Returns the members that reports are sent to, and those that relay them.

    The first are all members in a small fleet, and those of the own domain in a
    large one, since its hubs may be gone.  The others are the hubs of other
    domains, which pass reports on to the members of theirs.
    """
    if self.is_full_mesh:
      return [m for m in self.member_by_name.values() if m != self.me], []
    own = self._members.get_all_of(self.me.domain).values()
    return [m for m in own if m != self.me], self._find_remote_hubs()

  def get_started_at(self, name: str) -> float:
    """Returns when a member's process started, by its clock; 0 if unknown."""
    heard = self.last_heartbeat_by_name.get(name)
    return heard.heartbeat.started_at if heard else 0.0

  def _find_expected(self) -> list[fleet_heartbeats.Member]:
    """Returns the own domain's members that must have sent a heartbeat by now.

    Members that were added only a moment ago are left out.
    """
    now = time.monotonic()
    return [
      member
      for member in self._members.get_all_of(self.me.domain).values()
      if now - self._added_at.get(member.name, -math.inf)
      >= FIRST_HEARTBEAT_TIMEOUT_SECONDS
    ]

  def _find_digest_receivers(
    self, chosen: list[fleet_heartbeats.Member]
  ) -> list[fleet_heartbeats.Member]:
    """Returns the members to which this daemon sends digests.

    These are the members that request them, without the hubs in `chosen`.  A
    hub adds some silent members of its domain, which may have restarted while
    the store is unavailable and know no hub.
    """
    requesters = hubs.find_requesters(
      self.last_heartbeat_by_name, time.monotonic()
    )
    found = [
      self.member_by_name[name]
      for name in requesters
      if self.member_by_name[name] not in chosen
    ]
    if self.me not in chosen:
      return found
    silent = [
      self.member_by_name[name]
      for name in self._silent_since
      if name in self.member_by_name
      and self.member_by_name[name].domain == self.me.domain
      and name not in requesters
    ]
    return [*found, *self._hubs.choose_silent(silent)]

  def _find_remote_hubs(self) -> list[fleet_heartbeats.Member]:
    found = []
    for domain in sorted(self.domains - {self.me.domain}):
      is_silent = self.is_domain_silent(domain)
      members = [
        member
        for member in self._members.get_all_of(domain).values()
        if is_silent or self.is_alive(member.name)
      ]
      found.extend(self._hubs.choose_remote(members, is_silent=is_silent))
    return found

  def _receive(self, data: bytes) -> None:
    heartbeat = decoding.decode_json(data, type=fleet_heartbeats.FleetHeartbeat)
    if heartbeat.name == self.me.name:
      return
    self.add(
      fleet_heartbeats.Member(
        name=heartbeat.name, address=heartbeat.address, domain=heartbeat.domain
      )
    )
    known = self.last_heartbeat_by_name.get(heartbeat.name)
    self.last_heartbeat_by_name[heartbeat.name] = (
      fleet_heartbeats.LastHeartbeat(heartbeat=heartbeat, at=time.monotonic())
    )
    self._record_domain_heard(heartbeat.domain, time.monotonic())
    changes_view = views.heartbeat_changes_view(
      known.heartbeat if known else None, heartbeat
    ) or any(
      views.digest_changes_view(self._hubs.get_digest(digest.hub), digest)
      for digest in heartbeat.digests
    )
    changes_reports = (
      known is not None
      and known.heartbeat.suspects_store != heartbeat.suspects_store
    ) or any(
      (last := self._hubs.get_digest(digest.hub)) is not None
      and last.suspecting != digest.suspecting
      for digest in heartbeat.digests
    )
    if heartbeat.turn_times and heartbeat.domain == self.me.domain:
      self._hubs.add_turn_times(heartbeat.turn_times)
    newer = self._hubs.add_newer(heartbeat.digests)
    for digest in newer:
      self._last_digest_at = time.monotonic()
      self._record_domain_heard(
        digest.domain, self._last_digest_at - digest.age
      )
    before = self._view
    if changes_view:
      self._invalidate_view()
    if changes_reports and self._hubs.is_hub:
      self._relay_store_reports(before)
    self._on_beat(heartbeat)
    for digest in newer:
      self._on_digest(digest)

  def _relay_store_reports(self, before: views.View) -> None:
    """Sends heartbeats if what most daemons report of the store has changed.

    In regular heartbeats, each of the two hubs on the way to another domain
    delays a report by up to a heartbeat interval.  A change less than
    MIN_RELAY_INTERVAL_SECONDS after the last one waits for these.
    """
    now = time.monotonic()
    view = self._get_view()
    is_changed = (view.suspecting > view.served) != (
      before.suspecting > before.served
    )
    if is_changed and now - self._relayed_at >= MIN_RELAY_INTERVAL_SECONDS:
      self._relayed_at = now
      self.send_heartbeats()

  def _record_domain_heard(self, domain: str, at: float) -> None:
    """Records that a domain was heard, and whether that ends its silence."""
    known = self._heard_at_by_domain.get(domain, at)
    if domain != self.me.domain and at - known >= self._get_silence_timeout():
      self._returning_domains.record(domain, now=time.monotonic())
    self._heard_at_by_domain[domain] = max(known, at)

  def _invalidate_view(self) -> None:
    self._view.at = -math.inf

  def _update_silence(self) -> None:
    now = time.monotonic()
    for name in [n for n in self._silent_since if n not in self.member_by_name]:
      del self._silent_since[name]
    for name in self.member_by_name:
      is_silent = name != self.me.name and not self._is_presumed_alive(
        name, now
      )
      if is_silent and name not in self._silent_since:
        self._silent_since[name] = now
        log.warning('Member %s is silent: no recent heartbeat.', name)
      elif not is_silent and self._silent_since.pop(name, None) is not None:
        log.info('Member %s is no longer silent.', name)


def _find_first_ranked(key: str, names: list[str]) -> str:
  return max(names, key=lambda name: hubs.get_rendezvous_weight(name, key))


def _as_tuple(
  digest: fleet_heartbeats.Digest | None,
) -> tuple[fleet_heartbeats.Digest, ...]:
  return () if digest is None else (digest,)
