"""Responses that come a second time, in the place of the next one due."""

import asyncio
import contextlib
import dataclasses

import aiohttp
import nodes
import pytest

from woadrun.connection import tcp_connections
from woadrun.platform import upstream
from woadrun.request import exchange
from woadrun.version import instances

OK = 'HTTP/1.1 200 OK'
FULL = 'HTTP/1.1 503 Full'
NOT_RUN = ['Not-Executed: 1']


def encode(status_line, *, id, body=b'', headers=()):
  """Returns a response; `id` is None for one without a request id."""
  names = [f'Content-Length: {len(body)}', 'Server-Signature: s', *headers]
  if id is not None:
    names.append(f'Request-Id: {id}')
  return '\r\n'.join([status_line, *names, '', '']).encode() + body


class Engine:
  """A server that sends bytes before, and after, the responses to requests.

  `before` has the bytes to send in the place of the response to each request,
  which then follows; `before_later` those a moment after these.  `in_place_of`
  has the bytes to send instead of a response, `after` those to send once the
  connection is idle.
  `targets` lists the path and query of each request.
  `full` has the requests that it refuses, `anonymous` those whose response has
  no request id.  `sent` lists the requests it got, with the ports of their
  connections.
  """

  def __init__(self):
    self.before = {}
    self.before_later = {}
    self.in_place_of = {}
    self.after = {}
    self.full = set()
    self.anonymous = set()
    self.sent = []
    self.targets = []

  async def serve(self, reader, writer):
    with contextlib.suppress(EOFError, OSError):
      while True:
        await self._answer(reader, writer)

  async def _answer(self, reader, writer):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    self.targets.append(head.split(' ')[1])
    id = next(
      line.partition(': ')[2]
      for line in head.split('\r\n')
      if line.startswith('Request-Id')
    )
    self.sent.append((id, writer.get_extra_info('peername')[1]))
    writer.write(self.before.get(id, b''))
    await asyncio.sleep(0.01)
    writer.write(self.before_later.get(id, b''))
    if id in self.in_place_of:
      writer.write(self.in_place_of[id])
      return
    sent_id = None if id in self.anonymous else id
    if id in self.full:
      writer.write(encode(FULL, id=sent_id, headers=NOT_RUN))
    else:
      writer.write(encode(OK, id=sent_id, body=id.encode()))
    if id in self.after:
      await asyncio.sleep(0.03)
      writer.write(self.after[id])

  def get_ports(self):
    return [port for _, port in self.sent]


@contextlib.asynccontextmanager
async def connect(engine):
  """Yields a function that sends a request and returns what came back."""
  server = await asyncio.start_server(engine.serve, '127.0.0.1', 0)
  port = server.sockets[0].getsockname()[1]
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with server, aiohttp.ClientSession(connector=connector) as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )

    async def send(id, *, seconds=2.0, target='/pay/x'):
      request = nodes.make_request(id, path='/pay/')
      sending = exchange.RequestAttempt(
        request=dataclasses.replace(
          request, headers=[('Request-Id', id)], target=target
        ),
        instance=instances.Instance(
          id='i', service='s', address=f'127.0.0.1:{port}', domain='north'
        ),
        body=b'',
        seconds=seconds,
      )
      async with client.send(sending) as reply:
        body = b''.join([chunk async for chunk in reply.chunks])
      return reply, body.decode()

    yield send


# Guards against a request that runs twice because the refusal of another one
# counts as its own.
async def test_late_copy_of_a_refusal_does_not_refuse_the_next_request():
  engine = Engine()
  engine.full = {'a'}
  engine.before['b'] = encode(FULL, id='a', headers=NOT_RUN)
  async with connect(engine) as send:
    refused, _ = await send('a')
    assert (refused.status, refused.has_run) == (503, False)
    reply, body = await send('b')
  assert (reply.status, reply.has_run, body) == (200, True, 'b')
  assert [id for id, _ in engine.sent] == ['a', 'b']


# Guards against callers who get no answer, though the server sent it, because
# answers to other requests came before it.
@pytest.mark.parametrize('count', [1, 5])
async def test_response_is_read_after_late_copies_of_others(count):
  engine = Engine()
  copy = encode(OK, id='a', body=b'a' * 100_000)
  engine.before['b'] = copy * count + encode(FULL, id='x', headers=NOT_RUN)
  async with connect(engine) as send:
    await send('a')
    reply, body = await send('b')
  assert (reply.status, reply.is_genuine, body) == (200, True, 'b')


