"""An in-memory row store with injected faults."""

from __future__ import annotations

import asyncio
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
    self._history: list[rows.Row] = []
    self._change_event = asyncio.Event()

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
      self._history.append(row)
    for key in removes:
      if self.row_by_key.pop(key, None) is not None:
        self._history.append(
          rows.Row(key=key, version=self.version, is_removed=True)
        )
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
    matching_rows = [
      row
      for key, row in sorted(self.row_by_key.items())
      if (key.table, key.part) == (table, part)
      and key.name >= first
      and (not end or key.name < end)
    ]
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
    matching_rows = self._find_changes(table, after)
    if not matching_rows:
      changed = self._change_event
      try:
        await asyncio.wait_for(changed.wait(), wait)
      except TimeoutError:
        return self._make_page([])
      self._raise_if_out()
      matching_rows = self._find_changes(table, after)
    return self._make_page(matching_rows)

  def _make_page(self, matching_rows: Sequence[rows.Row]) -> rows.Page:
    return rows.Page(
      rows=tuple(matching_rows), version=self.version, clock=time.monotonic()
    )

  def notify_followers(self) -> None:
    """Wakes all waiting `follow` calls, for example after a fault was set."""
    self._change_event.set()
    self._change_event = asyncio.Event()

  def remove_without_notification(self, key: rows.Key) -> None:
    """Removes a row even if `is_out` is set, without waking `follow` calls."""
    self.version += 1
    del self.row_by_key[key]
    self._history.append(
      rows.Row(key=key, version=self.version, is_removed=True)
    )

  def _find_changes(self, table: str, after: int) -> list[rows.Row]:
    return [
      row
      for row in self._history
      if row.key.table == table and row.version > after
    ]

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
