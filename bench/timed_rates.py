"""Compares rules for team limits on programs that tell their finish time.

Like `rates.py`, with tight finish times and an urgent and a less urgent kind of
programs.  Some teams have a limit below what they send, and one team sends a
multiple of its usual.  Prints how the programs of each kind end, the mean time
that a request waits for its unit, the mean part of the caller's time after
which a request is refused, and the ratio of the worst window of a team to what
operators accept.

Each limit has a burst of `--burst` times its rate.

  ./dev python bench/timed_rates.py --seeds 1 2 3 --hot 5 --lowered 0.25
"""

from __future__ import annotations

import argparse
import collections
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import random

import rates

from woadrun.decisions import rate_limit
from woadrun.decisions import timed_programs

TEAMS = 73
DURATION_SECONDS = 30.0
SURGE_FROM, SURGE_UNTIL = 10.0, 16.4
# Rate limits are rounded and not below this.
MIN_RATE = 8.0
TURN_SECONDS = 0.15
TOOLS = ((0.7, 0.045), (0.4, 0.18), (0.2, 0.12))
PAUSE_SECONDS = 0.02
# Mean ratio of the duration of a request to that on idle upstreams.
LATENCY_FACTOR = 1.2
DEADLINE_SECONDS = 3.0
# Callers obey a delay up to this part of the time that is left.
OBEYED_PART = 1 / 3
ATTEMPTS = 2
REQUESTS_PER_TURN = 1.0 + sum(share for share, _ in TOOLS)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Kind:
  """A kind of programs.

  A program should end within `ratio` times its time on idle upstreams and
  `slack` seconds.
  """

  priority: int
  share: float
  turns: float
  ratio: float
  slack: float


KIND_BY_NAME = {
  'urgent': Kind(priority=0, share=0.6, turns=4.0, ratio=1.4, slack=0.2),
  'other': Kind(priority=2, share=0.4, turns=7.0, ratio=1.5, slack=0.4),
}


# Decides on a request whose program should end in some seconds, and whose
# caller waits for some seconds.
Limiter = Callable[[rates.Request, float, float], rate_limit.Outcome]


def make_present(rate: float, burst_factor: float) -> Limiter:
  """Returns the rule for programs that tell no finish time."""
  take = rates.make_bucket(
    rate,
    slowdown_by_kind={'urgent': 2.3, 'other': 1.1},
    burst_factor=burst_factor,
  )
  return lambda request, seconds_left, max_wait: take(request)


def make_bucket_only(rate: float, burst_factor: float) -> Limiter:
  """Returns a bucket that admits each request by itself."""
  take = rates.make_bucket(rate, burst_factor=burst_factor)
  return lambda request, seconds_left, max_wait: take(request)


def make_timed(rate: float, burst_factor: float) -> Limiter:
  """Returns the rule for programs that tell their finish time."""
  burst = rate * burst_factor
  bucket = rate_limit.BucketState(level=burst, updated_at=0.0)
  known = timed_programs.TimedPrograms()

  def decide(
    request: rates.Request, seconds_left: float, max_wait: float
  ) -> rate_limit.Outcome:
    now = request.now
    rate_limit.accrue(bucket, rate=rate, burst=burst, now=now)
    known.expire_idle(now)
    is_first = request.begins and request.program not in known
    if is_first:
      start = timed_programs.Start(
        id=request.program,
        kind=request.kind,
        priority=KIND_BY_NAME[request.kind].priority,
        seconds_left=seconds_left,
      )
      known.record_asked(start, now)
      refusal = known.check(
        start,
        level=bucket.level,
        burst=rate_limit.get_capacity(burst),
        rate=rate,
        now=now,
      )
      if refusal is not None:
        known.record_refused_start(request.program, refusal)
        return rate_limit.Outcome(
          is_granted=False, retry_after=refusal.retry_after
        )
    # Nobody leaves, so a place in the line is a unit granted in advance.
    outcome = rate_limit.take(
      bucket, rate=rate, burst=burst, now=now, max_wait=max_wait
    )
    if outcome.is_granted:
      known.record_request(
        request.program,
        request.kind,
        now,
        wait=outcome.wait,
        seconds_left=seconds_left,
      )
    else:
      known.record_refusal(request.program)
    return outcome

  return decide


LIMITERS: dict[str, Callable[[float, float], Limiter]] = {
  'one bucket': make_bucket_only,
  'present rule': make_present,
  'by finish time': make_timed,
}


@dataclasses.dataclass(kw_only=True)
class Team:
  """A team, its limiter, and the results of its programs."""

  rate: float
  limiter: Limiter
  granted_at: list[float] = dataclasses.field(default_factory=list)
  waited_seconds: float = 0.0
  refused_after: list[float] = dataclasses.field(default_factory=list)
  count_by_end: collections.Counter[tuple[str, str]] = dataclasses.field(
    default_factory=collections.Counter
  )


# A program yields the seconds until it continues.
Run = Generator[float, None, bool]


def _send(
  team: Team,
  request: rates.Request,
  *,
  finish: float,
  seconds: float,
  resends: int,
  rng: random.Random,
) -> Run:
  """Sends a request with a caller's retries; returns whether it succeeded."""
  for resend in range(1 + resends):
    sent_at = request.now
    deadline = sent_at + DEADLINE_SECONDS
    for attempt in range(ATTEMPTS):
      left = deadline - request.now
      outcome = team.limiter(request, finish - request.now, left - seconds)
      if outcome.is_granted:
        team.granted_at.append(request.now + outcome.wait)
        team.waited_seconds += request.now + outcome.wait - sent_at
        request.now += outcome.wait + seconds
        yield outcome.wait + seconds
        return True
      team.refused_after.append((request.now - sent_at) / DEADLINE_SECONDS)
      if attempt < ATTEMPTS - 1:
        pause = min(outcome.retry_after, OBEYED_PART * left)
        request.now += pause
        yield pause
    if resend < resends:
      pause = rng.uniform(0.1, 0.4)
      request.now += pause
      yield pause
  return False


