"""A response that breaks off within its head is no response, whoever reads it.

Each client gets a response that is cut after each of its bytes before the body,
by a close and by a reset, on new connections and on ones that were used before.
"""

import asyncio
import contextlib
import itertools

import aiohttp
import pytest
import test_truncated_responses as truncated

from woadrun import errors
from woadrun.connection import engine
from woadrun.connection import http
from woadrun.connection import peers
from woadrun.connection import tcp_connections
from woadrun.connection import turn_messages
from woadrun.platform import store
from woadrun.request import exchange

NAMES = b'Request-Id: r\r\nServer-Signature: s\r\n'
HEADS = {
  'length first': b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n' + NAMES,
  'length last': b'HTTP/1.1 200 OK\r\n' + NAMES + b'Content-Length: 2\r\n',
  'no body': b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n' + NAMES,
  'chunks': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n' + NAMES,
  'neither': b'HTTP/1.1 200 OK\r\n' + NAMES,
  'no content': b'HTTP/1.1 204 No Content\r\n' + NAMES,
  'informational': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n' + NAMES,
}
WHOLE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%b\r\n{}' % NAMES


@contextlib.asynccontextmanager
async def serve_cut(head, *, at, is_reset, is_reused):
  """Serves responses that are cut; yields the port.

  The first connection first gets a whole response if it `is_reused`.
  """
  connections = itertools.count()

  async def answer(reader, writer):
    is_first = is_reused and not next(connections)
    for number in range(2):
      with contextlib.suppress(asyncio.IncompleteReadError, OSError):
        request = await reader.readuntil(b'\r\n\r\n')
        for line in request.decode('latin-1').lower().split('\r\n'):
          if line.startswith('content-length:'):
            await reader.readexactly(int(line.partition(':')[2]))
      if is_first and not number:
        writer.write(WHOLE)
        continue
      writer.write(head[:at])
      with contextlib.suppress(OSError):
        await writer.drain()
      await asyncio.sleep(0)
      break
    if is_reset:
      truncated.reset(writer)
    else:
      writer.close()

  server = await asyncio.start_server(answer, '127.0.0.1', 0)
  async with server:
    yield server.sockets[0].getsockname()[1]


async def send_to_instance(session, address):
  client = truncated.Redirected(
    client=truncated.upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    ),
    address=address,
  )
  async with client.send(truncated.make_attempt()) as reply:
    return reply.status, b''.join([chunk async for chunk in reply.chunks])


async def send_to_platform(session, address):
  reply = await http.send(session, 'GET', f'http://{address}/x', timeout=2.0)
  return reply.status, reply.body


async def send_to_store(session, address):
  client = store.Store(
    session=session,
    address=address,
    timeout=2.0,
    addresses=tcp_connections.Addresses(),
  )
  return 200, await client.read('t', '')


async def send_to_daemon(session, address):
  links = peers.Peers(session=session, key='')
  answer = await links.post(
    address,
    'feed',
    turn_messages.FeedQuery(table='t', after=0),
    type=turn_messages.FeedCopy,
    timeout=2.0,
  )
  return 200, answer


async def send_to_engine(session, address):
  client = engine.Engine(session=session, url=f'http://{address}')
  body = b''.join([chunk async for chunk in client.resume('s')])
  return 200, body


SENDERS = (
  send_to_instance,
  send_to_platform,
  send_to_store,
  send_to_daemon,
  send_to_engine,
)
ERRORS = (
  errors.WoadrunError,
  exchange.ResponseLost,
  exchange.RequestNotSent,
  aiohttp.ClientError,
  engine.EngineRefused,
)


# Guards against a head that breaks off and is taken for a whole one, with an
# empty or short body.
@pytest.mark.parametrize('send', SENDERS)
@pytest.mark.parametrize('name', HEADS)
@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('is_reused', [False, True])
async def test_a_head_that_breaks_off_is_no_response(
  send, name, is_reset, is_reused
):
  head = HEADS[name]

  async def run(at):
    async with serve_cut(
      head, at=at, is_reset=is_reset, is_reused=is_reused
    ) as port:
      connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
      async with aiohttp.ClientSession(connector=connector) as session:
        if is_reused:
          await send(session, f'127.0.0.1:{port}')
        try:
          return at, await send(session, f'127.0.0.1:{port}')
        except ERRORS:
          return None

  steps = range(0, len(head) + 1, 3)
  cuts = sorted({*steps, *range(len(head) - 6, len(head) + 1)})
  async with asyncio.timeout(20):
    found = await asyncio.gather(*(run(at) for at in cuts))
  assert [item for item in found if item is not None] == []
