"""Schedules of faults: drawn by a seed, played on a fleet, made shorter."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random

from faults import callers
from faults import clock
from faults import fleet
from faults import network
from faults import tenancy
from woadrun.process import ticks

# Faults begin and end within so long after the callers begin, in seconds.
FAULT_SECONDS = 6.0
# Callers go on for so long after the last fault, in seconds.
CALM_SECONDS = 2.0
MOST_FAULTS = 5
# A run that lasts longer, in seconds of its clock, hangs.
MOST_SECONDS = 60.0
# Without faults of the store or the network for so long, in seconds, daemons
# have brought to the store what it lacked.
KEPT_SECONDS = 2.0
LOOK_SECONDS = 0.1
# Share of datagrams that is lost by a fault: three lost in a row count as
# silence, which is rare so.
LOSS = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
  """One fault: `kind`, when and how long, in seconds, and where.

  `place` is a domain or a daemon by its number, `how` a way among those that
  the kind has.
  """

  kind: str
  at: float
  seconds: float
  place: int
  how: int

  def __str__(self) -> str:
    """Returns the fault as a line of a report."""
    return (
      f'{self.at:5.2f} s: {self.kind} {self.how} at {self.place} for '
      f'{self.seconds:.2f} s'
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Schedule:
  """What one run is made of; the same one runs the same way."""

  seed: int
  daemons: int
  domains: int
  faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
  """What a run broke, and how often each status was answered."""

  broken: tuple[str, ...]
  count_by_status: dict[int, int]


def draw(
  seed: int, *, daemons: int, domains: int, kinds: Sequence[str] = ()
) -> Schedule:
  """Returns the schedule of a seed, with faults of some kinds or of all."""
  dice = random.Random(seed)
  count = dice.randint(1, MOST_FAULTS)
  faults = [_draw_fault(dice, kinds or KINDS) for _ in range(count)]
  return Schedule(
    seed=seed,
    daemons=daemons,
    domains=domains,
    faults=tuple(sorted(faults, key=lambda fault: fault.at)),
  )


def _draw_fault(dice: random.Random, kinds: Sequence[str]) -> Fault:
  at = dice.uniform(0.3, FAULT_SECONDS - 1.0)
  return Fault(
    kind=dice.choice(kinds),
    at=round(at, 2),
    seconds=round(dice.uniform(0.2, FAULT_SECONDS - at), 2),
    place=dice.randrange(1000),
    how=dice.randrange(4),
  )


def play(schedule: Schedule) -> Result:
  """Returns what a run of a schedule broke."""
  random.seed(schedule.seed)
  # The phase of periodic tasks is drawn as the module is imported.
  ticks._PHASE = random.random()
  with clock.run_by(clock.Clock()) as loop:
    return loop.run_until_complete(_play_bounded(schedule))


async def _play_bounded(schedule: Schedule) -> Result:
  try:
    async with asyncio.timeout(MOST_SECONDS):
      return await _play(schedule)
  except TimeoutError:
    hung = f'hang: not over after {MOST_SECONDS:.0f} s'
    return Result(broken=(hung,), count_by_status={})


async def _play(schedule: Schedule) -> Result:
  dice = random.Random(schedule.seed)
  served = fleet.Fleet(
    dice=dice,
    daemons=schedule.daemons,
    domains=schedule.domains,
    revocation=_get_revocation(schedule),
  )
  await served.start_all()
  around = callers.Callers(
    dice=dice,
    served=served,
    calls=any(fault.kind == 'limit' for fault in schedule.faults),
  )
  calling = asyncio.ensure_future(around.run())
  await asyncio.gather(
    *(_play_fault(served, fault) for fault in schedule.faults)
  )
  await asyncio.sleep(CALM_SECONDS)
  around.is_stopping = True
  await calling
  return Result(
    broken=tuple(around.broken), count_by_status=around.count_by_status
  )


def _get_revocation(schedule: Schedule) -> float | None:
  """Returns how long keys may be used after they are revoked, None for ever.

  Where that is bounded, cuts end before budgets are at stake: only every second
  schedule with a revocation is.
  """
  has_revocation = any(fault.kind == 'revoke' for fault in schedule.faults)
  is_bounded = has_revocation and schedule.seed % 2
  return tenancy.REVOCATION_SECONDS if is_bounded else None


async def _play_fault(served: fleet.Fleet, fault: Fault) -> None:
  await asyncio.sleep(fault.at)
  await _PLAY_BY_KIND[fault.kind](served, fault)


def shorten(
  schedule: Schedule, is_broken: Callable[[Schedule], bool]
) -> Schedule:
  """Returns a schedule with as few faults as still break something."""
  shorter = next(filter(is_broken, _leave_out_one(schedule)), None)
  return schedule if shorter is None else shorten(shorter, is_broken)


def _leave_out_one(schedule: Schedule) -> Iterator[Schedule]:
  faults = schedule.faults
  for number in range(len(faults)):
    rest = faults[:number] + faults[number + 1 :]
    yield dataclasses.replace(schedule, faults=rest)


# --- Faults -------------------------------------------------------------------


def _find_domain(served: fleet.Fleet, fault: Fault) -> str:
  return served.domains[fault.place % len(served.domains)]


def _find_daemon(served: fleet.Fleet, fault: Fault) -> str:
  return served.names[fault.place % len(served.names)]


@contextlib.contextmanager
def _cut(served: fleet.Fleet, cut: network.Cut) -> Iterator[None]:
  served.network.cuts.append(cut)
  try:
    yield
  finally:
    served.network.cuts.remove(cut)


async def _cut_domain(served: fleet.Fleet, fault: Fault) -> None:
  """Cuts a domain off, from the store as well but for one way in four."""
  domain = _find_domain(served, fault)
  is_reset = fault.how % 2 == 0
  cuts = network.make_cuts(domain, served.domains, is_reset=is_reset)
  lost = served.store.domains_without
  with contextlib.ExitStack() as stack:
    for cut in cuts:
      stack.enter_context(_cut(served, cut))
    if fault.how != 3 and domain not in lost:
      lost.add(domain)
      stack.callback(lost.discard, domain)
    await asyncio.sleep(fault.seconds)


async def _cut_one_way(served: fleet.Fleet, fault: Fault) -> None:
  domain = frozenset({_find_domain(served, fault)})
  others = frozenset(served.domains) - domain
  source, target = (domain, others) if fault.how % 2 else (others, domain)
  with _cut(
    served, network.Cut(sources=source, targets=target, is_reset=False)
  ):
    await asyncio.sleep(fault.seconds)


async def _lose_store(served: fleet.Fleet, fault: Fault) -> None:
  store = served.store
  store.is_out, store.is_silent = True, fault.how % 2 == 0
  await asyncio.sleep(fault.seconds)
  store.is_out = store.is_silent = False
  store.rows.wake_followers()


async def _turn_away(served: fleet.Fleet, fault: Fault) -> None:
  """Lets the store turn a third of all daemons away."""
  chosen = set(served.names[fault.place % 3 :: 3])
  served.store.without |= chosen
  await asyncio.sleep(fault.seconds)
  served.store.without -= chosen


async def _slow_store(served: fleet.Fleet, fault: Fault) -> None:
  served.store.is_slow = True
  await asyncio.sleep(fault.seconds)
  served.store.is_slow = False


async def _lose_answers(served: fleet.Fleet, fault: Fault) -> None:
  served.store.losing = 0.3
  await asyncio.sleep(fault.seconds)
  served.store.losing = 0.0


async def _forget_history(served: fleet.Fleet, fault: Fault) -> None:
  served.store.rows.history_from = served.store.rows.version
  served.store.rows.wake_followers()


async def _lose_datagrams(served: fleet.Fleet, fault: Fault) -> None:
  served.network.loss = LOSS
  await asyncio.sleep(fault.seconds)
  served.network.loss = 0.0


async def _delay_ways(served: fleet.Fleet, fault: Fault) -> None:
  served.network.delay = 0.15
  await asyncio.sleep(fault.seconds)
  served.network.delay = 0.0


async def _silence_messages(served: fleet.Fleet, fault: Fault) -> None:
  """Loses the messages of a daemon, or their answers, but no datagrams."""
  name = _find_daemon(served, fault)
  ways = served.network
  lost = ways.unanswered_by if fault.how % 2 else ways.unsent_by
  lost.add(name)
  await asyncio.sleep(fault.seconds)
  lost.discard(name)


async def _kill(served: fleet.Fleet, fault: Fault) -> None:
  """Kills a daemon, which is started anew under its name."""
  name = _find_daemon(served, fault)
  await served.kill(name)
  await asyncio.sleep(fault.seconds)
  await served.start(name)


async def _kill_domain(served: fleet.Fleet, fault: Fault) -> None:
  domain = _find_domain(served, fault)
  names = [name for name in served.names if served.get_domain(name) == domain]
  await asyncio.gather(*(served.kill(name) for name in names))
  await asyncio.sleep(fault.seconds)
  for name in names:
    await served.start(name)


async def _kill_all(served: fleet.Fleet, fault: Fault) -> None:
  """Kills all daemons at once, when the store could learn what it lacked.

  What was decided without it is in memory only, and nowhere else then.
  """
  calm_since = asyncio.get_running_loop().time()
  while asyncio.get_running_loop().time() - calm_since < KEPT_SECONDS:
    await asyncio.sleep(LOOK_SECONDS)
    if served.is_store_faulty or served.network.cuts:
      calm_since = asyncio.get_running_loop().time()
  await asyncio.gather(*(served.kill(name) for name in served.names))
  await asyncio.sleep(min(1.0, fault.seconds))
  for name in served.names:
    await served.start(name)


async def _replace(served: fleet.Fleet, fault: Fault) -> None:
  """Stops some daemons in turn as planned and starts them anew."""
  first = fault.place % len(served.names)
  for name in served.names[first : first + 2]:
    await served.leave(name)
    await served.start(name)


async def _revoke(served: fleet.Fleet, fault: Fault) -> None:
  """Replaces a key now and another one at the end, or swaps two teams'."""
  names = tenancy.NAMES
  one, other = (names[(fault.place + n) % len(names)] for n in (0, 1))
  if fault.how == 3:
    served.tenancy.swap_keys(one, other)
    await served.change_teams()
    return
  for name in (one, other):
    served.tenancy.replace_key(name, asyncio.get_running_loop().time())
    await served.change_teams()
    await asyncio.sleep(fault.seconds)


async def _limit(served: fleet.Fleet, fault: Fault) -> None:
  rate = tenancy.RATES[fault.how % len(tenancy.RATES)]
  served.tenancy.set_rate(rate, asyncio.get_running_loop().time())
  await served.change_teams()


_PLAY_BY_KIND: dict[str, Callable[[fleet.Fleet, Fault], Awaitable[None]]] = {
  'cut': _cut_domain,
  'cut-one-way': _cut_one_way,
  'delay': _delay_ways,
  'forget': _forget_history,
  'kill': _kill,
  'kill-all': _kill_all,
  'kill-domain': _kill_domain,
  'limit': _limit,
  'lose-answers': _lose_answers,
  'lose-datagrams': _lose_datagrams,
  'replace': _replace,
  'revoke': _revoke,
  'silence': _silence_messages,
  'store-out': _lose_store,
  'store-slow': _slow_store,
  'store-some': _turn_away,
}

KINDS = tuple(sorted(_PLAY_BY_KIND))
