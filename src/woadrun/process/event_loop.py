"""The event loop of a daemon, which polls for I/O less often under load."""

from __future__ import annotations

import asyncio
import selectors

# Maximum number of consecutive loop iterations that skip polling for I/O while
# callbacks are ready.  A request takes some fifteen iterations, each of a
# fraction of a millisecond.
MAX_SKIPPED_POLLS = 8


class SparseSelector(selectors.DefaultSelector):
  """A selector that skips most polls that would not block.

  The asyncio loop polls in each iteration, even while callbacks are ready.
  """

  def __init__(self) -> None:
    super().__init__()
    self._skipped_polls = 0

  def select(
    self, timeout: float | None = None
  ) -> list[tuple[selectors.SelectorKey, int]]:
    """Returns the files that are ready, or an empty list for a skipped poll."""
    if (
      timeout is not None
      and timeout <= 0
      and self._skipped_polls < MAX_SKIPPED_POLLS
    ):
      self._skipped_polls += 1
      return []
    self._skipped_polls = 0
    found: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
    return found


def make() -> asyncio.AbstractEventLoop:
  """Returns a new event loop that uses a `SparseSelector`."""
  return asyncio.SelectorEventLoop(SparseSelector())
