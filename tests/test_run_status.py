"""Statuses that guarantee that a request has not run, after it may have run."""

import asyncio
import contextlib
import dataclasses
import itertools

import aiohttp
import nodes
import pytest

from woadrun import errors
from woadrun.connection import tcp_connections
from woadrun.decisions import run_status
from woadrun.platform import upstream
from woadrun.platform import wire
from woadrun.request import exchange
from woadrun.request import turn_client

TURN_PATHS = ['/chat/', '/draft/']
PLAIN_PATHS = ['/act/', '/look/']
NOT_RUN = [408, 421, 429, 503]
# Of a turn, these guarantee it as well.
TURN_NOT_RUN = [402, 404, 410]


def make_request(path):
  turn = exchange.TurnInfo(program='p', max_output=10, budget=1000)
  turn = turn if path in TURN_PATHS else None
  return nodes.make_request('r', path=path, turn=turn)


async def ask(path, *faults):
  """Returns the error that a caller gets and how often its request was sent."""
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.extend(faults)
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', make_request(path))
    return caught.value, len(fleet.engines.sent)


# Guards against a caller that is told that its request has not run, by the
# status of the instance that ran it.
@pytest.mark.parametrize(
  ('path', 'status'),
  [
    *itertools.product(['/act/', *TURN_PATHS], NOT_RUN),
    *itertools.product(TURN_PATHS, TURN_NOT_RUN),
  ],
)
async def test_status_of_an_instance_that_ran_a_request_promises_nothing(
  path, status
):
  error, sent = await ask(path, nodes.make_reply(status=status))
  assert sent == 1
  assert error.ran is errors.RunStatus.UNKNOWN
  assert wire.encode_error(error, 'r') == (
    502,
    [('Woadrun-Error', 'outcome_unknown'), ('Request-Id', 'r')],
  )


# Guards against such a status for a request that another instance could serve.
@pytest.mark.parametrize('status', NOT_RUN)
async def test_idempotent_request_is_sent_again_after_such_a_status(status):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.make_reply(status=status))
    assert (await fleet.ask('n1', make_request('/look/')))[0] == 200
    first, second = (item.instance.id for item in fleet.engines.sent)
    assert first != second


async def test_idempotent_request_gets_no_such_status_from_its_last_attempt():
  replies = [nodes.make_reply(status=503) for _ in range(2)]
  error, sent = await ask('/look/', *replies)
  assert (sent, error.status) == (2, 502)


# Guards against a request that is refused as not run after one of its two
# attempts may have run.
async def test_refusal_after_an_attempt_that_may_have_run_promises_nothing():
  ran = nodes.make_reply(status=503)
  refused = nodes.make_reply(status=503, has_run=False)
  for replies in ([ran, refused], [refused, ran]):
    error, _ = await ask('/look/', *replies)
    assert error.status == 502


@pytest.mark.parametrize('status', [200, 400, 404, 410, 500, 504])
@pytest.mark.parametrize('path', PLAIN_PATHS)
async def test_other_statuses_of_an_instance_reach_the_caller(path, status):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.make_reply(status=status))
    answer, _ = await fleet.ask('n1', make_request(path))
    assert answer == status


# Guards against instances that are avoided by all callers since one program
# sends turns that they answer with 404.
@pytest.mark.parametrize('status', TURN_NOT_RUN)
async def test_instance_that_rejects_a_turn_itself_does_not_count_as_failing(
  status,
):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    for _ in range(4):
      fleet.engines.faults.append(nodes.make_reply(status=status))
      with pytest.raises(errors.WoadrunError):
        await fleet.ask('n1', make_request('/chat/'))
    assert not fleet.by_name['n1'].loads.health.get_own_failures()


