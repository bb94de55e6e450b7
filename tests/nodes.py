"""Daemons in one process that share a row store in memory, for tests."""

import asyncio
import collections
import contextlib
import os
import socket
import time

import aiohttp
import msgspec

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import rows
from woadrun.connection import tcp_connections
from woadrun.platform import discovery
from woadrun.platform import operator
from woadrun.process import node
from woadrun.process.load import request_attempts
from woadrun.process.store import program_rows
from woadrun.process.store import turn_store
from woadrun.request import exchange
from woadrun.standins import rows as standin
from woadrun.version import ledger
from woadrun.version import teams

CONFIG = {
  'version': 1,
  'routes': [
    {
      'name': 'chat',
      'host': 'h',
      'path_prefix': '/chat/',
      'kind': 'stream',
      'service': 'models',
      'timeout_ms': 5000,
      'max_attempts': 2,
      'retain_history': True,
      'retention_s': 60.0,
    },
    {
      'name': 'draft',
      'host': 'h',
      'path_prefix': '/draft/',
      'kind': 'stream',
      'service': 'models',
      'timeout_ms': 5000,
      'max_attempts': 2,
    },
    {
      'name': 'act',
      'host': 'h',
      'path_prefix': '/act/',
      'kind': 'non_idempotent',
      'service': 'tools',
      'max_attempts': 2,
    },
    {
      'name': 'look',
      'host': 'h',
      'path_prefix': '/look/',
      'kind': 'idempotent',
      'service': 'tools',
      'max_attempts': 2,
    },
  ],
  'services': [{'name': 'models', 'engine': {'tokens_per_event': 3}}],
}

DOMAIN_BY_LETTER = {'n': 'north', 's': 'south', 'w': 'west'}

# A fault of `Engines`: the request is never answered.
SILENCE = object()


class View:
  """A daemon's view of the store, which can be cut separately.

  `calls` records the method and the table of each call, `written` the names of
  the rows that were written.
  """

  def __init__(self, shared):
    self.shared = shared
    self.is_cut = False
    self.calls = []
    self.written = []

  async def change(self, **options):
    self._check()
    keys = [key for key, _ in options.get('writes', ())]
    self.calls.extend(('change', key.table) for key in keys[:1])
    outcome = await self.shared.change(**options)
    self.written.extend(key.name for key in keys)
    return outcome

  async def read(self, table, *parts, **options):
    self._check()
    self.calls.append(('read', table))
    return await self.shared.read(table, *parts, **options)

  async def follow(self, table, **options):
    self._check()
    self.calls.append(('follow', table))
    return await self.shared.follow(table, **options)

  def _check(self):
    if self.is_cut:
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE, 'The store rejects this VM.'
      )


class Engines:
  """Instances that answer each request with its id, and record it in `sent`.

  Each of `faults` replaces the answer of one request: an exception is raised, a
  reply is returned, and `SILENCE` never answers.
  """

  def __init__(self):
    self.sent = []
    self.events = 2
    self.faults = []
    # Returns whether the newest chunk is known to be the last one.
    self.is_at_end = lambda: False

  @contextlib.asynccontextmanager
  async def send(self, sending):
    self.sent.append(sending)
    if self.faults:
      fault = self.faults.pop(0)
      if fault is SILENCE:
        await asyncio.Event().wait()
      if isinstance(fault, Exception):
        try:
          raise fault
        finally:
          # Its traceback holds this frame.
          del fault
      yield fault
      return
    yield exchange.Reply(
      status=200,
      headers=[],
      has_run=True,
      is_genuine=True,
      chunks=self._stream(sending.request.id),
      is_at_end=self.is_at_end,
    )

  async def probe(self, instance, *, health_path):
    return exchange.Liveness.ALIVE

  async def _stream(self, id):
    for number in range(self.events):
      await asyncio.sleep(0)
      yield f'id: {number}\ndata: {id}-{number}\n\n'.encode()


def make_reply(*, status=200, has_run=True, is_genuine=True):
  async def stream():
    yield b'body'

  return exchange.Reply(
    status=status,
    headers=[],
    has_run=has_run,
    is_genuine=is_genuine,
    chunks=stream(),
  )


def make_torn_reply():
  """Returns a reply that breaks off after its first event."""

  async def stream():
    yield b'data: x\n\n'
    raise exchange.ResponseLost('reset')

  reply = make_reply()
  reply.chunks = stream()
  return reply


