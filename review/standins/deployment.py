"""A small deployment: the store, servers, daemons, and its configuration."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

from standins import daemons
from standins import network
from standins import platform
from standins import record
from standins import servers

HOST = 'ficu95.example'
ZONES = ['suva-a', 'nadi-a']
DAEMONS_PER_ZONE = 2
READY_SECONDS = 20.0


class Deployment:
  """Starts and ends all parts of one run."""

  def __init__(self, *, folder: pathlib.Path, kept: record.Record) -> None:
    self.network = network.Network()
    self.record = kept
    self.platform = platform.Platform()
    self.servers: list[servers.Server] = []
    self.daemons: list[daemons.Daemon] = []
    self._folder = folder

  async def start(
    self, config: dict[str, Any], found: list[servers.Server]
  ) -> bool:
    """Starts everything; returns whether all daemons are ready in time."""
    await self.platform.start(self.network.get_host(2, 0))
    await self.platform.put_config(config)
    for number, server in enumerate(found):
      await server.start(self.network.get_host(3, number), self.platform)
      self.servers.append(server)
    for number in range(len(ZONES) * DAEMONS_PER_ZONE):
      zone = ZONES[number % len(ZONES)]
      daemon = daemons.Daemon(
        name=f'front-{zone}-{number // len(ZONES) + 1}',
        zone=zone,
        host=self.network.get_host(1, number),
        folder=self._folder,
      )
      daemon.write_settings(store=self.platform.address, zones=ZONES)
      daemon.start()
      self.daemons.append(daemon)
    ready = await asyncio.gather(
      *(item.wait_until_ready(seconds=READY_SECONDS) for item in self.daemons)
    )
    return all(ready)

  async def stop(self) -> None:
    """Ends all processes and listeners that the run started."""
    for daemon in self.daemons:
      daemon.kill()
    for server in self.servers:
      server.stop()
    await self.platform.stop()