# Guards against a request that counts as one that ends its instances, and is
# quarantined in the end, though each of them answered it.
@pytest.mark.parametrize('path', ['/act/', '/look/', '/chat/'])
async def test_instance_with_such_a_status_has_not_ended_under_its_request(
  path,
):
  lines = ['HTTP/1.1 503 Full', OWN, SIGNED]
  async with answer_with(*lines) as fleet:
    guard = fleet.by_name['n1'].crash_guard
    for _ in range(3):
      with pytest.raises(errors.WoadrunError):
        await fleet.ask('n1', make_request(path))
      assert not nodes.find_open(guard.records)
      assert len(guard.records) == 0


async def test_instance_with_such_a_status_counts_as_failing():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    health = fleet.by_name['n1'].loads.health
    fleet.engines.faults.append(nodes.make_reply(status=429))
    failed = []
    record_failure = health.record_failure
    health.record_failure = lambda id, *options: (
      failed.append(id),
      record_failure(id, *options),
    )
    with pytest.raises(errors.WoadrunError):
      await fleet.ask('n1', make_request('/act/'))
    assert failed == [fleet.engines.sent[0].instance.incarnation_id]
    metrics = fleet.by_name['n1'].counters.encode().decode()
    labels = '{service="tools",status="429"}'
    assert f'woadrun_withheld_replies_total{labels} 1.0' in metrics


@pytest.mark.parametrize('code', list(errors.Code))
@pytest.mark.parametrize(
  'ran', [errors.RunStatus.RAN, errors.RunStatus.UNKNOWN]
)
def test_no_error_of_the_daemon_promises_what_it_does_not_know(code, ran):
  error = errors.WoadrunError(code, 'x', ran=ran, retry_after=1.0)
  status, headers = wire.encode_error(error, 'r')
  assert status not in run_status.TURN_NOT_RUN_STATUSES
  assert 'Retry-After' not in dict(headers)


# --- Statements of instances --------------------------------------------------


@contextlib.asynccontextmanager
async def answer_with(*lines):
  """Yields a fleet whose instances run requests and send a response.

  `lines` are the status line and headers; `ID` stands for the request's id and
  `INSTANCE` for that of the instance it is meant for.  The fleet's `runs` lists
  the requests, by instance.
  """
  async with nodes.Nodes() as fleet:
    fleet.runs = []

    async def serve(reader, writer):
      with contextlib.suppress(EOFError, OSError):
        while True:
          head = (await reader.readuntil(b'\r\n\r\n')).decode()
          field = dict(
            line.split(': ', 1) for line in head.split('\r\n')[1:] if line
          )
          await reader.readexactly(int(field.get('Content-Length', 0)))
          fleet.runs.append(field['Expect-Instance'])
          text = '\r\n'.join([*lines, 'Content-Length: 0', '', ''])
          text = text.replace('INSTANCE', field['Expect-Instance'])
          writer.write(text.replace('ID', field['Request-Id']).encode())

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
    async with server, aiohttp.ClientSession(connector=connector) as session:
      client = upstream.HttpUpstreams(
        session=session, addresses=tcp_connections.Addresses()
      )
      fleet.engines.send = lambda sending: client.send(
        dataclasses.replace(
          sending,
          instance=dataclasses.replace(
            sending.instance, address=f'127.0.0.1:{port}'
          ),
        )
      )
      await fleet.start('n1')
      yield fleet


SIGNED = 'Server-Signature: s'
OWN = 'Request-Id: ID'
STATES_NOT_RUN = 'Not-Executed: 1'