# Guards against a connection that stays one answer behind for good.
async def test_connection_is_not_one_answer_behind_after_a_late_copy():
  engine = Engine()
  engine.before['1'] = encode(OK, id='0', body=b'0')
  async with connect(engine) as send:
    bodies = [(await send(str(number)))[1] for number in range(6)]
  assert bodies == ['0', '1', '2', '3', '4', '5']
  assert len(set(engine.get_ports())) == 1


# Guards against bytes that arrive between two requests and count as the answer
# to the second one.
@pytest.mark.parametrize('size', [1000, 30])
async def test_idle_connection_on_which_bytes_arrive_is_not_used_again(size):
  engine = Engine()
  engine.after['a'] = encode(FULL, id='a', headers=NOT_RUN)[:size]
  async with connect(engine) as send:
    await send('a')
    await asyncio.sleep(0.1)
    reply, body = await send('b')
  assert (reply.status, reply.has_run, body) == (200, True, 'b')
  assert len(set(engine.get_ports())) == 2


# Guards against a second copy in the same packet as the response, which is read
# before the connection is idle.
async def test_connection_is_not_used_after_a_copy_in_the_same_packet():
  engine = Engine()
  copy = encode(OK, id='a', body=b'a')
  engine.in_place_of['a'] = copy + copy
  async with connect(engine) as send:
    assert (await send('a'))[1] == 'a'
    reply, body = await send('b')
  assert (reply.status, body) == (200, 'b')
  assert len(set(engine.get_ports())) == 2


# Guards against a request whose answer is lost since a copy came in two parts.
async def test_response_is_read_after_a_late_copy_in_parts():
  engine = Engine()
  copy = encode(OK, id='a', body=b'a' * 100)
  engine.before['b'], engine.before_later['b'] = copy[:40], copy[40:]
  async with connect(engine) as send:
    await send('a')
    reply, body = await send('b')
  assert (reply.status, body) == (200, 'b')


# Guards against a request that runs twice because a refusal that may be that of
# another one counts as its own, and against late copies of such a refusal.
async def test_refusal_without_an_id_proves_nothing_and_ends_its_connection():
  engine = Engine()
  engine.full = engine.anonymous = {'a'}
  async with connect(engine) as send:
    refused, _ = await send('a')
    assert (refused.status, refused.has_run) == (503, True)
    assert not refused.is_genuine
    reply, body = await send('b')
  assert (reply.status, body) == (200, 'b')
  assert len(set(engine.get_ports())) == 2


# Guards against a request that is given up as not run though a server that only
# sent an answer to another request may be running it.
async def test_request_may_have_run_if_only_the_answer_to_another_one_came():
  engine = Engine()
  engine.before['b'] = encode(FULL, id='a', headers=NOT_RUN)
  server_sleeps = asyncio.Event()
  answer = engine._answer

  async def hang(reader, writer):
    if engine.sent:
      await reader.readuntil(b'\r\n\r\n')
      writer.write(engine.before['b'])
      await server_sleeps.wait()
    await answer(reader, writer)

  engine._answer = hang
  async with connect(engine) as send:
    await send('a')
    with pytest.raises(exchange.ResponseLost):
      await send('b', seconds=0.3)


# Guards against a target that reaches the server changed: an empty query lost
# its question mark.
async def test_target_reaches_the_server_byte_for_byte():
  targets = ['/p/b?', '/p/b', '/p/%7e//../x%2F?a=%20+&b', '/p/x??', '/p/?#f']
  engine = Engine()
  async with connect(engine) as send:
    for target in targets:
      await send('r', target=target)
  assert engine.targets == targets


# Guards against a request that runs twice, is refused after it ran, or gets no
# answer, because a copy without an id counts as the response to it.
@pytest.mark.parametrize('status_line', [OK, FULL])
async def test_copy_without_an_id_is_not_the_response_to_the_next_request(
  status_line,
):
  engine = Engine()
  copy = encode(status_line, id=None, body=b'a', headers=NOT_RUN)
  engine.before = {'b': copy, 'c': copy * 3}
  async with connect(engine) as send:
    assert (await send('a'))[1] == 'a'
    for id in ('b', 'c', 'd'):
      reply, body = await send(id)
      assert (reply.status, reply.is_genuine, body) == (200, True, id)
  assert len(set(engine.get_ports())) == 1


# Guards against a request that is given up as not run though a server that only
# sent a response without an id may be running it.
async def test_request_may_have_run_if_only_a_copy_without_an_id_came():
  engine = Engine()
  engine.in_place_of['b'] = encode(FULL, id=None, headers=NOT_RUN)
  async with connect(engine) as send:
    await send('a')
    with pytest.raises(exchange.ResponseLost):
      await send('b', seconds=0.3)
