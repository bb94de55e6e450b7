"""How the bodies of HTTP responses end.

A body with a length or in chunks shows by itself whether it is complete.  A
body with neither ends with its connection (RFC 9112, section 6.3): an orderly
close may be its end or that of a server that failed.  The same holds for the
bodies that this process sends.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import socket
import struct
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import client_reqrep
from aiohttp import hdrs
from aiohttp import http
from aiohttp import streams
from aiohttp import web
import multidict

from woadrun import decoding
from woadrun.connection import response_ids
from woadrun.decisions import run_status

log = logging.getLogger('woadrun.connections')

# Statuses of responses that have no body.
_STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Statuses that announce a final response; 101 would change the protocol.
_INFORMATIONAL_STATUSES = frozenset(range(100, 200)) - {101}
# Values of SO_LINGER.  With a time of 0, closing the socket, also by the end of
# the process, resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_CLOSE_IN_ORDER = struct.pack('ii', 0, 0)


class Connector(aiohttp.TCPConnector):
  """A connector whose responses raise if their connection breaks off.

  Reading the body then raises `aiohttp.ClientPayloadError`.  Only an orderly
  close of the server ends a body that has neither a length nor chunks.
  """

  def __init__(self, **options: Any) -> None:
    super().__init__(**options)
    # aiohttp has no public parameter for the protocol of its connections.
    self._factory = functools.partial(_make_handler, self._loop)

  def _release(
    self,
    key: client_reqrep.ConnectionKey,
    protocol: client_proto.ResponseHandler,
    *,
    should_close: bool = False,
  ) -> None:
    # aiohttp would read bytes that arrive on an idle connection as the response
    # to its next request.
    super()._release(key, protocol, should_close=should_close)
    if isinstance(protocol, response_ids.ResponseHandler):
      protocol.mark_idle()


class _ResponseHandler(response_ids.ResponseHandler):
  """The protocol of one connection to a server."""

  _is_closed_by_peer = False

  async def read(self) -> tuple[http.RawResponseMessage, streams.StreamReader]:
    """Returns the next response, informational ones included.

    Raises `aiohttp.ClientPayloadError` for one whose status cannot be that of a
    response: the request may have run, and what follows on the connection
    belongs to nothing.
    """
    message, body = await super().read()
    is_informational = message.code in _INFORMATIONAL_STATUSES
    if run_status.is_final(message.code) or is_informational:
      return message, body
    log.info('A response has status %03d, which is none.', message.code)
    self.close()
    raise aiohttp.ClientPayloadError(f'{message.code:03d} is no final status')

  def eof_received(self) -> None:
    """Records that the server closed the connection in an orderly way."""
    self._is_closed_by_peer = True
    super().eof_received()

  def connection_lost(self, exc: BaseException | None) -> None:
    """Ends the body that is being received, as truncated unless closed."""
    if not self._is_closed_by_peer:
      self._truncate(f'connection lost ({exc})' if exc else 'connection lost')
    super().connection_lost(exc)

  def close(self) -> None:
    """Closes the connection; a body that is being received is truncated."""
    self._truncate('connection closed by this daemon')
    super().close()

  def abort(self) -> None:
    """Aborts the connection; a body that is being received is truncated."""
    self._truncate('connection closed by this daemon')
    super().abort()

  def _truncate(self, reason: str) -> None:
    # aiohttp would end a body without a length as complete.
    body = self._payload
    if body is None or body.is_eof() or body.exception() is not None:
      return
    transport = self.transport
    log.info(
      'Response from %s is truncated: %s.',
      transport.get_extra_info('peername') if transport else 'unknown',
      reason,
    )
    body.set_exception(aiohttp.ClientPayloadError(reason))


def _make_handler(
  loop: asyncio.AbstractEventLoop,
) -> client_proto.ResponseHandler:
  return _ResponseHandler(loop=loop)


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
  """Returns whether the end of the connection is the end of the body."""
  has_body = (
    response.method != hdrs.METH_HEAD
    and response.status not in _STATUSES_WITHOUT_BODY
  )
  return has_body and not _is_framed(response.headers)


def _is_framed(headers: multidict.CIMultiDictProxy[str]) -> bool:
  codings = ','.join(headers.getall(hdrs.TRANSFER_ENCODING, ()))
  if codings:
    # Chunks frame a body only as the last of its codings.
    return codings.rpartition(',')[2].strip().lower() == 'chunked'
  return hdrs.CONTENT_LENGTH in headers


def is_complete(response: aiohttp.ClientResponse, body: bytes) -> bool:
  """Returns whether the whole body is known to have arrived.

  `body` is what was read until the end of the response.  A body that ends with
  its connection is known to be complete only if it is JSON that shows its end:
  an object, an array or a string.  A part of a number can be a number.
  """
  return not ends_with_connection(response) or _is_delimited_json(body)


def _is_delimited_json(body: bytes) -> bool:
  if not body.lstrip().startswith((b'{', b'[', b'"')):
    return False
  try:
    decoding.decode_json(body)
  except decoding.MalformedData:
    return False
  return True


def check_framed(response: aiohttp.ClientResponse) -> None:
  """Raises `aiohttp.ClientPayloadError` for a body without length and chunks.

  For the responses of daemons, which always have one of them: without, the
  response is not the daemon's, and its end is not known.
  """
  if ends_with_connection(response):
    raise aiohttp.ClientPayloadError(
      'The response has neither a length nor chunks.'
    )


# --- Responses of this process ----------------------------------------------


def begin_head(http: web.BaseRequest, *, is_unframed: bool = False) -> None:
  """Makes any end of a caller's connection look like a truncated response.

  It is called before the head of a response is written.  A head without length
  and chunks looks like a complete empty response if the process is killed
  before `begin_body`.  Callers of HTTP/1.0 get no chunks.
  """
  is_framed = not is_unframed and http.version >= aiohttp.HttpVersion11
  if not is_framed and http.transport is not None:
    _set_linger(http.transport, _RESET_ON_CLOSE)


def begin_body(http: web.BaseRequest, response: web.StreamResponse) -> None:
  """Makes any end of a caller's connection look like a truncated response.

  `response` is prepared.  Without chunks, only a reset tells a truncated
  response from a complete one.
  """
  if _ends_with_connection(http, response):
    # aiohttp keeps the connection of a caller of HTTP/1.0 that asks for it.
    response.force_close()
  if _has_chunks(response) or http.transport is None:
    return
  # `drain` then waits until the kernel has all bytes: those that the process
  # still has at its end are lost.
  http.transport.set_write_buffer_limits(0)
  _set_linger(http.transport, _RESET_ON_CLOSE)


async def complete_body(
  http: web.BaseRequest, response: web.StreamResponse
) -> None:
  """Lets the close of a caller's connection end a complete response.

  Returns once the kernel has all bytes of a response without chunks.
  """
  if _has_chunks(response):
    return
  await http.writer.drain()
  if http.transport is not None:
    _set_linger(http.transport, _CLOSE_IN_ORDER)


def abort_body(http: web.BaseRequest) -> None:
  """Ends the caller's connection within a response, which is then truncated."""
  if http.transport is not None:
    http.transport.abort()


def resets_on_close(transport: asyncio.BaseTransport) -> bool:
  """Returns whether closing a connection would reset it.

  It would within a body without chunks.
  """
  value = transport.get_extra_info('socket').getsockopt(
    socket.SOL_SOCKET, socket.SO_LINGER, len(_RESET_ON_CLOSE)
  )
  return bool(value == _RESET_ON_CLOSE)


def _ends_with_connection(
  http: web.BaseRequest, response: web.StreamResponse
) -> bool:
  has_body = (
    http.method != hdrs.METH_HEAD
    and response.status not in _STATUSES_WITHOUT_BODY
  )
  is_framed = _has_chunks(response) or hdrs.CONTENT_LENGTH in response.headers
  return has_body and not is_framed


def _has_chunks(response: web.StreamResponse) -> bool:
  return hdrs.TRANSFER_ENCODING in response.headers


def _set_linger(transport: asyncio.Transport, value: bytes) -> None:
  transport.get_extra_info('socket').setsockopt(
    socket.SOL_SOCKET, socket.SO_LINGER, value
  )
