"""Decides until when the store keeps a turn and the line of turns before it.

A turn may be continued for its retention time after its end, and the turn that
continues it ends within the timeout of its route.  The whole line must be kept
until then: that turn is given an expiry of its own only as it ends.

Each extension lasts for one more retention time than needed, so that a line is
extended about once in that time and not with each of its turns.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class LineExpiry:
  """Until when a turn and its line are kept, in Unix time.

  `extends_line` tells that the turns before it are kept for a shorter time, so
  that the expiry of the line has to be written with the turn.
  """

  expires_at: float
  extends_line: bool


def plan(
  *,
  ended_at: float,
  retention: float,
  timeout: float,
  line_expires_at: float | None,
) -> LineExpiry:
  """Returns the expiry of a turn that ended at `ended_at`, in Unix time.

  `retention` and `timeout` are those of its route, in seconds.
  `line_expires_at` is the time until which the turns before it are kept, None
  if it is the first one.
  """
  needed_until = ended_at + retention + timeout
  if line_expires_at is not None and line_expires_at >= needed_until:
    return LineExpiry(expires_at=line_expires_at, extends_line=False)
  return LineExpiry(
    expires_at=needed_until + retention,
    extends_line=line_expires_at is not None,
  )
