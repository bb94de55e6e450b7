"""Sends requests to instances of a service, with retries and hedging.

A request that is not idempotent is retried only if the instance replies that it
did not run the request, or if the request did not reach the instance.
`decisions/attempt_limit.py` limits the attempts.  An idempotent request is also
hedged: it is sent to a second instance when the first one takes much longer
than average.  Its response is read ahead (`request/response_buffer.py`): if it
breaks off before the caller has received any of it, the request is retried.

An instance may have run a request and answer with a status that guarantees the
opposite.  Such a reply is a failed attempt and does not go to the caller
(`decisions/run_status.py`).

A turn is a model request of a program; other requests have none.  A reply is
genuine if it has the id of the request, the signature of the instance and a
final status.  Load and health are recorded per incarnation, the time from the
start of an instance to its end, which `Instance.incarnation_id` identifies.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Collection
import contextlib
import dataclasses
import functools
import logging
import time

from woadrun import errors
from woadrun.connection import memory_account
from woadrun.decisions import attempt_limit
from woadrun.decisions import hedging
from woadrun.decisions import run_status
from woadrun.decisions import service_times
from woadrun.decisions import urgency
from woadrun.process import catalogue
from woadrun.process import counters
from woadrun.process import planned_stop
from woadrun.process.load import health
from woadrun.process.load import loads
from woadrun.request import authorization
from woadrun.request import crash_guard
from woadrun.request import ended_instances
from woadrun.request import events
from woadrun.request import exchange
from woadrun.request import fingerprints
from woadrun.request import held_bytes
from woadrun.request import partition_monitor
from woadrun.request import response_buffer
from woadrun.version import instances
from woadrun.version import routes

log = logging.getLogger('woadrun.attempts')

# Replies with this status or a higher one count as failures of the instance.
MIN_FAILURE_STATUS = 500
# A request is not sent when less time than this is left until its deadline,
# because the network round trip alone takes part of that time.
MIN_REMAINING_SECONDS = 0.02
# The time of a turn is not learned if its caller, by reading slowly, took more
# than this part of it.
MAX_CALLER_PART = 0.1
# Copies of the data of a stream as its turn ends: in the turn, in messages to
# other daemons and in rows of the store.
HISTORY_COPIES = 4
# Bytes of a stream that are parsed at once, and the time after which parsing
# pauses for other tasks: the bytes may be hundreds of events.
PARSED_BYTES = 512
MAX_PARSE_SECONDS = 0.0002
# Time to read the rest of a reply that does not go to the caller, which waits.
DISCARD_SECONDS = 0.1


class NotAttempted(errors.WoadrunError):
  """Raised when a request was sent to no instance."""


@dataclasses.dataclass(kw_only=True)
class _Result:
  """Whether an attempt failed, which is assumed until its reply has begun.

  If the reply is read ahead, it is assumed until that has succeeded.
  """

  is_failure: bool = True


@dataclasses.dataclass(kw_only=True)
class _Attempt:
  """An attempt whose reply has begun; closing `stack` ends the request."""

  sending: exchange.RequestAttempt
  stack: contextlib.AsyncExitStack
  reply: exchange.Reply
  result: _Result


@dataclasses.dataclass(kw_only=True)
class _TurnTimer:
  """Measures a turn.

  `running` is the number of other turns at the instance when it began, and
  `caller_seconds` is the time spent waiting for the caller to read.
  """

  running: int
  caller_seconds: float = 0.0
  started_at: float = dataclasses.field(default_factory=time.monotonic)


@dataclasses.dataclass(kw_only=True)
class _SendState:
  """The state of one request across its attempts.

  `deadline` is on the monotonic clock.  `cached_by_instance` has the number of
  prompt tokens that each incarnation is expected to have cached.  `tried` lists
  the incarnations that were chosen so far, `last_failure` tells of the latest
  attempt without a reply, and `refusal` is the error that forbids
  further attempts.  `not_run` counts the attempts that certainly did not run,
  `not_sent` those of them that did not reach their instance.  `fingerprint`
  identifies the request across its tries.
  """

  request: exchange.Request
  service: str
  deadline: float
  body: bytes
  cached_by_instance: dict[str, int]
  grant: authorization.Grant
  fingerprint: str
  admission: crash_guard.Admission | None = None
  refusal: errors.WoadrunError | None = None
  tried: list[str] = dataclasses.field(default_factory=list)
  last_failure: str = ''
  may_have_run: bool = False
  not_run: int = 0
  not_sent: int = 0

  @property
  def route(self) -> routes.Route:
    """The granted route."""
    return self.grant.route


class RequestSender:
  """Chooses instances for requests, sends the requests and retries them.

  `is_partitioned` takes a failure domain and returns whether a network
  partition separates it from this daemon, and the daemon has lost the row store
  as well.  A daemon that can reach the store does not abort streams: the
  instance may be healthy, and its callers decide how long to wait.  `held`
  counts the bytes of the responses that are read ahead.
  """

  def __init__(
    self,
    *,
    catalogue: catalogue.Catalogue,
    loads: loads.Loads,
    authorization: authorization.Authorization,
    upstreams: exchange.Upstreams,
    held: held_bytes.HeldBytes,
    counters: counters.Counters,
    guard: crash_guard.CrashGuard,
    ends: ended_instances.EndMonitor,
    stop: planned_stop.PlannedStop,
    is_partitioned: Callable[[str], bool] = lambda domain: False,
  ) -> None:
    self._catalogue = catalogue
    self._loads = loads
    self._authorization = authorization
    self._upstreams = upstreams
    self._held = held
    self._counters = counters
    self._guard = guard
    self._ends = ends
    self._stop = stop
    self._partition_watch = partition_monitor.PartitionMonitor(
      is_partitioned=is_partitioned
    )
    self._hedge_budget = hedging.HedgeBudget()

  @contextlib.asynccontextmanager
  async def send(
    self,
    request: exchange.Request,
    grant: authorization.Grant,
    *,
    service: str,
    deadline: float,
    body: bytes | None = None,
    cached_by_instance: dict[str, int] | None = None,
  ) -> AsyncIterator[tuple[exchange.Reply, instances.Instance]]:
    """Returns a context with the reply of the instance that ran the request.

    The reply may have any status.  `deadline` is on the monotonic clock; `body`
    replaces that of the request.  Raises `outcome_unknown` if an instance may
    have run the request but none sent a genuine reply.  If no instance may have
    run it, raises the error of `Authorization.check` or `CrashGuard.admit` if
    one of them failed, else `upstream_unavailable`.
    """
    route = grant.route
    sent_body = body if body is not None else request.body
    state = _SendState(
      request=request,
      service=service,
      deadline=deadline,
      body=sent_body,
      cached_by_instance=cached_by_instance or {},
      grant=grant,
      fingerprint=fingerprints.get_fingerprint(
        request, team=grant.team_name, body=sent_body
      ),
    )
    async with contextlib.AsyncExitStack() as stack:
      stack.callback(self._release, state)
      while (sending := await self._admit_before_stop(state)) is not None:
        try:
          attempt = await self._attempt_before_stop(state, sending)
        except exchange.RequestNotSent as error:
          state.last_failure = str(error)
          state.not_run += 1
          state.not_sent += 1
          continue
        except exchange.ResponseLost as error:
          state.last_failure = str(error)
          state.may_have_run = True
          await self._guard.wait_for_delivery(state.fingerprint)
          if route.kind is routes.Kind.IDEMPOTENT:
            continue
          break
        stack.push_async_exit(attempt.stack)
        reply = attempt.reply
        if _is_returnable(request, reply):
          abort = functools.partial(self._abort_at_stop, attempt)
          with self._stop.watch(abort):
            yield reply, attempt.sending.instance
          return
        await stack.aclose()
        if not reply.has_run:
          state.not_run += 1
          continue
        state.may_have_run = True
        state.last_failure = _describe_reply(reply)
        if route.kind is not routes.Kind.IDEMPOTENT:
          break
    raise self._make_error(state)

  def estimate_seconds(self, service: str) -> float:
    """Returns the usual duration of a request to a service, in seconds."""
    return self._loads.get_usual_seconds(service)

  def _release(self, state: _SendState) -> None:
    """Gives back a place that no instance has taken."""
    if state.admission is not None:
      self._guard.release(state.admission)
      state.admission = None

  # --- Attempts -------------------------------------------------------------

  async def _admit_before_stop(
    self, state: _SendState
  ) -> exchange.RequestAttempt | None:
    """Returns the next attempt, None if a planned stop comes before it."""
    state.deadline = self._stop.limit(state.deadline)
    try:
      async with self._stop.reject_late():
        return await self._admit_next(state)
    except errors.WoadrunError as error:
      state.refusal = error
      if not state.tried:
        state.refusal = NotAttempted(
          error.code, error.message, retry_after=error.retry_after
        )
      return None

  async def _attempt_before_stop(
    self, state: _SendState, sending: exchange.RequestAttempt
  ) -> _Attempt:
    """Makes an attempt; raises `ResponseOverdue` if a planned stop ends it."""
    try:
      async with self._stop.bound():
        return await self._start_attempt(state, sending)
    except planned_stop.StopReached as error:
      self._log_outcome(sending, 'no reply before the end of a planned stop')
      raise exchange.ResponseOverdue(str(error)) from error

  def _abort_at_stop(self, attempt: _Attempt) -> None:
    self._log_outcome(
      attempt.sending, 'response cut at the end of a planned stop'
    )
    attempt.reply.abort()

  async def _admit_next(
    self, state: _SendState
  ) -> exchange.RequestAttempt | None:
    """Returns the next attempt once it may be sent, None if there is none."""
    work_seconds = self.estimate_seconds(state.service)
    until = crash_guard.get_wait_end(state.deadline, work_seconds=work_seconds)
    while self._has_attempt_left(state):
      try:
        state.admission = await self._guard.admit(
          state.fingerprint,
          service=state.service,
          deadline=state.deadline,
          work_seconds=work_seconds,
        )
      except errors.WoadrunError as error:
        state.refusal = error
        return None
      holders = state.admission.holders
      avoided = self._guard.records.find_avoided(state.fingerprint)
      doubtful = self._guard.records.find_doubtful(state.fingerprint)
      sending = self._prepare_next(
        state, avoided=avoided | doubtful, holders=holders
      ) or self._prepare_next(state, avoided=avoided, holders=holders)
      if sending is not None or not avoided:
        return sending
      if not self._guard.records.has_last_attempt(state.fingerprint):
        return self._prepare_next(state, holders=holders)
      self._guard.release(state.admission)
      # Its last attempt: one that runs beside another suspect request would
      # be held against both.
      if time.monotonic() >= until:
        state.refusal = crash_guard.make_undecided(
          state.fingerprint, work_seconds=work_seconds
        )
        return None
      await asyncio.sleep(crash_guard.POLL_INTERVAL_SECONDS)
    return None

  def _has_attempt_left(self, state: _SendState) -> bool:
    """Returns whether the limits on attempts and time allow another one."""
    seconds_left = exchange.get_seconds_left(state.deadline)
    return seconds_left >= MIN_REMAINING_SECONDS and attempt_limit.may_send(
      max_attempts=state.route.max_attempts,
      tried=len(state.tried),
      not_run=state.not_run,
      not_sent=state.not_sent,
      seconds_left=seconds_left,
      work_seconds=self.estimate_seconds(state.service),
    )

  def _prepare_next(
    self,
    state: _SendState,
    *,
    avoided: Collection[str] = (),
    holders: Collection[str] | None = None,
  ) -> exchange.RequestAttempt | None:
    """Returns the next attempt and counts it as tried; None if there is none.

    It is not made at an instance in `avoided`, nor outside `holders` if these
    are given.  There is none once the limit of
    attempts or the deadline is reached, the request is no longer authorized, or
    no instance is left.
    """
    if not self._has_attempt_left(state):
      return None
    try:
      self._authorization.check(state.request, state.grant)
    except errors.WoadrunError as error:
      state.refusal = error
      return None
    turn = state.request.turn
    prompt = turn.prompt_tokens if turn else 0
    group = self._catalogue.directory.find(state.service)
    if holders is not None:
      group = instances.Group(
        [item for item in group.all if item.incarnation_id in holders]
      )
    instance = self._loads.choose(
      group,
      tried=[*state.tried, *avoided],
      prompt=prompt,
      parts=turn.parts if turn else (),
      cached_by_id=state.cached_by_instance,
      weighs_slowness=state.route.max_attempts == 1,
    )
    if instance is None:
      return None
    state.tried.append(instance.incarnation_id)
    uncached = None
    if turn is not None:
      if state.route.max_attempts == 1:
        uncached = self._loads.count_uncached(
          instance.incarnation_id,
          prompt=prompt,
          parts=turn.parts,
          cached_by_id=state.cached_by_instance,
        )
      self._loads.record_prompt(instance.incarnation_id, turn.parts)
    return exchange.RequestAttempt(
      request=state.request,
      instance=instance,
      body=state.body,
      seconds=exchange.get_seconds_left(state.deadline),
      urgency=_get_urgency(state),
      team=state.grant.team_name,
      silence_seconds=self._loads.health.get_overdue_seconds(state.service),
      uncached=uncached,
      is_stream=_is_stream(state.request, state.route),
      keeps_history=state.route.keeps_history,
      fingerprint=state.fingerprint,
      claim_id=state.admission.claim_id if state.admission else '',
    )

  async def _start_attempt(
    self, state: _SendState, sending: exchange.RequestAttempt
  ) -> _Attempt:
    if state.route.kind is routes.Kind.STREAM:
      return await self._send_watched(sending)
    if state.route.kind is routes.Kind.ONCE:
      # Such a request is never aborted during a network partition, because its
      # reply may still arrive after the partition has healed.
      return await self._send_once(sending)
    self._hedge_budget.note_first()
    return await self._send_hedged(state, sending)

  async def _send_watched(self, sending: exchange.RequestAttempt) -> _Attempt:
    """Makes an attempt that is aborted if a partition cuts off its instance.

    Without the abort, the caller of the stream would wait for seconds until it
    times out and retries.  Raises `ResponseLost` if it is aborted before its
    reply has begun.
    """
    domain = sending.instance.domain
    scope = asyncio.timeout(None)
    now = asyncio.get_running_loop().time()
    try:
      async with scope:
        with self._partition_watch.watch(domain, lambda: scope.reschedule(now)):
          attempt = await self._send_once(sending)
    except TimeoutError as error:
      if not scope.expired():
        raise
      raise exchange.ResponseOverdue(
        f'failure domain {domain} is cut off'
      ) from error
    attempt.stack.enter_context(
      self._partition_watch.watch(
        domain, lambda: self._abort_on_partition(attempt)
      )
    )
    return attempt

  def _abort_on_partition(self, attempt: _Attempt) -> None:
    domain = attempt.sending.instance.domain
    self._log_outcome(
      attempt.sending, f'aborted: failure domain {domain} is cut off'
    )
    attempt.reply.abort()

  async def _send_hedged(
    self, state: _SendState, sending: exchange.RequestAttempt
  ) -> _Attempt:
    """Returns the first usable attempt, hedging with a second instance.

    The second attempt begins after a multiple of the average request time of
    the service, if the hedge budget allows it.  Replies are read ahead.
    """
    tasks = [asyncio.ensure_future(self._send_read_ahead(sending))]
    average_seconds = self._loads.get_mean_seconds(state.service)
    try:
      await asyncio.wait(
        tasks, timeout=hedging.get_hedge_delay(average_seconds)
      )
      is_suspect = self._guard.records.is_suspect(state.fingerprint)
      if not tasks[0].done() and not is_suspect and self._hedge_budget.take():
        second = self._prepare_next(state)
        if second is not None:
          self._log_outcome(
            sending,
            'no complete reply yet, hedging with a second instance '
            f'(average: {average_seconds * 1000:.0f} ms)',
          )
          tasks.append(asyncio.ensure_future(self._send_read_ahead(second)))
      return await _get_first_usable(state, tasks)
    except BaseException:
      await _cancel_attempts(tasks)
      raise

  async def _send_read_ahead(
    self, sending: exchange.RequestAttempt
  ) -> _Attempt:
    """Sends a request to one instance and reads its reply ahead.

    A stream of events is not read ahead, so that it is relayed as it comes and
    its tokens are counted by what its caller received.
    Raises `RequestNotSent` or `ResponseLost` without a reply, the latter also
    if the reply breaks off in the part that is read ahead.
    """
    attempt = await self._send_once(sending)
    reply, result = attempt.reply, attempt.result
    if sending.is_stream or not _is_returnable(sending.request, reply):
      return attempt
    buffer = response_buffer.ResponseBuffer(
      chunks=reply.chunks, held=self._held
    )
    attempt.stack.push_async_callback(buffer.close)
    is_failure, result.is_failure = result.is_failure, True
    try:
      await buffer.fill()
    except BaseException as error:
      await attempt.stack.aclose()
      self._record_incomplete(sending, buffer, error)
      raise
    result.is_failure = is_failure
    reply.chunks = buffer.read()
    return attempt

  async def _send_once(self, sending: exchange.RequestAttempt) -> _Attempt:
    """Sends a request to one instance and returns once its reply has begun.

    `id` below is that of the incarnation.  Raises `RequestNotSent` or
    `ResponseLost` without a reply.
    """
    id = sending.instance.incarnation_id
    stack = contextlib.AsyncExitStack()
    timer = (
      _TurnTimer(running=self._loads.get_total(id))
      if sending.uncached is not None
      else None
    )
    stack.enter_context(self._loads.count(id))
    stack.enter_context(self._guard.run(sending))
    result = _Result()
    started_at = time.monotonic()
    stack.callback(self._record_duration, sending, started_at, result)
    self._loads.health.record_request(stack, id, sending.instance.service)
    try:
      reply = await self._send_until_end(sending, stack)
      self._loads.health.record_response(stack)
    except BaseException as error:
      beside = self._loads.get_running().get(id, 1) - 1
      # Before the context ends, in which the request counts as running.
      self._guard.record_error(sending, error)
      await stack.aclose()
      self._record_failure(sending, error, started_at, beside)
      raise
    finally:
      self._loads.health.record_end(stack)
    self._guard.record_reply(sending, reply)
    history = self._held.account.open(
      memory_account.Kind.HISTORY, sending.request.id, reply.abort
    )
    stack.callback(history.close)
    self._record_reply(sending, reply, result, started_at, history)
    stack.enter_context(
      self._ends.watch(
        sending.instance, functools.partial(self._abort_at_end, sending, reply)
      )
    )
    if timer is not None and not result.is_failure and reply.status < 300:
      reply.chunks = self._time_chunks(sending, reply, reply.chunks, timer)
    if sending.is_stream:
      reply.chunks = _end_attempt(reply.chunks, stack)
    stack.callback(self._record_idle_connection, id, reply)
    is_withheld = (
      reply.has_run
      and reply.is_genuine
      and not _is_returnable(sending.request, reply)
    )
    outcome = _describe_reply(reply)
    if is_withheld:
      outcome += ', withheld: the status denies that the request has run'
    self._log_outcome(sending, outcome)
    if is_withheld:
      self._counters.record_withheld(sending.instance.service, reply.status)
      try:
        await _discard(reply)
      except BaseException:
        await stack.aclose()
        raise
    return _Attempt(sending=sending, stack=stack, reply=reply, result=result)

  async def _send_until_end(
    self, sending: exchange.RequestAttempt, stack: contextlib.AsyncExitStack
  ) -> exchange.Reply:
    """Returns the reply; raises `ResponseLost` if the instance has ended."""
    scope = asyncio.timeout(None)
    now = asyncio.get_running_loop().time()
    try:
      async with scope:
        with self._ends.watch(sending.instance, lambda: scope.reschedule(now)):
          return await stack.enter_async_context(self._upstreams.send(sending))
    except TimeoutError as error:
      if not scope.expired():
        raise
      raise exchange.ResponseLost('the instance has ended') from error

  def _abort_at_end(
    self, sending: exchange.RequestAttempt, reply: exchange.Reply
  ) -> None:
    self._log_outcome(sending, 'aborted: the instance has ended')
    reply.abort()

  def _record_reply(
    self,
    sending: exchange.RequestAttempt,
    reply: exchange.Reply,
    result: _Result,
    started_at: float,
    history: memory_account.Holder,
  ) -> None:
    id = sending.instance.incarnation_id
    if not reply.has_run:
      self._loads.health.record_failure(id, health.REJECTION_WEIGHT)
    elif not reply.is_genuine or _is_failure(reply.status):
      self._loads.health.record_failure(id)
    else:
      result.is_failure = False
      if sending.is_stream and reply.status < 300:
        reply.event_reader = events.EventReader(
          keeps_data=sending.keeps_history
        )
    reply.chunks = self._relay_chunks(
      sending, reply, reply.chunks, result, started_at, history
    )

  async def _relay_chunks(
    self,
    sending: exchange.RequestAttempt,
    reply: exchange.Reply,
    chunks: AsyncGenerator[bytes],
    result: _Result,
    started_at: float,
    history: memory_account.Holder,
  ) -> AsyncGenerator[bytes]:
    """Yields a reply's chunks; a truncated reply is a failure of the instance.

    Raises `ResponseLost` in that case.
    """
    id = sending.instance.incarnation_id
    try:
      async with contextlib.aclosing(chunks):
        async for chunk in chunks:
          if reply.event_reader is not None:
            await _read_events(reply.event_reader, chunk, history)
          self._guard.record_bytes(sending, reply)
          yield chunk
      self._log_end(sending, reply)
      if reply.event_reader is not None:
        _check_complete(reply.event_reader, reply)
      self._guard.record_complete(sending, reply)
    except exchange.ResponseLost as error:
      self._guard.record_error(sending, error)
      result.is_failure = True
      self._loads.health.record_failure(id)
      beside = self._loads.get_running().get(id, 1) - 1
      self._log_lost(sending, 'response broke off', error, started_at, beside)
      await self._guard.wait_for_delivery(sending.fingerprint)
      raise

  def _log_end(
    self, sending: exchange.RequestAttempt, reply: exchange.Reply
  ) -> None:
    reader = reply.event_reader
    if reply.ends_with_connection or (reader and reader.is_inside_event):
      how = 'connection' if reply.ends_with_connection else 'length or chunks'
      where = ''
      if reader is not None:
        place = (
          'inside an event' if reader.is_inside_event else 'between events'
        )
        where = f', {place}, after {reader.count} events'
      self._log_outcome(sending, f'response ended by its {how}{where}')

  async def _time_chunks(
    self,
    sending: exchange.RequestAttempt,
    reply: exchange.Reply,
    chunks: AsyncGenerator[bytes],
    timer: _TurnTimer,
  ) -> AsyncGenerator[bytes]:
    """Yields a turn's chunks and records its time if it is complete."""
    async with contextlib.aclosing(chunks):
      async for chunk in chunks:
        yielded_at = time.monotonic()
        yield chunk
        timer.caller_seconds += time.monotonic() - yielded_at
    instance = sending.instance
    id = instance.incarnation_id
    seconds = time.monotonic() - timer.started_at
    if timer.caller_seconds > MAX_CALLER_PART * seconds:
      return
    running = (timer.running + self._loads.get_total(id) - 1) / 2
    size = service_times.TurnSize(
      uncached=sending.uncached or 0,
      tokens=reply.event_reader.count if reply.event_reader else 0,
      running=max(0.0, running),
      slots=instance.slots,
    )
    self._loads.slowness.record_turn(id, instance.service, size, seconds)

  def _record_idle_connection(self, id: str, reply: exchange.Reply) -> None:
    if reply.is_reusable():
      self._loads.record_idle_connection(id)

  def _record_duration(
    self,
    sending: exchange.RequestAttempt,
    started_at: float,
    result: _Result,
  ) -> None:
    instance = sending.instance
    self._loads.record_duration(
      instance.incarnation_id,
      instance.service,
      time.monotonic() - started_at,
      is_failure=result.is_failure,
    )

  def _record_failure(
    self,
    sending: exchange.RequestAttempt,
    error: BaseException,
    started_at: float,
    beside: int,
  ) -> None:
    if isinstance(error, exchange.RequestNotSent):
      self._loads.record_unreachable(sending.instance.incarnation_id)
      self._loads.health.record_failure(sending.instance.incarnation_id)
      self._log_outcome(sending, f'instance not reached: {error}')
    elif isinstance(error, exchange.ResponseLost):
      self._loads.health.record_failure(
        sending.instance.incarnation_id, health.TIMEOUT_WEIGHT
      )
      self._log_lost(sending, 'no reply', error, started_at, beside)

  def _record_incomplete(
    self,
    sending: exchange.RequestAttempt,
    buffer: response_buffer.ResponseBuffer,
    error: BaseException,
  ) -> None:
    """Records that a reply was not read ahead completely."""
    instance = sending.instance
    if isinstance(error, exchange.ResponseLost):
      self._counters.record_truncated(instance.service)
      self._log_outcome(
        sending,
        f'response broke off after {buffer.size} bytes, before the caller '
        f'received any: {error}',
      )
      return
    # A hedged request or its caller gave up on an instance that went silent.
    silent_seconds = time.monotonic() - buffer.received_at
    if silent_seconds > self._loads.health.get_overdue_seconds(
      instance.service
    ):
      self._loads.health.record_failure(
        instance.incarnation_id, health.TIMEOUT_WEIGHT
      )

  def _log_lost(
    self,
    sending: exchange.RequestAttempt,
    what: str,
    error: BaseException,
    started_at: float,
    beside: int,
  ) -> None:
    """Logs a lost response.

    An instance that ends loses all its responses at once, and the tries of one
    request have one fingerprint: with both, the log tells a request that ends
    its instances from those beside it.
    """
    milliseconds = (time.monotonic() - started_at) * 1000
    self._log_outcome(
      sending,
      f'{what} after {milliseconds:.0f} ms, beside {beside} other requests of '
      f'this daemon (incarnation {sending.instance.incarnation_id}, '
      f'fingerprint {fingerprints.shorten(sending.fingerprint)}): {error}',
    )

  def _log_outcome(
    self, sending: exchange.RequestAttempt, outcome: str
  ) -> None:
    log.info(
      'Request %s at %s (%s, %.0f ms left): %s.',
      sending.request.id,
      sending.instance.id,
      sending.instance.domain,
      sending.seconds * 1000,
      outcome,
      extra=sending.request.fields,
    )

  def _make_error(self, state: _SendState) -> errors.WoadrunError:
    if state.may_have_run:
      return errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        'The request may have run, but no valid reply arrived: '
        f'{state.last_failure}',
        ran=errors.RunStatus.UNKNOWN,
      )
    if state.refusal is not None:
      # Its traceback will hold the state: no cycle of them outlives a request.
      refusal, state.refusal = state.refusal, None
      return refusal
    group = self._catalogue.directory.find(state.service)
    make_error = errors.WoadrunError if state.tried else NotAttempted
    return make_error(
      errors.Code.UPSTREAM_UNAVAILABLE,
      f'None of {len(group)} instances ran the request; '
      f'{len(state.tried)} were tried.',
      retry_after=self._loads.estimate_retry_after(group),
    )


