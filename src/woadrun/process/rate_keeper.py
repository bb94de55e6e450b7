"""The keeper's part in the rates of teams: one bucket for each team.

While all domains are in sight a team has one keeper of its whole rate.  A
domain that is out of sight may have another one: each side then keeps a share
by the number of domains that it sees, so that all sides together never grant
more than the rate.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import logging
import time

import mode

from woadrun import errors
from woadrun.connection import quota_messages
from woadrun.decisions import program_need
from woadrun.decisions import rate_limit
from woadrun.process import beats
from woadrun.process import fleet
from woadrun.process import hubs
from woadrun.process import ticks

log = logging.getLogger('woadrun.rates')

# Between two polls of the members, in seconds.
POLL_SECONDS = 0.25
# Without running for so long, in seconds, a keeper may have been replaced.
FROZEN_SECONDS = 0.9
# A domain's own share starts empty after so long without a request, in seconds.
ALONE_SECONDS = 0.5
# Grants nothing for so long after the start, in seconds: before it hears of the
# others, each daemon takes itself for the keeper.
YOUNG_SECONDS = 0.3
# A team without a request for so long is forgotten, in seconds.
IDLE_SECONDS = 30.0


@dataclasses.dataclass(kw_only=True)
class _Kept:
  """A team's bucket; `share` of the rate is this keeper's, 0 for none."""

  bucket: rate_limit.Bucket
  version: int
  per_second: float
  burst: float
  share: float
  used_at: float
  programs: program_need.Programs = dataclasses.field(
    default_factory=program_need.Programs
  )

  def accrue(self, now: float) -> None:
    """Adds what came since the last time, at the share of then."""
    rate_limit.accrue(
      self.bucket,
      rate=self.per_second * self.share,
      burst=self.burst * self.share,
      now=now,
    )


def find_keeper(members: fleet.Fleet, team: str) -> beats.Member | None:
  """Returns who keeps a team's rate, of the domains that are in sight."""
  key = f'rate/{team}'
  seen = members.domains - set(members.find_silent())
  for domain in sorted(seen, key=lambda d: hubs.weigh(d, key), reverse=True):
    ranked = members.rank(key, domain)
    if ranked:
      return ranked[0]
  return None


