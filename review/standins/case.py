"""What all cases share: the start and the end of a run, and its exit code."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import sys
import tempfile

from standins import deployment
from standins import record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# A run is ended after this time, so that it stays within 120 s.
MAX_SECONDS = 112.0


def has_trouble() -> bool:
  """Returns whether the run has its disruption."""
  return os.environ.get('TROUBLE', '1') != '0'


def main(
  folder: pathlib.Path,
  play: Callable[[deployment.Deployment], Awaitable[int]],
) -> None:
  """Plays a case, and exits with its result."""
  sys.exit(asyncio.run(_run(folder, play)))


async def _run(
  folder: pathlib.Path,
  play: Callable[[deployment.Deployment], Awaitable[int]],
) -> int:
  kept = record.Record(folder / 'record.txt')
  kept.say(f'TROUBLE={int(has_trouble())}')
  task = asyncio.current_task()
  for number in (signal.SIGTERM, signal.SIGINT):
    asyncio.get_running_loop().add_signal_handler(number, task.cancel)
  with tempfile.TemporaryDirectory() as settings:
    parts = deployment.Deployment(folder=pathlib.Path(settings), kept=kept)
    try:
      async with asyncio.timeout(MAX_SECONDS):
        result = await play(parts)
    # Also a fault of the script itself must not look like a broken rule.
    except (Exception, asyncio.CancelledError) as error:
      kept.say(f'The case could not run: {type(error).__name__} {error}')
      result = COULD_NOT_RUN
    finally:
      _keep_logs(settings)
      await parts.stop()
  kept.say(f'exit code {result}')
  return result


def _keep_logs(settings: str) -> None:
  """Copies the daemons' logs to the folder that `KEEP_LOGS` names, if any."""
  kept = os.environ.get('KEEP_LOGS')
  for path in pathlib.Path(settings).glob('*.log') if kept else ():
    pathlib.Path(kept, path.name).write_bytes(path.read_bytes())
