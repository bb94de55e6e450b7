"""A stand-in for a model engine.

It runs a limited number of calls at a time, computes the part of a prompt that
is not in its prefix cache at a fixed rate, and streams one event per token.
Tokens are words separated by whitespace; the same prompt always gives the same
answer.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Iterable
import dataclasses
import hashlib
import time
from typing import Any

from aiohttp import web
import msgspec

from woadrun.standins import base

MAX_RETAINED_STREAMS = 1000
MAX_RETAINED_CACHE_EVENTS = 200
YIELD_INTERVAL_TOKENS = 64


@dataclasses.dataclass(eq=False, kw_only=True)
class _Stream:
  """The events of one call so far, which several responses may read."""

  events: list[bytes] = dataclasses.field(default_factory=list)
  is_done: bool = False
  is_cancelled: bool = False
  changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

  def add(self, event: bytes) -> None:
    self.events.append(event)
    self.notify()

  def notify(self) -> None:
    self.changed.set()
    self.changed = asyncio.Event()


class Engine(base.StandIn):
  """An engine with the interface that daemons use.

  `report_lag` is the delay in seconds with which the engine reports its load
  and its cache events.  With `checks_fencing` the engine refuses orders and
  cache drops whose fencing number is below the highest one received.
  """

  def __init__(
    self,
    *,
    slots: int = 8,
    cache_tokens: int = 200_000,
    prefill_rate: float = 50_000.0,
    token_seconds: float = 0.0005,
    checks_fencing: bool = True,
    report_lag: float = 0.5,
  ) -> None:
    super().__init__()
    self._semaphore = _PrioritySemaphore(slots)
    self._cache_tokens = cache_tokens
    self._prefill_rate = prefill_rate
    self._token_seconds = token_seconds
    self._checks_fencing = checks_fencing
    self._report_lag = report_lag
    self._tokens_by_salt: OrderedDict[str, int] = OrderedDict()
    self._cache_events: list[dict[str, Any]] = []
    self._stream_by_id: OrderedDict[str, _Stream] = OrderedDict()
    self._highest_fencing = 0
    self._load_report: dict[str, int] = {}
    self._reported_at = 0.0
    self.slowdown = 1.0
    self.orders: list[dict[str, Any]] = []
    self.calls = 0

  def get_routes(self) -> Iterable[web.RouteDef]:
    """Returns the routes of the engine."""
    return [
      web.post('/v1/chat/completions', self._complete),
      web.get('/v1/streams/{id}', self._resume),
      web.post('/v1/streams/{id}/cancel', self._cancel),
      web.get('/v1/load', self._get_load),
      web.get('/v1/cache', self._get_cache),
      web.get('/v1/cache/events', self._get_cache_events),
      web.post('/v1/cache/drop', self._drop_cache),
      web.post('/v1/cache/export', self._export_cache),
      web.post('/v1/cache/import', self._import_cache),
      web.post('/v1/orders', self._accept_order),
      web.post('/slow', self._set_slowdown),
    ]

  # --- Calls ----------------------------------------------------------------

  async def _complete(self, request: web.Request) -> web.StreamResponse:
    body = msgspec.json.decode(await request.read())
    call_id = request.headers.get('X-Request-Id', str(time.monotonic_ns()))
    stream = _Stream()
    self._stream_by_id[call_id] = stream
    while len(self._stream_by_id) > MAX_RETAINED_STREAMS:
      self._stream_by_id.popitem(last=False)
    self.calls += 1
    task = asyncio.ensure_future(self._generate(stream, body, call_id))
    task.add_done_callback(lambda _: stream.notify())
    return await self._send(request, stream)

  async def _generate(
    self, stream: _Stream, body: dict[str, Any], call_id: str
  ) -> None:
    await self._semaphore.acquire(-int(body.get('priority', 0)))
    try:
      await self._compute(stream, body, call_id)
    finally:
      self._semaphore.release()
      stream.is_done = True

  async def _compute(
    self, stream: _Stream, body: dict[str, Any], call_id: str
  ) -> None:
    text = '\n'.join(str(m.get('content')) for m in body['messages'])
    prompt = max(1, len(text.split()))
    salt = str(body.get('cache_salt', ''))
    cached = min(self._tokens_by_salt.get(salt, 0), prompt)
    await asyncio.sleep(self.slowdown * (prompt - cached) / self._prefill_rate)
    words = _make_words(text, int(body.get('max_tokens') or 16), body)
    token_interval = self._token_seconds * self.slowdown
    started = time.monotonic()
    for index, word in enumerate(words):
      if stream.is_cancelled:
        return
      stream.add(_make_event({'delta': {'content': word}}, call_id))
      # Sleep only when ahead of schedule: the timer's resolution is too coarse
      # for one sleep per token.  Yield to other tasks at a fixed interval.
      ahead = started + (index + 1) * token_interval - time.monotonic()
      if ahead > 0.001 or index % YIELD_INTERVAL_TOKENS == 0:
        await asyncio.sleep(max(0.0, ahead))
    self._cache_prefix(salt, prompt + len(words))
    stream.add(_make_event({'delta': {}, 'finish_reason': 'stop'}, call_id))
    usage = {'prompt_tokens': prompt, 'completion_tokens': len(words)}
    stream.add(_encode({'id': call_id, 'choices': [], 'usage': usage}))
    stream.add(b'data: [DONE]\n\n')

  async def _send(
    self, request: web.Request, stream: _Stream
  ) -> web.StreamResponse:
    response = self.make_stream()
    response.content_type = 'text/event-stream'
    await response.prepare(request)
    if self.take_truncation(request):
      await self._send_half(request, response, stream)
      return response
    index = 0
    while True:
      changed = stream.changed
      if index < len(stream.events):
        data = b''.join(stream.events[index:])
        index = len(stream.events)
        await response.write(data)
      if stream.is_done and index == len(stream.events):
        break
      if changed is stream.changed:
        await changed.wait()
    if stream.is_cancelled and request.transport is not None:
      request.transport.abort()
    await response.write_eof()
    return response

  async def _send_half(
    self,
    request: web.Request,
    response: web.StreamResponse,
    stream: _Stream,
  ) -> None:
    """Sends about half of a stream, up to a place inside an event."""
    while not stream.is_done:
      await stream.changed.wait()
    half = b''.join(stream.events)
    half = half[: len(half) // 2].removesuffix(b'\n').removesuffix(b'\n')
    await response.write(half)
    self.break_off(request)

  async def _resume(self, request: web.Request) -> web.StreamResponse:
    stream = self._stream_by_id.get(request.match_info['id'])
    if stream is None or stream.is_cancelled:
      return web.Response(status=404)
    return await self._send(request, stream)

  async def _cancel(self, request: web.Request) -> web.Response:
    stream = self._stream_by_id.get(request.match_info['id'])
    if stream is not None:
      stream.is_cancelled = True
    return base.make_json_response({})

  # --- Cache ----------------------------------------------------------------

  def _cache_prefix(self, salt: str, tokens: int) -> None:
    self._tokens_by_salt[salt] = max(tokens, self._tokens_by_salt.pop(salt, 0))
    self._record_cache_event('stored', salt)
    while sum(self._tokens_by_salt.values()) > self._cache_tokens:
      evicted, _ = self._tokens_by_salt.popitem(last=False)
      self._record_cache_event('evicted', evicted)

  def _record_cache_event(self, kind: str, salt: str) -> None:
    self._cache_events.append({'kind': kind, 'salt': salt, 'time': time.time()})
    del self._cache_events[:-MAX_RETAINED_CACHE_EVENTS]

  async def _get_cache(self, request: web.Request) -> web.Response:
    return base.make_json_response(
      [{'salt': s, 'tokens': t} for s, t in self._tokens_by_salt.items()]
    )

  async def _get_cache_events(self, request: web.Request) -> web.Response:
    # Events are reported late and may be missed: only the latest ones are
    # retained.
    reported_until = time.time() - self._report_lag
    return base.make_json_response(
      [e for e in self._cache_events if e['time'] < reported_until]
    )

  async def _drop_cache(self, request: web.Request) -> web.Response:
    message = await request.json()
    if self._is_stale(message):
      return web.Response(status=409)
    if self._tokens_by_salt.pop(message['salt'], None) is not None:
      self._record_cache_event('dropped', message['salt'])
    return base.make_json_response({})

  async def _export_cache(self, request: web.Request) -> web.Response:
    message = await request.json()
    tokens = self._tokens_by_salt.get(message['salt'], 0)
    return base.make_json_response({'salt': message['salt'], 'tokens': tokens})

  async def _import_cache(self, request: web.Request) -> web.Response:
    message = await request.json()
    self._cache_prefix(message['salt'], message['tokens'])
    return base.make_json_response({})

  # --- Orders and load ------------------------------------------------------

  def _is_stale(self, message: dict[str, Any]) -> bool:
    number = int(message.get('fencing', 0))
    if self._checks_fencing and number < self._highest_fencing:
      return True
    self._highest_fencing = max(self._highest_fencing, number)
    return False

  async def _accept_order(self, request: web.Request) -> web.Response:
    message = await request.json()
    if self._is_stale(message):
      return web.Response(status=409)
    self.orders.append(message)
    return base.make_json_response({})

  async def _get_load(self, request: web.Request) -> web.Response:
    now = time.monotonic()
    if now - self._reported_at > self._report_lag:
      self._load_report = {
        'running': self._semaphore.running,
        'waiting': self._semaphore.waiting,
        'cached_tokens': sum(self._tokens_by_salt.values()),
      }
      self._reported_at = now
    return base.make_json_response(self._load_report)

  async def _set_slowdown(self, request: web.Request) -> web.Response:
    self.slowdown = float((await request.json())['factor'])
    return base.make_json_response({})


class _PrioritySemaphore:
  """A semaphore whose waiters are served by priority.

  The lowest number goes first, and within a number the first to wait.
  """

  def __init__(self, slots: int) -> None:
    self._free_slots = slots
    self._waiters: asyncio.PriorityQueue[tuple[int, int, asyncio.Future]] = (
      asyncio.PriorityQueue()
    )
    self._sequence_number = 0
    self.running = 0

  @property
  def waiting(self) -> int:
    return self._waiters.qsize()

  async def acquire(self, priority: int) -> None:
    if self._free_slots == 0:
      waiter = asyncio.get_running_loop().create_future()
      self._sequence_number += 1
      self._waiters.put_nowait((priority, self._sequence_number, waiter))
      await waiter
    else:
      self._free_slots -= 1
    self.running += 1

  def release(self) -> None:
    self.running -= 1
    if self._waiters.empty():
      self._free_slots += 1
    else:
      self._waiters.get_nowait()[2].set_result(None)


def _make_words(text: str, max_tokens: int, body: dict[str, Any]) -> list[str]:
  requested = int(body.get('woadrun_test_tokens') or min(max_tokens, 16))
  seed = hashlib.blake2b(text.encode(), digest_size=4).hexdigest()
  return [f'w{seed}{index} ' for index in range(min(max_tokens, requested))]


def _make_event(choice: dict[str, Any], call_id: str) -> bytes:
  return _encode({'id': call_id, 'choices': [{'index': 0, **choice}]})


def _encode(event: dict[str, Any]) -> bytes:
  return b'data: ' + msgspec.json.encode(event) + b'\n\n'
