"""Sends a request to one instance after another, as often as it may.

A request that may not be repeated is sent again only if the instance says
that it did not run, or was never reached.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import logging
import time

from woadrun import errors
from woadrun.process import catalogue
from woadrun.process import loads
from woadrun.request import exchange
from woadrun.version import instances
from woadrun.version import routes

log = logging.getLogger('woadrun.attempts')

# A request is not sent with less time than this left, in seconds: the way
# alone takes a part of it.
LEAST_SECONDS = 0.02


class Attempts:
  """Finds instances for requests, sends, and sends again."""

  def __init__(
    self,
    *,
    known: catalogue.Catalogue,
    load: loads.Loads,
    upstreams: exchange.Upstreams,
  ) -> None:
    self._known = known
    self._load = load
    self._upstreams = upstreams

  @contextlib.asynccontextmanager
  async def send(
    self,
    request: exchange.Request,
    route: routes.Route,
    *,
    service: str,
    deadline: float,
    body: bytes | None = None,
    preferred: str = '',
  ) -> AsyncIterator[tuple[exchange.Reply, instances.Instance]]:
    """Returns a context with the first reply of an instance that ran it.

    Raises `upstream_unavailable` where none ran it, `outcome_unknown`
    where one may have, `deadline_passed` where it may have and time is up.
    """
    sent = body if body is not None else request.body
    tried: list[str] = []
    cause: Exception | None = None
    may_have_run = False
    async with contextlib.AsyncExitStack() as stack:
      while len(tried) < route.max_attempts:
        seconds = exchange.get_seconds_left(deadline)
        instance = self._choose(request, service, tried, preferred)
        if instance is None or seconds < LEAST_SECONDS:
          break
        tried.append(instance.id)
        sending = exchange.Sending(
          request=request,
          instance=instance,
          body=sent,
          seconds=seconds,
          urgency=route.priority if request.turn else None,
        )
        try:
          reply = await self._try(stack, sending)
        except exchange.NotSent as error:
          self._load.note_unreachable(instance.id)
          cause = error
          self._log(sending, f'not sent: {error}')
          continue
        except exchange.Lost as error:
          cause = error
          may_have_run = True
          self._log(sending, f'no answer: {error}')
          if route.kind is routes.Kind.IDEMPOTENT:
            continue
          break
        if not reply.has_run:
          self._log(sending, f'not run, {reply.status}')
          await stack.aclose()
          continue
        if route.kind is routes.Kind.IDEMPOTENT and not reply.is_genuine:
          may_have_run = True
          self._log(sending, 'no answer of this request')
          await stack.aclose()
          continue
        if not reply.is_genuine:
          may_have_run = True
          self._log(sending, 'no answer of this request')
          break
        self._log(sending, f'answers {reply.status}')
        yield reply, instance
        return
    raise self._make_error(service, may_have_run, tried, cause)

  def _choose(
    self,
    request: exchange.Request,
    service: str,
    tried: list[str],
    preferred: str,
  ) -> instances.Instance | None:
    turn = request.turn
    prompt = turn.prompt if turn else 0
    return self._load.choose(
      self._known.directory.find(service),
      tried=tried,
      prompt=prompt,
      cached_by_id={preferred: prompt} if preferred else None,
    )

  async def _try(
    self, stack: contextlib.AsyncExitStack, sending: exchange.Sending
  ) -> exchange.Reply:
    id = sending.instance.id
    own = contextlib.AsyncExitStack()
    own.enter_context(self._load.count(id))
    own.callback(self._learn, id, time.monotonic())
    try:
      reply = await own.enter_async_context(self._upstreams.send(sending))
    except BaseException:
      await own.aclose()
      raise
    await stack.enter_async_context(own)
    return reply

  def _learn(self, id: str, started: float) -> None:
    self._load.note_seconds(id, time.monotonic() - started)

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

  def _make_error(
    self,
    service: str,
    may_have_run: bool,
    tried: list[str],
    cause: Exception | None,
  ) -> errors.WoadrunError:
    if may_have_run:
      return errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        f'The answer was lost: {cause}',
        ran=errors.Ran.UNKNOWN,
      )
    found = self._known.directory.find(service)
    return errors.WoadrunError(
      errors.Code.UPSTREAM_UNAVAILABLE,
      f'None of {len(found)} instances ran it, {len(tried)} tried.',
      retry_after=self._load.estimate_return(found),
    )
