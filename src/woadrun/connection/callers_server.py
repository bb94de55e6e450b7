"""An HTTP server that finishes what its connections have begun when it stops.

aiohttp discards all bytes that arrive on a connection once the server stops,
also the rest of a request that it has begun to read.

A socket that is closed with unread bytes, or receives bytes after its close,
resets its connection, and the kernel drops what it has not delivered.  So these
connections read on after the last response (RFC 9112, section 9.6).
"""

from __future__ import annotations

import array
import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import fcntl
import logging
import math
import termios
import time
from typing import Any

from aiohttp import http_parser
from aiohttp import streams
from aiohttp import web

from woadrun.connection import bounded_reads
from woadrun.connection import caller_bounds
from woadrun.connection import memory_account
from woadrun.connection import response_ends
from woadrun.version import routes

log = logging.getLogger('woadrun.connections')

POLL_INTERVAL_SECONDS = 0.01
# Time for which a caller may send on after the last response.
LINGER_SECONDS = 5.0
# Time for which a stopping server serves requests on connections that are idle
# as its listener closes: they may be on their way.
CROSSING_SECONDS = 0.02
# Bytes of a head that is not complete, also of all such heads together.  Those
# up to the small size are not rejected for the others.
MAX_HEAD_BYTES = 131_072
MAX_HEADS_BYTES = 4 * 1024 * 1024
SMALL_HEAD_BYTES = 8_192
MIN_HEAD_SECONDS = 0.1
# Interval at which connections without progress are looked for.
SWEEP_SECONDS = 1.0
# Interval at which connections are closed for the memory of all, unless they
# exceed it by far.
RELIEF_SECONDS = 0.05
# Bytes of a response that the process holds before its sender waits.
WRITE_BUFFER_BYTES = 16_384
# Size of a read of a body whose framing exceeds its payload.
SMALL_READ_BYTES = 1_024
# Size of the first read of a connection, which happens before it is known how
# many others are read at the same time.
FIRST_READ_BYTES = 2_048
# Limits of a server that is given none.
DEFAULT_LIMITS = routes.Limits(
  header_bytes=MAX_HEAD_BYTES, header_timeout=10.0, idle_timeout=60.0
)
_HEAD_END = b'\r\n\r\n'
_LARGE_HEAD = (
  b'HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n'
  b'Content-Length: 0\r\n\r\n'
)
# Responses to a request of which nothing, or only a part of the head, has
# arrived.
_BUSY = (
  b'HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n'
  b'Retry-After: 0.50\r\nContent-Length: 0\r\n\r\n'
)
_INCOMPLETE_HEAD = (
  b'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n'
  b'Content-Length: 0\r\n\r\n'
)


class _LingeringTransport:
  """A transport whose `close` ends sending, and reads until the caller closes.

  It closes at the latest `LINGER_SECONDS` after the kernel has all bytes, and
  at once unless `on_close` returns that a response was sent just before.
  """

  def __init__(
    self, transport: asyncio.Transport, *, on_close: Callable[[], bool]
  ) -> None:
    self._transport = transport
    self._on_close = on_close
    self._is_lingering = False
    self.write = transport.write
    self.writelines = transport.writelines

  def __getattr__(self, name: str) -> Any:
    return getattr(self._transport, name)

  def is_closing(self) -> bool:
    """Returns whether nothing more can be sent."""
    return self._is_lingering or self._transport.is_closing()

  def close(self) -> None:
    """Closes the connection once the caller can have all that was sent."""
    if self.is_closing():
      return
    # Without a response, a reset tells the caller that nothing was read.
    if not self._on_close():
      self._transport.close()
      return
    if response_ends.resets_on_close(self._transport):
      self._transport.close()
      return
    try:
      self._transport.write_eof()
    except OSError as error:
      log.info('The caller has closed its connection: %s', error)
      self._transport.close()
      return
    self._is_lingering = True
    self._transport.resume_reading()
    self._close_later()

  def _close_later(self) -> None:
    asyncio.get_running_loop().call_later(LINGER_SECONDS, self._end)

  def _end(self) -> None:
    if self._transport.is_closing():
      return
    if self._transport.get_write_buffer_size():
      self._close_later()
    else:
      self._transport.close()


