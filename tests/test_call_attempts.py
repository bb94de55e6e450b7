"""Late or repeated outcome records affect only the attempt that they name.

The failure that the tests guard against: a call was answered with 200 but was
missing from its program, because the owner repeated the "not run" record of
the first attempt while the second attempt was running.  The records of the
owner, in order:

    accepted r   finished r not run   accepted r   finished r not run (again)
    finished r ok (ignored: the request is not known)
"""

import asyncio
import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import test_membership as members

from woadrun import errors
from woadrun.connection import messages
from woadrun.process import slots
from woadrun.request import calls
from woadrun.request import execution
from woadrun.request import placing
from woadrun.version import program
from woadrun.version import roster
from woadrun.version import rows

PROGRAM = 'north.000.a'
BUDGET = 100
RESERVE = 20
USED = 7
COMMIT_TIMEOUT_SECONDS = 0.1


def make_state():
  state = program.SlotState()
  started = program.Started(
    program=PROGRAM,
    team='t',
    kind='k',
    budget=BUDGET,
    deadline_at=2.0**33,
    time=0.0,
  )
  state.apply([started], answers=9)
  return state


def make_accepted(attempt, *, repeatable=True, ordinal=1):
  return program.Accepted(
    program=PROGRAM,
    request='r',
    ordinal=ordinal,
    call=program.MODEL if repeatable else program.SERVICE,
    target='s/act',
    digest=make_call(repeatable=repeatable).get_digest(),
    reserve=RESERVE,
    repeatable=repeatable,
    time=0.0,
    stream=attempt,
    body='{}',
  )


def make_finished(attempt, outcome, **fields):
  return program.Finished(
    program=PROGRAM,
    request='r',
    attempt=attempt,
    outcome=outcome,
    time=0.0,
    **fields,
  )


def make_ok(attempt, text='said'):
  return make_finished(
    attempt,
    program.OK,
    used=USED,
    answer=f'"{text}"',
    messages=[{'role': 'assistant', 'content': text}],
  )


def make_call(*, repeatable=True):
  return calls.Call(
    program=PROGRAM,
    request='r',
    call=program.MODEL if repeatable else program.SERVICE,
    target='s/act',
    body=b'{}',
    teams=['*'],
    repeatable=repeatable,
  )


def make_owner(state):
  """Returns the owner of slot 0, whose standby acknowledges no record."""
  found, _ = members.make_membership(None, '127.0.0.1:8000')
  timing = found._config.timing.model_copy(
    update={'commit': COMMIT_TIMEOUT_SECONDS}
  )
  found._config = found._config.model_copy(update={'timing': timing})
  run = members.make_recovery(found, members.Links(raise_unavailable))
  owned_slot = slots.OwnedSlot(
    number=0, version=roster.Version(1), standby='127.0.0.1:8001', state=state
  )
  owned_slot.writable.set()
  run._ownership.owned_slot_by_number[0] = owned_slot
  return run, owned_slot


class FakePlacing:
  """Grants a permit at one upstream to every call."""

  def plan(self, call, found, row):
    return placing.CallPlan(upstream_names=['s'])

  @contextlib.asynccontextmanager
  async def hold_permits(self, *_):
    yield placing.UpstreamAssignment(name='s')

  async def acquire_slot(self, *_):
    pass


class FakeUpstreams:
  """Answers every call with the same text."""

  async def run_service(self, accepted, row, retries):
    return make_ok(accepted.attempt, text='mine')


class FakeTable:
  """Returns the same row for all teams."""

  def get_row(self, team, kind):
    return rows.Row(key='t')


def raise_unavailable(path, message):
  raise errors.WoadrunError(
    errors.Code.OWNER_UNAVAILABLE, 'The daemon does not answer.'
  )


# --- Records -----------------------------------------------------------------


def test_late_outcome_does_not_end_next_attempt():
  state = make_state()
  records = [
    make_accepted('first'),
    make_finished('first', program.NOT_RUN),
    make_accepted('second'),
    make_finished('first', program.NOT_RUN),
    make_ok('second'),
  ]
  for record in records:
    state.apply([record], answers=9)
  found = state.get_program(PROGRAM)
  assert [m['content'] for m in found.history] == ['said']
  assert (found.spent, found.calls) == (USED, 1)
  assert found.request_by_id['r'].outcome == program.OK


