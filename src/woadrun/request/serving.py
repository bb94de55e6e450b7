"""Serves one request: finds its route, its history, and who runs it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import logging
import random
import time

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.process import catalogue
from woadrun.process import counters
from woadrun.request import attempts
from woadrun.request import authorization
from woadrun.request import events
from woadrun.request import exchange
from woadrun.request import rates
from woadrun.request import turn_leave
from woadrun.version import instances
from woadrun.version import routes
from woadrun.version import teams

log = logging.getLogger('woadrun.serving')

# Tells an answer in time from one a moment late, in seconds: what the way
# back to the caller takes.
ANSWER_MARGIN_SECONDS = 0.02
NO_TABLE_SECONDS = 0.5


class Serving:
  """All requests of one daemon."""

  def __init__(
    self,
    *,
    known: catalogue.Catalogue,
    access: authorization.Authorization,
    limits: rates.Rates,
    send: attempts.Attempts,
    leave: turn_leave.TurnLeave,
    domain: str,
    counts: counters.Counters,
  ) -> None:
    self._counts = counts
    self._known = known
    self._access = access
    self._limits = limits
    self._send = send
    self._leave = leave
    self._domain = domain
    self._closing: set[asyncio.Task[None]] = set()
    self.active = 0

  @contextlib.asynccontextmanager
  async def answer(
    self, request: exchange.Request
  ) -> AsyncIterator[exchange.Answer]:
    """Returns a context with the answer; leaving it ends all work for it.

    Raises the error that stands for the answer where there is none.
    """
    self.active += 1
    started = time.monotonic()
    kind, outcome, reason = 'unknown', 'broken_off', ''
    try:
      await self._known.wait_known()
      granted = await self._access.grant(request)
      route = granted.route
      kind = route.kind.value
      deadline = _get_deadline(request, route)
      if request.turn is not None and _needs_leave(request.turn, route):
        context = self._answer_turn(request, granted, request.turn, deadline)
      else:
        context = self._answer_plain(request, granted, deadline)
      async with context as answer:
        yield answer
        outcome = f'{answer.status // 100}xx'
    except errors.WoadrunError as error:
      outcome = error.code.value
      reason = f' ({error.message})'
      raise
    finally:
      self.active -= 1
      self._counts.note_answer(kind, outcome, started)
      log.info(
        'Request %s: %s after %.0f ms%s.',
        request.id,
        outcome,
        (time.monotonic() - started) * 1000,
        reason,
        extra={**request.fields, 'kind': kind},
      )

  # --- Plain calls ----------------------------------------------------------

  @contextlib.asynccontextmanager
  async def _answer_plain(
    self,
    request: exchange.Request,
    granted: authorization.Grant,
    deadline: float,
  ) -> AsyncIterator[exchange.Answer]:
    await self._limits.take(request, granted, deadline=deadline)
    service = routes.choose_service(granted.route, random.random())
    async with self._send.send(
      request, granted, service=service, deadline=deadline
    ) as (reply, _):
      yield exchange.Answer(
        status=reply.status, headers=reply.headers, chunks=reply.chunks
      )

  # --- Turns of programs ----------------------------------------------------

  @contextlib.asynccontextmanager
  async def _answer_turn(
    self,
    request: exchange.Request,
    granted: authorization.Grant,
    turn: exchange.TurnInfo,
    deadline: float,
  ) -> AsyncIterator[exchange.Answer]:
    route = granted.route
    # Programs and turns of other teams are as unknown as those that never were.
    id = teams.scope(granted.team_name, request.id)
    turn = dataclasses.replace(
      turn,
      program=teams.scope(granted.team_name, turn.program),
      parent=teams.scope(granted.team_name, turn.parent),
    )
    taken_at = await self._limits.take(request, granted, deadline=deadline)
    opened = await self._open(id, route, turn, deadline)
    running = _RunningTurn(
      request=request, id=id, turn=turn, route=route, opened=opened
    )
    try:
      await self._limits.renew(taken_at, request, granted, deadline=deadline)
      service = routes.choose_service(route, random.random())
      async with self._send.send(
        request,
        granted,
        service=service,
        deadline=deadline,
        body=opened.history + request.body,
        cached_by_instance=_get_cached(opened, turn),
      ) as (reply, instance):
        running.instance = instance
        yield exchange.Answer(
          status=reply.status,
          headers=reply.headers,
          chunks=self._relay(running, reply),
        )
    finally:
      if not running.is_closed:
        self._close_behind(running)

  async def _open(
    self,
    id: str,
    route: routes.Route,
    turn: exchange.TurnInfo,
    deadline: float,
  ) -> turn_messages.OpenedTurn:
    left = exchange.get_seconds_left(deadline)
    try:
      async with asyncio.timeout(left):
        return await self._leave.open(
          id, turn, keeps_history=route.keeps_history
        )
    except TimeoutError:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE,
        'No leave to run the turn in time.',
        retry_after=NO_TABLE_SECONDS,
      ) from None

  async def _relay(
    self, running: _RunningTurn, reply: exchange.Reply
  ) -> AsyncGenerator[bytes]:
    async for chunk in reply.chunks:
      running.reader.feed(chunk)
      yield chunk
    if not 200 <= reply.status < 300 or not running.route.keeps_history:
      # Nothing is kept for a later turn: the budget is settled behind.
      return
    # The caller may continue from the turn once its answer ends: the end
    # is held back until the turn is kept.
    done = self._make_end(running, is_whole=True)
    await self._leave.close(done, home=running.opened.home or self._domain)
    running.is_closed = True
    if done.turn is not None:
      self._leave.note_kept(running.opened, done.turn)
    log.info(
      'Turn %s of %s is kept: %d events, %d tokens.',
      running.id,
      running.turn.program,
      running.reader.count,
      done.tokens,
      extra=running.request.fields,
    )

  def _make_end(
    self, running: _RunningTurn, *, is_whole: bool
  ) -> turn_messages.CloseTurn:
    tokens = self._count_tokens(running)
    turn = running.turn
    return turn_messages.CloseTurn(
      program=turn.program,
      request=running.id,
      tokens=tokens,
      instance=running.instance.life if running.instance else '',
      parts=_add_output(turn.parts, tokens),
      turn=_make_turn(running, tokens) if is_whole else None,
    )

  def _count_tokens(self, running: _RunningTurn) -> int:
    if running.instance is None:
      return 0
    table = self._known.table
    service = (
      table.service_by_name.get(running.instance.service) if table else None
    )
    each = service.tokens_per_event if service else running.turn.most
    return min(running.turn.most, running.reader.count * each)

  def _close_behind(self, running: _RunningTurn) -> None:
    done = self._make_end(running, is_whole=False)
    home = running.opened.home or self._domain
    task = asyncio.ensure_future(self._try_close(done, home))
    self._closing.add(task)
    task.add_done_callback(self._closing.discard)

  async def _try_close(self, done: turn_messages.CloseTurn, home: str) -> None:
    try:
      await self._leave.close(done, home=home)
    except errors.WoadrunError as error:
      # The budget then counts what was reserved: more than was given.
      log.warning(
        'Turn %s of %s stays reserved: %s',
        done.request,
        done.program,
        error.message,
      )


@dataclasses.dataclass(kw_only=True)
class _RunningTurn:
  """A turn from its leave to its end.

  `id` and the names in `turn` are those among the turns of all teams.
  """

  request: exchange.Request
  id: str
  turn: exchange.TurnInfo
  route: routes.Route
  opened: turn_messages.OpenedTurn
  reader: events.EventReader = dataclasses.field(
    default_factory=events.EventReader
  )
  instance: instances.Instance | None = None
  is_closed: bool = False


def _make_turn(running: _RunningTurn, tokens: int) -> turn_messages.Turn:
  """Returns a whole turn as later turns continue from it."""
  return turn_messages.Turn(
    request=running.id,
    program=running.turn.program,
    line=running.opened.line,
    input=running.request.body,
    output=bytes(running.reader.data),
    tokens=tokens,
    instance=running.instance.life if running.instance else '',
    ended_at=time.time(),
    retention=running.route.retention,
  )


def _get_cached(
  opened: turn_messages.OpenedTurn, turn: exchange.TurnInfo
) -> dict[str, int]:
  """Returns what instances hold of a prompt, in tokens.

  An owner that is new knows only who ran the turn before.
  """
  if opened.cached_by_instance or not opened.instance:
    return opened.cached_by_instance
  return {opened.instance: turn.prompt}


def _add_output(
  parts: tuple[turn_messages.Part, ...], tokens: int
) -> tuple[turn_messages.Part, ...]:
  """Returns the parts of a prompt, the last one with what was made."""
  if not parts:
    return ()
  last = turn_messages.Part(parts[-1].id, parts[-1].tokens + tokens)
  return (*parts[:-1], last)


def _needs_leave(turn: exchange.TurnInfo, route: routes.Route) -> bool:
  """Returns whether a turn has a history, or a budget that all share."""
  is_bounded = turn.budget is not None and route.kind is routes.Kind.STREAM
  return route.keeps_history or is_bounded


def _get_deadline(request: exchange.Request, route: routes.Route) -> float:
  limit = time.monotonic() + route.timeout
  if request.deadline is not None:
    limit = min(limit, request.deadline)
  return limit - ANSWER_MARGIN_SECONDS
