"""Choice of an upstream for a call.

An upstream is a server that runs calls; a model's upstream is an engine.  A
program is a sequence of calls whose prompts share a prefix.  A call is sent to
the engine that has its program's prefix cached, unless the expected wait there
exceeds the cost of recomputing the prefix elsewhere.
"""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import math

# Extra cost of a call in another failure domain: the network latency, and the
# risk that the cache there is unreachable during a network partition.
REMOTE_DOMAIN_COST_SECONDS = 0.05
# At most this many upstreams are compared for one call, besides the holder of
# its prefix, so that the cost of a choice does not grow with their number.
MAX_COMPARED = 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Candidate:
  """The state of one upstream that the choice depends on.

  `slots` is the number of calls that the upstream runs concurrently.  `running`
  and `waiting` are the numbers of calls running and queued there, including
  calls of this daemon that the upstream's last load report does not count yet.
  `seconds` is the expected duration of one call there, usually learned from the
  outcomes of earlier calls, so it grows if the upstream is slow.  `cached` is
  the number of tokens of the call's prompt in the upstream's cache.  `is_near`
  tells whether the upstream is in the failure domain of this daemon.
  `batch_delay` is the time in seconds by which each running call prolongs each
  other call, if the upstream processes its calls in one batch, and otherwise 0.
  `risk` is the expected time lost by failures of the upstream, in seconds.
  `slowness` multiplies the time in which the upstream processes prompt tokens;
  `seconds` and `batch_delay` include it.
  """

  name: str
  slots: int
  running: int
  waiting: int
  seconds: float
  cached: int = 0
  is_near: bool = True
  batch_delay: float = 0.0
  risk: float = 0.0
  slowness: float = 1.0


def estimate_wait(candidate: Candidate) -> float:
  """Returns the estimated queueing delay of a call, in seconds.

  The delay is infinite for an upstream without slots.
  """
  if candidate.slots <= 0:
    return math.inf
  ahead = candidate.running + candidate.waiting + 1 - candidate.slots
  if ahead <= 0:
    return 0.0
  return ahead / candidate.slots * candidate.seconds


def estimate_seconds(
  candidate: Candidate, *, prompt: int, prefill_rate: float
) -> float:
  """Returns the estimated cost of a call at one upstream, in seconds.

  The cost is the time until the call ends, the costs of another domain and of
  failures, and, for an engine that batches its calls, the delay of the other
  calls: such an engine interleaves the prefill of uncached tokens with the
  decoding of running calls, so the prefill delays each of these as much as the
  call itself.  `prompt` is in tokens, `prefill_rate` in tokens per second.
  """
  uncached = max(0, prompt - candidate.cached)
  recompute = candidate.slowness * uncached / prefill_rate
  if candidate.batch_delay:
    recompute *= 1 + candidate.running
  remote_cost = 0.0 if candidate.is_near else REMOTE_DOMAIN_COST_SECONDS
  shared = candidate.running * candidate.batch_delay
  service = recompute + candidate.seconds + shared
  return estimate_wait(candidate) + service + remote_cost + candidate.risk


def choose(
  candidates: Sequence[Candidate], *, prompt: int, prefill_rate: float
) -> Candidate | None:
  """Returns the upstream with the lowest estimated cost.

  Ties go to the upstream with fewer calls, then to the lower name.  Returns
  None if no candidate has a slot, busy or free.
  """
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


def select_candidates(
  names: Sequence[str], holder: str, rotation: int
) -> list[str]:
  """Returns the names of the upstreams to compare for one call.

  These are all names if there are at most `MAX_COMPARED`.  Otherwise they are
  `MAX_COMPARED` consecutive names, beginning again at the first after the last,
  and also `holder`, which has the call's prefix cached, if it is in `names`.
  `rotation` is a counter; each increment moves on by `MAX_COMPARED` names,
  which spreads the calls over the upstreams.
  """
  if len(names) <= MAX_COMPARED:
    return list(names)
  first = rotation * MAX_COMPARED % len(names)
  doubled = (*names, *names)
  found = list(doubled[first : first + MAX_COMPARED])
  return found if holder in found or holder not in names else [holder, *found]
