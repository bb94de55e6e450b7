"""Measures the latency added to a call, and the cost of relaying tokens.

Runs an engine stand-in, a platform stand-in and two daemons as separate
processes, so that each has a processor, and compares calls through a gateway
and a separate owner with direct calls to the same engine.

Usage: ./dev python bench/path.py [--calls 300] [--tokens 2000]
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import statistics
import sys
import tempfile
import time

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import fleet as fleets
import processes

from woadrun.standins import local

HEADERS = {'Authorization': f'Bearer {local.CALLER_TOKEN}'}


async def time_call(session, url, body, headers):
  started = time.perf_counter()
  first = None
  async with session.post(url, json=body, headers=headers) as response:
    async for _ in response.content.iter_any():
      first = first or time.perf_counter() - started
  return first, time.perf_counter() - started


def describe(name, pairs):
  for index, part in enumerate(('first token', 'whole answer')):
    values = sorted(pair[index] * 1000 for pair in pairs)
    print(
      f'{name:10} {part:13} median {statistics.median(values):7.2f} ms   '
      f'99th {values[int(len(values) * 0.99)]:7.2f} ms'
    )


async def start_engine(token_seconds):
  process = await asyncio.create_subprocess_exec(
    sys.executable, '-m', 'woadrun', 'stand-in', 'engine', '--slots', '64',
    '--token-seconds', str(token_seconds), stdout=asyncio.subprocess.PIPE,
  )  # fmt: skip
  url = (await process.stdout.readline()).decode().strip()
  return process, url


async def main() -> None:
  parser = argparse.ArgumentParser()
  parser.add_argument('--calls', type=int, default=300)
  parser.add_argument('--tokens', type=int, default=2000)
  arguments = parser.parse_args()
  process, url = await start_engine(0.0)
  with tempfile.TemporaryDirectory() as folder:
    outside = await local.start_outside(engines=1)
    outside.engines[0].url = url
    fleet = fleets.Fleet(pathlib.Path(folder), outside, has_links=False)
    try:
      for _ in range(2):
        await fleet.add()
      await fleet.wait_ready()
      await fleet.wait_version(
        await fleet.edit(fleet.nodes[0], riders={'program_budget': 10**9})
      )
      await compare(fleet, url, arguments.calls)
      await relay(fleet, arguments.tokens)
    finally:
      process.kill()
      await process.wait()
      await fleet.stop()


async def make_programs(fleet, count):
  """Returns tuples of program, gateway that is not the owner, and owner."""
  caller = fleet.make_client()
  found = []
  owner_by_slot = {}
  while len(found) < count:
    name = (await caller.start('riders', 10**8))['id']
    slot = name.split('.')[1]
    if slot not in owner_by_slot:
      owner_by_slot[slot] = await fleet.find_owner(name)
    other = next(n for n in fleet.nodes if n is not owner_by_slot[slot])
    found.append((name, other, owner_by_slot[slot]))
  return found


async def compare(fleet, url, count) -> None:
  direct, relayed = [], []
  async with aiohttp.ClientSession() as session:
    programs = await make_programs(fleet, count)
    before = [
      processes.get_processor_seconds(fleets.get_pid(n)) for n in fleet.nodes
    ]
    for name, node, _ in programs:
      body = {
        'model': local.MODEL, 'stream': True, 'max_tokens': 16,
        'messages': [{'role': 'user', 'content': f'{name} asks'}],
      }  # fmt: skip
      path = '/v1/chat/completions'
      direct.append(await time_call(session, url + path, body, {}))
      relayed.append(
        await time_call(
          session, f'http://{node.listen}{path}', body,
          {**HEADERS, 'Woadrun-Program': name},
        )
      )  # fmt: skip
    after = [
      processes.get_processor_seconds(fleets.get_pid(n)) for n in fleet.nodes
    ]
  describe('direct', direct)
  describe('woadrun', relayed)
  added = [
    statistics.median(t[i] - d[i] for d, t in zip(direct, relayed, strict=True))
    for i in (0, 1)
  ]
  processor_time = (sum(after) - sum(before)) / count * 1000
  print(f'added at the median: first token {added[0] * 1000:.2f} ms, '
        f'whole {added[1] * 1000:.2f} ms')  # fmt: skip
  print(
    f'processor time of both daemons: {processor_time:.2f} ms for each call'
  )


async def relay(fleet, tokens) -> None:
  programs = await make_programs(fleet, 16)
  before = [
    processes.get_processor_seconds(fleets.get_pid(n)) for n in fleet.nodes
  ]
  started = time.perf_counter()

  async def relay_program(session, name, node):
    body = {
      'model': local.MODEL, 'stream': True, 'max_tokens': tokens,
      'woadrun_test_tokens': tokens,
      'messages': [{'role': 'user', 'content': f'{name} asks'}],
    }  # fmt: skip
    await time_call(
      session, f'http://{node.listen}/v1/chat/completions', body,
      {**HEADERS, 'Woadrun-Program': name},
    )  # fmt: skip

  async with aiohttp.ClientSession() as session:
    await asyncio.gather(
      *(relay_program(session, n, node) for n, node, _ in programs)
    )
  seconds = time.perf_counter() - started
  after = [
    processes.get_processor_seconds(fleets.get_pid(n)) for n in fleet.nodes
  ]
  total = tokens * len(programs)
  processor_time = sum(after) - sum(before)
  result = {
    'tokens': total,
    'seconds': round(seconds, 2),
    'tokens_a_second': round(total / seconds),
    'processor_ms_for_1000_tokens': round(processor_time / total * 1e6, 2),
    'tokens_for_a_core_second': round(total / processor_time),
  }
  print(json.dumps(result))


if __name__ == '__main__':
  asyncio.run(main())
