"""A client of a model engine.

Model calls use the chat completions API over HTTP with server-sent events;
`priority` and `cache_salt` are common extensions of that API.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Iterable
import contextlib
import dataclasses
from typing import Any

import aiohttp
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import bodies
from woadrun.connection import http

ADMIN_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
# An engine that sends nothing for this long is considered hung.
READ_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModelCall:
  """A model call to an engine.

  `stream` identifies the attempt, so that its stream can be resumed.
  `program` becomes the salt of the prefix cache.
  """

  stream: str
  program: str
  body: dict[str, Any]
  priority: int = 0


class CachedPrefix(msgspec.Struct, frozen=True, kw_only=True):
  """The size in tokens of the prefix cache of one salt, which is a program."""

  salt: str
  tokens: int


class Usage(msgspec.Struct, frozen=True, kw_only=True):
  """Token counts of one call, as reported by the engine."""

  prompt_tokens: int = 0
  completion_tokens: int = 0


class Delta(msgspec.Struct, frozen=True):
  """A fragment of the message in a streamed response."""

  content: str | None = None


class Choice(msgspec.Struct, frozen=True):
  """One choice of a server-sent event."""

  delta: Delta = Delta()
  finish_reason: str | None = None


class Event(msgspec.Struct, frozen=True):
  """One server-sent event of a streamed response."""

  choices: list[Choice] = []
  usage: Usage | None = None


class EngineRefused(Exception):
  """Raised when an engine rejects a call before running it."""

  def __init__(self, status: int, body: bytes) -> None:
    super().__init__(f'status {status}: {body[:200].decode(errors="replace")}')
    self.status = status


class Engine:
  """A client of one engine."""

  def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
    self._session = session
    self._url = url.rstrip('/')

  async def stream(self, call: ModelCall) -> AsyncGenerator[bytes, None]:
    """Starts a model call and yields the bytes of its event stream.

    Raises `EngineRefused` when the engine's status is not 200.
    """
    body = {
      **call.body,
      'stream': True,
      'stream_options': {'include_usage': True},
      'priority': call.priority,
      'cache_salt': call.program,
    }
    async with self._session.post(
      f'{self._url}/v1/chat/completions',
      data=msgspec.json.encode(body),
      headers={
        'X-Request-Id': call.stream,
        'Content-Type': 'application/json',
      },
      timeout=_get_stream_timeout(),
    ) as response:
      if response.status != 200:
        raise await _make_refusal(response)
      async for chunk in response.content.iter_any():
        yield chunk

  async def resume(self, stream: str) -> AsyncGenerator[bytes, None]:
    """Yields the bytes of an earlier call's event stream from its first byte.

    Raises `EngineRefused` when the engine's status is not 200.
    """
    async with self._session.get(
      f'{self._url}/v1/streams/{stream}', timeout=_get_stream_timeout()
    ) as response:
      if response.status != 200:
        raise await _make_refusal(response)
      async for chunk in response.content.iter_any():
        yield chunk

  async def get_cache(self) -> list[CachedPrefix]:
    """Returns the size of the prefix cache for each salt."""
    data = await self._get('/v1/cache')
    return http.decode(data, type=list[CachedPrefix])

  async def drop_cache(self, salt: str, *, fencing: int) -> None:
    """Evicts the prefix cache of a salt.

    Raises `stale_epoch` when the engine has seen a higher fencing number.
    """
    await self._post('/v1/cache/drop', {'salt': salt, 'fencing': fencing})

  async def _get(self, path: str) -> bytes:
    reply = await http.send(
      self._session, 'GET', self._url + path, timeout=ADMIN_TIMEOUT_SECONDS
    )
    return reply.body

  async def _post(self, path: str, message: dict[str, Any]) -> None:
    reply = await http.send(
      self._session,
      'POST',
      self._url + path,
      timeout=ADMIN_TIMEOUT_SECONDS,
      body=msgspec.json.encode(message),
    )
    if reply.status == 409:
      raise errors.WoadrunError(
        errors.Code.STALE_EPOCH, 'The engine has seen a newer fencing number.'
      )


async def _make_refusal(response: aiohttp.ClientResponse) -> EngineRefused:
  """Returns the error for a response without a stream."""
  body = b''
  with contextlib.suppress(aiohttp.ClientPayloadError):
    body = await bodies.read(response, limit=bodies.MAX_ERROR_BYTES)
  return EngineRefused(response.status, body)


def _get_stream_timeout() -> aiohttp.ClientTimeout:
  return aiohttp.ClientTimeout(
    total=None,
    sock_connect=CONNECT_TIMEOUT_SECONDS,
    sock_read=READ_TIMEOUT_SECONDS,
  )


# --- Decoding a response ----------------------------------------------------

# The data of the event that ends each stream, and its line.
DONE_DATA = b'[DONE]'
DONE = b'data: ' + DONE_DATA


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
  """A complete response, decoded from its event stream."""

  content: str
  finish_reason: str
  usage: Usage | None


def read_answer(events: Iterable[bytes]) -> Answer:
  """Returns the message, finish reason and usage in a stream's events.

  `events` are the data of the events before the terminating one.  Raises
  `decoding.MalformedData` if one of them is malformed.
  """
  parts: list[str] = []
  finish_reason = ''
  usage: Usage | None = None
  for data in events:
    event = decoding.decode_json(data, type=Event)
    usage = event.usage or usage
    for choice in event.choices:
      parts.append(choice.delta.content or '')
      finish_reason = choice.finish_reason or finish_reason
  return Answer(
    content=''.join(parts), finish_reason=finish_reason, usage=usage
  )
