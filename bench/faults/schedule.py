"""Fault schedules: drawn from a seed, run on a fleet, and shrunk."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random
import secrets
import time
from unittest import mock
import uuid

from faults import callers
from faults import clock
from faults import crashes
from faults import fleet
from faults import network
from faults import tenancy
from woadrun.process import ticks

# Time after the start of the callers within which all faults begin and end.
FAULT_WINDOW_SECONDS = 6.0
# How long the callers go on after the last fault.
RECOVERY_SECONDS = 2.0
# Time from the last fault by which a turn has to run that continues from a
# complete one.
CONTINUED_SECONDS = 12.0
MAX_FAULTS = 5
# A run that lasts longer on its virtual clock counts as hung.
RUN_TIMEOUT_SECONDS = 60.0
# Share of datagrams that a fault drops: three lost datagrams in a row count as
# silence, which is rare at this share.
DATAGRAM_LOSS_SHARE = 0.05
# Hubs of a domain.
MUTE_DAEMONS = 2
# Daemons that one fault cuts off from all others.
MAX_ISOLATED = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
  """A fault of a `kind`, which begins `at` and lasts `seconds`.

  `target` selects a domain or a daemon by its number, `variant` one form of the
  kind.
  """

  kind: str
  at: float
  seconds: float
  target: int
  variant: int

  def __str__(self) -> str:
    """Returns the fault as one line of a report."""
    return (
      f'{self.at:5.2f} s: {self.kind} {self.variant} at {self.target} for '
      f'{self.seconds:.2f} s'
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Schedule:
  """The parameters of a run; runs of equal schedules are identical."""

  seed: int
  daemons: int
  domains: int
  faults: tuple[Fault, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
  """The violations that a run found, and how often each status came back."""

  violations: tuple[str, ...]
  count_by_status: dict[int, int]


def draw(
  seed: int, *, daemons: int, domains: int, kinds: Sequence[str] = ()
) -> Schedule:
  """Returns the schedule of a seed, with faults of `kinds` or of all kinds."""
  rng = random.Random(seed)
  count = rng.randint(1, MAX_FAULTS)
  faults = [_draw_fault(rng, kinds or KINDS) for _ in range(count)]
  return Schedule(
    seed=seed,
    daemons=daemons,
    domains=domains,
    faults=tuple(sorted(faults, key=lambda fault: fault.at)),
  )


def _draw_fault(rng: random.Random, kinds: Sequence[str]) -> Fault:
  at = rng.uniform(0.3, FAULT_WINDOW_SECONDS - 1.0)
  return Fault(
    kind=rng.choice(kinds),
    at=round(at, 2),
    seconds=round(rng.uniform(0.2, FAULT_WINDOW_SECONDS - at), 2),
    target=rng.randrange(1000),
    variant=rng.randrange(4),
  )


def run(schedule: Schedule) -> Result:
  """Returns the result of a run of a schedule."""
  random.seed(schedule.seed)
  # The module draws the phase of periodic tasks on import, before the seed is
  # set.
  ticks._OFFSET_SECONDS = random.random()
  with _draw_ids(schedule.seed), clock.run_by(clock.Clock()) as loop:
    return loop.run_until_complete(_run_with_timeout(schedule))


@contextlib.contextmanager
def _draw_ids(seed: int) -> Iterator[None]:
  """Draws the product's random ids from a seed; their order can matter."""
  rng = random.Random(f'ids of {seed}')
  with (
    mock.patch.object(
      secrets, 'token_hex', lambda size: rng.randbytes(size).hex()
    ),
    mock.patch.object(
      uuid, 'uuid4', lambda: uuid.UUID(bytes=rng.randbytes(16), version=4)
    ),
  ):
    yield


async def _run_with_timeout(schedule: Schedule) -> Result:
  try:
    async with asyncio.timeout(RUN_TIMEOUT_SECONDS):
      return await _run(schedule)
  except TimeoutError:
    violation = f'hang: not finished after {RUN_TIMEOUT_SECONDS:.0f} s'
    return Result(violations=(violation,), count_by_status={})


async def _run(schedule: Schedule) -> Result:
  rng = random.Random(schedule.seed)
  served = fleet.Fleet(
    dice=rng,
    daemons=schedule.daemons,
    domains=schedule.domains,
    revocation=_get_revocation(schedule),
  )
  await served.start_all()
  caller_pool = callers.Callers(
    rng=rng,
    served=served,
    calls=any(fault.kind == 'limit' for fault in schedule.faults),
  )
  caller_task = asyncio.ensure_future(caller_pool.run())
  served.fault_kinds = frozenset(fault.kind for fault in schedule.faults)
  await asyncio.gather(
    *(_inject_fault(served, fault) for fault in schedule.faults)
  )
  healed_at = time.monotonic()
  await asyncio.sleep(RECOVERY_SECONDS)
  caller_pool.is_stopping = True
  await caller_task
  await caller_pool.check_continuations(until=healed_at + CONTINUED_SECONDS)
  return Result(
    violations=(
      *caller_pool.violations,
      *served.violations,
      *served.instances.violations,
    ),
    count_by_status=caller_pool.count_by_status,
  )


