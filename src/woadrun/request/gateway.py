"""HTTP interface for callers.

Authenticates and validates requests, forwards them to the owner of their
program, and relays the answers.
"""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import time
from typing import Any
from typing import cast

from aiohttp import web
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun import settings
from woadrun.connection import response_ends
from woadrun.decisions import run_status
from woadrun.process import membership
from woadrun.process import planned_stop
from woadrun.request import access
from woadrun.request import calls
from woadrun.request import forwarding
from woadrun.request import request_memory
from woadrun.version import program
from woadrun.version import roster

PROGRAM_HEADER = 'Woadrun-Program'
ORDINAL_HEADER = 'Woadrun-Ordinal'
HISTORY_HEADER = 'Woadrun-History'
REPEATABLE_HEADER = 'Woadrun-Repeatable'
REQUEST_HEADER = 'Idempotency-Key'

# Time that a planned stop waits for the body of a request.
RECEIVE_TIMEOUT_SECONDS = 5.0
# Key of a request's response, from when the request may have an effect.
_RESPONSE = 'woadrun.response'

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StartBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
  """The request body that starts a program.

  `budget` is in tokens; `deadline` is in seconds from the start.
  """

  team: str
  budget: int
  kind: str = 'default'
  deadline: float = 0.0
  parent: str = ''


class ProgramBody(msgspec.Struct, kw_only=True):
  """The representation of a program in responses to callers.

  `budget`, `spent`, `reserved`, `carved`, `available` and `history_tokens`
  are in tokens; `deadline_at` is a Unix time in seconds.
  """

  id: str
  team: str
  kind: str
  parent: str
  state: str
  budget: int
  spent: int
  reserved: int
  carved: int
  available: int
  calls: int
  history_tokens: int
  deadline_at: float


