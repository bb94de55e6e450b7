"""The state of all members, merged from heartbeats and digests."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import operator

from woadrun.process import fleet_heartbeats


@dataclasses.dataclass(kw_only=True)
class View:
  """What a daemon knows of the others at `at`, on the monotonic clock.

  `silent`, `leaving` and `storeless` hold the names of members that are silent,
  about to stop, or without access to the store.  `owing`, `behind` and `deaf`
  hold the names of domains: those with a member that has not yet reported its
  spending to the store, that holds other data which the store lacks, or that
  hears nothing of this daemon's domain.  `reported_silent` holds the domains of
  which a member of this daemon's domain hears nothing.  `eligible_by_domain`
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
) -> View:
  """Returns the view of a daemon in `domain`.

  `heard` holds the last heartbeat of each peer.  Heartbeats older than
  `max_age`, in seconds, are ignored.  The hubs of one domain may report
  different states: a member counts as silent, or as without the store, only if
  all hubs of its domain report it.
  """
  view = View(at=at)
  for item in heard:
    if at - item.at < max_age:
      _add_heartbeat(view, item.heartbeat, domain)
  digests_by_domain: dict[str, list[fleet_heartbeats.Digest]] = {}
  for digest in digests:
    digests_by_domain.setdefault(digest.domain, []).append(digest)
    _add_digest(view, digest, domain)
  for each in digests_by_domain.values():
    view.silent |= set.intersection(*(set(d.silent) for d in each))
    view.storeless |= set.intersection(*(set(d.storeless) for d in each))
  return view


# The fields of heartbeats and digests from which a view is built.
_HEARTBEAT_FIELDS = (
  'has_store',
  'is_leaving',
  'is_owing',
  'is_behind',
  'silent',
)
_DIGEST_FIELDS = (
  'silent',
  'leaving',
  'storeless',
  'deaf_to',
  'is_owing',
  'is_behind',
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
