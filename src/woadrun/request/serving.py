"""Handles requests: authorizes them, opens turns and relays replies.

A turn is a request of a program, a sequence of requests that may share a token
budget and may continue from one another.  The program's owner, one of the
daemons, admits a turn before it is sent (opens it) and records its end (closes
it).  Requests that need no owner are plain: they are sent without asking one.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import logging
import math
import random
import time

from woadrun import errors
from woadrun.connection import memory_account
from woadrun.connection import request_bodies
from woadrun.connection import turn_messages
from woadrun.decisions import line_expiry
from woadrun.decisions import retry_after
from woadrun.decisions import usual_duration
from woadrun.process import catalogue
from woadrun.process import counters
from woadrun.process import diversion
from woadrun.process import planned_stop
from woadrun.request import attempts
from woadrun.request import authorization
from woadrun.request import events
from woadrun.request import exchange
from woadrun.request import rates
from woadrun.request import recent_requests
from woadrun.request import turn_client
from woadrun.version import instances
from woadrun.version import routes
from woadrun.version import teams

log = logging.getLogger('woadrun.serving')

# A request's deadline is brought forward by this time, which its response takes
# to get back to the caller.
RESPONSE_MARGIN_SECONDS = 0.02
# A caller that gives up a silent stream is sent something this much earlier.
SILENCE_MARGIN_SECONDS = 0.15
# Errors whose cause is an outage of the store, of another domain or of daemons.
OUTAGE_CODES = frozenset(
  (
    errors.Code.CONFIG_UNAVAILABLE,
    errors.Code.ISOLATED,
    errors.Code.OWNER_UNAVAILABLE,
    errors.Code.PLATFORM_UNAVAILABLE,
    errors.Code.TABLE_TOO_OLD,
  )
)


class RequestHandler:
  """Handles all requests of one daemon.

  `domain` is the failure domain of this daemon.  `active` is the number of
  requests being handled.  `account` counts the histories sent with turns.
  `get_outage` returns for how many seconds the row store or another domain has
  been unreachable.
  """

  def __init__(
    self,
    *,
    catalogue: catalogue.Catalogue,
    access: authorization.Authorization,
    limits: rates.RateLimitClient,
    request_sender: attempts.RequestSender,
    turn_client: turn_client.TurnClient,
    stop: planned_stop.PlannedStop,
    diversion: diversion.Diversion,
    domain: str,
    counters: counters.Counters,
    account: memory_account.Account,
    get_outage: Callable[[], float],
  ) -> None:
    self._account = account
    self._get_outage = get_outage
    self._stop = stop
    self._diversion = diversion
    self._counters = counters
    self._catalogue = catalogue
    self._access = access
    self._limits = limits
    self._attempts = request_sender
    self._turn_client = turn_client
    self._domain = domain
    self._close_tasks: set[asyncio.Task[None]] = set()
    self._recent = recent_requests.RecentRequests()
    self._opening = usual_duration.UsualDuration()
    self.active = 0

  @contextlib.asynccontextmanager
  async def handle_request(
    self, request: exchange.Request
  ) -> AsyncIterator[exchange.Answer]:
    """Returns a context manager with the response; its exit ends the request.

    The end of a turn may still be recorded in the background afterwards.
    Entering it raises the `WoadrunError` to report to the caller if there is no
    response: `outcome_unknown` for a copy of a request that may run only once.
    The error by which a response breaks off is to be raised in it.
    """
    self.active += 1
    started_at = time.monotonic()
    kind, outcome, reason = 'unknown', 'broken_off', ''
    is_answered = False
    key = recent_requests.Key(key_digest=request.key_digest, id=request.id)
    try:
      # Any other error would promise that the request has not run.
      self._recent.check(key)
      async with self._stop.reject_late():
        grant = await self._grant_in_time(request)
      route = grant.route
      kind = route.kind.value
      deadline = _get_deadline(request, route)
      self._stop.check(deadline)
      if request.turn is not None and _needs_owner(request.turn, route):
        response = self._handle_turn(request, grant, request.turn, deadline)
      else:
        response = self._handle_plain_request(request, grant, deadline)
      with self._claim(key, route) as claim:
        async with response as answer:
          claim.has_run = is_answered = True
          yield answer
        outcome = f'{answer.status // 100}xx'
        reason = f' (status {answer.status} of the instance)'
    except errors.WoadrunError as error:
      outcome = error.code.value
      # An error after the response has begun tells only of the turn's end.
      ran = errors.RunStatus.RAN if is_answered else error.ran
      reason = f' (request {ran.value}: {error.message})'
      self._extend_retry_delay(error)
      raise
    except exchange.ResponseLost as error:
      reason = f' ({error})'
      raise
    finally:
      self.active -= 1
      self._counters.record_answer(kind, outcome, started_at)
      log.info(
        'Request %s: %s after %.0f ms%s.',
        request.id,
        outcome,
        (time.monotonic() - started_at) * 1000,
        reason,
        extra={**request.fields, 'kind': kind},
      )

  async def _grant_in_time(
    self, request: exchange.Request
  ) -> authorization.Grant:
    """Authorizes a request once the routing table is known.

    Raises `config_unavailable` if the table, or whether it is the newest one,
    is not known while the caller has time for a request of usual duration.
    """
    seconds = None
    if request.deadline is not None:
      seconds = usual_duration.limit_wait(
        exchange.get_seconds_left(request.deadline),
        # Without a table, the service is not known either.
        work_seconds=usual_duration.INITIAL_ESTIMATE_SECONDS,
        answer_seconds=self._catalogue.refresh_duration.seconds,
      )
    try:
      async with asyncio.timeout(seconds):
        await self._catalogue.wait_until_known()
        return await self._access.grant(request)
    except TimeoutError:
      raise errors.WoadrunError(
        errors.Code.CONFIG_UNAVAILABLE,
        'The newest routing table is not known in the time of the request.',
        retry_after=retry_after.OUTAGE_CHECK_SECONDS,
      ) from None

  def _extend_retry_delay(self, error: errors.WoadrunError) -> None:
    """Makes the caller return no sooner than an outage is expected to end.

    A caller that may return at once would wait here again.
    """
    if error.retry_after and error.code in OUTAGE_CODES:
      error.retry_after = max(
        error.retry_after, retry_after.estimate_outage(self._get_outage())
      )

  def _claim(
    self, key: recent_requests.Key, route: routes.Route
  ) -> contextlib.AbstractContextManager[recent_requests.Claim]:
    if route.kind is routes.Kind.IDEMPOTENT:
      return contextlib.nullcontext(recent_requests.Claim())
    return self._recent.claim(key)

  # --- Plain requests -------------------------------------------------------

  @contextlib.asynccontextmanager
  async def _handle_plain_request(
    self,
    request: exchange.Request,
    grant: authorization.Grant,
    deadline: float,
  ) -> AsyncIterator[exchange.Answer]:
    service = routes.choose_service(grant.route, random.random())
    async with self._stop.reject_late():
      unit = await self._limits.take(
        request,
        grant,
        deadline=deadline,
        work_seconds=self._attempts.estimate_seconds(service),
      )
    try:
      async with self._attempts.send(
        request, grant, service=service, deadline=deadline
      ) as (reply, _):
        yield exchange.Answer(
          status=reply.status,
          headers=reply.headers,
          chunks=reply.chunks,
          ends_with_connection=reply.ends_with_connection,
        )
    except attempts.NotAttempted:
      self._limits.give_back(unit)
      raise

  # --- Turns of programs ----------------------------------------------------

  @contextlib.asynccontextmanager
  async def _handle_turn(
    self,
    request: exchange.Request,
    grant: authorization.Grant,
    turn: exchange.TurnInfo,
    deadline: float,
  ) -> AsyncIterator[exchange.Answer]:
    route = grant.route
    # Ids are scoped by team, so that a request that names a program or turn of
    # another team is handled as if that did not exist.
    id = teams.scope(grant.team_name, request.id)
    turn = dataclasses.replace(
      turn,
      program=teams.scope(grant.team_name, turn.program),
      parent=teams.scope(grant.team_name, turn.parent),
    )
    service = routes.choose_service(route, random.random())
    work_seconds = self._attempts.estimate_seconds(service)
    async with self._stop.reject_late():
      unit = await self._limits.take(
        request, grant, deadline=deadline, work_seconds=work_seconds
      )
    admission = _make_admission_request(
      grant, turn, service=service, deadline=deadline
    )
    try:
      async with self._stop.reject_late():
        opened = await self._open_turn(
          id,
          route,
          turn,
          deadline,
          connected_at=request.connected_at,
          work_seconds=work_seconds,
          admission=admission,
        )
    except BaseException:
      self._limits.give_back(unit)
      raise
    running = _RunningTurn(
      request=request,
      id=id,
      turn=turn,
      route=route,
      opened=opened,
      deadline=deadline,
    )
    try:
      # The grant of the rate limit may have expired while the turn was opened.
      async with self._stop.reject_late():
        unit = await self._limits.renew(
          unit, request, grant, deadline=deadline, work_seconds=work_seconds
        )
      with self._hold_body(request, opened) as body:
        async with self._attempts.send(
          request,
          grant,
          service=service,
          deadline=deadline,
          body=body,
          cached_by_instance=_get_cached_tokens(opened, turn),
        ) as (reply, instance):
          running.instance = instance
          yield exchange.Answer(
            status=reply.status,
            headers=reply.headers,
            chunks=self._relay_reply(running, reply),
            ends_with_connection=reply.ends_with_connection,
          )
    except errors.WoadrunError as error:
      # After its reply has begun, an error is not about the attempt.
      running.has_run = (
        running.instance is not None
        or error.ran is not errors.RunStatus.NOT_RUN
      )
      if isinstance(error, attempts.NotAttempted):
        self._limits.give_back(unit)
      raise
    finally:
      if not running.is_closed:
        self._close_in_background(running)

  @contextlib.contextmanager
  def _hold_body(
    self, request: exchange.Request, opened: turn_messages.OpenedTurn
  ) -> Iterator[bytes]:
    """Yields the body of a turn, with the history before it.

    Raises `memory_full` if it cannot be held now.
    """
    kind = memory_account.Kind.HISTORY
    with self._account.hold(kind, request.id) as holder:
      if opened.history:
        try:
          holder.grow(len(opened.history) + len(request.body))
        except memory_account.MemoryExceeded as error:
          raise attempts.NotAttempted(
            errors.Code.MEMORY_FULL,
            'The daemon cannot hold the history of the turn now.',
            retry_after=request_bodies.RETRY_AFTER_SECONDS,
          ) from error
      yield opened.history + request.body

  async def _open_turn(
    self,
    id: str,
    route: routes.Route,
    turn: exchange.TurnInfo,
    deadline: float,
    *,
    connected_at: float,
    work_seconds: float,
    admission: turn_messages.AdmissionRequest | None,
  ) -> turn_messages.OpenedTurn:
    """Opens a turn; raises `owner_unavailable` if it cannot be run in time.

    `connected_at` is when its caller connected, and `work_seconds` the usual
    duration of such turns.
    """
    began = time.monotonic()
    was_held = self._turn_client.is_held
    seconds = usual_duration.limit_wait(
      deadline - began,
      work_seconds=work_seconds,
      answer_seconds=self._opening.seconds,
    )
    patience = route.patience - SILENCE_MARGIN_SECONDS
    try:
      async with (
        asyncio.timeout(min(seconds, patience)),
        self._diversion.bound(connected_at),
      ):
        opened = await self._turn_client.open(
          id, turn, keeps_history=route.keeps_history, admission=admission
        )
    except diversion.Diverted:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        'The daemon is cut off; others admit the turn over a new connection.',
        retry_after=0.0,
      ) from None
    except TimeoutError:
      has_time = patience < seconds
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        f'No owner of the program admitted the turn in {seconds:.2f} s: its '
        f'caller had {deadline - began:.2f} s, of which the work usually takes '
        f'{work_seconds:.2f} s.',
        # The caller leaves a silent stream before its deadline, and can spend
        # the rest of its time waiting here.
        retry_after=0.0 if has_time else retry_after.OUTAGE_CHECK_SECONDS,
      ) from None
    if not was_held:
      self._opening.record(time.monotonic() - began)
    return opened

  async def _relay_reply(
    self, running: _RunningTurn, reply: exchange.Reply
  ) -> AsyncGenerator[bytes]:
    """Yields a reply's chunks, then closes the turn if it has a history."""
    if reply.event_reader is not None:
      running.reader = reply.event_reader
    is_kept = 200 <= reply.status < 300 and running.route.keeps_history
    held_chunk = b''
    async for chunk in reply.chunks:
      if held_chunk:
        yield held_chunk
      # The last chunk is kept back until the store has the turn: its caller
      # leaves a stream that is silent for long.  While the store is in doubt,
      # any chunk may be the last.
      may_wait = is_kept and (
        reply.is_at_end() or self._turn_client.may_hold_ends
      )
      held_chunk = chunk if may_wait else b''
      if not may_wait:
        yield chunk
    if not is_kept:
      # No later turn can continue from this one, so `_handle_turn` closes it in
      # the background, which settles its tokens.
      return
    # The caller may continue from the turn as soon as its response ends, so the
    # response does not end before the turn is durable.
    closing = asyncio.ensure_future(self._close_complete(running))
    try:
      if held_chunk:
        patience = running.route.patience - SILENCE_MARGIN_SECONDS
        done, _ = await asyncio.wait((closing,), timeout=patience)
        for ended in done:
          # A turn that is not whole needs no last chunk.
          ended.result()
        yield held_chunk
      await closing
    finally:
      closing.cancel()

  async def _close_complete(self, running: _RunningTurn) -> None:
    """Closes a turn; returns once it is durable, or raises `not_committed`."""
    message = self._make_close_message(running, is_complete=True)
    try:
      async with (
        self._stop.bound(),
        self._diversion.bound(running.request.connected_at),
      ):
        await self._turn_client.close(
          message,
          home=running.opened.home or self._domain,
          deadline=running.deadline,
        )
    except planned_stop.StopReached as error:
      raise errors.WoadrunError(
        errors.Code.NOT_COMMITTED,
        'The daemon stops before the store has the turn.',
        ran=errors.RunStatus.RAN,
      ) from error
    except diversion.Diverted as error:
      raise errors.WoadrunError(
        errors.Code.NOT_COMMITTED,
        'The daemon is cut off; others run the turn again.',
        ran=errors.RunStatus.RAN,
      ) from error
    running.is_closed = True
    if message.turn is not None:
      self._turn_client.record_history(running.opened, message.turn)
    log.info(
      'Turn %s of %s is kept: %d events, %d tokens.',
      running.id,
      running.turn.program,
      running.reader.count,
      message.tokens,
      extra=running.request.fields,
    )

  def _make_close_message(
    self, running: _RunningTurn, *, is_complete: bool
  ) -> turn_messages.CloseTurn:
    tokens = self._count_tokens(running)
    turn = running.turn
    return turn_messages.CloseTurn(
      program=turn.program,
      request=running.id,
      tokens=tokens,
      instance=running.instance.incarnation_id if running.instance else '',
      parts=_add_output_tokens(turn.parts, tokens),
      turn=_make_turn(running, tokens) if is_complete else None,
      has_run=running.has_run,
    )

  def _count_tokens(self, running: _RunningTurn) -> int:
    """Returns the number of tokens to settle for a turn, at most its maximum.

    It is computed from the number of events sent to the caller.  If the routing
    table lacks the service, a turn with any event counts with its maximum.
    """
    if running.instance is None:
      return 0
    table = self._catalogue.table
    service = (
      table.service_by_name.get(running.instance.service) if table else None
    )
    tokens_per_event = (
      service.tokens_per_event if service else running.turn.max_output
    )
    # The part of a truncated event may hold its tokens.
    events = running.reader.count + running.reader.is_inside_event
    return min(running.turn.max_output, events * tokens_per_event)

  def _close_in_background(self, running: _RunningTurn) -> None:
    message = self._make_close_message(running, is_complete=False)
    home = running.opened.home or self._domain
    task = asyncio.ensure_future(self._close_and_log_failure(message, home))
    self._close_tasks.add(task)
    task.add_done_callback(self._close_tasks.discard)

  async def _close_and_log_failure(
    self, message: turn_messages.CloseTurn, home: str
  ) -> None:
    try:
      await self._turn_client.close(message, home=home, deadline=math.inf)
    except errors.WoadrunError as error:
      # The budget then still counts the turn's reservation, which is at least
      # what the caller received.
      log.warning(
        'Turn %s of %s stays reserved because its end was not recorded: %s',
        message.request,
        message.program,
        error.message,
      )


