"""Queues that order the calls waiting for one upstream.

Between rows: start-time fair queueing by weight, which is work-conserving and
gives each row with waiting calls at least its share.
Within a row: least attained service first.  The service that a program has
attained is converted to a delay that is added to the arrival time of the call.
This sort key never changes, so a call ages without updates and no call starves.

Each operation takes time logarithmic in the number of rows and waiting calls.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math

# Each doubling of a program's attained service delays its calls by this.
DELAY_SECONDS_PER_DOUBLING = 4.0
# Attained service up to this threshold causes no delay.
FREE_SERVICE_SECONDS = 1.0
# Upper bound of the delay, which bounds how long a call can be overtaken.
MAX_DELAY_SECONDS = 40.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class QueuedCall:
  """A queued call.

  `weight` is that of its row.  `attained` is the service that its program has
  received, `cost` the expected service time of the call and `arrived` its
  arrival time, all in seconds.
  """

  id: str
  row: str
  weight: float
  attained: float
  cost: float
  arrived: float


@dataclasses.dataclass(eq=False, kw_only=True)
class _RowQueue:
  """The queued calls of one row, and the row's virtual start time."""

  virtual_time: float
  heap: list[tuple[float, int, QueuedCall]]
  waiting: int = 0


def get_delay(attained: float) -> float:
  """Returns the delay of a call for attained service, both in seconds."""
  if attained <= FREE_SERVICE_SECONDS:
    return 0.0
  doublings = math.log2(attained / FREE_SERVICE_SECONDS)
  return min(MAX_DELAY_SECONDS, DELAY_SECONDS_PER_DOUBLING * doublings)


def _get_key(call: QueuedCall) -> float:
  """Returns the sort key of a call within its row."""
  return call.arrived + get_delay(call.attained)


class FairQueue:
  """Calls queued for one upstream, with weighted fair sharing between rows."""

  def __init__(self) -> None:
    self._row_by_key: dict[str, _RowQueue] = {}
    self._active_rows: list[tuple[float, int, str]] = []
    self._sequence = itertools.count()
    self._virtual_time = 0.0
    self._row_by_id: dict[str, _RowQueue] = {}

  def __len__(self) -> int:
    return len(self._row_by_id)

  def count_ahead(self, call: QueuedCall) -> float:
    """Returns how many waiting calls would be popped before a call.

    The call may be a new one, or wait already.

    Rows are assumed to get their shares by weight, with calls of equal cost.
    Calls that arrive later may still be popped before it.
    """
    own_row = self._row_by_key.get(call.row)
    own = 0
    if own_row is not None:
      key = _get_key(call)
      own = sum(
        other_key <= key and other.id != call.id and other.id in self._row_by_id
        for other_key, _, other in own_row.heap
      )
    ahead = float(own)
    for row in self._row_by_key.values():
      if row is not own_row and row.waiting:
        turns = (own + 1) * row.heap[0][2].weight / call.weight
        ahead += min(row.waiting, turns)
    return ahead

  def push(self, call: QueuedCall) -> None:
    """Adds a call to the queue."""
    row = self._row_by_key.get(call.row)
    if row is None:
      row = _RowQueue(virtual_time=self._virtual_time, heap=[])
      self._row_by_key[call.row] = row
    if not row.heap:
      row.virtual_time = max(row.virtual_time, self._virtual_time)
      self._activate(call.row, row)
    heapq.heappush(row.heap, (_get_key(call), next(self._sequence), call))
    row.waiting += 1
    self._row_by_id[call.id] = row

  def remove(self, call_id: str) -> None:
    """Removes a call that is no longer waiting."""
    row = self._row_by_id.pop(call_id, None)
    if row is not None:
      row.waiting -= 1

  def pop(self) -> QueuedCall | None:
    """Removes and returns the next call, or returns None if none waits."""
    while self._active_rows:
      virtual_time, _, key = heapq.heappop(self._active_rows)
      row = self._row_by_key[key]
      call = self._pop_waiting(row)
      if call is None:
        self._drop_idle_row(key, row)
        continue
      self._virtual_time = max(self._virtual_time, virtual_time)
      row.virtual_time = virtual_time + call.cost / call.weight
      if row.heap:
        self._activate(key, row)
      return call
    return None

  def _activate(self, key: str, row: _RowQueue) -> None:
    heapq.heappush(
      self._active_rows, (row.virtual_time, next(self._sequence), key)
    )

  def _pop_waiting(self, row: _RowQueue) -> QueuedCall | None:
    while row.heap:
      call = heapq.heappop(row.heap)[2]
      if call.id in self._row_by_id:
        self.remove(call.id)
        return call
    return None

  def _drop_idle_row(self, key: str, row: _RowQueue) -> None:
    if row.virtual_time <= self._virtual_time:
      del self._row_by_key[key]


class ShortestQueue:
  """Shortest-first order, the theoretical optimum for experiments.

  `attained` holds the remaining service of the call's program, which only a
  simulation can know.
  """

  def __init__(self) -> None:
    self._heap: list[tuple[float, int, QueuedCall]] = []
    self._sequence = itertools.count()
    self._waiting_ids: set[str] = set()

  def __len__(self) -> int:
    return len(self._waiting_ids)

  def push(self, call: QueuedCall) -> None:
    """Adds a call to the queue."""
    heapq.heappush(self._heap, (call.attained, next(self._sequence), call))
    self._waiting_ids.add(call.id)

  def remove(self, call_id: str) -> None:
    """Removes a call that is no longer waiting."""
    self._waiting_ids.discard(call_id)

  def pop(self) -> QueuedCall | None:
    """Removes and returns the next call, or returns None if none waits."""
    while self._heap:
      call = heapq.heappop(self._heap)[2]
      if call.id in self._waiting_ids:
        self._waiting_ids.discard(call.id)
        return call
    return None


class ArrivalQueue:
  """First-come, first-served order across all rows, the naive baseline."""

  def __init__(self) -> None:
    self._calls: dict[str, QueuedCall] = {}

  def __len__(self) -> int:
    return len(self._calls)

  def push(self, call: QueuedCall) -> None:
    """Adds a call to the queue."""
    self._calls[call.id] = call

  def remove(self, call_id: str) -> None:
    """Removes a call that is no longer waiting."""
    self._calls.pop(call_id, None)

  def pop(self) -> QueuedCall | None:
    """Removes and returns the oldest call, or returns None if none waits."""
    for call_id in self._calls:
      return self._calls.pop(call_id)
    return None
