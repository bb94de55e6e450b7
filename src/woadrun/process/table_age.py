"""Upper bound of the age of a daemon's routing table.

A table does not contain its own age: a daemon that receives no messages would
use it forever, with keys that were revoked.  Therefore each table is confirmed
as of a time on the store's clock before which no newer change was made.
Daemons that follow the store obtain confirmations by their calls and send them
to the others.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import time

from woadrun.process.store import store_clock


class TableAge:
  """The newest confirmation of the changes known to this daemon.

  `get_version` returns the version of the store up to which the changes are
  known.  `confirmed` is the time of the confirmation on the store's clock.
  """

  def __init__(
    self, *, clock: store_clock.StoreClock, get_version: Callable[[], int]
  ) -> None:
    self._clock = clock
    self._get_version = get_version
    self._read_started_at = -math.inf
    self.confirmed = -math.inf

  @property
  def is_known(self) -> bool:
    """Whether there is a confirmation on the store's clock, valid for peers."""
    return self.confirmed > -math.inf

  def record_read(self, began: float) -> None:
    """Records a response of the store to a call that began at a local time.

    The store may have read the table at any time since the call began, so that
    the table is confirmed only as of its beginning.
    """
    self._read_started_at = max(self._read_started_at, began)
    bounds = self._clock.get_bounds(began)
    if bounds is not None:
      self.confirmed = max(self.confirmed, bounds[0])

  def record_confirmation(self, confirmed: float, version: int) -> None:
    """Records a confirmation from a peer.

    It states that no change after `version` was made before `confirmed`.  It is
    ignored while this daemon does not know the changes up to `version`.
    """
    if self._get_version() >= version:
      self.confirmed = max(self.confirmed, confirmed)

  def get_age_seconds(self) -> float:
    """Returns the most seconds for which the table can have been outdated."""
    now = time.monotonic()
    return min(
      now - self._read_started_at, self._clock.get_age(self.confirmed, now)
    )