@dataclasses.dataclass(kw_only=True)
class _RunningTurn:
  """A turn from its admission by the program's owner to its end.

  `id` and the ids in `turn` are scoped by team.  `opened` is the owner's
  answer, with the history.  `deadline` is on the monotonic clock.  `instance`
  is the instance that replied, None until then.  `is_closed` tells that the end
  of the turn is recorded.  `has_run` is false once it is certain that the turn
  has not run.
  """

  request: exchange.Request
  id: str
  turn: exchange.TurnInfo
  route: routes.Route
  opened: turn_messages.OpenedTurn
  deadline: float
  reader: events.EventReader = dataclasses.field(
    default_factory=events.EventReader
  )
  instance: instances.Instance | None = None
  is_closed: bool = False
  has_run: bool = True


def _make_turn(running: _RunningTurn, tokens: int) -> turn_messages.Turn:
  """Returns a completed turn in the form that later turns continue from."""
  opened, route = running.opened, running.route
  ended_at = time.time()
  expiry = line_expiry.plan(
    ended_at=ended_at,
    retention=route.retention,
    timeout=route.timeout,
    line_expires_at=opened.kept_until if opened.line else None,
  )
  return turn_messages.Turn(
    request=running.id,
    program=running.turn.program,
    line=opened.line,
    input=running.request.body,
    output=bytes(running.reader.data),
    tokens=tokens,
    instance=running.instance.incarnation_id if running.instance else '',
    ended_at=ended_at,
    retention=route.retention,
    expires_at=expiry.expires_at,
    extends_line=expiry.extends_line,
  )


