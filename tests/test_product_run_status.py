"""Statuses of the product's own interface for requests that may have run."""

import asyncio
import contextlib
import types

import aiohttp
from aiohttp import web
import msgspec
import pytest
import test_call_attempts as attempts
import test_truncated_product_responses as truncated

from woadrun import errors
from woadrun.connection import memory_account
from woadrun.process import daemon
from woadrun.process import slots
from woadrun.request import calls
from woadrun.request import execution
from woadrun.request import forwarding
from woadrun.request import gateway
from woadrun.request import owner
from woadrun.request import placing
from woadrun.request import request_memory
from woadrun.request import runner as runners
from woadrun.request import upstreams
from woadrun.version import program
from woadrun.version import rows

PROMISING_CODES = [
  code
  for code, status in errors.STATUS_BY_CODE.items()
  if status in (402, 404, 408, 410, 421, 429, 503)
]
NOT_RUN_STATUSES = [408, 421, 429, 503]


def make_error(code, ran=errors.RunStatus.NOT_RUN):
  return errors.WoadrunError(code, 'm', ran=ran, retry_after=1.0)


# --- Responses to callers ----------------------------------------------------


class Owners:
  """Forwards calls; each try has the next of `results`, an error or answer."""

  def __init__(self, *results):
    self._results = list(results)

  async def open_call(self, call, *, is_stream):
    result = self._results.pop(0)
    if isinstance(result, errors.WoadrunError):
      raise result
    status, chunks = result
    return forwarding.OpenedResponse(
      status=status,
      content_type=calls.JSON_TYPE,
      chunks=chunks,
      close=lambda: None,
    )


@contextlib.asynccontextmanager
async def serve(owners):
  """Yields the URL of a gateway that forwards calls to `owners`."""
  routes = gateway.Gateway(
    config=None,
    members=None,
    authenticator=types.SimpleNamespace(authenticate_caller=lambda _: ['*']),
    forwarding=owners,
  ).get_routes()
  hold_bodies = request_memory.hold_bodies(memory_account.Account())
  application = web.Application(middlewares=[daemon.handle_errors, hold_bodies])
  application.add_routes(routes)
  runner = web.AppRunner(application, shutdown_timeout=0.1)
  await runner.setup()
  await web.TCPSite(runner, '127.0.0.1', 0).start()
  try:
    yield f'http://127.0.0.1:{runner.addresses[0][1]}'
  finally:
    await runner.cleanup()


async def act(*results):
  """Returns status and body of an action whose tries have these results."""
  async with serve(Owners(*results)) as url, aiohttp.ClientSession() as session:
    path = f'{url}/v1/programs/{attempts.PROGRAM}/services/s/act'
    async with session.post(path, data=b'{}') as response:
      return response.status, await response.read()


async def answer(data):
  yield data


# Guards against an error that states that a request may have run beside a
# status that guarantees the opposite.
@pytest.mark.parametrize('code', PROMISING_CODES)
@pytest.mark.parametrize('ran', list(errors.RunStatus))
def test_status_of_an_error_agrees_with_what_it_states(code, ran):
  error = errors.WoadrunError(code, 'm', ran=ran, retry_after=3.0)
  response = gateway.make_error_response(error)
  is_certain = ran is errors.RunStatus.NOT_RUN
  assert response.status == (error.status if is_certain else 502)
  assert response.headers['Woadrun-Error'] == code.value
  assert response.headers['Retry-After'] == '3'
  assert errors.from_body(response.body).ran is ran


# Guards against callers that return before the time that is told: 2.4 s were
# rounded to 2, and nothing to a second.
@pytest.mark.parametrize(
  ('seconds', 'told'), [(0.0, '0'), (0.2, '1'), (2.4, '3'), (3.0, '3')]
)
def test_time_to_return_is_rounded_up(seconds, told):
  code = errors.Code.OVERLOADED
  response = gateway.make_error_response(
    errors.WoadrunError(code, 'm', retry_after=seconds)
  )
  assert response.headers['Retry-After'] == told


@pytest.mark.parametrize('code', [errors.Code.UPSTREAM_FAILED])
@pytest.mark.parametrize('ran', list(errors.RunStatus))
def test_status_that_promises_nothing_is_kept(code, ran):
  error = errors.WoadrunError(code, 'm', ran=ran)
  assert gateway.make_error_response(error).status == error.status