def run_program(
  team: Team, kind: str, id: str, start: float, rng: random.Random
) -> Run:
  """Runs a program; the result is recorded at its team."""
  need = KIND_BY_NAME[kind]
  turns = max(1, round(rng.gauss(need.turns, 0.35 * need.turns)))
  tools_by_turn = [
    [seconds for share, seconds in TOOLS if rng.random() < share]
    for _ in range(turns)
  ]
  ideal = sum(
    TURN_SECONDS + max(tools, default=0.0) + PAUSE_SECONDS
    for tools in tools_by_turn
  )
  finish = start + need.ratio * ideal + need.slack
  request = rates.Request(
    now=start, program=id, kind=kind, begins=True, domain=0
  )
  for turn, tools in enumerate(tools_by_turn):
    request.begins = turn == 0
    # Tools run in parallel, so that only the slowest one counts.
    factor = LATENCY_FACTOR * rng.uniform(0.85, 1.15)
    for step in (TURN_SECONDS * factor, *(0.0 for _ in tools)):
      is_answered = yield from _send(
        team,
        request,
        finish=finish,
        seconds=step,
        resends=2 if step else 0,
        rng=rng,
      )
      if not is_answered:
        is_new = turn == 0 and step > 0
        team.count_by_end[kind, 'refused' if is_new else 'failed'] += 1
        return False
      request.begins = False
    pause = max(tools, default=0.0) * LATENCY_FACTOR + PAUSE_SECONDS
    request.now += pause
    yield pause
  is_in_time = request.now <= finish
  team.count_by_end[kind, 'in time' if is_in_time else 'late'] += 1
  return True


def _draw_programs(
  per_second: float, surge: str, rng: random.Random
) -> Iterator[tuple[float, str]]:
  """Yields the start and the kind of each program of a team."""
  for kind, need in KIND_BY_NAME.items():
    now = 0.0
    while now < DURATION_SECONDS:
      is_surge = kind == surge and SURGE_FROM <= now < SURGE_UNTIL
      factor = 2.5 if is_surge else 1.0
      now += rng.expovariate(per_second * need.share * factor)
      yield now, kind


def simulate(name: str, seed: int, options: argparse.Namespace) -> list[Team]:
  """Returns the teams after a run of a limiter."""
  rng = random.Random(seed)
  sizes = [1 / (n + 1) ** 0.9 for n in range(TEAMS)]
  requests_per_program = REQUESTS_PER_TURN * sum(
    kind.share * kind.turns for kind in KIND_BY_NAME.values()
  )
  lowered = set(rng.sample(range(TEAMS), int(TEAMS * options.lowered)))
  queue: list[tuple[float, int, Run]] = []
  numbers = itertools.count()
  teams = []
  for index, size in enumerate(sizes):
    usual = rates.REQUESTS_PER_SECOND * size / sum(sizes)
    rate = max(MIN_RATE, float(round(usual * rates.LIMIT_FACTOR)))
    if index in lowered:
      rate = max(1.0, usual * rng.uniform(0.6, 0.8))
    team = Team(rate=rate, limiter=LIMITERS[name](rate, options.burst))
    teams.append(team)
    factor = options.load * (options.hot if index == 2 else 1.0)
    per_second = usual / requests_per_program * factor
    for start, kind in _draw_programs(per_second, options.surge, rng):
      number = next(numbers)
      dice = random.Random(rng.random())
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
  """Returns the ratio of a team's worst window to what operators accept."""
  times = sorted(team.granted_at)
  first = worst = 0
  for last, at in enumerate(times):
    while times[first] <= at - rates.WINDOW_SECONDS:
      first += 1
    worst = max(worst, last - first + 1)
  return worst / (team.rate * rates.WINDOW_SECONDS * 1.1 + 20.0)


def main() -> None:
  """Prints one line for each limiter and kind."""
  parser = argparse.ArgumentParser(prog='timed_rates')
  parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
  parser.add_argument('--load', type=float, default=1.0)
  parser.add_argument('--hot', type=float, default=1.0)
  parser.add_argument('--lowered', type=float, default=0.0)
  parser.add_argument('--burst', type=float, default=1.0)
  parser.add_argument('--surge', choices=list(KIND_BY_NAME), default='')
  options = parser.parse_args()
  ends = ('in time', 'late', 'failed', 'refused')
  print(
    f'{"rule":20}{"kind":8}',
    *(f'{end:>8}' for end in ends),
    f'{"part":>7}{"waited":>8}{"refused":>9}{"after":>7}'
    f'{"requests":>10}{"window":>8}',
  )
  for name in LIMITERS:
    teams = [
      team for seed in options.seeds for team in simulate(name, seed, options)
    ]
    waited = sum(team.waited_seconds for team in teams)
    refused = [part for team in teams for part in team.refused_after]
    after = sum(refused) / max(1, len(refused))
    sent = sum(len(team.granted_at) for team in teams)
    worst = max(get_worst_window(team) for team in teams)
    for kind in KIND_BY_NAME:
      counts = [sum(t.count_by_end[kind, end] for t in teams) for end in ends]
      print(
        f'{name:20}{kind:8}',
        *(f'{count:8}' for count in counts),
        f'{counts[0] / sum(counts):7.3f}{waited / max(1, sent):8.3f}'
        f'{len(refused):9}{after:7.3f}{sent:10}{worst:8.2f}',
      )


if __name__ == '__main__':
  main()
