"""The environment of the daemons: the store and the instances of services."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random
import time
from typing import Any

from aiohttp import web
import msgspec

from fleet_soak import contradictions
from fleet_soak import endless
from fleet_soak import network
from fleet_soak import proxy
from fleet_soak import responses
from fleet_soak import sockets
from woadrun.connection import rows
from woadrun.platform import standin
from woadrun.process.store import turn_store
from woadrun.standins import rows as memory

# Path prefixes of the routes.
CHAT, ACT, LOOK = '/chat/', '/act/', '/look/'
# Turns with a single attempt.
CHAT_ONCE = f'{CHAT}once/'
PATHS = (CHAT, CHAT_ONCE, ACT, LOOK)
SLOTS = 16
# A request to a path with this in it ends the instance that runs it: with a
# reset, in silence, or with a reset after its row was removed or tells that it
# drains.  Others are replaced by another process at the same address, accept
# connections without an answer, or lose the connection and end later.
FATAL = 'fatal'
# Part of the paths of requests whose responses do not end, before their shape.
UNENDING = 'unending'
RESET, SILENT, REMOVED, DRAINING = 'reset', 'silent', 'removed', 'draining'
IN_PLACE, MUTE, LATE = 'place', 'mute', 'late'
ENDS = (RESET, SILENT, REMOVED, DRAINING, IN_PLACE, MUTE, LATE)
# Ends of which a daemon learns only as its caller gives up.
UNSEEN_ENDS = (SILENT, MUTE)
# Range of the time from the change of the row to the end.
DEPARTURE_SECONDS = (0.05, 1.0)
# Range of the time from a lost connection to the end of a late one.
LATE_SECONDS = (0.3, 3.0)
# Share of requests whose response never ends, and how many bytes of one may be
# read, with those that the kernel holds.
ENDLESS_SHARE = 0.01
MAX_ENDLESS_BYTES = 32 * 1024 * 1024
HEALTH = '/health'
# Ranges of the time for which such a request runs, and for which the row of an
# ended instance stays in the store.
FATAL_SECONDS = (0.01, 0.1)
STALE_ROW_SECONDS = (0.0, 5.0)
DRAIN_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
  """A request that an instance started to run."""

  request: str
  instance: str
  service: str
  path: str
  body: bytes
  at: float


class Instance:
  """An instance of a service, behind a proxy of its own.

  `response_by_request` has the latest response to each request, `lost_requests`
  those that were running when the instance ended, which is at `ended_at`.
  `contradicted_requests` are those that it ran and answered with what must not
  reach a caller.
  `endless_bytes_by_request` counts what was sent of responses without end.
  """

  def __init__(
    self,
    *,
    id: str,
    service: str,
    host: str,
    rng: random.Random,
    on_fatal_request: Callable[[Instance, str], None],
  ) -> None:
    self.id = id
    self.on_fatal_request = on_fatal_request
    self.service = service
    self.host = host
    self.runs: list[Run] = []
    self.response_by_request: dict[str, responses.Response] = {}
    self.drained_at: float | None = None
    # Whether a fatal request ends it after its row has changed.
    self.is_leaving = False
    self.is_silent = False
    self.ended_at: float | None = None
    self.lost_requests: set[str] = set()
    self.contradicted_requests: set[str] = set()
    self.endless_bytes_by_request: collections.Counter[str] = (
      collections.Counter()
    )
    self._running: set[str] = set()
    self._rng = rng
    self._fault_rng = random.Random(f'faults of {id}')
    self._server: asyncio.Server | None = None
    self._tasks: set[asyncio.Task[None]] = set()
    self.proxy: proxy.Proxy | None = None

  async def start(self, *, proxy_port: int = 0) -> None:
    """Starts the server and its proxy."""
    self._server = await asyncio.start_server(self._serve, self.host, 0)
    port = self._server.sockets[0].getsockname()[1]
    self.proxy = proxy.Proxy(target=(self.host, port))
    await self.proxy.start(self.host, proxy_port)

  async def stop(self) -> None:
    """Stops the proxy and the server."""
    await self.proxy.stop()
    self._server.close()
    for task in list(self._tasks):
      task.cancel()

  async def end(
    self, *, is_silent: bool = False, is_listening: bool = False
  ) -> None:
    """Ends the instance: resets its connections and refuses new ones.

    One that `is_silent` leaves its connections open, and answers nothing.  If
    it `is_listening`, new connections open.
    """
    if self.ended_at is not None:
      return
    self.ended_at = time.monotonic()
    self.lost_requests |= self._running
    if not is_silent:
      await self.stop()
      return
    self.is_silent = True
    self.proxy.go_silent(is_listening=is_listening)
    self._server.close()

  def get_row(self, domain: str, *, is_draining: bool = False) -> bytes:
    """Returns the instance's row in the platform's list of instances."""
    entry = {
      'service': self.service,
      'address': self.proxy.address,
      'zone': domain,
      'slots': SLOTS,
      'state': 'draining' if is_draining or self.drained_at else 'ready',
    }
    return msgspec.json.encode(entry)

  async def _serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    task = asyncio.current_task()
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)
    surplus: bytes | None = b''
    try:
      while surplus is not None:
        surplus = await self._answer(reader, writer, surplus)
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
      # The daemon has closed the connection, or the instance is stopping.
      return
    finally:
      writer.close()

  async def _answer(
    self,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    surplus: bytes,
  ) -> bytes | None:
    """Answers a request, after it has sent the surplus of the one before.

    Returns what to send in the place of the next response, or None if the
    connection ends.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    request_line, *lines = head.splitlines()[:-1]
    fields = (line.partition(':') for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    writer.write(surplus)
    request = headers.get('request-id', '')
    echo = {'Request-Id': request}
    refusal = responses.Response(parts=(), is_stream=False)
    if headers.get('expect-instance') != self.id:
      echo[contradictions.INSTANCE] = self.id
      return await self._write(writer, refusal, echo, status=421)
    path = request_line.split()[1]
    if path == HEALTH:
      writer.write(
        f'HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n'
        'Content-Length: 0\r\n\r\n'.encode()
      )
      return b''
    if self._fault_rng.random() < responses.REFUSED_SHARE:
      if self._fault_rng.random() < contradictions.MISDIRECTED_SHARE:
        echo[contradictions.INSTANCE] = f'not-{self.id}'
        return await self._write(writer, refusal, echo, status=421)
      echo['Not-Executed'] = '1'
      return await self._write(writer, refusal, echo, status=503)
    run = Run(
      request=request,
      instance=self.id,
      service=self.service,
      path=path,
      body=body,
      at=time.monotonic(),
    )
    self.runs.append(run)
    echo['Server-Signature'] = f'{self.service}.{self.id}.{request}'
    is_stream = run.path.startswith(CHAT)
    contradiction = self._draw_contradiction(run, echo)
    if contradiction is None or contradiction.is_success:
      response = self._draw_response(request, is_stream=is_stream)
    else:
      response = responses.draw_failure(self._fault_rng, request)
    self._running.add(request)
    try:
      if UNENDING in path:
        await self._write_shape(writer, path, request, echo)
        return None
      if FATAL in path:
        await self._end_under(writer, path)
      if contradiction is not None:
        return await self._write(
          writer, response, contradiction.headers, status=contradiction.status
        )
      if self._fault_rng.random() < ENDLESS_SHARE:
        await self._write_without_end(writer, request, echo)
        return None
      return await self._write(writer, response, echo)
    finally:
      self._running.discard(request)

  async def _end_under(self, writer: asyncio.StreamWriter, path: str) -> None:
    await asyncio.sleep(self._rng.uniform(*FATAL_SECONDS))
    self.on_fatal_request(self, path)
    if LATE in path:
      sockets.reset(writer)
      raise ConnectionResetError
    # The end of the instance cancels this task.
    await asyncio.Event().wait()

  def _draw_contradiction(
    self, run: Run, headers: dict[str, str]
  ) -> contradictions.Contradiction | None:
    """Returns what contradicts the run in its answer, None in most cases."""
    if FATAL in run.path or UNENDING in run.path:
      return None
    contradiction = contradictions.draw(
      self._fault_rng,
      request=run.request,
      instance=self.id,
      signature=headers[contradictions.SIGNATURE],
      is_turn=run.path.startswith(CHAT),
    )
    if contradiction is not None and not contradiction.is_answer:
      self.contradicted_requests.add(run.request)
    return contradiction

  async def _write_without_end(
    self, writer: asyncio.StreamWriter, request: str, headers: dict[str, str]
  ) -> None:
    self.lost_requests.add(request)
    own = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    heads = endless.Heads(
      own=f'HTTP/1.1 200 OK\r\n{own}',
      other='HTTP/1.1 200 OK\r\nRequest-Id: other\r\n',
    )
    shapes = endless.make_shapes(heads)
    shape = shapes[self._fault_rng.choice(sorted(shapes))]

    def count(size: int) -> None:
      self.endless_bytes_by_request[request] += size

    await endless.send(writer, shape, on_sent=count)

  async def _write_shape(
    self,
    writer: asyncio.StreamWriter,
    path: str,
    request: str,
    headers: dict[str, str],
  ) -> None:
    """Writes bytes without end, of the shape that the path names."""
    self.lost_requests.add(request)
    own = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    own = f'HTTP/1.1 200 OK\r\n{own}'
    other = 'HTTP/1.1 200 OK\r\nRequest-Id: other\r\n'
    shapes = {
      **endless.make_shapes(endless.Heads(own=own, other=other)),
      **endless.make_body_shapes(own),
    }
    name = path.partition(f'{UNENDING}-')[2].replace('-', ' ')
    await endless.send(writer, shapes[name])

  async def _write(
    self,
    writer: asyncio.StreamWriter,
    response: responses.Response,
    headers: dict[str, str],
    *,
    status: int = 200,
  ) -> bytes | None:
    """Writes a response; returns the same as `_answer`."""
    is_short = response.is_stream or not response.parts
    stays_open = await responses.write(
      writer,
      response,
      headers=headers,
      pause=self._pause_briefly if is_short else self._pause,
      status=status,
    )
    if not stays_open:
      return None
    if self._fault_rng.random() >= responses.SURPLUS_SHARE:
      return b''
    if self._fault_rng.random() < contradictions.ANONYMOUS_SURPLUS_SHARE:
      headers = {
        name: value
        for name, value in headers.items()
        if name != contradictions.ID
      }
    return responses.encode(response, headers=headers, status=status)

  def _draw_response(
    self, request: str, *, is_stream: bool
  ) -> responses.Response:
    events = (
      f'id: {number}\ndata: {request}-{number}\n\n'.encode()
      for number in range(self._rng.randint(2, 6))
    )
    parts = tuple(events) if is_stream else (f'done {request}'.encode(),)
    response = responses.draw(self._rng, parts, is_stream=is_stream)
    self.response_by_request[request] = response
    return response

  async def _pause_briefly(self) -> None:
    await asyncio.sleep(self._rng.uniform(0.01, 0.06))

  async def _pause(self) -> None:
    await asyncio.sleep(self._rng.uniform(0.01, 0.15))


class Outside:
  """The store and all instances; writes changes of both to the store."""

  def __init__(
    self, *, domains: tuple[str, ...], seed: int, hosts: network.Network
  ) -> None:
    self._hosts = hosts
    self.memory_rows = memory.MemoryRowStore()
    self.instances: list[Instance] = []
    self._tasks: set[asyncio.Task[None]] = set()
    self._domains = domains
    self._rng = random.Random(f'outside/{seed}')
    self._runner: web.AppRunner | None = None
    self.store_address = ('', 0)
    self.version = 0
    # Tuples of acknowledgement time, version, and service of the action route.
    self.configs: list[tuple[float, int, str]] = []

  async def start(self) -> None:
    """Starts the store and three instances of each service."""
    await self.start_store(self._hosts.get_host(1, 0))
    await self.configure('tools')
    for service in ('models', 'tools', 'other'):
      for _ in range(3):
        await self.add(service)

  async def start_store(self, host: str) -> None:
    """Starts the store; its address is `store_address` then."""
    application = standin.StoreServer(kept=self.memory_rows).make_application()
    self._runner = web.AppRunner(
      application, access_log=None, shutdown_timeout=0.1
    )
    await self._runner.setup()
    await web.TCPSite(self._runner, host, 0).start()
    self.store_address = self._runner.addresses[0][:2]

  async def stop_store(self) -> None:
    """Stops the store."""
    await self._runner.cleanup()

  async def stop(self) -> None:
    """Stops all instances and the store."""
    for task in self._tasks:
      task.cancel()
    for instance in self.instances:
      if instance.ended_at is None or instance.is_silent:
        await instance.stop()
    await self.stop_store()

  @property
  def runs(self) -> list[Run]:
    """All requests that instances started to run so far."""
    return [run for item in self.instances for run in item.runs]

  @property
  def truncated_requests(self) -> set[str]:
    """The requests with a response that an instance truncated."""
    return {
      request
      for item in self.instances
      for request, response in item.response_by_request.items()
      if response.is_truncated
    } | {request for item in self.instances for request in item.lost_requests}

  @property
  def contradicted_requests(self) -> set[str]:
    """The requests that ran, with an answer that must not reach a caller."""
    return {
      request
      for item in self.instances
      for request in item.contradicted_requests
    }

  async def configure(self, service: str) -> None:
    """Writes a configuration that routes actions to a service."""
    self.version += 3
    config = {
      'version': self.version,
      'routes': [
        _make_route('chat', CHAT, 'stream', 'models', retain_history=True),
        _make_route(
          'chat-once',
          CHAT_ONCE,
          'stream',
          'models',
          retain_history=True,
          max_attempts=1,
        ),
        _make_route('act', ACT, 'non_idempotent', service),
        _make_route('look', LOOK, 'idempotent', 'tools'),
      ],
      'services': [
        {
          'name': 'models',
          'health_check_path': HEALTH,
          'engine': {'tokens_per_event': 1},
        },
        {'name': 'tools', 'health_check_path': HEALTH},
        {'name': 'other', 'health_check_path': HEALTH},
      ],
    }
    key = rows.Key('op', '', 'config')
    await self._write([(key, msgspec.json.encode(config))])
    self.configs.append((time.monotonic(), self.version, service))

  async def add(self, service: str, *, at: Instance | None = None) -> None:
    """Starts an instance, maybe at the address of another; writes its row."""
    number = len(self.instances)
    instance = Instance(
      id=f'i-{number}',
      service=service,
      host=at.host if at else self._hosts.get_host(2, number),
      rng=self._rng,
      on_fatal_request=self._start_ending,
    )
    self.instances.append(instance)
    port = int(at.proxy.address.rpartition(':')[2]) if at else 0
    await instance.start(proxy_port=port)
    await self._write_row(instance)

  def _start_ending(self, instance: Instance, path: str) -> None:
    end = next((item for item in ENDS if item in path), RESET)
    task = asyncio.ensure_future(self._end(instance, end))
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)

  async def _end(self, instance: Instance, end: str) -> None:
    """Ends an instance, starts another one and later removes the row."""
    if instance.ended_at is not None or instance.is_leaving:
      return
    if end == LATE:
      await asyncio.sleep(self._rng.uniform(*LATE_SECONDS))
      if instance.ended_at is not None or instance.is_leaving:
        return
    key = rows.Key('servers', '', instance.id)
    if end in (REMOVED, DRAINING):
      instance.is_leaving = True
      await self.add(instance.service)
      if end == REMOVED:
        await self.change_rows(removes=[key])
      else:
        await self._write([(key, self._make_row(instance, is_draining=True))])
      await asyncio.sleep(self._rng.uniform(*DEPARTURE_SECONDS))
    await instance.end(is_silent=end in UNSEEN_ENDS, is_listening=end == MUTE)
    if not instance.is_leaving:
      await self.add(instance.service, at=instance if end == IN_PLACE else None)
    await asyncio.sleep(self._rng.uniform(*STALE_ROW_SECONDS))
    await self.change_rows(removes=[key])

  async def replace(self, service: str) -> None:
    """Drains a random instance of a service after it adds a new one."""
    candidates = [
      item
      for item in self.instances
      if item.service == service
      and item.drained_at is None
      and item.ended_at is None
      and not item.is_leaving
    ]
    await self.add(service)
    instance = self._rng.choice(candidates)
    instance.drained_at = time.monotonic()
    await self._write_row(instance)
    instance.drained_at = time.monotonic()

  async def _write_row(self, instance: Instance) -> None:
    key = rows.Key('servers', '', instance.id)
    await self._write([(key, self._make_row(instance))])

  def _make_row(
    self, instance: Instance, *, is_draining: bool = False
  ) -> bytes:
    number = self.instances.index(instance)
    domain = self._domains[number % len(self._domains)]
    return instance.get_row(domain, is_draining=is_draining)

  async def _write(self, writes: list[tuple[rows.Key, bytes]]) -> None:
    await self.change_rows(writes=writes)

  def has_turn(self, request: str) -> bool:
    """Returns whether the store has a turn, even while it is out."""
    return any(
      rows.Key(turn_store.TABLE, part, request) in self.memory_rows.row_by_key
      for part in turn_store.get_parts(request)
    )

  async def change_rows(self, **options: Any) -> None:
    """Changes rows of the store, whatever faults it has."""
    # The operator's writes succeed despite faults of the store.
    memory_rows = self.memory_rows
    was_out, memory_rows.is_out = memory_rows.is_out, False
    lost, memory_rows.loses_answers = memory_rows.loses_answers, False
    delay, memory_rows.delay = memory_rows.delay, 0.0
    await memory_rows.change(**options)
    memory_rows.is_out, memory_rows.loses_answers, memory_rows.delay = (
      was_out,
      lost,
      delay,
    )


def _make_route(name, prefix, kind, service, **options):
  return {
    'name': name,
    'host': 'soak',
    'path_prefix': prefix,
    'kind': kind,
    'service': service,
    'timeout_ms': 5000,
    'max_attempts': 2,
    'retention_s': 60.0,
    **options,
  }
