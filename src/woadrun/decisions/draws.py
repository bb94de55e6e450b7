"""Which upstreams a call is compared at, where many daemons choose at once.

Load pattern: hundreds of daemons place short calls on a few dozen upstreams of
a few slots each, by counts that are a quarter of a second old.  If each takes
the emptiest of all, all of them take the same one until the counts catch up,
and calls wait there while others are empty.  The better one of two that are
drawn at random, one nearby and one anywhere, spreads them.  More draws come
nearer to the emptiest of all again.
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
