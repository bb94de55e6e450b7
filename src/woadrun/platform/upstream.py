"""Requests to instances of the platform's services, over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import time

import aiohttp
import yarl

from woadrun.connection import fresh
from woadrun.platform import wire
from woadrun.request import exchange

# An instance that is there takes a connection within a round trip; one
# that is dark or cut off never does.  In seconds.
CONNECT_SECONDS = 0.5
# An answer that has not begun after so long may be due to a connection that
# went silent, in seconds: turns that wait for a place take less.
SILENT_SECONDS = 1.0
# What the client library would add by itself.
_NOT_ADDED = ('Accept', 'Accept-Encoding', 'User-Agent', 'Content-Type')


class HttpUpstreams:
  """Sends each request once; implements `exchange.Upstreams`."""

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    addresses: fresh.Addresses,
  ) -> None:
    self._session = session
    self._addresses = addresses

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
    instance = sending.instance
    host = self._addresses.get_host(
      instance.address, life=instance.life if instance.born else ''
    )
    url = yarl.URL(f'http://{host}{request.target}', encoded=True)
    began = time.monotonic()
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
      self._note_silence(sending, began)
      raise exchange.Lost(str(error) or type(error).__name__) from error
    except asyncio.CancelledError:
      # Its caller has given up.
      self._note_silence(sending, began)
      raise

  def _note_silence(self, sending: exchange.Sending, began: float) -> None:
    if time.monotonic() - began > SILENT_SECONDS:
      self._addresses.note_silence(sending.instance.address)


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
