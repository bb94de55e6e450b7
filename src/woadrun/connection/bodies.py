"""Reads bodies of responses within a bound on their size."""

from __future__ import annotations

import aiohttp

from woadrun.connection import memory_account

# Size of a body that nobody reads but to reuse its connection.
MAX_DRAINED_BYTES = 65_536
# Size of a body that tells why a call was rejected.
MAX_ERROR_BYTES = 65_536
# Size of an answer of the platform's services, of which pages are the largest.
MAX_PLATFORM_BYTES = 16 * 1024 * 1024
# Size of the result of a call of a service, and of an answer of a daemon.
MAX_RESULT_BYTES = 16 * 1024 * 1024
MAX_PEER_BYTES = 64 * 1024 * 1024


async def read(
  response: aiohttp.ClientResponse,
  *,
  limit: int,
  holder: memory_account.Holder | None = None,
) -> bytes:
  """Returns the whole body of a response.

  Closes the response and raises `aiohttp.ClientError` if the body has more than
  `limit` bytes, or more than `holder` may count.
  """
  parts: list[bytes] = []
  size = 0
  if holder is not None:
    holder.on_evict = response.close
  try:
    async for part in response.content.iter_any():
      parts.append(part)
      size += len(part)
      if size > limit:
        response.close()
        raise aiohttp.ClientPayloadError(f'The body exceeds {limit} bytes.')
      if holder is not None:
        _count(response, holder, len(part))
    if holder is not None:
      holder.on_evict = None
    return b''.join(parts)
  finally:
    # The traceback of an error keeps this frame for as long as the error is
    # handled, while the account counts the bytes as let go.
    parts.clear()


def _count(
  response: aiohttp.ClientResponse, holder: memory_account.Holder, size: int
) -> None:
  try:
    holder.grow(size)
  except memory_account.MemoryExceeded as error:
    response.close()
    raise aiohttp.ClientPayloadError(str(error)) from error
