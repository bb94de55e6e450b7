"""Random sampling of candidate upstreams ("power of two choices").

Load pattern: hundreds of daemons place short calls on a few dozen upstreams of
a few slots each, using load counts that are a quarter of a second old.  If each
daemon chose the least loaded upstream, all daemons would choose the same one
until the counts were updated, and calls would queue there while other upstreams
were idle.  Each daemon instead takes the better of two random upstreams, one in
its own failure domain and one in any domain, which spreads the calls.  More
samples would approximate the least loaded upstream and bring the herding back.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import itertools
from typing import TypeVar

T = TypeVar('T')

# Number of random draws in search of an eligible upstream before a linear scan:
# that many misses in a row mean that few upstreams are eligible.
MAX_DRAWS = 8


def draw(
  near: Sequence[T],
  everywhere: Sequence[T],
  *,
  is_fit: Callable[[T], bool],
  pick: Callable[[Sequence[T]], T],
) -> list[T]:
  """Returns up to two different eligible upstreams, drawn at random.

  The first is from `near`, the second from `everywhere`.  `is_fit` tells
  whether an upstream is eligible; `pick` returns a random element of a
  sequence.  The run time does not grow with the number of upstreams while most
  of them are eligible.
  """
  first = _draw_one(near, is_fit, pick)
  second = _draw_one(
    everywhere, lambda item: item is not first and is_fit(item), pick
  )
  return [item for item in (first, second) if item is not None]


def _draw_one(
  items: Sequence[T],
  is_fit: Callable[[T], bool],
  pick: Callable[[Sequence[T]], T],
) -> T | None:
  if not items:
    return None
  drawn = (pick(items) for _ in range(MAX_DRAWS))
  return next(filter(is_fit, itertools.chain(drawn, items)), None)
