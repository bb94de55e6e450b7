"""HTTP client for instances, tested over real connections."""

import asyncio
import contextlib
import dataclasses
import socket
import types

import aiohttp
from aiohttp import web
import nodes
import pytest

from woadrun.connection import tcp_connections
from woadrun.platform import read_ahead
from woadrun.platform import upstream
from woadrun.request import exchange
from woadrun.request import held_bytes
from woadrun.version import instances


async def test_aborted_response_ends_immediately():
  async def answer(request):
    response = web.StreamResponse(headers={'Request-Id': 'r'})
    await response.prepare(request)
    await response.write(b'data: x\n\n')
    await asyncio.sleep(30)
    return response

  runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
  await runner.setup()
  port = nodes.find_port()
  await web.TCPSite(runner, '127.0.0.1', port).start()
  sending = exchange.RequestAttempt(
    request=nodes.make_request('r', path='/chat/'),
    instance=instances.Instance(
      id='i', service='s', address=f'127.0.0.1:{port}', domain='north'
    ),
    body=b'',
    seconds=20.0,
  )
  received = []
  async with aiohttp.ClientSession() as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    async with asyncio.timeout(5):
      async with client.send(sending) as reply:
        with pytest.raises(exchange.ResponseLost):
          async for chunk in reply.chunks:
            received.append(chunk)
            asyncio.get_running_loop().call_later(0.1, reply.abort)
  assert received == [b'data: x\n\n']
  await runner.cleanup()


async def test_restarted_instance_gets_a_new_connection():
  ports = []

  async def answer(request):
    ports.append(request.transport.get_extra_info('peername')[1])
    assert request.headers['Host'] == 'h'
    return web.Response(headers={'Request-Id': 'r'}, body=b'x')

  runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
  await runner.setup()
  port = nodes.find_port()
  await web.TCPSite(runner, '127.0.0.1', port).start()
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with aiohttp.ClientSession(connector=connector) as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    for born in (1000, 1000, 2000):
      request = nodes.make_request('r', path='/chat/')
      sending = exchange.RequestAttempt(
        request=dataclasses.replace(request, headers=[('Host', 'h')]),
        instance=instances.Instance(
          id='i',
          service='s',
          address=f'127.0.0.1:{port}',
          domain='north',
          started_ms=born,
        ),
        body=b'',
        seconds=20.0,
      )
      async with client.send(sending) as reply:
        assert [chunk async for chunk in reply.chunks] == [b'x']
  assert ports[0] == ports[1] != ports[2]
  await runner.cleanup()


# Guards against an answer that its instance cuts off because the daemon reads
# no faster than a slow caller, and against memory that grows without a bound.
@pytest.mark.parametrize(('most', 'is_whole'), [(2**23, True), (2**19, False)])
async def test_answer_of_slow_caller_is_read_ahead_up_to_the_bound(
  most, is_whole
):
  size = 2**22
  written = asyncio.Event()

  async def answer(request):
    response = web.StreamResponse(headers={'Request-Id': 'r'})
    await response.prepare(request)
    # Larger than all socket buffers.
    for _ in range(size // 2**16):
      await response.write(bytes(2**16))
    written.set()
    return response

  runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
  await runner.setup()
  port = nodes.find_port()
  site = web.TCPSite(runner, '127.0.0.1', port)
  await site.start()
  for listener in site._server.sockets:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2**16)
  held = held_bytes.HeldBytes(most=most)
  sending = exchange.RequestAttempt(
    request=nodes.make_request('r', path='/chat/'),
    instance=instances.Instance(
      id='i', service='s', address=f'127.0.0.1:{port}', domain='north'
    ),
    body=b'',
    seconds=20.0,
  )
  async with aiohttp.ClientSession() as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses(), held=held
    )
    async with client.send(sending) as reply:
      received = len(await anext(reply.chunks))
      if is_whole:
        await nodes.wait_until(written.is_set)
      else:
        await nodes.wait_until(lambda: held.total == most)
      assert held.total <= most
      async for chunk in reply.chunks:
        received += len(chunk)
      assert received == size
    assert held.total == 0
  await runner.cleanup()


class Content:
  """An answer of three chunks."""

  def __init__(self):
    self.left = [b'a', b'b', b'c']

  async def readany(self):
    return self.left.pop(0) if self.left else b''

  async def read(self, size):
    return await self.readany()


def make_reader(monkeypatch, held):
  monkeypatch.setattr(read_ahead, 'SLOW_CALLER_SECONDS', 0.0)
  response = types.SimpleNamespace(content=Content())
  return read_ahead.AnswerReader(response=response, held=held)


