"""Runs the soak test: `./dev python bench/fleet_soak --seed 1 --seconds 30`.

Prints a summary and each violation of a guarantee.  Exits with 1 and keeps the
logs of the daemons if there was a violation.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from typing import Any

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from fleet_soak import bursts
from fleet_soak import callers
from fleet_soak import checker
from fleet_soak import daemons
from fleet_soak import faults
from fleet_soak import network
from fleet_soak import outside
from fleet_soak import watch

DOMAINS = ('north', 'south')
# Memory limits that daemons are told, in turn.
MEMORY_MB = (128.0, 88.0)
READY_TIMEOUT_SECONDS = 30.0
CONTINUE_TIMEOUT_SECONDS = 15.0
CHECKED_TURNS = 20
# Violations of a seed that are printed.
MAX_PRINTED = 20
# Daemons that start at the same time: more would take too long to be ready.
MAX_STARTING = 4


async def soak(
  *,
  seed: int,
  seconds: float,
  count: int,
  folder: pathlib.Path,
  callers_count: int | None = None,
  stops_early: bool = True,
) -> list[str]:
  """Returns the violations found in a run with a seed, of `count` daemons.

  There are twice as many callers by default.  The run ends with the first
  violation if it `stops_early`.
  """
  hosts = network.Network()
  environment = outside.Outside(domains=DOMAINS, seed=seed, hosts=hosts)
  await environment.start()
  fleet = [
    daemons.Daemon(
      number=n,
      domain=DOMAINS[n % len(DOMAINS)],
      folder=folder,
      host=hosts.get_host(3, n),
      rng=random.Random(f'daemon/{seed}/{n}'),
      memory_mb=MEMORY_MB[n // len(DOMAINS) % len(MEMORY_MB)],
    )
    for n in range(count)
  ]
  caller_pool = callers.Callers(
    fleet=fleet,
    seed=seed,
    count=callers_count or 2 * count,
    has_turn=environment.has_turn,
  )
  sender = bursts.Bursts(caller_pool=caller_pool, seed=seed)
  injector = faults.Faults(
    fleet=fleet, environment=environment, bursts=sender, seed=seed
  )
  guarantees = checker.Checker(
    environment=environment, caller_pool=caller_pool, bursts=sender.sent
  )
  observer = watch.Watch(fleet=fleet, environment=environment)
  watching = asyncio.ensure_future(observer.run())
  try:
    await start_all(fleet, environment)
    found = await _run_faults(
      caller_pool, injector, guarantees, seconds, stops_early=stops_early
    )
    await _wait_ready(fleet)
    found += await _check_continuations(caller_pool, guarantees)
    found += guarantees.check() + injector.bad_exits
    found += observer.violations
  finally:
    watching.cancel()
    for daemon in fleet:
      if daemon.process is not None:
        await daemon.kill()
      if daemon.link is not None:
        await daemon.link.stop()
    caller_pool.close()
    await environment.stop()
    hosts.close()
  statuses = sorted({attempt.status for attempt in caller_pool.attempts})
  count_by_status = {
    s: sum(attempt.status == s for attempt in caller_pool.attempts)
    for s in statuses
  }
  print(
    f'seed {seed}: {len(caller_pool.attempts)} tries {count_by_status}, '
    f'{dict(injector.counts)}, {guarantees.count_broken_promises()}, '
    f'{guarantees.count_innocent()}, '
    f'peak {max(observer.peak_by_name.values()):.0f} MB, '
    f'bursts {[burst.kind for burst in sender.sent]}'
  )
  return list(dict.fromkeys(found))


async def _run_faults(
  caller_pool, injector, guarantees, seconds, *, stops_early
) -> list[str]:
  caller_task = asyncio.ensure_future(caller_pool.run())
  fault_task = asyncio.ensure_future(injector.run())
  until = time.monotonic() + seconds
  found: list[str] = []
  while time.monotonic() < until and not caller_task.done():
    if found and stops_early:
      break
    await asyncio.sleep(0.5)
    found = list(dict.fromkeys(found + guarantees.check()))
  fault_task.cancel()
  await injector.heal()
  caller_pool.is_stopped = True
  await caller_task
  return found


async def _check_continuations(caller_pool, guarantees) -> list[str]:
  """Returns a violation for each recent turn that cannot be continued."""
  failing = guarantees.find_recent_turns(CHECKED_TURNS)
  until = time.monotonic() + CONTINUE_TIMEOUT_SECONDS
  async with aiohttp.ClientSession() as session:
    while failing and time.monotonic() < until:
      found = [
        (turn, await caller_pool.continue_turn(turn, session=session))
        for turn in failing
      ]
      failing = [turn for turn, attempt in found if attempt.status != 200]
    # The checker reports those that run.
    await asyncio.gather(
      *(
        caller_pool.continue_turn(turn, session=session)
        for turn in guarantees.find_unkept_turns(CHECKED_TURNS)
      )
    )
  return [f'{turn.request} can no longer be continued' for turn in failing]


async def start_all(
  fleet: list[daemons.Daemon], environment: outside.Outside
) -> None:
  """Starts daemons and waits until all of them are ready."""
  limit = asyncio.Semaphore(MAX_STARTING)

  async def start(daemon: daemons.Daemon) -> None:
    async with limit:
      await daemon.start(environment.store_address)
      await _wait_ready([daemon])

  await asyncio.gather(*map(start, fleet))
  await _wait_ready(fleet)


async def _wait_ready(fleet: list[daemons.Daemon]) -> None:
  async with aiohttp.ClientSession() as session:
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
      for daemon in fleet:
        while not await daemon.is_ready(session):
          await asyncio.sleep(0.1)


def add_common_options(parser: argparse.ArgumentParser) -> None:
  """Adds the options that `run_seeds` reads."""
  parser.add_argument('--seed', type=int, default=1)
  parser.add_argument('--seeds', type=int, default=1, help='how many in a row')
  parser.add_argument('--folder', type=pathlib.Path, help='where logs go')


def run_seeds(
  options: argparse.Namespace,
  play: Callable[[int, pathlib.Path], Coroutine[Any, Any, list[str]]],
  *,
  prefix: str,
) -> int:
  """Plays seeds one after the other; returns 1 if one had violations, else 0.

  `play` returns the violations of a seed, whose daemons log to a folder; it is
  kept if there are any.
  """
  # Instances log each disconnected caller, which the faults make common.
  logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)

  async def run(seed: int, folder: pathlib.Path) -> list[str]:
    # Stops the daemons too when the run is terminated.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await play(seed, folder)

  has_violations = False
  for seed in range(options.seed, options.seed + options.seeds):
    folder = pathlib.Path(
      tempfile.mkdtemp(prefix=f'{prefix}-{seed}-', dir=options.folder)
    )
    found = asyncio.run(run(seed, folder))
    for violation in found[:MAX_PRINTED]:
      print(f'seed {seed}: BROKEN: {violation}')
    if found:
      print(f'seed {seed}: logs in {folder}', flush=True)
      has_violations = True
    else:
      shutil.rmtree(folder)
  return 1 if has_violations else 0


def main() -> int:
  """Returns 1 if a guarantee was violated, 0 otherwise."""
  parser = argparse.ArgumentParser(description=__doc__)
  add_common_options(parser)
  parser.add_argument('--seconds', type=float, default=30.0)
  parser.add_argument('--daemons', type=int, default=6)
  parser.add_argument('--callers', type=int, help='twice the daemons if unset')
  parser.add_argument(
    '--whole', action='store_true', help='go on after the first violation'
  )
  options = parser.parse_args()

  async def play(seed: int, folder: pathlib.Path) -> list[str]:
    return await soak(
      seed=seed,
      seconds=options.seconds,
      count=options.daemons,
      folder=folder,
      callers_count=options.callers,
      stops_early=not options.whole,
    )

  return run_seeds(options, play, prefix='soak')


if __name__ == '__main__':
  sys.exit(main())
