"""Statuses of the product's own interface for requests that may have run."""

import contextlib
import types

import aiohttp
from aiohttp import web
import pytest
import test_call_attempts as attempts
import test_truncated_product_responses as truncated

from woadrun import errors
from woadrun.process import daemon
from woadrun.request import calls
from woadrun.request import forwarding
from woadrun.request import gateway
from woadrun.request import runner as runners
from woadrun.version import program

PROMISING_CODES = [
  code
  for code, status in errors.STATUS_BY_CODE.items()
  if status in (402, 404, 408, 410, 421, 429, 503)
]
NOT_RUN_STATUSES = [408, 421, 429, 503]


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
  application = web.Application(middlewares=[daemon.handle_errors])
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
