"""The daemons: separate processes, started as the deploy file says."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib

import aiohttp

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT = 8149, 8141, 8144
INTERNAL_PORTS = [7380, 7395]
# The bounds of `sites/tuilagi-roster.toml` on the settings page.
BOUNDS = {
  'seed_lag_s': 3,
  'addr_reuse_s': 2,
  'contact_ms': 3000,
  'ack_timeout_ms': 4000,
  'catch_up_s': 5,
  'drain_ms': 2000,
  'grace_s': 8,
  'loss_slack_ms': 200,
  'config_apply_ms': 2000,
  'rollback_slack_ms': 250,
  'max_skew_ms': 5000,
  'recover_s': 12,
  'pass_ms': 120,
  'again_s': 0,
  'finish_s': 10,
  'settle_ms': 1000,
}


def read_command() -> list[str]:
  """Returns the command of the deploy file; it has no gaps to fill."""
  with (ROOT / 'deploy/system.toml').open('rb') as file:
    roles = tomllib.load(file)['roles']
  return roles['daemon']['run'].split()


class Daemon:
  """One daemon; `host` is its own loopback address."""

  def __init__(
    self, *, name: str, zone: str, host: str, folder: pathlib.Path
  ) -> None:
    self.name = name
    self.zone = zone
    self.host = host
    self.address = (host, FRONT_PORT)
    self.started_at = 0.0
    self.stopped_at: float | None = None
    self.process: subprocess.Popen[bytes] | None = None
    self._settings_path = folder / f'{name}.json'
    self._log = (folder / f'{name}.log').open('ab')
    self._command = read_command()

  def write_settings(self, *, store: str, zones: list[str]) -> None:
    """Writes the settings file with the fields of `DEPLOY.md`."""
    settings = {
      'node_name': self.name,
      'role': 'daemon',
      'machine_class': 'front',
      'serves': ['front'],
      'ip': self.host,
      'zone': self.zone,
      'region': 'viti-levu',
      'zones': dict.fromkeys(zones, 'viti-levu'),
      'listen_addrs': {
        'front': f'{self.host}:{FRONT_PORT}',
        'ready': f'{self.host}:{READY_PORT}',
        'control': f'{self.host}:{CONTROL_PORT}',
      },
      'internal_port_range': INTERNAL_PORTS,
      'seed_nodes': [],
      'bootstrap': True,
      'in_tolerance': False,
      'limits': {'memory_mb': 310, 'max_fds': 8200, 'link_mbps': 1000.0},
      'data_dir': None,
      'discovery': 'platform',
      'entry': 'vip',
      'heartbeat_ms': 1200,
      'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
      'bounds': BOUNDS,
      'platform': {
        'address': store,
        'form': 'table',
        'writes_per_s': 800,
        'reads_per_s': 2000,
        'row_bytes': 65536,
        'history_s': 20,
      },
    }
    self._settings_path.write_text(json.dumps(settings))

  def start(self) -> None:
    """Starts the process with the command of the deploy file."""
    program, *arguments = self._command
    if program == 'python3':
      program = sys.executable
    self.started_at = time.monotonic()
    self.process = subprocess.Popen(
      [program, *arguments],
      cwd=ROOT,
      stdout=self._log,
      stderr=self._log,
      env={
        'PATH': os.environ.get('PATH', ''),
        'HOME': os.environ.get('HOME', '/'),
        'PYTHONPATH': str(ROOT / 'target/deps'),
        'WOADRUN_CONFIG': str(self._settings_path),
      },
    )

  def kill(self) -> None:
    """Ends the process by SIGKILL."""
    if self.process is not None and self.process.poll() is None:
      self.process.send_signal(signal.SIGKILL)
      self.process.wait()

  async def is_ready(self, session: aiohttp.ClientSession) -> bool:
    """Returns whether the daemon says that it is ready."""
    url = f'http://{self.host}:{READY_PORT}/-/ready'
    timeout = aiohttp.ClientTimeout(total=0.5)
    try:
      async with session.get(url, timeout=timeout) as response:
        return response.status == 200
    except (TimeoutError, aiohttp.ClientError, OSError):
      return False

  async def wait_until_ready(self, *, seconds: float) -> bool:
    """Returns whether the daemon says within `seconds` that it is ready."""
    until = time.monotonic() + seconds
    async with aiohttp.ClientSession() as session:
      while time.monotonic() < until:
        if await self.is_ready(session):
          return True
        await asyncio.sleep(0.1)
    return False
