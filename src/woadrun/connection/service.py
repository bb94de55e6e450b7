"""A client of a plain service, whose actions may not be idempotent."""

from __future__ import annotations

import aiohttp

from woadrun import errors
from woadrun.connection import bodies
from woadrun.connection import http
from woadrun.connection import response_ends

CONNECT_TIMEOUT_SECONDS = 1.0
OUTCOME_TIMEOUT_SECONDS = 2.0
JSON_TYPE = 'application/json'
# Errors by which a call reaches no service.
CONNECT_ERRORS = (
  aiohttp.ClientConnectorError,
  aiohttp.ConnectionTimeoutError,
)


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
    established, so no byte of the call can have reached the service.  A
    redirect is followed, but the service may have run the call before it.  A
    response of which a part may be missing raises an error with `unknown`.
    """
    limit = aiohttp.ClientTimeout(
      total=timeout, sock_connect=CONNECT_TIMEOUT_SECONDS
    )
    headers = {'Idempotency-Key': request, 'Content-Type': JSON_TYPE}
    try:
      async with self._session.post(
        f'{self._url}/actions/{action}',
        data=body,
        headers=headers,
        timeout=limit,
        middlewares=(_make_redirect_guard(),),
      ) as response:
        data = await bodies.read(response, limit=bodies.MAX_RESULT_BYTES)
        if _is_lost(response, data):
          raise aiohttp.ClientPayloadError('The end of the body is not known.')
        return http.Reply(status=response.status, body=data)
    except CONNECT_ERRORS:
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


def _make_redirect_guard() -> aiohttp.ClientMiddlewareType:
  """Returns a middleware for the requests of one call.

  After the first response an error no longer tells that nothing was sent: the
  middleware raises `aiohttp.ClientPayloadError` if a redirect leads to an
  address that accepts no connection.
  """
  has_response = False

  async def send_guarded(
    request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
  ) -> aiohttp.ClientResponse:
    nonlocal has_response
    try:
      response = await send(request)
    except CONNECT_ERRORS as error:
      if has_response:
        raise aiohttp.ClientPayloadError(str(error)) from error
      raise
    has_response = True
    return response

  return send_guarded


def _is_lost(response: aiohttp.ClientResponse, body: bytes) -> bool:
  """Returns whether a part of a response may be missing that has its result.

  The result of a failed call is its status, unless there is JSON with it.
  """
  has_result = response.status < 400 or response.content_type == JSON_TYPE
  return has_result and not response_ends.is_complete(response, body)