def _is_stream(request: exchange.Request, route: routes.Route) -> bool:
  """Returns whether the response consists of events, as a history does."""
  keeps_history = route.keeps_history and request.turn is not None
  return keeps_history or route.kind is routes.Kind.STREAM


def _get_urgency(state: _SendState) -> int | None:
  """Returns the urgency of a turn, 0 for the highest; None if not a turn."""
  turn = state.request.turn
  if turn is None:
    return None
  return urgency.get_urgency(
    state.grant.priority, finish=turn.finish_at, now=time.monotonic()
  )


async def _get_first_usable(
  state: _SendState, tasks: list[asyncio.Task[_Attempt]]
) -> _Attempt:
  """Returns the first usable attempt, and cancels or closes the others.

  An attempt is usable if its reply may go to the caller and did not break off
  while it was read ahead.  If no attempt is usable, returns the attempt of
  the first task, or raises the error of that task.
  """
  pending = set(tasks)
  while pending:
    done, pending = await asyncio.wait(
      pending, return_when=asyncio.FIRST_COMPLETED
    )
    usable = [task for task in done if _is_usable(state.request, task)]
    if usable:
      await _cancel_attempts([task for task in tasks if task is not usable[0]])
      return usable[0].result()
  state.may_have_run |= any(_may_have_run(task) for task in tasks)
  await _cancel_attempts(tasks[1:])
  return tasks[0].result()


