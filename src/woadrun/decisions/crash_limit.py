"""Decides whether a request may run although instances may have ended under it.

A request that ends each instance that runs it would end all of them, one after
the other, since its caller sends it again.  So it has three places: each
instance that it is sent to takes one, and gives it back only by a sign of its
own.  No time gives one back.  Once the places are taken, the request runs only
at instances that hold one of them.

A place that one side of a partition takes is not known to the others, so that
each side has a share of the places that were free before.

Places are kept in the row store, which outlasts all daemons.  A daemon decides
only on what it knows to be complete: as long as it hears all others they tell
it, otherwise it reads the store.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum

# Instances that may end under one request.
MAX_ENDED_INSTANCES = 3
# Time after which a member that was not heard may not have been able to tell.
MAX_UNHEARD_SECONDS = 0.6


class State(enum.IntEnum):
  """The state of an attempt at an instance, as far as is known.

  CLAIMED: an earlier version announces an attempt by it.  RUNNING: the instance
  runs the request.  NOT_RUN: it does not run it after all.  ABANDONED: nobody
  waits for a response any more, and something accepts connections at its
  address.  LOST: the connection was lost or given up, and nothing is known of
  the instance since.  ENDED: the instance has ended.  SURVIVED: the instance
  has shown since that it lives, and may still run the request.  COMPLETE: the
  response was received completely, which settles all attempts before.
  """

  CLAIMED = -1
  RUNNING = 0
  NOT_RUN = 1
  ABANDONED = 2
  LOST = 3
  ENDED = 4
  SURVIVED = 5
  COMPLETE = 6


# States in which an instance holds a place.
HOLDING_STATES = frozenset(
  (State.RUNNING, State.ABANDONED, State.LOST, State.ENDED, State.SURVIVED)
)
# States of instances that may run the request once more at the place they hold.
USABLE_STATES = frozenset((State.ABANDONED, State.SURVIVED))


class Verdict(enum.Enum):
  """What to do with a request.

  RUN sends it to any instance, HOLDERS to one that holds a place and may run it
  once more, WAIT waits for a sign of an instance, and REFUSE refuses it.
  """

  RUN = 'run'
  HOLDERS = 'holders'
  WAIT = 'wait'
  REFUSE = 'refuse'


class Knowledge(enum.Enum):
  """What a daemon knows of the places that others have recorded.

  COMPLETE: all, but for what is under way.  STALE: maybe not all, it has to
  read the store if it can.  NONE: nothing, since it has just started.
  """

  COMPLETE = 'complete'
  STALE = 'stale'
  NONE = 'none'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Place:
  """A place that an instance holds.

  `domains` are the failure domains that are known to know of it.
  """

  state: State
  domains: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sides:
  """The failure domains in an order that all daemons agree on for a request.

  `reached` are those that answered when they were asked for the places of the
  request.  Without `domains` all are in touch.
  """

  domains: Sequence[str] = ()
  reached: Collection[str] = ()


def assess(
  *, is_loaded: bool, unheard_seconds: float, unread_seconds: float
) -> Knowledge:
  """Returns what a daemon knows of the places that others have recorded.

  `is_loaded` tells whether it has read those from before its start.
  `unheard_seconds` is the time since it heard the member that it heard least
  recently, `unread_seconds` the time since it has read the store.
  """
  if not is_loaded:
    return Knowledge.NONE
  is_current = min(unheard_seconds, unread_seconds) <= MAX_UNHEARD_SECONDS
  return Knowledge.COMPLETE if is_current else Knowledge.STALE


def is_held(state: State) -> bool:
  """Returns whether an instance holds a place after an attempt."""
  return state in HOLDING_STATES


def get_share(left: int, sides: Sides) -> int:
  """Returns how many of the places left the domains in touch may take.

  Places are dealt to the domains in turn.  The shares of the sides of a
  partition add up to `left`, and a share of fewer places is part of that of
  more, so that sides that differ in what they know do not take more together.
  """
  if not sides.domains:
    return left
  return sum(
    sides.domains[number % len(sides.domains)] in sides.reached
    for number in range(left)
  )


def has_free_place(places: Collection[Place], sides: Sides) -> bool:
  """Returns whether one more instance may take a place.

  A place that a domain may not know of counts against the share of this side.
  """
  known_to_all = sum(
    set(sides.domains) <= place.domains or not sides.domains for place in places
  )
  left = max(0, MAX_ENDED_INSTANCES - known_to_all)
  return len(places) - known_to_all < get_share(left, sides)


def is_suspect(places: Iterable[Place]) -> bool:
  """Returns whether a request ended an instance, or may have or still do.

  While all its attempts run, nothing limits it: copies of a request run side by
  side for reasons of their callers.
  """
  return any(place.state is not State.RUNNING for place in places)


def decide(places: Collection[Place], sides: Sides | None = None) -> Verdict:
  """Returns the verdict on a request whose instances hold `places`."""
  ended = sum(place.state is State.ENDED for place in places)
  if ended >= MAX_ENDED_INSTANCES:
    return Verdict.REFUSE
  if not is_suspect(places) or has_free_place(places, sides or Sides()):
    return Verdict.RUN
  if any(place.state in USABLE_STATES for place in places):
    return Verdict.HOLDERS
  return Verdict.WAIT
