"""Histories of programs are neither lost nor mixed under failures."""

import asyncio
import random

import aiohttp
import fleet as fleets

from woadrun.standins import local


async def run_conversation(caller, number, turns, expected_by_program):
  """Runs one program and returns its id.

  `expected_by_program` gets the texts of each turn whose answer is complete.
  """
  program_id = (await caller.start('riders', 50_000, request=f'p{number}'))[
    'id'
  ]
  expected_by_program[program_id] = []
  for turn in range(turns):
    text = f'program {number} turn {turn}'
    answer = await caller.say(
      program_id, text, model=local.MODEL, request=f'{number}-{turn}'
    )
    expected_by_program[program_id] += [text, answer]
  return program_id


async def exhaust_rate_limit(platform):
  """Sends a platform more concurrent requests than its rate limit allows."""

  async def request_vms(session):
    async with session.get(f'{platform.url}/vms'):
      pass

  count = int(platform.faults.rate) + 2
  async with aiohttp.ClientSession() as session:
    await asyncio.gather(*(request_vms(session) for _ in range(count)))


async def check_histories(caller, expected_by_program):
  for program_id, expected in expected_by_program.items():
    history = await caller.ask('GET', f'/v1/programs/{program_id}/history')
    assert [m['content'] for m in history['messages']] == expected, program_id


async def test_daemon_kills_lose_no_history(tmp_path):
  rng = random.Random(7)
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.01) as fleet:
    expected_by_program = {}
    caller = fleet.make_client(patience=60.0)
    tasks = [
      asyncio.ensure_future(
        run_conversation(caller, n, 12, expected_by_program)
      )
      for n in range(12)
    ]
    for _ in range(2):
      await asyncio.sleep(rng.uniform(0.3, 0.6))
      victim = rng.choice(fleet.nodes)
      victim.kill()
      await victim.process.wait()
      await fleet.start(victim)
      await fleet.wait_ready()
    await asyncio.gather(*tasks)
    await check_histories(caller, expected_by_program)
  assert len(expected_by_program) == 12


