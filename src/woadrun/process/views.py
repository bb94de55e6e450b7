"""What datagrams tell of all members, brought together at one moment."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
import operator

from woadrun.process import beats


@dataclasses.dataclass(kw_only=True)
class View:
  """What a daemon knows of the others at `at`, on the monotonic clock.

  `silent`, `leaving` and `storeless` name members.  `owing`, `behind` and
  `deaf` name domains: with a member that owes the store something, that keeps
  what it lacks, or that hears nothing of this daemon's domain.
  `called_silent` names those of which a member of this daemon's domain hears
  nothing.
  `fit_by_domain` keeps which members of a domain may be asked, and
  `silence_by_domain` which other domains are silent: several looks in each
  request need them.
  """

  at: float
  silent: set[str] = dataclasses.field(default_factory=set)
  leaving: set[str] = dataclasses.field(default_factory=set)
  storeless: set[str] = dataclasses.field(default_factory=set)
  owing: set[str] = dataclasses.field(default_factory=set)
  behind: set[str] = dataclasses.field(default_factory=set)
  deaf: set[str] = dataclasses.field(default_factory=set)
  called_silent: set[str] = dataclasses.field(default_factory=set)
  fit_by_domain: dict[str, list[beats.Member]] = dataclasses.field(
    default_factory=dict
  )
  silence_by_domain: dict[str, bool] = dataclasses.field(default_factory=dict)


def bring_together(
  *,
  domain: str,
  at: float,
  heard: Iterable[beats.Heard],
  digests: Iterable[beats.Digest],
  limit: float,
) -> View:
  """Returns the view of a daemon in `domain`.

  `heard` has the last datagram of each peer; one that is older than `limit`,
  in seconds, tells nothing.  Hubs of one domain may
  differ: a member is silent, or without the store, only if all of them say so.
  """
  view = View(at=at)
  for item in heard:
    if at - item.at < limit:
      _add_beat(view, item.beat, domain)
  told: dict[str, list[beats.Digest]] = {}
  for digest in digests:
    told.setdefault(digest.domain, []).append(digest)
    _add_digest(view, digest, domain)
  for each in told.values():
    view.silent |= set.intersection(*(set(d.silent) for d in each))
    view.storeless |= set.intersection(*(set(d.storeless) for d in each))
  return view


# What a view holds of datagrams and of digests.
_IN_BEAT = ('has_store', 'is_leaving', 'is_owing', 'is_behind', 'silent')
_IN_DIGEST = (
  'silent',
  'leaving',
  'storeless',
  'deaf_to',
  'is_owing',
  'is_behind',
)
_get_of_beat = operator.attrgetter(*_IN_BEAT)
_get_of_digest = operator.attrgetter(*_IN_DIGEST)


def is_news(known: beats.Beat | None, beat: beats.Beat) -> bool:
  """Returns whether a peer's next datagram changes what a view holds."""
  return known is None or _get_of_beat(known) != _get_of_beat(beat)


def is_digest_news(known: beats.Digest | None, digest: beats.Digest) -> bool:
  """Returns whether a hub's next digest changes what a view holds."""
  return known is None or _get_of_digest(known) != _get_of_digest(digest)


def _add_beat(view: View, beat: beats.Beat, domain: str) -> None:
  if beat.is_leaving:
    view.leaving.add(beat.name)
  if not beat.has_store:
    view.storeless.add(beat.name)
  _add_domain(view, beat, domain, unheard=beat.silent)


def _add_digest(view: View, digest: beats.Digest, domain: str) -> None:
  view.leaving.update(digest.leaving)
  _add_domain(view, digest, domain, unheard=digest.deaf_to)


def _add_domain(
  view: View,
  told: beats.Beat | beats.Digest,
  domain: str,
  *,
  unheard: tuple[str, ...],
) -> None:
  if told.is_owing:
    view.owing.add(told.domain)
  if told.is_behind:
    view.behind.add(told.domain)
  if domain in unheard:
    view.deaf.add(told.domain)
  if told.domain == domain:
    view.called_silent.update(unheard)
