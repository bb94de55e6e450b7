"""Limits of the operators' rows, held across all daemons.

A large limit is cut into one share for each failure domain, which holds
also while domains are cut off.  A small one is kept whole by one domain.
Within a domain one member keeps a row's share; it follows from the
roster.  It lends daemons places and calls ahead of their need, as far as
there are plenty, so that most calls ask nobody; of a scarce limit it
lends one at a time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import logging
import time

import mode

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.decisions import admission
from woadrun.process import membership
from woadrun.version import roster
from woadrun.version import rows

log = logging.getLogger('woadrun.limits')

TIMEOUT = 1.0
RECONCILE_SECONDS = 1.0
# A new keeper lends nothing for so long: holders tell it what they have.
GRACE_SECONDS = 0.3
# An edit reaches a keeper that is behind within about this time.
RETRY_SECONDS = 0.2
# A refused call may come back after this long for a free place.
CONCURRENCY_RETRY_SECONDS = 1.0
# Between looks whether a row has another keeper, in seconds: a tenth of a
# heartbeat, with which rosters are told.
KEEPER_POLL_SECONDS = 0.05
# How often one call asks the keeper: for a call, for a place that another
# took meanwhile, and once more.
MOST_ASKS = 3


@dataclasses.dataclass(eq=False, kw_only=True)
class Heard:
  """The newest messages of a holder about a row: any, and a report."""

  number: int = 0
  reported: int = 0


@dataclasses.dataclass(eq=False, kw_only=True)
class Keeping:
  """What is lent of one row's limits, by holder."""

  begun_at: float
  places_by_holder: dict[str, int] = dataclasses.field(default_factory=dict)
  heard_by_holder: dict[str, Heard] = dataclasses.field(default_factory=dict)
  bucket: admission.Bucket | None = None


@dataclasses.dataclass(eq=False, kw_only=True)
class Borrowed:
  """What this daemon has of one row's limits.

  `most` is the most places in use since the last time that spare ones
  were given back.  `number` is that of the last message about them; `asks` are
  without an answer, and what has become spare meanwhile `is_spare`.
  """

  keeper: str = ''
  places: int = 0
  calls: int = 0
  most: int = 0
  in_use: set[str] = dataclasses.field(default_factory=set)
  number: int = 0
  asks: int = 0
  is_spare: bool = False

  def take(self, permit: str) -> bool:
    """Returns whether there was a place and a call left to take."""
    if len(self.in_use) >= self.places or not self.calls:
      return False
    self.calls -= 1
    self.in_use.add(permit)
    self.most = max(self.most, len(self.in_use))
    return True