class Gateway:
  """The HTTP handlers for callers' requests."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    authenticator: access.Authenticator,
    forwarding: forwarding.Forwarder,
    stop: planned_stop.PlannedStop | None = None,
  ) -> None:
    # Without `stop` the process ends without a planned stop.
    self._stop = stop or planned_stop.PlannedStop(grace=math.inf)
    self._config = config
    self._members = members
    self._access = authenticator
    self._forwarding = forwarding
    self.active = 0
    self.served = 0

  def get_routes(self) -> list[web.RouteDef]:
    """Returns the routes that callers may request."""
    return [
      web.post('/v1/programs', self._count_request(self._start_program)),
      web.get('/v1/programs/{program}', self._count_request(self._get_program)),
      web.get(
        '/v1/programs/{program}/history', self._count_request(self._get_history)
      ),
      web.post(
        '/v1/programs/{program}/{verb:end|cancel}',
        self._count_request(self._end_program),
      ),
      web.post(
        '/v1/programs/{program}/services/{service}/{action}',
        self._count_request(self._call_service),
      ),
      web.post('/v1/chat/completions', self._count_request(self._call_model)),
    ]

  def _count_request(self, handler: Handler) -> Handler:
    async def handle(request: web.Request) -> web.StreamResponse:
      self.active += 1
      try:
        return await self._answer_in_time(request, handler)
      finally:
        self.active -= 1
        self.served += 1

    return handle

  async def _answer_in_time(
    self, request: web.Request, handler: Handler
  ) -> web.StreamResponse:
    """Returns the response, or ends it as a planned stop sends its last one.

    Raises `stopping` if the request has not run, else `outcome_unknown`.
    """
    self._stop.check(time.monotonic())
    try:
      async with self._stop.bound():
        return await handler(request)
    except planned_stop.StopReached as error:
      if _RESPONSE not in request:
        raise planned_stop.make_rejection() from error
      response = request[_RESPONSE]
      if response is not None and response.prepared:
        response_ends.abort_body(request)
        return cast(web.StreamResponse, response)
      raise errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        'The daemon has stopped; the request may have run.',
        ran=errors.RunStatus.UNKNOWN,
        # Only a request with an id can be repeated safely.
        retry_after=0.0 if REQUEST_HEADER in request.headers else None,
      ) from error

  async def _receive(self, request: web.Request) -> bytes:
    """Returns the body of a request that may have an effect from now on."""
    async with self._stop.reject_slow(RECEIVE_TIMEOUT_SECONDS):
      body = await request_memory.read(request)
    request[_RESPONSE] = None
    return body

  # --- Programs -------------------------------------------------------------

  async def _start_program(self, request: web.Request) -> web.Response:
    teams = self._access.authenticate_caller(request)
    body = decode_json(await self._receive(request), StartBody)
    if body.team not in teams and '*' not in teams:
      raise errors.WoadrunError(
        errors.Code.FORBIDDEN_TEAM,
        f'The bearer token is not authorized for team {body.team}.',
        place='team',
      )
    key = calls.check_request_id(request.headers.get(REQUEST_HEADER, ''))
    started = await self._start_in_any_domain(body, teams, key)
    return make_json_response(get_program_body(started), status=201)

  async def _start_in_any_domain(
    self, body: StartBody, teams: list[str], key: str
  ) -> program.Program:
    """Returns the program, started in the first available domain.

    A sub-agent starts in the slot of its parent.  Otherwise the domains are
    tried in an order derived from the team and the key, so that a retry
    through any daemon finds the program that the first attempt started.
    """
    if body.parent:
      domain, slot = calls.split_program_id(body.parent)
      return await self._start_in_domain(body, teams, key, domain, slot)
    domains = roster.rank(
      f'home/{body.team}/{key}', self._config.daemon.region_domains
    )
    # Domains not heard from lately are tried last.  The sort is stable, so
    # the order is otherwise the one derived from the key.
    domains.sort(
      key=lambda domain: not self._members.has_recent_domain_heartbeat(domain)
    )
    slot = int.from_bytes(roster.get_digest(f'{body.team}/{key}'), 'big')
    slot %= self._config.daemon.slots
    last_error: errors.WoadrunError | None = None
    may_have_run = False
    for domain in domains:
      try:
        return await self._start_in_domain(body, teams, key, domain, slot)
      except errors.WoadrunError as error:
        last_error = errors.make_uncertain(error) if may_have_run else error
        may_have_run |= error.ran is not errors.RunStatus.NOT_RUN
        if error.code is not errors.Code.OWNER_UNAVAILABLE:
          break
    raise last_error or AssertionError('no domains are configured')

  async def _start_in_domain(
    self, body: StartBody, teams: list[str], key: str, domain: str, slot: int
  ) -> program.Program:
    program_key = f'{body.team}/{body.parent}/{key}'
    return await self._forwarding.start_program(
      calls.StartProgram(
        program=calls.make_program_id(domain, slot, program_key),
        team=body.team,
        kind=body.kind,
        budget=body.budget,
        deadline=body.deadline,
        parent=body.parent,
        teams=teams,
      )
    )

  async def _get_program(self, request: web.Request) -> web.Response:
    return make_json_response(
      get_program_body(await self._send_command(request, 'get'))
    )

  async def _end_program(self, request: web.Request) -> web.Response:
    found = await self._send_command(request, request.match_info['verb'])
    return make_json_response(get_program_body(found))

  async def _get_history(self, request: web.Request) -> web.Response:
    found = await self._send_command(request, 'get')
    return make_json_response(
      {
        'id': found.started.program,
        'messages': found.history,
        'requests': [
          _get_request_body(r) for r in found.request_by_id.values()
        ],
      }
    )

  async def _send_command(
    self, request: web.Request, verb: str
  ) -> program.Program:
    if verb != 'get':
      request[_RESPONSE] = None
    return await self._forwarding.control_program(
      calls.ProgramCommand(
        program=request.match_info['program'],
        verb=verb,
        teams=self._access.authenticate_caller(request),
      )
    )

  # --- Calls ----------------------------------------------------------------

  async def _call_model(self, request: web.Request) -> web.StreamResponse:
    teams = self._access.authenticate_caller(request)
    raw = await self._receive(request)
    body = decode_json(raw, dict[str, Any])
    model = body.get('model')
    if not isinstance(model, str):
      raise errors.WoadrunError(
        errors.Code.BAD_REQUEST, 'The model must be a string.', place='model'
      )
    call = calls.Call(
      program=_get_program_header(request),
      request=calls.check_request_id(request.headers.get(REQUEST_HEADER, '')),
      call=program.MODEL,
      target=model,
      body=msgspec.Raw(raw),
      teams=teams,
      ordinal=_get_ordinal(request),
      repeatable=True,
      is_append=request.headers.get(HISTORY_HEADER, '') == 'append',
    )
    return await self._relay(request, call, is_stream=bool(body.get('stream')))

  async def _call_service(self, request: web.Request) -> web.StreamResponse:
    teams = self._access.authenticate_caller(request)
    raw = await self._receive(request) or b'{}'
    decode_json(raw, Any)
    match = request.match_info
    call = calls.Call(
      program=match['program'],
      request=calls.check_request_id(request.headers.get(REQUEST_HEADER, '')),
      call=program.SERVICE,
      target=f'{match["service"]}/{match["action"]}',
      body=msgspec.Raw(raw),
      teams=teams,
      ordinal=_get_ordinal(request),
      repeatable=request.headers.get(REPEATABLE_HEADER, '') == 'true',
    )
    await self._check_service_time(request, call, match['service'])
    return await self._relay(request, call, is_stream=False)

  async def _check_service_time(
    self, request: web.Request, call: calls.Call, service: str
  ) -> None:
    """Raises `stopping` if a service call cannot end before a planned stop.

    A call with an id of its caller goes on at another daemon, which has its
    answer for a retry.
    """
    if not self._stop.has_begun:
      return
    seconds = next(
      (s.timeout for s in self._config.services if s.name == service), 0.0
    )
    if time.monotonic() + seconds <= self._stop.answers_until:
      return
    drained = self._stop.schedule.drained
    if REQUEST_HEADER in request.headers and (
      await self._forwarding.wait_for_other_owner(
        call.program, timeout=self._stop.get_seconds_until(drained)
      )
    ):
      return
    self._stop.check(time.monotonic() + seconds)

  async def _relay(
    self, request: web.Request, call: calls.Call, *, is_stream: bool
  ) -> web.StreamResponse:
    """Returns the response for a call, also if its first answers break off."""
    may_have_run = False
    while True:
      try:
        response = await self._relay_once(request, call, is_stream=is_stream)
      except errors.WoadrunError as error:
        if may_have_run:
          raise errors.make_uncertain(error) from error
        raise
      if response is not None:
        return response
      may_have_run = True

  async def _relay_once(
    self, request: web.Request, call: calls.Call, *, is_stream: bool
  ) -> web.StreamResponse | None:
    """Returns the response for a call, or None if it can be requested again.

    That is so if its answer broke off before any of it reached the caller.
    """
    opened = await self._forwarding.open_call(call, is_stream=is_stream)
    # The answer is that of a call that ran.
    status = run_status.get_status(
      opened.status,
      ran=errors.RunStatus.RAN,
      is_turn=call.call == program.MODEL,
    )
    response = web.StreamResponse(status=status)
    request[_RESPONSE] = response
    response.content_type = opened.content_type
    response.headers[REQUEST_HEADER] = call.request
    response.headers[PROGRAM_HEADER] = call.program
    try:
      return await write_chunks(request, response, opened.chunks)
    except calls.StreamInterrupted:
      if not response.prepared:
        return None
      response_ends.abort_body(request)
      return response
    except ConnectionResetError:
      # The caller disconnected; the call continues so that a retry with
      # the same id gets its answer.
      return response
    finally:
      opened.close()


async def write_chunks(
  request: web.Request,
  response: web.StreamResponse,
  chunks: AsyncGenerator[bytes, None],
) -> web.StreamResponse:
  """Returns the response after all chunks were written to it.

  The response headers are sent with the first chunk.  Until then an
  interrupted answer can be requested again without the caller noticing.
  """
  async with contextlib.aclosing(chunks) as source:
    async for chunk in source:
      if not response.prepared:
        response_ends.begin_head(request)
        await response.prepare(request)
        response_ends.begin_body(request, response)
      await response.write(chunk)
  if not response.prepared:
    await response.prepare(request)
  await response.write_eof()
  await response_ends.complete_body(request, response)
  return response


# --- Reading requests -------------------------------------------------------


def decode_json(data: bytes, type: Any) -> Any:
  """Returns the value of a JSON body, decoded as `type`.

  Raises `bad_json` for malformed JSON, and `bad_request` with the path of
  the invalid field for JSON that does not match the type.
  """
  try:
    return decoding.decode_json(data, type=type)
  except decoding.MalformedData as error:
    if error.is_syntax:
      raise errors.WoadrunError(
        errors.Code.BAD_JSON, str(error), place='body'
      ) from None
    reason, _, path = str(error).partition(' - at ')
    raise errors.WoadrunError(
      errors.Code.BAD_REQUEST, reason, place=path.strip('`')
    ) from None


def _get_program_header(request: web.Request) -> str:
  program_id = request.headers.get(PROGRAM_HEADER)
  if not program_id:
    raise errors.WoadrunError(
      errors.Code.BAD_REQUEST,
      f'The header {PROGRAM_HEADER} with the id of the program is missing.',
      place=PROGRAM_HEADER,
    )
  return program_id


def _get_ordinal(request: web.Request) -> int:
  text = request.headers.get(ORDINAL_HEADER, '0')
  if not text.isdecimal() or len(text) > 9:
    raise errors.WoadrunError(
      errors.Code.BAD_REQUEST,
      'The ordinal must be a whole number of at most 9 digits.',
      place=ORDINAL_HEADER,
    )
  return int(text)


# --- Writing responses ------------------------------------------------------


def make_json_response(data: Any, *, status: int = 200) -> web.Response:
  """Returns a JSON response."""
  return web.Response(
    body=msgspec.json.encode(data),
    status=status,
    content_type=calls.JSON_TYPE,
  )


def make_error_response(error: errors.WoadrunError) -> web.Response:
  """Returns the HTTP response for an error."""
  # The error does not tell the kind of its request; a model call is a turn.
  status = run_status.get_status(error.status, ran=error.ran, is_turn=True)
  response = web.Response(
    body=error.get_body(), status=status, content_type=calls.JSON_TYPE
  )
  response.headers['Woadrun-Error'] = error.code.value
  if error.retry_after is not None:
    # The header allows whole seconds only; the body has the exact time.  A
    # caller that returned sooner would be refused again.
    response.headers['Retry-After'] = str(math.ceil(error.retry_after))
  return response


def get_program_body(found: program.Program) -> ProgramBody:
  """Returns the representation of a program for its caller."""
  started = found.started
  return ProgramBody(
    id=started.program,
    team=started.team,
    kind=started.kind,
    parent=started.parent,
    state=found.ended or 'open',
    budget=started.budget,
    spent=found.spent,
    reserved=found.reserved,
    carved=found.carved,
    available=found.available,
    calls=found.calls,
    history_tokens=found.history_tokens,
    deadline_at=started.deadline_at,
  )


def _get_request_body(request: program.Request) -> dict[str, Any]:
  accepted = request.accepted
  return {
    'id': accepted.request,
    'ordinal': accepted.ordinal,
    'call': accepted.call,
    'target': accepted.target,
    'repeatable': accepted.repeatable,
    'outcome': request.outcome or 'running',
    'status': request.status,
  }
