"""Tests for pooled connections that stop passing data while new ones work."""

import asyncio
import contextlib
import socket
import types

import aiohttp
from aiohttp import web
import msgspec
import nodes
import pytest

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import tcp_connections
from woadrun.connection import turn_messages
from woadrun.platform import store
from woadrun.platform import upstream
from woadrun.process import fleet_heartbeats
from woadrun.request import exchange
from woadrun.request import store_waits
from woadrun.request import turn_client
from woadrun.version import instances


class BlackholeProxy:
  """A TCP proxy that can drop all data of the connections open at a time.

  `blackhole` makes all connections that are open drop their data from then on.
  They stay open, and new connections work.
  """

  def __init__(self, target):
    self.target = target
    self.blackholed = set()
    self.connections = set()

  async def serve(self, reader, writer):
    upstream_reader, upstream_writer = await asyncio.open_connection(
      '127.0.0.1', self.target
    )
    connection = object()
    self.connections.add(connection)
    with contextlib.suppress(ConnectionError):
      await asyncio.gather(
        self._pump(connection, reader, upstream_writer),
        self._pump(connection, upstream_reader, writer),
      )
    for end in (upstream_writer, writer):
      end.close()

  async def _pump(self, connection, reader, writer):
    while data := await reader.read(4096):
      if connection not in self.blackholed:
        writer.write(data)

  def blackhole(self):
    self.blackholed |= self.connections


@contextlib.asynccontextmanager
async def run_server_behind_proxy(answer):
  """Yields a proxy in front of a server, its address, and a session."""
  runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
  await runner.setup()
  target = nodes.find_port()
  await web.TCPSite(runner, '127.0.0.1', target).start()
  proxy = BlackholeProxy(target)
  server = await asyncio.start_server(proxy.serve, '127.0.0.1', 0)
  port = server.sockets[0].getsockname()[1]
  connector = tcp_connections.make_connector(limit=10, keepalive=30.0)
  async with aiohttp.ClientSession(connector=connector) as session:
    # The session keeps several connections alive.
    yield proxy, f'127.0.0.1:{port}', session
  server.close()
  await runner.cleanup()


async def answer_slowly(request):
  await request.read()
  await asyncio.sleep(0.05)
  body = msgspec.msgpack.encode(turn_messages.Closed())
  return web.Response(body=body, headers={'Request-Id': 'r'})


async def test_timeout_of_a_peer_abandons_all_its_connections():
  async with run_server_behind_proxy(answer_slowly) as (
    proxy,
    address,
    session,
  ):
    links = peers.Peers(
      session=session,
      key='',
      codec=msgspec.msgpack,
      addresses=tcp_connections.Addresses(),
    )

    async def post(timeout=0.4):
      return await links.post(
        address,
        'x',
        turn_messages.Closed(),
        type=turn_messages.Closed,
        timeout=timeout,
      )

    await asyncio.gather(*(post() for _ in range(3)))
    proxy.blackhole()
    with pytest.raises(errors.WoadrunError):
      await post()
    await asyncio.gather(*(post(5.0) for _ in range(3)))


async def test_timeout_of_the_store_abandons_all_its_connections():
  async def answer(request):
    await answer_slowly(request)
    return web.json_response({'rows': [], 'ver': 1})

  async with run_server_behind_proxy(answer) as (proxy, address, session):
    row_store = store.Store(
      session=session,
      address=address,
      timeout=0.4,
      addresses=tcp_connections.Addresses(),
    )
    await asyncio.gather(*(row_store.read('t', '') for _ in range(3)))
    proxy.blackhole()
    with pytest.raises(errors.WoadrunError):
      await row_store.read('t', '')
    await row_store.read('t', '')


async def test_timeout_of_an_instance_abandons_all_its_connections():
  async with run_server_behind_proxy(answer_slowly) as (
    proxy,
    address,
    session,
  ):
    found = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    instance = instances.Instance(
      id='i', service='s', address=address, domain='d', started_ms=1000
    )

    async def send():
      sending = exchange.RequestAttempt(
        request=nodes.make_request('r', path='/look/'),
        instance=instance,
        body=b'',
        seconds=20.0,
      )
      async with found.send(sending) as reply:
        return [chunk async for chunk in reply.chunks]

    await asyncio.gather(*(send() for _ in range(3)))
    proxy.blackhole()
    with pytest.raises(TimeoutError):
      # The caller times out.
      async with asyncio.timeout(upstream.SILENCE_THRESHOLD_SECONDS + 0.1):
        await send()
    async with asyncio.timeout(5):
      await asyncio.gather(*(send() for _ in range(3)))


