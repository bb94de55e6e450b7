"""Tests that what a caller is told outlives all daemons."""

import asyncio
import random
import time

from faults import callers
from faults import clock
from faults import fleet as fault_fleet
import hypothesis
from hypothesis import strategies
import nodes
import pytest

from woadrun import errors
from woadrun.process import ticks
from woadrun.process.store import store_access
from woadrun.process.store import turn_store
from woadrun.request import exchange


def hide_store(fleet, *, how):
  """Makes the store unreachable; returns a function that ends that."""
  if how == 'cut':
    fleet.cut_off('north')
    return lambda: fleet.heal('north')
  if how == 'slow':
    fleet.shared.delay = 0.7
    return lambda: setattr(fleet.shared, 'delay', 0.0)
  fleet.shared.is_out = True
  return lambda: setattr(fleet.shared, 'is_out', False)


async def wait_for_outage(fleet):
  north = [d for name, d in fleet.by_name.items() if name.startswith('n')]
  await nodes.wait_until(lambda: not any(d.store.is_reachable for d in north))


async def run_to_its_end(fleet, id, **options):
  """Starts a turn during whose last event the store becomes unreachable.

  Returns its task, and the function that ends the outage.
  """
  ends = []
  stream = fleet.engines._stream

  async def stream_into_outage(request):
    async for event in stream(request):
      yield event
    if request == id:
      ends.append(hide_store(fleet, **options))

  fleet.engines._stream = stream_into_outage
  running = asyncio.ensure_future(fleet.turn('n1', id, parent='a'))
  await nodes.wait_until(lambda: ends)
  return running, ends[0]