# Guards against the stored status of a service, from another daemon or an
# earlier version, that guarantees that the action has not run.
@pytest.mark.parametrize('status', NOT_RUN_STATUSES)
async def test_answer_of_a_call_that_ran_has_no_status_of_one_that_did_not(
  status,
):
  assert await act((status, answer(b'{"held": 1}'))) == (502, b'{"held": 1}')


@pytest.mark.parametrize('status', [200, 402, 404, 409, 500])
async def test_answer_of_an_action_keeps_a_status_that_promises_nothing(status):
  assert await act((status, answer(b'{}'))) == (status, b'{}')


async def break_off():
  raise calls.StreamInterrupted
  yield b''


# Guards against a refusal as not run of a call whose answer had begun, and
# broke off with the owner before any of it reached the caller.
@pytest.mark.parametrize(
  'code', [errors.Code.OWNER_UNAVAILABLE, errors.Code.LIMIT_REACHED]
)
async def test_call_whose_answer_broke_off_is_not_refused_as_not_run(code):
  status, body = await act((200, break_off()), make_error(code))
  error = errors.from_body(body)
  assert (status, error.code) == (502, code)
  assert error.ran is errors.RunStatus.UNKNOWN


def make_forwarder(*results, hold):
  """Returns a forwarder whose tries of the owner have these results."""
  members = types.SimpleNamespace(
    address='a',
    domain='north',
    directory=types.SimpleNamespace(get_owner=lambda *_: 'b'),
    mark_domain_unreachable=lambda _: None,
    is_platform_up=lambda: True,
  )
  config = types.SimpleNamespace(
    daemon=types.SimpleNamespace(region_domains=['north', 'south'], slots=1),
    timing=types.SimpleNamespace(hold=hold, silent_after=1.0),
  )
  found = forwarding.Forwarder(
    config=config, members=members, messenger=None, local=None
  )
  left = list(results)

  async def fail(*_, **__):
    raise left.pop(0)

  found._open_remote = found._post = fail
  return found


# Guards against the refusal of another owner being given for a call that the
# first one may have run.
@pytest.mark.parametrize(
  ('first', 'ran'),
  [
    (errors.RunStatus.UNKNOWN, errors.RunStatus.UNKNOWN),
    (errors.RunStatus.NOT_RUN, errors.RunStatus.NOT_RUN),
  ],
)
async def test_refusal_of_the_next_owner_does_not_speak_for_the_first(
  first, ran
):
  refusal = make_error(errors.Code.LIMIT_REACHED)
  forwarder = make_forwarder(
    make_error(errors.Code.OWNER_UNAVAILABLE, first), refusal, hold=60.0
  )
  with pytest.raises(errors.WoadrunError) as caught:
    await forwarder.open_call(attempts.make_call(), is_stream=False)
  assert (caught.value.code, caught.value.ran) == (refusal.code, ran)
  assert refusal.ran is errors.RunStatus.NOT_RUN


# Guards against a refusal as not run of a program that the daemons of another
# failure domain may have started.
@pytest.mark.parametrize(
  ('first', 'ran'),
  [
    (errors.RunStatus.UNKNOWN, errors.RunStatus.UNKNOWN),
    (errors.RunStatus.NOT_RUN, errors.RunStatus.NOT_RUN),
  ],
)
@pytest.mark.parametrize(
  'code', [errors.Code.OWNER_UNAVAILABLE, errors.Code.BUDGET_EXCEEDED]
)
async def test_refusal_of_a_domain_does_not_speak_for_the_others(
  code, first, ran
):
  forwarder = make_forwarder(
    make_error(errors.Code.OWNER_UNAVAILABLE, first), make_error(code), hold=-1
  )
  found = gateway.Gateway(
    config=forwarder._config,
    members=types.SimpleNamespace(has_recent_domain_heartbeat=lambda _: True),
    authenticator=None,
    forwarding=forwarder,
  )
  body = gateway.StartBody(team='t', budget=1)
  with pytest.raises(errors.WoadrunError) as caught:
    await found._start_in_any_domain(body, ['*'], 'key')
  assert (caught.value.code, caught.value.ran) == (code, ran)


# --- Services ----------------------------------------------------------------