async def test_message_to_owner_is_resent_when_a_connection_passes_no_data():
  class Links:
    asked = 0
    silent = ()

    async def post(self, *_, **__):
      self.asked += 1
      if self.asked == 1:
        await asyncio.Event().wait()
      return turn_messages.OpenedTurn(instance='found')

    def reset_connections(self, address):
      self.silent = (*self.silent, address)

  links = Links()
  owner = fleet_heartbeats.Member(
    name='n2', address='127.0.0.1:7', domain='north'
  )
  members = types.SimpleNamespace(
    me=fleet_heartbeats.Member(
      name='n1', address='127.0.0.1:6', domain='north'
    ),
    rank=lambda program, domain: [owner],
    is_alive=lambda name: True,
  )
  leave = turn_client.TurnClient(
    members=members,
    local=None,
    messenger=links,
    store=types.SimpleNamespace(is_reachable=True),
    turns=None,
    waits=store_waits.StoreWaits(),
    get_outage=lambda: 0.0,
  )
  request = nodes.make_request('r', path='/chat/')
  async with asyncio.timeout(turn_client.POST_TIMEOUT_SECONDS - 0.5):
    opened = await leave.open(request, exchange.TurnInfo(program='p'))
  assert opened.instance == 'found'
  assert links.silent == (owner.address,)


def test_sockets_detect_dead_connections():
  info = (socket.AF_INET, socket.SOCK_STREAM, 0, '', ())
  with tcp_connections.make_socket(info) as made:
    assert made.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    found = made.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    assert found == tcp_connections.USER_TIMEOUT_MS


@pytest.mark.parametrize(
  ('error', 'is_failed'),
  [(errors.WoadrunError, False), (peers.NoAnswer, True)],
)
async def test_only_a_peer_that_does_not_answer_counts_as_failed(
  error, is_failed
):
  class Links:
    async def post(self, *_, **__):
      raise error(
        errors.Code.OWNER_UNAVAILABLE, 'The share of the budget is spent.'
      )

  failed = []
  owner = fleet_heartbeats.Member(
    name='n2', address='127.0.0.1:7', domain='north'
  )
  members = types.SimpleNamespace(
    me=fleet_heartbeats.Member(
      name='n1', address='127.0.0.1:6', domain='north'
    ),
    member_by_name={'n2': owner},
    domains={'north'},
    rank=lambda program, domain: [owner],
    is_alive=lambda name: True,
    record_failure=failed.append,
  )
  leave = turn_client.TurnClient(
    members=members,
    local=None,
    messenger=Links(),
    store=types.SimpleNamespace(is_reachable=True),
    turns=None,
    waits=store_waits.StoreWaits(),
    get_outage=lambda: 0.0,
  )
  request = nodes.make_request('r', path='/chat/')
  with pytest.raises(errors.WoadrunError):
    await leave.open(request, exchange.TurnInfo(program='p'))
  assert failed == (['n2'] if is_failed else [])


# Guards against requests that wait on further silent connections while the
# first one waits until its deadline, and against connections that stay open.
async def test_idle_connections_are_closed_while_a_request_waits():
  async with run_server_behind_proxy(answer_slowly) as (
    proxy,
    address,
    session,
  ):
    found = upstream.HttpUpstreams(
      session=session,
      addresses=tcp_connections.Addresses(connector=session.connector),
    )
    instance = instances.Instance(
      id='i', service='s', address=address, domain='d', started_ms=1000
    )

    async def send(silence_seconds=20.0):
      sending = exchange.RequestAttempt(
        request=nodes.make_request('r', path='/look/'),
        instance=instance,
        body=b'',
        seconds=20.0,
        silence_seconds=silence_seconds,
      )
      async with found.send(sending) as reply:
        return [chunk async for chunk in reply.chunks]

    await asyncio.gather(*(send() for _ in range(3)))
    proxy.blackhole()
    waiting = asyncio.ensure_future(send(silence_seconds=0.1))
    await nodes.wait_until(lambda: not session.connector._conns)
    async with asyncio.timeout(5):
      await asyncio.gather(*(send() for _ in range(3)))
    assert not waiting.done()
    waiting.cancel()


async def test_a_second_silent_connection_keeps_the_new_connections():
  addresses = tcp_connections.Addresses()
  generation = addresses.get_generation('127.0.0.1:1')
  addresses.reset_connections('127.0.0.1:1', generation=generation)
  host = addresses.get_host('127.0.0.1:1')
  addresses.reset_connections('127.0.0.1:1', generation=generation)
  assert addresses.get_host('127.0.0.1:1') == host
