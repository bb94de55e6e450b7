"""History of a program's settled tokens, as known to other failure domains."""

from __future__ import annotations

import collections

# Tokens that were spent this long ago are known in other domains: copies of a
# turn are sent when it ends, and a domain that is cut off is considered silent
# within a shorter time.
PROPAGATION_SECONDS = 2.0
# Sums are retained for this long, so that the state before a network partition
# or an outage can be looked up.
RETENTION_SECONDS = 30.0


class SpendingHistory:
  """Recent values of a program's settled tokens.

  Reserved tokens are not included, since other domains are notified when a turn
  ends.
  """

  def __init__(self) -> None:
    self._marks: collections.deque[tuple[float, int]] = collections.deque()

  def note(self, settled: int, *, now: float) -> None:
    """Records the settled tokens at `now`, on the monotonic clock."""
    if self._marks and self._marks[-1][1] == settled:
      return
    self._marks.append((now, settled))
    while len(self._marks) > 1 and self._marks[1][0] <= now - RETENTION_SECONDS:
      self._marks.popleft()

  def get_known(self, *, now: float, lasted: float = 0.0) -> int:
    """Returns the settled tokens that other domains are certain to know.

    Other domains have received no updates for the last `lasted` seconds.
    """
    known_until = now - lasted - PROPAGATION_SECONDS
    known = [settled for at, settled in self._marks if at <= known_until]
    return known[-1] if known else 0
