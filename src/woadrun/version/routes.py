"""The routing table, which maps requests to services.

A table is immutable: a new version replaces the whole table.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import math

from woadrun.version import teams


class Kind(enum.Enum):
  """Whether a request may be executed repeatedly, and how it is answered."""

  IDEMPOTENT = 'idempotent'
  ONCE = 'once'
  STREAM = 'stream'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Share:
  """A service's share of a route's requests, by relative weight."""

  service: str
  weight: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Route:
  """The operator's configuration of the requests under one path prefix.

  `timeout`, `target_latency` and `retention` are in seconds.  `priority` is
  0 for the most urgent.  `keeps_history` says that a call is a turn of a
  program, whose input and answer are stored for `retention`.  Requests on a
  route that `is_public` need no key.  Callers give up a stream from which they
  have received nothing for `patience` seconds.
  """

  name: str
  host: str
  prefix: str
  kind: Kind
  shares: tuple[Share, ...]
  timeout: float
  target_latency: float
  priority: int = 0
  max_attempts: int = 1
  keeps_history: bool = False
  retention: float = 0.0
  is_public: bool = False
  patience: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Service:
  """The operator's configuration of a service.

  `tokens_per_event` is the maximum number of tokens in one event of a stream.
  `max_connections` is the maximum number of connections from all daemons to one
  instance.  `health_path` is the path of its health checks, empty without any.
  """

  name: str
  max_connections: int = 0
  tokens_per_event: int = 1
  health_path: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
  """Limits on the requests of callers, in bytes and seconds."""

  header_bytes: int = 16_384
  body_bytes: int = 4_194_304
  header_timeout: float = 3.0
  idle_timeout: float = 15.0


class RoutingTable:
  """One version of routes, services, limits and teams.

  `team_by_digest` maps the digest of each key to its team; it is None if
  requests need no key.  `team_weights` has the weight of each team by name, and
  the sum of all weights.
  """

  def __init__(
    self,
    *,
    version: int,
    routes: Sequence[Route],
    services: Sequence[Service],
    limits: Limits,
    team_by_digest: Mapping[str, teams.Team] | None = None,
  ) -> None:
    self.version = version
    self.team_by_digest = team_by_digest
    self.service_by_name = {service.name: service for service in services}
    self.limits = limits
    self.team_weights = _get_team_weights(team_by_digest)
    self._routes_by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda r: len(r.prefix), reverse=True):
      self._routes_by_host.setdefault(route.host, []).append(route)

  def match(self, host: str, path: str) -> Route | None:
    """Returns the host's route with the longest matching prefix, if any."""
    for route in self._routes_by_host.get(host, ()):
      if path.startswith(route.prefix):
        return route
    return None


def _get_team_weights(
  team_by_digest: Mapping[str, teams.Team] | None,
) -> tuple[Mapping[str, float], float]:
  # A team has several keys.
  weight_by_name = {
    team.name: teams.get_weight(team)
    for team in (team_by_digest or {}).values()
  }
  return weight_by_name, sum(weight_by_name.values())


def choose_service(route: Route, random_value: float) -> str:
  """Returns a service of a route, chosen by weight.

  `random_value` is a uniformly distributed number in [0, 1).
  """
  remaining = random_value * sum(share.weight for share in route.shares)
  for share in route.shares:
    remaining -= share.weight
    if remaining < 0:
      return share.service
  return route.shares[-1].service
