"""HTTP to the platform's services: timeouts and failures become errors."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

import aiohttp
import yarl

from woadrun import errors

RETRY_AFTER = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
  """A whole answer of an outside system."""

  status: int
  body: bytes
  etag: str = ''


class OverRate(errors.WoadrunError):
  """Raised where a service refuses a call for the rate of all callers."""


async def send(
  session: aiohttp.ClientSession,
  method: str,
  url: str | yarl.URL,
  *,
  timeout: float,
  body: bytes | None = None,
  headers: dict[str, str] | None = None,
  on_silence: Callable[[], None] = lambda: None,
) -> Reply:
  """Returns the answer to one request.

  `on_silence` is called where none came in time on an open connection.

  Raises a platform error when there is no answer in time or the service
  refuses for load or failure; a write may then have taken effect.
  """
  limit = aiohttp.ClientTimeout(total=timeout)
  try:
    async with session.request(
      method, url, data=body, headers=headers, timeout=limit
    ) as response:
      data = await response.read()
      etag = response.headers.get('ETag', '')
  except aiohttp.ClientConnectorError as error:
    raise _unavailable(f'{url}: {error}', errors.Ran.NOT_RUN) from error
  except (TimeoutError, aiohttp.ClientError, OSError) as error:
    if isinstance(error, TimeoutError):
      on_silence()
    message = f'{url}: {error or "no answer in time"}'
    raise _unavailable(message, errors.Ran.UNKNOWN) from error
  if response.status == 429:
    raise OverRate(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'{url}: over its rate',
      retry_after=RETRY_AFTER,
    )
  if response.status >= 500:
    message = f'{url}: answered {response.status}'
    raise _unavailable(message, errors.Ran.UNKNOWN)
  return Reply(status=response.status, body=data, etag=etag)


def _unavailable(message: str, ran: errors.Ran) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.PLATFORM_UNAVAILABLE,
    message,
    ran=ran,
    retry_after=RETRY_AFTER,
  )
