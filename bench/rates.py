"""Compares rate limiters for teams on a simulation of their programs.

Programs send one request after the other; a request may wait, or be refused and
retried as by real callers.  Prints for each limiter how many programs end in
time, and the ratio of the worst window of a team to what its rate allows.

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

from woadrun.decisions import program_demand
from woadrun.decisions import rate_limit

TEAMS = 76
DOMAINS = 3
DURATION_SECONDS = 30.0
# Requests per second of all teams at a load of 1, and the ratio of each team's
# limit to its mean rate.
REQUESTS_PER_SECOND = 450.0
LIMIT_FACTOR = 1.6
WINDOW_SECONDS = 5.0
# Ratio of the duration of a request to that on idle upstreams.
LATENCY_FACTOR = 1.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
  """A kind of programs; `target_ratio` bounds actual over ideal duration."""

  name: str
  share: float
  turns: float
  target_ratio: float
  value: float


KINDS = (
  Kind(name='short', share=0.6, turns=4.0, target_ratio=2.1, value=3.0),
  Kind(name='long', share=0.4, turns=11.0, target_ratio=2.3, value=10.0),
)
TURN_SECONDS = 0.26
TOOLS = ((0.7, 0.078), (0.4, 0.312), (0.2, 0.208))
PAUSE_SECONDS = 0.02
TARGET_SLACK_SECONDS = 0.2
# Mean number of requests for each turn of a program.
REQUESTS_PER_TURN = 1.0 + sum(share for share, _ in TOOLS)


@dataclasses.dataclass(kw_only=True)
class Request:
  """A request as a limiter sees it."""

  now: float
  program: str
  kind: str
  begins: bool
  domain: int


Limiter = Callable[[Request], rate_limit.Outcome]


# --- Limiters -----------------------------------------------------------------


def make_bucket(
  rate: float,
  *,
  slowdown_by_kind: dict[str, float] | None = None,
  max_wait: float = 0.5,
  burst_factor: float = 1.0,
) -> Limiter:
  """Returns an exact token bucket, which may refuse programs as a whole.

  With `slowdown_by_kind`, the limiter refuses the first request of a program
  that the rate does not suffice for.  `burst_factor` is the burst by the rate.
  """
  burst = rate * burst_factor
  bucket = rate_limit.BucketState(level=burst, updated_at=0.0)
  known = program_demand.ProgramTracker()

  def take(request: Request) -> rate_limit.Outcome:
    rate_limit.accrue(bucket, rate=rate, burst=burst, now=request.now)
    known.expire_idle(request.now)
    begins = request.begins and not known.is_running(request.program)
    if begins and slowdown_by_kind:
      excess = known.get_excess(
        request.kind,
        level=bucket.level,
        rate=rate,
        slowdown=slowdown_by_kind[request.kind],
      )
      if excess > 0:
        seconds = known.estimate_retry_after(request.kind, excess=excess)
        return rate_limit.Outcome(is_granted=False, retry_after=seconds)
    wait = max(0.0, 1.0 - bucket.level) / rate
    if wait > max_wait:
      return rate_limit.Outcome(is_granted=False, retry_after=wait)
    bucket.level -= 1.0
    known.record_request(request.program, request.kind, request.now, wait=wait)
    return rate_limit.Outcome(is_granted=True, wait=wait)

  return take


def make_domain_shares(rate: float) -> Limiter:
  """Returns a token bucket in each domain, with an equal share of the rate."""
  limiters = [make_bucket(rate / DOMAINS) for _ in range(DOMAINS)]
  return lambda request: limiters[request.domain](request)


def make_delayed_counts(rate: float, *, age: float) -> Limiter:
  """Returns a bucket of the full rate in each domain, with delayed counts.

  The uses in other domains are subtracted `age` seconds late.
  """
  buckets = [
    rate_limit.BucketState(level=rate, updated_at=0.0) for _ in range(DOMAINS)
  ]
  taken: list[tuple[float, int]] = []
  applied = [0] * DOMAINS

  def take(request: Request) -> rate_limit.Outcome:
    bucket = buckets[request.domain]
    while applied[request.domain] < len(taken):
      at, domain = taken[applied[request.domain]]
      if at + age > request.now:
        break
      applied[request.domain] += 1
      bucket.level -= domain != request.domain
    found = rate_limit.take(bucket, rate=rate, burst=rate, now=request.now)
    if found.is_granted:
      taken.append((request.now, request.domain))
    return found

  return take


def make_sliding_window(rate: float) -> Limiter:
  """Returns an exact sliding window, which refuses instead of delaying."""
  granted_at: list[float] = []

  def take(request: Request) -> rate_limit.Outcome:
    first = bisect.bisect_left(granted_at, request.now - WINDOW_SECONDS)
    if len(granted_at) - first < rate * WINDOW_SECONDS + rate:
      granted_at.append(request.now)
      return rate_limit.Outcome(is_granted=True)
    left = granted_at[first] + WINDOW_SECONDS - request.now
    return rate_limit.Outcome(is_granted=False, retry_after=max(0.05, left))

  return take


LIMITERS: dict[str, Callable[[float], Limiter]] = {
  'no limit': lambda rate: lambda request: rate_limit.Outcome(is_granted=True),
  'fixed shares of domains': make_domain_shares,
  'counts 0.25 s old': lambda rate: make_delayed_counts(rate, age=0.25),
  'counts 1 s old': lambda rate: make_delayed_counts(rate, age=1.0),
  'exact window': make_sliding_window,
  'one bucket, no wait': lambda rate: make_bucket(rate, max_wait=0.0),
  'one bucket': make_bucket,
  'one bucket, wait 1 s': lambda rate: make_bucket(rate, max_wait=1.0),
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
    rate, slowdown_by_kind={'short': 2.0, 'long': 2.0}, max_wait=1.0
  ),
  'urgent ones at 2.3, else 1.7': lambda rate: make_bucket(
    rate, slowdown_by_kind={'short': 1.7, 'long': 2.3}
  ),
}


# --- Programs -----------------------------------------------------------------


@dataclasses.dataclass(kw_only=True)
class Team:
  """A team, its limiter, and the results of its programs."""

  rate: float
  limiter: Limiter
  granted_at: list[float] = dataclasses.field(default_factory=list)
  max_value: float = 0.0
  earned: float = 0.0
  count_by_outcome: dict[str, int] = dataclasses.field(default_factory=dict)


# A program yields the seconds until it continues.
Run = Generator[float, None, bool]


def _send(
  team: Team, request: Request, seconds: float, rng: random.Random
) -> Run:
  """Sends a request with a caller's retries; returns whether it succeeded."""
  for _resend in range(3):
    for _ in range(2):
      found = team.limiter(request)
      if found.is_granted:
        team.granted_at.append(request.now + found.wait)
        took = found.wait + seconds * LATENCY_FACTOR
        request.now += took
        yield took
        return True
      request.now += found.retry_after
      yield found.retry_after
    if seconds != TURN_SECONDS:
      return False
    pause = rng.uniform(0.1, 0.4)
    request.now += pause
    yield pause
  return False


