"""Tests that callers of a domain that is cut off go on at others."""

import asyncio
import contextlib
import math
import time

from aiohttp import web
import nodes
import pytest

from woadrun import errors
from woadrun.connection import memory_account
from woadrun.platform import ingress
from woadrun.platform import program
from woadrun.process import diversion
from woadrun.request import exchange


class Cut:
  """What a daemon knows of its cut: whether it is cut off."""

  def __init__(self):
    self.is_cut_off = False
    self.diversion = diversion.Diversion(is_cut_off=lambda: self.is_cut_off)

  def check(self, count=1):
    """Answers some readiness checks; returns the answers."""
    return [self.diversion.answer_check() for _ in range(count)]


def test_readiness_follows_the_cut():
  cut = Cut()
  assert cut.check() == [True]
  cut.is_cut_off = True
  assert cut.check(4) == [False] * 4
  cut.is_cut_off = False
  assert cut.check() == [True]


# Guards against callers that are sent on while the balancer still chooses other
# members of the same domain, which use up their tries.
def test_callers_are_diverted_after_some_checks_in_a_row():
  cut = Cut()
  connected = 0.0
  cut.is_cut_off = True
  cut.check(diversion.CHECKS_UNTIL_DIVERTED - 1)
  assert not cut.diversion.is_diverted(connected)
  cut.is_cut_off = False
  cut.check()
  cut.is_cut_off = True
  cut.check(diversion.CHECKS_UNTIL_DIVERTED - 1)
  assert not cut.diversion.is_diverted(connected)
  cut.check()
  assert cut.diversion.is_diverted(connected)
  # The cut has ended; the next check is still to come.
  cut.is_cut_off = False
  assert not cut.diversion.is_diverted(connected)


# Guards against callers that are sent back and forth where the balancer has no
# other daemon.
def test_a_connection_that_the_balancer_still_sends_is_served():
  cut = Cut()
  cut.is_cut_off = True
  cut.check(diversion.CHECKS_UNTIL_DIVERTED)
  assert not cut.diversion.is_diverted(math.inf)


async def test_waits_end_as_callers_are_diverted():
  cut = Cut()
  cut.is_cut_off = True
  ends = asyncio.Event()

  async def wait(connected_at):
    async with cut.diversion.bound(connected_at):
      await ends.wait()

  old, new = 0.0, math.inf
  waits = [asyncio.ensure_future(wait(at)) for at in (old, new)]
  # Both wait now.
  await asyncio.sleep(0)
  cut.check(diversion.CHECKS_UNTIL_DIVERTED)
  # It begins after the others were ended.
  waits.append(asyncio.ensure_future(wait(old)))
  for diverted in (waits[0], waits[2]):
    with pytest.raises(diversion.Diverted):
      await diverted
  assert not waits[1].done()
  ends.set()
  await waits[1]
  assert cut.diversion.diverted == 2


@contextlib.asynccontextmanager
async def start_and_cut_off():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    fleet.cut_off('north')
    yield fleet, fleet.by_name['n1']


def divert(daemon):
  for _ in range(diversion.CHECKS_UNTIL_DIVERTED):
    assert not daemon.answer_readiness_check()


async def test_a_daemon_that_is_cut_off_is_not_ready_for_callers():
  async with start_and_cut_off() as (fleet, daemon):
    assert daemon.answer_readiness_check()
    await nodes.wait_until(daemon.is_cut_off)
    assert not daemon.answer_readiness_check()
    assert daemon.is_ready()
    assert fleet.by_name['s1'].answer_readiness_check()
    fleet.heal('north')
    await nodes.wait_until(daemon.answer_readiness_check)


# Guards against a fleet without any daemon for callers, as all lose the store.
async def test_daemons_that_only_lose_the_store_stay_ready():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    fleet.shared.is_out = True
    daemons = list(fleet.by_name.values())
    await nodes.wait_until(
      lambda: not any(d.store.is_reachable for d in daemons)
    )
    await asyncio.sleep(1.5)
    assert all(d.answer_readiness_check() for d in daemons)


def make_turn_request(id, *, parent, connected_at):
  turn = exchange.TurnInfo(
    program='p', parent=parent, max_output=10, budget=1000, prompt_tokens=9
  )
  return exchange.Request(
    id=id,
    method='POST',
    host='h',
    target='/chat/x',
    headers=[],
    body=f'<{id}>'.encode(),
    deadline=time.monotonic() + 10.0,
    connected_at=connected_at,
    turn=turn,
  )


