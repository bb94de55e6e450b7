"""Records that come late or twice end the attempt they name, and no other.

A caller's call was answered with 200 and was missing from its program: the
owner had recorded "not run" for the call's first attempt anew while the second
one was running.  Of the owner's records, in order:

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
SHORT_SECONDS = 0.1


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
  """Returns an owner of slot 0 whose standby acknowledges nothing."""
  found, _ = members.make_membership(None, '127.0.0.1:8000')
  timing = found._config.timing.model_copy(update={'commit': SHORT_SECONDS})
  found._config = found._config.model_copy(update={'timing': timing})
  run = members.make_recovery(found, members.Links(refuse))
  holding = slots.Holding(
    number=0, version=roster.Version(1), standby='127.0.0.1:8001', state=state
  )
  holding.opened.set()
  run._held.holding_by_slot[0] = holding
  return run, holding


class Places:
  """Room for every call, at one upstream."""

  def plan(self, call, found, row):
    return placing.Plan(names=['s'])

  @contextlib.asynccontextmanager
  async def permits(self, *_):
    yield placing.Place(name='s')

  async def enter(self, *_):
    pass


class Service:
  """Answers each call in its own words."""

  async def run_service(self, accepted, row, retries):
    return make_ok(accepted.attempt, text='mine')


class Table:
  """One row for all teams."""

  def get_row(self, team, kind):
    return rows.Row(key='t')


def refuse(path, message):
  raise errors.WoadrunError(errors.Code.OWNER_UNAVAILABLE, 'Silent.')


# --- Records -----------------------------------------------------------------


def test_a_late_outcome_of_one_attempt_does_not_end_the_next():
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
def test_an_answer_of_an_earlier_attempt_does_not_replace_the_next(outcome):
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


def test_records_of_earlier_versions_end_whichever_attempt_is_running():
  state = make_state()
  for record in (make_accepted('first'), make_ok('')):
    state.apply([record], answers=9)
  assert state.get_program(PROGRAM).request_by_id['r'].outcome == program.OK


# --- The owner ---------------------------------------------------------------


@pytest.mark.parametrize('repeatable', [True, False])
async def test_an_attempt_under_way_is_not_taken_back_with_the_one_before(
  repeatable,
):
  """An action so taken back was accepted and sent once more."""
  state = make_state()
  run, holding = make_owner(state)
  first = make_accepted('first', repeatable=repeatable)
  state.apply([first], answers=9)
  error = slots.make_not_committed('Nobody has it.', retry_after=0.1)
  before = state.sequence
  await run._runner._take_back(first, error)
  while state.sequence == before:
    await asyncio.sleep(0)
  # The caller's next attempt is committed at the standby, and sent.
  second = make_accepted('second', repeatable=repeatable)
  ticket = run._held.append(holding, [second])
  await asyncio.sleep(2 * SHORT_SECONDS)
  holding.settle(ticket.append.sequence, slots.Held.STANDBY)
  while run._runner._keeping:
    await asyncio.sleep(SHORT_SECONDS / 10)
    holding.settle(state.sequence, slots.Held.STANDBY)
  run._held.append(holding, [make_ok('second')])
  found = state.get_program(PROGRAM)
  call = make_call(repeatable=repeatable)
  assert execution.get_stored(
    found, call, call.get_digest(), is_stream=False
  ), 'the next request with the same id would run again'
  assert found.spent == USED


async def test_a_call_is_cared_for_until_its_last_attempt_is_recorded():
  """A new owner resumed an attempt that its giver was about to take back."""
  state = make_state()
  run, holding = make_owner(state)
  state.apply([make_accepted('first')], answers=9)
  ask = messages.Requests(requests=[(PROGRAM, 'r')])
  first = make_finished('first', program.NOT_RUN)
  one = asyncio.ensure_future(run._runner.finish(first))
  await asyncio.sleep(0)
  sequence = state.sequence
  state.apply([make_accepted('second')], answers=9)
  second = make_finished('second', program.NOT_RUN)
  other = asyncio.ensure_future(run._runner.finish(second))
  await asyncio.sleep(0)
  holding.settle(sequence, slots.Held.STANDBY)
  await one
  assert run.find_running(ask).requests == [(PROGRAM, 'r')]
  holding.settle(state.sequence, slots.Held.STANDBY)
  await other
  assert run.find_running(ask).requests == []


async def test_an_attempt_that_was_followed_by_another_is_not_resumed():
  """It ran again beside the newer one, whose caller got its answer."""
  state = make_state()
  run, _ = make_owner(state)
  first = make_accepted('first')
  state.apply([first], answers=9)
  key = (PROGRAM, 'r')
  run._elsewhere[key] = None
  recovering = asyncio.ensure_future(run._recover(key, first))
  await asyncio.sleep(0)
  # The giver takes the first attempt back; the caller's next one begins here.
  records = [
    make_finished('first', program.NOT_RUN),
    make_accepted('second'),
  ]
  state.apply(records, answers=9)
  newer = execution.make_execution(make_call())
  run._runner.execution_by_key[key] = newer
  del run._elsewhere[key]
  await recovering
  is_kept = run._runner.execution_by_key[key] is newer
  assert is_kept


async def test_an_attempt_of_the_giver_is_waited_for_after_one_before_it():
  """An action that its giver still executed was recorded as unknown."""
  state = make_state()
  run, holding = make_owner(state)
  records = [
    make_accepted('first', repeatable=False),
    make_finished('first', program.NOT_RUN),
    make_accepted('second', repeatable=False),
  ]
  state.apply(records, answers=9)
  key = (PROGRAM, 'r')
  run._elsewhere[key] = None

  async def note(record):
    message = messages.Finish(slot=0, record=record)
    noted = asyncio.ensure_future(run.note_finished(message))
    await asyncio.sleep(0)
    holding.settle(state.sequence, slots.Held.STANDBY)
    await noted

  await note(make_finished('first', program.NOT_RUN))
  assert key in run._elsewhere
  await note(make_ok('second'))
  assert key not in run._elsewhere


@pytest.mark.parametrize('repeatable', [True, False])
async def test_a_request_that_another_owner_took_is_not_accepted_again(
  repeatable,
):
  """Its slot was given away and came back while it waited for its turn."""
  state = make_state()
  run, _ = make_owner(state)
  run._runner._table, run._runner._places = Table(), Places()
  records = [make_accepted('elsewhere', repeatable=repeatable)]
  state.apply([*records, make_ok('elsewhere')], answers=9)
  running = execution.make_execution(make_call(repeatable=repeatable))
  with pytest.raises(errors.WoadrunError) as refusal:
    await run._runner._run(running)
  # The gateway asks again by this code, and gets the answer that is kept.
  assert refusal.value.code is errors.Code.OWNER_UNAVAILABLE
  assert refusal.value.ran is errors.Ran.UNKNOWN
  assert state.get_program(PROGRAM).request_by_id['r'].outcome == program.OK


@pytest.mark.parametrize('theirs', [program.OK, program.NOT_RUN])
async def test_callers_are_told_the_outcome_that_the_program_has(theirs):
  """An owner that was frozen told its own answer after another one's."""
  state = make_state()
  run, holding = make_owner(state)
  run._runner._back = Service()
  accepted = make_accepted('first', repeatable=False)
  record = make_finished('first', theirs, answer='"theirs"')
  state.apply([accepted, record], answers=9)
  running = execution.make_execution(make_call(repeatable=False))
  ending = asyncio.ensure_future(
    run._runner.perform(
      running, accepted, placing.Place(name='s'), rows.Row(key='t')
    )
  )
  while not holding.tickets:
    await asyncio.sleep(0)
  holding.settle(state.sequence, slots.Held.STANDBY)
  with pytest.raises(errors.WoadrunError) as refusal:
    await ending
  assert refusal.value.code is errors.Code.OWNER_UNAVAILABLE
  assert not running.whole.size


