"""The event loop of a daemon, which polls for I/O less often under load."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import selectors
import time

# Maximum number of consecutive loop iterations that skip polling for I/O while
# callbacks are ready.  A request takes some fifteen iterations, each of a
# fraction of a millisecond.
MAX_SKIPPED_POLLS = 8
# Iterations that take long must not delay the connections that have become
# ready meanwhile.
MAX_UNPOLLED_SECONDS = 0.002


class SparseSelector(selectors.DefaultSelector):
  """A selector that skips most polls that would not block.

  The asyncio loop polls in each iteration, even while callbacks are ready.
  `clock` returns the time in seconds.
  """

  def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
    super().__init__()
    self._clock = clock
    self._skipped_polls = 0
    self._polled_at = clock()

  def select(
    self, timeout: float | None = None
  ) -> list[tuple[selectors.SelectorKey, int]]:
    """Returns the files that are ready, or an empty list for a skipped poll."""
    if (
      timeout is not None
      and timeout <= 0
      and self._skipped_polls < MAX_SKIPPED_POLLS
      and self._clock() - self._polled_at < MAX_UNPOLLED_SECONDS
    ):
      self._skipped_polls += 1
      return []
    self._skipped_polls = 0
    found: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
    self._polled_at = self._clock()
    return found


def make() -> asyncio.AbstractEventLoop:
  """Returns a new event loop that uses a `SparseSelector`."""
  return asyncio.SelectorEventLoop(SparseSelector())
