"""Responses of idempotent requests that are read ahead, and their retries."""

import asyncio
import contextlib
import copy
import dataclasses
import random
import time

import nodes
import pytest
from test_ingress import make_head
from test_ingress import serve
from test_truncated_responses import connect
from test_truncated_responses import read_until_end
from test_truncated_responses import reset
from test_truncated_responses import serve_bytes

from woadrun import errors
from woadrun.request import exchange
from woadrun.request import held_bytes
from woadrun.request import response_buffer

BOUND = response_buffer.MAX_RESPONSE_BYTES
LOST = exchange.ResponseLost('reset')


def make_reply(*parts, status=200, name='', **options):
  """Returns a reply with a body of `parts`; an exception among them is raised.

  At an event among them, the body waits.  `name` is in a header.
  """

  async def stream():
    for part in parts:
      if isinstance(part, asyncio.Event):
        await part.wait()
      elif isinstance(part, Exception):
        raise part
      else:
        await asyncio.sleep(0)
        yield part

  reply = nodes.make_reply(status=status)
  headers = [('Sent-By', name)]
  return dataclasses.replace(reply, chunks=stream(), headers=headers, **options)


class Tracker:
  """Counts the requests that an upstream began and ended."""

  def __init__(self, fleet):
    self.begun = 0
    self.ended = 0
    self._send = fleet.engines.send
    fleet.engines.send = self.send

  @contextlib.asynccontextmanager
  async def send(self, sending):
    self.begun += 1
    try:
      async with self._send(sending) as reply:
        yield reply
    finally:
      self.ended += 1


@contextlib.asynccontextmanager
async def start_fleet(*faults, config=nodes.CONFIG):
  """Yields a fleet with one daemon; checks its counts at the end."""
  async with nodes.Nodes(config=config) as fleet:
    await fleet.start('n1')
    fleet.engines.faults.extend(faults)
    tracker = Tracker(fleet)
    async with asyncio.timeout(15):
      yield fleet
    await nodes.wait_until(lambda: tracker.begun == tracker.ended)
    daemon = fleet.by_name['n1']
    assert daemon.loads.get_running() == {}
    assert not daemon.loads.health._pending_by_request
    assert get_held(fleet).total == 0


def get_held(fleet):
  return fleet.by_name['n1'].serving._attempts._held


def count_truncated(fleet):
  registry = fleet.by_name['n1'].counters.registry
  name = 'woadrun_truncated_replies_total'
  return registry.get_sample_value(name, {'service': 'tools'})


async def ask(fleet, *, path='/look/', id='r', seconds=3.0):
  """Returns the status, the value of the header and the body of an answer."""
  request = nodes.make_request(id, path=path, seconds=seconds)
  handler = fleet.by_name['n1'].serving
  async with handler.handle_request(request) as answer:
    body = b''.join([chunk async for chunk in answer.chunks])
    return answer.status, dict(answer.headers).get('Sent-By'), body


# Guards against an answer with the head of one instance and the body of
# another, and against a failure that is put down to the wrong instance.
@pytest.mark.parametrize('status', [200, 500])
async def test_request_is_retried_if_its_response_breaks_off(status):
  broken = make_reply(b'half', LOST, status=status, name='first')
  whole = make_reply(b'wh', b'ole', status=201, name='second')
  async with start_fleet(broken, whole) as fleet:
    assert await ask(fleet) == (201, 'second', b'whole')
    first, second = (item.instance for item in fleet.engines.sent)
    assert first.id != second.id
    failures = fleet.by_name['n1'].loads.health.get_own_failures()
    assert set(failures) == {first.incarnation_id}
    assert count_truncated(fleet) == 1


async def test_truncated_response_is_not_a_fast_success():
  broken = [make_reply(b'half', LOST) for _ in range(2)]
  async with start_fleet(*broken) as fleet:
    loads = fleet.by_name['n1'].loads
    before = loads.get_mean_seconds('tools')
    with pytest.raises(errors.WoadrunError):
      await ask(fleet)
    assert loads.get_mean_seconds('tools') == before


