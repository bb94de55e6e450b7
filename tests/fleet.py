"""Daemons as separate processes, with kills, freezes and network cuts.

Each daemon listens at an IP address of its own.  Other daemons connect to it
through a link, a proxy that identifies both ends by IP address and can be cut.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any

import aiohttp

from woadrun import errors
from woadrun.connection import client
from woadrun.standins import local

READY_TIMEOUT_SECONDS = 60.0
MODEL = local.MODEL

_node_numbers = itertools.count(1)


@dataclasses.dataclass(eq=False, kw_only=True)
class Node:
  """A daemon: its process, settings and the address of its link."""

  host: str
  domain: str
  address: str
  listen: str
  config: pathlib.Path
  process: asyncio.subprocess.Process | None = None

  def kill(self) -> None:
    """Kills the process."""
    self._send_signal(signal.SIGKILL)

  def freeze(self) -> None:
    """Suspends the process with SIGSTOP."""
    self._send_signal(signal.SIGSTOP)

  def wake(self) -> None:
    """Resumes a suspended process."""
    self._send_signal(signal.SIGCONT)

  def leave(self) -> None:
    """Requests a graceful stop of the process."""
    self._send_signal(signal.SIGTERM)

  def _send_signal(self, number: int) -> None:
    if self.process is not None and self.process.returncode is None:
      self.process.send_signal(number)


class Fleet:
  """Daemons, the links between them, and stand-ins of outside systems."""

  def __init__(
    self,
    folder: pathlib.Path,
    outside: local.Outside,
    *,
    has_links: bool = True,
  ) -> None:
    self.folder = folder
    self.has_links = has_links
    self.outside = outside
    self.nodes: list[Node] = []
    self.cuts: set[tuple[str, str]] = set()
    self._healed = asyncio.Event()
    self._servers: list[asyncio.Server] = []
    self.session = aiohttp.ClientSession()

  # --- Daemons --------------------------------------------------------------

  async def add(
    self,
    domain: str = 'north',
    domains: tuple[str, ...] = ('north',),
    **sections: Any,
  ) -> Node:
    """Adds a daemon, starts its process, and returns the daemon."""
    number = next(_node_numbers)
    host = f'127.{os.getpid() % 200 + 1}.{number // 200}.{number % 200 + 1}'
    port = local.get_free_port(host)
    address = listen = f'{host}:{port}'
    if self.has_links:
      address = await self._open_link(host, port)
    data = local.make_settings(
      self.outside, address=address, domain=domain, domains=domains, **sections
    )
    data['daemon']['listen'] = listen
    config = self.folder / f'{number}.toml'
    config.write_text(to_toml(data))
    node = Node(
      host=host,
      domain=domain,
      address=address,
      listen=listen,
      config=config,
    )
    self.nodes.append(node)
    await self.list_vms()
    await self.start(node)
    return node

  async def start(self, node: Node) -> None:
    """Starts the process of a daemon."""
    log = open(self.folder / f'{node.host}.log', 'ab')  # noqa: SIM115, ASYNC230
    # The process has a group of its own, since the kernel resumes the stopped
    # members of a process group whose starter exits.
    node.process = await asyncio.create_subprocess_exec(
      sys.executable, '-m', 'woadrun', 'serve', '--config', str(node.config),
      stderr=log, process_group=0,
    )  # fmt: skip

  async def list_vms(self, *leaving: Node) -> None:
    """Updates the platform's list of VMs."""
    await local.set_vms(
      self.session,
      self.outside,
      {n.address: n.domain for n in self.nodes},
      leaving=frozenset(n.address for n in leaving),
    )

  async def dump(self, node: Node) -> Any:
    """Returns a daemon's state dump, or None if the daemon does not answer."""
    try:
      async with self.session.get(
        f'http://{node.listen}/operate/dump',
        headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
        timeout=aiohttp.ClientTimeout(total=2),
      ) as response:
        return await response.json()
    except (TimeoutError, aiohttp.ClientError, OSError):
      return None

  async def wait_ready(self, *nodes: Node) -> None:
    """Waits until slots are balanced and each has an owner and a standby."""
    wanted = nodes or tuple(self.nodes)

    async def is_ready() -> bool:
      dumps = [await self.dump(n) for n in wanted]
      return all(d and self._is_settled(d) for d in dumps)

    await until(is_ready)

  async def wait_written(self) -> None:
    """Waits until no daemon has records that the platform lacks."""

    async def is_written() -> bool:
      dumps = [await self.dump(n) for n in self.nodes]
      return all(d and d['storage']['pending'] == 0 for d in dumps)

    await until(is_written)

  async def restart(self) -> None:
    """Kills all daemons, restarts them and waits until they are ready."""
    for node in self.nodes:
      node.kill()
      await node.process.wait()
    for node in self.nodes:
      await self.start(node)
    await self.wait_ready()

  def _is_settled(self, dump: Any) -> bool:
    members = dump['membership']['roster']['incarnations']
    slots = dump['membership']['roster'].get('slots', [])
    owned = dump['owner']['slots']['owned']
    is_alone = len(members) == 1
    # Slots are still moving if a daemon owns two more than another one.
    counts = [sum(s.get('owner') == m for s in slots) for m in members]
    if not counts or max(counts) - min(counts) > 1:
      return False
    return bool(owned) and all(
      s.get('owner') and (is_alone or s.get('standby')) for s in slots
    )

  async def find_owner(self, program: str) -> Node:
    """Returns the daemon that owns a program's slot."""
    return await self._find_by_role(program, 'owned')

  async def find_standby(self, program: str) -> Node:
    """Returns the daemon that is the standby of a program's slot."""
    return await self._find_by_role(program, 'standing_by')

  async def _find_by_role(self, program: str, role: str) -> Node:
    domain, slot, _ = program.split('.')
    for node in self.nodes:
      dump = await self.dump(node) if node.domain == domain else None
      if dump and str(int(slot)) in dump['owner']['slots'][role]:
        return node
    raise LookupError(program)

  # --- Callers --------------------------------------------------------------

  def make_client(self, *nodes: Node, patience: float = 30.0) -> client.Client:
    """Returns a client with the addresses of some daemons, by default all."""
    return client.Client(
      session=self.session,
      addresses=[n.listen for n in nodes or self.nodes],
      token=local.CALLER_TOKEN,
      patience=patience,
    )

  async def edit(self, node: Node, **columns_by_team: dict[str, Any]) -> int:
    """Adds or changes rows of teams; returns the table version of the edit."""
    operator = self.make_operator(node)
    table = await operator.ask('GET', '/operate/table')
    before = {row['key']: row for row in table['rows']}
    changes = [
      {
        'key': team,
        'before': before.get(team),
        'after': {**(before.get(team) or {}), 'key': team, **columns},
      }
      for team, columns in columns_by_team.items()
    ]
    result = await operator.ask('POST', '/operate/table', {'changes': changes})
    return int(result['version'])

  def make_operator(self, *nodes: Node) -> client.Client:
    """Returns a client with the operator's token."""
    return client.Client(
      session=self.session,
      addresses=[n.listen for n in nodes or self.nodes],
      token=local.OPERATOR_TOKEN,
    )

  async def wait_version(self, version: int, *nodes: Node) -> None:
    """Waits until the daemons have applied a table version."""

    async def is_in_force() -> bool:
      dumps = [await self.dump(n) for n in nodes or self.nodes]
      return all(d and d['configuration']['version'] >= version for d in dumps)

    await until(is_in_force)

  # --- Cuts -----------------------------------------------------------------

  def cut(self, *sides: list[Node]) -> None:
    """Cuts the links between daemons of different sides, in both directions."""
    for one, other in itertools.permutations(sides, 2):
      self.cuts |= {(a.host, b.host) for a in one for b in other}

  def cut_platform(self, *nodes: Node) -> None:
    """Cuts daemons off from the platform."""
    self.outside.platform.cut |= {n.host for n in nodes}

  def heal(self) -> None:
    """Ends all cuts."""
    self.cuts.clear()
    self.outside.platform.cut.clear()
    self._healed.set()
    self._healed = asyncio.Event()

  async def _open_link(self, host: str, port: int) -> str:
    server = await asyncio.start_server(
      lambda r, w: self._relay(host, port, r, w), '127.0.0.1', 0
    )
    self._servers.append(server)
    return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

  async def _relay(
    self,
    host: str,
    port: int,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
  ) -> None:
    source = writer.get_extra_info('peername')[0]
    try:
      await self._wait_until_healed(source, host)
      node_reader, node_writer = await asyncio.open_connection(host, port)
    except OSError:
      writer.transport.abort()
      return
    await asyncio.gather(
      self._copy(reader, node_writer, source, host),
      self._copy(node_reader, writer, source, host),
    )

  async def _copy(
    self,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    source: str,
    host: str,
  ) -> None:
    try:
      while data := await reader.read(65536):
        await self._wait_until_healed(source, host)
        writer.write(data)
        await writer.drain()
      writer.close()
    except OSError:
      writer.transport.abort()

  async def _wait_until_healed(self, one: str, other: str) -> None:
    while {(one, other), (other, one)} & self.cuts:
      await self._healed.wait()

  # --- End ------------------------------------------------------------------

  async def stop(self) -> None:
    """Kills all processes and stops the links and stand-ins."""
    self.heal()
    for node in self.nodes:
      node.kill()
      if node.process is not None:
        await node.process.wait()
    for server in self._servers:
      server.close()
    await self.session.close()
    await self.outside.stop()


