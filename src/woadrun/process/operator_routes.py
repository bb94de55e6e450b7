"""HTTP routes for operators: the table, the state dump and health."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
import msgspec

from woadrun import errors
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.process import configuration
from woadrun.process import membership
from woadrun.request import access
from woadrun.request import gateway
from woadrun.request import request_memory
from woadrun.version import rows

STATUS_TIMEOUT_SECONDS = 1.0


class EditBody(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
  """The body of an edit: each row as the editor read it and the new row."""

  changes: list[rows.RowChange]


class DaemonVersion(msgspec.Struct, kw_only=True):
  """The table version in effect at a daemon, or None if it did not answer."""

  address: str
  domain: str
  version: int | None


class OperatorRoutes:
  """Handlers of the requests from operators."""

  def __init__(
    self,
    *,
    authenticator: access.Authenticator,
    members: membership.Membership,
    table: configuration.Configuration,
    messenger: peers.Peers,
    dump: Callable[[], dict[str, Any]],
  ) -> None:
    self._guard = authenticator
    self._members = members
    self._table = table
    self._peers = messenger
    self._dump = dump

  def get_routes(self) -> list[web.RouteDef]:
    """Returns the routes for requests from operators."""
    return [
      web.get('/operate/table', self._get_table),
      web.post('/operate/table', self._edit_table),
      web.get('/operate/table/history', self._get_history),
      web.get('/operate/table/status', self._get_status),
      web.get('/operate/dump', self._get_dump),
      web.get('/health', self._get_health),
    ]

  async def _get_table(self, request: web.Request) -> web.Response:
    self._guard.authenticate_operator(request)
    data = [row.model_dump() for row in self._table.row_by_key.values()]
    return gateway.make_json_response(
      {'version': self._table.version, 'rows': data}
    )

  async def _edit_table(self, request: web.Request) -> web.Response:
    author = self._guard.authenticate_operator(request)
    body = gateway.decode_json(await request_memory.read(request), EditBody)
    edit = await self._table.submit(tuple(body.changes), author=author)
    return gateway.make_json_response({'version': edit.version})

  async def _get_history(self, request: web.Request) -> web.Response:
    self._guard.authenticate_operator(request)
    return gateway.make_json_response(self._table.edits)

  async def _get_status(self, request: web.Request) -> web.Response:
    self._guard.authenticate_operator(request)
    known = dict.fromkeys(
      self._members.roster.incarnations, self._members.domain
    )
    for vm in self._members.vms.vm_by_address.values():
      known.setdefault(vm.address, vm.domain)
    known.pop(self._members.address, None)
    found = await asyncio.gather(
      *(
        self._fetch_version(address, domain)
        for address, domain in known.items()
      )
    )
    own = DaemonVersion(
      address=self._members.address,
      domain=self._members.domain,
      version=self._table.version,
    )
    return gateway.make_json_response([own, *found])

  async def _fetch_version(self, address: str, domain: str) -> DaemonVersion:
    version: int | None = None
    try:
      heartbeat = await self._peers.post(
        address,
        'heartbeat',
        self._members.make_heartbeat(),
        type=messages.Heartbeat,
        timeout=STATUS_TIMEOUT_SECONDS,
      )
      version = heartbeat.table_version
    except errors.WoadrunError:
      pass
    return DaemonVersion(address=address, domain=domain, version=version)

  async def _get_dump(self, request: web.Request) -> web.Response:
    self._guard.authenticate_operator(request)
    return gateway.make_json_response(self._dump())

  async def _get_health(self, request: web.Request) -> web.Response:
    # The load balancer sends no token.  Status 503 keeps it from sending
    # further requests to a daemon that is leaving.
    state = 'leaving' if self._members.is_leaving else 'ok'
    status = 503 if self._members.is_leaving else 200
    return gateway.make_json_response({'state': state}, status=status)
