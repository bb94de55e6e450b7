"""A client of the platform's object store, which keeps whole objects by key."""

from __future__ import annotations

import urllib.parse

import aiohttp

from woadrun.connection import http
from woadrun.connection import memory_account

# Writing a group of records or a checkpoint may take longer than writing a
# row, so requests get this multiple of the platform timeout.
TIMEOUT_FACTOR = 4


class ObjectStore:
  """A client of one object store.

  `timeout` is the platform timeout in seconds.  `writes` and `written_bytes`
  count the objects put and their bytes.  `account` counts the answers while
  they are read.
  """

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    url: str,
    timeout: float,
    account: memory_account.Account | None = None,
  ) -> None:
    self._account = account
    self._session = session
    self._url = url.rstrip('/')
    self._timeout = timeout * TIMEOUT_FACTOR
    self.writes = 0
    self.written_bytes = 0

  async def put(self, key: str, value: bytes) -> None:
    """Stores an object; the operation is idempotent."""
    self.writes += 1
    self.written_bytes += len(value)
    await self._send('PUT', f'/objects/{key}', value)

  async def get(self, key: str) -> bytes | None:
    """Returns an object, or None if it does not exist."""
    reply = await self._send('GET', f'/objects/{key}')
    return None if reply.status == 404 else reply.body

  async def delete(self, key: str) -> None:
    """Deletes an object if it exists."""
    await self._send('DELETE', f'/objects/{key}')

  async def list_keys(self, prefix: str) -> list[str]:
    """Returns all keys that start with `prefix`, in ascending order."""
    query = urllib.parse.urlencode({'prefix': prefix})
    reply = await self._send('GET', f'/objects?{query}')
    return http.decode(reply.body, type=list[str])

  async def _send(
    self, method: str, path: str, body: bytes | None = None
  ) -> http.Reply:
    return await http.send(
      self._session,
      method,
      self._url + path,
      timeout=self._timeout,
      body=body,
      account=self._account,
    )