def _get_cached_tokens(
  opened: turn_messages.OpenedTurn, turn: exchange.TurnInfo
) -> dict[str, int]:
  """Returns how many tokens of a prompt each instance has cached.

  A new owner knows only the instance that ran the previous turn, which is then
  assumed to have the whole prompt cached.
  """
  if opened.cached_by_instance or not opened.instance:
    return opened.cached_by_instance
  return {opened.instance: turn.prompt_tokens}


def _add_output_tokens(
  parts: tuple[turn_messages.PromptPart, ...], tokens: int
) -> tuple[turn_messages.PromptPart, ...]:
  """Returns the parts of a prompt, with the output added to the last one.

  An instance that has run a turn has its output cached as well.
  """
  if not parts:
    return ()
  last = turn_messages.PromptPart(parts[-1].id, parts[-1].tokens + tokens)
  return (*parts[:-1], last)


def _make_admission_request(
  grant: authorization.Grant,
  turn: exchange.TurnInfo,
  *,
  service: str,
  deadline: float,
) -> turn_messages.AdmissionRequest | None:
  """Returns what the owner needs to admit a program, None if it always may.

  A turn with a single attempt that an instance refuses cannot be sent to
  another instance, so its program begins only if the service has room.
  """
  route = grant.route
  if route.kind is not routes.Kind.STREAM or route.max_attempts != 1:
    return None
  finish = turn.finish_at
  return turn_messages.AdmissionRequest(
    service=service,
    kind=route.name,
    team=grant.team.name if grant.team else '',
    weight=teams.get_weight(grant.team),
    priority=route.priority,
    seconds_left=None if finish is None else exchange.get_seconds_left(finish),
    turn_seconds=exchange.get_seconds_left(deadline),
    is_first=not turn.parent,
  )


def _needs_owner(turn: exchange.TurnInfo, route: routes.Route) -> bool:
  """Returns whether the program's owner has to admit a turn.

  That is so if its route keeps histories, or if the turn has a budget, which
  all turns of a program share, and its route is a stream.
  """
  has_shared_budget = (
    turn.budget is not None and route.kind is routes.Kind.STREAM
  )
  return route.keeps_history or has_shared_budget


def _get_deadline(request: exchange.Request, route: routes.Route) -> float:
  """Returns when the response must be complete, on the monotonic clock."""
  deadline = time.monotonic() + route.timeout
  if request.deadline is not None:
    deadline = min(deadline, request.deadline)
  return deadline - RESPONSE_MARGIN_SECONDS
