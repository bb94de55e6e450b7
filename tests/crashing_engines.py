"""Instances that end when they run a marked request, for tests."""

import asyncio
import contextlib
import itertools
import time

import msgspec
import nodes

from woadrun.connection import rows
from woadrun.request import exchange

# A request whose body contains this ends the instance that runs it.
MARK = b'fatal'


class CrashingEngines(nodes.Engines):
  """Instances of two services, of which a marked request ends each one.

  An instance that ends loses the responses of all requests that it runs, and
  its address refuses connections.  Its entry is removed after `entry_seconds`,
  and another instance starts at once.  With `loses_connections`, a marked
  request resets its connection and the instance lives on.  With `is_silent`, an
  instance that ends resets nothing: its connections stay silent.  With
  `refuses_probes` all instances refuse probes.
  With `ends_with_connection` responses have no length, and the lost rest of one
  looks like its end.
  With `leaves` an instance first changes its entry, and ends `leave_seconds`
  later: the entry is `removed` or tells that it is `draining`.
  With `restarts_in_place` another process starts at the address of one that
  ended, so that probes without a health path open a connection.  With
  `end_seconds` a marked request loses its connection, and its instance lives on
  for as long before it ends.  `is_mute` instances that end go on to accept
  connections without an answer.  `run_times` has the start of each marked run,
  `end_times` those of the ends that marked requests caused.
  `ended_by_body` lists the instances that ended under each body, marked or not.
  """

  def __init__(
    self,
    *,
    entry_seconds=0.0,
    loses_connections=False,
    leaves='',
    leave_seconds=0.3,
    is_silent=False,
    ends_with_connection=False,
    restarts_in_place=False,
    end_seconds=None,
    is_mute=False,
  ):
    super().__init__()
    self.restarts_in_place = restarts_in_place
    self.end_seconds = end_seconds
    self.is_mute = is_mute
    self.run_times = []
    self.end_times = []
    self.leaves = leaves
    self.leave_seconds = leave_seconds
    self.entry_seconds = entry_seconds
    self.loses_connections = loses_connections
    self.has_head = False
    self.is_silent = is_silent
    self.ends_with_connection = ends_with_connection
    self.refuses_probes = False
    self.seconds = 0.02
    self.ended = []
    self.ended_by_body = {}
    self.shared = None
    self._running_by_id = {}
    self._numbers = itertools.count(1)
    self._tasks = set()

  @contextlib.asynccontextmanager
  async def send(self, sending):
    id = sending.instance.id
    if id in self.ended:
      raise exchange.RequestNotSent('connection refused')
    self.sent.append(sending)
    if MARK in sending.body:
      self.run_times.append(time.monotonic())
    running = self._running_by_id.setdefault(id, {})
    lost = asyncio.get_running_loop().create_future()
    running[lost] = sending.body
    try:
      if MARK in sending.body and not self.has_head:
        await self._run(sending, lost)
        raise AssertionError('A marked request loses its response.')
      if not self.has_head:
        await self._run(sending, lost)
      yield exchange.Reply(
        status=200,
        headers=[],
        has_run=True,
        is_genuine=True,
        chunks=self._stream_or_end(sending, lost),
        ends_with_connection=self.ends_with_connection,
      )
    finally:
      running.pop(lost, None)

  async def _stream_or_end(self, sending, lost):
    yield b'id: 0\ndata: first\n\n'
    if self.has_head:
      try:
        await self._run(sending, lost)
      except exchange.ResponseLost:
        if self.ends_with_connection:
          return
        raise
    yield b'id: 1\ndata: second\n\n'

  async def _run(self, sending, lost):
    """Runs a request; raises `ResponseLost` if its response is lost."""
    await asyncio.wait({lost}, timeout=self.seconds)
    if lost.done():
      raise exchange.ResponseLost('server disconnected')
    if MARK not in sending.body:
      return
    if self.loses_connections:
      raise exchange.ResponseLost('connection reset by peer')
    if self.end_seconds is not None:
      self._start(self._end_later(sending.instance))
      raise exchange.ResponseLost('connection reset by peer')
    if self.leaves:
      await self._leave(sending.instance)
      await asyncio.wait({lost}, timeout=self.leave_seconds)
    self._end_under_request(sending.instance)
    if self.is_silent:
      await asyncio.Event().wait()
    raise exchange.ResponseLost('server disconnected')

  async def probe(self, instance, *, health_path):
    await asyncio.sleep(0.001)
    is_ended = instance.id in self.ended or self.refuses_probes
    if is_ended and (self.is_mute or self.restarts_in_place):
      is_known = self.restarts_in_place and health_path
      return exchange.Liveness.ENDED if is_known else _get_reachable()
    if is_ended and self.is_silent:
      return exchange.Liveness.UNKNOWN
    return exchange.Liveness.ENDED if is_ended else exchange.Liveness.ALIVE

  def end(self, instance):
    """Ends an instance and starts another one of its service."""
    if instance.id in self.ended:
      return
    self.ended.append(instance.id)
    for lost, body in self._running_by_id.get(instance.id, {}).items():
      self.ended_by_body.setdefault(body, []).append(instance.id)
      if not lost.done():
        lost.set_result(None)
    self._start(self._replace(instance))

  def _start(self, work):
    task = asyncio.ensure_future(work)
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)

  def _end_under_request(self, instance):
    if instance.id not in self.ended:
      self.end_times.append(time.monotonic())
    self.end(instance)

  async def _end_later(self, instance):
    await asyncio.sleep(self.end_seconds)
    self._end_under_request(instance)

  def count_sent_after(self, ended):
    """Returns the marked runs that began after that many instances ended."""
    if len(self.end_times) < ended:
      return 0
    limit = self.end_times[ended - 1]
    return sum(at > limit for at in self.run_times)

  async def add(self, service, *, domain='north'):
    """Starts another instance of a service."""
    entry = nodes.make_entry(service=service, zone=domain)
    name = f'{service}-{next(self._numbers)}'
    await self.shared.change(
      writes=[(rows.Key('servers', '', name), msgspec.json.encode(entry))]
    )

  async def _leave(self, instance):
    """Changes the entry of an instance that goes on for a while."""
    key = rows.Key('servers', '', instance.id)
    if self.leaves == 'removed':
      await self.shared.change(removes=[key])
      return
    entry = nodes.make_entry(
      service=instance.service, zone=instance.domain, state='draining'
    )
    await self.shared.change(writes=[(key, msgspec.json.encode(entry))])

  async def _replace(self, instance):
    await self.add(instance.service, domain=instance.domain)
    await asyncio.sleep(self.entry_seconds)
    await self.shared.change(removes=[rows.Key('servers', '', instance.id)])


def _get_reachable():
  # Earlier versions, which are measured with these instances, do not have it.
  liveness = exchange.Liveness
  return getattr(liveness, 'REACHABLE', liveness.UNKNOWN)


@contextlib.asynccontextmanager
async def make_fleet(*names, config=nodes.CONFIG, **options):
  """Returns a context with started daemons before such instances."""
  async with nodes.Nodes(config=config) as fleet:
    fleet.engines = CrashingEngines(**options)
    fleet.engines.shared = fleet.shared
    await fleet.start(*names)
    yield fleet