class Connection(bounded_reads.Connection):
  """The protocol of one connection, which can close after what has begun."""

  _is_closing = False
  _has_ended = False
  _is_rejecting = False
  # Whether what arrives behind the requests in progress is dropped.
  _drops_rest = False
  _has_partial_head = False
  _head_bytes = 0
  _has_plain_body = False
  # The last bytes of a head that is not complete.
  _rest = b''
  _head_timer: asyncio.TimerHandle | None = None
  _last_body: streams.StreamReader | None = None
  # Times of the loop: of the last bytes, since when the current request is
  # being received, and since when the caller has not read.
  _active_at = 0.0
  _receiving_since: float | None = None
  _unread_since = 0.0
  _unread_state: tuple[int, int] | None = None
  _holder: memory_account.Holder | None = None
  _peer: Any = None
  _socket_transport: Any = None
  _work = 0.0
  _is_waiting_for_turn = False
  _counts_as_receiving = False
  # Whether it carries messages of a daemon, and is not closed for callers.
  is_exempt = False
  # Why the process closes the connection, empty if its caller does.
  close_reason = ''
  # When it was opened, on the monotonic clock.
  opened_at = math.inf
  # When it began to wait only for its caller to close it.
  ended_at = math.inf

  def __init__(self, manager: web.Server, **options: Any) -> None:
    super().__init__(manager, **options)
    # aiohttp has no public parameter for the number of requests read ahead.
    limit = caller_bounds.MAX_REQUESTS_AHEAD
    self._max_msg_queue_size = limit
    self._msg_queue_resume_size = limit // 2
    self._parser = http_parser.HttpRequestParser(
      self,
      options['loop'],
      self._read_bufsize,
      max_line_size=self.max_line_size,
      max_field_size=self.max_field_size,
      max_headers=self.max_headers,
      payload_exception=web.RequestPayloadError,
      auto_decompress=options.get('auto_decompress', True),
      max_msg_queue_size=limit,
    )

  # aiohttp reads this to discard bytes, and to end after a response.
  @property
  def _close(self) -> bool:
    return self._is_closing and not self.is_receiving and not self._messages

  @_close.setter
  def _close(self, value: bool) -> None:
    self._is_closing = value

  @property
  def is_receiving(self) -> bool:
    """Whether a request has arrived in part."""
    return self._has_partial_head or self.is_in_body

  @property
  def is_in_body(self) -> bool:
    """Whether a body has arrived in part."""
    body = self._last_body
    return body is not None and not (
      body.is_eof() or body.exception() is not None
    )

  @property
  def has_begun(self) -> bool:
    """Whether a request is being received, waits or is being answered."""
    if self._has_ended:
      return False
    return self.is_receiving or bool(self._messages) or self._is_handling

  @property
  def _is_handling(self) -> bool:
    # aiohttp marks a request as in progress only some time after it has taken
    # it from the queue; until its response it does not wait for the next one.
    is_active = self._task_handler is not None and self._waiter is None
    return self._request_in_progress or (is_active and self._request_count > 0)

  @property
  def has_next(self) -> bool:
    """Whether a request after the current one has arrived, or a part of it."""
    return self._has_partial_head or bool(self._messages)

  @property
  def unsent(self) -> int:
    """Bytes of responses that the kernel has not taken yet."""
    if self.transport is None:
      return 0
    return self.transport.get_write_buffer_size()

  def connection_made(self, transport: asyncio.BaseTransport) -> None:
    """Starts to serve a connection, or rejects it."""
    super().connection_made(transport)
    self.opened_at = time.monotonic()
    real_transport: Any = transport
    self._socket_transport = real_transport
    bounded_reads.bound(real_transport, FIRST_READ_BYTES)
    real_transport.set_write_buffer_limits(WRITE_BUFFER_BYTES)
    lingering: Any = _LingeringTransport(real_transport, on_close=self._end)
    self.transport = lingering
    self._active_at = self._loop.time()
    self._peer = transport.get_extra_info('peername')
    server = self._manager
    if isinstance(server, Server):
      self._holder = server.account.open(
        memory_account.Kind.CONNECTION, str(self._peer)
      )
      self._holder.note(caller_bounds.CONNECTION_BYTES)
      server.admit(self)

  def _end(self) -> bool:
    """Drops what is received from now on; returns whether that is read."""
    self._has_ended = True
    self._note_head(0)
    self._last_body = None
    self._messages.clear()
    # It holds what has been read of a head.
    self._parser = None
    self.ended_at = self._loop.time()
    # Otherwise the connection waits for a request.
    has_responded = self._waiter is None and self._request_count > 0
    return has_responded or self._is_rejecting

  def connection_lost(self, exc: BaseException | None) -> None:
    """Ends the connection."""
    if self.has_begun:
      log.info(
        'Connection of %s ended within a request (%s): %s.',
        self._peer,
        'being received' if self.is_receiving else 'being answered',
        f'closed, {self.close_reason}'
        if self.close_reason
        else f'by its caller ({exc})'
        if exc
        else 'by its caller',
      )
    self._note_head(0)
    self._note_receiving(False)
    if self._holder is not None:
      self._holder.close()
    if isinstance(self._manager, Server) and self._is_waiting_for_turn:
      self._manager.work.cancel(self._take_turn)
    super().connection_lost(exc)

  @property
  def is_lingering(self) -> bool:
    """Whether the connection only waits for its caller to close it."""
    return self._has_ended

  @property
  def is_delivered(self) -> bool:
    """Whether the caller's machine has all that was sent."""
    return not (self.unsent or _get_kernel_bytes(self._socket_transport))

  @property
  def is_ending(self) -> bool:
    """Whether the connection closes after what is in progress on it."""
    return self._has_ended or self._drops_rest or bool(self.close_reason)

  @property
  def address(self) -> str:
    """The IP address of the caller."""
    return str(self._peer[0]) if self._peer else ''

  @property
  def idle_since(self) -> float | None:
    """Since when the connection rests, None within a request."""
    if self.has_begun:
      return None
    # aiohttp notes the time of a response only by that of its own limit.
    answered_at = self._next_keepalive_close_time - self._keepalive_timeout
    return max(self._active_at, answered_at)

  @property
  def receiving_since(self) -> float | None:
    """Since when the request that would run next is being received."""
    is_waiting = self._has_partial_head and self._is_handling
    if not self.is_receiving or self._messages or is_waiting:
      return None
    return self._receiving_since

  @property
  def ahead_bytes(self) -> int:
    """Memory that requests behind the current one take."""
    return sum(
      caller_bounds.get_head_bytes(message) for message, _ in self._messages
    )

  def note_unread(self, now: float) -> float | None:
    """Returns since when the caller takes nothing of what is to be sent."""
    transport = self._socket_transport
    unsent = transport.get_write_buffer_size()
    state = (unsent, _get_kernel_bytes(transport)) if unsent else None
    if state is None or state != self._unread_state:
      self._unread_since = now
    self._unread_state = state
    return None if state is None else self._unread_since

  def close_for(self, reason: caller_bounds.Reason) -> None:
    """Closes the connection for others, and rejects what is being received."""
    self._note_close(reason)
    if self.receiving_since is None:
      if self._is_handling:
        self._drop_rest()
      else:
        self.close()
    elif self._has_partial_head:
      self._reject_head(_BUSY)
    elif self.reject_body is not None:
      self.reject_body()
    else:
      self.force_close()

  def abort_unread(self) -> None:
    """Ends a response that the caller does not read."""
    if not self.is_ending:
      self._note_close(caller_bounds.Reason.UNREAD)
    self.abort()

  def abort(self) -> None:
    """Resets the connection."""
    if self._holder is not None:
      self._holder.close()
    if self._socket_transport is not None:
      self._socket_transport.abort()

  def reject(self, reason: caller_bounds.Reason) -> None:
    """Rejects a new connection."""
    self._note_close(reason)
    self._reject_head(_BUSY)

  def _note_close(self, reason: caller_bounds.Reason) -> None:
    log.info(
      'Connection of %s is closed: %s, %d bytes held.',
      self._peer,
      reason.value,
      self._holder.size if self._holder else 0,
    )
    self.close_reason = reason.value
    self.count_held()
    server = self._manager
    if isinstance(server, Server):
      server.on_close(reason)

  def _note_head(self, size: int) -> None:
    """Notes how many bytes of a head that is not complete have arrived."""
    server = self._manager
    if isinstance(server, Server):
      server.head_bytes += size - self._head_bytes
    self._head_bytes = size
    self._has_partial_head = size > 0
    if not size:
      self._rest = b''
      if self._head_timer is not None:
        self._head_timer.cancel()
        self._head_timer = None
    elif self._head_timer is None:
      self._limit_head_time()

  @property
  def _limits(self) -> routes.Limits:
    server = self._manager
    return (
      server.read_limits() if isinstance(server, Server) else DEFAULT_LIMITS
    )

  def _limit_head_time(self) -> None:
    seconds = max(MIN_HEAD_SECONDS, self._limits.header_timeout)
    self._head_timer = asyncio.get_running_loop().call_later(
      seconds, self._end_late_head
    )

  def _end_late_head(self) -> None:
    # A head behind a request that is being answered does not cut its response.
    if self._is_handling or self._messages:
      self._limit_head_time()
      return
    log.info('A head of %d bytes is late, closing.', self._head_bytes)
    self._note_close(caller_bounds.Reason.HEAD_LATE)
    self.reject_partial_head()

  def data_received(self, data: bytes) -> None:
    """Parses received bytes, and notes whether they end within a head."""
    if self._has_ended or self._drops_rest:
      return
    if self._close and not self._is_handling:
      return
    body = self._last_body
    payload = body.total_bytes if body is not None else 0
    self._receive(data)
    if not data:
      return
    self._active_at = self._loop.time()
    self._note_receiving(self.is_in_body)
    if not self.is_receiving:
      self._receiving_since = None
    elif self._receiving_since is None or self._last_body is not body:
      self._receiving_since = self._active_at
    if body is not None and body is self._last_body:
      self._count_work(len(data), body.total_bytes - payload)
    else:
      self._work = 0.0
    self.count_held()
    if isinstance(self._manager, Server):
      self._manager.bound_memory(self)

  def _receive(self, data: bytes) -> None:
    body = self._last_body
    was_in_body = body is not None and not body.is_eof()
    size = body.total_bytes if body is not None else 0
    count = self._request_count
    self._parse(data)
    # The parser keeps requests back while too many of them wait.
    head_bytes = self._head_bytes + len(data)
    is_inside_head = self._has_partial_head
    data = self._rest + data
    start = 0
    if body is not None and was_in_body:
      if not body.is_eof():
        return
      start = body.total_bytes - size if self._has_plain_body else len(data)
      head_bytes = len(data) - start
      self._note_head(0)
    if count < self._request_count:
      added = list(self._messages)[count - self._request_count :]
      start = find_end(data, start, added, is_inside_head=is_inside_head)
      head_bytes = len(data) - start
      is_inside_head = False
      self._note_head(0)
      self._last_body = added[-1][1]
      self._has_plain_body = _is_plain(added[-1][0])
    rest = data[start:]
    if self.is_in_body or not (is_inside_head or rest.strip(b'\r\n')):
      self._note_head(0)
      return
    self._rest = rest[-len(_HEAD_END) + 1 :]
    self._note_head(head_bytes)
    if self._buffer_paused:
      # These may be whole requests that the parser keeps back.
      return
    server = self._manager
    if head_bytes > min(MAX_HEAD_BYTES, self._limits.header_bytes) or (
      head_bytes > SMALL_HEAD_BYTES
      and isinstance(server, Server)
      and server.head_bytes > MAX_HEADS_BYTES
    ):
      log.warning('A head of %d bytes is not complete, closing.', head_bytes)
      self._note_close(caller_bounds.Reason.HEAD_TOO_LARGE)
      self._reject_head(_LARGE_HEAD)

  def _note_receiving(self, is_receiving: bool) -> None:
    """Counts the bodies that arrive now, and bounds the next read."""
    server = self._manager
    if not isinstance(server, Server):
      return
    server.receiving += is_receiving - self._counts_as_receiving
    self._counts_as_receiving = is_receiving
    bounded_reads.bound(self._socket_transport, server.read_bytes)

  def count_held(self) -> None:
    """Counts what the connection holds; until it is closed, it is there."""
    size = caller_bounds.CONNECTION_BYTES
    if not self.close_reason:
      size += self._head_bytes
      if self.is_receiving:
        size += caller_bounds.REQUEST_BYTES
      if self._messages:
        size += self.ahead_bytes
    if self._holder is not None and size != self._holder.size:
      self._holder.note(size - self._holder.size)

  def _count_work(self, received: int, payload: int) -> None:
    """Lets the caller wait if its body costs more work than it is worth."""
    work = caller_bounds.get_work(received=received, payload=payload)
    if not work:
      return
    bounded_reads.bound(self._socket_transport, SMALL_READ_BYTES)
    free = max(0.0, caller_bounds.FREE_WORK - self._work)
    self._work += work
    server = self._manager
    if work <= free or not isinstance(server, Server):
      return
    server.work.spend(work - free)
    if server.work.is_exhausted and not self._is_waiting_for_turn:
      self._is_waiting_for_turn = True
      self._pause_transport_reading()
      server.work.wait(self._take_turn, work=self._work)

  def _take_turn(self) -> None:
    self._is_waiting_for_turn = False
    if not (self._reading_paused or self._buffer_paused):
      self._resume_transport_reading()

  def _resume_transport_reading(self) -> None:
    if not self._is_waiting_for_turn:
      super()._resume_transport_reading()

  def _parse(self, data: bytes) -> None:
    # A request behind the current one is answered as well, though the
    # connection closes: its caller cannot know yet.
    is_closing = self._is_closing
    self._is_closing = is_closing and not self._is_handling
    try:
      super().data_received(data)
    finally:
      self._is_closing |= is_closing

  async def _handle_request(
    self, request: Any, start_time: Any, request_handler: Any
  ) -> Any:
    # aiohttp does not wait for the caller to read responses without a body.
    await self._drain_helper()
    return await super()._handle_request(request, start_time, request_handler)

  def close(self) -> None:
    """Closes the connection once what has begun is answered."""
    if self.has_begun:
      self._is_closing = True
    else:
      super().close()
      if self.transport is not None:
        self.transport.close()

  def reject_partial_head(self) -> None:
    """Answers a request of which only a part of the head has arrived."""
    if self._has_partial_head and not self._is_handling:
      self._reject_head(_INCOMPLETE_HEAD)

  def _drop_rest(self) -> None:
    """Drops what arrives behind the current request, and closes after that."""
    self._note_head(0)
    if self._messages and self.is_in_body:
      # The rest of its body would not be read.
      self._messages.pop()
      self._last_body = None
    self._drops_rest = True
    self._is_closing = True

  def _reject_head(self, response: bytes) -> None:
    """Sends a response in place of one to a request; closes the connection."""
    if self._is_handling or self._messages:
      # What has been read in full is answered first.
      self._drop_rest()
      return
    self._is_rejecting = True
    if self.transport is not None:
      self.transport.write(response)
    self.force_close()


