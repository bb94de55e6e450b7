"""Client of the platform's store, tested against a fake store server."""

import contextlib

import aiohttp
from aiohttp import web
import nodes
import pytest

from woadrun import errors
from woadrun.connection import rows
from woadrun.connection import tcp_connections
from woadrun.platform import standin
from woadrun.platform import store
from woadrun.standins import rows as memory

KEY = rows.Key('mine', 'p 1', 'a/b')


@contextlib.asynccontextmanager
async def serve():
  stored = memory.MemoryRowStore()
  runner = web.AppRunner(standin.StoreServer(kept=stored).make_application())
  await runner.setup()
  port = nodes.find_port()
  await web.TCPSite(runner, '127.0.0.1', port).start()
  async with aiohttp.ClientSession() as session:
    yield (
      store.Store(
        session=session,
        address=f'127.0.0.1:{port}',
        timeout=2.0,
        addresses=tcp_connections.Addresses(),
      ),
      stored,
    )
  await runner.cleanup()


async def test_rows_are_written_read_and_removed():
  async with serve() as (client, _):
    written = await client.change(writes=[(KEY, b'\0\xff')])
    page = await client.read('mine', 'p 1', first='a/b', end='a/c')
    assert page.rows == (rows.Row(key=KEY, value=b'\0\xff', version=1),)
    assert written.version == page.version == 1
    await client.change(removes=[KEY])
    assert (await client.read('mine', 'p 1')).rows == ()


async def test_failed_condition_changes_nothing_and_returns_the_row():
  async with serve() as (client, _):
    await client.change(writes=[(KEY, b'1')], conditions=[(KEY, 0)])
    rejected = await client.change(writes=[(KEY, b'2')], conditions=[(KEY, 0)])
    assert not rejected.is_done
    assert rejected.rows[0].value == b'1'
    assert rejected.rows[0].version == 1


async def test_follow_returns_changes_until_their_history_is_pruned():
  async with serve() as (client, stored):
    await client.change(writes=[(KEY, b'1')])
    await client.change(removes=[KEY])
    page = await client.follow('mine', after=1, wait=1.0)
    assert [row.is_removed for row in page.rows] == [True]
    assert (await client.follow('mine', after=2, wait=0.01)).rows == ()
    stored.history_from = 2
    with pytest.raises(rows.HistoryGone):
      await client.follow('mine', after=1, wait=1.0)


async def test_unavailable_store_raises_an_error_with_a_retry_delay():
  async with serve() as (client, stored):
    stored.is_out = True
    with pytest.raises(errors.WoadrunError) as caught:
      await client.read('mine', '')
    assert caught.value.code is errors.Code.PLATFORM_UNAVAILABLE
    assert caught.value.retry_after > 0