@pytest.mark.parametrize('outcome', [program.OK, program.FAILED])
def test_late_answer_does_not_end_next_attempt(outcome):
  state = make_state()
  records = [
    make_accepted('first'),
    make_finished('first', program.NOT_RUN),
    make_accepted('second'),
    make_finished('first', outcome, answer='"late"'),
  ]
  for record in records:
    state.apply([record], answers=9)
  found = state.get_program(PROGRAM)
  assert found.request_by_id['r'].is_running
  assert found.reserved == RESERVE


def test_record_without_attempt_ends_running_attempt():
  state = make_state()
  for record in (make_accepted('first'), make_ok('')):
    state.apply([record], answers=9)
  assert state.get_program(PROGRAM).request_by_id['r'].outcome == program.OK


# --- The owner ---------------------------------------------------------------


@pytest.mark.parametrize('repeatable', [True, False])
async def test_not_run_record_does_not_end_next_attempt(
  repeatable,
):
  """Guards against an action being accepted and sent a second time.

  The "not run" record of the first attempt is repeated while the second
  attempt is running, and must not remove that attempt.
  """
  state = make_state()
  run, owned_slot = make_owner(state)
  first = make_accepted('first', repeatable=repeatable)
  state.apply([first], answers=9)
  error = slots.make_not_committed_error(
    'No other daemon has acknowledged the record.', retry_after=0.1
  )
  before = state.sequence
  await run._runner._record_not_run(first, error)
  while state.sequence == before:
    await asyncio.sleep(0)
  # The caller's next attempt is committed by the standby and sent.
  second = make_accepted('second', repeatable=repeatable)
  ticket = run._ownership.append(owned_slot, [second])
  await asyncio.sleep(2 * COMMIT_TIMEOUT_SECONDS)
  owned_slot.settle(ticket.append.sequence, slots.Durability.STANDBY)
  while run._runner._not_run_tasks:
    await asyncio.sleep(COMMIT_TIMEOUT_SECONDS / 10)
    owned_slot.settle(state.sequence, slots.Durability.STANDBY)
  run._ownership.append(owned_slot, [make_ok('second')])
  found = state.get_program(PROGRAM)
  call = make_call(repeatable=repeatable)
  assert execution.get_stored_answer(
    found, call, call.get_digest(), is_stream=False
  ), 'a retry with the same id would run the call again'
  assert found.spent == USED


async def test_call_is_reported_running_until_last_attempt_is_recorded():
  """Guards against an attempt being resumed by a new owner too early.

  The previous owner had yet to record "not run" for that attempt, but no
  longer reported the call as running.
  """
  state = make_state()
  run, owned_slot = make_owner(state)
  state.apply([make_accepted('first')], answers=9)
  ask = messages.Requests(requests=[(PROGRAM, 'r')])
  first = make_finished('first', program.NOT_RUN)
  first_recording = asyncio.ensure_future(run._runner.record_outcome(first))
  await asyncio.sleep(0)
  sequence = state.sequence
  state.apply([make_accepted('second')], answers=9)
  second = make_finished('second', program.NOT_RUN)
  second_recording = asyncio.ensure_future(run._runner.record_outcome(second))
  await asyncio.sleep(0)
  owned_slot.settle(sequence, slots.Durability.STANDBY)
  await first_recording
  assert run.get_running_calls(ask).requests == [(PROGRAM, 'r')]
  owned_slot.settle(state.sequence, slots.Durability.STANDBY)
  await second_recording
  assert run.get_running_calls(ask).requests == []


async def test_superseded_attempt_is_not_resumed():
  """Guards against a superseded attempt running beside the newer one.

  The caller had already been given the answer of the newer attempt.
  """
  state = make_state()
  run, _ = make_owner(state)
  first = make_accepted('first')
  state.apply([first], answers=9)
  key = (PROGRAM, 'r')
  run._handover_by_key[key] = None
  recovering = asyncio.ensure_future(run._recover(key, first))
  await asyncio.sleep(0)
  # The previous owner records "not run" for the first attempt, and the
  # caller's next attempt starts at this daemon.
  records = [
    make_finished('first', program.NOT_RUN),
    make_accepted('second'),
  ]
  state.apply(records, answers=9)
  newer = execution.make_execution(make_call())
  run._runner.execution_by_key[key] = newer
  del run._handover_by_key[key]
  await recovering
  is_unchanged = run._runner.execution_by_key[key] is newer
  assert is_unchanged


