"""Compares ways to hold teams to their rates, on a model of their programs.

Programs send one request after the other; a request waits, is refused and comes
back as callers do.  Prints for each way how many programs end in time and the
worst window of a team over what its rate allows.

  ./dev python bench/rates.py --seed 1 --load 1.0
"""

from __future__ import annotations

import argparse
import bisect
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import random

from woadrun.decisions import program_need
from woadrun.decisions import rate_limit

TEAMS = 76
DOMAINS = 3
SECONDS = 30.0
# Requests a second of all teams at a load of 1, and a limit over the usual.
REQUESTS = 450.0
LIMIT = 1.6
WINDOW = 5.0
# How much longer a request takes than on idle upstreams.
BUSY = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
  """Programs of one kind: turns, seconds a turn, in time up to `aim` times."""

  name: str
  share: float
  turns: float
  aim: float
  worth: float


KINDS = (
  Kind(name='short', share=0.6, turns=4.0, aim=2.1, worth=3.0),
  Kind(name='long', share=0.4, turns=11.0, aim=2.3, worth=10.0),
)
TURN_SECONDS = 0.26
TOOLS = ((0.7, 0.078), (0.4, 0.312), (0.2, 0.208))
PAUSE_SECONDS = 0.02
AIM_SECONDS = 0.2
# Requests of a program of each kind, for a turn.
REQUESTS_PER_TURN = 1.0 + sum(share for share, _ in TOOLS)


@dataclasses.dataclass(kw_only=True)
class Ask:
  """One request as a way sees it."""

  now: float
  program: str
  kind: str
  begins: bool
  domain: int


Way = Callable[[Ask], rate_limit.Outcome]


# --- Ways ---------------------------------------------------------------------


def make_bucket(
  rate: float,
  *,
  slowdown_by_kind: dict[str, float] | None = None,
  most_wait: float = 0.5,
) -> Way:
  """Returns one exact bucket, which may refuse whole programs."""
  bucket = rate_limit.Bucket(level=rate, at=0.0)
  known = program_need.Programs()

  def take(ask: Ask) -> rate_limit.Outcome:
    rate_limit.accrue(bucket, rate=rate, burst=rate, now=ask.now)
    known.end_idle(ask.now)
    begins = ask.begins and not known.is_running(ask.program)
    if begins and slowdown_by_kind:
      excess = known.get_excess(
        ask.kind,
        level=bucket.level,
        rate=rate,
        slowdown=slowdown_by_kind[ask.kind],
      )
      if excess > 0:
        seconds = known.estimate_return(ask.kind, excess=excess)
        return rate_limit.Outcome(is_granted=False, retry_after=seconds)
    wait = max(0.0, 1.0 - bucket.level) / rate
    if wait > most_wait:
      return rate_limit.Outcome(is_granted=False, retry_after=wait)
    bucket.level -= 1.0
    known.note(ask.program, ask.kind, ask.now, wait=wait)
    return rate_limit.Outcome(is_granted=True, wait=wait)

  return take


def make_fixed(rate: float) -> Way:
  """Returns a bucket with an equal share of the rate in each domain."""
  ways = [make_bucket(rate / DOMAINS) for _ in range(DOMAINS)]
  return lambda ask: ways[ask.domain](ask)


def make_told(rate: float, *, age: float) -> Way:
  """Returns whole buckets in all domains that hear of each other's use late."""
  buckets = [rate_limit.Bucket(level=rate, at=0.0) for _ in range(DOMAINS)]
  taken: list[tuple[float, int]] = []
  heard = [0] * DOMAINS

  def take(ask: Ask) -> rate_limit.Outcome:
    mine = buckets[ask.domain]
    while heard[ask.domain] < len(taken):
      at, domain = taken[heard[ask.domain]]
      if at + age > ask.now:
        break
      heard[ask.domain] += 1
      mine.level -= domain != ask.domain
    found = rate_limit.take(mine, rate=rate, burst=rate, now=ask.now)
    if found.is_granted:
      taken.append((ask.now, ask.domain))
    return found

  return take