# Guards against turns that end as complete in the memories of daemons only:
# without the store, beyond a cut, and while it is slow.
@pytest.mark.parametrize('how', ['out', 'cut', 'slow'])
async def test_a_turn_ends_as_complete_once_the_store_has_it(how):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    running, end = await run_to_its_end(fleet, 'b', how=how)
    await asyncio.sleep(0.3)
    assert not running.done()
    assert not fleet.has_turn('b')
    end()
    assert (await running)[0] == 200
    assert fleet.has_turn('b')
    for name in list(fleet.by_name):
      await fleet.stop(name)
    await fleet.start('n3')
    await fleet.turn('n3', 'c', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


# Guards against an answer that ends as complete at its deadline.
@pytest.mark.parametrize('how', ['out', 'cut'])
async def test_a_turn_that_is_not_stored_in_time_ends_as_incomplete(how):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    running, end = await run_to_its_end(fleet, 'b', how=how)
    with pytest.raises(errors.WoadrunError) as caught:
      await running
    assert caught.value.code is errors.Code.NOT_COMMITTED
    assert caught.value.ran is errors.RunStatus.RAN
    assert not fleet.has_turn('b')
    gauges = fleet.by_name['n1'].waits.read_gauges()
    assert gauges['turn_ends_given_up'] == 1
    end()
    # The caller sends it again.
    await fleet.turn('n1', 'again', parent='a')
    assert fleet.get_body('again') == b'<a>a-0\na-1\n<again>'


# Guards against a whole reply that is broken off as it ends at its deadline.
async def test_a_turn_that_ends_at_its_deadline_is_stored():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await fleet.turn('n1', 'a')
    client = fleet.by_name['n1'].serving._turn_client
    close = client.close

    async def close_late(message, *, home, deadline):
      await close(message, home=home, deadline=time.monotonic() - 0.1)

    client.close = close_late
    assert (await fleet.turn('n1', 'b', parent='a'))[0] == 200
    assert fleet.has_turn('b')


# Guards against tokens that no row counts: a turn that runs without the store.
@pytest.mark.parametrize('path', ['/chat/', '/draft/'])
async def test_a_turn_runs_once_the_store_has_its_reservation(path):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a', budget=46, path=path)
    end = hide_store(fleet, how='out')
    await wait_for_outage(fleet)
    held = [
      asyncio.ensure_future(fleet.turn(name, f'b-{name}', budget=46, path=path))
      for name in ('n1', 's1')
    ]
    await asyncio.sleep(0.5)
    assert [fleet.get_body(f'b-{name}') for name in ('n1', 's1')] == [None] * 2
    end()
    assert [status for status, _ in await asyncio.gather(*held)] == [200] * 2
    assert fleet.get_spent('p') >= 18
    # None of the budget is set aside.
    for number in range(3):
      await fleet.turn('n1', f'c{number}', budget=46, path=path)


async def refuse_in_outage(config):
  """Returns the error of a turn in an outage, and after how many seconds."""
  served = fault_fleet.Fleet(
    dice=random.Random(1), daemons=DAEMONS, domains=DOMAINS, config=config
  )
  await served.start_all()
  served.store.is_out = True
  served.store.rows.notify_followers()
  await asyncio.sleep(1.0)
  site = next(iter(served.site_by_name.values()))
  request = nodes.make_request('a', path='/chat/', turn=make_turn(''))
  began = time.monotonic()
  with pytest.raises(errors.WoadrunError) as caught:
    async with site.daemon.serving.handle_request(request):
      pass
  assert not served.instances.bodies_by_request
  return caught.value, time.monotonic() - began


# The request has three seconds, on a virtual clock.
def test_a_turn_without_time_to_wait_is_refused_as_not_run():
  error, seconds = run_on_virtual_clock(
    lambda: refuse_in_outage(fault_fleet.CONFIG)
  )
  assert 2.0 < seconds < 3.0
  assert error.code is errors.Code.OWNER_UNAVAILABLE
  assert error.ran is errors.RunStatus.NOT_RUN
  assert error.retry_after > 0


# Guards against callers that leave a held turn, which costs them an attempt.
def test_callers_of_held_turns_hear_before_they_leave():
  config = with_gap(fault_fleet.CONFIG, 100)
  error, seconds = run_on_virtual_clock(lambda: refuse_in_outage(config))
  assert 1.5 < seconds < 2.0
  # The caller still has time, and waits here again.
  assert error.retry_after == 0.0


def with_gap(config, milliseconds):
  """Returns a configuration whose callers leave streams that are silent."""
  routes = [
    {**route, 'gap_aim_ms': milliseconds, 'target_latency_ms': 100}
    for route in config['routes']
  ]
  return {**config, 'routes': routes}


# Guards against callers that leave a stream whose end is held.
async def test_the_last_chunk_of_a_held_turn_is_kept_back():
  async with nodes.Nodes(config=with_gap(nodes.CONFIG, 100)) as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    stream = fleet.engines._stream

    async def stream_into_outage(id):
      hide_store(fleet, how='out')
      await wait_for_outage(fleet)
      async for event in stream(id):
        yield event

    fleet.engines._stream = stream_into_outage
    request = nodes.make_request(
      'c', path='/chat/', turn=make_turn('a'), seconds=5.0
    )
    received = []
    with pytest.raises(errors.WoadrunError):
      async with fleet.by_name['n1'].serving.handle_request(request) as answer:
        async for chunk in answer.chunks:
          received.append((time.monotonic(), chunk))
    gap = received[-1][0] - received[-2][0]
    # It comes as the caller is about to leave, after two seconds.
    assert len(received) == 2 and gap > 1.5


# Guards against callers that leave as their last chunk came just before the
# store was lost, long before their deadline.
async def test_a_chunk_known_to_be_the_last_is_kept_back():
  async with nodes.Nodes(config=with_gap(nodes.CONFIG, 100)) as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    ends, received = [], []

    async def stream(id):
      yield b'data: 1\n\n'
      ends.append(hide_store(fleet, how='out'))
      yield b'data: 2\n\n'

    fleet.engines._stream = stream
    fleet.engines.is_at_end = lambda: bool(ends)
    request = nodes.make_request(
      'c', path='/chat/', turn=make_turn('a'), seconds=8.0
    )
    async with fleet.by_name['n1'].serving.handle_request(request) as answer:
      async for chunk in answer.chunks:
        received.append((time.monotonic(), chunk))
        if len(received) == 2:
          ends[0]()
    gap = received[1][0] - received[0][0]
    assert len(received) == 2 and gap > 1.5
    assert fleet.has_turn('c')


def make_turn(parent):
  return exchange.TurnInfo(
    program='p', parent=parent, max_output=10, budget=1000, prompt_tokens=9
  )


# Guards against an instance, and an estimate of its speed, that a held end
# occupies.
async def test_a_held_end_occupies_no_instance():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    running, end = await run_to_its_end(fleet, 'b', how='out')
    await asyncio.sleep(0.5)
    loads = fleet.by_name['n1'].loads
    assert not running.done() and not loads.get_running()
    end()
    await running
    assert loads.get_usual_seconds('models') < 0.3


async def test_a_held_end_is_logged_with_its_reason(caplog):
  caplog.set_level('INFO', 'woadrun.turns')
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    running, end = await run_to_its_end(fleet, 'b', how='out')
    await asyncio.sleep(0.7)
    end()
    await running
  (line,) = [m for m in caplog.messages if 'its end waited' in m]
  assert line.startswith('Turn b: its end waited ')
  assert line.endswith(' and went on.')


# Guards against a lost answer of the store that ends a turn as incomplete.
async def test_a_change_is_repeated_until_the_store_answers():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await fleet.turn('n1', 'a')
    change, lost = fleet.shared.change, []

    async def lose_first(**options):
      outcome = await change(**options)
      if len(lost) < 2:
        lost.append(options)
        await asyncio.Event().wait()
      return outcome

    fleet.shared.change = lose_first
    # Otherwise it would end as incomplete at its deadline.
    assert (await fleet.turn('n1', 'b', parent='a'))[0] == 200
    assert len(lost) == 2
    assert fleet.get_spent('p') <= 6 + 10


async def test_probes_of_a_silent_store_do_not_wait_for_each_other():
  """Guards against a return that is noticed only after the last probe."""
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store
    probes = []

    async def hang(*_, **__):
      probes.append(time.monotonic())
      await asyncio.Event().wait()

    fleet.view_by_name['n1'].read = hang
    store.is_direct = False
    await nodes.wait_until(lambda: len(probes) >= 3)
    gaps = [b - a for a, b in zip(probes, probes[1:], strict=False)]
    assert min(gaps) < store_access.PROBE_TIMEOUT_SECONDS


def lose_parts(fleet, parts, *, how):
  """Makes some parts of the store refuse calls or stay silent."""

  def wrap(call):
    async def call_unless_lost(*args, **options):
      keys = [key for key, _ in options.get('writes', ())]
      asked = {key.part for key in keys} | set(args[1:2])
      if asked & set(parts):
        if how == 'silent':
          await asyncio.sleep(0.8)
        raise errors.WoadrunError(errors.Code.PLATFORM_UNAVAILABLE, 'lost')
      return await call(*args, **options)

    return call_unless_lost

  fleet.shared.change = wrap(fleet.shared.change)
  fleet.shared.read = wrap(fleet.shared.read)


# Guards against turns that wait for a part of the store that is down alone, and
# against a store that counts as lost with it.
@pytest.mark.parametrize('count', [1, turn_store.PARTS_PER_TURN - 1])
@pytest.mark.parametrize('how', ['refuses', 'silent'])
async def test_a_store_that_is_down_in_part_takes_turns_elsewhere(how, count):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    lost = turn_store.get_parts('b')[:count]
    assert nodes.get_part('p') not in lost
    lose_parts(fleet, lost, how=how)
    for number in range(4):
      assert (await fleet.turn('n1', f'other{number}'))[0] == 200
    # Otherwise it would end as incomplete at its deadline.
    assert (await fleet.turn('n1', 'b', parent='a'))[0] == 200
    daemon = fleet.by_name['n1']
    assert daemon.store.is_direct
    assert daemon.waits.read_gauges()['turn_ends_given_up'] == 0
    assert fleet.has_turn('b')
    for name in ('n1', 'n2'):
      await fleet.stop(name)
    # A daemon without a copy finds it as well.
    await fleet.start('n3')
    assert (await fleet.turn('n3', 'c', parent='b'))[0] == 200
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


def test_the_parts_of_a_turn_differ():
  for number in range(2_000):
    parts = turn_store.get_parts(f't{number}')
    assert parts[0] == turn_store.get_part(f't{number}')
    assert len(parts) == len(set(parts)) == 3
    assert all(len(part) == 2 for part in parts)


# --- One rule over random sequences of faults ---------------------------------

DAEMONS, DOMAINS = 4, 2
# What happens next, and how long it lasts, in seconds.
ACTIONS = ('go-on', 'out', 'silent', 'slow', 'lose-answers', 'cut', 'lose-all')
STEPS = strategies.lists(
  strategies.tuples(
    strategies.sampled_from(ACTIONS), strategies.floats(0.05, 1.5)
  ),
  min_size=1,
  max_size=6,
)


async def play(steps, *, seed=1):
  """Returns what callers were told and the store lacks at that moment.

  States of the store last until the next one; all daemons may be lost in any.
  """
  served = fault_fleet.Fleet(
    dice=random.Random(seed), daemons=DAEMONS, domains=DOMAINS
  )
  await served.start_all()
  pool = callers.Callers(rng=random.Random(seed), served=served)
  running = asyncio.ensure_future(pool.run())
  store = served.store
  await asyncio.sleep(0.5)
  for action, seconds in steps:
    store.is_out = action in ('out', 'silent')
    store.is_silent = action == 'silent'
    store.is_slow = action == 'slow'
    store.answer_loss = 0.3 if action == 'lose-answers' else 0.0
    store.domains_without = {served.domains[0]} if action == 'cut' else set()
    store.rows.notify_followers()
    if action == 'lose-all':
      await asyncio.gather(*(served.kill(name) for name in served.names))
      for name in served.names:
        await served.start(name)
    await asyncio.sleep(seconds)
  pool.is_stopping = True
  await running
  return pool.violations


def run_on_virtual_clock(scenario):
  random.seed(1)
  ticks._OFFSET_SECONDS = random.random()
  with clock.run_by(clock.Clock()) as loop:
    return loop.run_until_complete(scenario())


@hypothesis.settings(deadline=None, max_examples=25, derandomize=True)
@hypothesis.given(STEPS)
def test_what_callers_are_told_is_in_the_store(steps):
  assert run_on_virtual_clock(lambda: play(steps)) == []
