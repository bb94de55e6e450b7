"""Records of requests under which instances ended, shared by all daemons.

A caller sends a request again through any daemon, so that no daemon can count
alone.  Each records the attempts that it makes and those that others report
(`process/crash_reports.py`).  Nothing is kept for a request until it loses a
connection, except that it is running.  What an attempt counts for is decided by
`decisions/crash_limit.py`.

A request is identified by its fingerprint (`request/fingerprints.py`), an
instance by its incarnation.  All times are on the monotonic clock.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import logging
import math
import time

from woadrun.connection import attempt_reports
from woadrun.decisions import crash_limit
from woadrun.process.load import request_attempts
from woadrun.request import fingerprints

log = logging.getLogger('woadrun.crashes')

# Maximum number of requests with a record, about 1 KB each.
MAX_RECORDS = 4096
# Maximum number of attempts in a record; the oldest ones are dropped first.
MAX_ATTEMPTS = 16
# Number of the oldest records among which one is dropped to make room.
MAX_EVICTION_CANDIDATES = 32
# Time for which an attempt of another daemon counts as running where that only
# ranks instances.
RUNNING_TTL_SECONDS = 6.0
# Time after which a record is dropped if no instance holds a place.
SETTLED_TTL_SECONDS = 30.0
# Maximum number of instances that are known to have ended.
MAX_ENDED_INSTANCES = 1024
# Rows of the store are read at most this much later than they are written.
ROW_DELAY_SECONDS = 2.0
# Time for which bytes that were received before may still be delivered.
DELIVERY_SECONDS = 0.05
# Maximum number of requests of which a daemon that has started is told.
MAX_TOLD_RECORDS = 1024

State = attempt_reports.State


class CrashRecords:
  """The attempts that ended their instances, or may have.

  `name` and `domain` are those of this daemon.
  `on_change` is called with each report of this daemon, for all others.
  `on_ended` is called with each instance that has ended.
  """

  def __init__(
    self,
    *,
    name: str,
    domain: str = '',
    on_change: Callable[[attempt_reports.AttemptReport], None] = (
      lambda report: None
    ),
    on_ended: Callable[[str], None] = lambda incarnation_id: None,
  ) -> None:
    self._name = name
    self._domain = domain
    self._on_change = on_change
    self._on_ended = on_ended
    # Are called with each request whose record is dropped, or whose attempts
    # another daemon has cleared by a complete response.
    self.on_dropped: Callable[[str], None] = lambda fingerprint: None
    self.on_cleared: Callable[[str], None] = lambda fingerprint: None
    self._record_by_fingerprint: dict[str, request_attempts.Record] = {}
    self._ended_at_by_instance: dict[str, float] = {}
    # The requests with an attempt, by its instance.
    self._requests_by_instance = request_attempts.Index()
    # The requests under which an instance ended, in the order of their ends.
    self._requests_with_ends: dict[str, None] = {}
    # This daemon's open claims, as request and claim.
    self._claims: set[tuple[str, str]] = set()
    self._claim_numbers = itertools.count(int(time.time() * 1000))
    # This daemon's running attempts, by request and instance.
    self._running: dict[str, collections.Counter[str]] = {}
    # Those of them that it announced, as request and instance.
    self._announced: set[tuple[str, str]] = set()
    # The requests whose connection this daemon lost, without an outcome yet.
    self._disconnected_by_instance = request_attempts.Index()
    # The requests with an attempt that bytes of its instance can settle.
    self._doubted_by_instance = request_attempts.Index()
    # The attempts whose response the instance ended, as request and instance.
    self._over: set[tuple[str, str]] = set()
    # The refused requests, by each instance that ended under them.
    self._refused_by_instance = request_attempts.Index()

  def __len__(self) -> int:
    return len(self._record_by_fingerprint)

  # --- Decisions ------------------------------------------------------------

  def judge(
    self, fingerprint: str, *, without: str = ''
  ) -> crash_limit.Verdict:
    """Returns whether a request may be sent to an instance, and to which.

    `without` is a claim of the caller that is left out.
    """
    return crash_limit.decide(self._find_places(fingerprint, without=without))

  def has_free_place(
    self,
    fingerprint: str,
    sides: crash_limit.Sides | None = None,
    *,
    without: str = '',
  ) -> bool:
    """Returns whether one more instance may take a place of a request."""
    places = self._find_places(fingerprint, without=without)
    return crash_limit.has_free_place(places, sides or crash_limit.Sides())

  def _find(self, fingerprint: str) -> request_attempts.Record:
    """Returns the record of a request, an empty one if it has none."""
    return self._record_by_fingerprint.get(
      fingerprint, request_attempts.Record()
    )

  def _find_places(
    self, fingerprint: str, *, without: str = ''
  ) -> list[crash_limit.Place]:
    """Returns the places that count, without ends that others explain.

    While nothing is known of another instance that ran the request, an end that
    another request explains may as well be due to this one.
    """
    record = self._find(fingerprint)
    counts = self._count_ended(fingerprint) > 0
    explained = [] if counts else record.find(State.ENDED)
    is_in_doubt = bool(record.find(*request_attempts.DOUBTED_STATES))
    return [
      crash_limit.Place(
        state=State.LOST if id in explained else attempt.state,
        domains=attempt.domains,
      )
      for id, attempt in record.attempt_by_instance.items()
      if crash_limit.is_held(attempt.state)
      and id != without
      and (is_in_doubt or id not in explained)
    ]

  def describe(self, fingerprint: str) -> str:
    """Returns the states of a request's attempts and their ages, for logs."""
    now = time.monotonic()
    return ', '.join(
      f'{id} {attempt.state.name} {now - attempt.at:.2f} s'
      for id, attempt in self._find(fingerprint).attempt_by_instance.items()
      if crash_limit.is_held(attempt.state)
    )

  def has_places_taken(self, fingerprint: str) -> bool:
    """Returns whether one more instance has to claim a place of a request."""
    return crash_limit.is_suspect(self._find_places(fingerprint))

  def get_age(self, fingerprint: str, incarnation_id: str) -> float:
    """Returns the seconds since an attempt entered its state."""
    attempt = self._get_attempt(fingerprint, incarnation_id)
    return time.monotonic() - attempt.at if attempt else 0.0

  def has_running_attempt(self, fingerprint: str) -> bool:
    """Returns whether an attempt, or a claim, may give its place back soon."""
    return bool(self._find(fingerprint).find(State.RUNNING))

  def find_usable(self, fingerprint: str) -> set[str]:
    """Returns the instances that hold a place and may run a request again."""
    return set(self._find(fingerprint).find(*crash_limit.USABLE_STATES))

  def find_holders(self, fingerprint: str) -> list[str]:
    """Returns the instances, and claims, that hold a place of a request."""
    return self._find(fingerprint).find_holders()

  def is_held(self, fingerprint: str, incarnation_id: str) -> bool:
    """Returns whether an instance holds a place of a request."""
    attempt = self._get_attempt(fingerprint, incarnation_id)
    return attempt is not None and crash_limit.is_held(attempt.state)

  # --- Claims of places -----------------------------------------------------

  def make_claim(self, fingerprint: str) -> str:
    """Returns the id of a claim by this daemon, which takes a place.

    The place is held until an instance takes it over, or `release` is called.
    """
    claim_id = f'claim {self._name} {next(self._claim_numbers)}'
    self._claims.add((fingerprint, claim_id))
    self._set(fingerprint, claim_id, State.RUNNING, is_reported=False)
    return claim_id

  def release(self, fingerprint: str, claim_id: str) -> None:
    """Gives the place of a claim back, if no instance has taken it over."""
    if (fingerprint, claim_id) in self._claims:
      self._claims.remove((fingerprint, claim_id))
      self._set(fingerprint, claim_id, State.NOT_RUN)

  def grant(self, claim: attempt_reports.ClaimPlace) -> bool:
    """Takes a place for a claim of another daemon, if there is a free one."""
    self.merge(claim.reports, domain=claim.domain)
    if not self.has_free_place(claim.fingerprint, without=claim.claim_id):
      return False
    self._get_record(claim.fingerprint).is_shared = True
    self._apply(
      claim.fingerprint, claim.claim_id, State.RUNNING, domain=claim.domain
    )
    return True

  def merge(
    self, reports: Iterable[attempt_reports.AttemptReport], *, domain: str
  ) -> None:
    """Adds what a member of a domain knows of a request."""
    reports = list(reports)
    self.apply_reports(reports, domain=domain)
    self.record_known(reports, domain=domain)

  def record_known(
    self, reports: Iterable[attempt_reports.AttemptReport], *, domain: str
  ) -> None:
    """Records that a domain knows of some attempts."""
    for report in reports:
      attempts = self._find(report.fingerprint).attempt_by_instance
      attempt = attempts.get(report.incarnation_id)
      if attempt is not None:
        attempts[report.incarnation_id] = dataclasses.replace(
          attempt, domains=attempt.domains | {domain}
        )

  def find_request_reports(
    self, fingerprint: str
  ) -> tuple[attempt_reports.AttemptReport, ...]:
    """Returns reports of all that is known of a request."""
    record = self._find(fingerprint)
    attempts = list(record.attempt_by_instance.items())
    if record.complete_id:
      complete = request_attempts.Attempt(
        state=State.COMPLETE, at=record.complete_at
      )
      attempts.insert(0, (record.complete_id, complete))
    now = time.monotonic()
    return tuple(
      attempt.report(fingerprint, id, now) for id, attempt in attempts
    )

  # --- Suspicion ------------------------------------------------------------

  def is_unresolved(self, fingerprint: str) -> bool:
    """Returns whether a request may have ended instances, and none for sure."""
    record = self._find(fingerprint)
    return bool(record.find(State.LOST)) and not record.find(State.ENDED)

  def is_suspect(self, fingerprint: str) -> bool:
    """Returns whether a request ended an instance, or may have."""
    is_lost = bool(self._find(fingerprint).find(State.LOST))
    return is_lost or self._count_ended(fingerprint) > 0

  def find_avoided(self, fingerprint: str) -> set[str]:
    """Returns the instances that a suspect request should not be sent to.

    They are running other suspect requests: if one of them ended, it would not
    be known which request it was.  Returns none for other requests.
    """
    since = time.monotonic() - RUNNING_TTL_SECONDS
    return self._find_beside(fingerprint, State.RUNNING, since=since)

  def find_doubtful(self, fingerprint: str) -> set[str]:
    """Returns the instances that may still end under other suspect requests.

    A suspect request is sent to others, if there are any.
    """
    return self._find_beside(fingerprint, *request_attempts.OPEN_STATES)

  def _find_beside(
    self, fingerprint: str, *states: State, since: float = -math.inf
  ) -> set[str]:
    if not self.is_suspect(fingerprint):
      return set()
    return {
      id
      for other in self._requests_with_ends
      if other != fingerprint
      for id in self._record_by_fingerprint[other].find(*states, since=since)
      if not request_attempts.is_claim(id)
    }

  def has_last_attempt(self, fingerprint: str) -> bool:
    """Returns whether a request is refused if one more instance ends."""
    count = self._count_ended(fingerprint)
    return count == crash_limit.MAX_ENDED_INSTANCES - 1

  def find_ended(self, fingerprint: str) -> list[str]:
    """Returns the instances that ended while they ran a request."""
    return self._find(fingerprint).find(State.ENDED)

  def count_quarantined(self) -> int:
    """Returns the number of requests that are refused."""
    return sum(
      self._count_ended(fingerprint) >= crash_limit.MAX_ENDED_INSTANCES
      for fingerprint in self._requests_with_ends
    )

  def _count_ended(self, fingerprint: str) -> int:
    """Returns the number of instances whose end counts against a request."""
    ended = self.find_ended(fingerprint)
    # One end that is due to no other request makes all of them suspicious.
    if all(self._is_explained(fingerprint, id) for id in ended):
      return 0
    return len(ended)

  def _is_explained(self, fingerprint: str, id: str) -> bool:
    """Returns whether the end of an instance is put down to another request.

    That is one that is refused, and under which an instance ended that did not
    run this request.  Of two that are refused it is the one under which all the
    same instances ended, and more; otherwise both are.
    """
    record = self._find(fingerprint)
    own = set(record.find(State.ENDED))
    for other in self._refused_by_instance.get(id, ()):
      others = set(self.find_ended(other))
      if others > own or (others - own and not record.is_refused):
        return True
    return False

  def _record_refusals(self, fingerprints: Iterable[str]) -> None:
    """Notes which requests are refused from now on.

    Those that reach the limit by the same end are judged by the same records.
    """
    found = [
      fingerprint
      for fingerprint in fingerprints
      if self._find(fingerprint).is_refused
      or self._count_ended(fingerprint) >= crash_limit.MAX_ENDED_INSTANCES
    ]
    for fingerprint in found:
      record = self._find(fingerprint)
      record.is_refused = True
      for id in record.find(State.ENDED):
        self._refused_by_instance.add(id, fingerprint)

  def _forget_refusal(
    self, fingerprint: str, record: request_attempts.Record
  ) -> None:
    if not record.is_refused:
      return
    record.is_refused = False
    for id in list(self._refused_by_instance):
      self._refused_by_instance.take(id, fingerprint)

  # --- Attempts of this daemon ----------------------------------------------

  @contextlib.contextmanager
  def run(
    self, fingerprint: str, incarnation_id: str, *, claim_id: str = ''
  ) -> Iterator[None]:
    """Returns a context in which an instance runs a request.

    If it is left without another state of the attempt, the request counts as
    lost.  The instance takes over the place of a claim.
    """
    running = self._running.setdefault(fingerprint, collections.Counter())
    running[incarnation_id] += 1
    if fingerprint in self._record_by_fingerprint:
      self._announce(fingerprint, incarnation_id)
    self.release(fingerprint, claim_id)
    try:
      yield
    finally:
      running[incarnation_id] -= 1
      if not running[incarnation_id]:
        del running[incarnation_id]
        self._end_announced(fingerprint, incarnation_id)
      if not running:
        self._running.pop(fingerprint, None)

  def _announce(self, fingerprint: str, incarnation_id: str) -> None:
    """Sets the state of an attempt to running, unless a place is held there.

    The instance may have ended under an earlier attempt, and refuse this one.
    """
    if not self.is_held(fingerprint, incarnation_id):
      self._announced.add((fingerprint, incarnation_id))
      # It matters to others if the request has a place taken, or once its
      # instance is found to have ended.
      is_reported = self.has_places_taken(fingerprint)
      self._set(
        fingerprint, incarnation_id, State.RUNNING, is_reported=is_reported
      )

  def is_announced(self, fingerprint: str, incarnation_id: str) -> bool:
    """Returns whether this daemon announced an attempt that is running."""
    is_running = self._get_state(fingerprint, incarnation_id) is State.RUNNING
    return is_running and (fingerprint, incarnation_id) in self._announced

  def _end_announced(self, fingerprint: str, incarnation_id: str) -> None:
    """Sets an attempt that was announced and has no outcome to lost."""
    is_announced = self.is_announced(fingerprint, incarnation_id)
    self._announced.discard((fingerprint, incarnation_id))
    if is_announced:
      self._set_if_shared(fingerprint, incarnation_id, State.LOST)

  def _get_state(self, fingerprint: str, incarnation_id: str) -> State | None:
    """Returns the state of an attempt, or None if it has no record."""
    attempt = self._get_attempt(fingerprint, incarnation_id)
    return None if attempt is None else attempt.state

  def _get_attempt(
    self, fingerprint: str, incarnation_id: str
  ) -> request_attempts.Attempt | None:
    return self._find(fingerprint).attempt_by_instance.get(incarnation_id)

  def complete(self, fingerprint: str, incarnation_id: str) -> None:
    """Records that a complete response arrived."""
    if fingerprint in self._record_by_fingerprint:
      self._set_if_shared(fingerprint, incarnation_id, State.COMPLETE)

  def reject(self, fingerprint: str, incarnation_id: str) -> None:
    """Records that an instance does not run a request after all."""
    if self.is_announced(fingerprint, incarnation_id):
      self._set(fingerprint, incarnation_id, State.NOT_RUN)

  def has_open_attempt(self, incarnation_id: str) -> bool:
    """Returns whether an instance may have ended with a request.

    Attempts of daemons that ended themselves stay open.
    """
    return bool(
      self._find_requests(incarnation_id, *request_attempts.OPEN_STATES)
    )

  def _find_requests(
    self, incarnation_id: str, *states: State, before: float = math.inf
  ) -> list[str]:
    """Returns the requests with an attempt at an instance in some states.

    `before` leaves out attempts that entered their state after a time.
    """
    return [
      fingerprint
      for fingerprint in self._requests_by_instance.get(incarnation_id, ())
      if (attempt := self._get_attempt(fingerprint, incarnation_id)) is not None
      and attempt.state in states
      and attempt.at <= before
    ]

  def lose(
    self, fingerprint: str, incarnation_id: str, *, is_over: bool = False
  ) -> None:
    """Records that the connection of an attempt was lost.

    If the response `is_over`, the connection may have been closed at its end:
    then it is complete, if the instance lives on.
    """
    if is_over:
      self._over.add((fingerprint, incarnation_id))
    if not self.has_ended(incarnation_id):
      self._disconnected_by_instance.add(incarnation_id, fingerprint)
    self._set_open(fingerprint, incarnation_id, is_over=is_over)

  def orphan(self, fingerprint: str, incarnation_id: str) -> None:
    """Records that nobody waits for an attempt that has no outcome.

    Its instance may still end, and counts like one whose connection was lost.
    """
    if self._get_state(fingerprint, incarnation_id) is not State.ENDED:
      self._set_open(fingerprint, incarnation_id)

  def _set_open(
    self, fingerprint: str, incarnation_id: str, *, is_over: bool = False
  ) -> None:
    if not is_over:
      self._over.discard((fingerprint, incarnation_id))
    is_ended = self.has_ended(incarnation_id)
    state = State.ENDED if is_ended else State.LOST
    self._set(fingerprint, incarnation_id, state)
    if is_ended:
      self._record_refusals([fingerprint])

  def has_ended(self, incarnation_id: str) -> bool:
    """Returns whether an instance is known to have ended."""
    return incarnation_id in self._ended_at_by_instance

  def give_up(self, incarnation_id: str) -> None:
    """Records that connections to an instance open, and nothing more."""
    for fingerprint in self._find_requests(incarnation_id, State.LOST):
      self._set(fingerprint, incarnation_id, State.ABANDONED)

  def doubt(self, incarnation_id: str) -> None:
    """Records that an instance which lived on has gone silent."""
    for fingerprint in self._find_requests(
      incarnation_id, *crash_limit.USABLE_STATES
    ):
      self._set(fingerprint, incarnation_id, State.LOST)

  def find_open_attempts(self, fingerprint: str) -> list[str]:
    """Returns the instances that may have ended, or may end, under a request.

    Without those that this daemon is waiting for, or has probed in vain.
    """
    running = self._running.get(fingerprint, ())
    return [
      id
      for id, attempt in self._find(fingerprint).attempt_by_instance.items()
      if attempt.state in request_attempts.OPEN_STATES
      and not request_attempts.is_claim(id)
      and id not in running
      and not (
        attempt.state is State.ABANDONED
        and fingerprint in self._disconnected_by_instance.get(id, ())
      )
    ]

  def is_open(self, incarnation_id: str) -> bool:
    """Returns whether a sign of an instance is still awaited."""
    return bool(
      self._find_requests(
        incarnation_id, *request_attempts.DOUBTED_STATES, State.SURVIVED
      )
    )

  def resolve(
    self, incarnation_id: str, *, is_ended: bool, before: float = math.inf
  ) -> list[str]:
    """Records whether an instance has ended; returns the requests it lost.

    That is the state of the attempts whose outcome was not known, of those that
    failed before a time.
    """
    # What another daemon runs there goes on as long as the instance does.
    states = (
      request_attempts.OPEN_STATES
      if is_ended
      else request_attempts.DOUBTED_STATES
    )
    found = self._find_requests(incarnation_id, *states, before=before)
    if is_ended:
      self._record_end(incarnation_id, time.monotonic())
    for fingerprint in found:
      self._disconnected_by_instance.take(incarnation_id, fingerprint)
      if is_ended:
        self._set(fingerprint, incarnation_id, State.ENDED)
      else:
        self._set_alive(fingerprint, incarnation_id)
    if is_ended:
      self._record_refusals(found)
    return found

  def _record_survival(self, incarnation_id: str) -> None:
    """Records that an instance has outlived attempts that were lost there."""
    limit = time.monotonic() - DELIVERY_SECONDS
    for fingerprint in list(self._doubted_by_instance[incarnation_id]):
      attempt = self._get_attempt(fingerprint, incarnation_id)
      if attempt is not None and attempt.at >= limit:
        continue
      self._disconnected_by_instance.take(incarnation_id, fingerprint)
      self._doubted_by_instance.take(incarnation_id, fingerprint)
      if (
        attempt is not None and attempt.state in request_attempts.DOUBTED_STATES
      ):
        self._set_alive(fingerprint, incarnation_id)

  def _set_alive(self, fingerprint: str, incarnation_id: str) -> None:
    """Records that an instance has lived on after an attempt."""
    is_over = (fingerprint, incarnation_id) in self._over
    self._over.discard((fingerprint, incarnation_id))
    # One that lives on after it has ended the response has completed it.
    state = State.COMPLETE if is_over else State.SURVIVED
    self._set(fingerprint, incarnation_id, state)

  def has_disconnected(self, incarnation_id: str) -> bool:
    """Returns whether this daemon lost a connection to an instance.

    Only as long as its outcome is not known.
    """
    return incarnation_id in self._disconnected_by_instance

  def is_lost(self, incarnation_id: str) -> bool:
    """Returns whether an instance may have ended with a request."""
    return bool(self._find_requests(incarnation_id, State.LOST))

  def _record_end(self, incarnation_id: str, at: float) -> None:
    if incarnation_id not in self._ended_at_by_instance:
      self._ended_at_by_instance[incarnation_id] = at
      if len(self._ended_at_by_instance) > MAX_ENDED_INSTANCES:
        oldest = next(iter(self._ended_at_by_instance))
        del self._ended_at_by_instance[oldest]
      self._on_ended(incarnation_id)

  def record_bytes(self, incarnation_id: str) -> None:
    """Records that a part of a response has arrived from an instance.

    One that arrives a while after the end of the instance refutes it, and one
    that arrives after a lost connection shows that only that was lost.
    """
    if incarnation_id in self._doubted_by_instance:
      self._record_survival(incarnation_id)
    ended_at = self._ended_at_by_instance.get(incarnation_id)
    if ended_at is None:
      return
    if time.monotonic() > ended_at + request_attempts.REPORT_DELAY_SECONDS:
      self.refute(incarnation_id)

  def count_running(self, incarnation_id: str) -> int:
    """Returns the attempts of this daemon that an instance is running."""
    return sum(running[incarnation_id] for running in self._running.values())

  def refute(self, incarnation_id: str) -> None:
    """Records that an instance which counts as ended runs on."""
    if self._ended_at_by_instance.pop(incarnation_id, None) is None:
      return
    log.info('Instance %s has not ended.', incarnation_id)
    for fingerprint in self._find_requests(incarnation_id, State.ENDED):
      self._set(fingerprint, incarnation_id, State.SURVIVED)

  def _set_if_shared(
    self, fingerprint: str, incarnation_id: str, state: State
  ) -> None:
    """Sets the state of an attempt, which is reported if others have a record.

    They may know of open attempts, or of ends, that no longer matter here.
    """
    is_reported = self._get_record(fingerprint).is_shared
    self._set(fingerprint, incarnation_id, state, is_reported=is_reported)

  def _set(
    self,
    fingerprint: str,
    incarnation_id: str,
    state: State,
    *,
    is_reported: bool = True,
  ) -> None:
    is_new = fingerprint not in self._record_by_fingerprint
    record = self._get_record(fingerprint)
    self._apply(
      fingerprint, incarnation_id, state, domain=self._domain, is_own=True
    )
    if is_new:
      self._announce_running(fingerprint)
    if is_reported:
      record.is_shared = True
      self._on_change(
        attempt_reports.AttemptReport(fingerprint, incarnation_id, state, 0.0)
      )

  def _get_record(self, fingerprint: str) -> request_attempts.Record:
    """Returns the record of a request, as the newest one, maybe a new one."""
    record = self._record_by_fingerprint.pop(fingerprint, None)
    if record is None:
      record = request_attempts.Record()
      if len(self._record_by_fingerprint) >= MAX_RECORDS:
        self._evict()
    self._record_by_fingerprint[fingerprint] = record
    return record

  def _evict(self) -> None:
    """Drops a record, of the oldest ones one with the fewest ended instances.

    A flood of requests that lose their connections must not displace the
    requests that are refused.
    """
    oldest = itertools.islice(
      self._record_by_fingerprint.items(), MAX_EVICTION_CANDIDATES
    )
    chosen, _ = min(oldest, key=lambda item: item[1].count_ended_and_held())
    self._drop(chosen)

  def _drop(self, fingerprint: str) -> None:
    record = self._record_by_fingerprint.pop(fingerprint)
    self._requests_with_ends.pop(fingerprint, None)
    for id in record.attempt_by_instance:
      self._disconnected_by_instance.take(id, fingerprint)
      self._drop_index(fingerprint, id)
    self._forget_refusal(fingerprint, record)
    self.on_dropped(fingerprint)

  def _drop_index(self, fingerprint: str, incarnation_id: str) -> None:
    self._over.discard((fingerprint, incarnation_id))
    self._requests_by_instance.take(incarnation_id, fingerprint)

  def _apply(
    self,
    fingerprint: str,
    incarnation_id: str,
    state: State,
    *,
    domain: str,
    at: float | None = None,
    is_own: bool = False,
  ) -> None:
    """Sets the state of an attempt, of which this and another domain know.

    It was entered at the time `at`, None for now.
    """
    at = time.monotonic() if at is None else at
    record = self._record_by_fingerprint[fingerprint]
    if state is State.COMPLETE:
      self._clear(record, fingerprint, incarnation_id, at, is_own=is_own)
      return
    attempts = record.attempt_by_instance
    if state is State.LOST:
      self._doubted_by_instance.add(incarnation_id, fingerprint)
    known = attempts.pop(incarnation_id, None)
    domains = frozenset((self._domain, domain))
    if known is not None and crash_limit.is_held(known.state):
      # Whoever knows of the place need not be told of its state.
      domains |= known.domains
    attempts[incarnation_id] = request_attempts.Attempt(
      state=state, at=at, domains=domains
    )
    self._requests_by_instance.add(incarnation_id, fingerprint)
    if len(attempts) > MAX_ATTEMPTS:
      # The oldest of those that hold no place, if there is one.
      oldest = min(
        attempts, key=lambda id: crash_limit.is_held(attempts[id].state)
      )
      del attempts[oldest]
      self._drop_index(fingerprint, oldest)
    if record.find(State.ENDED):
      self._requests_with_ends.setdefault(fingerprint)
    else:
      self._requests_with_ends.pop(fingerprint, None)
    was_ended = known is not None and known.state is State.ENDED
    if state is State.ENDED and not was_ended:
      self._log_end(record, fingerprint, incarnation_id, is_own=is_own)

  def _clear(
    self,
    record: request_attempts.Record,
    fingerprint: str,
    incarnation_id: str,
    at: float,
    *,
    is_own: bool,
  ) -> None:
    """Drops the attempts before a complete response."""
    ended = len(record.find(State.ENDED))
    self._forget_refusal(fingerprint, record)
    record.complete_at = at
    record.complete_id = incarnation_id
    for id, attempt in list(record.attempt_by_instance.items()):
      if attempt.at <= at:
        del record.attempt_by_instance[id]
        self._drop_index(fingerprint, id)
    if not record.find(State.ENDED):
      self._requests_with_ends.pop(fingerprint, None)
    if not is_own:
      self.on_cleared(fingerprint)
    if ended and is_own:
      log.info(
        'Request fingerprint %s is cleared of %d ended instances: %s '
        'completed it.',
        fingerprints.shorten(fingerprint),
        ended,
        incarnation_id,
      )

  def _log_end(
    self,
    record: request_attempts.Record,
    fingerprint: str,
    incarnation_id: str,
    *,
    is_own: bool,
  ) -> None:
    count = len(record.find(State.ENDED))
    is_limit = count == crash_limit.MAX_ENDED_INSTANCES
    if is_own or is_limit:
      log.log(
        logging.WARNING if is_limit else logging.INFO,
        'Instance %s ended while running request fingerprint %s: %d of %d '
        'instances.',
        incarnation_id,
        fingerprints.shorten(fingerprint),
        count,
        crash_limit.MAX_ENDED_INSTANCES,
      )

  # --- Attempts of other daemons --------------------------------------------

  def apply_reports(
    self,
    reports: Iterable[attempt_reports.AttemptReport],
    *,
    domain: str = '',
  ) -> list[attempt_reports.AttemptReport]:
    """Adds the reports of another daemon; returns those that are news.

    `domain` is that of the daemon.
    """
    now = time.monotonic()
    news = [
      report
      for report in reports
      if self._apply_report(report, now - max(0.0, report.age), domain)
    ]
    self._record_refusals(
      {item.fingerprint for item in news if item.state is State.ENDED}
    )
    return news

  def _apply_report(
    self, report: attempt_reports.AttemptReport, at: float, domain: str
  ) -> bool:
    """Returns whether a report, about a state entered at `at`, is news."""
    if report.state is State.CLAIMED:
      return False
    known = self._record_by_fingerprint.get(report.fingerprint)
    if known is None and report.state in request_attempts.HARMLESS_STATES:
      return False
    if known is not None and not request_attempts.is_news(known, report, at):
      return False
    id = report.incarnation_id
    self._get_record(report.fingerprint).is_shared = True
    self._apply(report.fingerprint, id, report.state, domain=domain, at=at)
    if report.state is State.ENDED and not self.has_ended(id):
      self._record_end(id, at)
      if not self.count_running(id):
        self.resolve(id, is_ended=True)
    if known is None or report.state in (State.NOT_RUN, State.COMPLETE):
      self._announce_running(report.fingerprint)
    return True

  def hold(self, fingerprint: str, incarnation_id: str, state: State) -> None:
    """Adds a place that the store has; what is known in detail is kept.

    A row may be read a while after a response that has cleared its request.
    """
    record = self._record_by_fingerprint.get(fingerprint)
    if record and time.monotonic() < record.complete_at + ROW_DELAY_SECONDS:
      return
    if state is State.LOST and self.is_held(fingerprint, incarnation_id):
      return
    self.apply_reports(
      [attempt_reports.AttemptReport(fingerprint, incarnation_id, state, 0.0)]
    )

  def give_back(self, fingerprint: str, incarnation_id: str) -> None:
    """Gives a place back that the store no longer has, unless it is in use."""
    record = self._find(fingerprint)
    is_running = incarnation_id in self._running.get(fingerprint, ())
    if is_running or incarnation_id not in record.attempt_by_instance:
      return
    self._apply(fingerprint, incarnation_id, State.NOT_RUN, domain=self._domain)
    if len(record.find(State.ENDED)) < crash_limit.MAX_ENDED_INSTANCES:
      self._forget_refusal(fingerprint, record)

  def _announce_running(self, fingerprint: str) -> None:
    """Tells the others of attempts that were no matter until now.

    Another daemon may also have given back the place of an instance at which
    this one has an attempt that runs.
    """
    for id in list(self._running.get(fingerprint, ())):
      if not self.is_held(fingerprint, id):
        self._announced.add((fingerprint, id))
        self._set(fingerprint, id, State.RUNNING)

  def update_report(
    self, report: attempt_reports.AttemptReport
  ) -> attempt_reports.AttemptReport | None:
    """Returns a report with the present state of its attempt, if it has one.

    A daemon that gets only the repeated report would keep an old state.
    """
    if report.state is State.COMPLETE:
      # Attempts before it are not kept.
      return report
    attempt = self._get_attempt(report.fingerprint, report.incarnation_id)
    if attempt is None or attempt.state is report.state:
      return report if attempt else None
    return attempt.report(
      report.fingerprint, report.incarnation_id, time.monotonic()
    )

  def list_reports(self) -> list[attempt_reports.AttemptReport]:
    """Returns what a daemon that has just started should know.

    Ends come first: other states are news only of a request that is known.
    """
    now = time.monotonic()
    newest = list(self._record_by_fingerprint.items())[-MAX_TOLD_RECORDS:]
    found = [
      attempt.report(fingerprint, id, now)
      for fingerprint, record in newest
      for id, attempt in record.attempt_by_instance.items()
      if crash_limit.is_held(attempt.state)
    ]
    return sorted(found, key=lambda report: report.state is not State.ENDED)

  def drop_expired(self) -> None:
    """Drops the records of requests without a place taken."""
    limit = time.monotonic() - SETTLED_TTL_SECONDS
    for fingerprint, record in list(self._record_by_fingerprint.items()):
      if record.find_holders():
        continue
      times = (attempt.at for attempt in record.attempt_by_instance.values())
      if max(times, default=record.complete_at) < limit:
        self._drop(fingerprint)
    for index in (self._disconnected_by_instance, self._doubted_by_instance):
      for id, fingerprint in index.list_pairs():
        state = self._get_state(fingerprint, id)
        if state not in request_attempts.DOUBTED_STATES:
          index.take(id, fingerprint)