async def test_new_owner_waits_for_running_attempt_after_earlier_outcome():
  """Guards against a running action being recorded as unknown.

  The previous owner was still executing the second attempt of the action.
  """
  state = make_state()
  run, owned_slot = make_owner(state)
  records = [
    make_accepted('first', repeatable=False),
    make_finished('first', program.NOT_RUN),
    make_accepted('second', repeatable=False),
  ]
  state.apply(records, answers=9)
  key = (PROGRAM, 'r')
  run._handover_by_key[key] = None

  async def note(record):
    message = messages.ReportOutcome(slot=0, record=record)
    noting = asyncio.ensure_future(run.handle_finished(message))
    await asyncio.sleep(0)
    owned_slot.settle(state.sequence, slots.Durability.STANDBY)
    await noting

  await note(make_finished('first', program.NOT_RUN))
  assert key in run._handover_by_key
  await note(make_ok('second'))
  assert key not in run._handover_by_key


@pytest.mark.parametrize('repeatable', [True, False])
async def test_request_completed_by_another_owner_is_not_accepted_again(
  repeatable,
):
  """The slot moved away and back while the call waited for its turn.

  In the meantime the other owner completed the caller's retry.
  """
  state = make_state()
  run, _ = make_owner(state)
  run._runner._table, run._runner._places = FakeTable(), FakePlacing()
  records = [make_accepted('elsewhere', repeatable=repeatable)]
  state.apply([*records, make_ok('elsewhere')], answers=9)
  running = execution.make_execution(make_call(repeatable=repeatable))
  with pytest.raises(errors.WoadrunError) as refusal:
    await run._runner._run(running)
  # The gateway retries on this code and gets the stored answer.
  assert refusal.value.code is errors.Code.OWNER_UNAVAILABLE
  assert refusal.value.ran is errors.RunStatus.UNKNOWN
  assert state.get_program(PROGRAM).request_by_id['r'].outcome == program.OK


@pytest.mark.parametrize('theirs', [program.OK, program.NOT_RUN])
async def test_callers_get_the_recorded_outcome(theirs):
  """Guards against callers getting an answer that was not recorded.

  An owner that was frozen returned its own answer after another owner had
  recorded an outcome.
  """
  state = make_state()
  run, owned_slot = make_owner(state)
  run._runner._upstreams = FakeUpstreams()
  accepted = make_accepted('first', repeatable=False)
  record = make_finished('first', theirs, answer='"theirs"')
  state.apply([accepted, record], answers=9)
  running = execution.make_execution(make_call(repeatable=False))
  ending = asyncio.ensure_future(
    run._runner.perform(
      running, accepted, placing.UpstreamAssignment(name='s'), rows.Row(key='t')
    )
  )
  while not owned_slot.tickets:
    await asyncio.sleep(0)
  owned_slot.settle(state.sequence, slots.Durability.STANDBY)
  with pytest.raises(errors.WoadrunError) as refusal:
    await ending
  assert refusal.value.code is errors.Code.OWNER_UNAVAILABLE
  assert not running.json_answer.size


async def test_error_says_not_run_only_if_the_call_has_no_outcome():
  state = make_state()
  run, owned_slot = make_owner(state)
  accepted = make_accepted('first')
  state.apply([accepted, make_ok('first')], answers=9)
  error = slots.make_not_owner_error('The slot is being handed over.')
  taking = asyncio.ensure_future(run._runner._record_not_run(accepted, error))
  while not owned_slot.tickets:
    await asyncio.sleep(0)
  owned_slot.settle(state.sequence, slots.Durability.STANDBY)
  await taking
  assert error.ran is errors.RunStatus.UNKNOWN


class FakePermits:
  """Counts the permits that are released; none is ever refused."""

  def __init__(self):
    self.released = []

  def make_resumed_assignment(self, name, *, is_resumed):
    return placing.UpstreamAssignment(name=name, is_resumed=is_resumed)

  def release_slot(self, place):
    if place.acquire is not None:
      self.released.append(place.acquire)
      place.acquire = None


