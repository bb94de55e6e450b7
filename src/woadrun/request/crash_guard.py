"""Keeps a request that ends its instances from being sent to more of them.

A lost connection does not tell whether the instance has ended: the instance is
probed over a new connection.  So is one that nobody waits for any more, once
the request is sent again.  Until then, and as long as nothing is known of an
instance, it holds one of the places of the request
(`decisions/crash_limit.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging
import math
import time
from typing import Protocol

import mode

from woadrun import errors
from woadrun.decisions import crash_limit
from woadrun.process import catalogue
from woadrun.process import counters
from woadrun.process import ticks
from woadrun.process.load import crash_records
from woadrun.request import ended_instances
from woadrun.request import exchange
from woadrun.request import fingerprints
from woadrun.version import instances

log = logging.getLogger('woadrun.crashes')

POLL_INTERVAL_SECONDS = 0.05
PROBE_POLL_SECONDS = 0.005
# Time for which a request waits for a probe of its earlier attempts.
PROBE_WAIT_SECONDS = 0.05
# Time after which an instance must be in the list of a daemon that works.
UNLISTED_TIMEOUT_SECONDS = 5.0
# Probes of an instance whose connection opens and breaks off without an answer.
MAX_PROBES = 3
PROBE_INTERVAL_SECONDS = 0.05
# Time within which all connections to an instance that has ended are lost.
SETTLE_SECONDS = 0.01
# Interval between two comparisons with the list of instances.
CHECK_INTERVAL_SECONDS = 0.25
# Interval at which records that no longer count are dropped.
EXPIRY_INTERVAL_SECONDS = 2.0


class Reports(Protocol):
  """What the guard needs of `process/crash_reports.py`."""

  async def catch_up(self, until: float) -> bool:
    """Returns whether this daemon knows what others recorded, once it does."""

  async def claim(self, fingerprint: str) -> str | None:
    """Returns a claim of a place for a request, None if there is none left."""

  async def wait_for_delivery(self) -> None:
    """Returns once the others know what was reported, or after a while."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Admission:
  """At which instances a request may run, and the claim of a place for that.

  `holders` are the only instances that may run it, None if any may.
  """

  fingerprint: str
  claim_id: str = ''
  holders: frozenset[str] | None = None


