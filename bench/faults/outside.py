"""Simulated row store and instances, with their faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random
import time
from typing import Any

import msgspec

from faults import network
from woadrun import errors
from woadrun.connection import rows
from woadrun.process.store import program_rows
from woadrun.process.store import turn_store
from woadrun.request import exchange
from woadrun.standins import rows as standin
from woadrun.version import instances
from woadrun.version import ledger

# Path prefix of the requests that may run more than once.
LOOK = '/look/'
# Response times of the store: normal, and the mean extra time when slow.
RESPONSE_SECONDS = 0.004
SLOW_RESPONSE_SECONDS = 0.35
# Time after which a call that the store does not answer counts as lost.
SILENCE_TIMEOUT_SECONDS = 0.8
# Range of the interval between two events of an answer.
EVENT_INTERVAL_SECONDS = (0.01, 0.03)
TOKENS_PER_EVENT = 3
# Shares of requests that never reach their instance, of requests that the
# instance rejects, and of answers that end with a reset.
UNSENT_SHARE, REJECTED_SHARE, RESET_SHARE = 0.01, 0.01, 0.02
# Share of answers that have neither a length nor chunks.
UNFRAMED_SHARE = 0.3
# A request whose body begins with this ends the instance that runs it, after a
# time in this range.
FATAL_MARK = b'fatal'
FATAL_SECONDS = (0.005, 0.1)
# What follows the mark tells how the instance ends: with a reset, in silence,
# or with a reset after its entry was removed or says that it drains.  Others
# are replaced by another process at the same address, accept connections and
# answer nothing, or lose the connection at once and live on for a while.
RESET, SILENT = b'-reset', b'-silent'
REMOVED, DRAINING = b'-removed', b'-drain'
IN_PLACE, MUTE, LATE = b'-place', b'-mute', b'-late'
ENDS = (RESET, SILENT, REMOVED, DRAINING, IN_PLACE, MUTE, LATE)
# Ends of which a daemon learns only as its caller gives up.
UNSEEN_ENDS = (SILENT, MUTE)
# Range of the time from the change of the entry to the end.
DEPARTURE_SECONDS = (0.05, 0.6)
# Range of the time from a lost connection to the end of a late one.
LATE_SECONDS = (0.2, 2.5)
# Time for which a probe of a silent address waits.
SILENT_PROBE_SECONDS = 0.4
# Share of streams with an event that never ends, the size of its parts, and how
# much of one may be read.
ENDLESS_SHARE = 0.005
ENDLESS_PART = b'x' * 65_536
MAX_ENDLESS_BYTES = 4 * 1024 * 1024
# Share of requests that an instance runs and answers with a status that
# guarantees the opposite, and share of such answers that are not genuine.
CONTRADICTION_SHARE, FOREIGN_SHARE = 0.04, 0.3
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Those that guarantee it for a turn.
TURN_NOT_RUN_STATUSES = (*NOT_RUN_STATUSES, 402, 404, 410)
# Time that a probe of an instance takes.
PROBE_SECONDS = 0.002
# Range of the time for which the entry of an ended instance stays in the store.
STALE_ENTRY_SECONDS = (0.0, 4.0)
# Shares of streams that end orderly inside an event, and of those that do so
# before the first event of an answer without length and chunks.
PARTIAL_EVENT_SHARE, NO_EVENT_SHARE = 0.02, 0.01


class Store:
  """The row store and its faults, shared by the views of all daemons.

  With `is_silent`, calls that the store does not serve time out instead of
  failing at once.  The store rejects the daemons in `rejected_names` and the
  domains in `domains_without`; `answer_loss` is the share of changes whose
  answer is lost.
  """

  def __init__(self, *, rng: random.Random) -> None:
    self.rows = standin.MemoryRowStore()
    self.rng = rng
    self.is_out = False
    self.is_silent = False
    self.is_slow = False
    self.answer_loss = 0.0
    self.rejected_names: set[str] = set()
    self.domains_without: set[str] = set()

  def is_lost(self, name: str, domain: str) -> bool:
    """Returns whether a daemon cannot reach the store."""
    is_rejected = name in self.rejected_names or domain in self.domains_without
    return self.is_out or is_rejected

  def has_turn(self, request: str) -> bool:
    """Returns whether a turn, named by team and id, is in the store."""
    name = rows.make_name(request)
    return any(
      rows.Key(turn_store.TABLE, part, name) in self.rows.row_by_key
      for part in turn_store.get_parts(request)
    )

  def get_spent(self, program: str) -> int:
    """Returns the tokens that the store counts as spent by a program.

    These are the tokens of ended turns and those reserved for others.
    """
    name = rows.make_name(program)
    key = rows.Key(program_rows.TABLE, turn_store.get_part(program), name)
    row = self.rows.row_by_key.get(key)
    if row is None:
      return 0
    stored = msgspec.json.decode(row.value, type=ledger.LedgerRow)
    return stored.settled + sum(stored.reserved.values())


class StoreView:
  """A daemon's view of the store; implements `rows.RowStore`."""

  def __init__(self, *, shared: Store, name: str, domain: str) -> None:
    self._shared = shared
    self._name = name
    self._domain = domain
    self.site: network.Site | None = None

  async def change(self, **options: Any) -> rows.Outcome:
    """Returns the outcome of a change, whose answer may be lost."""
    await self._send_request()
    outcome = await self._shared.rows.change(**options)
    if self._shared.rng.random() < self._shared.answer_loss:
      await asyncio.sleep(SILENCE_TIMEOUT_SECONDS)
      raise _make_error(errors.RunStatus.UNKNOWN)
    await self._transfer()
    return outcome

  async def read(self, *parts: Any, **options: Any) -> rows.Page:
    """Returns a page of rows."""
    await self._send_request()
    page = await self._shared.rows.read(*parts, **options)
    await self._transfer()
    return page

  async def follow(self, *parts: Any, **options: Any) -> rows.Page:
    """Returns a page of changes."""
    await self._send_request()
    page = await self._shared.rows.follow(*parts, **options)
    await self._transfer()
    return page

  async def _send_request(self) -> None:
    if self.site is not None and self.site.is_dead:
      await asyncio.Event().wait()
    await self._transfer()
    if self._shared.is_slow:
      await asyncio.sleep(
        SLOW_RESPONSE_SECONDS * self._shared.rng.uniform(0.5, 1.5)
      )

  async def _transfer(self) -> None:
    if self._shared.is_lost(self._name, self._domain):
      if self._shared.is_silent:
        await asyncio.sleep(SILENCE_TIMEOUT_SECONDS)
      raise _make_error(errors.RunStatus.UNKNOWN)
    await asyncio.sleep(RESPONSE_SECONDS / 2)


