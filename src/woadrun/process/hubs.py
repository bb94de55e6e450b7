"""Hubs, which relay the state of members in large fleets as digests.

If all daemons sent heartbeats to all others, the number of datagrams would grow
with the square of the fleet.  In large fleets each daemon sends heartbeats only
to the hubs of its own domain; the hubs answer with digests of all domains.

A failure domain (domain) is a group of VMs that may be cut off from the others
together.  Its hubs are ordinary members, chosen by rank.  A digest summarizes
the heartbeats that a hub received from the members of its domain; its fields
are documented in `fleet_heartbeats.Digest`.  Counts are the requests in
progress and the recent failures at each upstream instance, and the demand for
each service.  A turn is a call of a client's program that generates tokens.

Times are on the monotonic clock of this daemon, except where a digest carries
an age.
"""

from __future__ import annotations

from collections.abc import Container
from collections.abc import Iterable
import functools
import hashlib
import math
import time
from typing import TypeVar

import msgspec

from woadrun.decisions import program_admission
from woadrun.decisions import service_times
from woadrun.process import fleet_heartbeats
from woadrun.process import views

Number = TypeVar('Number', int, float)

# Number of hubs of each domain, so that one hub remains if the other is lost.
HUBS_PER_DOMAIN = 2
# Time without a heartbeat after which a peer is suspected, in seconds.  It
# allows for three lost datagrams in a row, sent every 0.25 s, and a late timer.
SUSPECT_TIMEOUT_SECONDS = 0.9
# Time for which a digest is valid after it was made, in seconds: the suspect
# timeout, and one heartbeat interval of 0.25 s at each of the two hubs that
# relay it.
DIGEST_TTL_SECONDS = 1.4
# Delay before a hub that did not answer may be chosen again, in seconds.
HUB_RETRY_DELAY_SECONDS = 3.0
# Maximum number of cached results of `get_rendezvous_weight`.  Each turn and
# each heartbeat needs the weights of a whole domain several times.
MAX_CACHED_WEIGHTS = 16_384
# Maximum number of silent members of its own domain that a hub sends to in each
# heartbeat interval.  A member that restarted while the store is unavailable
# knows no other member, and learns of them from the hub.
MAX_SILENT_RECEIVERS = 4
# Maximum number of classes of programs that the demand for a service lists by
# the name of their team, so that it takes at most about 500 bytes.
MAX_NAMED_CLASSES = 24
MAX_CACHED_CLASSES = 4096


