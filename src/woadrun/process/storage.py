"""Stores the slots' records and checkpoints in the platform's object store.

Records are written asynchronously (write-behind), in groups with those of
all slots of the daemon; `groups` writes them to the store.  Checkpoints
bound how much a daemon has to read to recover a slot that has no copy on
any daemon.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import itertools
import logging
import time

import mode
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.connection import http
from woadrun.connection import messages
from woadrun.connection import objects
from woadrun.process import groups
from woadrun.version import program
from woadrun.version import roster

log = logging.getLogger('woadrun.storage')

# Largest difference between the clocks of VMs at which loading and cleaning
# lose no record.
MAX_CLOCK_SKEW_SECONDS = 60.0
MAX_PARALLEL_READS = 16
FORK_RETRY_DELAY_SECONDS = 2.0


class Checkpoint(msgspec.Struct, frozen=True, kw_only=True):
  """The complete state of a slot at a version."""

  version: roster.Version
  state: program.SlotState


class SlotStorage(mode.Service):
  """Writes groups and checkpoints, and loads slots without a copy."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    store: objects.ObjectStore,
    writer: groups.RecordGroups,
  ) -> None:
    super().__init__()
    self._store = store
    self._writer = writer
    self._domain = config.daemon.domain
    self._pending: list[messages.Append] = []
    self._in_flight: list[messages.Append] = []
    self._written_by_slot: dict[int, int] = {}
    self._flushed = asyncio.Event()
    self._added = asyncio.Event()
    self._pacer = groups.WritePacer()
    self._flush_lock = asyncio.Lock()
    self._is_urgent = False
    self._oldest_pending_at = 0.0
    self._max_pending_seconds = 0.0
    self.flushes = 0
    self.last_error = ''

  # --- Writing --------------------------------------------------------------

  def add(self, append: messages.Append) -> None:
    """Adds a batch to the next group."""
    if not self.get_pending():
      self._oldest_pending_at = time.monotonic()
    self._pending.append(append)
    self._added.set()

  def begin_ownership(self, slot: int, tail: Iterable[messages.Append]) -> None:
    """Starts a slot's ownership and adds what its last owner left to write.

    `tail` holds the batches that the last owner may not have written.
    Writing a batch that the platform already has is harmless.
    """
    self._written_by_slot[slot] = 0
    for append in tail:
      self.add(append)

  def get_written_sequence(self, slot: int) -> int:
    """Returns the sequence number up to which a slot is surely written."""
    return self._written_by_slot.get(slot, 0)

  def get_unwritten_batches(self, slot: int) -> list[messages.Append]:
    """Returns the batches of a slot that may not have been written."""
    waiting = (*self._in_flight, *self._pending)
    return [append for append in waiting if append.slot == slot]

  async def wait_stored(self, append: messages.Append) -> None:
    """Returns once a batch that was added before is written, urgently."""
    while any(a is append for a in (*self._pending, *self._in_flight)):
      self._is_urgent = True
      self._pacer.urgent.set()
      await self._flushed.wait()

  async def flush(self) -> bool:
    """Tries once to write the pending batches.

    Returns whether none are pending afterwards.
    """
    async with self._flush_lock:
      return await self._flush()

  async def _flush(self) -> bool:
    if not self._in_flight:
      self._in_flight, self._pending = self._pending, []
    if not self._in_flight:
      return True
    started = time.monotonic()
    is_urgent, self._is_urgent = self._is_urgent, False
    try:
      await self._writer.write(self._in_flight, is_urgent=is_urgent)
    except errors.WoadrunError as error:
      self._record_error(error)
      return False
    for append in self._in_flight:
      written = self._written_by_slot.get(append.slot, 0)
      self._written_by_slot[append.slot] = max(written, append.sequence)
    self._in_flight = []
    self._max_pending_seconds = max(
      self._max_pending_seconds, time.monotonic() - self._oldest_pending_at
    )
    # Batches that are still pending were added after the group was formed.
    self._oldest_pending_at = started
    self.flushes += 1
    self.last_error = ''
    self._flushed.set()
    self._flushed = asyncio.Event()
    return not self._pending

  def _record_error(self, error: errors.WoadrunError) -> None:
    if not self.last_error:
      log.warning('Records not written to the object store: %s', error.message)
    self.last_error = error.message

  @mode.Service.task
  async def _write_groups(self) -> None:
    while not self.should_stop:
      await self._added.wait()
      await self._pacer.wait(self._writer.get_interval())
      self._added.clear()
      if not await self.flush():
        self._added.set()

  def get_pending(self) -> int:
    """Returns how many batches have not been written yet."""
    return len(self._pending) + len(self._in_flight)

  def get_pending_age(self) -> float:
    """Returns the seconds for which the oldest pending batch has waited.

    For this long some record has been on two VMs only.
    """
    if not self.get_pending():
      return 0.0
    return round(time.monotonic() - self._oldest_pending_at, 3)

  async def checkpoint(
    self, slot: int, version: roster.Version, state: program.SlotState
  ) -> None:
    """Stores the state of a slot; raises a platform error on failure."""
    milliseconds = int(time.time() * 1000)
    key = f'checkpoint/{self._domain}/{slot:04d}/{milliseconds:014d}'
    value = msgspec.json.encode(Checkpoint(version=version, state=state))
    await self._store.put(key, value)

  async def store_fork(self, slot: int, state: program.SlotState) -> None:
    """Stores a diverged state of a slot, for operators to merge.

    Retries until the platform has stored it or the service stops.
    """
    milliseconds = int(time.time() * 1000)
    key = f'fork/{self._domain}/{slot:04d}/{milliseconds:014d}'
    value = msgspec.json.encode(
      Checkpoint(version=roster.Version(), state=state)
    )
    while not self.should_stop:
      try:
        await self._store.put(key, value)
        return
      except errors.WoadrunError as error:
        log.debug('Fork not stored; retrying: %s', error)
        await self.sleep(FORK_RETRY_DELAY_SECONDS)

  # --- Reading --------------------------------------------------------------

  async def load(self, slot: int, *, answers: int) -> program.SlotState:
    """Returns a slot's state from its newest checkpoint and later records."""
    state, version, since = await self._load_checkpoint(slot)
    appends = await self._load_log(slot, since)
    return replay(state, version, appends, answers=answers)

  async def _load_checkpoint(
    self, slot: int
  ) -> tuple[program.SlotState, roster.Version, float]:
    prefix = f'checkpoint/{self._domain}/{slot:04d}/'
    for key in reversed(await self._store.list_keys(prefix)):
      data = await self._store.get(key)
      if data is not None:
        found = http.decode(data, type=Checkpoint)
        return found.state, found.version, _get_written_at(key)
    return program.SlotState(), roster.Version(), 0.0

  async def _load_log(self, slot: int, since: float) -> list[messages.Append]:
    keys = await self._store.list_keys(f'log/{self._domain}/')
    oldest = since - MAX_CLOCK_SKEW_SECONDS
    recent_keys = [key for key in keys if _get_written_at(key) >= oldest]
    semaphore = asyncio.Semaphore(MAX_PARALLEL_READS)

    async def read(key: str) -> list[messages.Append]:
      async with semaphore:
        data = await self._store.get(key)
      if data is None:
        return []
      decoded = http.decode(data, type=list[messages.Append])
      return [append for append in decoded if append.slot == slot]

    groups = await asyncio.gather(*(read(key) for key in recent_keys))
    return list(itertools.chain.from_iterable(groups))

  # --- Cleaning -------------------------------------------------------------

  async def delete_obsolete_objects(self, slots: int) -> int:
    """Deletes the objects that no load needs, and returns their number.

    Records are deleted only once all `slots` slots have a checkpoint.
    """
    prefix = f'checkpoint/{self._domain}/'
    checkpoints = await self._store.list_keys(prefix)
    newest = {key.rsplit('/', 1)[0]: key for key in checkpoints}
    obsolete = [key for key in checkpoints if key not in newest.values()]
    if len(newest) == slots:
      oldest = (
        min(map(_get_written_at, newest.values())) - 2 * MAX_CLOCK_SKEW_SECONDS
      )
      keys = await self._store.list_keys(f'log/{self._domain}/')
      obsolete += [key for key in keys if _get_written_at(key) < oldest]
    for key in obsolete:
      await self._store.delete(key)
    return len(obsolete)

  def dump(self) -> dict[str, object]:
    """Returns the state of this service as plain data."""
    return {
      'pending': self.get_pending(),
      'oldest': self.get_pending_age(),
      'longest': round(self._max_pending_seconds, 3),
      'flushes': self.flushes,
      'writes': self._store.writes,
      'written_bytes': self._store.written_bytes,
      'last_error': self.last_error,
    }


def _get_written_at(key: str) -> float:
  return int(key.rsplit('/', 1)[1].split('-', 1)[0]) / 1000


def replay(
  state: program.SlotState,
  version: roster.Version,
  appends: Iterable[messages.Append],
  *,
  answers: int,
) -> program.SlotState:
  """Returns `state` with the batches that follow it applied, in order.

  If two versions of the slot wrote a batch with the same sequence number,
  the newer version's batch is applied.  Later batches of the older version
  are skipped, since its owner had lost the slot by then.
  """
  by_sequence: dict[int, messages.Append] = {}
  for append in appends:
    known = by_sequence.get(append.sequence)
    if known is None or append.version > known.version:
      by_sequence[append.sequence] = append
  for sequence in sorted(by_sequence):
    append = by_sequence[sequence]
    if sequence <= state.sequence or append.version < version:
      continue
    if sequence > state.sequence + 1:
      missing = sequence - state.sequence - 1
      log.error(
        'Slot %d: %d batches of records are missing.', append.slot, missing
      )
      state.sequence = sequence - 1
    state.apply(append.records, answers=answers)
    version = append.version
  return state
