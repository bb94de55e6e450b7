"""A server of a service: slots, a short queue, refusals, kept connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random
import time

from standins import platform
from standins import record

HEARTBEAT_SECONDS = 1.2
# A health check takes a slot like a request, or is refused like one.
HEALTH = '/health'
# Time after which a server closes an idle connection.
IDLE_SECONDS = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
  """A request that a server began to work on."""

  request: str
  server: str
  body: bytes
  at: float


@dataclasses.dataclass(kw_only=True)
class Answer:
  """An answer to a request; `events` are sent one by one as a stream."""

  status: int = 200
  body: bytes = b''
  events: tuple[bytes, ...] = ()
  has_run: bool = True


class Server:
  """One server.

  `work` does a request's work and returns the answer.  With `get_surplus`, a
  function of the answer just sent, a second copy of that answer is sent on the
  same connection in the place of the next one due, if the function says so.
  """

  def __init__(
    self,
    *,
    id: str,
    service: str,
    zone: str,
    slots: int,
    queue: int,
    kept: record.Record,
    work: Callable[[Run], Awaitable[Answer]],
    is_surplus_due: Callable[[], bool] = lambda: False,
  ) -> None:
    self.id = id
    self.runs: list[Run] = []
    self.refusals = 0
    self.surpluses: list[str] = []
    self._service = service
    self._zone = zone
    self._slots = slots
    self._queue = queue
    self._record = kept
    self._work = work
    self._is_surplus_due = is_surplus_due
    self._places = asyncio.Semaphore(slots)
    self._held = 0
    self._beats = 0
    self._tasks: set[asyncio.Task[None]] = set()
    self._address = ''

  async def start(self, host: str, store: platform.Platform) -> None:
    """Listens at a free port and writes its entry from time to time."""
    self._server = await asyncio.start_server(self._serve, host, 0)
    port = self._server.sockets[0].getsockname()[1]
    self._address = f'{host}:{port}'
    await self._beat(store)
    self._keep(asyncio.ensure_future(self._beat_periodically(store)))

  def stop(self) -> None:
    """Stops listening and ends all work."""
    self._server.close()
    for task in list(self._tasks):
      task.cancel()

  def _keep(self, task: asyncio.Task[None]) -> None:
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)

  async def _beat(self, store: platform.Platform) -> None:
    self._beats += 1
    entry = {
      'service': self._service,
      'address': self._address,
      'zone': self._zone,
      'version': 'v1',
      'slots': self._slots,
      'state': 'ready',
      'cold_remaining_ms': 0,
      'call_seq': self._beats,
    }
    await store.put_server(self.id, entry)

  async def _beat_periodically(self, store: platform.Platform) -> None:
    while True:
      await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.9, 1.1))
      await self._beat(store)

  async def _serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    self._keep(asyncio.current_task())
    surplus = b''
    try:
      while True:
        async with asyncio.timeout(IDLE_SECONDS):
          method, path, headers, body = await _read_request(reader)
        if surplus:
          # Late, in the place of the answer that is due now.
          writer.write(surplus)
          await writer.drain()
        answer = await self._answer(path, headers, body)
        request = headers.get('request-id', '')
        data = self._encode(answer, request)
        writer.write(data)
        await writer.drain()
        surplus = b''
        if path != HEALTH and self._is_surplus_due():
          surplus = data
          self.surpluses.append(request)
          self._record.write(
            f'{self.id} will send its answer {answer.status} to {request} '
            'a second time, in the place of the next answer'
          )
    except (TimeoutError, OSError, EOFError, asyncio.CancelledError):
      return
    finally:
      writer.close()

  async def _answer(
    self, path: str, headers: dict[str, str], body: bytes
  ) -> Answer:
    request = headers.get('request-id', '')
    if headers.get('expect-instance', self.id) != self.id:
      return Answer(status=421, has_run=False)
    if not request and path != HEALTH:
      return Answer(status=400, has_run=False)
    if self._held >= self._slots + self._queue:
      self.refusals += 1
      self._record.write(f'{self.id} refuses {request}: full')
      return Answer(status=503, has_run=False)
    self._held += 1
    try:
      async with self._places:
        if path == HEALTH:
          return Answer()
        run = Run(
          request=request, server=self.id, body=body, at=time.monotonic()
        )
        self.runs.append(run)
        self._record.write(f'{self.id} runs {request}')
        return await self._work(run)
    finally:
      self._held -= 1

  def _encode(self, answer: Answer, request: str) -> bytes:
    lines = [
      f'HTTP/1.1 {answer.status} Status',
      f'Request-Id: {request}',
      f'Server-Signature: {self.id}.{request}',
      f'Instance-Id: {self.id}',
    ]
    if not answer.has_run:
      lines.append('Not-Executed: 1')
    body = answer.body
    if answer.events:
      lines.append('Content-Type: text/event-stream')
      body = b''.join(answer.events)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


async def _read_request(
  reader: asyncio.StreamReader,
) -> tuple[str, str, dict[str, str], bytes]:
  head = (await reader.readuntil(b'\r\n\r\n')).decode()
  request_line, *lines = head.split('\r\n')[:-2]
  fields = (line.partition(':') for line in lines)
  headers = {name.lower(): value.strip() for name, _, value in fields}
  body = b''
  if 'chunked' in headers.get('transfer-encoding', ''):
    while size := int(await reader.readuntil(b'\r\n'), 16):
      body += await reader.readexactly(size)
      await reader.readexactly(2)
    await reader.readuntil(b'\r\n')
  else:
    body = await reader.readexactly(int(headers.get('content-length', 0)))
  method, path, _ = request_line.split()
  return method, path, headers, body
