"""Types and interface of a transactional row store.

The rows of a table are divided into parts; rows of the same part can be changed
in one transaction.  Each transaction increments one counter of the store, whose
value becomes the version of the rows written.  A transaction is limited in its
rows and bytes, and so is a page of rows that are read.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import hashlib
from typing import NamedTuple
from typing import Protocol

from woadrun import errors

# Maximum number of rows in one transaction.
MAX_CHANGE_ROWS = 100
# Maximum size of the values in one transaction.  A store takes a megabyte with
# the values in base64, names and punctuation.
MAX_CHANGE_BYTES = 700_000
# Maximum size of a name in UTF-8.
MAX_NAME_BYTES = 200
# Maximum size of an id that is a name by itself; the rest is left for the
# number of a piece.
MAX_ID_BYTES = MAX_NAME_BYTES - 10


class Key(NamedTuple):
  """The key of a row: its table, the part of the table, and its name."""

  table: str
  part: str
  name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
  """A row, or the tombstone of a deleted one.

  `version` is 0 for a row that does not exist.  `is_removed` marks a tombstone,
  `is_packed` a compressed value.
  """

  key: Key
  value: bytes = b''
  version: int = 0
  is_removed: bool = False
  is_packed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Page:
  """Rows, or changes of rows, as of one version of the store.

  Rows that `RowStore.read` returns are in the order of their names.  `version`
  is the version of the store.  `is_cut` tells that more rows follow.  `clock`
  is the store's monotonic clock at the time of its answer, in seconds, None if
  the store does not report it.
  """

  rows: tuple[Row, ...]
  version: int
  is_cut: bool = False
  clock: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
  """The result of a transaction.

  If a condition failed, nothing was changed, `is_done` is false and `rows`
  holds the current rows of the conditions.  `clock` is as in `Page`.
  """

  is_done: bool
  version: int = 0
  rows: tuple[Row, ...] = ()
  clock: float | None = None


class CallRejected(errors.WoadrunError):
  """Raised when the store rejects a call as invalid, as it would each time.

  The store itself can be reached.
  """


class HistoryGone(Exception):
  """Raised when the store no longer has the changes after a version."""


class RowStore(Protocol):
  """A client of a row store.

  All methods raise `platform_unavailable` when the store does not answer in
  time or does not serve this VM; the error's `ran` tells whether a write may
  have been applied.  They raise `CallRejected` for a call that is not valid.
  """

  async def change(
    self,
    *,
    writes: Sequence[tuple[Key, bytes]] = (),
    removes: Sequence[Key] = (),
    conditions: Sequence[tuple[Key, int]] = (),
  ) -> Outcome:
    """Applies writes and deletions to one part atomically.

    They are applied only if each row of `conditions` has the given version;
    version 0 means that the row does not exist.  Returns the result.
    """

  async def read(
    self, table: str, part: str, *, first: str = '', end: str = ''
  ) -> Page:
    """Returns the rows of a part with names from `first` up to `end`.

    `end` is excluded; if it is empty there is no upper bound.
    """

  async def follow(self, table: str, *, after: int, wait: float) -> Page:
    """Returns the changes of a table after version `after`.

    If there are none yet, waits for the first one for at most `wait` seconds.
    Raises `HistoryGone` when the store no longer has the changes.
    """


def make_name(id: str) -> str:
  """Returns the name of the row of an id.

  It is the id itself unless that is too long, or contains a slash, by which the
  numbers of pieces are set apart; then it is a number sign and a digest.
  """
  if '/' in id or id.startswith('#') or len(id.encode()) > MAX_ID_BYTES:
    return f'#{hashlib.blake2b(id.encode(), digest_size=16).hexdigest()}'
  return id


def split_writes(
  writes: Sequence[tuple[Key, bytes]],
) -> Iterator[list[tuple[Key, bytes]]]:
  """Yields writes in their order, grouped into transactions within the limits.

  A value that exceeds the limit by itself is in a transaction of its own.
  """
  group: list[tuple[Key, bytes]] = []
  size = 0
  for key, value in writes:
    is_full = len(group) == MAX_CHANGE_ROWS or (
      size + len(value) > MAX_CHANGE_BYTES
    )
    if group and is_full:
      yield group
      group, size = [], 0
    group.append((key, value))
    size += len(value)
  if group:
    yield group
