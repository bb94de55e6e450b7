"""Tracks failing instances by request outcomes and the reports of peers.

Health checks may pass at an instance that fails requests, and fail at a healthy
one, for all callers or for some.  The outcomes of requests are the better
evidence.

An instance is one process of a service that runs requests.  Its id here
includes its start time, so that a restarted instance begins without failures.
Failures are weighted sums: each failure adds its weight, which decays with
time.
"""

from __future__ import annotations

import dataclasses
import logging
import time

log = logging.getLogger('woadrun.health')

# Half-life of the weight of a failure.  Flapping instances go up and down
# within one to two seconds, which the weight has to outlast; others fail for
# some seconds.
FAILURE_HALF_LIFE_SECONDS = 3.0
# Weight of a response that says that the instance did not run the request.  It
# costs the caller a further attempt, but the request is not lost.  An instance
# that is merely full sends it as well.
REJECTION_WEIGHT = 0.3
FAILURE_WEIGHT = 1.0
# Weight of a request whose response did not begin, because the connection broke
# or the request is overdue: the failure that costs callers most.
TIMEOUT_WEIGHT = 1.5
# Failures that are subtracted before an instance counts as failing.  Healthy
# instances fail one request in thirty as well, and each such failure would
# divert requests from them.
TOLERATED_FAILURES = 1.0
# Upper limit of the failures of an instance, so that an instance that has
# recovered receives requests again after about ten seconds.
MAX_FAILURES = 6.0
# Fewer failures than this are not reported to peers and count as none.
MIN_REPORTED_FAILURES = 0.2
# A request without a response head counts as failed after this multiple of the
# longest recent time to the response head at its service, but not before
# MIN_OVERDUE_SECONDS.  With the mean instead of the longest time, calls that
# were merely large counted as failed, and requests moved around among healthy
# instances, over new connections.
OVERDUE_FACTOR = 2.0
MIN_OVERDUE_SECONDS = 1.0
# Half-life of the longest time to the response head, so that a single slow
# response raises the limit for a while only.
LATENCY_HALF_LIFE_SECONDS = 30.0
# Age at which the report of a peer expires.
PEER_REPORT_TTL_SECONDS = 1.5


@dataclasses.dataclass(kw_only=True)
class _FailureRecord:
  """Weighted failures at one instance, decayed up to the time `at`."""

  failures: float = 0.0
  at: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _PendingRequest:
  """A request to instance `id`, sent at `at`, whose response has not begun."""

  id: str
  service: str
  at: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class _MaxLatency:
  """The longest time to a response head at a service, decayed up to `at`."""

  seconds: float
  at: float


