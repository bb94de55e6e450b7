"""Admission of new programs to a service when demand exceeds its capacity.

Load pattern: programs of several turns whose turns have a single attempt each.
A turn that finds all instances full fails its program, and the turns that it
has already spent are wasted.  Each decider therefore refuses some programs at
their first turn.  It computes the fraction from sums over all deciders, which
are up to 0.5 s old.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import hashlib
import math
from typing import NamedTuple

from woadrun.decisions import admission_policy
from woadrun.decisions import fair_shares

# The difference between capacity and programs under way is made up over this
# time.  It is longer than the age of the sums (0.5 s), so that hundreds of
# deciders approach the capacity without oscillating.
ADJUST_SECONDS = 1.0
# Older sums are not used.
MAX_SUMS_AGE_SECONDS = 1.5
# Defaults of a decider that has no measurements yet.
INITIAL_TURNS_PER_PROGRAM = 1.0
# Duration of programs that tell no finish time, before any has ended.
INITIAL_SECONDS_PER_PROGRAM = 2.0
# Lower limit of the duration that is expected before any program has ended.
MIN_INITIAL_SECONDS = 0.1
# Half-life of the ratios `turns_per_program` and `seconds_per_program`.
TURNS_HALF_LIFE_SECONDS = 1.5
# A burst has to be noticed within a few heartbeats.
RATE_HALF_LIFE_SECONDS = 0.25
# The heaviest teams are named in sums; all others count as this one team.
MAX_NAMED_TEAMS = 16
OTHER_TEAMS = ''

IN_TIME = 0
LATE = 1


class ClassKey(NamedTuple):
  """A class of programs of one team.

  `priority` is that of the route, 0 the most urgent.  `order` is the order
  within the priority: `IN_TIME` for programs that can still end by their finish
  time, `LATE` for others.  `team` may be `OTHER_TEAMS`.
  """

  priority: int
  order: int
  team: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceState:
  """What a decider knows of a service, summed over all reachable deciders.

  `slots` and `running` are those of the usable instances, `programs` counts
  the programs under way.  `asked_per_second` counts each request for
  admission, also those of returning programs.  `seconds_per_program` is the
  mean time that the recently ended programs were under way; if it is None,
  `ended_per_second` is used instead.  `duration_ratio` is the mean part
  that these programs used, from their admission on, of the time that they had;
  None if it is unknown.
  """

  slots: float
  running: float
  programs: float
  ended_per_second: float
  asked_per_second: dict[ClassKey, float]
  turns_per_program: float
  seconds_per_program: float | None = None
  duration_ratio: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
  """The fraction of the programs of each class that is admitted.

  `capacity` is in programs, `budget` in programs per second.
  `min_fraction` is that of a class which is not in `fraction_by_class` and
  ranks after all others.
  """

  capacity: float
  budget: float
  fraction_by_class: dict[ClassKey, float]
  min_fraction: float = 1.0

  def get_fraction(self, key: ClassKey) -> float:
    """Returns the fraction of a class that is admitted.

    A team that the sums do not name has the fraction of the other teams.  A
    class without any demand in the sums has that of the class served best
    among those that rank the same or later.
    """
    fraction = self.fraction_by_class.get(key)
    if fraction is None:
      fraction = self.fraction_by_class.get(key._replace(team=OTHER_TEAMS))
    if fraction is not None:
      return fraction
    return max(
      (
        fraction
        for other, fraction in self.fraction_by_class.items()
        if other[:2] >= key[:2]
      ),
      default=self.min_fraction,
    )


def estimate_capacity(
  *,
  slots: float,
  turns_per_program: float,
  duration_ratio: float | None = None,
  policy: admission_policy.AdmissionPolicy = admission_policy.DEFAULT,
) -> float:
  """Returns the number of programs that a service can have under way.

  It is less if the programs that ended recently needed more than
  `policy.target_duration` of the time that they had: turns that run beside
  others are slower, long before all slots are taken.
  """
  usable = _count_usable_slots(
    slots=slots, duration_ratio=duration_ratio, policy=policy
  )
  return usable / max(1e-3, turns_per_program)


def _count_usable_slots(
  *,
  slots: float,
  duration_ratio: float | None,
  policy: admission_policy.AdmissionPolicy,
) -> float:
  pace = 1.0
  if duration_ratio is not None:
    target = policy.target_duration
    pace = target / max(target, duration_ratio)
  return policy.usable_slots * max(policy.least_capacity, pace) * slots


def _find_capacity(
  state: ServiceState, policy: admission_policy.AdmissionPolicy
) -> float:
  """Returns the capacity by the turns of programs, or by the free slots.

  Turns of routes without admission count as running, but their programs do not
  count as under way.  For some seconds after a burst of them,
  `turns_per_program` is far above 1.  As many programs may then begin as there
  are usable slots without a turn.
  """
  capacity = estimate_capacity(
    slots=state.slots,
    turns_per_program=state.turns_per_program,
    duration_ratio=state.duration_ratio,
    policy=policy,
  )
  if state.turns_per_program <= INITIAL_TURNS_PER_PROGRAM:
    return capacity
  usable = _count_usable_slots(
    slots=state.slots, duration_ratio=state.duration_ratio, policy=policy
  )
  free = max(0.0, usable - state.running)
  return max(capacity, min(usable, state.programs + free))


def get_lone_limit(*, capacity: float, members: int) -> int:
  """Returns how many programs a decider without recent sums has under way.

  This is its part of the capacity among all live members, at least 1.
  """
  return max(1, int(capacity / max(1, members)))


def has_demand(state: ServiceState) -> bool:
  """Returns whether the sums show any demand.

  `state` has the sums as received, without what the decider itself adds since.
  Sums without any demand count as none: those of a fleet that starts anew would
  otherwise admit all programs until the next ones arrive.
  """
  return state.programs > 0 or any(
    asked > 0 for asked in state.asked_per_second.values()
  )


def make_plan(
  state: ServiceState,
  *,
  weight_by_team: Mapping[str, float],
  policy: admission_policy.AdmissionPolicy = admission_policy.DEFAULT,
) -> Plan:
  """Divides the programs that may begin among the classes that ask.

  `weight_by_team` has the configured rate of each team that has one.
  """
  capacity = _find_capacity(state, policy)
  ended_per_second = state.ended_per_second
  # The programs that end at full capacity, not those that end now.  The latter
  # repeat the admissions of a program's duration ago, and lag behind growing
  # demand.
  if state.seconds_per_program is not None:
    ended_per_second = capacity / state.seconds_per_program
  gap = capacity - state.programs
  budget = max(0.0, ended_per_second + gap / ADJUST_SECONDS)
  asked = sum(state.asked_per_second.values())
  if asked <= budget:
    return Plan(
      capacity=capacity,
      budget=budget,
      fraction_by_class=dict.fromkeys(state.asked_per_second, 1.0),
    )
  min_fraction = policy.least_part * budget / asked
  return Plan(
    capacity=capacity,
    budget=budget,
    fraction_by_class=_divide_budget(
      budget,
      asked_by_class=state.asked_per_second,
      least_part=policy.least_part,
      weight_by_team=weight_by_team,
    ),
    min_fraction=min_fraction,
  )


def _divide_budget(
  budget: float,
  *,
  asked_by_class: Mapping[ClassKey, float],
  least_part: float,
  weight_by_team: Mapping[str, float],
) -> dict[ClassKey, float]:
  """Returns the fraction of each class, by team, priority and order.

  Teams come first: if priorities did, a team's surplus of urgent programs would
  displace the less urgent ones of teams that ask for no more than usual.
  """
  min_fraction = least_part * budget / sum(asked_by_class.values())
  asked_by_order: dict[tuple[str, int], dict[int, float]] = {}
  rest_by_team: dict[str, float] = {}
  for key, asked in asked_by_class.items():
    asked_by_order.setdefault((key.team, key.priority), {})[key.order] = asked
    rest = (1 - min_fraction) * asked
    rest_by_team[key.team] = rest_by_team.get(key.team, 0.0) + rest
  left_by_team = fair_shares.divide(
    budget * (1 - least_part), rest_by_team, weight_by_team
  )
  fraction_by_class: dict[ClassKey, float] = {}
  for team, priority in sorted(asked_by_order):
    asked = sum(asked_by_order[team, priority].values())
    room = min(left_by_team[team], (1 - min_fraction) * asked)
    left_by_team[team] -= room
    room += min_fraction * asked
    for order, asked in sorted(asked_by_order[team, priority].items()):
      share = min(asked, room)
      room -= share
      fraction = share / asked if asked > 0 else 1.0
      fraction_by_class[ClassKey(priority, order, team)] = fraction
  return fraction_by_class


def can_be_in_time(
  *, allowed: float | None, left: float | None, ratio: float
) -> bool:
  """Returns whether a program that begins now can end by its finish time.

  `allowed` is the time that it had at its first request, `left` the time left
  now, and `ratio` the learned ratio of the duration of programs of its kind to
  the time that they had.  A program without a finish time is never late.
  """
  if allowed is None or left is None:
    return True
  return ratio * allowed <= left


def get_order(
  *, allowed: float | None, left: float | None, ratio: float
) -> int:
  """Returns the order of a program within its priority.

  The arguments are those of `can_be_in_time`.  Whether the program was refused
  before does not count.
  """
  if can_be_in_time(allowed=allowed, left=left, ratio=ratio):
    return IN_TIME
  return LATE


def estimate_retry_after(
  state: ServiceState, plan: Plan, *, waiting: int
) -> float:
  """Returns the seconds after which a refused program should return.

  `waiting` counts the refused programs that are to return before it.  The
  programs beyond the capacity end first, then one for each that begins.
  """
  seconds = state.seconds_per_program
  if seconds is None:
    seconds = INITIAL_SECONDS_PER_PROGRAM
  excess = max(0.0, state.programs - plan.capacity)
  ends = excess / max(1.0, state.programs)
  return seconds * (ends + (waiting + 1) / max(1.0, plan.capacity))


def expect_seconds(
  seconds_left: float,
  *,
  policy: admission_policy.AdmissionPolicy = admission_policy.DEFAULT,
) -> float:
  """Returns the expected duration of a program before any has ended.

  `seconds_left` is the time that it has.
  """
  return max(MIN_INITIAL_SECONDS, policy.initial_duration * seconds_left)


def get_initial_credit(member: str, rank: tuple[int, int]) -> float:
  """Returns the initial credit of a class at a decider, in [0, 1).

  Hundreds of deciders see one or two programs per second each.  If all credits
  began at 0, all deciders would refuse their first program and admit the
  following ones at the same time.
  """
  name = f'{member}/{rank[0]}/{rank[1]}'.encode()
  digest = hashlib.blake2b(name, digest_size=4).digest()
  return int.from_bytes(digest, 'big') / 2**32


@dataclasses.dataclass(kw_only=True)
class Credit:
  """Admits a fraction of programs, without random numbers.

  A decider has one for each priority and order, not for each team: it sees a
  program of one team too rarely for a credit to reach 1.
  """

  level: float = 0.0

  def take(self, fraction: float) -> bool:
    """Adds the fraction of one program; returns whether it is admitted."""
    self.level += fraction
    if self.level < 1.0:
      return False
    self.level -= 1.0
    return True


@dataclasses.dataclass(kw_only=True)
class DecayedRate:
  """Events per second, as an exponentially decayed mean."""

  half_life: float = RATE_HALF_LIFE_SECONDS
  _value: float = dataclasses.field(init=False, default=0.0)
  _updated_at: float = dataclasses.field(init=False, default=0.0)

  def record(self, now: float, count: float = 1.0) -> None:
    """Records `count` events at the time `now`, in seconds."""
    self._value = self.get(now) + count * math.log(2) / self.half_life
    self._updated_at = now

  def take_back(self, now: float, count: float, *, recorded_at: float) -> None:
    """Takes back what is left of `count` events recorded at `recorded_at`."""
    seconds = max(0.0, now - recorded_at)
    self.record(now, -count * 0.5 ** (seconds / self.half_life))

  def get(self, now: float) -> float:
    """Returns the events per second at the time `now`."""
    seconds = max(0.0, now - self._updated_at)
    return float(self._value * 0.5 ** (seconds / self.half_life))


@dataclasses.dataclass(kw_only=True)
class DecayedRatio:
  """The ratio of two quantities, by decayed sums over time.

  `initial` is the ratio before anything was recorded.
  """

  half_life: float = TURNS_HALF_LIFE_SECONDS
  initial: float = INITIAL_TURNS_PER_PROGRAM
  _numerator: float = dataclasses.field(init=False, default=0.0)
  _denominator: float = dataclasses.field(init=False, default=0.0)
  _updated_at: float | None = dataclasses.field(init=False, default=None)

  def record(self, numerator: float, denominator: float, now: float) -> None:
    """Records both quantities as they are since the previous record."""
    if self._updated_at is None:
      self._numerator, self._denominator = numerator, denominator
    else:
      decay = 0.5 ** (max(0.0, now - self._updated_at) / self.half_life)
      self._numerator = decay * self._numerator + (1 - decay) * numerator
      self._denominator = decay * self._denominator + (1 - decay) * denominator
    self._updated_at = now

  def get(self) -> float:
    """Returns the ratio, or `initial` before any record."""
    if self._denominator <= 0:
      return self.initial
    return self._numerator / self._denominator
