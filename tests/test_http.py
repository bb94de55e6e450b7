"""Tests for calls of outside systems over real connections."""

import asyncio
import contextlib

import aiohttp
import pytest

from woadrun import errors
from woadrun.connection import http


@contextlib.asynccontextmanager
async def run_server(*, is_listening=True):
  """Yields a server that loses the connection of each request.

  Without `is_listening` it refuses connections after the first request.
  """
  received = []

  async def serve(reader, writer):
    received.append(await reader.readuntil(b'\r\n\r\n'))
    if not is_listening:
      server.close()
    writer.transport.abort()

  server = await asyncio.start_server(serve, '127.0.0.1', 0)
  port = server.sockets[0].getsockname()[1]
  yield f'http://127.0.0.1:{port}/', received
  server.close()


@pytest.mark.parametrize('method', ['PUT', 'DELETE', 'POST'])
@pytest.mark.parametrize('is_listening', [True, False])
async def test_a_write_whose_connection_is_lost_is_sent_once_and_may_have_run(
  method, is_listening
):
  async with (
    run_server(is_listening=is_listening) as (url, received),
    aiohttp.ClientSession() as session,
  ):
    with pytest.raises(errors.WoadrunError) as caught:
      await http.send(session, method, url, timeout=5.0)
  assert len(received) == 1
  assert caught.value.ran is errors.RunStatus.UNKNOWN
