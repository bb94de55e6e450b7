"""`woadrun serve` and `woadrun config`: runs a daemon, checks settings."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal

import cyclopts

from woadrun import settings
from woadrun.process import daemon
from woadrun.process import logs

config = cyclopts.App(
  name='config', help='Check settings without running a daemon.'
)


def serve(*, config: pathlib.Path) -> None:
  """Runs the daemon until it receives a signal to stop.

  SIGTERM and SIGINT shut the daemon down gracefully: it transfers its slots
  to other daemons and finishes its requests.  A second signal stops it
  immediately.

  Parameters
  ----------
  config
    TOML file with the settings, for example: woadrun serve --config
    north-1.toml
  """
  checked = settings.load(config)
  logs.configure(checked.logs, address=checked.daemon.address)
  asyncio.run(_run(checked))


async def _run(checked: settings.Settings) -> None:
  service = daemon.Daemon(config=checked)
  await service.start()
  loop = asyncio.get_running_loop()
  leave_tasks: list[asyncio.Task[None]] = []

  def stop() -> None:
    if leave_tasks:
      service.stopped.set()
    else:
      leave_tasks.append(asyncio.ensure_future(service.leave()))

  for signal_number in (signal.SIGTERM, signal.SIGINT):
    loop.add_signal_handler(signal_number, stop)
  await service.stopped.wait()
  with contextlib.suppress(asyncio.TimeoutError):
    await asyncio.wait_for(service.stop(), 10)


@config.command
def check(file: pathlib.Path) -> None:
  """Validates settings and prints all errors found.

  Parameters
  ----------
  file
    TOML file with the settings.
  """
  checked = settings.load(file)
  upstreams = len(checked.engines) + len(checked.services)
  print(
    f'{file}: valid; daemon {checked.daemon.address} '
    f'in {checked.daemon.domain}, {upstreams} upstreams'
  )
