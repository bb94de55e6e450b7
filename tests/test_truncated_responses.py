"""Responses that end with their connection, and streams that end too early."""

import asyncio
import contextlib
import copy
import dataclasses
import logging
import socket
import struct

import aiohttp
from aiohttp import web
import nodes
import pytest
from test_ingress import RELAYED_PARTS
from test_ingress import make_head
from test_ingress import serve

from woadrun import errors
from woadrun.connection import memory_account
from woadrun.connection import response_ends
from woadrun.connection import tcp_connections
from woadrun.platform import ingress
from woadrun.platform import program
from woadrun.platform import read_ahead
from woadrun.platform import upstream
from woadrun.process import planned_stop
from woadrun.request import events
from woadrun.request import exchange
from woadrun.version import instances

EVENT = b'id: 0\ndata: x\n\n'
HALF_EVENT = b'id: 1\ndata: '
HEAD_BY_FRAMING = {
  'neither': b'HTTP/1.1 200 OK\r\n',
  'keep-alive': b'HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n',
  'http-1.0': b'HTTP/1.0 200 OK\r\n',
  'length': b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n',
  'chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n',
}
UNFRAMED = ['neither', 'keep-alive', 'http-1.0']
FRAMED = ['length', 'chunks']
SMALL_BUFFER_BYTES = 4096


def reset(writer):
  """Resets a connection without a close."""
  linger = struct.pack('ii', 1, 0)
  writer.get_extra_info('socket').setsockopt(
    socket.SOL_SOCKET, socket.SO_LINGER, linger
  )
  writer.transport.abort()


@contextlib.asynccontextmanager
async def serve_bytes(framing, *bodies, is_reset):
  """Serves a truncated response; yields the port.

  The response consists of `bodies`, with a pause after each.
  """

  async def answer(reader, writer):
    head = await reader.readuntil(b'\r\n\r\n')
    for line in head.decode().lower().split('\r\n'):
      if line.startswith('content-length:'):
        await reader.readexactly(int(line.partition(':')[2]))
    names = b'Request-Id: r\r\nServer-Signature: s\r\n\r\n'
    writer.write(HEAD_BY_FRAMING[framing] + names)
    for body in bodies:
      is_chunked = framing == 'chunks'
      writer.write(b'%x\r\n%b\r\n' % (len(body), body) if is_chunked else body)
      await writer.drain()
      await asyncio.sleep(0.05)
    if is_reset:
      reset(writer)
    else:
      writer.close()

  server = await asyncio.start_server(answer, '127.0.0.1', 0)
  async with server:
    yield server.sockets[0].getsockname()[1]


@contextlib.asynccontextmanager
async def connect(port):
  """Yields a client, all of whose requests go to a port."""
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with aiohttp.ClientSession(connector=connector) as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    yield Redirected(client=client, address=f'127.0.0.1:{port}')


class Redirected:
  """Sends all requests to one address, as those of a stream or not."""

  def __init__(self, *, client, address):
    self._client = client
    self._address = address

  def send(self, sending):
    instance = dataclasses.replace(sending.instance, address=self._address)
    return self._client.send(dataclasses.replace(sending, instance=instance))


def make_attempt():
  return exchange.RequestAttempt(
    request=nodes.make_request('r', path='/chat/'),
    instance=instances.Instance(
      id='i', service='s', address='', domain='north'
    ),
    body=b'',
    seconds=20.0,
  )


async def check_reset(monkeypatch, framing, *, is_slow):
  if is_slow:
    monkeypatch.setattr(read_ahead, 'SLOW_CALLER_SECONDS', 0.0)
  async with (
    serve_bytes(framing, EVENT, EVENT, is_reset=True) as port,
    connect(port) as client,
    client.send(make_attempt()) as reply,
  ):
    with pytest.raises(exchange.ResponseLost):
      async for _ in reply.chunks:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize('is_slow', [False, True])
