"""A deployment on loopback: stand-ins, and settings for daemons.

It runs in one process, for the demo and for tests.
"""

from __future__ import annotations

import dataclasses
import socket
from typing import Any

import aiohttp

from woadrun import settings
from woadrun.standins import engine
from woadrun.standins import platform
from woadrun.standins import service

CALLER_TOKEN = 'caller-token-of-the-demo'
OPERATOR_TOKEN = 'operator-token-of-the-demo'
PEER_KEY = 'peer-key-of-the-demo'
MODEL = 'small-model'


@dataclasses.dataclass(kw_only=True)
class Outside:
  """The stand-ins for the external systems of a deployment."""

  platform: platform.Platform
  engines: list[engine.Engine]
  services: list[service.Service]

  async def stop(self) -> None:
    """Stops all stand-ins."""
    for stand_in in (self.platform, *self.engines, *self.services):
      await stand_in.stop()


async def start_outside(
  *,
  engines: int = 2,
  services: int = 1,
  slots: int = 8,
  token_seconds: float = 0.0005,
  checks_fencing: bool = True,
  forgets: bool = False,
) -> Outside:
  """Starts stand-ins for the external systems and returns them."""
  outside = Outside(
    platform=platform.Platform(),
    engines=[
      engine.Engine(
        slots=slots,
        token_seconds=token_seconds,
        checks_fencing=checks_fencing,
      )
      for _ in range(engines)
    ],
    services=[service.Service(forgets=forgets) for _ in range(services)],
  )
  for stand_in in (outside.platform, *outside.engines, *outside.services):
    await stand_in.start()
  return outside


def get_free_port(host: str = '127.0.0.1') -> int:
  """Returns a port that was free on `host` at the time of the call."""
  with socket.socket() as probe:
    probe.bind((host, 0))
    port: int = probe.getsockname()[1]
    return port


def make_settings(
  outside: Outside,
  *,
  address: str,
  domain: str = 'north',
  domains: tuple[str, ...] = ('north',),
  **sections: dict[str, Any],
) -> dict[str, Any]:
  """Returns the settings of a daemon, as decoded from a TOML file.

  Upstreams are assigned to `domains` round-robin.  The keys in `sections`
  override or extend the sections of the same name.
  """
  url = outside.platform.url
  data: dict[str, Any] = {
    'daemon': {
      'address': address,
      'domain': domain,
      'region_domains': list(domains),
      'slots': 16,
    },
    'platform': {'table': url, 'objects': url, 'vms': url},
    'security': {
      'peer_key': PEER_KEY,
      'callers': [{'token': CALLER_TOKEN, 'teams': ['*']}],
      'operators': [{'token': OPERATOR_TOKEN, 'name': 'demo'}],
    },
    'engines': [
      {
        'name': f'engine-{index}',
        'url': engine_stand_in.url,
        'domain': domains[index % len(domains)],
        'models': [MODEL],
      }
      for index, engine_stand_in in enumerate(outside.engines)
    ],
    'services': [
      {
        'name': f'service-{index}',
        'url': service_stand_in.url,
        'domain': domains[index % len(domains)],
        'timeout': 5.0,
      }
      for index, service_stand_in in enumerate(outside.services)
    ],
  }
  for name, section in sections.items():
    data[name] = {**data.get(name, {}), **section}
  return data


def check(data: dict[str, Any]) -> settings.Settings:
  """Returns validated settings from the data of a TOML file."""
  return settings.check(data, file='(local)')


async def set_vms(
  session: aiohttp.ClientSession,
  outside: Outside,
  domain_by_address: dict[str, str],
  leaving: frozenset[str] = frozenset(),
) -> None:
  """Replaces the platform's list of VMs.

  VMs whose address is in `leaving` are listed as leaving, all others as live.
  """
  vms = [
    {
      'address': address,
      'domain': domain,
      'state': 'leaving' if address in leaving else 'live',
    }
    for address, domain in domain_by_address.items()
  ]
  async with session.put(f'{outside.platform.url}/vms', json=vms):
    pass
