"""What other daemons tell of programs: copies of their owners, questions."""

from __future__ import annotations

import logging
import time

import msgspec

from woadrun.connection import turn_messages
from woadrun.process import program_copies
from woadrun.process import program_rows
from woadrun.process import turn_store
from woadrun.process import unsaved_turns
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')


class CopyIntake:
  """Keeps copies for a daemon that is a standby, or in another domain.

  `entry_by_program`, `cache` and `unsaved` are those of the daemon's own
  programs, `domain` is its failure domain.
  """

  def __init__(
    self,
    *,
    entry_by_program: dict[str, program_rows.Entry],
    cache: turn_store.TurnCache,
    unsaved: unsaved_turns.UnsavedTurns,
    copies: program_copies.Copies,
    domain: str,
  ) -> None:
    self._entry_by_program = entry_by_program
    self._cache = cache
    self._unsaved = unsaved
    self._copies = copies
    self._domain = domain

  async def tell(
    self, ask: turn_messages.AskProgram
  ) -> turn_messages.KnownProgram:
    """Returns what this daemon has of a program that the store lacks."""
    entry = self._entry_by_program.get(ask.program)
    if entry is None:
      return turn_messages.KnownProgram()
    if ask.is_far:
      return turn_messages.KnownProgram(copy=entry.far)
    if not (entry.needs_flush and entry.ledger.is_dirty):
      return turn_messages.KnownProgram()
    return turn_messages.KnownProgram(copy=self._copies.make(entry))

  async def tell_stored(
    self, ask: turn_messages.AskStored
  ) -> turn_messages.StoredTurns:
    """Returns which turns this daemon brought to the store, or will bring."""
    kept = [r for r in ask.requests if self._cache.get(r) is not None]
    return turn_messages.StoredTurns(
      stored=tuple(r for r in kept if r not in self._unsaved),
      pending=tuple(r for r in kept if r in self._unsaved),
    )

  async def take_copy(
    self, copy: turn_messages.LedgerCopy
  ) -> turn_messages.KnownProgram:
    """Keeps what the owner of a program sent in a request."""
    return self.keep_copy(copy)

  async def take_far_copy(
    self, copy: turn_messages.LedgerCopy
  ) -> turn_messages.KnownProgram:
    """Keeps what the owner in another domain sent in a request.

    Answers with a copy of its own where what is known here counts instead.
    """
    if self.keep_far_copy(copy):
      return turn_messages.KnownProgram()
    entry = self._entry_by_program[copy.program]
    return turn_messages.KnownProgram(copy=self._copies.make(entry))

  def receive_copy(self, data: bytes) -> None:
    """Keeps what the owner of a program sent in a datagram.

    An owner that lacks turns gets a copy back: it was never told of those that
    its standby let run while it was away.
    """
    copy = program_copies.decode_datagram(data)
    if copy is None or self.keep_copy(copy).copy is None:
      return
    if not self._copies.is_first(copy.program):
      self._copies.send_behind(self._entry_by_program[copy.program], ())

  def receive_far_copy(self, data: bytes) -> None:
    """Keeps what the owner in another domain sent in a datagram."""
    copy = program_copies.decode_datagram(data)
    if copy is not None:
      self.keep_far_copy(copy)

  def keep_copy(
    self, copy: turn_messages.LedgerCopy
  ) -> turn_messages.KnownProgram:
    """Keeps what the owner of a program sent.

    Answers with a copy of its own where that counts what the owner did not:
    an owner that was frozen, or one that got only an older copy.
    """
    self._keep(copy, domain=self._domain)
    held = program_copies.decode(copy)
    entry = self._entry_by_program.get(copy.program)
    if entry is None:
      entry = program_rows.Entry(program=copy.program, ledger=held)
      self._entry_by_program[copy.program] = entry
      _take_bounds(entry, copy)
      entry.is_copy = True
      entry.note_settled()
      return turn_messages.KnownProgram()
    is_older = held.version < entry.ledger.version
    lacks = {
      request
      for request in entry.acted
      if entry.ledger.knows(request) and not held.knows(request)
    }
    if is_older or lacks or entry.lock.locked():
      entry.ledger.merge(held)
      entry.needs_flush |= copy.is_behind or bool(lacks)
    else:
      entry.ledger = held
      _take_bounds(entry, copy)
    entry.note_settled()
    entry.is_guess = False
    entry.is_copy = True
    entry.used_at = time.monotonic()
    if not is_older and not lacks:
      return turn_messages.KnownProgram()
    log.info(
      'The owner of %s lacks %d turns that count here: row %d, here %d.',
      copy.program,
      len(lacks),
      copy.version,
      entry.ledger.version,
    )
    return turn_messages.KnownProgram(copy=self._copies.make(entry))

  def keep_far_copy(self, copy: turn_messages.LedgerCopy) -> bool:
    """Returns whether what the owner in another domain sent counts here now.

    What is spent here counts on top of it.  The row in the store is the
    home's: a change of ours is brought onto it by a failed condition.
    """
    self._keep(copy, domain=copy.home)
    entry = self._entry_by_program.get(copy.program)
    if entry is not None and self._is_mine(entry, copy):
      return False
    row = ledger.LedgerRow(
      home=copy.home,
      settled=copy.saved_settled + sum(copy.given.values()),
      reserved=copy.reserved,
      is_split=copy.is_split,
    )
    held = ledger.Ledger(saved=row, version=0)
    if entry is None:
      entry = program_rows.Entry(program=copy.program, ledger=held)
      self._entry_by_program[copy.program] = entry
    entry.ledger = held
    # The turns have been kept already.
    entry.far = msgspec.structs.replace(copy, turns=(), unsaved=())
    entry.note_settled()
    entry.used_at = time.monotonic()
    return True

  def _keep(self, copy: turn_messages.LedgerCopy, *, domain: str) -> None:
    """Keeps the turns of a copy, also for the store if that lacks them.

    So does a daemon of another domain: three daemons of one domain that were
    killed in turn within an outage took finished turns with them.
    """
    for turn in copy.turns:
      self._cache.put(turn)
      if turn.request in copy.unsaved:
        self._unsaved.put(turn, domain=domain)

  def _is_mine(
    self, entry: program_rows.Entry, copy: turn_messages.LedgerCopy
  ) -> bool:
    """Returns whether a program is better known here than in a far copy."""
    held = entry.ledger
    if entry.needs_flush or entry.lock.locked():
      return True
    if held.home == self._domain:
      return held.version >= copy.version
    # The row has what was spent here in a cut, which the home has not read yet.
    return held.version > copy.version


def _take_bounds(
  entry: program_rows.Entry, copy: turn_messages.LedgerCopy
) -> None:
  """Takes over what a copy tells beside the budget itself."""
  entry.needs_flush = copy.is_behind
  entry.offline_known = copy.offline_known
