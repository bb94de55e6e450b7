"""Tests for retries, hedging and partition handling of sent requests."""

import asyncio
import contextlib
import copy
import dataclasses
import gc
import re
import types

import nodes
import pytest

from woadrun import errors
from woadrun.decisions import attempt_limit
from woadrun.decisions import hedging
from woadrun.request import attempts
from woadrun.request import exchange
from woadrun.request import partition_monitor


async def ask(fleet, path, *faults):
  fleet.engines.faults.extend(faults)
  return await fleet.ask('n1', nodes.make_request('r', path=path))


@pytest.mark.parametrize(
  'fault',
  [
    exchange.RequestNotSent('refused'),
    nodes.make_reply(status=503, has_run=False),
    nodes.make_reply(status=421, has_run=False),
  ],
  ids=['not sent', 'full', 'misdirected'],
)
async def test_request_that_did_not_run_is_retried_on_another_instance(fault):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    assert (await ask(fleet, '/act/', fault))[0] == 200
    first, second = (item.instance.id for item in fleet.engines.sent)
    assert first != second


@pytest.mark.parametrize(
  'fault',
  [exchange.ResponseLost('reset'), nodes.make_reply(is_genuine=False)],
  ids=['no reply', 'reply not genuine'],
)
async def test_non_idempotent_request_that_may_have_run_is_not_retried(fault):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet, '/act/', fault)
    assert len(fleet.engines.sent) == 1
    assert caught.value.ran is errors.RunStatus.UNKNOWN
    assert caught.value.status == 502


async def test_idempotent_request_is_retried_after_a_lost_reply():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    assert (await ask(fleet, '/look/', exchange.ResponseLost('reset')))[
      0
    ] == 200


async def test_refusal_by_all_instances_reports_not_run_and_retry_after():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    full = [nodes.make_reply(status=503, has_run=False) for _ in range(2)]
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet, '/act/', *full)
    assert caught.value.status == 503
    assert caught.value.ran is errors.RunStatus.NOT_RUN
    assert caught.value.retry_after > 0
    assert len(fleet.engines.sent) == 2


async def test_path_without_route_is_not_found():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet, '/none/')
    assert caught.value.status == 404


async def test_idempotent_request_is_hedged_when_no_reply_arrives():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    assert (await ask(fleet, '/look/', nodes.SILENCE))[0] == 200
    first, second = (item.instance.id for item in fleet.engines.sent)
    assert first != second
    running = fleet.by_name['n1'].loads.get_running
    await nodes.wait_until(lambda: not running())


async def test_non_idempotent_request_is_not_hedged():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.SILENCE)
    request = nodes.make_request('r', path='/act/', seconds=1.5)
    task = asyncio.ensure_future(fleet.ask('n1', request))
    await asyncio.wait({task}, timeout=1.2)
    assert not task.done()
    assert len(fleet.engines.sent) == 1
    task.cancel()


async def test_hedged_requests_are_limited_when_a_service_does_not_reply():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.extend([nodes.SILENCE] * 200)
    requests = [
      nodes.make_request(f'r{n}', path='/look/', seconds=1.2) for n in range(40)
    ]
    tasks = [asyncio.ensure_future(fleet.ask('n1', r)) for r in requests]
    await asyncio.wait(tasks, timeout=1.1)
    for task in tasks:
      task.cancel()
    most = hedging.MAX_SAVED_HEDGES + hedging.HEDGE_RATIO * len(requests)
    assert len(fleet.engines.sent) <= len(requests) + most


async def test_stream_is_aborted_when_a_partition_cuts_off_its_instance():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    aborted = asyncio.Event()

    async def stream():
      yield b'data: x\n\n'
      await aborted.wait()
      raise exchange.ResponseLost('aborted')

    reply = nodes.make_reply()
    reply.chunks, reply.abort = stream(), aborted.set
    fleet.engines.faults.append(reply)
    daemon = fleet.by_name['n1']
    running = asyncio.ensure_future(fleet.turn('n1', 'a'))
    await nodes.wait_until(lambda: daemon.loads.get_running())
    await asyncio.sleep(2 * partition_monitor.POLL_INTERVAL_SECONDS)
    # The silence of the domain alone does not abort the stream: while the store
    # is reachable, the instance may still be healthy.
    daemon.fleet.is_domain_silent = lambda domain: True
    await asyncio.sleep(2 * partition_monitor.POLL_INTERVAL_SECONDS)
    assert not running.done()
    fleet.shared.is_out = True
    with pytest.raises(exchange.ResponseLost):
      await asyncio.wait_for(running, 5.0)