def make_reply(status, body=b'{"held": 1}'):
  head = b'HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n' % status
  head += b'Connection: close\r\nContent-Length: %d\r\n\r\n' % len(body)
  return head + body


# Guards against an action that ran and that its caller, who was given the
# service's 503, takes for one that did not run.
@pytest.mark.parametrize('status', NOT_RUN_STATUSES)
async def test_outcome_of_an_action_is_queried_after_a_promising_status(status):
  outcome, paths = await truncated.run_service(
    make_reply(status), make_reply(200, b'{"runs": 1}')
  )
  assert paths == ['actions', 'outcomes']
  assert (outcome.outcome, outcome.status) == (program.OK, 200)
  assert outcome.answer == '{"runs": 1}'


# Guards against such an action being sent again, or recorded as not run.
@pytest.mark.parametrize('status', NOT_RUN_STATUSES)
async def test_outcome_of_an_action_is_unknown_after_a_promising_status(status):
  error, paths = await truncated.run_service(
    make_reply(status), truncated.NOT_FOUND
  )
  assert paths == ['actions', 'outcomes']
  assert error.code is errors.Code.OUTCOME_UNKNOWN
  assert error.ran is errors.RunStatus.UNKNOWN
  assert error.retry_after is None
  assert f'status {status}: {{"held": 1}}' in error.message
  accepted = attempts.make_accepted('a', repeatable=False)
  record = runners.make_failed(accepted, error, now=0.0)
  assert (record.outcome, record.status) == (program.UNKNOWN, 502)


# Guards against a repeatable call that ends with such a status, though the
# service would answer it a moment later.
@pytest.mark.parametrize('status', NOT_RUN_STATUSES)
async def test_repeatable_call_is_sent_again_after_a_promising_status(status):
  outcome, paths = await truncated.run_service(
    make_reply(status), make_reply(200, b'{}'), repeatable=True
  )
  assert paths == ['actions', 'actions']
  assert (outcome.outcome, outcome.status) == (program.OK, 200)


# Guards against the same status at the end of the retries.
@pytest.mark.parametrize('status', NOT_RUN_STATUSES)
async def test_repeatable_call_fails_after_promising_statuses(status):
  error, paths = await truncated.run_service(
    make_reply(status), repeatable=True
  )
  assert paths == ['actions', 'actions']
  assert error.code is errors.Code.UPSTREAM_FAILED
  assert error.ran is errors.RunStatus.RAN


@pytest.mark.parametrize('status', [402, 404, 409, 410, 500, 502])
async def test_status_that_promises_nothing_is_the_outcome_of_an_action(status):
  outcome, paths = await truncated.run_service(make_reply(status))
  assert paths == ['actions']
  assert (outcome.outcome, outcome.status) == (program.OK, status)


# Guards against an action that ran and was answered with a redirect being
# recorded as not run, because the other address accepts no connection.
@pytest.mark.parametrize('status', [301, 302, 303, 307, 308])
async def test_redirect_that_leads_nowhere_does_not_tell_that_an_action_ran_not(
  status,
):
  redirect = b'HTTP/1.1 %d Elsewhere\r\nLocation: http://127.0.0.1:1/\r\n'
  head = redirect % status + b'Connection: close\r\n'
  error, paths = await truncated.run_service(
    head + b'Content-Length: 0\r\n\r\n', truncated.NOT_FOUND
  )
  assert paths == ['actions', 'outcomes']
  assert error.code is errors.Code.OUTCOME_UNKNOWN
  assert error.ran is errors.RunStatus.UNKNOWN


class Client:
  """A client of a service whose calls raise errors, one after the other."""

  def __init__(self, *raised):
    self._raised = list(raised)

  async def call(self, *_, **__):
    raise self._raised.pop(0)


LOST = make_error(errors.Code.OUTCOME_UNKNOWN, errors.RunStatus.UNKNOWN)
REFUSED = make_error(errors.Code.UPSTREAM_UNAVAILABLE)


