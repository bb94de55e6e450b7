"""Tests that a planned stop interrupts no request."""

import asyncio

import fleet as fleets

from woadrun.standins import local


async def run_programs(caller, number, stop, completed):
  """Runs programs one after another; raises any refusal or failure."""
  while not stop.is_set():
    name = (await caller.start('riders', 50_000))['id']
    for turn in range(3):
      await caller.say(name, f'{number} {turn}', model=local.MODEL)
    await caller.act(name, 'service-0/charge', {})
    await caller.ask('POST', f'/v1/programs/{name}/end')
    completed.append(name)


async def test_rolling_replacement_of_all_daemons_under_load(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.01) as fleet:
    # With a patience of 0 the first refusal or failure is raised.
    caller = fleet.make_client(patience=0.0)
    stop, completed = asyncio.Event(), []
    tasks = [
      asyncio.ensure_future(run_programs(caller, n, stop, completed))
      for n in range(6)
    ]
    codes = []
    for old in list(fleet.nodes):
      new = await fleet.add('north')
      await fleet.wait_ready(new)
      # The load balancer sends new requests to the other daemons from here on.
      caller.addresses = [n.listen for n in fleet.nodes if n is not old]
      old.leave()
      codes.append(await asyncio.wait_for(old.process.wait(), 60))
      fleet.nodes.remove(old)
      await fleet.list_vms()
    stop.set()
    await asyncio.gather(*tasks)
  assert codes == [0, 0, 0]
  assert caller.retries == 0
  assert len(completed) >= 6


async def test_running_stream_completes_when_its_owner_stops(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.05) as fleet:
    caller = fleet.make_client()
    name = (await caller.start('riders', 5000))['id']
    owner = await fleet.find_owner(name)
    others = [n for n in fleet.nodes if n is not owner]
    streams = [
      asyncio.ensure_future(
        fleet.make_client(node, patience=0.0).say(
          name, 'long', model=local.MODEL, request=f'r{index}',
          woadrun_test_tokens=80,
        )
      )
      for index, node in enumerate((owner, others[0]))
    ]  # fmt: skip
    await asyncio.sleep(1.0)
    owner.leave()
    answers = await asyncio.gather(*streams)
    code = await asyncio.wait_for(owner.process.wait(), 60)
    caller.addresses = [n.listen for n in others]
    history = await caller.ask('GET', f'/v1/programs/{name}/history')
  assert code == 0
  assert [len(a.split()) for a in answers] == [80, 80]
  assert len(history['messages']) == 4


async def test_daemon_of_a_vm_listed_as_leaving_stops(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    await fleet.list_vms(fleet.nodes[0])
    code = await asyncio.wait_for(fleet.nodes[0].process.wait(), 60)
    fleet.nodes.pop(0)
    await fleet.wait_ready()
  assert code == 0


async def test_planned_stop_during_a_platform_outage_interrupts_no_request(
  tmp_path,
):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.05) as fleet:
    caller = fleet.make_client()
    name = (await caller.start('riders', 50_000))['id']
    await caller.say(name, 'before', model=local.MODEL)
    leaving = await fleet.find_owner(name)
    others = [n for n in fleet.nodes if n is not leaving]
    # With a patience of 0 the first refusal or failure is raised.
    strict = fleet.make_client(*others, patience=0.0)
    fleet.outside.platform.faults.down = True

    async def is_outage_detected():
      dump = await fleet.dump(leaving)
      return not dump['membership']['is_platform_up']

    await fleets.until(is_outage_detected)
    stream = asyncio.ensure_future(
      strict.say(name, 'long', model=local.MODEL, woadrun_test_tokens=80)
    )
    await asyncio.sleep(1.0)
    leaving.leave()

    async def are_slots_transferred():
      dumps = [await fleet.dump(n) for n in others]
      owned = [s for d in dumps for s in d['owner']['slots']['owned']]
      return len(owned) == 16 == len(set(owned))

    await fleets.until(are_slots_transferred)
    assert not stream.done()
    other = (await strict.start('riders', 50_000))['id']
    await strict.say(other, 'hello', model=local.MODEL)
    assert len((await stream).split()) == 80
    await strict.say(name, 'after', model=local.MODEL)
    fleet.outside.platform.faults.down = False
    code = await asyncio.wait_for(leaving.process.wait(), 60)
    fleet.nodes.remove(leaving)
    await fleet.wait_ready()
    history = await strict.ask('GET', f'/v1/programs/{name}/history')
  assert code == 0 and strict.retries == 0
  assert [m['content'] for m in history['messages']][::2] == [
    'before', 'long', 'after',
  ]  # fmt: skip
