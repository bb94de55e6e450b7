"""The daemons under test: processes with settings and a way to the store."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import aiohttp

from fleet_soak import proxy

FRONT_PORT, READY_PORT, PEERS_PORT = 8149, 8141, 7380
GRACE_SECONDS = 8.0
POLL_SECONDS = 0.02


class Daemon:
  """One daemon; it is started again by whoever ended it.

  `disturbances` are the times at which faults that were not planned touched
  it, `leavings` when it was asked to stop.
  """

  def __init__(
    self, *, number: int, domain: str, folder: pathlib.Path, host: str
  ) -> None:
    self.name = f'front-{domain}-{number}'
    self.domain = domain
    self.host = host
    self.process: subprocess.Popen[bytes] | None = None
    self.link: proxy.Proxy | None = None
    self.disturbances: list[float] = []
    self.leavings: list[float] = []
    self.is_frozen = False
    self._settings = folder / f'{self.name}.json'
    self._log = (folder / f'{self.name}.log').open('ab')

  async def start(self, store: tuple[str, int]) -> None:
    """Starts the process, and its link to the store the first time."""
    if self.link is None:
      self.link = proxy.Proxy(target=store)
      await self.link.start(self.host)
    settings = {
      'node_name': self.name,
      'ip': self.host,
      'zone': self.domain,
      'listen_addrs': {
        'front': f'{self.host}:{FRONT_PORT}',
        'ready': f'{self.host}:{READY_PORT}',
      },
      'internal_port_range': [PEERS_PORT, PEERS_PORT + 15],
      'platform': {'address': self.link.address, 'row_bytes': 65536},
      'bounds': {'grace_s': GRACE_SECONDS},
    }
    self._settings.write_text(json.dumps(settings))
    # Begun without a pause, so that no process is left to nobody; in a process
    # group of its own, since the kernel wakes the frozen members of a group
    # whose starter ends.
    self.process = subprocess.Popen(  # noqa: ASYNC220
      [sys.executable, '-m', 'woadrun.platform'],
      process_group=0,
      stdout=self._log,
      stderr=self._log,
      env={**os.environ, 'WOADRUN_CONFIG': str(self._settings)},
    )

  def disturb(self) -> None:
    """Notes that a fault touches the daemon now."""
    self.disturbances.append(time.monotonic())

  def is_calm(self, since: float, until: float) -> bool:
    """Returns whether no fault touched the daemon in between."""
    return not any(since <= at <= until for at in self.disturbances)

  async def kill(self) -> None:
    """Ends the process at once."""
    self.disturb()
    self.process.kill()
    await self._wait()
    self.is_frozen = False

  def freeze(self) -> None:
    """Stops the process without its notice."""
    self.disturb()
    self.is_frozen = True
    self.process.send_signal(signal.SIGSTOP)

  def wake(self) -> None:
    """Lets a frozen process go on."""
    self.disturb()
    self.is_frozen = False
    self.process.send_signal(signal.SIGCONT)

  async def _wait(self) -> int:
    while (code := self.process.poll()) is None:
      await asyncio.sleep(POLL_SECONDS)
    return code

  async def leave(self) -> int:
    """Returns the exit code of a planned stop, -9 past the grace."""
    self.leavings.append(time.monotonic())
    self.process.send_signal(signal.SIGTERM)
    try:
      return await asyncio.wait_for(self._wait(), GRACE_SECONDS)
    except TimeoutError:
      await self.kill()
      return -9

  async def is_ready(self, session: aiohttp.ClientSession) -> bool:
    """Returns whether the daemon takes new callers."""
    url = f'http://{self.host}:{READY_PORT}/-/ready'
    timeout = aiohttp.ClientTimeout(total=0.5)
    try:
      async with session.get(url, timeout=timeout) as response:
        return response.status == 200
    except (TimeoutError, aiohttp.ClientError, OSError):
      return False
