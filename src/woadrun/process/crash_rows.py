"""Keeps the places that instances hold of a request in the row store.

Callers send a request again for longer than any daemon lives, and through
daemons that no other one reaches.  Each place that a daemon of the fleet
reports (`crash_reports.py`) therefore has a row, from the loss of a connection
until a sign of the instance gives the place back.  A daemon that starts reads
all rows; one that does not hear all others reads the changes before it sends a
request (`decisions/crash_limit.py`).
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import logging
import math
import time
from typing import Annotated

import mode
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import attempt_reports
from woadrun.connection import rows
from woadrun.decisions import crash_limit
from woadrun.process import feed
from woadrun.process.load import crash_records
from woadrun.process.load import request_attempts
from woadrun.process.store import store_access
from woadrun.request import fingerprints

log = logging.getLogger('woadrun.crashes')

# Table of the row store with one row for each place.
TABLE = 'crash_places'
# Rows in one write, in which a removal counts twice for its condition.
MAX_BATCH_ROWS = rows.MAX_CHANGE_ROWS // 2
# Interval between two writes, so that the places of a moment share one.
WRITE_INTERVAL_SECONDS = 0.05
# Delay of a write after one that failed.
RETRY_DELAY_SECONDS = 0.5
# Delay after changes by others, which reports tell earlier.
BATCH_DELAY_SECONDS = 0.5
# Longest wait for the changes before a request is sent.
READ_TIMEOUT_SECONDS = 0.3
# Time for which a daemon that stops waits for its last write.
STOP_TIMEOUT_SECONDS = 0.3
# Longest ids in a row of another writer.
MAX_ID_CHARACTERS = 1024
DIGEST_BYTES = 16

State = crash_limit.State
_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_CHARACTERS)]


class PlaceRow(msgspec.Struct, frozen=True, kw_only=True):
  """The value of a row: a place of a request that an instance holds."""

  fingerprint: _Id
  incarnation_id: _Id
  is_ended: bool = False


class CrashRows(mode.Service):
  """Writes the places of this daemon to the store, and applies all others.

  `feed` follows the table.  `rejections` counts rows of other writers that
  could not be read.
  """

  def __init__(
    self,
    *,
    store: store_access.StoreAccess,
    records: crash_records.CrashRecords,
  ) -> None:
    super().__init__()
    self._store = store
    self._records = records
    self._row_by_name: dict[str, PlaceRow] = {}
    self._version_by_name: dict[str, int] = {}
    self._names_by_request = request_attempts.Index()
    # The rows to write, and to remove where there is None.
    self._unwritten: dict[str, PlaceRow | None] = {}
    self._writer: asyncio.Task[None] | None = None
    self._reader: asyncio.Task[None] | None = None
    self._read_at = -math.inf
    self.rejections = decoding.Rejections(kind='place row', log=log)
    self.feed = feed.Feed(
      store=store,
      table=TABLE,
      on_list=self._apply_list,
      on_row=self._apply_row,
      on_read=self._record_read,
      batch_delay=BATCH_DELAY_SECONDS,
    )
    records.on_dropped = self._remove_all
    records.on_cleared = self._cancel_puts

  async def on_start(self) -> None:
    """Starts to follow the table."""
    await self.add_runtime_dependency(self.feed)

  async def on_stop(self) -> None:
    """Writes what is left, which nobody else may know."""
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
        if self._writer is not None:
          await self._writer
    for task in (self._writer, self._reader):
      if task is not None:
        task.cancel()

  @property
  def is_loaded(self) -> bool:
    """Whether this daemon knows the rows from before its start."""
    return self.feed.version is not None

  @property
  def is_write_awaited(self) -> bool:
    """Whether a row is about to be written to a store that can be reached."""
    return bool(self._unwritten) and self._store.is_reachable

  @property
  def unread_seconds(self) -> float:
    """The seconds since a call began by which all changes were read."""
    return time.monotonic() - self._read_at

  # --- To the store ---------------------------------------------------------

  def record(self, report: attempt_reports.AttemptReport) -> None:
    """Takes over a report of this daemon, which is written in a moment."""
    id = report.incarnation_id
    if request_attempts.is_claim(id):
      return
    name = _make_name(report.fingerprint, id)
    if report.state is State.COMPLETE:
      self._remove_all(report.fingerprint)
    elif not crash_limit.is_held(report.state):
      self._put(name, None)
    else:
      row = PlaceRow(
        fingerprint=report.fingerprint,
        incarnation_id=id,
        is_ended=report.state is State.ENDED,
      )
      self._put(name, row)

  def _put(self, name: str, row: PlaceRow | None) -> None:
    """Has a row written, or removed where there is None."""
    if self._unwritten.get(name, self._row_by_name.get(name)) == row:
      return
    self._unwritten[name] = row
    if row is not None:
      self._names_by_request.add(row.fingerprint, name)
    if self._writer is None or self._writer.done():
      self._writer = asyncio.ensure_future(self._write_all())

  def _remove_all(self, fingerprint: str) -> None:
    """Removes the rows of a request."""
    for name in list(self._names_by_request.get(fingerprint, ())):
      self._put(name, None)

  def _cancel_puts(self, fingerprint: str) -> None:
    """Removes the rows of a request that are being written.

    Whoever cleared the request removes those that are known.
    """
    for name in self._names_by_request.get(fingerprint, ()):
      if self._unwritten.get(name) is not None:
        self._unwritten[name] = None

  async def _write_all(self) -> None:
    while self._unwritten:
      batch = dict(itertools.islice(self._unwritten.items(), MAX_BATCH_ROWS))
      try:
        await self._write(batch)
      except errors.WoadrunError as error:
        log.warning('Cannot write %d places: %s', len(batch), error.message)
        await asyncio.sleep(RETRY_DELAY_SECONDS)
        continue
      await asyncio.sleep(WRITE_INTERVAL_SECONDS)

  async def _write(self, batch: dict[str, PlaceRow | None]) -> None:
    """Writes some rows and removes others.

    A row is removed only as it is known: a removal whose answer is lost may be
    done later, and must not remove a place that was taken since.
    """
    version_by_name = {
      name: self._version_by_name[name]
      for name, row in batch.items()
      if row is None and name in self._version_by_name
    }
    outcome = await self._store.change(
      writes=[
        (_make_key(name), msgspec.json.encode(row))
        for name, row in batch.items()
        if row is not None
      ],
      removes=[_make_key(name) for name in version_by_name],
      conditions=[(_make_key(name), v) for name, v in version_by_name.items()],
    )
    if not outcome.is_done:
      self._note_changed(outcome, version_by_name)
      return
    for name, row in batch.items():
      # A newer state may be waiting.
      if self._unwritten.get(name) == row:
        self._unwritten.pop(name, None)
      self._note(name, row, outcome.version)

  def _note_changed(
    self, outcome: rows.Outcome, version_by_name: dict[str, int]
  ) -> None:
    """Notes which rows to remove have changed; leaves those in use again."""
    present = {row.key.name: row.version for row in outcome.rows}
    for name, version in version_by_name.items():
      newer = present.get(name, 0)
      if newer == version:
        continue
      # None if the feed has told meanwhile that another daemon removed it.
      row = self._row_by_name.get(name)
      if newer and row is not None:
        self._version_by_name[name] = newer
      elif not newer:
        self._note(name, None, outcome.version)
      is_kept = row is None or self._records.is_held(
        row.fingerprint, row.incarnation_id
      )
      if (is_kept or not newer) and self._unwritten.get(name) is None:
        self._unwritten.pop(name, None)

  def _note(self, name: str, row: PlaceRow | None, version: int) -> None:
    """Notes what the store has under a name since a version."""
    if version < self._version_by_name.get(name, 0):
      return
    known = self._row_by_name.pop(name, None)
    if row is not None:
      self._row_by_name[name] = row
      self._version_by_name[name] = version
      self._names_by_request.add(row.fingerprint, name)
      return
    self._version_by_name.pop(name, None)
    if known is not None and self._unwritten.get(name) is None:
      self._names_by_request.take(known.fingerprint, name)

  # --- From the store -------------------------------------------------------

  async def read(self) -> None:
    """Reads the changes, or waits in vain for READ_TIMEOUT_SECONDS."""
    if self._reader is None or self._reader.done():
      self._reader = asyncio.ensure_future(self._read())
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(READ_TIMEOUT_SECONDS):
        await asyncio.shield(self._reader)

  async def _read(self) -> None:
    try:
      await self.feed.refresh()
    except errors.WoadrunError as error:
      log.warning(
        'Neither all members nor the store can be heard: %s', error.message
      )

  def _record_read(self, began: float) -> None:
    self._read_at = max(self._read_at, began)

  def _apply_list(self, listed: tuple[rows.Row, ...]) -> None:
    names = {row.key.name for row in listed}
    for name in [name for name in self._row_by_name if name not in names]:
      self._drop(name, self.feed.version or 0)
    for row in listed:
      self._apply_row(row)

  def _apply_row(self, row: rows.Row) -> None:
    name = row.key.name
    if row.is_removed:
      self._drop(name, row.version)
      return
    if row.version <= self._version_by_name.get(name, 0):
      return
    try:
      place = decoding.decode_json(row.value, type=PlaceRow)
    except decoding.MalformedData as error:
      self.rejections.record(name, error)
      return
    was_ended = name in self._row_by_name and self._row_by_name[name].is_ended
    self._note(name, place, row.version)
    state = State.SURVIVED if was_ended else State.LOST
    self._records.hold(
      place.fingerprint,
      place.incarnation_id,
      State.ENDED if place.is_ended else state,
    )

  def _drop(self, name: str, version: int) -> None:
    known = self._row_by_name.get(name)
    if known is None or version < self._version_by_name.get(name, 0):
      return
    self._note(name, None, version)
    if self._unwritten.get(name) is None:
      self._unwritten.pop(name, None)
      self._records.give_back(known.fingerprint, known.incarnation_id)


def _make_name(fingerprint: str, incarnation_id: str) -> str:
  """Returns the name of a row, which is short however long an id is."""
  digest = hashlib.blake2b(
    f'{fingerprint} {incarnation_id}'.encode(), digest_size=DIGEST_BYTES
  )
  return f'{fingerprints.shorten(fingerprint)}-{digest.hexdigest()}'


def _make_key(name: str) -> rows.Key:
  return rows.Key(TABLE, '', name)
