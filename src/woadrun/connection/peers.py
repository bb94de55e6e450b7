"""A client for messages between daemons.

Messages are sent over HTTP, authenticated by a shared key and encoded as JSON
unless another codec is given.
"""

from __future__ import annotations

import functools
from types import ModuleType
from typing import Any
from typing import Protocol
from typing import TypeVar

import aiohttp
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import bodies
from woadrun.connection import memory_account
from woadrun.connection import response_ends
from woadrun.connection import sent_bodies
from woadrun.connection import tcp_connections

T = TypeVar('T')

# A running daemon accepts a connection within a round trip; a daemon that is
# down or unreachable never does.
CONNECT_TIMEOUT_SECONDS = 0.5


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
    """Sends a message and returns the peer's answer, as `Peers.post` does."""

  def reset_connections(self, address: str) -> None:
    """Uses new connections to a peer for all further messages."""


class NoAnswer(errors.WoadrunError):
  """Raised when a peer sent no response, not even an error."""


class Peers:
  """A client of all other daemons.

  `codec` encodes messages and decodes answers, and must be the peers' codec;
  errors are encoded as JSON with any codec.  With `addresses`,
  `reset_connections` replaces the connections to a peer; the session's resolver
  must then be `tcp_connections.Resolver`.  `messages`, `sent_bytes` and
  `received_bytes` count the traffic.  `account` counts the answers while they
  are read and decoded.
  """

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    key: str,
    codec: ModuleType = msgspec.json,
    addresses: tcp_connections.Addresses | None = None,
    account: memory_account.Account | None = None,
  ) -> None:
    self._account = account
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
    """Sends a message and returns the peer's answer.

    `timeout` is in seconds.  Raises the error that the peer returned, or
    `NoAnswer` without a complete response; the peer may then have processed the
    message.
    """
    body = self.encode(message)
    kind = memory_account.Kind.PEER
    with memory_account.hold(self._account, kind, address) as holder:
      status, data = await self._send(address, path, body, timeout, holder)
      return self.decode(status, data, type)

  async def _send(
    self,
    address: str,
    path: str,
    body: bytes,
    timeout: float,
    holder: memory_account.Holder | None,
  ) -> tuple[int, bytes]:
    """Returns the status and the body of the response to a message."""
    host, generation = address, None
    if self._addresses is not None:
      host = self._addresses.get_host(address)
      generation = self._addresses.get_generation(address)
    self.messages += 1
    self.sent_bytes += len(body)
    try:
      async with self.session.post(
        f'http://{host}/peer/{path}',
        data=sent_bodies.split(body),
        headers=self.headers,
        timeout=aiohttp.ClientTimeout(
          total=timeout, sock_connect=min(timeout, CONNECT_TIMEOUT_SECONDS)
        ),
      ) as response:
        response_ends.check_framed(response)
        data = await bodies.read(
          response, limit=bodies.MAX_PEER_BYTES, holder=holder
        )
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
      if isinstance(error, TimeoutError) and self._addresses is not None:
        self._addresses.reset_connections(address, generation=generation)
      raise NoAnswer(
        errors.Code.OWNER_UNAVAILABLE,
        f'{address} did not respond ({error.__class__.__name__}).',
        ran=errors.RunStatus.UNKNOWN,
        retry_after=1.0,
      ) from error
    self.received_bytes += len(data)
    return response.status, data

  def reset_connections(self, address: str) -> None:
    """Uses new connections to a peer, if `addresses` was given."""
    if self._addresses is not None:
      self._addresses.reset_connections(address)

  def encode(self, message: Any) -> bytes:
    """Returns the encoded form of a message."""
    body: bytes = self._codec.encode(message)
    return body

  def decode(self, status: int, data: bytes, type: type[T]) -> T:
    """Returns the answer; raises the peer's error if `status` is not 200."""
    if status != 200:
      raise errors.from_body(data)
    try:
      answer: T = decoding.run(
        functools.partial(self._codec.decode, data, type=type)
      )
      return answer
    except decoding.MalformedData as error:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        f'The answer of a daemon is malformed: {error}',
        ran=errors.RunStatus.UNKNOWN,
        retry_after=1.0,
      ) from error