@pytest.mark.parametrize('framing', UNFRAMED)
async def test_response_without_length_that_is_reset_is_not_complete(
  monkeypatch, framing, is_slow
):
  await check_reset(monkeypatch, framing, is_slow=is_slow)


@pytest.mark.parametrize('is_slow', [False, True])
@pytest.mark.parametrize('framing', FRAMED)
async def test_response_with_length_that_is_reset_is_not_complete(
  monkeypatch, framing, is_slow
):
  await check_reset(monkeypatch, framing, is_slow=is_slow)


@pytest.mark.parametrize('framing', UNFRAMED)
async def test_response_ended_by_a_close_of_this_daemon_is_not_complete(
  framing,
):
  async with (
    serve_bytes(framing, EVENT, *[b''] * 100, is_reset=False) as port,
    connect(port) as client,
    client.send(make_attempt()) as reply,
  ):
    with pytest.raises(exchange.ResponseLost):
      async for _ in reply.chunks:
        await client._client._session.connector.close()


@pytest.mark.parametrize('framing', UNFRAMED)
async def test_response_without_length_ends_with_an_orderly_close(framing):
  async with (
    serve_bytes(framing, EVENT, EVENT, is_reset=False) as port,
    connect(port) as client,
    client.send(make_attempt()) as reply,
  ):
    assert b''.join([c async for c in reply.chunks]) == EVENT * 2
    assert reply.ends_with_connection
    assert not reply.is_reusable()


def make_stream_reply(*chunks, **options):
  async def stream():
    for chunk in chunks:
      yield chunk

  reply = nodes.make_reply()
  reply.chunks = stream()
  return dataclasses.replace(reply, **options)


@pytest.mark.parametrize('ends_with_connection', [False, True])
@pytest.mark.parametrize(
  'rest',
  [
    HALF_EVENT,
    b'id: 1\n',
    b'data: x\n',
    b'data: \xc3',
    b'retry: 1\n',
    b': comm',
    b'd',
  ],
)
async def test_stream_that_ends_inside_an_event_is_not_a_turn(
  rest, ends_with_connection
):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(
      make_stream_reply(EVENT, rest, ends_with_connection=ends_with_connection)
    )
    with pytest.raises(exchange.ResponseLost):
      await fleet.turn('n1', 'a', most=10)
    with pytest.raises(errors.WoadrunError, match='is not found'):
      await fleet.turn('n1', 'b', parent='a', most=10)
    assert fleet.get_body('b') is None


async def test_stream_without_length_and_events_is_not_a_turn():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(make_stream_reply(ends_with_connection=True))
    with pytest.raises(exchange.ResponseLost):
      await fleet.turn('n1', 'a', most=10)


async def test_stream_that_ends_inside_an_event_is_a_failure_of_its_instance():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    for number in range(4):
      fleet.engines.faults.append(make_stream_reply(EVENT, HALF_EVENT))
      request = nodes.make_request(f'a{number}', path='/draft/')
      with pytest.raises(exchange.ResponseLost):
        await fleet.ask('n1', request)
    assert daemon.loads.health.get_all_excess_failures()


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n'])
def test_events_are_read_with_each_line_feed(line_end):
  check_events(line_end)


def test_events_are_read_with_carriage_returns():
  check_events(b'\r')


def test_empty_line_after_a_split_line_end_is_read():
  reader = events.EventReader()
  for chunk in (b'data: a\r', b'', b'\n', b'\n'):
    reader.feed(chunk)
  assert (bytes(reader.data), reader.is_inside_event) == (b'a\n', False)


def check_events(line_end):
  stream = b': note\nid: 0\ndata: a\ndata: b\n\nretry: 5\n\ndata: c\n\n'
  stream = stream.replace(b'\n', line_end)
  for size in range(1, len(stream)):
    reader = events.EventReader()
    for start in range(0, len(stream), size):
      reader.feed(stream[start : start + size])
    assert (bytes(reader.data), reader.count) == (b'a\nb\nc\n', 2)
    assert not reader.is_inside_event


