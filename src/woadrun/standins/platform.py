"""A stand-in for the platform: row tables, objects, VMs, model weights."""

from __future__ import annotations

import asyncio
import bisect
from collections.abc import Iterable

from aiohttp import web

from woadrun.standins import base


class Platform(base.StandIn):
  """Table service, object store, list of VMs and weight store on one port.

  Rows have entity tags and conditional writes (RFC 9110, section 13).
  """

  def __init__(self) -> None:
    super().__init__()
    self._rows_by_table: dict[str, dict[str, tuple[int, bytes]]] = {}
    self._sorted_keys_by_table: dict[str, list[str]] = {}
    self._objects: dict[str, bytes] = {}
    self._vms: list[dict[str, str]] = []
    self._weights_semaphore = asyncio.Semaphore(2)
    self.table_writes = 0

  def get_routes(self) -> Iterable[web.RouteDef]:
    """Returns the routes of the platform's interface."""
    return [
      web.get('/tables/{table}/rows', self._list_rows),
      web.get('/tables/{table}/rows/{key}', self._get_row),
      web.put('/tables/{table}/rows/{key}', self._put_row),
      web.get('/objects', self._list_objects),
      web.get('/objects/{key:.+}', self._get_object),
      web.put('/objects/{key:.+}', self._put_object),
      web.delete('/objects/{key:.+}', self._delete_object),
      web.get('/vms', self._get_vms),
      web.put('/vms', self._put_vms),
      web.get('/weights/{model}', self._get_weights),
      web.get('/counts', self._get_counts),
    ]

  async def _list_rows(self, request: web.Request) -> web.Response:
    table = request.match_info['table']
    keys = self._sorted_keys_by_table.get(table, [])
    first = bisect.bisect_right(keys, request.query.get('after', ''))
    page = keys[first : first + int(request.query.get('limit', '100'))]
    rows = self._rows_by_table.get(table, {})
    return base.make_json_response(
      [{'key': k, 'value': rows[k][1].decode()} for k in page]
    )

  async def _get_row(self, request: web.Request) -> web.Response:
    table, key = request.match_info['table'], request.match_info['key']
    stored = self._rows_by_table.get(table, {}).get(key)
    if stored is None:
      return web.Response(status=404)
    return web.Response(body=stored[1], headers={'ETag': f'"{stored[0]}"'})

  async def _put_row(self, request: web.Request) -> web.Response:
    table, key = request.match_info['table'], request.match_info['key']
    value = await request.read()
    rows = self._rows_by_table.setdefault(table, {})
    stored = rows.get(key)
    tag = f'"{stored[0]}"' if stored else None
    required_tag = request.headers.get('If-Match')
    must_not_exist = request.headers.get('If-None-Match') == '*'
    if (must_not_exist and stored) or (
      not must_not_exist and (tag is None or required_tag != tag)
    ):
      return web.Response(status=412)
    if stored is None:
      bisect.insort(self._sorted_keys_by_table.setdefault(table, []), key)
    version = stored[0] + 1 if stored else 1
    rows[key] = (version, value)
    self.table_writes += 1
    return web.Response(
      status=200 if stored else 201, headers={'ETag': f'"{version}"'}
    )

  async def _list_objects(self, request: web.Request) -> web.Response:
    prefix = request.query.get('prefix', '')
    return base.make_json_response(
      sorted(k for k in self._objects if k.startswith(prefix))
    )

  async def _get_object(self, request: web.Request) -> web.Response:
    stored = self._objects.get(request.match_info['key'])
    if stored is None:
      return web.Response(status=404)
    return web.Response(body=stored)

  async def _put_object(self, request: web.Request) -> web.Response:
    self._objects[request.match_info['key']] = await request.read()
    return web.Response(status=201)

  async def _delete_object(self, request: web.Request) -> web.Response:
    self._objects.pop(request.match_info['key'], None)
    return web.Response(status=204)

  async def _get_vms(self, request: web.Request) -> web.Response:
    return base.make_json_response(self._vms)

  async def _put_vms(self, request: web.Request) -> web.Response:
    self._vms = await request.json()
    return web.Response(status=204)

  async def _get_weights(self, request: web.Request) -> web.Response:
    if self._weights_semaphore.locked():
      return web.Response(status=429)
    async with self._weights_semaphore:
      await asyncio.sleep(0.5)
      return web.Response(body=request.match_info['model'].encode())

  async def _get_counts(self, request: web.Request) -> web.Response:
    return base.make_json_response(
      {
        'requests': self.requests,
        'writes': self.writes,
        'refused': self.refused,
        'table_writes': self.table_writes,
        'objects': len(self._objects),
      }
    )
