"""Messages between daemons: HTTP under a shared key, as JSON if not told."""

from __future__ import annotations

from types import ModuleType
from typing import Any
from typing import Protocol
from typing import TypeVar

import aiohttp
import msgspec

from woadrun import errors
from woadrun.connection import fresh

T = TypeVar('T')

# A daemon that is there takes a connection within a round trip; one that is
# dark or cut off never does.  In seconds.
CONNECT_SECONDS = 0.5


class Messenger(Protocol):
  """Sends messages to other daemons."""

  async def post(
    self,
    address: str,
    path: str,
    message: Any,
    *,
    type: type[T],
    timeout: float,
  ) -> T:
    """Returns a peer's answer to one message, as `Peers.post` does."""

  def note_silence(self, address: str) -> None:
    """Uses new connections to a peer from now on."""


class NoAnswer(errors.WoadrunError):
  """Raised where a peer gave no answer, not even a refusal."""


class Peers:
  """A client of all other daemons.

  `codec` encodes messages and decodes answers; both sides use the same.
  `addresses` has new connections made after a silence; the session must then
  resolve its names.
  Errors come as JSON in any case.
  """

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    key: str,
    codec: ModuleType = msgspec.json,
    addresses: fresh.Addresses | None = None,
  ) -> None:
    self.session = session
    self._addresses = addresses
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

    Raises the peer's own error, or `NoAnswer` where there is none; what the
    message asked for may then have been done.
    """
    host = self._addresses.get_host(address) if self._addresses else address
    body = self.encode(message)
    self.messages += 1
    self.sent_bytes += len(body)
    try:
      async with self.session.post(
        f'http://{host}/peer/{path}',
        data=body,
        headers=self.headers,
        timeout=aiohttp.ClientTimeout(
          total=timeout, sock_connect=min(timeout, CONNECT_SECONDS)
        ),
      ) as response:
        data = await response.read()
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
      if isinstance(error, TimeoutError):
        self.note_silence(address)
      raise NoAnswer(
        errors.Code.OWNER_UNAVAILABLE,
        f'{address} gave no answer ({error.__class__.__name__}).',
        ran=errors.Ran.UNKNOWN,
        retry_after=1.0,
      ) from error
    self.received_bytes += len(data)
    return self.decode(response.status, data, type)

  def note_silence(self, address: str) -> None:
    """Uses new connections to a peer from now on, if any are known to do."""
    if self._addresses is not None:
      self._addresses.note_silence(address)

  def encode(self, message: Any) -> bytes:
    """Returns a message as it is sent."""
    body: bytes = self._codec.encode(message)
    return body

  def decode(self, status: int, data: bytes, type: type[T]) -> T:
    """Returns what a peer answered; raises the error that it answered."""
    if status != 200:
      raise errors.from_body(data)
    found: T = self._codec.decode(data, type=type)
    return found
