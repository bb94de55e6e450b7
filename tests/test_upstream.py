"""HTTP client for instances, tested over real connections."""

import asyncio
import dataclasses

import aiohttp
from aiohttp import web
import nodes
import pytest

from woadrun.connection import tcp_connections
from woadrun.platform import upstream
from woadrun.request import exchange
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
        with pytest.raises(exchange.Lost):
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
          born=born,
        ),
        body=b'',
        seconds=20.0,
      )
      async with client.send(sending) as reply:
        assert [chunk async for chunk in reply.chunks] == [b'x']
  assert ports[0] == ports[1] != ports[2]
  await runner.cleanup()