MAX_HELD_PORTS = 256
held_descriptors = collections.deque()


def find_port():
  """Returns a free port, which no other socket is given meanwhile.

  The kernel does not choose a port that a socket is bound to; a server that
  names it and allows its reuse can listen at it.
  """
  held = socket.socket()
  held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
  held.bind(('127.0.0.1', 0))
  port = held.getsockname()[1]
  held_descriptors.append(held.detach())
  if len(held_descriptors) > MAX_HELD_PORTS:
    os.close(held_descriptors.popleft())
  return port


class Nodes:
  """Daemons by name: `n1` in `north`, `s1` in `south`, `w1` in `west`.

  No traffic passes between a domain in `cut` and any other domain.
  """

  def __init__(self, *, config=CONFIG, revocation=None):
    self.config = config
    self.revocation = revocation
    self.shared = standin.MemoryRowStore()
    self.cut = set()
    self.engines = Engines()
    self.view_by_name = {}
    self.by_name = {}
    self._stack = contextlib.AsyncExitStack()

  async def __aenter__(self):
    await self.shared.change(
      writes=[
        _make_config_row(self.config),
        *(
          (rows.Key('servers', '', id), msgspec.json.encode(entry))
          for id, entry in (
            ('e1', _make_default_entry('models')),
            ('e2', _make_default_entry('models')),
            ('t1', _make_default_entry('tools')),
            ('t2', _make_default_entry('tools')),
          )
        ),
      ]
    )
    return self

  async def __aexit__(self, *_):
    await self._stack.aclose()

  async def configure(self, config):
    """Writes a configuration to the store, sealed as by the operator."""
    await self.shared.change(writes=[_make_config_row(config)])

  async def add_instance(self, id, service):
    """Writes the entry of one more instance, for daemons that start later."""
    entry = msgspec.json.encode(_make_default_entry(service))
    await self.shared.change(writes=[(rows.Key('servers', '', id), entry)])

  async def start(self, *names):
    for name in names:
      await self._start(name)
    await self.wait_for_all()

  async def start_alone(self, name, *, address=None):
    """Starts a daemon and returns it without a wait for its readiness."""
    await self._start(name, address=address)
    return self.by_name[name]

  async def _start(self, name, *, address=None):
    session = await self._stack.enter_async_context(
      aiohttp.ClientSession(
        connector=tcp_connections.make_connector(limit=100, keepalive=4.0)
      )
    )
    view = self.view_by_name.setdefault(name, View(self.shared))
    config = node.NodeSettings(
      name=name,
      domain=DOMAIN_BY_LETTER[name[0]],
      callers_address='127.0.0.1:1',
      ready_address='127.0.0.1:1',
      peers_address=address or f'127.0.0.1:{find_port()}',
      store_address='127.0.0.1:1',
      row_bytes=2048,
      grace=3.0,
      revocation=self.revocation,
    )
    started = node.Node(
      config=config,
      session=session,
      binding=node.Binding(
        addresses=tcp_connections.Addresses(),
        store=view,
        upstreams=self.engines,
        table_key=rows.Key('op', '', 'config'),
        instance_table='servers',
        decode_table=operator.decode,
        decode_instance=discovery.decode,
        grace=0.5,
      ),
    )
    self.by_name[name] = started
    self._apply_cuts(started)
    await started.start()
    self._stack.push_async_callback(started.stop)

  def cut_off(self, domain):
    """Cuts a domain off from the store and from all other domains."""
    self.cut.add(domain)
    for name, view in self.view_by_name.items():
      if DOMAIN_BY_LETTER[name[0]] == domain:
        view.is_cut = True

  def heal(self, domain):
    """Ends the cut of a domain."""
    self.cut.discard(domain)
    for name, view in self.view_by_name.items():
      if DOMAIN_BY_LETTER[name[0]] == domain:
        view.is_cut = False

  def _apply_cuts(self, daemon):
    """Makes a daemon's datagrams and messages across a cut fail."""
    send, post = daemon.fleet.datagrams.send, daemon.links.post

    def is_cut(address):
      domains = {daemon.config.domain, self._find_domain(address)}
      return len(domains) > 1 and bool(domains & self.cut)

    def send_unless_cut(address, kind, data):
      if not is_cut(address):
        send(address, kind, data)

    async def post_unless_cut(address, *args, **options):
      if is_cut(address):
        raise peers.NoAnswer(errors.Code.OWNER_UNAVAILABLE, 'Cut off.')
      return await post(address, *args, **options)

    daemon.fleet.datagrams.send = send_unless_cut
    daemon.links.post = post_unless_cut

  def _find_domain(self, address):
    found = (
      item.config.domain
      for item in self.by_name.values()
      if item.config.peers_address == address
    )
    return next(found, '')

  async def stop(self, name):
    """Stops a daemon without a graceful handover."""
    await self.by_name.pop(name).stop()

  async def wait_for_all(self):
    await wait_until(
      lambda: all(
        item.is_ready()
        and item.store.is_direct
        and len(item.fleet.last_heartbeat_by_name) == len(self.by_name) - 1
        and item.catalogue.directory.find('models')
        for item in self.by_name.values()
      )
    )

  async def ask(self, name, request):
    """Sends a request to a daemon; returns the answer's status and body."""
    service = self.by_name[name].serving
    async with service.handle_request(request) as answer:
      body = b''.join([chunk async for chunk in answer.chunks])
      return answer.status, body

  async def turn(
    self,
    name,
    id,
    *,
    parent='',
    program='p',
    most=10,
    budget=1000,
    path='/chat/',
    key='',
    seconds=3.0,
  ):
    return await self.ask(
      name,
      make_request(
        id,
        path=path,
        key=key,
        seconds=seconds,
        turn=exchange.TurnInfo(
          program=program,
          parent=parent,
          max_output=most,
          budget=budget,
          prompt_tokens=9,
        ),
      ),
    )

  def clear_calls(self):
    """Clears the recorded calls and writes of the store."""
    for view in self.view_by_name.values():
      view.calls.clear()
      view.written.clear()

  def find_calls(self, *tables):
    """Returns the calls of the store that concern some tables."""
    views = self.view_by_name.values()
    return [c for view in views for c in view.calls if c[1] in tables]

  def get_written_sequence(self):
    """Returns the names of the rows that daemons wrote, one per write."""
    views = self.view_by_name.values()
    return [name for view in views for name in view.written]

  def has_turn(self, id):
    """Returns whether the store has a turn, whatever daemons reach it."""
    return any(
      rows.Key(turn_store.TABLE, part, id) in self.shared.row_by_key
      for part in turn_store.get_parts(id)
    )

  def get_spent(self, program):
    """Returns the tokens that the store counts as spent by a program."""
    key = rows.Key(program_rows.TABLE, get_part(program), program)
    row = self.shared.row_by_key.get(key)
    if row is None:
      return 0
    stored = msgspec.json.decode(row.value, type=ledger.LedgerRow)
    return stored.settled + sum(stored.reserved.values())

  def get_body(self, id):
    """Returns the body of the last send of a request, or None if never sent."""
    found = [item.body for item in self.engines.sent if item.request.id == id]
    return found[-1] if found else None


