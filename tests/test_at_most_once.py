"""Actions, which may not be repeated, run at most once under any failure."""

import asyncio

import fleet as fleets
import pytest

from woadrun import errors
from woadrun.standins import local


async def start_action(fleet, caller, program_id, action='service-0/charge'):
  """Returns the task of an action that its service has started to run."""
  service = fleet.outside.services[0]
  service.seconds = 3.0
  task = asyncio.ensure_future(
    caller.act(program_id, action, {'amount': 1}, request='once')
  )

  async def has_started():
    return service.runs_by_id

  await fleets.until(has_started)
  return task


async def wait_for_other_owner(fleet, program_id, old):
  async def has_moved():
    try:
      return await fleet.find_owner(program_id) is not old
    except LookupError:
      return False

  await fleets.until(has_moved)


async def test_action_of_dead_owner_is_not_sent_again(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', forgets=True) as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    owner = await fleet.find_owner(program_id)
    others = [n for n in fleet.nodes if n is not owner]
    task = await start_action(fleet, fleet.make_client(*others), program_id)
    owner.kill()
    error = await fleets.get_refusal(task)
    retried = await fleets.get_refusal(
      fleet.make_client(*others).act(
        program_id, 'service-0/charge', {'amount': 1}, request='once'
      )
    )
    await asyncio.sleep(3.5)
    runs = list(fleet.outside.services[0].runs_by_id.values())
  assert error.code == retried.code == 'outcome_unknown'
  assert error.ran is retried.ran is errors.RunStatus.UNKNOWN
  assert runs == [1]


async def test_outcome_is_queried_from_the_service(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    service = fleet.outside.services[0]
    owner = await fleet.find_owner(program_id)
    others = [n for n in fleet.nodes if n is not owner]
    task = asyncio.ensure_future(
      fleet.make_client(*others).act(
        program_id, 'service-0/charge', {'amount': 1}, request='once'
      )
    )

    async def has_run():
      return service.runs_by_id

    await fleets.until(has_run)
    owner.kill()
    answer = await task
  assert answer['runs'] == 1
  assert list(service.runs_by_id.values()) == [1]


async def test_resumed_owner_does_not_send_action_again(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', forgets=True) as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    owner = await fleet.find_owner(program_id)
    others = [n for n in fleet.nodes if n is not owner]
    task = await start_action(fleet, fleet.make_client(*others), program_id)
    owner.freeze()
    await wait_for_other_owner(fleet, program_id, owner)
    error = await fleets.get_refusal(task)
    assert error.code == 'outcome_unknown'
    owner.wake()
    # The resumed owner still takes itself for the owner of the slot, so the
    # first retry goes to it.
    for node in (owner, *others):
      retried = await fleets.get_refusal(
        fleet.make_client(node).act(
          program_id, 'service-0/charge', {'amount': 1}, request='once'
        )
      )
      assert retried.code == 'outcome_unknown'
    fleet.outside.services[0].seconds = 0.0
    other = await fleet.make_client(owner).act(
      program_id, 'service-0/charge', {'amount': 2}, request='twice'
    )
  runs = fleet.outside.services[0].runs_by_id
  assert other['runs'] == 1
  assert sorted(runs.values()) == [1, 1]


async def test_action_is_refused_without_table_and_standby(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    await caller.say(program_id, 'before', model=local.MODEL)
    owner = await fleet.find_owner(program_id)
    others = [n for n in fleet.nodes if n is not owner]
    fleet.outside.platform.faults.down = True
    # While the standby is available, actions run without the table.
    first = await caller.act(
      program_id, 'service-0/charge', {}, request='first'
    )
    assert first['runs'] == 1
    owner.kill()
    await wait_for_other_owner(fleet, program_id, owner)
    client = fleet.make_client(*others)
    said = await client.say(program_id, 'after', model=local.MODEL)
    impatient_client = fleet.make_client(*others, patience=0.0)
    error = await fleets.get_refusal(
      impatient_client.act(program_id, 'service-0/charge', {}, request='second')
    )
    runs = dict(fleet.outside.services[0].runs_by_id)
    fleet.outside.platform.faults.down = False
    second = await client.act(
      program_id, 'service-0/charge', {}, request='second'
    )
    history = await client.ask('GET', f'/v1/programs/{program_id}/history')
  assert error.code == 'not_committed'
  assert error.ran is errors.RunStatus.NOT_RUN and error.retry_after
  assert list(runs.values()) == [1]
  assert second['runs'] == 1
  assert [m['content'] for m in history['messages']][2:] == ['after', said]


async def test_hung_action_times_out_with_unknown_outcome(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    version = await fleet.edit(fleet.nodes[0], riders={'tool_timeout': 0.3})
    await fleet.wait_version(version)
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    error = await fleets.get_refusal(
      caller.act(program_id, 'service-0/hang', {}, request='hung')
    )
    assert await caller.say(program_id, 'next', model=local.MODEL)
  assert error.code == 'outcome_unknown'
  assert list(fleet.outside.services[0].runs_by_id.values()) == [1]


# Guards against a caller that sends an action again because of its service's
# 503, though it ran.
@pytest.mark.parametrize('forgets', [False, True])
async def test_action_that_ran_and_was_answered_503_is_not_refused_as_not_run(
  tmp_path, forgets
):
  async with fleets.make_fleet(tmp_path, 'nn', forgets=forgets) as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 5000))['id']
    path = f'/v1/programs/{program_id}/services/service-0/busy'
    found = []
    # The second one is a retry under the same id.
    for node in fleet.nodes:
      async with fleet.session.post(
        f'http://{node.listen}{path}',
        json={},
        headers={
          'Authorization': f'Bearer {local.CALLER_TOKEN}',
          'Idempotency-Key': 'once',
        },
      ) as response:
        found.append((response.status, await response.json()))
    runs = list(fleet.outside.services[0].runs_by_id.values())
  assert runs == [1]
  assert found[0] == found[1]
  status, body = found[0]
  if forgets:
    assert status == 502
    assert body['error']['code'] == 'outcome_unknown'
    assert body['error']['ran'] == 'unknown'
    assert 'status 503' in body['error']['message']
  else:
    assert (status, body['runs']) == (200, 1)