async def test_a_refusal_says_not_run_only_where_the_call_has_no_outcome():
  state = make_state()
  run, holding = make_owner(state)
  accepted = make_accepted('first')
  state.apply([accepted, make_ok('first')], answers=9)
  error = slots.make_not_owner('The slot changes hands.')
  taking = asyncio.ensure_future(run._runner._take_back(accepted, error))
  while not holding.tickets:
    await asyncio.sleep(0)
  holding.settle(state.sequence, slots.Held.STANDBY)
  await taking
  assert error.ran is errors.Ran.UNKNOWN


# --- Records in any order ----------------------------------------------------


class AttemptMachine(stateful.RuleBasedStateMachine):
  """An owner accepts, records outcomes late and again, and callers retry."""

  names_attempts = True

  def __init__(self):
    super().__init__()
    self.state = make_state()
    self.count = 0
    self.outcomes = []
    self.told = []

  def apply(self, record):
    self.state.apply([record], answers=9)

  @stateful.precondition(lambda self: 'r' not in self.get_requests())
  @stateful.rule()
  def a_caller_tries(self):
    self.count += 1
    self.apply(make_accepted(f'a{self.count}', ordinal=1))

  def get_requests(self):
    return self.state.get_program(PROGRAM).request_by_id

  @stateful.precondition(
    lambda self: any(r.is_running for r in self.get_requests().values())
  )
  @stateful.rule(is_ok=strategies.booleans())
  def an_attempt_ends(self, is_ok):
    attempt = self.get_requests()['r'].accepted.attempt
    name = attempt if self.names_attempts else ''
    record = make_ok(name) if is_ok else make_finished(name, program.NOT_RUN)
    self.outcomes.append(record)
    self.apply(record)
    if is_ok:
      self.told.append(attempt)

  @stateful.precondition(lambda self: self.outcomes)
  @stateful.rule(data=strategies.data())
  def an_outcome_is_recorded_again(self, data):
    index = data.draw(strategies.integers(0, len(self.outcomes) - 1))
    self.apply(self.outcomes[index])

  @stateful.invariant()
  def a_running_attempt_ends_only_by_its_own_outcome(self):
    request = self.get_requests().get('r')
    is_ended = any(o.attempt == f'a{self.count}' for o in self.outcomes)
    if self.count and self.names_attempts and not is_ended:
      assert request is not None and request.is_running

  @stateful.invariant()
  def what_was_told_is_in_the_history_and_spent(self):
    found = self.state.get_program(PROGRAM)
    assert len(found.history) == len(self.told)
    assert found.spent == USED * len(self.told)


class NamelessMachine(AttemptMachine):
  """Outcomes name the request only, as in records of earlier versions."""

  names_attempts = False


def test_outcomes_that_are_recorded_again_change_nothing():
  stateful.run_state_machine_as_test(
    AttemptMachine,
    settings=hypothesis.settings(max_examples=100, stateful_step_count=20),
  )


@pytest.mark.parametrize(
  ('machine', 'has_lost'), [(AttemptMachine, False), (NamelessMachine, True)]
)
def test_an_outcome_must_name_its_attempt(machine, has_lost):
  played = machine()
  played.a_caller_tries()
  played.an_attempt_ends(is_ok=False)
  played.a_caller_tries()
  played.apply(played.outcomes[0])
  is_lost = 'r' not in played.get_requests()
  assert is_lost == has_lost
