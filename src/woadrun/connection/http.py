"""HTTP requests to the platform's services.

Timeouts, connection failures, truncated responses and server errors are raised
as `platform_unavailable`.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import TypeVar

import aiohttp
from aiohttp import hdrs
import yarl

from woadrun import decoding
from woadrun import errors
from woadrun.connection import bodies
from woadrun.connection import memory_account
from woadrun.connection import response_ends

T = TypeVar('T')

RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
  """A complete response of an external system."""

  status: int
  body: bytes
  etag: str = ''


class RateLimited(errors.WoadrunError):
  """Raised when a service rejects a request over the rate of all callers."""


async def prevent_resending(
  request: aiohttp.ClientRequest, send: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
  """Sends a request once; a middleware for sessions of aiohttp.

  aiohttp sends a request with an idempotent method again by itself if its
  connection is lost, although the server may have run it.  A conditional write
  then fails by its own first effect, and the second error may tell that nothing
  was sent.  Raises `aiohttp.ClientPayloadError` instead.
  """
  try:
    return await send(request)
  except (aiohttp.ClientConnectorError, aiohttp.ServerTimeoutError):
    raise
  except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
    raise aiohttp.ClientPayloadError(
      str(error) or type(error).__name__
    ) from error


async def send(
  session: aiohttp.ClientSession,
  method: str,
  url: str | yarl.URL,
  *,
  timeout: float,
  body: bytes | None = None,
  headers: dict[str, str] | None = None,
  on_silence: Callable[[], None] = lambda: None,
  account: memory_account.Account | None = None,
) -> Reply:
  """Sends one request and returns its response.

  `timeout` is in seconds.  `on_silence` is called when the request times out.
  `account` counts the response while it is read.

  Raises `platform_unavailable` when there is no complete response within the
  timeout and the bound on its size, or its status is 429, or 500 and above.
  Unless the error's `ran` is `not run`, a write may have taken effect.
  """
  limit = aiohttp.ClientTimeout(total=timeout)
  try:
    async with session.request(
      method,
      url,
      data=body,
      headers=headers,
      timeout=limit,
      middlewares=() if method == hdrs.METH_GET else (prevent_resending,),
    ) as response:
      kind = memory_account.Kind.PLATFORM
      with memory_account.hold(account, kind, str(url)) as holder:
        data = await bodies.read(
          response, limit=bodies.MAX_PLATFORM_BYTES, holder=holder
        )
      etag = response.headers.get('ETag', '')
  except aiohttp.ClientConnectorError as error:
    raise _unavailable(f'{url}: {error}', errors.RunStatus.NOT_RUN) from error
  except (TimeoutError, aiohttp.ClientError, OSError) as error:
    if isinstance(error, TimeoutError):
      on_silence()
    message = f'{url}: {error or "no response within the timeout"}'
    raise _unavailable(message, errors.RunStatus.UNKNOWN) from error
  if response.status == 429:
    raise RateLimited(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'{url}: rate limit exceeded',
      retry_after=RETRY_AFTER_SECONDS,
    )
  if response.status >= 500:
    message = f'{url}: returned status {response.status}'
    raise _unavailable(message, errors.RunStatus.UNKNOWN)
  is_value = method == hdrs.METH_GET and response.status == 200
  # Others are known by their status, or decoded by the sender.
  if is_value and not response_ends.is_complete(response, data):
    message = f'{url}: the end of the response is not known'
    raise _unavailable(message, errors.RunStatus.UNKNOWN)
  return Reply(status=response.status, body=data, etag=etag)


def decode(body: bytes, *, type: type[T]) -> T:
  """Returns the value of a JSON body, decoded as `type`.

  Raises `platform_unavailable` if the body is empty or malformed.
  """
  try:
    return decoding.decode_json(body, type=type)
  except decoding.MalformedData as error:
    message = f'A response of the platform is malformed: {error}'
    raise _unavailable(message, errors.RunStatus.UNKNOWN) from error


def _unavailable(message: str, ran: errors.RunStatus) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.PLATFORM_UNAVAILABLE,
    message,
    ran=ran,
    retry_after=RETRY_AFTER_SECONDS,
  )