def _make_error(ran: errors.RunStatus) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.PLATFORM_UNAVAILABLE, 'The store is unavailable.', ran=ran
  )


class Instances:
  """All instances; records the bodies and team of each request that was run.

  `answer_by_request` has the complete body of each answer, also of those in
  `truncated_requests`, whose callers must see that a part is missing.  The
  answers to `unframed_requests` end with their connection, those to
  `framed_requests` state their end: a request that ran twice may be in both.
  `contradicted_requests` ran and got answers that must not reach a caller.
  `ended_at_by_id`
  has the times at which instances ended, and `ended_by_body` the instances that
  ended while they ran a body; `ender_by_id` has the body that ended each of
  them.  `replace` is called with each that has ended,
  `depart` with each that leaves before it ends, and whether it drains.
  `violations` has what daemons read beyond a bound.
  """

  def __init__(
    self,
    *,
    rng: random.Random,
    replace: Callable[[instances.Instance], None] = lambda instance: None,
    depart: Callable[[instances.Instance, bool], None] = (
      lambda instance, is_draining: None
    ),
  ) -> None:
    self._rng = rng
    self._replace = replace
    self._depart = depart
    self._silent_ids: set[str] = set()
    # Instances at whose address connections open after they ended.
    self._reachable_ids: set[str] = set()
    self._late_ends: set[asyncio.Task[None]] = set()
    # Tells runs apart without a draw.
    self._salt = rng.getstate()[1][:4]
    self.violations: list[str] = []
    self.ended_at_by_id: dict[str, float] = {}
    self.ended_by_body: dict[bytes, list[str]] = {}
    self.ender_by_id: dict[str, bytes] = {}
    # The requests that each instance runs, each with its connection.
    self._running_by_id: dict[str, dict[asyncio.Event, bytes]] = {}
    self.bodies_by_request: dict[str, list[bytes]] = {}
    self.arrived_at_by_request: dict[str, float] = {}
    self.team_by_request: dict[str, str | None] = {}
    self.answer_by_request: dict[str, bytes] = {}
    self.truncated_requests: set[str] = set()
    self.unframed_requests: set[str] = set()
    self.framed_requests: set[str] = set()
    self.contradicted_requests: set[str] = set()
    # The times at which marked requests began to run, with their ids.
    self.fatal_runs: list[tuple[float, str]] = []

  def make_upstreams(self, site: network.Site | None) -> exchange.Upstreams:
    """Returns the upstreams by which a daemon reaches all instances."""
    return _Upstreams(
      send=lambda sending: self._send(site, sending), probe=self._probe
    )

  @contextlib.asynccontextmanager
  async def _send(
    self, site: network.Site | None, sending: exchange.RequestAttempt
  ) -> AsyncIterator[exchange.Reply]:
    if site is not None and site.is_dead:
      await asyncio.Event().wait()
    instance = sending.instance
    if instance.id in self._silent_ids:
      await asyncio.Event().wait()
    if instance.id in self.ended_at_by_id:
      raise exchange.RequestNotSent('refused')
    connection = asyncio.Event()
    running = self._running_by_id.setdefault(instance.id, {})
    running[connection] = sending.request.body
    try:
      if sending.request.body.startswith(FATAL_MARK):
        self.fatal_runs.append((time.monotonic(), sending.request.id))
        await asyncio.sleep(self._rng.uniform(*FATAL_SECONDS))
        await self._end_by(sending.request.body, instance)
        raise exchange.ResponseLost('disconnected')
      async with self._answer(sending, connection) as reply:
        yield reply
    finally:
      running.pop(connection, None)

  async def _probe(
    self, instance: instances.Instance, *, health_path: str
  ) -> exchange.Liveness:
    await asyncio.sleep(PROBE_SECONDS)
    if instance.id in self._reachable_ids:
      return exchange.Liveness.REACHABLE
    if instance.id in self._silent_ids:
      await asyncio.sleep(SILENT_PROBE_SECONDS)
      return exchange.Liveness.UNKNOWN
    is_ended = instance.id in self.ended_at_by_id
    return exchange.Liveness.ENDED if is_ended else exchange.Liveness.ALIVE

  async def _end_by(self, body: bytes, instance: instances.Instance) -> None:
    """Ends an instance as a fatal request tells; returns if it is noticed."""
    how = body.removeprefix(FATAL_MARK)
    if how.startswith(LATE):
      task = asyncio.ensure_future(self._end_late(body, instance))
      self._late_ends.add(task)
      task.add_done_callback(self._late_ends.discard)
      return
    if how.startswith((REMOVED, DRAINING)):
      self._depart(instance, how.startswith(DRAINING))
      rng = random.Random(f'departure of {instance.id}')
      await asyncio.sleep(rng.uniform(*DEPARTURE_SECONDS))
    self._end_under(body, instance, is_silent=how.startswith(UNSEEN_ENDS))
    if how.startswith((MUTE, IN_PLACE)):
      self._reachable_ids.add(instance.id)
    if instance.id in self._silent_ids:
      await asyncio.Event().wait()

  async def _end_late(self, body: bytes, instance: instances.Instance) -> None:
    rng = random.Random(f'late end of {instance.id}')
    await asyncio.sleep(rng.uniform(*LATE_SECONDS))
    if instance.id not in self.ended_at_by_id:
      self.ended_by_body.setdefault(body, []).append(instance.id)
      self._end_under(body, instance)

  def _end_under(
    self, body: bytes, instance: instances.Instance, *, is_silent: bool = False
  ) -> None:
    if instance.id not in self.ended_at_by_id:
      self.ender_by_id[instance.id] = body
    self.end(instance, is_silent=is_silent)

  def end(
    self, instance: instances.Instance, *, is_silent: bool = False
  ) -> None:
    """Ends an instance: it loses all its connections and refuses new ones.

    One that `is_silent` loses and refuses none, and answers nothing.
    """
    if instance.id in self.ended_at_by_id:
      return
    self.ended_at_by_id[instance.id] = time.monotonic()
    if is_silent:
      self._silent_ids.add(instance.id)
    for connection, body in self._running_by_id.pop(instance.id, {}).items():
      if not is_silent:
        connection.set()
      self.ended_by_body.setdefault(body, []).append(instance.id)
    self._replace(instance)

  @contextlib.asynccontextmanager
  async def _answer(
    self, sending: exchange.RequestAttempt, connection: asyncio.Event
  ) -> AsyncIterator[exchange.Reply]:
    draw = self._rng.random()
    if draw < UNSENT_SHARE:
      raise exchange.RequestNotSent('refused')
    if draw < UNSENT_SHARE + REJECTED_SHARE:
      yield _make_reply(503, self._stream_nothing(), has_run=False)
      return
    id = sending.request.id
    self.bodies_by_request.setdefault(id, []).append(sending.body)
    self.arrived_at_by_request.setdefault(id, time.monotonic())
    self.team_by_request[id] = sending.team
    contradiction = self._draw_contradiction(sending)
    if contradiction is not None:
      self.contradicted_requests.add(id)
      yield contradiction
      return
    # An idempotent request may run twice, with the same answer.
    is_repeatable = sending.request.target.startswith(LOOK)
    events = [
      f'id: {number}\ndata: {id}-{number}\n\n'.encode()
      for number in range(2 if is_repeatable else self._rng.randint(1, 3))
    ]
    self.answer_by_request[id] = b''.join(events)
    is_reset = draw > 1 - RESET_SHARE
    is_unframed = self._rng.random() < UNFRAMED_SHARE
    sent = events
    if sending.is_stream and not is_reset:
      sent = self._truncate(events, is_unframed=is_unframed)
    (self.unframed_requests if is_unframed else self.framed_requests).add(id)
    if is_reset or sent is not events:
      self.truncated_requests.add(id)
    yield _make_reply(
      200,
      self._stream(
        id,
        sent,
        connection,
        is_reset=is_reset,
        # A plain body without end is passed on until its caller leaves.
        may_be_endless=sending.is_stream,
      ),
      has_run=True,
      ends_with_connection=is_unframed,
    )

  def _draw_contradiction(
    self, sending: exchange.RequestAttempt
  ) -> exchange.Reply | None:
    """Returns a reply that contradicts its run, None in most cases.

    Its status guarantees that the request has not run, or it is a success that
    is not genuine.
    """
    id = sending.request.id
    # Adds no draw to those of the other faults.
    rng = random.Random(f'{self._salt} {id} at {sending.instance.id}')
    if rng.random() >= CONTRADICTION_SHARE:
      return None
    is_foreign = rng.random() < FOREIGN_SHARE
    statuses = (
      TURN_NOT_RUN_STATUSES if sending.request.turn else NOT_RUN_STATUSES
    )
    status = rng.choice((*statuses, 200) if is_foreign else statuses)
    return _make_reply(
      status, self._stream_nothing(), has_run=True, is_genuine=not is_foreign
    )

  def _truncate(self, events: list[bytes], *, is_unframed: bool) -> list[bytes]:
    """Returns what is sent of a stream that ends orderly; mostly all events.

    A part never ends between two events, because such an end cannot be told
    from that of a complete stream.
    """
    draw = self._rng.random()
    if draw < PARTIAL_EVENT_SHARE:
      number = self._rng.randrange(len(events))
      size = self._rng.randrange(1, len(events[number]))
      return [*events[:number], events[number][:size]]
    if is_unframed and draw < PARTIAL_EVENT_SHARE + NO_EVENT_SHARE:
      return []
    return events

  async def _stream(
    self,
    id: str,
    chunks: list[bytes],
    connection: asyncio.Event,
    *,
    is_reset: bool,
    may_be_endless: bool,
  ) -> AsyncGenerator[bytes]:
    draw = random.Random(f'{self._salt} {id}').random()
    if may_be_endless and draw < ENDLESS_SHARE:
      self.truncated_requests.add(id)
      # Closed here, not by the garbage collector at a moment of its own.
      async with contextlib.aclosing(self._stream_without_end(id)) as parts:
        async for part in parts:
          yield part
    for chunk in chunks:
      await asyncio.sleep(self._rng.uniform(*EVENT_INTERVAL_SECONDS))
      if connection.is_set():
        self.truncated_requests.add(id)
        raise exchange.ResponseLost('disconnected')
      yield chunk
    if is_reset:
      raise exchange.ResponseLost('reset')

  async def _stream_without_end(self, id: str) -> AsyncGenerator[bytes]:
    size = 0
    yield b'data: '
    while size <= MAX_ENDLESS_BYTES:
      await asyncio.sleep(EVENT_INTERVAL_SECONDS[0])
      size += len(ENDLESS_PART)
      yield ENDLESS_PART
    self.violations.append(f'bytes: {size} of an event without end in {id}')
    raise exchange.ResponseLost('reset')

  async def _stream_nothing(self) -> AsyncGenerator[bytes]:
    yield b''


class _Upstreams:
  """Sends through a function; implements `exchange.Upstreams`."""

  def __init__(
    self,
    *,
    send: Callable[[exchange.RequestAttempt], Any],
    probe: Callable[..., Any],
  ) -> None:
    self.send = send
    self.probe = probe


def _make_reply(
  status: int,
  chunks: AsyncGenerator[bytes],
  *,
  has_run: bool,
  is_genuine: bool = True,
  ends_with_connection: bool = False,
) -> exchange.Reply:
  return exchange.Reply(
    status=status,
    headers=[],
    has_run=has_run,
    is_genuine=is_genuine,
    chunks=chunks,
    ends_with_connection=ends_with_connection,
  )
