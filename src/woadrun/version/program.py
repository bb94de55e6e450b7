"""Programs of one slot, and the records that change them.

All state of a slot follows from its records, applied in order: the owner
and its standby apply the same records and hold the same state.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import msgspec

from woadrun import errors

MODEL = 'model'
SERVICE = 'service'

OK = 'ok'
FAILED = 'failed'
UNKNOWN = 'unknown'
NOT_RUN = 'not run'

Message = dict[str, Any]

# --- Records ----------------------------------------------------------------


class Started(msgspec.Struct, frozen=True, kw_only=True, tag='started'):
  """A program began; a sub-agent's budget is carved from its parent's."""

  program: str
  team: str
  kind: str
  budget: int
  deadline_at: float
  time: float
  digest: str = ''
  parent: str = ''


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag='accepted'):
  """An attempt of a call will be sent; for an action, its committed intent.

  `stream` is drawn anew for each attempt of a request.
  """

  program: str
  request: str
  ordinal: int
  call: str
  target: str
  digest: str
  reserve: int
  repeatable: bool
  time: float
  most_output: int = 0
  upstream: str = ''
  stream: str = ''
  body: str = ''
  messages: list[Message] = []

  @property
  def attempt(self) -> str:
    """Returns what tells this attempt from others of the same request."""
    return self.stream


class Finished(msgspec.Struct, frozen=True, kw_only=True, tag='finished'):
  """An attempt has its outcome; `not run` makes room for the next one.

  `attempt` is that of its `Accepted`.  Records of earlier versions have none
  and end whichever attempt is running.
  """

  program: str
  request: str
  outcome: str
  time: float
  status: int = 200
  answer: str = ''
  used: int = 0
  history_tokens: int = 0
  messages: list[Message] = []
  attempt: str = ''


class Ended(msgspec.Struct, frozen=True, kw_only=True, tag='ended'):
  """A program is over: ended, cancelled, abandoned or past its deadline."""

  program: str
  reason: str
  time: float


class Forgotten(msgspec.Struct, frozen=True, kw_only=True, tag='forgotten'):
  """A program that is over is no longer kept."""

  program: str


Record = Started | Accepted | Finished | Ended | Forgotten

# --- State ------------------------------------------------------------------


class Request(msgspec.Struct, kw_only=True):
  """One call of a program: its last attempt and, once known, its outcome."""

  accepted: Accepted
  outcome: str = ''
  status: int = 0
  answer: str | None = None

  @property
  def is_running(self) -> bool:
    """Returns whether the call has no outcome yet."""
    return not self.outcome

  def is_ended_by(self, record: Finished) -> bool:
    """Returns whether a record is the outcome of the attempt under way."""
    return self.is_running and record.attempt in ('', self.accepted.attempt)


class Program(msgspec.Struct, kw_only=True):
  """The state of a program that its records add up to."""

  started: Started
  spent: int = 0
  carved: int = 0
  calls: int = 0
  history: list[Message] = []
  history_tokens: int = 0
  history_bytes: int = 0
  request_by_id: dict[str, Request] = {}
  last_active: float = 0.0
  ended: str = ''
  engine: str = ''

  @property
  def reserved(self) -> int:
    """Returns the tokens that running calls may still use."""
    requests = self.request_by_id.values()
    return sum(r.accepted.reserve for r in requests if r.is_running)

  @property
  def available(self) -> int:
    """Returns the tokens that a new call or sub-agent may reserve."""
    return self.started.budget - self.spent - self.reserved - self.carved

  def has_outcome(self, record: Finished) -> bool:
    """Returns whether a recorded outcome took effect.

    `not run` removes its attempt; of other outcomes the answer is dropped
    after a while.
    """
    request = self.request_by_id.get(record.request)
    names = ('', request.accepted.attempt) if request else ()
    if request is None or record.attempt not in names:
      return record.outcome == NOT_RUN
    is_same = request.outcome == record.outcome
    return is_same and request.answer in (None, record.answer)

  def get_running(self) -> Iterator[Request]:
    """Yields the calls that have no outcome yet."""
    return (r for r in self.request_by_id.values() if r.is_running)


class SlotState(msgspec.Struct, kw_only=True):
  """All programs of a slot, and how many batches of records made them."""

  sequence: int = 0
  program_by_id: dict[str, Program] = {}

  def get_program(self, program: str) -> Program:
    """Returns a program, or raises `unknown_program`."""
    found = self.program_by_id.get(program)
    if found is None:
      raise errors.WoadrunError(
        errors.Code.UNKNOWN_PROGRAM,
        f'There is no program {program}.',
        place='Woadrun-Program',
      )
    return found

  def apply(self, records: Iterable[Record], *, answers: int) -> None:
    """Applies one batch; `answers` bounds the answers that are kept."""
    self.sequence += 1
    for record in records:
      _APPLY_BY_TYPE[type(record)](self, record, answers)


def _start(state: SlotState, record: Started, answers: int) -> None:
  state.program_by_id[record.program] = Program(
    started=record, last_active=record.time
  )
  parent = state.program_by_id.get(record.parent)
  if parent is not None:
    parent.carved += record.budget
    parent.last_active = record.time


def _accept(state: SlotState, record: Accepted, answers: int) -> None:
  program = state.program_by_id.get(record.program)
  if program is None:
    return
  program.request_by_id[record.request] = Request(accepted=record)
  program.calls = max(program.calls, record.ordinal)
  program.last_active = record.time
  if record.call == MODEL:
    program.engine = record.upstream


def _finish(state: SlotState, record: Finished, answers: int) -> None:
  program = state.program_by_id.get(record.program)
  request = program.request_by_id.get(record.request) if program else None
  if program is None or request is None or not request.is_ended_by(record):
    # Outcomes are recorded until committed, so one may come again after the
    # next attempt has begun.
    return
  program.last_active = record.time
  program.spent += record.used
  if record.outcome == NOT_RUN:
    _take_back(program, request)
    return
  # The messages are in the history now; a finished call needs no body.
  request.accepted = msgspec.structs.replace(
    request.accepted, body='', messages=[]
  )
  request.outcome = record.outcome
  request.status = record.status
  request.answer = record.answer
  program.history.extend(record.messages)
  program.history_bytes += sum(len(str(m)) for m in record.messages)
  program.history_tokens = record.history_tokens or program.history_tokens
  _drop_old_answers(program, answers)


def _take_back(program: Program, request: Request) -> None:
  del program.request_by_id[request.accepted.request]
  if program.calls == request.accepted.ordinal:
    program.calls -= 1


def _drop_old_answers(program: Program, answers: int) -> None:
  kept = [r for r in program.request_by_id.values() if r.answer is not None]
  for request in kept[: max(0, len(kept) - answers)]:
    request.answer = None


def _end(state: SlotState, record: Ended, answers: int) -> None:
  program = state.program_by_id.get(record.program)
  if program is None or program.ended:
    return
  program.ended = record.reason
  program.last_active = record.time
  parent = state.program_by_id.get(program.started.parent)
  if parent is not None:
    parent.carved -= program.started.budget
    parent.spent += program.spent


def _forget(state: SlotState, record: Forgotten, answers: int) -> None:
  state.program_by_id.pop(record.program, None)


_APPLY_BY_TYPE: dict[type, Any] = {
  Started: _start,
  Accepted: _accept,
  Finished: _finish,
  Ended: _end,
  Forgotten: _forget,
}
