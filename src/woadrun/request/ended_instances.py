"""Ends attempts at instances that have ended without closing a connection.

A connection may lose its peer without a sign, and then stays silent until the
deadline.  Other daemons whose connections were closed report the end of the
instance.  Such a report can be wrong, so this daemon asks the address of the
instance itself before it gives up an attempt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging
from typing import Protocol

from woadrun.process import catalogue as catalogue_module
from woadrun.request import exchange
from woadrun.version import instances

log = logging.getLogger('woadrun.crashes')

# A full instance may refuse connections for a moment.
PROBES = 4
PROBE_INTERVAL_SECONDS = 0.1
# Interval after a probe that does not show the end.
RETRY_SECONDS = 1.0


class Records(Protocol):
  """What the monitor needs of `crash_records.CrashRecords`."""

  def has_ended(self, incarnation_id: str) -> bool:
    """Returns whether an instance is known to have ended."""


@dataclasses.dataclass(frozen=True, eq=False, kw_only=True)
class _Attempt:
  """An attempt at `instance`; `on_end` is called at most once."""

  instance: instances.Instance
  on_end: Callable[[], None]


class EndMonitor:
  """Watches the attempts of one daemon for ends of their instances.

  `is_domain_silent` returns whether a failure domain is cut off from this
  daemon.  `ended` counts the attempts that it ended.
  """

  def __init__(
    self,
    *,
    records: Records,
    upstreams: exchange.Upstreams,
    catalogue: catalogue_module.Catalogue,
    is_domain_silent: Callable[[str], bool],
  ) -> None:
    self._is_domain_silent = is_domain_silent
    self._records = records
    self._upstreams = upstreams
    self._catalogue = catalogue
    self._attempts_by_id: dict[str, dict[_Attempt, None]] = {}
    self._task_by_id: dict[str, asyncio.Task[None]] = {}
    # Probes in a row that showed the end, without a response meanwhile.
    self._confirmed_by_id: dict[str, int] = {}
    self.ended = 0

  @contextlib.contextmanager
  def watch(
    self, instance: instances.Instance, on_end: Callable[[], None]
  ) -> Iterator[None]:
    """Calls `on_end` if the instance ends before the context exits."""
    id = instance.incarnation_id
    attempt = _Attempt(instance=instance, on_end=on_end)
    self._attempts_by_id.setdefault(id, {})[attempt] = None
    if self._records.has_ended(id):
      self.note_ended(id)
    try:
      yield
    finally:
      attempts = self._attempts_by_id[id]
      del attempts[attempt]
      if not attempts:
        del self._attempts_by_id[id]

  def note_ended(self, id: str) -> None:
    """Notes that an incarnation is recorded as ended."""
    if id in self._attempts_by_id and id not in self._task_by_id:
      task = asyncio.ensure_future(self._confirm(id))
      self._task_by_id[id] = task
      task.add_done_callback(lambda _: self._task_by_id.pop(id, None))

  def note_bytes(self, id: str) -> None:
    """Notes that a part of a response has arrived from an incarnation."""
    if id in self._task_by_id:
      self._confirmed_by_id[id] = 0

  async def _confirm(self, id: str) -> None:
    """Ends the attempts at an instance once probes show that it has ended."""
    self._confirmed_by_id[id] = 0
    delay = PROBE_INTERVAL_SECONDS
    try:
      while self._confirmed_by_id[id] < PROBES:
        # Connections that are closed end their attempts first.
        await asyncio.sleep(delay)
        attempts = self._attempts_by_id.get(id)
        if not attempts or not self._records.has_ended(id):
          return
        self._confirmed_by_id[id] += 1
        if not await self._is_gone(next(iter(attempts)).instance):
          self._confirmed_by_id[id] = 0
          delay = RETRY_SECONDS
    finally:
      del self._confirmed_by_id[id]
    attempts = self._attempts_by_id.get(id, {})
    log.warning(
      'Instance %s has ended, ending %d silent attempts at it.',
      id,
      len(attempts),
    )
    for attempt in list(attempts):
      self.ended += 1
      attempt.on_end()

  async def _is_gone(self, instance: instances.Instance) -> bool:
    # Nothing can be told of an instance beyond a partition.
    if self._is_domain_silent(instance.domain):
      return False
    liveness = await self._upstreams.probe(
      instance, health_path=self._catalogue.get_health_path(instance.service)
    )
    if liveness in (exchange.Liveness.ALIVE, exchange.Liveness.ENDED):
      return liveness is exchange.Liveness.ENDED
    directory = self._catalogue.directory
    if directory.has_successor(instance):
      return True
    is_listed = directory.find_incarnation(instance.incarnation_id) is not None
    return liveness is exchange.Liveness.UNKNOWN and not is_listed