async def test_response_that_is_given_up_is_not_a_fast_success():
  async with start_fleet(make_reply(b'half', asyncio.Event())) as fleet:
    loads = fleet.by_name['n1'].loads
    before = loads.get_mean_seconds('tools')
    running = asyncio.ensure_future(ask(fleet))
    await nodes.wait_until(lambda: get_held(fleet).total)
    running.cancel()
    await nodes.wait_until(lambda: not loads.get_running())
    assert loads.get_mean_seconds('tools') == before


async def test_response_that_breaks_off_everywhere_is_an_error():
  broken = [make_reply(b'half', LOST) for _ in range(4)]
  async with start_fleet(*broken) as fleet:
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet)
    assert (caught.value.status, caught.value.ran) == (
      502,
      errors.RunStatus.UNKNOWN,
    )
    assert len(fleet.engines.sent) == 2
    assert count_truncated(fleet) == 2


async def test_refusal_after_a_truncated_response_does_not_state_not_run():
  full = nodes.make_reply(status=503, has_run=False)
  async with start_fleet(make_reply(b'half', LOST), full) as fleet:
    with pytest.raises(errors.WoadrunError) as caught:
      await ask(fleet)
    assert caught.value.ran is errors.RunStatus.UNKNOWN


async def test_request_is_not_retried_if_its_response_breaks_off_late():
  long = make_reply(bytes(BOUND), b'x', b'y', LOST)
  async with start_fleet(long) as fleet:
    request = nodes.make_request('r', path='/look/')
    received = bytearray()
    with pytest.raises(exchange.ResponseLost):
      async with fleet.by_name['n1'].serving.handle_request(request) as answer:
        async for chunk in answer.chunks:
          received += chunk
    assert received == bytes(BOUND) + b'xy'
    assert len(fleet.engines.sent) == 1
    assert not count_truncated(fleet)


@pytest.mark.parametrize('size', [0, 1, BOUND, BOUND + 1, 3 * BOUND])
async def test_response_of_any_size_is_relayed_unchanged(size):
  body = random.Random(size).randbytes(size)
  parts = [body[at : at + 5000] for at in range(0, size, 5000)]
  async with start_fleet(make_reply(*parts, name='a')) as fleet:
    assert await ask(fleet) == (200, 'a', body)
    assert len(fleet.engines.sent) == 1


async def test_failure_of_an_instance_is_relayed_if_it_is_complete():
  failed = make_reply(b'failed', status=500, name='a')
  async with start_fleet(failed) as fleet:
    assert await ask(fleet) == (500, 'a', b'failed')
    assert len(fleet.engines.sent) == 1


@pytest.mark.parametrize('path', ['/act/', '/draft/', '/chat/'])
async def test_only_idempotent_requests_are_retried(path):
  async with start_fleet(make_reply(b'data: x\n\n', LOST)) as fleet:
    with pytest.raises(exchange.ResponseLost):
      await ask(fleet, path=path)
    assert len(fleet.engines.sent) == 1
    assert not count_truncated(fleet)


@pytest.mark.parametrize('path', ['/act/', '/draft/'])
async def test_responses_of_other_requests_are_relayed_as_they_come(path):
  more = asyncio.Event()
  reply = make_reply(b'data: x\n\n', more, b'data: y\n\n')
  async with start_fleet(reply) as fleet:
    request = nodes.make_request('r', path=path)
    async with fleet.by_name['n1'].serving.handle_request(request) as answer:
      assert await anext(answer.chunks) == b'data: x\n\n'
      assert get_held(fleet).total == 0
      more.set()
      assert await anext(answer.chunks) == b'data: y\n\n'


