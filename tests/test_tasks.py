"""Tests that daemons create few tasks, since each one wakes the event loop."""

import asyncio
import collections

import nodes


class TaskCount(collections.Counter):
  """Counts created tasks by the qualified name of their coroutine."""

  def __enter__(self):
    loop = asyncio.get_running_loop()
    loop.set_task_factory(self._make)
    return self

  def __exit__(self, *_):
    asyncio.get_running_loop().set_task_factory(None)

  def _make(self, loop, coroutine, **options):
    self[coroutine.__qualname__] += 1
    return asyncio.Task(coroutine, loop=loop, **options)


async def test_idle_daemon_creates_no_tasks_for_its_delays():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with TaskCount() as tasks:
      await asyncio.sleep(1.0)
  # The in-memory store creates one task for each of the three feeds; delays
  # create none.
  assert tasks.total() <= 3, tasks


async def test_store_call_runs_in_the_task_of_its_caller():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    store = fleet.by_name['n1'].store
    with TaskCount() as tasks:
      await store.read('turns', '00')
  assert not tasks


async def test_concurrent_turns_share_one_partition_watch_task():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with TaskCount() as tasks:
      await asyncio.gather(
        *(fleet.turn('n1', f'a{n}', program=f'p{n}') for n in range(8))
      )
  assert tasks['PartitionMonitor._poll_periodically'] <= 1
  assert tasks['RequestSender._send_once'] == 0, tasks
