"""The daemon on the platform, from its settings file to its end."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import os
import signal

import aiohttp
from aiohttp import web

from woadrun import errors
from woadrun.connection import endpoints
from woadrun.connection import fresh
from woadrun.connection import rows
from woadrun.platform import discovery
from woadrun.platform import ingress
from woadrun.platform import operator
from woadrun.platform import settings
from woadrun.platform import store
from woadrun.platform import upstream
from woadrun.process import event_log
from woadrun.process import node

log = logging.getLogger('woadrun.node')

# The largest request head and body that are read, in bytes; the operator's
# limits are below.
HEAD_BYTES = 65_536
BODY_BYTES = 16 * 1024 * 1024
# Where the daemon tells its figures; the deploy file names the same port.
METRICS_PORT = 9102
# A connection of a caller may rest so long, in seconds: longer than callers
# let theirs rest, so that none is closed as a request comes.
KEEP_ALIVE_SECONDS = 60.0


async def run() -> None:
  """Serves until SIGTERM, then finishes what runs."""
  config = settings.load(os.environ[settings.PATH_VARIABLE])
  event_log.configure()
  connector = fresh.make_connector(
    limit=node.MOST_CONNECTIONS, keepalive=node.REUSE_SECONDS
  )
  async with aiohttp.ClientSession(
    connector=connector,
    auto_decompress=False,
    cookie_jar=aiohttp.DummyCookieJar(),
  ) as session:
    await _serve(config, session)


async def _serve(
  config: node.NodeSettings, session: aiohttp.ClientSession
) -> None:
  binding = make_binding(config, session)
  service = node.Node(config=config, session=session, binding=binding)
  entry = ingress.Ingress(
    service=service.serving,
    read_metrics=service.counters.encode,
    is_ready=service.is_ready,
    is_leaving=lambda: service.is_leaving,
  )
  stopped = asyncio.Event()
  loop = asyncio.get_running_loop()
  loop.add_signal_handler(signal.SIGTERM, stopped.set)
  path = os.environ[settings.PATH_VARIABLE]
  loop.add_signal_handler(signal.SIGHUP, lambda: reload(path, config, binding))
  await service.start()
  runners = await _listen(config, entry)
  await stopped.wait()
  await service.leave()
  # Closes connections that rest, and waits for the requests that run.
  for runner in runners:
    await runner.cleanup()
  await service.finish()
  await service.stop()


def reload(path: str, config: node.NodeSettings, binding: node.Binding) -> None:
  """Reads the settings again; what they tell of the store is in force at once.

  Anything else that differs waits for the next start.  Settings that are
  wrong change nothing.
  """
  try:
    found = settings.load(path)
  except errors.FindingsError as error:
    log.error('Reload: the settings are wrong and change nothing: %s', error)
    return
  changed = [
    field.name
    for field in dataclasses.fields(found)
    if getattr(found, field.name) != getattr(config, field.name)
  ]
  if isinstance(binding.store, store.Store):
    binding.store.use_address(found.store_address)
  log.info(
    'Reload: the store is at %s; different since the start: %s.',
    found.store_address,
    ', '.join(changed) or 'nothing',
  )


def make_binding(
  config: node.NodeSettings, session: aiohttp.ClientSession
) -> node.Binding:
  """Returns what the daemon needs to know of this platform."""
  addresses = fresh.Addresses()
  return node.Binding(
    addresses=addresses,
    store=store.Store(
      session=session,
      address=config.store_address,
      timeout=node.STORE_SECONDS,
      addresses=addresses,
    ),
    upstreams=upstream.HttpUpstreams(session=session, addresses=addresses),
    table_key=rows.Key(operator.TABLE, '', operator.ROW),
    instance_table=discovery.TABLE,
    decode_table=operator.decode,
    decode_instance=discovery.decode,
    grace=discovery.LAPSE_SECONDS,
  )


async def _listen(
  config: node.NodeSettings, entry: ingress.Ingress
) -> list[web.ServerRunner]:
  callers = make_callers_runner(entry, finish=node.get_finish_seconds(config))
  ready = web.ServerRunner(
    web.Server(entry.answer_ready, access_log=None), shutdown_timeout=0.2
  )
  metrics = web.ServerRunner(
    web.Server(entry.answer_metrics, access_log=None), shutdown_timeout=0.2
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
  entry: ingress.Ingress, *, finish: float
) -> web.ServerRunner:
  """Returns the listener of callers.

  At its cleanup, what runs has `finish` seconds to end.
  """
  server = web.Server(
    entry.answer,
    access_log=None,
    request_factory=node.make_request_factory(BODY_BYTES),
    handler_cancellation=True,
    keepalive_timeout=KEEP_ALIVE_SECONDS,
    max_line_size=HEAD_BYTES,
    max_field_size=HEAD_BYTES,
  )
  return web.ServerRunner(server, shutdown_timeout=finish)
