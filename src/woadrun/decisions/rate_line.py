"""The line of requests that wait for units of a team's rate.

A request that cannot have its unit yet gets a place if its turn comes within
the time of its caller, and is refused at once otherwise.  Places are ordered by
arrival, so a later request never delays an earlier one.  A place is not a unit:
a unit is granted only shortly before the turn, because the next owner of the
rate does not know of it.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
import dataclasses
import heapq

from woadrun.decisions import rate_limit


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
  """The place of one request.

  `arrived_at` is when the request asked first, `expires_at` when its caller can
  wait no longer; both are in seconds.  `program` may be empty.
  """

  id: str
  arrived_at: float
  expires_at: float
  program: str = ''


class RateLine:
  """The places of one team, ordered by arrival."""

  def __init__(self) -> None:
    self._keys: list[tuple[float, str]] = []
    self._place_by_id: dict[str, Place] = {}

  def __len__(self) -> int:
    return len(self._keys)

  def __contains__(self, id: object) -> bool:
    return id in self._place_by_id

  def get_turn(self, place: Place, *, level: float, rate: float) -> float:
    """Returns the seconds until the turn of a place, which may be a new one.

    `level` is the number of available units, negative if units were granted in
    advance; `rate` is in units per second.
    """
    ahead = bisect.bisect_left(self._keys, _get_key(place))
    return max(0.0, ahead + 1.0 - level) / rate

  def find(self, id: str) -> Place | None:
    """Returns the place of a request, None if it has none."""
    return self._place_by_id.get(id)

  def join(self, place: Place) -> None:
    """Adds a place behind all that arrived earlier."""
    bisect.insort(self._keys, _get_key(place))
    self._place_by_id[place.id] = place

  def leave(self, id: str) -> Place | None:
    """Removes the place of a request and returns it, None if it has none."""
    place = self._place_by_id.pop(id, None)
    if place is not None:
      del self._keys[bisect.bisect_left(self._keys, _get_key(place))]
    return place

  def find_expired(self, now: float) -> list[str]:
    """Returns the requests whose callers can wait no longer."""
    return [
      id for id, place in self._place_by_id.items() if place.expires_at < now
    ]

  def get_first(self) -> Place | None:
    """Returns the first place, None if there is none."""
    return self._place_by_id[self._keys[0][1]] if self._keys else None


def take_due(
  line: RateLine, bucket: rate_limit.BucketState, *, rate: float, now: float
) -> Iterator[tuple[Place, float | None]]:
  """Takes units for the places whose turn comes soon; yields these with waits.

  Units are taken at most `rate_limit.MAX_ADVANCE_SECONDS` in advance.  `now` is
  the time up to which `bucket` was refilled.  A place whose caller cannot wait
  any longer gets no unit; it is yielded with None.
  """
  while (place := line.get_first()) is not None:
    wait = rate_limit.get_wait(bucket, rate=rate)
    if wait > rate_limit.MAX_ADVANCE_SECONDS:
      return
    line.leave(place.id)
    if now + wait > place.expires_at:
      yield place, None
      continue
    bucket.level -= 1.0
    yield place, wait


class ReturnTimes:
  """Tells refused requests when to return, each at a time of its own.

  Callers that are told the same time would return together, and all but one
  would be refused again.  A refused request counts as long as its caller's time
  lasts.
  """

  def __init__(self) -> None:
    self._expires_by_key: dict[str, float] = {}
    self._expiries: list[tuple[float, str]] = []

  def __len__(self) -> int:
    return len(self._expires_by_key)

  def assign(
    self, key: str, *, wait: float, rate: float, expires_at: float, now: float
  ) -> float:
    """Returns the seconds after which a refused request should return.

    `key` is the same for all tries of a request, and `wait` the time in seconds
    until the turn of a request that arrives now.
    """
    self.forget(key)
    self._expire(now)
    delay = wait + len(self._expires_by_key) / rate
    self._expires_by_key[key] = expires_at
    heapq.heappush(self._expiries, (expires_at, key))
    return delay

  def forget(self, key: str) -> None:
    """Forgets a request that has returned."""
    self._expires_by_key.pop(key, None)

  def _expire(self, now: float) -> None:
    while self._expiries and self._expiries[0][0] <= now:
      expires_at, key = heapq.heappop(self._expiries)
      if self._expires_by_key.get(key) == expires_at:
        del self._expires_by_key[key]


def _get_key(place: Place) -> tuple[float, str]:
  return place.arrived_at, place.id
