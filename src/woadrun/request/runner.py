"""Execution of calls: their order, their records and their outcomes.

A program is a sequence of calls, which run one at a time.  Each program belongs
to a slot; the owner of a slot is the daemon that executes the calls of its
programs, and the standby is the daemon that replicates its records.  A record
is committed once it is stored outside the owner.  A repeatable call may run
more than once; any other call is an action, which must run at most once.

The accepted record of a call is committed before the call is sent upstream, and
the finished record with its outcome before the caller gets the end of the
answer.  The error of a call that was not sent states "not run"
(`errors.RunStatus`), or "unknown" if another daemon may still execute the call.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import logging
import secrets
import time

import mode

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.decisions import admission
from woadrun.process import configuration
from woadrun.process import membership
from woadrun.process import ownership
from woadrun.process import slots
from woadrun.request import calls
from woadrun.request import execution
from woadrun.request import placing
from woadrun.request import upstreams
from woadrun.version import program
from woadrun.version import rows

log = logging.getLogger('woadrun.runner')

# Interval between checks whether the previous call of a program is recorded.
ORDINAL_POLL_SECONDS = 0.01
# Retry-After value for a request whose outcome another daemon recorded.
SUPERSEDED_RETRY_AFTER_SECONDS = 0.1

Key = tuple[str, str]


class CallRunner(mode.Service):
  """Executes calls, and records their outcomes.

  `finished` counts the calls that got an answer from upstream, `refused` those
  that ended with a `WoadrunError`.
  """

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    ownership: ownership.Ownership,
    table: configuration.Configuration,
    messenger: peers.Peers,
    placing: placing.CallPlacer,
    upstreams: upstreams.UpstreamCalls,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._ownership = ownership
    self._table = table
    self._links = messenger
    self._places = placing
    self._upstreams = upstreams
    self.program_locks = execution.ProgramLocks()
    self.execution_by_key: dict[Key, execution.Execution] = {}
    # The number of outcomes being recorded for each request.  It is a counter
    # because the outcomes of two attempts may be recorded at the same time.
    self._pending_outcomes: collections.Counter[Key] = collections.Counter()
    self._not_run_tasks: set[asyncio.Task[bool]] = set()
    self._retry_budget_by_row: dict[str, admission.RetryBudget] = {}
    self.clock: Callable[[], float] = time.time
    self.finished = 0
    self.refused = 0
    ownership.get_running = self._get_running

  def start_execution(self, call: calls.Call) -> execution.Execution:
    """Returns the execution of a call after starting its task.

    Errors of the call complete the answer of the execution.
    """
    running = execution.make_execution(call)
    key = (call.program, call.request)
    self.execution_by_key[key] = running
    running.task = asyncio.ensure_future(self._execute(running))
    return running

  def is_in_progress(self, key: Key) -> bool:
    """Returns whether this daemon executes a call or records its outcome.

    `key` has the ids of the program and of the request.
    """
    return key in self.execution_by_key or self._pending_outcomes[key] > 0

  def cancel(self, program_id: str, reason: str) -> None:
    """Cancels all running calls of a program."""
    for (key_program_id, _), running in list(self.execution_by_key.items()):
      if key_program_id == program_id and running.task is not None:
        running.cancel_reason = reason
        running.task.cancel()

  async def _execute(self, running: execution.Execution) -> None:
    call = running.call
    key = (call.program, call.request)
    try:
      await self._wait_ordinal(call)
      await self.program_locks.acquire(call.program)
      try:
        await self._run(running)
        self.finished += 1
      finally:
        self.program_locks.release(call.program)
    except errors.WoadrunError as error:
      self.refused += 1
      running.fail(error)
    except asyncio.CancelledError:
      running.fail(make_cancelled(running))
    except Exception:
      log.exception('A call failed with an unexpected exception.')
      ran = (
        errors.RunStatus.UNKNOWN
        if running.is_accepted
        else errors.RunStatus.NOT_RUN
      )
      running.fail(
        errors.WoadrunError(errors.Code.INTERNAL, 'Internal error.', ran=ran)
      )
    finally:
      self.execution_by_key.pop(key, None)

  async def _wait_ordinal(self, call: calls.Call) -> None:
    """Returns once the call with the previous ordinal has been accepted.

    Returns at once for a call without an ordinal.  Raises `out_of_order` if
    the ordinal was used already, or if the previous one is not used within the
    hold time, and `not_owner` if this daemon does not own the slot.
    """
    _, slot = calls.split_program_id(call.program)
    deadline = time.monotonic() + self._config.timing.hold
    while call.ordinal:
      owned_slot = await self._ownership.wait_until_writable(slot)
      last_ordinal = owned_slot.state.get_program(call.program).calls
      if call.ordinal == last_ordinal + 1:
        return
      if call.ordinal <= last_ordinal or time.monotonic() > deadline:
        raise make_out_of_order(last_ordinal)
      await asyncio.sleep(ORDINAL_POLL_SECONDS)

  # --- Executing one call ---------------------------------------------------

  async def _run(self, running: execution.Execution) -> None:
    """Executes a call: acquires its permits, records it and sends it.

    A call holds two permits: that of its configuration row, and that of its
    upstream, which `acquire_slot` acquires.  Raises the error of a refused or
    failed call.
    """
    call = running.call
    _, slot = calls.split_program_id(call.program)
    owned_slot = await self._ownership.wait_until_writable(slot)
    found = owned_slot.state.get_program(call.program)
    row = self._check_call(found)
    self._get_retry_budget(row).note_call(row.retry_budget)
    plan = self._places.plan(call, found, row)
    permit = secrets.token_hex(8)
    async with self._places.hold_permits(
      call, found, row, plan, permit
    ) as place:
      if not call.repeatable:
        # An action whose accepted record is committed must be sent at once, or
        # its outcome is unknown.  The upstream's permit is therefore acquired
        # before the record is made.
        await self._places.acquire_slot(place, found, row, plan.cost)
      owned_slot = await self._ownership.wait_until_writable(slot)
      found = owned_slot.state.get_program(call.program)
      self._check_call(found)
      if call.request in found.request_by_id:
        # While this call waited, the slot may have moved to another owner and
        # back, and the other owner may have executed a retry of this request.
        raise make_superseded(call.request)
      if call.ordinal and call.ordinal != found.calls + 1:
        raise make_out_of_order(found.calls)
      accepted = self._upstreams.make_accepted(
        call, found, plan, place, running.digest, now=self.clock()
      )
      previous_engine = found.engine
      ticket = self._ownership.append(owned_slot, [accepted])
      running.is_accepted = True
      try:
        await self._settle_and_enter(ticket, accepted, place, found, row, plan)
      except BaseException as error:
        running.is_accepted = False
        await self._record_not_run(accepted, error)
        raise
      if previous_engine not in ('', found.engine):
        # The program moved to another engine.  Its prefix cache on the previous
        # one is of no more use.
        self._upstreams.drop_program_cache(call.program, previous_engine)
      await self.perform(running, accepted, place, row)

  async def _settle_and_enter(
    self,
    ticket: slots.PendingBatch,
    accepted: program.Accepted,
    place: placing.UpstreamAssignment,
    found: program.Program,
    row: rows.Row,
    plan: placing.CallPlan,
  ) -> None:
    """Returns once the record is committed and the upstream's permit is held.

    The permit of an action is already held, and its commit is a strong one: the
    standby or the platform has to store the record.  For a repeatable call the
    commit and the wait for the permit run concurrently.  Raises the first error
    of either.
    """
    if not accepted.repeatable:
      await self._ownership.wait_for_commit(ticket, is_strong=True)
      return
    results = await asyncio.gather(
      self._ownership.wait_for_commit(ticket, is_strong=False),
      self._places.acquire_slot(place, found, row, plan.cost),
      return_exceptions=True,
    )
    for result in results:
      if result is not None:
        raise result

  def _check_call(self, found: program.Program) -> rows.Row:
    """Returns the configuration row for a program that may make a call.

    Raises `program_ended`, `deadline_passed` or `limit_reached` otherwise.
    """
    row = self._table.get_row(found.started.team, found.started.kind)
    if found.ended:
      raise make_ended(found)
    if self.clock() > found.started.deadline_at:
      raise errors.WoadrunError(
        errors.Code.DEADLINE_PASSED, 'The deadline of the program has passed.'
      )
    if found.calls >= row.max_calls:
      raise errors.WoadrunError(
        errors.Code.LIMIT_REACHED,
        f'{row.key} allows at most {row.max_calls} calls per program.',
      )
    return row

  async def _record_not_run(
    self, accepted: program.Accepted, error: BaseException
  ) -> None:
    """Records an accepted call that was never sent as not run.

    `error` is the error that kept the call from being sent.  Other daemons may
    already store the accepted record, and a later owner of the slot may find
    it.  A later owner never sends an action that it finds, but it does execute
    a repeatable call that has no outcome.  If the outcome of a repeatable call
    is not committed in time, `error` therefore states "unknown".
    """
    record = program.Finished(
      program=accepted.program,
      request=accepted.request,
      attempt=accepted.attempt,
      outcome=program.NOT_RUN,
      time=self.clock(),
    )
    key = (accepted.program, accepted.request)
    # Counted from now on: `record_outcome` counts it only once the task runs.
    self._pending_outcomes[key] += 1
    recording = asyncio.ensure_future(self._try_record_outcome(record))
    self._not_run_tasks.add(recording)
    recording.add_done_callback(self._not_run_tasks.discard)
    recording.add_done_callback(lambda _: self._decrement_pending(key))
    if accepted.repeatable:
      await asyncio.wait({recording}, timeout=self._config.timing.commit)
      is_recorded = recording.done() and recording.result()
      if not is_recorded and isinstance(error, errors.WoadrunError):
        error.ran = errors.RunStatus.UNKNOWN

  async def _try_record_outcome(self, finished: program.Finished) -> bool:
    """Returns whether an outcome took effect; errors are logged as False."""
    try:
      return await self.record_outcome(finished)
    except errors.WoadrunError as error:
      log.warning(
        'Cannot commit the outcome of request %s: %s', finished.request, error
      )
      return False

  async def perform(
    self,
    running: execution.Execution,
    accepted: program.Accepted,
    place: placing.UpstreamAssignment,
    row: rows.Row,
  ) -> None:
    """Sends an accepted call, records its outcome and delivers the answer.

    Raises the error of a failed call once the failure is recorded,
    `owner_unavailable` if another daemon recorded a different outcome first,
    and `outcome_unknown` if the outcome could not be committed.
    """
    retry_budget = self._get_retry_budget(row)
    try:
      if accepted.call == program.MODEL:
        found = self._get_owned_program(accepted.program)
        finished = await self._upstreams.run_model(
          running, accepted, place, found, row, retry_budget
        )
      else:
        finished = await self._upstreams.run_service(
          accepted, row, retry_budget
        )
    except asyncio.CancelledError:
      finished = self._make_cancelled_record(running, accepted)
      await self.record_outcome(finished)
      raise
    except errors.WoadrunError as error:
      failure = make_failed(
        accepted, error, now=self.clock(), used=place.wasted_tokens
      )
      if not await self.record_outcome(failure):
        raise make_superseded(accepted.request) from error
      raise
    if not await self.record_outcome(finished):
      # Another owner recorded an outcome first; callers must get that outcome.
      raise make_superseded(accepted.request)
    self.deliver_answer(running, finished)

  def _get_owned_program(self, program_id: str) -> program.Program:
    """Returns a program; raises `not_owner` if its slot was handed over."""
    _, slot = calls.split_program_id(program_id)
    owned_slot = self._ownership.owned_slot_by_number.get(slot)
    if owned_slot is None:
      raise slots.make_not_owner_error(
        f'Slot {slot} was handed over to another daemon.'
      )
    return owned_slot.state.get_program(program_id)

  def _make_cancelled_record(
    self, running: execution.Execution, accepted: program.Accepted
  ) -> program.Finished:
    error = make_cancelled(running)
    if not accepted.repeatable:
      error.ran = errors.RunStatus.UNKNOWN
    # The token usage of a cancelled call is unknown, so all tokens reserved for
    # it are charged.
    return make_failed(accepted, error, now=self.clock(), used=accepted.reserve)

  def deliver_answer(
    self, running: execution.Execution, finished: program.Finished
  ) -> None:
    """Completes the answer of a call for the caller and for its retries.

    The tail of the stream was held back until the outcome was committed.
    """
    if running.tail:
      running.stream_answer.write(running.tail)
      running.stream_answer.finish()
    running.finish_json(finished.answer.encode(), status=finished.status)

  async def record_outcome(self, finished: program.Finished) -> bool:
    """Returns whether an outcome took effect, once it is committed.

    An outcome has no effect if another owner recorded a different one for the
    attempt first.  Retries for twice the hold time, then raises
    `outcome_unknown`.
    """
    key = (finished.program, finished.request)
    self._pending_outcomes[key] += 1
    try:
      return await self._record_with_retries(finished)
    finally:
      self._decrement_pending(key)

  def _decrement_pending(self, key: Key) -> None:
    self._pending_outcomes[key] -= 1
    if not self._pending_outcomes[key]:
      del self._pending_outcomes[key]

  async def _record_with_retries(self, finished: program.Finished) -> bool:
    _, slot = calls.split_program_id(finished.program)
    deadline = time.monotonic() + self._config.timing.hold * 2
    while True:
      try:
        recorded = await self._record_once(slot, finished)
        return recorded.has_outcome
      except errors.WoadrunError as error:
        if time.monotonic() > deadline:
          raise _make_uncommitted(finished) from error
      await asyncio.sleep(self._config.timing.heartbeat / 5)

  async def _record_once(
    self, slot: int, finished: program.Finished
  ) -> messages.OutcomeRecorded:
    message = messages.ReportOutcome(slot=slot, record=finished)
    if slot in self._ownership.owned_slot_by_number:
      return await self.commit_outcome(message)
    owner_address = self._members.directory.get_owner(
      self._members.domain, slot
    )
    return await self._links.post(
      owner_address,
      'finish',
      message,
      type=messages.OutcomeRecorded,
      timeout=self._config.timing.commit + 1.0,
    )

  async def commit_outcome(
    self, message: messages.ReportOutcome
  ) -> messages.OutcomeRecorded:
    """Commits the outcome of a call in a slot that this daemon owns.

    The call may have been executed by a previous owner of the slot.
    """
    record = message.record
    owned_slot = await self._ownership.wait_until_writable(message.slot)
    ticket = self._ownership.append(owned_slot, [record])
    await self._ownership.wait_for_commit(ticket, is_strong=False)
    found = owned_slot.state.program_by_id.get(record.program)
    # A program is deleted only some time after it has ended, and the outcomes
    # of its calls were recorded before.
    has_outcome = found is None or found.has_outcome(record)
    if not has_outcome:
      log.info('Request %s already has a different outcome.', record.request)
    return messages.OutcomeRecorded(has_outcome=has_outcome)

  def _get_retry_budget(self, row: rows.Row) -> admission.RetryBudget:
    return self._retry_budget_by_row.setdefault(
      row.key, admission.RetryBudget()
    )

  def _get_running(self, slot: int) -> list[tuple[int, str, str]]:
    """Returns slot, program and request of each accepted call of a slot.

    A planned handover sends them to the next owner, which must not execute
    these calls again.
    """
    return [
      (slot, running.call.program, running.call.request)
      for running in self.execution_by_key.values()
      if running.is_accepted
      and calls.split_program_id(running.call.program)[1] == slot
    ]

  def dump(self) -> dict[str, object]:
    """Returns the running calls and the counters as plain data."""
    return {
      'running': [
        {
          'program': running.call.program,
          'request': running.call.request,
          'target': running.call.target,
          'is_accepted': running.is_accepted,
          'seconds': round(time.monotonic() - running.started_at, 3),
        }
        for running in self.execution_by_key.values()
      ],
      'finished': self.finished,
      'refused': self.refused,
    }


# --- Records and errors -----------------------------------------------------


def _make_uncommitted(finished: program.Finished) -> errors.WoadrunError:
  """Returns the error for a call whose outcome could not be committed.

  A call whose outcome is not a success or a failure is reported as unknown: as
  long as the outcome is not committed, another owner may resume the call.
  """
  has_run = finished.outcome in (program.OK, program.FAILED)
  return errors.WoadrunError(
    errors.Code.OUTCOME_UNKNOWN,
    'The outcome of the call could not be committed.',
    ran=errors.RunStatus.RAN if has_run else errors.RunStatus.UNKNOWN,
  )


def make_failed(
  accepted: program.Accepted,
  error: errors.WoadrunError,
  *,
  now: float,
  used: int = 0,
) -> program.Finished:
  """Returns the outcome record of a call that ended with an error.

  A repeatable call that was not cancelled is recorded as not run, so that
  the caller can retry it under the same id.  `used` is the number of tokens
  that the failed call is charged for.
  """
  is_retryable = accepted.repeatable and error.code is not errors.Code.CANCELLED
  if is_retryable or error.ran is errors.RunStatus.NOT_RUN:
    return program.Finished(
      program=accepted.program,
      request=accepted.request,
      attempt=accepted.attempt,
      outcome=program.NOT_RUN,
      time=now,
      used=used,
    )
  is_unknown = error.ran is errors.RunStatus.UNKNOWN
  return program.Finished(
    program=accepted.program,
    request=accepted.request,
    attempt=accepted.attempt,
    outcome=program.UNKNOWN if is_unknown else program.FAILED,
    time=now,
    status=error.status,
    answer=error.get_body().decode(),
    used=used,
  )


def make_ended(found: program.Program) -> errors.WoadrunError:
  """Returns the error for a call to a program that has ended."""
  return errors.WoadrunError(
    errors.Code.PROGRAM_ENDED, f'The program has ended: {found.ended}.'
  )


def make_out_of_order(last_ordinal: int) -> errors.WoadrunError:
  """Returns the error for a call whose ordinal is not the next one."""
  return errors.WoadrunError(
    errors.Code.OUT_OF_ORDER,
    f'The next ordinal of the program is {last_ordinal + 1}.',
    place='Woadrun-Ordinal',
  )


def make_cancelled(running: execution.Execution) -> errors.WoadrunError:
  """Returns the error for a call that was cancelled.

  Without a reason from `CallRunner.cancel`, the daemon is stopping.
  """
  reason = running.cancel_reason or 'the daemon is stopping'
  ran = (
    errors.RunStatus.RAN if running.is_accepted else errors.RunStatus.NOT_RUN
  )
  return errors.WoadrunError(
    errors.Code.CANCELLED, f'The call was aborted: {reason}.', ran=ran
  )


def make_superseded(request: str) -> errors.WoadrunError:
  """Returns the error for an attempt superseded by another daemon's.

  A retry with the same request id gets the answer that the other daemon
  recorded.
  """
  return errors.WoadrunError(
    errors.Code.OWNER_UNAVAILABLE,
    f'Request {request} was completed by another daemon.',
    ran=errors.RunStatus.UNKNOWN,
    retry_after=SUPERSEDED_RETRY_AFTER_SECONDS,
  )