async def test_caller_is_not_delayed_by_the_bytes_held_for_others(monkeypatch):
  """An answer stood still until those who took nothing had disconnected."""
  held = held_bytes.HeldBytes(most=4)
  held.add(4)
  chunks = make_reader(monkeypatch, held).read()
  async with asyncio.timeout(5.0):
    received = [await anext(chunks)]
    await asyncio.sleep(0.01)
    received += [chunk async for chunk in chunks]
  assert received == [b'a', b'b', b'c']
  assert held.total == 4


async def test_closed_answer_is_not_read_ahead(monkeypatch):
  """Its bytes would count as held for ever."""
  held = held_bytes.HeldBytes()
  reader = make_reader(monkeypatch, held)
  chunks = reader.read()
  await anext(chunks)
  reader.close()
  await asyncio.sleep(0.01)
  assert held.total == 0
  await chunks.aclose()


@pytest.mark.parametrize('is_reused', [False, True])
async def test_a_request_whose_connection_is_lost_is_not_sent_again(is_reused):
  received = []

  async def serve(reader, writer):
    number = 0
    while await reader.readuntil(b'\r\n\r\n'):
      received.append(number)
      number += 1
      if number > is_reused:
        writer.transport.abort()
        return
      writer.write(
        b'HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 0\r\n\r\n'
      )

  server = await asyncio.start_server(serve, '127.0.0.1', 0)
  port = server.sockets[0].getsockname()[1]
  request = nodes.make_request('r', path='/look/')
  sending = exchange.RequestAttempt(
    request=dataclasses.replace(request, method='GET', headers=[('Host', 'h')]),
    instance=instances.Instance(
      id='i', service='s', address=f'127.0.0.1:{port}', domain='north'
    ),
    body=b'',
    seconds=5.0,
  )
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with aiohttp.ClientSession(connector=connector) as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    for _ in range(is_reused):
      async with client.send(sending) as reply:
        assert [chunk async for chunk in reply.chunks] == []
    with pytest.raises(exchange.ResponseLost):
      async with client.send(sending):
        pass
  server.close()
  assert received == ([0, 1] if is_reused else [0])


HEALTHY = b'HTTP/1.1 200 OK\r\nInstance-Id: i\r\nContent-Length: 0\r\n\r\n'


@pytest.mark.parametrize(
  ('answer', 'path', 'expected'),
  [
    (HEALTHY, '/health', exchange.Liveness.ALIVE),
    (
      HEALTHY.replace(b'200 OK', b'503 Draining'),
      '/health',
      exchange.Liveness.ALIVE,
    ),
    (HEALTHY.replace(b': i', b': j'), '/health', exchange.Liveness.ENDED),
    (
      b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n',
      '/health',
      exchange.Liveness.ENDED,
    ),
    # A connection that is accepted does not tell by which process.
    (b'', '/health', exchange.Liveness.REACHABLE),
    (None, '/health', exchange.Liveness.REACHABLE),
    (HEALTHY, '', exchange.Liveness.REACHABLE),
  ],
)
async def test_a_probe_tells_an_instance_from_its_successor(
  answer, path, expected, monkeypatch
):
  monkeypatch.setattr(upstream, 'PROBE_TIMEOUT_SECONDS', 0.2)
  heads = []

  async def serve(reader, writer):
    heads.append(await reader.readuntil(b'\r\n\r\n'))
    if answer is None:
      await asyncio.sleep(1.0)
    writer.write(answer or b'')
    writer.close()

  server = await asyncio.start_server(serve, '127.0.0.1', 0)
  address = f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
  assert await probe(address, path) is expected
  server.close()
  assert all(b'Expect-Instance: i\r\n' in head for head in heads)
  assert bool(heads) is bool(path)


@pytest.mark.parametrize('path', ['/health', ''])
async def test_a_probe_of_a_refusing_address_tells_that_the_instance_ended(
  path,
):
  address = f'127.0.0.1:{nodes.find_port()}'
  assert await probe(address, path) is exchange.Liveness.ENDED


@pytest.mark.parametrize('path', ['/health', ''])
async def test_a_probe_of_a_silent_address_tells_nothing(path, monkeypatch):
  monkeypatch.setattr(upstream, 'PROBE_TIMEOUT_SECONDS', 0.4)
  monkeypatch.setattr(upstream, 'PROBE_CONNECT_TIMEOUT_SECONDS', 0.2)
  with contextlib.ExitStack() as stack:
    full = stack.enter_context(socket.socket())
    full.bind(('127.0.0.1', 0))
    full.listen(0)
    for _ in range(3):
      # Fills the backlog, so that the kernel answers no further connection.
      client = stack.enter_context(socket.socket())
      client.setblocking(False)
      client.connect_ex(full.getsockname())
    address = f'127.0.0.1:{full.getsockname()[1]}'
    assert await probe(address, path) is exchange.Liveness.UNKNOWN


async def probe(address, path):
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with aiohttp.ClientSession(connector=connector) as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    instance = instances.Instance(
      id='i', service='s', address=address, domain='north'
    )
    return await client.probe(instance, health_path=path)
