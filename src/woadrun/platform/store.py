"""HTTP client of the platform's metadata store.

The store holds versioned rows, in tables that are divided into parts;
`woadrun.connection.rows` defines these terms.  The structs here have the field
names of the platform's JSON.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import logging
import re
import time
from typing import Any
import urllib.parse

import aiohttp
import msgspec
import yarl

from woadrun import decoding
from woadrun import errors
from woadrun.connection import http
from woadrun.connection import memory_account
from woadrun.connection import rows
from woadrun.connection import tcp_connections
from woadrun.platform import operator

# Added to the wait of a long poll to get its timeout.  The margin covers the
# network, a slow store and a timer that fires late.
LONG_POLL_MARGIN_SECONDS = 1.5
# A read or transaction that is cancelled after this time without a response may
# have been on a silent connection: the store usually answers within a few
# milliseconds.
SILENCE_THRESHOLD_SECONDS = 0.1
# Statuses by which the store rejects a call for what it contains.
_INVALID_CALL_STATUSES = frozenset((400, 413, 414, 422, 431))


log = logging.getLogger('woadrun.store')
_rejections = decoding.Rejections(kind='row', log=log)

# Brackets, and texts, in which brackets have no meaning.
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
# Depth of the rows of a reply, within the reply and the list.
_ROW_DEPTH = 3
# Bytes of a malformed row that are shown.
_SHOWN_BYTES = 120


class _RowKey(msgspec.Struct, kw_only=True):
  """A row's key.

  `tls_key` is what the platform calls the row's name; it has nothing to do with
  TLS.
  """

  table: str
  part: str = ''
  tls_key: str


class _Condition(_RowKey, kw_only=True):
  """A precondition of a transaction: the row has version `ver`.

  Version 0 means that the row does not exist.
  """

  ver: int


class _Write(_RowKey, kw_only=True):
  """A row to write, with its new value in base64."""

  value: str


class _Row(_RowKey, kw_only=True):
  """A row in a reply.

  Programs other than this one can store any JSON as the value.  A value that is
  not valid base64 is read as empty, so that it does not make the other rows of
  the reply unreadable.  `deleted` marks the tombstone of a deleted row.
  """

  value: msgspec.Raw = msgspec.Raw(b'""')
  ver: int = 0
  deleted: bool = False


class _Transaction(msgspec.Struct, kw_only=True):
  """A transaction; `expected_revision` lists its preconditions."""

  expected_revision: list[_Condition]
  writes: list[_Write]
  remove: list[_RowKey]


class _RowsReply(msgspec.Struct, kw_only=True):
  """A reply with rows.

  `ver` is the latest version across all tables.  `truncated` tells that more
  rows follow.  `now_ms` is the store's monotonic clock in milliseconds, None if
  the store does not report it.
  """

  rows: list[_Row] = []
  ver: int = 0
  truncated: bool = False
  now_ms: float | None = None


class Store:
  """A client of the platform's store; implements `rows.RowStore`.

  All methods raise `platform_unavailable` as described there.  `timeout` is
  that of reads and transactions, in seconds; `calls` counts the requests sent.
  `account` counts the answers while they are read.
  """

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    address: str,
    timeout: float,
    addresses: tcp_connections.Addresses,
    account: memory_account.Account | None = None,
  ) -> None:
    self._account = account
    self._session = session
    self._addresses = addresses
    self._timeout = timeout
    self.calls = 0
    self.set_address(address)

  def set_address(self, address: str) -> None:
    """Sends all further calls to `address`, an IP:PORT."""
    self.address = address

  async def change(
    self,
    *,
    writes: Sequence[tuple[rows.Key, bytes]] = (),
    removes: Sequence[rows.Key] = (),
    conditions: Sequence[tuple[rows.Key, int]] = (),
  ) -> rows.Outcome:
    """Applies an atomic change to the rows of one part; returns its outcome.

    If a condition failed, nothing is changed and the outcome is not `is_done`.
    """
    body = _Transaction(
      expected_revision=[
        _Condition(**_encode_key(key), ver=version)
        for key, version in conditions
      ],
      writes=[
        _Write(**_encode_key(key), value=base64.b64encode(value).decode())
        for key, value in writes
      ],
      remove=[_RowKey(**_encode_key(key)) for key in removes],
    )
    reply = await self._send(
      'POST', 'rows-tx', body=msgspec.json.encode(body), timeout=self._timeout
    )
    answer = _decode(reply)
    found = tuple(_get_row(row) for row in answer.rows)
    return rows.Outcome(
      is_done=reply.status == 200,
      version=answer.ver,
      rows=found,
      clock=_get_clock(answer),
    )

  async def read(
    self, table: str, part: str, *, first: str = '', end: str = ''
  ) -> rows.Page:
    """Returns the rows whose names are in the range [`first`, `end`).

    An empty bound is no bound.
    """
    query = {'table': table, 'part': part}
    if first:
      query['from'] = first
    if end:
      # The platform's parameter for the exclusive end of a key range.
      query['target_version'] = end
    reply = await self._send(
      'GET', 'rows-get', query=query, timeout=self._timeout
    )
    return _get_page(_decode(reply))

  async def follow(self, table: str, *, after: int, wait: float) -> rows.Page:
    """Returns the changes after version `after`, by a long poll.

    The store answers as soon as there are changes, or with an empty page after
    `wait` seconds.  Raises `rows.HistoryGone` if it no longer has the changes.
    """
    query = {
      'table': table,
      'after': str(after),
      'wait_ms': str(int(wait * 1000)),
    }
    reply = await self._send(
      'GET', 'rows-feed', query=query, timeout=wait + LONG_POLL_MARGIN_SECONDS
    )
    if reply.status == 410:
      raise rows.HistoryGone(table)
    return _get_page(_decode(reply))

  async def _send(
    self,
    method: str,
    call: str,
    *,
    timeout: float,
    query: dict[str, str] | None = None,
    body: bytes | None = None,
  ) -> http.Reply:
    self.calls += 1
    url = f'http://{self._addresses.get_host(self.address)}/-/{call}'
    if query:
      url += '?' + urllib.parse.urlencode(query)
    headers = {'Content-Type': 'application/json'} if body else None
    address = self.address
    generation = self._addresses.get_generation(address)
    started_at = time.monotonic()

    def reset_connections() -> None:
      self._addresses.reset_connections(address, generation=generation)

    try:
      return await http.send(
        self._session,
        method,
        yarl.URL(url, encoded=True),
        body=body,
        headers=headers,
        timeout=timeout,
        on_silence=reset_connections,
        account=self._account,
      )
    except asyncio.CancelledError:
      seconds = time.monotonic() - started_at
      # A long poll may wait without a response.
      if timeout <= self._timeout and seconds > SILENCE_THRESHOLD_SECONDS:
        reset_connections()
      raise


def _encode_key(key: rows.Key) -> dict[str, Any]:
  return {'table': key.table, 'part': key.part, 'tls_key': key.name}


def _get_row(row: _Row) -> rows.Row:
  return rows.Row(
    key=rows.Key(row.table, row.part, row.tls_key),
    value=_decode_value(row),
    version=row.ver,
    is_removed=row.deleted,
  )


def _decode_value(row: _Row) -> bytes:
  try:
    text = decoding.decode_json(row.value, type=str)
    value = decoding.run(lambda: base64.b64decode(text))
  except decoding.MalformedData as error:
    _rejections.record(f'{row.tls_key} of table {row.table}', error)
    return b''
  # API keys must not leave this package: in the operator's table, they are
  # replaced by digests.
  return operator.hash_api_keys(value) if row.table == operator.TABLE else value


def _get_page(answer: _RowsReply) -> rows.Page:
  found = tuple(_get_row(row) for row in answer.rows)
  return rows.Page(
    rows=found,
    version=answer.ver,
    is_cut=answer.truncated,
    clock=_get_clock(answer),
  )


def _get_clock(answer: _RowsReply) -> float | None:
  return None if answer.now_ms is None else answer.now_ms / 1000


def _decode(reply: http.Reply) -> _RowsReply:
  # 412 is the status of a transaction with a failed precondition; its body has
  # the current rows.
  if reply.status in _INVALID_CALL_STATUSES:
    raise rows.CallRejected(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'The store rejected a call with status {reply.status}.',
    )
  if reply.status not in (200, 412):
    raise errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'The store answered with status {reply.status}.',
      retry_after=http.RETRY_AFTER_SECONDS,
    )
  try:
    return _decode_reply(reply.body)
  except decoding.MalformedData as error:
    # The status says that the store processed the request, unlike above, so a
    # transaction may have been applied.
    raise errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'The response of the store is malformed: {error}',
      ran=errors.RunStatus.UNKNOWN,
      retry_after=http.RETRY_AFTER_SECONDS,
    ) from error


def _decode_reply(body: bytes) -> _RowsReply:
  """Returns a reply, without rows that cannot be decoded.

  Raises `decoding.MalformedData` if the reply as a whole is malformed.
  """
  try:
    return decoding.decode_json(body, type=_RowsReply)
  except decoding.MalformedData:
    spans = list(_find_rows(body))
    if not spans:
      raise
  rest = body[: spans[0][0]] + body[spans[-1][1] :]
  reply: _RowsReply = decoding.decode_json(rest, type=_RowsReply)
  found = [body[start:end] for start, end in spans]
  return msgspec.structs.replace(reply, rows=list(_decode_rows(found)))


def _decode_rows(found: Iterable[bytes]) -> Iterator[_Row]:
  for data in found:
    try:
      yield decoding.decode_json(data, type=_Row)
    except decoding.MalformedData as error:
      _rejections.record(data[:_SHOWN_BYTES].decode('utf-8', 'replace'), error)


def _find_rows(body: bytes) -> Iterator[tuple[int, int]]:
  """Yields where each element of `rows` begins and ends in a reply.

  Without recursion: a value that is nested too deep ends other decoders.
  """
  depth = 0
  is_in_rows = False
  start = 0
  for token in _TOKENS.finditer(body):
    text = token[0]
    if text in b'{[':
      depth += 1
      if depth == _ROW_DEPTH and is_in_rows:
        start = token.start()
    elif text in b'}]':
      if depth == _ROW_DEPTH and is_in_rows:
        yield start, token.end()
      depth -= 1
      is_in_rows &= depth >= _ROW_DEPTH - 1
    elif depth == 1:
      is_in_rows = text == b'"rows"'
