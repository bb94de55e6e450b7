"""Authorization of requests: the route, the team and how long both are valid.

Both come from the current routing table.  A newer table may contain a route or
key that the current one lacks, so the store is polled once before a request is
refused for good.  A table that may be too old grants nothing to requests with a
key, since the key may have been revoked.
"""

from __future__ import annotations

import dataclasses

from woadrun import errors
from woadrun.decisions import retry_after
from woadrun.decisions import urgency
from woadrun.process import catalogue
from woadrun.request import exchange
from woadrun.version import routes
from woadrun.version import teams


@dataclasses.dataclass(frozen=True, kw_only=True)
class Grant:
  """An authorized request's route, and its team if it has a key.

  `has_teams` is false if the routing table defines no teams.
  """

  route: routes.Route
  team: teams.Team | None = None
  has_teams: bool = False

  @property
  def team_name(self) -> str | None:
    """The team's name; empty without a team, None if the table has no teams."""
    if not self.has_teams:
      return None
    return self.team.name if self.team else ''

  @property
  def priority(self) -> int:
    """The combined priority: the team's first, then the route's."""
    if self.team is None or self.team.priority is None:
      return self.route.priority
    return urgency.combine(self.team.priority, self.route.priority)


class Authorization:
  """Authorizes requests by the current routing table."""

  def __init__(self, *, catalogue: catalogue.Catalogue) -> None:
    self._catalogue = catalogue

  async def grant(self, request: exchange.Request) -> Grant:
    """Returns the route and team of a request.

    Raises `unknown_service` or `unauthorized` if the newest table refuses the
    request, `config_unavailable` if there is no table or a newer one could not
    be ruled out, and `table_too_old` if the key may have been revoked.
    """
    if self._catalogue.table is None:
      raise errors.WoadrunError(
        errors.Code.CONFIG_UNAVAILABLE,
        'No routing table has been loaded yet.',
        retry_after=retry_after.OUTAGE_CHECK_SECONDS,
      )
    found = self._decide(self._catalogue.table, request)
    if isinstance(found, errors.WoadrunError):
      if not await self._catalogue.refresh():
        raise errors.WoadrunError(
          errors.Code.CONFIG_UNAVAILABLE,
          f'A newer routing table may exist: {found.message}',
          retry_after=retry_after.OUTAGE_CHECK_SECONDS,
        )
      found = self._decide(self._catalogue.table, request)
    if isinstance(found, errors.WoadrunError):
      raise found
    self._check_age(found)
    return found

  def check(self, request: exchange.Request, granted: Grant) -> None:
    """Raises if an authorized request must no longer be sent.

    The key may have been revoked or assigned to another team since.
    """
    if granted.team is None:
      return
    table = self._catalogue.table
    if table is not None and table.team_by_digest is not None:
      team = table.team_by_digest.get(request.key_digest)
      if team is None:
        raise _make_unknown_key_error()
      if team.name != granted.team.name:
        raise errors.WoadrunError(
          errors.Code.CONFIG_UNAVAILABLE,
          'The key of this request was assigned to another team meanwhile.',
          retry_after=0.0,
        )
    self._check_age(granted)

  def _decide(
    self, table: routes.RoutingTable, request: exchange.Request
  ) -> Grant | errors.WoadrunError:
    route = table.match(request.host, request.path)
    if route is None:
      return errors.WoadrunError(
        errors.Code.UNKNOWN_SERVICE, 'No route matches this host and path.'
      )
    if table.team_by_digest is None:
      return Grant(route=route)
    team = table.team_by_digest.get(request.key_digest)
    if team is None and not route.is_public:
      return _make_unknown_key_error()
    return Grant(route=route, team=team, has_teams=True)

  def _check_age(self, granted: Grant) -> None:
    if granted.team is None or self._catalogue.is_fresh():
      return
    age = self._catalogue.age.get_age_seconds()
    raise errors.WoadrunError(
      errors.Code.TABLE_TOO_OLD,
      f'The routing table may be {age:.1f} s old: the key may be revoked.',
      retry_after=retry_after.estimate_outage(age),
    )


def _make_unknown_key_error() -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.UNAUTHORIZED,
    'The key of this request is missing or belongs to no team.',
  )
