"""Follows one table of the row store: a list first, then its changes."""

from __future__ import annotations

from collections.abc import Callable
import logging
import time

import mode

from woadrun import errors
from woadrun.connection import rows

log = logging.getLogger('woadrun.feed')

# How long the store may hold an answer back while nothing changes, in
# seconds.  A connection that went silent is found out that much later.
WAIT_SECONDS = 2.0
FIRST_WAIT_SECONDS = 0.05
# Between tries while the store is out, in seconds.
RETRY_SECONDS = 0.2


class Feed(mode.Service):
  """The rows of one table in its part without a name.

  `on_list` gets all rows whenever the table was read as a whole, `on_row`
  each change after that.  `regained_at` is when contact was regained last,
  on the monotonic clock.
  """

  def __init__(
    self,
    *,
    store: rows.RowStore,
    table: str,
    on_list: Callable[[tuple[rows.Row, ...]], None],
    on_row: Callable[[rows.Row], None],
  ) -> None:
    super().__init__()
    self._store = store
    self.table = table
    self._on_list = on_list
    self._on_row = on_row
    self.version: int | None = None
    self.is_lost = True
    self.regained_at = float('-inf')
    self._began = float('-inf')

  async def read(self) -> None:
    """Reads the table as a whole."""
    page = await read_all(self._store, self.table, '')
    self._note_contact()
    if self.version is not None and page.version < self.version:
      log.info(
        'Ignored an old list of %s: version %d, known %d.',
        self.table,
        page.version,
        self.version,
      )
      return
    self._on_list(page.rows)
    self.version = page.version

  @mode.Service.task
  async def _follow(self) -> None:
    needs_list = True
    while not self.should_stop:
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
        await self.sleep(RETRY_SECONDS)
      except errors.WoadrunError as error:
        self._note_loss(error)
        await self.sleep(RETRY_SECONDS)

  async def _follow_once(self) -> None:
    known = self.version or 0
    # After a loss the first answer should not wait for a change: it tells
    # from when on a removed row is no lapse any more.
    wait = FIRST_WAIT_SECONDS if self.is_lost else WAIT_SECONDS
    page = await self._store.follow(self.table, after=known, wait=wait)
    self._note_contact()
    for row in page.rows:
      if row.version > known:
        self._on_row(row)
    self.version = max(known, page.version)

  def _note_contact(self) -> None:
    if not self.is_lost:
      return
    self.is_lost = False
    # The first contact of all comes after no loss.
    if self.version is not None:
      self.regained_at = self._began
    log.info('Following %s, last known at %s.', self.table, self.version)

  def _note_loss(self, error: errors.WoadrunError) -> None:
    if not self.is_lost:
      log.warning('Lost the feed of %s: %s', self.table, error.message)
      self.is_lost = True


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
