"""Which instances fail, learned from outcomes and from what peers tell.

Health checks may be good at an instance that fails, and bad at one that is
well, for all callers or for some.  What requests meet there tells.
"""

from __future__ import annotations

import dataclasses
import time

# A failure counts half as much after so long, in seconds: instances that go
# up and down do so in one to two seconds, others fail for some seconds.
HALF_LIFE_SECONDS = 3.0
# An answer that says "not run" costs another attempt, no request; it also
# comes from an instance that is only full.
REJECTION_WEIGHT = 0.3
FAILURE_WEIGHT = 1.0
# No more than so many failures count: an instance that is well again gets
# requests after about ten seconds.
MOST_FAILURES = 6.0
# Failures that are not worth telling, and that nobody heeds.
LEAST_FAILURES = 0.2
# A request without the head of an answer counts as failed after so many times
# what one takes as a whole at its service, and not before so many seconds.
TIMES_USUAL = 3.0
LEAST_OVERDUE_SECONDS = 1.0
# What peers told is forgotten after so long, in seconds.
TOLD_SECONDS = 1.5


@dataclasses.dataclass(kw_only=True)
class _Record:
  """Failures at one instance, as they counted at `at`."""

  failures: float = 0.0
  at: float = 0.0


class Health:
  """The failures at all instances."""

  def __init__(self) -> None:
    self._record_by_id: dict[str, _Record] = {}
    self._due_by_request: dict[object, tuple[str, float]] = {}
    self._told_by_source: dict[str, tuple[float, dict[str, float]]] = {}
    self._told: dict[str, float] = {}

  # --- Outcomes -------------------------------------------------------------

  def note_sent(self, request: object, id: str, *, usual: float) -> None:
    """Takes note of a request; `usual` is what one takes, in seconds."""
    patience = max(LEAST_OVERDUE_SECONDS, TIMES_USUAL * usual)
    self._due_by_request[request] = (id, time.monotonic() + patience)

  def note_head(self, request: object) -> None:
    """Takes note that a request's answer began, or that it has ended.

    One that was overdue counts as failed even if its caller has given up.
    """
    id, due = self._due_by_request.pop(request)
    if time.monotonic() > due:
      self.note_failure(id)

  def note_failure(self, id: str, weight: float = FAILURE_WEIGHT) -> None:
    """Counts a failure at an instance."""
    now = time.monotonic()
    record = self._record_by_id.setdefault(id, _Record(at=now))
    record.failures = min(MOST_FAILURES, _fade(record, now) + weight)
    record.at = now

  # --- What is told ---------------------------------------------------------

  def tell(self) -> dict[str, float]:
    """Returns what this daemon saw, as it goes to peers."""
    now = time.monotonic()
    seen = {id: _fade(record, now) for id, record in self._record_by_id.items()}
    for id, due in self._due_by_request.values():
      if now > due:
        seen[id] = seen.get(id, 0.0) + FAILURE_WEIGHT
    self._record_by_id = {
      id: record
      for id, record in self._record_by_id.items()
      if seen[id] >= LEAST_FAILURES
    }
    self._told = {
      id: round(min(failures, MOST_FAILURES), 1)
      for id, failures in seen.items()
      if failures >= LEAST_FAILURES
    }
    return self._told

  def take(self, source: str, failing: dict[str, float]) -> None:
    """Takes in what a peer saw."""
    self._told_by_source[source] = (time.monotonic(), failing)

  def take_sum(self, failing: dict[str, float], *, age: float) -> None:
    """Takes in what a domain saw `age` seconds ago, this daemon included."""
    others = {
      id: max(0.0, failures - self._told.get(id, 0.0))
      for id, failures in failing.items()
    }
    self._told_by_source['domain'] = (time.monotonic() - age, others)

  def get_all(self) -> dict[str, float]:
    """Returns the failures at all instances that have any."""
    now = time.monotonic()
    total = self.tell()
    for at, failing in self._told_by_source.values():
      if now - at < TOLD_SECONDS:
        for id, failures in failing.items():
          total[id] = total.get(id, 0.0) + failures
    return {id: min(MOST_FAILURES, found) for id, found in total.items()}


def _fade(record: _Record, now: float) -> float:
  return float(record.failures * 0.5 ** ((now - record.at) / HALF_LIFE_SECONDS))
