"""Distributes feeds: a few daemons follow the store, the others follow them.

Each daemon announces the newest change that it has of each table in its
datagrams.  A daemon that is behind fetches the missing changes from the sender,
so that the load on the store does not grow with the number of daemons.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import logging
import time

import mode

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import feed
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import table_age
from woadrun.process import ticks
from woadrun.process.store import row_messages
from woadrun.process.store import store_clock

log = logging.getLogger('woadrun.feed')

# Number of daemons in each failure domain that follow the store: one may fail
# while another one hangs on a dead connection.
LEADERS_PER_DOMAIN = 2
# Interval between checks for newer versions at peers while no datagram
# announces one.
CATCH_UP_INTERVAL_SECONDS = 0.5
FETCH_TIMEOUT_SECONDS = 1.0


class FeedSync(mode.Service):
  """Keeps the feeds of one daemon up to date from other daemons.

  `has_store` returns whether the store serves this daemon directly.  `clock` is
  the store's clock, `age_by_table` has the ages of the tables for which peers
  exchange confirmations.
  """

  def __init__(
    self,
    *,
    feeds: list[feed.Feed],
    members: fleet.Fleet,
    messenger: peers.Messenger,
    has_store: Callable[[], bool],
    clock: store_clock.StoreClock,
    age_by_table: Mapping[str, table_age.TableAge] | None = None,
  ) -> None:
    super().__init__()
    self._clock = clock
    self._age_by_table = age_by_table or {}
    self._feed_by_table = {item.table: item for item in feeds}
    self._members = members
    self._links = messenger
    self._has_store = has_store
    self._newer_available = asyncio.Event()
    for item in feeds:
      item.should_follow = self._make_leader_check(item.table)
      item.on_change = members.send_heartbeats

  def get_versions(self) -> dict[str, int]:
    """Returns the version of the newest known change of each table."""
    return {table: f.newest_change for table, f in self._feed_by_table.items()}

  # --- Who follows the store ------------------------------------------------

  def _make_leader_check(self, table: str) -> Callable[[], bool]:
    return lambda: self.should_follow(table)

  def should_follow(self, table: str) -> bool:
    """Returns whether this daemon should follow a table in the store.

    If no daemon in the domain can reach the store, each daemon tries itself.
    """
    me = self._members.me
    ranked = self._members.rank(f'feed/{table}', me.domain)
    eligible = [member for member in ranked if self._can_follow(member)]
    return not eligible or me in eligible[:LEADERS_PER_DOMAIN]

  def _can_follow(self, member: fleet_heartbeats.Member) -> bool:
    if member == self._members.me:
      return self._has_store()
    return self._members.may_reach_store(member.name)

  # --- Exchange with other daemons ------------------------------------------

  def handle_heartbeat(
    self, heartbeat: fleet_heartbeats.FleetHeartbeat
  ) -> None:
    """Wakes the catch-up task if a peer has newer changes."""
    if any(
      heartbeat.feeds.get(table, -1) > _get_version(item)
      for table, item in self._feed_by_table.items()
    ):
      self._newer_available.set()

  @mode.Service.task
  async def _catch_up(self) -> None:
    while not self.should_stop:
      with contextlib.suppress(TimeoutError):
        delay = ticks.get_tick_delay(
          CATCH_UP_INTERVAL_SECONDS, now=time.monotonic()
        )
        async with asyncio.timeout(delay):
          await self._newer_available.wait()
      self._newer_available.clear()
      for table, item in self._feed_by_table.items():
        source = self._find_source(table, _get_version(item))
        if source is not None:
          await self._fetch(item, source)

  def _find_source(
    self, table: str, known: int
  ) -> fleet_heartbeats.Member | None:
    own_domain = self._members.me.domain
    ahead = [
      (
        heard.heartbeat.domain == own_domain,
        heard.heartbeat.feeds.get(table, -1),
        name,
      )
      for name, heard in self._members.last_heartbeat_by_name.items()
      if heard.heartbeat.feeds.get(table, -1) > known
      and self._members.is_alive(name)
    ]
    if not ahead:
      return None
    return self._members.member_by_name.get(max(ahead)[2])

  async def _fetch(
    self, item: feed.Feed, source: fleet_heartbeats.Member
  ) -> None:
    began = time.monotonic()
    try:
      reply = await self._links.post(
        source.address,
        'feed',
        turn_messages.FeedQuery(table=item.table, after=item.version),
        type=turn_messages.FeedCopy,
        timeout=FETCH_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info(
        'Cannot fetch table %s from %s: %s',
        item.table,
        source.name,
        error.message,
      )
      return
    if reply.version is None:
      return
    log.info(
      'Received %d rows of %s up to version %d from %s; known version was %s.',
      len(reply.rows),
      item.table,
      reply.version,
      source.name,
      item.version,
    )
    is_changed = item.apply_changes(
      feed.Changes(
        rows=tuple(row_messages.decode_row(row) for row in reply.rows),
        version=reply.version,
        is_list=reply.is_list,
        regained=reply.regained if self._shares_outage(source) else None,
        is_lost=reply.is_lost,
      )
    )
    self._record_confirmation(reply, item.table, began)
    # Daemons that follow the store announce a change to their peers, or to
    # hubs, which announce it to the others.  When all daemons announced it,
    # each change cost datagrams of each daemon.
    if is_changed and self._members.is_hub:
      self._members.send_heartbeats()

  def _record_confirmation(
    self, reply: turn_messages.FeedCopy, table: str, began: float
  ) -> None:
    if reply.clock is not None:
      ended = time.monotonic()
      self._clock.record_bounds(reply.clock, began=began, ended=ended)
    age = self._age_by_table.get(table)
    if age and reply.confirmed is not None and reply.version is not None:
      age.record_confirmation(reply.confirmed, reply.version)

  def _shares_outage(self, source: fleet_heartbeats.Member) -> bool:
    """Returns whether an outage of the store at a peer applies here as well.

    A peer in another domain may have been cut off from the store while this
    daemon had contact all the time.  When its outage was adopted here, entries
    removed just after it were kept as if they had expired in an outage.
    """
    return source.domain == self._members.me.domain or not self._has_store()

  async def answer(
    self, ask: turn_messages.FeedQuery
  ) -> turn_messages.FeedCopy:
    """Returns the changes of a table after the version that a peer has."""
    item = self._feed_by_table.get(ask.table)
    changes = item.find_changes(ask.after) if item else None
    if changes is None:
      return turn_messages.FeedCopy()
    age = self._age_by_table.get(ask.table)
    return turn_messages.FeedCopy(
      rows=row_messages.encode_rows(changes.rows),
      version=changes.version,
      is_list=changes.is_list,
      regained=changes.regained,
      is_lost=changes.is_lost,
      confirmed=age.confirmed if age and age.is_known else None,
      clock=self._clock.get_bounds(time.monotonic()),
    )


def _get_version(item: feed.Feed) -> int:
  return -1 if item.version is None else item.version
