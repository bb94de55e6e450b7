"""Decodes the operator's configuration into a routing table.

API keys of teams leave this module as digests only: `hash_api_keys` replaces
the keys in each row read from the store, before the row is kept or sent to
another daemon.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from woadrun import decoding
from woadrun.version import routes
from woadrun.version import teams

TABLE = 'op'
ROW = 'config'

_KIND_BY_NAME = {
  'idempotent': routes.Kind.IDEMPOTENT,
  'non_idempotent': routes.Kind.ONCE,
  'stream': routes.Kind.STREAM,
}


class _TrafficSplit(msgspec.Struct, kw_only=True):
  service: str
  weight: float = 1.0


class _Route(msgspec.Struct, kw_only=True):
  """A route.  Times are in milliseconds except `retention_s`, in seconds."""

  name: str
  host: str
  path_prefix: str
  kind: str = 'non_idempotent'
  service: str = ''
  traffic_split: list[_TrafficSplit] = []
  timeout_ms: float = 30_000
  target_latency_ms: float = 1_000
  gap_aim_ms: float = 0
  priority: int = 0
  max_attempts: int = 1
  retain_history: bool = False
  retention_s: float = 60.0
  public: bool = False


class _Engine(msgspec.Struct, kw_only=True):
  tokens_per_event: int = 1


class _Service(msgspec.Struct, kw_only=True):
  name: str
  max_connections: int = 0
  health_check_path: str = ''
  engine: _Engine | None = None


class _Limits(msgspec.Struct, kw_only=True):
  max_header_bytes: int = 16_384
  max_body_bytes: int = 4_194_304
  header_timeout_ms: float = 3_000
  idle_timeout_ms: float = 15_000


class _Tenant(msgspec.Struct, kw_only=True):
  """A team with digests in place of its keys; rate 0 means no limit."""

  name: str
  key_digests: list[str] = []
  priority: int | None = None
  rate_per_s: float = 0.0
  burst: float = 0.0


class _Config(msgspec.Struct, kw_only=True):
  version: int
  tenants: list[_Tenant] | None = None
  routes: list[_Route] = []
  services: list[_Service] = []
  limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(value: bytes) -> routes.RoutingTable:
  """Returns the routing table in the value of the configuration row.

  Raises `decoding.MalformedData` if the value is malformed.
  """
  config = decoding.decode_json(value, type=_Config)
  return decoding.run(lambda: _make_table(config))


def _make_table(config: _Config) -> routes.RoutingTable:
  limits = config.limits
  return routes.RoutingTable(
    version=config.version,
    routes=[_get_route(route) for route in config.routes],
    services=[_get_service(service) for service in config.services],
    limits=routes.Limits(
      header_bytes=limits.max_header_bytes,
      body_bytes=limits.max_body_bytes,
      header_timeout=limits.header_timeout_ms / 1000,
      idle_timeout=limits.idle_timeout_ms / 1000,
    ),
    team_by_digest=_get_teams(config),
  )


def hash_api_keys(value: bytes) -> bytes:
  """Returns a configuration row's value with API keys replaced by digests.

  Returns the value unchanged if it has no `tenants`, and an empty value if it
  cannot be decoded.
  """
  try:
    fields = decoding.decode_json(value, type=dict[str, msgspec.Raw])
    if 'tenants' not in fields:
      return value
    tenants = decoding.decode_json(fields['tenants'], type=list[dict[str, Any]])
    hashed = decoding.run(
      lambda: msgspec.json.encode([_hash_tenant_keys(t) for t in tenants])
    )
  except decoding.MalformedData:
    # A malformed value may contain a key anywhere, so all of it is dropped.
    return b''
  return msgspec.json.encode({**fields, 'tenants': msgspec.Raw(hashed)})


def _hash_tenant_keys(tenant: dict[str, Any]) -> dict[str, Any]:
  fields = {name: tenant[name] for name in tenant if name != 'api_keys'}
  digests = [teams.digest_key(key) for key in tenant.get('api_keys', ())]
  return {**fields, 'key_digests': digests}


def _get_teams(config: _Config) -> dict[str, teams.Team] | None:
  if config.tenants is None:
    return None
  return {
    digest: _get_team(tenant, config.version)
    for tenant in config.tenants
    for digest in tenant.key_digests
  }


def _get_team(tenant: _Tenant, version: int) -> teams.Team:
  rate = teams.Rate(
    version=version, per_second=tenant.rate_per_s, burst=tenant.burst
  )
  return teams.Team(
    name=tenant.name,
    priority=tenant.priority,
    rate=rate if rate.per_second > 0 else None,
  )


def _get_route(route: _Route) -> routes.Route:
  splits = route.traffic_split or [_TrafficSplit(service=route.service)]
  return routes.Route(
    name=route.name,
    host=route.host,
    prefix=route.path_prefix,
    # Requests of an unknown kind may not be idempotent and are never retried.
    kind=_KIND_BY_NAME.get(route.kind, routes.Kind.ONCE),
    shares=tuple(
      routes.Share(service=split.service, weight=split.weight)
      for split in splits
    ),
    timeout=route.timeout_ms / 1000,
    target_latency=route.target_latency_ms / 1000,
    priority=route.priority,
    max_attempts=max(1, route.max_attempts),
    keeps_history=route.retain_history,
    retention=route.retention_s,
    is_public=route.public,
    patience=_get_patience(route),
  )


def _get_patience(route: _Route) -> float:
  """Returns after how many seconds without a byte callers leave a stream.

  The platform's interface states the rule.
  """
  if route.kind != 'stream':
    return math.inf
  longest = max(2_000.0, 4 * route.target_latency_ms, 8 * route.gap_aim_ms)
  return longest / 1000


def _get_service(service: _Service) -> routes.Service:
  engine = service.engine
  return routes.Service(
    name=service.name,
    max_connections=service.max_connections,
    tokens_per_event=engine.tokens_per_event if engine else 1,
    health_path=service.health_check_path,
  )
