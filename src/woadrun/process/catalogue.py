"""The routing table and the instances, as announced by the platform.

Both are tables of the row store.  They arrive through feeds: a feed delivers a
full list of a table's rows first, then each change.  A version of the routing
table is applied as a whole, and an older version never replaces a newer one.

The routing table also has the keys of teams, and a new version may revoke some.
A daemon that is cut off does not learn of that, so it must know how old its
table is.  A confirmation states that no newer change was made before some time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import logging
import math
import time

import mode

from woadrun import decoding
from woadrun import errors
from woadrun.connection import rows
from woadrun.decisions import usual_duration
from woadrun.process import feed
from woadrun.process import table_age
from woadrun.process import ticks
from woadrun.process.store import store_clock
from woadrun.version import instances
from woadrun.version import routes

log = logging.getLogger('woadrun.catalogue')

# Interval between checks for instances that were missing from the platform's
# list for the whole grace period.
DROP_INTERVAL_SECONDS = 0.5
# The same interval while any instance is missing: requests are sent to an
# instance until it is dropped.
MISSING_DROP_INTERVAL_SECONDS = 0.1
# Time after the start within which a daemon learns routes and instances unless
# the store is unavailable.  Requests that arrive earlier wait until then.
STARTUP_TIMEOUT_SECONDS = 1.0
# Number of confirmations of the routing table within the period for which a
# revoked key may still be used.  It bounds the time for which the store may
# delay its response while nothing changes.
CONFIRMATIONS_PER_REVOCATION = 10
# Minimum interval between two refreshes of the routing table, regardless of the
# number of requests that ask for one.
REFRESH_INTERVAL_SECONDS = 0.25
# Timeout of a refresh, during which requests wait.
REFRESH_TIMEOUT_SECONDS = 1.0
# Margin by which a table counts as too old before it is: clocks drift, and a
# request takes some time from this daemon to an instance.
AGE_MARGIN_SECONDS = 0.1


class Catalogue(mode.Service):
  """The current routing table and the live instances.

  `decode_table` and `decode_instance` raise `decoding.MalformedData` for a row
  that they cannot decode.  `grace` is the time in seconds within which an
  instance whose entry expired while the store was unavailable may register
  again; it counts as live until then.  `rejections` counts the instance rows
  that could not be decoded.  `revocation` is the time in seconds for which
  a key may be used after it is revoked, None if that is not bounded.  `clock`
  estimates the store's clock.  `age` is the age of the routing table, and
  `refresh_duration` the usual time until the store answers a refresh.
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
    self.rejections = decoding.Rejections(kind='instance row', log=log)
    self._started_at = math.inf
    self._known_event = asyncio.Event()
    wait = feed.LONG_POLL_TIMEOUT_SECONDS
    if revocation is not None:
      wait = min(wait, revocation / CONFIRMATIONS_PER_REVOCATION)
    self._table_feed = feed.Feed(
      store=store,
      table=table_key.table,
      on_list=self._apply_table_rows,
      on_row=self._apply_table_row,
      on_read=self._record_read,
      wait=wait,
    )
    self.age = table_age.TableAge(
      clock=clock or store_clock.StoreClock(),
      get_version=lambda: -1 if (v := self._table_feed.version) is None else v,
    )
    self._refresh_task: asyncio.Task[bool] | None = None
    self._refreshed_at = -math.inf
    self.refresh_duration = usual_duration.UsualDuration()
    self._has_undecodable_table = False
    self._instance_feed = feed.Feed(
      store=store,
      table=instance_table,
      on_list=self._apply_instance_list,
      on_row=self._apply_instance_row,
    )

  def get_health_path(self, service: str) -> str:
    """Returns the path of a service's health checks, empty if it has none."""
    found = self.table.service_by_name.get(service) if self.table else None
    return found.health_path if found else ''

  def read_limits(self) -> routes.Limits:
    """Returns the limits on requests; those by default before a table."""
    return self.table.limits if self.table is not None else routes.Limits()

  async def on_start(self) -> None:
    """Starts following both tables."""
    self._started_at = time.monotonic()
    await self.add_runtime_dependency(self._table_feed)
    await self.add_runtime_dependency(self._instance_feed)

  @property
  def feeds(self) -> list[feed.Feed]:
    """The feeds of the routing table and of the instances."""
    return [self._table_feed, self._instance_feed]

  @property
  def is_known(self) -> bool:
    """Whether both the routing table and the instances are known."""
    return self.table is not None and self.has_instance_list

  async def wait_until_known(self) -> None:
    """Returns once routes and instances are known or the start-up time is over.

    `is_known` tells which of both.  The start-up time is
    STARTUP_TIMEOUT_SECONDS.

    After a failure of all daemons, callers return to processes that have just
    started, and that mostly know the routes a moment later.
    """
    remaining = self._started_at + STARTUP_TIMEOUT_SECONDS - time.monotonic()
    if self.is_known or remaining <= 0:
      return
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(remaining):
        await self._known_event.wait()

  def _notify_if_known(self) -> None:
    if self.is_known:
      self._known_event.set()

  @property
  def has_instance_list(self) -> bool:
    """Whether a list of the instances was received."""
    return self._instance_feed.version is not None

  @property
  def version(self) -> int:
    """The version of the current routing table, -1 if there is none."""
    return self.table.version if self.table else -1

  # --- The routing table ----------------------------------------------------

  def apply_table(self, value: bytes) -> None:
    """Applies an encoded routing table if it is newer than the current one.

    If it cannot be decoded, the current one is kept, but is no longer fresh.
    """
    try:
      table = self._decode_table(value)
    except decoding.MalformedData as error:
      log.error('Cannot decode routing table: %s', error)
      # The table that cannot be decoded may revoke keys of the current one.
      self._has_undecodable_table = True
      return
    self._has_undecodable_table = False
    if table.version <= self.version:
      return
    log.info(
      'Applied routing table version %d; the previous one was %d.',
      table.version,
      self.version,
    )
    self.table = table
    self._notify_if_known()

  # --- Age of the routing table ---------------------------------------------

  def is_fresh(self) -> bool:
    """Returns whether the table is recent enough to check keys with it.

    No key in a fresh table was revoked longer ago than `revocation` permits.
    Returns True if `revocation` is not bounded.
    """
    if self._revocation is None:
      return True
    if self._has_undecodable_table:
      return False
    return self.age.get_age_seconds() <= self._revocation - AGE_MARGIN_SECONDS

  def get_confirmation(self) -> tuple[float, int] | None:
    """Returns the newest confirmation of the routing table, for peers.

    Returns a reading of the store's clock, in seconds, and the version of the
    newest change that was made before it.  Returns None if revocation is not
    bounded or there is no confirmation.
    """
    if self._revocation is None or not self.age.is_known:
      return None
    return self.age.confirmed, self._table_feed.newest_change

  def _record_read(self, began: float) -> None:
    self.age.record_read(began)
    self._refreshed_at = max(self._refreshed_at, began)

  async def refresh(self) -> bool:
    """Asks the store for a newer routing table, and applies it.

    Returns whether the store answered a call that began after this one, False
    once a call fails.  Concurrent callers share one call of the store at a
    time.
    """
    asked_at = time.monotonic()
    while self._refreshed_at < asked_at:
      if self._refresh_task is None or self._refresh_task.done():
        self._refresh_task = asyncio.ensure_future(self._refresh_once())
      if not await asyncio.shield(self._refresh_task):
        return False
    return True

  async def _refresh_once(self) -> bool:
    delay = self._refreshed_at + REFRESH_INTERVAL_SECONDS - time.monotonic()
    await asyncio.sleep(max(0.0, delay))
    began = time.monotonic()
    try:
      async with asyncio.timeout(REFRESH_TIMEOUT_SECONDS):
        await self._table_feed.refresh()
    except (errors.WoadrunError, TimeoutError) as error:
      log.info('Cannot refresh the routing table: %s', error)
      return False
    self.refresh_duration.record(time.monotonic() - began)
    return True

  def _apply_table_rows(self, listed_rows: tuple[rows.Row, ...]) -> None:
    for row in listed_rows:
      self._apply_table_row(row)

  def _apply_table_row(self, row: rows.Row) -> None:
    if row.key.name == self._table_key.name and not row.is_removed:
      self.apply_table(row.value)

  # --- Instances ------------------------------------------------------------

  def _apply_instance_list(self, listed_rows: tuple[rows.Row, ...]) -> None:
    decoded = (self._decode(row) for row in listed_rows)
    listed = [instance for instance in decoded if instance is not None]
    # Instances that are missing from the list may have expired in an outage of
    # the store just before, so their grace period counts from the end of the
    # outage.
    self.directory.replace(listed, now=self._instance_feed.regained_at)
    log.info('Received a list of %d instances.', len(listed))
    self._notify_if_known()

  def _apply_instance_row(self, row: rows.Row) -> None:
    if row.is_removed:
      self._remove_instance(row.key.name)
      return
    instance = self._decode(row)
    if instance is None:
      # The earlier version of the entry is no longer valid either.
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
    # An instance whose entry expired while the store was unavailable registers
    # again soon after the outage, so within the grace period the instance is
    # only marked as missing.
    regained_at = self._instance_feed.regained_at
    if time.monotonic() - regained_at < self._grace:
      remaining = [i for i in self.directory.by_id.values() if i.id != id]
      self.directory.replace(remaining, now=regained_at)
      return
    if self.directory.remove(id) is not None:
      log.info('Instance %s was removed.', id)

  def _decode(self, row: rows.Row) -> instances.Instance | None:
    try:
      return self._decode_instance(row)
    except decoding.MalformedData as error:
      self.rejections.record(row.key.name, error)
      return None

  @mode.Service.task
  async def _drop_missing(self) -> None:
    while not self.should_stop:
      is_any_missing = bool(self.directory.get_missing())
      await ticks.sleep(
        MISSING_DROP_INTERVAL_SECONDS
        if is_any_missing
        else DROP_INTERVAL_SECONDS
      )
      if self._instance_feed.is_lost:
        # While the store is unavailable, no instance can register again.
        continue
      for instance in self.directory.drop_missing(now=time.monotonic()):
        log.info(
          'Instance %s was dropped: missing for the grace period of %.1f s.',
          instance.id,
          self._grace,
        )
