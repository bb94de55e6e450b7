"""Access of one daemon to the row store, directly or relayed by a peer.

The row store (the store) is the platform's transactional table service.  It may
refuse single VMs while it serves the others.  A peer, which is a daemon on
another VM, then relays the calls of a refused VM.

A turn is a call of a client's program that generates tokens; its end is written
to the store.  One daemon, the owner of the program, decides on its turns, and
another one, the standby, keeps a copy of these decisions.  A feed follows the
changes of one table.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import functools
import logging
import math
import random
import time
from typing import TypeVar

import mode

from woadrun import errors
from woadrun.connection import http
from woadrun.connection import peers
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import store_clock
from woadrun.process import ticks

log = logging.getLogger('woadrun.store')

T = TypeVar('T', rows.Page, rows.Outcome)

# Duration of a write above which the store counts as slow: a turn then waits
# longer for the store than for the acknowledgement of a standby.  A healthy
# store takes a tenth of this time.
SLOW_WRITE_SECONDS = 0.1
# Age of an unanswered write from which the store counts as unresponsive, for
# operations that can go on without the store.  It is less than the timeout of a
# write: when the store stopped responding, callers cancelled turns that waited
# for longer than this.
STALLED_WRITE_SECONDS = 0.3
# Weight of the newest write in the moving average of write times.
EWMA_WEIGHT = 0.3
# Interval between probes of whether the store serves this VM again.
PROBE_INTERVAL_SECONDS = 0.25
# Timeout of a probe: a store that responds more slowly would delay each turn by
# more time than the turn itself takes.
PROBE_TIMEOUT_SECONDS = 0.6
# Range of the delay before a call that exceeded the store's rate limit is
# retried, drawn uniformly so that refused calls are not all retried at once.
# The rate is counted per second, and most of a second is left when a burst
# ends.
RATE_LIMIT_DELAY_SECONDS = (0.05, 0.25)
# Number of peers that are tried for one call.
MAX_RELAYS = 2
# Timeout of a relayed call: a peer that can reach the store responds within
# some ten milliseconds.  When the store stops responding to all VMs, peers
# still announce that they can reach it, and each peer that is tried delays the
# end of a turn by this timeout.
RELAY_TIMEOUT_SECONDS = 0.4
# Time for which no call is relayed after all tried peers failed, until the next
# heartbeats announce who can reach the store.
RELAY_BACKOFF_SECONDS = 0.5
# Maximum time for which a relayed call waits for changes of a feed.  The
# detection of an unreachable peer is delayed by as much.
RELAY_POLL_TIMEOUT_SECONDS = 0.5


class StoreAccess(mode.Service):
  """A row store whose calls go through peers while it refuses this VM.

  `direct` is the client of the store that uses no peer.  `store_time` records
  the store's clock from its responses.  `is_direct` says whether the store
  served the last direct call or probe; it is False until the first probe.

  `change`, `read` and `follow` have the interface of `rows.RowStore`.  They
  raise `WoadrunError` if neither the store nor a peer answers.
  """

  def __init__(
    self,
    *,
    direct: rows.RowStore,
    links: peers.Peers,
    store_time: store_clock.StoreClock | None = None,
  ) -> None:
    super().__init__()
    self._store_time = store_time or store_clock.StoreClock()
    self.direct = direct
    self._links = links
    self._fleet: fleet.Fleet | None = None
    self.is_direct = False
    # Timeouts of the running calls, in the order in which the calls began.
    self._running_timeouts: dict[asyncio.Timeout, None] = {}
    self._write_started_at: dict[object, float] = {}
    self._mean_write_seconds = 0.0
    self._unreachable_since: float | None = None
    self._relay_backoff_until = -math.inf

  def use_fleet(self, members: fleet.Fleet) -> None:
    """Sets the fleet whose members may relay calls."""
    self._fleet = members

  @property
  def is_reachable(self) -> bool:
    """Whether the store can be reached now, directly or through a peer.

    Peers do not count for RELAY_BACKOFF_SECONDS after they failed to relay a
    call.
    """
    if self.is_direct:
      return True
    if self._fleet is None or time.monotonic() < self._relay_backoff_until:
      return False
    return self._fleet.has_peer_with_store()

  @property
  def outage(self) -> float:
    """Seconds for which the store has been unreachable, 0 if reachable."""
    if self._unreachable_since is None or self.is_reachable:
      return 0.0
    return time.monotonic() - self._unreachable_since

  @property
  def is_slow(self) -> bool:
    """Whether a write now would probably take over SLOW_WRITE_SECONDS.

    That is so if the average write took longer, or a running one already does.
    """
    return (
      self._mean_write_seconds > SLOW_WRITE_SECONDS
      or self._get_oldest_write_age() > SLOW_WRITE_SECONDS
    )

  @property
  def is_responsive(self) -> bool:
    """Whether the store serves this VM and no write waits for too long.

    Too long is STALLED_WRITE_SECONDS.
    """
    return (
      self.is_direct and self._get_oldest_write_age() < STALLED_WRITE_SECONDS
    )

  def _get_oldest_write_age(self) -> float:
    """Returns the seconds since the oldest running write began.

    The result is -inf if no write is running.
    """
    oldest = min(self._write_started_at.values(), default=math.inf)
    return time.monotonic() - oldest

  @contextlib.contextmanager
  def clock(self) -> Iterator[None]:
    """Returns a context that measures the duration of a write.

    `is_slow` and `is_responsive` depend on these durations, and on the writes
    that are still running.
    """
    began = time.monotonic()
    call = object()
    self._write_started_at[call] = began
    try:
      yield
    finally:
      del self._write_started_at[call]
      elapsed = time.monotonic() - began
      self._mean_write_seconds += EWMA_WEIGHT * (
        elapsed - self._mean_write_seconds
      )

  # --- The interface of a row store -----------------------------------------

  async def change(
    self,
    *,
    writes: Sequence[tuple[rows.Key, bytes]] = (),
    removes: Sequence[rows.Key] = (),
    conditions: Sequence[tuple[rows.Key, int]] = (),
  ) -> rows.Outcome:
    """Returns the outcome of an atomic change of one part of a table.

    `conditions` has the versions that rows must have for the change to be made.
    A change whose response was lost may be retried through a peer.  If it was
    already applied, its conditions fail, and the rows in the outcome show that
    it was.
    """
    message = turn_messages.StoreChange(
      writes=tuple(_make_row(key, value=value) for key, value in writes),
      removes=tuple(_make_row(key) for key in removes),
      conditions=tuple(_make_row(key, version=v) for key, v in conditions),
    )

    async def call() -> rows.Outcome:
      with self.clock():
        return await self.direct.change(
          writes=writes, removes=removes, conditions=conditions
        )

    async def relay(peer: fleet_heartbeats.Member) -> rows.Outcome:
      page = await self._call_peer(peer, 'store/change', message)
      found = tuple(get_row(row) for row in page.rows)
      return rows.Outcome(
        is_done=page.is_done,
        version=page.version,
        rows=found,
        clock=page.clock,
      )

    return await self._run(call, relay)

  async def read(
    self, table: str, part: str, *, first: str = '', end: str = ''
  ) -> rows.Page:
    """Returns the rows of a part with names from `first` to `end`.

    `end` is excluded; if it is empty there is no upper bound.  The page may be
    cut, as its `is_cut` says.
    """
    message = turn_messages.StoreRead(
      table=table, part=part, first=first, end=end
    )

    async def call() -> rows.Page:
      return await self.direct.read(table, part, first=first, end=end)

    async def relay(peer: fleet_heartbeats.Member) -> rows.Page:
      page = await self._call_peer(peer, 'store/read', message)
      return _decode_page(page)

    return await self._run(call, relay)

  async def follow(self, table: str, *, after: int, wait: float) -> rows.Page:
    """Returns the changes after a version as soon as there are any.

    Returns no changes if there were none within `wait` seconds.  Raises
    `HistoryGone` if the store no longer has the history since that version.
    """
    wait_relayed = min(wait, RELAY_POLL_TIMEOUT_SECONDS)
    message = turn_messages.StoreFollow(
      table=table, after=after, wait=wait_relayed
    )

    async def call() -> rows.Page:
      return await self.direct.follow(table, after=after, wait=wait)

    async def relay(peer: fleet_heartbeats.Member) -> rows.Page:
      page = await self._call_peer(
        peer, 'store/follow', message, wait=wait_relayed
      )
      if page.is_history_gone:
        raise rows.HistoryGone(table)
      return _decode_page(page)

    return await self._run(call, relay)

  # --- Direct and relayed calls ---------------------------------------------

  async def _run(
    self,
    call: Callable[[], Awaitable[T]],
    relay: Callable[[fleet_heartbeats.Member], Awaitable[T]],
  ) -> T:
    """Returns the result of a direct call, or of a call relayed by a peer.

    Up to MAX_RELAYS peers are tried in turn.  Raises the last error if all
    calls fail.
    """
    failure = errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE,
      'The store is unreachable, both directly and through peers.',
      retry_after=1.0,
    )
    # No direct call is made while the store does not serve this VM: the timeout
    # of the call would delay the caller, and the probe detects when the store
    # serves this VM again.
    if self.is_direct:
      try:
        result = await self._call_timed(lambda: self._call_with_retry(call))
        self._update_status(None)
        return result
      except errors.WoadrunError as error:
        self._update_status(error)
        failure = error
    peers_with_store = self._find_relays()[:MAX_RELAYS]
    for peer in peers_with_store:
      try:
        return await self._call_timed(functools.partial(relay, peer))
      except errors.WoadrunError as error:
        failure = error
    if peers_with_store:
      log.info('No peer could relay a call to the store: %s', failure.message)
      self._relay_backoff_until = time.monotonic() + RELAY_BACKOFF_SECONDS
    raise failure

  async def _call_timed(self, call: Callable[[], Awaitable[T]]) -> T:
    """Returns the result of a call, and records its reading of the clock."""
    began = time.monotonic()
    result = await call()
    if result.clock is not None:
      ended = time.monotonic()
      self._store_time.note(result.clock, began=began, ended=ended)
    return result

  async def _call_with_retry(self, call: Callable[[], Awaitable[T]]) -> T:
    """Returns the result of a call, retried once if it exceeds the rate limit.

    The limit applies to all daemons together: a peer would be refused as well,
    and a single refusal does not mean that the store refuses this VM.
    """
    try:
      return await self._call_abortable(call)
    except http.RateLimited as error:
      log.info('Retrying a call of the store after a delay: %s', error.message)
      await asyncio.sleep(random.uniform(*RATE_LIMIT_DELAY_SECONDS))
      return await self._call_abortable(call)

  async def _call_abortable(self, call: Callable[[], Awaitable[T]]) -> T:
    """Returns the result of a call.

    Raises `WoadrunError` if another direct call fails meanwhile, so that this
    call does not wait for its own timeout.
    """
    timeout_scope = asyncio.timeout(None)
    try:
      async with timeout_scope:
        self._running_timeouts[timeout_scope] = None
        return await call()
    except TimeoutError as error:
      if not timeout_scope.expired():
        raise
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'Contact with the store was lost during the call.',
        ran=errors.RunStatus.UNKNOWN,
        retry_after=1.0,
      ) from error
    finally:
      self._running_timeouts.pop(timeout_scope, None)

  def _abort_calls(self) -> None:
    """Ends all running direct calls with a timeout."""
    now = asyncio.get_running_loop().time()
    for timeout_scope in self._running_timeouts:
      timeout_scope.reschedule(now)
    self._running_timeouts.clear()

  def _find_relays(self) -> list[fleet_heartbeats.Member]:
    if self._fleet is None or time.monotonic() < self._relay_backoff_until:
      return []
    return self._fleet.find_peers_with_store()

  async def _call_peer(
    self,
    peer: fleet_heartbeats.Member,
    path: str,
    message: object,
    *,
    wait: float = 0.0,
  ) -> turn_messages.StorePage:
    return await self._links.post(
      peer.address,
      path,
      message,
      type=turn_messages.StorePage,
      timeout=wait + RELAY_TIMEOUT_SECONDS,
    )

  def _update_status(self, error: errors.WoadrunError | None) -> None:
    if error is None:
      if not self.is_direct:
        log.info('The store serves this VM.')
      self.is_direct = True
    elif self.is_direct:
      log.warning('The store does not serve this VM: %s', error.message)
      self.is_direct = False
      self._abort_calls()

  @mode.Service.task
  async def _probe(self) -> None:
    """Probes a store that refuses this VM, and dates its unreachability."""
    while not self.should_stop:
      if self.is_reachable:
        self._unreachable_since = None
      elif self._unreachable_since is None:
        self._unreachable_since = time.monotonic()
      if not self.is_direct:
        await self._probe_once()
      await ticks.sleep(PROBE_INTERVAL_SECONDS)

  async def _probe_once(self) -> None:
    try:
      async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
        # '~' comes after the usual names, which keeps the response small.
        await self.direct.read(fleet.TABLE, '', first='~')
      self._update_status(None)
    except (errors.WoadrunError, TimeoutError) as error:
      log.debug('The store still does not serve this VM: %s', error)


# --- Relay for peers that the store refuses ----------------------------------


class StoreRelay:
  """Relays calls of peers to the store, always directly.

  A relayed call is not relayed again.  Each method raises `WoadrunError`
  immediately while the store does not respond to this daemon, and if the call
  to the store fails.
  """

  def __init__(self, *, access: StoreAccess) -> None:
    self._access = access

  def _check_available(self) -> None:
    if not self._access.is_responsive:
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store does not respond to the relaying daemon either.',
        retry_after=1.0,
      )

  async def change(
    self, message: turn_messages.StoreChange
  ) -> turn_messages.StorePage:
    """Returns the outcome of a change made for a peer.

    The write counts as one of this daemon's own in `is_slow` and
    `is_responsive`.
    """
    self._check_available()
    with self._access.clock():
      outcome = await self._access.direct.change(
        writes=[(_get_key(row), row.value) for row in message.writes],
        removes=[_get_key(row) for row in message.removes],
        conditions=[(_get_key(row), row.version) for row in message.conditions],
      )
    return turn_messages.StorePage(
      rows=encode_rows(outcome.rows),
      version=outcome.version,
      is_done=outcome.is_done,
      clock=outcome.clock,
    )

  async def read(
    self, message: turn_messages.StoreRead
  ) -> turn_messages.StorePage:
    """Returns a range of rows read for a peer."""
    self._check_available()
    page = await self._access.direct.read(
      message.table, message.part, first=message.first, end=message.end
    )
    return _encode_page(page)

  async def follow(
    self, message: turn_messages.StoreFollow
  ) -> turn_messages.StorePage:
    """Returns changes read for a peer.

    If the store no longer has the history, `is_history_gone` of the page is
    set.
    """
    self._check_available()
    try:
      page = await self._access.direct.follow(
        message.table, after=message.after, wait=message.wait
      )
    except rows.HistoryGone:
      return turn_messages.StorePage(is_history_gone=True)
    return _encode_page(page)


def _make_row(
  key: rows.Key, *, value: bytes = b'', version: int = 0
) -> turn_messages.StoreRow:
  return turn_messages.StoreRow(
    table=key.table, part=key.part, name=key.name, value=value, version=version
  )


def _get_key(row: turn_messages.StoreRow) -> rows.Key:
  return rows.Key(row.table, row.part, row.name)


def get_row(row: turn_messages.StoreRow) -> rows.Row:
  """Returns the row decoded from a message of a peer."""
  return rows.Row(
    key=_get_key(row),
    value=row.value,
    version=row.version,
    is_removed=row.is_removed,
    is_packed=row.is_packed,
  )


def _decode_page(page: turn_messages.StorePage) -> rows.Page:
  found = tuple(get_row(row) for row in page.rows)
  return rows.Page(
    rows=found, version=page.version, is_cut=page.is_cut, clock=page.clock
  )


def encode_rows(
  found: Sequence[rows.Row],
) -> tuple[turn_messages.StoreRow, ...]:
  """Returns rows encoded for a message to a peer."""
  return tuple(
    turn_messages.StoreRow(
      table=row.key.table,
      part=row.key.part,
      name=row.key.name,
      value=row.value,
      version=row.version,
      is_removed=row.is_removed,
      is_packed=row.is_packed,
    )
    for row in found
  )


def _encode_page(page: rows.Page) -> turn_messages.StorePage:
  return turn_messages.StorePage(
    rows=encode_rows(page.rows),
    version=page.version,
    is_cut=page.is_cut,
    clock=page.clock,
  )
