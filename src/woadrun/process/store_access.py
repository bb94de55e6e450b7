"""The row store as one daemon reaches it: itself, or through a peer.

The store may turn single VMs away while it serves the others.  A peer that
it serves then makes the call.
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
from woadrun.process import beats
from woadrun.process import fleet
from woadrun.process import store_clock
from woadrun.process import ticks

log = logging.getLogger('woadrun.store')

T = TypeVar('T', rows.Page, rows.Outcome)

# A write that takes longer holds a turn up more than the standby does, in
# seconds: a store in good order takes a tenth of it.
SLOW_SECONDS = 0.1
# Who can do without a write takes it for lost after so long, in seconds, before
# it is: as the store went silent, callers gave up turns that waited for longer.
HANGING_SECONDS = 0.3
# Weight of the newest write in the time that writes take.
LEARN_WEIGHT = 0.3
# Between looks whether the store serves this VM again, in seconds.
PROBE_SECONDS = 0.25
# Until a look counts as failed, in seconds: a store that answers more slowly
# would hold up each turn for longer than a turn takes.
PROBE_TIMEOUT_SECONDS = 0.6
# How long a call that is over the store's rate waits, in seconds, evenly drawn
# so that refused calls do not come back together; the rate is counted by the
# second, and most of a second is left when a burst ends.
PACE_SECONDS = (0.05, 0.25)
# Peers asked for one call.
MOST_RELAYS = 2
# Until a peer that makes a call counts as without the store, in seconds: one
# that has it answers in some ten milliseconds.  As a store goes silent for all,
# peers still say that they have it, and the ends of turns waited for each of
# them.
RELAY_SECONDS = 0.4
# After that no peer is asked for so long, in seconds: until the next datagrams
# tell who has the store.
NO_RELAY_SECONDS = 0.5
# How long a relayed feed waits for changes, in seconds: a peer that cannot
# be reached any more is found out that much later.
RELAYED_WAIT_SECONDS = 0.5


class StoreAccess(mode.Service):
  """A row store that goes on through peers while it is out of reach.

  `store_time` learns the store's clock from its answers.
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
    # In the order in which they began.
    self._scopes: dict[asyncio.Timeout, None] = {}
    self._begun: dict[object, float] = {}
    self._seconds = 0.0
    self._no_way_since: float | None = None
    self._no_relay_until = -math.inf

  def use_fleet(self, members: fleet.Fleet) -> None:
    """Tells whose help can be asked for."""
    self._fleet = members

  @property
  def is_reached(self) -> bool:
    """Whether a call now has a way to the store."""
    if self.is_direct:
      return True
    if self._fleet is None or time.monotonic() < self._no_relay_until:
      return False
    return self._fleet.has_one_with_store()

  @property
  def outage(self) -> float:
    """For how long there has been no way to the store, in seconds."""
    if self._no_way_since is None or self.is_reached:
      return 0.0
    return time.monotonic() - self._no_way_since

  @property
  def is_slow(self) -> bool:
    """Whether a write now would hold a turn up."""
    return self._seconds > SLOW_SECONDS or self._get_wait() > SLOW_SECONDS

  @property
  def has_answers(self) -> bool:
    """Whether the store serves this VM and leaves no write waiting for long."""
    return self.is_direct and self._get_wait() < HANGING_SECONDS

  def _get_wait(self) -> float:
    """Returns for how long the oldest write has waited, in seconds."""
    oldest = min(self._begun.values(), default=math.inf)
    return time.monotonic() - oldest

  @contextlib.contextmanager
  def clock(self) -> Iterator[None]:
    """Returns a context that takes the time of a write to the store."""
    began = time.monotonic()
    call = object()
    self._begun[call] = began
    try:
      yield
    finally:
      del self._begun[call]
      took = time.monotonic() - began
      self._seconds += LEARN_WEIGHT * (took - self._seconds)

  # --- The interface of a row store -----------------------------------------

  async def change(
    self,
    *,
    writes: Sequence[tuple[rows.Key, bytes]] = (),
    removes: Sequence[rows.Key] = (),
    conditions: Sequence[tuple[rows.Key, int]] = (),
  ) -> rows.Outcome:
    """Returns what became of an all-or-nothing change of one part.

    A change whose answer was lost may be tried again through a peer: its
    conditions then show that it was done.
    """
    message = turn_messages.StoreChange(
      writes=tuple(_name(key, value=value) for key, value in writes),
      removes=tuple(_name(key) for key in removes),
      conditions=tuple(_name(key, version=v) for key, v in conditions),
    )

    async def call() -> rows.Outcome:
      with self.clock():
        return await self.direct.change(
          writes=writes, removes=removes, conditions=conditions
        )

    async def relay(peer: beats.Member) -> rows.Outcome:
      page = await self._ask(peer, 'store/change', message)
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
    """Returns the rows with names from `first` up to, without, `end`."""
    message = turn_messages.StoreRead(
      table=table, part=part, first=first, end=end
    )

    async def call() -> rows.Page:
      return await self.direct.read(table, part, first=first, end=end)

    async def relay(peer: beats.Member) -> rows.Page:
      page = await self._ask(peer, 'store/read', message)
      return _get_page(page)

    return await self._run(call, relay)

  async def follow(self, table: str, *, after: int, wait: float) -> rows.Page:
    """Returns the changes after a version, as soon as there are any."""
    wait_relayed = min(wait, RELAYED_WAIT_SECONDS)
    message = turn_messages.StoreFollow(
      table=table, after=after, wait=wait_relayed
    )

    async def call() -> rows.Page:
      return await self.direct.follow(table, after=after, wait=wait)

    async def relay(peer: beats.Member) -> rows.Page:
      page = await self._ask(peer, 'store/follow', message, wait=wait_relayed)
      if page.is_history_gone:
        raise rows.HistoryGone(table)
      return _get_page(page)

    return await self._run(call, relay)

  # --- Ways to the store ----------------------------------------------------

  async def _run(
    self,
    call: Callable[[], Awaitable[T]],
    relay: Callable[[beats.Member], Awaitable[T]],
  ) -> T:
    failure = errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE, 'No way to the store.', retry_after=1.0
    )
    # Without a way nothing is tried: a call that waits for its timeout would
    # hold its caller up, and the probe finds out when the store is back.
    if self.is_direct:
      try:
        result = await self._call_timed(lambda: self._call_paced(call))
        self._note(None)
        return result
      except errors.WoadrunError as error:
        self._note(error)
        failure = error
    peers_with_store = self._find_relays()[:MOST_RELAYS]
    for peer in peers_with_store:
      try:
        return await self._call_timed(functools.partial(relay, peer))
      except errors.WoadrunError as error:
        failure = error
    if peers_with_store:
      log.info('No peer has a way to the store: %s', failure.message)
      self._no_relay_until = time.monotonic() + NO_RELAY_SECONDS
    raise failure

  async def _call_timed(self, call: Callable[[], Awaitable[T]]) -> T:
    began = time.monotonic()
    result = await call()
    if result.clock is not None:
      ended = time.monotonic()
      self._store_time.note(result.clock, began=began, ended=ended)
    return result

  async def _call_paced(self, call: Callable[[], Awaitable[T]]) -> T:
    """Returns what a call gives, tried twice where it is over the rate.

    The rate is that of all daemons together: a peer would be refused as well,
    and one refusal does not mean that the store turns this VM away.
    """
    try:
      return await self._call(call)
    except http.OverRate as error:
      log.info('A call of the store waits: %s', error.message)
      await asyncio.sleep(random.uniform(*PACE_SECONDS))
      return await self._call(call)

  async def _call(self, call: Callable[[], Awaitable[T]]) -> T:
    """Returns what a call gives, unless another one finds the store lost."""
    scope = asyncio.timeout(None)
    try:
      async with scope:
        self._scopes[scope] = None
        return await call()
    except TimeoutError as error:
      if not scope.expired():
        raise
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store was lost while it was asked.',
        ran=errors.Ran.UNKNOWN,
        retry_after=1.0,
      ) from error
    finally:
      self._scopes.pop(scope, None)

  def _end_calls(self) -> None:
    now = asyncio.get_running_loop().time()
    for scope in self._scopes:
      scope.reschedule(now)
    self._scopes.clear()

  def _find_relays(self) -> list[beats.Member]:
    if self._fleet is None or time.monotonic() < self._no_relay_until:
      return []
    return self._fleet.find_with_store()

  async def _ask(
    self,
    peer: beats.Member,
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
      timeout=wait + RELAY_SECONDS,
    )

  def _note(self, error: errors.WoadrunError | None) -> None:
    if error is None:
      if not self.is_direct:
        log.info('The store serves this VM.')
      self.is_direct = True
    elif self.is_direct:
      log.warning('The store does not serve this VM: %s', error.message)
      self.is_direct = False
      self._end_calls()

  @mode.Service.task
  async def _probe(self) -> None:
    while not self.should_stop:
      if self.is_reached:
        self._no_way_since = None
      elif self._no_way_since is None:
        self._no_way_since = time.monotonic()
      if not self.is_direct:
        await self._look()
      await ticks.sleep(PROBE_SECONDS)

  async def _look(self) -> None:
    try:
      async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
        await self.direct.read(fleet.TABLE, '', first='~')
      self._note(None)
    except (errors.WoadrunError, TimeoutError) as error:
      log.debug('Still without the store: %s', error)


