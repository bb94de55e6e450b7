"""The execution of calls: their turn, their records and their outcome.

A call is refused as "not run" at any step before it is sent.  Its record
is committed before it is sent, and its outcome before the caller gets
the end of the answer.
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

POLL_SECONDS = 0.01
# Retry-After of a request whose outcome another daemon recorded, in seconds.
SUPERSEDED_SECONDS = 0.1

Key = tuple[str, str]


class Runner(mode.Service):
  """The calls that this daemon executes, by program and request."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    held: ownership.Ownership,
    table: configuration.Configuration,
    links: peers.Peers,
    places: placing.Placing,
    back: upstreams.Upstreams,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._held = held
    self._table = table
    self._links = links
    self._places = places
    self._back = back
    self.turns = execution.Turns()
    self.execution_by_key: dict[Key, execution.Execution] = {}
    # Counts outcomes being recorded: two attempts of a request may overlap.
    self._finishing: collections.Counter[Key] = collections.Counter()
    self._keeping: set[asyncio.Task[bool]] = set()
    self._retry_budget_by_row: dict[str, admission.RetryBudget] = {}
    self.clock: Callable[[], float] = time.time
    self.finished = 0
    self.refused = 0
    held.get_running = self._get_running

  def begin(self, call: calls.Call) -> execution.Execution:
    """Returns the execution of a call that begins now."""
    running = execution.make_execution(call)
    key = (call.program, call.request)
    self.execution_by_key[key] = running
    running.task = asyncio.ensure_future(self._execute(running))
    return running

  def is_under_way(self, key: Key) -> bool:
    """Returns whether this daemon brings a call to its end."""
    return key in self.execution_by_key or self._finishing[key] > 0

  def cancel(self, name: str, reason: str) -> None:
    """Breaks off all calls of a program."""
    for (owner, _), running in list(self.execution_by_key.items()):
      if owner == name and running.task is not None:
        running.cancel_reason = reason
        running.task.cancel()

  async def _execute(self, running: execution.Execution) -> None:
    call = running.call
    key = (call.program, call.request)
    try:
      await self._wait_ordinal(call)
      await self.turns.enter(call.program)
      try:
        await self._run(running)
        self.finished += 1
      finally:
        self.turns.exit(call.program)
    except errors.WoadrunError as error:
      self.refused += 1
      running.fail(error)
    except asyncio.CancelledError:
      running.fail(make_cancelled(running))
    except Exception:
      log.exception('A call failed for an unforeseen reason.')
      ran = errors.Ran.UNKNOWN if running.is_accepted else errors.Ran.NOT_RUN
      running.fail(
        errors.WoadrunError(errors.Code.INTERNAL, 'Internal fault.', ran=ran)
      )
    finally:
      self.execution_by_key.pop(key, None)

  async def _wait_ordinal(self, call: calls.Call) -> None:
    """Returns when the call before this one is in the records."""
    _, number = calls.split_program_id(call.program)
    deadline = time.monotonic() + self._config.timing.hold
    while call.ordinal:
      holding = await self._held.open(number)
      done = holding.state.get_program(call.program).calls
      if call.ordinal == done + 1:
        return
      if call.ordinal <= done or time.monotonic() > deadline:
        raise make_out_of_order(done)
      await asyncio.sleep(POLL_SECONDS)

  # --- One call, straight down ----------------------------------------------

  async def _run(self, running: execution.Execution) -> None:
    call = running.call
    _, number = calls.split_program_id(call.program)
    holding = await self._held.open(number)
    found = holding.state.get_program(call.program)
    row = self._check_call(found)
    self._get_retry_budget(row).note_call(row.retry_budget)
    plan = self._places.plan(call, found, row)
    permit = secrets.token_hex(8)
    async with self._places.permits(call, found, row, plan, permit) as place:
      if not call.repeatable:
        # Once committed, an action is sent at once or its fate unknown:
        # its intent waits for no permit.
        await self._places.enter(place, found, row, plan.cost)
      holding = await self._held.open(number)
      found = holding.state.get_program(call.program)
      self._check_call(found)
      if call.request in found.request_by_id:
        # The slot may have moved away and back while the call waited, and
        # another owner served the caller's retry.
        raise make_superseded(call.request)
      if call.ordinal and call.ordinal != found.calls + 1:
        raise make_out_of_order(found.calls)
      accepted = self._back.make_accepted(
        call, found, plan, place, running.digest, now=self.clock()
      )
      left_engine = found.engine
      ticket = self._held.append(holding, [accepted])
      running.is_accepted = True
      try:
        await self._settle_and_enter(ticket, accepted, place, found, row, plan)
      except BaseException as error:
        running.is_accepted = False
        await self._take_back(accepted, error)
        raise
      if left_engine not in ('', found.engine):
        self._back.forget_program(call.program, left_engine)
      await self.perform(running, accepted, place, row)

  async def _settle_and_enter(
    self,
    ticket: slots.Ticket,
    accepted: program.Accepted,
    place: placing.Place,
    found: program.Program,
    row: rows.Row,
    plan: placing.Plan,
  ) -> None:
    """Returns once the record is committed and the upstream has room."""
    if not accepted.repeatable:
      await self._held.settle(ticket, is_strong=True)
      return
    results = await asyncio.gather(
      self._held.settle(ticket, is_strong=False),
      self._places.enter(place, found, row, plan.cost),
      return_exceptions=True,
    )
    for result in results:
      if result is not None:
        raise result

  def _check_call(self, found: program.Program) -> rows.Row:
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
        f'{row.key} allows {row.max_calls} calls for a program.',
      )
    return row

  async def _take_back(
    self, accepted: program.Accepted, error: BaseException
  ) -> None:
    """Marks a call that was never sent as not run, whoever owns it now.

    The record may be held elsewhere.  An action is sent by nobody who
    finds it; another call would be run again, so its refusal says "not
    run" only once that is committed.
    """
    record = program.Finished(
      program=accepted.program,
      request=accepted.request,
      attempt=accepted.attempt,
      outcome=program.NOT_RUN,
      time=self.clock(),
    )
    key = (accepted.program, accepted.request)
    self._finishing[key] += 1
    keeping = asyncio.ensure_future(self._keep(record))
    self._keeping.add(keeping)
    keeping.add_done_callback(self._keeping.discard)
    keeping.add_done_callback(lambda _: self._note_recorded(key))
    if accepted.repeatable:
      await asyncio.wait({keeping}, timeout=self._config.timing.commit)
      is_kept = keeping.done() and keeping.result()
      if not is_kept and isinstance(error, errors.WoadrunError):
        error.ran = errors.Ran.UNKNOWN

  async def _keep(self, finished: program.Finished) -> bool:
    """Returns whether an outcome was committed."""
    try:
      return await self.finish(finished)
    except errors.WoadrunError as error:
      log.warning('Outcome of %s not kept: %s', finished.request, error)
      return False

  async def perform(
    self,
    running: execution.Execution,
    accepted: program.Accepted,
    place: placing.Place,
    row: rows.Row,
  ) -> None:
    """Returns once an accepted call has its outcome, and passes it on."""
    retries = self._get_retry_budget(row)
    try:
      if accepted.call == program.MODEL:
        found = self._get_known(accepted.program)
        finished = await self._back.run_model(
          running, accepted, place, found, row, retries
        )
      else:
        finished = await self._back.run_service(accepted, row, retries)
    except asyncio.CancelledError:
      finished = self._make_broken(running, accepted)
      await self.finish(finished)
      raise
    except errors.WoadrunError as error:
      failed = make_failed(accepted, error, now=self.clock(), used=place.wasted)
      await self.finish(failed)
      raise
    if not await self.finish(finished):
      # Another owner recorded an outcome first; callers must get that one.
      raise make_superseded(accepted.request)
    self.pass_on(running, finished)

  def _get_known(self, name: str) -> program.Program:
    _, number = calls.split_program_id(name)
    holding = self._held.holding_by_slot.get(number)
    if holding is None:
      raise slots.make_not_owner(f'Slot {number} was given away.')
    return holding.state.get_program(name)

  def _make_broken(
    self, running: execution.Execution, accepted: program.Accepted
  ) -> program.Finished:
    error = make_cancelled(running)
    if not accepted.repeatable:
      error.ran = errors.Ran.UNKNOWN
    # What a broken call used is not known; its worst case is charged.
    return make_failed(accepted, error, now=self.clock(), used=accepted.reserve)

  def pass_on(
    self, running: execution.Execution, finished: program.Finished
  ) -> None:
    """Gives the end of an answer to all that wait for it."""
    if running.tail:
      running.events.write(running.tail)
      running.events.finish()
    running.finish_whole(finished.answer.encode(), status=finished.status)

  async def finish(self, finished: program.Finished) -> bool:
    """Returns whether an outcome took effect, once it is committed.

    It does not where another owner recorded one for the call before.
    """
    key = (finished.program, finished.request)
    self._finishing[key] += 1
    try:
      return await self._finish(finished)
    finally:
      self._note_recorded(key)

  def _note_recorded(self, key: Key) -> None:
    self._finishing[key] -= 1
    if not self._finishing[key]:
      del self._finishing[key]

  async def _finish(self, finished: program.Finished) -> bool:
    _, number = calls.split_program_id(finished.program)
    deadline = time.monotonic() + self._config.timing.hold * 2
    while True:
      try:
        recorded = await self._finish_once(number, finished)
        return recorded.has_outcome
      except errors.WoadrunError as error:
        if time.monotonic() > deadline:
          raise errors.WoadrunError(
            errors.Code.OUTCOME_UNKNOWN,
            'The call ran; its outcome could not be kept.',
            ran=errors.Ran.RAN,
          ) from error
      await asyncio.sleep(self._config.timing.heartbeat / 5)

  async def _finish_once(
    self, number: int, finished: program.Finished
  ) -> messages.Recorded:
    message = messages.Finish(slot=number, record=finished)
    if number in self._held.holding_by_slot:
      return await self.note_finished(message)
    owner = self._members.directory.get_owner(self._members.domain, number)
    return await self._links.post(
      owner,
      'finish',
      message,
      type=messages.Recorded,
      timeout=self._config.timing.commit + 1.0,
    )

  async def note_finished(self, message: messages.Finish) -> messages.Recorded:
    """Commits the outcome of a call, whoever executed it."""
    record = message.record
    holding = await self._held.open(message.slot)
    ticket = self._held.append(holding, [record])
    await self._held.settle(ticket, is_strong=False)
    found = holding.state.program_by_id.get(record.program)
    # A program that is no longer kept had its outcomes.
    has_outcome = found is None or found.has_outcome(record)
    if not has_outcome:
      log.info('Request %s has another outcome.', record.request)
    return messages.Recorded(has_outcome=has_outcome)

  def _get_retry_budget(self, row: rows.Row) -> admission.RetryBudget:
    return self._retry_budget_by_row.setdefault(
      row.key, admission.RetryBudget()
    )

  def _get_running(self, number: int) -> list[tuple[int, str, str]]:
    return [
      (number, running.call.program, running.call.request)
      for running in self.execution_by_key.values()
      if running.is_accepted
      and calls.split_program_id(running.call.program)[1] == number
    ]

  def dump(self) -> dict[str, object]:
    """Returns the state of this part as plain data."""
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