def run_program(
  team: Team, kind: Kind, id: str, start: float, rng: random.Random
) -> Run:
  """Runs a program, which yields the seconds until it continues."""
  turns = max(1, round(rng.gauss(kind.turns, 0.4 * kind.turns)))
  ideal, now = 0.0, start
  domain = rng.randrange(DOMAINS)
  for turn in range(turns):
    steps = [TURN_SECONDS]
    steps += [seconds for share, seconds in TOOLS if rng.random() < share]
    # Tools run in parallel, so that only the slowest one counts.
    rest = max(steps[1:], default=0.0)
    ideal += TURN_SECONDS + rest + PAUSE_SECONDS
    for seconds in steps:
      request = Request(
        now=now,
        program=id,
        kind=kind.name,
        begins=turn == 0 and seconds == TURN_SECONDS,
        domain=domain,
      )
      is_turn = seconds == TURN_SECONDS
      is_answered = yield from _send(
        team, request, TURN_SECONDS if is_turn else 0.0, rng
      )
      now = request.now
      if not is_answered:
        _record(team, kind, 'refused' if turn == 0 else 'failed', 0.0)
        return False
    yield rest * LATENCY_FACTOR + PAUSE_SECONDS
    now += rest * LATENCY_FACTOR + PAUSE_SECONDS
  target = kind.target_ratio * ideal + TARGET_SLACK_SECONDS
  end = 'in time' if now - start <= target else 'late'
  is_too_late = now - start > 2 * target
  earned = (
    0.0 if is_too_late else kind.value * (1.0 if end == 'in time' else 0.3)
  )
  _record(team, kind, end, earned)
  return True


