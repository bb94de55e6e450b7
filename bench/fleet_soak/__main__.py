"""Runs the soak: `./dev python bench/fleet_soak --seed 1 --seconds 30`.

Prints what happened and each violation of a promise; exits with 1 where
there was one.  Logs of the daemons are kept then.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import pathlib
import shutil
import signal
import sys
import tempfile
import time

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from fleet_soak import callers
from fleet_soak import checker
from fleet_soak import daemons
from fleet_soak import faults
from fleet_soak import network
from fleet_soak import outside

DOMAINS = ('north', 'south')
READY_SECONDS = 30.0
RETURN_SECONDS = 15.0
TURNS_ASKED = 20


async def soak(
  *, seed: int, seconds: float, count: int, folder: pathlib.Path
) -> list[str]:
  """Returns the violations that a seed found."""
  hosts = network.Network()
  around = outside.Outside(domains=DOMAINS, seed=seed, hosts=hosts)
  await around.start()
  fleet = [
    daemons.Daemon(
      number=n,
      domain=DOMAINS[n % len(DOMAINS)],
      folder=folder,
      host=hosts.get_host(3, n),
    )
    for n in range(count)
  ]
  seen = callers.Callers(fleet=fleet, seed=seed, count=2 * count)
  causes = faults.Faults(fleet=fleet, around=around, seed=seed)
  checks = checker.Checker(around=around, seen=seen)
  try:
    await asyncio.gather(*(daemon.start(around.store) for daemon in fleet))
    await _wait_ready(fleet)
    found = await _play(seen, causes, checks, seconds)
    await _wait_ready(fleet)
    found += await _ask_last(seen, checks)
    found += checks.check() + causes.bad_exits
  finally:
    for daemon in fleet:
      if daemon.process is not None:
        await daemon.kill()
      if daemon.link is not None:
        await daemon.link.stop()
    await around.stop()
    hosts.close()
  statuses = sorted({made.status for made in seen.tries})
  told = {s: sum(made.status == s for made in seen.tries) for s in statuses}
  print(f'seed {seed}: {len(seen.tries)} tries {told}, {dict(causes.counts)}')
  return list(dict.fromkeys(found))


async def _play(seen, causes, checks, seconds) -> list[str]:
  calling = asyncio.ensure_future(seen.run())
  causing = asyncio.ensure_future(causes.run())
  until = time.monotonic() + seconds
  found: list[str] = []
  while time.monotonic() < until and not found and not calling.done():
    await asyncio.sleep(0.5)
    found = checks.check()
  causing.cancel()
  await causes.heal()
  seen.is_stopped = True
  await calling
  return found


async def _ask_last(seen, checks) -> list[str]:
  """Returns which of the newest turns nobody can continue any more."""
  left = checks.find_last_whole(TURNS_ASKED)
  until = time.monotonic() + RETURN_SECONDS
  async with aiohttp.ClientSession() as session:
    while left and time.monotonic() < until:
      found = [(turn, await seen.ask_last(session, turn)) for turn in left]
      left = [turn for turn, made in found if made.status != 200]
  return [f'{turn.request} cannot be continued any more' for turn in left]


async def _wait_ready(fleet: list[daemons.Daemon]) -> None:
  async with aiohttp.ClientSession() as session:
    async with asyncio.timeout(READY_SECONDS):
      for daemon in fleet:
        while not await daemon.is_ready(session):
          await asyncio.sleep(0.1)


async def _run(
  seed: int, options: argparse.Namespace, folder: pathlib.Path
) -> list[str]:
  # Whoever ends the soak ends its daemons too.
  task = asyncio.current_task()
  asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
  return await soak(
    seed=seed,
    seconds=options.seconds,
    count=options.daemons,
    folder=folder,
  )


def main() -> int:
  """Returns 1 where a promise was broken."""
  parser = argparse.ArgumentParser(description=__doc__)
  parser.add_argument('--seed', type=int, default=1)
  parser.add_argument('--seeds', type=int, default=1, help='how many in a row')
  parser.add_argument('--seconds', type=float, default=30.0)
  parser.add_argument('--daemons', type=int, default=6)
  parser.add_argument('--folder', type=pathlib.Path, help='where logs go')
  options = parser.parse_args()
  # Instances notice callers that are gone; that is no news here.
  logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
  is_broken = False
  for seed in range(options.seed, options.seed + options.seeds):
    folder = pathlib.Path(
      tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=options.folder)
    )
    found = asyncio.run(_run(seed, options, folder))
    for violation in found[:20]:
      print(f'seed {seed}: BROKEN: {violation}')
    if found:
      print(f'seed {seed}: logs in {folder}')
      is_broken = True
    else:
      shutil.rmtree(folder)
  return 1 if is_broken else 0


if __name__ == '__main__':
  sys.exit(main())
