"""Owner side of the teams' rate limits: one token bucket for each team.

The client side is `woadrun.request.rates`.  While all failure domains reach
each other, one daemon owns a team's whole rate.  During a network partition
each side may have an owner of its own: it then has a share of the rate in
proportion to the number of domains that it reaches, so that all sides together
never grant more than the rate.  A daemon that cannot ask the owner asks a
member of its own domain, which then grants from the share of this one domain.
A new owner asks the previous one for the units that are left.

Requests that have to wait stand in a line (`decisions/rate_line.py`), which is
not handed over: they ask a new owner again, which orders them by arrival.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import heapq
import logging
import math
import time

import mode

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import rate_messages
from woadrun.decisions import admission_policy
from woadrun.decisions import program_demand
from woadrun.decisions import rate_limit
from woadrun.decisions import rate_line
from woadrun.decisions import timed_programs
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import hubs
from woadrun.process import ticks

log = logging.getLogger('woadrun.rates')

# Interval between checks of the list of members for changes.
POLL_INTERVAL_SECONDS = 0.25
# An owner whose process was stalled for longer than this may have been replaced
# by another daemon: others suspect a member that they have not heard from for
# this time, which equals `hubs.SUSPECT_TIMEOUT_SECONDS`.
STALL_THRESHOLD_SECONDS = 0.9
# A domain's own share starts empty again after this time without a request, as
# the owner of the whole rate may have granted it meanwhile.
FALLBACK_IDLE_SECONDS = 0.5
# Delay after the start before an owner grants anything: until a daemon hears
# of the other members, it considers itself the owner of every limit.
STARTUP_DELAY_SECONDS = 0.3
# A team's limit is evicted after this time without a request.
IDLE_TTL_SECONDS = 30.0
# Time for which a granted unit may be given back.  It is longer than a unit is
# valid: `rate_limit.MAX_ADVANCE_SECONDS` and `rates.GRANT_TTL_SECONDS`.
UNIT_TTL_SECONDS = 3.0
# Timeout for the answer of a previous owner, while requests wait.
TAKEOVER_TIMEOUT_SECONDS = 0.1
# A daemon hands over its units only this long after it owned the rate: another
# daemon may have owned it since.
FORMER_OWNER_TTL_SECONDS = 2.0
# Number of teams in the metrics, those with the most requests.
MAX_REPORTED_TEAMS = 16


@dataclasses.dataclass(kw_only=True)
class TeamCounts:
  """What was decided for a team since this daemon has had its limit.

  `allowed` counts the units that accrued at the rate, whether used or not.
  """

  allowed: float = 0.0
  granted: int = 0
  returned: int = 0
  refused: int = 0
  waited_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Unit:
  """A granted unit, which its request may use from `usable_at` on.

  `is_told` tells whether the request has learned of it.  A unit that was given
  back is kept until it expires, because its messages may be repeated.
  """

  granted_at: float
  usable_at: float
  program: str
  is_told: bool = False
  is_returned: bool = False


@dataclasses.dataclass(kw_only=True)
class _TeamLimit:
  """A team's rate limit and bucket; this daemon owns `share` of the rate.

  `share` is a fraction, 0 while another daemon owns the rate.  `per_second` and
  `burst` are those of the whole rate, in requests, from `version` of the
  routing table.  `used_at` is the time of the last request.  `unit_by_id` has
  the units that may be given back, the oldest first.  `full_at` is the latest
  time at which the bucket is known to have been full.  `owned_at` is the latest
  time at which the share was not 0.  `takeover` asks the previous owner for its
  units; None before this begins.
  """

  bucket: rate_limit.BucketState
  version: int
  per_second: float
  burst: float
  share: float
  used_at: float
  owned_at: float
  programs: program_demand.ProgramTracker = dataclasses.field(
    default_factory=program_demand.ProgramTracker
  )
  timed: timed_programs.TimedPrograms = dataclasses.field(
    default_factory=timed_programs.TimedPrograms
  )
  line: rate_line.RateLine = dataclasses.field(
    default_factory=rate_line.RateLine
  )
  returns: rate_line.ReturnTimes = dataclasses.field(
    default_factory=rate_line.ReturnTimes
  )
  # In an ordinary dict, each search for the oldest key passes all deleted ones.
  unit_by_id: collections.OrderedDict[str, _Unit] = dataclasses.field(
    default_factory=collections.OrderedDict
  )
  counts: TeamCounts = dataclasses.field(default_factory=TeamCounts)
  full_at: float = -math.inf
  is_taken_over: bool = False
  takeover: asyncio.Task[None] | None = None

  def accrue(self, now: float) -> None:
    """Refills the bucket up to `now` at the present share."""
    seconds = max(0.0, now - self.bucket.updated_at)
    self.counts.allowed += self.rate * seconds
    if not self.share:
      # The level stays as it was for the new owner, which may ask for it.
      self.bucket.updated_at = now
      return
    self.owned_at = now
    burst = self.burst * self.share
    rate_limit.accrue(self.bucket, rate=self.rate, burst=burst, now=now)
    if self.bucket.level >= rate_limit.get_capacity(burst):
      self.full_at = now

  @property
  def rate(self) -> float:
    """The units that accrue per second at this daemon's share."""
    return self.per_second * self.share

  @property
  def free_level(self) -> float:
    """The units that are left for requests without a place in the line."""
    return self.bucket.level - len(self.line)

  def grant_due(self, now: float) -> None:
    """Grants units to the places in the line whose turn comes soon."""
    for place, wait in rate_line.take_due(
      self.line, self.bucket, rate=self.rate, now=now
    ):
      if wait is None:
        self._record_unsent(place.program)
        continue
      self.counts.granted += 1
      self.counts.waited_seconds += now + wait - place.arrived_at
      if place.id:
        self.unit_by_id[place.id] = _Unit(
          granted_at=now, usable_at=now + wait, program=place.program
        )

  def pick_up(self, id: str, now: float) -> float | None:
    """Returns the seconds until a granted unit is usable, None if unknown.

    A unit that its request learns of too late goes back to the bucket: units
    that are used late would exceed the rate together with later ones.
    """
    unit = self.unit_by_id.get(id)
    if unit is None:
      return None
    if not unit.is_told:
      if now - unit.usable_at > rate_limit.MAX_ADVANCE_SECONDS:
        self.record_return(id, now)
        del self.unit_by_id[id]
        return None
      self.unit_by_id[id] = dataclasses.replace(unit, is_told=True)
    return max(0.0, unit.usable_at - now)

  def admit(self, ask: rate_messages.AcquireRate, now: float) -> float | None:
    """Returns the wait of a request for its unit, None if it is refused.

    The request gets a place in the line, or its unit if that is due soon.  It
    is refused if its turn comes too late for its caller.
    """
    max_wait = rate_limit.MAX_ADVANCE_SECONDS
    if ask.id and ask.max_wait is not None:
      max_wait = ask.max_wait
    place = rate_line.Place(
      id=ask.id,
      arrived_at=now - ask.held,
      expires_at=now + max_wait,
      program=ask.program,
    )
    wait = self.line.get_turn(place, level=self.bucket.level, rate=self.rate)
    if wait > max_wait:
      return None
    self.line.join(place)
    self.grant_due(now)
    self._record_request(ask, now, wait=wait)
    return wait

  def _record_request(
    self, ask: rate_messages.AcquireRate, now: float, *, wait: float
  ) -> None:
    """Records a request of a program that is sent `wait` seconds from now."""
    self.returns.forget(_get_return_key(ask))
    if ask.program:
      self.programs.record_request(
        ask.program, ask.kind, now, wait=wait, priority=ask.priority
      )
      self.timed.record_request(
        ask.program, ask.kind, now, wait=wait, seconds_left=ask.seconds_left
      )

  def refuse(self, ask: rate_messages.AcquireRate, now: float) -> float:
    """Records a refused request; returns when it should return, in seconds."""
    return self.returns.assign(
      _get_return_key(ask),
      wait=max(0.0, 1.0 - self.free_level) / self.rate,
      rate=self.rate,
      expires_at=now + (ask.max_wait or 0.0),
      now=now,
    )

  def leave_line(self, id: str) -> bool:
    """Removes a request from the line; returns whether it had a place."""
    place = self.line.leave(id)
    if place is None:
      return False
    self._record_unsent(place.program)
    return True

  def _record_unsent(self, program: str) -> None:
    self.programs.record_return(program)
    self.timed.record_return(program)

  def record_return(self, id: str, now: float) -> bool:
    """Adds a unit that was not used, or removes a request from the line.

    Returns whether the unit or the request was known.  A unit that was granted
    before the bucket was last full is not added: the bucket would have been
    full with it as well.  If it were added, one span of time could contain more
    requests than the rate and one burst.
    """
    self.expire_units(now)
    if self.leave_line(id):
      return True
    unit = self.unit_by_id.get(id)
    if unit is None or unit.is_returned:
      return False
    self.unit_by_id[id] = dataclasses.replace(unit, is_returned=True)
    self.accrue(now)
    if unit.granted_at >= self.full_at:
      rate_limit.give_back(
        self.bucket,
        rate=self.rate,
        # Without a share, the units are kept for the new owner, which applies
        # its own limit.
        burst=self.burst * (self.share or 1.0),
        now=now,
      )
    self.counts.returned += 1
    self._record_unsent(unit.program)
    return True

  def expire_units(self, now: float) -> None:
    """Forgets the units that are too old to be given back."""
    while self.unit_by_id:
      id, unit = next(iter(self.unit_by_id.items()))
      if now - unit.granted_at <= UNIT_TTL_SECONDS:
        return
      del self.unit_by_id[id]

  def drop_units(self) -> None:
    """Drops the accumulated units; units granted in advance remain owed.

    Units that were granted before can no longer be given back.
    """
    self.bucket.level = min(0.0, self.bucket.level)
    self.unit_by_id.clear()

  def hand_over(self) -> rate_messages.RateState:
    """Returns the units that are left and drops them."""
    state = rate_messages.RateState(
      level=self.bucket.level,
      demand_by_kind={
        kind: _describe_demand(self, kind)
        for kind in self.programs.demand_by_kind
      },
    )
    self.drop_units()
    return state

  def restore(self, state: rate_messages.RateState, now: float) -> None:
    """Continues with the units and the learned demand of the previous owner."""
    # What accrued since the change of owners may have been granted by the
    # previous one.
    self.bucket = rate_limit.BucketState(level=state.level, updated_at=now)
    self.accrue(now)
    for kind, demand in state.demand_by_kind.items():
      self.programs.demand_by_kind.setdefault(
        kind,
        program_demand.ProgramDemand(
          requests=demand.requests, seconds=demand.seconds
        ),
      )
      if demand.density:
        self.timed.demand_by_kind.setdefault(
          kind,
          timed_programs.KindDemand(
            density=demand.density, ratio=demand.ratio, spread=demand.spread
          ),
        )


