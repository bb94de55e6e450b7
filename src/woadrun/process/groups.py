"""Writes groups of records to the object store.

The platform accepts a few hundred writes a second from all daemons
together.  In a small deployment each daemon writes its own groups.  In a
large one a few members of each failure domain are writers for the rest:
a writer merges the groups that it receives within an interval into one
object, and answers once the platform has stored it.  Writers make no
decisions and store no state: when a writer dies, the senders write their
groups themselves.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import dataclasses
import itertools
import logging
import time

import mode
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import objects
from woadrun.connection import peers
from woadrun.decisions import write_rate
from woadrun.process import membership
from woadrun.version import roster

log = logging.getLogger('woadrun.groups')

# Share of the platform's write rate that groups of records may use.
WRITE_SHARE = 0.5
# Added to the time-out of a group sent to a writer, beyond the writer's
# interval and its write, for the response to arrive.
RESPONSE_MARGIN_SECONDS = 1.0

# Fraction of the write interval after which urgent groups are written.
URGENT_INTERVAL_FRACTION = 0.1

PendingGroup = tuple[bytes, asyncio.Future[None]]


@dataclasses.dataclass(eq=False, kw_only=True)
class WritePacer:
  """Spaces out the writes of one sender or writer."""

  last_write_at: float = float('-inf')
  urgent: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

  async def wait(self, interval: float) -> None:
    """Returns `interval` seconds after the last write, sooner if urgent.

    Once `urgent` is set, the wait ends `URGENT_INTERVAL_FRACTION` of the
    interval after the last write, or at once if that time has passed.
    """
    await asyncio.sleep(
      self.last_write_at
      + interval * URGENT_INTERVAL_FRACTION
      - time.monotonic()
    )
    remaining = self.last_write_at + interval - time.monotonic()
    if remaining > 0:
      with contextlib.suppress(asyncio.TimeoutError):
        await asyncio.wait_for(self.urgent.wait(), remaining)
    self.urgent.clear()
    self.last_write_at = time.monotonic()


class RecordGroups(mode.Service):
  """Writes this daemon's groups, and those of others if it is a writer."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    store: objects.ObjectStore,
    members: membership.Membership,
    links: peers.Peers,
  ) -> None:
    super().__init__()
    self._config = config
    self._store = store
    self._members = members
    self._peers = links
    self._domain = config.daemon.domain
    self._budget = config.platform.writes_per_second * WRITE_SHARE
    self._pending: list[PendingGroup] = []
    self._number = itertools.count()
    self._pacer = WritePacer()
    self._task: asyncio.Task[None] | None = None
    self.written_objects = 0
    self.merged_groups = 0
    self.fallback_writes = 0

  # --- Writers and their interval -------------------------------------------

  def get_writer(self) -> str:
    """Returns the address of the member that writes this daemon's groups."""
    address = self._members.address
    count = self._count_writers()
    if count >= len(self._members.roster.incarnations):
      return address
    index = int.from_bytes(roster.get_digest(address), 'big') % count
    keeper = self._members.directory.get_keeper(
      self._domain, f'records/{index}'
    )
    return keeper or address

  def get_interval(self) -> float:
    """Returns the seconds between two writes of one writer."""
    domains = self._count_domains()
    writers = min(
      self._members.count_daemons(), self._count_writers() * domains
    )
    return write_rate.get_interval(
      self._config.timing.flush, writers, self._budget
    )

  def _count_writers(self) -> int:
    members = max(1, len(self._members.roster.incarnations))
    return write_rate.get_writers(members, self._count_domains(), self._budget)

  def _count_domains(self) -> int:
    listed = self._members.vms.get_domains() | {self._domain}
    return max(len(listed), len(self._config.daemon.region_domains))

  # --- Writing --------------------------------------------------------------

  async def write(
    self, appends: Sequence[messages.Append], *, is_urgent: bool
  ) -> None:
    """Writes batches of records, through a writer if there is one.

    Returns once the platform has stored the records.  Raises a
    `WoadrunError` if it may not have stored them.
    """
    group = messages.Group(
      appends=msgspec.Raw(msgspec.json.encode(appends)), is_hurried=is_urgent
    )
    writer = self.get_writer()
    if writer != self._members.address:
      try:
        await self._send_to_writer(writer, group)
        return
      except errors.WoadrunError as error:
        if error.code is not errors.Code.OWNER_UNAVAILABLE:
          raise
        log.debug('Writer %s did not answer; writing the group here.', writer)
        self.fallback_writes += 1
    await self.merge_and_store(group)

  async def _send_to_writer(self, writer: str, group: messages.Group) -> None:
    platform = self._config.platform
    timeout_seconds = (
      2 * self.get_interval() + platform.timeout * objects.TIMEOUT_FACTOR
    )
    await self._peers.post(
      writer,
      'records',
      group,
      type=messages.Done,
      timeout=timeout_seconds + RESPONSE_MARGIN_SECONDS,
    )

  async def merge_and_store(self, group: messages.Group) -> messages.Done:
    """Returns once the platform has stored an object that holds the group."""
    stored: asyncio.Future[None] = asyncio.get_running_loop().create_future()
    self._pending.append((bytes(group.appends), stored))
    if group.is_hurried:
      self._pacer.urgent.set()
    if self._task is None or self._task.done():
      self._task = asyncio.ensure_future(self._write_pending())
    await stored
    return messages.Done()

  async def _write_pending(self) -> None:
    while self._pending:
      await self._pacer.wait(self.get_interval())
      pending, self._pending = self._pending, []
      await self._write_object(pending)

  async def _write_object(self, pending: Sequence[PendingGroup]) -> None:
    try:
      await self._store.put(
        self._make_key(), concatenate_arrays(d for d, _ in pending)
      )
    except errors.WoadrunError as error:
      for _, stored in pending:
        if not stored.done():
          stored.set_exception(error)
      return
    self.written_objects += 1
    self.merged_groups += len(pending)
    for _, stored in pending:
      if not stored.done():
        stored.set_result(None)

  def _make_key(self) -> str:
    milliseconds = int(time.time() * 1000)
    process = self._members.incarnation
    number = next(self._number)
    return f'log/{self._domain}/{milliseconds:014d}-{process}-{number}'

  def dump(self) -> dict[str, object]:
    """Returns the state of this service as plain data."""
    return {
      'writer': self.get_writer(),
      'interval': self.get_interval(),
      'objects': self.written_objects,
      'joined': self.merged_groups,
      'detours': self.fallback_writes,
      'waiting': len(self._pending),
    }


def concatenate_arrays(arrays: Iterable[bytes]) -> bytes:
  """Returns a JSON array of the items of all arrays, without parsing them."""
  return b'[' + b','.join(a[1:-1] for a in arrays if a != b'[]') + b']'