async def test_recovered_call_that_fails_over_releases_its_permit():
  """Guards against a permit that stays taken until the process ends."""
  state = make_state()
  run, _ = make_owner(state)
  accepted = make_accepted('first')
  state.apply([accepted], answers=9)
  run._table, run._places = FakeTable(), FakePermits()

  async def fail_over(running, accepted, place, row):
    place.acquire = 'permit'
    raise errors.WoadrunError(errors.Code.UPSTREAM_FAILED, 'No engine is left.')

  run._runner.perform = fail_over
  running = execution.make_execution(make_call())
  with pytest.raises(errors.WoadrunError):
    await run._resume(running, accepted)
  assert run._places.released == ['permit']


@pytest.mark.parametrize(
  ('outcome', 'ran'),
  [
    (program.NOT_RUN, errors.RunStatus.UNKNOWN),
    (program.UNKNOWN, errors.RunStatus.UNKNOWN),
    (program.FAILED, errors.RunStatus.RAN),
    (program.OK, errors.RunStatus.RAN),
  ],
)
async def test_uncommitted_outcome_is_reported_as_ran_only_if_the_call_ran(
  outcome, ran
):
  """Guards against a caller that never retries a call which was not sent."""
  run, _ = make_owner(make_state())
  run._runner._config = run._runner._config.model_copy(
    update={
      'timing': run._runner._config.timing.model_copy(update={'hold': 0.0})
    }
  )

  async def refuse(slot, finished):
    raise slots.make_not_owner_error('The slot has no owner.')

  run._runner._record_once = refuse
  with pytest.raises(errors.WoadrunError) as failure:
    await run._runner.record_outcome(make_finished('first', outcome))
  assert failure.value.ran is ran


# --- Records in any order ----------------------------------------------------


class AttemptMachine(stateful.RuleBasedStateMachine):
  """Records of accepted attempts and of late and repeated outcomes."""

  has_attempt_ids = True

  def __init__(self):
    super().__init__()
    self.state = make_state()
    self.count = 0
    self.outcomes = []
    self.answered = []

  def apply(self, record):
    self.state.apply([record], answers=9)

  @stateful.precondition(lambda self: 'r' not in self.get_requests())
  @stateful.rule()
  def accept_attempt(self):
    self.count += 1
    self.apply(make_accepted(f'a{self.count}', ordinal=1))

  def get_requests(self):
    return self.state.get_program(PROGRAM).request_by_id

  @stateful.precondition(
    lambda self: any(r.is_running for r in self.get_requests().values())
  )
  @stateful.rule(is_ok=strategies.booleans())
  def finish_attempt(self, is_ok):
    attempt = self.get_requests()['r'].accepted.attempt
    recorded_attempt = attempt if self.has_attempt_ids else ''
    record = (
      make_ok(recorded_attempt)
      if is_ok
      else make_finished(recorded_attempt, program.NOT_RUN)
    )
    self.outcomes.append(record)
    self.apply(record)
    if is_ok:
      self.answered.append(attempt)

  @stateful.precondition(lambda self: self.outcomes)
  @stateful.rule(data=strategies.data())
  def repeat_outcome(self, data):
    index = data.draw(strategies.integers(0, len(self.outcomes) - 1))
    self.apply(self.outcomes[index])

  @stateful.invariant()
  def running_attempt_has_no_outcome(self):
    request = self.get_requests().get('r')
    is_ended = any(o.attempt == f'a{self.count}' for o in self.outcomes)
    if self.count and self.has_attempt_ids and not is_ended:
      assert request is not None and request.is_running

  @stateful.invariant()
  def answers_are_in_history_and_charged(self):
    found = self.state.get_program(PROGRAM)
    assert len(found.history) == len(self.answered)
    assert found.spent == USED * len(self.answered)


class LegacyRecordMachine(AttemptMachine):
  """Outcomes without an attempt, as in records of earlier versions."""

  has_attempt_ids = False


def test_repeated_outcomes_have_no_effect():
  stateful.run_state_machine_as_test(
    AttemptMachine,
    settings=hypothesis.settings(max_examples=100, stateful_step_count=20),
  )


@pytest.mark.parametrize(
  ('machine', 'has_lost'),
  [(AttemptMachine, False), (LegacyRecordMachine, True)],
)
def test_outcome_must_name_its_attempt(machine, has_lost):
  driven = machine()
  driven.accept_attempt()
  driven.finish_attempt(is_ok=False)
  driven.accept_attempt()
  driven.apply(driven.outcomes[0])
  is_lost = 'r' not in driven.get_requests()
  assert is_lost == has_lost
