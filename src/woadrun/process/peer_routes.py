"""HTTP routes for requests from other daemons."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from aiohttp import web

from woadrun import decoding
from woadrun.connection import messages
from woadrun.connection import response_ends
from woadrun.process import cache_reconciler
from woadrun.process import configuration
from woadrun.process import dispatcher
from woadrun.process import groups
from woadrun.process import limits
from woadrun.process import membership
from woadrun.process import outage
from woadrun.process import ownership
from woadrun.request import access
from woadrun.request import calls
from woadrun.request import forwarding
from woadrun.request import gateway
from woadrun.request import owner
from woadrun.request import recovery
from woadrun.request import request_memory

MessageHandler = Callable[[Any], Any]


class PeerRoutes:
  """Handlers of the requests from other daemons."""

  def __init__(
    self,
    *,
    authenticator: access.Authenticator,
    members: membership.Membership,
    ownership: ownership.Ownership,
    outage_handler: outage.OutageHandler,
    table: configuration.Configuration,
    permits: dispatcher.PermitDispatcher,
    row_limits: limits.Limits,
    local: owner.ProgramOwner,
    recovery_service: recovery.Recovery,
    caches: cache_reconciler.CacheReconciler,
    writer: groups.RecordGroups,
  ) -> None:
    self._guard = authenticator
    self._members = members
    self._ownership = ownership
    self._outage = outage_handler
    self._table = table
    self._permits = permits
    self._limits = row_limits
    self._local = local
    self._recovery = recovery_service
    self._caches = caches
    self._groups = writer

  def get_routes(self) -> list[web.RouteDef]:
    """Returns the routes for requests from other daemons."""
    held, local = self._ownership, self._local
    handlers: list[tuple[str, Any, MessageHandler]] = [
      ('heartbeat', messages.Heartbeat, self._handle_heartbeat),
      ('alive', messages.LivenessQuery, self._handle_alive),
      ('roster/get', messages.RosterQuery, self._handle_roster_request),
      ('roster/put', messages.RosterAnswer, self._adopt_roster),
      ('replicate', messages.Replicate, held.copies.receive),
      ('records', messages.Group, self._groups.merge_and_store),
      ('sync', messages.Sync, held.copies.store_copy),
      ('sync/forget', messages.Sync, held.copies.drop_copy),
      ('copies', messages.Copies, held.find_available_slots),
      ('offer', messages.Offer, self._outage.accept_offer),
      ('handover', messages.Handover, self._recovery.record_handover),
      ('running', messages.Requests, self._recovery.get_running_calls),
      ('finish', messages.ReportOutcome, self._recovery.handle_finished),
      ('edits', messages.EditsQuery, lambda m: self._table.get_edits(m.after)),
      ('permit', messages.Acquire, self._permits.queue),
      ('release', messages.Releases, self._permits.release_slots),
      ('hold', messages.HeldPermits, self._permits.apply_hold),
      ('limit', messages.Borrow, self._limits.lend),
      ('limit/hold', messages.HeldPlaces, self._limits.apply_holds),
      ('gone', messages.Programs, self._caches.find_gone),
      ('start', calls.StartProgram, local.start_program),
      ('steer', calls.ProgramCommand, self._steer),
    ]
    routes = [
      web.post(f'/peer/{path}', self._make_handler(type, answer))
      for path, type, answer in handlers
    ]
    return [*routes, web.post('/peer/call', self._call)]

  def _make_handler(self, type: Any, answer: MessageHandler) -> gateway.Handler:
    async def handle(request: web.Request) -> web.Response:
      self._guard.check_peer(request)
      result = answer(
        decoding.decode_json(await request_memory.read(request), type=type)
      )
      if isinstance(result, Awaitable):
        result = await result
      return gateway.make_json_response(result)

    return handle

  def _handle_heartbeat(
    self, heartbeat: messages.Heartbeat
  ) -> messages.Heartbeat:
    self._members.record_heartbeat(heartbeat)
    self._ownership.release_claimed_slots(heartbeat.claims)
    return self._members.make_heartbeat()

  def _handle_alive(
    self, ask: messages.LivenessQuery
  ) -> messages.LivenessAnswer:
    return messages.LivenessAnswer(
      is_heard=self._members.has_recent_heartbeat(ask.address),
      roster_version=self._members.roster.version,
    )

  def _handle_roster_request(
    self, ask: messages.RosterQuery
  ) -> messages.RosterAnswer:
    if ask.domain == self._members.domain:
      return messages.RosterAnswer(
        roster=self._members.roster,
        claims=self._members.directory.get_known_claims(),
      )
    known = self._members.directory.roster_by_domain.get(ask.domain)
    return messages.RosterAnswer(roster=known)

  def _adopt_roster(self, message: messages.RosterAnswer) -> messages.Done:
    if message.roster is not None:
      self._members.apply_roster(message.roster)
    return messages.Done()

  async def _steer(self, steer: calls.ProgramCommand) -> Any:
    return await forwarding.control_program_locally(self._local, steer)

  async def _call(self, request: web.Request) -> web.StreamResponse:
    self._guard.check_peer(request)
    call = decoding.decode_json(
      await request_memory.read(request), type=calls.Call
    )
    is_stream = request.headers.get(forwarding.STREAM_HEADER) == '1'
    answer = await self._local.call(call, is_stream=is_stream)
    await answer.wait_for_head()
    response = web.StreamResponse(status=answer.status)
    response.content_type = answer.content_type
    try:
      return await gateway.write_chunks(request, response, answer.read())
    except calls.StreamInterrupted:
      response_ends.abort_body(request)
      return response
    except ConnectionResetError:
      # The gateway or its caller has closed the connection.
      return response
