"""Asks the keeper of a team's rate before a request of the team is sent."""

from __future__ import annotations

import asyncio
import logging
import time

import msgspec

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import quota_messages
from woadrun.decisions import retry_after
from woadrun.process import beats
from woadrun.process import fleet
from woadrun.process import rate_keeper
from woadrun.request import authorization
from woadrun.request import exchange

log = logging.getLogger('woadrun.rates')

# Until a keeper counts as lost, in seconds: it answers within milliseconds.
ASK_SECONDS = 0.25
# A lost keeper is not asked for so long, in seconds: until the datagrams tell
# whether it is there.
PASSED_OVER_SECONDS = 0.5
# A granted request that is not sent for so long is asked for anew, in seconds.
GRANT_SECONDS = 1.0
NO_KEEPER_SECONDS = 0.5
# A request waits so long for a keeper, in seconds: two daemons may differ for a
# moment on who that is.
PATIENCE_SECONDS = 0.25
# The same where this daemon started less than twice as long ago: after a loss
# of all daemons callers come back before these know each other.
START_PATIENCE_SECONDS = 1.0
AGAIN_SECONDS = 0.1


class Rates:
  """The way from a daemon to the keepers of teams' rates."""

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    local: rate_keeper.RateKeeper,
    links: peers.Messenger,
  ) -> None:
    self._members = members
    self._local = local
    self._links = links
    self._lost_until: dict[str, float] = {}
    self._started_at = time.monotonic()

  async def take(
    self,
    request: exchange.Request,
    granted: authorization.Grant,
    *,
    deadline: float,
  ) -> float:
    """Returns when a request was granted, once it may be sent.

    Raises `rate_exceeded` where its team's rate does not hold it, `isolated`
    and `owner_unavailable` where nobody can tell.
    """
    ask = _make_ask(request, granted)
    if ask is None:
      return time.monotonic()
    if self._members.is_isolated and not self._is_young:
      raise errors.WoadrunError(
        errors.Code.ISOLATED,
        'No other daemon is heard: the rate of the team is kept elsewhere.',
        retry_after=retry_after.LEAST_OUTAGE_SECONDS,
      )
    unit = await self._ask_patiently(ask, deadline)
    is_in_time = time.monotonic() + unit.wait < deadline
    if not unit.is_granted or not is_in_time:
      raise errors.WoadrunError(
        errors.Code.RATE_EXCEEDED,
        f'Team {ask.team} has its {ask.per_second:g} requests a second.',
        retry_after=unit.retry_after,
      )
    if unit.wait:
      await asyncio.sleep(unit.wait)
    return time.monotonic()

  async def renew(
    self,
    granted_at: float,
    request: exchange.Request,
    granted: authorization.Grant,
    *,
    deadline: float,
  ) -> None:
    """Asks again where a request was granted too long ago."""
    if time.monotonic() - granted_at > GRANT_SECONDS:
      await self.take(request, granted, deadline=deadline)

  async def _ask_patiently(
    self, ask: quota_messages.TakeUnit, deadline: float
  ) -> quota_messages.Unit:
    patience = START_PATIENCE_SECONDS if self._is_young else PATIENCE_SECONDS
    until = min(deadline, time.monotonic() + patience)
    while True:
      try:
        return await self._ask(ask)
      except errors.WoadrunError as error:
        if time.monotonic() + AGAIN_SECONDS >= until:
          raise errors.WoadrunError(
            errors.Code.OWNER_UNAVAILABLE,
            f'Nobody keeps the rate of {ask.team}: {error.message}',
            retry_after=NO_KEEPER_SECONDS,
          ) from error
      await asyncio.sleep(AGAIN_SECONDS)

  @property
  def _is_young(self) -> bool:
    age = time.monotonic() - self._started_at
    return age < 2 * START_PATIENCE_SECONDS

  async def _ask(self, ask: quota_messages.TakeUnit) -> quota_messages.Unit:
    keeper = rate_keeper.find_keeper(self._members, ask.team)
    if keeper is not None and not self._is_lost(keeper):
      try:
        return await self._ask_at(keeper, ask)
      except errors.WoadrunError as error:
        log.info('Rate of %s at %s: %s', ask.team, keeper.name, error.message)
    return await self._ask_alone(msgspec.structs.replace(ask, is_alone=True))

  async def _ask_alone(
    self, ask: quota_messages.TakeUnit
  ) -> quota_messages.Unit:
    """Returns what the own domain's share of the rate still holds."""
    mine = self._members.me.domain
    ranked = self._members.rank(f'rate/{ask.team}', mine)
    near = [member for member in ranked if not self._is_lost(member)]
    if not near:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        'No member of this domain is alive.',
      )
    return await self._ask_at(near[0], ask)

  def _is_lost(self, member: beats.Member) -> bool:
    return self._lost_until.get(member.name, 0.0) > time.monotonic()

  async def _ask_at(
    self, member: beats.Member, ask: quota_messages.TakeUnit
  ) -> quota_messages.Unit:
    if member == self._members.me:
      return await self._local.answer(ask)
    try:
      return await self._links.post(
        member.address,
        'rate/take',
        ask,
        type=quota_messages.Unit,
        timeout=ASK_SECONDS,
      )
    except peers.NoAnswer:
      until = time.monotonic() + PASSED_OVER_SECONDS
      self._lost_until[member.name] = until
      raise


def _make_ask(
  request: exchange.Request, granted: authorization.Grant
) -> quota_messages.TakeUnit | None:
  """Returns the message about a request, None where no rate bounds it."""
  team = granted.team
  if team is None or team.rate is None:
    return None
  turn = request.turn
  return quota_messages.TakeUnit(
    team=team.name,
    version=team.rate.version,
    per_second=team.rate.per_second,
    burst=team.rate.burst,
    program=request.program,
    kind=granted.route.name,
    priority=granted.route.priority,
    begins=bool(turn and granted.route.keeps_history and not turn.parent),
  )
