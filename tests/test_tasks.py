"""What a daemon does costs few tasks: each one wakes the process anew."""

import asyncio
import collections

import nodes
import pytest

from woadrun import errors


class TaskCount(collections.Counter):
  """Tasks by the coroutine that they run."""

  def __enter__(self):
    loop = asyncio.get_running_loop()
    loop.set_task_factory(self._make)
    return self

  def __exit__(self, *_):
    asyncio.get_running_loop().set_task_factory(None)

  def _make(self, loop, coroutine, **options):
    self[coroutine.__qualname__] += 1
    return asyncio.Task(coroutine, loop=loop, **options)


async def test_an_idle_daemon_begins_no_tasks_for_its_pauses():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with TaskCount() as tasks:
      await asyncio.sleep(1.0)
  # The stand-in's own, for each of three feeds; no pause is among them.
  assert tasks.total() <= 3, tasks


async def test_a_call_of_the_store_runs_in_its_callers_task():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store
    with TaskCount() as tasks:
      await store.read('turns', '00')
  assert not tasks


async def test_all_calls_end_as_one_finds_the_store_lost():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store

    async def hang(*_, **options):
      await asyncio.Event().wait()

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


async def test_a_caller_that_gives_up_is_no_loss_of_the_store():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store

    async def hang(*_, **options):
      await asyncio.Event().wait()

    fleet.view_by_name['n1'].read = hang
    with pytest.raises(TimeoutError):
      async with asyncio.timeout(0.05):
        await store.read('turns', '00')
    assert store.is_direct


async def test_a_turn_begins_one_task_for_the_watch_of_all():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with TaskCount() as tasks:
      await asyncio.gather(
        *(fleet.turn('n1', f'a{n}', program=f'p{n}') for n in range(8))
      )
  assert tasks['CutWatch._look_often'] <= 1
  assert tasks['Attempts._try'] == 0, tasks
