"""Follows one table of the row store: a list first, then its changes.

A few daemons of each failure domain follow the store; the others take the
changes from those that have them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import time

import mode

from woadrun import errors
from woadrun.connection import packing
from woadrun.connection import rows
from woadrun.process import ticks

log = logging.getLogger('woadrun.feed')

# How long the store may hold an answer back while nothing changes, in
# seconds.  A connection that went silent is found out that much later.
WAIT_SECONDS = 2.0
FIRST_WAIT_SECONDS = 0.05
# Between tries while the store is out, in seconds.
RETRY_SECONDS = 0.2
# The same before the first list, in seconds: a daemon that has just started
# can serve nobody without it, and finds its way to the store at any moment.
FIRST_RETRY_SECONDS = 0.03
# Changes that come within this time are taken by one call, in seconds.
GATHER_SECONDS = 0.1
# Between looks whether this daemon should follow the store itself, in seconds:
# one that follows and is lost is missed no sooner, and each look of each table
# wakes the process.
LOOK_SECONDS = 0.5
# Removed rows that are remembered, for daemons that ask what changed.
MOST_REMOVED = 1000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Changes:
  """What changed in a table, up to a version of the store.

  Large rows are packed.  `is_list` says that these are all rows.  `regained`
  tells how long ago contact with the store was regained, in seconds, None where
  it was never lost; `is_lost` that there is none now.
  """

  rows: tuple[rows.Row, ...]
  version: int
  is_list: bool
  regained: float | None
  is_lost: bool = False


class Feed(mode.Service):
  """The rows of one table in its part without a name.

  `on_list` gets all rows whenever the table was read as a whole, `on_row`
  each change after that.  `regained_at` is when contact was regained last,
  on the monotonic clock.  `version` is up to where the table is known,
  `changed` the newest change in it, -1 before the first list.  `leads` tells
  whether this daemon should follow the store itself, `on_change` is called
  after each change that the store told, `on_read` after each answer of it, with
  the time at which the call began.  The store holds an answer back for at most
  `wait` seconds.
  """

  def __init__(
    self,
    *,
    store: rows.RowStore,
    table: str,
    on_list: Callable[[tuple[rows.Row, ...]], None],
    on_row: Callable[[rows.Row], None],
    on_read: Callable[[float], None] = lambda began: None,
    wait: float = WAIT_SECONDS,
  ) -> None:
    super().__init__()
    self._on_read = on_read
    self._wait = wait
    self._store = store
    self.table = table
    self._on_list = on_list
    self._on_row = on_row
    self.leads: Callable[[], bool] = lambda: True
    self.on_change: Callable[[], None] = lambda: None
    self.version: int | None = None
    self.changed = -1
    self.is_lost = True
    self.regained_at = float('-inf')
    self._began = float('-inf')
    self._had_contact = False
    self._has_lost = False
    self._row_by_name: dict[str, rows.Row] = {}
    self._removed_by_name: dict[str, rows.Row] = {}
    self._known_from = 0

  # --- From the store -------------------------------------------------------

  async def read(self) -> None:
    """Reads the table as a whole."""
    began = time.monotonic()
    page = await read_all(self._store, self.table, '')
    self._note_contact()
    is_new = self._take_list(page.rows, page.version)
    self._on_read(began)
    if is_new:
      self.on_change()

  async def refresh(self) -> None:
    """Brings the table up to date; raises where the store does not answer."""
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
      if self.version is not None and not self.leads():
        needs_list = False
        await ticks.sleep(LOOK_SECONDS)
        continue
      self._began = time.monotonic()
      try:
        if needs_list:
          await self.read()
          needs_list = False
        else:
          await self._follow_once()
      except rows.HistoryGone:
        log.info('History of %s is gone: reading it whole.', self.table)
        needs_list = True
        await asyncio.sleep(RETRY_SECONDS)
      except errors.WoadrunError as error:
        self._note_loss(error)
        is_new = self.version is None
        await asyncio.sleep(FIRST_RETRY_SECONDS if is_new else RETRY_SECONDS)

  async def _follow_once(self) -> None:
    # After a loss the first answer should not wait for a change: it tells
    # from when on a removed row is no lapse any more.
    wait = FIRST_WAIT_SECONDS if self.is_lost else self._wait
    if await self._read_changes(wait=wait):
      await asyncio.sleep(GATHER_SECONDS)

  async def _read_changes(self, *, wait: float) -> bool:
    """Returns whether the store told any change."""
    began = time.monotonic()
    known = self.version or 0
    page = await self._store.follow(self.table, after=known, wait=wait)
    self._note_contact()
    is_new = self._take_rows(page.rows, page.version)
    self._on_read(began)
    if is_new:
      self.on_change()
    return bool(page.rows)

  def _note_contact(self) -> None:
    if not self.is_lost:
      return
    self.is_lost = False
    # The first contact of a daemon that has just started is no return of the
    # store: taken for one, it kept entries that were removed just then for as
    # long as after an outage, everywhere.
    if self._has_lost:
      self.regained_at = self._began
    self._has_lost = False
    self._had_contact = True
    log.info('Following %s, last known at %s.', self.table, self.version)

  def _note_loss(self, error: errors.WoadrunError) -> None:
    if not self.is_lost:
      log.warning('Lost the feed of %s: %s', self.table, error.message)
      self.is_lost = True
    self._has_lost |= self._had_contact

  # --- From and for other daemons -------------------------------------------

  def find_changes(self, after: int | None) -> Changes | None:
    """Returns what changed after a version, all rows where that is unknown.

    Returns None where this daemon has no list yet.
    """
    if self.version is None:
      return None
    regained = time.monotonic() - self.regained_at
    is_list = after is None or after < self._known_from
    known = (*self._row_by_name.values(), *self._removed_by_name.values())
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

  def take_changes(self, changes: Changes) -> bool:
    """Takes what another daemon has; returns whether that is new here."""
    # A daemon that starts in an outage learns of it from its first source.
    self._has_lost |= self.version is None and changes.is_lost
    if changes.regained is not None:
      regained_at = time.monotonic() - changes.regained
      self.regained_at = max(self.regained_at, regained_at)
    if changes.is_list:
      return self._take_list(changes.rows, changes.version)
    return self._take_rows(changes.rows, changes.version)

  # --- What is known --------------------------------------------------------

  def _take_list(self, found: tuple[rows.Row, ...], version: int) -> bool:
    if self.version is not None and version < self.version:
      log.info(
        'Ignored an old list of %s: version %d, known %d.',
        self.table,
        version,
        self.version,
      )
      return False
    is_new = self._keep_list(found, version)
    self.version = version
    self._on_list(tuple(packing.unpack(row) for row in found))
    return is_new

  def _keep_list(self, found: tuple[rows.Row, ...], version: int) -> bool:
    """Returns whether a list tells of changes since the version known.

    Only what differs counts as changed: as the store forgot its history, lists
    read anew had all daemons ask for whole tables, and hubs with small links
    were late with a routing table.
    """
    if self.version is None:
      self._row_by_name = {row.key.name: packing.pack(row) for row in found}
      self._known_from = self.changed = version
      return True
    listed = {row.key.name for row in found}
    # When a row that is not there any more was removed, a list does not tell.
    gone = [
      dataclasses.replace(row, value=b'', version=version, is_removed=True)
      for name, row in self._row_by_name.items()
      if name not in listed
    ]
    newer = [row for row in found if row.version > self.version]
    for row in (*newer, *gone):
      self._keep(row)
    return bool(newer or gone)

  def _take_rows(self, found: tuple[rows.Row, ...], version: int) -> bool:
    known = self.version or 0
    newer = [row for row in found if row.version > known]
    for row in newer:
      self._keep(row)
      self._on_row(packing.unpack(row))
    self.version = max(known, version)
    return bool(newer)

  def _keep(self, row: rows.Row) -> None:
    name = row.key.name
    self.changed = max(self.changed, row.version)
    if not row.is_removed:
      self._removed_by_name.pop(name, None)
      self._row_by_name[name] = packing.pack(row)
      return
    self._row_by_name.pop(name, None)
    self._removed_by_name[name] = row
    if len(self._removed_by_name) > MOST_REMOVED:
      oldest = next(iter(self._removed_by_name))
      self._known_from = self._removed_by_name.pop(oldest).version


async def read_all(store: rows.RowStore, table: str, part: str) -> rows.Page:
  """Returns all rows of a part, in as many calls as that takes."""
  found: list[rows.Row] = []
  first = ''
  while True:
    page = await store.read(table, part, first=first)
    found.extend(page.rows)
    if not page.is_cut or not page.rows:
      return rows.Page(rows=tuple(found), version=page.version)
    # The next name in byte order.
    first = page.rows[-1].key.name + '\0'
