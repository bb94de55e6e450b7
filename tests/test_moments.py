"""No status promises `not run` after a request may have reached an instance.

The daemon's whole path runs over real connections: callers, ingress, attempts
and instances.  Instances fail at every moment of a request.
"""

import asyncio
import contextlib
import socket

import nodes
import pytest
import sites

from woadrun import errors
from woadrun.decisions import run_status

PROMISES = run_status.TURN_NOT_RUN_STATUSES


# --- Connections that end at any moment -------------------------------------


async def reset_at_once(instance, reader, writer):
  sites.reset(writer)


async def reset_after_head(instance, reader, writer):
  await instance.read_head(reader)
  sites.reset(writer)


async def reset_after_body(instance, reader, writer):
  await instance.read(reader)
  sites.reset(writer)


async def close_after_body(instance, reader, writer):
  await instance.read(reader)


async def reset_inside_head_of_response(instance, reader, writer):
  id = await instance.read(reader)
  writer.write(sites.refuse(id)[:40])
  await writer.drain()
  await asyncio.sleep(0.05)
  sites.reset(writer)


async def close_inside_head_of_response(instance, reader, writer):
  id = await instance.read(reader)
  writer.write(sites.refuse(id)[:-4])


async def stay_silent(instance, reader, writer):
  await instance.read(reader)
  await asyncio.sleep(30)


