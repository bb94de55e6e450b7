"""Sends a request to one instance after another, as often as it may.

A request that may not be repeated is sent again only if the instance says
that it did not run, or was never reached.  One that may be repeated goes to a
second instance as well when the first takes much longer than usual.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import logging
import time

from woadrun import errors
from woadrun.decisions import hedging
from woadrun.decisions import urgency
from woadrun.process import catalogue
from woadrun.process import health
from woadrun.process import loads
from woadrun.request import authorization
from woadrun.request import cut_watch
from woadrun.request import exchange
from woadrun.version import instances
from woadrun.version import routes

log = logging.getLogger('woadrun.attempts')

# Statuses from here on are failures of the instance.
FIRST_FAILURE_STATUS = 500
# A request is not sent with less time than this left, in seconds: the way
# alone takes a part of it.
LEAST_SECONDS = 0.02


@dataclasses.dataclass(kw_only=True)
class _Begun:
  """A request under way to one instance; closing `stack` ends it."""

  sending: exchange.Sending
  stack: contextlib.AsyncExitStack
  reply: exchange.Reply


@dataclasses.dataclass(kw_only=True)
class _Plan:
  """A request, where it was sent, and what is known of its outcome.

  `tried` has the lives of instances, `cause` the last failure, `refusal` why it
  must not be sent any more.
  """

  request: exchange.Request
  service: str
  deadline: float
  body: bytes
  cached_by_instance: dict[str, int]
  granted: authorization.Grant
  refusal: errors.WoadrunError | None = None
  tried: list[str] = dataclasses.field(default_factory=list)
  cause: Exception | None = None
  may_have_run: bool = False

  @property
  def route(self) -> routes.Route:
    """The route that was granted."""
    return self.granted.route


class Attempts:
  """Finds instances for requests, sends, and sends again.

  `is_cut_off` tells whether this daemon is on the lesser side of a cut, with
  a failure domain on the other side.
  """

  def __init__(
    self,
    *,
    known: catalogue.Catalogue,
    load: loads.Loads,
    access: authorization.Authorization,
    upstreams: exchange.Upstreams,
    is_cut_off: Callable[[str], bool] = lambda domain: False,
  ) -> None:
    self._known = known
    self._load = load
    self._access = access
    self._upstreams = upstreams
    self._cuts = cut_watch.CutWatch(is_cut_off=is_cut_off)
    self._budget = hedging.HedgeBudget()

  @contextlib.asynccontextmanager
  async def send(
    self,
    request: exchange.Request,
    granted: authorization.Grant,
    *,
    service: str,
    deadline: float,
    body: bytes | None = None,
    cached_by_instance: dict[str, int] | None = None,
  ) -> AsyncIterator[tuple[exchange.Reply, instances.Instance]]:
    """Returns a context with the first reply of an instance that ran it.

    Raises `upstream_unavailable` where none ran it, `outcome_unknown`
    where one may have, `deadline_passed` where it may have and time is up,
    and what `Authorization.check` does where it has not run.
    """
    route = granted.route
    plan = _Plan(
      request=request,
      service=service,
      deadline=deadline,
      body=body if body is not None else request.body,
      cached_by_instance=cached_by_instance or {},
      granted=granted,
    )
    async with contextlib.AsyncExitStack() as stack:
      while (sending := self._find_next(plan)) is not None:
        try:
          begun = await self._begin(plan, sending)
        except exchange.NotSent as error:
          plan.cause = error
          continue
        except exchange.Lost as error:
          plan.cause = error
          plan.may_have_run = True
          if route.kind is routes.Kind.IDEMPOTENT:
            continue
          break
        stack.push_async_exit(begun.stack)
        reply = begun.reply
        if reply.has_run and reply.is_genuine:
          yield reply, begun.sending.instance
          return
        await stack.aclose()
        if not reply.has_run:
          continue
        plan.may_have_run = True
        if route.kind is not routes.Kind.IDEMPOTENT:
          break
    raise self._make_error(plan)

  # --- One instance after the other -----------------------------------------

  def _find_next(self, plan: _Plan) -> exchange.Sending | None:
    """Returns the next send of a request, or None where none is left."""
    seconds = exchange.get_seconds_left(plan.deadline)
    if len(plan.tried) >= plan.route.max_attempts or seconds < LEAST_SECONDS:
      return None
    try:
      self._access.check(plan.request, plan.granted)
    except errors.WoadrunError as error:
      plan.refusal = error
      return None
    turn = plan.request.turn
    prompt = turn.prompt if turn else 0
    instance = self._load.choose(
      self._known.directory.find(plan.service),
      tried=plan.tried,
      prompt=prompt,
      parts=turn.parts if turn else (),
      cached_by_id=plan.cached_by_instance,
    )
    if instance is None:
      return None
    plan.tried.append(instance.life)
    if turn is not None:
      self._load.note_prompt(instance.life, turn.parts)
    return exchange.Sending(
      request=plan.request,
      instance=instance,
      body=plan.body,
      seconds=seconds,
      urgency=_get_urgency(plan),
      team=plan.granted.team_name,
    )

  async def _begin(self, plan: _Plan, sending: exchange.Sending) -> _Begun:
    if plan.route.kind is routes.Kind.STREAM:
      return await self._try_watched(sending)
    if plan.route.kind is routes.Kind.ONCE:
      # An answer may still come once a cut has healed.
      return await self._try(sending)
    self._budget.note_first()
    return await self._try_hedged(plan, sending)

  async def _try_watched(self, sending: exchange.Sending) -> _Begun:
    """Returns the reply of an instance, which ends if a cut takes it away.

    The caller of a stream otherwise waits for seconds until it gives up and
    asks again.
    """
    domain = sending.instance.domain
    scope = asyncio.timeout(None)
    now = asyncio.get_running_loop().time()
    try:
      async with scope:
        with self._cuts.watch(domain, lambda: scope.reschedule(now)):
          begun = await self._try(sending)
    except TimeoutError as error:
      if not scope.expired():
        raise
      raise exchange.Lost(f'{domain} is cut off') from error
    begun.stack.enter_context(
      self._cuts.watch(domain, lambda: self._break_off(begun))
    )
    return begun

  def _break_off(self, begun: _Begun) -> None:
    domain = begun.sending.instance.domain
    self._log(begun.sending, f'broken off: {domain} is cut off')
    begun.reply.abort()

  async def _try_hedged(self, plan: _Plan, sending: exchange.Sending) -> _Begun:
    """Returns the first good reply of one instance, or of a second one."""
    tasks = [asyncio.ensure_future(self._try(sending))]
    usual = self._load.get_usual_seconds(plan.service)
    try:
      await asyncio.wait(tasks, timeout=hedging.get_patience(usual))
      if not tasks[0].done() and self._budget.take():
        second = self._find_next(plan)
        if second is not None:
          self._log(sending, f'slower than usual, {usual * 1000:.0f} ms')
          tasks.append(asyncio.ensure_future(self._try(second)))
      return await _get_first_good(plan, tasks)
    except BaseException:
      await _end(tasks)
      raise

  async def _try(self, sending: exchange.Sending) -> _Begun:
    id = sending.instance.life
    stack = contextlib.AsyncExitStack()
    stack.enter_context(self._load.count(id))
    stack.callback(self._learn, sending, time.monotonic())
    self._load.health.note_sent(stack, id, sending.instance.service)
    try:
      reply = await stack.enter_async_context(self._upstreams.send(sending))
      self._load.health.note_answer(stack)
    except BaseException as error:
      await stack.aclose()
      self._note_failure(sending, error)
      raise
    finally:
      self._load.health.note_end(stack)
    self._note_reply(id, reply)
    stack.callback(self._note_end, id, reply)
    self._log(sending, _describe(reply))
    return _Begun(sending=sending, stack=stack, reply=reply)

  def _note_reply(self, id: str, reply: exchange.Reply) -> None:
    if not reply.has_run:
      self._load.health.note_failure(id, health.REJECTION_WEIGHT)
    elif not reply.is_genuine or reply.status >= FIRST_FAILURE_STATUS:
      self._load.health.note_failure(id)
    reply.chunks = self._follow(id, reply.chunks)

  async def _follow(
    self, id: str, chunks: AsyncGenerator[bytes]
  ) -> AsyncGenerator[bytes]:
    try:
      async with contextlib.aclosing(chunks):
        async for chunk in chunks:
          yield chunk
    except exchange.Lost:
      self._load.health.note_failure(id)
      raise

  def _note_end(self, id: str, reply: exchange.Reply) -> None:
    if reply.is_reusable():
      self._load.note_rested(id)

  def _learn(self, sending: exchange.Sending, started: float) -> None:
    instance = sending.instance
    seconds = time.monotonic() - started
    self._load.note_seconds(instance.life, instance.service, seconds)

  def _note_failure(
    self, sending: exchange.Sending, error: BaseException
  ) -> None:
    if isinstance(error, exchange.NotSent):
      self._load.note_unreachable(sending.instance.life)
      self._load.health.note_failure(sending.instance.life)
      self._log(sending, f'not sent: {error}')
    elif isinstance(error, exchange.Lost):
      self._load.health.note_failure(
        sending.instance.life, health.SILENCE_WEIGHT
      )
      self._log(sending, f'no answer: {error}')

  def _log(self, sending: exchange.Sending, outcome: str) -> None:
    log.info(
      'Request %s at %s (%s, %.0f ms left): %s.',
      sending.request.id,
      sending.instance.id,
      sending.instance.domain,
      sending.seconds * 1000,
      outcome,
      extra=sending.request.fields,
    )

  def _make_error(self, plan: _Plan) -> errors.WoadrunError:
    if plan.may_have_run:
      return errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        f'The answer was lost: {plan.cause}',
        ran=errors.Ran.UNKNOWN,
      )
    if plan.refusal is not None:
      return plan.refusal
    found = self._known.directory.find(plan.service)
    return errors.WoadrunError(
      errors.Code.UPSTREAM_UNAVAILABLE,
      f'None of {len(found)} instances ran it, {len(plan.tried)} tried.',
      retry_after=self._load.estimate_return(found),
    )


def _get_urgency(plan: _Plan) -> int | None:
  turn = plan.request.turn
  if turn is None:
    return None
  return urgency.get_urgency(
    plan.granted.priority, finish=turn.finish, now=time.monotonic()
  )


async def _get_first_good(
  plan: _Plan, tasks: list[asyncio.Task[_Begun]]
) -> _Begun:
  """Returns the first reply that counts, else what the first send gave.

  All other sends are ended.
  """
  left = set(tasks)
  while left:
    done, left = await asyncio.wait(left, return_when=asyncio.FIRST_COMPLETED)
    good = [task for task in done if _is_good(task)]
    if good:
      await _end([task for task in tasks if task is not good[0]])
      return good[0].result()
  plan.may_have_run |= any(_may_have_run(task) for task in tasks)
  await _end(tasks[1:])
  return tasks[0].result()


def _is_good(task: asyncio.Task[_Begun]) -> bool:
  if task.cancelled() or task.exception() is not None:
    return False
  reply = task.result().reply
  return reply.has_run and reply.is_genuine


def _may_have_run(task: asyncio.Task[_Begun]) -> bool:
  if task.cancelled():
    return True
  if task.exception() is not None:
    return isinstance(task.exception(), exchange.Lost)
  return task.result().reply.has_run


async def _end(tasks: list[asyncio.Task[_Begun]]) -> None:
  for task in tasks:
    if not task.done():
      task.cancel()
    elif not task.cancelled() and task.exception() is None:
      await task.result().stack.aclose()


def _describe(reply: exchange.Reply) -> str:
  if not reply.has_run:
    return f'not run, {reply.status}'
  return (
    f'answers {reply.status}'
    if reply.is_genuine
    else 'no answer of this request'
  )