async def read_until_end(port, data):
  """Sends `data`; returns the bytes received and whether a reset ended them."""
  reader, writer = await asyncio.open_connection('127.0.0.1', port)
  writer.write(data)
  received = bytearray()
  async with asyncio.timeout(5):
    try:
      while chunk := await reader.read(65536):
        received += chunk
    except ConnectionError:
      return bytes(received), True
  writer.close()
  return bytes(received), False


async def test_caller_sees_that_a_response_has_no_length():
  """A last chunk would state that the response is complete."""
  async with nodes.Nodes() as fleet, serve(fleet) as port:
    fleet.engines.faults.append(
      make_stream_reply(b'whole', ends_with_connection=True)
    )
    found, is_reset = await read_until_end(port, make_head())
    head, _, body = found.partition(b'\r\n\r\n')
    assert (body, is_reset) == (b'whole', False)
    assert b'connection: close' in head.lower()
    assert b'transfer-encoding' not in head.lower()
    assert b'content-length' not in head.lower()


# A response that breaks off before the caller has received any of it is not
# relayed if its request is idempotent.
@pytest.mark.parametrize(('path', 'part'), RELAYED_PARTS)
@pytest.mark.parametrize('version', [b'HTTP/1.0', b'HTTP/1.1'])
async def test_caller_sees_that_a_response_without_length_broke_off(
  version, path, part
):
  async def break_off():
    yield part
    await asyncio.sleep(0.1)
    raise exchange.ResponseLost('reset')

  async with nodes.Nodes() as fleet, serve(fleet) as port:
    reply = make_stream_reply(ends_with_connection=True)
    fleet.engines.faults.append(dataclasses.replace(reply, chunks=break_off()))
    head = make_head(path=path).replace(b'HTTP/1.1', version)
    found, is_reset = await read_until_end(port, head)
    assert found.endswith(part)
    assert is_reset


# Guards against a head that looks like a complete empty response: a daemon that
# is killed has its connections closed by the kernel.
@pytest.mark.parametrize('version', [b'HTTP/1.0', b'HTTP/1.1'])
async def test_head_without_length_ends_with_a_reset_as_well(
  monkeypatch, version
):
  resets = []
  prepare = web.StreamResponse.prepare

  async def prepare_and_check(response, http):
    writer = await prepare(response, http)
    resets.append(response_ends.resets_on_close(http.transport))
    return writer

  monkeypatch.setattr(web.StreamResponse, 'prepare', prepare_and_check)
  async with nodes.Nodes() as fleet, serve(fleet) as port:
    fleet.engines.faults.append(
      make_stream_reply(b'whole', ends_with_connection=version == b'HTTP/1.1')
    )
    head = make_head().replace(b'HTTP/1.1', version)
    found, is_reset = await read_until_end(port, head)
  assert found.endswith(b'whole') and not is_reset
  # It is called once more after the end of the response.
  assert resets[0]


@pytest.mark.parametrize(('path', 'part'), RELAYED_PARTS)
async def test_stop_of_the_daemon_does_not_complete_a_response_without_length(
  path, part
):
  async def hang():
    yield part
    await asyncio.Event().wait()

  async with nodes.Nodes() as fleet:
    reply = make_stream_reply(ends_with_connection=True)
    fleet.engines.faults.append(dataclasses.replace(reply, chunks=hang()))
    async with serve(fleet) as port:
      task = asyncio.ensure_future(read_until_end(port, make_head(path=path)))
      await nodes.wait_until(lambda: fleet.engines.sent)
      await asyncio.sleep(0.1)
    found, is_reset = await task
    assert found.endswith(part)
    assert is_reset


