"""Admission of programs: invariants of plans, and replays of overload."""

import dataclasses
import functools

import hypothesis
from hypothesis import strategies
import overload_replay
import pytest

from woadrun.decisions import program_admission

CLASSES = strategies.builds(
  program_admission.ClassKey,
  strategies.sampled_from([0, 1, 2]),
  strategies.sampled_from([program_admission.IN_TIME, program_admission.LATE]),
  strategies.sampled_from(['', 'a', 'b', 'c']),
)
RATES = strategies.floats(0.01, 1000)
STATES = strategies.builds(
  program_admission.ServiceState,
  slots=strategies.floats(0, 1000),
  running=strategies.floats(0, 1000),
  programs=strategies.floats(0, 1000),
  ended_per_second=RATES,
  asked_per_second=strategies.dictionaries(CLASSES, RATES, min_size=1),
  turns_per_program=strategies.floats(0.1, 2),
  seconds_per_program=strategies.none() | strategies.floats(0.1, 10),
  duration_ratio=strategies.none() | strategies.floats(0.1, 10),
)
EPSILON = 1e-6


@hypothesis.given(
  state=STATES,
  weight_by_team=strategies.dictionaries(strategies.sampled_from('abc'), RATES),
)
def test_plan_divides_the_budget(state, weight_by_team):
  plan = program_admission.make_plan(state, weight_by_team=weight_by_team)
  asked = state.asked_per_second
  fractions = plan.fraction_by_class
  assert fractions.keys() == asked.keys()
  assert all(0 <= fraction <= 1 for fraction in fractions.values())
  total = sum(asked.values())
  admitted = sum(fractions[key] * asked[key] for key in asked)
  # Neither more than the budget nor unused budget while someone is refused.
  assert admitted == pytest.approx(min(plan.budget, total), abs=EPSILON)
  for priority in {key.priority for key in asked}:
    keys = [key for key in asked if key.priority == priority]
    part = sum(asked[key] for key in keys)
    served = sum(fractions[key] * asked[key] for key in keys)
    assert served >= min(part, plan.budget * part / total / 4) - EPSILON
  for key, other in ((k, o) for k in asked for o in asked if k.team == o.team):
    # Within a team, who ranks later gets more than the floor only if all who
    # rank earlier are served.
    if key < other and fractions[key] < 1 - EPSILON:
      floor = plan.min_fraction * sum(
        asked[k] for k in asked if k[::2] == other[::2]
      )
      part = 0 if key.priority == other.priority else floor
      assert fractions[other] * asked[other] <= part + EPSILON


def make_state(asked_per_second, *, programs=0.0):
  return program_admission.ServiceState(
    slots=100.0,
    running=0.0,
    programs=programs,
    ended_per_second=0.0,
    asked_per_second=asked_per_second,
    turns_per_program=1.0,
    seconds_per_program=1.0,
  )


def test_a_team_within_its_part_does_not_pay_for_another():
  # Guards against priorities that come before teams: urgent programs of the
  # team in excess displaced less urgent ones of the others.
  excess = program_admission.ClassKey(0, 1, 'a')
  modest = program_admission.ClassKey(2, 1, 'b')
  plan = program_admission.make_plan(
    make_state({excess: 900.0, modest: 20.0}, programs=85.0), weight_by_team={}
  )
  assert plan.budget == pytest.approx(85.0)
  assert plan.get_fraction(modest) == pytest.approx(1.0)
  assert plan.get_fraction(excess) == pytest.approx(65 / 900)


@pytest.mark.parametrize(
  ('turns_per_program', 'running', 'programs', 'capacity'),
  [
    # Free slots count, but none that the pace or others take.
    (20.0, 5.0, 1.0, 81.0),
    (20.0, 84.0, 1.0, 4.25),
    (20.0, 100.0, 1.0, 4.25),
    # Never more than with one turn for each program.
    (20.0, 5.0, 60.0, 85.0),
    # Programs that pause between their turns.
    (0.5, 0.0, 1.0, 170.0),
    (1.0, 0.0, 1.0, 85.0),
  ],
)
def test_capacity_beside_turns_without_admission(
  turns_per_program, running, programs, capacity
):
  # Guards against refusals while slots are free, and admission while none is.
  state = dataclasses.replace(
    make_state({program_admission.ClassKey(0, 0, ''): 1.0}),
    turns_per_program=turns_per_program,
    running=running,
    programs=programs,
  )
  plan = program_admission.make_plan(state, weight_by_team={})
  assert plan.capacity == pytest.approx(capacity)