# Guards against a request that runs twice, or is refused after it ran, since a
# response that may come from the instance that ran it counts as a refusal.
@pytest.mark.parametrize(
  'lines',
  [
    ['421 Misdirected', OWN, SIGNED],
    ['421 Misdirected', OWN],
    ['421 Misdirected', OWN, 'Instance-Id: INSTANCE'],
    ['421 Misdirected', OWN, 'Instance-Id:'],
    ['421 Misdirected', OWN, 'Instance-Id: INSTANCE, other'],
    ['421 Misdirected', 'Instance-Id: other'],
    ['503 Full', OWN],
    ['503 Full', OWN, SIGNED],
    ['503 Full', OWN, 'Not-Executed: 0'],
    ['503 Full', OWN, 'Not-Executed: 1, 0'],
    ['503 Full', OWN, STATES_NOT_RUN, 'Not-Executed: 0'],
    ['503 Full', OWN, 'Not-Executed: ?0'],
    ['503 Full', STATES_NOT_RUN],
    ['503 Full', 'Request-Id: ID', 'Request-Id: other', STATES_NOT_RUN],
    ['429 Busy', OWN],
    ['408 Late', OWN],
    ['200 OK', OWN, STATES_NOT_RUN],
    ['302 Found', OWN, STATES_NOT_RUN],
  ],
  ids=', '.join,
)
@pytest.mark.parametrize('path', ['/act/', '/chat/'])
async def test_request_is_not_sent_again_after_a_doubtful_refusal(path, lines):
  async with answer_with(f'HTTP/1.1 {lines[0]}', *lines[1:]) as fleet:
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', make_request(path))
    assert len(fleet.runs) == 1
    assert wire.encode_error(caught.value, 'r')[0] == 502


@pytest.mark.parametrize(
  'lines',
  [
    ['503 Full', OWN, STATES_NOT_RUN],
    ['503 Full', OWN, SIGNED, STATES_NOT_RUN],
    ['429 Busy', OWN, STATES_NOT_RUN],
    ['400 No', OWN, STATES_NOT_RUN],
    ['421 Misdirected', OWN, STATES_NOT_RUN],
    ['421 Misdirected', OWN, 'Instance-Id: other'],
    ['421 Misdirected', OWN, SIGNED, 'Instance-Id: other'],
  ],
  ids=', '.join,
)
async def test_request_is_sent_to_another_instance_after_a_refusal(lines):
  async with answer_with(f'HTTP/1.1 {lines[0]}', *lines[1:]) as fleet:
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', make_request('/act/'))
    assert sorted(fleet.runs) == ['t1', 't2']
    assert wire.encode_error(caught.value, 'r')[0] == 503


# Guards against a caller whose HTTP library waits for the final response, or
# takes its connection for one of another protocol.
@pytest.mark.parametrize('status', ['000', '099', '101'])
@pytest.mark.parametrize('path', ['/act/', '/chat/'])
async def test_status_that_is_not_final_does_not_go_to_the_caller(path, status):
  async with answer_with(f'HTTP/1.1 {status} X', OWN, SIGNED) as fleet:
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', make_request(path))
    assert len(fleet.runs) == 1
    assert wire.encode_error(caught.value, 'r')[0] == 502


# Guards against a caller that gets 502 for a response that names its request
# twice, as it does once a server and a proxy before it both echo the id.
async def test_response_with_the_same_id_twice_is_that_to_its_request():
  async with answer_with('HTTP/1.1 200 OK', OWN, OWN, SIGNED) as fleet:
    assert (await fleet.ask('n1', make_request('/act/')))[0] == 200


# Guards against a log that denies that a turn ran whose end was not recorded.
async def test_log_does_not_say_not_run_of_a_turn_that_was_answered(
  caplog, monkeypatch
):
  async def fail(*_, **options):
    raise errors.WoadrunError(errors.Code.OWNER_UNAVAILABLE, 'no owner')

  caplog.set_level('INFO', 'woadrun.serving')
  monkeypatch.setattr(turn_client.TurnClient, 'close', fail)
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with pytest.raises(errors.WoadrunError):
      await fleet.turn('n1', 'a')
    ends = [m for m in caplog.messages if m.startswith('Request a:')]
    assert len(ends) == 1
    assert '(request ran: no owner)' in ends[0]


# Guards against a caller that gets a success with a header that denies it.
async def test_statement_that_a_request_has_not_run_is_not_forwarded():
  lines = ['HTTP/1.1 200 OK', OWN, SIGNED, STATES_NOT_RUN]
  async with answer_with(*lines) as fleet:
    service = fleet.by_name['n1'].serving
    async with service.handle_request(make_request('/act/')) as answer:
      assert answer.status == 200
      assert 'Not-Executed' not in dict(answer.headers)
