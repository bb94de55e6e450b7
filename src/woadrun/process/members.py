"""The known members of the fleet, by name and by failure domain."""

from __future__ import annotations

from collections.abc import Mapping

from woadrun.process import fleet_heartbeats
from woadrun.process import ranks


class Members:
  """All known members, which always include `me`, this daemon itself."""

  def __init__(self, *, me: fleet_heartbeats.Member) -> None:
    self.by_name: dict[str, fleet_heartbeats.Member] = {me.name: me}
    self._by_domain = {me.domain: {me.name: me}}
    self._ranks_by_domain: dict[str, ranks.Ranks] = {}

  @property
  def domains(self) -> set[str]:
    """The failure domains that have at least one member."""
    return {domain for domain, found in self._by_domain.items() if found}

  def get_all_of(self, domain: str) -> Mapping[str, fleet_heartbeats.Member]:
    """Returns the members of a domain, by name."""
    return self._by_domain.get(domain, {})

  def add(self, member: fleet_heartbeats.Member) -> bool:
    """Adds or updates a member.

    Returns whether the member is new, or its address or domain has changed.
    """
    known = self.by_name.get(member.name)
    if known == member:
      return False
    if known is not None:
      del self._by_domain[known.domain][known.name]
    self.by_name[member.name] = member
    self._by_domain.setdefault(member.domain, {})[member.name] = member
    return True

  def forget(self, name: str) -> None:
    """Removes a member, if it is known."""
    member = self.by_name.pop(name, None)
    if member is not None:
      del self._by_domain[member.domain][name]

  def rank(
    self, key: str, domain: str, eligible: list[fleet_heartbeats.Member]
  ) -> list[fleet_heartbeats.Member]:
    """Returns the eligible members of a domain, ranked for a key.

    Members are ranked by rendezvous hashing: adding or removing a member moves
    only the keys that this member gains or loses.  The ranking is cached until
    the list of eligible members changes.
    """
    known = self._ranks_by_domain.get(domain)
    if known is None or known.members != eligible:
      known = self._ranks_by_domain[domain] = ranks.Ranks(members=eligible)
    return known.get(key)
