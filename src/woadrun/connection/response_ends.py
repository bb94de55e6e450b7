"""How the bodies of HTTP responses end.

A body with a length or in chunks shows by itself whether it is complete.  A
body with neither ends with its connection (RFC 9112, section 6.3): an orderly
close may be its end or that of a server that failed.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import hdrs

log = logging.getLogger('woadrun.connections')

# Statuses of responses that have no body.
_STATUSES_WITHOUT_BODY = frozenset((204, 304))


class Connector(aiohttp.TCPConnector):
  """A connector that notes how a connection ended within a body."""

  def __init__(self, **options: Any) -> None:
    super().__init__(**options)
    # aiohttp has no public parameter for the protocol of its connections.
    self._factory = functools.partial(_make_handler, self._loop)


class _ResponseHandler(client_proto.ResponseHandler):
  """The protocol of one connection to a server."""

  _is_closed_by_peer = False

  def eof_received(self) -> None:
    """Records that the server closed the connection in an orderly way."""
    self._is_closed_by_peer = True
    super().eof_received()

  def connection_lost(self, exc: BaseException | None) -> None:
    """Ends the body that is being received."""
    body = self._payload
    if body is not None and not body.is_eof():
      reason = str(exc) if exc else 'a close of this daemon'
      if exc is None and self._is_closed_by_peer:
        reason = 'a close of the server'
      log.info('A connection ended within a response: %s.', reason)
    super().connection_lost(exc)


def _make_handler(
  loop: asyncio.AbstractEventLoop,
) -> client_proto.ResponseHandler:
  return _ResponseHandler(loop=loop)


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
  """Returns whether the end of the connection is the end of the body."""
  headers = response.headers
  return not (
    hdrs.CONTENT_LENGTH in headers
    or 'chunked' in headers.get(hdrs.TRANSFER_ENCODING, '').lower()
    or response.method == hdrs.METH_HEAD
    or response.status in _STATUSES_WITHOUT_BODY
  )
