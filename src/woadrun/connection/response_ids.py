"""Matching of HTTP responses to requests by an id that servers echo.

HTTP matches the responses on a connection to its requests by their order alone.
A faulty server may send a response twice: the second copy then comes in the
place of the next response due, and all later ones are read one request late.
Requests that are sent with the middleware of `match_responses` get the response
that has their id: those with another id are read and dropped.  So are those
without an id, except on a new connection, which has no earlier responses.

What a server sends beside the expected response is read up to a bound: a faulty
one may send it without end, faster than this process can parse it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import logging
import time
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import streams

log = logging.getLogger('woadrun.connections')

# Bytes that a server may send beside the body of the expected response: heads,
# framing, trailers, informational responses and those to other requests.
MAX_EXTRA_BYTES = 512 * 1024
# Each line counts as that many bytes more: parsing costs time by the line.
LINE_COST_BYTES = 32
# Framing of a body in small chunks may be this multiple of the body.
MAX_FRAMING_FACTOR = 16
# Lines that frame a chunk, or that a byte of a body and its framing may be.
CHUNK_LINES = 2
# Bytes that may follow a response that its caller is still reading.
MAX_SURPLUS_BYTES = 65_536
# Responses that may come before the expected one.
MAX_EXTRA_RESPONSES = 32
# Size of one read from a connection, and of the buffer of a body.  Hundreds of
# connections that all have bytes to read must not fill the memory at once.
READ_BYTES = 16_384
# Bytes that are parsed at once: they may be hundreds of small responses.
PARSED_BYTES = 4_096
# Time that the bytes of one read may take.  If they take longer, the next reads
# are smaller, so that the event loop serves all other connections in between.
MAX_PARSE_SECONDS = 0.0005
MIN_READ_BYTES = 512
# Size of the first reads, until bytes of the connection have shown to be cheap.
FIRST_READ_BYTES = 2_048


def match_responses(header: str) -> aiohttp.ClientMiddlewareType:
  """Returns a middleware of aiohttp that matches responses by their id.

  `header` is the name of the header that has the id in requests and responses.
  It takes effect on connections of `response_ends.Connector`.
  """

  class Response(_IdentifiedResponse):
    id_header = header

  async def middleware(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
  ) -> aiohttp.ClientResponse:
    request.response_class = Response
    return await send(request)

  return middleware


class _IdentifiedResponse(aiohttp.ClientResponse):
  """A response that is read once those with other ids have been dropped."""

  id_header = ''

  async def start(
    self, connection: aiohttp.connector.Connection
  ) -> aiohttp.ClientResponse:
    """Reads the head of the response."""
    protocol = connection.protocol
    if isinstance(protocol, ResponseHandler):
      ids = self.request_info.headers.getall(self.id_header, ())
      protocol.expect_id(self.id_header, ids)
    return await super().start(connection)


class ResponseHandler(client_proto.ResponseHandler):
  """The protocol of a connection, which drops responses to other requests.

  A response without an id is that to the first request on its connection, which
  is then closed: a second copy could not be told from the next response.
  """

  _id_header = ''
  _ids: Collection[str] = ()
  _is_idle = False
  # Whether an earlier request used this connection: a second copy of its
  # response may still come.
  _is_reused = False
  # Bytes received beside the expected body, and that body.
  _extra = 0
  _expected: streams.StreamReader | None = None
  _extra_responses = 0
  _read_size = FIRST_READ_BYTES

  def connection_made(self, transport: asyncio.BaseTransport) -> None:
    """Bounds the size of a read."""
    # asyncio has no public parameter for it.
    transport.max_size = FIRST_READ_BYTES  # type: ignore[attr-defined]
    super().connection_made(transport)

  def set_response_params(self, **options: Any) -> None:
    """Prepares for the response to the next request."""
    self._is_reused |= self._is_idle
    self._is_idle = False
    self._id_header, self._ids = '', ()
    self._extra = self._extra_responses = 0
    self._expected = None
    super().set_response_params(**options)

  def expect_id(self, header: str, ids: Collection[str]) -> None:
    """Makes `read` return the response that has one of `ids` in a header."""
    self._id_header, self._ids = header, ids

  def mark_idle(self) -> None:
    """Records that no request is waiting for a response any more."""
    self._is_idle = True

  def data_received(self, data: bytes) -> None:
    """Parses received bytes; closes a connection that no request waits on."""
    if self._is_idle and data:
      log.warning(
        '%s: %d bytes arrived with no request waiting, closing.',
        self._describe(),
        len(data),
      )
      self.close()
      return
    if len(data) <= MIN_READ_BYTES:
      self._parse(data)
      return
    began = time.perf_counter()
    for start in range(0, len(data), PARSED_BYTES):
      self._parse(data[start : start + PARSED_BYTES])
      if self.transport is None or self.transport.is_closing():
        return
    self._adapt_read_size(len(data), time.perf_counter() - began)

  def _adapt_read_size(self, count: int, seconds: float) -> None:
    """Sets the size of the next read by the time that this one took."""
    if seconds > MAX_PARSE_SECONDS:
      size = max(MIN_READ_BYTES, count // 2)
    elif count >= self._read_size:
      size = min(READ_BYTES, 2 * self._read_size)
    else:
      return
    self._read_size = size
    self.transport.max_size = size  # type: ignore[union-attr]

  def _parse(self, data: bytes) -> None:
    body = self._expected
    is_over = body is not None and body.is_eof()
    size = body.total_bytes if body is not None else 0
    super().data_received(data)
    cost = len(data) + LINE_COST_BYTES * data.count(b'\n')
    self._count(cost, body, size, is_over=is_over)
    if len(self._buffer) > MAX_EXTRA_RESPONSES:
      self._reject(f'{len(self._buffer)} responses before they were read')

  def _count(
    self,
    count: int,
    body: streams.StreamReader | None,
    size: int,
    *,
    is_over: bool,
  ) -> None:
    """Counts received bytes; closes the connection beyond a bound.

    `count` is their number and what their lines cost.  `size` is the number of
    bytes of the expected body before, and `is_over` tells that it was complete.
    """
    new_size = body.total_bytes if body is not None else 0
    due = 1 + MAX_FRAMING_FACTOR + CHUNK_LINES * LINE_COST_BYTES
    self._extra += count - due * (new_size - size)
    # What a body saves must not be spent on other bytes later.
    self._extra = max(0, self._extra)
    limit = MAX_SURPLUS_BYTES if is_over else MAX_EXTRA_BYTES
    if self._extra > limit and self.transport is not None:
      self._reject(f'{self._extra} bytes beside the response')

  def _reject(self, reason: str) -> None:
    """Closes the connection: the response is lost."""
    log.warning('%s: %s, closing.', self._describe(), reason)
    error = aiohttp.ClientPayloadError(reason)
    if self._payload is not None and not self._payload.is_eof():
      self._payload.set_exception(error)
    if self._expected is not None and not self._expected.is_eof():
      self._expected.set_exception(error)
    self.set_exception(error)
    if self.transport is not None:
      self.transport.abort()

  async def read(
    self,
  ) -> tuple[aiohttp.http.RawResponseMessage, streams.StreamReader]:
    """Returns the head and the body of the expected response.

    Raises `aiohttp.ClientPayloadError` if too much comes before it.
    """
    while True:
      message, body = await super().read()
      id = message.headers.get(self._id_header, '') if self._id_header else ''
      is_informational = message.code < 200
      needs_id = self._is_reused and not is_informational
      is_anonymous = not id and not needs_id
      is_expected = not self._id_header or id in self._ids or is_anonymous
      if is_expected and not is_informational:
        if self._id_header and not id:
          self.force_close()
        self._expected = body
        return message, body
      self._extra_responses += 1
      if self._extra_responses > MAX_EXTRA_RESPONSES:
        reason = f'{self._extra_responses} responses before the expected one'
        self._reject(reason)
        raise aiohttp.ClientPayloadError(reason)
      if is_expected:
        # Informational responses need no id.
        return message, body
      if self._extra_responses == 1:
        log.warning(
          '%s: dropped a response with status %d to request %s, waiting for '
          '%s.',
          self._describe(),
          message.code,
          id or 'without an id',
          ' or '.join(self._ids) or 'one without an id',
        )
      _discard(body)
      await body.wait_eof()

  def _describe(self) -> str:
    transport = self.transport
    if transport is None:
      return 'Closed connection'
    local = transport.get_extra_info('sockname')
    peer = transport.get_extra_info('peername')
    return f'Connection from {local} to {peer}'


class _DiscardedBody(streams.StreamReader):
  """A body that keeps none of its bytes, and no bounds of its chunks."""

  __slots__ = ()

  def feed_data(self, data: bytes, size: int = 0) -> bool:
    """Drops received bytes."""
    return False

  def begin_http_chunk_receiving(self) -> None:
    """Does nothing."""

  def end_http_chunk_receiving(self) -> None:
    """Does nothing."""


def _discard(body: streams.StreamReader) -> None:
  """Drops the bytes of a body, and those that are still to come.

  Each chunk that is kept would cost an object and a wake-up of its reader.
  """
  if not isinstance(body, streams.StreamReader) or body.is_eof():
    return
  # The parser of aiohttp makes the body, and feeds it until its end.
  body.__class__ = _DiscardedBody
  # Resumes reading if the body was full; raises the error of one that is lost.
  body.read_nowait()
