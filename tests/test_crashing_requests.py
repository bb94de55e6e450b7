"""A request that ends its instances is not sent to more than three of them."""

import asyncio
import dataclasses
import time
import unittest.mock

import crashing_engines
import nodes
import pytest

from woadrun import errors
from woadrun.process.load import request_attempts
from woadrun.request import exchange
from woadrun.request import fingerprints

TRIES = 8
MAX_ENDED = 3
PAUSE_SECONDS = 0.05


def make_request(id, *, path, content, program='p', key=''):
  """Returns one try of a request: a turn where the route has histories."""
  request = nodes.make_request(id, path=path, key=key)
  turn = exchange.TurnInfo(
    program=program, max_output=10, budget=1000, prompt_tokens=9
  )
  return dataclasses.replace(
    request, body=content, turn=turn if path == '/chat/' else None
  )


async def wait_for_instance(fleet, name, path):
  """Waits until a daemon knows a living instance of a route's service.

  One that replaces an ended one may not have arrived in its list yet.
  """
  catalogue = fleet.by_name[name].catalogue
  service = catalogue.table.match('h', path).shares[0].service
  ended = fleet.engines.ended
  await nodes.wait_until(
    lambda: any(
      item.id not in ended for item in catalogue.directory.find(service).all
    )
  )


async def send(fleet, name, request):
  """Returns the error code of a try, or its status."""
  try:
    return (await fleet.ask(name, request))[0]
  except errors.WoadrunError as error:
    return error.code.value
  except exchange.ResponseLost:
    return 'broken off'


async def send_tries(fleet, *, path, key=''):
  """Sends a marked request several times, in turn to all daemons."""
  names = sorted(fleet.by_name)
  found = []
  for number in range(TRIES):
    request = make_request(
      f'r{number}', path=path, content=crashing_engines.MARK, key=key
    )
    name = names[number % len(names)]
    await wait_for_instance(fleet, name, path)
    found.append(await send(fleet, name, request))
    await asyncio.sleep(PAUSE_SECONDS)
  return found


@pytest.mark.parametrize('names', [('n1',), ('n1', 'n2', 's1')])
@pytest.mark.parametrize('path', ['/chat/', '/look/', '/act/'])
@pytest.mark.parametrize('has_head', [False, True])
async def test_a_request_under_which_three_instances_ended_is_not_sent_again(
  names, path, has_head
):
  async with crashing_engines.make_fleet(*names) as fleet:
    fleet.engines.has_head = has_head
    found = await send_tries(fleet, path=path)
    assert len(fleet.engines.ended) <= MAX_ENDED
    assert found[-1] == 'request_quarantined'


@pytest.mark.parametrize('path', ['/chat/', '/look/', '/act/'])
async def test_instances_are_known_to_have_ended_before_their_entries_expire(
  path,
):
  async with crashing_engines.make_fleet(
    'n1', 'n2', 's1', entry_seconds=1.5
  ) as fleet:
    found = await send_tries(fleet, path=path)
    assert len(fleet.engines.ended) <= MAX_ENDED
    assert found[-1] == 'request_quarantined'


@pytest.mark.parametrize('path', ['/chat/', '/look/', '/act/'])
async def test_a_request_whose_connections_are_lost_is_always_sent(path):
  async with crashing_engines.make_fleet(
    'n1', 'n2', 's1', loses_connections=True
  ) as fleet:
    await send_tries(fleet, path=path)
    expected = TRIES * (2 if path == '/look/' else 1)
    assert len(fleet.engines.sent) == expected


@pytest.mark.parametrize('path', ['/chat/', '/look/', '/act/'])
async def test_other_requests_are_served_while_one_ends_its_instances(path):
  async with crashing_engines.make_fleet('n1', 'n2', 's1') as fleet:
    tries = asyncio.ensure_future(send_tries(fleet, path=path))
    codes = []
    for number in range(40):
      # An instance that ends takes these with it, as long as they run beside.
      request = make_request(
        f'i{number}', path=path, content=b'%d' % number, program=f'i{number}'
      )
      codes.append(await send(fleet, 's1', request))
    await tries
    assert 'request_quarantined' not in codes
    assert codes.count(200) >= len(codes) - MAX_ENDED


