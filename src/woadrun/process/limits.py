"""Enforces the limits of the operators' rows across all daemons.

A row of the operators' table limits the concurrent calls and the call rate of a
team, or of a kind of its work.  The limits of a row with a large concurrency
(see `admission.is_split`) are split into one share per failure domain of the
region, so that they hold during network partitions between domains as well.
Those of another row are assigned whole to one domain.  Within a domain one
member, the row's keeper, manages the share; the roster, the list of the
domain's members, determines which.

The keeper lends places (each for one concurrent call) and calls (tokens of the
rate limit) to holders, which are daemon processes of any domain.  While a limit
has room to spare, the keeper lends some ahead of demand, so that most calls
need no message; of a scarce limit it lends one at a time.
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

# Timeout of messages to a keeper, and of the wait for the next keeper after one
# that cannot be reached; `retry_after` of the error if there is none.
PEER_TIMEOUT_SECONDS = 1.0
# Interval at which holders report their places and return unused ones.
RECONCILE_INTERVAL_SECONDS = 1.0
# A new keeper lends nothing for this long, while holders report their places.
GRACE_PERIOD_SECONDS = 0.3
# `retry_after` of the error when the keeper has not applied the edit that added
# the row; the edit reaches the keeper within about this time.
STALE_TABLE_RETRY_SECONDS = 0.2
# `retry_after` of the error when no place can be borrowed.
CONCURRENCY_RETRY_SECONDS = 1.0
# Interval between checks whether a row has another keeper: a tenth of the
# default heartbeat interval, since heartbeats spread rosters.
KEEPER_POLL_INTERVAL_SECONDS = 0.05
# Requests to the keeper for one call: one for a token of the rate limit, one
# for a place if another call took the free one in the meantime, and one more.
MAX_BORROW_REQUESTS = 3


@dataclasses.dataclass(eq=False, kw_only=True)
class HolderSequence:
  """Sequence numbers of a holder's latest messages about a row.

  `latest` is that of any message, `latest_report` that of a report of places.
  """

  latest: int = 0
  latest_report: int = 0


@dataclasses.dataclass(eq=False, kw_only=True)
class Allocation:
  """A keeper's record of what it has lent of one row's limits.

  `bucket` limits the rate; it is created with the first loan.
  """

  created_at: float
  places_by_holder: dict[str, int] = dataclasses.field(default_factory=dict)
  sequence_by_holder: dict[str, HolderSequence] = dataclasses.field(
    default_factory=dict
  )
  bucket: admission.TokenBucket | None = None


@dataclasses.dataclass(eq=False, kw_only=True)
class Borrowed:
  """What this daemon has borrowed of one row's limits.

  `places` counts the places lent, in use or not, and `calls` the calls that may
  still start.  `in_use` holds the permits, the ids under which running calls
  occupy places.  `peak_in_use` is the largest number of places in use since
  unused ones were last returned.  `number` is the sequence number of the last
  message about the row.  `pending_requests` counts requests without a response,
  and `is_return_deferred` is set if places are to be returned once all of these
  requests are answered.
  """

  keeper: str = ''
  places: int = 0
  calls: int = 0
  peak_in_use: int = 0
  in_use: set[str] = dataclasses.field(default_factory=set)
  number: int = 0
  pending_requests: int = 0
  is_return_deferred: bool = False

  def take(self, permit: str) -> bool:
    """Takes a place and a call; returns False if one of them is missing."""
    if len(self.in_use) >= self.places or not self.calls:
      return False
    self.calls -= 1
    self.in_use.add(permit)
    self.peak_in_use = max(self.peak_in_use, len(self.in_use))
    return True


class Limits(mode.Service):
  """Lends limits of the rows kept here, and borrows from other keepers."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    messenger: peers.Peers,
    get_row: Callable[[str], rows.Row | None],
  ) -> None:
    super().__init__()
    self._domains = config.daemon.region_domains
    self._members = members
    self._peers = messenger
    self._address = config.daemon.address
    self._get_row = get_row
    self._allocation_by_row: dict[str, Allocation] = {}
    self._borrowed_by_row: dict[str, Borrowed] = {}
    self.loan_requests = 0
    self.clock: Callable[[], float] = time.monotonic
    members.own_roster_listeners.append(self._on_roster_change)

  # --- Borrowing ------------------------------------------------------------

  async def acquire(self, row: rows.Row, permit: str) -> None:
    """Returns once the row's limits admit the call with this permit.

    Raises `limit_reached` if they do not or no keeper can be reached, and
    `config_unavailable` if the keeper does not know the row yet.
    """
    borrowed = self._borrowed_by_row.setdefault(row.key, Borrowed())
    for _ in range(MAX_BORROW_REQUESTS):
      if borrowed.take(permit):
        return
      await self._borrow_more(row, borrowed)
    # Concurrent calls may have taken what the last request borrowed.
    if not borrowed.take(permit):
      raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)

  async def _borrow_more(self, row: rows.Row, borrowed: Borrowed) -> None:
    """Borrows from the row's keeper and adds what it lends to `borrowed`."""
    borrowed.pending_requests += 1
    try:
      lent = await self._borrow_from_keeper(row, borrowed)
      borrowed.places = max(borrowed.places, lent.places)
      borrowed.calls += lent.calls
    finally:
      borrowed.pending_requests -= 1
      if borrowed.is_return_deferred and not borrowed.pending_requests:
        # Scheduled to run after the calls that await this response, since
        # they may still use the places.
        asyncio.get_running_loop().call_soon(
          self._return_deferred, row.key, borrowed
        )

  def _return_deferred(self, key: str, borrowed: Borrowed) -> None:
    if borrowed.is_return_deferred:
      self._return_places(key, borrowed, spare=0)

  async def _borrow_from_keeper(
    self, row: rows.Row, borrowed: Borrowed
  ) -> messages.Lent:
    """Returns what the row's keeper lends.

    If the keeper cannot be reached or is replaced meanwhile, sends the request
    to the next one.  Raises `limit_reached` if there is none in time.
    """
    deadline = self.clock() + PEER_TIMEOUT_SECONDS
    while True:
      keeper = self._get_keeper(row)
      if not keeper:
        raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)
      borrowed.keeper = keeper
      try:
        lent = await self._request_loan(keeper, row, borrowed)
        # What a replaced keeper has lent is discarded: the new keeper does
        # not count it.
        if self._get_keeper(row) == keeper:
          return lent
      except errors.WoadrunError as error:
        if error.code is not errors.Code.OWNER_UNAVAILABLE:
          raise
        # Waits for the next keeper.  Without the wait, calls failed after
        # each planned stop of a keeper until this daemon had read the new
        # roster.
        if not await self._wait_for_new_keeper(row, keeper, deadline):
          raise make_limit_reached(row.key, PEER_TIMEOUT_SECONDS) from error

  async def _wait_for_new_keeper(
    self, row: rows.Row, keeper: str, deadline: float
  ) -> bool:
    """Returns whether the row gets another keeper before `deadline`."""
    while self.clock() < deadline:
      if self._get_keeper(row) != keeper:
        return True
      await asyncio.sleep(KEEPER_POLL_INTERVAL_SECONDS)
    return False

  async def _request_loan(
    self, keeper: str, row: rows.Row, borrowed: Borrowed
  ) -> messages.Lent:
    self.loan_requests += 1
    borrowed.number += 1
    request = messages.Borrow(
      holder=self._members.process_name,
      row=row.key,
      in_use=max(len(borrowed.in_use), borrowed.places),
      is_more=len(borrowed.in_use) >= borrowed.places,
      number=borrowed.number,
    )
    if keeper == self._address:
      return await self.lend(request)
    return await self._peers.post(
      keeper, 'limit', request, type=messages.Lent, timeout=PEER_TIMEOUT_SECONDS
    )

  def release(self, row: rows.Row, permit: str) -> None:
    """Frees the place of a call, to be returned with the next report.

    If no more than one place is unused then, it is returned at once.  Does
    nothing for a row of which this daemon has borrowed nothing.
    """
    borrowed = self._borrowed_by_row.get(row.key)
    if borrowed is None:
      return
    borrowed.in_use.discard(permit)
    if borrowed.places <= 1 + len(borrowed.in_use):
      # The limit is scarce: no unused place is retained.
      self._return_places(row.key, borrowed, spare=0)

  def _return_places(self, key: str, borrowed: Borrowed, *, spare: int) -> None:
    """Returns all unused places except `spare`, and reports the others."""
    if borrowed.pending_requests:
      # Deferred until the pending response arrives: the keeper counts the
      # places in that response, and a report sent now would not include them.
      borrowed.is_return_deferred = True
      return
    borrowed.is_return_deferred = False
    borrowed.places = min(borrowed.places, len(borrowed.in_use) + spare)
    borrowed.peak_in_use = len(borrowed.in_use)
    self._report_places(key, borrowed)

  def _report_places(self, key: str, borrowed: Borrowed) -> None:
    row = self._get_row(key)
    keeper = self._get_keeper(row) if row else ''
    borrowed.keeper = keeper
    borrowed.number += 1
    message = messages.HeldPlaces(
      holder=self._members.process_name,
      places_by_row={key: borrowed.places},
      number=borrowed.number,
    )
    if keeper == self._address:
      self.apply_holds(message)
    elif keeper:
      self.add_future(self._send_report(keeper, message))

  # --- Lending --------------------------------------------------------------

  async def lend(self, request: messages.Borrow) -> messages.Lent:
    """Returns the places and calls lent to the holder.

    Raises `limit_reached`, with the time after which to retry, if a limit
    has no room, and `config_unavailable` if this daemon does not know the row.
    """
    row = self._get_row(request.row)
    if row is None:
      # The holder knows the row, so this daemon's table is out of date.
      raise errors.WoadrunError(
        errors.Code.CONFIG_UNAVAILABLE,
        f'The table of the daemon that manages the limits of {request.row} '
        'does not have the row yet.',
        retry_after=STALE_TABLE_RETRY_SECONDS,
      )
    allocation = self._get_allocation(request.row)
    await self._wait_grace_period(allocation)
    places = self._lend_places(row, allocation, request)
    return messages.Lent(places=places, calls=self._lend_calls(row, allocation))

  def _lend_places(
    self, row: rows.Row, allocation: Allocation, request: messages.Borrow
  ) -> int:
    lent = allocation.places_by_holder
    sequence = allocation.sequence_by_holder.setdefault(
      request.holder, HolderSequence()
    )
    if 0 < request.number < sequence.latest_report:
      # A later report overtook this request, and the holder no longer waits
      # for the response.
      raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)
    # The places lent include those in a response that the holder has not
    # received yet.
    held = max(request.in_use, lent.get(request.holder, 0))
    sequence.latest = max(sequence.latest, request.number)
    others = sum(lent.values()) - lent.get(request.holder, 0)
    free = self._get_share(row) - others - held
    wanted = 0
    if request.is_more:
      if free < 1:
        raise make_limit_reached(row.key, CONCURRENCY_RETRY_SECONDS)
      wanted = 1 + admission.get_prefetch_units(free - 1, self._count_members())
    lent[request.holder] = held + wanted
    return lent[request.holder]

  def _lend_calls(self, row: rows.Row, allocation: Allocation) -> int:
    bucket = self._get_bucket(row, allocation)
    wait = bucket.take(self.clock())
    if wait:
      raise make_limit_reached(row.key, wait)
    spare = admission.get_prefetch_units(
      int(bucket.level), self._count_members()
    )
    bucket.level -= spare
    return 1 + spare

  def apply_holds(self, message: messages.HeldPlaces) -> messages.Done:
    """Applies a holder's report of how many places it has of each row.

    Skips the report for rows on which a later message has arrived.
    """
    for key, places in message.places_by_row.items():
      allocation = self._get_allocation(key)
      sequence = allocation.sequence_by_holder.setdefault(
        message.holder, HolderSequence()
      )
      if 0 < message.number < sequence.latest:
        continue
      sequence.latest = sequence.latest_report = message.number
      lent = allocation.places_by_holder
      if places:
        lent[message.holder] = places
      else:
        lent.pop(message.holder, None)
    return messages.Done()

  def _get_allocation(self, key: str) -> Allocation:
    return self._allocation_by_row.setdefault(
      key, Allocation(created_at=self.clock())
    )

  async def _wait_grace_period(self, allocation: Allocation) -> None:
    remaining = allocation.created_at + GRACE_PERIOD_SECONDS - self.clock()
    if remaining > 0 and self._count_members() > 1:
      await asyncio.sleep(remaining)

  def _count_members(self) -> int:
    return len(self._members.directory.get_known_addresses())

  def _get_share(self, row: rows.Row) -> int:
    """Returns how many places the keeper of this domain may lend."""
    if not admission.is_split(row.concurrency, self._domains):
      return row.concurrency
    return admission.get_share(
      row.concurrency, self._domains, self._members.domain
    )

  def _get_bucket(
    self, row: rows.Row, allocation: Allocation
  ) -> admission.TokenBucket:
    is_split = admission.is_split(row.concurrency, self._domains)
    rate = row.rate / (len(self._domains) if is_split else 1)
    bucket = allocation.bucket
    if bucket is None or bucket.rate != rate:
      # One second's calls, but at least one.  A rate of 0 allows no calls.
      burst = max(1.0, rate)
      now = self.clock()
      bucket = admission.TokenBucket(
        rate=rate, burst=burst, level=burst if rate else 0.0, filled_at=now
      )
      allocation.bucket = bucket
    return bucket

  def _get_keeper(self, row: rows.Row) -> str:
    domain = self._members.domain
    if not admission.is_split(row.concurrency, self._domains):
      domain = roster.rank(f'limit/{row.key}', self._domains)[0]
    return self._members.directory.get_keeper(domain, f'limit/{row.key}')

  # --- Reconciliation -------------------------------------------------------

  def _on_roster_change(self, new: roster.Roster) -> None:
    for key, borrowed in self._borrowed_by_row.items():
      row = self._get_row(key)
      if row is not None and self._get_keeper(row) != borrowed.keeper:
        # Reports without waiting for responses of the old keeper: after the
        # grace period the new keeper lends all places that no holder has
        # reported.
        self._report_places(key, borrowed)

  @mode.Service.task
  async def _reconcile(self) -> None:
    while not self.should_stop:
      await self.sleep(RECONCILE_INTERVAL_SECONDS)
      self.report()

  def report(self) -> None:
    """Reports borrowed places to keepers and removes holders that are gone.

    Places in excess of the peak use since the last report are returned.
    """
    self._remove_gone_holders()
    for key, borrowed in self._borrowed_by_row.items():
      if borrowed.places or borrowed.keeper:
        spare = borrowed.peak_in_use - len(borrowed.in_use)
        self._return_places(key, borrowed, spare=spare)
        if not borrowed.places and not borrowed.pending_requests:
          # Later intervals need no report.
          borrowed.keeper = ''

  def _remove_gone_holders(self) -> None:
    known = self._members.directory.get_known_processes()
    for allocation in self._allocation_by_row.values():
      for holder in set(allocation.sequence_by_holder) - known:
        allocation.places_by_holder.pop(holder, None)
        del allocation.sequence_by_holder[holder]

  async def _send_report(
    self, keeper: str, message: messages.HeldPlaces
  ) -> None:
    with contextlib.suppress(errors.WoadrunError):
      await self._peers.post(
        keeper,
        'limit/hold',
        message,
        type=messages.Done,
        timeout=PEER_TIMEOUT_SECONDS,
      )

  def dump(self) -> dict[str, object]:
    """Returns the state of this service as plain data."""
    return {
      'lent': {
        key: sum(allocation.places_by_holder.values())
        for key, allocation in self._allocation_by_row.items()
      },
      'borrowed': {
        key: {'places': b.places, 'in_use': len(b.in_use)}
        for key, b in self._borrowed_by_row.items()
      },
      'asked': self.loan_requests,
    }


def make_limit_reached(row: str, seconds: float) -> errors.WoadrunError:
  """Returns the `limit_reached` error, with the seconds to retry after."""
  return errors.WoadrunError(
    errors.Code.LIMIT_REACHED,
    f'The limits of {row} are reached.',
    retry_after=round(seconds, 2),
  )
