"""Domains that were out of sight and are heard again.

Either side of a cut spends a part of the budgets that both know.  A side may
spend the rest again when nothing that the other one spent can be unknown to
it: once each living member over there has said that it owes the store
nothing, after it had time to hear this side again.  How long that takes goes
by when members speak, not by how many there are.
"""

from __future__ import annotations

from collections.abc import Callable

# What a member says counts from so long after its domain is heard again, in
# seconds: two datagrams of this side, one to its hub and one to itself.  One
# that has not heard this side yet may still spend without it.
HEARING_SECONDS = 0.5


class Returns:
  """The domains that came back and have not told all yet."""

  def __init__(self) -> None:
    self._since_by_domain: dict[str, float] = {}

  def note(self, domain: str, *, now: float) -> None:
    """Takes note that a domain that was silent is heard."""
    self._since_by_domain[domain] = now

  def find_open(self, get_told_at: Callable[[str, float], float]) -> set[str]:
    """Returns the domains some of whose members have still to speak.

    `get_told_at` tells by domain and the time of its return up to which time
    all its living members have spoken, on the monotonic clock.
    """
    self._since_by_domain = {
      domain: since
      for domain, since in self._since_by_domain.items()
      if get_told_at(domain, since) < since + HEARING_SECONDS
    }
    return set(self._since_by_domain)
