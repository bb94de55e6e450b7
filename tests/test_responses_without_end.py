"""Bytes that a faulty server sends without end are read up to a bound."""

import asyncio
import contextlib

import aiohttp
from fleet_soak import endless
import nodes
import pytest

from woadrun import errors
from woadrun.connection import bodies
from woadrun.connection import engine
from woadrun.connection import http
from woadrun.connection import peers
from woadrun.connection import response_ids
from woadrun.connection import service
from woadrun.connection import tcp_connections
from woadrun.platform import upstream
from woadrun.request import events
from woadrun.request import exchange
from woadrun.version import instances

# Far longer than a bound on bytes takes to be reached.
DEADLINE_SECONDS = 60.0
# What the kernel may hold of a connection, on both sides.
MAX_SENT_BYTES = 32 * 1024 * 1024

HEADS = endless.Heads(
  own='HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: r\r\n',
  other='HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: other\r\n',
)
SHAPES = endless.make_shapes(HEADS)
OK = HEADS.own.encode()
FULL = b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: r\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
LENGTH = b'Content-Length: 99999999999\r\n\r\n'


class Server:
  """A server that answers with a shape; `sent` counts its bytes."""

  def __init__(self, shape):
    self.shape = shape
    self.sent = 0
    self.address = ''

  async def serve(self, reader, writer):
    with contextlib.suppress(EOFError, asyncio.CancelledError):
      await reader.readuntil(b'\r\n\r\n')
      await endless.send(writer, self.shape, on_sent=self._count)

  def _count(self, count):
    self.sent += count


@contextlib.asynccontextmanager
async def connect(shape):
  """Yields a session and a server that never stops to send."""
  server = Server(shape)
  listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
  port = listener.sockets[0].getsockname()[1]
  server.address = f'127.0.0.1:{port}'
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with aiohttp.ClientSession(
    connector=connector, auto_decompress=False
  ) as session:
    yield session, server
  listener.close()


def make_shape(first, piece):
  return endless.Shape(first=first, piece=piece)


def make_client(session):
  return upstream.HttpUpstreams(
    session=session, addresses=tcp_connections.Addresses()
  )


def make_sending(server):
  request = nodes.make_request('r', path='/act/', seconds=DEADLINE_SECONDS)
  request.headers.append(('Request-Id', 'r'))
  return exchange.RequestAttempt(
    request=request,
    instance=make_instance(server),
    body=b'',
    seconds=DEADLINE_SECONDS,
    silence_seconds=DEADLINE_SECONDS,
  )


async def send(session, server):
  """Sends a request; returns the reply and its body."""
  async with make_client(session).send(make_sending(server)) as reply:
    if not reply.has_run:
      return reply, b''
    return reply, b''.join([chunk async for chunk in reply.chunks])


def make_instance(server):
  return instances.Instance(
    id='i', service='s', address=server.address, domain='north'
  )


# Guards against an instance that holds the event loop until the deadline.
@pytest.mark.parametrize('name', SHAPES)
async def test_bytes_that_are_no_response_do_not_last_until_the_deadline(name):
  async with connect(SHAPES[name]) as (session, server):
    with pytest.raises(exchange.ResponseLost) as caught:
      await send(session, server)
    assert not isinstance(caught.value, exchange.ResponseOverdue)
    assert server.sent < MAX_SENT_BYTES


# Guards against a refusal whose body fills the memory.
@pytest.mark.parametrize(
  ('framing', 'piece'), [(LENGTH, b'x'), (CHUNKED, b'5\r\nfirst\r\n')]
)
async def test_the_body_of_a_refusal_is_read_up_to_a_bound(
  framing, piece, monkeypatch
):
  read = []
  original = bodies.read

  async def record(response, *, limit):
    read.append(response)
    return await original(response, limit=limit)

  monkeypatch.setattr(bodies, 'read', record)
  async with connect(make_shape(FULL + framing, piece)) as (session, server):
    reply, _ = await send(session, server)
    assert not reply.has_run
    assert len(read) == 1
    # As much as the client library buffers beside it.
    assert read[0].content.total_bytes < 8 * bodies.MAX_DRAINED_BYTES + 2**20


