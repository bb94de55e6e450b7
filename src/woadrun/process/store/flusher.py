"""Writes the ends of turns to the rows of their programs, in the background.

The rows have the turns as reserved, at their most tokens, so that nothing is
lost with a daemon that has not written them yet.
"""

from __future__ import annotations

import asyncio
import logging
import time

import mode

from woadrun.process import program_copies
from woadrun.process import ticks
from woadrun.process.store import program_rows
from woadrun.process.store import store_access

log = logging.getLogger('woadrun.programs')

# Interval between checks for unsaved state.  Each check wakes the process, so
# that the checks are no more frequent than their delay requires.
FLUSH_INTERVAL_SECONDS = 0.25
# Time without a call after which a settled program is written on its own.  The
# tokens of a turn otherwise replace its reservation with the write of the next
# turn's reservation.  Written at once, they took one more call to the store for
# each turn.
SETTLE_DELAY_SECONDS = 1.5
# Time for the store to answer a write.
WRITE_TIMEOUT_SECONDS = 1.5
MAX_PARALLEL_WRITES = 16


class Flusher(mode.Service):
  """Writes the ledgers of a daemon's programs while the store is reachable."""

  def __init__(
    self,
    *,
    store: store_access.StoreAccess,
    program_store: program_rows.ProgramRows,
    copies: program_copies.Copies,
    entry_by_program: dict[str, program_rows.Entry],
  ) -> None:
    super().__init__()
    self._store = store
    self._rows = program_store
    self._copies = copies
    self._entry_by_program = entry_by_program

  @mode.Service.task
  async def _flush_periodically(self) -> None:
    while not self.should_stop:
      await ticks.sleep(FLUSH_INTERVAL_SECONDS)
      await self.flush(used_before=time.monotonic() - SETTLE_DELAY_SECONDS)

  async def flush(self, *, used_before: float) -> int:
    """Writes the programs without a call since a time on the monotonic clock.

    Returns how many of them are not written, by a failure or as the store is
    unreachable.
    """
    due = [
      entry
      for entry in self._entry_by_program.values()
      if entry.needs_flush
      and entry.used_at < used_before
      and self._copies.is_first(entry.program)
    ]
    if not due or not self._store.is_reachable:
      return len(due)
    semaphore = asyncio.Semaphore(MAX_PARALLEL_WRITES)

    async def save(entry: program_rows.Entry) -> None:
      async with semaphore, entry.lock:
        if entry.ledger.is_dirty:
          async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
            # Turns of the program wait for the lock meanwhile.
            await self._rows.save(entry)
        else:
          entry.needs_flush = False
      self._copies.send_in_background(entry, ())

    results = await asyncio.gather(
      *(save(entry) for entry in due), return_exceptions=True
    )
    failures = [r for r in results if isinstance(r, BaseException)]
    for failure in failures[:1]:
      log.warning('%d programs not stored yet: %r', len(failures), failure)
    return len(failures)