# --- For peers that the store turns away -------------------------------------


class StoreRelay:
  """Makes calls to the store for peers; never through a third daemon.

  It refuses at once while the store leaves this daemon without answers.
  """

  def __init__(self, *, access: StoreAccess) -> None:
    self._access = access

  def _check(self) -> None:
    if not self._access.has_answers:
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store does not answer here either.',
        retry_after=1.0,
      )

  async def change(
    self, message: turn_messages.StoreChange
  ) -> turn_messages.StorePage:
    """Returns the outcome of a change."""
    self._check()
    with self._access.clock():
      outcome = await self._access.direct.change(
        writes=[(_get_key(row), row.value) for row in message.writes],
        removes=[_get_key(row) for row in message.removes],
        conditions=[(_get_key(row), row.version) for row in message.conditions],
      )
    return turn_messages.StorePage(
      rows=put_rows(outcome.rows),
      version=outcome.version,
      is_done=outcome.is_done,
      clock=outcome.clock,
    )

  async def read(
    self, message: turn_messages.StoreRead
  ) -> turn_messages.StorePage:
    """Returns a range of rows."""
    self._check()
    page = await self._access.direct.read(
      message.table, message.part, first=message.first, end=message.end
    )
    return _put_page(page)

  async def follow(
    self, message: turn_messages.StoreFollow
  ) -> turn_messages.StorePage:
    """Returns changes, or that their history is gone."""
    self._check()
    try:
      page = await self._access.direct.follow(
        message.table, after=message.after, wait=message.wait
      )
    except rows.HistoryGone:
      return turn_messages.StorePage(is_history_gone=True)
    return _put_page(page)


def _name(
  key: rows.Key, *, value: bytes = b'', version: int = 0
) -> turn_messages.StoreRow:
  return turn_messages.StoreRow(
    table=key.table, part=key.part, name=key.name, value=value, version=version
  )


def _get_key(row: turn_messages.StoreRow) -> rows.Key:
  return rows.Key(row.table, row.part, row.name)


def get_row(row: turn_messages.StoreRow) -> rows.Row:
  """Returns the row that a peer handed on."""
  return rows.Row(
    key=_get_key(row),
    value=row.value,
    version=row.version,
    is_removed=row.is_removed,
    is_packed=row.is_packed,
  )


def _get_page(page: turn_messages.StorePage) -> rows.Page:
  found = tuple(get_row(row) for row in page.rows)
  return rows.Page(
    rows=found, version=page.version, is_cut=page.is_cut, clock=page.clock
  )


def put_rows(found: Sequence[rows.Row]) -> tuple[turn_messages.StoreRow, ...]:
  """Returns rows as they are handed to a peer."""
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


def _put_page(page: rows.Page) -> turn_messages.StorePage:
  return turn_messages.StorePage(
    rows=put_rows(page.rows),
    version=page.version,
    is_cut=page.is_cut,
    clock=page.clock,
  )
