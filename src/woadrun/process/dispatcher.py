"""Permits for calls to upstreams, granted from one queue per upstream.

An upstream is a model engine or a service that calls are sent to; its slots are
the calls that it may run concurrently, and a permit is the id under which a
call occupies one.  One daemon, the keeper of the upstream's queue, grants its
permits.  The roster, the list of the members of the upstream's failure domain,
determines which daemon that is.  A holder is a daemon process with permits.
When the keeper changes, holders report their permits to the new one.  Permits
of a process that is no longer in the roster of any domain are released.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import logging
import time

import mode
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.decisions import admission
from woadrun.decisions import queue
from woadrun.process import membership
from woadrun.version import roster

log = logging.getLogger('woadrun.dispatcher')

# Estimated duration of a call before the first successful one.
INITIAL_CALL_SECONDS = 1.0
# Weight of a new sample in the moving average of call durations.
SMOOTHING_FACTOR = 0.1
# After this many consecutive failures an upstream gets only probe calls, one at
# a time.
FAILURE_THRESHOLD = 3
# Least time between probe calls to an upstream that fails.
PROBE_INTERVAL_SECONDS = 2.0
# Timeout of messages that report or release permits.
REPORT_TIMEOUT_SECONDS = 2.0
# Releases to one keeper within this time are sent in one message.
RELEASE_BATCH_DELAY_SECONDS = 0.003
# Interval at which holders report all their permits to keepers.
RECONCILE_INTERVAL_SECONDS = 1.0
# Added to the call's patience in the timeout of a request for a permit, for the
# response to arrive.
RESPONSE_MARGIN_SECONDS = 1.0
# Interval at which a request for a permit looks for another keeper, after its
# keeper gave no answer.
KEEPER_POLL_INTERVAL_SECONDS = 0.05
# Least time between two estimates of the wait of a call that is in the queue.
MIN_ESTIMATE_INTERVAL_SECONDS = 0.05


@dataclasses.dataclass(eq=False, kw_only=True)
class Waiter:
  """A pending request for a permit, and the process that sent it."""

  holder: str
  future: asyncio.Future[None]


@dataclasses.dataclass(eq=False, kw_only=True)
class Upstream:
  """One upstream's queue, its permits and statistics of its calls.

  `seconds` is a moving average of the duration of successful calls,
  `failures` counts consecutive failures, and `last_attempt_at` is the
  time of the last grant or failure.
  """

  name: str
  slots: int
  waiting: queue.FairQueue = dataclasses.field(default_factory=queue.FairQueue)
  waiter_by_permit: dict[str, Waiter] = dataclasses.field(default_factory=dict)
  holder_by_permit: dict[str, str] = dataclasses.field(default_factory=dict)
  seconds: float = INITIAL_CALL_SECONDS
  failures: int = 0
  last_attempt_at: float = float('-inf')

  def get_slots(self, now: float) -> int:
    """Returns how many calls the upstream may run at `now`.

    An upstream that fails may run one probe call per
    `PROBE_INTERVAL_SECONDS`, after the calls that still run there have ended.
    """
    if self.failures < FAILURE_THRESHOLD:
      return self.slots
    return 1 if now - self.last_attempt_at >= PROBE_INTERVAL_SECONDS else 0

  def estimate_wait(self, call: queue.QueuedCall, now: float) -> float:
    """Returns the expected seconds until a call gets its permit."""
    slots = self.get_slots(now)
    if len(self.holder_by_permit) < slots:
      return 0.0
    return admission.estimate_wait(
      self.waiting.count_ahead(call), slots, self.seconds
    )

  def record_outcome(self, seconds: float, *, is_ok: bool, now: float) -> None:
    """Updates the statistics with the outcome of one call."""
    if not is_ok:
      self.failures += 1
      self.last_attempt_at = now
      return
    self.failures = 0
    self.seconds += SMOOTHING_FACTOR * (seconds - self.seconds)

  def grant(self, now: float) -> None:
    """Grants permits while there are free slots and waiting calls."""
    while len(self.holder_by_permit) < self.get_slots(now):
      call = self.waiting.pop()
      if call is None:
        return
      waiter = self.waiter_by_permit.pop(call.id, None)
      if waiter is not None and not waiter.future.done():
        self.holder_by_permit[call.id] = waiter.holder
        self.last_attempt_at = now
        waiter.future.set_result(None)


class PermitDispatcher(mode.Service):
  """The queues that this daemon keeps, and a client of all other keepers."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    messenger: peers.Peers,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._peers = messenger
    self._address = config.daemon.address
    upstreams = (*config.engines, *config.services)
    self._slots_by_name = {u.name: u.slots for u in upstreams}
    self.domain_by_name = {u.name: u.domain for u in upstreams}
    self.upstream_by_name: dict[str, Upstream] = {}
    # The permits of this daemon's calls, and those of them that are not granted
    # yet.
    self._permits_by_upstream: dict[str, set[str]] = {}
    self._waiting_permits: set[str] = set()
    self._keeper_by_name: dict[str, str] = {}
    self._releases_by_keeper: dict[str, list[messages.Release]] = {}
    self.clock: Callable[[], float] = time.monotonic
    members.loads = self.get_loads
    members.own_roster_listeners.append(self._on_roster_change)
    members.any_roster_listeners.append(self._release_dead_holders)

  # --- Acquiring permits ----------------------------------------------------

  def get_keeper(self, upstream: str) -> str:
    """Returns the keeper of an upstream's queue, or '' if there is none."""
    domain = self.domain_by_name[upstream]
    return self._members.directory.get_keeper(domain, upstream)

  async def acquire(self, request: messages.Acquire) -> None:
    """Returns once the keeper has granted the permit.

    If a keeper gives no answer, such as one that leaves, the next keeper is
    asked as soon as it is known.

    Raises `overloaded` if no permit is granted within the call's patience,
    if the call is refused early, or if there is no keeper or it cannot be
    reached and is not replaced.  Other errors of the keeper are raised
    unchanged.
    """
    keeper = self.get_keeper(request.upstream)
    if not keeper:
      raise make_overloaded(request.upstream, self._config.timing.silent_after)
    self._permits_by_upstream.setdefault(request.upstream, set()).add(
      request.permit
    )
    self._waiting_permits.add(request.permit)
    try:
      await self._acquire_in_time(keeper, request)
    except BaseException:
      # The keeper may have granted the permit although its response was lost.
      # With 0 seconds, the release reports no outcome.
      self.release(
        messages.Release(
          permit=request.permit,
          upstream=request.upstream,
          seconds=0.0,
          is_ok=True,
        )
      )
      raise
    finally:
      self._waiting_permits.discard(request.permit)

  async def _acquire_in_time(
    self, keeper: str, request: messages.Acquire
  ) -> None:
    """Asks one keeper after the other while the call's patience lasts."""
    expires_at = self.clock() + request.patience
    while True:
      try:
        await self._request_permit(keeper, request)
        return
      except errors.WoadrunError as error:
        if error.code is not errors.Code.OWNER_UNAVAILABLE:
          raise
        keeper = await self._find_next_keeper(
          keeper, request.upstream, expires_at=expires_at
        )
        patience = expires_at - self.clock()
        if not keeper or patience <= 0:
          raise make_overloaded(
            request.upstream, self._config.timing.silent_after
          ) from error
      request = msgspec.structs.replace(request, patience=patience)

  async def _request_permit(
    self, keeper: str, request: messages.Acquire
  ) -> None:
    if keeper == self._address:
      await self.queue(request)
      return
    await self._peers.post(
      keeper,
      'permit',
      request,
      type=messages.Granted,
      timeout=request.patience + RESPONSE_MARGIN_SECONDS,
    )

  async def _find_next_keeper(
    self, keeper: str, upstream: str, *, expires_at: float
  ) -> str:
    """Returns the keeper that replaces one without answer, or ''.

    In this daemon's own domain, waits until a keeper that has died is passed
    over, or the roster without one that has left is known.  The keepers of
    other domains are not passed over.
    """
    until = self.clock()
    if self.domain_by_name[upstream] == self._members.domain:
      timing = self._config.timing
      until += timing.silent_after + timing.heartbeat
    while (found := self.get_keeper(upstream)) == keeper:
      if self.clock() >= min(until, expires_at):
        return ''
      await asyncio.sleep(KEEPER_POLL_INTERVAL_SECONDS)
    return found

  def release(self, message: messages.Release) -> None:
    """Releases a permit, without waiting for the keeper."""
    self._permits_by_upstream.get(message.upstream, set()).discard(
      message.permit
    )
    keeper = self.get_keeper(message.upstream)
    if keeper == self._address:
      self.release_slot(message)
    elif keeper:
      waiting = self._releases_by_keeper.setdefault(keeper, [])
      waiting.append(message)
      if len(waiting) == 1:
        self.add_future(self._send_releases(keeper))

  async def _send_releases(self, keeper: str) -> None:
    await asyncio.sleep(RELEASE_BATCH_DELAY_SECONDS)
    releases = self._releases_by_keeper.pop(keeper)
    message = messages.Releases(releases=releases)
    with contextlib.suppress(errors.WoadrunError):
      await self._peers.post(
        keeper,
        'release',
        message,
        type=messages.Done,
        timeout=REPORT_TIMEOUT_SECONDS,
      )

  def release_slots(self, message: messages.Releases) -> messages.Done:
    """Releases several permits of queues that this daemon keeps."""
    for release in message.releases:
      self.release_slot(release)
    return messages.Done()

  # --- Keeping queues -------------------------------------------------------

  async def queue(self, request: messages.Acquire) -> messages.Granted:
    """Returns once the permit is granted to the holder.

    Raises `overloaded` once the expected wait exceeds the rest of the call's
    patience, or if the queue is full.
    """
    upstream = self._get_upstream(request.upstream)
    now = self.clock()
    if request.permit in upstream.holder_by_permit:
      return messages.Granted(permit=request.permit)
    call = queue.QueuedCall(
      id=request.permit,
      row=request.row,
      weight=request.weight,
      attained=request.attained,
      cost=request.cost,
      arrived=now,
    )
    wait = upstream.estimate_wait(call, now)
    is_full = len(upstream.waiting) >= self._config.limits.waiting
    if is_full or wait > request.patience:
      raise make_overloaded(request.upstream, wait)
    future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    waiter = Waiter(holder=request.holder, future=future)
    upstream.waiter_by_permit[request.permit] = waiter
    upstream.waiting.push(call)
    upstream.grant(now)
    try:
      await _wait_for_turn(
        upstream,
        call,
        future,
        expires_at=now + request.patience,
        clock=self.clock,
      )
    finally:
      upstream.waiting.remove(request.permit)
      upstream.waiter_by_permit.pop(request.permit, None)
    return messages.Granted(permit=request.permit)

  def release_slot(self, message: messages.Release) -> messages.Done:
    """Releases a permit and records the outcome of its call.

    A permit that is not granted yet is removed from the queue.  A message with
    0 seconds reports no outcome.
    """
    upstream = self._get_upstream(message.upstream)
    now = self.clock()
    upstream.waiting.remove(message.permit)
    holder = upstream.holder_by_permit.pop(message.permit, None)
    if holder is not None and message.seconds:
      upstream.record_outcome(message.seconds, is_ok=message.is_ok, now=now)
    upstream.grant(now)
    return messages.Done()

  def apply_hold(self, message: messages.HeldPermits) -> messages.Done:
    """Applies a holder's report of all its permits of some upstreams.

    Permits that the report does not list are released: their release
    message may have been lost.
    """
    now = self.clock()
    for name, permits in message.held.items():
      upstream = self._get_upstream(name)
      # The grant of a waiting permit may be on its way to the holder.
      listed = {*permits, *message.waiting.get(name, ())}
      for permit, holder in list(upstream.holder_by_permit.items()):
        if holder == message.holder and permit not in listed:
          del upstream.holder_by_permit[permit]
      for permit in permits:
        # Holders of earlier releases also list waiting permits as held.
        if permit not in upstream.waiter_by_permit:
          upstream.holder_by_permit[permit] = message.holder
      upstream.grant(now)
    return messages.Done()

  def _get_upstream(self, name: str) -> Upstream:
    found = self.upstream_by_name.get(name)
    if found is None:
      found = Upstream(name=name, slots=self._slots_by_name[name])
      self.upstream_by_name[name] = found
    return found

  def get_loads(self) -> list[messages.UpstreamLoad]:
    """Returns the load of each upstream whose queue this daemon keeps."""
    now = self.clock()
    return [
      messages.UpstreamLoad(
        name=u.name,
        running=len(u.holder_by_permit),
        waiting=len(u.waiting),
        slots=u.get_slots(now),
        seconds=round(u.seconds, 3),
      )
      for u in self.upstream_by_name.values()
      if self.get_keeper(u.name) == self._address
    ]

  # --- Roster changes and reconciliation ------------------------------------

  def _release_dead_holders(self) -> None:
    """Releases the permits of processes that no roster contains any more."""
    known = self._members.directory.get_known_processes()
    for upstream in self.upstream_by_name.values():
      for permit, holder in list(upstream.holder_by_permit.items()):
        if holder not in known:
          del upstream.holder_by_permit[permit]
      upstream.grant(self.clock())

  def _on_roster_change(self, new: roster.Roster) -> None:
    moved = {
      name
      for name in self._permits_by_upstream
      if self.get_keeper(name) != self._keeper_by_name.get(name)
    }
    self._report_permits(moved)

  def _report_permits(self, names: Iterable[str]) -> None:
    names_by_keeper: dict[str, list[str]] = {}
    for name in names:
      keeper = self.get_keeper(name)
      self._keeper_by_name[name] = keeper
      if keeper:
        names_by_keeper.setdefault(keeper, []).append(name)
    for keeper, kept in names_by_keeper.items():
      self.add_future(self._send_hold(keeper, self._make_hold(kept)))

  def _make_hold(self, names: Iterable[str]) -> messages.HeldPermits:
    """Returns the report of this daemon's permits of some upstreams."""
    held: dict[str, list[str]] = {}
    waiting: dict[str, list[str]] = {}
    for name in names:
      permits = sorted(self._permits_by_upstream[name])
      held[name] = [p for p in permits if p not in self._waiting_permits]
      waiting[name] = [p for p in permits if p in self._waiting_permits]
    return messages.HeldPermits(
      holder=self._members.process_name, held=held, waiting=waiting
    )

  @mode.Service.task
  async def _reconcile(self) -> None:
    while not self.should_stop:
      await self.sleep(RECONCILE_INTERVAL_SECONDS)
      self._report_permits(list(self._permits_by_upstream))
      for upstream in self.upstream_by_name.values():
        upstream.grant(self.clock())

  async def _send_hold(
    self, keeper: str, message: messages.HeldPermits
  ) -> None:
    if keeper == self._address:
      self.apply_hold(message)
      return
    with contextlib.suppress(errors.WoadrunError):
      await self._peers.post(
        keeper,
        'hold',
        message,
        type=messages.Done,
        timeout=REPORT_TIMEOUT_SECONDS,
      )

  def dump(self) -> dict[str, object]:
    """Returns the state of this service as plain data."""
    now = self.clock()
    return {
      u.name: {
        'keeper': self.get_keeper(u.name),
        'slots': u.get_slots(now),
        'running': len(u.holder_by_permit),
        'waiting': len(u.waiting),
        'seconds': round(u.seconds, 3),
        'failures': u.failures,
      }
      for u in self.upstream_by_name.values()
    }


def make_overloaded(upstream: str, seconds: float) -> errors.WoadrunError:
  """Returns the `overloaded` error, with the seconds to retry after."""
  return errors.WoadrunError(
    errors.Code.OVERLOADED,
    f'{upstream} has too many calls waiting.',
    retry_after=round(seconds, 2),
  )


async def _wait_for_turn(
  upstream: Upstream,
  call: queue.QueuedCall,
  turn: asyncio.Future[None],
  *,
  expires_at: float,
  clock: Callable[[], float],
) -> None:
  """Returns once a queued call has its turn.

  Raises `overloaded` once its turn would come after `expires_at`: later calls
  may overtake it, and calls may last longer than expected.
  """
  left = expires_at - clock()
  while not turn.done():
    await asyncio.wait(
      (turn,), timeout=max(MIN_ESTIMATE_INTERVAL_SECONDS, left / 2)
    )
    now = clock()
    left = expires_at - now
    wait = upstream.estimate_wait(call, now)
    if not turn.done() and (left <= 0 or wait > left):
      raise make_overloaded(upstream.name, wait)