class Hubs:
  """The hubs of all domains and their digests, as known to one daemon."""

  def __init__(self, *, me: fleet_heartbeats.Member) -> None:
    self._me = me
    # The newest digest of each hub, and the time at which it was made.
    self._digest_by_hub: dict[str, tuple[fleet_heartbeats.Digest, float]] = {}
    self._chosen_since: dict[str, float] = {}
    self._skipped_until: dict[str, float] = {}
    self._hub_since: float | None = None
    # The times of the turns in heartbeats of the own domain.
    self._turn_times = service_times.SumsByInstance()
    # Counts the choices that rotate through members.
    self._rotation = 0

  @property
  def is_hub(self) -> bool:
    """Whether this daemon was a hub when it last sent heartbeats."""
    return self._hub_since is not None

  # --- Choosing hubs --------------------------------------------------------

  def choose_hubs(
    self,
    members: Iterable[fleet_heartbeats.Member],
    last_heartbeat_by_name: dict[str, fleet_heartbeats.LastHeartbeat],
    *,
    silent: Container[str],
  ) -> list[fleet_heartbeats.Member]:
    """Returns the hubs among the members of the own domain.

    These are the first HUBS_PER_DOMAIN members by rank that may answer.
    `silent` has the members that the digests report as silent.  This daemon
    itself is never skipped.
    """
    now = time.monotonic()
    ranked = sorted(
      members, key=lambda m: get_rendezvous_weight(m.name, 'hub'), reverse=True
    )
    found: list[fleet_heartbeats.Member] = []
    for member in ranked:
      if len(found) == HUBS_PER_DOMAIN:
        break
      if member == self._me or self._may_answer(
        member, last_heartbeat_by_name, silent, now
      ):
        found.append(member)
    names = {member.name for member in found}
    self._chosen_since = {
      name: self._chosen_since.get(name, now) for name in sorted(names)
    }
    return found

  def _may_answer(
    self,
    member: fleet_heartbeats.Member,
    last_heartbeat_by_name: dict[str, fleet_heartbeats.LastHeartbeat],
    silent: Container[str],
    now: float,
  ) -> bool:
    """Returns whether a member may be a hub.

    A member heard within the suspect timeout may, unless it is leaving.  Any
    other member may not if it is in `silent`, or if it did not answer within
    the suspect timeout after it was chosen; it is then skipped for
    HUB_RETRY_DELAY_SECONDS.
    """
    heard = last_heartbeat_by_name.get(member.name)
    if heard is not None and now - heard.at < SUSPECT_TIMEOUT_SECONDS:
      return not heard.heartbeat.is_leaving
    if member.name in silent:
      return False
    if self._skipped_until.get(member.name, 0.0) > now:
      return False
    if now - self._chosen_since.get(member.name, now) < SUSPECT_TIMEOUT_SECONDS:
      return True
    self._skipped_until[member.name] = now + HUB_RETRY_DELAY_SECONDS
    return False

  def choose_remote(
    self, members: Iterable[fleet_heartbeats.Member], *, is_silent: bool
  ) -> list[fleet_heartbeats.Member]:
    """Returns the members of another domain to send digests to.

    `members` has the live members of the domain, or all of them if the domain
    is silent.  The result has the hubs of the domain.  If the domain is silent
    its hubs may be lost, so the result rotates through the members; it then
    names a member twice if there is only one.
    """
    ranked = sorted(
      members, key=lambda m: get_rendezvous_weight(m.name, 'hub'), reverse=True
    )
    if not is_silent or not ranked:
      return ranked[:HUBS_PER_DOMAIN]
    self._rotation += 1
    return [
      ranked[(self._rotation + n) % len(ranked)] for n in range(HUBS_PER_DOMAIN)
    ]

  def choose_silent(
    self, silent: list[fleet_heartbeats.Member]
  ) -> list[fleet_heartbeats.Member]:
    """Returns the silent members to send to in this heartbeat interval.

    If there are more than MAX_SILENT_RECEIVERS, the result rotates through
    them.
    """
    if len(silent) <= MAX_SILENT_RECEIVERS:
      return silent
    self._rotation += 1
    first = self._rotation * MAX_SILENT_RECEIVERS % len(silent)
    return (silent * 2)[first : first + MAX_SILENT_RECEIVERS]

  # --- Digests --------------------------------------------------------------

  def make_digest(
    self,
    mine: fleet_heartbeats.FleetHeartbeat,
    members: Iterable[fleet_heartbeats.Member],
    last_heartbeat_by_name: dict[str, fleet_heartbeats.LastHeartbeat],
    *,
    is_hub: bool,
  ) -> fleet_heartbeats.Digest | None:
    """Returns the digest of the own domain, or None if this is no hub.

    `mine` is the heartbeat of this daemon, `members` the members expected to
    have sent heartbeats; others may have sent some as well. This daemon is a
    hub if it chose itself, as `is_hub` says, and other members request digests
    from it. A daemon that only itself considers a hub receives no heartbeats
    and must not conclude from this that the others are silent.
    """
    now = time.monotonic()
    if not is_hub or not find_requesters(last_heartbeat_by_name, now):
      self._hub_since = None
      self._digest_by_hub.pop(self._me.name, None)
      return None
    if self._hub_since is None:
      self._hub_since = now
    self.add_turn_times(mine.turn_times)
    known = list(members)
    heard = {
      m.name: found
      for m in known
      if (found := last_heartbeat_by_name.get(m.name)) is not None
      and now - found.at < SUSPECT_TIMEOUT_SECONDS
    }
    reports = [
      (int(mine.suspects_store), int(mine.is_served)),
      *(views.count_store_reports(found, at=now) for found in heard.values()),
    ]
    sources = [mine, *(found.heartbeat for found in heard.values())]
    # Requests and demand are those of all members heard, not only of `members`:
    # in a fleet that starts anew, sums without the members that were added a
    # moment ago had one of 15 programs under way.
    counted = [
      mine,
      *(
        found.heartbeat
        for found in last_heartbeat_by_name.values()
        if found.heartbeat.domain == self._me.domain
        and now - found.at < SUSPECT_TIMEOUT_SECONDS
      ),
    ]
    # A new hub may not have received the heartbeats of all live members yet, so
    # that it calls none silent.
    is_settled = now - self._hub_since >= SUSPECT_TIMEOUT_SECONDS
    silent = [
      m.name
      for m in known
      if m != self._me and m.name not in heard and is_settled
    ]
    oldest = max((now - found.at for found in heard.values()), default=0.0)
    is_complete = is_settled or len(heard) == len(known) - 1
    digest = fleet_heartbeats.Digest(
      hub=self._me.name,
      domain=self._me.domain,
      oldest=round(oldest, 3) if is_complete else None,
      silent=tuple(sorted(silent)),
      leaving=tuple(
        heartbeat.name for heartbeat in sources if heartbeat.is_leaving
      ),
      storeless=tuple(
        heartbeat.name for heartbeat in sources if not heartbeat.has_store
      ),
      deaf_to=tuple(
        sorted({domain for heartbeat in sources for domain in heartbeat.silent})
      ),
      is_owing=any(heartbeat.is_owing for heartbeat in sources),
      is_behind=any(heartbeat.is_behind for heartbeat in sources),
      running=_sum_counts(heartbeat.running for heartbeat in counted),
      failing=_sum_counts(heartbeat.failing for heartbeat in sources),
      demand=sum_demand(heartbeat.demand for heartbeat in counted),
      turn_times=self._turn_times.find_differing(now=now) or None,
      confirmed=max(
        (heartbeat.confirmed for heartbeat in sources if heartbeat.confirmed),
        default=None,
      ),
      suspecting=sum(suspecting for suspecting, _ in reports),
      served=sum(served for _, served in reports),
    )
    self._digest_by_hub[self._me.name] = (digest, now)
    return digest

  def add_turn_times(self, sums_by_id: dict[str, service_times.Sums]) -> None:
    """Adds the times of turns in a heartbeat of the own domain."""
    self._turn_times.add(sums_by_id, now=time.monotonic())

  def add_newer(
    self, digests: Iterable[fleet_heartbeats.Digest]
  ) -> list[fleet_heartbeats.Digest]:
    """Stores the digests newer than the known ones of their hubs.

    Returns the digests that were stored.
    """
    now = time.monotonic()
    newer = []
    for digest in digests:
      made_at = now - digest.age
      known = self._digest_by_hub.get(digest.hub)
      if digest.hub == self._me.name or (known and known[1] >= made_at):
        continue
      self._digest_by_hub[digest.hub] = (digest, made_at)
      newer.append(digest)
    return newer

  def get_digest(self, hub: str) -> fleet_heartbeats.Digest | None:
    """Returns the newest digest of a hub, or None if there is no valid one."""
    known = self._digest_by_hub.get(hub)
    if known is None or time.monotonic() - known[1] >= DIGEST_TTL_SECONDS:
      return None
    return known[0]

  def find_fresh(self) -> list[fleet_heartbeats.Digest]:
    """Returns all valid digests, at most one of each hub."""
    self._drop_expired()
    return [digest for digest, _ in self._digest_by_hub.values()]

  def get_reported_at(self, domain: str) -> float:
    """Returns a time since which each live member of a domain has reported.

    The result is -inf if no digest of the domain includes all its live members.
    """
    reported_at = (
      made_at - digest.oldest
      for digest, made_at in self._digest_by_hub.values()
      if digest.domain == domain and digest.oldest is not None
    )
    return max(reported_at, default=-math.inf)

  def _drop_expired(self) -> None:
    now = time.monotonic()
    self._digest_by_hub = {
      hub: (digest, made_at)
      for hub, (digest, made_at) in self._digest_by_hub.items()
      if now - made_at < DIGEST_TTL_SECONDS
    }

  def make_answer(
    self, mine: fleet_heartbeats.FleetHeartbeat
  ) -> fleet_heartbeats.FleetHeartbeat:
    """Returns the heartbeat with which a hub answers a request for digests.

    It holds the newest digest of each domain.  Only the highest-ranked hub of
    the own domain includes counts: those of the own domain in its digest, and
    the requests in progress in all other domains as a sum.  Counts are the
    largest part of what a member receives, so that only one hub sends them.
    """
    newest = self._find_newest()
    sends_counts = self._sends_counts()
    remote = [d for d, _ in newest.values() if d.domain != self._me.domain]
    return msgspec.structs.replace(
      mine,
      running={},
      failing={},
      demand={},
      turn_times={},
      elsewhere_turn_times=service_times.select_differing(
        service_times.add_up(d.turn_times or {} for d in remote)
      )
      if sends_counts
      else {},
      digests=tuple(
        self._make_relayed(digest, made_at, sends_counts=sends_counts)
        for digest, made_at in newest.values()
      ),
      elsewhere=_sum_counts(d.running or {} for d in remote)
      if sends_counts
      else None,
      elsewhere_demand=sum_demand(d.demand for d in remote)
      if sends_counts
      else {},
    )

  def _make_relayed(
    self, digest: fleet_heartbeats.Digest, made_at: float, *, sends_counts: bool
  ) -> fleet_heartbeats.Digest:
    """Returns a digest to send to a member, with its age set.

    Counts are removed unless this hub sends them and the digest is of the own
    domain.
    """
    relayed = msgspec.structs.replace(
      digest, age=round(time.monotonic() - made_at, 3)
    )
    if not sends_counts or digest.domain != self._me.domain:
      relayed.running = relayed.failing = relayed.turn_times = None
      relayed.demand = {}
    return relayed

  def _sends_counts(self) -> bool:
    """Returns whether this daemon is the one hub that sends counts.

    That is so unless a digest made within the suspect timeout comes from a hub
    of the own domain that ranks higher.
    """
    now = time.monotonic()
    return not any(
      digest.domain == self._me.domain
      and now - made_at < SUSPECT_TIMEOUT_SECONDS
      and get_rendezvous_weight(hub, 'hub')
      > get_rendezvous_weight(self._me.name, 'hub')
      for hub, (digest, made_at) in self._digest_by_hub.items()
    )

  def _find_newest(self) -> dict[str, tuple[fleet_heartbeats.Digest, float]]:
    """Returns the newest valid digest of each domain, and when it was made."""
    newest: dict[str, tuple[fleet_heartbeats.Digest, float]] = {}
    self._drop_expired()
    for digest, made_at in self._digest_by_hub.values():
      known = newest.get(digest.domain)
      if known is None or known[1] < made_at:
        newest[digest.domain] = (digest, made_at)
    return newest


