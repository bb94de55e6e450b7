"""Scheduling urgency of a turn at its engine."""

from __future__ import annotations

# Added to the priority of each turn of a program that has missed its finish
# time, so that all turns of programs in time are scheduled first.  Operators'
# priorities still apply among the programs in time and among the late ones.
LATE_PENALTY = 4
# Number of distinct route priorities within one team.
ROUTE_PRIORITY_LEVELS = 2


def combine(team: int, route: int) -> int:
  """Returns a priority ordered by that of the team, then that of the route."""
  return team * ROUTE_PRIORITY_LEVELS + min(route, ROUTE_PRIORITY_LEVELS - 1)


def get_urgency(priority: int, *, finish: float | None, now: float) -> int:
  """Returns the urgency of a turn, 0 for the most urgent.

  `priority` is that of the turn's route and team.  `finish` is the time at
  which its program should end, on the same clock as `now`, or None if it has no
  such time.
  """
  if finish is None or now < finish:
    return priority
  return priority + LATE_PENALTY