def test_a_class_that_the_sums_do_not_name():
  heavy = program_admission.ClassKey(0, 1, 'a')
  others = program_admission.ClassKey(0, 1, program_admission.OTHER_TEAMS)
  plan = program_admission.make_plan(
    make_state({heavy: 900.0, others: 100.0}), weight_by_team={}
  )
  assert 0 < plan.get_fraction(heavy) < plan.get_fraction(others) <= 1
  unnamed = heavy._replace(team='z')
  assert plan.get_fraction(unnamed) == plan.get_fraction(others)
  in_time = unnamed._replace(order=program_admission.IN_TIME)
  assert plan.get_fraction(in_time) == plan.get_fraction(others)
  last = unnamed._replace(priority=7)
  assert plan.get_fraction(last) == plan.min_fraction


def test_sums_without_any_demand_count_as_none():
  # Guards against a fleet that starts anew and admits all until its next sums.
  key = program_admission.ClassKey(0, 1, 'a')
  assert not program_admission.has_demand(make_state({}))
  assert program_admission.has_demand(make_state({key: 1.0}))
  assert program_admission.has_demand(make_state({}, programs=1.0))
  assert program_admission.get_lone_limit(capacity=9.0, members=61) == 1
  assert program_admission.get_lone_limit(capacity=90.0, members=30) == 3


@pytest.mark.parametrize('fraction', [0.0, 0.03, 0.5, 0.9, 1.0])
def test_credits_admit_the_fraction_across_deciders(fraction):
  # Guards against credits that begin at 0: 300 deciders that see one program
  # each would refuse all of them at any fraction below 1.
  admitted = 0
  for number in range(300):
    level = program_admission.get_initial_credit(f'd{number}', (0, 1))
    credit = program_admission.Credit(level=level)
    admitted += credit.take(fraction)
    after = sum(credit.take(fraction) for _ in range(200))
    assert after == pytest.approx(200 * fraction, abs=1)
  assert admitted == pytest.approx(300 * fraction, abs=24)


def test_order_follows_from_the_time_and_the_work_that_are_left():
  order = program_admission.get_order
  assert order(allowed=2.0, left=2.0, ratio=0.5) == program_admission.IN_TIME
  assert order(allowed=2.0, left=1.0, ratio=0.5) == program_admission.IN_TIME
  assert order(allowed=2.0, left=0.9, ratio=0.5) == program_admission.LATE
  assert order(allowed=2.0, left=0.1, ratio=0.5) == program_admission.LATE
  # A first request that leaves too little time is late as well.
  assert order(allowed=2.0, left=2.0, ratio=1.1) == program_admission.LATE
  assert order(allowed=None, left=None, ratio=0.5) == program_admission.IN_TIME


def test_time_to_return_is_that_of_a_free_place():
  # Guards against callers that all return within a second, when the programs
  # that are to end first take longer.
  state = make_state({program_admission.ClassKey(0, 0, 'a'): 900.0})
  state = dataclasses.replace(state, programs=102.0, seconds_per_program=4.0)
  plan = program_admission.make_plan(state, weight_by_team={})
  assert plan.capacity == pytest.approx(85.0)
  estimate = program_admission.estimate_retry_after
  # 102 programs end in 4 s, 17 of which are beyond the capacity; then 85 do.
  first = 17 * 4 / 102 + 4 / 85
  assert estimate(state, plan, waiting=0) == pytest.approx(first)
  assert estimate(state, plan, waiting=85) == pytest.approx(first + 4)
  free = dataclasses.replace(state, programs=3.0)
  plan = program_admission.make_plan(free, weight_by_team={})
  assert estimate(free, plan, waiting=9) == pytest.approx(10 * 4 / 85)
  # However many are ahead, the time is not cut off.
  assert estimate(free, plan, waiting=900) == pytest.approx(901 * 4 / 85)
  # Before any program has ended, and without any capacity or budget.
  unknown = dataclasses.replace(free, seconds_per_program=None)
  initial = program_admission.INITIAL_SECONDS_PER_PROGRAM
  assert estimate(unknown, plan, waiting=0) == pytest.approx(initial / 85)
  closed = dataclasses.replace(state, slots=0.0)
  plan = program_admission.make_plan(closed, weight_by_team={})
  assert (plan.capacity, plan.budget) == (0.0, 0.0)
  assert estimate(closed, plan, waiting=0) == pytest.approx(2 * 4.0)


