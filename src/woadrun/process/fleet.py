"""The daemons of all failure domains: who they are and who is heard.

Daemons send each other short datagrams.  In small fleets each sends to all
others, and silence of one that was heard before makes it suspect.  In large
fleets members send to the hubs of their domain, and digests tell of the
others.
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

from woadrun.process import beats
from woadrun.process import datagrams
from woadrun.process import hubs
from woadrun.process import members
from woadrun.process import returns
from woadrun.process import ticks
from woadrun.process import views

log = logging.getLogger('woadrun.fleet')

TABLE = 'members'
# Between two datagrams to one peer, in seconds.
BEAT_SECONDS = 0.25
SUSPECT_SECONDS = hubs.SUSPECT_SECONDS
# Beats between two looks at all members for which of them fell silent: what
# goes by it, removed rows and log lines, is a matter of seconds.
BEATS_PER_LOOK = 2
# What datagrams tell is brought together no more often, in seconds: it is
# asked for several times in each request.
VIEW_SECONDS = 0.05
# A member that is new in the list is heard so soon, in seconds: it learns of
# this daemon by the same feed.
FIRST_BEAT_SECONDS = 2.0
# A daemon of a large fleet that hears nothing of its own domain for so long
# is cut off, in seconds: other hubs are found in less after both are lost.
ALONE_SECONDS = 2.0
# A peer that could not be reached is left aside for so long, in seconds.
FAILED_SECONDS = 0.5
# Up to so many daemons, each beats to all others; beyond, to hubs.
FULL_MESH = 24


class Fleet(mode.Service):
  """All members, this daemon included.

  `make_beat` returns what this daemon says of itself, `on_beat` gets what
  others say of themselves, `on_digest` what hubs say of their domains.
  """

  def __init__(
    self,
    *,
    me: beats.Member,
    make_beat: Callable[[], beats.Beat],
    on_beat: Callable[[beats.Beat], None],
    on_digest: Callable[[beats.Digest], None] = lambda digest: None,
  ) -> None:
    super().__init__()
    self.me = me
    self._make_beat = make_beat
    self._on_beat = on_beat
    self._on_digest = on_digest
    self._members = members.Members(me=me)
    self.member_by_name = self._members.by_name
    self.heard_by_name: dict[str, beats.Heard] = {}
    self.is_leaving = False
    self._hubs = hubs.Hubs(me=me)
    self._failed_until: dict[str, float] = {}
    self._known_since: dict[str, float] = {}
    self._newest_since = -math.inf
    self._silent_since: dict[str, float] = {}
    self._view = views.View(at=-math.inf)
    self._told_at = -math.inf
    self._heard_at_by_domain: dict[str, float] = {}
    self._returns = returns.Returns()
    self._started_at = time.monotonic()
    self.datagrams = datagrams.Datagrams(address=me.address)
    self.datagrams.handle(datagrams.BEAT, self._receive)

  # --- Who there is ---------------------------------------------------------

  @property
  def is_mesh(self) -> bool:
    """Whether each daemon sends to all others.

    One that starts in a large fleet while the store is out knows few members:
    digests tell it that there are more.
    """
    if len(self.member_by_name) > FULL_MESH:
      return False
    return time.monotonic() - self._told_at >= hubs.DIGEST_SECONDS

  def is_alive(self, name: str) -> bool:
    """Returns whether a member is believed to answer."""
    if name == self.me.name:
      return True
    now = time.monotonic()
    if self._failed_until.get(name, 0.0) > now:
      return False
    return self._is_believed(name, now)

  def _is_believed(self, name: str, now: float) -> bool:
    heard = self.heard_by_name.get(name)
    if heard is not None and now - heard.at < SUSPECT_SECONDS:
      return True
    is_new = now - self._known_since.get(name, now) < FIRST_BEAT_SECONDS
    if self.is_mesh:
      return heard is None and is_new
    member = self.member_by_name.get(name)
    if member is None:
      return False
    return is_new or self._is_told_alive(member, now)

  def _is_told_alive(self, member: beats.Member, now: float) -> bool:
    view = self._get_view()
    if member.name in view.silent or self.is_silent(member.domain):
      return False
    # While its hubs are lost, a daemon goes on believing in its domain.
    heard_at = self._heard_at_by_domain.get(self.me.domain, -math.inf)
    return member.domain != self.me.domain or now - heard_at < ALONE_SECONDS

  def is_silent(self, domain: str) -> bool:
    """Returns whether nothing is heard of another domain."""
    if domain == self.me.domain:
      return False
    view = self._get_view()
    known = view.silence_by_domain.get(domain)
    if known is None:
      known = view.silence_by_domain[domain] = self._is_unheard(domain)
    return known

  def _is_unheard(self, domain: str) -> bool:
    now = time.monotonic()
    heard_at = self._heard_at_by_domain.get(domain, -math.inf)
    if now - heard_at < self._get_silence_limit():
      return False
    known = [
      now - self._known_since.get(name, now)
      for name in self._members.get_all_of(domain)
    ]
    return bool(known) and max(known) >= FIRST_BEAT_SECONDS

  def _get_silence_limit(self) -> float:
    return SUSPECT_SECONDS if self.is_mesh else hubs.DIGEST_SECONDS

  def _get_view(self) -> views.View:
    now = time.monotonic()
    if now - self._view.at >= VIEW_SECONDS:
      self._view = views.bring_together(
        domain=self.me.domain,
        at=now,
        heard=self.heard_by_name.values(),
        digests=() if self.is_mesh else self._hubs.find_fresh(),
        limit=SUSPECT_SECONDS,
      )
    return self._view

  @property
  def domains(self) -> set[str]:
    """All failure domains with a member."""
    return self._members.domains

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

    Those are the silent ones, those that were until a moment ago, those that
    do not hear this domain, and those that have not yet told the store what
    they spent.
    """
    view = self._get_view()
    told = view.owing | view.deaf
    if time.monotonic() - self._started_at < FIRST_BEAT_SECONDS:
      # It cannot tell yet itself who is silent: a daemon that was started
      # again in a cut took the whole budget for its own.
      told |= view.called_silent
    returned = self._returns.find_open(self._get_told_at)
    return (set(self.find_silent()) | told | returned) - {self.me.domain}

  def _get_told_at(self, domain: str, since: float) -> float:
    """Returns up to when all living members of a domain have spoken.

    One that has said nothing for a while since the domain is back is not
    alive: what it decided its standby has, and tells.
    """
    if not self.is_mesh:
      return self._hubs.get_told_at(domain)
    now = time.monotonic()
    heard_at = (
      self.heard_by_name[name].at if name in self.heard_by_name else -math.inf
      for name in self._members.get_all_of(domain)
    )
    is_late = now - since >= SUSPECT_SECONDS
    awaited = (
      at for at in heard_at if not is_late or now - at < SUSPECT_SECONDS
    )
    return min(awaited, default=-math.inf)

  @property
  def is_settled(self) -> bool:
    """Whether no member may have what the store lacks.

    Each domain is in sight and says so.  A single silent member does not
    matter: what it decided without the store its standby has, and tells.
    Otherwise each new program asks the store and two others while members
    are stopped and started in turn.
    """
    return (
      not self._get_view().behind
      and not self.find_unsettled()
      and not self._has_unheard()
    )

  def _has_unheard(self) -> bool:
    """Returns whether a member may still say for the first time what it keeps.

    A daemon that joined after an outage, and had heard nobody, took the store's
    word for what its standby had let be spent.
    """
    now = time.monotonic()
    if now - self._newest_since >= FIRST_BEAT_SECONDS:
      return False
    return any(
      now - since < FIRST_BEAT_SECONDS
      and name in self.member_by_name
      and not self._is_told_of(name)
      for name, since in self._known_since.items()
    )

  def get_silence(self) -> float:
    """Returns for how long a whole domain has been silent, in seconds.

    It is 0 where none is, and the longest time where several are.
    """
    now = time.monotonic()
    heard_at = self._heard_at_by_domain
    lasting = (now - heard_at[d] for d in self.find_silent() if d in heard_at)
    return max(lasting, default=0.0)

  def get_silent_seconds(self) -> dict[str, float]:
    """Returns for how long members have been silent, in seconds by name."""
    now = time.monotonic()
    return {name: now - since for name, since in self._silent_since.items()}

  def note_failure(self, name: str) -> None:
    """Leaves a member aside for a while: a message to it failed."""
    self._failed_until[name] = time.monotonic() + FAILED_SECONDS
    self._forget_view()

  def rank(self, key: str, domain: str) -> list[beats.Member]:
    """Returns a domain's live members in the order of their claim on a key."""
    return self._members.rank(key, domain, self._find_fit(domain))

  def _find_fit(self, domain: str) -> list[beats.Member]:
    """Returns a domain's members that are alive and stay."""
    view = self._get_view()
    known = view.fit_by_domain.get(domain)
    if known is None:
      known = [
        member
        for member in self._members.get_all_of(domain).values()
        if self.is_alive(member.name) and not self._is_leaving(member.name)
      ]
      view.fit_by_domain[domain] = known
    return known

  def find_staying(self) -> list[str]:
    """Returns the names of all members that are alive and stay, sorted."""
    return sorted(
      member.name
      for domain in self.domains
      for member in self._find_fit(domain)
    )

  def is_first_of_all(self, key: str) -> bool:
    """Returns whether this daemon has the first claim in all domains."""
    return bool(self.find_own([key]))

  def find_own(self, keys: Iterable[str]) -> list[str]:
    """Returns the keys on which this daemon has the first claim of all.

    A key goes to a domain first and to a member of it then, so that not each
    key is hashed with each of hundreds of members.
    """
    alive_by_domain = {
      domain: [
        name for name in self._members.get_all_of(domain) if self.is_alive(name)
      ]
      for domain in self.domains
    }
    domains = [domain for domain, names in alive_by_domain.items() if names]
    mine = self.me.domain
    near = (key for key in keys if _find_first(key, domains) == mine)
    names = alive_by_domain[mine]
    return [key for key in near if _find_first(key, names) == self.me.name]

  @property
  def is_hub(self) -> bool:
    """Whether this daemon makes the digests of its domain."""
    return self._hubs.is_hub

  def may_have_store(self, name: str) -> bool:
    """Returns whether a peer is not known to be turned away by the store."""
    return name not in self._get_view().storeless

  def has_one_with_store(self) -> bool:
    """Returns whether a live peer reaches the store."""
    return any(self._is_with_store(name) for name in self.member_by_name)

  def _is_with_store(self, name: str) -> bool:
    return (
      self._is_told_of(name)
      and self.may_have_store(name)
      and self.is_alive(name)
    )

  def find_with_store(self) -> list[beats.Member]:
    """Returns live peers that reach the store, those of our domain first.

    Each daemon has them in an order of its own, so that many that are turned
    away at once do not all ask the same peers.
    """
    found = [
      member
      for name, member in self.member_by_name.items()
      if self._is_with_store(name)
    ]
    return sorted(
      found,
      key=lambda m: (
        m.domain != self.me.domain,
        hubs.weigh(m.name, self.me.name),
      ),
    )

  def _is_told_of(self, name: str) -> bool:
    if name == self.me.name:
      return False
    if name in self.heard_by_name:
      return True
    domain = self.member_by_name[name].domain
    return not self.is_mesh and domain in self._heard_at_by_domain

  def _is_leaving(self, name: str) -> bool:
    if name == self.me.name:
      return self.is_leaving
    return name in self._get_view().leaving

  def add(self, member: beats.Member) -> None:
    """Takes a member in, or its new address."""
    if self._members.add(member):
      log.info('Member %s at %s.', member.name, member.address)
      self.heard_by_name.pop(member.name, None)
      self._known_since[member.name] = time.monotonic()
      self._newest_since = self._known_since[member.name]
      self._forget_view()

  def forget(self, name: str) -> None:
    """Drops a member that is not registered any more."""
    if name == self.me.name:
      return
    self._members.forget(name)
    self.heard_by_name.pop(name, None)
    self._forget_view()
    log.info('Member %s is gone.', name)

  # --- Datagrams ------------------------------------------------------------

  async def on_start(self) -> None:
    """Listens for datagrams."""
    await self.datagrams.open()

  async def on_stop(self) -> None:
    """Stops listening."""
    self.datagrams.close()

  @mode.Service.task
  async def _send_beats(self) -> None:
    for number in itertools.count():
      if self.should_stop:
        return
      self.send_beats()
      if number % BEATS_PER_LOOK == 0:
        self._note_silence()
      await ticks.sleep(BEAT_SECONDS)

  def send_beats(self) -> None:
    """Sends one datagram to each peer that this daemon beats to."""
    for beat, targets in self.plan_beats():
      data = msgspec.json.encode(beat)
      for member in targets:
        self.datagrams.send(member.address, datagrams.BEAT, data)

  def plan_beats(self) -> list[tuple[beats.Beat, list[beats.Member]]]:
    """Returns the datagrams that are due, each with those who get it."""
    mine = self._make_beat()
    if self.is_mesh:
      return [(mine, [m for m in self.member_by_name.values() if m != self.me])]
    chosen = self._hubs.choose(
      self._members.get_all_of(self.me.domain).values(),
      self.heard_by_name,
      silent=self._get_view().silent,
    )
    own = self._hubs.make(
      mine, self._find_due(), self.heard_by_name, is_hub=self.me in chosen
    )
    if own is not None:
      self._on_digest(own)
    asked = msgspec.structs.replace(
      mine, wants_digests=True, digests=_list(own)
    )
    plan = [(asked, [member for member in chosen if member != self.me])]
    listeners = self._find_listeners(chosen)
    if listeners:
      plan.append((self._hubs.answer(mine), listeners))
    if own is not None:
      told = msgspec.structs.replace(
        mine, running={}, failing={}, digests=(own,)
      )
      plan.append((told, self._find_far_hubs()))
    return plan

  def _find_due(self) -> list[beats.Member]:
    """Returns those of its domain of whom something should have been heard."""
    now = time.monotonic()
    return [
      member
      for member in self._members.get_all_of(self.me.domain).values()
      if now - self._known_since.get(member.name, -math.inf)
      >= FIRST_BEAT_SECONDS
    ]

  def _find_listeners(self, chosen: list[beats.Member]) -> list[beats.Member]:
    asked = hubs.find_askers(self.heard_by_name, time.monotonic())
    found = [
      self.member_by_name[name]
      for name in asked
      if self.member_by_name[name] not in chosen
    ]
    if self.me not in chosen:
      return found
    silent = [
      self.member_by_name[name]
      for name in self._silent_since
      if name in self.member_by_name
      and self.member_by_name[name].domain == self.me.domain
      and name not in asked
    ]
    return [*found, *self._hubs.choose_silent(silent)]

  def _find_far_hubs(self) -> list[beats.Member]:
    found = []
    for domain in sorted(self.domains - {self.me.domain}):
      is_silent = self.is_silent(domain)
      members = [
        member
        for member in self._members.get_all_of(domain).values()
        if is_silent or self.is_alive(member.name)
      ]
      found.extend(self._hubs.choose_far(members, is_silent=is_silent))
    return found

  def _receive(self, data: bytes) -> None:
    try:
      beat = msgspec.json.decode(data, type=beats.Beat)
    except msgspec.MsgspecError as error:
      log.warning('Ignored a datagram: %s', error)
      return
    if beat.name == self.me.name:
      return
    self.add(
      beats.Member(name=beat.name, address=beat.address, domain=beat.domain)
    )
    known = self.heard_by_name.get(beat.name)
    self.heard_by_name[beat.name] = beats.Heard(beat=beat, at=time.monotonic())
    self._note_domain(beat.domain, time.monotonic())
    is_news = views.is_news(known.beat if known else None, beat) or any(
      views.is_digest_news(self._hubs.get(digest.hub), digest)
      for digest in beat.digests
    )
    newer = self._hubs.take(beat.digests)
    for digest in newer:
      self._told_at = time.monotonic()
      self._note_domain(digest.domain, self._told_at - digest.age)
    if is_news:
      self._forget_view()
    self._on_beat(beat)
    for digest in newer:
      self._on_digest(digest)

  def _note_domain(self, domain: str, at: float) -> None:
    known = self._heard_at_by_domain.get(domain, at)
    if domain != self.me.domain and at - known >= self._get_silence_limit():
      self._returns.note(domain, now=time.monotonic())
    self._heard_at_by_domain[domain] = max(known, at)

  def _forget_view(self) -> None:
    self._view.at = -math.inf

  def _note_silence(self) -> None:
    now = time.monotonic()
    for name in [n for n in self._silent_since if n not in self.member_by_name]:
      del self._silent_since[name]
    for name in self.member_by_name:
      is_silent = name != self.me.name and not self._is_believed(name, now)
      if is_silent and name not in self._silent_since:
        self._silent_since[name] = now
        log.warning('Member %s is silent.', name)
      elif not is_silent and self._silent_since.pop(name, None) is not None:
        log.info('Member %s is heard again.', name)


def _find_first(key: str, names: list[str]) -> str:
  return max(names, key=lambda name: hubs.weigh(name, key))


def _list(digest: beats.Digest | None) -> tuple[beats.Digest, ...]:
  return () if digest is None else (digest,)
