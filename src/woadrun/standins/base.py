"""The base of all stand-ins: an HTTP server with fault injection.

`POST /faults` with a JSON object sets the faults: `down` (answer every request
with 503), `delay` (seconds before each answer), `lose` (number of following
writes that are applied but whose connection is aborted instead of answered),
`rate` (limit in requests per second, 429 above it; 0 for no limit), `unframed`
(send answers without length and chunks, which end with their connection),
`truncate` (number of following answers to POST requests of which only a half is
sent) and `reset` (end these with a reset, else with an orderly close).

Requests from the IP addresses in `StandIn.cut` are delayed by
`PARTITION_DELAY_SECONDS`, which is longer than any client waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import socket
import struct
import time
from typing import Any

from aiohttp import hdrs
from aiohttp import web
import msgspec

MAX_BODY_BYTES = 256_000_000
# Delay of requests from a partitioned client: longer than any client waits, so
# that the client sees no answer.
PARTITION_DELAY_SECONDS = 30.0
SHUTDOWN_TIMEOUT_SECONDS = 0.1
# Value of SO_LINGER with which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Faults(msgspec.Struct, kw_only=True):
  """The faults that are currently injected."""

  down: bool = False
  delay: float = 0.0
  lose: int = 0
  rate: float = 0.0
  unframed: bool = False
  truncate: int = 0
  reset: bool = False


class _UnframedResponse(web.StreamResponse):
  """A response without length and chunks, which ends with its connection."""

  # aiohttp would otherwise send chunks.
  _length_check = False


class StandIn:
  """An HTTP server that stands in for one external system."""

  def __init__(self) -> None:
    self.faults = Faults()
    self.cut: set[str] = set()
    self.requests = 0
    self.writes = 0
    self.refused = 0
    self._rate_tokens = 0.0
    self._refilled_at = time.monotonic()
    self._runner: web.AppRunner | None = None
    self.url = ''

  def get_routes(self) -> Iterable[web.RouteDef]:
    """Returns the routes of the external system's interface."""
    raise NotImplementedError

  async def start(self, host: str = '127.0.0.1', port: int = 0) -> str:
    """Starts the server and returns its base URL."""
    application = web.Application(
      client_max_size=MAX_BODY_BYTES, middlewares=[self._apply_faults]
    )
    application.add_routes(self.get_routes())
    application.add_routes([web.post('/faults', self._set_faults)])
    self._runner = web.AppRunner(
      application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
    )
    await self._runner.setup()
    await web.TCPSite(self._runner, host, port).start()
    found_host, found_port = self._runner.addresses[0][:2]
    self.url = f'http://{found_host}:{found_port}'
    return self.url

  async def stop(self) -> None:
    """Stops the server."""
    if self._runner is not None:
      await self._runner.cleanup()

  async def _set_faults(self, request: web.Request) -> web.Response:
    self.faults = msgspec.json.decode(await request.read(), type=Faults)
    return make_json_response({})

  @web.middleware
  async def _apply_faults(
    self, request: web.Request, handler: Any
  ) -> web.StreamResponse:
    if request.path == '/faults':
      response: web.StreamResponse = await handler(request)
      return response
    self.requests += 1
    if request.remote in self.cut:
      await asyncio.sleep(PARTITION_DELAY_SECONDS)
    if self.faults.down or not self._is_within_rate():
      self.refused += 1
      return web.Response(status=503 if self.faults.down else 429)
    if self.faults.delay:
      await asyncio.sleep(self.faults.delay)
    response = await handler(request)
    if request.method in ('PUT', 'POST', 'DELETE'):
      self.writes += 1
      if self.faults.lose and request.transport is not None:
        self.faults.lose -= 1
        request.transport.abort()
    if isinstance(response, web.Response) and not response.prepared:
      return await self._send_body(request, response)
    return response

  async def _send_body(
    self, request: web.Request, response: web.Response
  ) -> web.StreamResponse:
    """Sends a response with the faults of its framing and its end, if any."""
    is_truncated = self.take_truncation(request)
    if not is_truncated and not self.faults.unframed:
      return response
    body = response.body if isinstance(response.body, bytes) else b''
    sent = self.make_stream(status=response.status)
    sent.headers.extend(response.headers)
    sent.headers.pop(hdrs.CONTENT_LENGTH, None)
    if not self.faults.unframed:
      sent.content_length = len(body)
    await sent.prepare(request)
    await sent.write(body[: len(body) // 2] if is_truncated else body)
    if is_truncated:
      self.break_off(request)
    return sent

  def make_stream(self, *, status: int = 200) -> web.StreamResponse:
    """Returns a response to be streamed, with the framing of the faults."""
    if not self.faults.unframed:
      return web.StreamResponse(status=status)
    response = _UnframedResponse(status=status)
    response.force_close()
    return response

  def take_truncation(self, request: web.Request) -> bool:
    """Returns whether to truncate the response, and counts it if so."""
    if not self.faults.truncate or request.method != 'POST':
      return False
    self.faults.truncate -= 1
    return True

  def break_off(self, request: web.Request) -> None:
    """Ends the connection of a response that is truncated."""
    transport = request.transport
    if transport is None:
      return
    if self.faults.reset:
      transport.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
      )
      transport.abort()
    else:
      transport.close()

  def _is_within_rate(self) -> bool:
    rate = self.faults.rate
    if not rate:
      return True
    now = time.monotonic()
    self._rate_tokens = min(
      rate, self._rate_tokens + (now - self._refilled_at) * rate
    )
    self._refilled_at = now
    if self._rate_tokens < 1:
      return False
    self._rate_tokens -= 1
    return True


def make_json_response(data: Any, status: int = 200) -> web.Response:
  """Returns a response with `data` encoded as JSON."""
  return web.Response(
    body=msgspec.json.encode(data),
    status=status,
    content_type='application/json',
  )