async def test_stream_without_reply_is_abandoned_in_a_partition():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.SILENCE)
    daemon = fleet.by_name['n1']
    running = asyncio.ensure_future(fleet.turn('n1', 'a'))
    await nodes.wait_until(lambda: daemon.loads.get_running())
    fleet.shared.is_out = True
    daemon.fleet.is_domain_silent = lambda domain: True
    with pytest.raises(errors.WoadrunError) as caught:
      await asyncio.wait_for(running, 3.0)
    # The request may have run, so the error does not report it as not run.
    assert caught.value.status == 502
    assert not daemon.loads.get_running()


# --- Routes with a single attempt --------------------------------------------


def make_single_attempt_config():
  config = copy.deepcopy(nodes.CONFIG)
  for route in config['routes']:
    route['max_attempts'] = 1
  return config


def refuse(count):
  return [nodes.make_reply(status=503, has_run=False) for _ in range(count)]


# Guards against a program under way that ends because a single engine's queue
# was full, and against a second reservation of the turn's tokens.
async def test_refused_turn_of_a_single_attempt_is_sent_to_another_instance():
  async with nodes.Nodes(config=make_single_attempt_config()) as fleet:
    await fleet.start('n1')
    fleet.engines.faults.extend(refuse(1))
    # The budget suffices for one reservation only.
    await fleet.turn('n1', 'a', budget=10, most=10)
    first, second = (item.instance.id for item in fleet.engines.sent)
    assert first != second


@pytest.mark.parametrize('path', ['/act/', '/draft/', '/look/'])
@pytest.mark.parametrize(
  'fault',
  [exchange.ResponseLost('reset'), nodes.make_reply(is_genuine=False)],
  ids=['no reply', 'reply not genuine'],
)
@pytest.mark.parametrize('refused', [0, 1])
async def test_single_attempt_that_may_have_run_is_the_last(
  path, fault, refused
):
  async with nodes.Nodes(config=make_single_attempt_config()) as fleet:
    await fleet.start('n1')
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet, path, *refuse(refused), fault)
    assert len(fleet.engines.sent) == 1 + refused
    assert caught.value.ran is errors.RunStatus.UNKNOWN


@pytest.mark.parametrize(
  ('tried', 'not_run', 'left', 'expected'),
  [
    # A first attempt is made however little time is left.
    (0, 0, 0.1, True),
    (1, 0, 2.9, False),
    (1, 1, 0.5, True),
    (1, 1, 0.49, False),
    (1, 1, 19.8, True),
    (2, 1, 2.9, False),
    (2, 2, 2.9, True),
    (3, 3, 2.9, False),
  ],
)
def test_attempts_that_did_not_run_have_their_own_limit(
  tried, not_run, left, expected
):
  may_send = attempt_limit.may_send(
    max_attempts=1,
    tried=tried,
    not_run=not_run,
    not_sent=0,
    seconds_left=left,
    work_seconds=0.5,
  )
  assert may_send is expected


@pytest.mark.parametrize(('tried', 'expected'), [(1, True), (2, False)])
def test_routes_with_several_attempts_count_refusals(tried, expected):
  may_send = attempt_limit.may_send(
    max_attempts=2,
    tried=tried,
    not_run=tried,
    not_sent=0,
    seconds_left=0.1,
    work_seconds=2.9,
  )
  assert may_send is expected


@pytest.mark.parametrize(
  ('tried', 'not_sent', 'left', 'expected'),
  [
    (2, 1, 0.5, True),
    (2, 1, 0.49, False),
    (2, 2, 0.5, True),
    (3, 1, 2.9, False),
    (3, 2, 2.9, True),
    (3, 3, 2.9, False),
  ],
)
def test_attempts_that_reached_no_instance_do_not_count(
  tried, not_sent, left, expected
):
  may_send = attempt_limit.may_send(
    max_attempts=2,
    tried=tried,
    not_run=tried,
    not_sent=not_sent,
    seconds_left=left,
    work_seconds=0.5,
  )
  assert may_send is expected


# Guards against a request that is refused with most of its time left, because
# an instance that it never reached counted as one that it was sent to.
@pytest.mark.parametrize('path', ['/act/', '/draft/', '/look/'])
async def test_unreached_instance_leaves_a_request_its_attempts(path):
  async with nodes.Nodes() as fleet:
    await fleet.add_instance('e3', 'models')
    await fleet.add_instance('t3', 'tools')
    await fleet.start('n1')
    await ask(fleet, path, exchange.RequestNotSent('refused'), *refuse(1))
    assert len(fleet.engines.sent) == 3