class Server(web.Server):
  """A server of such connections.

  `read_limits` returns the limits on heads and on rest.  `head_bytes` is the
  size of all heads that are not complete, and `receiving` the number of bodies
  that arrive.  `account` counts what connections
  hold, and `on_close` is called with the reason of each connection that the
  server closes for others or for lack of progress.
  """

  head_bytes = 0
  receiving = 0

  def __init__(
    self,
    *parts: Any,
    read_limits: Callable[[], routes.Limits] = lambda: DEFAULT_LIMITS,
    bounds: caller_bounds.Bounds | None = None,
    account: memory_account.Account | None = None,
    on_close: Callable[[caller_bounds.Reason], None] = lambda reason: None,
    **options: Any,
  ) -> None:
    super().__init__(*parts, **options)
    self.read_limits = read_limits
    self.bounds = bounds or caller_bounds.plan()
    self.account = account or memory_account.Account()
    self.on_close = on_close
    self.work = caller_bounds.WorkQueue(call_later=self._loop.call_later)
    self._next_relief_at = 0.0
    self._relief_timer: asyncio.TimerHandle | None = None
    self._sweep_timer: asyncio.TimerHandle | None = None

  @property
  def read_bytes(self) -> int:
    """The size of a read with which one of each body fits into the memory."""
    share = self.account.most * caller_bounds.READ_SHARE
    size = int(share / max(1, self.receiving))
    return max(SMALL_READ_BYTES, min(bounded_reads.READ_BYTES, size))

  def admit(self, connection: Connection) -> None:
    """Admits a new connection, or rejects it if none can be closed for it."""
    if self._sweep_timer is None:
      self._sweep_later()
    excess = len(self.connections) - self.bounds.connections
    if excess > 0 and not self._free_descriptors(excess, beside=connection):
      connection.reject(caller_bounds.Reason.DESCRIPTORS)
    self.bound_memory(connection)

  def bound_memory(self, beside: Connection | None = None) -> None:
    """Closes connections if all of them hold more than they may."""
    kind = memory_account.Kind.CONNECTION
    most = self.account.get_most(kind)
    total = self.account.total_by_kind[kind]
    if total <= most:
      return
    now = self._loop.time()
    wait = self._next_relief_at - now
    if wait > 0 and total <= most * (1 + caller_bounds.EXCESS_SHARE):
      if self._relief_timer is None:
        self._relief_timer = self._loop.call_later(wait, self._relieve_later)
      return
    self._next_relief_at = now + RELIEF_SECONDS
    for connection in self.list_connections():
      connection.count_held()
    until = most * (1 - caller_bounds.RELIEF_SHARE)
    for connection in self._list_lingering():
      if self.account.total_by_kind[kind] <= until:
        return
      if not connection.is_delivered:
        break
      connection.abort()
    for connection in self._rank(beside):
      if self.account.total_by_kind[kind] <= until:
        return
      connection.close_for(caller_bounds.Reason.MEMORY)

  def _relieve_later(self) -> None:
    self._relief_timer = None
    self.bound_memory()

  def _free_descriptors(self, excess: int, *, beside: Connection) -> bool:
    """Closes as many connections, and some more; returns whether it did."""
    ending = self._list_lingering()
    for connection in ending[:excess]:
      connection.abort()
    excess -= len(ending)
    if excess <= 0:
      return True
    count = int(self.bounds.connections * caller_bounds.RELIEF_SHARE)
    # Dropping requests ahead frees no descriptor.
    closable = [c for c in self._rank(beside) if not c.ahead_bytes]
    for connection in closable[: excess + count]:
      connection.close_for(caller_bounds.Reason.DESCRIPTORS)
    return len(closable) >= excess

  def _list_lingering(self) -> list[Connection]:
    """Returns the connections that only wait for their callers to close them.

    Those whose callers have what they were sent come first, the oldest first.
    """
    found = [c for c in self.list_connections() if c.is_lingering]
    return sorted(found, key=lambda c: (not c.is_delivered, c.ended_at))

  def _rank(self, beside: Connection | None) -> list[Connection]:
    """Returns the connections that can be closed, those that give least first.

    They rest, or have been receiving a request for long, or have requests
    ahead.  Of those that rest, the addresses with the most come first.
    """
    others = [
      c
      for c in self.list_connections()
      if c is not beside and not c.is_ending and not c.is_exempt
    ]
    idle = [c for c in others if c.idle_since is not None]
    count_by_address = collections.Counter(c.address for c in idle)
    idle.sort(key=lambda c: (-count_by_address[c.address], c.idle_since))
    receiving = [c for c in others if c.receiving_since is not None]
    receiving.sort(key=lambda c: c.receiving_since or 0.0)
    ahead = [c for c in others if c.ahead_bytes and c.receiving_since is None]
    ahead.sort(key=lambda c: -c.ahead_bytes)
    return [*idle, *receiving, *ahead]

  def _sweep_later(self) -> None:
    self._sweep_timer = self._loop.call_later(SWEEP_SECONDS, self._sweep)

  def _sweep(self) -> None:
    """Closes connections that rest, or are not read, for too long."""
    self._sweep_timer = None
    now = self._loop.time()
    limit = now - self.read_limits().idle_timeout
    connections = list(self.list_connections())
    for connection in connections:
      connection.count_held()
      if (connection.note_unread(now) or now) < limit:
        connection.abort_unread()
      elif (
        not (connection.is_ending or connection.is_exempt)
        and (connection.idle_since or now) < limit
      ):
        connection.close_for(caller_bounds.Reason.IDLE)
    if connections:
      self._sweep_later()

  def __call__(self) -> web.RequestHandler:
    """Returns the protocol of a new connection."""
    return Connection(self, loop=self._loop, **self._kwargs)

  def list_connections(self) -> Iterator[Connection]:
    """Yields all open connections."""
    for connection in self.connections:
      if isinstance(connection, Connection):
        yield connection

  async def finish(self, *, until: float) -> None:
    """Closes each connection once what has begun on it is answered.

    `until` is the time of the last answers, on the monotonic clock.
    """
    # Serves what was on its way as the listener closed.
    await asyncio.sleep(CROSSING_SECONDS)
    self._close_idle()
    log.info(
      'Planned stop waits for %d connections with requests.',
      sum(c.has_begun for c in self.list_connections()),
    )
    while time.monotonic() < until and self._is_busy():
      await asyncio.sleep(POLL_INTERVAL_SECONDS)
      self._close_idle()
    for connection in list(self.list_connections()):
      connection.reject_partial_head()

  def _close_idle(self) -> None:
    for connection in list(self.list_connections()):
      connection.close()

  async def flush(self, *, until: float) -> None:
    """Waits until the kernel has all responses, or a time has come."""
    while time.monotonic() < until and self._is_busy():
      await asyncio.sleep(POLL_INTERVAL_SECONDS)

  def _is_busy(self) -> bool:
    return any(c.has_begun or c.unsent for c in self.list_connections())