async def send_half_event(framing, *, is_reset):
  """Returns what a caller receives, and whether a reset ended it."""
  async with (
    nodes.Nodes() as fleet,
    serve_bytes(framing, EVENT, HALF_EVENT, is_reset=is_reset) as upstream_port,
    connect(upstream_port) as client,
  ):
    fleet.engines.send = client.send
    async with serve(fleet) as port:
      head = make_head(path='/draft/x', method='POST')
      found, was_reset = await read_until_end(port, head)
  assert found.startswith(b'HTTP/1.1 200 ')
  assert EVENT in found
  return found, was_reset


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', UNFRAMED)
async def test_caller_sees_a_reset_after_half_an_event_without_length(
  framing, is_reset
):
  assert (await send_half_event(framing, is_reset=is_reset))[1]


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', FRAMED)
async def test_caller_gets_no_last_chunk_after_half_an_event(framing, is_reset):
  found, _ = await send_half_event(framing, is_reset=is_reset)
  assert not found.endswith(b'0\r\n\r\n')


async def test_aborted_response_is_not_counted_as_a_success():
  async with nodes.Nodes() as fleet, serve(fleet) as port:
    fleet.engines.faults.append(make_stream_reply(EVENT, HALF_EVENT))
    head = make_head(path='/draft/x', method='POST')
    found, _ = await read_until_end(port, head)
    assert not found.endswith(b'0\r\n\r\n')
    metrics = fleet.by_name['n1'].counters.encode().decode()
    assert 'kind="stream",outcome="2xx"' not in metrics


@contextlib.asynccontextmanager
async def serve_with_small_buffers(fleet):
  """Serves callers with small send buffers in the kernel; yields the port."""
  await fleet.start('n1')
  served = fleet.by_name['n1']
  entry = ingress.Ingress(
    service=served.serving,
    is_ready=served.is_ready,
    stop=planned_stop.PlannedStop(grace=8.0),
    read_metrics=served.counters.encode,
    account=memory_account.Account(),
  )
  runner = program.make_callers_runner(entry, finish=2.0)
  await runner.setup()
  listener = socket.socket()
  # Accepted connections inherit the size.
  listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
  listener.bind(('127.0.0.1', 0))
  await web.SockSite(runner, listener).start()
  yield listener.getsockname()[1]
  await runner.cleanup()


def find_unsent(port):
  """Returns the transports of a port with bytes not given to the kernel."""
  return [
    item
    for item in asyncio.get_running_loop()._transports.values()
    if (item.get_extra_info('sockname') or ('', 0))[1] == port
    and item.get_write_buffer_size()
  ]


@pytest.mark.parametrize('version', [b'HTTP/1.0', b'HTTP/1.1'])
async def test_response_whose_end_is_lost_with_the_daemon_is_not_complete(
  version,
):
  """The kernel has a part of the body when the handler ends.

  A daemon that exits then loses the rest, and its exit closes the socket.
  """
  # Less than the transport holds before `write` waits for the caller.
  body = b'x' * 60_000
  loop = asyncio.get_running_loop()
  async with nodes.Nodes() as fleet, serve_with_small_buffers(fleet) as port:
    fleet.engines.faults.append(
      make_stream_reply(body, ends_with_connection=True)
    )
    with socket.socket() as caller:
      caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
      caller.setblocking(False)
      await loop.sock_connect(caller, ('127.0.0.1', port))
      head = make_head().replace(b'HTTP/1.1', version)
      await loop.sock_sendall(caller, head)
      await nodes.wait_until(lambda: find_unsent(port))
      # Time for the handler to end, which it may do before the bytes are sent.
      await asyncio.sleep(0.1)
      (transport,) = find_unsent(port)
      # Closes the socket and drops the unsent bytes, as the exit does.
      transport.abort()
      received = bytearray()
      with pytest.raises(ConnectionError):
        while chunk := await loop.sock_recv(caller, 65536):
          received += chunk
        assert received.endswith(body)


