"""Enforces teams' rate limits by asking the daemon that owns each limit.

The owner of a team's limit is the daemon that counts the team's requests; all
daemons compute the same owner from the members that they hear.  If the owner
cannot be asked, a daemon asks the best ranked member of its own failure domain
to admit the request from the domain's share of the rate.
"""

from __future__ import annotations

import asyncio
import logging
import time

import msgspec

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import rate_messages
from woadrun.decisions import retry_after
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import rate_owner
from woadrun.request import authorization
from woadrun.request import exchange

log = logging.getLogger('woadrun.rates')

# Timeout for a member's answer, which usually takes milliseconds.
TAKE_TIMEOUT_SECONDS = 0.25
# Time during which a member that did not answer is skipped: within this time
# heartbeat datagrams show whether the member is alive.
UNREACHABLE_BACKOFF_SECONDS = 0.5
# Validity of a grant: a request that is sent later needs a new one.
GRANT_TTL_SECONDS = 1.0
# Retry-After value for a caller when no member decides.
NO_OWNER_RETRY_SECONDS = 0.5
# Time for which a request is retried while no member accepts to be the owner:
# two daemons may disagree for a moment on which member owns the limit.
OWNER_WAIT_SECONDS = 0.25
# The same time for a daemon that is starting, that is during the first two
# periods of this length: after a failure of all daemons, callers return before
# the daemons have discovered each other.
STARTUP_OWNER_WAIT_SECONDS = 1.0
# Interval between these retries.
RETRY_INTERVAL_SECONDS = 0.1


class RateLimitClient:
  """Client for the owners of the teams' rate limits."""

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    local: rate_owner.RateOwner,
    links: peers.Messenger,
  ) -> None:
    self._members = members
    self._local = local
    self._links = links
    self._unreachable_until: dict[str, float] = {}
    self._started_at = time.monotonic()

  async def take(
    self,
    request: exchange.Request,
    granted: authorization.Grant,
    *,
    deadline: float,
  ) -> float:
    """Waits until a request may be sent; returns the time of the grant.

    The time and `deadline` are on the monotonic clock.  Returns at once if the
    team has no limit.  Raises `rate_exceeded` if the request exceeds its team's
    rate limit or would wait past its deadline, `isolated` if no other daemon is
    alive although this domain has others, and `owner_unavailable` if no member
    decides in time.
    """
    ask = _make_take_message(request, granted)
    if ask is None:
      return time.monotonic()
    if self._members.is_isolated and not self._is_starting:
      raise errors.WoadrunError(
        errors.Code.ISOLATED,
        'No other daemon is reachable; another one may own the rate limit.',
        retry_after=retry_after.MIN_OUTAGE_SECONDS,
      )
    unit = await self._ask_with_retries(ask, deadline)
    is_in_time = time.monotonic() + unit.wait < deadline
    if not unit.is_granted or not is_in_time:
      raise errors.WoadrunError(
        errors.Code.RATE_EXCEEDED,
        f'Team {ask.team} exceeds its limit of {ask.per_second:g} requests/s.',
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
    """Takes a new grant for a request if its grant has expired.

    `granted_at` is the result of `take`, whose errors this raises as well.
    """
    if time.monotonic() - granted_at > GRANT_TTL_SECONDS:
      await self.take(request, granted, deadline=deadline)

  async def _ask_with_retries(
    self, ask: rate_messages.AcquireRate, deadline: float
  ) -> rate_messages.RateDecision:
    """Returns a member's decision; raises `owner_unavailable` without one."""
    wait = (
      STARTUP_OWNER_WAIT_SECONDS if self._is_starting else OWNER_WAIT_SECONDS
    )
    until = min(deadline, time.monotonic() + wait)
    while True:
      try:
        return await self._ask(ask)
      except errors.WoadrunError as error:
        if time.monotonic() + RETRY_INTERVAL_SECONDS >= until:
          raise errors.WoadrunError(
            errors.Code.OWNER_UNAVAILABLE,
            f'No daemon decided on the rate of {ask.team}: {error.message}',
            retry_after=NO_OWNER_RETRY_SECONDS,
          ) from error
      await asyncio.sleep(RETRY_INTERVAL_SECONDS)

  @property
  def _is_starting(self) -> bool:
    age = time.monotonic() - self._started_at
    return age < 2 * STARTUP_OWNER_WAIT_SECONDS

  async def _ask(
    self, ask: rate_messages.AcquireRate
  ) -> rate_messages.RateDecision:
    """Returns the decision of the owner, or else of this domain.

    The own domain decides if there is no owner, if the owner does not answer or
    if it refuses to be the owner.
    """
    owner = rate_owner.find_rate_owner(self._members, ask.team)
    if owner is not None and not self._is_unreachable(owner):
      try:
        return await self._ask_member(owner, ask)
      except errors.WoadrunError as error:
        log.info(
          'No decision on the rate limit of %s from %s: %s',
          ask.team,
          owner.name,
          error.message,
        )
    return await self._ask_own_domain(
      msgspec.structs.replace(ask, is_alone=True)
    )

  async def _ask_own_domain(
    self, ask: rate_messages.AcquireRate
  ) -> rate_messages.RateDecision:
    """Returns a decision by the own domain's share of the rate.

    Raises `owner_unavailable` if no member of the domain is reachable.
    """
    mine = self._members.me.domain
    ranked = self._members.rank(f'rate/{ask.team}', mine)
    reachable = [
      member for member in ranked if not self._is_unreachable(member)
    ]
    if not reachable:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        'No member of this domain is reachable.',
      )
    return await self._ask_member(reachable[0], ask)

  def _is_unreachable(self, member: fleet_heartbeats.Member) -> bool:
    return self._unreachable_until.get(member.name, 0.0) > time.monotonic()

  async def _ask_member(
    self, member: fleet_heartbeats.Member, ask: rate_messages.AcquireRate
  ) -> rate_messages.RateDecision:
    if member == self._members.me:
      return await self._local.answer(ask)
    try:
      return await self._links.post(
        member.address,
        'rate/take',
        ask,
        type=rate_messages.RateDecision,
        timeout=TAKE_TIMEOUT_SECONDS,
      )
    except peers.NoAnswer:
      until = time.monotonic() + UNREACHABLE_BACKOFF_SECONDS
      self._unreachable_until[member.name] = until
      raise


def _make_take_message(
  request: exchange.Request, granted: authorization.Grant
) -> rate_messages.AcquireRate | None:
  """Returns the message for a request, or None if its team has no limit."""
  team = granted.team
  if team is None or team.rate is None:
    return None
  # A turn is a request of a program whose history is kept.  A turn without a
  # parent, the turn before it, may begin its program; the owner refuses it
  # if the rate does not suffice for one more program.
  turn = request.turn
  return rate_messages.AcquireRate(
    team=team.name,
    version=team.rate.version,
    per_second=team.rate.per_second,
    burst=team.rate.burst,
    program=request.program,
    kind=granted.route.name,
    priority=granted.route.priority,
    begins=bool(turn and granted.route.keeps_history and not turn.parent),
  )
