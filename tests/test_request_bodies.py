"""Bodies of requests, read within the memory account of the process."""

import asyncio
import types
from unittest import mock

import aiohttp
from aiohttp import base_protocol
from aiohttp import streams
import pytest

from woadrun import errors
from woadrun.connection import bodies
from woadrun.connection import memory_account
from woadrun.connection import request_bodies

KB = 1024
MB = 1024 * KB


def make_request(*parts, stated=None, is_whole=True):
  """Returns a request with the parts of its body that have arrived."""
  loop = asyncio.get_running_loop()
  protocol = base_protocol.BaseProtocol(loop)
  protocol.connection_made(mock.Mock())
  content = streams.StreamReader(protocol, MB, loop=loop)
  for part in parts:
    content.feed_data(part)
  if is_whole:
    content.feed_eof()
  return types.SimpleNamespace(
    protocol=None, content=content, content_length=stated
  )


def hold(account):
  return account.hold(memory_account.Kind.REQUEST, 'r')


async def read(account, request, *, limit=16 * MB):
  with hold(account) as holder:
    return await request_bodies.read(request, holder, limit=limit)


async def check_rejected(code, account, request, **options):
  with pytest.raises(errors.WoadrunError) as found:
    await read(account, request, **options)
  assert found.value.code is code
  assert found.value.ran is errors.RunStatus.NOT_RUN
  assert account.total == 0 or account.evicted == 0
  return found.value


@pytest.mark.parametrize('stated', [None, 5])
async def test_a_body_is_counted_until_its_request_ends(stated):
  account = memory_account.Account(most=MB)
  request = make_request(b'ab', b'cde', stated=stated)
  with hold(account) as holder:
    assert await request_bodies.read(request, holder, limit=MB) == b'abcde'
    assert account.total_by_kind[memory_account.Kind.REQUEST] == 5
  assert account.total == 0


@pytest.mark.parametrize('most', [MB, 64 * MB])
async def test_a_stated_size_beyond_the_limit_is_rejected_unread(most):
  account = memory_account.Account(most=most)
  request = make_request(b'x', stated=17 * MB, is_whole=False)
  code = errors.Code.BODY_TOO_LARGE
  await check_rejected(code, account, request)
  assert request.content.total_bytes == 1


async def test_a_body_without_a_size_is_rejected_at_the_limit():
  request = make_request(bytes(300 * KB), is_whole=False)
  code = errors.Code.BODY_TOO_LARGE
  account = memory_account.Account(most=MB)
  await check_rejected(code, account, request, limit=200 * KB)


async def test_a_body_that_cannot_be_held_now_may_return_soon():
  account = memory_account.Account(most=MB)
  with hold(account) as other:
    other.add(450 * KB)
    request = make_request(stated=100 * KB, is_whole=False)
    error = await check_rejected(errors.Code.MEMORY_FULL, account, request)
  assert error.retry_after == request_bodies.RETRY_AFTER_SECONDS


async def test_a_large_body_on_its_way_lets_go_for_a_small_one():
  account = memory_account.Account(most=MB)
  large = asyncio.ensure_future(
    read(account, make_request(stated=500 * KB, is_whole=False))
  )
  await asyncio.sleep(0)
  assert await read(account, make_request(bytes(100 * KB)))
  with pytest.raises(errors.WoadrunError) as found:
    await large
  assert found.value.code is errors.Code.MEMORY_FULL
  assert account.total == 0


async def test_a_body_whose_end_arrives_as_it_is_evicted_is_rejected():
  account = memory_account.Account(most=MB)
  request = make_request(stated=4, is_whole=False)
  reading = asyncio.ensure_future(read(account, request))
  await asyncio.sleep(0)
  holder = next(iter(account._holders))
  request.content.feed_data(b'abcd')
  request.content.feed_eof()
  account._evict(holder)
  with pytest.raises(errors.WoadrunError) as found:
    await reading
  assert found.value.code is errors.Code.MEMORY_FULL


async def test_small_bodies_are_held_beside_large_ones_that_run():
  account = memory_account.Account(most=MB)
  with hold(account) as running:
    running.add(MB // 2)
    assert await read(account, make_request(b'small')) == b'small'
    account.note(running, MB * 3 // 4)
    code = errors.Code.MEMORY_FULL
    await check_rejected(code, account, make_request(b'small'))


async def read_answer(account, response, *, limit=16 * MB):
  kind = memory_account.Kind.PLATFORM
  with memory_account.hold(account, kind, 'a') as holder:
    return await bodies.read(response, limit=limit, holder=holder)


def make_response(*parts, **options):
  response = make_request(*parts, **options)
  response.close = lambda: response.content.set_exception(
    aiohttp.ClientConnectionError('Connection closed')
  )
  return response


@pytest.mark.parametrize('has_account', [True, False])
async def test_an_answer_that_fits_is_read(has_account):
  account = memory_account.Account(most=MB) if has_account else None
  answer = await read_answer(account, make_response(b'ab', b'c'))
  assert answer == b'abc'
  assert account is None or account.total == 0


async def test_an_answer_beyond_the_account_is_not_read_to_its_end():
  account = memory_account.Account(most=MB)
  response = make_response(bytes(2 * MB), is_whole=False)
  with pytest.raises(aiohttp.ClientError):
    await read_answer(account, response)
  assert response.content.exception() is not None
  assert account.total == 0


async def test_the_largest_of_several_answers_lets_go():
  account = memory_account.Account(most=MB)
  large = make_response(bytes(900 * KB), is_whole=False)
  reading = asyncio.ensure_future(read_answer(account, large))
  await asyncio.sleep(0)
  small = make_response(bytes(400 * KB))
  assert await read_answer(account, small)
  with pytest.raises(aiohttp.ClientError):
    await reading
  assert account.total == 0
