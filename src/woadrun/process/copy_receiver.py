"""Receives copies of programs from other daemons, and answers queries."""

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
  """Applies copies on a daemon that is a standby or in another domain.

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
    self, ask: turn_messages.ProgramQuery
  ) -> turn_messages.KnownProgram:
    """Returns what this daemon holds of a program beyond the store."""
    entry = self._entry_by_program.get(ask.program)
    if entry is None:
      return turn_messages.KnownProgram()
    if ask.is_far:
      return turn_messages.KnownProgram(copy=entry.home_copy)
    if not (entry.needs_flush and entry.ledger.is_dirty):
      return turn_messages.KnownProgram()
    return turn_messages.KnownProgram(copy=self._copies.make(entry))

  async def find_stored_turns(
    self, ask: turn_messages.StoredTurnsQuery
  ) -> turn_messages.StoredTurns:
    """Returns which turns this daemon has stored and which it will store."""
    kept = [r for r in ask.requests if self._cache.get(r) is not None]
    return turn_messages.StoredTurns(
      stored=tuple(r for r in kept if r not in self._unsaved),
      pending=tuple(r for r in kept if r in self._unsaved),
    )

  async def handle_copy(
    self, copy: turn_messages.LedgerCopy
  ) -> turn_messages.KnownProgram:
    """Applies a copy that the owner of a program sent in a request."""
    return self.apply_copy(copy)

  async def handle_remote_copy(
    self, copy: turn_messages.LedgerCopy
  ) -> turn_messages.KnownProgram:
    """Applies a copy that an owner in another domain sent in a request.

    The answer holds the local copy if that one takes precedence.
    """
    if self.apply_remote_copy(copy):
      return turn_messages.KnownProgram()
    entry = self._entry_by_program[copy.program]
    return turn_messages.KnownProgram(copy=self._copies.make(entry))

  def receive_copy(self, data: bytes) -> None:
    """Applies a copy that the owner of a program sent in a datagram.

    If the owner lacks turns, it gets a copy back: it does not know the turns
    that its standby granted while the owner was unreachable.
    """
    copy = program_copies.decode_datagram(data)
    if copy is None or self.apply_copy(copy).copy is None:
      return
    if not self._copies.is_first(copy.program):
      self._copies.send_in_background(self._entry_by_program[copy.program], ())

  def receive_remote_copy(self, data: bytes) -> None:
    """Applies a copy that an owner in another domain sent in a datagram."""
    copy = program_copies.decode_datagram(data)
    if copy is not None:
      self.apply_remote_copy(copy)

  def apply_copy(
    self, copy: turn_messages.LedgerCopy
  ) -> turn_messages.KnownProgram:
    """Applies a copy that the owner of a program sent.

    The answer holds the local copy if that one counts turns that the owner does
    not, or has a newer row: the owner was frozen, or received only an older
    copy.
    """
    self._keep_turns(copy, domain=self._domain)
    held = program_copies.decode(copy)
    entry = self._entry_by_program.get(copy.program)
    if entry is None:
      entry = program_rows.Entry(program=copy.program, ledger=held)
      self._entry_by_program[copy.program] = entry
      _apply_metadata(entry, copy)
      entry.is_copy = True
      entry.note_settled()
      return turn_messages.KnownProgram()
    is_older = held.version < entry.ledger.version
    missing = {
      request
      for request in entry.local_decisions
      if entry.ledger.knows(request) and not held.knows(request)
    }
    if is_older or missing or entry.lock.locked():
      entry.ledger.merge(held)
      entry.needs_flush |= copy.is_behind or bool(missing)
    else:
      entry.ledger = held
      _apply_metadata(entry, copy)
    entry.note_settled()
    entry.is_unverified = False
    entry.is_copy = True
    entry.used_at = time.monotonic()
    if not is_older and not missing:
      return turn_messages.KnownProgram()
    log.info(
      'Owner of program %s lacks %d turns counted here: its row %d, ours %d.',
      copy.program,
      len(missing),
      copy.version,
      entry.ledger.version,
    )
    return turn_messages.KnownProgram(copy=self._copies.make(entry))

  def apply_remote_copy(self, copy: turn_messages.LedgerCopy) -> bool:
    """Returns whether a copy from another domain replaced the local entry.

    Spending in this domain is counted on top of the copy.  The row in the store
    belongs to the home domain: the failed condition of a write from this domain
    returns that row, and the changes are rebased onto it.
    """
    self._keep_turns(copy, domain=copy.home)
    entry = self._entry_by_program.get(copy.program)
    if entry is not None and self._is_local_preferred(entry, copy):
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
    # The turns are in the cache already.
    entry.home_copy = msgspec.structs.replace(copy, turns=(), unsaved=())
    entry.note_settled()
    entry.used_at = time.monotonic()
    return True

  def _keep_turns(self, copy: turn_messages.LedgerCopy, *, domain: str) -> None:
    """Caches the turns of a copy, and queues those that are not stored yet.

    Daemons of other domains do so too: finished turns were lost when three
    daemons of one domain were killed one after another within an outage.
    """
    for turn in copy.turns:
      self._cache.put(turn)
      if turn.request in copy.unsaved:
        self._unsaved.put(turn, domain=domain)

  def _is_local_preferred(
    self, entry: program_rows.Entry, copy: turn_messages.LedgerCopy
  ) -> bool:
    """Returns whether the local entry takes precedence over a remote copy."""
    held = entry.ledger
    if entry.needs_flush or entry.lock.locked():
      return True
    if held.home == self._domain:
      return held.version >= copy.version
    # The row holds spending of this domain during a network partition, which
    # the home domain has not read yet.
    return held.version > copy.version


def _apply_metadata(
  entry: program_rows.Entry, copy: turn_messages.LedgerCopy
) -> None:
  """Copies the fields of a copy that are not part of the ledger."""
  entry.needs_flush = copy.is_behind
  entry.offline_known = copy.offline_known
