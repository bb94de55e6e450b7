"""Soak test: daemons under load with random faults, and a checker.

Kills, freezes, cuts of a domain, outages of the platform and lost answers are
drawn from a seed, one fault at a time.  At the end the checker compares the
answers that callers received with histories, with what the services ran, and
with what the engines still hold.

Usage: ./dev python bench/soak.py [--seconds 600] [--seed 1] [--daemons 12]
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import random
import sys
import tempfile
import time

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import fleet as fleets

from woadrun import errors
from woadrun.standins import local

CALLERS = 24
DOMAINS = ('north', 'south', 'west')
FAULTS = ('kill', 'freeze', 'cut', 'outage', 'lost answers')


class Record:
  """The answers that callers received."""

  def __init__(self) -> None:
    self.texts_by_program: dict[str, list[str]] = {}
    self.result_by_action: dict[str, str] = {}
    self.failed_programs: set[str] = set()
    self.count_by_code: collections.Counter[str] = collections.Counter()
    self.calls = 0


async def run_program(caller, record, name, number) -> None:
  """Runs a program and cancels it; stops at the first turn that fails."""
  record.texts_by_program[name] = []
  for turn in range(6):
    text = f'{number} says {turn}'
    try:
      answer = await caller.say(
        name, text, model=local.MODEL, request=f't{turn}', ordinal=0
      )
    except (errors.WoadrunError, aiohttp.ClientError, OSError) as error:
      record.count_by_code[getattr(error, 'code', type(error).__name__)] += 1
      record.failed_programs.add(name)
      break
    record.texts_by_program[name] += [text, answer]
    record.calls += 1
    if turn % 2:
      await act(caller, record, name, turn)
  try:
    await caller.ask('POST', f'/v1/programs/{name}/cancel')
  except (errors.WoadrunError, aiohttp.ClientError, OSError) as error:
    record.count_by_code[f'cancel: {getattr(error, "code", error)}'] += 1


async def act(caller, record, name, turn) -> None:
  key = f'{name}:a{turn}'
  try:
    await caller.act(name, 'service-0/charge', {}, request=f'a{turn}')
    record.result_by_action[key] = 'ran'
  except errors.WoadrunError as error:
    record.result_by_action[key] = error.ran.value
    record.count_by_code[f'action: {error.code}'] += 1
  except (aiohttp.ClientError, OSError):
    record.result_by_action[key] = 'unknown'
  record.calls += 1


async def run_programs(caller, record, number, until) -> None:
  count = 0
  while time.monotonic() < until:
    count += 1
    try:
      name = (await caller.start('riders', 20_000))['id']
    except (errors.WoadrunError, aiohttp.ClientError, OSError) as error:
      record.count_by_code[f'start: {getattr(error, "code", error)}'] += 1
      continue
    await run_program(caller, record, name, f'{number}.{count}')


async def inject_faults(fleet, rng, until, faults) -> None:
  while time.monotonic() < until:
    await asyncio.sleep(rng.uniform(3, 8))
    kind = rng.choice(FAULTS)
    faults[kind] += 1
    domain = rng.choice(DOMAINS)
    members = [n for n in fleet.nodes if n.domain == domain]
    node = rng.choice(members)
    if kind == 'kill':
      node.kill()
      await node.process.wait()
      await asyncio.sleep(rng.uniform(0, 3))
      await fleet.start(node)
    elif kind == 'freeze':
      node.freeze()
      await asyncio.sleep(rng.uniform(1, 8))
      node.wake()
    elif kind == 'cut':
      fleet.cut(members, [n for n in fleet.nodes if n.domain != domain])
      if rng.random() < 0.5:
        fleet.cut_platform(*members)
      await asyncio.sleep(rng.uniform(2, 8))
      fleet.heal()
    elif kind == 'outage':
      fleet.outside.platform.faults.down = True
      await asyncio.sleep(rng.uniform(2, 8))
      fleet.outside.platform.faults.down = False
    else:
      fleet.outside.platform.faults.lose = rng.randint(1, 10)
    await settle(fleet)


async def settle(fleet) -> None:
  """Waits until each slot has an owner and a standby again."""

  async def is_settled() -> bool:
    dumps = [await fleet.dump(n) for n in fleet.nodes]
    return all(
      d
      and all(
        s.get('owner') and s.get('standby')
        for s in d['membership']['roster']['slots']
      )
      and len(d['membership']['roster']['incarnations']) == 4
      and not d['membership']['silent']
      for d in dumps
    )

  await fleets.until(is_settled, 90)


async def check(fleet, record) -> list[str]:
  """Returns the violations, one line each."""
  caller = fleet.make_client(patience=60.0)
  found = []
  for name, texts in record.texts_by_program.items():
    try:
      history = await caller.ask('GET', f'/v1/programs/{name}/history')
      state = await caller.ask('GET', f'/v1/programs/{name}')
    except errors.WoadrunError as error:
      found.append(f'{name}: {error.code}')
      continue
    contents = [m['content'] for m in history['messages']]
    compared = (
      contents[: len(texts)] if name in record.failed_programs else contents
    )
    if compared != texts:
      found.append(f'{name}: history {contents} instead of {texts}')
    if state['spent'] > state['budget']:
      found.append(f'{name}: over its budget')
  runs = fleet.outside.services[0].runs_by_id
  found += [f'{k}: ran {n} times' for k, n in runs.items() if n > 1]
  for key, ran in record.result_by_action.items():
    if ran == 'not run' and key in runs:
      found.append(f'{key}: reported as not run, but ran')
    if ran == 'ran' and key not in runs:
      found.append(f'{key}: reported as run, but did not run')
  return found


async def count_held_caches(fleet) -> int:
  """Returns how many programs still hold engine memory after 20 s."""
  salts = set()
  for _ in range(100):
    salts = set()
    for part in fleet.outside.engines:
      async with fleet.session.get(f'{part.url}/v1/cache') as response:
        salts |= {item['salt'] for item in await response.json()}
    if not salts:
      break
    await asyncio.sleep(0.2)
  return len(salts)


async def main() -> int:
  parser = argparse.ArgumentParser()
  parser.add_argument('--seconds', type=float, default=600.0)
  parser.add_argument('--seed', type=int, default=1)
  parser.add_argument('--daemons', type=int, default=12)
  arguments = parser.parse_args()
  rng = random.Random(arguments.seed)
  with tempfile.TemporaryDirectory() as folder:
    outside = await local.start_outside(
      engines=6, token_seconds=0.01, forgets=True
    )
    fleet = fleets.Fleet(pathlib.Path(folder), outside)
    try:
      for index in range(arguments.daemons):
        await fleet.add(DOMAINS[index % 3], DOMAINS)
      await settle(fleet)
      version = await fleet.edit(fleet.nodes[0], riders={})
      await fleet.wait_version(version)
      found, record, faults, forks = await soak(fleet, rng, arguments)
    finally:
      await fleet.stop()
  programs = len(record.texts_by_program)
  print(f'seed {arguments.seed}: {record.calls} calls answered, ', end='')
  print(f'{programs} programs, faults {dict(faults)}')
  print(f'refusals and failures told: {dict(record.count_by_code)}')
  print(f'forks reported: {forks}')
  for line in found[:20]:
    print(f'VIOLATION {line}')
  print(f'{len(found)} violations')
  return 1 if found else 0


async def soak(fleet, rng, arguments):
  record, faults = Record(), collections.Counter()
  until = time.monotonic() + arguments.seconds
  caller = fleet.make_client(patience=20.0)
  callers = [
    asyncio.ensure_future(run_programs(caller, record, n, until))
    for n in range(CALLERS)
  ]
  await inject_faults(fleet, rng, until, faults)
  await asyncio.gather(*callers)
  found = await check(fleet, record)
  held_programs = await count_held_caches(fleet)
  if held_programs:
    found.append(f'{held_programs} ended programs still hold engine memory')
  dumps = [await fleet.dump(n) for n in fleet.nodes]
  forks = sum(d['owner']['slots']['forks'] for d in dumps if d)
  return found, record, faults, forks


if __name__ == '__main__':
  sys.exit(asyncio.run(main()))
