"""A fleet of daemons in one process: started, killed, stopped as planned."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from typing import Any

import msgspec

from faults import network
from faults import outside
from faults import tenancy
from woadrun.connection import fresh
from woadrun.connection import rows
from woadrun.platform import discovery
from woadrun.platform import operator
from woadrun.process import node

CHAT, DRAFT, ACT = '/chat/', '/draft/', '/act/'
# Instances of each service.
MODELS, TOOLS = 4, 2
# Until daemons that start know each other, in seconds.
START_SECONDS = 10.0
# How long what a turn left is kept, in seconds.
RETENTION_SECONDS = 60.0

_ROUTE = {'host': 'h', 'timeout_ms': 4000, 'max_attempts': 2}
CONFIG = {
  'version': 1,
  'routes': [
    {
      **_ROUTE,
      'name': 'chat',
      'path_prefix': CHAT,
      'kind': 'stream',
      'service': 'models',
      'retain_history': True,
      'retention_s': RETENTION_SECONDS,
    },
    {
      **_ROUTE,
      'name': 'draft',
      'path_prefix': DRAFT,
      'kind': 'stream',
      'service': 'models',
    },
    {
      **_ROUTE,
      'name': 'act',
      'path_prefix': ACT,
      'kind': 'non_idempotent',
      'service': 'tools',
    },
  ],
  'services': [
    {
      'name': 'models',
      'engine': {'tokens_per_event': outside.TOKENS_PER_EVENT},
    }
  ],
}


class Fleet:
  """Daemons by name, evenly over domains, with the store and all instances."""

  def __init__(
    self,
    *,
    dice: random.Random,
    daemons: int,
    domains: int,
    config: dict[str, Any] | None = None,
    revocation: float | None = None,
  ) -> None:
    self.tenancy = tenancy.Tenancy(dice=dice)
    self._config = config
    self.revocation = revocation
    self.domains = [f'd{number}' for number in range(domains)]
    self.names = [
      f'{self.domains[number % domains]}-{number // domains}'
      for number in range(daemons)
    ]
    self.network = network.Network(dice=dice)
    self.store = outside.Store(dice=dice)
    self.instances = outside.Instances(dice=dice)
    self.site_by_name: dict[str, network.Site] = {}
    self._ports = itertools.count(1)

  def get_domain(self, name: str) -> str:
    """Returns the domain of a daemon."""
    return name.partition('-')[0]

  def get_alive(self) -> list[network.Site]:
    """Returns the daemons that take new callers."""
    return [
      site
      for site in self.site_by_name.values()
      if not site.is_dead and site.daemon.is_ready()
    ]

  @property
  def is_store_faulty(self) -> bool:
    """Whether a daemon may be without the store's word."""
    store = self.store
    is_partly_lost = bool(store.without or store.domains_without)
    return store.is_out or store.is_slow or store.losing > 0 or is_partly_lost

  async def start_all(self) -> None:
    """Starts all daemons and returns once each knows all others."""
    await self.store.rows.change(
      writes=[
        self._make_table(),
        *(_make_instance('models', n, self.domains) for n in range(MODELS)),
        *(_make_instance('tools', n, self.domains) for n in range(TOOLS)),
      ]
    )
    for name in self.names:
      await self.start(name)
      # It has run for long: what it does not know did not begin before it.
      self.site_by_name[name].daemon.programs._created_at = -math.inf
    async with asyncio.timeout(START_SECONDS):
      while not self._is_settled():
        await asyncio.sleep(0.1)

  async def change_teams(self) -> None:
    """Puts the teams as they are now in force."""
    await self.store.rows.change(writes=[self._make_table()])

  def _make_table(self) -> tuple[rows.Key, bytes]:
    teams = {
      'version': self.tenancy.version,
      'tenants': self.tenancy.list_teams(),
    }
    config = self._config or {**CONFIG, **teams}
    value = operator.seal(msgspec.json.encode(config))
    return rows.Key('op', '', 'config'), value

  def _is_settled(self) -> bool:
    daemons = [site.daemon for site in self.site_by_name.values()]
    return all(
      d.is_ready()
      and d.store.is_direct
      and len(d.fleet.member_by_name) == len(self.names)
      and d.fleet.is_settled
      for d in daemons
    )

  async def start(self, name: str) -> None:
    """Starts a daemon, or one that was killed anew, at another address.

    One that another fault has started again meanwhile stays.
    """
    known = self.site_by_name.get(name)
    if known is not None and not known.is_dead:
      return
    view = outside.StoreView(
      shared=self.store, name=name, domain=self.get_domain(name)
    )
    config = self._make_settings(name)
    daemon = node.Node(
      config=config,
      session=None,
      binding=node.Binding(
        addresses=fresh.Addresses(),
        store=view,
        upstreams=self.instances.make_way(None),
        table_key=rows.Key('op', '', 'config'),
        instance_table='servers',
        decode_table=operator.decode,
        decode_instance=discovery.decode,
        grace=0.5,
      ),
    )
    site = network.Site(daemon=daemon, domain=config.domain)
    view.site = site
    self.network.join(site)
    self.site_by_name[name] = site
    await daemon.start()

  def _make_settings(self, name: str) -> node.NodeSettings:
    return node.NodeSettings(
      name=name,
      domain=self.get_domain(name),
      callers_address='127.0.0.1:1',
      ready_address='127.0.0.1:1',
      peers_address=f'127.0.0.1:{next(self._ports)}',
      store_address='127.0.0.1:1',
      row_bytes=2048,
      grace=3.0,
      revocation=self.revocation,
    )

  async def kill(self, name: str) -> None:
    """Ends a daemon's process without a word."""
    site = self.site_by_name[name]
    if site.is_dead:
      return
    site.is_dead = True
    for task in list(site.tasks):
      task.cancel()
    await site.daemon.stop()

  async def leave(self, name: str) -> None:
    """Stops a daemon as planned; returns too once it is killed meanwhile."""
    site = self.site_by_name[name]
    if site.is_dead:
      return
    await asyncio.wait([site.run(_leave(site.daemon))])
    if not site.is_dead:
      await self.kill(name)


async def _leave(daemon: node.Node) -> None:
  """Returns once a daemon has done what a planned stop asks of it."""
  await daemon.leave()
  await asyncio.sleep(1.0)
  await daemon.finish()


def _make_instance(
  service: str, number: int, domains: list[str]
) -> tuple[rows.Key, bytes]:
  entry: dict[str, Any] = {
    'service': service,
    'address': '127.0.0.1:9',
    'zone': domains[number % len(domains)],
    'slots': 64,
    'state': 'ready',
  }
  key = rows.Key('servers', '', f'{service}-{number}')
  return key, msgspec.json.encode(entry)
