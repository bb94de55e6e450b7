"""Reserves the tokens of a turn against the budget of its program.

A program is a sequence of turns, its requests to models, with a common budget
of tokens.  It has a home failure domain and there an owner, the daemon that
decides, and a standby, which holds a copy.  The store has one row for each
program.

While the store is reachable, each reservation is a conditional write of that
row.  While the store is unreachable, a daemon may spend a share of the budget
that remains (`decisions/shares.py`), each turn only once the standby, if there
is one, has acknowledged it.  The rest is left to domains that may still reach
the store.  The share is computed from the spending that all other domains are
known to count, so that it grows when they acknowledge more of it.

If the home domain cannot be reached, another domain may decide: it is then away
from home.  Another domain is unsettled if it may have spending that the store
does not have yet.  A program is split if it may also have started in another
domain.  A program may overrun its budget by one turn.
"""

from __future__ import annotations

import logging
import math
import time

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.decisions import retry_after
from woadrun.decisions import shares
from woadrun.process import fleet
from woadrun.process import program_copies
from woadrun.process import program_rows
from woadrun.process import store_access
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')

# Number of write conflicts after which a reservation is refused.  Each of them
# means that another daemon wrote the same row.
MAX_CONFLICTS = 6


class Reservations:
  """Reserves tokens of programs on behalf of one daemon."""

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    store: store_access.StoreAccess,
    rows: program_rows.ProgramRows,
    copies: program_copies.Copies,
  ) -> None:
    self._members = members
    self._store = store
    self._rows = rows
    self._copies = copies

  async def reserve(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> None:
    """Reserves a turn's tokens; the caller holds the entry's lock.

    Raises `budget_exceeded` if they do not fit, `owner_unavailable` if an
    unreachable domain may be spending the rest, `not_committed` after too many
    write conflicts, and without the store also `platform_unavailable`,
    `not_owner` or the error of the standby.
    """
    budget = math.inf if ask.budget is None else ask.budget
    # Without a standby, only the store can show that another member decides
    # for the program, so that the answer is awaited.
    is_bounded = self._copies.has_standby(entry.program)
    began = time.monotonic()
    for _ in range(MAX_CONFLICTS):
      await self._check_budget(entry, ask, budget)
      entry.ledger.reserve(ask.request, ask.most)
      try:
        if await self._rows.save(entry, is_bounded=is_bounded):
          self._copies.send_in_background(entry, ())
          return
      except errors.WoadrunError as error:
        await self._reserve_without_store(entry, ask, budget, error)
        return
      # Another daemon changed the row: the turn may not fit the budget any
      # more.  If the new row has the reservation, that daemon made it, and it
      # stays.
      if ask.request not in entry.ledger.saved.reserved:
        entry.ledger.cancel_reservation(ask.request)
    raise errors.WoadrunError(
      errors.Code.NOT_COMMITTED,
      'Too many write conflicts on the program.',
      # As long as another daemon has already kept writing the row.
      retry_after=time.monotonic() - began,
    )

  async def reserve_at_standby(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> None:
    """Reserves a turn's tokens at the standby while the store is slow.

    The flusher writes the reservation to the store.  Raises the same errors as
    `reserve`, except for write conflicts.
    """
    budget = math.inf if ask.budget is None else ask.budget
    await self._check_budget(entry, ask, budget)
    entry.ledger.reserve(ask.request, ask.most)
    reason = errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE,
      'the store is slow',
      retry_after=retry_after.OUTAGE_CHECK_SECONDS,
    )
    await self._reserve_without_store(entry, ask, budget, reason)

  async def _check_budget(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    """Raises if a turn would exceed the budget or the limit of this domain.

    Does nothing for a turn that is reserved already.  Raises `budget_exceeded`
    or `owner_unavailable`.
    """
    held = entry.ledger
    if ask.request in held.reserved:
      return
    entry.note_settled()
    if held.home == self._members.me.domain:
      self._check_partition_limit(entry, ask, budget)
    elif ask.is_away and self._store.is_reachable:
      await self._check_away_limit(entry, ask, budget)
    if held.can_reserve(ask.most, most=budget):
      return
    if self._store.is_reachable:
      await self._rows.refresh(entry)
      if held.can_reserve(ask.most, most=budget):
        return
    raise errors.WoadrunError(
      errors.Code.BUDGET_EXCEEDED,
      f'The budget of {budget:.0f} tokens does not allow {ask.most} more '
      f'after {held.spent} spent.',
    )

  async def _check_away_limit(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    """Checks a turn away from home against the limit of such spending.

    `away_most` limits the total that domains other than the home may spend.  It
    is half of what is left, or less: the home domain may be spending the other
    half without the store.  Raises `owner_unavailable` above the limit.
    """
    held = entry.ledger
    is_bounded = budget < math.inf
    if is_bounded and held.away_most is None and not held.version:
      # The row was not read yet and may have a limit.
      await self._rows.reload(entry)
    if is_bounded and held.away_most is None:
      share = self._get_share(entry, has_store=True)
      # The row may lack what the home domain spent in an outage just before the
      # partition.  When only the row was counted, this domain spent the same
      # tokens again.
      reported = (
        program_copies.decode(entry.home_copy).spent if entry.home_copy else 0
      )
      left = budget - max(reported, held.spent)
      held.away_most = held.spent + int(max(0.0, left) * share)
      log.info(
        'Home domain %s is unreachable; program %s may spend up to %d: %d '
        'spent, %d reported by the home domain, share %.3f, row version %d.',
        held.home,
        entry.program,
        held.away_most,
        held.spent,
        reported,
        share,
        held.version,
      )
    if held.away_most is None:
      return
    if not held.can_reserve(ask.most, most=held.away_most):
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        f'The home domain {held.home} of the program is unreachable, and the '
        'share of this domain is spent.',
        retry_after=retry_after.estimate_outage(
          self._members.get_domain_silence_seconds()
        ),
      )

  def _check_partition_limit(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    """Checks a turn of the home domain against its limit in a partition.

    A domain on the other side of a network partition may be spending a share of
    its own.  The limit is computed once for each partition.  Raises
    `owner_unavailable` above the limit.
    """
    held = entry.ledger
    unsettled = self._find_unsettled(entry)
    if not unsettled:
      entry.partition_limit = None
      # All domains are reachable again and their spending is in the store, so
      # that the limits of this partition end.  When they were kept, other
      # domains had nothing left to spend in the next partition.
      held.away_most = None
      return
    if entry.partition_limit is None:
      # The other side takes its share of what it knows to be left.  This side
      # must start from the same spending: when it started from its current one,
      # both sides took a share of the tokens spent as the partition began.
      share = self._get_share(entry, has_store=True)
      known = entry.get_known(lasted=self._get_disconnected_seconds())
      entry.partition_limit = known + (budget - known) * share
      log.info(
        'While %s may spend too, program %s may spend up to %.0f: %d known to '
        'other domains, share %.3f, row version %d.',
        ', '.join(sorted(unsettled)),
        entry.program,
        entry.partition_limit,
        known,
        share,
        held.version,
      )
    if not held.can_reserve(ask.most, most=entry.partition_limit):
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        'An unreachable domain may be spending the rest of the budget.',
        retry_after=retry_after.estimate_outage(
          self._members.get_domain_silence_seconds()
        ),
      )

  def _find_unsettled(self, entry: program_rows.Entry) -> set[str]:
    """Returns the other domains that may spend without this one knowing.

    These are the unsettled domains, and those that have not been told of the
    program: they may start it as new.
    """
    return self._members.find_unsettled_domains() | entry.uninformed_domains

  def _get_share(self, entry: program_rows.Entry, *, has_store: bool) -> float:
    """Returns this domain's share of the remaining budget, from 0 to 1."""
    held = entry.ledger
    is_home = held.home == self._members.me.domain
    if held.saved.is_split and not has_store:
      # Another domain may consider itself the home domain as well.
      is_home = False
    # The share of the home domain is fixed, so the home is not counted here.
    unsettled = len(self._find_unsettled(entry) - {held.home})
    return shares.get_share(
      is_home=is_home,
      has_store=has_store,
      domains=len(self._members.domains),
      unsettled=unsettled,
    )

  async def _reserve_without_store(
    self,
    entry: program_rows.Entry,
    ask: turn_messages.OpenTurn,
    budget: float,
    error: errors.WoadrunError,
  ) -> None:
    """Reserves a turn's tokens once the standby acknowledges them.

    `error` is the reason for which the store is not used.  If the turn is
    refused, its reservation is withdrawn.
    """
    if entry.is_unverified and not ask.keeps_history:
      # A turn without a history need not be the first of its program, and the
      # program may have spent its budget elsewhere.  When such a program was
      # taken for new, each domain granted the whole budget again.
      entry.ledger.cancel_reservation(ask.request)
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER,
        f'Cannot determine whether the program is new: {error.message}',
        retry_after=retry_after.OUTAGE_CHECK_SECONDS,
      ) from error
    # Protects the reservation: a copy from another daemon that lacks it does
    # not remove it.
    entry.local_decisions.add(ask.request)
    entry.needs_flush = True
    try:
      self._check_authority(entry.ledger, error)
      await self._check_offline(entry, ask, budget)
      await self._copies.send(entry, ())
      # The standby may have answered with turns that this daemon did not count,
      # which are in the ledger now.
      await self._check_offline(entry, ask, budget)
    except errors.WoadrunError:
      entry.ledger.cancel_reservation(ask.request)
      raise
    log.info(
      'Turn %s of %s is granted without the store: %d tokens spent, row '
      'version %d (%s).',
      ask.request,
      ask.program,
      entry.ledger.spent,
      entry.ledger.version,
      error.message,
    )

  def _check_authority(
    self, held: ledger.Ledger, error: errors.WoadrunError
  ) -> None:
    """Raises `error` if this daemon must not decide without the store.

    An isolated daemon must not, because the other members of its domain
    continue without it.  A daemon of another domain must not while heartbeats
    of the home domain arrive.  Otherwise both sides would spend the same
    tokens.
    """
    home = held.home
    is_away = home != self._members.me.domain
    if self._members.is_isolated or (
      is_away and not self._members.is_domain_silent(home)
    ):
      raise error

  def _may_have_started_elsewhere(self, entry: program_rows.Entry) -> bool:
    """Returns whether a program may have started in another domain unnoticed.

    That domain is behind a partition that was not detected when the program
    started, and it leaves no share to this domain.  This domain then has only
    the one turn by which a budget may be overrun.  The result is False for a
    program that is known to be split, which has a share in each domain.
    """
    held = entry.ledger
    is_home = held.home == self._members.me.domain
    if held.version or held.saved.is_split or not is_home:
      return False
    if self._members.find_unsettled_domains():
      return entry.undetected_partition_until > -math.inf
    if time.monotonic() >= entry.undetected_partition_until:
      # No partition was detected in time: the store is unreachable for all
      # domains.  The time is reset, so that a domain that becomes unsettled
      # later does not count.
      entry.undetected_partition_until = -math.inf
    return entry.undetected_partition_until > -math.inf

  async def _check_offline(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    """Raises `platform_unavailable` if a turn may not run without the store."""
    held = entry.ledger
    if (
      self._may_have_started_elsewhere(entry)
      and held.spent > ask.most
      and not await self._confirm_start(entry)
    ):
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store is unreachable, and the program may have started in '
        'another domain.',
        retry_after=retry_after.OUTAGE_CHECK_SECONDS,
      )
    if self._fits_offline(entry, ask, budget):
      return
    await self._report_spending(entry)
    if not self._fits_offline(entry, ask, budget):
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store is unreachable, and the share of the budget for such an '
        'outage is spent.',
        retry_after=retry_after.estimate_outage(self._store.outage_seconds),
      )

  async def _confirm_start(self, entry: program_rows.Entry) -> bool:
    """Returns whether all other domains know that a program started here.

    They are asked only while the store is silent for most daemons.  If it
    serves the other domains, one of them may have written the program's row.
    Without this, the second turns of programs that began just before or in an
    outage were refused for PARTITION_DETECTION_SECONDS.
    """
    if not self._store.is_silent or not await self._report_spending(entry):
      return False
    entry.undetected_partition_until = -math.inf
    entry.uninformed_domains.clear()
    return True

  def _fits_offline(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> bool:
    """Returns whether a reserved turn may run without the store.

    The spending in the ledger includes the turn's reservation.
    """
    if budget == math.inf:
      return True
    held = entry.ledger
    share = self._get_share(entry, has_store=False)
    known = self._get_offline_known(entry, ask, share)
    remaining = (budget - known) * share
    if held.home != self._members.me.domain:
      # The home domain may not have detected the partition yet, and may spend
      # the whole budget.  This domain therefore spends at most the one turn by
      # which a budget may be overrun.
      remaining = min(remaining, ask.most)
    most = known + remaining
    if held.saved.is_split and held.spent - ask.most < most:
      # The one turn by which a program may overrun its budget is granted here,
      # since most programs that may have started elsewhere have not.  Their
      # share with three domains, a quarter of the usual budget, is less than
      # the maximum of one turn: without this rule, their second turns were
      # refused until the partition had healed.
      return True
    return held.spent <= max(most, ask.most)

  def _get_offline_known(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, share: float
  ) -> int:
    """Returns the spending from which this domain's share is computed.

    It is determined once in an outage and kept until the row is saved, except
    that reports to other domains may change it.
    """
    if entry.offline_known is None:
      entry.offline_known = self._find_known_spent(entry, ask)
      log.info(
        'Without the store, program %s may spend share %.3f of the rest: '
        '%d known to other domains, row version %d, unsettled domains: %s.',
        entry.program,
        share,
        entry.offline_known,
        entry.ledger.version,
        ', '.join(sorted(self._members.find_unsettled_domains())) or 'none',
      )
    return entry.offline_known

  def _find_known_spent(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> int:
    """Returns the spending that the home and all other domains surely know.

    It is in tokens and does not include the turn itself.
    """
    held = entry.ledger
    if held.home != self._members.me.domain:
      # All spending known here was reported by the home domain.
      return held.spent - held.reserved.get(ask.request, 0)
    return entry.get_known(lasted=self._get_disconnected_seconds())

  def _get_disconnected_seconds(self) -> float:
    """Returns for how many seconds other domains may have learned nothing."""
    return max(
      self._store.outage_seconds, self._members.get_domain_silence_seconds()
    )

  async def _report_spending(self, entry: program_rows.Entry) -> bool:
    """Raises this domain's limit by reporting its spending to all others.

    Returns whether all of them count it.  Does nothing outside the home domain,
    for a split program or while a domain is unsettled.  The known spending
    rises only if all other domains count the report, because a partition is
    detected only a second after it begins: a home domain that treated the whole
    rest as its own until then spent tokens of which the side with the store had
    a share.
    """
    held = entry.ledger
    is_home = held.home == self._members.me.domain
    if (
      not is_home
      or held.saved.is_split
      or self._members.find_unsettled_domains()
    ):
      return False
    async with entry.report_lock:
      entry.min_reported_spent = spent = held.spent
      if not await self._copies.report_to_domains(entry):
        return False
      # A turn that ended meanwhile may have lowered the spending that the
      # other domains were sent.
      known = min(spent, entry.min_reported_spent)
      entry.offline_known = max(known, entry.offline_known or 0)
      log.info(
        'Other domains count %d tokens spent by program %s.',
        known,
        entry.program,
      )
      return True
