"""Real daemon processes between calm instances and raw callers.

The path of a request tells an instance for how long to work on it:
`/look/0.5` is answered after half a second.
"""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp
from aiohttp import web
from fleet_soak import daemons
from fleet_soak import network
import msgspec

from woadrun.connection import rows
from woadrun.platform import standin
from woadrun.standins import rows as memory

KINDS = {'chat': 'stream', 'act': 'non_idempotent', 'look': 'idempotent'}
TIMEOUT_SECONDS = 5.0
READY_SECONDS = 30.0
MAX_BODY_BYTES = 16 * 1024 * 1024


class Instance:
  """An instance that works for as long as the path of a request says.

  `runs` has the time at which it began each request, by request id,
  `body_by_turn` the bodies of turns, and `lost` the requests whose connections
  closed before it had answered.
  """

  def __init__(self, id):
    self.id = id
    self.runs = {}
    self.body_by_turn = {}
    self.lost = set()
    self.respond = respond
    self._server = None
    self._tasks = set()

  async def start(self, host):
    self._server = await asyncio.start_server(self._serve, host, 0)
    self.address = f'{host}:{self._server.sockets[0].getsockname()[1]}'

  def stop(self):
    self._server.close()
    for task in self._tasks:
      task.cancel()

  async def _serve(self, reader, writer):
    task = asyncio.current_task()
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)
    request = ''
    try:
      while True:
        request = ''
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        line, *fields = head.splitlines()[:-1]
        parts = (field.partition(':') for field in fields)
        headers = {name.lower(): value.strip() for name, _, value in parts}
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        request = headers.get('request-id', '')
        if line.startswith('POST /chat'):
          self.body_by_turn[request] = body
        self.runs.setdefault(request, []).append(time.monotonic())
        await self.respond(self, writer, line.split()[1], request)
        await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
      if request:
        self.lost.add(request)
    finally:
      writer.close()


def make_head(instance, request, *lines):
  """Returns the head of a signed response, without the empty line."""
  fields = (
    'HTTP/1.1 200 OK',
    f'Request-Id: {request}',
    f'Server-Signature: s.{instance.id}.{request}',
    *lines,
  )
  return ''.join(f'{field}\r\n' for field in fields).encode()


async def respond(instance, writer, path, request):
  """Answers after the time in the path, a stream with two events."""
  seconds = float(path.rpartition('/')[2] or 0)
  if path.startswith('/chat'):
    body = f'id: 0\ndata: {request}\n\n'.encode()
    lines = ('Content-Type: text/event-stream', 'Content-Length: %d')
    head = make_head(
      instance, request, lines[0], f'Content-Length: {2 * len(body)}'
    )
    await asyncio.sleep(seconds / 2)
    writer.write(head + b'\r\n' + body)
    await asyncio.sleep(seconds / 2)
    writer.write(body)
    return
  await asyncio.sleep(seconds)
  body = f'done {request}'.encode()
  head = make_head(instance, request, f'Content-Length: {len(body)}')
  writer.write(head + b'\r\n' + body)


@dataclasses.dataclass(kw_only=True)
class Answer:
  """What a caller saw: `status` is 0 without a complete answer."""

  request: str
  began: float
  sent: float = 0.0
  ended: float = 0.0
  status: int = 0
  head: str = ''
  body: bytes = b''

  @property
  def is_not_run(self):
    """Whether the answer promises that the request has not run."""
    return self.status in (408, 421, 429, 503)


