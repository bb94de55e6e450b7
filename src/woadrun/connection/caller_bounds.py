"""Bounds on what callers make a process hold, and on the work they cause.

A caller that only opens connections, stops within a request, sends requests
ahead or splits a body into tiny chunks gives nothing in return.  What a process
holds for all of them follows from its memory and its descriptors.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import resource
import time
from typing import Any

from woadrun.connection import memory_account

# Memory of a connection without a request: its transport, parser and task.
CONNECTION_BYTES = 5_000
# What a request adds while it is received, or its rest is dropped.
REQUEST_BYTES = 30_000
# What a parsed field of a head costs beside its text, which is kept as bytes,
# as a string and in part once more.
FIELD_BYTES = 400
TEXT_COPIES = 3
# Requests that are read while an earlier one on their connection is handled.
MAX_REQUESTS_AHEAD = 2
# Descriptors for files, and the part of the others that callers may take: the
# rest is for connections to instances, to other daemons and to the store.
RESERVED_DESCRIPTORS = 200
DESCRIPTOR_SHARE = 1 / 2
MIN_CONNECTIONS = 16
# Part of the connections, or of their memory, that is given up at once.
RELIEF_SHARE = 1 / 8
# Part of the bound on their memory by which they may exceed it for a moment.
EXCESS_SHARE = 1 / 4
# Part of the bound on memory held for others that one read of each body takes.
READ_SHARE = 1 / 8
# Memory of a request that is handled, beside its head and its body: its tasks,
# and the connection to its instance.
CALL_BYTES = 38_000
# Part of what requests may take that those with others behind them on their
# connection may: the rest is for callers who wait for their answers.
AHEAD_SHARE = 3 / 4
# Payload of a read that is worth its work, and framing whose parsing costs as
# much as a read.
WORTHWHILE_BYTES = 512
FRAMING_BYTES = 100
# Work, in reads, that each body may cause on its own; beyond it, the work of
# all bodies together in a second, and at once.
FREE_WORK = 50.0
WORK_PER_SECOND = 3_000.0
MAX_WORK = 1_000.0
# Size of a read at a turn.
MAX_TURN_BYTES = 1_024
# Interval at which connections that wait for their turn are released.
TURN_SECONDS = 0.05


class Reason(enum.StrEnum):
  """Why the process closes a connection, or rejects what arrives on it."""

  IDLE = 'idle'
  HEAD_LATE = 'head_late'
  HEAD_TOO_LARGE = 'head_too_large'
  UNREAD = 'unread'
  DESCRIPTORS = 'descriptors'
  MEMORY = 'memory'
  STOPPING = 'stopping'
  BROKEN_OFF = 'broken_off'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Bounds:
  """Bounds of all connections of callers; `connections` is their number."""

  connections: int


def plan(*, descriptors: int | None = None) -> Bounds:
  """Returns the bounds for a limit on descriptors; by default the process's."""
  soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
  limit = soft if descriptors is None else descriptors
  if limit == resource.RLIM_INFINITY:
    limit = 1_048_576
  count = int((limit - RESERVED_DESCRIPTORS) * DESCRIPTOR_SHARE)
  return Bounds(connections=max(MIN_CONNECTIONS, count))


def get_head_bytes(message: Any) -> int:
  """Returns about how many bytes a parsed head takes."""
  fields = getattr(message, 'raw_headers', ())
  text = sum(len(name) + len(value) for name, value in fields)
  return len(fields) * FIELD_BYTES + (text + FIELD_BYTES) * TEXT_COPIES


@contextlib.contextmanager
def hold_call(
  account: memory_account.Account, name: str, message: Any, *, has_next: bool
) -> Iterator[None]:
  """Returns a context in which a request with a parsed head is handled.

  `has_next` tells whether its caller has sent another one behind it.  Raises
  `MemoryExceeded` if too many are handled already.
  """
  size = CALL_BYTES + get_head_bytes(message)
  kind = memory_account.Kind.CALL
  most = account.get_most(kind) * AHEAD_SHARE
  if has_next and account.total_by_kind[kind] + size > most:
    raise memory_account.MemoryExceeded(
      'The daemon handles too many requests that are sent ahead.'
    )
  with account.hold(kind, name) as holder:
    holder.add(size)
    yield


def get_work(*, received: int, payload: int) -> float:
  """Returns the work of a read of a body, in reads, beyond what it is worth."""
  framing = max(0, received - payload)
  return max(0.0, 1 + framing / FRAMING_BYTES - payload / WORTHWHILE_BYTES)


class WorkQueue:
  """Lets bodies that cause much work for little payload wait for their turn.

  Those that have caused least come first.  `clock` returns seconds, and
  `call_later` calls a function some seconds later.
  """

  def __init__(
    self,
    *,
    call_later: Callable[[float, Callable[[], None]], Any],
    clock: Callable[[], float] = time.monotonic,
  ) -> None:
    self._call_later = call_later
    self._clock = clock
    self._work = MAX_WORK
    self._counted_at = clock()
    # The work of each body that waits, by what is called at its turn.
    self._work_by_turn: dict[Callable[[], None], float] = {}
    self._is_scheduled = False

  def spend(self, work: float) -> None:
    """Counts work that has been done."""
    self._refill()
    self._work = max(-MAX_WORK, self._work - work)

  @property
  def is_exhausted(self) -> bool:
    """Whether a body has to wait before it causes more work."""
    self._refill()
    return self._work <= 0

  def wait(self, on_turn: Callable[[], None], *, work: float) -> None:
    """Calls `on_turn` once it is the turn of a body that has caused `work`."""
    self._work_by_turn[on_turn] = work
    self._schedule()

  def cancel(self, on_turn: Callable[[], None]) -> None:
    """Forgets a body that waits."""
    self._work_by_turn.pop(on_turn, None)

  def _schedule(self) -> None:
    if self._work_by_turn and not self._is_scheduled:
      self._is_scheduled = True
      self._call_later(TURN_SECONDS, self._release)

  def _refill(self) -> None:
    now = self._clock()
    added = (now - self._counted_at) * WORK_PER_SECOND
    self._work = min(MAX_WORK, self._work + added)
    self._counted_at = now

  def _release(self) -> None:
    self._is_scheduled = False
    self._refill()
    # What a released body reads next is counted only then.
    turns = max(0, int(self._work * FRAMING_BYTES / MAX_TURN_BYTES))
    first = sorted(self._work_by_turn, key=self._work_by_turn.__getitem__)
    for on_turn in first[:turns]:
      del self._work_by_turn[on_turn]
      on_turn()
    self._schedule()