def _get_return_key(ask: rate_messages.AcquireRate) -> str:
  """Returns a key that is the same for all tries of a program's request."""
  return f'{ask.program}/{ask.kind}' if ask.program else ask.id


def _describe_demand(limit: _TeamLimit, kind: str) -> rate_messages.KindDemand:
  demand = limit.programs.demand_by_kind[kind]
  timed = limit.timed.demand_by_kind.get(kind)
  return rate_messages.KindDemand(
    requests=demand.requests,
    seconds=demand.seconds,
    density=timed.density if timed else 0.0,
    ratio=timed.ratio if timed else 0.0,
    spread=timed.spread if timed else 0.0,
  )


def find_rate_owner(
  members: fleet.Fleet, team: str
) -> fleet_heartbeats.Member | None:
  """Returns the owner of a team's rate among the domains that are reachable.

  The result depends only on the members that are heard, so daemons that hear
  the same members find the same owner.  Returns None if no member of these
  domains is alive and not leaving.
  """
  key = f'rate/{team}'
  reachable = members.domains - set(members.find_silent_domains())
  for domain in sorted(
    reachable, key=lambda d: hubs.get_rendezvous_weight(d, key), reverse=True
  ):
    ranked = members.rank(key, domain)
    if ranked:
      return ranked[0]
  return None


