"""Enforces teams' rate limits by asking the daemon that owns each limit.

The owner of a team's limit is the daemon that counts the team's requests; all
daemons compute the same owner from the members that they hear.  If the owner
cannot be asked, a daemon asks the best ranked member of its own failure domain
to admit the request from the domain's share of the rate.

A request that has to wait has a place in the owner's line.  It asks again on
its way to its turn, and at once if the owner of the rate changes.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
import math
import secrets
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
from woadrun.version import routes

log = logging.getLogger('woadrun.rates')

# Timeout for a member's answer, which usually takes milliseconds.
TAKE_TIMEOUT_SECONDS = 0.25
# Time during which a member that did not answer is skipped: within this time
# heartbeat datagrams show whether the member is alive.
UNREACHABLE_BACKOFF_SECONDS = 0.5
# Validity of a grant: a request that is sent later needs a new one.
GRANT_TTL_SECONDS = 1.0
# Time for which a request is retried while no member accepts to be the owner:
# two daemons may disagree for a moment on which member owns the limit.
OWNER_WAIT_SECONDS = 0.25
# The same time for a daemon that is starting, that is during the first two
# periods of this length: after a failure of all daemons, callers return before
# the daemons have discovered each other.
STARTUP_OWNER_WAIT_SECONDS = 1.0
# Interval between these retries.
RETRY_INTERVAL_SECONDS = 0.1
# Interval of checks whether the owner of a rate has changed while requests wait
# in its line.
OWNER_CHECK_INTERVAL_SECONDS = 0.25
# Timeout for giving a unit back: one datagram, without waiting for it to be
# sent again.
GIVE_BACK_TIMEOUT_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unit:
  """A unit of a team's rate for one request.

  `granted_at` is on the monotonic clock; the unit is valid for
  GRANT_TTL_SECONDS.  `id` is empty if the team has no limit.  `granted_by` is
  the address of the daemon that granted it.
  """

  granted_at: float
  team: str = ''
  id: str = ''
  granted_by: str = ''


class RateLimitClient:
  """Client for the owners of the teams' rate limits."""

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    local: rate_owner.RateOwner,
    messenger: peers.Messenger,
  ) -> None:
    self._members = members
    self._local = local
    self._links = messenger
    self._unreachable_until: dict[str, float] = {}
    self._started_at = time.monotonic()
    # Units are numbered after a random prefix, so that those of a restarted
    # process differ from those of its previous run.
    self._id_prefix = secrets.token_hex(4)
    self._numbers = itertools.count()
    self._return_tasks: set[asyncio.Task[None]] = set()

  async def take(
    self,
    request: exchange.Request,
    granted: authorization.Grant,
    *,
    deadline: float,
    work_seconds: float = 0.0,
  ) -> Unit:
    """Waits until a request may be sent; returns its unit of the rate.

    `deadline` is on the monotonic clock, and `work_seconds` the time that the
    request needs once it is sent.  Returns at once if the team has no limit.
    Raises `rate_exceeded` if its unit would come too late to answer the request
    in time, as soon as that is known, `isolated` if no other daemon is alive
    although this domain has others, and `owner_unavailable` if no member
    decides in time.
    """
    ask = self._make_message(request, granted)
    if ask is None:
      return Unit(granted_at=time.monotonic())
    if self._members.is_isolated and not self._is_starting:
      raise errors.WoadrunError(
        errors.Code.ISOLATED,
        'No other daemon is reachable; another one may own the rate limit.',
        retry_after=retry_after.estimate_outage(
          self._members.get_isolation_seconds()
        ),
      )
    decision = await self._ask_until_decided(
      ask, deadline, work_seconds=work_seconds
    )
    unit = Unit(
      granted_at=time.monotonic() + decision.wait,
      team=ask.team,
      id=ask.id,
      granted_by=decision.granted_by,
    )
    is_in_time = unit.granted_at < deadline
    if decision.is_granted and not is_in_time:
      self.give_back(unit)
    if not decision.is_granted or not is_in_time:
      raise errors.WoadrunError(
        errors.Code.RATE_EXCEEDED,
        f'Team {ask.team} exceeds its limit of {ask.per_second:g} requests/s.',
        retry_after=max(decision.retry_after, decision.wait),
      )
    if decision.wait:
      try:
        await asyncio.sleep(decision.wait)
      except asyncio.CancelledError:
        self.give_back(unit)
        raise
    return dataclasses.replace(unit, granted_at=time.monotonic())

  async def renew(
    self,
    unit: Unit,
    request: exchange.Request,
    granted: authorization.Grant,
    *,
    deadline: float,
    work_seconds: float = 0.0,
  ) -> Unit:
    """Returns the unit of a request, or a new one if it has expired.

    `unit` is the result of `take`, whose errors this raises as well.
    """
    if time.monotonic() - unit.granted_at <= GRANT_TTL_SECONDS:
      return unit
    self.give_back(unit)
    return await self.take(
      request, granted, deadline=deadline, work_seconds=work_seconds
    )

  def give_back(self, unit: Unit) -> None:
    """Gives a unit back whose request was not sent.

    The message is sent in the background; nothing is done if it is lost.
    """
    if not unit.id or not unit.granted_by:
      return
    task = asyncio.ensure_future(self._send_return(unit))
    self._return_tasks.add(task)
    task.add_done_callback(self._return_tasks.discard)

  async def _send_return(self, unit: Unit) -> None:
    message = rate_messages.ReturnUnit(team=unit.team, id=unit.id)
    if unit.granted_by == self._members.me.address:
      await self._local.give_back(message)
      return
    try:
      await self._links.post(
        unit.granted_by,
        'rate/return',
        message,
        type=rate_messages.UnitReturned,
        timeout=GIVE_BACK_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info('A unit of %s is not given back: %s', unit.team, error.message)

  async def _ask_until_decided(
    self,
    ask: rate_messages.AcquireRate,
    deadline: float,
    *,
    work_seconds: float = 0.0,
  ) -> rate_messages.RateDecision:
    """Returns the decision on a request once it has no place in a line."""
    asked_at = time.monotonic()
    placed_by = ''
    try:
      while True:
        seconds_left = exchange.get_seconds_left(deadline)
        owner = rate_owner.find_rate_owner(self._members, ask.team)
        decision = await self._ask_with_retries(
          msgspec.structs.replace(
            ask,
            max_wait=max(0.0, seconds_left - work_seconds),
            held=time.monotonic() - asked_at,
          ),
          deadline,
        )
        if placed_by != decision.granted_by:
          self._leave_line(ask, placed_by)
        if not decision.has_place:
          return decision
        placed_by = decision.granted_by
        await self._wait_in_line(ask.team, owner, decision.wait)
    except BaseException:
      self._leave_line(ask, placed_by)
      raise

  def _leave_line(self, ask: rate_messages.AcquireRate, placed_by: str) -> None:
    """Gives the place of a request back, if a daemon has given it one."""
    self.give_back(
      Unit(
        granted_at=time.monotonic(),
        team=ask.team,
        id=ask.id,
        granted_by=placed_by,
      )
    )

  async def _wait_in_line(
    self, team: str, owner: fleet_heartbeats.Member | None, wait: float
  ) -> None:
    """Waits for a part of the time until a turn, or until the owner changes.

    Requests ahead may leave, so that the turn may come earlier than told.
    """
    until = time.monotonic() + max(RETRY_INTERVAL_SECONDS, wait / 2)
    while (left := until - time.monotonic()) > 0:
      await asyncio.sleep(min(left, OWNER_CHECK_INTERVAL_SECONDS))
      if rate_owner.find_rate_owner(self._members, team) != owner:
        return

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
            retry_after=retry_after.OUTAGE_CHECK_SECONDS,
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

  def _make_message(
    self, request: exchange.Request, granted: authorization.Grant
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
      id=f'{self._id_prefix}{next(self._numbers):x}',
      seconds_left=_get_seconds_left(turn, granted.route),
    )

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
    except asyncio.CancelledError:
      # The request has ended, and the member may grant its unit all the same.
      self._leave_line(ask, member.address)
      raise


def _get_seconds_left(
  turn: exchange.TurnInfo | None, route: routes.Route
) -> float | None:
  """Returns the time until a turn's program should end, None if unknown."""
  if (
    turn is None
    or turn.finish_at is None
    or route.kind is not routes.Kind.STREAM
    # An infinite time would stay in the team's learned demand.
    or not math.isfinite(turn.finish_at)
  ):
    return None
  return exchange.get_seconds_left(turn.finish_at)
