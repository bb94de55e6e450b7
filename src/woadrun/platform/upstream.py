"""Requests to instances of the platform's services, over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import hashlib
import socket

import aiohttp
from aiohttp import abc
import yarl

from woadrun.platform import wire
from woadrun.request import exchange
from woadrun.version import instances

# An instance that is there takes a connection within a round trip; one
# that is dark or cut off never does.  In seconds.
CONNECT_SECONDS = 0.5
# What the client library would add by itself.
_NOT_ADDED = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')


class LifeResolver(abc.AbstractResolver):
  """Resolves the names that stand for lives of instances, by themselves.

  Connections are kept by host name: one of an instance's life before is so
  never used for the next one at the same address, which would lose a request.
  """

  async def resolve(
    self,
    host: str,
    port: int = 0,
    family: socket.AddressFamily = socket.AF_INET,
  ) -> list[abc.ResolveResult]:
    """Returns the address in a name; nothing is looked up."""
    _, _, ip = host.partition('.')
    return [
      abc.ResolveResult(
        hostname=host,
        host=ip,
        port=port,
        family=socket.AF_INET,
        proto=0,
        flags=socket.AI_NUMERICHOST,
      )
    ]

  async def close(self) -> None:
    """Does nothing: there is nothing to close."""


def get_host(instance: instances.Instance) -> str:
  """Returns IP:PORT, the IP behind a name of the life where it has one."""
  if not instance.born:
    return instance.address
  life = hashlib.blake2b(instance.life.encode(), digest_size=8).hexdigest()
  return f'l{life}.{instance.address}'


class HttpUpstreams:
  """Sends each request once; implements `exchange.Upstreams`."""

  def __init__(self, *, session: aiohttp.ClientSession) -> None:
    self._session = session

  @contextlib.asynccontextmanager
  async def send(
    self, sending: exchange.Sending
  ) -> AsyncIterator[exchange.Reply]:
    """Returns a context with the reply; leaving it ends the request."""
    response = await self._request(sending)
    try:
      yield exchange.Reply(
        status=response.status,
        headers=wire.decode_reply_headers(response.headers),
        has_run=wire.has_run(response.status, response.headers),
        is_genuine=wire.is_genuine(sending.request.id, response.headers),
        chunks=_read(response),
        abort=response.close,
        is_reusable=lambda: _is_reusable(response),
      )
      if not wire.has_run(response.status, response.headers):
        await _drain(response)
    finally:
      # A body that was not read to its end closes the connection.
      if response.content.at_eof():
        response.release()
      else:
        response.close()

  async def _request(self, sending: exchange.Sending) -> aiohttp.ClientResponse:
    request = sending.request
    url = yarl.URL(
      f'http://{get_host(sending.instance)}{request.target}', encoded=True
    )
    timeout = aiohttp.ClientTimeout(
      total=sending.seconds, sock_connect=CONNECT_SECONDS
    )
    try:
      return await self._session.request(
        request.method,
        url,
        data=sending.body or None,
        headers=wire.encode_headers(sending),
        skip_auto_headers=_NOT_ADDED,
        allow_redirects=False,
        timeout=timeout,
      )
    except (
      aiohttp.ClientConnectorError,
      aiohttp.ConnectionTimeoutError,
    ) as error:
      raise exchange.NotSent(str(error) or type(error).__name__) from error
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
      raise exchange.Lost(str(error) or type(error).__name__) from error


def _is_reusable(response: aiohttp.ClientResponse) -> bool:
  return response.content.at_eof() and not wire.is_last(response.headers)


async def _read(response: aiohttp.ClientResponse) -> AsyncGenerator[bytes]:
  try:
    async for chunk in response.content.iter_any():
      yield chunk
  except (aiohttp.ClientError, TimeoutError, OSError) as error:
    raise exchange.Lost(str(error) or type(error).__name__) from error


async def _drain(response: aiohttp.ClientResponse) -> None:
  # So that the connection can be used again.
  with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
    async with asyncio.timeout(0.1):
      await response.read()