def _get_revocation(schedule: Schedule) -> float | None:
  """Returns how long revoked keys may be accepted, None if without bound.

  A bound ends service in cuts before budgets can be overspent, so that only
  every second schedule with a revocation has one.
  """
  has_revocation = any(fault.kind == 'revoke' for fault in schedule.faults)
  is_bounded = has_revocation and schedule.seed % 2
  return tenancy.REVOCATION_SECONDS if is_bounded else None


async def _inject_fault(served: fleet.Fleet, fault: Fault) -> None:
  await asyncio.sleep(fault.at)
  await _INJECT_BY_KIND[fault.kind](served, fault)


def shrink(
  schedule: Schedule, is_failing: Callable[[Schedule], bool]
) -> Schedule:
  """Returns a schedule from which no single fault can be removed.

  Removes faults one by one for as long as `is_failing` holds for the rest.
  """
  smaller = next(filter(is_failing, _remove_each_fault(schedule)), None)
  return schedule if smaller is None else shrink(smaller, is_failing)


def _remove_each_fault(schedule: Schedule) -> Iterator[Schedule]:
  faults = schedule.faults
  for number in range(len(faults)):
    rest = faults[:number] + faults[number + 1 :]
    yield dataclasses.replace(schedule, faults=rest)


# --- Faults -------------------------------------------------------------------


def _find_domain(served: fleet.Fleet, fault: Fault) -> str:
  return served.domains[fault.target % len(served.domains)]


def _find_daemon(served: fleet.Fleet, fault: Fault) -> str:
  return served.names[fault.target % len(served.names)]


@contextlib.contextmanager
def _cut(served: fleet.Fleet, cut: network.Cut) -> Iterator[None]:
  served.network.cuts.append(cut)
  try:
    yield
  finally:
    served.network.cuts.remove(cut)


async def _cut_domain(served: fleet.Fleet, fault: Fault) -> None:
  """Isolates a domain, also from the store except in one of four variants."""
  domain = _find_domain(served, fault)
  is_reset = fault.variant % 2 == 0
  cuts = network.make_cuts(domain, served.domains, is_reset=is_reset)
  lost = served.store.domains_without
  with contextlib.ExitStack() as stack:
    for cut in cuts:
      stack.enter_context(_cut(served, cut))
    if fault.variant != 3 and domain not in lost:
      lost.add(domain)
      stack.callback(lost.discard, domain)
    await asyncio.sleep(fault.seconds)


async def _cut_one_way(served: fleet.Fleet, fault: Fault) -> None:
  domain = frozenset({_find_domain(served, fault)})
  others = frozenset(served.domains) - domain
  source, target = (domain, others) if fault.variant % 2 else (others, domain)
  with _cut(
    served, network.Cut(sources=source, targets=target, is_reset=False)
  ):
    await asyncio.sleep(fault.seconds)


async def _stop_store(served: fleet.Fleet, fault: Fault) -> None:
  store = served.store
  store.is_out, store.is_silent = True, fault.variant % 2 == 0
  await asyncio.sleep(fault.seconds)
  store.is_out = store.is_silent = False
  store.rows.notify_followers()


async def _reject_daemons(served: fleet.Fleet, fault: Fault) -> None:
  """Makes the store reject a third of all daemons."""
  chosen = set(served.names[fault.target % 3 :: 3])
  served.store.rejected_names |= chosen
  await asyncio.sleep(fault.seconds)
  served.store.rejected_names -= chosen


async def _slow_store(served: fleet.Fleet, fault: Fault) -> None:
  served.store.is_slow = True
  await asyncio.sleep(fault.seconds)
  served.store.is_slow = False


async def _drop_store_answers(served: fleet.Fleet, fault: Fault) -> None:
  served.store.answer_loss = 0.3
  await asyncio.sleep(fault.seconds)
  served.store.answer_loss = 0.0


async def _truncate_store_history(served: fleet.Fleet, fault: Fault) -> None:
  served.store.rows.history_from = served.store.rows.version
  served.store.rows.notify_followers()