@pytest.mark.parametrize('kind', ['non_idempotent', 'idempotent'])
async def test_truncated_turn_is_not_kept_on_a_route_of_another_kind(kind):
  """A configuration may set `retain_history` on a route of any kind."""
  config = copy.deepcopy(nodes.CONFIG)
  config['routes'][0]['kind'] = kind
  async with nodes.Nodes(config=config) as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(make_stream_reply(EVENT, HALF_EVENT))
    with contextlib.suppress(exchange.ResponseLost):
      await fleet.turn('n1', 'a', most=10)
    with pytest.raises(errors.WoadrunError, match='is not found'):
      await fleet.turn('n1', 'b', parent='a', most=10)


async def test_events_of_a_stream_without_history_are_not_held():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    reply = make_stream_reply(*[EVENT] * 1000)
    fleet.engines.faults.append(reply)
    await fleet.ask('n1', nodes.make_request('a', path='/draft/'))
    assert reply.event_reader.count == 1000
    assert len(reply.event_reader.data) == 0


@contextlib.asynccontextmanager
async def serve_parts(*parts):
  """Serves parts of bytes with pauses, then closes; yields the port."""

  async def answer(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    for part in parts:
      writer.write(part)
      await writer.drain()
      await asyncio.sleep(0.05)
    writer.close()

  server = await asyncio.start_server(answer, '127.0.0.1', 0)
  async with server:
    yield server.sockets[0].getsockname()[1]


def make_reply_head(*lines):
  names = ['Request-Id: r', 'Server-Signature: s', *lines]
  return '\r\n'.join(['HTTP/1.1 200 OK', *names, '', '']).encode()


def test_data_field_without_a_colon_is_an_empty_line():
  reader = events.EventReader()
  reader.feed(b'data\n\ndata: b\n\n')
  assert (bytes(reader.data), reader.count) == (b'\nb\n', 2)


def test_byte_order_mark_is_not_part_of_the_first_event():
  reader = events.EventReader()
  reader.feed(b'\xef\xbb\xbfdata: a\n\ndata: b\n\n')
  assert (bytes(reader.data), reader.count) == (b'a\nb\n', 2)


@pytest.mark.parametrize('coding', ['chunked, gzip', 'xchunked'])
async def test_body_read_until_the_close_ends_with_its_connection(coding):
  """The parser reads these until the close: the last coding is not `chunked`.

  The close does not prove that they are complete.
  """
  head = make_reply_head(f'Transfer-Encoding: {coding}')
  async with (
    serve_parts(head + b'half') as port,
    connect(port) as client,
    client.send(make_attempt()) as reply,
  ):
    assert b''.join([chunk async for chunk in reply.chunks]) == b'half'
    assert reply.ends_with_connection


async def test_complete_response_is_not_logged_as_ended_within(caplog):
  caplog.set_level(logging.INFO, 'woadrun.connections')
  async with (
    serve_parts(make_reply_head() + b'whole') as port,
    connect(port) as client,
    client.send(make_attempt()) as reply,
  ):
    assert b''.join([chunk async for chunk in reply.chunks]) == b'whole'
  assert 'within a response' not in caplog.text


async def test_malformed_chunk_is_not_blamed_on_this_daemon():
  head = make_reply_head('Transfer-Encoding: chunked')
  async with (
    serve_parts(head + b'3\r\nabc\r\n', b'zz\r\nabc') as port,
    connect(port) as client,
    client.send(make_attempt()) as reply,
  ):
    with pytest.raises(exchange.ResponseLost) as caught:
      async for _ in reply.chunks:
        pass
  assert 'this daemon' not in str(caught.value)


async def test_truncated_event_costs_its_tokens():
  """The caller has received a part of it."""
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(make_stream_reply(EVENT, HALF_EVENT))
    with pytest.raises(exchange.ResponseLost):
      await fleet.turn('n1', 'a', most=10)
    entry = fleet.by_name['n1'].programs.entry_by_program['p']
    await nodes.wait_until(lambda: entry.ledger.spent == 6)
