"""An HTTP server whose reads from connections are small.

asyncio reads up to 256 KB at a time: hundreds of connections that all have
bytes to read must not fill the memory at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

# Size of one read from a connection, and of the buffer of a body.
READ_BYTES = 16_384


def bound(transport: Any, size: int = READ_BYTES) -> None:
  """Bounds the size of the next reads from a connection."""
  # asyncio has no public parameter for it.
  transport.max_size = size


class Connection(web.RequestHandler):
  """The protocol of one connection.

  `reject_body` rejects the request whose body is being read, if there is one.
  """

  reject_body: Callable[[], None] | None = None

  def connection_made(self, transport: asyncio.BaseTransport) -> None:
    """Bounds the size of a read."""
    bound(transport)
    super().connection_made(transport)


class Server(web.Server):
  """A server of such connections."""

  def __call__(self) -> web.RequestHandler:
    """Returns the protocol of a new connection."""
    return Connection(self, loop=self._loop, **self._kwargs)
