"""Compares a surge of programs at real daemons with one at the engines.

Confirms the direction of the simulated experiment's result with processes: 12
daemons in 3 domains and 6 engines with small caches.  In the naive variant,
callers use the engines round-robin and send the whole conversation.

Usage: ./dev python bench/surge.py [--programs 300] [--seed 1]
"""

from __future__ import annotations

import argparse
import asyncio
import math
import pathlib
import random
import statistics
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import fleet as fleets

from woadrun.connection import client
from woadrun.standins import engine
from woadrun.standins import local

DOMAINS = ('north', 'south', 'west')
ENGINES = 6
SLOTS = 4
ARRIVAL_SECONDS = 10.0
WORDS = 400
OUTPUT = 40


def draw_shapes(programs, seed):
  """Returns the arrival time of each program and the pauses after its turns."""
  rng = random.Random(seed)
  return [
    (
      rng.uniform(0, ARRIVAL_SECONDS),
      [
        rng.expovariate(2.0)
        for _ in range(min(30, max(1, round(4 * math.exp(rng.gauss(0, 1))))))
      ],
    )
    for _ in range(programs)
  ]


def make_engines():
  return [
    engine.Engine(
      slots=SLOTS, cache_tokens=12_000, prefill_rate=4000.0, token_seconds=0.01
    )
    for _ in range(ENGINES)
  ]


class HeldMemory:
  """Counts the token-seconds that engines hold for ended programs."""

  def __init__(self, engines) -> None:
    self.engines = engines
    self.ended_programs: set[str] = set()
    self.token_seconds = 0.0

  async def watch(self) -> None:
    """Adds up the held token-seconds until cancelled."""
    last = time.monotonic()
    while True:
      await asyncio.sleep(0.1)
      now = time.monotonic()
      held = sum(
        tokens
        for part in self.engines
        for salt, tokens in part._cache.items()
        if salt in self.ended_programs
      )
      self.token_seconds += held * (now - last)
      last = now


async def run_all(shapes, serve_one, memory) -> list[float]:
  watcher = asyncio.ensure_future(memory.watch())
  started = time.monotonic()

  async def run_program(number, arrives, pauses):
    await asyncio.sleep(max(0.0, started + arrives - time.monotonic()))
    program_started = time.monotonic()
    await serve_one(number, pauses)
    return time.monotonic() - program_started

  seconds = await asyncio.gather(
    *(
      run_program(n, arrives, pauses)
      for n, (arrives, pauses) in enumerate(shapes)
    )
  )
  await asyncio.sleep(5.0)
  watcher.cancel()
  return sorted(seconds)


def make_text(number, turn):
  return ' '.join(f'p{number}t{turn}' for _ in range(WORDS if not turn else 60))


async def run_naive(shapes) -> None:
  engines = make_engines()
  urls = [await part.start() for part in engines]
  memory = HeldMemory(engines)
  request_count = 0
  async with fleets.aiohttp.ClientSession() as session:

    async def serve_one(number, pauses):
      nonlocal request_count
      messages = []
      for turn, pause in enumerate(pauses):
        text = make_text(number, turn)
        messages.append({'role': 'user', 'content': text})
        request_count += 1
        body = {
          'messages': messages, 'max_tokens': OUTPUT,
          'woadrun_test_tokens': OUTPUT, 'cache_salt': f'p{number}',
        }  # fmt: skip
        url = f'{urls[request_count % ENGINES]}/v1/chat/completions'
        async with session.post(url, json=body) as response:
          answer = client.read_content(await response.read())
        messages.append({'role': 'assistant', 'content': answer})
        await asyncio.sleep(pause)
      memory.ended_programs.add(f'p{number}')

    seconds = await run_all(shapes, serve_one, memory)
  for part in engines:
    await part.stop()
  report('naive', seconds, memory)


async def run_daemons(shapes) -> None:
  with tempfile.TemporaryDirectory() as folder:
    outside = await local.start_outside(engines=0)
    outside.engines = make_engines()
    for part in outside.engines:
      await part.start()
    fleet = fleets.Fleet(pathlib.Path(folder), outside, has_links=False)
    memory = HeldMemory(outside.engines)
    try:
      for index in range(12):
        await fleet.add(DOMAINS[index % 3], DOMAINS)
      await fleet.wait_ready()
      columns = {'program_budget': 10**7}
      await fleet.wait_version(await fleet.edit(fleet.nodes[0], riders=columns))
      caller = fleet.make_client(patience=300.0)

      async def serve_one(number, pauses):
        name = (await caller.start('riders', 10**6))['id']
        for turn, pause in enumerate(pauses):
          await caller.say(
            name, make_text(number, turn), model=local.MODEL,
            max_tokens=OUTPUT, woadrun_test_tokens=OUTPUT,
          )  # fmt: skip
          await asyncio.sleep(pause)
        await caller.ask('POST', f'/v1/programs/{name}/end')
        memory.ended_programs.add(name)

      seconds = await run_all(shapes, serve_one, memory)
      report('woadrun', seconds, memory)
    finally:
      await fleet.stop()


def report(name, seconds, memory) -> None:
  print(
    f'{name:8} programs {len(seconds)}  mean {statistics.fmean(seconds):6.2f} s'
    f'  p50 {seconds[len(seconds) // 2]:6.2f} s'
    f'  p95 {seconds[int(len(seconds) * 0.95)]:6.2f} s'
    f'  gone programs held {memory.token_seconds / 1000:8.1f} k token-seconds',
    flush=True,
  )


async def main() -> None:
  parser = argparse.ArgumentParser()
  parser.add_argument('--programs', type=int, default=300)
  parser.add_argument('--seed', type=int, default=1)
  arguments = parser.parse_args()
  shapes = draw_shapes(arguments.programs, arguments.seed)
  await run_naive(shapes)
  await run_daemons(shapes)


if __name__ == '__main__':
  asyncio.run(main())
