"""Sending of accepted calls to their upstreams, and reading of the outcomes.

An upstream is a model engine or a plain service.  Repeatable calls are retried
when their upstream fails: a model call at another engine, a service call at the
same service.  The retries stay within the retry budget of the call's row in the
operators' table, which is the row of a team or of a kind of its work.  A
service call that is not repeatable is an action, which must not run twice.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import time

import aiohttp
import mode
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun import settings
from woadrun.connection import engine
from woadrun.connection import http
from woadrun.connection import objects
from woadrun.connection import service
from woadrun.decisions import admission
from woadrun.decisions import budget
from woadrun.decisions import crash_limit
from woadrun.decisions import run_status
from woadrun.process import membership
from woadrun.request import calls
from woadrun.request import events
from woadrun.request import execution
from woadrun.request import model_call
from woadrun.request import placing
from woadrun.version import program
from woadrun.version import rows

log = logging.getLogger('woadrun.upstreams')

# Attempts to drop the prefix cache of a program.  After the last one the cache
# is left to the engine.
DROP_ATTEMPTS = 5
DROP_RETRY_DELAY_SECONDS = 1.0
# Bytes of a response that are quoted in an error.
MAX_QUOTED_BYTES = 200
# The most time for the end of an event stream after its last event.
END_TIMEOUT_SECONDS = 0.2
# Errors by which a call reaches no engine.
CONNECT_ERRORS = (
  aiohttp.ClientConnectorError,
  aiohttp.ConnectionTimeoutError,
)
# Errors by which an event stream breaks off: the engine is considered failed.
STREAM_ERRORS = (
  aiohttp.ClientError,
  asyncio.TimeoutError,
  OSError,
  events.StreamTooLarge,
)


class UpstreamCalls(mode.Service):
  """Clients of all engines and services.

  They are used by the owner of a program: the daemon that executes its calls.
  `retries` counts retries at services and moves to other engines.
  """

  def __init__(
    self,
    *,
    config: settings.Settings,
    session: aiohttp.ClientSession,
    members: membership.Membership,
    places: placing.CallPlacer,
    store: objects.ObjectStore,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._places = places
    self._store = store
    self.engine_client_by_name = {
      e.name: engine.Engine(session=session, url=e.url) for e in config.engines
    }
    self._timeout_by_service = {s.name: s.timeout for s in config.services}
    self._service_by_name = {
      s.name: service.Service(session=session, url=s.url)
      for s in config.services
    }
    self.retries = 0
    self.relayed_tokens = 0

  # --- Records --------------------------------------------------------------

  def make_accepted(
    self,
    call: calls.Call,
    found: program.Program,
    plan: placing.CallPlan,
    place: placing.UpstreamAssignment,
    digest: str,
    *,
    now: float,
  ) -> program.Accepted:
    """Returns the accepted record of a call that is about to be sent."""
    prepared = plan.prepared
    if prepared is not None:
      # The token budget and the history of the program may have changed while
      # the call waited for its permit.
      prepared = model_call.prepare(
        call,
        plan.body,
        found,
        history_tokens=self._config.limits.history_tokens,
      )
    is_model = call.call == program.MODEL
    return program.Accepted(
      program=call.program,
      request=call.request,
      ordinal=found.calls + 1,
      call=call.call,
      target=call.target,
      digest=digest,
      reserve=prepared.reserved_tokens if prepared else 0,
      most_output=prepared.max_output_tokens if prepared else 0,
      repeatable=is_model or call.repeatable,
      time=now,
      upstream=place.name,
      stream=secrets.token_hex(8),
      body=_get_stored_body(call, plan),
      messages=list(prepared.messages) if prepared else [],
    )

  # --- Model calls ----------------------------------------------------------

  async def run_model(
    self,
    running: execution.Execution,
    accepted: program.Accepted,
    place: placing.UpstreamAssignment,
    found: program.Program,
    row: rows.Row,
    retry_budget: admission.RetryBudget,
  ) -> program.Finished:
    """Returns the outcome of a model call, forwarding its events meanwhile.

    A call whose engine fails is moved to another engine and starts again from
    its first token.  Raises `request_quarantined` once as many engines broke
    off as a request may end.  Raises `upstream_failed` if an engine rejects the
    call with a 4xx status, if no other engine is left or if the retry budget is
    used up.  Also raises the errors of `CallPlacer.get_engines`,
    `CallPlacer.choose_upstream` and `CallPlacer.acquire_slot` for the next
    engine, which state "not run" only if the call reached no engine.
    """
    may_have_run = place.is_resumed
    while True:
      relay = model_call.Relay(answer=running.stream_answer)
      try:
        await self._stream(relay, running, accepted, place, found)
        return self._read_outcome(relay, running, accepted, place, found)
      except engine.EngineRefused as error:
        # Another engine would reject the call as well.  When a stream is
        # resumed, the status only says that the engine no longer has it.
        if 400 <= error.status < 500 and not place.is_resumed:
          raise errors.WoadrunError(
            errors.Code.UPSTREAM_FAILED,
            f'Engine {place.name} rejected the call: {error}.',
            ran=errors.RunStatus.RAN,
          ) from error
        reason = str(error)
        may_have_run = True
      except (*STREAM_ERRORS, decoding.MalformedData) as error:
        reason = type(error).__name__
        may_have_run |= not isinstance(error, CONNECT_ERRORS)
        place.lost += not place.is_resumed
      # An engine sends about one event per token.
      place.wasted_tokens += len(relay.event_data)
      running.stream_answer.restart()
      try:
        await self._fail_over(place, accepted, found, row, retry_budget, reason)
      except errors.WoadrunError as error:
        if may_have_run:
          raise errors.make_uncertain(error) from error
        raise

  async def _stream(
    self,
    relay: model_call.Relay,
    running: execution.Execution,
    accepted: program.Accepted,
    place: placing.UpstreamAssignment,
    found: program.Program,
  ) -> None:
    """Relays the event stream of one attempt at an engine.

    Raises `EngineRefused`, or one of `STREAM_ERRORS` if the stream is not
    complete.
    """
    client = self.engine_client_by_name[place.name]
    if place.is_resumed:
      stream = client.resume(accepted.stream)
    else:
      body = model_call.make_engine_body(
        decoding.decode_json(accepted.body),
        found.history,
        accepted.messages,
        # Tokens of abandoned attempts are charged to the same reserve.
        max(1, accepted.most_output - place.wasted_tokens),
      )
      call = engine.ModelCall(
        # Each engine that is tried gets another id: it names one stream.
        stream=f'{accepted.stream}{len(place.tried) or ""}',
        program=accepted.program,
        body=body,
      )
      stream = client.stream(call)
    running.stream_answer.set_head(status=200, content_type=calls.STREAM_TYPE)
    try:
      async with (
        asyncio.timeout(None) as limit,
        contextlib.aclosing(stream) as chunks,
      ):
        async for chunk in chunks:
          relay.feed(chunk)
          if relay.is_complete and limit.when() is None:
            # The end of the body follows; with it the connection is reusable.
            limit.reschedule(
              asyncio.get_running_loop().time() + END_TIMEOUT_SECONDS
            )
    except STREAM_ERRORS as error:
      if not relay.finish():
        raise
      log.info(
        'Engine %s failed after the end of a call: %s.',
        place.name,
        type(error).__name__,
      )
    if not relay.finish():
      raise aiohttp.ClientPayloadError(
        'The event stream ended without its [DONE] event.'
      )

  def _read_outcome(
    self,
    relay: model_call.Relay,
    running: execution.Execution,
    accepted: program.Accepted,
    place: placing.UpstreamAssignment,
    found: program.Program,
  ) -> program.Finished:
    """Returns the outcome in a complete event stream.

    Also sets the end of the answer, which is sent once this outcome is
    committed.
    """
    answer = engine.read_answer(relay.event_data)
    usage = answer.usage or engine.Usage()
    self.relayed_tokens += usage.completion_tokens
    running.tail = bytes(relay.received[relay.forwarded :])
    completion = model_call.make_completion(
      accepted.request, accepted.target, answer, usage
    )
    return program.Finished(
      program=accepted.program,
      request=accepted.request,
      attempt=accepted.attempt,
      outcome=program.OK,
      time=time.time(),
      answer=completion.decode(),
      used=budget.get_used(
        found, answer.usage, accepted.reserve, place.wasted_tokens
      ),
      history_tokens=usage.prompt_tokens + usage.completion_tokens,
      messages=[
        *accepted.messages,
        {'role': 'assistant', 'content': answer.content},
      ],
    )

  async def _fail_over(
    self,
    place: placing.UpstreamAssignment,
    accepted: program.Accepted,
    found: program.Program,
    row: rows.Row,
    retry_budget: admission.RetryBudget,
    reason: str,
  ) -> None:
    """Moves a call whose engine failed to another engine.

    Releases the permit at the failed engine and acquires one at the new one.
    A failed attempt to resume a stream takes nothing from the retry budget and
    is no failure of the engine, which may be chosen again.  Raises
    `upstream_failed` if no engine is left or the retry budget is used up.
    """
    was_resumed = place.is_resumed
    place.is_ok = was_resumed
    place.is_resumed = False
    if not was_resumed:
      place.tried.add(place.name)
    self._places.release_slot(place)
    names = [
      n
      for n in self._places.get_engines(accepted.target, row)
      if n not in place.tried
    ]
    log.info('A call to engine %s failed: %s.', place.name, reason)
    if place.lost >= crash_limit.MAX_ENDED_INSTANCES:
      raise _make_quarantined(accepted, place.lost)
    if not names or not (was_resumed or retry_budget.take()):
      raise make_upstream_failed(place.name, reason)
    self.retries += 1
    place.name = self._places.choose_upstream(
      names, found, found.history_tokens
    )
    await self._places.acquire_slot(
      place, found, row, accepted.reserve * placing.SERVICE_SECONDS_PER_TOKEN
    )

  # --- Service calls --------------------------------------------------------

  async def run_service(
    self,
    accepted: program.Accepted,
    row: rows.Row,
    retry_budget: admission.RetryBudget,
  ) -> program.Finished:
    """Returns the outcome of a service call.

    An action is sent once.  If its outcome is unknown, the service is queried
    for it; raises `outcome_unknown` if the service cannot tell.  Otherwise
    raises the error of the last attempt: `upstream_unavailable` if the service
    accepts no connection, `outcome_unknown` if it sends no complete response,
    and `upstream_failed` if it answers a repeatable call with a 5xx status or
    one that guarantees that the call has not run.
    A repeatable call raises `request_quarantined` once as many responses were
    lost as a request may end instances.  The error states "not run" only if no
    attempt may have run.
    """
    lost = 0
    may_have_run = False
    while True:
      try:
        return await self._call_service(accepted, row)
      except errors.WoadrunError as error:
        lost += error.ran is errors.RunStatus.UNKNOWN
        may_have_run |= error.ran is not errors.RunStatus.NOT_RUN
        if accepted.repeatable and lost >= crash_limit.MAX_ENDED_INSTANCES:
          raise _make_quarantined(accepted, lost) from error
        if accepted.repeatable and retry_budget.take():
          self.retries += 1
          continue
        if error.ran is errors.RunStatus.UNKNOWN and not accepted.repeatable:
          outcome = await self.query_outcome(accepted)
          if outcome is not None:
            return outcome
          raise make_outcome_unknown(accepted, error.message) from error
        if may_have_run:
          raise errors.make_uncertain(error) from error
        raise

  async def _call_service(
    self, accepted: program.Accepted, row: rows.Row
  ) -> program.Finished:
    """Sends a service call once and returns its outcome.

    A response with a 5xx status is an outcome too, except for a repeatable
    call, which raises `upstream_failed` so that it can be retried.  A status
    that guarantees that the call has not run is no outcome, since the service
    has received the call: it raises `outcome_unknown` for an action.
    """
    name, _, action = accepted.target.partition('/')
    timeout = min(row.tool_timeout, self._timeout_by_service[name])
    reply = await self._service_by_name[name].call(
      action,
      accepted.body.encode(),
      request=make_service_id(accepted),
      timeout=timeout,
    )
    is_outcome = run_status.may_return(
      reply.status, ran=errors.RunStatus.UNKNOWN, is_turn=False
    )
    if accepted.repeatable and (reply.status >= 500 or not is_outcome):
      raise make_upstream_failed(name, f'status {reply.status}')
    if not is_outcome:
      text = reply.body[:MAX_QUOTED_BYTES].decode('utf-8', 'replace')
      raise errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        f'The service answered with status {reply.status}: {text}',
        ran=errors.RunStatus.UNKNOWN,
      )
    return _make_service_outcome(accepted, reply)

  async def query_outcome(
    self, accepted: program.Accepted
  ) -> program.Finished | None:
    """Returns the outcome that a service reports for a call sent before.

    Returns None if the service does not know the call or does not respond.
    """
    name = accepted.target.partition('/')[0]
    reply = await self._service_by_name[name].ask(make_service_id(accepted))
    return _make_service_outcome(accepted, reply) if reply else None

  # --- Ended programs -------------------------------------------------------

  def drop_program_cache(self, program_id: str, engine_name: str) -> None:
    """Starts to free the prefix cache that an engine holds for a program.

    Does nothing if the engine is not configured.  The cache may remain if the
    engine does not respond: errors are only logged.
    """
    if engine_name in self.engine_client_by_name:
      self.add_future(self._drop_cache(program_id, engine_name))

  async def _drop_cache(self, program_id: str, engine_name: str) -> None:
    domain = self._places.get_domain(engine_name)
    for _ in range(DROP_ATTEMPTS):
      try:
        # The token is the version of the roster of the engine's failure domain;
        # the engine rejects versions below the highest that it has seen.
        await self.engine_client_by_name[engine_name].drop_cache(
          program_id, fencing=self._members.directory.get_fencing_token(domain)
        )
        return
      except errors.WoadrunError as error:
        log.debug(
          'Cannot drop the prefix cache of program %s: %s', program_id, error
        )
      await asyncio.sleep(DROP_RETRY_DELAY_SECONDS)

  async def archive(self, program_id: str, found: program.Program) -> None:
    """Writes an ended program to the archive of this domain."""
    key = self._get_archive_key(program_id)
    await self._store.put(key, msgspec.json.encode(found))

  async def read_archive(self, program_id: str) -> program.Program | None:
    """Returns a program archived in this domain, or None if there is none."""
    data = await self._store.get(self._get_archive_key(program_id))
    return None if data is None else http.decode(data, type=program.Program)

  def _get_archive_key(self, program_id: str) -> str:
    return f'history/{self._members.domain}/{program_id}'

  def dump(self) -> dict[str, object]:
    """Returns the counters of retries and of output tokens, for debugging."""
    return {
      'retries': self.retries,
      'relayed_tokens': self.relayed_tokens,
    }


def _get_stored_body(call: calls.Call, plan: placing.CallPlan) -> str:
  # The messages of a model call are left out of the body: the field `messages`
  # of its record holds those that are new, and the history has the others.
  if call.call != program.MODEL:
    return bytes(call.body).decode()
  rest = {k: v for k, v in plan.body.items() if k != 'messages'}
  return msgspec.json.encode(rest).decode()


def make_service_id(accepted: program.Accepted) -> str:
  """Returns the idempotency key of a call, equal for all its attempts.

  A service recognizes a retry by it, also one by the next owner.
  """
  return f'{accepted.program}:{accepted.request}'


def make_outcome_unknown(
  accepted: program.Accepted, reason: str = ''
) -> errors.WoadrunError:
  """Returns the error for an action that may or may not have run."""
  message = f'It is unknown whether action {make_service_id(accepted)} ran.'
  return errors.WoadrunError(
    errors.Code.OUTCOME_UNKNOWN,
    f'{message} {reason}'.rstrip(),
    ran=errors.RunStatus.UNKNOWN,
  )


def _make_quarantined(
  accepted: program.Accepted, lost: int
) -> errors.WoadrunError:
  """Returns the error for a call that may have ended its upstreams."""
  return errors.WoadrunError(
    errors.Code.REQUEST_QUARANTINED,
    f'{lost} upstreams broke off while they ran {make_service_id(accepted)}.',
    ran=errors.RunStatus.RAN,
  )


def make_upstream_failed(name: str, reason: str) -> errors.WoadrunError:
  """Returns the error for a call whose upstream failed.

  The caller may retry after a second.
  """
  return errors.WoadrunError(
    errors.Code.UPSTREAM_FAILED,
    f'{name} failed: {reason}.',
    ran=errors.RunStatus.RAN,
    retry_after=1.0,
  )


def _make_service_outcome(
  accepted: program.Accepted, reply: http.Reply
) -> program.Finished:
  return program.Finished(
    program=accepted.program,
    request=accepted.request,
    attempt=accepted.attempt,
    outcome=program.OK,
    time=time.time(),
    status=reply.status,
    answer=reply.body.decode('utf-8', 'replace'),
  )
