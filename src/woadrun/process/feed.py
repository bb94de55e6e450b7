"""Follows one table of the row store: first a full list, then its changes.

The row store (the store) is the platform's transactional table service.  Each
transaction increments one counter, the version of the store, whose value
becomes the version of the rows written.  A table is divided into named parts; a
feed follows the part with the empty name.

A few daemons of each failure domain, a group of VMs that may be cut off
together, follow the store itself; the others fetch the changes from daemons
that have them (`feed_sync.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import logging
import time

import mode

from woadrun import decoding
from woadrun import errors
from woadrun.connection import packing
from woadrun.connection import rows
from woadrun.process import ticks

log = logging.getLogger('woadrun.feed')

# Time for which the store may delay its response while nothing changes.  The
# detection of a dead connection is delayed by as much.
LONG_POLL_TIMEOUT_SECONDS = 2.0
# Time for which the store may delay its response to the first call after a loss
# of contact, which shows that contact is regained.
RECONNECT_POLL_TIMEOUT_SECONDS = 0.05
# Delay between attempts while the store is unavailable.
RETRY_DELAY_SECONDS = 0.2
# Delay between attempts to read the first list: a daemon that has just started
# cannot serve requests without it, and may reach the store at any moment.
INITIAL_RETRY_DELAY_SECONDS = 0.03
# Delay after each change, so that the changes made meanwhile are fetched by a
# single call.
BATCH_DELAY_SECONDS = 0.1
# Interval between checks of whether this daemon should follow the store itself.
# A shorter one has no use, since the failure of another daemon that follows the
# store is not noticed any sooner, and each check of each table wakes the
# process.
LEADER_CHECK_INTERVAL_SECONDS = 0.5
# Number of removed rows that are remembered for peers that ask for changes.
# Beyond it the oldest is forgotten, and peers that lack it get a full list.
MAX_TOMBSTONES = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
  """The changes of a table up to a version of the store, as sent to a peer.

  Large rows are compressed.  `is_list` means that `rows` is the whole table.
  `regained` is the time in seconds since contact with the store was regained,
  None if it was never lost.  `is_lost` means that the sender has no contact.
  """

  rows: tuple[rows.Row, ...]
  version: int
  is_list: bool
  regained: float | None
  is_lost: bool = False


class Feed(mode.Service):
  """The rows of one table, in its part with the empty name.

  `on_list` is called with all rows whenever the whole table was received,
  `on_row` with each change after that, both with uncompressed rows.  `is_lost`
  says that this daemon has no contact with the store, or had none yet.
  `regained_at` is the time at which contact with the store was last regained by
  this daemon or a peer, on the monotonic clock; it is -inf if contact was never
  lost.  `version` is the version of the store up to which the table is known,
  None before the first list.  `newest_change` is the version of its newest
  change, -1 before the first list.  `should_follow` returns whether this daemon
  should follow the store itself.  `on_change` is called after changes received
  from the store, `on_read` after each of its responses with the time at which
  the call began.  The store delays its response for at most `wait` seconds
  while nothing changes; after a change it is asked again in `batch_delay`
  seconds.
  """

  def __init__(
    self,
    *,
    store: rows.RowStore,
    table: str,
    on_list: Callable[[tuple[rows.Row, ...]], None],
    on_row: Callable[[rows.Row], None],
    on_read: Callable[[float], None] = lambda began: None,
    wait: float = LONG_POLL_TIMEOUT_SECONDS,
    batch_delay: float = BATCH_DELAY_SECONDS,
  ) -> None:
    super().__init__()
    self._batch_delay = batch_delay
    self._on_read = on_read
    self._wait = wait
    self._store = store
    self.table = table
    self._on_list = on_list
    self._on_row = on_row
    self.should_follow: Callable[[], bool] = lambda: True
    self.on_change: Callable[[], None] = lambda: None
    self.version: int | None = None
    self.newest_change = -1
    self.is_lost = True
    self.regained_at = float('-inf')
    self._attempt_started_at = float('-inf')
    self._had_contact = False
    self.rejections = decoding.Rejections(kind=f'row of {table}', log=log)
    # Whether the next contact ends an outage, rather than being the first one.
    self._lost_contact = False
    self._row_by_name: dict[str, rows.Row] = {}
    self._tombstone_by_name: dict[str, rows.Row] = {}
    # Oldest version after which all removals are remembered.
    self._history_from = 0

  # --- From the store -------------------------------------------------------

  async def read(self) -> None:
    """Reads the whole table from the store.

    Raises `WoadrunError` if the store does not respond.
    """
    began = time.monotonic()
    page = await read_all(self._store, self.table, '')
    self._record_contact()
    is_new = self._apply_list(page.rows, page.version)
    self._on_read(began)
    if is_new:
      self.on_change()

  async def refresh(self) -> None:
    """Brings the table up to date from the store.

    Raises `WoadrunError` if the store does not respond.
    """
    try:
      if self.version is None:
        await self.read()
      else:
        await self._read_changes(wait=0.0)
    except rows.HistoryGone:
      await self.read()

  @mode.Service.task
  async def _follow(self) -> None:
    needs_list = True
    while not self.should_stop:
      if self.version is not None and not self.should_follow():
        # The changes come from peers.  If this daemon follows the store later,
        # it needs only the changes after the known version.
        needs_list = False
        await ticks.sleep(LEADER_CHECK_INTERVAL_SECONDS)
        continue
      self._attempt_started_at = time.monotonic()
      try:
        if needs_list:
          await self.read()
          needs_list = False
        else:
          await self._follow_once()
      except rows.HistoryGone:
        log.info(
          'The store no longer has the history of %s; reading the whole table.',
          self.table,
        )
        needs_list = True
        await asyncio.sleep(RETRY_DELAY_SECONDS)
      except errors.WoadrunError as error:
        self._record_loss(error)
        is_new = self.version is None
        await asyncio.sleep(
          INITIAL_RETRY_DELAY_SECONDS if is_new else RETRY_DELAY_SECONDS
        )

  async def _follow_once(self) -> None:
    # After a loss of contact, the first response should not wait for a change:
    # it sets `regained_at`.  Rows that expired in the outage are kept for a
    # grace period that begins at that time.
    wait = RECONNECT_POLL_TIMEOUT_SECONDS if self.is_lost else self._wait
    if await self._read_changes(wait=wait):
      await asyncio.sleep(self._batch_delay)

  async def _read_changes(self, *, wait: float) -> bool:
    """Reads the changes after the known version, and applies them.

    Waits for the first change for at most `wait` seconds.  Returns whether the
    store sent any change.  Raises `HistoryGone` if the store no longer has the
    history since that version.
    """
    began = time.monotonic()
    known = self.version or 0
    page = await self._store.follow(self.table, after=known, wait=wait)
    self._record_contact()
    is_new = self._apply_rows(page.rows, page.version)
    self._on_read(began)
    if is_new:
      self.on_change()
    return bool(page.rows)

  def _record_contact(self) -> None:
    if not self.is_lost:
      return
    self.is_lost = False
    # The first contact of a daemon that has just started is not the end of an
    # outage.  When it counted as one, entries that were removed at that moment
    # stayed in use at all daemons, for the grace period that follows an outage.
    if self._lost_contact:
      self.regained_at = self._attempt_started_at
    self._lost_contact = False
    self._had_contact = True
    log.info(
      'Following %s in the store; last known version %s.',
      self.table,
      self.version,
    )

  def _record_loss(self, error: errors.WoadrunError) -> None:
    if not self.is_lost:
      log.warning(
        'Lost contact with the store for the feed of %s: %s',
        self.table,
        error.message,
      )
      self.is_lost = True
    self._lost_contact |= self._had_contact

  # --- Exchange with other daemons ------------------------------------------

  def find_changes(self, after: int | None) -> Changes | None:
    """Returns the changes after a version, None before the first list.

    The result includes tombstones of removed rows.  It has all rows instead,
    with `is_list` set, if `after` is None or older than the remembered history.
    """
    if self.version is None:
      return None
    regained = time.monotonic() - self.regained_at
    is_list = after is None or after < self._history_from
    known = (*self._row_by_name.values(), *self._tombstone_by_name.values())
    found = (
      self._row_by_name.values()
      if is_list
      else sorted(
        (row for row in known if row.version > (after or 0)),
        key=lambda row: row.version,
      )
    )
    return Changes(
      rows=tuple(found),
      version=self.version,
      is_list=is_list,
      regained=regained if regained < float('inf') else None,
      is_lost=self.is_lost,
    )

  def apply_changes(self, changes: Changes) -> bool:
    """Applies changes from another daemon; returns whether any are new.

    `changes` must include all changes after the version known to this daemon.
    """
    # A daemon that starts during an outage learns of the outage from the first
    # peer that sends it a list.
    self._lost_contact |= self.version is None and changes.is_lost
    if changes.regained is not None:
      regained_at = time.monotonic() - changes.regained
      self.regained_at = max(self.regained_at, regained_at)
    if changes.is_list:
      return self._apply_list(changes.rows, changes.version)
    return self._apply_rows(changes.rows, changes.version)

  # --- Known rows -----------------------------------------------------------

  def _apply_list(self, found: tuple[rows.Row, ...], version: int) -> bool:
    """Applies a full list; returns whether it has new changes.

    A list older than the known version is ignored.
    """
    if self.version is not None and version < self.version:
      log.info(
        'Ignored an outdated list of %s: version %d is older than %d.',
        self.table,
        version,
        self.version,
      )
      return False
    is_new = self._merge_list(found, version)
    self.version = version
    listed = tuple(self._unpack(found))
    try:
      self._on_list(listed)
    except Exception as error:
      log.exception('Cannot apply the list of %s.', self.table)
      self.rejections.record('(list)', error)
    return is_new

  def _merge_list(self, found: tuple[rows.Row, ...], version: int) -> bool:
    """Merges a list; returns whether it has changes after the known version.

    Only rows that differ count as changed.  When all rows of a list counted,
    after the store had discarded its history, all daemons fetched whole tables
    from each other.  Hubs, the members that relay heartbeats for their failure
    domain, then delivered a routing table late if their links were slow.
    """
    if self.version is None:
      self._row_by_name = {row.key.name: packing.pack(row) for row in found}
      self._history_from = self.newest_change = version
      return True
    listed = {row.key.name for row in found}
    # A list does not say at which version its missing rows were removed; the
    # version of the list is recorded instead.
    removed = [
      dataclasses.replace(row, value=b'', version=version, is_removed=True)
      for name, row in self._row_by_name.items()
      if name not in listed
    ]
    newer = [row for row in found if row.version > self.version]
    for row in (*newer, *removed):
      self._store_row(row)
    return bool(newer or removed)

  def _apply_rows(self, found: tuple[rows.Row, ...], version: int) -> bool:
    """Applies changes; returns whether any is newer than the known version."""
    known = self.version or 0
    newer = [row for row in found if row.version > known]
    for row in newer:
      self._store_row(row)
    for row in self._unpack(newer):
      try:
        self._on_row(row)
      except Exception as error:
        # The rows after it are as good as without it.
        log.exception('Cannot apply a row of %s.', self.table)
        self.rejections.record(row.key.name, error)
    self.version = max(known, version)
    return bool(newer)

  def _unpack(self, found: Iterable[rows.Row]) -> Iterator[rows.Row]:
    """Yields the rows with uncompressed values, without malformed ones."""
    for row in found:
      try:
        yield packing.unpack(row)
      except decoding.MalformedData as error:
        self.rejections.record(row.key.name, error)

  def _store_row(self, row: rows.Row) -> None:
    name = row.key.name
    self.newest_change = max(self.newest_change, row.version)
    if not row.is_removed:
      self._tombstone_by_name.pop(name, None)
      self._row_by_name[name] = packing.pack(row)
      return
    self._row_by_name.pop(name, None)
    self._tombstone_by_name[name] = row
    if len(self._tombstone_by_name) > MAX_TOMBSTONES:
      oldest = next(iter(self._tombstone_by_name))
      self._history_from = self._tombstone_by_name.pop(oldest).version


async def read_all(
  store: rows.RowStore, table: str, part: str, *, first: str = '', end: str = ''
) -> rows.Page:
  """Returns the rows of a part, reading page by page.

  They have names from `first` up to `end`, which is excluded; if it is empty
  there is no upper bound.  The version of the result is that of the first page:
  later ones do not have the changes made meanwhile to the rows of earlier ones.
  Raises `WoadrunError` if the store does not respond.
  """
  found: list[rows.Row] = []
  version: int | None = None
  while True:
    page = await store.read(table, part, first=first, end=end)
    found.extend(page.rows)
    version = page.version if version is None else version
    if not page.is_cut or not page.rows:
      return rows.Page(rows=tuple(found), version=version)
    # The smallest name after the last one, in byte order.
    first = page.rows[-1].key.name + '\0'
