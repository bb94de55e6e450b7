"""Reserves the tokens of a turn against the budget of its program.

With the store in reach each reservation is a conditional write of one row.
Without it a part of what is left may be spent on the standby's word; the
rest is kept for the domains that may reach the store meanwhile, unless each of
them counts the turn as well.
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

# Conflicts of one reservation before it is refused; each means that another
# daemon wrote the same row.
MOST_CONFLICTS = 6
# When a caller may come back where nobody can tell yet, in seconds.
RETRY_SECONDS = 0.3


class Reservations:
  """The budgets of programs, as one daemon reserves of them."""

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
    """Sets a turn's tokens aside; the caller holds the entry's lock.

    Raises `budget_exceeded` where they do not fit, and what keeps this
    daemon from knowing that.
    """
    budget = math.inf if ask.budget is None else ask.budget
    for _ in range(MOST_CONFLICTS):
      await self._check_budget(entry, ask, budget)
      entry.ledger.reserve(ask.request, ask.most)
      try:
        if await self._rows.save(entry):
          self._copies.send_behind(entry, ())
          return
      except errors.WoadrunError as error:
        await self._reserve_without_store(entry, ask, budget, error)
        return
      # Another daemon changed the row: what fitted before may not fit now.
      if ask.request not in entry.ledger.saved.reserved:
        entry.ledger.withdraw(ask.request)
    raise errors.WoadrunError(
      errors.Code.NOT_COMMITTED,
      'Too many daemons write to the program.',
      retry_after=RETRY_SECONDS,
    )

  async def reserve_behind(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> None:
    """Sets a turn's tokens aside at the standby; the store gets it later."""
    budget = math.inf if ask.budget is None else ask.budget
    await self._check_budget(entry, ask, budget)
    entry.ledger.reserve(ask.request, ask.most)
    reason = errors.WoadrunError(
      errors.Code.PLATFORM_UNAVAILABLE, 'the store is slow', retry_after=1.0
    )
    await self._reserve_without_store(entry, ask, budget, reason)

  async def _check_budget(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    held = entry.ledger
    if ask.request in held.reserved:
      return
    entry.note_settled()
    if held.home == self._members.me.domain:
      self._check_guarded(entry, ask, budget)
    elif ask.is_away and self._store.is_reached:
      await self._check_away(entry, ask, budget)
    if held.can_reserve(ask.most, most=budget):
      return
    if self._store.is_reached:
      await self._rows.refresh(entry)
      if held.can_reserve(ask.most, most=budget):
        return
    raise errors.WoadrunError(
      errors.Code.BUDGET_EXCEEDED,
      f'The budget of {budget:.0f} tokens does not hold {ask.most} more '
      f'after {held.spent}.',
    )

  async def _check_away(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    # The home domain may be spending the other half without the store.
    held = entry.ledger
    is_bounded = budget < math.inf
    if is_bounded and held.away_most is None and not held.version:
      await self._rows.read_anew(entry)
    if is_bounded and held.away_most is None:
      part = self._get_share(entry, has_store=True)
      # The row lacks what the home spent in an outage before it was cut off:
      # counted from the row alone, that was spent here once more.
      told = program_copies.decode(entry.far).spent if entry.far else 0
      left = budget - max(told, held.spent)
      held.away_most = held.spent + int(max(0.0, left) * part)
      log.info(
        'Away from its home %s, %s may have %d: %d spent, %d told, part %.3f, '
        'row %d.',
        held.home,
        entry.program,
        held.away_most,
        held.spent,
        told,
        part,
        held.version,
      )
    if held.away_most is None:
      return
    if not held.can_reserve(ask.most, most=held.away_most):
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        f'The domain {held.home}, which has the budget, is out of reach.',
        retry_after=RETRY_SECONDS,
      )

  def _check_guarded(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    # A domain that is cut off may be spending what its own part allows.
    held = entry.ledger
    unsettled = self._find_unsettled(entry)
    if not unsettled:
      entry.guarded_most = None
      # All are back and owe nothing.  Kept, the bound of one cut left other
      # domains nothing to spend in the next one.
      held.away_most = None
      return
    if entry.guarded_most is None:
      # The other side divides what it knows to be left: counted from what is
      # spent now, both had a part of what went as the cut began.
      part = self._get_share(entry, has_store=True)
      known = entry.get_known(lasted=self._get_cut())
      entry.guarded_most = known + (budget - known) * part
      log.info(
        'Beside %s, %s may have %.0f: %d known, part %.3f, row %d.',
        ', '.join(sorted(unsettled)),
        entry.program,
        entry.guarded_most,
        known,
        part,
        held.version,
      )
    if not held.can_reserve(ask.most, most=entry.guarded_most):
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        'A domain that is cut off may be spending the rest of the budget.',
        retry_after=retry_after.estimate_outage(self._members.get_silence()),
      )

  def _find_unsettled(self, entry: program_rows.Entry) -> set[str]:
    """Returns the other domains that may spend without this one's knowledge.

    One that has not heard of a program may begin it anew.
    """
    return self._members.find_unsettled() | entry.unknown_in

  def _get_share(self, entry: program_rows.Entry, *, has_store: bool) -> float:
    held = entry.ledger
    is_home = held.home == self._members.me.domain
    if held.saved.is_split and not has_store:
      # Another domain may take itself for the home as well.
      is_home = False
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
    if entry.is_guess and not ask.keeps_history:
      # It may have spent its budget elsewhere: taken for new, each domain
      # let it begin anew.
      entry.ledger.withdraw(ask.request)
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER,
        f'Whether the program is new is not known: {error.message}',
        retry_after=RETRY_SECONDS,
      ) from error
    # From now on a copy of another daemon does not undo it.
    entry.acted.add(ask.request)
    entry.needs_flush = True
    try:
      self._check_alone(entry.ledger, error)
      await self._check_offline(entry, ask, budget)
      await self._copies.send(entry, ())
      # The standby may have told of turns that this daemon did not know.
      await self._check_offline(entry, ask, budget)
    except errors.WoadrunError:
      entry.ledger.withdraw(ask.request)
      raise
    log.info(
      'Turn %s of %s may run without the store: %d spent, row %d (%s).',
      ask.request,
      ask.program,
      entry.ledger.spent,
      entry.ledger.version,
      error.message,
    )

  def _check_alone(
    self, held: ledger.Ledger, error: errors.WoadrunError
  ) -> None:
    # The others of an isolated daemon's domain go on without it, and so does
    # a home that is heard: both would spend the same tokens.
    home = held.home
    is_away = home != self._members.me.domain
    if self._members.is_isolated or (
      is_away and not self._members.is_silent(home)
    ):
      raise error

  def _is_unsure(self, entry: program_rows.Entry) -> bool:
    """Returns whether a program may have begun on the other side of a cut.

    Nobody has noticed the cut then, and the other side leaves this one no part:
    it has the one turn by which a budget may be overrun.  A program that is
    known to be split has a part of its own.
    """
    held = entry.ledger
    is_home = held.home == self._members.me.domain
    if held.version or held.saved.is_split or not is_home:
      return False
    if self._members.find_unsettled():
      return entry.unsure_until > -math.inf
    if time.monotonic() >= entry.unsure_until:
      # There is no cut: the store is out for all.
      entry.unsure_until = -math.inf
    return entry.unsure_until > -math.inf

  async def _check_offline(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    held = entry.ledger
    if self._is_unsure(entry) and held.spent > ask.most:
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store is out, and the program may have begun elsewhere.',
        retry_after=RETRY_SECONDS,
      )
    if self._fits_offline(entry, ask, budget):
      return
    await self._ask_to_count(entry)
    if not self._fits_offline(entry, ask, budget):
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store is out, and the part of the budget that needs none is '
        'spent.',
        retry_after=retry_after.estimate_outage(self._store.outage),
      )

  def _fits_offline(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> bool:
    """Returns whether a turn that is reserved may run without the store."""
    if budget == math.inf:
      return True
    held = entry.ledger
    part = self._get_share(entry, has_store=False)
    known = self._get_offline_known(entry, ask, part)
    rest = (budget - known) * part
    if held.home != self._members.me.domain:
      # The home may not know of the cut and spend all: what is spent here then
      # is the one turn by which a budget may be overrun.
      rest = min(rest, ask.most)
    most = known + rest
    if held.saved.is_split and held.spent - ask.most < most:
      # A program may overrun its budget by one turn, which is used here, where
      # most programs that may have begun elsewhere have not: a quarter of the
      # usual budget is less than the most of one turn, and their second turns
      # were refused until the cut had healed.
      return True
    return held.spent <= max(most, ask.most)

  def _get_offline_known(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, part: float
  ) -> int:
    """Returns what this side counts from: it stays until the row is saved."""
    if entry.offline_known is None:
      entry.offline_known = self._find_known(entry, ask)
      log.info(
        'Without the store %s may have part %.3f of the rest: %d known, '
        'row %d, unsettled: %s.',
        entry.program,
        part,
        entry.offline_known,
        entry.ledger.version,
        ', '.join(sorted(self._members.find_unsettled())) or 'none',
      )
    return entry.offline_known

  def _find_known(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> int:
    """Returns what the home and the other domains both know to be spent."""
    held = entry.ledger
    if held.home != self._members.me.domain:
      # All that is known here came from the home.
      return held.spent - held.reserved.get(ask.request, 0)
    return entry.get_known(lasted=self._get_cut())

  def _get_cut(self) -> float:
    """Returns for how long others may have been told nothing, in seconds."""
    return max(self._store.outage, self._members.get_silence())

  async def _ask_to_count(self, entry: program_rows.Entry) -> None:
    # A cut is noticed a second after it has begun.  A home that took the rest
    # as its own until then spent what the side with the store had its part of.
    held = entry.ledger
    is_home = held.home == self._members.me.domain
    if not is_home or held.saved.is_split or self._members.find_unsettled():
      return
    async with entry.telling:
      entry.least_told = spent = held.spent
      if await self._copies.tell_domains(entry):
        known = min(spent, entry.least_told)
        entry.offline_known = max(known, entry.offline_known or 0)
        log.info('Other domains count %d of %s.', known, entry.program)
