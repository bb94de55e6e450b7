"""Failure domains that were silent and are heard again.

During a network partition each side spends only a part of the budgets that
both sides know.  After the partition, one side may spend the rest once it knows
everything that the other side spent: each live member of the other side has
had time to receive heartbeats from this side again, and has since reported that
it owes the store nothing.  How long this takes depends on when the members send
their reports, not on the number of members.
"""

from __future__ import annotations

from collections.abc import Callable

# Delay after a domain is heard again before the reports of its members count,
# in seconds.  It covers two datagrams from this side, one to the member's hub
# and one from the hub to the member: a member that has not heard this side yet
# may still spend without it.
REPORT_DELAY_SECONDS = 0.5


class ReturningDomains:
  """Domains heard again whose members have not all reported yet."""

  def __init__(self) -> None:
    self._since_by_domain: dict[str, float] = {}

  def record(self, domain: str, *, now: float) -> None:
    """Records that a domain that was silent is heard again at `now`."""
    self._since_by_domain[domain] = now

  def find_pending(
    self, get_reported_at: Callable[[str, float], float]
  ) -> set[str]:
    """Returns the domains with members that have not reported since the return.

    `get_reported_at` takes a domain and the time of its return.  It returns a
    time since which each live member of the domain has reported.  All times are
    on the monotonic clock.
    """
    self._since_by_domain = {
      domain: since
      for domain, since in self._since_by_domain.items()
      if get_reported_at(domain, since) < since + REPORT_DELAY_SECONDS
    }
    return set(self._since_by_domain)
