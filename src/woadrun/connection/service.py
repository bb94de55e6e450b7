"""A client of a plain service, whose actions may not be idempotent."""

from __future__ import annotations

import aiohttp

from woadrun import errors
from woadrun.connection import http

CONNECT_TIMEOUT_SECONDS = 1.0
OUTCOME_TIMEOUT_SECONDS = 2.0


class Service:
  """A client of one plain service."""

  def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
    self._session = session
    self._url = url.rstrip('/')

  async def call(
    self, action: str, body: bytes, *, request: str, timeout: float
  ) -> http.Reply:
    """Calls an action and returns the service's response.

    Raises an error whose `ran` is `not run` only when no connection was
    established, so no byte of the call can have reached the service.
    """
    limit = aiohttp.ClientTimeout(
      total=timeout, sock_connect=CONNECT_TIMEOUT_SECONDS
    )
    headers = {'Idempotency-Key': request, 'Content-Type': 'application/json'}
    try:
      async with self._session.post(
        f'{self._url}/actions/{action}',
        data=body,
        headers=headers,
        timeout=limit,
      ) as response:
        data = await response.read()
        return http.Reply(status=response.status, body=data)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
      raise errors.WoadrunError(
        errors.Code.UPSTREAM_UNAVAILABLE,
        'The service does not accept connections.',
        retry_after=1.0,
      ) from None
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
      raise errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        f'The service sent no complete response ({type(error).__name__}).',
        ran=errors.RunStatus.UNKNOWN,
      ) from error

  async def ask(self, request: str) -> http.Reply | None:
    """Returns the stored response to an earlier call.

    Returns None if the service has none or does not respond.
    """
    try:
      reply = await http.send(
        self._session,
        'GET',
        f'{self._url}/outcomes/{request}',
        timeout=OUTCOME_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError:
      return None
    return reply if reply.status == 200 else None
