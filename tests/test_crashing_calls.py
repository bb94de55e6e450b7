"""Calls of the product's own interface that end their upstreams."""

import contextlib
import types

import pytest
import test_call_attempts as attempts
import test_truncated_product_responses as truncated

from woadrun import errors
from woadrun.request import execution
from woadrun.request import placing
from woadrun.request import upstreams

ENGINES = 8
REFUSAL = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
BROKEN = truncated.UNFRAMED + truncated.make_event('part')
MAX_LOST = 3


class Places(truncated.Places):
  """Grants every permit, at any of several engines."""

  def get_engines(self, *_):
    return [f'e{number}' for number in range(ENGINES)]


async def run_model(response):
  """Returns the error of a call, and how many engines it was sent to."""
  servers = [
    truncated.RawServer(response, is_reset=True) for _ in range(ENGINES)
  ]
  async with contextlib.AsyncExitStack() as stack:
    sessions = [await stack.enter_async_context(s.run()) for s in servers]
    model_calls = upstreams.UpstreamCalls(
      config=types.SimpleNamespace(
        engines=[
          types.SimpleNamespace(name=f'e{number}', url=server.url)
          for number, server in enumerate(servers)
        ],
        services=[],
      ),
      session=sessions[0],
      members=None,
      places=Places(),
      store=None,
    )
    with pytest.raises(errors.WoadrunError) as caught:
      await model_calls.run_model(
        execution.make_execution(attempts.make_call()),
        attempts.make_accepted('a'),
        placing.UpstreamAssignment(name='e0'),
        attempts.make_state().get_program(attempts.PROGRAM),
        None,
        types.SimpleNamespace(take=lambda: True),
      )
  return caught.value, sum(len(server.paths) for server in servers)


async def test_a_model_call_that_ends_its_engines_is_not_moved_to_all_of_them():
  error, sent = await run_model(BROKEN)
  assert sent == MAX_LOST
  assert error.code is errors.Code.REQUEST_QUARANTINED
  assert error.ran is errors.RunStatus.RAN


async def test_a_model_call_that_engines_refuse_is_moved_to_all_of_them():
  error, sent = await run_model(REFUSAL)
  assert sent == ENGINES
  assert error.code is errors.Code.UPSTREAM_FAILED


async def test_a_repeatable_service_call_that_loses_its_responses_ends():
  server = truncated.RawServer(
    b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n', is_reset=True
  )
  async with server.run() as session:
    service_calls = upstreams.UpstreamCalls(
      config=types.SimpleNamespace(
        engines=[],
        services=[types.SimpleNamespace(name='s', url=server.url, timeout=5.0)],
      ),
      session=session,
      members=None,
      places=None,
      store=None,
    )
    with pytest.raises(errors.WoadrunError) as caught:
      await service_calls.run_service(
        attempts.make_accepted('a', repeatable=True),
        types.SimpleNamespace(tool_timeout=5.0),
        types.SimpleNamespace(take=lambda: len(server.paths) < ENGINES),
      )
  assert len(server.paths) == MAX_LOST
  assert caught.value.code is errors.Code.REQUEST_QUARANTINED
