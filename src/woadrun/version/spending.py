"""What the turns of a program were given up to a moment ago, as others know."""

from __future__ import annotations

import collections

# What was spent so long ago is known in other domains, in seconds: copies of a
# turn go out as it ends, and a domain that is cut off counts as silent sooner.
KNOWN_SECONDS = 2.0
# Sums are kept for so long, in seconds: cuts and outages are looked back over.
KEPT_SECONDS = 30.0


class Spending:
  """Sums of what ended turns were given, over the last seconds, oldest first.

  What is reserved does not count: other domains are told as a turn ends.
  """

  def __init__(self) -> None:
    self._marks: collections.deque[tuple[float, int]] = collections.deque()

  def note(self, settled: int, *, now: float) -> None:
    """Takes note of what is settled at `now`, on the monotonic clock."""
    if self._marks and self._marks[-1][1] == settled:
      return
    self._marks.append((now, settled))
    while len(self._marks) > 1 and self._marks[1][0] <= now - KEPT_SECONDS:
      self._marks.popleft()

  def get_known(self, *, now: float, lasted: float = 0.0) -> int:
    """Returns what was settled by the time that others know of, in tokens.

    They have been told nothing for `lasted` seconds.
    """
    limit = now - lasted - KNOWN_SECONDS
    known = [settled for at, settled in self._marks if at <= limit]
    return known[-1] if known else 0
