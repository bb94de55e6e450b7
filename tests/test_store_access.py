"""Failures of calls that do or do not mean that the store is unreachable."""

import asyncio

from faults import clock
import nodes
import pytest

from woadrun import errors
from woadrun.connection import http
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.process.store import store_access


async def hang(*_, **options):
  await asyncio.Event().wait()


async def test_all_calls_are_aborted_when_one_finds_the_store_unreachable():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store
    fleet.view_by_name['n1'].read = hang
    running = [
      asyncio.ensure_future(store.read('turns', f'0{n}')) for n in range(3)
    ]
    await asyncio.sleep(0.05)
    assert not any(task.done() for task in running)
    fleet.shared.is_out = True
    with pytest.raises(errors.WoadrunError):
      await store.change()
    for task in running:
      with pytest.raises(errors.WoadrunError) as caught:
        await asyncio.wait_for(task, 1.0)
      assert caught.value.code is errors.Code.PLATFORM_UNAVAILABLE
      assert caught.value.ran is errors.RunStatus.UNKNOWN
    assert not store.is_direct


async def test_a_call_over_the_rate_limit_is_retried_directly():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    store, view = fleet.by_name['n1'].store, fleet.view_by_name['n1']
    calls = []

    async def refuse(*_, _call=view.read, **options):
      calls.append(options)
      if len(calls) == 1:
        raise http.RateLimited(
          errors.Code.PLATFORM_UNAVAILABLE, 'over its rate'
        )
      return await _call('turns', '00', **options)

    view.read = refuse
    await store.read('turns', '00')
    assert len(calls) == 2 and store.is_direct


def test_a_bounded_call_over_the_rate_limit_is_retried(monkeypatch):
  """It ended while it waited to be retried, although the store answers."""
  monkeypatch.setattr(store_access, 'RATE_LIMIT_DELAY_SECONDS', (0.25, 0.25))
  answers = [
    http.RateLimited(errors.Code.PLATFORM_UNAVAILABLE, 'over its rate')
  ]
  page = rows.Page(rows=(), version=1, is_cut=False)

  class Direct:
    async def read(self, *_, **options):
      if answers:
        raise answers.pop()
      return page

  async def scenario():
    store = store_access.StoreAccess(direct=Direct(), messenger=None)
    store.is_direct = True
    return await store.bounded.read('turns', '00')

  with clock.run_by(clock.Clock()) as loop:
    assert loop.run_until_complete(scenario()) == page


async def test_a_vm_that_the_store_refuses_repeatedly_counts_as_not_served():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    store, view = fleet.by_name['n1'].store, fleet.view_by_name['n1']

    async def refuse(*_, **options):
      raise http.RateLimited(errors.Code.PLATFORM_UNAVAILABLE, 'over its rate')

    view.read = refuse
    # A peer relays the call.
    await store.read('turns', '00')
    assert not store.is_direct


async def test_a_cancelled_call_does_not_mean_that_the_store_is_unreachable():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store
    fleet.view_by_name['n1'].read = hang
    with pytest.raises(TimeoutError):
      async with asyncio.timeout(0.05):
        await store.read('turns', '00')
    assert store.is_direct


async def test_peers_without_the_store_delay_only_the_first_call():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 'n3')
    store = fleet.by_name['n1'].store
    released = asyncio.Event()

    async def hang(*_, **options):
      await released.wait()

    # The store refuses this VM.  The other daemons still announce that they can
    # reach the store, but their calls hang.
    fleet.view_by_name['n1'].is_cut = True
    for name in ('n2', 'n3'):
      fleet.view_by_name[name].change = hang
      fleet.view_by_name[name].read = hang
    timeouts = []
    post = store._links.post

    async def record_timeout(address, path, *parts, timeout, **options):
      # Calls of feeds are relayed at the same time.
      if path == 'store/change':
        timeouts.append(timeout)
      return await post(address, path, *parts, timeout=timeout, **options)

    store._links.post = record_timeout
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert (
      timeouts == [store_access.RELAY_TIMEOUT_SECONDS] * store_access.MAX_RELAYS
    )
    # The next call is not delayed, so that turns go on without the store.
    assert not store.is_reachable
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert len(timeouts) == store_access.MAX_RELAYS
    released.set()


async def test_relaying_through_peers_is_retried_soon():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    store = fleet.by_name['n1'].store
    fleet.view_by_name['n1'].is_cut = True
    fleet.view_by_name['n2'].is_cut = True
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert not store.is_reachable
    fleet.view_by_name['n2'].is_cut = False
    await nodes.wait_until(lambda: store.is_reachable)
    await store.change()
    assert not store.is_direct


async def test_a_daemon_whose_write_hangs_relays_no_calls():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    near, view = fleet.by_name['n1'], fleet.view_by_name['n1']
    message = turn_messages.StoreRead(table='turns', part='00')
    await near.relay.read(message)
    view.change = view.read = hang
    writing = asyncio.ensure_future(near.store.change())
    await nodes.wait_until(lambda: not near.store.is_responsive)
    with pytest.raises(errors.WoadrunError):
      await near.relay.read(message)
    # The daemon announces that it cannot reach the store before the write times
    # out.
    await nodes.wait_until(
      lambda: not fleet.by_name['n2'].fleet.may_reach_store('n1')
    )
    assert near.store.is_direct and not writing.done()
    writing.cancel()