def test_slow_programs_reduce_the_capacity():
  # Guards against instances that run all their slots so slowly that every
  # program ends late.
  capacity = functools.partial(
    program_admission.estimate_capacity, slots=100.0, turns_per_program=0.5
  )
  whole = capacity()
  assert capacity(duration_ratio=0.5) == capacity(duration_ratio=0.8) == whole
  assert capacity(duration_ratio=1.0) == pytest.approx(0.8 * whole)
  assert capacity(duration_ratio=9.0) == pytest.approx(0.6 * whole)


def test_decayed_rate_and_ratio():
  rate = program_admission.DecayedRate(half_life=1.0)
  for number in range(2000):
    rate.record(number / 100)
  assert rate.get(20.0) == pytest.approx(100, rel=0.01)
  assert rate.get(21.0) == pytest.approx(50, rel=0.01)
  ratio = program_admission.DecayedRatio(half_life=2.0, initial=1.0)
  assert ratio.get() == 1.0
  ratio.record(10.0, 20.0, 0.0)
  assert ratio.get() == 0.5
  ratio.record(20.0, 20.0, 2.0)
  assert ratio.get() == 0.75


def replay(load, deciders, mode='plan'):
  fleet = overload_replay.make_fleet(deciders)
  return overload_replay.Replay(load=load, mode=mode, **fleet).run()


def count_in_time(played):
  return len(played.get_counted(outcome='in time'))


@pytest.mark.parametrize('deciders', [61, 81, 300])
def test_overload_does_not_reduce_programs_in_time(deciders):
  # Without admission, 2.5 times the load leaves a third of them at 61 daemons.
  full = replay('full', deciders)
  assert not full.needless_at
  played = replay('2.5 x', deciders)
  assert count_in_time(played) >= 0.9 * count_in_time(full)
  outcomes = ('in time', 'late')
  served = played.get_part(outcomes=outcomes)
  urgent, other = (
    played.get_part(outcomes=outcomes, kind=kind) for kind in played.kinds
  )
  assert urgent >= other >= served / 4


@pytest.mark.parametrize('load', 'acde')
@pytest.mark.parametrize('deciders', [61, 81, 300])
def test_replay_against_no_admission(load, deciders):
  played = replay(load, deciders)
  # In d, demand exceeds the capacity in no whole wave.
  part = 0.95 if load == 'd' else 1.0
  none = replay(load, deciders, 'none')
  assert played.get_part() >= part * none.get_part()
  assert played.get_worst('domain') >= 0.85 * played.get_part(
    outcomes=('in time', 'late')
  )
  # The sums still tell of the demand of a burst for a second after its end.  In
  # e, refused programs of the first second return within the next one.
  end = 2.0 if load == 'e' else 9.0
  assert all(end <= now < end + 1.5 for now in played.needless_at)
  refused = len(played.get_counted(outcome='refused'))
  assert len(played.needless_at) <= 0.05 * refused


@pytest.mark.parametrize('deciders', [61, 81, 300])
def test_teams_do_not_pay_for_a_team_at_seven_times_its_rate(deciders):
  played = replay('b', deciders)
  others = [
    program
    for program in played.get_counted()
    if program.team != overload_replay.HOT_TEAM
  ]
  refused = sum(program.outcome == 'refused' for program in others)
  assert refused <= 0.03 * len(others)
