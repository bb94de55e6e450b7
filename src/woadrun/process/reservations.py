"""Reserves the tokens of a turn against the budget of its program.

A program is a sequence of turns, its requests to models, with a common budget
of tokens.  The store has one row for each program, and each reservation is a
conditional write of that row, by any daemon: two daemons that decide at the
same time cannot spend the same tokens.

A turn runs only once the store has its reservation.  What a program may have
received is in the store then, whatever happens to the daemons, so that a loss
of all of them does not return any part of a budget.  Without the store no turn
is admitted; its request waits (`request/turn_client.py`).
"""

from __future__ import annotations

import asyncio
import logging
import math
import time

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.decisions import retry_after
from woadrun.process import program_copies
from woadrun.process.store import program_rows
from woadrun.process.store import store_access

log = logging.getLogger('woadrun.programs')

# Number of write conflicts after which a reservation is refused.  Each of them
# means that another daemon wrote the same row.
MAX_CONFLICTS = 6
# Time for the store to answer a reservation.  It is less than the timeout of
# the message that asks for it, whose sender then waits for the store.
RESERVE_TIMEOUT_SECONDS = 1.5


class Reservations:
  """Reserves tokens of programs on behalf of one daemon of a `domain`."""

  def __init__(
    self,
    *,
    domain: str,
    store: store_access.StoreAccess,
    rows: program_rows.ProgramRows,
    copies: program_copies.Copies,
  ) -> None:
    self._domain = domain
    self._store = store
    self._rows = rows
    self._copies = copies

  async def reserve(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> bool:
    """Reserves a turn's tokens; the caller holds the entry's lock.

    Returns once the store has the reservation, or False if it turns out that
    the program has its home in another domain, which decides.  Raises
    `budget_exceeded` if the tokens do not fit, `platform_unavailable` if the
    store does not answer, and `not_committed` after too many write conflicts.
    """
    budget = math.inf if ask.budget is None else ask.budget
    if ask.request in entry.decided & entry.ledger.saved.reserved.keys():
      # The message was sent again.
      return True
    began = time.monotonic()
    for _ in range(MAX_CONFLICTS):
      if not self._store.is_reachable:
        raise _make_outage('The store is unreachable.')
      await self._check_budget(entry, ask, budget)
      entry.ledger.reserve(ask.request, ask.most)
      is_saved = await self._save(entry, ask)
      if ask.request not in entry.ledger.saved.reserved:
        # Another daemon changed the row: the turn may not fit the budget any
        # more.
        entry.ledger.cancel_reservation(ask.request)
      if entry.ledger.home != self._domain and not ask.is_away:
        # A turn whose request arrived there as well must not run twice.
        return False
      if is_saved:
        entry.decided.add(ask.request)
        self._copies.send_in_background(entry, ())
        return True
    raise errors.WoadrunError(
      errors.Code.NOT_COMMITTED,
      'Too many write conflicts on the program.',
      # As long as another daemon has already kept writing the row.
      retry_after=time.monotonic() - began,
    )

  async def _save(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn
  ) -> bool:
    """Returns whether the store has the entry, with the turn's reservation.

    Cancels the reservation and raises `platform_unavailable` if the store does
    not answer in time.  A write without an answer may still be applied: the row
    then counts the turn until the next write of this daemon.
    """
    try:
      async with asyncio.timeout(RESERVE_TIMEOUT_SECONDS):
        return await self._rows.save(entry)
    except (TimeoutError, errors.WoadrunError) as error:
      entry.ledger.cancel_reservation(ask.request)
      reason = getattr(error, 'message', 'no answer in time')
      raise _make_outage(f'No reservation in the store: {reason}') from error
    except asyncio.CancelledError:
      entry.ledger.cancel_reservation(ask.request)
      raise

  async def _check_budget(
    self, entry: program_rows.Entry, ask: turn_messages.OpenTurn, budget: float
  ) -> None:
    """Raises `budget_exceeded` if a turn would exceed the budget.

    The row is read first, as other daemons may have settled turns.  Does
    nothing for a turn that is reserved already.
    """
    held = entry.ledger
    if ask.request in held.reserved or held.can_reserve(ask.most, most=budget):
      return
    try:
      await self._rows.refresh(entry)
    except errors.WoadrunError as error:
      raise _make_outage(f'The row cannot be read: {error.message}') from error
    if held.can_reserve(ask.most, most=budget):
      return
    raise errors.WoadrunError(
      errors.Code.BUDGET_EXCEEDED,
      f'The budget of {budget:.0f} tokens does not allow {ask.most} more '
      f'after {held.spent} spent.',
    )


def _make_outage(message: str) -> errors.WoadrunError:
  """Returns the error for a turn that was not admitted, and so has not run."""
  return errors.WoadrunError(
    errors.Code.PLATFORM_UNAVAILABLE,
    message,
    retry_after=retry_after.OUTAGE_CHECK_SECONDS,
  )
