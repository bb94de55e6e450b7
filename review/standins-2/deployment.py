"""A small deployment for the cases of the second review.

Daemons are started with the command of the deploy file; the store, the engines
and the clients are stand-ins in this process.  The store is the project's own
stand-in (`woadrun.platform.standin`), behind a proxy of this file.  All
addresses are loopback addresses of a network drawn at random, so that several
scripts may run at the same time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import random
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any

from aiohttp import web

from woadrun.connection import rows
from woadrun.platform import standin
from woadrun.standins import rows as memory

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, INTERNAL = 8149, 8141, 8144, 7380
HELD, BROKEN, UNABLE = 0, 1, 2


def has_trouble() -> bool:
  """Whether the disruption is to be made."""
  return os.environ.get('TROUBLE', '1') != '0'


class Record:
  """Writes what happens to `record.txt` in the folder of a case."""

  def __init__(self, folder: pathlib.Path) -> None:
    self._file = (folder / 'record.txt').open('w', buffering=1)
    self._began = time.monotonic()

  def note(self, text: str) -> None:
    """Writes one line, with the seconds since the start."""
    self._file.write(f'{time.monotonic() - self._began:8.3f} {text}\n')


class Engine:
  """An engine of a service; `behave` may answer a request in its own way.

  `behave` returns None to have the engine answer as usual, and True if it has
  answered itself and the connection may be used again.
  """

  def __init__(
    self,
    *,
    id: str,
    service: str,
    zone: str,
    host: str,
    record: Record,
    events: int = 4,
    work: float = 0.02,
  ) -> None:
    self.id, self.service, self.zone, self.host = id, service, zone, host
    self.events, self.work = events, work
    self.record = record
    self.address = ''
    self.state = 'ready'
    # Tokens of prompts that fit into its memory, and that it reads in a second;
    # the parts that it keeps.
    self.kv_tokens, self.prefill_tokens_per_s = 111_896, 61_200.0
    self._kept_parts: set[str] = set()
    # Each request that ran, as (time, head fields, request line, body).
    self.runs: list[tuple[float, dict[str, str], str, bytes]] = []
    self.behave: Callable[..., Awaitable[bool | None]] | None = None
    self.is_quiet = False
    self._server: asyncio.Server | None = None
    self._writers: set[asyncio.StreamWriter] = set()

  async def start(self, port: int = 0) -> None:
    """Starts to listen."""
    self._server = await asyncio.start_server(
      self._serve, self.host, port, limit=1 << 20
    )
    name = self._server.sockets[0].getsockname()
    self.address = f'{name[0]}:{name[1]}'

  def reset_all(self) -> None:
    """Resets all connections."""
    for writer in list(self._writers):
      reset(writer)

  async def stop(self) -> None:
    """Ends the engine: no listener, all connections reset."""
    if self._server is not None:
      self._server.close()
    self.reset_all()

  def make_row(self) -> bytes:
    """Returns the engine's entry in the platform's list."""
    return json.dumps(
      {
        'service': self.service,
        'address': self.address,
        'zone': self.zone,
        'version': '1',
        'slots': 16,
        'state': self.state,
        'cold_remaining_ms': 0,
        'call_seq': 0,
      }
    ).encode()

  async def _serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    self._writers.add(writer)
    try:
      while await self._serve_once(reader, writer):
        pass
    except (OSError, asyncio.IncompleteReadError):
      pass
    finally:
      self._writers.discard(writer)
      writer.close()

  async def _serve_once(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> bool:
    line, head, size = await read_head(reader)
    if self.behave is not None:
      found = await self.behave(self, reader, writer, line, head, size)
      if found is not None:
        return found
    body = await reader.readexactly(size)
    return await self.answer(writer, line, head, body)

  async def answer(
    self,
    writer: asyncio.StreamWriter,
    line: str,
    head: dict[str, str],
    body: bytes,
  ) -> bool:
    """Runs a request that has been read, and answers it."""
    id = head.get('request-id', '')
    if head.get('expect-instance', self.id) != self.id:
      writer.write(
        f'HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\n'
        f'Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n'.encode()
      )
      await writer.drain()
      return True
    if line.split()[1] == '/health':
      writer.write(
        f'HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n'
        'Content-Length: 0\r\n\r\n'.encode()
      )
      await writer.drain()
      return True
    if not await self._read_prompt(head):
      writer.write(
        f'HTTP/1.1 503 Full\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n'
        'Content-Length: 0\r\n\r\n'.encode()
      )
      await writer.drain()
      return True
    self.note_run(line, head, body)
    signed = f'Request-Id: {id}\r\nServer-Signature: {self.id}.{id[:16]}\r\n'
    if 'token-usage' not in head:
      await asyncio.sleep(self.work)
      answer = f'done {id[:16]}'.encode()
      writer.write(
        f'HTTP/1.1 200 OK\r\n{signed}Content-Length: {len(answer)}\r\n\r\n'.encode()
        + answer
      )
      await writer.drain()
      return True
    writer.write(
      f'HTTP/1.1 200 OK\r\n{signed}Content-Type: text/event-stream\r\n'
      'Transfer-Encoding: chunked\r\n\r\n'.encode()
    )
    for number in range(1, self.events + 1):
      await asyncio.sleep(self.work)
      event = f'id: {number}\ndata: {id[:16]}-{number}\n\n'.encode()
      writer.write(b'%x\r\n%s\r\n' % (len(event), event))
      await writer.drain()
    writer.write(b'0\r\n\r\n')
    await writer.drain()
    return True

  async def _read_prompt(self, head: dict[str, str]) -> bool:
    """Reads what it does not keep; returns False for a prompt that is too large.

    A part is kept from then on: the scripts send few that are large.
    """
    prompt = int(head.get('token-usage', '0,0').partition(',')[0])
    if prompt > self.kv_tokens:
      return False
    parts = [
      part.partition(':')
      for part in head.get('prompt-prefix', '').split(',')
      if part
    ]
    new = sum(int(n) for id, _, n in parts if id not in self._kept_parts)
    await asyncio.sleep(new / self.prefill_tokens_per_s)
    self._kept_parts.update(id for id, _, n in parts if int(n) > 10_000)
    return True

  def note_run(self, line: str, head: dict[str, str], body: bytes) -> None:
    """Notes that the engine has begun to work on a request."""
    self.runs.append((time.monotonic(), head, line, body))
    # The paths of ordinary clients end so; the others are too many to list.
    if not self.is_quiet or line.split()[1].endswith('/o'):
      self.record.note(
        f'engine {self.id} runs {head.get("request-id", "")[:24]}: '
        f'{line[:60]}, body of {len(body)} bytes'
      )


async def read_head(
  reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], int]:
  """Returns the first line, the fields and the length of the body."""
  data = await reader.readuntil(b'\r\n\r\n')
  line, *fields = data.decode('latin-1').split('\r\n')[:-2]
  pairs = (field.partition(':') for field in fields)
  head = {name.strip().lower(): value.strip() for name, _, value in pairs}
  return line, head, int(head.get('content-length', 0))


def reset(writer: asyncio.StreamWriter) -> None:
  """Resets a connection."""
  writer.transport.abort()


class Proxy:
  """Passes bytes between a daemon and the store; may hold or drop them.

  With `is_held` nothing passes, and what came meanwhile passes afterwards.
  """

  def __init__(self, *, host: str, target: tuple[str, int]) -> None:
    self._host, self._target = host, target
    self._open = asyncio.Event()
    self._open.set()
    self._server: asyncio.Server | None = None
    self._writers: set[asyncio.StreamWriter] = set()
    self.address = ''
    self.refuses = False

  async def start(self) -> None:
    """Starts to listen."""
    self._server = await asyncio.start_server(self._serve, self._host, 0)
    name = self._server.sockets[0].getsockname()
    self.address = f'{name[0]}:{name[1]}'

  def hold(self) -> None:
    """Lets nothing pass from now on."""
    self._open.clear()

  def release(self) -> None:
    """Lets everything pass again."""
    self._open.set()

  def reset_all(self) -> None:
    """Resets all connections."""
    for writer in list(self._writers):
      reset(writer)

  async def _serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    if self.refuses:
      reset(writer)
      return
    try:
      there, other = await asyncio.open_connection(*self._target)
    except OSError:
      reset(writer)
      return
    self._writers |= {writer, other}
    await asyncio.gather(self._pass(reader, other), self._pass(there, writer))
    self._writers -= {writer, other}

  async def _pass(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    try:
      while data := await reader.read(65536):
        await self._open.wait()
        writer.write(data)
        await writer.drain()
    except OSError:
      pass
    finally:
      writer.close()


class Daemon:
  """A daemon on a machine of its own; its process may be restarted."""

  def __init__(self, site: Site, *, number: int, zone: str, host: str) -> None:
    self.site, self.zone, self.host = site, zone, host
    self.name = f'front-{zone}-{number}'
    self.process: subprocess.Popen[bytes] | None = None
    self.link: Proxy | None = None
    self.peak = 0
    self.log_path = site.folder / f'{self.name}.log'
    self._log = self.log_path.open('ab')

  async def start(self) -> None:
    """Starts the process with the command of the deploy file."""
    if self.link is None:
      self.link = Proxy(host=self.host, target=self.site.store_address)
      await self.link.start()
    path = self.site.folder / f'{self.name}.json'
    path.write_text(json.dumps(self.make_settings()))
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    command = shlex.split(deploy['roles']['daemon']['run'])
    kept = ('PATH', 'HOME', 'LANG')
    self.process = subprocess.Popen(
      command,
      cwd=ROOT,
      stdout=self._log,
      stderr=self._log,
      process_group=0,
      env={
        **{name: os.environ[name] for name in kept if name in os.environ},
        'WOADRUN_CONFIG': str(path),
        'PYTHONPATH': str(ROOT / 'target' / 'deps'),
      },
    )
    self.site.record.note(f'{self.name} starts, process {self.process.pid}')

  def make_settings(self) -> dict[str, Any]:
    """Returns the settings file, as `DEPLOY.md` describes it."""
    site = self.site
    return {
      'node_name': self.name,
      'role': 'daemon',
      'machine_class': 'front',
      'serves': ['front'],
      'ip': self.host,
      'zone': self.zone,
      'region': 'r',
      'zones': dict.fromkeys(site.zones, 'r'),
      'listen_addrs': {
        'front': f'{self.host}:{FRONT}',
        'ready': f'{self.host}:{READY}',
      },
      'internal_port_range': [INTERNAL, INTERNAL + 15],
      'seed_nodes': [],
      'bootstrap': True,
      'limits': {
        'cpu_share': 0.717,
        'cpu_cores': 3,
        'memory_mb': site.memory_mb,
        'max_fds': 8200,
        'link_mbps': 1000.0,
        'disk_mb': 0,
      },
      'heartbeat_ms': 1200,
      'bounds': site.bounds,
      'platform': {
        'address': self.link.address,
        'form': 'table',
        'writes_per_s': 800,
        'reads_per_s': 2000,
        'tx_ms': 8.0,
        'part_writes_s': 150,
        'row_bytes': 65536,
        'across': False,
        'history_s': 20,
      },
    }

  @property
  def is_running(self) -> bool:
    """Whether the process has not ended."""
    return self.process is not None and self.process.poll() is None

  def send_signal(self, number: int) -> None:
    """Sends a signal to the process."""
    self.site.record.note(f'{self.name} gets {signal.Signals(number).name}')
    self.process.send_signal(number)

  def read_memory(self) -> int:
    """Returns the resident bytes of the process, 0 if it has ended."""
    try:
      text = pathlib.Path(f'/proc/{self.process.pid}/statm').read_text()
      size = int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')
    except (OSError, IndexError):
      return 0
    self.peak = max(self.peak, size)
    return size

  async def is_ready(self) -> bool:
    """Returns the answer to a readiness check, as the platform asks it."""
    try:
      async with asyncio.timeout(0.9):
        reader, writer = await asyncio.open_connection(self.host, READY)
        writer.write(b'GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n')
        line = await reader.readline()
        writer.close()
        return b' 200 ' in line
    except (OSError, TimeoutError):
      return False


class Site:
  """The whole deployment; `close` ends all processes that it started."""

  zones = ('z-a', 'z-b', 'z-c')
  bounds = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 3000,
    'ack_timeout_ms': 4000,
    'catch_up_s': 4.5,
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

  def __init__(
    self, folder: pathlib.Path, *, daemons: int = 3, memory_mb: int = 170
  ) -> None:
    self.record = Record(folder)
    self._temporary = tempfile.TemporaryDirectory()
    self.folder = pathlib.Path(self._temporary.name)
    self.memory_mb = memory_mb
    self._net = f'127.{random.randint(1, 250)}.{random.randint(1, 250)}'
    self.rows = memory.MemoryRowStore()
    self.store_address = ('', 0)
    self._runner: web.AppRunner | None = None
    self._refresh_task: asyncio.Task[None] | None = None
    self.version = 0
    self.engines: list[Engine] = []
    self.daemons = [
      Daemon(
        self,
        number=number,
        zone=self.zones[number % 3],
        host=f'{self._net}.{10 + number}',
      )
      for number in range(daemons)
    ]

  async def start(self, routes: list[dict[str, Any]], **services: int) -> None:
    """Starts the store, engines of each service, and the daemons.

    Returns once all daemons are ready.
    """
    application = standin.StoreServer(kept=self.rows).make_application()
    self._runner = web.AppRunner(
      application, access_log=None, shutdown_timeout=0.1
    )
    await self._runner.setup()
    await web.TCPSite(self._runner, f'{self._net}.2', 0).start()
    self.store_address = self._runner.addresses[0][:2]
    await self.configure(routes, services)
    for service, count in services.items():
      for _ in range(count):
        await self.add_engine(service)
    for daemon in self.daemons:
      await daemon.start()
    await self.wait_until_ready()

  async def wait_until_ready(self, seconds: float = 20.0) -> None:
    """Returns once all daemons are ready; exits with 2 if they are not."""
    until = time.monotonic() + seconds
    for daemon in self.daemons:
      while not await daemon.is_ready():
        if time.monotonic() > until:
          self.record.note(f'{daemon.name} is not ready: the case cannot run')
          raise CannotRun(daemon.name)
        await asyncio.sleep(0.1)
    self.record.note('all daemons are ready')

  async def configure(
    self, routes: list[dict[str, Any]], services: dict[str, int]
  ) -> None:
    """Writes the next version of the configuration."""
    self.version += 3
    config = {
      'version': self.version,
      'routes': routes,
      'services': [
        {
          'name': name,
          'max_connections': 170,
          'health_check_path': '/health',
          'engine': {'tokens_per_event': 8},
        }
        for name in services
      ],
      'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
      },
    }
    key = rows.Key('op', '', 'config')
    await self.rows.change(writes=[(key, json.dumps(config).encode())])
    self.record.note(f'configuration {self.version} is acknowledged')

  async def add_engine(self, service: str, *, port: int = 0) -> Engine:
    """Starts an engine and records it in the store."""
    number = len(self.engines)
    engine = Engine(
      id=f'i-{service}-{number}',
      service=service,
      zone=self.zones[number % 3],
      host=f'{self._net}.{100 + number}',
      record=self.record,
    )
    self.engines.append(engine)
    await engine.start(port)
    await self.write_engine(engine)
    return engine

  async def write_engine(self, engine: Engine) -> None:
    """Writes the entry of an engine."""
    key = rows.Key('servers', '', engine.id)
    await self.rows.change(writes=[(key, engine.make_row())])

  async def remove_engine(self, engine: Engine) -> None:
    """Removes the entry of an engine."""
    await self.rows.change(removes=[rows.Key('servers', '', engine.id)])

  async def close(self) -> None:
    """Ends all processes that were started, and all stand-ins."""
    for daemon in self.daemons:
      if daemon.is_running:
        daemon.process.kill()
        daemon.process.wait()
    for engine in self.engines:
      await engine.stop()
    if self._runner is not None:
      await self._runner.cleanup()
    if keep := os.environ.get('KEEP_LOGS'):
      for path in self.folder.glob('*.log'):
        pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
    self._temporary.cleanup()


class CannotRun(Exception):
  """Raised if a case cannot run."""


def make_route(
  name: str, prefix: str, kind: str, service: str, **options: Any
) -> dict[str, Any]:
  """Returns a route of the configuration."""
  return {
    'name': name,
    'host': 'site.example',
    'path_prefix': prefix,
    'kind': kind,
    'service': service,
    'timeout_ms': 4000,
    'target_latency_ms': 250,
    'gap_aim_ms': 200 if kind == 'stream' else 0,
    'priority': 1,
    'max_attempts': 2,
    'retention_s': 60.0,
    **options,
  }


def make_id() -> str:
  """Returns a request id."""
  return f'{random.getrandbits(64):016x}'


class Answer:
  """What a client received; `is_whole` tells whether all of it came."""

  def __init__(self) -> None:
    self.status = 0
    self.head: dict[str, str] = {}
    self.body = b''
    self.is_whole = False
    self.error = ''


class Client:
  """A client's connection to one daemon, kept for many requests."""

  def __init__(self, host: str) -> None:
    self._host = host
    self.reader: asyncio.StreamReader | None = None
    self.writer: asyncio.StreamWriter | None = None

  async def call(
    self,
    method: str,
    path: str,
    *,
    id: str = '',
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    deadline: float = 4.0,
  ) -> Answer:
    """Sends a request and returns what comes until the deadline."""
    answer = Answer()
    fields = {
      'Host': 'site.example',
      'Request-Id': id or make_id(),
      'Deadline-Ms': str(int(deadline * 1000)),
      **(headers or {}),
    }
    if body or method == 'POST':
      fields['Content-Length'] = str(len(body))
    text = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    try:
      async with asyncio.timeout(deadline):
        if self.writer is None or self.writer.is_closing():
          self.reader, self.writer = await asyncio.open_connection(
            self._host, FRONT, limit=1 << 20
          )
        self.writer.write(f'{method} {path} HTTP/1.1\r\n{text}\r\n'.encode())
        self.writer.write(body)
        await self.writer.drain()
        await self._read(answer)
    except (OSError, EOFError, TimeoutError, ValueError) as error:
      answer.error = type(error).__name__
    if not answer.is_whole or answer.head.get('connection') == 'close':
      self.close()
    return answer

  async def _read(self, answer: Answer) -> None:
    line, answer.head, size = await read_head(self.reader)
    answer.status = int(line.split()[1])
    if answer.head.get('transfer-encoding') == 'chunked':
      while True:
        length = int(await self.reader.readline(), 16)
        answer.body += await self.reader.readexactly(length)
        await self.reader.readexactly(2)
        if not length:
          break
    elif 'content-length' in answer.head:
      answer.body = await self.reader.readexactly(size)
    else:
      answer.body = await self.reader.read()
    answer.is_whole = True

  def close(self) -> None:
    """Closes the connection."""
    if self.writer is not None:
      self.writer.close()
    self.reader = self.writer = None


def run(
  case: Callable[[Site], Awaitable[int]],
  folder: pathlib.Path,
  *,
  seconds: float = 112.0,
  **options: Any,
) -> None:
  """Runs a case and exits with its result: 0 held, 1 broken, 2 could not run."""

  async def play() -> int:
    site = Site(folder, **options)
    try:
      async with asyncio.timeout(seconds):
        return await case(site)
    except Exception as error:
      # Whatever stops a script shows nothing of the rule.
      site.record.note(f'the case could not run: {error!r}')
      return UNABLE
    finally:
      await site.close()

  signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNABLE))
  code = asyncio.run(play())
  sys.stdout.flush()
  # What is left of closed connections need not be collected.
  os._exit(code)
