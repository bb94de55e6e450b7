"""The event loop of a daemon, which looks for input less often under load."""

from __future__ import annotations

import asyncio
import selectors

# Passes of the loop in a row that may go by without a look for new input while
# callbacks are ready.  A request takes some fifteen, each of a fraction of a
# millisecond.
MOST_SKIPPED = 8


class SparseSelector(selectors.DefaultSelector):
  """A selector that passes over most looks that would not wait.

  The loop looks for input in each pass, also while callbacks wait to run.
  """

  def __init__(self) -> None:
    super().__init__()
    self._skipped = 0

  def select(
    self, timeout: float | None = None
  ) -> list[tuple[selectors.SelectorKey, int]]:
    """Returns the files that are ready, none where the look is left out."""
    if timeout is not None and timeout <= 0 and self._skipped < MOST_SKIPPED:
      self._skipped += 1
      return []
    self._skipped = 0
    found: list[tuple[selectors.SelectorKey, int]] = super().select(timeout)
    return found


def make() -> asyncio.AbstractEventLoop:
  """Returns a new event loop."""
  return asyncio.SelectorEventLoop(SparseSelector())