async def _drop_datagrams(served: fleet.Fleet, fault: Fault) -> None:
  served.network.loss = DATAGRAM_LOSS_SHARE
  await asyncio.sleep(fault.seconds)
  served.network.loss = 0.0


async def _delay_messages(served: fleet.Fleet, fault: Fault) -> None:
  served.network.delay = 0.15
  await asyncio.sleep(fault.seconds)
  served.network.delay = 0.0


async def _drop_messages(served: fleet.Fleet, fault: Fault) -> None:
  """Drops the messages of a daemon, or the replies, but no datagrams."""
  name = _find_daemon(served, fault)
  net = served.network
  lost = net.replies_lost_to if fault.variant % 2 else net.requests_lost_from
  lost.add(name)
  await asyncio.sleep(fault.seconds)
  lost.discard(name)


async def _mute_hubs(served: fleet.Fleet, fault: Fault) -> None:
  """Makes the hubs of a domain neither send nor receive for a while.

  In a small fleet without hubs these are any members of the domain.  Callers do
  not reach them meanwhile.
  """
  domain = _find_domain(served, fault)
  sites = [s for s in served.get_alive() if s.domain == domain]
  sites.sort(key=lambda site: not site.daemon.fleet.is_hub)
  names = {site.daemon.config.name for site in sites[:MUTE_DAEMONS]}
  served.network.mute_names |= names
  await asyncio.sleep(fault.seconds)
  served.network.mute_names -= names


async def _isolate(served: fleet.Fleet, fault: Fault) -> None:
  """Cuts some daemons off from all others, but not from the store."""
  isolated_at = served.network.isolated_at
  first = fault.target % len(served.names)
  names = served.names[first : first + 1 + fault.variant % MAX_ISOLATED]
  now = asyncio.get_running_loop().time()
  isolated_at.update({n: now for n in names if n not in isolated_at})
  await asyncio.sleep(fault.seconds)
  for name in names:
    isolated_at.pop(name, None)


async def _kill(served: fleet.Fleet, fault: Fault) -> None:
  """Kills a daemon and restarts it under the same name."""
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
  """Kills all daemons at once, whatever other faults there are."""
  await asyncio.gather(*(served.kill(name) for name in served.names))
  await asyncio.sleep(min(1.0, fault.seconds))
  for name in served.names:
    await served.start(name)


async def _restart_daemons(served: fleet.Fleet, fault: Fault) -> None:
  """Stops two daemons gracefully, one after the other, and restarts each."""
  first = fault.target % len(served.names)
  for name in served.names[first : first + 2]:
    await served.stop(name)
    await served.start(name)


async def _change_keys(served: fleet.Fleet, fault: Fault) -> None:
  """Replaces a team's key and later another team's, or swaps both keys."""
  names = tenancy.TEAM_NAMES
  one, other = (names[(fault.target + n) % len(names)] for n in (0, 1))
  if fault.variant == 3:
    served.tenancy.swap_keys(one, other)
    await served.write_teams()
    return
  for name in (one, other):
    served.tenancy.replace_key(name, asyncio.get_running_loop().time())
    await served.write_teams()
    await asyncio.sleep(fault.seconds)


async def _change_limit(served: fleet.Fleet, fault: Fault) -> None:
  rate = tenancy.RATE_CHOICES[fault.variant % len(tenancy.RATE_CHOICES)]
  served.tenancy.set_rate(rate, asyncio.get_running_loop().time())
  await served.write_teams()


async def _send_fatal_requests(served: fleet.Fleet, fault: Fault) -> None:
  """Sends a request again and again that ends each instance that runs it."""
  await crashes.FatalCaller(
    served=served,
    name=f'f{fault.target}-{fault.at}',
    path=crashes.PATHS[fault.variant],
    kinds=served.fault_kinds,
  ).run(fault.seconds)


_INJECT_BY_KIND: dict[str, Callable[[fleet.Fleet, Fault], Awaitable[None]]] = {
  'crash': _send_fatal_requests,
  'cut': _cut_domain,
  'cut-one-way': _cut_one_way,
  'delay': _delay_messages,
  'forget': _truncate_store_history,
  'isolate': _isolate,
  'kill': _kill,
  'kill-all': _kill_all,
  'kill-domain': _kill_domain,
  'limit': _change_limit,
  'lose-answers': _drop_store_answers,
  'lose-datagrams': _drop_datagrams,
  'mute-hubs': _mute_hubs,
  'replace': _restart_daemons,
  'revoke': _change_keys,
  'silence': _drop_messages,
  'store-out': _stop_store,
  'store-slow': _slow_store,
  'store-some': _reject_daemons,
}

KINDS = tuple(sorted(_INJECT_BY_KIND))