def make_window(rate: float) -> Way:
  """Returns an exact count of the last window, without waits."""
  used: list[float] = []

  def take(ask: Ask) -> rate_limit.Outcome:
    first = bisect.bisect_left(used, ask.now - WINDOW)
    if len(used) - first < rate * WINDOW + rate:
      used.append(ask.now)
      return rate_limit.Outcome(is_granted=True)
    left = used[first] + WINDOW - ask.now
    return rate_limit.Outcome(is_granted=False, retry_after=max(0.05, left))

  return take


WAYS: dict[str, Callable[[float], Way]] = {
  'no limit': lambda rate: lambda ask: rate_limit.Outcome(is_granted=True),
  'fixed shares of domains': make_fixed,
  'counts 0.25 s old': lambda rate: make_told(rate, age=0.25),
  'counts 1 s old': lambda rate: make_told(rate, age=1.0),
  'exact window': make_window,
  'one bucket, no wait': lambda rate: make_bucket(rate, most_wait=0.0),
  'one bucket': make_bucket,
  'one bucket, wait 1 s': lambda rate: make_bucket(rate, most_wait=1.0),
  'and programs at 1.0': lambda rate: make_bucket(
    rate, slowdown_by_kind={'short': 1.0, 'long': 1.0}
  ),
  'and programs at 1.4': lambda rate: make_bucket(
    rate, slowdown_by_kind={'short': 1.4, 'long': 1.4}
  ),
  'and programs at 2.0': lambda rate: make_bucket(
    rate, slowdown_by_kind={'short': 2.0, 'long': 2.0}
  ),
  'at 2.0, wait 1 s': lambda rate: make_bucket(
    rate, slowdown_by_kind={'short': 2.0, 'long': 2.0}, most_wait=1.0
  ),
  'urgent ones at 2.3, else 1.7': lambda rate: make_bucket(
    rate, slowdown_by_kind={'short': 1.7, 'long': 2.3}
  ),
}


# --- Programs -----------------------------------------------------------------


@dataclasses.dataclass(kw_only=True)
class Team:
  """A team, its way, and what became of its programs."""

  rate: float
  way: Way
  used_at: list[float] = dataclasses.field(default_factory=list)
  owed: float = 0.0
  earned: float = 0.0
  count_by_end: dict[str, int] = dataclasses.field(default_factory=dict)


# What a program waits for until it goes on: seconds.
Run = Generator[float, None, bool]


def _send(team: Team, ask: Ask, seconds: float, dice: random.Random) -> Run:
  """Runs one request as a caller does; returns whether it was answered."""
  for _resend in range(3):
    for _ in range(2):
      found = team.way(ask)
      if found.is_granted:
        team.used_at.append(ask.now + found.wait)
        took = found.wait + seconds * BUSY
        ask.now += took
        yield took
        return True
      ask.now += found.retry_after
      yield found.retry_after
    if seconds != TURN_SECONDS:
      return False
    pause = dice.uniform(0.1, 0.4)
    ask.now += pause
    yield pause
  return False