def _is_usable(request: exchange.Request, task: asyncio.Task[_Attempt]) -> bool:
  if task.cancelled() or task.exception() is not None:
    return False
  return _is_returnable(request, task.result().reply)


def _is_returnable(request: exchange.Request, reply: exchange.Reply) -> bool:
  """Returns whether a reply may go to the caller of a request."""
  return (
    reply.has_run
    and reply.is_genuine
    and run_status.may_return(
      reply.status,
      ran=errors.RunStatus.RAN,
      is_turn=request.turn is not None,
    )
  )


async def _end_attempt(
  chunks: AsyncGenerator[bytes], stack: contextlib.AsyncExitStack
) -> AsyncGenerator[bytes]:
  """Yields a reply's chunks, then ends the attempt.

  The end of a turn may have to wait for the store, without its instance.
  """
  async with contextlib.aclosing(chunks):
    async for chunk in chunks:
      yield chunk
  await stack.aclose()


async def _discard(reply: exchange.Reply) -> None:
  """Reads a reply that does not go to the caller.

  Without its end, its instance would count as one that may have ended.
  """
  with contextlib.suppress(TimeoutError, exchange.ResponseLost):
    async with asyncio.timeout(DISCARD_SECONDS):
      async for _ in reply.chunks:
        pass


def _is_failure(status: int) -> bool:
  """Returns whether a status counts as a failure of its instance.

  402, 404 and 410 do not go to the caller of a turn either, but are due to the
  turn: a program that repeats it must not divert others from its instances.
  """
  return status >= MIN_FAILURE_STATUS or status in run_status.NOT_RUN_STATUSES