# Guards against a turn whose tokens are counted although its caller did not
# receive them.
async def test_turn_on_an_idempotent_route_is_relayed_as_it_comes():
  config = copy.deepcopy(nodes.CONFIG)
  config['routes'][0]['kind'] = 'idempotent'
  more = asyncio.Event()
  async with start_fleet(
    make_reply(b'data: x\n\n', more, LOST), config=config
  ) as fleet:
    turn = exchange.TurnInfo(program='p', max_output=10, budget=100)
    request = nodes.make_request('r', path='/chat/', turn=turn)
    async with fleet.by_name['n1'].serving.handle_request(request) as answer:
      assert await anext(answer.chunks) == b'data: x\n\n'
      more.set()
      with pytest.raises(exchange.ResponseLost):
        await anext(answer.chunks)
    assert len(fleet.engines.sent) == 1


# --- Hedging ------------------------------------------------------------------


async def test_hedged_request_takes_the_response_that_is_complete():
  never = asyncio.Event()
  stalled = make_reply(b'half', never, name='first')
  whole = make_reply(b'whole', name='second')
  async with start_fleet(stalled, whole) as fleet:
    assert await ask(fleet) == (200, 'second', b'whole')


async def test_hedged_request_whose_first_response_breaks_off():
  hedged = asyncio.Event()
  broken = make_reply(b'half', hedged, LOST, name='first')
  async with start_fleet(broken) as fleet:
    answered = asyncio.Event()
    fleet.engines.faults.append(make_reply(answered, b'whole', name='second'))
    running = asyncio.ensure_future(ask(fleet))
    await nodes.wait_until(lambda: len(fleet.engines.sent) == 2)
    hedged.set()
    await nodes.wait_until(lambda: count_truncated(fleet))
    assert not running.done()
    answered.set()
    assert await running == (200, 'second', b'whole')


async def test_hedged_request_whose_responses_both_break_off():
  hedged = asyncio.Event()
  broken = [make_reply(b'half', hedged, LOST) for _ in range(2)]
  async with start_fleet(*broken) as fleet:
    running = asyncio.ensure_future(ask(fleet))
    await nodes.wait_until(lambda: len(fleet.engines.sent) == 2)
    hedged.set()
    with pytest.raises(errors.WoadrunError) as caught:
      await running
    assert caught.value.ran is errors.RunStatus.UNKNOWN
    assert len(fleet.engines.sent) == 2


async def test_caller_that_leaves_ends_all_attempts():
  never = asyncio.Event()
  stalled = [make_reply(b'half', never) for _ in range(2)]
  async with start_fleet(*stalled) as fleet:
    running = asyncio.ensure_future(ask(fleet))
    held = get_held(fleet)
    await nodes.wait_until(lambda: held.total == 2 * len(b'half'))
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
      await running


# Guards against an instance that sends heads and no bodies, and gets requests
# because the attempts there are cancelled and never fail.
async def test_response_that_stays_silent_is_a_failure_of_its_instance(
  monkeypatch,
):
  never = asyncio.Event()
  async with start_fleet(*[make_reply(b'half', never)] * 2) as fleet:
    health = fleet.by_name['n1'].loads.health
    monkeypatch.setattr(health, 'get_overdue_seconds', lambda service: 0.05)
    running = asyncio.ensure_future(ask(fleet))
    await nodes.wait_until(lambda: get_held(fleet).total)
    await asyncio.sleep(0.1)
    running.cancel()
    await nodes.wait_until(lambda: health.get_own_failures())


# --- Bounds -------------------------------------------------------------------


async def test_response_is_relayed_as_it_comes_when_too_many_bytes_are_held():
  more = asyncio.Event()
  async with start_fleet(make_reply(b'x' * 60, more, b'y')) as fleet:
    get_held(fleet).most = 100
    request = nodes.make_request('r', path='/look/')
    async with fleet.by_name['n1'].serving.handle_request(request) as answer:
      assert await anext(answer.chunks) == b'x' * 60
      more.set()
      assert await anext(answer.chunks) == b'y'