class RateKeeper(mode.Service):
  """Grants requests of the teams whose rates this daemon keeps.

  `is_told` returns whether this daemon has a list of all members.
  """

  def __init__(
    self, *, members: fleet.Fleet, is_told: Callable[[], bool]
  ) -> None:
    super().__init__()
    self._members = members
    self._is_told = is_told
    self._started_at = time.monotonic()
    self._kept_by_team: dict[str, _Kept] = {}
    self._alone_by_team: dict[str, _Kept] = {}
    self._polled_at = self._changed_at = time.monotonic()
    self._known: list[str] = []

  def __len__(self) -> int:
    return len(self._kept_by_team)

  async def answer(self, ask: quota_messages.TakeUnit) -> quota_messages.Unit:
    """Returns whether one request of a team may be sent.

    Raises `not_owner` where another daemon keeps the team's rate, or may.
    """
    now = time.monotonic()
    if not self._is_told() or now - self._started_at < YOUNG_SECONDS:
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER, 'This daemon does not know the others yet.'
      )
    self._poll_members(now, is_due=ask.team not in self._kept_by_team)
    kept = self._find_kept(ask, now)
    kept.used_at = now
    kept.accrue(now)
    if ask.version > kept.version:
      kept.version = ask.version
      kept.per_second, kept.burst = ask.per_second, ask.burst
      kept.accrue(now)
    refused = self._refuse_program(kept, ask) if ask.begins else None
    if refused is not None:
      return refused
    outcome = rate_limit.take(
      kept.bucket,
      rate=kept.per_second * kept.share,
      burst=kept.burst * kept.share,
      now=now,
    )
    if outcome.is_granted and ask.program:
      kept.programs.note(ask.program, ask.kind, now, wait=outcome.wait)
    return quota_messages.Unit(
      is_granted=outcome.is_granted,
      wait=outcome.wait,
      retry_after=outcome.retry_after,
    )

  def _refuse_program(
    self, kept: _Kept, ask: quota_messages.TakeUnit
  ) -> quota_messages.Unit | None:
    """Returns a refusal where the rate does not hold one more program."""
    if kept.programs.is_running(ask.program):
      return None
    rate = kept.per_second * kept.share
    excess = kept.programs.get_excess(
      ask.kind,
      level=kept.bucket.level,
      rate=rate,
      slowdown=program_need.get_slowdown(ask.priority),
    )
    if excess <= 0:
      return None
    retry_after = kept.programs.estimate_return(ask.kind, excess=excess)
    return quota_messages.Unit(is_granted=False, retry_after=retry_after)

  def _find_kept(self, ask: quota_messages.TakeUnit, now: float) -> _Kept:
    if ask.is_alone:
      share = 1.0 / max(1, len(self._members.domains))
      kept = self._get_or_make(self._alone_by_team, ask, share=share, since=now)
      self._set_share(kept, share, now)
      if now - kept.used_at > ALONE_SECONDS:
        # The keeper of all domains granted the rate in the meantime.
        kept.bucket = rate_limit.Bucket(level=0.0, at=now)
      return kept
    share = self._get_share(ask.team)
    if not share:
      raise errors.WoadrunError(
        errors.Code.NOT_OWNER, f'Another daemon keeps the rate of {ask.team}.'
      )
    since = max(self._changed_at, self._started_at + YOUNG_SECONDS)
    kept = self._get_or_make(self._kept_by_team, ask, share=share, since=since)
    self._set_share(kept, share, now)
    return kept

  def _get_or_make(
    self,
    kept_by_team: dict[str, _Kept],
    ask: quota_messages.TakeUnit,
    *,
    share: float,
    since: float,
  ) -> _Kept:
    """Returns a team's bucket.

    One that is new has what came since the members changed last: before that
    another daemon may have granted it.
    """
    kept = kept_by_team.get(ask.team)
    if kept is None:
      kept = kept_by_team[ask.team] = _Kept(
        bucket=rate_limit.Bucket(level=0.0, at=since),
        version=ask.version,
        per_second=ask.per_second,
        burst=ask.burst,
        share=share,
        used_at=since,
      )
    return kept

  def _get_share(self, team: str) -> float:
    """Returns this daemon's share of a team's rate, 0 where it has none."""
    if find_keeper(self._members, team) != self._members.me:
      return 0.0
    domains = self._members.domains
    silent = self._members.find_silent()
    return (len(domains) - len(silent)) / len(domains)

  def _set_share(self, kept: _Kept, share: float, now: float) -> None:
    if share == kept.share:
      return
    kept.accrue(now)
    if not kept.share:
      # Another daemon granted the rate in the meantime, burst included.
      kept.bucket.level = min(0.0, kept.bucket.level)
    kept.share = share

  # --- Who keeps what -------------------------------------------------------

  @mode.Service.task
  async def _poll_often(self) -> None:
    while not self.should_stop:
      now = time.monotonic()
      self._poll_members(now)
      self._forget(now)
      await ticks.sleep(POLL_SECONDS)

  def _poll_members(self, now: float, *, is_due: bool = False) -> None:
    """Takes note of changes of members, and of a time without running.

    It `is_due` before a bucket is made: the team may have moved here since the
    last poll.
    """
    if now - self._polled_at < POLL_SECONDS / 2 and not is_due:
      return
    stood_still = now - self._polled_at > FROZEN_SECONDS
    self._polled_at = now
    known = self._members.find_staying()
    if known != self._known or stood_still:
      self._known = known
      self._changed_at = now
    for team, kept in self._kept_by_team.items():
      self._set_share(kept, self._get_share(team), now)
    if stood_still:
      log.warning('This process stood still: rates begin anew.')
      self._reset_buckets(now)

  def _reset_buckets(self, now: float) -> None:
    """Drops all saved units: another keeper may have granted them."""
    for kept in (*self._kept_by_team.values(), *self._alone_by_team.values()):
      kept.bucket.level = min(0.0, kept.bucket.level)
      kept.bucket.at = now

  def _forget(self, now: float) -> None:
    for kept_by_team in (self._kept_by_team, self._alone_by_team):
      idle = [
        team
        for team, kept in kept_by_team.items()
        if now - kept.used_at > IDLE_SECONDS
      ]
      for team in idle:
        del kept_by_team[team]
      for kept in kept_by_team.values():
        kept.programs.end_idle(now)