class FailureTracker:
  """The weighted failures at all instances.

  Each request is recorded with `record_request`, with `record_response` once
  its response has begun, and with `record_end` in any case; the request may be
  any hashable object.  `record_response` raises `KeyError` for a request that
  is not recorded.  All times are on the monotonic clock.

  An instance is failing if its failures exceed TOLERATED_FAILURES, counting
  those that this daemon saw and those that others reported.  `avoided` has the
  failing instances as of the last call of `log_changes`; the choice of an
  instance uses `get_excess_failures`.
  """

  def __init__(self) -> None:
    self._record_by_id: dict[str, _FailureRecord] = {}
    self._pending_by_request: dict[object, _PendingRequest] = {}
    self._max_latency_by_service: dict[str, _MaxLatency] = {}
    self._report_by_source: dict[str, tuple[float, dict[str, float]]] = {}
    self._last_report: dict[str, float] = {}
    self.avoided: set[str] = set()

  # --- Outcomes -------------------------------------------------------------

  def record_request(self, request: object, id: str, service: str) -> None:
    """Records that a request was sent to an instance of a service."""
    now = time.monotonic()
    self._pending_by_request[request] = _PendingRequest(
      id=id, service=service, at=now
    )

  def record_response(self, request: object) -> None:
    """Records that the response to a request has begun."""
    now = time.monotonic()
    pending = self._pending_by_request.pop(request)
    max_latency = max(
      now - pending.at, self._get_max_latency(pending.service, now)
    )
    self._max_latency_by_service[pending.service] = _MaxLatency(
      seconds=max_latency, at=now
    )

  def record_end(self, request: object) -> None:
    """Records that a request ended, with or without a response.

    A request whose response has not begun counts as a failure only if it is
    overdue, then also if its caller cancelled it.
    """
    pending = self._pending_by_request.pop(request, None)
    if pending is not None and self._is_overdue(pending, time.monotonic()):
      self.record_failure(pending.id, TIMEOUT_WEIGHT)

  def get_overdue_seconds(self, service: str) -> float:
    """Returns the time after which a request without a response is overdue."""
    max_latency = self._get_max_latency(service, time.monotonic())
    return max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * max_latency)

  def _is_overdue(self, pending: _PendingRequest, now: float) -> bool:
    return now - pending.at > self.get_overdue_seconds(pending.service)

  def _get_max_latency(self, service: str, now: float) -> float:
    max_latency = self._max_latency_by_service.get(service)
    if max_latency is None:
      return 0.0
    age = now - max_latency.at
    return float(max_latency.seconds * 0.5 ** (age / LATENCY_HALF_LIFE_SECONDS))

  def record_failure(self, id: str, weight: float = FAILURE_WEIGHT) -> None:
    """Counts a failure at an instance."""
    now = time.monotonic()
    record = self._record_by_id.setdefault(id, _FailureRecord(at=now))
    record.failures = min(MAX_FAILURES, _decay(record, now) + weight)
    record.at = now

  # --- Reports --------------------------------------------------------------

  def report_failures(self) -> dict[str, float]:
    """Returns the failures that this daemon saw, to be sent to peers.

    `record_domain_report` subtracts them from the sum of the domain, which
    includes them.  Records that have decayed below MIN_REPORTED_FAILURES are
    dropped.
    """
    self._last_report = self.get_own_failures()
    self._record_by_id = {
      id: record
      for id, record in self._record_by_id.items()
      if id in self._last_report
    }
    return self._last_report

  def get_own_failures(self) -> dict[str, float]:
    """Returns the failures that this daemon saw itself, by instance."""
    now = time.monotonic()
    seen = {
      id: self._count_own_failures(id, now) for id in self._find_own_failing()
    }
    return {id: failures for id, failures in seen.items() if failures}

  def _find_own_failing(self) -> set[str]:
    """Returns the instances at which this daemon may have seen failures."""
    pending = (item.id for item in self._pending_by_request.values())
    return {*self._record_by_id, *pending}

  def _count_own_failures(self, id: str, now: float) -> float:
    """Returns the failures that this daemon saw at an instance.

    Returns 0 if there are fewer than MIN_REPORTED_FAILURES.
    """
    record = self._record_by_id.get(id)
    failures = 0.0 if record is None else _decay(record, now)
    for pending in self._pending_by_request.values():
      if pending.id == id and self._is_overdue(pending, now):
        failures += TIMEOUT_WEIGHT
    if failures < MIN_REPORTED_FAILURES:
      return 0.0
    return round(min(failures, MAX_FAILURES), 1)

  def record_peer_report(self, source: str, failing: dict[str, float]) -> None:
    """Replaces the failures that the peer `source` saw, by instance."""
    self._report_by_source[source] = (time.monotonic(), failing)

  def record_domain_report(
    self, failing: dict[str, float], *, age: float
  ) -> None:
    """Replaces the failures that this daemon's failure domain saw.

    `failing` sums the reports of all its daemons, by instance, as of `age`
    seconds ago.  What this daemon reported last is subtracted.
    """
    others = {
      id: max(0.0, failures - self._last_report.get(id, 0.0))
      for id, failures in failing.items()
    }
    self._report_by_source['domain'] = (time.monotonic() - age, others)

  def get_excess_failures(self, id: str) -> float:
    """Returns the failures at an instance beyond the tolerated ones.

    Returns 0 for an instance that is not failing or not known.
    """
    now = time.monotonic()
    reported = (
      failing.get(id, 0.0)
      for at, failing in self._report_by_source.values()
      if now - at < PEER_REPORT_TTL_SECONDS
    )
    total = self._count_own_failures(id, now) + sum(reported)
    return max(0.0, min(MAX_FAILURES, total) - TOLERATED_FAILURES)

  def get_all_excess_failures(self) -> dict[str, float]:
    """Returns the failures beyond the tolerated ones, by failing instance."""
    reported = (
      id for _, failing in self._report_by_source.values() for id in failing
    )
    effective = {
      id: self.get_excess_failures(id)
      for id in {*self._find_own_failing(), *reported}
    }
    return {id: failures for id, failures in effective.items() if failures}

  def log_changes(self) -> None:
    """Updates `avoided` and logs the instances that were added or removed."""
    effective = self.get_all_excess_failures()
    for id in sorted(effective.keys() - self.avoided):
      log.warning('Instance %s is avoided: %.1f failures.', id, effective[id])
    for id in sorted(self.avoided - effective.keys()):
      log.info('Instance %s is no longer avoided.', id)
    self.avoided = set(effective)


def _decay(record: _FailureRecord, now: float) -> float:
  return float(
    record.failures * 0.5 ** ((now - record.at) / FAILURE_HALF_LIFE_SECONDS)
  )
