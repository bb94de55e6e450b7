"""Which upstream a call goes to.

A call goes to the engine that holds its program's prefix, unless the
wait expected there exceeds what it costs to compute the prefix again.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import math

# What a call costs more in another failure domain, in seconds: the way
# there, and that its cache is out of reach in a cut.
DISTANCE_SECONDS = 0.05
# Upstreams compared for one call, besides the holder of its prefix.
MOST_LOOKED_AT = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
  """An upstream as the decision sees it.

  `running` and `waiting` count calls, own permits since the last report
  included.  `seconds` is the time that calls take there now, learned from
  outcomes: it grows where an upstream is slow.  `cached` is the part of
  the call's prompt that the upstream's cache holds, in tokens.  `added` is
  the time that each running call adds to another, where an upstream works
  on all of them together.  `risk` is what is expected to be lost by failures
  there, in seconds.
  """

  name: str
  slots: int
  running: int
  waiting: int
  seconds: float
  cached: int = 0
  is_near: bool = True
  added: float = 0.0
  risk: float = 0.0


def estimate_wait(candidate: Candidate) -> float:
  """Returns the seconds until a call would start there."""
  if candidate.slots <= 0:
    return math.inf
  ahead = candidate.running + candidate.waiting + 1 - candidate.slots
  if ahead <= 0:
    return 0.0
  return ahead / candidate.slots * candidate.seconds


def estimate_seconds(
  candidate: Candidate, *, prompt: int, prefill_rate: float
) -> float:
  """Returns the seconds that a call there costs, its own and others'.

  `prompt` is in tokens, `prefill_rate` in tokens a second.  What of it is
  not cached is read between the tokens of all calls that run there, and
  holds each of them up as long as the call itself.
  """
  recompute = max(0, prompt - candidate.cached) / prefill_rate
  if candidate.added:
    recompute *= 1 + candidate.running
  distance = 0.0 if candidate.is_near else DISTANCE_SECONDS
  shared = candidate.running * candidate.added
  service = recompute + candidate.seconds + shared
  return estimate_wait(candidate) + service + distance + candidate.risk


def choose(
  candidates: Sequence[Candidate], *, prompt: int, prefill_rate: float
) -> Candidate | None:
  """Returns the upstream with the shortest expected time, or None."""
  usable = [c for c in candidates if c.slots > 0]
  if not usable:
    return None
  return min(
    usable,
    key=lambda c: (
      estimate_seconds(c, prompt=prompt, prefill_rate=prefill_rate),
      c.running + c.waiting,
      c.name,
    ),
  )


def pick(names: Sequence[str], holder: str, turn: int) -> list[str]:
  """Returns which of many upstreams to look at for one call.

  The holder of the call's prefix is always among them.  The others are a
  part that moves on with `turn`, so that calls spread and a choice costs
  the same among hundreds as among a few.
  """
  if len(names) <= MOST_LOOKED_AT:
    return list(names)
  first = turn * MOST_LOOKED_AT % len(names)
  doubled = (*names, *names)
  found = list(doubled[first : first + MOST_LOOKED_AT])
  return found if holder in found or holder not in names else [holder, *found]
