"""Hedging of idempotent requests: when to send one to a second instance.

If a response is lost in transit, the caller would wait until its deadline.  A
hedged request to another instance recovers from the loss at a bounded cost.
"""

from __future__ import annotations

# The hedging delay is this multiple of the mean latency of the service: hardly
# any response that arrives at all takes longer.
DELAY_FACTOR = 4.0
# Lower bound of the hedging delay, in seconds: no instance responds faster than
# a network round trip and a scheduling delay.
MIN_DELAY_SECONDS = 0.25
# Upper bound of hedged requests per first request: a service that is slow as a
# whole must not receive twice its load.
SHARE = 0.1
# At most this many hedged requests may follow each other after a period
# without any.
MAX_SAVED_HEDGES = 10.0


def get_hedge_delay(mean_seconds: float) -> float:
  """Returns the hedging delay for a mean latency, both in seconds."""
  return max(MIN_DELAY_SECONDS, DELAY_FACTOR * mean_seconds)


class HedgeBudget:
  """Limits hedged requests to a fraction of first requests."""

  def __init__(self) -> None:
    self._saved = MAX_SAVED_HEDGES

  def note_first(self) -> None:
    """Adds to the budget for one first request."""
    self._saved = min(MAX_SAVED_HEDGES, self._saved + SHARE)

  def take(self) -> bool:
    """Takes one hedged request; returns False if the budget has none left."""
    if self._saved < 1:
      return False
    self._saved -= 1
    return True