async def test_bytes_read_ahead_for_many_requests_are_bounded():
  count, size, most = 100, 1000, 40_000
  more = asyncio.Event()
  replies = [make_reply(bytes(size), more, b'x') for _ in range(count)]
  async with start_fleet(*replies) as fleet:
    held = get_held(fleet)
    held.most = most
    peak = 0
    add = held.add

    def add_and_measure(number):
      nonlocal peak
      add(number)
      peak = max(peak, held.total)

    held.add = add_and_measure
    running = [
      asyncio.ensure_future(ask(fleet, id=f'r{number}'))
      for number in range(count)
    ]
    await nodes.wait_until(lambda: len(fleet.engines.sent) >= count)
    more.set()
    answers = await asyncio.gather(*running)
    assert {len(body) for _, _, body in answers} == {size + 1}
    # Each response may exceed the bound by the chunk that it waits for.
    assert size <= peak <= most / 2 + count * size


async def test_buffer_that_is_closed_holds_nothing():
  held = held_bytes.HeldBytes()
  for taken in range(3):
    reply = make_reply(b'a', b'b', b'c')
    buffer = response_buffer.ResponseBuffer(chunks=reply.chunks, held=held)
    await buffer.fill()
    assert (held.total, buffer.size) == (3, 3)
    chunks = buffer.read()
    for _ in range(taken):
      await anext(chunks)
    assert held.total == 3 - taken
    await buffer.close()
    assert held.total == 0


# --- Connections --------------------------------------------------------------


@contextlib.asynccontextmanager
async def serve_truncated_once():
  """Serves a response that is reset the first time; yields the port."""
  is_first = True

  async def answer(reader, writer):
    nonlocal is_first
    await reader.readuntil(b'\r\n\r\n')
    names = b'Request-Id: r\r\nServer-Signature: s\r\n'
    writer.write(b'HTTP/1.1 200 OK\r\n' + names)
    if is_first:
      is_first = False
      writer.write(b'Sent-By: first\r\n\r\nhalf')
      await writer.drain()
      await asyncio.sleep(0.05)
      reset(writer)
      return
    writer.write(b'Sent-By: second\r\n\r\nwhole')
    writer.close()

  server = await asyncio.start_server(answer, '127.0.0.1', 0)
  async with server:
    yield server.sockets[0].getsockname()[1]


async def test_caller_does_not_see_a_response_that_was_reset():
  async with (
    nodes.Nodes() as fleet,
    serve_truncated_once() as upstream_port,
    connect(upstream_port) as client,
  ):
    fleet.engines.send = client.send
    async with serve(fleet) as port:
      found, is_reset = await read_until_end(port, make_head())
  assert found.startswith(b'HTTP/1.1 200 ')
  assert b'Sent-By: second' in found
  assert (found.endswith(b'whole'), is_reset) == (True, False)


@pytest.mark.parametrize('framing', ['neither', 'length', 'chunks'])
async def test_caller_gets_an_error_if_all_responses_are_reset(framing):
  async with (
    nodes.Nodes() as fleet,
    serve_bytes(framing, b'half', is_reset=True) as upstream_port,
    connect(upstream_port) as client,
  ):
    fleet.engines.send = client.send
    async with serve(fleet) as port:
      found, is_reset = await read_until_end(port, make_head())
  assert found.startswith(b'HTTP/1.1 502 ')
  assert b'server-signature' not in found.lower()
  assert not is_reset


async def test_response_that_stalls_is_an_error_at_the_deadline():
  async with (
    nodes.Nodes() as fleet,
    serve_bytes('chunks', b'half', *[b'x'] * 200, is_reset=True) as port,
    connect(port) as client,
  ):
    fleet.engines.send = client.send
    await fleet.start('n1')
    began = time.monotonic()
    async with asyncio.timeout(8):  # The response takes 10 s.
      with pytest.raises(errors.WoadrunError) as caught:
        await ask(fleet, seconds=0.6)
    assert caught.value.ran is errors.RunStatus.UNKNOWN
    assert time.monotonic() - began >= 0.5
    assert get_held(fleet).total == 0
    assert fleet.by_name['n1'].loads.get_running() == {}


