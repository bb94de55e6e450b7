"""The platform's callers and its balancer: their HTTP, read and written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import logging

from aiohttp import web

from woadrun import errors
from woadrun.platform import wire
from woadrun.request import exchange
from woadrun.request import serving

log = logging.getLogger('woadrun.ingress')


class Ingress:
  """Hands callers' requests to the serving part and writes its answers.

  `is_ready` tells the balancer whether to send new connections;
  `is_leaving` ends each connection with its next answer.
  """

  def __init__(
    self,
    *,
    service: serving.Serving,
    is_ready: Callable[[], bool],
    is_leaving: Callable[[], bool],
    read_metrics: Callable[[], bytes],
  ) -> None:
    self._service = service
    self._read_metrics = read_metrics
    self._is_ready = is_ready
    self._is_leaving = is_leaving

  async def answer_ready(self, _: web.BaseRequest) -> web.StreamResponse:
    """Returns 200 while new connections are welcome, else 503."""
    return web.Response(status=200 if self._is_ready() else 503)

  async def answer_metrics(self, _: web.BaseRequest) -> web.StreamResponse:
    """Returns the daemon's figures as text."""
    return web.Response(body=self._read_metrics(), content_type='text/plain')

  async def answer(self, http: web.BaseRequest) -> web.StreamResponse:
    """Returns the answer to a caller's request, written as it comes."""
    id = http.headers.get(wire.REQUEST_ID, '')
    try:
      body = await http.read()
      request = wire.decode_request(
        method=http.method,
        target=http.raw_path,
        headers=http.headers,
        body=body,
      )
    except errors.WoadrunError as error:
      log.info('Request %s: %s: %s', id, error.code.value, error.message)
      return self._make_refusal(error, id)
    except web.HTTPRequestEntityTooLarge:
      log.info('Request %s: its body is too large.', id)
      return web.Response(status=413)
    try:
      async with self._service.answer(request) as answer:
        return await self._write(http, answer)
    except errors.WoadrunError as error:
      return self._make_refusal(error, id)

  async def _write(
    self, http: web.BaseRequest, answer: exchange.Answer
  ) -> web.StreamResponse:
    response = web.StreamResponse(
      status=answer.status, headers=list(answer.headers)
    )
    if self._is_leaving():
      response.force_close()
    try:
      await response.prepare(http)
      async with contextlib.aclosing(answer.chunks) as chunks:
        async for chunk in chunks:
          await response.write(chunk)
      await response.write_eof()
    except (exchange.Lost, errors.WoadrunError) as error:
      # What was begun must not look complete.
      id = http.headers.get(wire.REQUEST_ID, '')
      log.warning('Request %s: answer broken off: %s', id, error)
      if http.transport is not None:
        http.transport.abort()
    except (ConnectionError, asyncio.CancelledError):
      id = http.headers.get(wire.REQUEST_ID, '')
      log.info('Request %s: the caller is gone.', id)
      raise
    return response

  def _make_refusal(self, error: errors.WoadrunError, id: str) -> web.Response:
    status, headers = wire.encode_error(error, id)
    response = web.Response(status=status, headers=headers)
    if self._is_leaving():
      response.force_close()
    return response