def find_requesters(
  last_heartbeat_by_name: dict[str, fleet_heartbeats.LastHeartbeat], now: float
) -> list[str]:
  """Returns the names of the peers whose last heartbeat requests digests.

  Heartbeats older than the suspect timeout are ignored.
  """
  return [
    name
    for name, heard in last_heartbeat_by_name.items()
    if heard.heartbeat.wants_digests
    and now - heard.at < SUSPECT_TIMEOUT_SECONDS
  ]


@functools.lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def get_rendezvous_weight(name: str, key: str) -> bytes:
  """Returns the weight of a member for a key, for rendezvous hashing.

  The member with the greatest weight ranks first.  `name` may also be the name
  of a domain.
  """
  return hashlib.blake2b(f'{name} {key}'.encode(), digest_size=8).digest()


def _sum_counts(counts: Iterable[dict[str, Number]]) -> dict[str, Number]:
  """Returns the sums of counts by instance."""
  total: dict[str, Number] = {}
  for each in counts:
    for id, number in each.items():
      total[id] = total[id] + number if id in total else number
  return total


def sum_demand(
  demands: Iterable[dict[str, fleet_heartbeats.ServiceDemand]],
) -> dict[str, fleet_heartbeats.ServiceDemand]:
  """Returns the sums of the demand by service.

  The heaviest teams are named in the sums; all others count as one.
  """
  found: dict[str, list[fleet_heartbeats.ServiceDemand]] = {}
  for each in demands:
    for service, demand in each.items():
      found.setdefault(service, []).append(demand)
  return {
    service: fleet_heartbeats.ServiceDemand(
      programs=sum(demand.programs for demand in parts),
      waiting=sum(demand.waiting for demand in parts),
      ended=round(sum(demand.ended for demand in parts), 2),
      ended_seconds=round(sum(demand.ended_seconds for demand in parts), 2),
      ratio_sum=round(sum(demand.ratio_sum for demand in parts), 2),
      timed=round(sum(demand.timed for demand in parts), 2),
      asked=name_heaviest(_sum_counts(demand.asked for demand in parts)),
    )
    for service, parts in found.items()
  }


