"""A transactional row store as the daemon sees it: types and interface.

Rows lie in tables; the rows of one part of a table can be changed together.
Each transaction raises one counter, from which the rows it writes take
their version.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import NamedTuple
from typing import Protocol


class Key(NamedTuple):
  """Where a row lies."""

  table: str
  part: str
  name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
  """A row, or the trace of one that was removed.

  `version` is 0 for a row that does not exist.  `is_packed` says that the value
  is compressed.
  """

  key: Key
  value: bytes = b''
  version: int = 0
  is_removed: bool = False
  is_packed: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class Page:
  """Rows as of one moment, in the order of their names.

  `clock` is the store's steady clock as it answered, in seconds, None where
  it tells none.
  """

  rows: tuple[Row, ...]
  version: int
  is_cut: bool = False
  clock: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
  """What became of a transaction.

  When a condition failed, nothing was changed, `is_done` is false and
  `rows` holds the rows of the conditions as they are.  `clock` is that of
  the store, as in a page.
  """

  is_done: bool
  version: int = 0
  rows: tuple[Row, ...] = ()
  clock: float | None = None


class HistoryGone(Exception):
  """Raised when the changes asked for are no longer kept."""


class RowStore(Protocol):
  """The calls of a row store.

  All raise `platform_unavailable` where there is no answer in time or the
  store refuses; `ran` then tells whether a write may have been done.
  """

  async def change(
    self,
    *,
    writes: Sequence[tuple[Key, bytes]] = (),
    removes: Sequence[Key] = (),
    conditions: Sequence[tuple[Key, int]] = (),
  ) -> Outcome:
    """Returns what became of an all-or-nothing change of one part."""

  async def read(
    self, table: str, part: str, *, first: str = '', end: str = ''
  ) -> Page:
    """Returns the rows with names from `first` up to, without, `end`."""

  async def follow(self, table: str, *, after: int, wait: float) -> Page:
    """Returns the changes after a version, as soon as there are any.

    Raises `HistoryGone` where they are no longer kept; `wait` is in
    seconds.
    """
