"""What is sent again, and what a refusal says."""

import asyncio

import nodes
import pytest

from woadrun import errors
from woadrun.decisions import hedging
from woadrun.request import cut_watch
from woadrun.request import exchange


async def ask(fleet, path, *faults):
  fleet.engines.faults.extend(faults)
  return await fleet.ask('n1', nodes.make_request('r', path=path))


@pytest.mark.parametrize(
  'fault',
  [
    exchange.NotSent('refused'),
    nodes.make_reply(status=503, has_run=False),
    nodes.make_reply(status=421, has_run=False),
  ],
  ids=['not sent', 'full', 'another instance'],
)
async def test_what_did_not_run_is_sent_to_another_instance(fault):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    assert (await ask(fleet, '/act/', fault))[0] == 200
    first, second = (item.instance.id for item in fleet.engines.sent)
    assert first != second


@pytest.mark.parametrize(
  'fault',
  [exchange.Lost('reset'), nodes.make_reply(is_genuine=False)],
  ids=['no answer', 'another answer'],
)
async def test_what_may_have_run_once_is_not_sent_again(fault):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet, '/act/', fault)
    assert len(fleet.engines.sent) == 1
    assert caught.value.ran is errors.Ran.UNKNOWN
    assert caught.value.status == 502


async def test_what_may_be_repeated_is_sent_again_after_a_lost_answer():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    assert (await ask(fleet, '/look/', exchange.Lost('reset')))[0] == 200


async def test_a_refusal_of_all_instances_is_a_promise_with_a_time():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    full = [nodes.make_reply(status=503, has_run=False) for _ in range(2)]
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet, '/act/', *full)
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after > 0
    assert len(fleet.engines.sent) == 2


async def test_a_path_without_a_route_is_not_found():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet, '/none/')
    assert caught.value.status == 404


async def test_a_lost_answer_of_what_may_be_repeated_holds_nobody_up():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    assert (await ask(fleet, '/look/', nodes.SILENCE))[0] == 200
    first, second = (item.instance.id for item in fleet.engines.sent)
    assert first != second
    running = fleet.by_name['n1'].loads.get_running
    await nodes.wait_until(lambda: not running())


async def test_what_may_not_be_repeated_is_sent_once_however_long_it_takes():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.SILENCE)
    request = nodes.make_request('r', path='/act/', seconds=1.5)
    asked = asyncio.ensure_future(fleet.ask('n1', request))
    await asyncio.wait({asked}, timeout=1.2)
    assert not asked.done()
    assert len(fleet.engines.sent) == 1
    asked.cancel()


async def test_second_sends_are_bounded_where_a_service_is_silent():
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
    most = hedging.MOST_SAVED + hedging.SHARE * len(requests)
    assert len(fleet.engines.sent) <= len(requests) + most


async def test_a_stream_whose_instance_is_cut_off_ends_on_the_lesser_side():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    torn = asyncio.Event()

    async def stream():
      yield b'data: x\n\n'
      await torn.wait()
      raise exchange.Lost('aborted')

    reply = nodes.make_reply()
    reply.chunks, reply.abort = stream(), torn.set
    fleet.engines.faults.append(reply)
    north = fleet.by_name['n1']
    running = asyncio.ensure_future(fleet.turn('n1', 'a'))
    await nodes.wait_until(lambda: north.loads.get_running())
    await asyncio.sleep(2 * cut_watch.LOOK_SECONDS)
    # With the store in reach the instance may be well.
    north.fleet.is_silent = lambda domain: True
    await asyncio.sleep(2 * cut_watch.LOOK_SECONDS)
    assert not running.done()
    fleet.shared.is_out = True
    with pytest.raises(exchange.Lost):
      await asyncio.wait_for(running, 5.0)


async def test_a_stream_that_has_not_begun_is_given_up_in_a_cut():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.SILENCE)
    north = fleet.by_name['n1']
    running = asyncio.ensure_future(fleet.turn('n1', 'a'))
    await nodes.wait_until(lambda: north.loads.get_running())
    fleet.shared.is_out = True
    north.fleet.is_silent = lambda domain: True
    with pytest.raises(errors.WoadrunError) as caught:
      await asyncio.wait_for(running, 3.0)
    # It may have run: no promise.
    assert caught.value.status == 502
    assert not north.loads.get_running()
