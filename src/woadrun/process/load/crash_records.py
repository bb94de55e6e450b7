"""Records of requests under which instances ended, shared by all daemons.

A caller sends a request again through any daemon, so that no daemon can count
alone.  Each records the attempts that it makes and those that others report
(`process/crash_reports.py`).  Nothing is kept for a request until it loses a
connection, except that it is running.

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
import hashlib
import logging
import math
import time

from woadrun.connection import attempt_reports
from woadrun.decisions import crash_limit
from woadrun.request import fingerprints

log = logging.getLogger('woadrun.crashes')

# Maximum number of requests with a record, about 1 KB each.
MAX_RECORDS = 4096
# Maximum number of attempts in a record; the oldest ones are dropped first.
MAX_ATTEMPTS = 16
# Number of the oldest records among which one is dropped to make room.
MAX_EVICTION_CANDIDATES = 32
# Time for which an attempt counts as running, or as possibly ended, without
# news: its daemon may have ended itself.
RUNNING_TTL_SECONDS = 6.0
LOST_TTL_SECONDS = 30.0
# Time for which an instance that lives on may still run a request that its
# caller gave up.
GIVEN_UP_TTL_SECONDS = 1.5
# Time for which a daemon that announced an attempt counts as running it.
CLAIM_TTL_SECONDS = 0.3
# Time within which the list of instances shows that an instance has ended whose
# connections tell nothing.
ABANDONED_TTL_SECONDS = 30.0
# Maximum number of instances that are known to have ended.
MAX_ENDED_INSTANCES = 1024
# Reports are at most this much older than their age says.
REPORT_DELAY_SECONDS = 0.2
# Time for which bytes that were received before may still be delivered.
DELIVERY_SECONDS = 0.05
# Age up to which the end of an instance is reported from time to time.
MAX_REFRESHED_AGE_SECONDS = 180.0
# Maximum number of requests of which a daemon that has started is told.
MAX_TOLD_RECORDS = 1024

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
# States of attempts that bytes of their instance settle.
DOUBTED_STATES = (State.LOST, State.ABANDONED)
# States of attempts whose instance may end or may have ended.
OPEN_STATES = frozenset((State.RUNNING, State.ABANDONED, State.LOST))


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Attempt:
  """The state of an attempt since the time `at`."""

  state: State
  at: float


@dataclasses.dataclass(kw_only=True)
class _Record:
  """The attempts of a request by instance; `complete_at` is the last success.

  Attempts before the last success are not kept.  `claimed_at_by_daemon` has the
  times at which daemons announced an attempt.  `is_refused` is set once enough
  instances ended, `is_shared` once another daemon has a record too.
  """

  attempt_by_instance: dict[str, _Attempt] = dataclasses.field(
    default_factory=dict
  )
  complete_at: float = -math.inf
  claimed_at_by_daemon: dict[str, float] = dataclasses.field(
    default_factory=dict
  )
  is_refused: bool = False
  is_shared: bool = False

  def find(self, state: State, *, since: float = -math.inf) -> list[str]:
    """Returns the instances whose attempt entered a state since a time."""
    return [
      id
      for id, attempt in self.attempt_by_instance.items()
      if attempt.state is state and attempt.at >= since
    ]


class CrashRecords:
  """The attempts that ended their instances, or may have.

  `name` is the name of this daemon.
  `on_change` is called with each report of this daemon, for all others.
  `on_ended` is called with each instance that has ended.
  """

  def __init__(
    self,
    *,
    name: str,
    on_change: Callable[[attempt_reports.AttemptReport], None] = (
      lambda report: None
    ),
    on_ended: Callable[[str], None] = lambda incarnation_id: None,
  ) -> None:
    self._name = name
    self._on_change = on_change
    self._on_ended = on_ended
    self._record_by_fingerprint: dict[str, _Record] = {}
    self._ended_at_by_instance: dict[str, float] = {}
    # This daemon's running attempts, by request and instance.
    self._running: dict[str, collections.Counter[str]] = {}
    # Those of them that it announced, as request and instance.
    self._announced: set[tuple[str, str]] = set()
    # The requests whose connection this daemon lost, without an outcome yet.
    self._disconnected_by_instance: dict[str, set[str]] = {}
    # The requests with an attempt that bytes of its instance can settle.
    self._doubted_by_instance: dict[str, set[str]] = {}
    # The refused requests, by each instance that ended under them.
    self._refused_by_instance: dict[str, set[str]] = {}

  def __len__(self) -> int:
    return len(self._record_by_fingerprint)

  # --- Decisions ------------------------------------------------------------

  def judge(self, fingerprint: str) -> crash_limit.Verdict:
    """Returns whether a request may be sent to an instance now."""
    record = self._record_by_fingerprint.get(fingerprint)
    if record is None:
      return crash_limit.Verdict.RUN
    now = time.monotonic()
    running = record.find(State.RUNNING, since=now - RUNNING_TTL_SECONDS)
    given_up = record.find(State.ABANDONED, since=now - GIVEN_UP_TTL_SECONDS)
    claims = self._count_claims(record, fingerprint, now)
    return crash_limit.decide(
      ended=self._count_ended(fingerprint, record, now),
      lost=len(record.find(State.LOST, since=now - LOST_TTL_SECONDS)),
      running=len(running) + len(given_up) + claims,
    )

  def describe(self, fingerprint: str) -> str:
    """Returns the states of a request's attempts and their ages, for logs."""
    record = self._record_by_fingerprint.get(fingerprint, _Record())
    now = time.monotonic()
    return ', '.join(
      f'{id} {attempt.state.name} {now - attempt.at:.2f} s'
      for id, attempt in record.attempt_by_instance.items()
    )

  def _count_claims(self, record: _Record, fingerprint: str, now: float) -> int:
    """Returns the claims of daemons that go before this one.

    Daemons that claim a request at the same time would otherwise all wait for
    each other, or all send it.
    """
    own_rank = _get_rank(fingerprint, self._name)
    return sum(
      name != self._name
      and now - at < CLAIM_TTL_SECONDS
      and _get_rank(fingerprint, name) < own_rank
      for name, at in record.claimed_at_by_daemon.items()
    )

  def claim(self, fingerprint: str) -> bool:
    """Announces that this daemon is about to send a request to an instance.

    Returns False if another claim of this daemon is in force.
    """
    now = time.monotonic()
    record = self._get_record(fingerprint)
    claimed_at = record.claimed_at_by_daemon.get(self._name, -math.inf)
    if now - claimed_at < CLAIM_TTL_SECONDS:
      return False
    self._set(fingerprint, self._name, State.CLAIMED)
    return True

  def release(self, fingerprint: str) -> None:
    """Ends a claim of this daemon, for itself: for others it expires."""
    record = self._record_by_fingerprint.get(fingerprint)
    if record is not None:
      record.claimed_at_by_daemon.pop(self._name, None)

  def is_unresolved(self, fingerprint: str) -> bool:
    """Returns whether a request may have ended instances, and none for sure."""
    record = self._record_by_fingerprint.get(fingerprint)
    if record is None or record.find(State.ENDED):
      return False
    return bool(
      record.find(State.LOST, since=time.monotonic() - LOST_TTL_SECONDS)
    )

  def is_suspect(self, fingerprint: str) -> bool:
    """Returns whether a request ended an instance, or may have."""
    record = self._record_by_fingerprint.get(fingerprint)
    if record is None:
      return False
    now = time.monotonic()
    is_lost = record.find(State.LOST, since=now - LOST_TTL_SECONDS)
    return bool(is_lost) or self._count_ended(fingerprint, record, now) > 0

  def find_avoided(self, fingerprint: str) -> set[str]:
    """Returns the instances that a suspect request should not be sent to.

    They are running other suspect requests: if one of them ended, it would not
    be known which request it was.  Returns none for other requests.
    """
    if not self.is_suspect(fingerprint):
      return set()
    since = time.monotonic() - RUNNING_TTL_SECONDS
    return {
      id
      for other, record in self._record_by_fingerprint.items()
      if other != fingerprint and record.find(State.ENDED)
      for id in record.find(State.RUNNING, since=since)
    }

  def has_last_attempt(self, fingerprint: str) -> bool:
    """Returns whether a request is refused if one more instance ends."""
    record = self._record_by_fingerprint.get(fingerprint)
    return (
      record is not None
      and self._count_ended(fingerprint, record, time.monotonic())
      == crash_limit.MAX_ENDED_INSTANCES - 1
    )

  def find_ended(self, fingerprint: str) -> list[str]:
    """Returns the instances that ended while they ran a request."""
    record = self._record_by_fingerprint.get(fingerprint)
    return [] if record is None else record.find(State.ENDED)

  def count_quarantined(self) -> int:
    """Returns the number of requests that are refused."""
    now = time.monotonic()
    return sum(
      self._count_ended(fingerprint, record, now)
      >= crash_limit.MAX_ENDED_INSTANCES
      for fingerprint, record in self._record_by_fingerprint.items()
    )

  def _count_ended(self, fingerprint: str, record: _Record, now: float) -> int:
    ended = record.find(State.ENDED)
    # One end that is due to no other request makes all of them suspicious.
    if all(self._is_explained(fingerprint, record, id) for id in ended):
      return 0
    last_at = max(record.attempt_by_instance[id].at for id in ended)
    return crash_limit.count_ended(len(ended), seconds=now - last_at)

  def _is_explained(self, fingerprint: str, record: _Record, id: str) -> bool:
    """Returns whether the end of an instance is put down to another request.

    That is one that is refused, and under which an instance ended that did not
    run this request.  Of two that are refused it is the one under which all the
    same instances ended, and more; otherwise both are.
    """
    own = set(record.find(State.ENDED))
    for other in self._refused_by_instance.get(id, ()):
      found = self._record_by_fingerprint.get(other)
      if other == fingerprint or found is None:
        continue
      others = set(found.find(State.ENDED))
      if others > own or (others - own and not record.is_refused):
        return True
    return False

  def _record_refusals(self, fingerprints: Iterable[str]) -> None:
    """Notes which requests are refused from now on.

    Those that reach the limit by the same end are judged by the same records.
    """
    now = time.monotonic()
    found = [
      (fingerprint, record)
      for fingerprint in fingerprints
      if (record := self._record_by_fingerprint.get(fingerprint)) is not None
      and (
        record.is_refused
        or self._count_ended(fingerprint, record, now)
        >= crash_limit.MAX_ENDED_INSTANCES
      )
    ]
    for fingerprint, record in found:
      record.is_refused = True
      for id in record.find(State.ENDED):
        self._refused_by_instance.setdefault(id, set()).add(fingerprint)

  def _forget_refusal(self, fingerprint: str) -> None:
    for id, refused in list(self._refused_by_instance.items()):
      refused.discard(fingerprint)
      if not refused:
        del self._refused_by_instance[id]

  # --- Attempts of this daemon ----------------------------------------------

  @contextlib.contextmanager
  def run(self, fingerprint: str, incarnation_id: str) -> Iterator[None]:
    """Returns a context in which an instance runs a request.

    If it is left without another state of the attempt, the request counts as
    abandoned.
    """
    running = self._running.setdefault(fingerprint, collections.Counter())
    running[incarnation_id] += 1
    if fingerprint in self._record_by_fingerprint:
      self._announce(fingerprint, incarnation_id)
      self.release(fingerprint)
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
    """Sets the state of an attempt to running, unless another one is open.

    The instance may have ended under that one, and refuse this one.
    """
    known = self._get_state(fingerprint, incarnation_id)
    if known is not State.ENDED and known not in OPEN_STATES:
      self._announced.add((fingerprint, incarnation_id))
      self._set_if_suspect(fingerprint, incarnation_id, State.RUNNING)

  def is_announced(self, fingerprint: str, incarnation_id: str) -> bool:
    """Returns whether this daemon announced an attempt that is running."""
    is_running = self._get_state(fingerprint, incarnation_id) is State.RUNNING
    return is_running and (fingerprint, incarnation_id) in self._announced

  def _end_announced(self, fingerprint: str, incarnation_id: str) -> None:
    """Sets an attempt that was announced and has no outcome to abandoned."""
    if (fingerprint, incarnation_id) not in self._announced:
      return
    self._announced.discard((fingerprint, incarnation_id))
    if self._get_state(fingerprint, incarnation_id) is State.RUNNING:
      self._set_if_shared(fingerprint, incarnation_id, State.ABANDONED)

  def _get_state(self, fingerprint: str, incarnation_id: str) -> State | None:
    """Returns the state of an attempt, or None if it has no record."""
    attempt = self._get_attempt(fingerprint, incarnation_id)
    return None if attempt is None else attempt.state

  def _get_attempt(
    self, fingerprint: str, incarnation_id: str
  ) -> _Attempt | None:
    record = self._record_by_fingerprint.get(fingerprint)
    if record is None:
      return None
    return record.attempt_by_instance.get(incarnation_id)

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
    return any(
      self._is_open(record, incarnation_id)
      for record in self._record_by_fingerprint.values()
    )

  def _is_open(self, record: _Record, incarnation_id: str) -> bool:
    attempt = record.attempt_by_instance.get(incarnation_id)
    return attempt is not None and attempt.state in OPEN_STATES

  def lose(self, fingerprint: str, incarnation_id: str) -> None:
    """Records that the connection of an attempt was lost."""
    if not self.has_ended(incarnation_id):
      self._disconnected_by_instance.setdefault(incarnation_id, set()).add(
        fingerprint
      )
    self._set_open(fingerprint, incarnation_id)

  def orphan(self, fingerprint: str, incarnation_id: str) -> None:
    """Records that nobody waits for an attempt that has no outcome.

    Its instance may still end, and counts like one whose connection was lost.
    """
    if self._get_state(fingerprint, incarnation_id) is not State.ENDED:
      self._set_open(fingerprint, incarnation_id)

  def _set_open(self, fingerprint: str, incarnation_id: str) -> None:
    is_ended = self.has_ended(incarnation_id)
    state = State.ENDED if is_ended else State.LOST
    self._set(fingerprint, incarnation_id, state)
    if is_ended:
      self._record_refusals([fingerprint])

  def has_ended(self, incarnation_id: str) -> bool:
    """Returns whether an instance is known to have ended."""
    return incarnation_id in self._ended_at_by_instance

  def abandon(self, fingerprint: str, incarnation_id: str) -> None:
    """Records that this daemon gave up waiting for a response."""
    if self._get_state(fingerprint, incarnation_id) is not State.ENDED:
      self._set_if_suspect(fingerprint, incarnation_id, State.ABANDONED)

  def give_up(self, incarnation_id: str) -> None:
    """Records that it cannot be told whether an instance has ended."""
    for fingerprint, record in list(self._record_by_fingerprint.items()):
      attempt = record.attempt_by_instance.get(incarnation_id)
      if attempt is not None and attempt.state is State.LOST:
        self._set(fingerprint, incarnation_id, State.ABANDONED)

  def doubt(self, incarnation_id: str) -> None:
    """Records that an instance which lived on has gone silent."""
    since = time.monotonic() - ABANDONED_TTL_SECONDS
    for fingerprint, record in list(self._record_by_fingerprint.items()):
      if incarnation_id in record.find(State.ABANDONED, since=since):
        self._set(fingerprint, incarnation_id, State.LOST)

  def find_open_attempts(self, fingerprint: str) -> list[str]:
    """Returns the instances that may have ended, or may end, under a request.

    Without those that this daemon is waiting for, or has probed in vain.
    """
    record = self._record_by_fingerprint.get(fingerprint)
    if record is None:
      return []
    since = time.monotonic() - ABANDONED_TTL_SECONDS
    running = self._running.get(fingerprint, collections.Counter())
    return [
      id
      for id, attempt in record.attempt_by_instance.items()
      if attempt.state in OPEN_STATES
      and attempt.at > since
      and id not in running
      and not self._is_probed(fingerprint, id, attempt)
    ]

  def _is_probed(self, fingerprint: str, id: str, attempt: _Attempt) -> bool:
    """Returns whether a lost connection was probed without a result."""
    requests = self._disconnected_by_instance.get(id, ())
    return attempt.state is State.ABANDONED and fingerprint in requests

  def find_open(self) -> set[str]:
    """Returns the instances of which it is not known whether they ended."""
    now = time.monotonic()
    return {
      id
      for record in self._record_by_fingerprint.values()
      for id, attempt in record.attempt_by_instance.items()
      if attempt.state in (State.LOST, State.ABANDONED)
      and now - attempt.at < ABANDONED_TTL_SECONDS
    }

  def resolve(
    self, incarnation_id: str, *, is_ended: bool, before: float = math.inf
  ) -> list[str]:
    """Records whether an instance has ended; returns the requests it lost.

    That is the state of the attempts whose outcome was not known, of those that
    failed before a time.
    """
    found = [
      fingerprint
      for fingerprint, record in self._record_by_fingerprint.items()
      if self._is_open(record, incarnation_id)
      and (attempt := record.attempt_by_instance[incarnation_id]).at <= before
      # What another daemon runs there goes on as long as the instance does.
      and (is_ended or attempt.state is State.LOST)
    ]
    if is_ended:
      self._record_end(incarnation_id, time.monotonic())
    for fingerprint in found:
      is_over = self._take_disconnected(fingerprint, incarnation_id)
      state = State.ENDED
      if not is_ended:
        # An instance that lives on may still run what its caller gave up.
        state = State.SURVIVED if is_over else State.ABANDONED
      self._set(fingerprint, incarnation_id, state)
    if is_ended:
      self._record_refusals(found)
    return found

  def excuse(self, incarnation_id: str) -> None:
    """Records that an instance ended as planned, under no request."""
    for fingerprint, record in list(self._record_by_fingerprint.items()):
      if self._is_open(record, incarnation_id):
        self._take_disconnected(fingerprint, incarnation_id)
        self._set(fingerprint, incarnation_id, State.SURVIVED)

  def _take_disconnected(self, fingerprint: str, incarnation_id: str) -> bool:
    """Returns whether a lost connection had no outcome; it has one now."""
    found = self._disconnected_by_instance.get(incarnation_id, set())
    if fingerprint not in found:
      return False
    found.discard(fingerprint)
    if not found:
      del self._disconnected_by_instance[incarnation_id]
    return True

  def _record_survival(self, incarnation_id: str) -> None:
    """Records that an instance has outlived attempts that were lost there."""
    limit = time.monotonic() - DELIVERY_SECONDS
    for fingerprint in list(self._doubted_by_instance[incarnation_id]):
      attempt = self._get_attempt(fingerprint, incarnation_id)
      if attempt is not None and attempt.at >= limit:
        continue
      is_over = self._take_disconnected(fingerprint, incarnation_id)
      self._take_doubted(fingerprint, incarnation_id)
      if attempt is not None and attempt.state in DOUBTED_STATES:
        state = State.SURVIVED if is_over else State.ABANDONED
        if state is not attempt.state:
          self._set(fingerprint, incarnation_id, state)

  def _take_doubted(self, fingerprint: str, incarnation_id: str) -> None:
    found = self._doubted_by_instance.get(incarnation_id, set())
    found.discard(fingerprint)
    if not found:
      self._doubted_by_instance.pop(incarnation_id, None)

  def has_disconnected(self, incarnation_id: str) -> bool:
    """Returns whether this daemon lost a connection to an instance.

    Only as long as its outcome is not known.
    """
    return incarnation_id in self._disconnected_by_instance

  def is_lost(self, incarnation_id: str) -> bool:
    """Returns whether an instance may have ended with a request."""
    return any(
      attempt.state is State.LOST
      for record in self._record_by_fingerprint.values()
      if (attempt := record.attempt_by_instance.get(incarnation_id))
    )

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
    if time.monotonic() > ended_at + REPORT_DELAY_SECONDS:
      self.refute(incarnation_id)

  def count_running(self, incarnation_id: str) -> int:
    """Returns the attempts of this daemon that an instance is running."""
    return sum(running[incarnation_id] for running in self._running.values())

  def refute(self, incarnation_id: str) -> None:
    """Records that an instance which counts as ended runs on."""
    if self._ended_at_by_instance.pop(incarnation_id, None) is None:
      return
    log.info('Instance %s has not ended.', incarnation_id)
    for fingerprint, record in list(self._record_by_fingerprint.items()):
      attempt = record.attempt_by_instance.get(incarnation_id)
      if attempt is not None and attempt.state is State.ENDED:
        self._set(fingerprint, incarnation_id, State.SURVIVED)

  def find_ended_since(self, seconds: float) -> list[str]:
    """Returns the instances that ended at least some seconds ago."""
    limit = time.monotonic() - seconds
    return [id for id, at in self._ended_at_by_instance.items() if at <= limit]

  def _set_if_suspect(
    self, fingerprint: str, incarnation_id: str, state: State
  ) -> None:
    """Sets the state of an attempt, which is reported only if it matters.

    It matters to others if the request is suspect, or once its instance is
    found to have ended.
    """
    is_reported = self.is_suspect(fingerprint)
    self._set(fingerprint, incarnation_id, state, is_reported=is_reported)

  def _set_if_shared(
    self, fingerprint: str, incarnation_id: str, state: State
  ) -> None:
    """Sets the state of an attempt, which is reported if others have a record.

    They may know of open attempts, or of ends, that no longer matter here.
    """
    record = self._get_record(fingerprint)
    is_reported = record.is_shared
    self._set(fingerprint, incarnation_id, state, is_reported=is_reported)

  def _set(
    self,
    fingerprint: str,
    incarnation_id: str,
    state: State,
    *,
    is_reported: bool = True,
  ) -> None:
    now = time.monotonic()
    record = self._get_record(fingerprint)
    self._apply(record, fingerprint, incarnation_id, state, now, is_own=True)
    if is_reported:
      record.is_shared = True
      self._on_change(
        attempt_reports.AttemptReport(fingerprint, incarnation_id, state, 0.0)
      )

  def _get_record(self, fingerprint: str) -> _Record:
    """Returns the record of a request, as the newest one, maybe a new one."""
    record = self._record_by_fingerprint.pop(fingerprint, None)
    if record is None:
      record = _Record()
      if len(self._record_by_fingerprint) >= MAX_RECORDS:
        self._evict()
    self._record_by_fingerprint[fingerprint] = record
    return record

  def _evict(self) -> None:
    """Drops a record, of the oldest ones one with the fewest ended instances.

    A flood of requests that lose their connections must not displace the
    requests that are refused.
    """
    candidates = list(self._record_by_fingerprint)[:MAX_EVICTION_CANDIDATES]
    chosen = min(
      candidates,
      key=lambda item: len(self._record_by_fingerprint[item].find(State.ENDED)),
    )
    self._drop(chosen)

  def _drop(self, fingerprint: str) -> None:
    record = self._record_by_fingerprint.pop(fingerprint)
    for id in record.attempt_by_instance:
      self._take_disconnected(fingerprint, id)
    if record.is_refused:
      self._forget_refusal(fingerprint)

  def _apply(
    self,
    record: _Record,
    fingerprint: str,
    incarnation_id: str,
    state: State,
    at: float,
    *,
    is_own: bool = False,
  ) -> None:
    attempts = record.attempt_by_instance
    if state is State.CLAIMED:
      record.claimed_at_by_daemon = {
        name: claimed_at
        for name, claimed_at in record.claimed_at_by_daemon.items()
        if at - claimed_at < CLAIM_TTL_SECONDS
      } | {incarnation_id: at}
      return
    was_ended = len(record.find(State.ENDED))
    if state is State.COMPLETE:
      if record.is_refused:
        record.is_refused = False
        self._forget_refusal(fingerprint)
      record.complete_at = at
      record.attempt_by_instance = {
        id: attempt for id, attempt in attempts.items() if attempt.at > at
      }
      if was_ended and is_own:
        log.info(
          'Request fingerprint %s is cleared of %d ended instances: %s '
          'completed it.',
          fingerprints.shorten(fingerprint),
          was_ended,
          incarnation_id,
        )
      return
    was_known = incarnation_id in record.find(State.ENDED)
    if state is State.LOST:
      self._doubted_by_instance.setdefault(incarnation_id, set()).add(
        fingerprint
      )
    attempts.pop(incarnation_id, None)
    attempts[incarnation_id] = _Attempt(state=state, at=at)
    if len(attempts) > MAX_ATTEMPTS:
      del attempts[min(attempts, key=lambda id: attempts[id].state)]
    count = len(record.find(State.ENDED))
    is_limit = count == crash_limit.MAX_ENDED_INSTANCES
    if state is State.ENDED and not was_known and (is_own or is_limit):
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
    self, reports: Iterable[attempt_reports.AttemptReport]
  ) -> list[attempt_reports.AttemptReport]:
    """Adds the reports of another daemon; returns those that are news."""
    now = time.monotonic()
    news = [
      report
      for report in reports
      if self._apply_report(report, now - max(0.0, report.age))
    ]
    self._record_refusals(
      {item.fingerprint for item in news if item.state is State.ENDED}
    )
    return news

  def _apply_report(
    self, report: attempt_reports.AttemptReport, at: float
  ) -> bool:
    """Returns whether a report, about a state entered at `at`, is news."""
    known = self._record_by_fingerprint.get(report.fingerprint)
    if known is None and report.state in HARMLESS_STATES:
      return False
    if known is not None and not _is_news(known, report, at):
      return False
    record = self._get_record(report.fingerprint)
    record.is_shared = True
    self._apply(
      record, report.fingerprint, report.incarnation_id, report.state, at
    )
    if report.state is State.ENDED and not self.has_ended(
      report.incarnation_id
    ):
      self._record_end(report.incarnation_id, at)
      if not self.count_running(report.incarnation_id):
        self.resolve(report.incarnation_id, is_ended=True)
    if known is None:
      # The others do not know of the attempts that were no matter until now.
      for id in list(self._running.get(report.fingerprint, ())):
        if id not in record.attempt_by_instance:
          self._announced.add((report.fingerprint, id))
          self._set(report.fingerprint, id, State.RUNNING)
    return True

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
    age = round(time.monotonic() - attempt.at, 3)
    return attempt_reports.AttemptReport(
      report.fingerprint, report.incarnation_id, attempt.state, age
    )

  def find_reports(self, *, limit: int) -> list[attempt_reports.AttemptReport]:
    """Returns reports of ended instances, the least recently returned first.

    A daemon that has just started learns of them by these.
    """
    now = time.monotonic()
    found: list[attempt_reports.AttemptReport] = []
    for fingerprint in list(self._record_by_fingerprint):
      record = self._record_by_fingerprint[fingerprint]
      ended = record.find(State.ENDED, since=now - MAX_REFRESHED_AGE_SECONDS)
      if not ended:
        continue
      if found and len(found) + len(ended) > limit:
        break
      found.extend(
        attempt_reports.AttemptReport(
          fingerprint,
          id,
          State.ENDED,
          round(now - record.attempt_by_instance[id].at, 3),
        )
        for id in ended
      )
      self._record_by_fingerprint[fingerprint] = (
        self._record_by_fingerprint.pop(fingerprint)
      )
    return found

  def list_reports(self) -> list[attempt_reports.AttemptReport]:
    """Returns what a daemon that has just started should know.

    Ends come first: other states are news only of a request that is known.
    """
    now = time.monotonic()
    newest = list(self._record_by_fingerprint.items())[-MAX_TOLD_RECORDS:]
    found = [
      attempt_reports.AttemptReport(
        fingerprint, id, attempt.state, round(now - attempt.at, 3)
      )
      for fingerprint, record in newest
      for id, attempt in record.attempt_by_instance.items()
      if attempt.state is State.ENDED or attempt.state in OPEN_STATES
    ]
    return sorted(found, key=lambda report: report.state is not State.ENDED)

  def drop_expired(self) -> None:
    """Drops the records that no longer count."""
    now = time.monotonic()
    for id in self.find_ended_since(
      crash_limit.MAX_ENDED_INSTANCES * crash_limit.QUARANTINE_SECONDS
    ):
      del self._ended_at_by_instance[id]
    for fingerprint, record in list(self._record_by_fingerprint.items()):
      newest = max(
        (attempt.at for attempt in record.attempt_by_instance.values()),
        default=record.complete_at,
      )
      is_recent = now - newest < ABANDONED_TTL_SECONDS
      if not is_recent and not _counts(record, now):
        self._drop(fingerprint)
    for index in (self._disconnected_by_instance, self._doubted_by_instance):
      for id, requests in list(index.items()):
        requests.intersection_update(
          fingerprint
          for fingerprint in requests.copy()
          if self._get_state(fingerprint, id) in DOUBTED_STATES
        )
        if not requests:
          del index[id]


def _counts(record: _Record, now: float) -> bool:
  """Returns whether an end still counts, whichever request it is due to."""
  ended = record.find(State.ENDED)
  at = max((record.attempt_by_instance[id].at for id in ended), default=now)
  return crash_limit.count_ended(len(ended), seconds=now - at) > 0


def _is_news(
  record: _Record, report: attempt_reports.AttemptReport, at: float
) -> bool:
  """Returns whether a report is newer than what a record has.

  Times of reports differ by their delay, so that a report about the same
  attempt is newer by its state.
  """
  if at <= record.complete_at + REPORT_DELAY_SECONDS:
    return False
  if report.state is State.COMPLETE:
    return True
  if report.state is State.CLAIMED:
    claimed_at = record.claimed_at_by_daemon.get(report.incarnation_id)
    return claimed_at is None or at > claimed_at + REPORT_DELAY_SECONDS
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
  is_later = STATE_ORDER.index(report.state) > STATE_ORDER.index(known.state)
  return is_later or at > known.at + REPORT_DELAY_SECONDS


def _get_rank(fingerprint: str, name: str) -> bytes:
  """Returns the place of a daemon among those that claim a request."""
  return hashlib.blake2b(f'{fingerprint} {name}'.encode()).digest()
