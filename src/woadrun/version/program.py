"""The programs of one slot as a replicated state machine.

The state of a slot is a function of its records, applied in order: the owner
and its standby apply the same records and reach the same state.
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
  """A program has started.

  The budget of a sub-agent is subtracted from that of its `parent`.
  """

  program: str
  team: str
  kind: str
  budget: int
  deadline_at: float
  time: float
  digest: str = ''
  parent: str = ''


class Accepted(msgspec.Struct, frozen=True, kw_only=True, tag='accepted'):
  """An attempt of a call is about to be sent.

  For an action, this record is its committed intent.  `stream` is a new random
  id for each attempt of a request.
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
    """The id that distinguishes this attempt from others of its request."""
    return self.stream


class Finished(msgspec.Struct, frozen=True, kw_only=True, tag='finished'):
  """An attempt has an outcome; after `not run` another attempt may follow.

  `attempt` is the id from the attempt's `Accepted` record.  Records of earlier
  releases have no id and end any running attempt.
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
  """A program is finished, cancelled, abandoned or past its deadline."""

  program: str
  reason: str
  time: float


class Forgotten(msgspec.Struct, frozen=True, kw_only=True, tag='forgotten'):
  """The state of an ended program is deleted."""

  program: str


Record = Started | Accepted | Finished | Ended | Forgotten

# --- State ------------------------------------------------------------------


class Request(msgspec.Struct, kw_only=True):
  """One call of a program, with its last attempt and its outcome if known."""

  accepted: Accepted
  outcome: str = ''
  status: int = 0
  answer: str | None = None

  @property
  def is_running(self) -> bool:
    """Whether the call has no outcome yet."""
    return not self.outcome

  def is_ended_by(self, record: Finished) -> bool:
    """Returns whether a record is the outcome of the running attempt."""
    return self.is_running and record.attempt in ('', self.accepted.attempt)


class Program(msgspec.Struct, kw_only=True):
  """The state of a program.

  `spent` counts used tokens, `carved` tokens that are assigned to sub-agents
  that have not ended.
  """

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
    """The tokens reserved by running calls."""
    requests = self.request_by_id.values()
    return sum(r.accepted.reserve for r in requests if r.is_running)

  @property
  def available(self) -> int:
    """The tokens that a new call or sub-agent may reserve."""
    return self.started.budget - self.spent - self.reserved - self.carved

  def has_outcome(self, record: Finished) -> bool:
    """Returns whether a recorded outcome took effect.

    `not run` removes its attempt, so it took effect if the attempt is absent.
    For other outcomes the stored answer may have been evicted since.
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
  """All programs of a slot, and the number of record batches applied."""

  sequence: int = 0
  program_by_id: dict[str, Program] = {}

  def get_program(self, program: str) -> Program:
    """Returns a program; raises `unknown_program` if there is none."""
    found = self.program_by_id.get(program)
    if found is None:
      raise errors.WoadrunError(
        errors.Code.UNKNOWN_PROGRAM,
        f'There is no program {program}.',
        place='Woadrun-Program',
      )
    return found

  def apply(self, records: Iterable[Record], *, answers: int) -> None:
    """Applies a batch of records.

    Each program keeps the newest `answers` answers.
    """
    self.sequence += 1
    for record in records:
      _HANDLER_BY_TYPE[type(record)](self, record, answers)


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
    # An outcome is recorded repeatedly until it is committed, so a duplicate
    # may arrive after the next attempt has started.
    return
  program.last_active = record.time
  program.spent += record.used
  if record.outcome == NOT_RUN:
    _remove_attempt(program, request)
    return
  # The messages are part of the history from here on, and a finished call is
  # not sent again, so its body is not needed.
  request.accepted = msgspec.structs.replace(
    request.accepted, body='', messages=[]
  )
  request.outcome = record.outcome
  request.status = record.status
  request.answer = record.answer
  program.history.extend(record.messages)
  program.history_bytes += sum(len(str(m)) for m in record.messages)
  program.history_tokens = record.history_tokens or program.history_tokens
  _evict_old_answers(program, answers)


def _remove_attempt(program: Program, request: Request) -> None:
  del program.request_by_id[request.accepted.request]
  if program.calls == request.accepted.ordinal:
    program.calls -= 1


def _evict_old_answers(program: Program, answers: int) -> None:
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


def _delete(state: SlotState, record: Forgotten, answers: int) -> None:
  state.program_by_id.pop(record.program, None)


_HANDLER_BY_TYPE: dict[type, Any] = {
  Started: _start,
  Accepted: _accept,
  Finished: _finish,
  Ended: _end,
  Forgotten: _delete,
}
