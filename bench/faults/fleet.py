"""A fleet of daemons in one process, which can be started and stopped."""

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
from woadrun.connection import rows
from woadrun.connection import tcp_connections
from woadrun.platform import discovery
from woadrun.platform import operator
from woadrun.process import node
from woadrun.version import instances

CHAT, DRAFT, ACT, LOOK = '/chat/', '/draft/', '/act/', outside.LOOK
# Numbers of instances of the two services.
MODEL_INSTANCES, TOOL_INSTANCES = 4, 2
# Time within which starting daemons must discover each other.
DISCOVERY_TIMEOUT_SECONDS = 10.0
# How long the history that a turn leaves behind is retained.
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
    {
      **_ROUTE,
      'name': 'look',
      'path_prefix': LOOK,
      'kind': 'idempotent',
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
  """Daemons spread evenly over domains, with the row store and instances."""

  def __init__(
    self,
    *,
    dice: random.Random,
    daemons: int,
    domains: int,
    config: dict[str, Any] | None = None,
    revocation: float | None = None,
  ) -> None:
    self.tenancy = tenancy.Tenancy(rng=dice)
    self._config = config
    self.revocation = revocation
    self.domains = [f'd{number}' for number in range(domains)]
    self.names = [
      f'{self.domains[number % domains]}-{number // domains}'
      for number in range(daemons)
    ]
    self.network = network.Network(rng=dice)
    self.store = outside.Store(rng=dice)
    self.instances = outside.Instances(
      rng=dice,
      replace=self._start_replacing_instance,
      depart=self._start_departure,
    )
    # The kinds of all faults of the run, and what these found.
    self.fault_kinds: frozenset[str] = frozenset()
    self.violations: list[str] = []
    self._dice = dice
    self._replacements = itertools.count(1)
    self._tasks: set[asyncio.Task[None]] = set()
    self.site_by_name: dict[str, network.Site] = {}
    self._ports = itertools.count(1)

  def get_domain(self, name: str) -> str:
    """Returns the domain of a daemon."""
    return name.partition('-')[0]

  def get_alive(self) -> list[network.Site]:
    """Returns the live daemons that are ready for callers."""
    return [
      site
      for site in self.site_by_name.values()
      if not site.is_dead and site.daemon.is_ready()
    ]

  async def start_all(self) -> None:
    """Starts all daemons and returns once each has discovered all others."""
    await self.store.rows.change(
      writes=[
        self._make_table_row(),
        *(
          _make_instance_row('models', n, self.domains)
          for n in range(MODEL_INSTANCES)
        ),
        *(
          _make_instance_row('tools', n, self.domains)
          for n in range(TOOL_INSTANCES)
        ),
      ]
    )
    for name in self.names:
      await self.start(name)
      # Simulates a daemon with a long uptime: a program that is unknown to it
      # did not begin before the daemon started.
      self.site_by_name[name].daemon.programs._created_at = -math.inf
    async with asyncio.timeout(DISCOVERY_TIMEOUT_SECONDS):
      while not self._is_settled():
        await asyncio.sleep(0.1)

  def _start_replacing_instance(self, instance: instances.Instance) -> None:
    task = asyncio.ensure_future(self._replace_instance(instance))
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)

  def _start_departure(
    self, instance: instances.Instance, is_draining: bool
  ) -> None:
    task = asyncio.ensure_future(self._change_entry(instance, is_draining))
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)

  async def _change_entry(
    self, instance: instances.Instance, is_draining: bool
  ) -> None:
    """Removes the entry of an instance, or makes it tell that it drains.

    Another instance starts at the same time.
    """
    key = rows.Key('servers', '', instance.id)
    await self._start_instance(instance)
    if not is_draining:
      await self.store.rows.change(removes=[key])
      return
    entry = _make_entry(instance.service, instance.domain, state='draining')
    await self.store.rows.change(writes=[(key, entry)])

  async def _replace_instance(self, instance: instances.Instance) -> None:
    """Starts another instance, and lets the entry of the ended one expire."""
    await self._start_instance(instance)
    await asyncio.sleep(self._dice.uniform(*outside.STALE_ENTRY_SECONDS))
    ended = rows.Key('servers', '', instance.id)
    await self.store.rows.change(removes=[ended])

  async def _start_instance(self, instance: instances.Instance) -> None:
    """Starts another instance like a given one."""
    entry = _make_entry(instance.service, instance.domain)
    name = f'{instance.service}-r{next(self._replacements)}'
    key = rows.Key('servers', '', name)
    # The store's rows, since instances write despite the faults of daemons.
    await self.store.rows.change(writes=[(key, entry)])

  async def write_teams(self) -> None:
    """Writes the current teams to the operator's table."""
    await self.store.rows.change(writes=[self._make_table_row()])

  def _make_table_row(self) -> tuple[rows.Key, bytes]:
    teams = {
      'version': self.tenancy.version,
      'tenants': self.tenancy.list_teams(),
    }
    config = self._config or {**CONFIG, **teams}
    value = operator.hash_api_keys(msgspec.json.encode(config))
    return rows.Key('op', '', 'config'), value

  def _is_settled(self) -> bool:
    daemons = [site.daemon for site in self.site_by_name.values()]
    return all(
      d.is_ready()
      and d.store.is_direct
      and len(d.fleet.member_by_name) == len(self.names)
      and d.fleet.is_store_current
      for d in daemons
    )

  async def start(self, name: str) -> None:
    """Starts a daemon, or restarts a killed one at another address.

    Does nothing if the daemon runs already, since another fault may have
    restarted it.
    """
    current = self.site_by_name.get(name)
    if current is not None and not current.is_dead:
      return
    view = outside.StoreView(
      shared=self.store, name=name, domain=self.get_domain(name)
    )
    config = self._make_settings(name)
    daemon = node.Node(
      config=config,
      session=None,
      binding=node.Binding(
        addresses=tcp_connections.Addresses(),
        store=view,
        upstreams=self.instances.make_upstreams(None),
        table_key=rows.Key('op', '', 'config'),
        instance_table='servers',
        decode_table=operator.decode,
        decode_instance=discovery.decode,
        grace=0.5,
      ),
    )
    site = network.Site(daemon=daemon, domain=config.domain)
    view.site = site
    self.network.attach(site)
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
    """Ends a daemon's process abruptly; does nothing if it is dead."""
    site = self.site_by_name[name]
    if site.is_dead:
      return
    site.is_dead = True
    for task in list(site.tasks):
      task.cancel()
    await site.daemon.stop()

  async def stop(self, name: str) -> None:
    """Stops a daemon gracefully; returns early if it is killed meanwhile."""
    site = self.site_by_name[name]
    if site.is_dead:
      return
    await asyncio.wait([site.run(_drain(site.daemon))])
    if not site.is_dead:
      await self.kill(name)


async def _drain(daemon: node.Node) -> None:
  """Runs the steps of a graceful stop of a daemon."""
  await daemon.leave()
  await asyncio.sleep(1.0)
  await daemon.finish()


def _make_instance_row(
  service: str, number: int, domains: list[str]
) -> tuple[rows.Key, bytes]:
  key = rows.Key('servers', '', f'{service}-{number}')
  return key, _make_entry(service, domains[number % len(domains)])


def _make_entry(service: str, domain: str, *, state: str = 'ready') -> bytes:
  entry: dict[str, Any] = {
    'service': service,
    'address': '127.0.0.1:9',
    'zone': domain,
    'slots': 64,
    'state': state,
  }
  return msgspec.json.encode(entry)
