"""The daemons under test: processes that reach the store through a proxy."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import time

import aiohttp

from fleet_soak import proxy

FRONT_PORT, READY_PORT, PEERS_PORT = 8149, 8141, 7380
GRACE_SECONDS = 8.0
# Range of grace periods that are drawn.
GRACE_RANGE_SECONDS = (1.0, 8.0)
# Time from SIGTERM until listeners may close, and the part of a short grace
# period that it may take.
DRAIN_SECONDS, MAX_DRAIN_SHARE = 2.5, 0.5
POLL_INTERVAL_SECONDS = 0.02


class Daemon:
  """A daemon; the fault that stops it also restarts it.

  `grace` is the time in seconds from SIGTERM to SIGKILL, drawn from `rng` for
  each process if there is one, and `memory_mb` the memory limit that the daemon
  is told.  `max_fds` is the limit on descriptors that it is told, if any.
  `fault_times` are the times of the daemon's unplanned faults, `stop_times` the
  times of its graceful stops, `closing_times` those from which on these close
  the listener, `exit_times` those of their ends, `start_times` those at which
  its process was started, `absence_times` those at which it was suspended or
  resumed.
  """

  def __init__(
    self,
    *,
    number: int,
    domain: str,
    folder: pathlib.Path,
    host: str,
    grace: float = GRACE_SECONDS,
    rng: random.Random | None = None,
    memory_mb: float | None = None,
  ) -> None:
    self._rng = rng
    self.grace = grace
    self.memory_mb = memory_mb
    self.max_fds: int | None = None
    self.name = f'front-{domain}-{number}'
    self.domain = domain
    self.host = host
    self.process: subprocess.Popen[bytes] | None = None
    self.link: proxy.Proxy | None = None
    self.fault_times: list[float] = []
    self.stop_times: list[float] = []
    self.closing_times: list[float] = []
    self.exit_times: list[float] = []
    self.start_times: list[float] = []
    self.absence_times: list[float] = []
    self.is_frozen = False
    # Whether the current process has answered readiness.
    self.has_answered = False
    self._settings = folder / f'{self.name}.json'
    self._log = (folder / f'{self.name}.log').open('ab')

  async def start(self, store: tuple[str, int]) -> None:
    """Starts the process unless it runs, and first its proxy to the store."""
    if self.process is not None and self.process.poll() is None:
      return
    self.start_times.append(time.monotonic())
    self.has_answered = False
    if self.link is None:
      self.link = proxy.Proxy(target=store)
      await self.link.start(self.host)
    if self._rng is not None:
      self.grace = self._rng.uniform(*GRACE_RANGE_SECONDS)
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
      'bounds': {'grace_s': self.grace},
      'limits': {'memory_mb': self.memory_mb},
    }
    if self.max_fds is not None:
      settings['limits']['max_fds'] = self.max_fds
    self._settings.write_text(json.dumps(settings))
    # Started without an await, so that a cancellation leaves no process behind.
    # The process has a group of its own, since the kernel resumes the stopped
    # members of a process group whose starter exits.
    self.process = subprocess.Popen(  # noqa: ASYNC220
      [sys.executable, '-m', 'woadrun.platform'],
      process_group=0,
      stdout=self._log,
      stderr=self._log,
      env={**os.environ, 'WOADRUN_CONFIG': str(self._settings)},
    )

  def record_fault(self) -> None:
    """Records that a fault affects the daemon now."""
    self.fault_times.append(time.monotonic())

  def is_fault_free(self, since: float, until: float) -> bool:
    """Returns whether no fault affected the daemon between two times."""
    return not any(since <= at <= until for at in self.fault_times)

  def is_present(self, since: float, until: float) -> bool:
    """Returns whether the process knew what happened between two times.

    One that was suspended may not, nor one that has started while a fault kept
    it from the store.
    """
    was_suspended = any(since <= at <= until for at in self.absence_times)
    started_apart = any(
      since <= at <= until and not self.is_fault_free(at, until)
      for at in self.start_times
    )
    return not was_suspended and not started_apart

  async def kill(self) -> None:
    """Kills the process and waits for its exit."""
    self.record_fault()
    self.process.kill()
    await self._wait()
    self.is_frozen = False

  def send_signal(self, number: int) -> None:
    """Sends a signal to the process, if it has not ended."""
    self.process.send_signal(number)

  def freeze(self) -> None:
    """Suspends the process with SIGSTOP."""
    self.record_fault()
    self.absence_times.append(time.monotonic())
    self.is_frozen = True
    self.process.send_signal(signal.SIGSTOP)

  def resume(self) -> None:
    """Resumes a suspended process."""
    self.record_fault()
    self.absence_times.append(time.monotonic())
    self.is_frozen = False
    self.process.send_signal(signal.SIGCONT)

  async def _wait(self) -> int:
    while (code := self.process.poll()) is None:
      await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return code

  async def stop(self) -> int:
    """Stops the process gracefully and returns its exit code.

    Kills the process and returns -9 if the grace period ends before its exit.
    """
    now = time.monotonic()
    self.stop_times.append(now)
    drain = min(DRAIN_SECONDS, self.grace * MAX_DRAIN_SHARE)
    self.closing_times.append(now + drain)
    self.process.send_signal(signal.SIGTERM)
    try:
      return await asyncio.wait_for(self._wait(), self.grace)
    except TimeoutError:
      # The stop is planned: its kill excuses nothing that it cuts.
      self.process.kill()
      await self._wait()
      return -9
    finally:
      self.exit_times.append(time.monotonic())

  @property
  def is_stopping(self) -> bool:
    """Whether a planned stop has begun and not ended."""
    return len(self.stop_times) > len(self.exit_times)

  def is_running_since(self, since: float) -> bool:
    """Returns whether one process has run since a time, without a stop."""
    was_stopped = any(
      since <= at for at in (*self.stop_times, *self.start_times)
    )
    is_ended = self.process is None or self.process.poll() is not None
    return not was_stopped and not is_ended and not self.is_frozen

  async def is_ready(self, session: aiohttp.ClientSession) -> bool:
    """Returns whether the daemon is ready for callers."""
    return await self._ask_readiness(session, 0.5) == 200

  async def answers_readiness(
    self, session: aiohttp.ClientSession, seconds: float
  ) -> bool:
    """Returns whether the daemon answers readiness in time, yes or no."""
    return await self._ask_readiness(session, seconds) is not None

  async def _ask_readiness(
    self, session: aiohttp.ClientSession, seconds: float
  ) -> int | None:
    url = f'http://{self.host}:{READY_PORT}/-/ready'
    timeout = aiohttp.ClientTimeout(total=seconds)
    try:
      async with session.get(url, timeout=timeout) as response:
        self.has_answered = True
        return response.status
    except (TimeoutError, aiohttp.ClientError, OSError):
      return None