async def test_restarted_domain_loads_histories_from_the_platform(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    expected_by_program = {}
    caller = fleet.make_client(patience=60.0)
    await asyncio.gather(
      *(run_conversation(caller, n, 3, expected_by_program) for n in range(4))
    )

    await fleet.wait_written()
    await fleet.restart()
    await check_histories(caller, expected_by_program)


async def test_one_daemon_of_each_domain_may_die_at_once(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnnsss') as fleet:
    expected_by_program = {}
    caller = fleet.make_client(patience=60.0)
    tasks = [
      asyncio.ensure_future(
        run_conversation(caller, n, 10, expected_by_program)
      )
      for n in range(10)
    ]
    await asyncio.sleep(0.5)
    dead = (fleet.nodes[0], fleet.nodes[4])
    for node in dead:
      node.kill()
    caller.addresses = [n.listen for n in fleet.nodes if n not in dead]
    await asyncio.gather(*tasks)
    await check_histories(caller, expected_by_program)


async def test_stream_of_dead_owner_arrives_complete(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.05) as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    owner = await fleet.find_owner(program_id)
    others = [n for n in fleet.nodes if n is not owner]
    survivor = fleet.make_client(*others)
    task = asyncio.ensure_future(
      survivor.say(program_id, 'long', model=local.MODEL, request='r',
                   woadrun_test_tokens=60)
    )  # fmt: skip
    await asyncio.sleep(1.0)
    owner.kill()
    answer = await task
    calls = sum(engine.calls for engine in fleet.outside.engines)
  assert len(answer.split()) == 60
  # The engine's stream was resumed rather than started again.
  assert calls == 1


async def test_frozen_owner_does_not_block_callers(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.05) as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    owner = await fleet.find_owner(program_id)
    others = [n for n in fleet.nodes if n is not owner]
    task = asyncio.ensure_future(
      fleet.make_client(*others).say(
        program_id,
        'long',
        model=local.MODEL,
        request='r',
        woadrun_test_tokens=60,
      )
    )
    await asyncio.sleep(1.0)
    owner.freeze()
    answer = await task
    owner.wake()
    repeated = await fleet.make_client(owner).say(
      program_id, 'long', model=local.MODEL, request='r', woadrun_test_tokens=60
    )
  assert len(answer.split()) == 60
  assert repeated == answer


async def test_daemon_removed_from_the_roster_rejoins(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    frozen, other, _ = fleet.nodes
    frozen.freeze()

    async def is_member():
      dump = await fleet.dump(other)
      return frozen.address in dump['membership']['roster']['incarnations']

    async def is_taken_out():
      return not await is_member()

    await fleets.until(is_taken_out)
    frozen.wake()
    await fleets.until(is_member)
    await fleet.wait_ready()


async def test_slow_and_rate_limited_platform_does_not_block_calls(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    fleet.outside.platform.faults.delay = 0.4
    fleet.outside.platform.faults.rate = 2.0
    expected_by_program = {}
    caller = fleet.make_client(patience=0.0)
    # On a busy machine the daemons' own requests are too slow to exceed the
    # rate limit.
    await exhaust_rate_limit(fleet.outside.platform)
    await asyncio.gather(
      *(run_conversation(caller, n, 4, expected_by_program) for n in range(6))
    )
    assert fleet.outside.platform.refused > 0
    await check_histories(caller, expected_by_program)

    fleet.outside.platform.faults.delay = 0.0
    fleet.outside.platform.faults.rate = 0.0

    await fleet.wait_written()
  assert caller.retries == 0


async def test_owner_frozen_in_an_outage_gives_up_its_slot(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    expected_by_program = {}
    caller = fleet.make_client()
    program_id = await run_conversation(caller, 1, 2, expected_by_program)
    owner = await fleet.find_owner(program_id)
    others = [n for n in fleet.nodes if n is not owner]
    fleet.outside.platform.faults.down = True
    await asyncio.sleep(1.0)
    owner.freeze()
    client = fleet.make_client(*others)
    answer = await client.say(program_id, 'meanwhile', model=local.MODEL)
    owner.wake()
    # The resumed owner still takes itself for the owner of the slot, but must
    # not execute the call.
    late_answer = await fleet.make_client(owner).say(
      program_id, 'late', model=local.MODEL
    )

    async def has_released_slot():
      dump = await fleet.dump(owner)
      slot = str(int(program_id.split('.')[1]))
      return dump and slot not in dump['owner']['slots']['owned']

    await fleets.until(has_released_slot)
    expected_by_program[program_id] += [
      'meanwhile',
      answer,
      'late',
      late_answer,
    ]
    await check_histories(fleet.make_client(), expected_by_program)
    fleet.outside.platform.faults.down = False
    await fleet.wait_ready()
    await check_histories(fleet.make_client(), expected_by_program)
    dumps = [await fleet.dump(n) for n in fleet.nodes]
  assert sum(d['owner']['slots']['forks'] for d in dumps) == 0


async def test_history_of_archived_program_can_be_read(tmp_path):
  short = {'timing': {'keep_ended': 0.5}}
  async with fleets.make_fleet(tmp_path, 'nn', short) as fleet:
    expected_by_program = {}
    caller = fleet.make_client()
    program_id = await run_conversation(caller, 1, 2, expected_by_program)
    await caller.ask('POST', f'/v1/programs/{program_id}/end')

    async def is_removed_from_memory():
      dumps = [await fleet.dump(n) for n in fleet.nodes]
      owned = [s for d in dumps for s in d['owner']['slots']['owned'].values()]
      return not any(slot['programs'] for slot in owned)

    await fleets.until(is_removed_from_memory)
    await check_histories(caller, expected_by_program)
    state = await caller.ask('GET', f'/v1/programs/{program_id}')
    error = await fleets.get_refusal(
      caller.ask('GET', f'/v1/programs/{program_id[:-1]}x')
    )
  assert state['state'] == 'ended'
  assert error.code == 'unknown_program'
