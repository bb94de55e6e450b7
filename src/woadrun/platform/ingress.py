"""HTTP endpoints for the platform's callers and its load balancer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import logging
import time

from aiohttp import web

from woadrun import errors
from woadrun.connection import caller_bounds
from woadrun.connection import callers_server
from woadrun.connection import memory_account
from woadrun.connection import request_bodies
from woadrun.connection import request_heads
from woadrun.connection import response_ends
from woadrun.platform import wire
from woadrun.process import planned_stop
from woadrun.request import exchange
from woadrun.request import serving
from woadrun.version import routes

log = logging.getLogger('woadrun.ingress')

# Hard limit for the body of a request; the operator's limit is lower.
MAX_BODY_BYTES = 16 * 1024 * 1024


class _UnframedResponse(web.StreamResponse):
  """A response without length and chunks, which ends with its connection."""

  # aiohttp would otherwise send chunks.
  _length_check = False


class Ingress:
  """Passes callers' requests to `service` and writes the responses.

  `is_ready` returns whether the load balancer should send new connections.
  During the planned stop `stop`, and while `is_cut_off` returns that others
  serve callers better, each connection is closed after the last request that
  has begun on it.  `account` counts the bodies of requests.
  `read_limits` returns the operator's limits on requests, and `on_close` is
  called with the reason of each connection that is closed for others.
  """

  def __init__(
    self,
    *,
    service: serving.RequestHandler,
    is_ready: Callable[[], bool],
    stop: planned_stop.PlannedStop,
    read_metrics: Callable[[], bytes],
    account: memory_account.Account,
    read_limits: Callable[[], routes.Limits] = routes.Limits,
    on_close: Callable[[caller_bounds.Reason], None] = lambda reason: None,
    is_cut_off: Callable[[], bool] = lambda: False,
  ) -> None:
    self.read_limits = read_limits
    self.account = account
    self.on_close = on_close
    self._service = service
    self._read_metrics = read_metrics
    self._is_ready = is_ready
    self._is_cut_off = is_cut_off
    self._stop = stop

  async def handle_ready(self, _: web.BaseRequest) -> web.StreamResponse:
    """Returns 200 while the daemon accepts new connections, else 503."""
    return web.Response(status=200 if self._is_ready() else 503)

  async def handle_metrics(self, _: web.BaseRequest) -> web.StreamResponse:
    """Returns the daemon's metrics as text."""
    return web.Response(body=self._read_metrics(), content_type='text/plain')

  async def answer(self, http: web.BaseRequest) -> web.StreamResponse:
    """Returns the response to a caller's request, streamed to the caller."""
    id = http.headers.get(wire.REQUEST_ID, '')
    kind = memory_account.Kind.REQUEST
    with contextlib.ExitStack() as stack:
      try:
        stack.enter_context(
          caller_bounds.hold_call(
            self.account,
            id,
            http._message,
            has_next=callers_server.has_next(http),
          )
        )
      except memory_account.MemoryExceeded:
        return self._make_error_response(
          http, request_bodies.make_rejection(), id
        )
      holder = stack.enter_context(self.account.hold(kind, id))
      return await self._answer(http, id, holder)

  async def _answer(
    self, http: web.BaseRequest, id: str, holder: memory_account.Holder
  ) -> web.StreamResponse:
    limits = self.read_limits()
    received_at = time.monotonic()
    try:
      request_heads.check_size(http, limit=limits.header_bytes)
      seconds = wire.get_deadline_seconds(http.headers)
      async with self._stop.reject_late():
        body = await request_bodies.read(
          http,
          holder,
          limit=min(MAX_BODY_BYTES, limits.body_bytes),
          patience=limits.idle_timeout,
          # A request cannot run once its deadline has passed.
          seconds=min(
            request_bodies.MAX_SECONDS if seconds is None else seconds,
            request_bodies.MAX_SECONDS,
          ),
          invites=True,
        )
      request = wire.decode_request(
        method=http.method,
        target=http.raw_path,
        headers=http.headers,
        body=body,
        received_at=received_at,
        connected_at=callers_server.get_opened_at(http),
      )
    except errors.WoadrunError as error:
      log.info('Request %s: %s: %s', id, error.code.value, error.message)
      return self._make_error_response(http, error, id)
    response: web.StreamResponse | None = None
    try:
      async with self._service.handle_request(request) as answer:
        response = self._make_response(http, answer)
        await self._write(http, response, answer)
    except (exchange.ResponseLost, errors.WoadrunError) as error:
      if response is None and isinstance(error, errors.WoadrunError):
        return self._make_error_response(http, error, id)
      if response is None:
        raise
    return response

  def _closes_after(self, http: web.BaseRequest) -> bool:
    ends = self._stop.has_begun or self._is_cut_off()
    return ends and not callers_server.has_next(http)

  def _make_response(
    self, http: web.BaseRequest, answer: exchange.Answer
  ) -> web.StreamResponse:
    # A last chunk would assure the caller that the response is complete.
    make = (
      _UnframedResponse if answer.ends_with_connection else web.StreamResponse
    )
    response = make(status=answer.status, headers=list(answer.headers))
    if self._closes_after(http) or answer.ends_with_connection:
      response.force_close()
    return response

  async def _write(
    self,
    http: web.BaseRequest,
    response: web.StreamResponse,
    answer: exchange.Answer,
  ) -> None:
    """Writes a response; if it breaks off, aborts the connection and raises."""
    id = http.headers.get(wire.REQUEST_ID, '')
    try:
      response_ends.begin_head(http, is_unframed=answer.ends_with_connection)
      await response.prepare(http)
      response_ends.begin_body(http, response)
      async with contextlib.aclosing(answer.chunks) as chunks:
        async for chunk in chunks:
          await response.write(chunk)
      await response.write_eof()
      await response_ends.complete_body(http, response)
    except (exchange.ResponseLost, errors.WoadrunError) as error:
      log.warning('Request %s: response aborted: %s', id, error)
      response_ends.abort_body(http)
      raise
    except (ConnectionError, asyncio.CancelledError):
      reason = callers_server.get_close_reason(http)
      log.info(
        'Request %s: %s.',
        id,
        f'its connection was closed, {reason}'
        if reason
        else 'the caller disconnected',
      )
      raise

  def _make_error_response(
    self, http: web.BaseRequest, error: errors.WoadrunError, id: str
  ) -> web.Response:
    status, headers = wire.encode_error(error, id)
    response = web.Response(status=status, headers=headers)
    # The rest of a body that was rejected does not become a request.
    if self._closes_after(http) or not http.content.is_eof():
      response.force_close()
    return response
