"""Recovery of calls that a previous owner of their slot started.

A slot is a partition of the programs of a failure domain, and its owner is the
daemon that executes and records the calls of these programs.  An owner that
hands over a slot finishes the calls that it executes, and the new owner waits
for their outcomes.  The new owner recovers the calls that a dead owner left
unfinished, and those that an owner gave up because it could not commit their
outcomes.  It resumes a repeatable call (a model call, or a service call that
the caller declared repeatable).  Any other call is an action, which must not
run twice: the service is only queried for its outcome.

A request may have several attempts, one after the other; each one starts with
an `Accepted` record.
"""

from __future__ import annotations

import asyncio
import logging

import mode
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.process import configuration
from woadrun.process import membership
from woadrun.process import ownership
from woadrun.process import slots
from woadrun.request import calls
from woadrun.request import execution
from woadrun.request import placing
from woadrun.request import runner
from woadrun.request import upstreams
from woadrun.version import program

log = logging.getLogger('woadrun.recovery')

# Interval between scans for accepted calls that no daemon executes.  Calls of a
# new slot are recovered at once; the scans find those given up later.
ORPHAN_SCAN_INTERVAL_SECONDS = 5.0

# The ids of a program and of one of its requests.
Key = tuple[str, str]


class Recovery(mode.Service):
  """Recovers calls of this daemon's slots that no daemon executes any more."""

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
    runner: runner.CallRunner,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._ownership = ownership
    self._table = table
    self._links = messenger
    self._places = placing
    self._upstreams = upstreams
    self._runner = runner
    # Calls that a previous owner still executes, and its message about them.
    self._handover_by_key: dict[Key, messages.Handover] = {}
    # Calls whose recovery task is waiting or has yet to start the execution.
    self._recovering: set[Key] = set()
    ownership.on_slot_owned = self._recover_slot

  # --- Calls that a previous owner finishes ---------------------------------

  def record_handover(self, message: messages.Handover) -> messages.Done:
    """Records which calls of incoming slots their previous owner finishes."""
    for _, program_id, request in message.requests:
      self._handover_by_key[(program_id, request)] = message
    self.add_future(self._poll_previous_owner(message))
    return messages.Done()

  async def _poll_previous_owner(self, handover: messages.Handover) -> None:
    """Polls a previous owner until it has finished or given up its calls.

    The previous owner sends the outcome of a call before it stops reporting
    the call as running.  A call that it no longer reports and that has no
    outcome was given up.
    """
    unfinished = {
      (program_id, request) for _, program_id, request in handover.requests
    }
    while unfinished := {
      key for key in unfinished if self._handover_by_key.get(key) is handover
    }:
      for key in unfinished - await self._query_running(handover, unfinished):
        self._handover_by_key.pop(key, None)
      await asyncio.sleep(self._config.timing.heartbeat)

  async def _query_running(
    self, handover: messages.Handover, keys: set[Key]
  ) -> set[Key]:
    """Returns which of the calls the previous owner still executes.

    Returns none if its process was restarted or is unreachable, and all calls
    if it sent no valid response but is alive.
    """
    # The incarnation identifies a process at its address.  It is unknown if
    # the previous owner is no longer in the roster, but it may still run.
    incarnation = self._members.roster.incarnations.get(handover.sender)
    if incarnation not in (None, handover.incarnation):
      return set()
    try:
      answer = await self._links.post(
        handover.sender,
        'running',
        messages.Requests(requests=sorted(keys)),
        type=messages.Requests,
        timeout=self._config.timing.silent_after,
      )
    except errors.WoadrunError:
      is_alive = await self._members.is_member_reachable(handover.sender)
      return keys if is_alive else set()
    return set(answer.requests)

  async def handle_finished(
    self, message: messages.ReportOutcome
  ) -> messages.OutcomeRecorded:
    """Commits the outcome of a call that a previous owner finished.

    Returns whether the call has this outcome now, rather than another one.
    Raises an error if this daemon does not own the slot or cannot commit.
    """
    recorded = await self._runner.commit_outcome(message)
    key = (message.record.program, message.record.request)
    if self._find_running_attempt(key) is None:
      # If an attempt is still running, the record was that of an earlier
      # attempt, and the previous owner still executes the running one.
      self._handover_by_key.pop(key, None)
    return recorded

  def get_running_calls(self, message: messages.Requests) -> messages.Requests:
    """Returns which of the calls in a message are in progress here.

    These are the calls that this daemon executes or whose outcome it records.
    """
    return messages.Requests(
      requests=[
        key for key in message.requests if self._runner.is_in_progress(key)
      ]
    )

  # --- Calls that no daemon executes ----------------------------------------

  def _recover_slot(self, owned_slot: slots.OwnedSlot) -> None:
    """Starts to recover a slot's unfinished calls, if not yet in progress."""
    for program_id, found in owned_slot.state.program_by_id.items():
      for request in found.get_running():
        key = (program_id, request.accepted.request)
        if not self._is_handled(key):
          self._recovering.add(key)
          self.add_future(self._recover(key, request.accepted))

  def _is_handled(self, key: Key) -> bool:
    return self._runner.is_in_progress(key) or key in self._recovering

  @mode.Service.task
  async def _scan_for_orphans(self) -> None:
    # Every accepted call must get exactly one outcome, also a call that this
    # or another daemon gave up.
    while not self.should_stop:
      await self.sleep(ORPHAN_SCAN_INTERVAL_SECONDS)
      for owned_slot in list(self._ownership.owned_slot_by_number.values()):
        self._recover_slot(owned_slot)

  async def _recover(self, key: Key, accepted: program.Accepted) -> None:
    """Executes an unfinished call once no previous owner executes it."""
    try:
      await self._wait_for_previous_owner(key)
      self._start_recovery(key, accepted)
    finally:
      self._recovering.discard(key)

  async def _wait_for_previous_owner(self, key: Key) -> None:
    # Checked more often than the previous owner is polled: its report of the
    # outcome may arrive at any time.
    while key in self._handover_by_key:
      await asyncio.sleep(self._config.timing.heartbeat / 10)

  def _find_running_attempt(self, key: Key) -> program.Accepted | None:
    """Returns the running attempt of a call, or None if there is none."""
    _, slot = calls.split_program_id(key[0])
    owned_slot = self._ownership.owned_slot_by_number.get(slot)
    found = owned_slot.state.program_by_id.get(key[0]) if owned_slot else None
    request = found.request_by_id.get(key[1]) if found else None
    if request is None or not request.is_running:
      return None
    return request.accepted

  def _is_current(self, key: Key, accepted: program.Accepted) -> bool:
    """Returns whether an attempt is still the running one of its request."""
    found = self._find_running_attempt(key)
    return found is not None and found.attempt == accepted.attempt

  def _start_recovery(self, key: Key, accepted: program.Accepted) -> None:
    """Starts the execution unless the attempt has ended or is in progress."""
    if not self._is_current(key, accepted) or self._runner.is_in_progress(key):
      return
    call = calls.Call(
      program=accepted.program,
      request=accepted.request,
      call=accepted.call,
      target=accepted.target,
      body=msgspec.Raw(accepted.body.encode()),
      # All teams: the caller was authorized before the call was accepted.
      teams=['*'],
      repeatable=accepted.repeatable,
    )
    running = execution.make_execution(call)
    running.digest = accepted.digest
    running.is_accepted = True
    self._runner.execution_by_key[key] = running
    running.task = asyncio.ensure_future(
      self._execute_recovered(running, accepted)
    )

  async def _execute_recovered(
    self, running: execution.Execution, accepted: program.Accepted
  ) -> None:
    """Resumes a call after those before it; errors go to its readers."""
    key = (accepted.program, accepted.request)
    await self._runner.program_locks.acquire(accepted.program)
    try:
      if not self._is_current(key, accepted):
        raise runner.make_superseded(accepted.request)
      await self._resume(running, accepted)
    except errors.WoadrunError as error:
      # The earlier owner may have sent the call.
      running.fail(errors.make_uncertain(error))
    except asyncio.CancelledError:
      running.fail(runner.make_cancelled(running))
    finally:
      self._runner.program_locks.release(accepted.program)
      self._runner.execution_by_key.pop(key, None)

  async def _resume(
    self, running: execution.Execution, accepted: program.Accepted
  ) -> None:
    """Resumes a repeatable call, or queries the outcome of an action.

    Records the outcome and delivers the answer.  An action whose outcome the
    service cannot tell is recorded as unknown.  Raises the error of a failed
    call, `outcome_unknown` for such an action, and `owner_unavailable` if
    another outcome was recorded first.
    """
    _, slot = calls.split_program_id(accepted.program)
    owned_slot = await self._ownership.wait_until_writable(slot)
    found = owned_slot.state.get_program(accepted.program)
    row = self._table.get_row(found.started.team, found.started.kind)
    log.info(
      'Resuming request %s of program %s.', accepted.request, accepted.program
    )
    if accepted.repeatable:
      place = self._places.make_resumed_assignment(
        accepted.upstream, is_resumed=True
      )
      try:
        await self._runner.perform(running, accepted, place, row)
      finally:
        # The assignment begins without a permit, but acquires one if the call
        # is moved to another engine.
        self._places.release_slot(place)
      return
    outcome = await self._upstreams.query_outcome(accepted)
    if outcome is not None:
      if not await self._runner.record_outcome(outcome):
        raise runner.make_superseded(accepted.request)
      self._runner.deliver_answer(running, outcome)
      return
    error = upstreams.make_outcome_unknown(accepted)
    now = self._runner.clock()
    failure = runner.make_failed(accepted, error, now=now)
    if not await self._runner.record_outcome(failure):
      raise runner.make_superseded(accepted.request)
    raise error

  def dump(self) -> dict[str, object]:
    """Returns the number of calls to recover, for debugging."""
    return {
      'elsewhere': len(self._handover_by_key),
      'recovering': len(self._recovering),
    }