# --- All of it, mixed ---------------------------------------------------------


class MixedInstances:
  """Instances that fail at random; records the body and end of each attempt."""

  def __init__(self, rng):
    self._rng = rng
    self.body_by_name = {}
    self.runs_by_request = {}

  @contextlib.asynccontextmanager
  async def send(self, sending):
    draw = self._rng.choice(
      ['whole'] * 4 + ['broken'] * 4 + ['unsent', 'full', 'silent', 'stalled']
    )
    request = sending.request.id
    await asyncio.sleep(self._rng.uniform(0, 0.01))
    if draw == 'unsent':
      raise exchange.RequestNotSent('refused')
    if draw == 'full':
      yield nodes.make_reply(status=503, has_run=False)
      return
    runs = self.runs_by_request.setdefault(request, [])
    name = f'{request}-{len(runs)}'
    runs.append(name)
    if draw == 'silent':
      await self._wait(sending)
    size = self._rng.choice([0, 10, 5000, BOUND, BOUND + 1, 2 * BOUND])
    body = self.body_by_name[name] = self._rng.randbytes(size)
    cut = self._rng.randint(0, size) if draw != 'whole' else size
    yield dataclasses.replace(
      nodes.make_reply(status=self._rng.choice([200, 201, 500])),
      headers=[('Sent-By', name)],
      chunks=self._stream(sending, body[:cut], draw),
    )

  async def _stream(self, sending, body, draw):
    for at in range(0, len(body), 9000):
      await asyncio.sleep(self._rng.uniform(0, 0.005))
      yield body[at : at + 9000]
    if draw == 'stalled':
      await self._wait(sending)
    if draw == 'broken':
      raise exchange.ResponseLost('reset')

  async def _wait(self, sending):
    await asyncio.sleep(sending.seconds)
    raise exchange.ResponseLost('timeout')


async def run_mixed_request(fleet, instances, rng, id):
  """Sends one request and checks what its caller gets; returns the outcome."""
  path = rng.choice(['/look/', '/look/', '/look/', '/act/'])
  request = nodes.make_request(id, path=path, seconds=1.0)
  leaves_after = rng.choice([None] * 4 + [rng.uniform(0, 0.4)])
  received = bytearray()
  outcome = 'left'
  try:
    async with (
      asyncio.timeout(leaves_after),
      fleet.by_name['n1'].serving.handle_request(request) as answer,
    ):
      async for chunk in answer.chunks:
        received += chunk
      body = instances.body_by_name[dict(answer.headers)['Sent-By']]
      assert received == body
      outcome = 'whole'
  except exchange.ResponseLost:
    body = instances.body_by_name[dict(answer.headers)['Sent-By']]
    assert body.startswith(received)
    assert path == '/act/' or len(received) > BOUND
    outcome = 'broken off'
  except errors.WoadrunError as error:
    runs = instances.runs_by_request.get(id, [])
    assert error.ran is errors.RunStatus.UNKNOWN or not runs
    outcome = 'error'
  except TimeoutError:
    assert leaves_after is not None
  runs = instances.runs_by_request.get(id, [])
  assert len(runs) <= (2 if path == '/look/' else 1)
  return outcome


@pytest.mark.parametrize('seed', range(4))
async def test_mixed_failures(seed):
  rng = random.Random(seed)
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    instances = MixedInstances(rng)
    fleet.engines.send = instances.send
    tracker = Tracker(fleet)
    outcomes = await asyncio.gather(
      *(
        run_mixed_request(fleet, instances, rng, f'r{number}')
        for number in range(80)
      )
    )
    await nodes.wait_until(lambda: tracker.begun == tracker.ended)
    daemon = fleet.by_name['n1']
    assert daemon.loads.get_running() == {}
    assert not daemon.loads.health._pending_by_request
    assert get_held(fleet).total == 0
  assert {'whole', 'left', 'error'} <= set(outcomes)
