"""Copies of requests: the same id arrives twice at a daemon."""

import asyncio
import contextlib

import nodes
import pytest
import sites

from woadrun import errors
from woadrun.decisions import run_status
from woadrun.request import recent_requests

KEY = recent_requests.Key(key_digest='', id='r')


async def answer_slowly(instance, reader, writer):
  while True:
    id = await instance.read(reader)
    await asyncio.sleep(0.3)
    writer.write(sites.encode(id, body=sites.EVENTS))


async def close_after_body(instance, reader, writer):
  await instance.read(reader)


async def refuse(instance, reader, writer):
  while True:
    writer.write(sites.refuse(await instance.read(reader)))


# Guards against a second run of a request that a library or proxy sends again
# while the first copy is running, and after it has ended.
@pytest.mark.parametrize('path', sites.KINDS)
async def test_copy_of_a_request_that_may_run_once_does_not_run(path):
  async with (
    sites.run_instances(answer_slowly) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    first = asyncio.ensure_future(site.ask('r', path))
    await nodes.wait_until(lambda: found[0].whole)
    assert await site.ask('r', path) == 502
    assert await first == 200
    assert await site.ask('r', path) == 502
    assert await site.ask('other', path) == 200
    assert found[0].whole == ['r', 'other']


# Guards against a second run after the connection of the first caller was
# closed without a response, which makes libraries send the request again.
@pytest.mark.parametrize('path', sites.KINDS)
async def test_copy_after_a_lost_response_does_not_run(path):
  async with (
    sites.run_instances(close_after_body) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    assert await site.ask('r', path) == 502
    assert await site.ask('r', path) == 502
    assert found[0].whole == ['r']


# Guards against a copy of a cancelled request that runs beside it: the instance
# may not notice that its connection was closed.
@pytest.mark.parametrize('path', sites.KINDS)
async def test_copy_after_the_caller_left_does_not_run(path):
  async with (
    sites.run_instances(answer_slowly) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    first = asyncio.ensure_future(site.ask('r', path))
    await nodes.wait_until(lambda: found[0].whole)
    first.cancel()
    assert await site.ask('r', path) == 502
    assert found[0].whole == ['r']


# Guards against a promise to the second caller of a request that runs: without
# a route, its configuration refuses the copy.
async def test_copy_is_not_refused_with_a_promise_while_the_first_runs():
  async with (
    sites.run_instances(answer_slowly) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    first = asyncio.ensure_future(site.ask('r', '/act/x'))
    await nodes.wait_until(lambda: found[0].whole)
    status = await site.ask('r', '/unknown/x')
    assert status not in run_status.TURN_NOT_RUN_STATUSES
    assert await first == 200


# Guards against requests that are refused for good: after a promise that the
# first copy has not run, the next one may run.
@pytest.mark.parametrize('path', sites.KINDS)
async def test_copy_of_a_request_that_was_refused_runs(path):
  async with (
    sites.run_instances(refuse) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    assert await site.ask('r', path) == 503
    found[0].act = answer_slowly
    # The connection of the refusal is still served as before.
    for writer in found[0].writers:
      writer.close()
    await asyncio.sleep(0.1)
    assert await site.ask('r', path) == 200


# Guards against a failure of requests that may be repeated: they may run again.
async def test_copy_of_an_idempotent_request_runs():
  async with (
    sites.run_instances(answer_slowly) as (found, addresses),
    sites.open_site(*addresses) as site,
  ):
    statuses = await asyncio.gather(
      site.ask('r', '/look/x'), site.ask('r', '/look/x')
    )
    assert statuses == [200, 200]
    assert found[0].whole == ['r', 'r']


def end(recent, key, *, error=None, has_run=False):
  with contextlib.suppress(errors.WoadrunError), recent.claim(key) as claim:
    claim.has_run = has_run
    if error is not None:
      raise error


def is_known(recent, key):
  try:
    recent.check(key)
  except errors.WoadrunError as error:
    assert error.code is errors.Code.OUTCOME_UNKNOWN
    assert error.ran is errors.RunStatus.UNKNOWN
    return True
  return False


# Guards against an error at the end of a turn that ran, which states `not run`
# unless told otherwise, and would let a copy of the turn run.
@pytest.mark.parametrize('has_run', [False, True])
def test_error_after_an_answer_does_not_let_a_copy_run(has_run):
  recent = recent_requests.RecentRequests()
  error = errors.WoadrunError(errors.Code.OWNER_UNAVAILABLE, 'No owner.')
  end(recent, KEY, error=error, has_run=has_run)
  assert is_known(recent, KEY) is has_run


# Guards against a caller that blocks the requests of another one by their ids.
def test_requests_of_callers_with_other_keys_are_told_apart():
  recent = recent_requests.RecentRequests()
  end(recent, recent_requests.Key(key_digest='a', id='r'))
  assert is_known(recent, recent_requests.Key(key_digest='a', id='r'))
  assert not is_known(recent, recent_requests.Key(key_digest='b', id='r'))


# Guards against memory that grows without a bound.
def test_ended_requests_are_forgotten(monkeypatch):
  now = 0.0
  monkeypatch.setattr(recent_requests.time, 'monotonic', lambda: now)
  monkeypatch.setattr(recent_requests, 'MAX_ENDED', 3)
  recent = recent_requests.RecentRequests()
  keys = [
    recent_requests.Key(key_digest='', id=str(number)) for number in range(5)
  ]
  for key in keys:
    end(recent, key)
  assert [is_known(recent, key) for key in keys] == [False] * 2 + [True] * 3
  now = recent_requests.MEMORY_SECONDS
  assert not any(is_known(recent, key) for key in keys)
  end(recent, KEY)
  assert list(recent._ended_at_by_key) == [KEY]
