"""Requests end to end, through daemons in separate processes."""

import asyncio

import fleet as fleets
import pytest

from woadrun import errors
from woadrun.standins import local


async def test_program_runs_end_to_end(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nns') as fleet:
    caller = fleet.make_client()
    started = await caller.start('riders', 10_000, request='start-1')
    program_id = started['id']
    first = await caller.say(
      program_id, 'a b c', model=local.MODEL, request='r1'
    )
    await asyncio.sleep(0.05)
    second = await caller.say(
      program_id, 'd e', model=local.MODEL, request='r2', is_stream=False
    )
    charged = await caller.act(
      program_id, 'service-0/charge', {'x': 1}, request='r3'
    )
    child = await caller.start('riders', 1000, parent=program_id)
    await caller.say(child['id'], 'sub', model=local.MODEL)
    await caller.ask('POST', f'/v1/programs/{child["id"]}/end')
    ended = await caller.ask('POST', f'/v1/programs/{program_id}/end')
    history = await caller.ask('GET', f'/v1/programs/{program_id}/history')
    # A retry of each request gets the same answer through any daemon.
    for node in fleet.nodes:
      client = fleet.make_client(node)
      retried = await client.start('riders', 10_000, request='start-1')
      assert retried['id'] == program_id
      assert first == await client.say(
        program_id, 'a b c', model=local.MODEL, request='r1'
      )
      assert charged == await client.act(
        program_id, 'service-0/charge', {'x': 1}, request='r3'
      )
    runs = fleet.outside.services[0].runs_by_id
  assert charged['runs'] == 1
  assert list(runs.values()) == [1]
  assert ended['state'] == 'ended' and ended['carved'] == 0
  assert 0 < ended['spent'] <= ended['budget']
  texts = [m['content'] for m in history['messages']]
  assert texts == ['a b c', first, 'd e', second]
  assert [r['outcome'] for r in history['requests']] == ['ok'] * 3


async def test_invalid_input_is_refused_with_its_place(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    caller = fleet.make_client()
    program_id = (await caller.start('riders', 500))['id']
    before = await caller.ask('GET', f'/v1/programs/{program_id}')
    chat = '/v1/chat/completions'
    message = {'role': 'user', 'content': 'x'}
    body = {'model': local.MODEL, 'messages': [message]}
    head = {'Woadrun-Program': program_id}

    async def get_refusal(path, body, headers=None, method='POST'):
      return await fleets.get_refusal(
        caller.ask(method, path, body, headers=headers)
      )

    start = '/v1/programs'
    cases = [
      ((start, {'team': 'nobody', 'budget': 5}), 'unknown_team', 'team'),
      ((start, {'team': 'riders', 'budget': 0}), 'bad_request', 'budget'),
      ((start, {'team': 'riders', 'budget': 10**9}),
       'budget_exceeded', 'budget'),
      ((start, {'team': 'riders'}), 'bad_request', ''),
      ((start, {'team': 'riders', 'budget': 'x'}),
       'bad_request', '$.budget'),
      ((chat, body), 'bad_request', 'Woadrun-Program'),
      ((chat, {'model': local.MODEL}, head), 'bad_request', 'messages'),
      ((chat, {**body, 'messages': [{}]}, head), 'bad_request', 'messages[0]'),
      ((chat, {**body, 'model': 'none'}, head), 'unknown_model', 'model'),
      ((chat, {**body, 'max_tokens': 0}, head), 'bad_request', 'max_tokens'),
      ((chat, {**body, 'max_tokens': 9999}, head),
       'budget_exceeded', 'max_tokens'),
      ((chat, body, {**head, 'Woadrun-Ordinal': 'x'}),
       'bad_request', 'Woadrun-Ordinal'),
      ((chat, body, {'Woadrun-Program': 'north.001.abc'}),
       'unknown_program', 'Woadrun-Program'),
      ((chat, body, {'Woadrun-Program': 'rubbish'}),
       'unknown_program', 'Woadrun-Program'),
      ((f'/v1/programs/{program_id}/services/none/x', {}),
       'unknown_service', ''),
    ]  # fmt: skip
    for arguments, code, place in cases:
      error = await get_refusal(*arguments)
      assert (error.code, error.place) == (code, place), arguments
      assert error.ran is errors.RunStatus.NOT_RUN
    assert await caller.ask('GET', f'/v1/programs/{program_id}') == before
    await caller.say(program_id, 'x', model=local.MODEL, request='first')
    error = await get_refusal(chat, body, head)
    assert error.code == 'history_mismatch'
    error = await fleets.get_refusal(
      caller.say(program_id, 'other', model=local.MODEL, request='first')
    )
    assert error.code == 'request_conflict'
    error = await fleets.get_refusal(
      caller.say(program_id, 'x', model=local.MODEL, ordinal=1)
    )
    assert error.code == 'out_of_order'


@pytest.mark.parametrize(
  ('data', 'code', 'status'),
  [(b'{"team": ', 'bad_json', 400), (b'{}' * 40_000, 'body_too_large', 413)],
)
async def test_malformed_and_oversized_bodies_are_refused(
  tmp_path, data, code, status
):
  small = {'limits': {'body_bytes': 20_000}}
  async with fleets.make_fleet(tmp_path, 'n', small) as fleet:
    url = f'http://{fleet.nodes[0].listen}/v1/programs'
    headers = {'Authorization': f'Bearer {local.CALLER_TOKEN}'}
    async with fleet.session.post(url, data=data, headers=headers) as response:
      answer = await response.json()
    wrong = {'Authorization': 'Bearer wrong-token'}
    async with fleet.session.post(url, data=data, headers=wrong) as refused:
      assert refused.status == 401
  assert response.status == status
  assert answer['error']['code'] == code
  assert answer['error']['ran'] == 'not run'
