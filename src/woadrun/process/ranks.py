"""The order of a domain's members in their claims on keys."""

from __future__ import annotations

from woadrun.process import beats
from woadrun.process import hubs

# Keys whose order is remembered: those of the programs that one daemon looks
# after, or passes turns of, within some seconds.
MOST_KEYS = 2_048


class Ranks:
  """Orders by rendezvous hashing, remembered while the members stay.

  Each turn asks for the order of its program in several domains, several times.
  """

  def __init__(self, *, members: list[beats.Member]) -> None:
    self.members = members
    self._ranked_by_key: dict[str, list[beats.Member]] = {}

  def get(self, key: str) -> list[beats.Member]:
    """Returns the members in the order of their claim on a key."""
    known = self._ranked_by_key.get(key)
    if known is None:
      if len(self._ranked_by_key) >= MOST_KEYS:
        self._ranked_by_key.clear()
      known = self._ranked_by_key[key] = sorted(
        self.members, key=lambda m: hubs.weigh(m.name, key), reverse=True
      )
    return known
