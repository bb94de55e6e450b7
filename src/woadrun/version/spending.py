"""What a program had spent a moment ago, as far as others surely know it."""

from __future__ import annotations

import collections

# What was spent so long ago is known in other domains, in seconds.  A domain
# counts as cut off 0.9 s after its last datagram, in large fleets after 1.4 s;
# copies of a turn go out as it ends.
KNOWN_SECONDS = 2.0


class Spending:
  """Sums of spent tokens over the last seconds, the oldest first."""

  def __init__(self) -> None:
    self._marks: collections.deque[tuple[float, int]] = collections.deque()

  def note(self, spent: int, *, now: float) -> None:
    """Takes note of what is spent at `now`, on the monotonic clock."""
    if self._marks and self._marks[-1][1] == spent:
      return
    self._marks.append((now, spent))
    while len(self._marks) > 1 and self._marks[1][0] <= now - KNOWN_SECONDS:
      self._marks.popleft()

  def get_known(self, *, now: float) -> int:
    """Returns what was spent by the time that others know of, in tokens."""
    limit = now - KNOWN_SECONDS
    known = [spent for at, spent in self._marks if at <= limit]
    return known[-1] if known else 0