async def test_bytes_after_a_response_that_is_still_read_are_bounded():
  shape = make_shape(
    OK + b'Content-Length: 5\r\n\r\nfirst',
    SHAPES['responses to other requests'].piece,
  )
  async with connect(shape) as (session, server):
    async with make_client(session).send(make_sending(server)) as reply:
      # A slow caller.
      await nodes.wait_until(lambda: not session.connector._acquired)
      assert b''.join([chunk async for chunk in reply.chunks]) == b'first'
    assert server.sent < MAX_SENT_BYTES


# Guards against a probe that an instance answers without end.
@pytest.mark.parametrize('name', SHAPES)
async def test_a_probe_ends(name):
  async with connect(SHAPES[name]) as (session, server):
    liveness = await make_client(session).probe(
      make_instance(server), health_path='/h'
    )
    assert liveness is not exchange.Liveness.UNKNOWN
    assert server.sent < MAX_SENT_BYTES


# Guards against a body of the store, a service or a daemon that fills the
# memory.
@pytest.mark.parametrize('framing', [LENGTH, b'\r\n'])
@pytest.mark.parametrize('kind', ['platform', 'service', 'daemon', 'engine'])
async def test_bodies_that_are_held_whole_are_bounded(
  kind, framing, monkeypatch
):
  for name in ('MAX_PLATFORM_BYTES', 'MAX_RESULT_BYTES', 'MAX_PEER_BYTES'):
    monkeypatch.setattr(bodies, name, 100_000)
  status = b'HTTP/1.1 400 No\r\n' if kind == 'engine' else OK
  async with connect(make_shape(status + framing, b'x')) as (session, server):
    url = f'http://{server.address}'
    calls = {
      'platform': lambda: http.send(
        session, 'GET', url, timeout=DEADLINE_SECONDS
      ),
      'service': lambda: service.Service(session=session, url=url).call(
        'a', b'', request='r', timeout=DEADLINE_SECONDS
      ),
      'daemon': lambda: peers.Peers(session=session, key='').post(
        server.address, 'x', {}, type=dict, timeout=DEADLINE_SECONDS
      ),
      'engine': lambda: anext(
        engine.Engine(session=session, url=url).resume('s')
      ),
    }
    with pytest.raises((errors.WoadrunError, engine.EngineRefused)) as caught:
      await calls[kind]()
    assert 'Timeout' not in str(caught.value)
    assert server.sent < MAX_SENT_BYTES


async def test_an_event_without_end_is_not_kept(monkeypatch):
  monkeypatch.setattr(events, 'MAX_EVENT_BYTES', 1000)
  reader = events.EventReader()
  with pytest.raises(events.StreamTooLarge):
    for _ in range(3):
      reader.feed(b'data: ' + b'x' * 500)
  reader = events.EventReader()
  with pytest.raises(events.StreamTooLarge):
    for _ in range(3):
      reader.feed(b'data: ' + b'x' * 490 + b'\n')
  reader = events.EventReader()
  for _ in range(10):
    reader.feed(b': ' + b'x' * 500 + b'\n')
    reader.feed(b'data: ' + b'x' * 500 + b'\n\n')
  assert reader.count == 10


async def test_the_data_of_a_stream_without_end_are_not_kept(monkeypatch):
  monkeypatch.setattr(events, 'MAX_DATA_BYTES', 1000)
  reader = events.EventReader()
  with pytest.raises(events.StreamTooLarge):
    for _ in range(30):
      reader.feed(b'data: ' + b'x' * 90 + b'\n\n')
  reader = events.EventReader(keeps_data=False)
  for _ in range(30):
    reader.feed(b'data: ' + b'x' * 90 + b'\n\n')
  assert reader.count == 30


async def test_a_body_in_small_chunks_is_read_whole():
  content = b'1\r\nx\r\n' * (4 * response_ids.MAX_EXTRA_BYTES // 6)

  async def serve(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(OK + CHUNKED + content + b'0\r\n\r\n')

  listener = await asyncio.start_server(serve, '127.0.0.1', 0)
  server = Server(None)
  server.address = f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with aiohttp.ClientSession(connector=connector) as session:
    _, body = await send(session, server)
  listener.close()
  assert body == b'x' * (len(content) // 6)
