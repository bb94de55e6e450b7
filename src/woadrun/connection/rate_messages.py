"""Messages between daemons about the rate limits of teams.

Each message is the msgpack body of a POST to `/peer/...`; its docstring names
the answer.
"""

from __future__ import annotations

import msgspec


class AcquireRate(
  msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
  """Asks the owner of a team's rate limit to admit one request.

  Answered by `RateDecision`, or refused with `not_owner` by a daemon that does
  not own the rate.  `version` is the version of the routing table that sets
  `per_second` and `burst`, in requests.  `program` is the program of the
  request, empty if there is none; with `begins` the request may be its first
  one.  `kind` is the name of the request's route and `priority` the priority of
  that route.  `is_alone` is set when the owner for all domains is unreachable:
  the receiver then admits requests from its own domain's share of the rate.

  `id` identifies the request: a message that is repeated takes no second unit
  and keeps the place of the first one.  `max_wait` is the time for which the
  caller can wait for its unit, and `seconds_left` the time until the program
  should end, both in seconds; None if unknown.  `held` is the time in seconds
  since the request asked first.
  """

  team: str
  version: int
  per_second: float
  burst: float
  program: str = ''
  kind: str = ''
  priority: int = 0
  begins: bool = False
  is_alone: bool = False
  id: str = ''
  max_wait: float | None = None
  seconds_left: float | None = None
  held: float = 0.0


class RateDecision(
  msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
  """Tells whether the request is admitted.

  An admitted request may be sent after `wait` seconds.  A request that has a
  place in the line gets its unit after `wait` seconds and asks again before.
  Any other request is refused and may return after `retry_after` seconds.
  `granted_by` is the address of the daemon that granted the unit or the place.
  """

  is_granted: bool
  wait: float = 0.0
  retry_after: float = 0.0
  has_place: bool = False
  granted_by: str = ''


class ReturnUnit(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """Gives a unit back whose request was not sent, or a place in the line.

  Answered by `UnitReturned`.  `id` is that of `AcquireRate`.
  """

  team: str
  id: str


class UnitReturned(
  msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
  """Tells whether a unit or a place was given back; false if it is unknown."""

  is_returned: bool


class RateStateQuery(
  msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
  """Asks the previous owner of a team's rate for the units that are left.

  Answered by `RateState`, or refused with `not_owner` by a daemon that has not
  owned the rate lately.  The receiver hands over its units.
  """

  team: str


class KindDemand(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """The learned demand of programs of one kind.

  `requests` and `seconds` are those of `program_demand.ProgramDemand`;
  `density`, `ratio` and `spread` those of `timed_programs.KindDemand`, 0 if
  unknown.
  """

  requests: float = 0.0
  seconds: float = 0.0
  density: float = 0.0
  ratio: float = 0.0
  spread: float = 0.0


class RateState(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """The units that a previous owner has left, and the learned demand by kind.

  `level` is negative if units were granted in advance.
  """

  level: float
  demand_by_kind: dict[str, KindDemand] = {}
