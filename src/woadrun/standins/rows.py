"""An in-memory row store with injected faults."""

from __future__ import annotations

import asyncio
import bisect
import collections
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import time

from woadrun import errors
from woadrun.connection import rows

# Limits of a change and of a page, with values in base64.
MAX_BYTES = 1_000_000
MAX_PAGE_ROWS = 500


class MemoryRowStore:
  """Implements `rows.RowStore` in memory.

  Faults are injected by attributes.  With `is_out` all calls fail without an
  effect.  With `loses_answers` writes are applied, but then fail with an
  unknown outcome.  `delay` delays writes by some seconds.  `history_from` is
  the oldest version after which changes are still retained.  Changes and pages
  have the limits of the platform's store.
  """

  def __init__(self) -> None:
    self.row_by_key: dict[rows.Key, rows.Row] = {}
    self.version = 0
    self.is_out = False
    self.delay = 0.0
    self.loses_answers = False
    self.history_from = 0
    self.writes = 0
    self.reads = 0
    self._history_by_table: dict[str, list[rows.Row]] = collections.defaultdict(
      list
    )
    # Names that a part has or had; tests remove rows from `row_by_key` only.
    self._names_by_part: dict[tuple[str, str], set[str]] = (
      collections.defaultdict(set)
    )
    self._change_event = asyncio.Event()
    self._notifications = 0

  async def change(
    self,
    *,
    writes: Sequence[tuple[rows.Key, bytes]] = (),
    removes: Sequence[rows.Key] = (),
    conditions: Sequence[tuple[rows.Key, int]] = (),
  ) -> rows.Outcome:
    """Applies a change of one part atomically and returns its outcome.

    Nothing is changed unless all rows in `conditions` have the given versions.
    """
    self._raise_if_out()
    _check_limits(writes, removes, conditions)
    await asyncio.sleep(self.delay)
    self.writes += 1
    current_rows = [self._get(key) for key, _ in conditions]
    required_versions = [version for _, version in conditions]
    if [row.version for row in current_rows] != required_versions:
      return rows.Outcome(
        is_done=False,
        version=self.version,
        rows=tuple(current_rows),
        clock=time.monotonic(),
      )
    self.version += 1
    for key, value in writes:
      row = rows.Row(key=key, value=value, version=self.version)
      self.row_by_key[key] = row
      self._names_by_part[key.table, key.part].add(key.name)
      self._history_by_table[key.table].append(row)
    for key in removes:
      if self.row_by_key.pop(key, None) is not None:
        self._add_removal(key)
    self._change_event.set()
    self._change_event = asyncio.Event()
    if self.loses_answers:
      raise _make_unavailable_error(errors.RunStatus.UNKNOWN)
    return rows.Outcome(
      is_done=True, version=self.version, clock=time.monotonic()
    )

  async def read(
    self, table: str, part: str, *, first: str = '', end: str = ''
  ) -> rows.Page:
    """Returns the rows of a part with `first` <= name < `end`.

    An empty `end` sets no upper bound.
    """
    self._raise_if_out()
    self.reads += 1
    names = sorted(
      name
      for name in self._names_by_part.get((table, part), ())
      if name >= first and (not end or name < end)
    )
    found = (self.row_by_key.get(rows.Key(table, part, name)) for name in names)
    matching_rows = [row for row in found if row is not None]
    page_rows = list(_take_page(matching_rows))
    page = self._make_page(page_rows)
    return dataclasses.replace(page, is_cut=len(page_rows) < len(matching_rows))

  async def follow(self, table: str, *, after: int, wait: float) -> rows.Page:
    """Waits for changes after a version and returns them.

    The page is empty if there are none within `wait` seconds.  Raises
    `HistoryGone` where the changes are no longer retained.
    """
    self._raise_if_out()
    if after < self.history_from:
      raise rows.HistoryGone(table)
    until = time.monotonic() + wait
    notifications = self._notifications
    while not (matching_rows := self._find_changes(table, after)):
      if self._notifications != notifications:
        break
      changed = self._change_event
      try:
        async with asyncio.timeout(until - time.monotonic()):
          await changed.wait()
      except TimeoutError:
        break
      self._raise_if_out()
    return self._make_page(matching_rows)

  def _make_page(self, matching_rows: Sequence[rows.Row]) -> rows.Page:
    return rows.Page(
      rows=tuple(matching_rows), version=self.version, clock=time.monotonic()
    )

  def notify_followers(self) -> None:
    """Wakes all waiting `follow` calls, for example after a fault was set."""
    self._notifications += 1
    self._change_event.set()
    self._change_event = asyncio.Event()

  def remove_without_notification(self, key: rows.Key) -> None:
    """Removes a row even if `is_out` is set, without waking `follow` calls."""
    self.version += 1
    del self.row_by_key[key]
    self._add_removal(key)

  def _add_removal(self, key: rows.Key) -> None:
    self._names_by_part[key.table, key.part].discard(key.name)
    self._history_by_table[key.table].append(
      rows.Row(key=key, version=self.version, is_removed=True)
    )

  def _find_changes(self, table: str, after: int) -> list[rows.Row]:
    history = self._history_by_table[table]
    begin = bisect.bisect_right(history, after, key=lambda row: row.version)
    return history[begin:]

  def _get(self, key: rows.Key) -> rows.Row:
    return self.row_by_key.get(key) or rows.Row(key=key)

  def _raise_if_out(self) -> None:
    if self.is_out:
      raise _make_unavailable_error(errors.RunStatus.NOT_RUN)


def _check_limits(
  writes: Sequence[tuple[rows.Key, bytes]],
  removes: Sequence[rows.Key],
  conditions: Sequence[tuple[rows.Key, int]],
) -> None:
  keys = [
    *(key for key, _ in writes),
    *removes,
    *(key for key, _ in conditions),
  ]
  encoded = sum((len(value) + 2) // 3 * 4 for _, value in writes)
  if (
    len(keys) > rows.MAX_CHANGE_ROWS
    or encoded > MAX_BYTES
    or any(len(key.name.encode()) > rows.MAX_NAME_BYTES for key in keys)
  ):
    raise rows.CallRejected(
      errors.Code.PLATFORM_UNAVAILABLE,
      f'The store rejects a change of {len(keys)} rows and {encoded} bytes.',
    )


def _take_page(matching_rows: Sequence[rows.Row]) -> Iterator[rows.Row]:
  """Yields as many rows as a page holds, at least one."""
  size = 0
  for number, row in enumerate(matching_rows):
    size += (len(row.value) + 2) // 3 * 4
    if number == MAX_PAGE_ROWS or (number and size > MAX_BYTES):
      return
    yield row


def _make_unavailable_error(ran: errors.RunStatus) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.PLATFORM_UNAVAILABLE, 'The store is unavailable.', ran=ran
  )
