"""The attempts of one request, and which report of one is news.

An instance is identified by its incarnation; a claim, which stands for an
instance until one is chosen, by an id of its own.  All times are on the
monotonic clock.
"""

from __future__ import annotations

import dataclasses
import math

from woadrun.connection import attempt_reports
from woadrun.decisions import crash_limit

# Reports are at most this much older than their age says.
REPORT_DELAY_SECONDS = 0.2

State = attempt_reports.State

# States that are no reason to keep a record.
HARMLESS_STATES = frozenset(
  (State.NOT_RUN, State.ABANDONED, State.SURVIVED, State.COMPLETE)
)
# The order of states: of two reports on an attempt the later state is newer.
STATE_ORDER = (
  State.RUNNING,
  State.NOT_RUN,
  State.LOST,
  State.ABANDONED,
  State.ENDED,
  State.SURVIVED,
  State.COMPLETE,
)
# States of attempts that bytes of their instance show to have survived.
DOUBTED_STATES = (State.LOST, State.ABANDONED)
# States of attempts whose instance may end or may have ended.
OPEN_STATES = crash_limit.HOLDING_STATES - {State.ENDED}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Attempt:
  """The state of an attempt since the time `at`.

  `domains` are the failure domains that are known to know of the attempt.
  """

  state: State
  at: float
  domains: frozenset[str] = frozenset()

  def report(
    self, fingerprint: str, incarnation_id: str, now: float
  ) -> attempt_reports.AttemptReport:
    """Returns a report of the state at a time."""
    return attempt_reports.AttemptReport(
      fingerprint, incarnation_id, self.state, round(now - self.at, 3)
    )


class Index(dict[str, set[str]]):
  """Sets of values by key; a key without values has no entry."""

  def add(self, key: str, value: str) -> None:
    """Adds a value of a key."""
    self.setdefault(key, set()).add(value)

  def take(self, key: str, value: str) -> None:
    """Removes a value of a key, if it is there."""
    found = self.get(key, set())
    found.discard(value)
    if not found:
      self.pop(key, None)

  def list_pairs(self) -> list[tuple[str, str]]:
    """Returns all pairs of a key and a value."""
    return [(key, value) for key, found in self.items() for value in found]


@dataclasses.dataclass(kw_only=True)
class Record:
  """The attempts of a request by instance; `complete_at` is the last success.

  Attempts before the last success, which was at `complete_id`, are not kept.
  `is_refused` is set once enough instances ended, `is_shared` once another
  daemon has a record too.
  """

  attempt_by_instance: dict[str, Attempt] = dataclasses.field(
    default_factory=dict
  )
  complete_at: float = -math.inf
  complete_id: str = ''
  is_refused: bool = False
  is_shared: bool = False

  def find(self, *states: State, since: float = -math.inf) -> list[str]:
    """Returns the instances whose attempt entered a state since a time."""
    return [
      id
      for id, attempt in self.attempt_by_instance.items()
      if attempt.state in states and attempt.at >= since
    ]

  def find_holders(self) -> list[str]:
    """Returns the instances that hold a place."""
    return self.find(*crash_limit.HOLDING_STATES)

  def count_ended_and_held(self) -> tuple[int, int]:
    """Returns how many instances ended, and how many hold a place."""
    return len(self.find(State.ENDED)), len(self.find_holders())


def is_claim(incarnation_id: str) -> bool:
  """Returns whether an id is that of a claim, not of an instance."""
  return incarnation_id.startswith('claim ')


def is_news(
  record: Record, report: attempt_reports.AttemptReport, at: float
) -> bool:
  """Returns whether a report is newer than what a record has.

  Times of reports differ by their delay, so that a report about the same
  attempt is newer by its state.
  """
  if at <= record.complete_at + REPORT_DELAY_SECONDS:
    return False
  if report.state is State.COMPLETE:
    return True
  known = record.attempt_by_instance.get(report.incarnation_id)
  if known is None:
    return True
  if known.state is report.state:
    # Delays add up on the way, so that a repeated report can look newer.
    return False
  if known.state is State.ENDED:
    # A daemon that does not know of the end may try the instance again.
    return report.state is State.SURVIVED
  if report.state is State.NOT_RUN:
    return known.state is State.RUNNING
  if is_claim(report.incarnation_id):
    # A claim that was given back is not made again.
    return False
  if known.state is State.NOT_RUN and report.state is State.RUNNING:
    return at > known.at
  is_later = STATE_ORDER.index(report.state) > STATE_ORDER.index(known.state)
  return is_later or at > known.at + REPORT_DELAY_SECONDS
