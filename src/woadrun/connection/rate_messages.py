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


class RateDecision(
  msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
  """Tells whether the request is admitted.

  An admitted request may be sent after `wait` seconds; a refused one may be
  retried after `retry_after` seconds.
  """

  is_granted: bool
  wait: float = 0.0
  retry_after: float = 0.0
