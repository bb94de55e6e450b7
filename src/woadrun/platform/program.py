"""Life cycle of the daemon on the platform, from settings to shutdown."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import os
import pathlib
import signal
import time

import aiohttp
from aiohttp import web

from woadrun import errors
from woadrun.connection import bounded_reads
from woadrun.connection import caller_bounds
from woadrun.connection import callers_server
from woadrun.connection import endpoints
from woadrun.connection import memory_account
from woadrun.connection import request_bodies
from woadrun.connection import response_ids
from woadrun.connection import rows
from woadrun.connection import tcp_connections
from woadrun.platform import discovery
from woadrun.platform import ingress
from woadrun.platform import operator
from woadrun.platform import settings
from woadrun.platform import store
from woadrun.platform import upstream
from woadrun.process import admission_settings
from woadrun.process import event_log
from woadrun.process import node
from woadrun.process import planned_stop
from woadrun.process import ticks
from woadrun.request import held_bytes

log = logging.getLogger('woadrun.node')

# Hard limit for each line of a request's head; the operator's limit is lower.
MAX_HEAD_LINE_BYTES = 65_536
# Port of the metrics endpoint; the deployment file names the same port.
METRICS_PORT = 9102
# Idle timeout of callers' connections.  It is longer than the callers' own, so
# that the daemon does not close a connection just as a request arrives on it.
KEEP_ALIVE_TIMEOUT_SECONDS = 60.0
# Time for what is left on connections as the process ends.
SHUTDOWN_SECONDS = 0.02
# Interval of checks whether the settings have changed without a signal.
SETTINGS_CHECK_INTERVAL_SECONDS = 1.0


async def run(admission_path: str = '') -> None:
  """Serves until SIGTERM, then finishes the requests in progress.

  `admission_path` is that of the operator's settings for the admission of
  programs, if there are any.
  """
  path = os.environ[settings.PATH_VARIABLE]
  config = settings.load(path)
  if admission_path:
    admission = admission_settings.load(admission_path)
    config = dataclasses.replace(config, admission=admission)
  event_log.configure()
  connector = tcp_connections.make_connector(
    limit=node.MAX_CONNECTIONS, keepalive=node.KEEPALIVE_TIMEOUT_SECONDS
  )
  async with aiohttp.ClientSession(
    connector=connector,
    auto_decompress=False,
    read_bufsize=response_ids.READ_BYTES,
    cookie_jar=aiohttp.DummyCookieJar(),
  ) as session:
    stop = await _serve(path, config, session)
  stop.note_end('connections closed')
  stop.log_ends()


async def _serve(
  path: str, config: node.NodeSettings, session: aiohttp.ClientSession
) -> planned_stop.PlannedStop:
  binding = make_binding(config, session)
  service = node.Node(config=config, session=session, binding=binding)
  entry = ingress.Ingress(
    service=service.serving,
    read_metrics=service.counters.encode,
    is_ready=service.answer_readiness_check,
    is_cut_off=service.is_cut_off,
    stop=service.planned_stop,
    account=binding.held.account,
    on_close=service.counters.record_close,
    read_limits=service.catalogue.read_limits,
  )
  stopped = asyncio.Event()
  loop = asyncio.get_running_loop()
  stop = service.planned_stop
  handle_stop_signal(stop, stopped)
  watch = SettingsWatch(path=path, config=config, binding=binding)
  loop.add_signal_handler(signal.SIGHUP, watch.reload)
  watch_task = asyncio.ensure_future(watch.run())
  await service.start()
  callers, *others = await _listen(config, entry)
  await stopped.wait()
  await service.leave()
  stop.note_end('drained')
  server = await _finish_requests(callers, stop)
  stop.note_end('answered')
  remaining = stop.get_seconds_until(stop.schedule.stored)
  await asyncio.gather(
    server.flush(until=time.monotonic() + remaining), service.finish()
  )
  stop.note_end('stored')
  await _close(service, [callers, *others])
  stop.note_end('services closed')
  watch_task.cancel()
  # A late signal would end the process with an error.
  signal.pthread_sigmask(
    signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
  )
  return stop


def handle_stop_signal(
  stop: planned_stop.PlannedStop, stopped: asyncio.Event
) -> None:
  """Sets an event at SIGTERM, and notes its time for the stop at once."""
  loop = asyncio.get_running_loop()
  loop.add_signal_handler(signal.SIGTERM, stopped.set)
  # Replaces a handler that does nothing; the loop is still woken up.
  signal.signal(signal.SIGTERM, lambda *_: stop.note_signal())


async def _close(service: node.Node, runners: list[web.ServerRunner]) -> None:
  """Closes listeners and services, as far as the grace period allows."""
  stop = service.planned_stop
  try:
    async with asyncio.timeout(stop.get_seconds_until(stop.schedule.closed)):
      for runner in runners:
        await runner.cleanup()
      await service.stop()
  except TimeoutError:
    log.warning('Planned stop: no time is left to close all services.')


async def _finish_requests(
  runner: web.ServerRunner, stop: planned_stop.PlannedStop
) -> callers_server.Server:
  """Stops listening and returns once all requests that have begun are answered.

  Those that have not ended by the time of the last answers are cut then.
  """
  for site in runner.sites:
    await site.stop()
  server = runner.server
  assert isinstance(server, callers_server.Server)
  await server.finish(until=stop.answers_until)
  return server


class SettingsWatch:
  """Reloads the settings at a signal, or when their file has changed.

  The file may change without a signal, also while the daemon starts.
  """

  def __init__(
    self, *, path: str, config: node.NodeSettings, binding: node.Binding
  ) -> None:
    self._path = path
    self._config = config
    self._binding = binding
    self._loaded = b''

  async def run(self) -> None:
    """Compares the file with what was last loaded, once in a while."""
    while True:
      data = self._read()
      if data and data != self._loaded:
        self.reload()
      await ticks.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)

  def reload(self) -> None:
    """Reloads the settings."""
    self._loaded = self._read()
    reload(self._path, self._config, self._binding)

  def _read(self) -> bytes:
    try:
      return pathlib.Path(self._path).read_bytes()
    except OSError as error:
      log.warning('The settings cannot be read: %s', error)
      return b''


def reload(path: str, config: node.NodeSettings, binding: node.Binding) -> None:
  """Reloads the settings file and applies the address of the store.

  Other changed settings take effect at the next start.  Invalid settings
  change nothing.
  """
  try:
    reloaded = dataclasses.replace(
      settings.load(path), admission=config.admission
    )
  except errors.FindingsError as error:
    log.error(
      'Reload: the settings are invalid and were not applied: %s', error
    )
    return
  changed = [
    field.name
    for field in dataclasses.fields(reloaded)
    if getattr(reloaded, field.name) != getattr(config, field.name)
  ]
  if isinstance(binding.store, store.Store):
    binding.store.set_address(reloaded.store_address)
  log.info(
    'Reload: the store is at %s; different since the start: %s.',
    reloaded.store_address,
    ', '.join(changed) or 'nothing',
  )


def make_binding(
  config: node.NodeSettings, session: aiohttp.ClientSession
) -> node.Binding:
  """Returns the daemon's interfaces to this platform."""
  addresses = tcp_connections.Addresses(connector=session.connector)
  account = memory_account.Account(
    most=memory_account.get_most(
      config.memory_mb, resident=memory_account.read_resident_bytes()
    )
  )
  held = held_bytes.HeldBytes(
    most=held_bytes.get_max_held_bytes(config.memory_mb), account=account
  )
  return node.Binding(
    addresses=addresses,
    store=store.Store(
      session=session,
      address=config.store_address,
      timeout=node.STORE_TIMEOUT_SECONDS,
      addresses=addresses,
      account=account,
    ),
    upstreams=upstream.HttpUpstreams(
      session=session, addresses=addresses, held=held
    ),
    held=held,
    table_key=rows.Key(operator.TABLE, '', operator.ROW),
    instance_table=discovery.TABLE,
    decode_table=operator.decode,
    decode_instance=discovery.decode,
    grace=discovery.EXPIRY_GRACE_SECONDS,
  )


