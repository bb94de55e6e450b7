"""The platform's store by its own calls, against a stand-in of it."""

import contextlib

import aiohttp
from aiohttp import web
import nodes
import pytest

from woadrun import errors
from woadrun.connection import fresh
from woadrun.connection import rows
from woadrun.platform import standin
from woadrun.platform import store
from woadrun.standins import rows as memory

KEY = rows.Key('mine', 'p 1', 'a/b')


@contextlib.asynccontextmanager
async def serve():
  kept = memory.MemoryRows()
  runner = web.AppRunner(standin.StoreServer(kept=kept).make_application())
  await runner.setup()
  port = nodes.find_port()
  await web.TCPSite(runner, '127.0.0.1', port).start()
  async with aiohttp.ClientSession() as session:
    yield (
      store.Store(
        session=session,
        address=f'127.0.0.1:{port}',
        timeout=2.0,
        addresses=fresh.Addresses(),
      ),
      kept,
    )
  await runner.cleanup()


async def test_rows_are_written_read_and_removed():
  async with serve() as (client, _):
    done = await client.change(writes=[(KEY, b'\0\xff')])
    page = await client.read('mine', 'p 1', first='a/b', end='a/c')
    assert page.rows == (rows.Row(key=KEY, value=b'\0\xff', version=1),)
    assert done.version == page.version == 1
    await client.change(removes=[KEY])
    assert (await client.read('mine', 'p 1')).rows == ()


async def test_a_failed_condition_changes_nothing_and_tells_the_row():
  async with serve() as (client, _):
    await client.change(writes=[(KEY, b'1')], conditions=[(KEY, 0)])
    again = await client.change(writes=[(KEY, b'2')], conditions=[(KEY, 0)])
    assert not again.is_done
    assert again.rows[0].value == b'1'
    assert again.rows[0].version == 1


async def test_changes_are_followed_until_their_history_is_gone():
  async with serve() as (client, kept):
    await client.change(writes=[(KEY, b'1')])
    await client.change(removes=[KEY])
    page = await client.follow('mine', after=1, wait=1.0)
    assert [row.is_removed for row in page.rows] == [True]
    assert (await client.follow('mine', after=2, wait=0.01)).rows == ()
    kept.history_from = 2
    with pytest.raises(rows.HistoryGone):
      await client.follow('mine', after=1, wait=1.0)


async def test_a_store_that_is_out_is_an_error_with_a_time_to_return():
  async with serve() as (client, kept):
    kept.is_out = True
    with pytest.raises(errors.WoadrunError) as caught:
      await client.read('mine', '')
    assert caught.value.code is errors.Code.PLATFORM_UNAVAILABLE
    assert caught.value.retry_after > 0