@contextlib.asynccontextmanager
async def make_fleet(
  folder: pathlib.Path,
  domain_by_node: str = 'nnn',
  sections: dict[str, Any] | None = None,
  **outside: Any,
):
  """Yields a ready fleet; 'nns' is two daemons in north and one in south."""
  names = {'n': 'north', 's': 'south', 'w': 'west'}
  domains = tuple(dict.fromkeys(names[c] for c in domain_by_node))
  fleet = Fleet(folder, await local.start_outside(**outside))
  try:
    for letter in domain_by_node:
      await fleet.add(names[letter], domains, **(sections or {}))
    await fleet.wait_ready()
    version = await fleet.edit(fleet.nodes[0], riders={}, crews={})
    await fleet.wait_version(version)
    yield fleet
  except BaseException:
    print_logs(folder)
    raise
  finally:
    await fleet.stop()


def print_logs(folder: pathlib.Path) -> None:
  """Prints the daemons' logs, which pytest shows for a failed test."""
  for path in sorted(folder.glob('*.log')):
    print(f'--- {path.name}\n{path.read_text()[-4000:]}')


async def until(condition, seconds: float = READY_TIMEOUT_SECONDS) -> None:
  """Polls an async condition until it holds; fails after `seconds`."""
  deadline = time.monotonic() + seconds
  while not await condition():
    assert time.monotonic() < deadline, (
      f'the condition did not hold within {seconds} s'
    )
    await asyncio.sleep(0.05)


