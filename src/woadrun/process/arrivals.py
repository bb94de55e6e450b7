"""Arrivals of turns at the daemons of a fleet, as their owner knows them.

Libraries and proxies on the way to the daemons may send a request again with
the same id, and its two copies may reach two daemons.  A turn must run once, so
the owner of its program admits one of the copies only.  The record is not
replicated: another owner admits a copy.
"""

from __future__ import annotations

import collections
import time

from woadrun import errors
from woadrun.connection import turn_messages

# Time after its first message in which the arrival of a turn is remembered.  A
# turn may take this long, and copies come within seconds.
MEMORY_SECONDS = 60.0
# Maximum number of arrivals that are remembered; the oldest are dropped.
MAX_ARRIVALS = 10_000


class Arrivals:
  """Remembers which arrival of each turn this owner admits."""

  def __init__(self) -> None:
    # The arrival and its time by request, oldest first.  A plain dictionary
    # finds its first key slowly once many before it have been deleted.
    self._arrival_by_request: collections.OrderedDict[
      str, tuple[str, float]
    ] = collections.OrderedDict()

  def note(self, ask: turn_messages.OpenTurn) -> bool:
    """Records the arrival of a turn; returns whether it was not known.

    Messages are sent again, so that one arrival may come several times.  Raises
    `outcome_unknown` if another arrival of the turn is recorded.
    """
    if not ask.arrival:
      return False
    self._drop_old()
    arrival, _ = self._arrival_by_request.get(ask.request, ('', 0.0))
    if arrival and arrival != ask.arrival:
      raise errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        'Another daemon handles a turn with the same id, which may have run.',
        ran=errors.RunStatus.UNKNOWN,
      )
    if arrival:
      return False
    self._arrival_by_request[ask.request] = (ask.arrival, time.monotonic())
    if len(self._arrival_by_request) > MAX_ARRIVALS:
      self.forget(next(iter(self._arrival_by_request)))
    return True

  def forget(self, request: str) -> None:
    """Forgets a turn that has not run, so that a copy of it may run."""
    self._arrival_by_request.pop(request, None)

  def _drop_old(self) -> None:
    oldest_at = time.monotonic() - MEMORY_SECONDS
    while self._arrival_by_request:
      request = next(iter(self._arrival_by_request))
      if self._arrival_by_request[request][1] > oldest_at:
        return
      self.forget(request)
