"""The daemon process: its services, listener, start-up and planned stop."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import contextlib
import logging
import time
from typing import Any

import aiohttp
from aiohttp import hdrs
from aiohttp import web
import mode

from woadrun import decoding
from woadrun import errors
from woadrun import settings
from woadrun.connection import bounded_reads
from woadrun.connection import callers_server
from woadrun.connection import endpoints
from woadrun.connection import memory_account
from woadrun.connection import objects
from woadrun.connection import peers
from woadrun.connection import request_bodies
from woadrun.connection import response_ends
from woadrun.connection import response_ids
from woadrun.connection import table
from woadrun.process import cache_reconciler
from woadrun.process import configuration
from woadrun.process import dispatcher
from woadrun.process import groups
from woadrun.process import limits
from woadrun.process import membership
from woadrun.process import metrics
from woadrun.process import operator_routes
from woadrun.process import outage
from woadrun.process import ownership
from woadrun.process import peer_routes
from woadrun.process import planned_stop
from woadrun.process import storage
from woadrun.process import transitions
from woadrun.process import vm_list
from woadrun.request import access
from woadrun.request import forwarding
from woadrun.request import gateway
from woadrun.request import owner
from woadrun.request import placing
from woadrun.request import recovery
from woadrun.request import request_memory
from woadrun.request import runner
from woadrun.request import upstreams

log = logging.getLogger('woadrun.daemon')

MAX_CONNECTIONS = 2000
MAX_HEADER_BYTES = 16_384
# Short, since all requests are finished before the listener closes.
SHUTDOWN_TIMEOUT_SECONDS = 1.0
# A planned stop continues after this time without requests: the load balancer
# may send requests for this long after the health check reports `leaving`.
DRAIN_IDLE_SECONDS = 1.0
STOP_POLL_INTERVAL_SECONDS = 0.1
# Minimum time for sending the last responses.
FLUSH_SECONDS = 0.2


class Daemon(mode.Service):
  """All services of one process."""

  def __init__(self, *, config: settings.Settings) -> None:
    super().__init__()
    self.config = config
    self.stopped = asyncio.Event()
    self._is_stopping = False
    self._runner: web.ServerRunner | None = None
    self._server: callers_server.Server | None = None
    self.closed_by_reason: collections.Counter[str] = collections.Counter()
    self.planned_stop = planned_stop.PlannedStop(grace=config.timing.leaving)

  # --- Starting -------------------------------------------------------------

  async def on_start(self) -> None:
    """Starts all services and the listener, and reads the VM list.

    `_maintain_membership` then joins the failure domain.
    """
    self._build_connections()
    self._build_state()
    self._build_requests()
    self._build_owner()
    self._services = self._get_services()
    await self._listen()
    for part in self._services:
      await self.add_runtime_dependency(part)
    await self.vms.read()

  def _build_connections(self) -> None:
    config = self.config
    # Binds connections to the host that this daemon listens on, so that peers
    # can identify their source.
    host, _ = get_listen_endpoint(config.daemon)
    connector = response_ends.Connector(
      limit=MAX_CONNECTIONS, local_addr=(host, 0)
    )
    self.session = aiohttp.ClientSession(
      connector=connector,
      auto_decompress=False,
      read_bufsize=response_ids.READ_BYTES,
    )
    self.memory = memory_account.Account(
      most=memory_account.get_most(
        config.limits.memory_mb, resident=memory_account.read_resident_bytes()
      )
    )
    self.links = peers.Peers(
      session=self.session, key=config.security.peer_key, account=self.memory
    )
    platform = config.platform
    self.rows = table.Table(
      session=self.session,
      url=platform.table,
      timeout=platform.timeout,
      account=self.memory,
    )
    self.objects = objects.ObjectStore(
      session=self.session,
      url=platform.objects,
      timeout=platform.timeout,
      account=self.memory,
    )

  def _build_state(self) -> None:
    config = self.config
    self.vms = vm_list.VmList(config=config, session=self.session)
    self.members = membership.Membership(
      config=config, rows=self.rows, messenger=self.links, vms=self.vms
    )
    self.groups = groups.RecordGroups(
      config=config,
      store=self.objects,
      members=self.members,
      messenger=self.links,
    )
    self.storage = storage.SlotStorage(
      config=config, store=self.objects, writer=self.groups
    )
    self.ownership = ownership.Ownership(
      config=config,
      members=self.members,
      messenger=self.links,
      store=self.storage,
    )
    self.outage = outage.OutageHandler(
      config=config,
      members=self.members,
      messenger=self.links,
      ownership=self.ownership,
    )
    self.transitions = transitions.Transitions(
      config=config,
      members=self.members,
      messenger=self.links,
      ownership=self.ownership,
      outage_handler=self.outage,
    )
    self.table = configuration.Configuration(
      config=config,
      members=self.members,
      messenger=self.links,
      store=self.rows,
      snapshots=self.objects,
    )

  def _build_requests(self) -> None:
    config = self.config
    self.permits = dispatcher.PermitDispatcher(
      config=config, members=self.members, messenger=self.links
    )
    self.limits = limits.Limits(
      config=config,
      members=self.members,
      messenger=self.links,
      get_row=lambda key: self.table.row_by_key.get(key),
    )
    self.places = placing.CallPlacer(
      config=config,
      members=self.members,
      permits=self.permits,
      row_limits=self.limits,
    )
    self.upstream_calls = upstreams.UpstreamCalls(
      config=config,
      session=self.session,
      members=self.members,
      places=self.places,
      store=self.objects,
    )
    self.caches = cache_reconciler.CacheReconciler(
      members=self.members,
      messenger=self.links,
      ownership=self.ownership,
      permits=self.permits,
      engine_client_by_name=self.upstream_calls.engine_client_by_name,
    )

  def _build_owner(self) -> None:
    config = self.config
    self.runner = runner.CallRunner(
      config=config,
      members=self.members,
      ownership=self.ownership,
      table=self.table,
      messenger=self.links,
      placing=self.places,
      upstreams=self.upstream_calls,
    )
    self.recovery = recovery.Recovery(
      config=config,
      members=self.members,
      ownership=self.ownership,
      table=self.table,
      messenger=self.links,
      placing=self.places,
      upstreams=self.upstream_calls,
      runner=self.runner,
    )
    self.owner = owner.ProgramOwner(
      config=config,
      ownership=self.ownership,
      configuration=self.table,
      runner=self.runner,
      upstreams=self.upstream_calls,
    )
    self.forwarding = forwarding.Forwarder(
      config=config,
      members=self.members,
      messenger=self.links,
      local=self.owner,
    )
    self.metrics = metrics.Metrics(config=config.metrics, read=self.get_metrics)
    self.authenticator = access.Authenticator(security=config.security)
    self.gateway = gateway.Gateway(
      config=config,
      members=self.members,
      authenticator=self.authenticator,
      forwarding=self.forwarding,
      stop=self.planned_stop,
    )

  def _get_services(self) -> tuple[mode.Service, ...]:
    return (
      self.vms,
      self.members,
      self.groups,
      self.storage,
      self.ownership,
      self.transitions,
      self.table,
      self.permits,
      self.limits,
      self.upstream_calls,
      self.caches,
      self.runner,
      self.recovery,
      self.owner,
      self.forwarding,
      self.metrics,
    )

  async def _listen(self) -> None:
    application = web.Application(
      client_max_size=self.config.limits.body_bytes,
      middlewares=[handle_errors, request_memory.hold_bodies(self.memory)],
    )
    peer = peer_routes.PeerRoutes(
      authenticator=self.authenticator,
      members=self.members,
      ownership=self.ownership,
      outage_handler=self.outage,
      table=self.table,
      permits=self.permits,
      row_limits=self.limits,
      local=self.owner,
      recovery_service=self.recovery,
      caches=self.caches,
      writer=self.groups,
    )
    operate = operator_routes.OperatorRoutes(
      authenticator=self.authenticator,
      members=self.members,
      table=self.table,
      messenger=self.links,
      dump=self.dump,
    )
    for part in (self.gateway, peer, operate):
      application.add_routes(part.get_routes())
    application.on_response_prepare.append(self._close_if_leaving)
    self._server = await callers_server.make_server(
      application,
      access_log=None,
      account=self.memory,
      on_close=lambda reason: self.closed_by_reason.update((reason,)),
      max_field_size=MAX_HEADER_BYTES,
      read_bufsize=bounded_reads.READ_BYTES,
      lingering_time=request_bodies.LINGERING_SECONDS,
    )
    self._runner = web.ServerRunner(
      self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
    )
    await self._runner.setup()
    host, port = get_listen_endpoint(self.config.daemon)
    await web.TCPSite(self._runner, host, port, reuse_address=True).start()
    log.info('Listening on %s.', self.config.daemon.address)

  @mode.Service.task
  async def _maintain_membership(self) -> None:
    # A daemon that does not respond for long is removed from the roster.  It
    # joins again once it learns of the removal.
    while not (self._is_stopping or self.should_stop):
      # Does not join without the table: the daemon could neither enforce
      # limits of rows nor start programs.
      if not self.table.is_known:
        await self._contact_seeds()
      elif not self.members.is_joined():
        await self._try_join()
      await self.sleep(self.config.timing.heartbeat)

  async def _try_join(self) -> None:
    try:
      await self.members.join()
    except errors.WoadrunError as error:
      log.warning('Failure domain not joined; retrying: %s', error.message)
      await self.sleep(self.config.timing.silent_after)

  async def _contact_seeds(self) -> None:
    # Without the platform, learns the roster and the table from any daemon
    # that responds, so that this daemon can forward requests.
    for seed in self.config.daemon.seeds:
      if seed == self.members.address:
        continue
      with contextlib.suppress(errors.WoadrunError):
        await self.members.bootstrap_from(seed)

  # --- Stopping -------------------------------------------------------------

  @mode.Service.task
  async def _watch_vm_list(self) -> None:
    while not self.should_stop:
      await self.sleep(self.config.timing.silent_after)
      if self.members.address in self.vms.get_leaving():
        log.info('The platform lists this VM as leaving; stopping.')
        await self.leave()

  async def leave(self) -> None:
    """Performs a planned stop and sets `stopped`.

    Hands over the slots, finishes running requests, writes pending records,
    leaves the roster and closes the listener.  What has not ended by the time
    for leaving is rejected or cut short.
    """
    if self._is_stopping:
      return
    self._is_stopping = True
    self.members.is_leaving = True
    log.info('Leaving.')
    stop = self.planned_stop
    stop.begin()
    await self._hand_over_slots(stop.answers_until)
    await self._finish_requests(stop.answers_until)
    await self._flush_records(_get_time(stop, stop.schedule.stored))
    with contextlib.suppress(errors.WoadrunError):
      await self.members.leave_domain()
    log.info('Left the failure domain.')
    await self._finish_connections()
    self.stopped.set()

  async def _close_if_leaving(
    self, request: web.Request, response: web.StreamResponse
  ) -> None:
    """Makes a response the last one of its connection during a planned stop."""
    if self._is_stopping and not callers_server.has_next(request):
      response.headers[hdrs.CONNECTION] = 'close'
      response.force_close()

  async def _finish_connections(self) -> None:
    """Closes the listener, and each connection after what has begun on it."""
    if self._runner is None or self._server is None:
      return
    for site in self._runner.sites:
      await site.stop()
    stop = self.planned_stop
    receive_until = time.monotonic() + gateway.RECEIVE_TIMEOUT_SECONDS
    await self._server.finish(until=min(receive_until, stop.answers_until))
    # Also without time left, responses that are ready are sent.
    stored = _get_time(stop, stop.schedule.stored)
    await self._server.flush(
      until=max(stored, time.monotonic() + FLUSH_SECONDS)
    )

  async def _hand_over_slots(self, deadline: float) -> None:
    while time.monotonic() < deadline:
      if await self.transitions.hand_over_slots():
        return
      await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
    log.error('Some slots were not handed over before the deadline.')

  async def _finish_requests(self, deadline: float) -> None:
    idle_since = time.monotonic()
    while time.monotonic() < deadline:
      if self.gateway.active or self.runner.execution_by_key:
        idle_since = time.monotonic()
      elif time.monotonic() - idle_since > DRAIN_IDLE_SECONDS:
        return
      await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
    log.error('Some requests were not finished before the deadline.')

  async def _flush_records(self, deadline: float) -> None:
    while not await self.storage.flush() and time.monotonic() < deadline:
      await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)

  async def on_shutdown(self) -> None:
    """Closes the listener and all connections."""
    if self._runner is not None:
      await self._runner.cleanup()
    await self.session.close()

  # --- Inspection -----------------------------------------------------------

  def dump(self) -> dict[str, Any]:
    """Returns the state of the whole process, by role."""
    return {
      'gateway': {
        'active': self.gateway.active,
        'served': self.gateway.served,
        'retries': self.forwarding.retries,
        'rejected_tokens': self.authenticator.rejected,
      },
      'owner': {
        **self.runner.dump(),
        **self.recovery.dump(),
        'slots': self.ownership.dump(),
      },
      'dispatcher': {
        'queues': self.permits.dump(),
        'limits': self.limits.dump(),
        'in_use': self.places.dump(),
        'upstreams': self.upstream_calls.dump(),
        'caches': self.caches.dump(),
      },
      'membership': self.members.dump(),
      'configuration': self.table.dump(),
      'storage': {**self.storage.dump(), 'groups': self.groups.dump()},
      'messages': {
        'sent': self.links.messages,
        'sent_bytes': self.links.sent_bytes,
        'received_bytes': self.links.received_bytes,
        'table_reads': self.rows.reads,
        'table_writes': self.rows.writes,
      },
    }

  def get_metrics(self) -> dict[str, float]:
    """Returns the values of the gauges sent to statsd, by name."""
    return {name: read(self) for name, read in METRICS.items()}


def _count_programs(daemon: Daemon) -> int:
  owned_slots = daemon.ownership.owned_slot_by_number.values()
  return sum(len(owned_slot.state.program_by_id) for owned_slot in owned_slots)


# Functions that read the gauges sent to statsd, by name.
METRICS: dict[str, Callable[[Daemon], float]] = {
  'gateway.active': lambda d: d.gateway.active,
  'gateway.served': lambda d: d.gateway.served,
  'gateway.retries': lambda d: d.forwarding.retries,
  'gateway.closed': lambda d: d.closed_by_reason.total(),
  'owner.slots': lambda d: len(d.ownership.owned_slot_by_number),
  'owner.programs': _count_programs,
  'owner.running': lambda d: len(d.runner.execution_by_key),
  'owner.finished': lambda d: d.runner.finished,
  'owner.refused': lambda d: d.runner.refused,
  'ownership.takeovers': lambda d: d.transitions.takeovers,
  'ownership.forks': lambda d: d.ownership.forks,
  'configuration.version': lambda d: d.table.version,
  'storage.pending': lambda d: d.storage.get_pending(),
  'storage.oldest': lambda d: d.storage.get_pending_age(),
  'upstreams.retries': lambda d: d.upstream_calls.retries,
  'caches.gone_tokens': lambda d: d.caches.gone_tokens,
  'caches.held_tokens': lambda d: d.caches.held_tokens,
}


def get_listen_endpoint(config: settings.Daemon) -> tuple[str, int]:
  """Returns the IP address and the port to listen on."""
  return endpoints.split(config.listen or config.address)


def _get_time(stop: planned_stop.PlannedStop, step: float) -> float:
  """Returns a time of the schedule on the monotonic clock."""
  return time.monotonic() + stop.get_seconds_until(step)


@web.middleware
async def handle_errors(
  request: web.Request, handler: gateway.Handler
) -> web.StreamResponse:
  """Returns the handler's response, or a JSON response for its error."""
  try:
    return await handler(request)
  except errors.WoadrunError as error:
    return gateway.make_error_response(error)
  except decoding.MalformedData as error:
    return gateway.make_error_response(
      errors.WoadrunError(errors.Code.BAD_REQUEST, str(error))
    )
  except web.HTTPException as error:
    return gateway.make_error_response(
      errors.WoadrunError(
        errors.Code.BAD_REQUEST, f'{request.path}: {error.reason}'
      )
    )
  except (asyncio.CancelledError, ConnectionError):
    raise
  except Exception:
    log.exception('Unhandled exception in a request handler.')
    return gateway.make_error_response(
      errors.WoadrunError(
        errors.Code.INTERNAL, 'Internal error.', ran=errors.RunStatus.UNKNOWN
      )
    )
