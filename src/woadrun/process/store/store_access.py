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
from collections.abc import Coroutine
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import functools
import logging
import math
import random
import time
from typing import Any
from typing import TypeVar

import mode

from woadrun import errors
from woadrun.connection import http
from woadrun.connection import peers
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.decisions import retry_after
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import ticks
from woadrun.process.store import call_queue
from woadrun.process.store import row_messages
from woadrun.process.store import store_clock

log = logging.getLogger('woadrun.store')

T = TypeVar('T', rows.Page, rows.Outcome)

# Duration of a write above which the store counts as slow: a turn then waits
# longer for the store than for the acknowledgement of a standby.  A healthy
# store takes a tenth of this time.
SLOW_WRITE_SECONDS = 0.1
# Age of an unanswered write from which the store counts as unresponsive, for
# operations that can go on without the store.  It is less than the timeout of a
# write, so that their callers do not wait for that.
STALLED_WRITE_SECONDS = 0.3
# Weight of the newest write in the moving average of write times.
EWMA_WEIGHT = 0.3
# Age of the oldest unanswered call from which the store is suspected to be
# silent, if nothing else arrived from it meanwhile.  The usual answer takes 4
# ms.  Callers whose operation can go on without the store wait no longer.
SUSPECT_CALL_SECONDS = 0.12
# Multiple of the longest recent answer time below which a call is not suspect,
# so that a store that is slow but answers is still used.
SUSPECT_FACTOR = 2.5
# Upper limit of that age: less than the timeout of a call, so that a silent
# store is suspected before its first call fails.
MAX_SUSPECT_CALL_SECONDS = 0.6
# Weight of the newest answer in the decay of the longest recent answer time.
ANSWER_TIME_DECAY = 0.1
# Time for which an answer shows that the store serves this VM, even if most
# other daemons that report find it silent: a little more than the time between
# two probes.
ANSWER_TTL_SECONDS = 0.3
# Added to the time after which a call is suspect to get the time for which a
# bounded call waits: the call has to be suspect by then.
BOUND_MARGIN_SECONDS = 0.01
# Shortest wait of a bounded call.  A shorter rest comes from rounding, and a
# clock may not advance by it.
MIN_WAIT_SECONDS = 0.001
# Time for which a bounded call waits for peers while the store is suspect.  A
# peer that reaches the store answers in a third of this time.
BOUNDED_RELAY_SECONDS = 0.05
# Interval between probes of whether the store serves this VM again.
PROBE_INTERVAL_SECONDS = 0.25
# Timeout of a probe: a store that responds more slowly would delay each turn by
# more time than the turn itself takes.
PROBE_TIMEOUT_SECONDS = 0.6
# Interval at which operations that wait for the store check whether it is
# reachable.
RETURN_CHECK_SECONDS = 0.05
# Maximum number of parallel attempts of one durable change.
MAX_ATTEMPTS = 3
# Maximum number of parallel probes.  One that a silent store does not answer
# must not delay the next.
MAX_PROBES = 3
# Number of parts that probes read, one at random.
PROBED_PARTS = 256
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
  raise `WoadrunError` if neither the store nor a peer answers.  `bounded` is
  for operations that need not wait for the store: its calls also raise as soon
  as the store is found silent.  `durable` is for changes that have to reach the
  store: they are repeated until it answers.  `queue` limits and orders the
  calls that are sent to the store itself.

  A store that neither answers nor refuses calls is silent.  A daemon suspects
  this when a call takes much longer than usual, and reports it in its
  heartbeats (`is_suspect`).  The store counts as silent (`is_silent`) while
  most of the daemons that report suspect it, unless it answered this daemon a
  moment ago.
  """

  def __init__(
    self,
    *,
    direct: rows.RowStore,
    messenger: peers.Peers,
    store_time: store_clock.StoreClock | None = None,
  ) -> None:
    super().__init__()
    self._store_time = store_time or store_clock.StoreClock()
    self.direct = direct
    self._links = messenger
    self._fleet: fleet.Fleet | None = None
    self.is_direct = False
    self.queue = call_queue.CallQueue()
    # Timeouts of the running calls, in the order in which the calls began.
    self._running_timeouts: dict[asyncio.Timeout, None] = {}
    self._write_started_at: dict[object, float] = {}
    self._mean_write_seconds = 0.0
    self._unreachable_since: float | None = None
    self._relay_backoff_until = -math.inf
    self.bounded = BoundedAccess(store=self)
    self.durable = DurableAccess(store=self)
    self._direct_call_began_at: dict[object, float] = {}
    self._longest_answer_seconds = 0.0
    self._answered_at = -math.inf
    # When the latest call that exceeded the store's rate limit is retried.
    self._retried_at = -math.inf
    # Since when no call was answered, None unless the store is suspect.
    self._suspected_since: float | None = None
    # Bounded calls that nobody waits for any more are among these.
    self._bounded_calls: set[asyncio.Future[Any]] = set()
    self._probes: set[asyncio.Task[bool]] = set()

  def use_fleet(self, members: fleet.Fleet) -> None:
    """Sets the fleet whose members may relay calls."""
    self._fleet = members

  @property
  def is_reachable(self) -> bool:
    """Whether the store can be reached now, directly or through a peer.

    Peers do not count for RELAY_BACKOFF_SECONDS after they failed to relay a
    call.  A silent store is not reachable.
    """
    if self.is_silent:
      return False
    if self.is_direct and not self.is_suspect:
      return True
    if self._fleet is None or time.monotonic() < self._relay_backoff_until:
      return False
    return self._fleet.has_peer_with_store()

  @property
  def outage_seconds(self) -> float:
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

    Too long is STALLED_WRITE_SECONDS.  A suspect store is not responsive.
    """
    return (
      self.is_direct
      and not self.is_suspect
      and self._get_oldest_write_age() < STALLED_WRITE_SECONDS
    )

  def _get_oldest_write_age(self) -> float:
    """Returns the seconds since the oldest running write began.

    Those that began before the last answer do not count, as their part of the
    store may be down alone.  The result is -inf if no other write is running.
    """
    oldest = min(
      (
        began
        for began in self._write_started_at.values()
        if began >= self._answered_at
      ),
      default=math.inf,
    )
    return time.monotonic() - oldest

  # --- Silence of the store ---------------------------------------------------

  @property
  def is_suspect(self) -> bool:
    """Whether this daemon suspects the store to be silent.

    That is so from a call that stayed without an answer for `_get_patience`
    seconds, in which no other answer arrived, until the next answer or refusal.
    """
    return self._suspected_since is not None or self._is_overdue()

  def _is_overdue(self) -> bool:
    return time.monotonic() - self._get_oldest_call() >= self._get_patience()

  def _get_oldest_call(self) -> float:
    """Returns when the oldest running call since the last answer began.

    Older calls do not count: the store answered after them, so that their
    connection may be silent, but not the store.  The result is inf without
    such a call.
    """
    return min(
      (
        began
        for began in self._direct_call_began_at.values()
        if began >= self._answered_at
      ),
      default=math.inf,
    )

  @property
  def _was_answered_lately(self) -> bool:
    """Whether the store answered this daemon a moment ago.

    If a call fails then, the store may be down in part.
    """
    return time.monotonic() - self._answered_at < ANSWER_TTL_SECONDS

  @property
  def patience(self) -> float:
    """Seconds after which a call of a store that answers is overdue."""
    return self._get_patience()

  @property
  def has_recent_answer(self) -> bool:
    """Whether the store answered this daemon within the usual patience."""
    age = time.monotonic() - self._answered_at
    return not self.is_suspect and age < self._get_patience()

  @property
  def is_silent(self) -> bool:
    """Whether most of the daemons that report suspect the store.

    It is False if the store answered this daemon within ANSWER_TTL_SECONDS.
    """
    is_suspect = self.is_suspect
    age = time.monotonic() - self._answered_at
    if age < ANSWER_TTL_SECONDS and not is_suspect:
      return False
    suspecting, served = (
      self._fleet.count_store_reports() if self._fleet else (0, 0)
    )
    return suspecting + is_suspect > served + self.has_recent_answer

  def _get_patience(self) -> float:
    """Returns the age in seconds from which an unanswered call is suspect."""
    usual = SUSPECT_FACTOR * self._longest_answer_seconds
    return min(MAX_SUSPECT_CALL_SECONDS, max(SUSPECT_CALL_SECONDS, usual))

  def _record_suspicion(self, since: float) -> None:
    if self._suspected_since is not None:
      return
    self._suspected_since = since
    log.warning(
      'The store is suspected to be silent: no answer for %.2f s.',
      time.monotonic() - since,
    )
    if not self.is_reachable and self._unreachable_since is None:
      self._unreachable_since = since
    self._report_now()

  def _end_suspicion(self) -> None:
    if self._suspected_since is None:
      return
    elapsed = time.monotonic() - self._suspected_since
    self._suspected_since = None
    log.info('The store is no longer suspect after %.2f s.', elapsed)
    self._report_now()

  def _report_now(self) -> None:
    # A report in the next regular heartbeat would reach the other daemons up to
    # two heartbeat intervals later, and each would find out by itself.
    if self._fleet is not None and self._fleet.datagrams.is_open:
      self._fleet.send_heartbeats()

  @contextlib.contextmanager
  def time_call(self) -> Iterator[None]:
    """Returns a context for a direct call other than a long poll.

    `is_suspect` depends on the calls that are running and on their answers.
    """
    began = time.monotonic()
    call = object()
    self._direct_call_began_at[call] = began
    try:
      yield
    except errors.WoadrunError:
      if time.monotonic() - began < self._get_patience():
        # A store that refuses calls at once is not silent.
        self._end_suspicion()
      elif began >= self._answered_at:
        self._record_suspicion(began)
      raise
    else:
      self._record_answer(time.monotonic() - began)
    finally:
      del self._direct_call_began_at[call]

  def _record_answer(self, seconds: float) -> None:
    self._answered_at = time.monotonic()
    longest = self._longest_answer_seconds
    self._longest_answer_seconds = max(
      seconds, longest + ANSWER_TIME_DECAY * (seconds - longest)
    )
    self._end_suspicion()

  @contextlib.contextmanager
  def time_write(self) -> Iterator[None]:
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
    is_bounded: bool = False,
    urgency: call_queue.Urgency = call_queue.Urgency.BACKGROUND,
  ) -> rows.Outcome:
    """Returns the outcome of an atomic change of one part of a table.

    `conditions` has the versions that rows must have for the change to be made.
    A change whose response was lost may be retried through a peer.  If it was
    already applied, its conditions fail, and the rows in the outcome show that
    it was.
    """
    message = turn_messages.StoreChange(
      writes=tuple(
        row_messages.make_row(key, value=value) for key, value in writes
      ),
      removes=tuple(row_messages.make_row(key) for key in removes),
      conditions=tuple(
        row_messages.make_row(key, version=v) for key, v in conditions
      ),
    )

    async def call() -> rows.Outcome:
      async with self.queue.enter(urgency):
        with self.time_write(), self.time_call():
          return await self.direct.change(
            writes=writes, removes=removes, conditions=conditions
          )

    async def relay(peer: fleet_heartbeats.Member) -> rows.Outcome:
      page = await self._call_peer(peer, 'store/change', message)
      found = tuple(row_messages.decode_row(row) for row in page.rows)
      return rows.Outcome(
        is_done=page.is_done,
        version=page.version,
        rows=found,
        clock=page.clock,
      )

    return await self._run(call, relay, is_bounded=is_bounded)

  async def read(
    self,
    table: str,
    part: str,
    *,
    first: str = '',
    end: str = '',
    is_bounded: bool = False,
    urgency: call_queue.Urgency = call_queue.Urgency.BACKGROUND,
  ) -> rows.Page:
    """Returns the rows of a part with names from `first` to `end`.

    `end` is excluded; if it is empty there is no upper bound.  The page may be
    cut, as its `is_cut` says.
    """
    message = turn_messages.StoreRead(
      table=table, part=part, first=first, end=end
    )

    async def call() -> rows.Page:
      async with self.queue.enter(urgency):
        with self.time_call():
          return await self.direct.read(table, part, first=first, end=end)

    async def relay(peer: fleet_heartbeats.Member) -> rows.Page:
      page = await self._call_peer(peer, 'store/read', message)
      return row_messages.decode_page(page)

    return await self._run(call, relay, is_bounded=is_bounded)

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
      page = await self.direct.follow(table, after=after, wait=wait)
      self._answered_at = time.monotonic()
      self._end_suspicion()
      return page

    async def relay(peer: fleet_heartbeats.Member) -> rows.Page:
      page = await self._call_peer(
        peer, 'store/follow', message, wait=wait_relayed
      )
      if page.is_history_gone:
        raise rows.HistoryGone(table)
      return row_messages.decode_page(page)

    return await self._run(call, relay)

  # --- Direct and relayed calls ---------------------------------------------

  async def _run(
    self,
    call: Callable[[], Awaitable[T]],
    relay: Callable[[fleet_heartbeats.Member], Awaitable[T]],
    *,
    is_bounded: bool = False,
  ) -> T:
    """Returns the result of a direct call, or of a call relayed by a peer.

    Up to MAX_RELAYS peers are tried in turn.  Raises the last error if all
    calls fail.  A bounded call is not sent to a suspect store, and is not
    relayed once nobody waits for it.
    """
    began = time.monotonic()
    failure = errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE,
      'The store is unreachable, both directly and through peers.',
      retry_after=retry_after.OUTAGE_CHECK_SECONDS,
    )
    # No direct call is made while the store does not serve this VM: the timeout
    # of the call would delay the caller, and the probe detects when the store
    # serves this VM again.
    if self.is_direct and not (is_bounded and self.is_suspect):
      try:
        result = await self._call_timed(lambda: self._call_with_retry(call))
        self._update_status(None)
        return result
      except rows.CallRejected:
        # The store serves this VM; a peer would get the same answer.
        self._update_status(None)
        raise
      except errors.WoadrunError as error:
        is_part_only = self._was_answered_lately and await self._probe_once()
        if not is_part_only:
          self._update_status(error)
        failure = error
        if is_bounded and time.monotonic() - began >= self._get_patience():
          raise
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

  async def run_bounded(self, call: Coroutine[Any, Any, T]) -> T:
    """Returns the result of a call, for which an operation waits briefly.

    Raises `WoadrunError` at once if the store is silent, and as soon as the
    call is suspect.  The call then goes on: its answer shows whether the store
    is silent or slow.
    """
    if self.is_silent:
      call.close()
      raise _make_silence_error(errors.RunStatus.NOT_RUN)
    is_relayed = self.is_suspect
    began = time.monotonic()
    running = asyncio.ensure_future(call)
    self._bounded_calls.add(running)
    running.add_done_callback(self._drop_bounded_call)
    left = BOUNDED_RELAY_SECONDS if is_relayed else self._get_bound(began)
    while left > MIN_WAIT_SECONDS:
      await asyncio.wait((running,), timeout=left)
      if running.done():
        return running.result()
      # Answers of other calls show that the store is slow rather than silent.
      # When they were ignored, the first turns of programs were passed on from
      # member to member as a store became slow.
      left = 0 if is_relayed else self._get_bound(began)
    if self._is_overdue():
      self._record_suspicion(self._get_oldest_call())
    raise _make_silence_error(errors.RunStatus.UNKNOWN)

  @property
  def is_doubtful(self) -> bool:
    """Whether the store did not serve the last call of this daemon.

    It may be reachable through a peer.  Unlike `is_reachable` this costs
    nothing.
    """
    return not self.is_direct or self._suspected_since is not None

  async def wait_until_reachable(self) -> None:
    """Returns once the store is reachable, at once if it is now."""
    while not self.is_reachable:
      await asyncio.sleep(RETURN_CHECK_SECONDS)

  async def run_until_answered(
    self, call: Callable[[], Coroutine[Any, Any, T]]
  ) -> T:
    """Returns the first result of a call that is repeated until it has one.

    An attempt without an answer is joined by another one after the usual time,
    as its connection may be silent, and none begins while the store is
    unreachable.  The caller limits the time.  Raises `rows.CallRejected` if the
    store rejects the call.
    """
    attempts: set[asyncio.Future[T]] = set()
    try:
      while True:
        is_reachable = self.is_reachable
        # Another attempt would wait behind the calls that wait already.
        most = 1 if self.queue.waiting else MAX_ATTEMPTS
        if is_reachable and len(attempts) < most:
          attempts.add(asyncio.ensure_future(call()))
        if not attempts:
          await asyncio.sleep(RETURN_CHECK_SECONDS)
          continue
        done, attempts = await asyncio.wait(
          attempts,
          timeout=(
            self._get_patience() if is_reachable else RETURN_CHECK_SECONDS
          ),
          return_when=asyncio.FIRST_COMPLETED,
        )
        for attempt in done:
          try:
            return attempt.result()
          except rows.CallRejected:
            raise
          except errors.WoadrunError as error:
            log.debug('A call of the store is repeated: %s', error.message)
        if done:
          await asyncio.sleep(RETURN_CHECK_SECONDS)
    finally:
      for attempt in attempts:
        attempt.cancel()

  def _get_bound(self, began: float) -> float:
    """Returns for how many more seconds to wait for a bounded call."""
    # A store that refuses calls over its rate limit is not silent.
    since = max(began, self._answered_at, self._retried_at)
    age = time.monotonic() - since
    return self._get_patience() + BOUND_MARGIN_SECONDS - age

  def _drop_bounded_call(self, call: asyncio.Future[Any]) -> None:
    self._bounded_calls.discard(call)
    if not call.cancelled() and call.exception() is not None:
      log.debug('A bounded call of the store failed: %s', call.exception())

  async def on_stop(self) -> None:
    """Cancels the calls that nobody waits for."""
    for call in (*self._bounded_calls, *self._probes):
      call.cancel()

  async def _call_timed(self, call: Callable[[], Awaitable[T]]) -> T:
    """Returns the result of a call, and records its reading of the clock."""
    began = time.monotonic()
    result = await call()
    if result.clock is not None:
      ended = time.monotonic()
      self._store_time.record_reading(result.clock, began=began, ended=ended)
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
      delay = random.uniform(*RATE_LIMIT_DELAY_SECONDS)
      self._retried_at = max(self._retried_at, time.monotonic() + delay)
      await asyncio.sleep(delay)
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
        retry_after=retry_after.OUTAGE_CHECK_SECONDS,
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
      needs_probe = not self.is_direct or self.is_suspect or self.is_silent
      if needs_probe and len(self._probes) < MAX_PROBES:
        probe = asyncio.ensure_future(self._probe_once())
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)
      await ticks.sleep(PROBE_INTERVAL_SECONDS)

  async def _probe_once(self) -> bool:
    """Returns whether the store answers a read of a part drawn at random."""
    try:
      async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
        with self.time_call():
          part = f'{random.randrange(PROBED_PARTS):02x}'
          # '~' comes after the usual names, which keeps the response small.
          await self.direct.read(fleet.TABLE, part, first='~')
    except (errors.WoadrunError, TimeoutError) as error:
      log.debug('The store does not serve this VM: %s', error)
      return False
    self._update_status(None)
    return True