async def _listen(
  config: node.NodeSettings, entry: ingress.Ingress
) -> list[web.ServerRunner]:
  callers = make_callers_runner(
    entry,
    finish=SHUTDOWN_SECONDS,
    bounds=caller_bounds.plan(descriptors=config.descriptors),
  )
  ready = web.ServerRunner(
    web.Server(entry.handle_ready, access_log=None),
    shutdown_timeout=SHUTDOWN_SECONDS,
  )
  metrics = web.ServerRunner(
    web.Server(entry.handle_metrics, access_log=None),
    shutdown_timeout=SHUTDOWN_SECONDS,
  )
  host, _ = endpoints.split(config.peers_address)
  for runner, address in (
    (callers, config.callers_address),
    (ready, config.ready_address),
    (metrics, f'{host}:{METRICS_PORT}'),
  ):
    await runner.setup()
    await node.listen(runner, address)
  return [callers, ready, metrics]


def make_callers_runner(
  entry: ingress.Ingress,
  *,
  finish: float,
  bounds: caller_bounds.Bounds | None = None,
) -> web.ServerRunner:
  """Returns the server runner for callers' connections, within `bounds`.

  At cleanup, requests in progress have `finish` seconds to complete.
  """
  server = callers_server.Server(
    entry.answer,
    read_limits=entry.read_limits,
    bounds=bounds,
    account=entry.account,
    on_close=entry.on_close,
    access_log=None,
    request_factory=node.make_request_factory(ingress.MAX_BODY_BYTES),
    read_bufsize=bounded_reads.READ_BYTES,
    lingering_time=request_bodies.LINGERING_SECONDS,
    handler_cancellation=True,
    auto_decompress=False,
    keepalive_timeout=KEEP_ALIVE_TIMEOUT_SECONDS,
    max_line_size=MAX_HEAD_LINE_BYTES,
    max_field_size=MAX_HEAD_LINE_BYTES,
  )
  return web.ServerRunner(server, shutdown_timeout=finish)
