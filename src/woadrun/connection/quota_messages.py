"""Messages between daemons about the rates of teams.

Each is the body of a POST to `/peer/...`, as msgpack; the answer is named
beside the message.
"""

from __future__ import annotations

import msgspec


class TakeUnit(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """Asks the keeper of a team's rate for one request; answered by `Unit`.

  `version` is that of the routing table with `per_second` and `burst`.  The
  request belongs to `program`, if to any, and with `begins` may begin it;
  `kind` names its route and `priority` is that of the route.  With `is_alone`
  the keeper of all domains cannot be reached, and the receiver has its own
  domain's share.
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


class Unit(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """Whether the request may be sent, after `wait`, else when to ask again.

  Both are in seconds.
  """

  is_granted: bool
  wait: float = 0.0
  retry_after: float = 0.0