def _may_have_run(task: asyncio.Task[_Attempt]) -> bool:
  if task.cancelled():
    # The request may have been sent already.
    return True
  if task.exception() is not None:
    return isinstance(task.exception(), exchange.ResponseLost)
  return task.result().reply.has_run


async def _cancel_attempts(tasks: list[asyncio.Task[_Attempt]]) -> None:
  """Cancels the attempts still running and closes those with a reply."""
  for task in tasks:
    if not task.done():
      task.cancel()
    elif not task.cancelled() and task.exception() is None:
      await task.result().stack.aclose()


async def _read_events(
  reader: events.EventReader, chunk: bytes, history: memory_account.Holder
) -> None:
  """Parses a part of a stream; raises `ResponseLost` if it is too large.

  Lets other tasks run while it parses many events.
  """
  until = time.perf_counter() + MAX_PARSE_SECONDS
  try:
    for start in range(0, len(chunk), PARSED_BYTES):
      if start and time.perf_counter() > until:
        await asyncio.sleep(0)
        until = time.perf_counter() + MAX_PARSE_SECONDS
      reader.feed(chunk[start : start + PARSED_BYTES])
      history.grow(reader.size * HISTORY_COPIES - history.size)
  except (events.StreamTooLarge, memory_account.MemoryExceeded) as error:
    raise exchange.ResponseLost(str(error)) from error


def _check_complete(reader: events.EventReader, reply: exchange.Reply) -> None:
  """Raises `ResponseLost` if a stream that has ended is not complete.

  A stream without a length that ends between two events counts as complete.
  """
  if reader.is_inside_event:
    raise exchange.ResponseLost('the stream ended inside an event')
  if reply.ends_with_connection and not reader.has_events:
    raise exchange.ResponseLost('the connection ended before the first event')


def _describe_reply(reply: exchange.Reply) -> str:
  statement = f' ({reply.statement})' if reply.statement is not None else ''
  if not reply.has_run:
    return f'not run, status {reply.status}{statement}'
  if not reply.is_genuine:
    return f'may have run, reply not genuine, status {reply.status}{statement}'
  return f'answers {reply.status}{statement}'
