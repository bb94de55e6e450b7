"""A stand-in for a service, which counts its runs of each request.

Requests are identified by their idempotency key.  Actions named `hang`
answer after `HANG_DELAY_SECONDS`, longer than any client waits; those named
`busy` run and answer with 503.  With `forgets` the service reports no outcome
of an earlier request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from aiohttp import web

from woadrun.standins import base

HANG_DELAY_SECONDS = 3600.0


class Service(base.StandIn):
  """A service that does not deduplicate: it runs a repeated call again.

  `runs_by_id` counts the runs by idempotency key.
  """

  def __init__(self, *, seconds: float = 0.002, forgets: bool = False) -> None:
    super().__init__()
    self.runs_by_id: dict[str, int] = {}
    self.seconds = seconds
    self._forgets = forgets
    self._response_by_id: dict[str, bytes] = {}

  def get_routes(self) -> Iterable[web.RouteDef]:
    """Returns the routes of the service's interface."""
    return [
      web.post('/actions/{action}', self._run),
      web.get('/outcomes/{id}', self._get_outcome),
      web.get('/runs', self._get_runs),
    ]

  async def _run(self, request: web.Request) -> web.Response:
    request_id = request.headers.get('Idempotency-Key', '')
    body = await request.read()
    self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
    if request.match_info['action'] == 'hang':
      await asyncio.sleep(HANG_DELAY_SECONDS)
    await asyncio.sleep(self.seconds)
    data = {
      'action': request.match_info['action'],
      'runs': self.runs_by_id[request_id],
      'size': len(body),
    }
    response = base.make_json_response(data)
    if isinstance(response.body, bytes):
      self._response_by_id[request_id] = response.body
    if request.match_info['action'] == 'busy':
      return base.make_json_response({'held': True}, status=503)
    return response

  async def _get_outcome(self, request: web.Request) -> web.Response:
    response_body = self._response_by_id.get(request.match_info['id'])
    if response_body is None or self._forgets:
      return web.Response(status=404)
    return web.Response(body=response_body, content_type='application/json')

  async def _get_runs(self, request: web.Request) -> web.Response:
    return base.make_json_response(self.runs_by_id)
