"""Callers that stop within a request, or rest, do not hold a daemon."""

import asyncio
import contextlib
import types

from aiohttp import web
import nodes
import pytest

from woadrun.connection import caller_bounds
from woadrun.connection import memory_account
from woadrun.platform import ingress
from woadrun.platform import program

CONFIG = nodes.CONFIG | {
  'limits': {'idle_timeout_ms': 400, 'header_timeout_ms': 3_000}
}
END_SECONDS = 10.0


@contextlib.asynccontextmanager
async def serve(
  *, connections=1_000, closes=None, account=None, servers=None, faults=()
):
  async with nodes.Nodes(config=CONFIG) as fleet:
    await fleet.start('n1')
    fleet.engines.faults.extend(faults)
    served = fleet.by_name['n1']
    entry = ingress.Ingress(
      service=served.serving,
      is_ready=served.is_ready,
      stop=served.planned_stop,
      read_metrics=served.counters.encode,
      account=account or memory_account.Account(),
      read_limits=served.catalogue.read_limits,
      on_close=[].append if closes is None else closes.append,
    )
    runner = program.make_callers_runner(
      entry,
      finish=2.0,
      bounds=caller_bounds.Bounds(connections=connections),
    )
    await runner.setup()
    if servers is not None:
      servers.append(runner.server)
    port = nodes.find_port()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    yield port
    await runner.cleanup()


def make_head(number, *fields):
  lines = (
    'POST /act/x HTTP/1.1',
    'Host: h',
    f'Request-Id: {number:016x}',
    *fields,
  )
  return ('\r\n'.join(lines) + '\r\n\r\n').encode()


async def read_status(reader):
  async with asyncio.timeout(END_SECONDS):
    line = await reader.readline()
  return int(line.split()[1]) if line else 0


async def ask(port, number):
  reader, writer = await asyncio.open_connection('127.0.0.1', port)
  writer.write(make_head(number, 'Deadline-Ms: 3000', 'Content-Length: 0'))
  status = await read_status(reader)
  writer.transport.abort()
  return status


@pytest.mark.parametrize(
  'framing', ['Content-Length: 10', 'Transfer-Encoding: chunked']
)
async def test_body_that_stops_gets_an_answer_that_it_has_not_run(framing):
  async with serve() as port:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(make_head(1, framing) + b'3\r\nabc\r\n')
    assert await read_status(reader) == 408
    writer.transport.abort()


async def test_body_that_trickles_ends_at_its_deadline():
  async with serve() as port:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(make_head(1, 'Deadline-Ms: 900', 'Content-Length: 1000'))

    async def trickle():
      with contextlib.suppress(OSError):
        while True:
          writer.write(b'x')
          await asyncio.sleep(0.1)

    task = asyncio.ensure_future(trickle())
    assert await read_status(reader) == 408
    task.cancel()
    writer.transport.abort()


async def test_connection_that_rests_is_closed():
  closes = []
  async with serve(closes=closes) as port:
    for head in (b'', make_head(1, 'Content-Length: 0')):
      reader, writer = await asyncio.open_connection('127.0.0.1', port)
      writer.write(head)
      async with asyncio.timeout(END_SECONDS):
        await reader.read()
      writer.transport.abort()
  assert closes == [caller_bounds.Reason.IDLE] * 2


# All connections beyond a bound were closed, not as many as were needed.
async def test_connection_beyond_the_bound_closes_only_some():
  closes = []
  async with serve(connections=64, closes=closes) as port:
    idle = [await asyncio.open_connection('127.0.0.1', port) for _ in range(64)]
    assert await ask(port, 1) == 200
    assert 0 < len(closes) <= 9
    for _, writer in idle:
      writer.transport.abort()


# Half heads were closed again and again, and the bound was exceeded by them.
async def test_half_heads_stay_within_the_bound():
  closes = []
  async with serve(connections=50, closes=closes) as port:
    opened = []
    for number in range(300):
      _, writer = await asyncio.open_connection('127.0.0.1', port)
      writer.write(make_head(number)[:-2])
      opened.append(writer)
    assert await ask(port, 1) == 200
    assert len(closes) <= 301
    for writer in opened:
      writer.transport.abort()