def _get_kernel_bytes(transport: asyncio.Transport) -> int:
  """Returns the bytes that the kernel has and the caller does not.

  These are none on a socket that is closed.
  """
  found = array.array('i', [0])
  try:
    descriptor = transport.get_extra_info('socket').fileno()
    fcntl.ioctl(descriptor, termios.TIOCOUTQ, found)
  except (OSError, ValueError) as error:
    log.debug('Bytes in the kernel are not known: %s', error)
  return found[0]


def find_end(
  data: bytes,
  start: int,
  messages: Sequence[tuple[Any, streams.StreamReader]],
  *,
  is_inside_head: bool = False,
) -> int:
  """Returns where the last of some messages ends within received bytes.

  The first one begins at `start`, or before it.  Returns the size of the bytes
  if the end is unknown, such as of a body in chunks.
  """
  for message, body in messages:
    # Empty lines before a head are no part of it.
    while not is_inside_head and data[start : start + 1] in (b'\r', b'\n'):
      start += 1
    is_inside_head = False
    head_end = data.find(_HEAD_END, start)
    if head_end < 0 or not _is_plain(message):
      return len(data)
    start = head_end + len(_HEAD_END) + body.total_bytes
  return start


def _is_plain(message: Any) -> bool:
  return not (getattr(message, 'chunked', True) or message.compression)


def has_next(http: web.BaseRequest) -> bool:
  """Returns whether a request after this one has begun on its connection."""
  protocol: Any = http.protocol
  return isinstance(protocol, Connection) and protocol.has_next


def get_opened_at(http: web.BaseRequest) -> float:
  """Returns when a request's connection was opened, infinite if not known.

  It is a time of the monotonic clock.
  """
  protocol: Any = http.protocol
  return protocol.opened_at if isinstance(protocol, Connection) else math.inf


def get_close_reason(http: web.BaseRequest) -> str:
  """Returns why this process closed a request's connection, empty if not."""
  protocol: Any = http.protocol
  return protocol.close_reason if isinstance(protocol, Connection) else ''


async def make_server(application: web.Application, **options: Any) -> Server:
  """Returns a server of an application, with options of `web.Server`."""
  runner = web.AppRunner(application)
  await runner.setup()
  server = runner.server
  assert server is not None
  return Server(
    server.request_handler, request_factory=server.request_factory, **options
  )
