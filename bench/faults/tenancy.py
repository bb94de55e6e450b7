"""Teams of a fleet's callers: their keys and rate limits over time."""

from __future__ import annotations

import bisect
import dataclasses
import math
import random
from typing import Any

# Initial rate limit of the limited team, and the limits that a fault may set,
# in requests per second.
INITIAL_RATE = 12.0
RATE_CHOICES = (1.0, 3.0, 12.0)
LIMITED_TEAM = 'green'
TEAM_NAMES = ('red', 'blue', LIMITED_TEAM)
# Relative numbers of programs that the teams begin.
PROGRAM_WEIGHTS = (3, 2, 1)
# How long a revoked key may still be accepted in fleets that bound this time;
# less than most faults last.
REVOCATION_SECONDS = 2.0
# The window in which a team's requests are counted, and by how much they may
# exceed the team's limit during faults.
WINDOW_SECONDS = 5.0
EXCESS_SHARE, EXCESS_REQUESTS = 0.1, 20
# Time after which all daemons must have applied a lowered limit.
APPLY_TIMEOUT_SECONDS = 3.0


@dataclasses.dataclass(kw_only=True)
class Key:
  """An API key; `holders` are all teams that ever had it, in order.

  The last holder has the key until `revoked_at`, which is infinite while the
  key is valid.
  """

  secret: str
  holders: list[str]
  added_at: float = -math.inf
  revoked_at: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
  """A rate limit in requests per second, and when it was set."""

  since: float
  rate: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
  """A request that an instance ran; both times are on the monotonic clock.

  A window counts the requests that are sent and arrive at their instance in it.
  """

  sent_at: float
  arrived_at: float


class Tenancy:
  """The teams in the operator's table, with their past keys and limits.

  `runs` are the requests of the limited team that an instance ran.
  """

  def __init__(self, *, rng: random.Random) -> None:
    self._rng = rng
    self.version = 1
    self.keys = [Key(secret=f'{name}-1', holders=[name]) for name in TEAM_NAMES]
    self.limits = [Limit(since=-math.inf, rate=INITIAL_RATE)]
    self.runs: list[Run] = []

  def list_teams(self) -> list[dict[str, Any]]:
    """Returns the teams as rows of the operator's configuration."""
    return [
      {
        'name': name,
        'api_keys': [key.secret for key in self._find_keys(name)],
        **(self._make_limit_fields() if name == LIMITED_TEAM else {}),
      }
      for name in TEAM_NAMES
    ]

  def _make_limit_fields(self) -> dict[str, float]:
    rate = self.limits[-1].rate
    return {'rate_per_s': rate, 'burst': rate}

  def _find_keys(self, team: str) -> list[Key]:
    return [
      key
      for key in self.keys
      if key.holders[-1] == team and key.revoked_at == math.inf
    ]

  def get_key(self, team: str) -> Key:
    """Returns a valid key of a team."""
    return self._find_keys(team)[0]

  def draw_revoked_key(self) -> Key | None:
    """Returns a random revoked key, or None if no key was revoked."""
    revoked = [key for key in self.keys if key.revoked_at < math.inf]
    return self._rng.choice(revoked) if revoked else None

  # --- Changes by the operator ----------------------------------------------

  def replace_key(self, team: str, now: float) -> None:
    """Revokes a team's key and adds a new one."""
    self.version += 1
    self.get_key(team).revoked_at = now
    secret = f'{team}-{self.version}'
    self.keys.append(Key(secret=secret, holders=[team], added_at=now))

  def swap_keys(self, one: str, other: str) -> None:
    """Swaps the keys of two teams."""
    self.version += 1
    first, second = self.get_key(one), self.get_key(other)
    first.holders.append(other)
    second.holders.append(one)

  def set_rate(self, rate: float, now: float) -> None:
    """Changes the limit of the limited team."""
    self.version += 1
    self.limits.append(Limit(since=now, rate=rate))

  # --- Invariants -----------------------------------------------------------

  def find_excess(self) -> str:
    """Returns how the limited team exceeded its limit, or an empty string."""
    runs = sorted(self.runs, key=lambda run: run.arrived_at)
    # Those that arrived until the end of the window, by the time of sending.
    sent_at: list[float] = []
    for run in runs:
      at = run.arrived_at
      bisect.insort(sent_at, run.sent_at)
      first = bisect.bisect_right(sent_at, at - WINDOW_SECONDS)
      count = len(sent_at) - first
      allowed = self._get_allowed(at)
      if count > allowed:
        return f'{count} requests until {at:.2f} s, {allowed:.0f} allowed'
    return ''

  def _get_allowed(self, at: float) -> float:
    """Returns how many requests are allowed in the window that ends at `at`."""
    since = at - 2 * WINDOW_SECONDS - APPLY_TIMEOUT_SECONDS
    until = [limit.since for limit in self.limits[1:]] + [math.inf]
    rate = max(
      limit.rate
      for limit, end in zip(self.limits, until, strict=True)
      if end >= since and limit.since <= at
    )
    allowed = rate * WINDOW_SECONDS + rate
    return allowed * (1 + EXCESS_SHARE) + EXCESS_REQUESTS