def _make_config_row(config):
  value = operator.hash_api_keys(msgspec.json.encode(config))
  return rows.Key('op', '', 'config'), value


def make_request(id, *, path, turn=None, seconds=3.0, key=''):
  return exchange.Request(
    id=id,
    method='POST',
    host='h',
    target=f'{path}x',
    headers=[],
    body=f'<{id}>'.encode(),
    deadline=time.monotonic() + seconds,
    turn=turn,
    key_digest=teams.digest_key(key) if key else '',
  )


async def wait_until(is_true, *, seconds=20.0):
  async with asyncio.timeout(seconds):
    while not is_true():
      await asyncio.sleep(0.02)


def _make_default_entry(service):
  return {
    'service': service,
    'address': '127.0.0.1:9',
    'zone': 'north',
    'slots': 8,
    'state': 'ready',
  }


def get_part(name):
  """Returns the part of the store that holds a program's row."""
  return turn_store.get_part(name)


def find_open(records):
  """Returns the instances of which it is not known whether they ended."""
  states = request_attempts.DOUBTED_STATES
  return {
    id
    for id in records._requests_by_instance
    if records._find_requests(id, *states)
  }


def make_entry(**fields):
  """Returns the row that an instance writes, with `fields` replaced."""
  return {**_make_default_entry('models'), **fields}