class Site:
  """The store, instances and daemons; daemons are processes of their own."""

  def __init__(
    self, folder, *, memory_mb=None, grace=8.0, count=2, faulty=(),
    domains=('north',),
  ):  # fmt: skip
    """`faulty` has the addresses of instances of the routes `/bad-...`.

    Daemon n is in the failure domain n of `domains`, which begin again.
    """
    self._faulty = faulty
    self.hosts = network.Network()
    self.store = memory.MemoryRowStore()
    self.instances = []
    self.daemons = [
      daemons.Daemon(
        number=n,
        domain=domains[n % len(domains)],
        folder=folder,
        host=self.hosts.get_host(3, n),
        grace=grace,
        memory_mb=memory_mb,
      )
      for n in range(count)
    ]
    self._ids = 0
    self._stack = contextlib.AsyncExitStack()

  async def __aenter__(self):
    application = standin.StoreServer(kept=self.store).make_application()
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    self._stack.callback(self.hosts.close)
    self._stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, self.hosts.get_host(1, 0), 0).start()
    self.store_address = runner.addresses[0][:2]
    await self.configure()
    for n in range(3):
      await self.add_instance(n)
    for n, address in enumerate(self._faulty):
      await self._write_instance(f'bad-{n}', 'faulty', address)
    for daemon in self.daemons:
      self._stack.push_async_callback(self._end, daemon)
      await daemon.start(self.store_address)
    await self.wait_ready()
    return self

  async def __aexit__(self, *error):
    for instance in self.instances:
      instance.stop()
    await self._stack.aclose()

  async def _end(self, daemon):
    await daemon.kill()
    await daemon.link.stop()

  async def wait_ready(self):
    async with aiohttp.ClientSession() as session:
      async with asyncio.timeout(READY_SECONDS):
        for daemon in self.daemons:
          while not await daemon.is_ready(session):
            await asyncio.sleep(0.05)

  async def configure(self, *, timeout=TIMEOUT_SECONDS):
    config = {
      'version': 3,
      'limits': {'max_body_bytes': MAX_BODY_BYTES},
      'routes': [
        {
          'name': prefix + name,
          'host': 'site',
          'path_prefix': f'/{prefix}{name}/',
          'kind': kind,
          'service': service,
          'timeout_ms': timeout * 1000,
          'max_attempts': 2,
          'retention_s': 60.0,
          'retain_history': name == 'chat',
        }
        for prefix, service in (('', 'work'), ('bad-', 'faulty'))
        for name, kind in KINDS.items()
      ],
      'services': [
        {'name': name, 'engine': {'tokens_per_event': 1}}
        for name in ('work', 'faulty')
      ],
    }
    key = rows.Key('op', '', 'config')
    await self.store.change(writes=[(key, msgspec.json.encode(config))])

  async def add_instance(self, number):
    instance = Instance(f'i-{number}')
    await instance.start(self.hosts.get_host(2, number))
    self.instances.append(instance)
    await self._write_instance(instance.id, 'work', instance.address)

  async def _write_instance(self, id, service, address):
    entry = {
      'service': service,
      'address': address,
      'zone': 'north',
      'slots': 500,
      'state': 'ready',
    }
    key = rows.Key('servers', '', id)
    await self.store.change(writes=[(key, msgspec.json.encode(entry))])

  def has_run(self, request):
    return any(request in instance.runs for instance in self.instances)

  def make_head(self, kind, work, *, size, fields=(), timeout=TIMEOUT_SECONDS):
    """Returns an id and the head of a request with a body of `size` bytes."""
    self._ids += 1
    id = f'{self._ids:016x}'
    lines = [
      f'POST /{kind}/{work} HTTP/1.1',
      'Host: site',
      f'Request-Id: {id}',
      f'Deadline-Ms: {int(timeout * 1000)}',
      f'Content-Length: {size}',
      *fields,
    ]
    if kind == 'chat':
      lines += [f'Program-Id: p{id}', f'Session-Id: s{id}']
      lines += ['Token-Usage: 10,8', 'Token-Budget: 100']
    return id, ('\r\n'.join(lines) + '\r\n\r\n').encode()

  async def connect(self, daemon):
    return await asyncio.open_connection(daemon.host, daemons.FRONT_PORT)

  async def send(
    self, daemon, kind, work, *, pause=0.0, body=b'body', connection=None,
    head_pause=0.0,
  ):  # fmt: skip
    """Sends a head and, `pause` seconds later, the body; reads the answer.

    With `head_pause` the head is sent in two parts.
    """
    id, head = self.make_head(kind, work, size=len(body))
    answer = Answer(request=id, began=time.monotonic())
    try:
      reader, writer = connection or await self.connect(daemon)
    except OSError:
      answer.ended = time.monotonic()
      answer.began = 0.0
      return answer
    try:
      if head_pause:
        writer.write(head[:20])
        await writer.drain()
        await asyncio.sleep(head_pause)
        head = head[20:]
      writer.write(head)
      await writer.drain()
      if pause:
        await asyncio.sleep(pause)
      writer.write(body)
      await writer.drain()
      answer.sent = time.monotonic()
      await read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError):
      answer.status = 0
    answer.ended = time.monotonic()
    if connection is None:
      writer.transport.abort()
    return answer


async def read_answer(reader, answer):
  """Reads an answer; raises if it is truncated."""
  head = (await reader.readuntil(b'\r\n\r\n')).decode()
  answer.head = head
  fields = head.lower()
  if 'transfer-encoding: chunked' in fields:
    while size := int(await reader.readuntil(b'\r\n'), 16):
      answer.body += await reader.readexactly(size)
      await reader.readexactly(2)
    await reader.readexactly(2)
  elif 'content-length: ' in fields:
    size = int(fields.split('content-length: ')[1].split()[0])
    answer.body = await reader.readexactly(size)
  answer.status = int(head.split()[1])
