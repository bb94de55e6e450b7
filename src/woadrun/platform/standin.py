"""In-memory fake of the platform's metadata store, for tests."""

from __future__ import annotations

import base64
from typing import Any

from aiohttp import web
import msgspec

from woadrun import errors
from woadrun.connection import rows
from woadrun.standins import rows as memory


class StoreServer:
  """Serves the HTTP API of the store from rows in memory."""

  def __init__(self, *, kept: memory.MemoryRowStore) -> None:
    self.kept = kept

  def make_application(self) -> web.Application:
    """Returns the web application with the store's routes."""
    application = web.Application(middlewares=[_map_error_to_503])
    application.add_routes(
      [
        web.post('/-/rows-tx', self._change),
        web.get('/-/rows-get', self._read),
        web.get('/-/rows-feed', self._follow),
      ]
    )
    return application

  async def _change(self, request: web.Request) -> web.Response:
    body = msgspec.json.decode(await request.read())
    outcome = await self.kept.change(
      writes=[
        (_get_key(row), base64.b64decode(row['value']))
        for row in body['writes']
      ],
      removes=[_get_key(row) for row in body['remove']],
      conditions=[
        (_get_key(row), row['ver']) for row in body['expected_revision']
      ],
    )
    return _make_response(
      outcome.rows,
      version=outcome.version,
      clock=outcome.clock,
      status=200 if outcome.is_done else 412,
    )

  async def _read(self, request: web.Request) -> web.Response:
    query = request.query
    page = await self.kept.read(
      query['table'],
      query['part'],
      first=query.get('from', ''),
      end=query.get('target_version', ''),
    )
    return _make_response(
      page.rows, version=page.version, clock=page.clock, is_cut=page.is_cut
    )

  async def _follow(self, request: web.Request) -> web.Response:
    query = request.query
    try:
      page = await self.kept.follow(
        query['table'],
        after=int(query['after']),
        wait=int(query['wait_ms']) / 1000,
      )
    except rows.HistoryGone:
      return web.Response(status=410)
    return _make_response(page.rows, version=page.version, clock=page.clock)


@web.middleware
async def _map_error_to_503(
  request: web.Request, handler: Any
) -> web.StreamResponse:
  try:
    response: web.StreamResponse = await handler(request)
    return response
  except rows.CallRejected:
    return web.Response(status=413)
  except errors.WoadrunError:
    return web.Response(status=503)


def _get_key(row: dict[str, Any]) -> rows.Key:
  return rows.Key(row['table'], row['part'], row['tls_key'])


def _make_response(
  found: tuple[rows.Row, ...],
  *,
  version: int,
  clock: float | None,
  status: int = 200,
  is_cut: bool = False,
) -> web.Response:
  listed = [
    {
      'table': row.key.table,
      'part': row.key.part,
      'tls_key': row.key.name,
      'value': base64.b64encode(row.value).decode(),
      'ver': row.version,
      'deleted': row.is_removed,
    }
    for row in found
  ]
  body = {
    'rows': listed,
    'ver': version,
    'truncated': is_cut,
    'now_ms': int((clock or 0.0) * 1000),
  }
  return web.Response(
    body=msgspec.json.encode(body),
    status=status,
    content_type='application/json',
  )