async def read_whole(daemon, request):
  async with daemon.serving.handle_request(request) as answer:
    return [chunk async for chunk in answer.chunks]


# Guards against turns that wait for the end of a cut, though their callers can
# go on in another domain.
async def test_a_held_turn_is_refused_as_its_caller_can_go_on_elsewhere():
  async with start_and_cut_off() as (fleet, daemon):
    await nodes.wait_until(daemon.is_cut_off)
    before = make_turn_request('b', parent='a', connected_at=0.0)
    # Its connection is opened after the balancer has taken the daemon out.
    after = make_turn_request('c', parent='a', connected_at=math.inf)
    held = [
      asyncio.ensure_future(read_whole(daemon, r)) for r in (before, after)
    ]
    await asyncio.sleep(0.1)
    assert not any(task.done() for task in held)
    divert(daemon)
    with pytest.raises(errors.WoadrunError) as caught:
      await held[0]
    assert caught.value.code is errors.Code.OWNER_UNAVAILABLE
    assert caught.value.ran is errors.RunStatus.NOT_RUN
    assert caught.value.retry_after == 0.0
    assert not held[1].done()
    fleet.heal('north')
    assert len(await held[1]) == 2


# Guards against the same at the end of a turn, which others run again.
async def test_a_held_end_breaks_off_as_its_caller_can_go_on_elsewhere():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    daemon = fleet.by_name['n1']
    cuts, received = [], []

    async def stream(id):
      yield b'data: 1\n\n'
      fleet.cut_off('north')
      cuts.append(id)
      yield b'data: 2\n\n'

    fleet.engines._stream = stream
    fleet.engines.is_at_end = lambda: bool(cuts)

    async def read():
      request = make_turn_request('b', parent='a', connected_at=0.0)
      async with daemon.serving.handle_request(request) as answer:
        async for chunk in answer.chunks:
          received.append(chunk)

    running = asyncio.ensure_future(read())
    await nodes.wait_until(daemon.is_cut_off)
    assert not running.done()
    divert(daemon)
    with pytest.raises(errors.WoadrunError) as caught:
      await running
    assert caught.value.code is errors.Code.NOT_COMMITTED
    # The last chunk is no use without the end.
    assert received == [b'data: 1\n\n']
    assert not fleet.has_turn('b')
    # Another domain, which has the store, runs it from its start.
    fleet.engines._stream = type(fleet.engines)._stream.__get__(fleet.engines)
    await fleet.turn('s1', 'again', parent='a')
    assert fleet.get_body('again') == b'<a>a-0\na-1\n<again>'


@contextlib.asynccontextmanager
async def serve(daemon):
  entry = ingress.Ingress(
    service=daemon.serving,
    is_ready=daemon.answer_readiness_check,
    is_cut_off=daemon.is_cut_off,
    stop=daemon.planned_stop,
    read_metrics=daemon.counters.encode,
    account=memory_account.Account(),
  )
  runner = program.make_callers_runner(entry, finish=2.0)
  await runner.setup()
  port = nodes.find_port()
  await web.TCPSite(runner, '127.0.0.1', port).start()
  yield port
  await runner.cleanup()


# Guards against callers that keep a connection to a daemon that is cut off.
async def test_a_daemon_that_is_cut_off_closes_connections_after_answers():
  async with start_and_cut_off() as (fleet, daemon), serve(daemon) as port:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    heads = []
    for number in range(2):
      lines = ('GET /look/x HTTP/1.1', 'Host: h', f'Request-Id: r{number}')
      writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
      heads.append(await reader.readuntil(b'\r\n\r\n'))
      if not number:
        while await reader.readline() != b'0\r\n':
          pass
        await reader.readline()
        await nodes.wait_until(daemon.is_cut_off)
    # Plain requests go on.
    assert all(head.startswith(b'HTTP/1.1 200') for head in heads)
    assert [b'Connection: close' in head for head in heads] == [False, True]
    writer.close()
    fleet.heal('north')


# Guards against callers that are all sent to a daemon that started in a domain
# that is cut off, which has no silence of its own to go by yet.
async def test_a_daemon_that_starts_while_cut_off_is_not_ready_for_callers():
  async with start_and_cut_off() as (fleet, daemon):
    await nodes.wait_until(daemon.is_cut_off)
    address = daemon.config.peers_address
    await fleet.stop('n1')
    started = await fleet.start_alone('n1', address=address)
    await nodes.wait_until(
      lambda: started.is_ready() and started.fleet.last_heartbeat_by_name
    )
    assert not started.fleet.find_silent_domains()
    assert not started.answer_readiness_check()