def make_failed(
  accepted: program.Accepted,
  error: errors.WoadrunError,
  *,
  now: float,
  used: int = 0,
) -> program.Finished:
  """Returns the record of a call that ended with an error.

  One that may be repeated makes room for the caller's next try; `used`
  counts the tokens that it has used up all the same.
  """
  is_open = accepted.repeatable and error.code is not errors.Code.CANCELLED
  if is_open or error.ran is errors.Ran.NOT_RUN:
    return program.Finished(
      program=accepted.program,
      request=accepted.request,
      attempt=accepted.attempt,
      outcome=program.NOT_RUN,
      time=now,
      used=used,
    )
  is_unknown = error.ran is errors.Ran.UNKNOWN
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
  """Returns the refusal of a call of a program that is over."""
  return errors.WoadrunError(
    errors.Code.PROGRAM_ENDED, f'The program is over: {found.ended}.'
  )


def make_out_of_order(done: int) -> errors.WoadrunError:
  """Returns the refusal of a call whose turn it is not."""
  return errors.WoadrunError(
    errors.Code.OUT_OF_ORDER,
    f'The next call of the program is number {done + 1}.',
    place='Woadrun-Ordinal',
  )


def make_cancelled(running: execution.Execution) -> errors.WoadrunError:
  """Returns the error of a call that was broken off."""
  reason = running.cancel_reason or 'the daemon stops'
  ran = errors.Ran.RAN if running.is_accepted else errors.Ran.NOT_RUN
  return errors.WoadrunError(
    errors.Code.CANCELLED, f'The call was broken off: {reason}.', ran=ran
  )


def make_superseded(request: str) -> errors.WoadrunError:
  """Returns the error of an attempt that lost to another of its request.

  A retry under the same id gets the recorded answer.
  """
  return errors.WoadrunError(
    errors.Code.OWNER_UNAVAILABLE,
    f'Request {request} was brought to its end elsewhere.',
    ran=errors.Ran.UNKNOWN,
    retry_after=SUPERSEDED_SECONDS,
  )
