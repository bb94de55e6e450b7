"""Which failures of a call mean that the store is lost."""

import asyncio
import time

import nodes
import pytest

from woadrun import errors
from woadrun.connection import http
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
    # The store refuses this VM; the others still say that they have it, and
    # hang on a store that has gone silent.
    fleet.view_by_name['n1'].is_cut = True
    for name in ('n2', 'n3'):
      fleet.view_by_name[name].change = hang
      fleet.view_by_name[name].read = hang
    began = time.monotonic()
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert time.monotonic() - began < 2 * store_access.RELAY_SECONDS + 0.5
    # The next call is not held up, and turns go on without the store.
    assert not store.is_reached
    began = time.monotonic()
    with pytest.raises(errors.WoadrunError):
      await store.change()
    assert time.monotonic() - began < store_access.RELAY_SECONDS / 2


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