async def get_refusal(awaitable) -> errors.WoadrunError:
  """Returns the error with which a request is refused."""
  try:
    result = await awaitable
  except errors.WoadrunError as error:
    return error
  raise AssertionError(f'the request was not refused: {result}')


def to_toml(data: dict[str, Any]) -> str:
  """Returns settings as TOML; JSON scalars and lists are TOML too."""
  lines: list[str] = []
  for name, section in data.items():
    for part in section if isinstance(section, list) else [section]:
      lines.append(f'[[{name}]]' if isinstance(section, list) else f'[{name}]')
      for key, value in part.items():
        lines.append(f'{key} = {_to_toml_value(value)}')
  return '\n'.join(lines) + '\n'


def _to_toml_value(value: Any) -> str:
  if isinstance(value, list):
    return '[' + ', '.join(_to_toml_value(item) for item in value) + ']'
  if isinstance(value, dict):
    pairs = (f'{k} = {_to_toml_value(v)}' for k, v in value.items())
    return '{' + ', '.join(pairs) + '}'
  return json.dumps(value)


def get_pid(node: Node) -> int:
  """Returns the id of a daemon's process."""
  assert node.process is not None
  return node.process.pid


def is_running(node: Node) -> bool:
  """Returns whether a daemon's process is running."""
  try:
    os.kill(get_pid(node), 0)
  except ProcessLookupError:
    return False
  return node.process is not None and node.process.returncode is None
