"""Receives copies of programs from other daemons, and answers queries."""

from __future__ import annotations

import logging
import time

from woadrun.connection import turn_messages
from woadrun.process import program_copies
from woadrun.process.store import program_rows
from woadrun.process.store import turn_store
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')


class CopyReceiver:
  """Applies copies on a daemon that is a standby or in another domain.

  `entry_by_program` and `cache` are those of the daemon's own programs,
  `domain` is its failure domain.
  """

  def __init__(
    self,
    *,
    entry_by_program: dict[str, program_rows.Entry],
    cache: turn_store.TurnCache,
    copies: program_copies.Copies,
    domain: str,
  ) -> None:
    self._entry_by_program = entry_by_program
    self._cache = cache
    self._copies = copies
    self._domain = domain

  async def find_unsaved_copy(
    self, ask: turn_messages.ProgramQuery
  ) -> turn_messages.KnownProgram:
    """Returns what this daemon holds of a program beyond the store."""
    entry = self._entry_by_program.get(ask.program)
    if entry is None:
      return turn_messages.KnownProgram()
    if not (entry.needs_flush and entry.ledger.is_dirty):
      return turn_messages.KnownProgram()
    return turn_messages.KnownProgram(copy=self._copies.make(entry))

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

    If the owner lacks turns, it gets a copy back: it does not know those that
    ended at its standby while the owner was unreachable.
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
    self._cache_turns(copy)
    held = program_copies.decode(copy)
    entry = self._entry_by_program.get(copy.program)
    if entry is None:
      entry = program_rows.Entry(
        program=copy.program, ledger=held, needs_flush=copy.is_behind
      )
      self._entry_by_program[copy.program] = entry
      return turn_messages.KnownProgram()
    is_older = held.version < entry.ledger.version
    missing = [r for r in entry.find_decided() if not held.knows(r)]
    if is_older or missing or entry.lock.locked():
      entry.ledger.merge(held)
      entry.needs_flush |= copy.is_behind or bool(missing)
    else:
      entry.ledger = held
      entry.needs_flush = copy.is_behind
    entry.is_unverified = False
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

    A write from this domain fails its condition, which returns the row.
    """
    self._cache_turns(copy)
    entry = self._entry_by_program.get(copy.program)
    if entry is not None and self._is_local_preferred(entry, copy):
      return False
    row = ledger.LedgerRow(
      home=copy.home,
      settled=copy.saved_settled + sum(copy.given.values()),
      reserved=copy.reserved,
    )
    held = ledger.Ledger(saved=row, version=0)
    if entry is None:
      entry = program_rows.Entry(program=copy.program, ledger=held)
      self._entry_by_program[copy.program] = entry
    entry.ledger = held
    entry.used_at = time.monotonic()
    return True

  def _cache_turns(self, copy: turn_messages.LedgerCopy) -> None:
    for turn in copy.turns:
      self._cache.put(turn)

  def _is_local_preferred(
    self, entry: program_rows.Entry, copy: turn_messages.LedgerCopy
  ) -> bool:
    """Returns whether the local entry takes precedence over a remote copy."""
    held = entry.ledger
    if entry.needs_flush or entry.find_decided() or entry.lock.locked():
      return True
    if held.home == self._domain:
      return held.version >= copy.version
    # The row has turns that this domain admitted, which the home has not read.
    return held.version > copy.version
