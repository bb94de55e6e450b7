"""Admission of new programs to services whose instances may become full.

A program is a sequence of turns, its requests to a service.  The owner of a
program, one of the daemons, decides at its first turn whether it may begin
(`decisions/program_admission.py`).  The decision needs the demand for the
service at all owners.  It arrives in the heartbeats of the others, or in large
fleets in the digests of hubs, which sum it by failure domain.

Nothing here survives the daemon.  A refused program that returns to another
owner counts as new, and a running one is known there from its next turn on.

Times are on the monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import logging
import math
import time

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.decisions import admission_policy
from woadrun.decisions import program_admission
from woadrun.process import counters
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import hubs
from woadrun.process.load import loads

log = logging.getLogger('woadrun.admission')

# Minimum interval between two measurements of the load of a service, and the
# part of it for each instance: a measurement takes less than a millisecond for
# a thousand instances.
MEASURE_INTERVAL_SECONDS = 0.1
MEASURE_INTERVAL_SECONDS_PER_INSTANCE = 0.0001
# A plan is used for this long and for this many requests.  The sums change only
# with the next heartbeat, but a burst at a single daemon has to be noticed.
PLAN_TTL_SECONDS = 0.1
MAX_REQUESTS_PER_PLAN = 4
# The sum of the other domains is preferred to their digests if it is not older
# than three heartbeat intervals.  A daemon that has become a hub gets the
# digest of each domain instead.
ELSEWHERE_TTL_SECONDS = 0.75
# A program that pauses for longer than it counts as under way may continue.
# Its end is not learned before this time.
ENDED_TTL_SECONDS = 3.0
# Minimum interval between two scans for ended programs while programs ask to
# begin.
EXPIRE_INTERVAL_SECONDS = 0.1
# A turn whose end is not reported ends this long after its deadline.
CLOSE_GRACE_SECONDS = 0.5
# Half-life of the rate at which programs end.  A program lasts longer than a
# second, so that a daemon sees few of them end.
ENDED_HALF_LIFE_SECONDS = 1.0
# Weight of the newest program in the learned ratio of a kind.
LEARN_WEIGHT = 0.1
# Longest duration of a program that counts, as a multiple of the time that it
# had.  A program that loops without end says nothing of the service's speed.
MAX_USED_RATIO = 1.5
# Longest interval that one sample of the running turns stands for.  After an
# idle time, a single sample with few programs would otherwise count fully.
MAX_SAMPLE_SECONDS = 0.25
# Maximum number of refused programs that are remembered.
MAX_TICKETS = 10_000
# Lower rates per second are neither reported nor kept.
MIN_RATE = 0.05
# Maximum number of weights kept for teams that the routing table lacks.
MAX_KEPT_WEIGHTS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class FirstTurn:
  """The first turn `request` of a program that asks to begin."""

  program: str
  request: str
  ask: turn_messages.AdmissionRequest


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Ticket:
  """A refused program that should return at `due_at`.

  `allowed` is the time that it had at its first request, in seconds, and
  `forget_at` the time at which it counts as a new one.
  """

  service: str
  allowed: float | None
  due_at: float
  forget_at: float


@dataclasses.dataclass(kw_only=True)
class _Program:
  """A program that this daemon admitted, or whose later turns it opened.

  `deadline_by_request` has the turns in progress.  `idle_since` is the end of
  the last turn, `ended_at` the time since which the program is not under way,
  None while it is.  `allowed` is the time that it had at its first request,
  None if that is not known.  `is_unopened` tells that it was admitted, but no
  turn of it was opened.
  """

  service: str
  kind: str
  admitted_at: float
  idle_since: float
  allowed: float | None = None
  deadline_by_request: dict[str, float] = dataclasses.field(
    default_factory=dict
  )
  ended_at: float | None = None
  has_ended_turn: bool = False
  is_unopened: bool = False

  def expire_turns(self, now: float) -> None:
    """Ends the turns whose end was not reported in time."""
    late = [r for r, at in self.deadline_by_request.items() if at <= now]
    for request in late:
      self.idle_since = max(
        self.idle_since, self.deadline_by_request.pop(request)
      )


@dataclasses.dataclass(kw_only=True)
class _CurrentPlan:
  """The plan for a service, and the sums from which it was made.

  `waiting` counts the refused programs that were to return then, and `refused`
  those that this daemon has refused since.  Without recent sums, `limit` is the
  number of programs that this daemon may have under way, else it is None.
  """

  made_at: float
  state: program_admission.ServiceState
  plan: program_admission.Plan
  waiting: int
  limit: int | None
  refused: int = 0


@dataclasses.dataclass(kw_only=True)
class _Service:
  """The demand for one service at this daemon, and what is measured there."""

  programs: int = 0
  ended: program_admission.DecayedRate = dataclasses.field(
    default_factory=lambda: program_admission.DecayedRate(
      half_life=ENDED_HALF_LIFE_SECONDS
    )
  )
  ended_seconds: program_admission.DecayedRate = dataclasses.field(
    default_factory=lambda: program_admission.DecayedRate(
      half_life=ENDED_HALF_LIFE_SECONDS
    )
  )
  ratio_sum: program_admission.DecayedRate = dataclasses.field(
    default_factory=lambda: program_admission.DecayedRate(
      half_life=ENDED_HALF_LIFE_SECONDS
    )
  )
  timed: program_admission.DecayedRate = dataclasses.field(
    default_factory=lambda: program_admission.DecayedRate(
      half_life=ENDED_HALF_LIFE_SECONDS
    )
  )
  asked_by_class: dict[
    program_admission.ClassKey, program_admission.DecayedRate
  ] = dataclasses.field(default_factory=dict)
  admitted_by_team: dict[str, program_admission.DecayedRate] = (
    dataclasses.field(default_factory=dict)
  )
  credit_by_rank: dict[tuple[int, int], program_admission.Credit] = (
    dataclasses.field(default_factory=dict)
  )
  load: loads.ServiceLoad | None = None
  measure_at: float = -math.inf
  turns_per_program: program_admission.DecayedRatio = dataclasses.field(
    default_factory=program_admission.DecayedRatio
  )
  seconds_per_program: program_admission.DecayedRatio = dataclasses.field(
    default_factory=lambda: program_admission.DecayedRatio(
      initial=program_admission.INITIAL_SECONDS_PER_PROGRAM
    )
  )
  duration_ratio: program_admission.DecayedRatio = dataclasses.field(
    default_factory=lambda: program_admission.DecayedRatio(
      initial=admission_policy.DEFAULT.initial_duration
    )
  )
  sampled_at: float = -math.inf
  sampled_seconds: float = 0.0
  current: _CurrentPlan | None = None
  requests_of_plan: int = 0
  expected_seconds: float | None = None

  def note_time(
    self, seconds_left: float, policy: admission_policy.AdmissionPolicy
  ) -> None:
    """Notes the time that a program has which asks to begin.

    It tells how long programs last as long as none has ended.
    """
    seconds = program_admission.expect_seconds(seconds_left, policy=policy)
    if self.expected_seconds is None:
      self.expected_seconds = seconds
    self.expected_seconds += LEARN_WEIGHT * (seconds - self.expected_seconds)
    self.seconds_per_program.initial = self.expected_seconds


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
  """The demand by service that a peer, a domain or all others had at `at`."""

  at: float
  demand: Mapping[str, fleet_heartbeats.ServiceDemand]


class ProgramGate:
  """Decides which programs of this daemon may begin.

  `measure` returns the load of a service.  `get_weights` returns the configured
  rate of each team that has one, and the sum of the weights of all teams.
  `record_decision` is called with service, kind and whether the program was
  admitted.  `policy` has the operator's settings.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    measure: Callable[[str], loads.ServiceLoad],
    get_weights: Callable[[], tuple[Mapping[str, float], float]],
    record_decision: Callable[[str, str, bool], None],
    policy: admission_policy.AdmissionPolicy = admission_policy.DEFAULT,
  ) -> None:
    self._policy = policy
    self._members = members
    self._measure_load = measure
    self._get_weights = get_weights
    self._record_decision = record_decision
    self._service_by_name: dict[str, _Service] = {}
    self._program_by_id: dict[str, _Program] = {}
    self._ticket_by_program: dict[str, _Ticket] = {}
    self._ratio_by_kind: dict[str, float] = {}
    self._told_weight_by_team: dict[str, float] = {}
    self._last_sent: dict[str, fleet_heartbeats.ServiceDemand] = {}
    self._report_by_peer: dict[str, _Report] = {}
    self._report_by_domain: dict[str, _Report] = {}
    self._elsewhere = _Report(at=-math.inf, demand={})
    self._expired_at = -math.inf

  # --- Programs ---------------------------------------------------------------

  def knows(self, program: str) -> bool:
    """Returns whether a program is under way here, or was until recently."""
    return program in self._program_by_id

  def admit(self, first: FirstTurn) -> None:
    """Admits a program, which is under way from then on.

    Raises `service_full` with the time to return if the service has no room.
    While the service has no usable instance, all programs are admitted: their
    turns tell the callers more than the gate could.
    """
    now = time.monotonic()
    # An owner may have hundreds of programs, too many to scan for each request.
    if now - self._expired_at >= EXPIRE_INTERVAL_SECONDS:
      self._expire(now)
    ask = first.ask
    ticket = self._ticket_by_program.pop(first.program, None)
    if ticket is not None and now >= ticket.forget_at:
      ticket = None
    allowed = ask.seconds_left if ticket is None else ticket.allowed
    key = program_admission.ClassKey(
      priority=ask.priority,
      order=program_admission.get_order(
        allowed=allowed,
        left=ask.seconds_left,
        ratio=self._get_ratio(ask.kind),
      ),
      team=ask.team,
    )
    service = self._get_service(ask.service)
    service.asked_by_class.setdefault(
      key, program_admission.DecayedRate()
    ).record(now)
    self._keep_weight(ask.team, ask.weight)
    if ask.seconds_left is not None and math.isfinite(ask.seconds_left):
      service.note_time(ask.seconds_left, self._policy)
    current = self._get_current_plan(ask.service, now)
    if not self._take(service, key, current):
      raise self._refuse(first, key, current, allowed=allowed, now=now)
    service.admitted_by_team.setdefault(
      ask.team, program_admission.DecayedRate()
    ).record(now)
    self._record_decision(ask.service, ask.kind, True)
    self.record_opened(first.program, first.request, ask, allowed=allowed)

  def record_opened(
    self,
    program: str,
    request: str,
    ask: turn_messages.AdmissionRequest,
    *,
    allowed: float | None = None,
  ) -> None:
    """Records that a turn of a program begins, or begins again after a resend.

    The program is under way from its first turn on.  `allowed` is the time that
    it had at its first request, None if that is not known.
    """
    now = time.monotonic()
    found = self._program_by_id.get(program)
    if found is None:
      found = _Program(
        service=ask.service,
        kind=ask.kind,
        admitted_at=now,
        idle_since=now,
        allowed=allowed,
      )
      self._program_by_id[program] = found
      self._get_service(ask.service).programs += 1
    elif found.ended_at is not None and found.is_unopened:
      # Its end was not counted.
      self._get_service(found.service).programs += 1
      found.ended_at = None
    elif found.ended_at is not None:
      # The program only paused, so that its end was counted too early.
      service = self._get_service(found.service)
      service.programs += 1
      seconds = found.ended_at - found.admitted_at
      service.ended.take_back(now, 1.0, recorded_at=found.ended_at)
      service.ended_seconds.take_back(now, seconds, recorded_at=found.ended_at)
      if (ratio := _get_duration_ratio(found)) is not None:
        service.ratio_sum.take_back(now, ratio, recorded_at=found.ended_at)
        service.timed.take_back(now, 1.0, recorded_at=found.ended_at)
      found.ended_at = None
    found.is_unopened = False
    found.deadline_by_request[request] = (
      now + ask.turn_seconds + CLOSE_GRACE_SECONDS
    )

  def record_closed(
    self, program: str, request: str, *, has_run: bool = True
  ) -> None:
    """Records that a turn ended, or did not begin, if it is known here."""
    found = self._program_by_id.get(program)
    if found is None:
      return
    if found.deadline_by_request.pop(request, None) is not None:
      found.idle_since = time.monotonic()
      found.has_ended_turn |= has_run
      found.is_unopened = not (
        has_run or found.has_ended_turn or found.deadline_by_request
      )

  def _expire(self, now: float) -> None:
    self._expired_at = now
    for id, found in list(self._program_by_id.items()):
      if found.ended_at is not None:
        if now - found.ended_at >= ENDED_TTL_SECONDS:
          del self._program_by_id[id]
          self._learn(found)
        continue
      found.expire_turns(now)
      idle_until = found.idle_since + self._policy.idle_seconds
      if not found.deadline_by_request and now >= idle_until:
        found.ended_at = now
        service = self._get_service(found.service)
        service.programs -= 1
        if found.is_unopened:
          continue
        service.ended.record(now)
        service.ended_seconds.record(now, now - found.admitted_at)
        if (ratio := _get_duration_ratio(found)) is not None:
          service.ratio_sum.record(now, ratio)
          service.timed.record(now)
    self._ticket_by_program = {
      program: ticket
      for program, ticket in self._ticket_by_program.items()
      if now < ticket.forget_at
    }

  def _learn(self, ended: _Program) -> None:
    sample = _get_duration_ratio(ended)
    if sample is None:
      return
    ratio = self._get_ratio(ended.kind)
    self._ratio_by_kind[ended.kind] = ratio + LEARN_WEIGHT * (sample - ratio)

  def _get_ratio(self, kind: str) -> float:
    return self._ratio_by_kind.get(kind, self._policy.initial_duration)

  def _keep_weight(self, team: str, weight: float) -> None:
    if len(self._told_weight_by_team) >= MAX_KEPT_WEIGHTS:
      self._told_weight_by_team.clear()
    self._told_weight_by_team[team] = weight

  # --- Decisions --------------------------------------------------------------

  def _take(
    self,
    service: _Service,
    key: program_admission.ClassKey,
    current: _CurrentPlan,
  ) -> bool:
    if current.state.slots <= 0:
      return True
    if current.limit is not None:
      return service.programs < current.limit
    fraction = current.plan.get_fraction(key)
    if fraction >= 1.0:
      return True
    rank = key[:2]
    credit = service.credit_by_rank.get(rank)
    if credit is None:
      level = program_admission.get_initial_credit(self._members.me.name, rank)
      credit = program_admission.Credit(level=level)
      service.credit_by_rank[rank] = credit
    return credit.take(fraction)

  def _refuse(
    self,
    first: FirstTurn,
    key: program_admission.ClassKey,
    current: _CurrentPlan,
    *,
    allowed: float | None,
    now: float,
  ) -> errors.WoadrunError:
    """Keeps a ticket for a program, and returns the error to raise."""
    ask = first.ask
    delay = program_admission.estimate_retry_after(
      current.state, current.plan, waiting=current.waiting + current.refused
    )
    current.refused += 1
    left = delay if ask.seconds_left is None else ask.seconds_left
    self._put_ticket(
      first.program,
      _Ticket(
        service=ask.service,
        allowed=allowed,
        due_at=now + delay,
        forget_at=now + max(0.0, left),
      ),
    )
    self._record_decision(ask.service, ask.kind, False)
    state = current.state
    log.info(
      'Request %s: program %s is refused by service %s: kind %s, team %s, '
      'priority %d, order %d, capacity %.1f, %d programs under way, %d turns '
      'in %d slots, %.1f programs/s asked, budget %.1f/s, %s, return in '
      '%.2f s.',
      first.request,
      first.program,
      ask.service,
      ask.kind,
      ask.team or 'none',
      key.priority,
      key.order,
      current.plan.capacity,
      state.programs,
      state.running,
      state.slots,
      sum(state.asked_per_second.values()),
      current.plan.budget,
      f'fraction {current.plan.get_fraction(key):.3f}'
      if current.limit is None
      else f'no sums, at most {current.limit} programs of this daemon',
      delay,
    )
    return errors.WoadrunError(
      errors.Code.SERVICE_FULL,
      f'Service {ask.service} has no room for one more program.',
      retry_after=delay,
    )

  def _put_ticket(self, program: str, ticket: _Ticket) -> None:
    if len(self._ticket_by_program) >= MAX_TICKETS:
      del self._ticket_by_program[next(iter(self._ticket_by_program))]
    self._ticket_by_program[program] = ticket

  def _get_current_plan(self, name: str, now: float) -> _CurrentPlan:
    """Returns the plan for a service, made anew from time to time."""
    service = self._get_service(name)
    current = service.current
    service.requests_of_plan += 1
    if (
      current is None
      or now - current.made_at >= PLAN_TTL_SECONDS
      or service.requests_of_plan > MAX_REQUESTS_PER_PLAN
    ):
      current = service.current = self._make_current_plan(name, now)
      service.requests_of_plan = 1
    return current

  def _make_current_plan(self, name: str, now: float) -> _CurrentPlan:
    service = self._get_service(name)
    load = self._measure(name, now)
    if service.sampled_at == -math.inf:
      self._sample_turns(name, now)
    total, is_known = self._sum(name, now)
    state = program_admission.ServiceState(
      slots=load.slots,
      running=load.running,
      programs=max(0, total.programs),
      ended_per_second=total.ended,
      asked_per_second={
        hubs.decode_class(text): per_second
        for text, per_second in total.asked.items()
      },
      turns_per_program=service.turns_per_program.get(),
      seconds_per_program=service.seconds_per_program.get(),
      duration_ratio=service.duration_ratio.get(),
    )
    plan = program_admission.make_plan(
      state,
      weight_by_team=self._get_weight_by_team(state.asked_per_second),
      policy=self._policy,
    )
    limit = None
    if not is_known:
      limit = program_admission.get_lone_limit(
        capacity=plan.capacity, members=len(self._members.find_active_names())
      )
    return _CurrentPlan(
      made_at=now,
      state=state,
      plan=plan,
      waiting=max(0, total.waiting),
      limit=limit,
    )

  def _get_weight_by_team(
    self, classes: Iterable[program_admission.ClassKey]
  ) -> dict[str, float]:
    """Returns the weights of the named teams, and of all others as one."""
    configured, total = self._get_weights()
    named = {key.team for key in classes} - {program_admission.OTHER_TEAMS}
    weight_by_team = {
      team: configured.get(team) or self._told_weight_by_team.get(team, 1.0)
      for team in named
    }
    others = total - sum(weight_by_team.values())
    weight_by_team[program_admission.OTHER_TEAMS] = max(1.0, others)
    return weight_by_team

  # --- Measurements -----------------------------------------------------------

  def _get_service(self, name: str) -> _Service:
    service = self._service_by_name.get(name)
    if service is None:
      service = self._service_by_name[name] = _Service()
      service.duration_ratio.initial = self._policy.initial_duration
      # Damps the first samples, of programs whose first turn is yet to begin.
      service.turns_per_program.record(
        program_admission.INITIAL_TURNS_PER_PROGRAM, 1.0, 0.0
      )
    return service

  def _measure(self, name: str, now: float) -> loads.ServiceLoad:
    service = self._get_service(name)
    if service.load is None or now >= service.measure_at:
      service.load = self._measure_load(name)
      service.measure_at = now + max(
        MEASURE_INTERVAL_SECONDS,
        MEASURE_INTERVAL_SECONDS_PER_INSTANCE * service.load.instances,
      )
    return service.load

  def _sample_turns(self, name: str, now: float) -> None:
    """Adds a sample of running turns, and of ended programs, to the ratios."""
    service = self._get_service(name)
    total, is_known = self._sum(name, now)
    programs = total.programs
    if not is_known or programs <= 0:
      return
    if total.ended >= MIN_RATE and total.ended_seconds > 0:
      service.seconds_per_program.record(total.ended_seconds, total.ended, now)
    if total.ratio_sum > 0 and total.timed > 0:
      service.duration_ratio.record(total.ratio_sum, total.timed, now)
    seconds = min(MAX_SAMPLE_SECONDS, now - service.sampled_at)
    service.sampled_at = now
    service.sampled_seconds += seconds
    service.turns_per_program.record(
      self._measure(name, now).running, programs, service.sampled_seconds
    )

  # --- Demand of all daemons --------------------------------------------------

  def report(self) -> dict[str, fleet_heartbeats.ServiceDemand]:
    """Returns the demand at this daemon for its next heartbeat, by service.

    Services without any are left out.  Also takes a sample of the running
    turns.
    """
    now = time.monotonic()
    self._expire(now)
    # Services that nobody asked for here yet are sampled as well, so that the
    # first decision is as good as the others.
    for name in {*self._service_by_name, *self._find_reported_services()}:
      self._sample_turns(name, now)
    found = {
      name: self._make_demand(name, now) for name in self._service_by_name
    }
    nothing = fleet_heartbeats.ServiceDemand()
    self._last_sent = {
      name: demand for name, demand in found.items() if demand != nothing
    }
    return self._last_sent

  def _make_demand(
    self, name: str, now: float
  ) -> fleet_heartbeats.ServiceDemand:
    """Returns the demand for a service at this daemon."""
    service = self._get_service(name)
    rates = service.asked_by_class
    for key in [k for k, rate in rates.items() if rate.get(now) < MIN_RATE]:
      del rates[key]
    asked = {
      hubs.encode_class(key): rate.get(now) for key, rate in rates.items()
    }
    return fleet_heartbeats.ServiceDemand(
      programs=service.programs,
      waiting=sum(
        ticket.service == name and now < ticket.due_at
        for ticket in self._ticket_by_program.values()
      ),
      ended=_round_rate(service.ended.get(now)),
      ended_seconds=_round_rate(service.ended_seconds.get(now)),
      ratio_sum=_round_rate(service.ratio_sum.get(now)),
      timed=_round_rate(service.timed.get(now)),
      asked=hubs.name_heaviest(asked),
    )

  def _find_reported_services(self) -> set[str]:
    reports = (
      self._elsewhere,
      *self._report_by_domain.values(),
      *self._report_by_peer.values(),
    )
    return {name for report in reports for name in report.demand}

  def record_peer(self, heartbeat: fleet_heartbeats.FleetHeartbeat) -> None:
    """Stores the demand in a peer's heartbeat, in a small fleet."""
    self._report_by_peer[heartbeat.name] = _Report(
      at=time.monotonic(), demand=heartbeat.demand
    )

  def record_domain(self, digest: fleet_heartbeats.Digest) -> None:
    """Stores the demand of a domain; a digest without counts is ignored."""
    if digest.running is not None:
      self._report_by_domain[digest.domain] = _Report(
        at=time.monotonic() - digest.age, demand=digest.demand
      )

  def record_elsewhere(
    self, demand: dict[str, fleet_heartbeats.ServiceDemand]
  ) -> None:
    """Stores the demand of all other domains, as summed by a hub."""
    self._elsewhere = _Report(at=time.monotonic(), demand=demand)

  def _sum(
    self, name: str, now: float
  ) -> tuple[fleet_heartbeats.ServiceDemand, bool]:
    """Returns the demand of all reachable daemons for a service.

    The second value tells whether the demand of the others is known.  It is not
    if there is none: in a fleet that starts anew, the heartbeats with it are
    yet to come.
    """
    own = self._make_demand(name, now)
    if self._members.is_full_mesh:
      return self._sum_of_peers(name, own, now)
    return self._sum_of_domains(name, own, now)

  def _sum_of_peers(
    self, name: str, own: fleet_heartbeats.ServiceDemand, now: float
  ) -> tuple[fleet_heartbeats.ServiceDemand, bool]:
    oldest = now - program_admission.MAX_SUMS_AGE_SECONDS
    self._report_by_peer = {
      peer: report
      for peer, report in self._report_by_peer.items()
      if report.at >= oldest
    }
    reports = self._report_by_peer.values()
    others = len(self._members.find_active_names()) - 1
    # The reports of most of the others suffice: a peer that has just been lost
    # counts as alive for a while.
    is_known = not others or (
      2 * len(reports) >= others
      and any(
        name in d for d in (self._last_sent, *(r.demand for r in reports))
      )
    )
    return _add(name, [{name: own}, *(r.demand for r in reports)]), is_known

  def _sum_of_domains(
    self, name: str, own: fleet_heartbeats.ServiceDemand, now: float
  ) -> tuple[fleet_heartbeats.ServiceDemand, bool]:
    me = self._members.me.domain
    oldest = now - program_admission.MAX_SUMS_AGE_SECONDS
    self._report_by_domain = {
      domain: report
      for domain, report in self._report_by_domain.items()
      if report.at >= oldest
    }
    reports = self._report_by_domain
    has_all = all(
      domain in reports or self._members.is_domain_silent(domain)
      for domain in self._members.domains
    )
    seconds = now - self._elsewhere.at
    # When the hub that sends sums is lost, the other one begins to send them
    # only after it has suspected the first.  Until then the last ones are used.
    uses_elsewhere = seconds < ELSEWHERE_TTL_SECONDS or (
      not has_all and seconds < program_admission.MAX_SUMS_AGE_SECONDS
    )
    if uses_elsewhere:
      others = [self._elsewhere.demand]
    else:
      others = [r.demand for domain, r in reports.items() if domain != me]
    is_known = uses_elsewhere or has_all
    if me not in reports:
      return _add(name, [{name: own}, *others]), False
    total = _add(name, [reports[me].demand, *others])
    # The sums have what this daemon reported last.  Its demand by class is left
    # as it is there: a class may have been summed under another team.
    sent = self._last_sent.get(name, fleet_heartbeats.ServiceDemand())
    total.programs += own.programs - sent.programs
    total.waiting += own.waiting - sent.waiting
    total.ended += own.ended - sent.ended
    total.ended_seconds += own.ended_seconds - sent.ended_seconds
    total.ratio_sum += own.ratio_sum - sent.ratio_sum
    total.timed += own.timed - sent.timed
    has_demand = any(name in d for d in (reports[me].demand, *others))
    return total, is_known and has_demand

  # --- Metrics ----------------------------------------------------------------

  def read_gauges(self) -> dict[counters.GaugeKey, float]:
    """Returns the state of each service that programs asked for."""
    now = time.monotonic()
    gauges: dict[counters.GaugeKey, float] = {}
    for name, service in self._service_by_name.items():
      current = self._make_current_plan(name, now)
      plan, state = current.plan, current.state
      for gauge, value in (
        ('capacity_programs', plan.capacity),
        ('programs', state.programs),
        ('programs_waiting', current.waiting),
        ('running', state.running),
        ('slots', state.slots),
        ('budget_per_second', plan.budget),
      ):
        gauges[counters.GaugeKey(f'service_{gauge}', (('service', name),))] = (
          value
        )
      for key, fraction in plan.fraction_by_class.items():
        labels = (
          ('service', name),
          ('priority', str(key.priority)),
          ('order', str(key.order)),
          ('team', key.team),
        )
        gauges[counters.GaugeKey('service_admitted_fraction', labels)] = (
          fraction
        )
      gauges.update(_read_team_gauges(name, service, now))
    return gauges