# Guards against a repeatable call that ran, and whose service then stopped,
# being refused as not run by its last attempt.
@pytest.mark.parametrize(
  ('raised', 'ran'),
  [
    ([LOST, REFUSED], errors.RunStatus.UNKNOWN),
    ([REFUSED, LOST, REFUSED], errors.RunStatus.UNKNOWN),
    ([REFUSED, REFUSED], errors.RunStatus.NOT_RUN),
  ],
)
async def test_last_attempt_does_not_speak_for_earlier_ones(raised, ran):
  service_calls = upstreams.UpstreamCalls(
    config=types.SimpleNamespace(engines=[], services=[]),
    session=None,
    members=None,
    places=None,
    store=None,
  )
  service_calls._timeout_by_service['s'] = 1.0
  service_calls._service_by_name['s'] = Client(*raised)
  tries = iter([True] * (len(raised) - 1) + [False])
  with pytest.raises(errors.WoadrunError) as caught:
    await service_calls.run_service(
      attempts.make_accepted('a', repeatable=True),
      types.SimpleNamespace(tool_timeout=1.0),
      types.SimpleNamespace(take=lambda: next(tries)),
    )
  assert caught.value.code is errors.Code.UPSTREAM_UNAVAILABLE
  assert caught.value.ran is ran
  assert caught.value.retry_after == REFUSED.retry_after
  assert REFUSED.ran is errors.RunStatus.NOT_RUN


# --- Engines -----------------------------------------------------------------

BROKEN = truncated.UNFRAMED + truncated.make_event('part')


class FullPlaces(truncated.Places):
  """Refuses to move a call to another engine with an error of `failing`."""

  def __init__(self, failing, code):
    super().__init__()
    self._failing = failing
    self._code = code

  def get_engines(self, *_):
    self._fail('get_engines')
    return ['first', 'second']

  def choose_upstream(self, names, *_):
    self._fail('choose_upstream')
    return names[0]

  async def acquire_slot(self, *_):
    self._fail('acquire_slot')

  def _fail(self, name):
    if name == self._failing:
      raise make_error(self._code)


async def fail_over(places, url, session, *, is_resumed=False):
  """Returns the error of a call that is not moved from its failed engine."""
  model_calls = upstreams.UpstreamCalls(
    config=types.SimpleNamespace(
      engines=[
        types.SimpleNamespace(name='first', url=url),
        types.SimpleNamespace(name='second', url='http://127.0.0.1:1'),
      ],
      services=[],
    ),
    session=session,
    members=None,
    places=places,
    store=None,
  )
  with pytest.raises(errors.WoadrunError) as caught:
    await model_calls.run_model(
      execution.make_execution(attempts.make_call()),
      attempts.make_accepted('a'),
      placing.UpstreamAssignment(name='first', is_resumed=is_resumed),
      attempts.make_state().get_program(attempts.PROGRAM),
      None,
      types.SimpleNamespace(take=lambda: True),
    )
  return caught.value


FAIL_OVER_ERRORS = [
  ('get_engines', errors.Code.UNKNOWN_MODEL),
  ('choose_upstream', errors.Code.UPSTREAM_UNAVAILABLE),
  ('acquire_slot', errors.Code.OVERLOADED),
]


# Guards against a model call that an engine began, and that is charged for it,
# being refused as not run because no other engine takes it.
@pytest.mark.parametrize(('failing', 'code'), FAIL_OVER_ERRORS)
@pytest.mark.parametrize('response', [BROKEN, make_reply(503)])
async def test_model_call_that_was_sent_is_not_refused_as_not_run(
  response, failing, code
):
  server = truncated.RawServer(response)
  async with server.run() as session:
    error = await fail_over(FullPlaces(failing, code), server.url, session)
  assert (error.code, error.ran) == (code, errors.RunStatus.UNKNOWN)
  assert gateway.make_error_response(error).status == 502


# Guards against the same after the stream of an earlier owner is gone.
@pytest.mark.parametrize(('failing', 'code'), FAIL_OVER_ERRORS)
async def test_resumed_model_call_is_not_refused_as_not_run(failing, code):
  async with truncated.RawServer(b'').run() as session:
    error = await fail_over(
      FullPlaces(failing, code), 'http://127.0.0.1:1', session, is_resumed=True
    )
  assert (error.code, error.ran) == (code, errors.RunStatus.UNKNOWN)


# Guards against less certainty than there is: no engine was reached.
@pytest.mark.parametrize(('failing', 'code'), FAIL_OVER_ERRORS)
async def test_model_call_that_reached_no_engine_is_refused_as_not_run(
  failing, code
):
  async with truncated.RawServer(b'').run() as session:
    error = await fail_over(
      FullPlaces(failing, code), 'http://127.0.0.1:1', session
    )
  assert (error.code, error.ran) == (code, errors.RunStatus.NOT_RUN)
  assert gateway.make_error_response(error).status == error.status