class BoundedAccess:
  """The store for operations that need not wait for it.

  It has the interface of `rows.RowStore`.  Each call raises `WoadrunError` at
  once while the store is silent, and as soon as it takes much longer than
  usual.  A change may be applied even so.
  """

  def __init__(self, *, store: StoreAccess) -> None:
    self._store = store

  async def change(
    self,
    *,
    writes: Sequence[tuple[rows.Key, bytes]] = (),
    removes: Sequence[rows.Key] = (),
    conditions: Sequence[tuple[rows.Key, int]] = (),
  ) -> rows.Outcome:
    """Returns the outcome of an atomic change of one part of a table."""
    return await self._store.run_bounded(
      self._store.change(
        writes=writes,
        removes=removes,
        conditions=conditions,
        is_bounded=True,
        urgency=call_queue.Urgency.COMMIT,
      )
    )

  async def read(
    self, table: str, part: str, *, first: str = '', end: str = ''
  ) -> rows.Page:
    """Returns the rows of a part with names from `first` to `end`."""
    return await self._store.run_bounded(
      self._store.read(
        table,
        part,
        first=first,
        end=end,
        is_bounded=True,
        urgency=call_queue.Urgency.LOAD,
      )
    )

  async def follow(self, table: str, *, after: int, wait: float) -> rows.Page:
    """Returns the changes after a version; the long poll is not bounded."""
    return await self._store.follow(table, after=after, wait=wait)


