"""Which instances fail, learned from outcomes and from what peers tell.

Health checks may be good at an instance that fails, and bad at one that is
well, for all callers or for some.  What requests meet there tells.
"""

from __future__ import annotations

import dataclasses
import logging
import time

log = logging.getLogger('woadrun.health')

# A failure counts half as much after so long, in seconds: instances that go
# up and down do so in one to two seconds, others fail for some seconds.
HALF_LIFE_SECONDS = 3.0
# An answer that says "not run" costs another attempt, no request; it also
# comes from an instance that is only full.
REJECTION_WEIGHT = 0.3
FAILURE_WEIGHT = 1.0
# A request that gets no answer costs its caller the most.
SILENCE_WEIGHT = 1.5
# So much is not heeded: services fail one request in thirty by themselves, and
# each such answer would drive requests away from an instance that is well.
TOLERATED = 1.0
# No more than so many failures count: an instance that is well again gets
# requests after about ten seconds.
MOST_FAILURES = 6.0
# Failures that are not worth telling.
LEAST_FAILURES = 0.2
# A request without the head of an answer counts as failed after so many times
# the longest that one took of late at its service, and not before so many
# seconds.  By the mean, calls that were only large counted, and requests went
# round among instances that were all well, over new connections.
TIMES_LONGEST = 2.0
LEAST_OVERDUE_SECONDS = 1.0
# The longest time counts half as much after so long, in seconds.
LONGEST_HALF_LIFE_SECONDS = 30.0
# What peers told is forgotten after so long, in seconds.
TOLD_SECONDS = 1.5


@dataclasses.dataclass(kw_only=True)
class _Record:
  """Failures at one instance, as they counted at `at`."""

  failures: float = 0.0
  at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Sent:
  """A request whose answer has not begun."""

  id: str
  service: str
  at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Longest:
  """The longest time to the head of an answer, as it counted at `at`."""

  seconds: float
  at: float


class Health:
  """The failures at all instances; `avoided` has those looked at last."""

  def __init__(self) -> None:
    self._record_by_id: dict[str, _Record] = {}
    self._sent_by_request: dict[object, _Sent] = {}
    self._longest_by_service: dict[str, _Longest] = {}
    self._told_by_source: dict[str, tuple[float, dict[str, float]]] = {}
    self._told: dict[str, float] = {}
    self.avoided: set[str] = set()

  # --- Outcomes -------------------------------------------------------------

  def note_sent(self, request: object, id: str, service: str) -> None:
    """Takes note of a request to an instance of a service."""
    now = time.monotonic()
    self._sent_by_request[request] = _Sent(id=id, service=service, at=now)

  def note_answer(self, request: object) -> None:
    """Takes note that the answer of a request began."""
    now = time.monotonic()
    sent = self._sent_by_request.pop(request)
    longest = max(now - sent.at, self._get_longest(sent.service, now))
    self._longest_by_service[sent.service] = _Longest(seconds=longest, at=now)

  def note_end(self, request: object) -> None:
    """Takes note that a request ended, perhaps without an answer.

    One that was overdue counts as failed even if its caller has given up.
    """
    sent = self._sent_by_request.pop(request, None)
    if sent is not None and self._is_overdue(sent, time.monotonic()):
      self.note_failure(sent.id, SILENCE_WEIGHT)

  def _is_overdue(self, sent: _Sent, now: float) -> bool:
    longest = self._get_longest(sent.service, now)
    patience = max(LEAST_OVERDUE_SECONDS, TIMES_LONGEST * longest)
    return now - sent.at > patience

  def _get_longest(self, service: str, now: float) -> float:
    longest = self._longest_by_service.get(service)
    if longest is None:
      return 0.0
    age = now - longest.at
    return float(longest.seconds * 0.5 ** (age / LONGEST_HALF_LIFE_SECONDS))

  def note_failure(self, id: str, weight: float = FAILURE_WEIGHT) -> None:
    """Counts a failure at an instance."""
    now = time.monotonic()
    record = self._record_by_id.setdefault(id, _Record(at=now))
    record.failures = min(MOST_FAILURES, _fade(record, now) + weight)
    record.at = now

  # --- What is told ---------------------------------------------------------

  def tell(self) -> dict[str, float]:
    """Returns what this daemon saw, and remembers that it goes to peers."""
    self._told = self.get_seen()
    self._record_by_id = {
      id: record
      for id, record in self._record_by_id.items()
      if id in self._told
    }
    return self._told

  def get_seen(self) -> dict[str, float]:
    """Returns the failures that this daemon saw itself, by instance."""
    now = time.monotonic()
    seen = {id: self._count_seen(id, now) for id in self._find_seen()}
    return {id: failures for id, failures in seen.items() if failures}

  def _find_seen(self) -> set[str]:
    """Returns the instances at which this daemon may have seen failures."""
    sent = (item.id for item in self._sent_by_request.values())
    return {*self._record_by_id, *sent}

  def _count_seen(self, id: str, now: float) -> float:
    """Returns the failures that this daemon saw, 0 where they are too few."""
    record = self._record_by_id.get(id)
    failures = 0.0 if record is None else _fade(record, now)
    for sent in self._sent_by_request.values():
      if sent.id == id and self._is_overdue(sent, now):
        failures += SILENCE_WEIGHT
    if failures < LEAST_FAILURES:
      return 0.0
    return round(min(failures, MOST_FAILURES), 1)

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

  def get(self, id: str) -> float:
    """Returns the failures to heed at one instance."""
    now = time.monotonic()
    told = (
      failing.get(id, 0.0)
      for at, failing in self._told_by_source.values()
      if now - at < TOLD_SECONDS
    )
    total = self._count_seen(id, now) + sum(told)
    return max(0.0, min(MOST_FAILURES, total) - TOLERATED)

  def get_all(self) -> dict[str, float]:
    """Returns the failures to heed, of all instances that have any."""
    told = (
      id for _, failing in self._told_by_source.values() for id in failing
    )
    heeded = {id: self.get(id) for id in {*self._find_seen(), *told}}
    return {id: failures for id, failures in heeded.items() if failures}

  def log_changes(self) -> None:
    """Logs which instances are avoided now, and which are not any more."""
    heeded = self.get_all()
    for id in sorted(heeded.keys() - self.avoided):
      log.warning('Instance %s is avoided: %.1f failures.', id, heeded[id])
    for id in sorted(self.avoided - heeded.keys()):
      log.info('Instance %s is trusted again.', id)
    self.avoided = set(heeded)


def _fade(record: _Record, now: float) -> float:
  return float(record.failures * 0.5 ** ((now - record.at) / HALF_LIFE_SECONDS))
