"""The members that are known, by name and by failure domain."""

from __future__ import annotations

from collections.abc import Mapping

from woadrun.process import beats
from woadrun.process import ranks


class Members:
  """All members; `me`, the daemon itself, is there from the start."""

  def __init__(self, *, me: beats.Member) -> None:
    self.by_name: dict[str, beats.Member] = {me.name: me}
    self._by_domain = {me.domain: {me.name: me}}
    self._ranks_by_domain: dict[str, ranks.Ranks] = {}

  @property
  def domains(self) -> set[str]:
    """All failure domains with a member."""
    return {domain for domain, found in self._by_domain.items() if found}

  def get_all_of(self, domain: str) -> Mapping[str, beats.Member]:
    """Returns the members of a domain, by name."""
    return self._by_domain.get(domain, {})

  def add(self, member: beats.Member) -> bool:
    """Returns whether a member is new, or has moved."""
    known = self.by_name.get(member.name)
    if known == member:
      return False
    if known is not None:
      del self._by_domain[known.domain][known.name]
    self.by_name[member.name] = member
    self._by_domain.setdefault(member.domain, {})[member.name] = member
    return True

  def forget(self, name: str) -> None:
    """Drops a member."""
    member = self.by_name.pop(name, None)
    if member is not None:
      del self._by_domain[member.domain][name]

  def rank(
    self, key: str, domain: str, fit: list[beats.Member]
  ) -> list[beats.Member]:
    """Returns the fit members of a domain in the order of their claim on a key.

    The order is by rendezvous hashing: a member that comes or goes moves
    only the keys that it had or gets.  It is remembered while they stay.
    """
    known = self._ranks_by_domain.get(domain)
    if known is None or known.members != fit:
      known = self._ranks_by_domain[domain] = ranks.Ranks(members=fit)
    return known.get(key)