class DurableAccess:
  """The store for changes of which callers are told only once it has them.

  It has the interface of `rows.RowStore`.  A change is repeated until the store
  answers, and may be applied more than once, its conditions permitting; reads
  are bounded.
  """

  def __init__(self, *, store: StoreAccess) -> None:
    self._store = store
    self.read = store.bounded.read
    self.follow = store.follow

  def is_overdue(self, seconds: float) -> bool:
    """Returns whether a change that has run for some seconds is overdue.

    It is not while the whole store is unreachable, nor while calls wait here: a
    copy of the change would wait as well.
    """
    if self._store.queue.waiting or seconds < self._store.patience:
      return False
    return self._store.is_reachable

  async def change(
    self,
    *,
    writes: Sequence[tuple[rows.Key, bytes]] = (),
    removes: Sequence[rows.Key] = (),
    conditions: Sequence[tuple[rows.Key, int]] = (),
  ) -> rows.Outcome:
    """Returns the outcome of an atomic change of one part of a table."""
    return await self._store.run_until_answered(
      lambda: self._store.change(
        writes=writes,
        removes=removes,
        conditions=conditions,
        urgency=call_queue.Urgency.COMMIT,
      )
    )


def _make_silence_error(ran: errors.RunStatus) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.PLATFORM_UNAVAILABLE,
    'The store does not answer.',
    ran=ran,
    retry_after=retry_after.OUTAGE_CHECK_SECONDS,
  )
