"""The teams of a routing table, looked up by the digests of their keys.

A key is a secret: it is replaced by its digest when it is decoded, and only
digests are stored, compared and sent to other daemons.
"""

from __future__ import annotations

import dataclasses
import hashlib
import urllib.parse

# Long enough to make a collision between the digests of two keys negligible.
DIGEST_BYTES = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rate:
  """A rate limit, in requests per second, and its burst, in requests.

  `version` is the version of the routing table that contains the limit.
  """

  version: int
  per_second: float
  burst: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
  """A team.

  `priority` takes precedence over the priority of a route; `rate` limits the
  requests of the team.
  """

  name: str
  priority: int | None = None
  rate: Rate | None = None


def get_weight(team: Team | None) -> float:
  """Returns the weight of a team against others: its rate, or 1 without one."""
  return team.rate.per_second if team and team.rate else 1.0


def digest_key(key: str) -> str:
  """Returns the digest that identifies a key."""
  data = key.encode('utf-8', 'surrogateescape')
  return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def scope(team: str | None, id: str) -> str:
  """Returns the id of a team's program or turn, unique among all teams.

  `team` is None if no teams are configured, and empty for requests without a
  team.  The team is quoted and so contains no colon, which rules out collisions
  between the ids of different teams.
  """
  if team is None or not id:
    return id
  return f'{urllib.parse.quote(team, safe="")}:{id}'
