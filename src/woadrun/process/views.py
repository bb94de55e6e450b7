"""The state of all members, merged from heartbeats and digests."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import operator

from woadrun.process import fleet_heartbeats

# Time for which a heartbeat shows that the store answers its sender: a little
# more than the interval of heartbeats.
SERVED_TTL_SECONDS = 0.3


@dataclasses.dataclass(kw_only=True)
class View:
  """What a daemon knows of the others at `at`, on the monotonic clock.

  `silent`, `leaving` and `storeless` hold the names of members that are silent,
  about to stop, or without access to the store.  `owing`, `behind` and `deaf`
  hold the names of domains: those with a member that has not yet reported its
  spending to the store, that holds other data which the store lacks, or that
  hears nothing of this daemon's domain.  `reported_silent` holds the domains of
  which a member of this daemon's domain hears nothing.  `suspecting` counts the
  members that suspect the store to be silent, `served` those that it answered a
  moment ago.  `eligible_by_domain`
  caches the members of a domain that are alive and not leaving,
  `is_silent_by_domain` whether another domain is silent: each request needs
  both several times.
  """

  at: float
  silent: set[str] = dataclasses.field(default_factory=set)
  leaving: set[str] = dataclasses.field(default_factory=set)
  storeless: set[str] = dataclasses.field(default_factory=set)
  owing: set[str] = dataclasses.field(default_factory=set)
  behind: set[str] = dataclasses.field(default_factory=set)
  deaf: set[str] = dataclasses.field(default_factory=set)
  reported_silent: set[str] = dataclasses.field(default_factory=set)
  suspecting: int = 0
  served: int = 0
  eligible_by_domain: dict[str, list[fleet_heartbeats.Member]] = (
    dataclasses.field(default_factory=dict)
  )
  is_silent_by_domain: dict[str, bool] = dataclasses.field(default_factory=dict)


def merge(
  *,
  domain: str,
  at: float,
  heard: Iterable[fleet_heartbeats.LastHeartbeat],
  digests: Iterable[fleet_heartbeats.Digest],
  max_age: float,
  is_hub: bool = False,
) -> View:
  """Returns the view of a daemon in `domain`.

  `heard` holds the last heartbeat of each peer.  Heartbeats older than
  `max_age`, in seconds, are ignored.  The hubs of one domain may report
  different states: a member counts as silent, or as without the store, only if
  all hubs of its domain report it.  A hub counts the reports of its own domain
  by the heartbeats, which are newer than its last digest.
  """
  view = View(at=at)
  digests_by_domain: dict[str, list[fleet_heartbeats.Digest]] = {}
  for digest in digests:
    digests_by_domain.setdefault(digest.domain, []).append(digest)
    _add_digest(view, digest, domain)
  for item in heard:
    if at - item.at < max_age:
      _add_heartbeat(view, item.heartbeat, domain)
      is_own = item.heartbeat.domain == domain
      # The digests of a domain count its members already.
      if item.heartbeat.domain not in digests_by_domain or (is_hub and is_own):
        suspecting, served = count_store_reports(item, at=at)
        view.suspecting += suspecting
        view.served += served
  for digest_domain, each in digests_by_domain.items():
    view.silent |= set.intersection(*(set(d.silent) for d in each))
    view.storeless |= set.intersection(*(set(d.storeless) for d in each))
    if is_hub and digest_domain == domain:
      continue
    # The hub that reports more suspicions has the newer heartbeats.
    latest = max(each, key=lambda d: (d.suspecting - d.served, d.hub))
    view.suspecting += latest.suspecting
    view.served += latest.served
  return view


def count_store_reports(
  item: fleet_heartbeats.LastHeartbeat, *, at: float
) -> tuple[int, int]:
  """Returns whether a member suspects the store, and whether it is served.

  Both are 0 or 1.  Answers are reported in each heartbeat, and those in an
  older one say nothing about the store at `at`.
  """
  is_served = item.heartbeat.is_served and at - item.at < SERVED_TTL_SECONDS
  return int(item.heartbeat.suspects_store), int(is_served)


# The fields of heartbeats and digests from which a view is built.
_HEARTBEAT_FIELDS = (
  'has_store',
  'is_leaving',
  'is_owing',
  'is_behind',
  'silent',
  'suspects_store',
)
_DIGEST_FIELDS = (
  'silent',
  'leaving',
  'storeless',
  'deaf_to',
  'is_owing',
  'is_behind',
  'suspecting',
)
_get_heartbeat_fields = operator.attrgetter(*_HEARTBEAT_FIELDS)
_get_digest_fields = operator.attrgetter(*_DIGEST_FIELDS)


def heartbeat_changes_view(
  known: fleet_heartbeats.FleetHeartbeat | None,
  heartbeat: fleet_heartbeats.FleetHeartbeat,
) -> bool:
  """Returns whether a new heartbeat of a peer changes the view."""
  return known is None or _get_heartbeat_fields(known) != _get_heartbeat_fields(
    heartbeat
  )


def digest_changes_view(
  known: fleet_heartbeats.Digest | None, digest: fleet_heartbeats.Digest
) -> bool:
  """Returns whether a new digest of a hub changes the view."""
  return known is None or _get_digest_fields(known) != _get_digest_fields(
    digest
  )


def _add_heartbeat(
  view: View, heartbeat: fleet_heartbeats.FleetHeartbeat, domain: str
) -> None:
  if heartbeat.is_leaving:
    view.leaving.add(heartbeat.name)
  if not heartbeat.has_store:
    view.storeless.add(heartbeat.name)
  _add_domain(view, heartbeat, domain, silent_domains=heartbeat.silent)


def _add_digest(
  view: View, digest: fleet_heartbeats.Digest, domain: str
) -> None:
  view.leaving.update(digest.leaving)
  _add_domain(view, digest, domain, silent_domains=digest.deaf_to)


def _add_domain(
  view: View,
  report: fleet_heartbeats.FleetHeartbeat | fleet_heartbeats.Digest,
  domain: str,
  *,
  silent_domains: tuple[str, ...],
) -> None:
  if report.is_owing:
    view.owing.add(report.domain)
  if report.is_behind:
    view.behind.add(report.domain)
  if domain in silent_domains:
    view.deaf.add(report.domain)
  if report.domain == domain:
    view.reported_silent.update(silent_domains)
