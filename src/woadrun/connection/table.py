"""A client of the platform's table service.

Rows are HTTP resources with entity tags; a compare-and-swap is a conditional
PUT (RFC 9110, section 13).
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import TypeVar
import uuid

import aiohttp
import msgspec

from woadrun import errors
from woadrun.connection import http
from woadrun.connection import memory_account

MAX_WRITE_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoredRow:
  """A row's value and its entity tag, which a conditional write names."""

  value: bytes
  etag: str


class ListedRow(msgspec.Struct, frozen=True):
  """A row in a listing; `value` is the stored JSON text."""

  key: str
  value: str


class WriteMarker(msgspec.Struct, frozen=True):
  """The field of each value that identifies the write that stored it."""

  write_id: str = ''


class Conflict(Exception):
  """Raised when a row does not have the expected entity tag."""


T = TypeVar('T', bound=msgspec.Struct)


class Table:
  """A client of one table service.

  `timeout` is in seconds.  `reads` and `writes` count the requests sent.
  `account` counts the answers while they are read.
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
    self._timeout = timeout
    self.reads = 0
    self.writes = 0

  async def read(self, table: str, key: str) -> StoredRow | None:
    """Returns a row, or None if it does not exist."""
    self.reads += 1
    reply = await http.send(
      self._session,
      'GET',
      self._get_url(table, key),
      timeout=self._timeout,
      account=self._account,
    )
    if reply.status == 404:
      return None
    return StoredRow(value=reply.body, etag=reply.etag)

  async def list_after(
    self, table: str, after: str, *, limit: int = 200
  ) -> list[ListedRow]:
    """Returns up to `limit` rows with keys above `after`, in key order."""
    self.reads += 1
    url = f'{self._url}/tables/{table}/rows?after={after}&limit={limit}'
    reply = await http.send(
      self._session,
      'GET',
      url,
      timeout=self._timeout,
      account=self._account,
    )
    return http.decode(reply.body, type=list[ListedRow])

  async def write(
    self, table: str, key: str, value: bytes, *, etag: str | None
  ) -> None:
    """Stores a row if it still has `etag` (None: if it does not exist).

    After a lost response the row is read back and, unless it has the id of
    this write, the write is retried with the same id.  The row is read back
    after a conflict too, since HTTP clients may send a PUT twice.

    Raises `Conflict` when another write came first, and
    `platform_unavailable` when the service is unavailable or the outcome
    remains unknown.
    """
    write_id = msgspec.json.decode(value, type=WriteMarker).write_id
    for attempt in range(MAX_WRITE_ATTEMPTS):
      try:
        await self._put(table, key, value, etag)
        return
      except Conflict:
        if await self._is_stored(table, key, write_id):
          return
        raise
      except errors.WoadrunError as error:
        if (
          error.ran is errors.RunStatus.NOT_RUN
          or attempt == MAX_WRITE_ATTEMPTS - 1
        ):
          raise
        if await self._is_stored(table, key, write_id):
          return

  async def update(
    self,
    table: str,
    key: str,
    change: Callable[[T], T | None],
    *,
    type: type[T],
    empty: T,
  ) -> T:
    """Changes a row by compare-and-swap and returns its value.

    `change` is called with the current value (`empty` for a new row) and
    returns the new one, or None to leave the row unchanged.  It is called
    again after a conflict.
    """
    while True:
      row = await self.read(table, key)
      current = http.decode(row.value, type=type) if row else empty
      new = change(current)
      if new is None:
        return current
      new = msgspec.structs.replace(new, write_id=uuid.uuid4().hex)
      try:
        value = msgspec.json.encode(new)
        await self.write(table, key, value, etag=row.etag if row else None)
        return new
      except Conflict:
        continue

  def _get_url(self, table: str, key: str) -> str:
    return f'{self._url}/tables/{table}/rows/{key}'

  async def _put(
    self, table: str, key: str, value: bytes, etag: str | None
  ) -> None:
    self.writes += 1
    condition = {'If-None-Match': '*'} if etag is None else {'If-Match': etag}
    reply = await http.send(
      self._session,
      'PUT',
      self._get_url(table, key),
      timeout=self._timeout,
      body=value,
      headers=condition,
      account=self._account,
    )
    if reply.status == 412:
      raise Conflict(f'{table}/{key}')

  async def _is_stored(self, table: str, key: str, write_id: str) -> bool:
    row = await self.read(table, key)
    if row is None:
      return False
    return http.decode(row.value, type=WriteMarker).write_id == write_id
