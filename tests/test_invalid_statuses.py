"""A response whose status no final response can have is none, whoever reads it.

An engine in trouble answered with the status 000, and its caller got that.
"""

import asyncio
import contextlib

import aiohttp
import fleet as fleets
import pytest
import real_site
import test_call_attempts as attempts
import test_truncated_heads as heads
import test_truncated_product_responses as truncated

from woadrun import errors
from woadrun.cli import operator
from woadrun.connection import engine
from woadrun.connection import http
from woadrun.connection import response_ends
from woadrun.connection import service
from woadrun.connection import tcp_connections
from woadrun.decisions import run_status
from woadrun.platform import store
from woadrun.platform import upstream
from woadrun.request import exchange
from woadrun.request import execution
from woadrun.version import instances
from woadrun.version import program

STATUS_LINES = (
  'HTTP/1.1 000 X',
  'HTTP/1.1 000',
  'HTTP/1.0 000 X',
  'HTTP/1.1 099 X',
  'HTTP/1.1 101 Switching Protocols',
  'HTTP/1.1 600 X',
  'HTTP/1.1 999 X',
)
INVALID = (0, 20, 99, 100, 101, 199, 600, 999, 1000)
VALID = (200, 204, 304, 404, 500, 599)


def encode(line, *, body=b'{}', fields=()):
  names = ('Request-Id: r', 'Server-Signature: s', *fields)
  names += (f'Content-Length: {len(body)}', '', '')
  return '\r\n'.join((line, *names)).encode() + body


class Server:
  """Answers each request with the same bytes; counts its connections."""

  def __init__(self, response):
    self._response = response
    self.connections = 0
    self.requests = 0

  @contextlib.asynccontextmanager
  async def run(self):
    server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
    async with server:
      yield f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

  async def _serve(self, reader, writer):
    self.connections += 1
    with contextlib.suppress(asyncio.IncompleteReadError, OSError):
      while True:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        for line in head.lower().split('\r\n'):
          if line.startswith('content-length:'):
            await reader.readexactly(int(line.partition(':')[2]))
        self.requests += 1
        writer.write(self._response)
    writer.close()


async def send_change(session, address):
  found = store.Store(
    session=session,
    address=address,
    timeout=2.0,
    addresses=tcp_connections.Addresses(),
  )
  return await found.change()


async def send_feed(session, address):
  found = store.Store(
    session=session,
    address=address,
    timeout=2.0,
    addresses=tcp_connections.Addresses(),
  )
  return await found.follow('t', after=0, wait=0.1)


async def send_post(session, address):
  return await http.send(
    session, 'POST', f'http://{address}/x', timeout=2.0, body=b'{}'
  )


async def send_model_call(session, address):
  found = engine.Engine(session=session, url=f'http://{address}')
  call = engine.ModelCall(stream='s', program='p', priority=0, body={})
  return [chunk async for chunk in found.stream(call)]


async def send_service_call(session, address):
  found = service.Service(session=session, url=f'http://{address}')
  return await found.call('act', b'{}', request='r', timeout=2.0)


SENDERS = (
  *heads.SENDERS,
  send_change,
  send_feed,
  send_post,
  send_model_call,
  send_service_call,
)


# Guards against a status that is none and counts as an answer, whoever sent it:
# upstreams, services, engines, other daemons, the store, the object store.
@pytest.mark.parametrize('line', STATUS_LINES)
@pytest.mark.parametrize('send', SENDERS)
async def test_a_status_that_is_none_is_no_response(send, line):
  server = Server(encode(line))
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with (
    server.run() as address,
    aiohttp.ClientSession(connector=connector) as session,
  ):
    for _ in range(2):
      with pytest.raises(heads.ERRORS) as caught:
        await send(session, address)
      # What the request did is not known.
      assert not isinstance(
        caught.value, (exchange.RequestNotSent, engine.EngineRefused)
      )
      if isinstance(caught.value, errors.WoadrunError):
        assert caught.value.ran is errors.RunStatus.UNKNOWN
  # The connection is not used again.
  assert server.connections == server.requests


@pytest.mark.parametrize('line', STATUS_LINES)
async def test_a_service_has_no_outcome_with_a_status_that_is_none(line):
  server = Server(encode(line))
  async with (
    server.run() as address,
    aiohttp.ClientSession(connector=response_ends.Connector()) as session,
  ):
    found = service.Service(session=session, url=f'http://{address}')
    assert await found.ask('r') is None


@pytest.mark.parametrize('line', STATUS_LINES)
async def test_the_outcome_of_an_action_is_queried_after_such_a_status(line):
  outcome, paths = await truncated.run_service(
    encode(line), truncated.frame(b'{"runs": 1}')
  )
  assert paths == ['actions', 'outcomes']
  assert (outcome.outcome, outcome.status) == (program.OK, 200)


@pytest.mark.parametrize('line', STATUS_LINES)
async def test_the_outcome_of_an_action_is_unknown_after_such_statuses(line):
  error, paths = await truncated.run_service(encode(line))
  assert paths == ['actions', 'outcomes']
  assert error.code is errors.Code.OUTCOME_UNKNOWN
  assert error.ran is errors.RunStatus.UNKNOWN


