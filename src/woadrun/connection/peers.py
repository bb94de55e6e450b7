"""Messages between daemons: HTTP under a shared key, as JSON if not told."""

from __future__ import annotations

from types import ModuleType
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec

from woadrun import errors

T = TypeVar('T')

# A daemon that is there takes a connection within a round trip; one that is
# dark or cut off never does.  In seconds.
CONNECT_SECONDS = 0.5


class Peers:
  """A client of all other daemons.

  `codec` encodes messages and decodes answers; both sides use the same.
  Errors come as JSON in any case.
  """

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    key: str,
    codec: ModuleType = msgspec.json,
  ) -> None:
    self.session = session
    self._codec = codec
    self.headers = {'Authorization': f'Bearer {key}'}
    self.messages = 0
    self.sent_bytes = 0
    self.received_bytes = 0

  async def post(
    self,
    address: str,
    path: str,
    message: Any,
    *,
    type: type[T],
    timeout: float,
  ) -> T:
    """Returns a peer's answer to one message.

    Raises the peer's own error, or `owner_unavailable` where there is no
    answer; what the message asked for may then have been done.
    """
    body = self._codec.encode(message)
    self.messages += 1
    self.sent_bytes += len(body)
    try:
      async with self.session.post(
        f'http://{address}/peer/{path}',
        data=body,
        headers=self.headers,
        timeout=aiohttp.ClientTimeout(
          total=timeout, sock_connect=min(timeout, CONNECT_SECONDS)
        ),
      ) as response:
        data = await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        f'{address} gave no answer ({error.__class__.__name__}).',
        ran=errors.Ran.UNKNOWN,
        retry_after=1.0,
      ) from error
    self.received_bytes += len(data)
    if response.status != 200:
      raise errors.from_body(data)
    found: T = self._codec.decode(data, type=type)
    return found
