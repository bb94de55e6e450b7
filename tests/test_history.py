"""A program's history is never lost and never mixed with another's."""

import asyncio
import random

import aiohttp
import fleet as fleets

from woadrun.standins import local


async def talk(caller, number, turns, told):
  """Runs one program; `told` gets each answer that came whole."""
  name = (await caller.start('riders', 50_000, request=f'p{number}'))['id']
  told[name] = []
  for turn in range(turns):
    text = f'program {number} turn {turn}'
    answer = await caller.say(
      name, text, model=local.MODEL, request=f'{number}-{turn}'
    )
    told[name] += [text, answer]
  return name


async def use_up_rate(platform):
  """Asks a platform more at once than its rate allows."""

  async def ask(session):
    async with session.get(f'{platform.url}/vms'):
      pass

  most = int(platform.faults.rate) + 2
  async with aiohttp.ClientSession() as session:
    await asyncio.gather(*(ask(session) for _ in range(most)))


async def check_histories(caller, told):
  for name, texts in told.items():
    history = await caller.ask('GET', f'/v1/programs/{name}/history')
    assert [m['content'] for m in history['messages']] == texts, name


async def test_kills_between_and_within_turns_lose_nothing(tmp_path):
  chance = random.Random(7)
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.01) as fleet:
    told = {}
    caller = fleet.make_client(patience=60.0)
    tasks = [
      asyncio.ensure_future(talk(caller, n, 12, told)) for n in range(12)
    ]
    for _ in range(2):
      await asyncio.sleep(chance.uniform(0.3, 0.6))
      victim = chance.choice(fleet.nodes)
      victim.kill()
      await victim.process.wait()
      await fleet.start(victim)
      await fleet.wait_ready()
    await asyncio.gather(*tasks)
    await check_histories(caller, told)
  assert len(told) == 12


async def test_a_domain_that_dies_whole_comes_back_from_the_platform(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    told = {}
    caller = fleet.make_client(patience=60.0)
    await asyncio.gather(*(talk(caller, n, 3, told) for n in range(4)))

    await fleet.wait_written()
    await fleet.restart()
    await check_histories(caller, told)


async def test_one_of_each_domain_may_die_at_once(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnnsss') as fleet:
    told = {}
    caller = fleet.make_client(patience=60.0)
    tasks = [
      asyncio.ensure_future(talk(caller, n, 10, told)) for n in range(10)
    ]
    await asyncio.sleep(0.5)
    dead = (fleet.nodes[0], fleet.nodes[4])
    for node in dead:
      node.kill()
    caller.addresses = [n.listen for n in fleet.nodes if n not in dead]
    await asyncio.gather(*tasks)
    await check_histories(caller, told)


async def test_a_stream_whose_owner_dies_arrives_whole(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.05) as fleet:
    caller = fleet.make_client()
    name = (await caller.start('riders', 5000))['id']
    owner = await fleet.find_owner(name)
    others = [n for n in fleet.nodes if n is not owner]
    survivor = fleet.make_client(*others)
    task = asyncio.ensure_future(
      survivor.say(name, 'long', model=local.MODEL, request='r',
                   woadrun_test_tokens=60)
    )  # fmt: skip
    await asyncio.sleep(1.0)
    owner.kill()
    answer = await task
    calls = sum(engine.calls for engine in fleet.outside.engines)
  assert len(answer.split()) == 60
  # The engine's stream was resumed, not computed again.
  assert calls == 1


async def test_a_frozen_owner_holds_no_caller_up(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.05) as fleet:
    caller = fleet.make_client()
    name = (await caller.start('riders', 5000))['id']
    owner = await fleet.find_owner(name)
    others = [n for n in fleet.nodes if n is not owner]
    task = asyncio.ensure_future(
      fleet.make_client(*others).say(
        name, 'long', model=local.MODEL, request='r', woadrun_test_tokens=60
      )
    )
    await asyncio.sleep(1.0)
    owner.freeze()
    answer = await task
    owner.wake()
    same = await fleet.make_client(owner).say(
      name, 'long', model=local.MODEL, request='r', woadrun_test_tokens=60
    )
  assert len(answer.split()) == 60
  assert same == answer


async def test_a_daemon_taken_out_of_the_roster_joins_again(tmp_path):
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


async def test_a_slow_and_rate_limited_platform_holds_no_call_up(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    fleet.outside.platform.faults.delay = 0.4
    fleet.outside.platform.faults.rate = 2.0
    told = {}
    caller = fleet.make_client(patience=0.0)
    # The daemons' own calls come too slowly on a busy machine to be refused.
    await use_up_rate(fleet.outside.platform)
    await asyncio.gather(*(talk(caller, n, 4, told) for n in range(6)))
    assert fleet.outside.platform.refused > 0
    await check_histories(caller, told)

    fleet.outside.platform.faults.delay = 0.0
    fleet.outside.platform.faults.rate = 0.0

    await fleet.wait_written()
  assert caller.retries == 0


async def test_an_owner_frozen_in_an_outage_yields_when_it_wakes(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    told = {}
    caller = fleet.make_client()
    name = await talk(caller, 1, 2, told)
    owner = await fleet.find_owner(name)
    others = [n for n in fleet.nodes if n is not owner]
    fleet.outside.platform.faults.down = True
    await asyncio.sleep(1.0)
    owner.freeze()
    rest = fleet.make_client(*others)
    answer = await rest.say(name, 'meanwhile', model=local.MODEL)
    owner.wake()
    # The woken owner believes that it holds the slot; it must not act.
    late = await fleet.make_client(owner).say(name, 'late', model=local.MODEL)

    async def has_yielded():
      dump = await fleet.dump(owner)
      slot = str(int(name.split('.')[1]))
      return dump and slot not in dump['owner']['slots']['owned']

    await fleets.until(has_yielded)
    told[name] += ['meanwhile', answer, 'late', late]
    await check_histories(fleet.make_client(), told)
    fleet.outside.platform.faults.down = False
    await fleet.wait_ready()
    await check_histories(fleet.make_client(), told)
    dumps = [await fleet.dump(n) for n in fleet.nodes]
  assert sum(d['owner']['slots']['forks'] for d in dumps) == 0


async def test_the_history_of_a_program_long_over_can_be_read(tmp_path):
  short = {'timing': {'keep_ended': 0.5}}
  async with fleets.make_fleet(tmp_path, 'nn', short) as fleet:
    told = {}
    caller = fleet.make_client()
    name = await talk(caller, 1, 2, told)
    await caller.ask('POST', f'/v1/programs/{name}/end')

    async def has_left():
      dumps = [await fleet.dump(n) for n in fleet.nodes]
      owned = [s for d in dumps for s in d['owner']['slots']['owned'].values()]
      return not any(slot['programs'] for slot in owned)

    await fleets.until(has_left)
    await check_histories(caller, told)
    state = await caller.ask('GET', f'/v1/programs/{name}')
    error = await fleets.get_refusal(
      caller.ask('GET', f'/v1/programs/{name[:-1]}x')
    )
  assert state['state'] == 'ended'
  assert error.code == 'unknown_program'
