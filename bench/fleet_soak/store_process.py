"""The row store as a process of its own, with faults for single daemons.

Runs as `python store_process.py HOST LINKS CAPACITY`.  The process has one port
for each daemon, its link, and a port for the run that controls it.  It prints
all ports and ends with its standard input.
"""

from __future__ import annotations

import asyncio
import collections
import logging
import sys
import time
from typing import Any

from aiohttp import web
import msgspec

from woadrun.platform import standin
from woadrun.standins import rows as memory

# Share of the calls of a kind that take no longer than their reported time.
REPORTED_QUANTILE = 0.9
# Time of a call on the platform, and its limits on calls in a second; calls
# beyond these are answered with 429.
ANSWER_SECONDS = 0.004
LIMIT_BY_CALL = {'rows-tx': 800, 'rows-get': 2000}


class Service:
  """How fast the store serves the calls of all daemons.

  Calls other than long polls are served one after the other, at most `capacity`
  in a second (0 means any number), and within the limits of the platform.
  """

  def __init__(self, *, capacity: float) -> None:
    self._seconds = 1.0 / capacity if capacity else 0.0
    self._free_at = 0.0
    self._window = 0
    self._calls: collections.Counter[str] = collections.Counter()

  def takes(self, name: str) -> bool:
    """Returns whether a call is within the limits of this second."""
    window = int(time.monotonic())
    if window != self._window:
      self._window = window
      self._calls.clear()
    self._calls[name] += 1
    return self._calls[name] <= LIMIT_BY_CALL.get(name, self._calls[name])

  async def serve(self, name: str) -> None:
    """Returns once a call has had its turn, also one that was given up."""
    if name not in LIMIT_BY_CALL:
      return
    now = time.monotonic()
    self._free_at = max(now, self._free_at) + self._seconds
    await asyncio.sleep(max(ANSWER_SECONDS, self._free_at - now))


class Link:
  """The store as one daemon reaches it.

  Calls of a link that `is_silent` are not applied and get no answer; those of
  one that `is_refusing` get status 503.  `seconds_by_call` has the durations of
  the calls that were answered.
  """

  def __init__(self, *, service: Service) -> None:
    self._service = service
    self.is_refusing = False
    self._healed = asyncio.Event()
    self._healed.set()
    self.calls: collections.Counter[str] = collections.Counter()
    self.seconds_by_call: dict[str, list[float]] = collections.defaultdict(list)

  @property
  def is_silent(self) -> bool:
    """Whether calls get no answer."""
    return not self._healed.is_set()

  def set_silent(self, is_silent: bool) -> None:
    """Begins or ends a silence; its end closes the connections it held."""
    if is_silent:
      self._healed.clear()
    else:
      self._healed.set()

  def make_middleware(self) -> Any:
    """Returns the middleware that applies the faults."""

    @web.middleware
    async def apply_faults(
      request: web.Request, handler: Any
    ) -> web.StreamResponse:
      name = request.path.rpartition('/')[2]
      self.calls[name] += 1
      began = time.monotonic()
      if self.is_silent:
        return await self._hold(request)
      if self.is_refusing:
        return web.Response(status=503)
      if not self._service.takes(name):
        return web.Response(status=429)
      await self._service.serve(name)
      response: web.StreamResponse = await handler(request)
      if self.is_silent:
        return await self._hold(request)
      self.seconds_by_call[name].append(time.monotonic() - began)
      return response

    return apply_faults

  async def _hold(self, request: web.Request) -> web.Response:
    await self._healed.wait()
    if request.transport is not None:
      request.transport.abort()
    return web.Response(status=503)

  def take_statistics(self) -> dict[str, Any]:
    """Returns and resets the counts and durations of calls, in seconds."""
    found = {
      name: {
        'calls': count,
        'answered': len(self.seconds_by_call[name]),
        'usual': _get_quantile(self.seconds_by_call[name]),
      }
      for name, count in self.calls.items()
    }
    self.calls.clear()
    self.seconds_by_call.clear()
    return found


class StoreProcess:
  """A store with a link for each daemon, and the control of both."""

  def __init__(self, *, links: int, capacity: float) -> None:
    self._kept = memory.MemoryRowStore()
    service = Service(capacity=capacity)
    self._links = [Link(service=service) for _ in range(links)]
    self._runners: list[web.AppRunner] = []

  async def start(self, host: str) -> list[int]:
    """Starts to listen and returns the ports, that of the control first."""
    control = web.Application()
    control.add_routes(
      [
        web.post('/faults', self._set_faults),
        web.post('/statistics', self._take_statistics),
        web.post('/rows', self._find_rows),
      ]
    )
    applications = [control]
    # The control has the calls of the store as well, without faults.
    control.add_subapp('/store', self._make_store([]))
    for link in self._links:
      applications.append(self._make_store([link.make_middleware()]))
    return [await self._listen(host, app) for app in applications]

  def _make_store(self, middlewares: list[Any]) -> web.Application:
    server = standin.StoreServer(kept=self._kept)
    application = server.make_application()
    application.middlewares.extend(middlewares)
    return application

  async def _listen(self, host: str, application: web.Application) -> int:
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    self._runners.append(runner)
    await runner.setup()
    await web.TCPSite(runner, host, 0).start()
    port: int = runner.addresses[0][1]
    return port

  async def stop(self) -> None:
    """Closes all ports."""
    for runner in self._runners:
      await runner.cleanup()

  async def _set_faults(self, request: web.Request) -> web.Response:
    """Sets the faults of some links: a list of numbers and two flags."""
    body = await request.json()
    for number in body['links']:
      self._links[number].set_silent(body['is_silent'])
      self._links[number].is_refusing = body['is_refusing']
    return web.json_response({})

  async def _take_statistics(self, request: web.Request) -> web.Response:
    del request
    return web.json_response([link.take_statistics() for link in self._links])

  async def _find_rows(self, request: web.Request) -> web.Response:
    """Tells which of some rows, named by table, part and name, exist."""
    wanted = {tuple(key) for key in await request.json()}
    found = {(key.table, key.part, key.name) for key in self._kept.row_by_key}
    return web.json_response(sorted(wanted & found))


def _get_quantile(seconds: list[float]) -> float | None:
  if not seconds:
    return None
  return sorted(seconds)[int(len(seconds) * REPORTED_QUANTILE)]


async def _run(host: str, links: int, capacity: float) -> None:
  store = StoreProcess(links=links, capacity=capacity)
  ports = await store.start(host)
  print(msgspec.json.encode(ports).decode(), flush=True)
  await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
  await store.stop()


if __name__ == '__main__':
  # Daemons that are killed or give up break their calls off.
  logging.getLogger('aiohttp.server').setLevel(logging.CRITICAL)
  asyncio.run(_run(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