def _read_team_gauges(
  name: str, service: _Service, now: float
) -> dict[counters.GaugeKey, float]:
  """Returns the programs asked for and admitted here, of the heaviest teams."""
  asked_by_team: dict[str, float] = {}
  for key, rate in service.asked_by_class.items():
    asked_by_team[key.team] = asked_by_team.get(key.team, 0.0) + rate.get(now)
  service.admitted_by_team = {
    team: rate
    for team, rate in service.admitted_by_team.items()
    if rate.get(now) >= MIN_RATE
  }
  heaviest = sorted(
    asked_by_team, key=lambda team: asked_by_team[team], reverse=True
  )
  gauges: dict[counters.GaugeKey, float] = {}
  for team in heaviest[: program_admission.MAX_NAMED_TEAMS]:
    labels = (('service', name), ('team', team))
    admitted = service.admitted_by_team.get(team)
    gauges[counters.GaugeKey('team_programs_asked_per_second', labels)] = (
      asked_by_team[team]
    )
    gauges[counters.GaugeKey('team_programs_admitted_per_second', labels)] = (
      admitted.get(now) if admitted else 0.0
    )
  return gauges


def _get_duration_ratio(found: _Program) -> float | None:
  """Returns the part that an ended program used of the time that it had.

  It is at most MAX_USED_RATIO, and None if the program had no finish time or no
  turn of it has run.
  """
  if not found.allowed or not found.has_ended_turn:
    return None
  seconds = found.idle_since - found.admitted_at
  return min(MAX_USED_RATIO, seconds / found.allowed)


def _round_rate(per_second: float) -> float:
  return round(per_second, 2) if abs(per_second) >= MIN_RATE else 0.0


def _add(
  name: str, demands: list[Mapping[str, fleet_heartbeats.ServiceDemand]]
) -> fleet_heartbeats.ServiceDemand:
  """Returns the sum of the demand for one service."""
  parts = [{name: each[name]} for each in demands if name in each]
  return hubs.sum_demand(parts).get(name) or fleet_heartbeats.ServiceDemand()