def run_program(
  team: Team, kind: Kind, id: str, start: float, dice: random.Random
) -> Run:
  """Runs a program; the seconds that it yields pass."""
  turns = max(1, round(dice.gauss(kind.turns, 0.4 * kind.turns)))
  ideal, now = 0.0, start
  domain = dice.randrange(DOMAINS)
  for turn in range(turns):
    steps = [TURN_SECONDS]
    steps += [seconds for share, seconds in TOOLS if dice.random() < share]
    # Tools run side by side: the slowest one counts.
    rest = max(steps[1:], default=0.0)
    ideal += TURN_SECONDS + rest + PAUSE_SECONDS
    for seconds in steps:
      ask = Ask(
        now=now,
        program=id,
        kind=kind.name,
        begins=turn == 0 and seconds == TURN_SECONDS,
        domain=domain,
      )
      is_turn = seconds == TURN_SECONDS
      is_answered = yield from _send(
        team, ask, TURN_SECONDS if is_turn else 0.0, dice
      )
      now = ask.now
      if not is_answered:
        _note(team, kind, 'refused' if turn == 0 else 'failed', 0.0)
        return False
    yield rest * BUSY + PAUSE_SECONDS
    now += rest * BUSY + PAUSE_SECONDS
  aim = kind.aim * ideal + AIM_SECONDS
  end = 'in time' if now - start <= aim else 'late'
  is_lost = now - start > 2 * aim
  earned = 0.0 if is_lost else kind.worth * (1.0 if end == 'in time' else 0.3)
  _note(team, kind, end, earned)
  return True


def _note(team: Team, kind: Kind, end: str, earned: float) -> None:
  team.owed += kind.worth
  team.earned += earned
  team.count_by_end[end] = team.count_by_end.get(end, 0) + 1


def _draw_starts(
  per_second: float, load: float, burst: float, dice: random.Random
) -> Iterator[float]:
  now = 0.0
  while now < SECONDS:
    is_burst = 9.0 <= now < 15.0
    now += dice.expovariate(per_second * load * (burst if is_burst else 1.0))
    yield now


def play(name: str, *, seed: int, load: float, hot: float) -> list[Team]:
  """Returns the teams after a run of one way; one of them is `hot`."""
  dice = random.Random(seed)
  sizes = [1 / (n + 1) ** 0.9 for n in range(TEAMS)]
  each = sum(k.share * k.turns * REQUESTS_PER_TURN for k in KINDS)
  queue: list[tuple[float, int, Run]] = []
  numbers = itertools.count()
  teams = []
  for index, size in enumerate(sizes):
    usual = REQUESTS * size / sum(sizes)
    rate = max(8.0, float(round(usual * LIMIT)))
    team = Team(rate=rate, way=WAYS[name](rate))
    teams.append(team)
    burst = hot if index == 2 else 1.6
    for start in _draw_starts(usual / each, load, burst, dice):
      kind = dice.choices(KINDS, [k.share for k in KINDS])[0]
      number = next(numbers)
      run = run_program(team, kind, f'p{number}', start, dice)
      heapq.heappush(queue, (start, number, run))
  while queue:
    now, number, run = heapq.heappop(queue)
    try:
      heapq.heappush(queue, (now + next(run), number, run))
    except StopIteration:
      continue
  return teams


def get_worst_window(team: Team) -> float:
  """Returns the worst window of a team over what its rate allows."""
  times = sorted(team.used_at)
  first = worst = 0
  for last, at in enumerate(times):
    while times[first] <= at - WINDOW:
      first += 1
    worst = max(worst, last - first + 1)
  return worst / (team.rate * WINDOW + team.rate)


def main() -> None:
  """Prints one line for each way."""
  parser = argparse.ArgumentParser(prog='rates')
  parser.add_argument('--seed', type=int, default=1)
  parser.add_argument('--load', type=float, default=1.0)
  parser.add_argument('--hot', type=float, default=4.5)
  options = parser.parse_args()
  ends = ('in time', 'late', 'failed', 'refused')
  print(f'{"way":28}{"earned":>8}', *(f'{end:>9}' for end in ends), '  window')
  for name in WAYS:
    teams = play(name, seed=options.seed, load=options.load, hot=options.hot)
    earned = sum(t.earned for t in teams) / sum(t.owed for t in teams)
    counts = [sum(t.count_by_end.get(e, 0) for t in teams) for e in ends]
    worst = max(get_worst_window(team) for team in teams)
    print(
      f'{name:28}{earned:8.3f}', *(f'{c:9}' for c in counts), f'{worst:8.2f}'
    )


if __name__ == '__main__':
  main()
