"""The ranking of a domain's members for keys, by rendezvous hashing."""

from __future__ import annotations

from woadrun.process import fleet_heartbeats
from woadrun.process import hubs

# Maximum number of keys whose ranking is cached: enough for the programs that
# one daemon owns, or forwards turns of, within some seconds.
MAX_CACHED_KEYS = 2_048


class Ranks:
  """Rankings of a fixed list of members, cached by key.

  Each turn needs the ranking for its program in several domains, several times.
  """

  def __init__(self, *, members: list[fleet_heartbeats.Member]) -> None:
    self.members = members
    self._ranked_by_key: dict[str, list[fleet_heartbeats.Member]] = {}

  def get(self, key: str) -> list[fleet_heartbeats.Member]:
    """Returns the members, ranked for a key, the highest weight first."""
    known = self._ranked_by_key.get(key)
    if known is None:
      if len(self._ranked_by_key) >= MAX_CACHED_KEYS:
        self._ranked_by_key.clear()
      known = self._ranked_by_key[key] = sorted(
        self.members,
        key=lambda m: hubs.get_rendezvous_weight(m.name, key),
        reverse=True,
      )
    return known
