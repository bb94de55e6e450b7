"""Which upstreams a call is compared at, where many daemons choose at once.

Load pattern: hundreds of daemons place short calls on a few dozen upstreams of
a few slots each, by counts that are a quarter of a second old.  If each takes
the emptiest of all, all of them take the same one until the counts catch up:
with 30 upstreams of six slots in five domains, calls of 0.25 s and half of the
slots in use, calls then wait 112 ms in the mean and 516 ms in the
95th percentile; at 0.85 in use 693 and 2,015 ms.  The better one of two that
are drawn at random, one nearby and one anywhere, leaves 9 and 65 ms, and 123
and 444 ms (a model of these queues whose callers
know counts 0.3 to 0.55 s old and nothing else).  More draws are
worse again: of two nearby and two anywhere 18 and 131 ms, 211 and 702 ms.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import itertools
from typing import TypeVar

T = TypeVar('T')

# Draws until one that is fit is found.  After that all are looked at in turn:
# so many misses in a row mean that few are fit.
MOST_DRAWS = 8


def draw(
  near: Sequence[T],
  everywhere: Sequence[T],
  *,
  is_fit: Callable[[T], bool],
  pick: Callable[[Sequence[T]], T],
) -> list[T]:
  """Returns an upstream nearby and another one anywhere, if any are fit.

  `pick` draws one of several at random.  The time that it takes does not grow
  with the number of upstreams while most are fit.
  """
  first = _draw_one(near, is_fit, pick)
  second = _draw_one(
    everywhere, lambda item: item is not first and is_fit(item), pick
  )
  return [item for item in (first, second) if item is not None]


def _draw_one(
  some: Sequence[T],
  is_fit: Callable[[T], bool],
  pick: Callable[[Sequence[T]], T],
) -> T | None:
  if not some:
    return None
  drawn = (pick(some) for _ in range(MOST_DRAWS))
  return next(filter(is_fit, itertools.chain(drawn, some)), None)