async def test_a_request_that_ran_beside_two_that_end_instances_is_served():
  async with crashing_engines.make_fleet('n1') as fleet:
    for number in range(2):
      directory = fleet.by_name['n1'].catalogue.directory
      known = set(directory.by_id)
      innocent = make_request(f'i{number}', path='/act/', content=b'innocent')
      task = asyncio.ensure_future(send(fleet, 'n1', innocent))
      await nodes.wait_until(lambda: fleet.engines.sent)
      fleet.engines.end(fleet.engines.sent.pop().instance)
      assert await task == 'outcome_unknown'
      await nodes.wait_until(lambda: set(directory.by_id) - known)  # noqa: B023
    last = make_request('last', path='/act/', content=b'innocent')
    assert await send(fleet, 'n1', last) == 200


async def lose_once(fleet, name, request):
  """Sends a request whose instance ends while it runs it."""
  task = asyncio.ensure_future(send(fleet, name, request))
  await nodes.wait_until(lambda: fleet.engines.sent)
  fleet.engines.end(fleet.engines.sent[-1].instance)
  assert await task == 'outcome_unknown'


async def wait_for_outcome(fleet, sending):
  """Waits until all daemons know the outcome of an attempt."""
  found = [node.crash_guard.records for node in fleet.by_name.values()]
  key = sending.fingerprint, sending.instance.incarnation_id
  await nodes.wait_until(
    lambda: all(
      # A complete response leaves no attempt.
      records._get_state(*key) in (None, *request_attempts.HARMLESS_STATES)
      for records in found
    )
  )


# Guards against an attempt that stays open after its response without a length
# has ended, so that a later end of its instance counts against the request.
@pytest.mark.parametrize('path', ['/chat/', '/act/'])
async def test_ends_after_responses_without_a_length_do_not_count(path):
  async with crashing_engines.make_fleet(
    'n1', 'n2', ends_with_connection=True
  ) as fleet:
    innocent = make_request('i', path=path, content=b'innocent')
    await lose_once(fleet, 'n1', innocent)
    fingerprint = fleet.engines.sent[-1].fingerprint
    other = fleet.by_name['n2'].crash_guard.records
    await nodes.wait_until(lambda: other.is_suspect(fingerprint))
    for number in range(2 * MAX_ENDED):
      name = ('n1', 'n2')[number % 2]
      await wait_for_instance(fleet, name, path)
      again = dataclasses.replace(innocent, id=f'i{number}')
      assert await send(fleet, name, again) == 200
      sending = fleet.engines.sent[-1]
      await wait_for_outcome(fleet, sending)
      fleet.engines.end(sending.instance)


# Guards against an instance whose end looks like that of a complete response.
@pytest.mark.parametrize('names', [('n1',), ('n1', 'n2', 's1')])
async def test_orderly_ends_of_instances_count_for_a_suspect_request(names):
  async with crashing_engines.make_fleet(
    *names, ends_with_connection=True
  ) as fleet:
    fatal = make_request('first', path='/act/', content=crashing_engines.MARK)
    await lose_once(fleet, 'n1', fatal)
    await asyncio.sleep(PAUSE_SECONDS)
    fleet.engines.has_head = True
    found = await send_tries(fleet, path='/act/')
    assert len(fleet.engines.ended) <= MAX_ENDED
    assert found[-1] == 'request_quarantined'


async def test_a_request_that_ends_its_instances_is_refused_for_its_team_only():
  async with crashing_engines.make_fleet('n1') as fleet:
    config = {
      **nodes.CONFIG,
      'version': 2,
      'tenants': [
        {'name': name, 'api_keys': [f'key-{name}']} for name in ('red', 'blue')
      ],
    }
    await fleet.configure(config)
    catalogue = fleet.by_name['n1'].catalogue
    await nodes.wait_until(lambda: catalogue.version == 2)
    found = {}
    for team in ('red', 'blue'):
      found[team] = await send_tries(fleet, path='/act/', key=f'key-{team}')
    ended = ['outcome_unknown'] * MAX_ENDED
    expected = [*ended, *['request_quarantined'] * (TRIES - MAX_ENDED)]
    assert found == {'red': expected, 'blue': expected}


async def send_once(fleet, name, id, *, path='/act/'):
  content = crashing_engines.MARK
  return await send(fleet, name, make_request(id, path=path, content=content))


async def test_daemons_that_send_at_the_same_time_end_three_instances():
  async with crashing_engines.make_fleet('n1', 'n2', 's1', 's2') as fleet:
    assert await send_once(fleet, 'n1', 'first') == 'outcome_unknown'
    await asyncio.sleep(PAUSE_SECONDS)
    codes = await asyncio.gather(
      *(
        send_once(fleet, name, f'{name}-{number}')
        for name in fleet.by_name
        for number in range(3)
      )
    )
    assert len(fleet.engines.ended) == MAX_ENDED
    assert set(codes) <= {
      'outcome_unknown',
      'request_quarantined',
      'upstream_unavailable',
    }


