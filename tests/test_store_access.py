"""Which failures of a call mean that the store is lost."""

import asyncio

import nodes
import pytest

from woadrun import errors
from woadrun.connection import http
from woadrun.connection import turn_messages
from woadrun.process import store_access


async def hang(*_, **options):
  await asyncio.Event().wait()


async def test_all_calls_end_as_one_finds_the_store_lost():
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
      assert caught.value.ran is errors.Ran.UNKNOWN
    assert not store.is_direct


async def test_a_call_over_the_rate_is_tried_again_and_is_no_loss():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    store, view = fleet.by_name['n1'].store, fleet.view_by_name['n1']
    calls = []

    async def refuse(*_, _call=view.read, **options):
      calls.append(options)
      if len(calls) == 1:
        raise http.OverRate(errors.Code.PLATFORM_UNAVAILABLE, 'over its rate')
      return await _call('turns', '00', **options)

    view.read = refuse
    await store.read('turns', '00')
    assert len(calls) == 2 and store.is_direct


async def test_a_vm_that_the_store_refuses_again_and_again_is_turned_away():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    store, view = fleet.by_name['n1'].store, fleet.view_by_name['n1']

    async def refuse(*_, **options):
      raise http.OverRate(errors.Code.PLATFORM_UNAVAILABLE, 'over its rate')

    view.read = refuse
    # A peer makes the call.
    await store.read('turns', '00')
    assert not store.is_direct


async def test_a_caller_that_gives_up_is_no_loss_of_the_store():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store
    fleet.view_by_name['n1'].read = hang
    with pytest.raises(TimeoutError):
      async with asyncio.timeout(0.05):
        await store.read('turns', '00')
    assert store.is_direct


async def test_peers_that_lost_the_store_as_well_hold_a_call_up_only_once():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 'n3')
    store = fleet.by_name['n1'].store
    stuck = asyncio.Event()

    async def hang(*_, **options):
      await stuck.wait()

    # The store refuses this VM; the others still say that they have it, and
    # hang on a store that has gone silent.
    fleet.view_by_name['n1'].is_cut = True
    for name in ('n2', 'n3'):
      fleet.view_by_name[name].change = hang
      fleet.view_by_name[name].read = hang
    allowed = []
    post = store._links.post

    async def note(address, path, *parts, timeout, **options):
      # Feeds are followed through peers at the same time.
      if path == 'store/change':
        allowed.append(timeout)
      return await post(address, path, *parts, timeout=timeout, **options)

    store._links.post = note
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert allowed == [store_access.RELAY_SECONDS] * store_access.MOST_RELAYS
    # The next call is not held up, and turns go on without the store.
    assert not store.is_reached
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert len(allowed) == store_access.MOST_RELAYS
    stuck.set()


async def test_a_way_through_peers_is_looked_for_again_soon():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    store = fleet.by_name['n1'].store
    fleet.view_by_name['n1'].is_cut = True
    fleet.view_by_name['n2'].is_cut = True
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert not store.is_reached
    fleet.view_by_name['n2'].is_cut = False
    await nodes.wait_until(lambda: store.is_reached)
    await store.change()
    assert not store.is_direct


async def test_a_daemon_whose_write_hangs_makes_no_calls_for_others():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    near, view = fleet.by_name['n1'], fleet.view_by_name['n1']
    message = turn_messages.StoreRead(table='turns', part='00')
    await near.relay.read(message)
    view.change = view.read = hang
    writing = asyncio.ensure_future(near.store.change())
    await nodes.wait_until(lambda: not near.store.has_answers)
    with pytest.raises(errors.WoadrunError):
      await near.relay.read(message)
    # It says so before the call counts as lost.
    await nodes.wait_until(
      lambda: not fleet.by_name['n2'].fleet.may_have_store('n1')
    )
    assert near.store.is_direct and not writing.done()
    writing.cancel()
