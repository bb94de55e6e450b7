"""Programs of the slots that this daemon owns.

Starts, reads and ends programs.  A call gets the stored answer of an earlier
request with the same id, the answer of a running one, or a new one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import logging
import time

import mode

from woadrun import errors
from woadrun import settings
from woadrun.process import configuration
from woadrun.process import ownership
from woadrun.request import calls
from woadrun.request import execution
from woadrun.request import runner
from woadrun.request import upstreams
from woadrun.version import program
from woadrun.version import rows

log = logging.getLogger('woadrun.owner')

OUTCOME_POLL_SECONDS = 0.01
SWEEP_INTERVAL_SECONDS = 1.0
ABANDONED = 'abandoned'
PAST_DEADLINE = 'past its deadline'

Key = tuple[str, str]


class ProgramOwner(mode.Service):
  """The programs of all slots that this daemon owns."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    ownership: ownership.Ownership,
    configuration: configuration.Configuration,
    runner: runner.CallRunner,
    upstreams: upstreams.UpstreamCalls,
  ) -> None:
    super().__init__()
    self._config = config
    self._ownership = ownership
    self._table = configuration
    self._runner = runner
    self._upstreams = upstreams
    self.clock: Callable[[], float] = time.time

  # --- Programs -------------------------------------------------------------

  async def start_program(self, start: calls.StartProgram) -> program.Program:
    """Returns a new program, or the one that an equal request started.

    Errors after its record was applied state "unknown": the program is kept.
    """
    _, slot = calls.split_program_id(start.program)
    owned_slot = await self._ownership.wait_until_writable(slot)
    digest = start.get_digest()
    found = owned_slot.state.program_by_id.get(start.program)
    if found is not None:
      if found.started.digest != digest:
        raise execution.make_conflict('of the start request')
      await self._ownership.confirm_ownership(owned_slot)
      return found
    row = self._check_start(start, owned_slot.state)
    now = self.clock()
    deadline = min(start.deadline or row.deadline, row.deadline)
    record = program.Started(
      program=start.program,
      team=start.team,
      kind=start.kind,
      budget=start.budget,
      deadline_at=now + deadline,
      time=now,
      digest=digest,
      parent=start.parent,
    )
    ticket = self._ownership.append(owned_slot, [record])
    try:
      await self._ownership.wait_for_commit(ticket, is_strong=False)
    except errors.WoadrunError as error:
      raise errors.make_uncertain(error) from error
    return owned_slot.state.get_program(start.program)

  def _check_start(
    self, start: calls.StartProgram, state: program.SlotState
  ) -> rows.Row:
    row = self._table.get_row(start.team, start.kind)
    if start.budget <= 0:
      raise _make_bad_request('The budget must be greater than 0.', 'budget')
    if start.budget > row.program_budget:
      raise errors.WoadrunError(
        errors.Code.BUDGET_EXCEEDED,
        f'{row.key} allows at most {row.program_budget} tokens per program.',
        place='budget',
      )
    if start.parent:
      self._check_parent(start, state)
    elif self._count_programs() >= self._config.limits.programs:
      raise errors.WoadrunError(
        errors.Code.STORAGE_FULL,
        'This daemon has reached its limit of stored programs.',
        retry_after=SWEEP_INTERVAL_SECONDS,
      )
    return row

  def _count_programs(self) -> int:
    owned_slots = self._ownership.owned_slot_by_number.values()
    return sum(
      len(owned_slot.state.program_by_id) for owned_slot in owned_slots
    )

  def _check_parent(
    self, start: calls.StartProgram, state: program.SlotState
  ) -> None:
    parent = self._get_program(state, start.parent, start.teams)
    if parent.ended:
      raise runner.make_ended(parent)
    if start.budget > parent.available:
      raise errors.WoadrunError(
        errors.Code.BUDGET_EXCEEDED,
        f'The parent program has {parent.available} tokens left.',
        place='budget',
      )

  def _get_program(
    self, state: program.SlotState, program_id: str, teams: list[str]
  ) -> program.Program:
    found = state.get_program(program_id)
    if found.started.team not in teams and '*' not in teams:
      # Raises the error for a program that does not exist, so that callers
      # cannot find out about programs of other teams.
      return program.SlotState().get_program(program_id)
    return found

  async def fetch_program(
    self, command: calls.ProgramCommand
  ) -> program.Program:
    """Returns a program in its current state.

    The state of a program that was removed from memory after its end is read
    from the object store.
    """
    _, slot = calls.split_program_id(command.program)
    owned_slot = await self._ownership.wait_until_writable(slot)
    await self._ownership.confirm_ownership(owned_slot)
    try:
      return self._get_program(owned_slot.state, command.program, command.teams)
    except errors.WoadrunError:
      archived = await self._upstreams.read_archive(command.program)
      if archived is None:
        raise
      state = program.SlotState(program_by_id={command.program: archived})
      return self._get_program(state, command.program, command.teams)

  async def end_program(
    self, command: calls.ProgramCommand, *, reason: str
  ) -> program.Program:
    """Returns a program after ending it and its sub-agents.

    With the reason `ended` running calls are completed first; with any other
    reason they are cancelled.  Errors state "unknown" once the end has begun:
    calls or sub-agents may have ended.
    """
    _, slot = calls.split_program_id(command.program)
    owned_slot = await self._ownership.wait_until_writable(slot)
    found = self._get_program(owned_slot.state, command.program, command.teams)
    try:
      await self._end(slot, command.program, reason)
    except errors.WoadrunError as error:
      raise errors.make_uncertain(error) from error
    return found

  async def _end(self, slot: int, program_id: str, reason: str) -> None:
    owned_slot = await self._ownership.wait_until_writable(slot)
    for child in _get_children(owned_slot.state, program_id):
      await self._end(slot, child, reason)
    if reason != 'ended':
      self._runner.cancel(program_id, reason)
    await self._runner.program_locks.acquire(program_id)
    try:
      owned_slot = await self._ownership.wait_until_writable(slot)
      found = owned_slot.state.get_program(program_id)
      if found.ended:
        return
      record = program.Ended(
        program=program_id, reason=reason, time=self.clock()
      )
      ticket = self._ownership.append(owned_slot, [record])
      await self._ownership.wait_for_commit(ticket, is_strong=False)
    finally:
      self._runner.program_locks.release(program_id)
    self._upstreams.drop_program_cache(program_id, found.engine)

  # --- Calls ----------------------------------------------------------------

  async def call(self, call: calls.Call, *, is_stream: bool) -> calls.Answer:
    """Returns the answer of a call.

    The answer is stored, is being written by a running execution, or belongs
    to a new execution.
    """
    _, slot = calls.split_program_id(call.program)
    digest = call.get_digest()
    key = (call.program, call.request)
    deadline = time.monotonic() + self._config.timing.hold
    while True:
      owned_slot = await self._ownership.wait_until_writable(slot)
      found = self._get_program(owned_slot.state, call.program, call.teams)
      stored = execution.get_stored_answer(
        found, call, digest, is_stream=is_stream
      )
      if stored is not None:
        await self._ownership.confirm_ownership(owned_slot)
        return stored
      running = self._runner.execution_by_key.get(key)
      if running is not None:
        if running.digest != digest:
          raise execution.make_conflict(call.request)
        return running.get_answer(is_stream=is_stream)
      if call.request not in found.request_by_id:
        return self._runner.start_execution(call).get_answer(
          is_stream=is_stream
        )
      if time.monotonic() > deadline:
        raise errors.WoadrunError(
          errors.Code.OWNER_UNAVAILABLE,
          'Another daemon is still completing the request.',
          ran=errors.RunStatus.UNKNOWN,
          retry_after=1.0,
        )
      await asyncio.sleep(OUTCOME_POLL_SECONDS)

  # --- Expiry and archival --------------------------------------------------

  @mode.Service.task
  async def _sweep(self) -> None:
    while not self.should_stop:
      await self.sleep(SWEEP_INTERVAL_SECONDS)
      for slot in list(self._ownership.owned_slot_by_number):
        with contextlib.suppress(errors.WoadrunError):
          await self._sweep_slot(slot)

  async def _sweep_slot(self, slot: int) -> None:
    owned_slot = self._ownership.owned_slot_by_number.get(slot)
    programs = owned_slot.state.program_by_id if owned_slot else {}
    now = self.clock()
    for program_id, found in list(programs.items()):
      if found.ended:
        if (
          now - found.last_active > self._config.timing.keep_ended
          and owned_slot
        ):
          await self._upstreams.archive(program_id, found)
          self._ownership.append(
            owned_slot, [program.Forgotten(program=program_id)]
          )
        continue
      reason = self._find_end_reason(found, now)
      if reason:
        log.info('Ending program %s: it is %s.', program_id, reason)
        self.add_future(self._end_if_possible(slot, program_id, reason))

  async def _end_if_possible(
    self, slot: int, program_id: str, reason: str
  ) -> None:
    with contextlib.suppress(errors.WoadrunError):
      await self._end(slot, program_id, reason)

  def _find_end_reason(self, found: program.Program, now: float) -> str:
    if now > found.started.deadline_at:
      return PAST_DEADLINE
    with contextlib.suppress(errors.WoadrunError):
      row = self._table.get_row(found.started.team, found.started.kind)
      is_busy = any(found.get_running()) or found.carved > 0
      if not is_busy and now - found.last_active > row.idle_limit:
        return ABANDONED
    return ''


def _make_bad_request(reason: str, place: str) -> errors.WoadrunError:
  return errors.WoadrunError(errors.Code.BAD_REQUEST, reason, place=place)


def _get_children(state: program.SlotState, program_id: str) -> list[str]:
  return [
    child
    for child, found in state.program_by_id.items()
    if found.started.parent == program_id and not found.ended
  ]