# --- Owners ------------------------------------------------------------------


# Guards against a call that an earlier owner had sent being refused as not run
# by the owner that resumes it.
@pytest.mark.parametrize(
  ('code', 'repeatable'),
  [
    (errors.Code.NOT_OWNER, True),
    (errors.Code.CONFIG_UNAVAILABLE, True),
    (errors.Code.UPSTREAM_UNAVAILABLE, True),
    (errors.Code.NOT_OWNER, False),
  ],
)
async def test_call_of_an_earlier_owner_is_not_refused_as_not_run(
  code, repeatable
):
  state = attempts.make_state()
  run, _ = attempts.make_owner(state)
  accepted = attempts.make_accepted('first', repeatable=repeatable)
  state.apply([accepted], answers=9)

  async def refuse(*_):
    raise make_error(code)

  run._resume = refuse
  running = execution.make_execution(attempts.make_call(repeatable=repeatable))
  await run._execute_recovered(running, accepted)
  for found in (running.json_answer, running.stream_answer):
    assert found.error.code is code
    assert found.error.ran is errors.RunStatus.UNKNOWN


# Guards against a frozen owner's refusal as not run of a call that another
# owner has resumed and answered meanwhile.
@pytest.mark.parametrize('repeatable', [True, False])
async def test_refusal_does_not_contradict_the_outcome_of_another_owner(
  repeatable,
):
  state = attempts.make_state()
  run, owned_slot = attempts.make_owner(state)
  accepted = attempts.make_accepted('first', repeatable=repeatable)
  accepted = msgspec.structs.replace(accepted, call=program.SERVICE)
  state.apply([accepted, attempts.make_ok('first', 'theirs')], answers=9)

  async def refuse(*_):
    raise REFUSED

  run._runner._upstreams = types.SimpleNamespace(run_service=refuse)
  running = execution.make_execution(attempts.make_call(repeatable=repeatable))
  ending = asyncio.ensure_future(
    run._runner.perform(
      running, accepted, placing.UpstreamAssignment(name='s'), rows.Row(key='t')
    )
  )
  while not owned_slot.tickets:
    await asyncio.sleep(0)
  owned_slot.settle(state.sequence, slots.Durability.STANDBY)
  with pytest.raises(errors.WoadrunError) as caught:
    await ending
  # The gateway retries on this code and gets the recorded outcome.
  assert caught.value.code is errors.Code.OWNER_UNAVAILABLE
  assert caught.value.ran is errors.RunStatus.UNKNOWN


def make_program_owner(state):
  """Returns the owner of slot 0, whose standby acknowledges no record."""
  run, _ = attempts.make_owner(state)
  return owner.ProgramOwner(
    config=types.SimpleNamespace(limits=types.SimpleNamespace(programs=9)),
    ownership=run._ownership,
    configuration=attempts.FakeTable(),
    runner=run._runner,
    upstreams=None,
  )


# Guards against a refusal as not run of a program that is then found open.
async def test_start_that_is_not_committed_is_not_refused_as_not_run():
  state = attempts.make_state()
  start = calls.StartProgram(
    program='north.000.b', team='t', kind='k', budget=1, teams=['*']
  )
  with pytest.raises(errors.WoadrunError) as caught:
    await make_program_owner(state).start_program(start)
  assert start.program in state.program_by_id
  assert caught.value.code is errors.Code.NOT_COMMITTED
  assert caught.value.ran is errors.RunStatus.UNKNOWN


# Guards against a refusal as not run of the end of a program that has ended.
@pytest.mark.parametrize('reason', ['ended', 'cancelled'])
async def test_end_that_is_not_committed_is_not_refused_as_not_run(reason):
  state = attempts.make_state()
  command = calls.ProgramCommand(
    program=attempts.PROGRAM, verb='end', teams=['*']
  )
  with pytest.raises(errors.WoadrunError) as caught:
    await make_program_owner(state).end_program(command, reason=reason)
  assert state.get_program(attempts.PROGRAM).ended == reason
  assert caught.value.code is errors.Code.NOT_COMMITTED
  assert caught.value.ran is errors.RunStatus.UNKNOWN
