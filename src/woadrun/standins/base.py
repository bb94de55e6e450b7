"""The base of all stand-ins: an HTTP server with fault injection.

`POST /faults` with a JSON object sets the faults: `down` (answer every request
with 503), `delay` (seconds before each answer), `lose` (number of following
writes that are applied but whose connection is aborted instead of answered),
`rate` (limit in requests per second, 429 above it; 0 for no limit).

Requests from the IP addresses in `StandIn.cut` are delayed by
`PARTITION_DELAY_SECONDS`, which is longer than any client waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import time
from typing import Any

from aiohttp import web
import msgspec

MAX_BODY_BYTES = 256_000_000
# Delay of requests from a partitioned client: longer than any client waits, so
# that the client sees no answer.
PARTITION_DELAY_SECONDS = 30.0
SHUTDOWN_TIMEOUT_SECONDS = 0.1


class Faults(msgspec.Struct, kw_only=True):
  """The faults that are currently injected."""

  down: bool = False
  delay: float = 0.0
  lose: int = 0
  rate: float = 0.0


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
    return response

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