async def test_each_side_of_a_partition_counts_for_itself():
  async with crashing_engines.make_fleet('n1', 's1') as fleet:
    assert await send_once(fleet, 'n1', 'before') == 'outcome_unknown'
    await asyncio.sleep(PAUSE_SECONDS)
    fleet.cut_off('south')
    for number in range(TRIES):
      for name in fleet.by_name:
        await send_once(fleet, name, f'{name}-{number}')
        await asyncio.sleep(PAUSE_SECONDS)
    sides = 2
    known = 1
    assert len(fleet.engines.ended) <= known + sides * (MAX_ENDED - known)


async def test_a_daemon_that_has_just_started_learns_of_ended_instances():
  async with crashing_engines.make_fleet('n1') as fleet:
    found = await send_tries(fleet, path='/act/')
    assert found[-1] == 'request_quarantined'
    await fleet.start('n2')
    records = fleet.by_name['n2'].crash_guard.records
    await nodes.wait_until(lambda: records.count_quarantined() == 1, seconds=3)
    assert await send_once(fleet, 'n2', 'later') == 'request_quarantined'


async def test_an_instance_without_a_sign_of_its_end_ends_with_its_entry():
  async with crashing_engines.make_fleet('n1') as fleet:
    fleet.engines.is_silent = True
    records = fleet.by_name['n1'].crash_guard.records
    for number in range(MAX_ENDED):
      with pytest.raises(TimeoutError):
        async with asyncio.timeout(1.5):
          await send_once(fleet, 'n1', f'r{number}')
      await nodes.wait_until(lambda: not nodes.find_open(records))
    assert await send_once(fleet, 'n1', 'last') == 'request_quarantined'
    assert len(fleet.engines.ended) == MAX_ENDED


async def test_a_quarantined_request_is_refused_at_once_and_not_sent(caplog):
  caplog.set_level('INFO', 'woadrun')
  async with crashing_engines.make_fleet('n1') as fleet:
    await send_tries(fleet, path='/act/')
    sent = len(fleet.engines.sent)
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask(
        'n1', make_request('q', path='/act/', content=crashing_engines.MARK)
      )
    assert caught.value.code is errors.Code.REQUEST_QUARANTINED
    assert caught.value.ran is errors.RunStatus.NOT_RUN
    assert caught.value.retry_after is None
    assert all(id in caught.value.message for id in fleet.engines.ended)
    assert len(fleet.engines.sent) == sent
    metrics = fleet.by_name['n1'].counters.encode().decode()
  assert 'woadrun_quarantined_requests_total{service="tools"}' in metrics
  assert 'woadrun_instances_ended_total{service="tools"} 3.0' in metrics
  assert 'woadrun_requests_quarantined 1.0' in metrics


async def test_an_ended_instance_gets_no_requests_of_other_daemons():
  async with crashing_engines.make_fleet('n1', 's1', entry_seconds=10) as fleet:
    assert await send_once(fleet, 'n1', 'r') == 'outcome_unknown'
    ended = fleet.engines.ended[0]
    await asyncio.sleep(PAUSE_SECONDS)
    loads = fleet.by_name['s1'].loads
    group = fleet.by_name['s1'].catalogue.directory.find('tools')
    assert ended in group.by_incarnation_id
    chosen = {loads.choose(group, tried=[]).incarnation_id for _ in range(50)}
    assert ended not in chosen


async def test_a_full_instance_that_refuses_connections_has_not_ended():
  async with crashing_engines.make_fleet('n1') as fleet:
    directory = fleet.by_name['n1'].catalogue.directory
    await fleet.engines.add('tools')
    await nodes.wait_until(lambda: len(directory.find('tools')) == 3)
    fleet.engines.loses_connections = True
    fleet.engines.refuses_probes = True
    fleet.engines.seconds = 1.0
    beside = []
    # Until each instance has a request that runs on.
    while len({item.instance.id for item in fleet.engines.sent}) < 3:
      number = len(beside)
      request = make_request(f'b{number}', path='/act/', content=b'%d' % number)
      beside.append(asyncio.ensure_future(send(fleet, 'n1', request)))
      await nodes.wait_until(lambda: len(fleet.engines.sent) == len(beside))
    fleet.engines.seconds = 0.02
    tries = await send_tries(fleet, path='/act/')
    assert set(tries) == {'outcome_unknown'}
    assert set(await asyncio.gather(*beside)) == {200}


