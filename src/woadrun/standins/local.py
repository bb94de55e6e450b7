"""A small deployment on loopback: stand-ins and settings for daemons.

Used by the demo, the tests and our own measurements.
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
  """The outside systems of a deployment, in this process."""

  platform: platform.Platform
  engines: list[engine.Engine]
  services: list[service.Service]

  async def stop(self) -> None:
    """Closes all stand-ins."""
    for part in (self.platform, *self.engines, *self.services):
      await part.stop()


async def start_outside(
  *,
  engines: int = 2,
  services: int = 1,
  slots: int = 8,
  token_seconds: float = 0.0005,
  checks_fencing: bool = True,
  forgets: bool = False,
) -> Outside:
  """Returns running stand-ins for the outside systems."""
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
  for part in (outside.platform, *outside.engines, *outside.services):
    await part.start()
  return outside


def get_free_port(host: str = '127.0.0.1') -> int:
  """Returns a port of loopback that the system just found free."""
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
  """Returns a daemon's settings as the data of a TOML file.

  Upstreams are spread over the domains in turn; `sections` replace or
  add keys of a section.
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
        'url': part.url,
        'domain': domains[index % len(domains)],
        'models': [MODEL],
      }
      for index, part in enumerate(outside.engines)
    ],
    'services': [
      {
        'name': f'service-{index}',
        'url': part.url,
        'domain': domains[index % len(domains)],
        'timeout': 5.0,
      }
      for index, part in enumerate(outside.services)
    ],
  }
  for name, section in sections.items():
    data[name] = {**data.get(name, {}), **section}
  return data


def check(data: dict[str, Any]) -> settings.Settings:
  """Returns checked settings from their data."""
  return settings.check(data, file='(local)')


async def set_vms(
  session: aiohttp.ClientSession,
  outside: Outside,
  domain_by_address: dict[str, str],
  leaving: frozenset[str] = frozenset(),
) -> None:
  """Sets the platform's list of VMs."""
  listed = [
    {
      'address': address,
      'domain': domain,
      'state': 'leaving' if address in leaving else 'live',
    }
    for address, domain in domain_by_address.items()
  ]
  async with session.put(f'{outside.platform.url}/vms', json=listed):
    pass