def _record(team: Team, kind: Kind, end: str, earned: float) -> None:
  team.max_value += kind.value
  team.earned += earned
  team.count_by_outcome[end] = team.count_by_outcome.get(end, 0) + 1


def _draw_starts(
  per_second: float, load: float, burst: float, rng: random.Random
) -> Iterator[float]:
  now = 0.0
  while now < DURATION_SECONDS:
    is_burst = 9.0 <= now < 15.0
    now += rng.expovariate(per_second * load * (burst if is_burst else 1.0))
    yield now


def simulate(name: str, *, seed: int, load: float, hot: float) -> list[Team]:
  """Returns the teams after a run of a limiter.

  One team has bursts of `hot` times its rate, instead of 1.6 times.
  """
  rng = random.Random(seed)
  sizes = [1 / (n + 1) ** 0.9 for n in range(TEAMS)]
  requests_per_program = sum(
    k.share * k.turns * REQUESTS_PER_TURN for k in KINDS
  )
  queue: list[tuple[float, int, Run]] = []
  numbers = itertools.count()
  teams = []
  for index, size in enumerate(sizes):
    usual = REQUESTS_PER_SECOND * size / sum(sizes)
    rate = max(8.0, float(round(usual * LIMIT_FACTOR)))
    team = Team(rate=rate, limiter=LIMITERS[name](rate))
    teams.append(team)
    burst = hot if index == 2 else 1.6
    for start in _draw_starts(usual / requests_per_program, load, burst, rng):
      kind = rng.choices(KINDS, [k.share for k in KINDS])[0]
      number = next(numbers)
      run = run_program(team, kind, f'p{number}', start, rng)
      heapq.heappush(queue, (start, number, run))
  while queue:
    now, number, run = heapq.heappop(queue)
    try:
      heapq.heappush(queue, (now + next(run), number, run))
    except StopIteration:
      continue
  return teams


def get_worst_window(team: Team) -> float:
  """Returns the ratio of a team's worst window to what its rate allows."""
  times = sorted(team.granted_at)
  first = worst = 0
  for last, at in enumerate(times):
    while times[first] <= at - WINDOW_SECONDS:
      first += 1
    worst = max(worst, last - first + 1)
  return worst / (team.rate * WINDOW_SECONDS + team.rate)


def main() -> None:
  """Prints one line for each limiter."""
  parser = argparse.ArgumentParser(prog='rates')
  parser.add_argument('--seed', type=int, default=1)
  parser.add_argument('--load', type=float, default=1.0)
  parser.add_argument('--hot', type=float, default=4.5)
  options = parser.parse_args()
  ends = ('in time', 'late', 'failed', 'refused')
  print(f'{"way":28}{"earned":>8}', *(f'{end:>9}' for end in ends), '  window')
  for name in LIMITERS:
    teams = simulate(
      name, seed=options.seed, load=options.load, hot=options.hot
    )
    earned = sum(t.earned for t in teams) / sum(t.max_value for t in teams)
    counts = [sum(t.count_by_outcome.get(e, 0) for t in teams) for e in ends]
    worst = max(get_worst_window(team) for team in teams)
    print(
      f'{name:28}{earned:8.3f}', *(f'{c:9}' for c in counts), f'{worst:8.2f}'
    )


if __name__ == '__main__':
  main()