class RateOwner(mode.Service):
  """Grants requests of the teams whose rate limits this daemon owns.

  `has_member_list` returns whether this daemon has received a list of all
  members from the store.  Without a `messenger`, previous owners are not asked
  for their units.  `policy` has the operator's settings for programs.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    has_member_list: Callable[[], bool],
    messenger: peers.Messenger | None = None,
    policy: admission_policy.AdmissionPolicy = admission_policy.DEFAULT,
  ) -> None:
    super().__init__()
    self._policy = policy
    self._members = members
    self._messenger = messenger
    self._has_member_list = has_member_list
    self._started_at = time.monotonic()
    self._limit_by_team: dict[str, _TeamLimit] = {}
    # Shares of the own domain, for when the owner of the whole rate is cut off.
    self._fallback_by_team: dict[str, _TeamLimit] = {}
    # `_changed_at` is the last change of active members, or the last stall.
    self._polled_at = self._changed_at = time.monotonic()
    self._active_names: list[str] = []
    # The active members before their last change.
    self._former_members: list[fleet_heartbeats.Member] = []

  def __len__(self) -> int:
    return len(self._limit_by_team)

  async def answer(
    self, ask: rate_messages.AcquireRate
  ) -> rate_messages.RateDecision:
    """Returns whether one request of a team may be sent, taking its unit.

    If not, it has a place in the line, or the decision says when to return.
    With `ask.is_alone` the unit comes from the share of the own domain, whoever
    owns the rate.  Otherwise raises `not_owner` if another daemon owns it;
    always raises `not_owner` while this daemon is starting or has no list of
    members.
    """
    now = time.monotonic()
    if (
      not self._has_member_list()
      or now - self._started_at < STARTUP_DELAY_SECONDS
    ):
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER,
        'This daemon has not discovered the other members yet.',
      )
    self._poll_members(now, is_due=ask.team not in self._limit_by_team)
    limit = self._find_limit(ask, now)
    if not ask.is_alone and not limit.is_taken_over:
      await self._take_over(limit, ask.team)
      now = time.monotonic()
      # The rate may have moved to another daemon meanwhile.
      limit = self._find_limit(ask, now)
    limit.used_at = now
    limit.accrue(now)
    if ask.version > limit.version:
      limit.version = ask.version
      limit.per_second, limit.burst = ask.per_second, ask.burst
      # Nothing accrues a second time: this caps the level at the new burst.
      limit.accrue(now)
    limit.grant_due(now)
    return self._decide(limit, ask, now)

  async def give_back(
    self, message: rate_messages.ReturnUnit
  ) -> rate_messages.UnitReturned:
    """Adds a unit whose request was not sent, unless `id` is unknown."""
    now = time.monotonic()
    for limit_by_team in (self._limit_by_team, self._fallback_by_team):
      limit = limit_by_team.get(message.team)
      if limit is not None and limit.record_return(message.id, now):
        return rate_messages.UnitReturned(is_returned=True)
    return rate_messages.UnitReturned(is_returned=False)

  def get_counts(self) -> dict[str, TeamCounts]:
    """Returns the counts of the teams with the most requests, by team."""
    by_team = heapq.nlargest(
      MAX_REPORTED_TEAMS,
      self._limit_by_team.items(),
      key=lambda item: item[1].counts.granted + item[1].counts.refused,
    )
    return {team: limit.counts for team, limit in by_team}

  def _decide(
    self, limit: _TeamLimit, ask: rate_messages.AcquireRate, now: float
  ) -> rate_messages.RateDecision:
    usable_in = limit.pick_up(ask.id, now)
    if usable_in is not None:
      # The message was repeated, or the request has reached its turn.
      return self._make_grant(usable_in)
    place = limit.line.find(ask.id)
    if place is not None:
      turn = limit.line.get_turn(
        place, level=limit.bucket.level, rate=limit.rate
      )
      if now + turn <= place.expires_at:
        return self._make_place(turn)
      # The rate was lowered, or requests that arrived earlier have come from
      # another owner.
      limit.leave_line(ask.id)
    elif refusal := self._check_new_program(limit, ask, now):
      limit.counts.refused += 1
      return refusal
    else:
      wait = limit.admit(ask, now)
      if wait is not None and ask.id in limit.line:
        return self._make_place(wait)
      if wait is not None:
        limit.pick_up(ask.id, now)
        return self._make_grant(wait)
    limit.counts.refused += 1
    limit.timed.record_refusal(ask.program)
    return rate_messages.RateDecision(
      is_granted=False, retry_after=limit.refuse(ask, now)
    )

  def _make_grant(self, wait: float) -> rate_messages.RateDecision:
    return rate_messages.RateDecision(
      is_granted=True, wait=wait, granted_by=self._members.me.address
    )

  def _make_place(self, wait: float) -> rate_messages.RateDecision:
    return rate_messages.RateDecision(
      is_granted=False,
      has_place=True,
      wait=wait,
      granted_by=self._members.me.address,
    )

  def _check_new_program(
    self, limit: _TeamLimit, ask: rate_messages.AcquireRate, now: float
  ) -> rate_messages.RateDecision | None:
    """Returns a refusal if the rate does not suffice for one more program.

    Returns None if it does, or if the request is not the first of a program.
    """
    if not ask.begins or limit.programs.is_running(ask.program):
      return None
    if ask.seconds_left is not None:
      return _check_timed_program(limit, ask, now)
    excess = limit.programs.get_excess(
      ask.kind,
      level=limit.free_level,
      rate=limit.rate,
      priority=ask.priority,
    )
    if excess <= 0:
      return None
    retry_after = limit.programs.estimate_retry_after(ask.kind, excess=excess)
    return rate_messages.RateDecision(
      is_granted=False,
      retry_after=max(1.0 / limit.rate, retry_after),
    )

  def _find_limit(
    self, ask: rate_messages.AcquireRate, now: float
  ) -> _TeamLimit:
    """Returns the limit that a request counts against.

    Raises `not_owner` if this daemon owns no share of the rate.
    """
    if ask.is_alone:
      share = 1.0 / max(1, len(self._members.domains))
      limit = self._get_or_make(
        self._fallback_by_team, ask, share=share, since=now
      )
      self._set_share(limit, share, now)
      if now - limit.used_at > FALLBACK_IDLE_SECONDS:
        # The owner of the whole rate may have granted all of it meanwhile.
        limit.bucket = rate_limit.BucketState(level=0.0, updated_at=now)
        limit.unit_by_id.clear()
        limit.line = rate_line.RateLine()
      return limit
    share = self._get_share(ask.team)
    if not share:
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER,
        f'Another daemon owns the rate limit of {ask.team}.',
      )
    # Before this time another daemon may have been the owner.
    since = max(self._changed_at, self._started_at + STARTUP_DELAY_SECONDS)
    limit = self._get_or_make(
      self._limit_by_team, ask, share=share, since=since
    )
    self._set_share(limit, share, now)
    return limit

  def _get_or_make(
    self,
    limit_by_team: dict[str, _TeamLimit],
    ask: rate_messages.AcquireRate,
    *,
    share: float,
    since: float,
  ) -> _TeamLimit:
    """Returns a team's limit, with a new bucket if there is none.

    A new bucket is refilled from `since` on: another daemon may have granted
    all units of the time before.
    """
    limit = limit_by_team.get(ask.team)
    if limit is None:
      limit = limit_by_team[ask.team] = _TeamLimit(
        bucket=rate_limit.BucketState(level=0.0, updated_at=since),
        version=ask.version,
        per_second=ask.per_second,
        burst=ask.burst,
        share=share,
        used_at=since,
        owned_at=since,
        programs=program_demand.ProgramTracker(policy=self._policy),
        timed=timed_programs.TimedPrograms(policy=self._policy),
      )
    return limit

  def _get_share(self, team: str) -> float:
    """Returns this daemon's share of a team's rate, 0 if it owns none."""
    if find_rate_owner(self._members, team) != self._members.me:
      return 0.0
    domains = self._members.domains
    silent = self._members.find_silent_domains()
    return (len(domains) - len(silent)) / len(domains)

  def _set_share(self, limit: _TeamLimit, share: float, now: float) -> None:
    """Sets the share from `now` on.

    Units accrue at the old share up to `now`.  If it was 0, the units that were
    accumulated before are dropped.
    """
    if share == limit.share:
      return
    limit.accrue(now)
    if not limit.share:
      # Another daemon may have granted the rate meanwhile, burst included.
      limit.drop_units()
      limit.is_taken_over, limit.takeover = False, None
    if not share:
      # Those who wait ask the new owner.
      limit.line = rate_line.RateLine()
    limit.share = share

  # --- Changes of owners ----------------------------------------------------

  async def hand_over(
    self, ask: rate_messages.RateStateQuery
  ) -> rate_messages.RateState:
    """Hands the units of a team's rate over to its new owner.

    Raises `not_owner` if this daemon has not owned the rate lately.
    """
    now = time.monotonic()
    # The units that accrued while this process was stalled may have been
    # granted by another owner.
    self._poll_members(now)
    limit = self._limit_by_team.get(ask.team)
    if limit is not None:
      limit.accrue(now)
      if now - limit.owned_at <= FORMER_OWNER_TTL_SECONDS:
        return limit.hand_over()
    raise errors.WoadrunError(
      errors.Code.NOT_OWNER,
      f'This daemon has not owned the rate limit of {ask.team} lately.',
    )

  async def _take_over(self, limit: _TeamLimit, team: str) -> None:
    """Asks the previous owners of a rate for their units, once.

    Concurrent requests wait for the same answers.
    """
    if limit.takeover is None:
      limit.takeover = asyncio.ensure_future(
        self._ask_former_owners(limit, team)
      )
    await asyncio.shield(limit.takeover)

  async def _ask_former_owners(self, limit: _TeamLimit, team: str) -> None:
    try:
      limit.accrue(time.monotonic())
      is_full = limit.bucket.level >= rate_limit.get_capacity(
        limit.burst * limit.share
      )
      former = [] if is_full else self._find_former_owners(team)
      found = await asyncio.gather(
        *(self._ask_former_owner(member, team) for member in former)
      )
      states = [state for states in found for state in states or ()]
      if states and None not in found:
        # Several daemons may have granted, so the lowest level counts.
        limit.restore(
          min(states, key=lambda state: state.level), time.monotonic()
        )
        log.info('Took over %.1f units of %s.', limit.bucket.level, team)
    finally:
      limit.is_taken_over = True

  async def _ask_former_owner(
    self, member: fleet_heartbeats.Member, team: str
  ) -> list[rate_messages.RateState] | None:
    """Returns the state of a previous owner, empty if it was none.

    Returns None if it is unknown whether it was one.
    """
    assert self._messenger is not None
    try:
      async with asyncio.timeout(TAKEOVER_TIMEOUT_SECONDS):
        state = await self._messenger.post(
          member.address,
          'rate/hand-over',
          rate_messages.RateStateQuery(team=team),
          type=rate_messages.RateState,
          timeout=TAKEOVER_TIMEOUT_SECONDS,
        )
    except errors.WoadrunError as error:
      return [] if error.code is errors.Code.NOT_OWNER else None
    except TimeoutError:
      return None
    return [state]

  def _find_former_owners(self, team: str) -> list[fleet_heartbeats.Member]:
    """Returns the daemons that may have owned a rate before this one.

    These are the owner before the last change of members, and the one that
    would own the rate without this daemon: it was the owner if this daemon has
    just started.  Returns none while a domain is unreachable, since a domain
    may then have an owner of its own.
    """
    if self._messenger is None or self._members.find_silent_domains():
      return []
    me = self._members.me
    active = self._list_active_members()
    former = (
      _find_owner_among(self._former_members, team),
      _find_owner_among((m for m in active if m != me), team),
    )
    return list({m.name: m for m in former if m and m != me}.values())

  def _list_active_members(self) -> list[fleet_heartbeats.Member]:
    return [
      self._members.member_by_name[name]
      for name in self._active_names
      if name in self._members.member_by_name
    ]

  @mode.Service.task
  async def _poll_periodically(self) -> None:
    while not self.should_stop:
      now = time.monotonic()
      self._poll_members(now)
      self._evict_idle(now)
      await ticks.sleep(POLL_INTERVAL_SECONDS)

  def _poll_members(self, now: float, *, is_due: bool = False) -> None:
    """Detects changes of members and stalls of this process.

    Does nothing soon after the last poll unless `is_due`.  Callers set `is_due`
    before they create a bucket: the team's limit may have moved to this daemon
    since the last poll.
    """
    # Half of the interval, since `ticks.sleep` may be as short as that.
    if now - self._polled_at < POLL_INTERVAL_SECONDS / 2 and not is_due:
      return
    was_stalled = now - self._polled_at > STALL_THRESHOLD_SECONDS
    self._polled_at = now
    active_names = self._members.find_active_names()
    if active_names != self._active_names or was_stalled:
      if self._messenger is not None:
        self._former_members = self._list_active_members()
      self._active_names = active_names
      self._changed_at = now
    for team, limit in self._limit_by_team.items():
      self._set_share(limit, self._get_share(team), now)
    if was_stalled:
      log.warning(
        'This process was stalled: all rate-limit buckets are emptied.'
      )
      self._reset_buckets(now)

  def _reset_buckets(self, now: float) -> None:
    """Drops all accumulated units: another owner may have granted them.

    Units that were granted in advance, a negative level, remain owed.
    """
    for limit in (
      *self._limit_by_team.values(),
      *self._fallback_by_team.values(),
    ):
      limit.drop_units()
      limit.bucket.updated_at = now

  def _evict_idle(self, now: float) -> None:
    for limit_by_team in (self._limit_by_team, self._fallback_by_team):
      idle = [
        team
        for team, limit in limit_by_team.items()
        if now - limit.used_at > IDLE_TTL_SECONDS and not limit.line
      ]
      for team in idle:
        del limit_by_team[team]
      for limit in limit_by_team.values():
        # Those who wait may be gone without a word, and ask no more.
        for id in limit.line.find_expired(now):
          limit.leave_line(id)
        limit.programs.expire_idle(now)
        limit.timed.expire_idle(now)
        limit.expire_units(now)


def _check_timed_program(
  limit: _TeamLimit, ask: rate_messages.AcquireRate, now: float
) -> rate_messages.RateDecision | None:
  start = timed_programs.Start(
    id=ask.program,
    kind=ask.kind,
    priority=ask.priority,
    seconds_left=ask.seconds_left or 0.0,
  )
  limit.timed.record_asked(start, now)
  refusal = limit.timed.check(
    start,
    level=limit.free_level,
    burst=rate_limit.get_capacity(limit.burst * limit.share),
    rate=limit.rate,
    now=now,
    other_rate=limit.programs.get_running_rate(excluded=limit.timed),
  )
  if refusal is None:
    return None
  limit.timed.record_refused_start(ask.program, refusal)
  return rate_messages.RateDecision(
    is_granted=False, retry_after=refusal.retry_after
  )


def _find_owner_among(
  members: Iterable[fleet_heartbeats.Member], team: str
) -> fleet_heartbeats.Member | None:
  """Returns which of the members ranks first for a team's rate."""
  key = f'rate/{team}'
  members_by_domain: dict[str, list[fleet_heartbeats.Member]] = {}
  for member in members:
    members_by_domain.setdefault(member.domain, []).append(member)
  if not members_by_domain:
    return None
  domain = max(
    members_by_domain, key=lambda d: hubs.get_rendezvous_weight(d, key)
  )
  return max(
    members_by_domain[domain],
    key=lambda m: hubs.get_rendezvous_weight(m.name, key),
  )
