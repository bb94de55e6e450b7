"""How urgent a turn is at its engine."""

from __future__ import annotations

# What a turn of a program that cannot be in time any more is put behind, in
# steps of urgency: all turns of programs that still can go first.  Operators'
# priorities stay in force among those in time, and among those late.
LATE_STEPS = 4
# Priorities of routes that are told apart within one team.
ROUTE_STEPS = 2


def combine(team: int, route: int) -> int:
  """Returns a priority: that of the team first, that of the route next."""
  return team * ROUTE_STEPS + min(route, ROUTE_STEPS - 1)


def get_urgency(priority: int, *, finish: float | None, now: float) -> int:
  """Returns the urgency of a turn, 0 for the most urgent.

  `priority` is its route's, `finish` when its program should end, on the same
  clock as `now`, None where nobody said.
  """
  if finish is None or now < finish:
    return priority
  return priority + LATE_STEPS