def name_heaviest(asked: dict[str, float]) -> dict[str, float]:
  """Returns programs per second by class, naming the heaviest teams only.

  All others count as one.  The classes are encoded as in
  `fleet_heartbeats.ServiceDemand`.
  """
  named_classes = set(asked)
  if len(asked) > MAX_NAMED_CLASSES:
    ranked = sorted(asked, key=asked.__getitem__, reverse=True)
    named_classes = set(ranked[:MAX_NAMED_CLASSES])
  by_team: dict[str, float] = {}
  for text, per_second in asked.items():
    team = text.split('.', 2)[2]
    by_team[team] = by_team.get(team, 0.0) + per_second
  heaviest = sorted(by_team, key=by_team.__getitem__, reverse=True)
  named_teams = set(heaviest[: program_admission.MAX_NAMED_TEAMS])
  total: dict[str, float] = {}
  for text, per_second in asked.items():
    priority, order, team = text.split('.', 2)
    if text not in named_classes or team not in named_teams:
      text = f'{priority}.{order}.{program_admission.OTHER_TEAMS}'
    total[text] = total.get(text, 0.0) + per_second
  return {text: round(per_second, 2) for text, per_second in total.items()}


def encode_class(key: program_admission.ClassKey) -> str:
  """Returns a class of programs as encoded in heartbeats."""
  return f'{key.priority}.{key.order}.{key.team}'


@functools.lru_cache(maxsize=MAX_CACHED_CLASSES)
def decode_class(text: str) -> program_admission.ClassKey:
  """Returns the class that `encode_class` encoded."""
  priority, order, team = text.split('.', 2)
  return program_admission.ClassKey(int(priority), int(order), team)