@pytest.mark.parametrize('line', STATUS_LINES)
async def test_a_model_call_runs_again_after_such_a_status(line):
  body = truncated.make_event('wrong') + truncated.DONE_EVENT
  content, _, count = await truncated.run_model(encode(line, body=body))
  assert (content, count) == ('whole', 2)


async def test_an_operator_gets_no_such_status_for_an_answer(monkeypatch):
  monkeypatch.setattr(operator, 'RETRY_TIMEOUT_SECONDS', 0.0)
  server = Server(encode('HTTP/1.1 000 X', body=b'{"programs": []}'))
  async with server.run() as address:
    access = operator.Access(address=address, token='t')
    with pytest.raises(aiohttp.ClientPayloadError):
      await asyncio.to_thread(
        operator.run_with_client,
        access,
        lambda found: found.request_bytes('GET', '/v1/programs/p'),
      )


# Guards against an instance that counts as alive by an answer to a health check
# that is none.
@pytest.mark.parametrize('line', STATUS_LINES)
async def test_a_health_check_is_not_answered_by_such_a_status(line):
  server = Server(encode(line))
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with (
    server.run() as address,
    aiohttp.ClientSession(connector=connector) as session,
  ):
    probing = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    instance = instances.Instance(
      id='i', service='s', address=address, domain='north'
    )
    found = await probing.probe(instance, health_path='/health')
  assert found is exchange.Liveness.REACHABLE


# Guards against records of earlier releases, which had any status of a service.
@pytest.mark.parametrize('status', INVALID)
async def test_a_stored_outcome_with_such_a_status_is_unknown(status):
  state = attempts.make_state()
  accepted = attempts.make_accepted('first', repeatable=False)
  finished = program.Finished(
    program=attempts.PROGRAM,
    request='r',
    attempt='first',
    outcome=program.OK,
    time=0.0,
    status=status,
    answer='{}',
  )
  state.apply([accepted, finished], answers=9)
  call = attempts.make_call(repeatable=False)
  with pytest.raises(errors.WoadrunError) as caught:
    execution.get_stored_answer(
      state.get_program(attempts.PROGRAM),
      call,
      call.get_digest(),
      is_stream=False,
    )
  assert caught.value.code is errors.Code.OUTCOME_UNKNOWN
  assert caught.value.ran is errors.RunStatus.UNKNOWN


@pytest.mark.parametrize('status', INVALID)
def test_a_statement_with_such_a_status_is_neither_genuine_nor_a_refusal(
  status,
):
  statement = run_status.Statement(
    status=status, has_request_id=True, is_signed=True, states_not_run=True
  )
  assert not run_status.is_genuine(statement)
  assert not run_status.is_refusal(statement)
  assert not run_status.is_final(status)


@pytest.mark.parametrize('status', VALID)
def test_other_statuses_are_final(status):
  assert run_status.is_final(status)


# Guards the whole path of a platform request: caller, daemon, instance.
@pytest.mark.parametrize('line', ['HTTP/1.1 000 X', 'HTTP/1.1 600 X'])
async def test_a_caller_gets_a_true_error_for_such_a_status(tmp_path, line):
  async def answer(instance, writer, path, request):
    head = real_site.make_head(instance, request, 'Content-Length: 2')
    writer.write(head.replace(b'HTTP/1.1 200 OK', line.encode()) + b'\r\nno')

  async with real_site.Site(tmp_path, count=1) as site:
    for instance in site.instances:
      instance.respond = answer
    daemon = site.daemons[0]
    acted = await site.send(daemon, 'act', '0')
    looked = await site.send(daemon, 'look', '0')
    turn = await site.send(daemon, 'chat', '0')
    assert acted.status == 502 and 'outcome_unknown' in acted.head
    assert 'Server-Signature' not in acted.head
    assert sum(acted.request in i.runs for i in site.instances) == 1
    assert looked.status == turn.status == 502
    # The next request is answered, by instances that are well again.
    for instance in site.instances:
      instance.respond = real_site.respond
    async with asyncio.timeout(real_site.READY_SECONDS):
      while (await site.send(daemon, 'look', '0')).status != 200:
        await asyncio.sleep(0.2)


# Guards the whole path of the own interface: client, daemon, service or engine.
@pytest.mark.parametrize('line', ['HTTP/1.1 000 X', 'HTTP/1.1 600 X'])
async def test_a_client_gets_a_true_error_for_such_a_status(tmp_path, line):
  async with fleets.make_fleet(tmp_path, 'n') as fleet:
    server = Server(encode(line, body=truncated.make_event('wrong')))
    async with server.run() as address:
      node = fleet.nodes[0]
      settings = node.config.read_text()
      for stand_in in (*fleet.outside.services, *fleet.outside.engines):
        settings = settings.replace(stand_in.url, f'http://{address}')
      node.config.write_text(settings)
      await fleet.restart()
      caller = fleet.make_client(patience=5.0)
      started = await caller.start('riders', 50_000)
      acted = await fleets.get_refusal(
        caller.act(started['id'], 'service-0/charge', {})
      )
      said = await fleets.get_refusal(
        caller.say(started['id'], 'x', model=fleets.MODEL)
      )
    assert acted.code is errors.Code.OUTCOME_UNKNOWN
    assert acted.ran is errors.RunStatus.UNKNOWN
    assert said.code is errors.Code.UPSTREAM_FAILED
    assert server.requests >= 2
