"""What the platform tells all daemons: the routing table, the instances.

Both come by feeds.  A version of the routing table is taken whole, and an
older one never replaces a newer one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import logging
import math
import time

import mode
import msgspec

from woadrun import errors
from woadrun.connection import rows
from woadrun.process import feed
from woadrun.process import store_clock
from woadrun.process import table_age
from woadrun.process import ticks
from woadrun.version import instances
from woadrun.version import routes

log = logging.getLogger('woadrun.catalogue')

LOOK_SECONDS = 0.5
# The same while entries are missing that are about to be dropped, in seconds.
MISSING_LOOK_SECONDS = 0.1
# A daemon knows routes and instances so soon after its start, or the store is
# out, in seconds; callers that come in between wait for that.
START_SECONDS = 1.0
# Confirmations of the routing table within the time for which a revoked key may
# still be used.
CONFIRMATIONS = 10
# Between two refreshes of the routing table, in seconds, however many requests
# ask for one.
REFRESH_SECONDS = 0.25
REFRESH_TIMEOUT_SECONDS = 1.0
# A table counts as too old so long before it is, in seconds: clocks drift, and
# a request takes a moment from here to an instance.
AGE_MARGIN_SECONDS = 0.1


class Catalogue(mode.Service):
  """The routing table in force and the live instances.

  `decode_table` and `decode_instance` raise `msgspec.MsgspecError` for a
  row that they cannot read.  `grace` is how long an entry that lapsed
  while the store was away may take to come back, in seconds.  `unreadable`
  counts the rows of instances that could not be read.  `revocation` is how
  long keys may be used after they are revoked, in seconds, None where that is
  not bounded.  `clock` is that of the store.
  """

  def __init__(
    self,
    *,
    store: rows.RowStore,
    table_key: rows.Key,
    instance_table: str,
    decode_table: Callable[[bytes], routes.RoutingTable],
    decode_instance: Callable[[rows.Row], instances.Instance],
    grace: float,
    revocation: float | None = None,
    clock: store_clock.StoreClock | None = None,
  ) -> None:
    super().__init__()
    self._revocation = revocation
    self._store = store
    self._table_key = table_key
    self._decode_table = decode_table
    self._decode_instance = decode_instance
    self._grace = grace
    self.table: routes.RoutingTable | None = None
    self.directory = instances.Directory(grace=grace)
    self.unreadable = 0
    self._started_at = math.inf
    self._is_told = asyncio.Event()
    wait = feed.WAIT_SECONDS
    if revocation is not None:
      wait = min(wait, revocation / CONFIRMATIONS)
    self._tables = feed.Feed(
      store=store,
      table=table_key.table,
      on_list=self._take_tables,
      on_row=self._take_table,
      on_read=self._note_read,
      wait=wait,
    )
    self.age = table_age.TableAge(
      clock=clock or store_clock.StoreClock(),
      get_version=lambda: -1 if (v := self._tables.version) is None else v,
    )
    self._refreshing: asyncio.Task[bool] | None = None
    self._refreshed_at = -math.inf
    self._is_behind = False
    self._listed = feed.Feed(
      store=store,
      table=instance_table,
      on_list=self._take_instances,
      on_row=self._take_instance,
    )

  async def on_start(self) -> None:
    """Begins to follow both tables."""
    self._started_at = time.monotonic()
    await self.add_runtime_dependency(self._tables)
    await self.add_runtime_dependency(self._listed)

  @property
  def feeds(self) -> list[feed.Feed]:
    """The feeds of the tables that it knows from."""
    return [self._tables, self._listed]

  @property
  def is_known(self) -> bool:
    """Whether both routes and instances were told."""
    return self.table is not None and self.is_listed

  async def wait_known(self) -> None:
    """Returns once they were told, or cannot be expected soon.

    After a loss of all daemons callers come back to processes that have just
    started.  Refused at once they were late, or out of tries, though routes
    were known a moment later.
    """
    left = self._started_at + START_SECONDS - time.monotonic()
    if self.is_known or left <= 0:
      return
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(left):
        await self._is_told.wait()

  def _note_told(self) -> None:
    if self.is_known:
      self._is_told.set()

  @property
  def is_listed(self) -> bool:
    """Whether the instances were told yet."""
    return self._listed.version is not None

  @property
  def version(self) -> int:
    """The version of the routing table in force, -1 without one."""
    return self.table.version if self.table else -1

  # --- The routing table ----------------------------------------------------

  def take_table(self, value: bytes) -> None:
    """Puts a routing table in force, unless it is not newer."""
    try:
      table = self._decode_table(value)
    except msgspec.MsgspecError as error:
      log.error('A routing table is unreadable: %s', error)
      # The unreadable table may revoke keys of the one in force.
      self._is_behind = True
      return
    self._is_behind = False
    if table.version <= self.version:
      return
    log.info(
      'Routing table %d in force; it was %d.', table.version, self.version
    )
    self.table = table
    self._note_told()

  # --- Its age --------------------------------------------------------------

  def is_fresh(self) -> bool:
    """Returns whether no known key can have been revoked too long ago."""
    if self._revocation is None:
      return True
    if self._is_behind:
      return False
    return self.age.get() <= self._revocation - AGE_MARGIN_SECONDS

  def tell_confirmed(self) -> tuple[float, int] | None:
    """Returns up to when no change but the known ones was made.

    A reading of the store's clock and the newest known change, None where peers
    need not know.
    """
    if self._revocation is None or not self.age.is_known:
      return None
    return self.age.confirmed, self._tables.changed

  def _note_read(self, began: float) -> None:
    self.age.note_read(began)
    self._refreshed_at = max(self._refreshed_at, began)

  async def refresh(self) -> bool:
    """Returns whether the table is known to be the newest one as of this call.

    However many requests ask, the store is asked by one call at a time.
    """
    asked_at = time.monotonic()
    while self._refreshed_at < asked_at:
      if self._refreshing is None or self._refreshing.done():
        self._refreshing = asyncio.ensure_future(self._refresh_once())
      if not await asyncio.shield(self._refreshing):
        return False
    return True

  async def _refresh_once(self) -> bool:
    rest = self._refreshed_at + REFRESH_SECONDS - time.monotonic()
    await asyncio.sleep(max(0.0, rest))
    try:
      async with asyncio.timeout(REFRESH_TIMEOUT_SECONDS):
        await self._tables.refresh()
    except (errors.WoadrunError, TimeoutError) as error:
      log.info('The routing table was not refreshed: %s', error)
      return False
    return True

  def _take_tables(self, found: tuple[rows.Row, ...]) -> None:
    for row in found:
      self._take_table(row)

  def _take_table(self, row: rows.Row) -> None:
    if row.key.name == self._table_key.name and not row.is_removed:
      self.take_table(row.value)

  # --- Instances ------------------------------------------------------------

  def _take_instances(self, found: tuple[rows.Row, ...]) -> None:
    decoded = (self._decode(row) for row in found)
    listed = [instance for instance in decoded if instance is not None]
    # What a list lacks may have lapsed in the outage before it, if any.
    self.directory.replace(listed, now=self._listed.regained_at)
    log.info('%d instances listed.', len(listed))
    self._note_told()

  def _take_instance(self, row: rows.Row) -> None:
    if row.is_removed:
      self._remove_instance(row.key.name)
      return
    instance = self._decode(row)
    if instance is None:
      # What the entry said before does not hold either.
      self.directory.remove(row.key.name)
      return
    known = self.directory.by_id.get(instance.id)
    if known != instance:
      log.info(
        'Instance %s of %s at %s: %s.',
        instance.id,
        instance.service,
        instance.address,
        'draining' if instance.is_draining else 'ready',
      )
    self.directory.put(instance)

  def _remove_instance(self, id: str) -> None:
    # Entries that lapsed while the store was away come back soon after it.
    regained_at = self._listed.regained_at
    if time.monotonic() - regained_at < self._grace:
      kept = [i for i in self.directory.by_id.values() if i.id != id]
      self.directory.replace(kept, now=regained_at)
      return
    if self.directory.remove(id) is not None:
      log.info('Instance %s is gone.', id)

  def _decode(self, row: rows.Row) -> instances.Instance | None:
    try:
      return self._decode_instance(row)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
      self.unreadable += 1
      log.error('Row %s of instances is unreadable: %s', row.key.name, error)
      return None

  @mode.Service.task
  async def _drop_missing(self) -> None:
    while not self.should_stop:
      is_one_missing = bool(self.directory.get_missing())
      await ticks.sleep(
        MISSING_LOOK_SECONDS if is_one_missing else LOOK_SECONDS
      )
      if self._listed.is_lost:
        continue
      for instance in self.directory.drop_missing(now=time.monotonic()):
        log.info('Instance %s stayed missing and is gone.', instance.id)
