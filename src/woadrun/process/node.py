"""One daemon on a platform that provides routes and upstreams through feeds.

A feed delivers a table of the platform's row store ("the store"): a full list
of the rows first, then each change.  The daemon sends the requests of callers
to instances, the running processes of upstreams.  A program is a series of
turns, requests that share a budget of tokens and a history; the store keeps
both.  A standby is a second daemon that holds a copy of a program, so that
turns can go on while the store is unavailable.

The daemon holds no durable state of its own.  The platform-specific parts are
injected: the store, the transport of requests to instances, and the decoding of
rows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import math
import secrets
import time
from typing import Any

import aiohttp
from aiohttp import web
import mode
import msgspec

from woadrun import errors
from woadrun.connection import attempt_reports
from woadrun.connection import bounded_reads
from woadrun.connection import endpoints
from woadrun.connection import memory_account
from woadrun.connection import peers
from woadrun.connection import rate_messages
from woadrun.connection import request_bodies
from woadrun.connection import rows
from woadrun.connection import tcp_connections
from woadrun.connection import turn_messages
from woadrun.decisions import admission_policy
from woadrun.process import catalogue
from woadrun.process import counters
from woadrun.process import crash_reports
from woadrun.process import crash_rows
from woadrun.process import datagram_calls
from woadrun.process import diversion
from woadrun.process import event_log
from woadrun.process import feed_sync
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import peer_messages
from woadrun.process import planned_stop
from woadrun.process import programs
from woadrun.process import rate_metrics
from woadrun.process import rate_owner
from woadrun.process import registration
from woadrun.process import ticks
from woadrun.process.load import crash_records
from woadrun.process.load import loads
from woadrun.process.load import program_gate
from woadrun.process.store import relays
from woadrun.process.store import store_access
from woadrun.process.store import store_clock
from woadrun.process.store import sweeper
from woadrun.process.store import turn_store
from woadrun.request import attempts
from woadrun.request import authorization
from woadrun.request import crash_guard
from woadrun.request import ended_instances
from woadrun.request import exchange
from woadrun.request import held_bytes
from woadrun.request import rates
from woadrun.request import serving
from woadrun.request import store_waits
from woadrun.request import turn_client
from woadrun.version import instances
from woadrun.version import routes

log = logging.getLogger('woadrun.node')

# Maximum total of connections to peers, the store and upstreams, because file
# descriptors are limited.
MAX_CONNECTIONS = 3000
# Time after which an idle connection to an upstream is closed.  A request on a
# connection that the upstream is just closing is lost.
KEEPALIVE_TIMEOUT_SECONDS = 4.0
# Timeout of a call to the store.  If the store takes longer, a turn is served
# better by the acknowledgement of the standby.
STORE_TIMEOUT_SECONDS = 0.8
FLUSH_RETRY_DELAY_SECONDS = 0.05
# Time for messages of peers under way as the process ends.
PEER_SHUTDOWN_SECONDS = 0.05
# Maximum size of a message between daemons, enough for the turns of a long
# history.
MAX_PEER_MESSAGE_BYTES = 64 * 1024 * 1024
# Interval between removals of the measurements of instances that are gone.
CLEANUP_INTERVAL_SECONDS = 1.0
# Codec of messages between daemons.  They carry turns as bytes, which JSON
# would enlarge by a third.
CODEC = msgspec.msgpack


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeSettings:
  """Location and limits of the daemon.

  Addresses are IP:PORT, times in seconds.  `domain` is the failure domain of
  the daemon.  It listens for callers, readiness checks and peers at
  `callers_address`, `ready_address` and `peers_address`.  `row_bytes` is the
  maximum size of a row of the store.  `grace` is the time from the start of a
  planned stop until the platform kills the process, which is another period
  than `Binding.grace`.  `revocation` is the time for which a key of a team
  may be used after it was revoked, also at daemons that are cut off; None if
  that is not bounded.  `descriptors` is the daemon's limit on descriptors, None
  for that of its process.  `memory_mb` is its memory limit in megabytes,
  None without a limit.  `admission` has the operator's settings for the
  admission of programs.
  """

  name: str
  domain: str
  callers_address: str
  ready_address: str
  peers_address: str
  store_address: str
  row_bytes: int
  grace: float
  revocation: float | None = None
  memory_mb: float | None = None
  descriptors: int | None = None
  admission: admission_policy.AdmissionPolicy = admission_policy.DEFAULT


@dataclasses.dataclass(frozen=True, kw_only=True)
class Binding:
  """The parts that a platform adapter provides.

  `table_key` is the key of the row with the routing table, `instance_table` the
  table of the instances.  `decode_table` and `decode_instance` raise
  `decoding.MalformedData` for a row that they cannot decode.  `grace` is the
  time in seconds within which an instance whose entry expired while the store
  was unavailable may register again.  `held` counts the bytes held of
  responses.
  """

  addresses: tcp_connections.Addresses
  store: rows.RowStore
  upstreams: exchange.Upstreams
  table_key: rows.Key
  instance_table: str
  decode_table: Callable[[bytes], routes.RoutingTable]
  decode_instance: Callable[[rows.Row], instances.Instance]
  grace: float
  held: held_bytes.HeldBytes = dataclasses.field(
    default_factory=held_bytes.HeldBytes
  )


Handler = Callable[[Any], Any]


class Node(mode.Service):
  """The services of one daemon process.

  The listeners for callers and for readiness checks are not among them.
  """

  def __init__(
    self,
    *,
    config: NodeSettings,
    session: aiohttp.ClientSession,
    binding: Binding,
  ) -> None:
    super().__init__()
    self.config = config
    self._started_at = time.time()
    self.counters = counters.Counters()
    self.planned_stop = planned_stop.PlannedStop(grace=config.grace)
    self.diversion = diversion.Diversion(is_cut_off=self.is_cut_off)
    self.links = peers.Peers(
      session=session,
      key='',
      codec=CODEC,
      addresses=binding.addresses,
      account=binding.held.account,
    )
    self.store_time = store_clock.StoreClock()
    self.store = store_access.StoreAccess(
      direct=binding.store, messenger=self.links, store_time=self.store_time
    )
    self.relay = relays.StoreRelay(access=self.store)
    self.catalogue = catalogue.Catalogue(
      store=self.store,
      table_key=binding.table_key,
      instance_table=binding.instance_table,
      decode_table=binding.decode_table,
      decode_instance=binding.decode_instance,
      grace=binding.grace,
      revocation=config.revocation,
      clock=self.store_time,
    )
    self.loads = loads.Loads(
      domain=config.domain,
      is_silent=lambda domain: self.fleet.is_domain_silent(domain),
    )
    me = fleet_heartbeats.Member(
      name=config.name, address=config.peers_address, domain=config.domain
    )
    self.fleet = fleet.Fleet(
      me=me,
      make_fleet_heartbeat=self._make_beat,
      on_heartbeat=self._take_beat,
      on_digest=self._take_digest,
    )
    self.registration = registration.Registration(
      members=self.fleet,
      incarnation=secrets.token_hex(4),
      store=self.store,
    )
    self._handler_by_path: dict[str, peer_messages.Handler] = {}
    self.calls = datagram_calls.DatagramCalls(
      address=config.peers_address,
      datagram_socket=self.fleet.datagrams,
      messenger=self.links,
      handler_by_path=self._handler_by_path,
    )
    self.store.use_fleet(self.fleet)
    crashes = crash_records.CrashRecords(
      name=config.name,
      domain=config.domain,
      on_change=lambda report: self.crash_reports.send(report),
      on_ended=self._record_ended,
    )
    self.ends = ended_instances.EndMonitor(
      records=crashes,
      upstreams=binding.upstreams,
      catalogue=self.catalogue,
      is_domain_silent=self.fleet.is_domain_silent,
    )
    self.crash_rows = crash_rows.CrashRows(store=self.store, records=crashes)
    self.feeds = feed_sync.FeedSync(
      feeds=[
        *self.catalogue.feeds,
        self.registration.feed,
        self.crash_rows.feed,
      ],
      members=self.fleet,
      messenger=self.calls,
      has_store=lambda: self.store.is_direct,
      clock=self.store_time,
      age_by_table={binding.table_key.table: self.catalogue.age},
    )
    self.gate = program_gate.ProgramGate(
      members=self.fleet,
      measure=self._measure_service,
      get_weights=self._get_team_weights,
      record_decision=self.counters.record_program,
      policy=config.admission,
    )
    self.turns = turn_store.TurnStore(
      store=self.store.durable,
      row_bytes=config.row_bytes,
      is_overdue=self.store.durable.is_overdue,
    )
    self.waits = store_waits.StoreWaits()
    self.programs = programs.Programs(
      members=self.fleet,
      store=self.store,
      turns=self.turns,
      messenger=self.calls,
      gate=self.gate,
    )
    self.crash_reports = crash_reports.CrashReports(
      members=self.fleet,
      records=crashes,
      messenger=self.calls,
      crash_rows=self.crash_rows,
      has_member_list=lambda: self.registration.feed.version is not None,
    )
    self.crash_guard = crash_guard.CrashGuard(
      records=crashes,
      upstreams=binding.upstreams,
      catalogue=self.catalogue,
      counters=self.counters,
      is_domain_silent=self.fleet.is_domain_silent,
      reports=self.crash_reports,
      ends=self.ends,
    )
    access = authorization.Authorization(catalogue=self.catalogue)
    self.rate_owner = rate_owner.RateOwner(
      members=self.fleet,
      has_member_list=lambda: self.registration.feed.version is not None,
      messenger=self.calls,
      policy=config.admission,
    )
    self.serving = serving.RequestHandler(
      catalogue=self.catalogue,
      access=access,
      limits=rates.RateLimitClient(
        members=self.fleet, local=self.rate_owner, messenger=self.calls
      ),
      request_sender=attempts.RequestSender(
        catalogue=self.catalogue,
        loads=self.loads,
        authorization=access,
        upstreams=binding.upstreams,
        held=binding.held,
        counters=self.counters,
        guard=self.crash_guard,
        ends=self.ends,
        stop=self.planned_stop,
        is_partitioned=self._is_cut_off,
      ),
      turn_client=turn_client.TurnClient(
        members=self.fleet,
        local=self.programs,
        messenger=self.calls,
        store=self.store,
        turns=self.turns,
        waits=self.waits,
        get_outage=self._get_outage,
      ),
      stop=self.planned_stop,
      diversion=self.diversion,
      domain=config.domain,
      counters=self.counters,
      account=binding.held.account,
      get_outage=self._get_outage,
    )
    self._handler_by_path.update(
      (path, peer_messages.make_handler(type, answer, codec=CODEC))
      for path, type, answer in self._list_handlers()
    )
    self.sweeper = sweeper.Sweeper(store=self.store, members=self.fleet)
    self._addresses = binding.addresses
    self._held = binding.held
    self.counters.add_gauges(self._read_gauges)
    self.counters.add_labelled_gauges(self.gate.read_gauges)
    self.counters.registry.register(
      rate_metrics.RateMetrics(read=self.rate_owner.get_counts)
    )
    self.counters.add_instance_gauge(
      'instance_slowness', self.loads.slowness.get_differing
    )
    self._runner: web.ServerRunner | None = None
    self._hand_over_task: asyncio.Task[None] | None = None

  async def on_start(self) -> None:
    """Starts listening for peers and following the platform."""
    asyncio.get_running_loop().set_exception_handler(self._handle_loop_error)
    await self._listen()
    for part in (
      self.store,
      self.fleet,
      self.registration,
      self.catalogue,
      self.feeds,
      self.programs,
      self.rate_owner,
      self.crash_rows,
      self.crash_reports,
      self.crash_guard,
      self.sweeper,
    ):
      await self.add_runtime_dependency(part)
    log.info(
      'Started daemon %s in domain %s.', self.config.name, self.config.domain
    )

  def _handle_loop_error(
    self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
  ) -> None:
    """Counts and logs an error that nothing handled.

    A task that runs beside requests ends by such an error, and what it does
    stops without any other sign.
    """
    self.counters.record_loop_error()
    loop.default_exception_handler(context)

  async def on_shutdown(self) -> None:
    """Closes the listener for peers."""
    if self._runner is not None:
      await self._runner.cleanup()

  @property
  def is_leaving(self) -> bool:
    """Whether a planned stop has begun."""
    return self.fleet.is_leaving

  def is_ready(self) -> bool:
    """Returns whether the load balancer may send new requests.

    That is the case once routes, instances and the places of requests are
    known, until a planned stop.  A daemon of which a service has crashed serves
    on as far as it can, but is not ready.
    """
    return (
      self.catalogue.is_known
      and self.crash_reports.is_informed
      and not self.is_leaving
      and not self.crashed
    )

  def answer_readiness_check(self) -> bool:
    """Returns the answer to a check of the load balancer.

    A daemon that is cut off from the store and from all other domains is not
    ready for new callers, which can be served elsewhere.
    """
    return self.is_ready() and self.diversion.answer_check()

  def is_cut_off(self) -> bool:
    """Returns whether neither the store nor another domain is reachable."""
    return self.fleet.is_cut_off and not self.store.is_reachable

  def _get_outage(self) -> float:
    return max(
      self.store.outage_seconds, self.fleet.get_domain_silence_seconds()
    )

  def _record_ended(self, incarnation_id: str) -> None:
    self.loads.record_ended(incarnation_id)
    self.ends.note_ended(incarnation_id)

  def _is_cut_off(self, domain: str) -> bool:
    # Returns whether a network partition separates this daemon from a domain.
    # A daemon that can reach the store keeps waiting for an instance in a
    # domain that is silent: the instance may be healthy, and the callers decide
    # how long to wait.
    return not self.store.is_reachable and self.fleet.is_domain_silent(domain)

  def _measure_service(self, service: str) -> loads.ServiceLoad:
    return self.loads.measure(self.catalogue.directory.find(service))

  def _get_team_weights(self) -> tuple[Mapping[str, float], float]:
    table = self.catalogue.table
    return ({}, 0.0) if table is None else table.team_weights

  def _read_gauges(self) -> dict[str, float]:
    return {
      'requests_running': self.serving.active,
      'programs_known': len(self.programs.entry_by_program),
      'turns_kept': len(self.programs.cache),
      'members_known': len(self.fleet.member_by_name),
      'instances_known': len(self.catalogue.directory.by_id),
      'instances_avoided': len(self.loads.health.avoided),
      'instance_rows_unreadable': self.catalogue.rejections.count,
      'member_rows_unreadable': self.registration.rejections.count,
      'crash_rows_unreadable': self.crash_rows.rejections.count,
      'datagrams_rejected': self.fleet.datagrams.rejections.count,
      'rates_kept': len(self.rate_owner),
      'table_version': self.catalogue.version,
      'table_age_seconds': self.catalogue.age.get_age_seconds(),
      'store_is_direct': self.store.is_direct,
      'connection_resets': self._addresses.resets,
      'store_is_silent': self.store.is_silent,
      'peer_messages': self.links.messages + self.calls.answered_calls,
      'answer_bytes_held': self._held.total,
      'memory_held_bytes_max': self._held.account.most,
      'memory_holders_cut': self._held.account.evicted,
      **{
        f'memory_held_bytes_{kind.value}': size
        for kind, size in self._held.account.total_by_kind.items()
      },
      'crash_records': len(self.crash_guard.records),
      'requests_quarantined': self.crash_guard.records.count_quarantined(),
      'rows_swept': self.sweeper.removed_rows,
      'turns_missing': self.turns.missing_turns,
      'turns_diverted': self.diversion.diverted,
      'store_calls_running': self.store.queue.running,
      'store_calls_waiting': self.store.queue.waiting,
      'store_calls_limit': self.store.queue.limit,
      **self.waits.read_gauges(),
    }

  # --- Datagrams between daemons --------------------------------------------

  def _make_beat(self) -> fleet_heartbeats.FleetHeartbeat:
    return fleet_heartbeats.FleetHeartbeat(
      name=self.config.name,
      address=self.config.peers_address,
      domain=self.config.domain,
      has_store=self.store.is_responsive,
      feeds=self.feeds.get_versions(),
      is_leaving=self.is_leaving,
      running=self.loads.report_running(),
      failing=self.loads.health.report_failures(),
      demand=self.gate.report(),
      turn_times=self.loads.slowness.report(),
      silent=tuple(self.fleet.find_silent_domains()),
      confirmed=self.catalogue.get_confirmation(),
      suspects_store=self.store.is_suspect,
      is_served=self.store.has_recent_answer,
      started_at=self._started_at,
    )

  def _take_beat(self, heartbeat: fleet_heartbeats.FleetHeartbeat) -> None:
    if self.fleet.is_full_mesh:
      # In large fleets, the digests of failure domains carry the sums of these
      # counts.
      self.loads.record_peer_counts(heartbeat)
      self.gate.record_peer(heartbeat)
    elif heartbeat.elsewhere is not None:
      self.loads.record_other_domains(
        heartbeat.elsewhere, heartbeat.elsewhere_turn_times
      )
      self.gate.record_elsewhere(heartbeat.elsewhere_demand)
    self.feeds.handle_heartbeat(heartbeat)
    if heartbeat.confirmed is not None:
      self.catalogue.age.record_confirmation(*heartbeat.confirmed)

  def _take_digest(self, digest: fleet_heartbeats.Digest) -> None:
    self.loads.record_domain_counts(digest)
    self.gate.record_domain(digest)
    if digest.confirmed is not None:
      self.catalogue.age.record_confirmation(*digest.confirmed)

  @mode.Service.task
  async def _clean_up_periodically(self) -> None:
    while not self.should_stop:
      await ticks.sleep(CLEANUP_INTERVAL_SECONDS)
      self.loads.drop_unknown(self.catalogue.directory.get_incarnation_ids())
      self.loads.health.log_changes()

  # --- Messages of peers ----------------------------------------------------

  async def _listen(self) -> None:
    # Paths are few and fixed, so that the routing and middleware of aiohttp
    # would only add overhead to each message.
    server = bounded_reads.Server(
      _make_dispatcher(self._handler_by_path, self._held.account),
      access_log=None,
      request_factory=make_request_factory(MAX_PEER_MESSAGE_BYTES),
      read_bufsize=bounded_reads.READ_BYTES,
      lingering_time=request_bodies.LINGERING_SECONDS,
    )
    # Messages of peers are answered at once or not at all.
    self._runner = web.ServerRunner(
      server, shutdown_timeout=PEER_SHUTDOWN_SECONDS
    )
    await self._runner.setup()
    await listen(self._runner, self.config.peers_address)

  def _list_handlers(self) -> list[tuple[str, Any, Handler]]:
    receiver = self.programs.copy_receiver
    return [
      ('program/open', turn_messages.OpenTurn, self.programs.open_turn),
      ('program/close', turn_messages.CloseTurn, self.programs.close_turn),
      (
        'program/copy',
        turn_messages.LedgerCopy,
        receiver.handle_copy,
      ),
      (
        'program/far',
        turn_messages.LedgerCopy,
        receiver.handle_remote_copy,
      ),
      ('program/ask', turn_messages.ProgramQuery, receiver.find_unsaved_copy),
      ('store/change', turn_messages.StoreChange, self.relay.change),
      ('store/read', turn_messages.StoreRead, self.relay.read),
      ('store/follow', turn_messages.StoreFollow, self.relay.follow),
      ('rate/take', rate_messages.AcquireRate, self.rate_owner.answer),
      ('rate/return', rate_messages.ReturnUnit, self.rate_owner.give_back),
      (
        'rate/hand-over',
        rate_messages.RateStateQuery,
        self.rate_owner.hand_over,
      ),
      ('feed', turn_messages.FeedQuery, self.feeds.answer),
      (
        crash_reports.RECORDS_PATH,
        attempt_reports.RecordsQuery,
        self.crash_reports.answer,
      ),
      (
        crash_reports.CLAIM_PATH,
        attempt_reports.ClaimPlace,
        self.crash_reports.answer_claim,
      ),
    ]

  # --- Stopping -------------------------------------------------------------

  async def leave(self) -> None:
    """Starts a planned stop; returns when listeners may be closed.

    The load balancer sends no new requests by then.  Programs are handed over
    meanwhile, and after that if the store or peers are slow.
    """
    stop = self.planned_stop
    stop.begin()
    self.fleet.is_leaving = True
    log.info(
      'Planned stop started with %d running requests; listeners close after '
      '%.1f s, the last answers are due after %.1f s.',
      self.serving.active,
      stop.schedule.drained,
      stop.schedule.answered,
      extra=event_log.RARE,
    )
    self.fleet.send_heartbeats()
    self._hand_over_task = asyncio.ensure_future(self._hand_over())
    await asyncio.sleep(stop.get_seconds_until(stop.schedule.drained))

  async def _hand_over(self) -> None:
    """Hands over all programs and removes this daemon's row from the store.

    A failure to remove it is only logged.
    """
    await self.programs.hand_over()
    try:
      await self.registration.unregister()
    except errors.WoadrunError as error:
      log.warning('Cannot unregister: %s', error.message)

  async def finish(self) -> None:
    """Writes the ends of turns to the store after the last request.

    Returns once all are written, or as the grace period ends.
    """
    stop = self.planned_stop
    try:
      async with asyncio.timeout(stop.get_seconds_until(stop.schedule.stored)):
        if self._hand_over_task is not None:
          await self._hand_over_task
        while await self.programs.flusher.flush(used_before=math.inf):
          await asyncio.sleep(FLUSH_RETRY_DELAY_SECONDS)
    except TimeoutError:
      log.warning('Planned stop: no time is left to settle programs.')
    log.info(
      'Planned stop finished: %d requests rejected, %d ended before their '
      'time.',
      stop.rejected,
      stop.cut,
      extra=event_log.RARE,
    )


async def listen(runner: web.BaseRunner, address: str) -> None:
  """Listens at IP:PORT; raises `OSError` if the address cannot be bound."""
  host, port = endpoints.split(address)
  await web.TCPSite(runner, host, port, reuse_address=True).start()


def make_request_factory(max_bytes: int) -> Callable[..., web.BaseRequest]:
  """Returns a request factory for aiohttp that limits the body size.

  Reading a larger body raises `web.HTTPRequestEntityTooLarge`.
  """

  def make(*parts: Any) -> web.BaseRequest:
    message, payload, protocol, writer, task = parts
    return web.BaseRequest(
      message,
      payload,
      protocol,
      writer,
      task,
      asyncio.get_running_loop(),
      client_max_size=max_bytes,
    )

  return make


def _make_dispatcher(
  handler_by_path: dict[str, peer_messages.Handler],
  account: memory_account.Account,
) -> Callable[[web.BaseRequest], Any]:
  async def dispatch(request: web.BaseRequest) -> web.StreamResponse:
    handler = handler_by_path.get(request.path.removeprefix('/peer/'))
    if handler is None or request.method != 'POST':
      return web.Response(status=404)
    name = f'{request.path} of {request.remote}'
    with account.hold(memory_account.Kind.PEER, name) as holder:
      try:
        body = await request_bodies.read(
          request, holder, limit=MAX_PEER_MESSAGE_BYTES
        )
      except errors.WoadrunError as error:
        log.warning('Message %s: %s', name, error.message)
        response = web.Response(status=error.status, body=error.get_body())
        response.force_close()
        return response
      reply = await handler(body)
    return web.Response(status=reply.status, body=reply.body)

  return dispatch