# Guards against a promise, or a second run, after a connection that was opened
# ends without a response.
@pytest.mark.parametrize('path', sites.KINDS)
@pytest.mark.parametrize(
  'act',
  [
    reset_at_once,
    reset_after_head,
    reset_after_body,
    close_after_body,
    reset_inside_head_of_response,
    close_inside_head_of_response,
    stay_silent,
  ],
)
@pytest.mark.parametrize('size', [4, 2**20])
async def test_end_of_a_connection_promises_nothing(act, path, size):
  async with (
    sites.run_instances(act, act) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    status = await site.ask('r', path, body=b'x' * size, deadline_ms=900)
    assert status == 502
    assert sum(len(instance.begun) for instance in found) <= 1
    assert 0 in [instance.connections for instance in found]


async def answer_once_then_reset(instance, reader, writer):
  id = await instance.read(reader)
  writer.write(sites.encode(id, body=sites.EVENTS))
  await reader.read(1)
  sites.reset(writer)


async def answer_once_then_freeze(instance, reader, writer):
  id = await instance.read(reader)
  writer.write(sites.encode(id, body=sites.EVENTS))
  await asyncio.sleep(1.5)
  while True:
    await instance.read(reader)


# Guards against a promise after a pooled connection is reset, or stops being
# read, while the next request is sent on it: the request may run later.
@pytest.mark.parametrize('path', sites.KINDS)
@pytest.mark.parametrize(
  'act', [answer_once_then_reset, answer_once_then_freeze]
)
async def test_end_of_a_pooled_connection_promises_nothing(act, path):
  async with (
    sites.run_instances(act) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    assert await site.ask('a', path) == 200
    assert await site.ask('b', path, deadline_ms=900) == 502
    assert found[0].begun == ['a']
    if act is answer_once_then_freeze:
      await nodes.wait_until(lambda: 'b' in found[0].whole, seconds=5.0)


# --- Listeners whose queue is full ------------------------------------------


# Guards against a refused request that an instance receives when it accepts
# connections again: the request must not be on a connection that timed out.
@pytest.mark.parametrize('path', sites.KINDS)
async def test_request_of_a_connection_that_timed_out_never_arrives(path):
  with socket.socket() as listener, contextlib.ExitStack() as queued:
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    listener.setblocking(False)
    address = listener.getsockname()
    for _ in range(4):
      waiting = queued.enter_context(socket.socket())
      waiting.setblocking(False)
      waiting.connect_ex(address)
    async with sites.open_site(f'127.0.0.1:{address[1]}') as site:
      status = await site.ask('r', path)
      received = await drain_queue(listener)
  assert status in (502, 503)
  assert status == 502 or b'Request-Id' not in received


async def drain_queue(listener):
  """Accepts connections for two seconds; returns all bytes received on them."""
  loop = asyncio.get_running_loop()
  received = bytearray()

  async def read(connection):
    with connection, contextlib.suppress(OSError):
      while data := await loop.sock_recv(connection, 65536):
        received.extend(data)

  async with asyncio.TaskGroup() as group:
    tasks = []
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(2.0):
        while True:
          connection, _ = await loop.sock_accept(listener)
          connection.setblocking(False)
          tasks.append(group.create_task(read(connection)))
    for task in tasks:
      task.cancel()
  return bytes(received)


# Guards against a promise when the kernel accepts a connection for a frozen
# process, which reads the request after its caller was answered.
@pytest.mark.parametrize('path', sites.KINDS)
async def test_request_to_a_frozen_instance_runs_after_no_promise(path):
  with socket.socket() as listener:
    listener.bind(('127.0.0.1', 0))
    listener.listen(8)
    listener.setblocking(False)
    address = listener.getsockname()
    async with sites.open_site(f'127.0.0.1:{address[1]}') as site:
      status = await site.ask('r', path, deadline_ms=600)
      received = await drain_queue(listener)
  assert b'Request-Id' in received
  assert status == 502


# --- Refusals before the end of the body -------------------------------------


async def refuse_early(instance, reader, writer):
  while True:
    id, length = await instance.read_head(reader)
    writer.write(sites.refuse(id))
    await writer.drain()
    # The rest of the body is read later, as if the instance were busy.
    await asyncio.sleep(0.3)
    body = await reader.readexactly(length)
    instance.whole.append(id)
    assert not body.strip(b'x'), body[:200]


# Guards against a later request that is read as the rest of the body of one
# that was refused before its end, and against that rest read as a request.
@pytest.mark.parametrize('size', [60_000, 200_000, 2**22])
async def test_rest_of_a_refused_body_is_not_mixed_with_a_later_request(size):
  failures = []

  async def act(instance, reader, writer):
    try:
      await refuse_early(instance, reader, writer)
    except (AssertionError, ValueError, KeyError) as error:
      failures.append(error)

  async with (
    sites.run_instances(act) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    for id in 'abc':
      assert await site.ask(id, '/act/x', body=b'x' * size) == 503
    await asyncio.sleep(1.2)
    assert found[0].begun == ['a', 'b', 'c']
    assert failures == []


# --- The end of the daemon ----------------------------------------------------


# Guards against a promise to a caller whose request is under way when the time
# of the daemon's planned stop is over.
@pytest.mark.parametrize('path', sites.KINDS)
async def test_request_cut_by_the_stop_of_the_daemon_gets_no_promise(path):
  async with (
    sites.run_instances(stay_silent) as (found, addresses),
    sites.open_site(*addresses, finish=0.2) as site,
  ):
    task = asyncio.ensure_future(site.ask('r', path))
    await nodes.wait_until(lambda: found[0].whole)
    await site.runner.cleanup()
    assert await task == 0


# --- The end of a turn --------------------------------------------------------


# Guards against a promise for a turn that ran, when its end cannot be recorded
# and no byte of its response has been sent.
@pytest.mark.parametrize('body', [b'', sites.EVENTS])
async def test_turn_whose_end_is_not_recorded_gets_no_promise(body):
  async def act(instance, reader, writer):
    while True:
      id = await instance.read(reader)
      writer.write(sites.encode(id, body=body))

  async with (
    sites.run_instances(act) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):

    async def fail(message, *, home):
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE, 'No member is alive.'
      )

    site.fleet.by_name['n1'].serving._turn_client.close = fail
    status = await site.ask('r', '/chat/x')
    assert found[0].whole == ['r']
    assert status not in PROMISES


# --- Errors of the daemon between attempts ------------------------------------


async def lose_first_response(path, prepare):
  """Returns the status for a request whose first response is lost.

  `prepare` is called with the daemon before the response is lost.
  """
  lost = asyncio.Event()

  async def lose(instance, reader, writer):
    await instance.read(reader)
    lost.set()
    await asyncio.sleep(0.1)

  async with (
    sites.run_instances(lose, lose) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    task = asyncio.ensure_future(site.ask('r', path))
    await lost.wait()
    prepare(site.fleet.by_name['n1'].serving._attempts)
    status = await task
    assert sum(len(instance.whole) for instance in found) == 1
  return status


def make_refusal(code):
  def refuse(*_, **__):
    raise errors.WoadrunError(code, 'Refused.', retry_after=1.0)

  return refuse


# Guards against a promise for a request that may have run, when its next
# attempt is no longer allowed by the configuration or by the crash guard.
@pytest.mark.parametrize('path', ['/look/x', *sites.KINDS])
@pytest.mark.parametrize(
  'code', [errors.Code.TABLE_TOO_OLD, errors.Code.UNKNOWN_SERVICE]
)
async def test_refusal_after_a_lost_response_promises_nothing(code, path):
  def forbid(sender):
    sender._authorization.check = make_refusal(code)

  assert await lose_first_response(path, forbid) == 502


@pytest.mark.parametrize('path', ['/look/x', *sites.KINDS])
async def test_crash_guard_after_a_lost_response_promises_nothing(path):
  def forbid(sender):
    sender._guard.admit = make_refusal(errors.Code.UPSTREAM_UNAVAILABLE)

  assert await lose_first_response(path, forbid) == 502


# Guards against a promise for a stream that is given up because a partition
# cuts off its instance: the instance runs it all the same.
@pytest.mark.parametrize('path', ['/draft/x', '/chat/x'])
async def test_stream_given_up_in_a_partition_promises_nothing(path):
  async def run_late(instance, reader, writer):
    await instance.read_head(reader)
    await asyncio.sleep(1.0)
    instance.whole.append('late')

  async with (
    sites.run_instances(run_late) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    sender = site.fleet.by_name['n1'].serving._attempts
    task = asyncio.ensure_future(site.ask('r', path))
    await nodes.wait_until(lambda: found[0].begun)
    sender._partition_watch._is_cut_off = lambda domain: True
    assert await task == 502
    assert found[0].whole == []
    await nodes.wait_until(lambda: found[0].whole)