async def test_a_request_beside_one_that_ends_its_instances_is_not_refused():
  async with crashing_engines.make_fleet('n1', 'n2') as fleet:
    for service in ('tools', 'tools'):
      await fleet.engines.add(service)
    innocents = {f'i{number}': [] for number in range(6)}
    fatal = asyncio.ensure_future(send_tries(fleet, path='/act/'))
    for _ in range(TRIES):
      codes = await asyncio.gather(
        *(
          send(
            fleet,
            'n1',
            make_request(f'{id}-', path='/act/', content=id.encode()),
          )
          for id in innocents
        )
      )
      for id, code in zip(innocents, codes, strict=True):
        innocents[id].append(code)
    await fatal
    assert len(fleet.engines.ended) <= MAX_ENDED
    codes = {code for found in innocents.values() for code in found}
    assert 'request_quarantined' not in codes


# Guards against a suspect request that is refused for an instance which another
# suspect request has ended beside it.
async def test_a_suspect_request_is_not_sent_beside_another_one():
  async with crashing_engines.make_fleet('n1') as fleet:
    served = fleet.by_name['n1']
    records = served.crash_guard.records
    suspect = make_request('s', path='/act/', content=b'suspect')
    fingerprint = fingerprints.get_fingerprint(
      suspect, team=None, body=suspect.body
    )

    def mark(request):
      records.lose(request, 'ended')
      records.resolve('ended', is_ended=True)

    async def send_suspect(number):
      mark(fingerprint)
      request = dataclasses.replace(suspect, id=f's{number}')
      assert await send(fleet, 'n1', request) == 200
      return fleet.engines.sent[-1].instance.incarnation_id

    # The instance that would be chosen is busy with another suspect request.
    for number in range(10):
      usual = await send_suspect(f'{number}-alone')
      mark(f'other {number}')
      with records.run(f'other {number}', usual):
        assert await send_suspect(number) != usual


async def test_a_request_without_an_attempt_left_fails_without_a_wait():
  async with crashing_engines.make_fleet('n1') as fleet:
    assert await send_once(fleet, 'n1', 'r', path='/look/') == 'outcome_unknown'
    records = fleet.by_name['n1'].crash_guard.records
    record = next(iter(records._record_by_fingerprint.values()))
    # Claimed for the second attempt only, not for a third one.
    claims = [id for id in record.attempt_by_instance if id.startswith('claim')]
    assert len(claims) == 1
    assert len(record.find_holders()) == 2
    assert len(fleet.engines.sent) == 2


async def test_turns_that_end_their_instances_do_not_exceed_a_budget():
  most, budget = 6, 30
  async with crashing_engines.make_fleet('n1', 'n2', 's1') as fleet:
    fleet.engines.has_head = True
    names = sorted(fleet.by_name)
    events = 0
    for number in range(40):
      name = names[number % len(names)]
      await wait_for_instance(fleet, name, '/chat/')
      # Each turn is another request, so that none is refused for its tries.
      request = dataclasses.replace(
        make_request(f'r{number}', path='/chat/', content=b'fatal %d' % number),
        turn=exchange.TurnInfo(
          program='p', max_output=most, budget=budget, prompt_tokens=9
        ),
      )
      try:
        async with fleet.by_name[name].serving.handle_request(
          request
        ) as answer:
          async for chunk in answer.chunks:
            events += chunk.count(b'data: ')
      except errors.WoadrunError as error:
        if error.code is errors.Code.BUDGET_EXCEEDED:
          break
      except exchange.ResponseLost:
        continue
    else:
      raise AssertionError('The budget was never spent.')
    tokens_per_event = 3
    assert 0 < events * tokens_per_event <= budget + most


# Guards against one wait for all callers: a second, whatever time they have and
# however long such requests take.
@pytest.mark.parametrize(
  ('seconds', 'work', 'waited'), [(3.0, 0.2, 0.2), (0.3, 0.2, 0.1), (0.2, 3, 0)]
)
async def test_a_request_waits_for_its_other_attempts_as_long_as_they_take(
  seconds, work, waited
):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    guard = fleet.by_name['n1'].crash_guard
    # Another attempt of the request runs, and holds the last place.
    guard.records.has_running_attempt = lambda fingerprint: True
    guard._find_admission = unittest.mock.AsyncMock(return_value=None)
    began = time.monotonic()
    with pytest.raises(errors.WoadrunError) as caught:
      await guard.admit(
        'f', service='tools', deadline=began + seconds, work_seconds=work
      )
    assert time.monotonic() - began == pytest.approx(waited, abs=0.09)
    assert caught.value.ran is errors.RunStatus.NOT_RUN
    assert caught.value.retry_after == work