class Limits(mode.Service):
  """The rows whose limits are kept here, and what is borrowed of others."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    links: peers.Peers,
    get_row: Callable[[str], rows.Row | None],
  ) -> None:
    super().__init__()
    self._domains = config.daemon.region_domains
    self._members = members
    self._links = links
    self._address = config.daemon.address
    self._get_row = get_row
    self._keeping_by_row: dict[str, Keeping] = {}
    self._borrowed_by_row: dict[str, Borrowed] = {}
    self.asked = 0
    self.clock: Callable[[], float] = time.monotonic
    members.listeners.append(self._on_roster)

  # --- Borrowing ------------------------------------------------------------

  async def acquire(self, row: rows.Row, permit: str) -> None:
    """Returns once the row has room for the call; raises `limit_reached`."""
    borrowed = self._borrowed_by_row.setdefault(row.key, Borrowed())
    for _ in range(MOST_ASKS):
      if borrowed.take(permit):
        return
      await self._borrow_more(row, borrowed)
    # Each time others took what was lent while the answer was on its way.
    if not borrowed.take(permit):
      raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)

  async def _borrow_more(self, row: rows.Row, borrowed: Borrowed) -> None:
    """Takes over what the row's keeper lends."""
    borrowed.asks += 1
    try:
      lent = await self._borrow(row, borrowed)
      borrowed.places = max(borrowed.places, lent.places)
      borrowed.calls += lent.calls
    finally:
      borrowed.asks -= 1
      if borrowed.is_spare and not borrowed.asks:
        # Runs after the calls that wait for the answer, which may take it.
        asyncio.get_running_loop().call_soon(
          self._give_back_spare, row.key, borrowed
        )

  def _give_back_spare(self, key: str, borrowed: Borrowed) -> None:
    if borrowed.is_spare:
      self._give_back(key, borrowed, spare=0)

  async def _borrow(self, row: rows.Row, borrowed: Borrowed) -> messages.Lent:
    """Returns what the row's keeper lends, or the next keeper if that left."""
    until = self.clock() + TIMEOUT
    while True:
      keeper = self._get_keeper(row)
      if not keeper:
        raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)
      borrowed.keeper = keeper
      try:
        lent = await self._ask(keeper, row, borrowed)
        # Nobody counts what a replaced keeper has lent.
        if self._get_keeper(row) == keeper:
          return lent
      except errors.WoadrunError as error:
        if error.code is not errors.Code.OWNER_UNAVAILABLE:
          raise
        # Refused here, calls failed at each planned stop of a keeper until
        # this daemon had read the roster again.
        if not await self._wait_other_keeper(row, keeper, until):
          raise make_limit_reached(row.key, TIMEOUT) from error

  async def _wait_other_keeper(
    self, row: rows.Row, keeper: str, until: float
  ) -> bool:
    """Returns whether the row has another keeper before the time `until`."""
    while self.clock() < until:
      if self._get_keeper(row) != keeper:
        return True
      await asyncio.sleep(KEEPER_POLL_SECONDS)
    return False

  async def _ask(
    self, keeper: str, row: rows.Row, borrowed: Borrowed
  ) -> messages.Lent:
    self.asked += 1
    borrowed.number += 1
    ask = messages.Borrow(
      holder=self._members.process_name,
      row=row.key,
      in_use=max(len(borrowed.in_use), borrowed.places),
      is_more=len(borrowed.in_use) >= borrowed.places,
      number=borrowed.number,
    )
    if keeper == self._address:
      return await self.lend(ask)
    return await self._links.post(
      keeper, 'limit', ask, type=messages.Lent, timeout=TIMEOUT
    )

  def release(self, row: rows.Row, permit: str) -> None:
    """Frees the place of a call; it goes back with the next report."""
    borrowed = self._borrowed_by_row.get(row.key)
    if borrowed is None:
      return
    borrowed.in_use.discard(permit)
    if borrowed.places <= 1 + len(borrowed.in_use):
      # Of a scarce limit nothing is kept for later.
      self._give_back(row.key, borrowed, spare=0)

  def _give_back(self, key: str, borrowed: Borrowed, *, spare: int) -> None:
    if borrowed.asks:
      # Waits for the answer under way: its places are counted by the keeper,
      # and a report sent now would not include them.
      borrowed.is_spare = True
      return
    borrowed.is_spare = False
    borrowed.places = min(borrowed.places, len(borrowed.in_use) + spare)
    borrowed.most = len(borrowed.in_use)
    self._tell_places(key, borrowed)

  def _tell_places(self, key: str, borrowed: Borrowed) -> None:
    row = self._get_row(key)
    keeper = self._get_keeper(row) if row else ''
    borrowed.keeper = keeper
    borrowed.number += 1
    message = messages.Holds(
      holder=self._members.process_name,
      places_by_row={key: borrowed.places},
      number=borrowed.number,
    )
    if keeper == self._address:
      self.note_held(message)
    elif keeper:
      self.add_future(self._send(keeper, message))

  # --- Lending --------------------------------------------------------------

  async def lend(self, ask: messages.Borrow) -> messages.Lent:
    """Returns places and calls, or raises `limit_reached` with a time."""
    row = self._get_row(ask.row)
    if row is None:
      # The asker has the row, so this daemon is behind with the table.
      raise errors.WoadrunError(
        errors.Code.CONFIG_UNAVAILABLE,
        f'The keeper of {ask.row} has not seen its row yet.',
        retry_after=RETRY_SECONDS,
      )
    keeping = self._get_keeping(ask.row)
    await self._wait_grace(keeping)
    places = self._lend_places(row, keeping, ask)
    return messages.Lent(places=places, calls=self._lend_calls(row, keeping))

  def _lend_places(
    self, row: rows.Row, keeping: Keeping, ask: messages.Borrow
  ) -> int:
    lent = keeping.places_by_holder
    heard = keeping.heard_by_holder.setdefault(ask.holder, Heard())
    if 0 < ask.number < heard.reported:
      # The holder no longer waits for the answer.
      raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)
    # Includes places in an answer that the holder has not received yet.
    held = max(ask.in_use, lent.get(ask.holder, 0))
    heard.number = max(heard.number, ask.number)
    others = sum(lent.values()) - lent.get(ask.holder, 0)
    free = self._get_share(row) - others - held
    wanted = 0
    if ask.is_more:
      if free < 1:
        raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)
      wanted = 1 + admission.get_spare(free - 1, self._count_members())
    lent[ask.holder] = held + wanted
    return lent[ask.holder]

  def _lend_calls(self, row: rows.Row, keeping: Keeping) -> int:
    bucket = self._get_bucket(row, keeping)
    wait = bucket.take(self.clock())
    if wait:
      raise make_limit_reached(row.key, wait)
    spare = admission.get_spare(int(bucket.level), self._count_members())
    bucket.level -= spare
    return 1 + spare

  def note_held(self, message: messages.Holds) -> messages.Done:
    """Takes in how many places a daemon keeps of each row."""
    for key, places in message.places_by_row.items():
      keeping = self._get_keeping(key)
      heard = keeping.heard_by_holder.setdefault(message.holder, Heard())
      if 0 < message.number < heard.number:
        continue
      heard.number = heard.reported = message.number
      lent = keeping.places_by_holder
      if places:
        lent[message.holder] = places
      else:
        lent.pop(message.holder, None)
    return messages.Done()

  def _get_keeping(self, key: str) -> Keeping:
    return self._keeping_by_row.setdefault(key, Keeping(begun_at=self.clock()))

  async def _wait_grace(self, keeping: Keeping) -> None:
    left = keeping.begun_at + GRACE_SECONDS - self.clock()
    if left > 0 and self._count_members() > 1:
      await asyncio.sleep(left)

  def _count_members(self) -> int:
    return len(self._members.directory.get_known_addresses())

  def _get_share(self, row: rows.Row) -> int:
    if not admission.is_split(row.concurrency, self._domains):
      return row.concurrency
    return admission.get_share(
      row.concurrency, self._domains, self._members.domain
    )

  def _get_bucket(self, row: rows.Row, keeping: Keeping) -> admission.Bucket:
    is_split = admission.is_split(row.concurrency, self._domains)
    rate = row.rate / (len(self._domains) if is_split else 1)
    bucket = keeping.bucket
    if bucket is None or bucket.rate != rate:
      burst = max(1.0, rate)
      now = self.clock()
      bucket = admission.Bucket(
        rate=rate, burst=burst, level=burst if rate else 0.0, filled_at=now
      )
      keeping.bucket = bucket
    return bucket

  def _get_keeper(self, row: rows.Row) -> str:
    domain = self._members.domain
    if not admission.is_split(row.concurrency, self._domains):
      domain = roster.rank(f'limit/{row.key}', self._domains)[0]
    return self._members.directory.get_keeper(domain, f'limit/{row.key}')

  # --- Keeping both sides in step -------------------------------------------

  def _on_roster(self, new: roster.Roster) -> None:
    for key, borrowed in self._borrowed_by_row.items():
      row = self._get_row(key)
      if row is not None and self._get_keeper(row) != borrowed.keeper:
        # Without waiting for answers of the old keeper: the new one lends after
        # a grace period what nobody reports.
        self._tell_places(key, borrowed)

  @mode.Service.task
  async def _reconcile(self) -> None:
    while not self.should_stop:
      await self.sleep(RECONCILE_SECONDS)
      self.report()

  def report(self) -> None:
    """Tells keepers what is held here, and forgets holders that are gone."""
    self._drop_gone()
    for key, borrowed in self._borrowed_by_row.items():
      if borrowed.places or borrowed.keeper:
        spare = borrowed.most - len(borrowed.in_use)
        self._give_back(key, borrowed, spare=spare)
        borrowed.keeper = borrowed.keeper if borrowed.places else ''

  def _drop_gone(self) -> None:
    known = self._members.directory.get_known_processes()
    for keeping in self._keeping_by_row.values():
      for holder in set(keeping.heard_by_holder) - known:
        keeping.places_by_holder.pop(holder, None)
        del keeping.heard_by_holder[holder]

  async def _send(self, keeper: str, message: messages.Holds) -> None:
    with contextlib.suppress(errors.WoadrunError):
      await self._links.post(
        keeper, 'limit/hold', message, type=messages.Done, timeout=TIMEOUT
      )

  def dump(self) -> dict[str, object]:
    """Returns the state of this part as plain data."""
    return {
      'lent': {
        key: sum(keeping.places_by_holder.values())
        for key, keeping in self._keeping_by_row.items()
      },
      'borrowed': {
        key: {'places': b.places, 'in_use': len(b.in_use)}
        for key, b in self._borrowed_by_row.items()
      },
      'asked': self.asked,
    }


def make_limit_reached(row: str, seconds: float) -> errors.WoadrunError:
  """Returns the refusal of a call that its row has no room for."""
  return errors.WoadrunError(
    errors.Code.LIMIT_REACHED,
    f'The limits of {row} are reached.',
    retry_after=round(seconds, 2),
  )
