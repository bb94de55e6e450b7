"""Teams of a fleet's callers: their keys and rates, and what became of them."""

from __future__ import annotations

import dataclasses
import math
import random
from typing import Any

# Requests a second of the team that has a limit, and those that it may have.
RATE = 12.0
RATES = (1.0, 3.0, 12.0)
LIMITED = 'green'
NAMES = ('red', 'blue', LIMITED)
# How many programs they begin, relative to each other.
WEIGHTS = (3, 2, 1)
# A key may be used for so long after it was revoked, in seconds, in fleets that
# bound it: less than most faults last.
REVOCATION_SECONDS = 2.0
# The window in which a team's requests are counted, in seconds, and by how much
# they may exceed its limit while something fails.
WINDOW_SECONDS = 5.0
OVER_SHARE, OVER_REQUESTS = 0.1, 20
# A lower limit is in force everywhere so long after its change, in seconds.
APPLY_SECONDS = 3.0


@dataclasses.dataclass(kw_only=True)
class Key:
  """A key; `holders` are all teams that ever had it, the last one has it now.

  `revoked_at` is infinite while a team has it.
  """

  secret: str
  holders: list[str]
  added_at: float = -math.inf
  revoked_at: float = math.inf


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
  """A limit from a moment on."""

  since: float
  rate: float


class Tenancy:
  """The teams as the operator's table has them, and as it had them."""

  def __init__(self, *, dice: random.Random) -> None:
    self._dice = dice
    self.version = 1
    self.keys = [Key(secret=f'{name}-1', holders=[name]) for name in NAMES]
    self.limits = [Limit(since=-math.inf, rate=RATE)]
    self.ran_at: list[float] = []

  def list_teams(self) -> list[dict[str, Any]]:
    """Returns the teams as the operator writes them."""
    return [
      {
        'name': name,
        'api_keys': [key.secret for key in self._find_keys(name)],
        **(self._list_limit() if name == LIMITED else {}),
      }
      for name in NAMES
    ]

  def _list_limit(self) -> dict[str, float]:
    rate = self.limits[-1].rate
    return {'rate_per_s': rate, 'burst': rate}

  def _find_keys(self, team: str) -> list[Key]:
    return [
      key
      for key in self.keys
      if key.holders[-1] == team and key.revoked_at == math.inf
    ]

  def get_key(self, team: str) -> Key:
    """Returns a key that a team has."""
    return self._find_keys(team)[0]

  def draw_old_key(self) -> Key | None:
    """Returns a key that was revoked, if any was."""
    old = [key for key in self.keys if key.revoked_at < math.inf]
    return self._dice.choice(old) if old else None

  # --- Changes by the operator ----------------------------------------------

  def replace_key(self, team: str, now: float) -> None:
    """Takes a team's key away and gives it another one."""
    self.version += 1
    self.get_key(team).revoked_at = now
    secret = f'{team}-{self.version}'
    self.keys.append(Key(secret=secret, holders=[team], added_at=now))

  def swap_keys(self, one: str, other: str) -> None:
    """Gives each of two teams the key of the other one."""
    self.version += 1
    first, second = self.get_key(one), self.get_key(other)
    first.holders.append(other)
    second.holders.append(one)

  def set_rate(self, rate: float, now: float) -> None:
    """Changes the limit of the team that has one."""
    self.version += 1
    self.limits.append(Limit(since=now, rate=rate))

  # --- What must hold -------------------------------------------------------

  def find_excess(self) -> str:
    """Returns by what the limited team broke its limit, empty if by nothing."""
    ran_at = sorted(self.ran_at)
    first = 0
    for last, at in enumerate(ran_at):
      while ran_at[first] <= at - WINDOW_SECONDS:
        first += 1
      count = last - first + 1
      allowed = self._get_allowed(at)
      if count > allowed:
        return f'{count} requests until {at:.2f} s, {allowed:.0f} allowed'
    return ''

  def _get_allowed(self, at: float) -> float:
    """Returns how many requests a window that ends then may have."""
    from_when = at - 2 * WINDOW_SECONDS - APPLY_SECONDS
    until = [limit.since for limit in self.limits[1:]] + [math.inf]
    rate = max(
      limit.rate
      for limit, end in zip(self.limits, until, strict=True)
      if end >= from_when and limit.since <= at
    )
    allowed = rate * WINDOW_SECONDS + rate
    return allowed * (1 + OVER_SHARE) + OVER_REQUESTS
