"""The scheduling policies that an experiment compares.

They are the product, variants of the product with one rule changed, a naive
baseline, and a bound that knows the remaining work of each program.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from woadrun.decisions import queue
from woadrun.decisions import routing

# The policy `pause-drop` drops the cached prefix in pauses longer than this.
DROP_THRESHOLD_SECONDS = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class View:
  """What a daemon knows of an engine when it places a call.

  `prompt` is the size of the call's prompt in tokens, `prefill_rate` in
  tokens per second.
  """

  candidate: routing.Candidate
  prompt: int
  prefill_rate: float


Choose = Callable[[Sequence[View], int], int | None]
Queue = queue.FairQueue | queue.ArrivalQueue | queue.ShortestQueue


@dataclasses.dataclass(frozen=True, kw_only=True)
class Policy:
  """The rules by which calls are placed, queued and refused.

  `get_attained` maps a program's attained and remaining service to the value
  by which the queue orders its calls; `drops_at_pause` receives the length of
  a pause in seconds and returns whether to drop the cached prefix.
  `drops_at_end` and `drops_on_move` state whether the prefix is dropped when
  its program ends or moves to another engine.  `refuses` enables early
  refusal of programs without attained service; `refuses_all` extends it to
  the calls of all programs.
  """

  name: str
  choose: Choose
  make_queue: Callable[[], Queue]
  get_attained: Callable[[float, float], float]
  drops_at_pause: Callable[[float], bool]
  drops_at_end: bool
  drops_on_move: bool
  refuses: bool
  refuses_all: bool = False


# --- Choosing an engine -----------------------------------------------------


def choose_by_time(views: Sequence[View], call_number: int) -> int | None:
  """Returns the index of the engine with the shortest expected time."""
  found = routing.choose(
    [view.candidate for view in views],
    prompt=views[0].prompt,
    prefill_rate=views[0].prefill_rate,
  )
  return int(found.name) if found else None


def choose_ignoring_cache(
  views: Sequence[View], call_number: int
) -> int | None:
  """Returns the index of the fastest engine, ignoring cached prefixes."""
  uncached = [
    dataclasses.replace(v, candidate=dataclasses.replace(v.candidate, cached=0))
    for v in views
  ]
  return choose_by_time(uncached, call_number)


def choose_round_robin(views: Sequence[View], call_number: int) -> int | None:
  """Returns the index of the next engine in turn, whatever its state."""
  return call_number % len(views)


# --- The policies -----------------------------------------------------------


def _use_attained(attained: float, remaining: float) -> float:
  return attained


def _ignore_attained(attained: float, remaining: float) -> float:
  return 0.0


def _use_remaining(attained: float, remaining: float) -> float:
  return remaining


def _never_drop(seconds: float) -> bool:
  return False


def _is_long_pause(seconds: float) -> bool:
  return seconds > DROP_THRESHOLD_SECONDS


PRODUCT = Policy(
  name='woadrun',
  choose=choose_by_time,
  make_queue=queue.FairQueue,
  get_attained=_use_attained,
  drops_at_pause=_never_drop,
  drops_at_end=True,
  drops_on_move=True,
  refuses=True,
)
NAIVE = Policy(
  name='naive',
  choose=choose_round_robin,
  make_queue=queue.ArrivalQueue,
  get_attained=_ignore_attained,
  drops_at_pause=_never_drop,
  drops_at_end=False,
  drops_on_move=False,
  refuses=False,
)

POLICY_BY_NAME = {
  policy.name: policy
  for policy in (
    PRODUCT,
    NAIVE,
    dataclasses.replace(PRODUCT, name='bound', get_attained=_use_remaining),
    dataclasses.replace(
      PRODUCT, name='no-attained', get_attained=_ignore_attained
    ),
    dataclasses.replace(
      PRODUCT, name='no-shares', make_queue=queue.ArrivalQueue
    ),
    dataclasses.replace(
      PRODUCT, name='no-prefix', choose=choose_ignoring_cache
    ),
    dataclasses.replace(PRODUCT, name='no-drop', drops_at_end=False),
    dataclasses.replace(PRODUCT, name='no-move-drop', drops_on_move=False),
    dataclasses.replace(PRODUCT, name='no-refusal', refuses=False),
    dataclasses.replace(PRODUCT, name='refuse-all', refuses_all=True),
    dataclasses.replace(
      PRODUCT, name='pause-drop', drops_at_pause=_is_long_pause
    ),
  )
}
