"""Counts the bodies of requests in the memory account of the process."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Any

from aiohttp import web

from woadrun.connection import bounded_reads
from woadrun.connection import caller_bounds
from woadrun.connection import callers_server
from woadrun.connection import memory_account
from woadrun.connection import request_bodies

PEER_PREFIX = '/peer/'
_HOLDER = 'woadrun.holder'


def hold_bodies(account: memory_account.Account) -> Any:
  """Returns a middleware for `read`: bodies are counted until requests end."""

  @web.middleware
  async def middleware(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
  ) -> web.StreamResponse:
    if request.transport is not None:
      bounded_reads.bound(request.transport)
    is_peer = request.path.startswith(PEER_PREFIX)
    kinds = memory_account.Kind
    kind = kinds.PEER if is_peer else kinds.REQUEST
    with contextlib.ExitStack() as stack:
      if not is_peer:
        try:
          stack.enter_context(
            caller_bounds.hold_call(
              account,
              request.path,
              request._message,
              has_next=callers_server.has_next(request),
            )
          )
        except memory_account.MemoryExceeded as error:
          raise request_bodies.make_rejection() from error
      request[_HOLDER] = stack.enter_context(account.hold(kind, request.path))
      response = await handler(request)
    protocol = request.protocol
    if is_peer and isinstance(protocol, callers_server.Connection):
      # An unauthorized message raises.
      protocol.is_exempt = True
    return response

  return middleware


async def read(request: web.Request) -> bytes:
  """Returns the body of a request that `hold_bodies` handles.

  Raises `body_too_large` if the body exceeds the configured size, and
  `memory_full` if it cannot be held now.
  """
  return await request_bodies.read(
    request, request[_HOLDER], limit=request.client_max_size
  )
