"""State of a running call, and the serialization of a program's calls."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from woadrun import errors
from woadrun.decisions import run_status
from woadrun.request import calls
from woadrun.request import model_call
from woadrun.version import program


@dataclasses.dataclass(eq=False, kw_only=True)
class Execution:
  """One running call and its answer.

  `stream_answer` is for callers that requested an event stream,
  `json_answer` for all others.  `is_accepted` tells whether the call is in
  the program's records.  `tail` is the end of the stream, held back until
  the outcome is committed.
  """

  call: calls.Call
  digest: str
  stream_answer: calls.Answer
  json_answer: calls.Answer
  task: asyncio.Task[None] | None = None
  is_accepted: bool = False
  cancel_reason: str = ''
  tail: bytes = b''
  started_at: float = dataclasses.field(default_factory=time.monotonic)

  def get_answer(self, *, is_stream: bool) -> calls.Answer:
    """Returns the event stream or the JSON answer."""
    return self.stream_answer if is_stream else self.json_answer

  def fail(self, error: errors.WoadrunError) -> None:
    """Completes both forms of the answer with an error."""
    self.stream_answer.fail(error)
    self.json_answer.fail(error)

  def finish_json(self, data: bytes, *, status: int) -> None:
    """Completes the JSON answer.

    The same JSON completes an event stream to which nothing was written.
    """
    self.json_answer.set_head(status=status, content_type=calls.JSON_TYPE)
    self.json_answer.write(data)
    self.json_answer.finish()
    if not self.stream_answer.is_done and not self.stream_answer.size:
      self.stream_answer.set_head(status=status, content_type=calls.JSON_TYPE)
      self.stream_answer.write(data)
      self.stream_answer.finish()


def make_execution(call: calls.Call) -> Execution:
  """Returns a new execution of a call, without a task."""
  digest = call.get_digest()
  return Execution(
    call=call,
    digest=digest,
    stream_answer=calls.Answer(digest=digest),
    json_answer=calls.Answer(digest=digest),
  )


class ProgramLocks:
  """One lock for each program, which serializes its calls.

  Calls acquire the lock in order of arrival; a call with an ordinal does so
  only once all calls before it are recorded.  The locks of programs without
  calls are removed.
  """

  def __init__(self) -> None:
    self._lock_by_program: dict[str, asyncio.Lock] = {}
    self._count_by_program: dict[str, int] = {}

  async def acquire(self, program_id: str) -> None:
    """Returns once all earlier calls have released the lock of a program."""
    lock = self._lock_by_program.setdefault(program_id, asyncio.Lock())
    count = self._count_by_program.get(program_id, 0)
    self._count_by_program[program_id] = count + 1
    try:
      await lock.acquire()
    except BaseException:
      self._decrement(program_id)
      raise

  def release(self, program_id: str) -> None:
    """Lets the next waiting call of a program proceed."""
    self._lock_by_program[program_id].release()
    self._decrement(program_id)

  def _decrement(self, program_id: str) -> None:
    self._count_by_program[program_id] -= 1
    if not self._count_by_program[program_id]:
      del self._count_by_program[program_id]
      del self._lock_by_program[program_id]


def get_stored_answer(
  found: program.Program, call: calls.Call, digest: str, *, is_stream: bool
) -> calls.Answer | None:
  """Returns the stored answer of an earlier request with the same id.

  Returns None if there is no such request or it is still running.  Raises
  the stored error if the request failed, and `request_conflict` if the
  request differs or its answer is no longer stored.
  """
  request = found.request_by_id.get(call.request)
  if request is None:
    return None
  if request.accepted.digest != digest:
    raise make_conflict(call.request)
  if request.is_running:
    return None
  if request.answer is None:
    raise errors.WoadrunError(
      errors.Code.REQUEST_CONFLICT,
      'The request has run, but its answer is no longer stored.',
      ran=errors.RunStatus.RAN,
      place='Idempotency-Key',
    )
  data = request.answer.encode()
  if request.outcome != program.OK:
    raise errors.from_body(data)
  if not run_status.is_final(request.status):
    # Daemons of earlier releases took any status of a service for an outcome.
    raise errors.WoadrunError(
      errors.Code.OUTCOME_UNKNOWN,
      f'The call ended with status {request.status}, which is none.',
      ran=errors.RunStatus.UNKNOWN,
    )
  return _render(call, data, request.status, is_stream=is_stream)


def _render(
  call: calls.Call, data: bytes, status: int, *, is_stream: bool
) -> calls.Answer:
  if is_stream and call.call == program.MODEL:
    return calls.Answer.from_bytes(
      model_call.make_events(data),
      status=status,
      content_type=calls.STREAM_TYPE,
    )
  return calls.Answer.from_bytes(
    data, status=status, content_type=calls.JSON_TYPE
  )


def make_conflict(request: str) -> errors.WoadrunError:
  """Returns the error for an id that was used for a different request."""
  return errors.WoadrunError(
    errors.Code.REQUEST_CONFLICT,
    f'The id {request} was already used for a different request.',
    place='Idempotency-Key',
  )
