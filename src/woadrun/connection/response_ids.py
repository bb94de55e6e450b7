"""Matching of HTTP responses to requests by an id that servers echo.

HTTP matches the responses on a connection to its requests by their order alone.
A faulty server may send a response twice: the second copy then comes in the
place of the next response due, and all later ones are read one request late.
Requests that are sent with the middleware of `match_responses` get the response
that has their id: those with another id are read and dropped.
"""

from __future__ import annotations

from collections.abc import Collection
import logging
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import streams

log = logging.getLogger('woadrun.connections')


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

  A response without an id is that to the request on its connection, which is
  then closed: a second copy could not be told from the next response.
  """

  _id_header = ''
  _ids: Collection[str] = ()
  _is_idle = False

  def set_response_params(self, **options: Any) -> None:
    """Prepares for the response to the next request."""
    self._is_idle = False
    self._id_header, self._ids = '', ()
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
    super().data_received(data)

  async def read(
    self,
  ) -> tuple[aiohttp.http.RawResponseMessage, streams.StreamReader]:
    """Returns the head and the body of the expected response."""
    while True:
      message, body = await super().read()
      if not self._id_header:
        return message, body
      id = message.headers.get(self._id_header, '')
      if id in self._ids:
        return message, body
      if not id:
        # Informational responses need no id.
        if message.code >= 200:
          self.force_close()
        return message, body
      log.warning(
        '%s: dropped a response with status %d to request %s, waiting for %s.',
        self._describe(),
        message.code,
        id,
        ' or '.join(self._ids) or 'one without an id',
      )
      while await body.readany():
        pass

  def _describe(self) -> str:
    transport = self.transport
    if transport is None:
      return 'Closed connection'
    local = transport.get_extra_info('sockname')
    peer = transport.get_extra_info('peername')
    return f'Connection from {local} to {peer}'
