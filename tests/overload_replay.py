"""Replays of overload: clients, deciders and engines in one event loop.

Deciders use sums that are 0.25 to 0.5 s old.  The loop is deterministic: it has
its own clock, and all random draws come from one seed.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random
import sys

from woadrun.decisions import admission_policy
from woadrun.decisions import program_admission

TICK_SECONDS = 0.25
SLOTS = 6
QUEUE_LENGTH = 6
# A turn alone at an idle engine of speed 1; a turn at a full one takes a
# quarter longer.
TURN_SECONDS = 0.13
SLOWDOWN = 0.25
PAUSE_SECONDS = 0.08
TEAMS = 73
# Callers wait this long for an answer, and obey a time to return up to a third
# of that.
DEADLINE_SECONDS = 3.0
# The team that asks for more in load b: a tenth of the usual demand.
HOT_TEAM = 'team-1'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
  priority: int
  turns: int
  factor: float
  extra: float
  late_worth: float = 0.45

  @property
  def allowed(self) -> float:
    turn = TURN_SECONDS + PAUSE_SECONDS
    return self.factor * (self.turns * turn - PAUSE_SECONDS) + self.extra


KINDS_A = (
  Kind(priority=0, turns=4, factor=1.4, extra=0.2),
  Kind(priority=2, turns=7, factor=1.5, extra=0.4),
)
KINDS_B = (
  Kind(priority=0, turns=3, factor=1.3, extra=0.25),
  Kind(priority=2, turns=11, factor=1.2, extra=0.25, late_worth=0.3),
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
  """What clients ask for.

  `rate` is relative to nine tenths of the slots.  `team_factor` multiplies the
  programs of `HOT_TEAM`.  `removed` is the fraction of the engines that accept
  no turn.  `returning` programs begin within the first second, when all
  deciders are new.  Programs that begin in the span `counted` are counted.
  """

  seconds: float = 12.0
  rate: Callable[[float], float] = lambda now: 0.7
  team_factor: float = 1.0
  domain_weights: tuple[float, ...] = (1, 1, 1)
  removed: Callable[[float], float] = lambda now: 0.0
  returning: int = 0
  counted: tuple[float, float] = (4.0, 9.0)


def is_burst(now):
  return 4 <= now < 9


def make_loads(deciders):
  """Returns the loads of docs/hard-load.md, part 1, by name."""
  return {
    'full': Load(rate=lambda now: 0.8),
    '2.5 x': Load(rate=lambda now: 2.0 if is_burst(now) else 0.8),
    'a': Load(rate=lambda now: 0.7 * 2.6 if is_burst(now) else 0.7),
    'b': Load(team_factor=7.0),
    'c': Load(
      rate=lambda now: 0.8, removed=lambda now: is_burst(now) and 1 / 3
    ),
    'd': Load(
      rate=lambda now: 0.75 * (1 + 0.35 * math.sin(math.pi * now)),
      domain_weights=(1.45, 0.775, 0.775),
    ),
    'e': Load(returning=600 * deciders // 61, counted=(0.0, 5.0)),
  }


@dataclasses.dataclass(eq=False, kw_only=True)
class Program:
  kind: Kind
  team: str
  domain: int
  decider: int
  asked_at: float
  finish: float
  is_counted: bool
  ticket: bool = False
  admitted_at: float = 0.0
  turns: int = 0
  resends: int = 0
  sends: int = 0
  outcome: str = ''


@dataclasses.dataclass(eq=False, kw_only=True)
class Engine:
  speed: float
  is_removed: bool = False
  running: int = 0
  # Turns in progress as the deciders know them.
  known: int = 0
  queue: list = dataclasses.field(default_factory=list)


class Replay:
  """Plays one load.  `mode` is 'none', 'fixed' or 'plan'."""

  def __init__(
    self,
    *,
    load,
    mode='plan',
    deciders=61,
    engines=19,
    kinds=KINDS_A,
    uneven=False,
    seed=1,
  ):
    self.load = make_loads(deciders)[load]
    self.mode = mode
    self.deciders = deciders
    self.kinds = kinds
    self.random = random.Random(seed)
    self.engines = [
      Engine(speed=(1.7 if n % 3 == 0 else 0.7) if uneven else 1.0)
      for n in range(engines)
    ]
    self.now = 0.0
    self.events = []
    self.numbers = itertools.count()
    self.programs = []
    self.under_way = 0
    self.under_way_by_decider = collections.Counter()
    self.waiting = 0
    self.needless_at = []
    self.refused_below_capacity = 0
    self.credits = {}
    self.ended = program_admission.DecayedRate(half_life=1.0)
    self.asked_by_class = collections.defaultdict(program_admission.DecayedRate)
    self.turns_per_program = program_admission.DecayedRatio()
    self.ended_seconds = program_admission.DecayedRate(half_life=1.0)
    self.seconds_per_program = program_admission.DecayedRatio(
      initial=program_admission.INITIAL_SECONDS_PER_PROGRAM
    )
    self.ratio_by_kind = dict.fromkeys(kinds, 0.75)
    self.sums = self.plan = None
    self.history = []
    size_by_team = {f'team-{n}': 1 / (n + 2) for n in range(TEAMS)}
    self.weight_by_team = {t: 160 * s for t, s in size_by_team.items()}
    size_by_team[HOT_TEAM] *= self.load.team_factor
    self.teams = list(size_by_team)
    self.team_weights = list(itertools.accumulate(size_by_team.values()))
    turns = sum(kind.turns for kind in kinds) / len(kinds)
    seconds = TURN_SECONDS * (1 + 0.9 * SLOWDOWN) * turns
    speed = sum(engine.speed for engine in self.engines)
    self.capacity_rate = 0.9 * SLOTS * speed / seconds
    usual = sum(self.weight_by_team.values())
    self.growth = 160 * self.team_weights[-1] / usual

  def schedule(self, delay, function, *arguments):
    event = (self.now + delay, next(self.numbers), function, arguments)
    heapq.heappush(self.events, event)

  def run(self):
    self.schedule(0, self.tick)
    self.schedule(0, self.arrive)
    for _ in range(self.load.returning):
      delay = self.random.random()
      self.schedule(delay, self.begin, 0.3)
    while self.events:
      self.now, _, function, arguments = heapq.heappop(self.events)
      function(*arguments)
    return self

  def arrive(self):
    rate = self.load.rate(self.now) * self.growth * self.capacity_rate
    self.schedule(self.random.expovariate(max(rate, 1e-6)), self.arrive_next)

  def arrive_next(self):
    if self.now < self.load.seconds:
      self.begin(0.0)
      self.arrive()

  def begin(self, spent):
    kind = self.random.choice(self.kinds)
    weights = self.load.domain_weights
    domain = self.random.choices(range(len(weights)), weights)[0]
    decider = self.random.randrange(domain, self.deciders, len(weights))
    first, last = self.load.counted
    program = Program(
      kind=kind,
      team=self.random.choices(self.teams, cum_weights=self.team_weights)[0],
      domain=domain,
      decider=decider,
      asked_at=self.now,
      finish=self.now + kind.allowed * (1 - spent),
      is_counted=first <= self.now < last,
    )
    self.programs.append(program)
    self.ask(program)

  # Deciders.

  def tick(self):
    if self.sums and program_admission.has_demand(self.sums):
      self.plan = program_admission.make_plan(
        self.sums, weight_by_team=self.get_weights(self.sums)
      )
    share = self.load.removed(self.now)
    for number, engine in enumerate(self.engines):
      engine.is_removed = number < share * len(self.engines)
      engine.known = engine.running + len(engine.queue)
    running = sum(engine.known for engine in self.engines)
    slots = sum(SLOTS for engine in self.engines if not engine.is_removed)
    self.turns_per_program.record(running, self.under_way, self.now)
    if self.ended.get(self.now):
      self.seconds_per_program.record(
        self.ended_seconds.get(self.now), self.ended.get(self.now), self.now
      )
    self.sums = program_admission.ServiceState(
      slots=slots,
      running=running,
      programs=self.under_way,
      ended_per_second=self.ended.get(self.now),
      asked_per_second=self.get_asked(),
      turns_per_program=self.turns_per_program.get(),
      seconds_per_program=self.seconds_per_program.get(),
    )
    self.history.append((self.now, running, self.under_way, self.plan))
    if self.now < self.load.seconds + 4:
      self.schedule(TICK_SECONDS, self.tick)

  def get_weights(self, sums):
    named = {key.team for key in sums.asked_per_second} & set(self.teams)
    weight_by_team = {team: self.weight_by_team[team] for team in named}
    others = sum(self.weight_by_team.values()) - sum(weight_by_team.values())
    weight_by_team[program_admission.OTHER_TEAMS] = others
    return weight_by_team

  def get_asked(self):
    asked_by_team = collections.Counter()
    for key, rate in self.asked_by_class.items():
      asked_by_team[key.team] += rate.get(self.now)
    named = asked_by_team.most_common(program_admission.MAX_NAMED_TEAMS)
    teams = {team for team, _ in named}
    asked = collections.Counter()
    for key, rate in self.asked_by_class.items():
      team = key.team if key.team in teams else program_admission.OTHER_TEAMS
      asked[key._replace(team=team)] += rate.get(self.now)
    return dict(asked)

  def ask(self, program):
    kind, decider = program.kind, program.decider
    left = program.finish - self.now
    ratio = self.ratio_by_kind[kind]
    order = program_admission.get_order(
      allowed=kind.allowed, left=left, ratio=ratio
    )
    key = program_admission.ClassKey(kind.priority, order, program.team)
    self.asked_by_class[key].record(self.now)
    if program.ticket:
      self.waiting -= 1
    if self.is_admitted(decider, key):
      program.admitted_at = self.now
      self.under_way += 1
      self.under_way_by_decider[decider] += 1
      self.send(program)
      return
    self.note_refusal()
    if program.ticket:
      program.outcome = 'refused'
      return
    program.ticket = True
    self.waiting += 1
    plan = self.plan or program_admission.make_plan(
      self.sums, weight_by_team=self.get_weights(self.sums)
    )
    delay = program_admission.estimate_retry_after(
      self.sums, plan, waiting=self.waiting - 1
    )
    delay = min(delay, DEADLINE_SECONDS / 3)
    self.schedule(delay, self.ask, program)

  def is_admitted(self, decider, key):
    if self.mode == 'none':
      return True
    own = self.under_way_by_decider[decider]
    slots = sum(SLOTS for engine in self.engines if not engine.is_removed)
    if self.mode == 'fixed':
      return own < 1.4 * slots / self.deciders
    if self.plan is None:
      capacity = program_admission.estimate_capacity(
        slots=slots, turns_per_program=self.turns_per_program.get()
      )
      return own < program_admission.get_lone_limit(
        capacity=capacity, members=self.deciders
      )
    rank = (decider, key.priority, key.order)
    credit = self.credits.get(rank)
    if credit is None:
      level = program_admission.get_initial_credit(str(decider), key[:2])
      credit = self.credits[rank] = program_admission.Credit(level=level)
    return credit.take(self.plan.get_fraction(key))

  def note_refusal(self):
    """Notes a refusal although there is room.

    A tenth of the slots is free and the capacity is not reached.  It is
    needless if all programs asked for during the greatest age of the sums would
    fit into the capacity.
    """
    if not self.plan:
      return
    running = sum(e.running + len(e.queue) for e in self.engines)
    slots = sum(SLOTS for engine in self.engines if not engine.is_removed)
    asked = sum(rate.get(self.now) for rate in self.asked_by_class.values())
    room = self.plan.capacity - self.under_way
    if running > 0.9 * slots or room <= 0:
      return
    self.refused_below_capacity += 1
    if room >= 2 * TICK_SECONDS * asked:
      self.needless_at.append(self.now)

  def expire(self, program, sends):
    if program.sends == sends:
      self.under_way -= 1
      self.ended_seconds.record(self.now, self.now - program.admitted_at)
      self.under_way_by_decider[program.decider] -= 1
      self.ended.record(self.now)

  # Turns.

  def send(self, program):
    program.sends += 1
    usable = [engine for engine in self.engines if not engine.is_removed]
    drawn = self.random.sample(usable, min(3, len(usable)))
    engine = min(drawn, key=lambda e: (e.known + 1) / e.speed)
    if engine.running < SLOTS:
      self.start(engine, program)
    elif len(engine.queue) < QUEUE_LENGTH:
      item = (program.kind.priority, next(self.numbers), self.now, program)
      heapq.heappush(engine.queue, item)
    else:
      self.fail(program)

  def start(self, engine, program):
    engine.running += 1
    full = engine.running / SLOTS
    draw = self.random.uniform(0.5, 1.5)
    seconds = TURN_SECONDS * draw * (1 + SLOWDOWN * full) / engine.speed
    self.schedule(seconds, self.end_turn, engine, program)

  def end_turn(self, engine, program):
    engine.running -= 1
    while engine.queue and engine.running < SLOTS:
      _, _, queued_at, next_program = heapq.heappop(engine.queue)
      if self.now - queued_at > 2.5:
        self.fail(next_program)
      else:
        self.start(engine, next_program)
    program.turns += 1
    self.close(program)
    if program.turns < program.kind.turns:
      pause = self.random.uniform(0.5, 1.5) * PAUSE_SECONDS
      self.schedule(pause, self.send, program)
      return
    program.outcome = 'in time' if self.now <= program.finish else 'late'
    ratio = (self.now - program.asked_at) / program.kind.allowed
    kind = program.kind
    self.ratio_by_kind[kind] += 0.02 * (ratio - self.ratio_by_kind[kind])

  def fail(self, program):
    self.close(program)
    program.resends += 1
    if program.resends > 2:
      program.outcome = 'failed'
      return
    self.schedule(self.random.uniform(0.1, 0.4), self.send, program)

  def close(self, program):
    self.schedule(
      admission_policy.DEFAULT.idle_seconds, self.expire, program, program.sends
    )

  # Results.

  def get_counted(self, **values):
    """Returns the counted programs that have all these values."""
    return [
      program
      for program in self.programs
      if program.is_counted
      and all(getattr(program, k) == v for k, v in values.items())
    ]

  def get_part(self, *, outcomes=('in time',), **values):
    """Returns the part of such programs that had one of the outcomes."""
    counted = self.get_counted(**values)
    return sum(p.outcome in outcomes for p in counted) / max(1, len(counted))

  def get_worst(self, field, *, outcomes=('in time', 'late'), at_least=20):
    """Returns the least part served of a team, domain or kind.

    The team that asks for too much is left out, as are values with few
    programs.
    """
    totals = collections.Counter(
      getattr(program, field) for program in self.get_counted()
    )
    without = HOT_TEAM if self.load.team_factor > 1 else None
    return min(
      self.get_part(outcomes=outcomes, **{field: value})
      for value, total in totals.items()
      if total >= at_least and value != without
    )


def make_fleet(deciders):
  """Returns the deployment with so many deciders."""
  if deciders == 81:
    return {
      'deciders': 81,
      'engines': 18,
      'kinds': KINDS_B,
      'uneven': True,
    }
  return {'deciders': deciders, 'engines': 19 * deciders // 61}


def main():
  """Prints the table of docs/design/admission.md, means of three seeds.

  The arguments are numbers of deciders.
  """
  names = (
    *('deciders', 'load', 'rule', 'asked', 'in time', 'late', 'refused'),
    *('failed', 'worst team', 'worst domain', 'worst kind'),
    *('refused below capacity', 'needless'),
  )
  print('| ' + ' | '.join(names) + ' |')
  print('|' + '---|' * len(names))
  for deciders, load, mode in itertools.product(
    map(int, sys.argv[1:]), make_loads(61), ('none', 'fixed', 'plan')
  ):
    replays = [
      Replay(load=load, mode=mode, seed=seed, **make_fleet(deciders)).run()
      for seed in (1, 2, 3)
    ]
    counts = [
      sum(len(r.get_counted(**values)) for r in replays) // 3
      for values in (
        {},
        {'outcome': 'in time'},
        {'outcome': 'late'},
        {'outcome': 'refused'},
        {'outcome': 'failed'},
      )
    ]
    worst = [
      f'{sum(r.get_worst(field) for r in replays) / 3:.2f}'
      for field in ('team', 'domain', 'kind')
    ]
    below = sum(r.refused_below_capacity for r in replays) // 3
    needless = sum(len(r.needless_at) for r in replays) / 3
    rule = {'none': 'none', 'fixed': 'fixed limit', 'plan': 'this one'}[mode]
    values = [deciders, load, rule, *counts, *worst, below, f'{needless:.1f}']
    print('| ' + ' | '.join(map(str, values)) + ' |', flush=True)


if __name__ == '__main__':
  main()
