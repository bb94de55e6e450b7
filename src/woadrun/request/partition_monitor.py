"""Notifies running streams that a partition cut off their failure domain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

# Interval between polls: a quarter of the time after which a domain counts as
# silent.
LOOK_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, eq=False, kw_only=True)
class _WatchedStream:
  """A stream from an instance in `domain`; `on_cut` is called at most once."""

  domain: str
  on_cut: Callable[[], None]


class PartitionMonitor:
  """Watches all streams of one daemon for network partitions.

  One task polls for all streams, and runs only while there are any: a task for
  each stream would wake the process twice for each turn.

  `is_partitioned` returns whether a network partition separates this daemon
  from the store and from a failure domain.
  """

  def __init__(self, *, is_partitioned: Callable[[str], bool]) -> None:
    self._is_cut_off = is_partitioned
    # Ordered by the time at which the streams began.
    self._streams: dict[_WatchedStream, None] = {}
    self._poll_task: asyncio.Task[None] | None = None

  @contextlib.contextmanager
  def watch(self, domain: str, on_cut: Callable[[], None]) -> Iterator[None]:
    """Calls `on_cut` if `domain` is cut off before the context exits."""
    stream = _WatchedStream(domain=domain, on_cut=on_cut)
    self._streams[stream] = None
    if self._poll_task is None or self._poll_task.done():
      self._poll_task = asyncio.ensure_future(self._poll_periodically())
    try:
      yield
    finally:
      self._streams.pop(stream, None)

  async def _poll_periodically(self) -> None:
    while self._streams:
      await asyncio.sleep(LOOK_SECONDS)
      for stream in list(self._streams):
        if self._is_cut_off(stream.domain):
          self._streams.pop(stream, None)
          stream.on_cut()
