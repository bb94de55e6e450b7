"""A client of the HTTP APIs for callers and operators.

The client retries a failed request with the same idempotency key, through any
daemon.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import random
import secrets
import time
from typing import Any

import aiohttp
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import bodies
from woadrun.connection import response_ends

RETRY_DELAY_SECONDS = 0.1
ATTEMPT_TIMEOUT_SECONDS = 60.0
TRANSPORT_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class Client:
  """A client that sends each attempt to a random one of several daemons.

  A failed request is retried until `patience` seconds have passed since its
  first attempt.  `retries` counts the retries of all requests.
  """

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    addresses: Sequence[str],
    token: str,
    patience: float = 30.0,
  ) -> None:
    self._session = session
    self.addresses = list(addresses)
    self._token = token
    self._patience = patience
    self.retries = 0

  async def start(
    self, team: str, budget: int, *, request: str = '', **options: Any
  ) -> dict[str, Any]:
    """Starts a program and returns its description."""
    body = {'team': team, 'budget': budget, **options}
    answer: dict[str, Any] = await self.ask(
      'POST', '/v1/programs', body, request=request
    )
    return answer

  async def say(
    self,
    program: str,
    text: str,
    *,
    model: str,
    request: str = '',
    ordinal: int = 0,
    is_stream: bool = True,
    **options: Any,
  ) -> str:
    """Sends a user message in a program and returns the model's reply."""
    headers = {'Woadrun-Program': program, 'Woadrun-History': 'append'}
    if ordinal:
      headers['Woadrun-Ordinal'] = str(ordinal)
    body = {
      'model': model,
      'messages': [{'role': 'user', 'content': text}],
      'stream': is_stream,
      **options,
    }
    data = await self.request_bytes(
      'POST', '/v1/chat/completions', body, request=request, headers=headers
    )
    return read_content(data)

  async def act(
    self,
    program: str,
    target: str,
    body: Any,
    *,
    request: str = '',
    is_repeatable: bool = False,
  ) -> dict[str, Any]:
    """Calls the action `target` (`service/action`) and returns its result."""
    service, action = target.split('/')
    headers = {'Woadrun-Repeatable': 'true'} if is_repeatable else {}
    path = f'/v1/programs/{program}/services/{service}/{action}'
    answer: dict[str, Any] = await self.ask(
      'POST', path, body, request=request, headers=headers
    )
    return answer

  async def ask(
    self,
    method: str,
    path: str,
    body: Any = None,
    *,
    request: str = '',
    headers: dict[str, str] | None = None,
  ) -> Any:
    """Sends a request and returns its decoded JSON response."""
    data = await self.request_bytes(
      method, path, body, request=request, headers=headers
    )
    return decoding.decode_json(data)

  async def request_bytes(
    self,
    method: str,
    path: str,
    body: Any = None,
    *,
    request: str = '',
    headers: dict[str, str] | None = None,
  ) -> bytes:
    """Returns the body of a complete response, retrying through any daemon.

    Retries after transport errors and after errors that carry `retry_after`.
    Raises any other error at once, and the last error after the time for
    retries.
    """
    all_headers = {
      'Authorization': f'Bearer {self._token}',
      'Idempotency-Key': request or secrets.token_hex(12),
      **(headers or {}),
    }
    deadline = time.monotonic() + self._patience
    while True:
      try:
        return await self._send_once(method, path, body, all_headers)
      except TRANSPORT_ERRORS:
        if time.monotonic() > deadline:
          raise
        delay = RETRY_DELAY_SECONDS
      except errors.WoadrunError as error:
        if error.retry_after is None or time.monotonic() > deadline:
          raise
        delay = error.retry_after
      self.retries += 1
      await asyncio.sleep(delay)

  async def _send_once(
    self, method: str, path: str, body: Any, headers: dict[str, str]
  ) -> bytes:
    address = random.choice(self.addresses)
    data = None if body is None else msgspec.json.encode(body)
    async with self._session.request(
      method,
      f'http://{address}{path}',
      data=data,
      headers=headers,
      timeout=aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_SECONDS),
    ) as response:
      response_ends.check_framed(response)
      content = await bodies.read(response, limit=bodies.MAX_PEER_BYTES)
      if response.headers.get('Woadrun-Error'):
        raise errors.from_body(content)
      return content


def read_content(data: bytes) -> str:
  """Returns the text of a chat completion, streamed or not."""
  if data.startswith(b'data: '):
    events = [
      decoding.decode_json(line[6:])
      for line in data.split(b'\n')
      if line.startswith(b'data: {')
    ]
    choices = [choice for event in events for choice in event['choices']]
    return ''.join(c['delta'].get('content') or '' for c in choices)
  answer = decoding.decode_json(data)
  content: str = answer['choices'][0]['message']['content']
  return content
