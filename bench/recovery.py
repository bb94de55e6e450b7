"""Measures recovery from failures over repeated runs.

- The time from `kill -9` of an owner until the next call of its program is
  served, with the platform up and down.
- Goodput before, during and after a domain is cut off.
- The time to normal operation after an outage of the platform, and the highest
  number of platform requests in one second.

Usage: ./dev python bench/recovery.py [--rounds 5] [--outage 60]
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import statistics
import sys
import tempfile
import time

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import fleet as fleets

from woadrun import errors
from woadrun.standins import local

CALL_ERRORS = (
  errors.WoadrunError,
  aiohttp.ClientError,
  asyncio.TimeoutError,
  OSError,
)


async def time_takeover(*, is_platform_up: bool) -> float:
  with tempfile.TemporaryDirectory() as folder:
    async with fleets.make_fleet(pathlib.Path(folder), 'nnnn') as fleet:
      caller = fleet.make_client(patience=60.0)
      name = (await caller.start('riders', 50_000))['id']
      await caller.say(name, 'before', model=local.MODEL)
      owner = await fleet.find_owner(name)
      caller.addresses = [n.listen for n in fleet.nodes if n is not owner]
      fleet.outside.platform.faults.down = not is_platform_up
      owner.kill()
      started = time.monotonic()
      await caller.say(name, 'after', model=local.MODEL)
      return time.monotonic() - started


async def count_calls(fleet, seconds, nodes) -> float:
  """Returns the served calls per second of callers at some daemons."""
  served = 0
  until = time.monotonic() + seconds
  caller = fleet.make_client(*nodes, patience=0.0)

  async def call_programs(number):
    nonlocal served
    while time.monotonic() < until:
      try:
        name = (await caller.start('riders', 50_000))['id']
        for turn in range(5):
          await caller.say(name, f'{number} {turn}', model=local.MODEL)
          served += 1
      except CALL_ERRORS:
        await asyncio.sleep(0.05)

  await asyncio.gather(*(call_programs(n) for n in range(8)))
  return served / seconds


async def measure_cut() -> None:
  with tempfile.TemporaryDirectory() as folder:
    async with fleets.make_fleet(
      pathlib.Path(folder), 'nnnsss', engines=4
    ) as fleet:
      north, south = fleet.nodes[:3], fleet.nodes[3:]
      for title in ('before', 'during', 'after'):
        if title == 'during':
          fleet.cut(north, south)
          fleet.cut_platform(*south)
        if title == 'after':
          fleet.heal()
          await asyncio.sleep(3.0)
        # The first seconds of a cut are measured too, as a separate figure.
        if title == 'during':
          rates = await asyncio.gather(
            count_calls(fleet, 6.0, north), count_calls(fleet, 6.0, south)
          )
          print(f'first 6 s of the cut: {rates[0]:6.1f} calls/s at callers '
                f'north, {rates[1]:6.1f} south')  # fmt: skip
        rates = await asyncio.gather(
          count_calls(fleet, 6.0, north), count_calls(fleet, 6.0, south)
        )
        print(f'{title:7} the cut: {rates[0]:6.1f} calls/s at callers north, '
              f'{rates[1]:6.1f} south')  # fmt: skip


async def measure_outage(seconds: float) -> None:
  with tempfile.TemporaryDirectory() as folder:
    async with fleets.make_fleet(
      pathlib.Path(folder), 'nnnsss', engines=4
    ) as fleet:
      platform = fleet.outside.platform
      load = asyncio.ensure_future(count_calls(fleet, seconds + 10, ()))
      await asyncio.sleep(3.0)
      platform.faults.down = True
      await asyncio.sleep(seconds)
      platform.faults.down = False
      ended = time.monotonic()
      peak_requests, recovery_seconds = await watch_recovery(fleet, ended)
      rate = await load
      print(f'outage of {seconds:.0f} s: {rate:.1f} calls/s served all along; '
            f'all records kept {recovery_seconds:.2f} s after its end; busiest '
            f'second {peak_requests} platform requests')  # fmt: skip


async def watch_recovery(fleet, ended) -> tuple[int, float]:
  platform = fleet.outside.platform
  peak_requests, recovery_seconds = 0, 0.0
  for _ in range(6):
    before = platform.requests
    await asyncio.sleep(1.0)
    peak_requests = max(peak_requests, platform.requests - before)
    dumps = [await fleet.dump(n) for n in fleet.nodes]
    is_normal = all(d and not d['storage']['last_error'] for d in dumps)
    if is_normal and not recovery_seconds:
      recovery_seconds = time.monotonic() - ended
  return peak_requests, recovery_seconds


async def main() -> None:
  parser = argparse.ArgumentParser()
  parser.add_argument('--rounds', type=int, default=5)
  parser.add_argument('--outage', type=float, default=60.0)
  arguments = parser.parse_args()
  for is_up in (True, False):
    seconds = [
      await time_takeover(is_platform_up=is_up) for _ in range(arguments.rounds)
    ]
    print(f'kill -9 to the next call served, platform '
          f'{"up" if is_up else "out"}: median '
          f'{statistics.median(seconds):.2f} s, worst {max(seconds):.2f} s '
          f'of {arguments.rounds}')  # fmt: skip
  await measure_cut()
  await measure_outage(arguments.outage)


if __name__ == '__main__':
  asyncio.run(main())