# Guards against a request that was refused late in its time, and was not sent
# to another instance although that could have answered it in time.
@pytest.mark.parametrize(
  ('usual', 'sent', 'status'), [(0.3, 2, 200), (1.5, 1, 503)]
)
async def test_refused_request_goes_on_while_its_usual_time_is_left(
  usual, sent, status
):
  async with nodes.Nodes(config=make_single_attempt_config()) as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    for _ in range(400):
      daemon.loads.record_duration('e', 'tools', usual)
    send = daemon.serving._attempts._upstreams.send

    @contextlib.asynccontextmanager
    async def refuse_late(sending):
      if not fleet.engines.sent:
        await asyncio.sleep(0.8)
      async with send(sending) as reply:
        yield reply

    daemon.serving._attempts._upstreams = types.SimpleNamespace(
      send=refuse_late
    )
    fleet.engines.faults.extend(refuse(1))
    request = nodes.make_request('r', path='/act/', seconds=2.0)
    try:
      found, _ = await fleet.ask('n1', request)
    except errors.WoadrunError as error:
      found = error.status
    assert found == status
    assert len(fleet.engines.sent) == sent


# Guards against an instance that attracts requests because it fails at once.
@pytest.mark.parametrize(
  'fault',
  [
    exchange.RequestNotSent('refused'),
    exchange.ResponseLost('reset'),
    nodes.make_reply(status=503, has_run=False),
    nodes.make_reply(status=500),
    nodes.make_torn_reply(),
  ],
  ids=['not sent', 'lost', 'full', 'error', 'torn'],
)
async def test_failure_does_not_count_as_a_fast_success(fault):
  async with nodes.Nodes(config=make_single_attempt_config()) as fleet:
    await fleet.start('n1')
    load = fleet.by_name['n1'].loads
    before = load.get_mean_seconds('tools')
    fleet.engines.faults.extend([fault] * 3)  # One for each attempt.
    with contextlib.suppress(errors.WoadrunError, exchange.ResponseLost):
      await ask(fleet, '/act/')
    assert load.get_mean_seconds('tools') == before


# Guards against failed attempts that kept their sockets and 40 KB each until
# the garbage collector came.
@pytest.mark.parametrize(
  'make_fault',
  [
    lambda: exchange.ResponseLost('reset'),
    lambda: nodes.make_reply(is_genuine=False),
    lambda: exchange.RequestNotSent('refused'),
    lambda: nodes.make_reply(status=503, has_run=False),
  ],
  ids=['lost', 'not genuine', 'not sent', 'full'],
)
async def test_a_failed_request_is_let_go_without_a_collection(make_fault):
  def find_states():
    return [o for o in gc.get_objects() if isinstance(o, attempts._SendState)]

  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    gc.collect()
    gc.disable()
    # Errors that are parameters of other tests hold some.
    before = find_states()
    try:
      with contextlib.suppress(errors.WoadrunError):
        # The test itself must not hold an error, whose traceback holds frames.
        await ask(fleet, '/act/', *(make_fault() for _ in range(9)))
      fleet.engines.faults.clear()
      after = find_states()
    finally:
      gc.enable()
    assert len(after) == len(before)


# Guards against times that are learned where they have no effect, and against
# an instance that seems slow because the caller reads slowly.
@pytest.mark.parametrize(
  ('config', 'caller_part', 'expected'),
  [
    (make_single_attempt_config(), 1.0, 1),
    (make_single_attempt_config(), 0.0, 0),
    (nodes.CONFIG, 1.0, 0),
  ],
  ids=['single attempt', 'slow caller', 'several attempts'],
)
async def test_times_of_turns_are_learned(
  monkeypatch, config, caller_part, expected
):
  monkeypatch.setattr(attempts, 'MAX_CALLER_PART', caller_part)
  sizes = []
  async with nodes.Nodes(config=config) as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    daemon.loads.slowness.record_turn = lambda *args: sizes.append(args[2])
    request = nodes.make_request(
      'a',
      path='/chat/',
      turn=exchange.TurnInfo(
        program='p', max_output=10, budget=100, prompt_tokens=9
      ),
    )
    async with daemon.serving.handle_request(request) as answer:
      async for _ in answer.chunks:
        await asyncio.sleep(0.001)
  assert len(sizes) == expected
  assert all(size.uncached == 9 and size.tokens for size in sizes)


async def test_a_lost_response_is_logged_with_the_identity_of_its_request(
  caplog,
):
  caplog.set_level('INFO', 'woadrun.attempts')
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    request = nodes.make_request('r', path='/act/')
    for id in ('r1', 'r2'):
      fleet.engines.faults.append(exchange.ResponseLost('reset'))
      with pytest.raises(errors.WoadrunError):
        await fleet.ask('n1', dataclasses.replace(request, id=id))
    fleet.engines.faults.append(nodes.make_torn_reply())
    with pytest.raises(exchange.ResponseLost):
      await fleet.ask('n1', dataclasses.replace(request, id='r3'))
  lost = [m for m in caplog.messages if 'fingerprint' in m]
  assert [line.split()[1] for line in lost] == ['r1', 'r2', 'r3']
  assert len({re.search('fingerprint ([0-9a-f]{16})', m)[1] for m in lost}) == 1
  assert all('beside 0 other requests' in line for line in lost)
