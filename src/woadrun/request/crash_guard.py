"""Keeps a request that ends its instances from being sent to more of them.

A lost connection does not tell whether the instance has ended: the instance is
probed over a new connection, and until the outcome is known the request counts
as one that may have ended it.  The list of instances shows later what a probe
cannot tell.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import logging
import math
import time

import mode

from woadrun import errors
from woadrun.decisions import crash_limit
from woadrun.process import catalogue
from woadrun.process import counters
from woadrun.process import ticks
from woadrun.process.load import crash_records
from woadrun.request import exchange
from woadrun.request import fingerprints
from woadrun.version import instances

log = logging.getLogger('woadrun.crashes')

# Longest wait for the outcome of other attempts of a request.
MAX_WAIT_SECONDS = 1.0
POLL_INTERVAL_SECONDS = 0.02
PROBE_POLL_SECONDS = 0.005
# Time for which an attempt of a suspect request is announced before it begins.
# Reports take a few milliseconds, and longer between distant domains.
CLAIM_SECONDS = 0.05
# Retry delay for callers of a request whose other attempts have no outcome yet.
RETRY_AFTER_SECONDS = 1.0
# Probes of an instance whose connection opens and breaks off without an answer.
MAX_PROBES = 3
PROBE_INTERVAL_SECONDS = 0.05
# Time within which all connections to an instance that has ended are lost.
SETTLE_SECONDS = 0.01
# Interval between two comparisons with the list of instances.
CHECK_INTERVAL_SECONDS = 0.25
# An instance that is listed for longer than this after its end has not ended:
# its entry would have expired.
MAX_LISTED_SECONDS = 15.0


class CrashGuard(mode.Service):
  """Admits requests to instances, and finds out which instances have ended.

  `is_domain_silent` returns whether a failure domain is cut off from this
  daemon, which cannot tell then whether an instance there has ended.
  """

  def __init__(
    self,
    *,
    records: crash_records.CrashRecords,
    upstreams: exchange.Upstreams,
    catalogue: catalogue.Catalogue,
    counters: counters.Counters,
    is_domain_silent: Callable[[str], bool],
  ) -> None:
    super().__init__()
    self.records = records
    self._upstreams = upstreams
    self._catalogue = catalogue
    self._counters = counters
    self._is_domain_silent = is_domain_silent
    # The instances whose end is not known, with the probe of each.
    self._probe_by_id: dict[str, asyncio.Task[None]] = {}
    self._instance_by_id: dict[str, instances.Instance] = {}

  # --- Requests -------------------------------------------------------------

  async def admit(
    self,
    fingerprint: str,
    *,
    service: str,
    deadline: float,
  ) -> None:
    """Returns once a request may be sent to an instance.

    `deadline` is on the monotonic clock.  Raises `request_quarantined` if
    too many instances ended under the request, and `upstream_unavailable` if
    that is not known in time.
    """
    until = min(deadline, time.monotonic() + MAX_WAIT_SECONDS)
    while not await self._may_run(fingerprint, service):
      if time.monotonic() >= until:
        raise make_undecided(fingerprint)
      await asyncio.sleep(POLL_INTERVAL_SECONDS)

  async def _may_run(self, fingerprint: str, service: str) -> bool:
    """Returns whether a request may be sent to an instance now."""
    until = time.monotonic() + CLAIM_SECONDS
    while self.records.is_unresolved(fingerprint) and time.monotonic() < until:
      # A probe mostly tells at once that only a connection was lost.
      await asyncio.sleep(PROBE_POLL_SECONDS)
    verdict = self._judge(fingerprint, service)
    if not self.records.is_suspect(fingerprint):
      return verdict is crash_limit.Verdict.RUN
    if verdict is crash_limit.Verdict.WAIT or not self.records.claim(
      fingerprint
    ):
      return False
    # Other daemons may be about to send it as well.
    await asyncio.sleep(CLAIM_SECONDS)
    verdict = self._judge(fingerprint, service)
    if verdict is crash_limit.Verdict.RUN:
      return True
    self.records.release(fingerprint)
    return False

  def _judge(self, fingerprint: str, service: str) -> crash_limit.Verdict:
    """Returns the verdict on a request; raises `request_quarantined`."""
    verdict = self.records.judge(fingerprint)
    if verdict is crash_limit.Verdict.REFUSE:
      self._counters.record_quarantined(service)
      raise _make_quarantined(fingerprint, self.records.find_ended(fingerprint))
    return verdict

  def run(
    self, sending: exchange.RequestAttempt
  ) -> contextlib.AbstractContextManager[None]:
    """Returns a context in which an instance runs a request."""
    return self.records.run(
      sending.fingerprint, sending.instance.incarnation_id
    )

  def record_reply(
    self, sending: exchange.RequestAttempt, reply: exchange.Reply
  ) -> None:
    """Records that the response of an instance to an attempt has begun."""
    self.record_bytes(sending)
    if not reply.has_run:
      self.records.reject(sending.fingerprint, sending.instance.incarnation_id)

  def record_bytes(self, sending: exchange.RequestAttempt) -> None:
    """Records that a part of a response has arrived."""
    self.records.record_bytes(sending.instance.incarnation_id)

  def record_complete(
    self, sending: exchange.RequestAttempt, reply: exchange.Reply
  ) -> None:
    """Records that the response of an instance ended without an error."""
    if reply.has_run and reply.is_genuine and not reply.ends_with_connection:
      self.records.complete(
        sending.fingerprint, sending.instance.incarnation_id
      )

  def record_error(
    self, sending: exchange.RequestAttempt, error: BaseException
  ) -> None:
    """Records the error by which an attempt failed."""
    instance = sending.instance
    id = instance.incarnation_id
    if isinstance(error, exchange.RequestNotSent):
      self.records.reject(sending.fingerprint, id)
      if self.records.has_open_attempt(id):
        self._start_probe(instance)
    elif isinstance(error, exchange.ResponseOverdue):
      # The entry of an instance may expire while a request waits for it.
      if not self._is_draining(instance):
        self._instance_by_id[id] = instance
        self.records.abandon(sending.fingerprint, id)
        _log_attempt(sending, 'given up, which may have ended it')
    elif (
      isinstance(error, exchange.ResponseLost)
      # An instance that is no longer listed may end as planned.
      and self._is_listed(instance)
      and not self._is_draining(instance)
    ):
      self._instance_by_id[id] = instance
      self.records.lose(sending.fingerprint, id)
      if not self.records.has_ended(id):
        self._start_probe(instance)
    elif isinstance(error, exchange.ResponseLost):
      state = 'draining' if self._is_draining(instance) else 'not listed'
      _log_attempt(sending, f'lost, not counted: the instance is {state}')

  def record_overdue(self, sending: exchange.RequestAttempt) -> None:
    """Records that a caller gave up on an instance that was silent."""
    self.record_error(sending, exchange.ResponseOverdue())

  def _is_listed(self, instance: instances.Instance) -> bool:
    listed = self._catalogue.directory.by_id.get(instance.id)
    return (
      listed is not None and listed.incarnation_id == instance.incarnation_id
    )

  def _is_draining(self, instance: instances.Instance) -> bool:
    listed = self._catalogue.directory.by_id.get(instance.id)
    return listed is not None and listed.is_draining

  # --- Instances ------------------------------------------------------------

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
    if liveness is exchange.Liveness.UNKNOWN:
      self.records.give_up(id)
      log.info('Instance %s lost connections and cannot be probed.', id)
      return
    is_ended = liveness is exchange.Liveness.ENDED
    self._resolve(
      instance, is_ended=is_ended, before=math.inf if is_ended else began
    )
    if self.records.is_lost(id):
      # Connections were lost since the probe was sent.
      self._start_probe(instance)

  async def _find_liveness(
    self, instance: instances.Instance
  ) -> exchange.Liveness:
    for _ in range(MAX_PROBES):
      liveness = await self._upstreams.probe(
        instance, health_path=self._get_health_path(instance)
      )
      if self._is_domain_silent(instance.domain):
        break
      if liveness is exchange.Liveness.ALIVE:
        return liveness
      await asyncio.sleep(SETTLE_SECONDS)
      # A full instance may refuse connections as well.  One that has ended
      # loses all that it has.
      is_running = self.records.count_running(instance.incarnation_id) > 0
      if liveness is exchange.Liveness.ENDED and not is_running:
        return liveness
      await asyncio.sleep(PROBE_INTERVAL_SECONDS)
    return exchange.Liveness.UNKNOWN

  def _resolve(
    self,
    instance: instances.Instance,
    *,
    is_ended: bool,
    before: float = math.inf,
  ) -> None:
    was_known = self.records.has_ended(instance.incarnation_id)
    lost = self.records.resolve(
      instance.incarnation_id, is_ended=is_ended, before=before
    )
    if is_ended:
      self._instance_by_id.pop(instance.incarnation_id, None)
    if is_ended and not was_known:
      self._counters.record_ended(instance.service)
      log.warning(
        'Instance %s of %s at %s has ended with %d requests of this daemon.',
        instance.incarnation_id,
        instance.service,
        instance.address,
        len(lost),
      )

  def _get_health_path(self, instance: instances.Instance) -> str:
    table = self._catalogue.table
    service = table.service_by_name.get(instance.service) if table else None
    return service.health_path if service else ''

  @mode.Service.task
  async def _compare_periodically(self) -> None:
    while not self.should_stop:
      await ticks.sleep(CHECK_INTERVAL_SECONDS)
      self.compare_with_list()
      self.records.drop_expired()

  def compare_with_list(self) -> None:
    """Finds out by the list of instances which of them have ended.

    An instance that lost connections and is no longer listed has ended; one
    that counts as ended and stays in the list has not.
    """
    listed = self._catalogue.directory.get_incarnation_ids()
    open_ids = self.records.find_open()
    for id, instance in list(self._instance_by_id.items()):
      if id not in open_ids:
        del self._instance_by_id[id]
      elif id not in listed:
        self._resolve(instance, is_ended=True)
    for id in self.records.find_ended_since(MAX_LISTED_SECONDS):
      if id in listed and not self._catalogue.is_instance_list_lost:
        self.records.refute(id)

  async def on_stop(self) -> None:
    """Ends the probes."""
    for probe in list(self._probe_by_id.values()):
      probe.cancel()


def _log_attempt(sending: exchange.RequestAttempt, outcome: str) -> None:
  log.info(
    'Request %s (fingerprint %s) at instance %s: %s.',
    sending.request.id,
    fingerprints.shorten(sending.fingerprint),
    sending.instance.incarnation_id,
    outcome,
    extra=sending.request.fields,
  )


def make_undecided(fingerprint: str) -> errors.WoadrunError:
  """Returns the error for a request that waits for others in vain."""
  return errors.WoadrunError(
    errors.Code.UPSTREAM_UNAVAILABLE,
    'Instances ended, or may have ended, while they ran this request '
    f'(fingerprint {fingerprints.shorten(fingerprint)}), and it is not known '
    'yet whether it may be sent to another one.',
    retry_after=RETRY_AFTER_SECONDS,
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
