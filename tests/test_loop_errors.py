"""Errors that end a task which runs beside requests are seen."""

import asyncio
import gc

import nodes


# Guards against a task that ends by an error which nobody sees, as the one that
# wrote the records of crashes did.
async def test_error_of_a_task_that_nobody_awaits_is_counted_and_logged(caplog):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')

    async def fail():
      raise KeyError('gone')

    asyncio.ensure_future(fail())
    await asyncio.sleep(0.01)
    gc.collect()
    metrics = fleet.by_name['n1'].counters.encode().decode()
    assert 'woadrun_loop_errors_total 1.0' in metrics
  assert "KeyError('gone')" in caplog.text