class CrashGuard(mode.Service):
  """Admits requests to instances, and finds out which instances have ended.

  `is_domain_silent` returns whether a failure domain is cut off from this
  daemon, which cannot tell then whether an instance there has ended.
  `reports` tells the other daemons.
  """

  def __init__(
    self,
    *,
    records: crash_records.CrashRecords,
    upstreams: exchange.Upstreams,
    catalogue: catalogue.Catalogue,
    counters: counters.Counters,
    is_domain_silent: Callable[[str], bool],
    reports: Reports,
    ends: ended_instances.EndMonitor,
  ) -> None:
    super().__init__()
    self._ends = ends
    self.records = records
    self._upstreams = upstreams
    self._catalogue = catalogue
    self._counters = counters
    self._is_domain_silent = is_domain_silent
    self._reports = reports
    # The attempts without an outcome yet, by `id()`.
    self._unfinished: set[int] = set()
    # The instances whose end is not known, with the probe of each.
    self._probe_by_id: dict[str, asyncio.Task[None]] = {}
    self._instance_by_id: dict[str, instances.Instance] = {}
    # Those of them that were probed since they left the list.
    self._unlisted_ids: set[str] = set()

  # --- Requests -------------------------------------------------------------

  async def admit(
    self,
    fingerprint: str,
    *,
    service: str,
    deadline: float,
    work_seconds: float,
  ) -> Admission:
    """Returns where a request may be sent, once it may be sent anywhere.

    `deadline` is on the monotonic clock, and `work_seconds` the usual duration
    of such requests.  Raises `request_quarantined` if too many instances ended
    under the request, and `upstream_unavailable` if that is not known in time.
    The caller has to `release` the admission.
    """
    until = get_wait_end(deadline, work_seconds=work_seconds)
    if not await self._reports.catch_up(until):
      raise make_undecided(fingerprint, work_seconds=work_seconds)
    while (
      admission := await self._find_admission(fingerprint, service)
    ) is None:
      is_late = time.monotonic() >= until
      if is_late or not self.records.has_running_attempt(fingerprint):
        self._log_verdict(fingerprint, 'may not be sent')
        self._counters.record_undecided(service)
        raise make_undecided(fingerprint, work_seconds=work_seconds)
      await asyncio.sleep(POLL_INTERVAL_SECONDS)
    self._log_verdict(
      fingerprint,
      'may be sent'
      if admission.holders is None
      else f'may be sent to {", ".join(sorted(admission.holders))}',
    )
    return admission

  def release(self, admission: Admission) -> None:
    """Gives the place of an admission back, unless an instance has it."""
    if admission.claim_id:
      self.records.release(admission.fingerprint, admission.claim_id)

  async def wait_for_delivery(self, fingerprint: str) -> None:
    """Returns once the others know of a failed attempt, or after a while.

    A caller sends its request again as soon as it has the error, maybe to a
    daemon that would not know yet.
    """
    if self.records.has_places_taken(fingerprint):
      await self._reports.wait_for_delivery()

  def _log_verdict(self, fingerprint: str, verdict: str) -> None:
    """Logs why a request with a record was sent on, or was not."""
    attempts = self.records.describe(fingerprint)
    if attempts:
      log.info(
        'Request fingerprint %s %s: places held by %s.',
        fingerprints.shorten(fingerprint),
        verdict,
        attempts,
      )

  async def _find_admission(
    self, fingerprint: str, service: str
  ) -> Admission | None:
    """Returns where a request may be sent now, None if it has to wait."""
    until = time.monotonic() + PROBE_WAIT_SECONDS
    probed = self._probe_open_attempts(fingerprint)
    while (
      self.records.is_unresolved(fingerprint) or probed & set(self._probe_by_id)
    ) and time.monotonic() < until:
      # A probe mostly tells at once that only a connection was lost.
      await asyncio.sleep(PROBE_POLL_SECONDS)
    verdict = self._judge(fingerprint, service)
    if not self.records.has_places_taken(fingerprint):
      return Admission(fingerprint=fingerprint)
    if verdict is crash_limit.Verdict.RUN:
      claim_id = await self._reports.claim(fingerprint)
      if claim_id is not None:
        return Admission(fingerprint=fingerprint, claim_id=claim_id)
      self._judge(fingerprint, service)
    listed = self._catalogue.directory.get_incarnation_ids()
    holders = self.records.find_usable(fingerprint) & listed
    if holders:
      return Admission(fingerprint=fingerprint, holders=frozenset(holders))
    return None

  def _judge(self, fingerprint: str, service: str) -> crash_limit.Verdict:
    """Returns the verdict on a request; raises `request_quarantined`."""
    verdict = self.records.judge(fingerprint)
    if verdict is crash_limit.Verdict.REFUSE:
      self._counters.record_quarantined(service)
      raise _make_quarantined(fingerprint, self.records.find_ended(fingerprint))
    return verdict

  @contextlib.contextmanager
  def run(self, sending: exchange.RequestAttempt) -> Iterator[None]:
    """Returns a context in which an instance runs a request.

    If it is left without an outcome, nobody waits for the response any more.
    """
    key = id(sending)
    self._unfinished.add(key)
    incarnation_id = sending.instance.incarnation_id
    with self.records.run(
      sending.fingerprint, incarnation_id, claim_id=sending.claim_id
    ):
      try:
        yield
      finally:
        if key in self._unfinished:
          self.record_error(sending, exchange.ResponseOverdue())

  def record_reply(
    self, sending: exchange.RequestAttempt, reply: exchange.Reply
  ) -> None:
    """Records that the response of an instance to an attempt has begun."""
    self.record_bytes(sending, reply)
    statement = reply.statement
    if statement is not None and statement.is_of_other_instance:
      self._note_other_instance(sending.instance)
    if not reply.has_run:
      self._unfinished.discard(id(sending))
      self.records.reject(sending.fingerprint, sending.instance.incarnation_id)

  def record_bytes(
    self, sending: exchange.RequestAttempt, reply: exchange.Reply
  ) -> None:
    """Records that a part of a response has arrived.

    Only its own response shows that an instance lives: another process at its
    address answers as well.
    """
    if reply.is_genuine:
      self.records.record_bytes(sending.instance.incarnation_id)
      self._ends.note_bytes(sending.instance.incarnation_id)

  def _note_other_instance(self, instance: instances.Instance) -> None:
    """Finds out whether an instance at whose address another one answers lives.

    Without health checks, the answer is all that there is to know.
    """
    if not self.records.has_open_attempt(instance.incarnation_id):
      return
    if self._catalogue.get_health_path(instance.service):
      self._start_probe(instance)
    else:
      self._resolve(instance, is_ended=True)

  def record_complete(
    self, sending: exchange.RequestAttempt, reply: exchange.Reply
  ) -> None:
    """Records that the response of an instance ended without an error."""
    self._unfinished.discard(id(sending))
    if not (reply.has_run and reply.is_genuine):
      return
    fingerprint = sending.fingerprint
    incarnation_id = sending.instance.incarnation_id
    if not reply.ends_with_connection:
      self.records.complete(fingerprint, incarnation_id)
    elif self.records.is_announced(
      fingerprint, incarnation_id
    ) or self.records.has_places_taken(fingerprint):
      # The connection of an instance that ends may close in order as well.
      self._record_loss(sending, is_over=True)

  def record_error(
    self, sending: exchange.RequestAttempt, error: BaseException
  ) -> None:
    """Records the error by which an attempt failed."""
    instance = sending.instance
    incarnation_id = instance.incarnation_id
    if isinstance(error, exchange.RequestNotSent):
      self._unfinished.discard(id(sending))
      self.records.reject(sending.fingerprint, incarnation_id)
      if self.records.has_open_attempt(incarnation_id):
        self._start_probe(instance)
    elif isinstance(error, exchange.ResponseLost):
      self._unfinished.discard(id(sending))
      if isinstance(error, exchange.ResponseOverdue):
        self._record_orphan(sending)
      else:
        self._record_loss(sending)

  def _record_loss(
    self, sending: exchange.RequestAttempt, *, is_over: bool = False
  ) -> None:
    """Records that the connection of an attempt ended; probes its instance."""
    id = sending.instance.incarnation_id
    self._instance_by_id[id] = sending.instance
    self.records.lose(sending.fingerprint, id, is_over=is_over)
    if not self.records.has_ended(id):
      self._start_probe(sending.instance)

  def _record_orphan(self, sending: exchange.RequestAttempt) -> None:
    id = sending.instance.incarnation_id
    self._instance_by_id[id] = sending.instance
    self.records.orphan(sending.fingerprint, id)
    log.info(
      'Request %s (fingerprint %s) at instance %s: given up, which may have '
      'ended it.',
      sending.request.id,
      fingerprints.shorten(sending.fingerprint),
      id,
      extra=sending.request.fields,
    )

  # --- Instances ------------------------------------------------------------

  def _probe_open_attempts(self, fingerprint: str) -> set[str]:
    """Probes the instances that may have ended, or may end, under a request.

    Returns their ids.  Another daemon that made the attempt may have ended.
    """
    probed = set()
    for id in self.records.find_open_attempts(fingerprint):
      instance = self._find_instance(id)
      if instance is None:
        # It is not in the list yet, or no sign of it can come any more.
        age = self.records.get_age(fingerprint, id)
        if age >= UNLISTED_TIMEOUT_SECONDS:
          self.records.resolve(id, is_ended=True)
        continue
      if self._is_domain_silent(instance.domain):
        continue
      self._start_probe(instance)
      probed.add(id)
    return probed

  def _find_instance(self, id: str) -> instances.Instance | None:
    directory = self._catalogue.directory
    departure = directory.departures.find(id)
    return (
      self._instance_by_id.get(id)
      or directory.find_incarnation(id)
      or (departure.instance if departure else None)
    )

  def _start_probe(self, instance: instances.Instance) -> None:
    id = instance.incarnation_id
    if id not in self._probe_by_id:
      self._probe_by_id[id] = asyncio.ensure_future(self._probe(instance))

  async def _probe(self, instance: instances.Instance) -> None:
    id = instance.incarnation_id
    try:
      began = time.monotonic()
      liveness = await self._find_liveness(instance)
    finally:
      self._probe_by_id.pop(id, None)
    is_ended = self._judge_end(instance, liveness)
    if is_ended is None:
      return
    self._resolve(
      instance, is_ended=is_ended, before=math.inf if is_ended else began
    )
    if not is_ended and self.records.is_lost(id):
      # Connections were lost since the probe was sent.
      self._start_probe(instance)

  def _judge_end(
    self, instance: instances.Instance, liveness: exchange.Liveness
  ) -> bool | None:
    """Returns whether an instance has ended by a probe, None if not known."""
    id = instance.incarnation_id
    if liveness in (exchange.Liveness.ALIVE, exchange.Liveness.ENDED):
      return liveness is exchange.Liveness.ENDED
    is_listed = self._catalogue.directory.find_incarnation(id) is not None
    if self._is_domain_silent(instance.domain):
      self.records.doubt(id)
    elif not is_listed or self._catalogue.directory.has_successor(instance):
      return True
    elif liveness is exchange.Liveness.REACHABLE:
      self.records.give_up(id)
    else:
      self.records.doubt(id)
    log.info('Instance %s lost connections, a probe tells nothing.', id)
    return None

  async def _find_liveness(
    self, instance: instances.Instance
  ) -> exchange.Liveness:
    # A health check may wait at a busy instance: where callers gave up, that
    # its address opens a connection is all that can be told at once.
    is_given_up = not self.records.has_disconnected(instance.incarnation_id)
    path = self._catalogue.get_health_path(instance.service)
    for _ in range(MAX_PROBES):
      liveness = await self._upstreams.probe(instance, health_path=path)
      if self._is_domain_silent(instance.domain):
        return exchange.Liveness.UNKNOWN
      is_reachable = liveness is exchange.Liveness.REACHABLE
      if liveness is exchange.Liveness.ALIVE or is_given_up and is_reachable:
        return liveness
      await asyncio.sleep(SETTLE_SECONDS)
      if liveness is exchange.Liveness.ENDED:
        # A full instance may refuse connections as well.  One that has ended
        # loses all that it has.
        if not self.records.count_running(instance.incarnation_id):
          return liveness
        # Where callers gave up, what still runs may be as silent.
        liveness = (
          exchange.Liveness.UNKNOWN
          if is_given_up
          else exchange.Liveness.REACHABLE
        )
      await asyncio.sleep(PROBE_INTERVAL_SECONDS)
    return liveness

  def _resolve(
    self,
    instance: instances.Instance,
    *,
    is_ended: bool,
    before: float = math.inf,
  ) -> None:
    id = instance.incarnation_id
    was_known = self.records.has_ended(id)
    lost = self.records.resolve(id, is_ended=is_ended, before=before)
    if is_ended:
      self._instance_by_id.pop(id, None)
    if is_ended and not was_known:
      self._counters.record_ended(instance.service)
      log.warning(
        'Instance %s of %s at %s has ended with %d requests of this daemon.',
        id,
        instance.service,
        instance.address,
        len(lost),
      )

  @mode.Service.task
  async def _compare_periodically(self) -> None:
    while not self.should_stop:
      await ticks.sleep(CHECK_INTERVAL_SECONDS)
      self.compare_with_list()

  @mode.Service.task
  async def _expire_periodically(self) -> None:
    while not self.should_stop:
      await ticks.sleep(EXPIRY_INTERVAL_SECONDS)
      self.records.drop_expired()

  def compare_with_list(self) -> None:
    """Probes the instances that may have ended and are no longer listed."""
    if not self._instance_by_id:
      return
    listed = self._catalogue.directory.get_incarnation_ids()
    for id, instance in list(self._instance_by_id.items()):
      if not self.records.is_open(id):
        del self._instance_by_id[id]
      elif id not in listed and id not in self._unlisted_ids:
        self._unlisted_ids.add(id)
        self._start_probe(instance)
    self._unlisted_ids &= self._instance_by_id.keys()

  async def on_stop(self) -> None:
    """Ends the probes."""
    for probe in list(self._probe_by_id.values()):
      probe.cancel()


def get_wait_end(deadline: float, *, work_seconds: float) -> float:
  """Returns until when a request waits for the outcome of its other attempts.

  These mostly end within the usual duration of the request, and the request
  itself needs as long afterwards.  Times are on the monotonic clock.
  """
  return min(deadline - work_seconds, time.monotonic() + work_seconds)


def make_undecided(
  fingerprint: str, *, work_seconds: float
) -> errors.WoadrunError:
  """Returns the error for a request that waits for others in vain.

  `work_seconds` is the usual duration of such requests.
  """
  return errors.WoadrunError(
    errors.Code.UPSTREAM_UNAVAILABLE,
    'Instances ended, or may have ended, while they ran this request '
    f'(fingerprint {fingerprints.shorten(fingerprint)}), and it is not known '
    'yet whether it may be sent to another one.',
    retry_after=work_seconds,
  )


def _make_quarantined(
  fingerprint: str, ended: list[str]
) -> errors.WoadrunError:
  # No retry delay: another try would be refused as well.
  return errors.WoadrunError(
    errors.Code.REQUEST_QUARANTINED,
    f'{len(ended)} instances ended while they ran this request (fingerprint '
    f'{fingerprints.shorten(fingerprint)}): {", ".join(ended)}.',
  )
