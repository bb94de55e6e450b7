"""When a request that may be repeated is sent to a second instance.

An answer that was lost on its way never comes: its caller would wait until
its deadline.  A second send finds out, at a bounded cost.
"""

from __future__ import annotations

# A second send is due after so many times what a request takes there on
# average: hardly any answer that comes at all takes longer.
TIMES_USUAL = 4.0
# Instances answer no faster than the way and a scheduler's turn, in seconds.
LEAST_SECONDS = 0.25
# Second sends for each first one, at most: a service that is slow as a whole
# must not get twice its load.
SHARE = 0.1
# Second sends that may come in a row after a calm time.
MOST_SAVED = 10.0


def get_patience(usual: float) -> float:
  """Returns when a second send is due, from what a request usually takes.

  Both are in seconds.
  """
  return max(LEAST_SECONDS, TIMES_USUAL * usual)


class HedgeBudget:
  """Second sends in proportion to first ones."""

  def __init__(self) -> None:
    self._saved = MOST_SAVED

  def note_first(self) -> None:
    """Counts a request that was sent for the first time."""
    self._saved = min(MOST_SAVED, self._saved + SHARE)

  def take(self) -> bool:
    """Returns whether a second send is allowed now, which it then counts."""
    if self._saved < 1:
      return False
    self._saved -= 1
    return True
