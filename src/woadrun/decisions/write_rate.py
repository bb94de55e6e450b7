"""Write intervals that keep all daemons within the platform's write rate."""

from __future__ import annotations

# Upper bound of the interval between two writes of one writer.  A domain uses
# fewer writers if the interval would be longer.
MAX_INTERVAL_SECONDS = 1.0


def get_interval(
  min_interval: float, writers: int, writes_per_second: float
) -> float:
  """Returns the seconds between two writes of each writer.

  With this interval all writers together stay within `writes_per_second`,
  however many writers there are.  `min_interval` is a lower bound.
  """
  return max(min_interval, writers / writes_per_second)


def get_writers(members: int, domains: int, writes_per_second: float) -> int:
  """Returns how many members of a domain write on behalf of all its members.

  If every daemon of a large fleet wrote for itself, each would write too
  rarely.  With the returned number of writers their interval is at most
  `MAX_INTERVAL_SECONDS`, as long as there are no more domains than
  `writes_per_second`.
  """
  share = int(writes_per_second * MAX_INTERVAL_SECONDS / max(1, domains))
  return min(members, max(1, share))