def test_bodies_with_least_work_come_first_and_debt_is_bounded():
  now, calls, order = 0.0, [], []
  queue = caller_bounds.WorkQueue(
    call_later=lambda seconds, call: calls.append(call), clock=lambda: now
  )
  queue.spend(1e9)
  assert queue.is_exhausted
  for name, work in (('much', 9.0), ('gone', 5.0), ('little', 1.0)):
    turn = lambda name=name: order.append(name)  # noqa: E731
    queue.wait(turn, work=work)
    if name == 'gone':
      queue.cancel(turn)
  while calls:
    now += caller_bounds.TURN_SECONDS
    calls.pop(0)()
  assert order == ['little', 'much']
  assert now < 1.0


def test_plain_bodies_cost_no_work():
  assert caller_bounds.get_work(received=4_096, payload=4_096) == 0
  assert caller_bounds.get_work(received=1_052, payload=1_024) == 0
  assert caller_bounds.get_work(received=1_024, payload=170) > 5


# Guards against connections that were closed for others and counted as gone
# while they waited, with all that they had sent, for their callers to close.
async def test_connections_that_wait_for_their_end_count_until_it():
  account = memory_account.Account(most=500_000)
  most = account.get_most(memory_account.Kind.CONNECTION)
  count = most // caller_bounds.CONNECTION_BYTES * 3
  closes, servers, callers = [], [], []
  async with serve(account=account, servers=servers, closes=closes) as port:
    for number in range(count):
      _, writer = await asyncio.open_connection('127.0.0.1', port)
      callers.append(writer)
      writer.write(make_head(number)[:-2] + b'Cookie: ' + b'x' * 7_000)

    def list_receiving():
      return [c for c in servers[0].connections if c.receiving_since]

    async with asyncio.timeout(END_SECONDS):
      while len(closes) + len(list_receiving()) < count:
        await asyncio.sleep(0.01)
      # The last ones are closed after a moment.
      while account.total_by_kind[memory_account.Kind.CONNECTION] > most:
        await asyncio.sleep(0.01)
    # One that is reset is gone by the next turn of the loop.
    left = [
      c for c in servers[0].connections if not c._socket_transport.is_closing()
    ]
    assert any(c.is_lingering for c in left)
    assert len(left) * caller_bounds.CONNECTION_BYTES <= most
    assert not any(c.is_lingering and c._parser for c in left)
    for writer in callers:
      writer.transport.abort()


# Guards against a response that is lost with its connection, which is reset for
# the memory of all while its caller has not read yet.
async def test_an_answer_on_its_way_is_not_cut_for_the_memory_of_all():
  account, servers, size = memory_account.Account(), [], 24_000_000
  kind = memory_account.Kind.CONNECTION

  async def stream():
    for _ in range(size // 60_000):
      yield bytes(60_000)

  reply = nodes.make_reply()
  reply.chunks = stream()
  async with serve(account=account, servers=servers, faults=[reply]) as port:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(make_head(1, 'Content-Length: 0', 'Connection: close'))
    writer.transport.pause_reading()
    async with asyncio.timeout(END_SECONDS):
      while not any(c._messages or c.unsent for c in servers[0].connections):
        await asyncio.sleep(0.01)
      [connection] = servers[0].connections
      connection.transport.close()
      assert connection.is_lingering and not connection.is_delivered
      with account.hold(kind, 'crowd') as crowd:
        crowd.note(account.get_most(kind) + 1)
        servers[0].bound_memory()
      await asyncio.sleep(0.05)
      assert not connection._socket_transport.is_closing()
    writer.transport.abort()


# Guards against callers that wait for their answers and are refused for a
# minute, while those who send ahead take each place that is given back.
async def test_requests_sent_ahead_leave_places_to_others():
  account = memory_account.Account(most=20 * caller_bounds.CALL_BYTES)
  message = types.SimpleNamespace(raw_headers=())

  def count(has_next):
    with contextlib.ExitStack() as stack:
      try:
        for number in range(100):
          stack.enter_context(
            caller_bounds.hold_call(
              account, f'{number}', message, has_next=has_next
            )
          )
      except memory_account.MemoryExceeded:
        return number

  assert 0 < count(has_next=True) < count(has_next=False)
