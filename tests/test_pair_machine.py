"""Stateful tests of the pair protocol, and of variants without its mechanisms.

The model has three daemons and one slot, and uses the real classes of slots,
rosters and records.  Messages are lost, delayed or duplicated, daemons freeze
and resume at any moment, and any standby may take over at any time.
"""

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec
import pytest

from woadrun.connection import messages
from woadrun.process import slots
from woadrun.version import program
from woadrun.version import roster

DAEMONS = ('a', 'b', 'c')
ANSWERS = 100
PROGRAM = 'north.000.p'


@dataclasses.dataclass
class Owner:
  version: roster.Version
  standby: str
  state: program.SlotState


@dataclasses.dataclass
class InFlight:
  sender: str
  to: str
  append: messages.Append


def make_intent(action, *, repeatable=False):
  return program.Accepted(
    program=PROGRAM,
    request=action,
    ordinal=1,
    call=program.SERVICE,
    target='service/act',
    digest='',
    reserve=0,
    repeatable=repeatable,
    time=0.0,
  )


def make_finished(action):
  return program.Finished(
    program=PROGRAM, request=action, outcome=program.OK, time=0.0, answer='{}'
  )


def copy(state):
  data = msgspec.json.encode(state)
  return msgspec.json.decode(data, type=program.SlotState)


def make_replica(owner, version, state):
  return slots.Replica(owner=owner, version=version, state=copy(state))


class PairMachine(stateful.RuleBasedStateMachine):
  """Runs each action at most once and keeps each acknowledged outcome."""

  waits_for_ack = True
  fences = True

  def __init__(self):
    super().__init__()
    state = program.SlotState()
    started = program.Started(
      program=PROGRAM, team='t', kind='k', budget=9, deadline_at=9.0, time=0.0
    )
    state.apply([started], answers=ANSWERS)
    self.table = roster.Roster(
      domain='north',
      version=1,
      incarnations=dict.fromkeys(DAEMONS, 'i'),
      slots=(roster.Slot(owner='a', standby='b', epoch=1),),
    )
    self.owners = {'a': Owner(roster.Version(1), 'b', state)}
    self.replicas = {'b': make_replica('a', roster.Version(1), state)}
    self.in_flight = []
    self.acks = []
    self.ready = []
    # Each action is awaited once, so a duplicated acknowledgement of it has no
    # effect.
    self.awaited = set()
    self.runs = {}
    self.acknowledged = set()
    self.count = 0

  def get_entry(self):
    return self.table.slots[0]

  def get_owner(self):
    """Returns the owner in the roster, or None if it is not aware of that."""
    return self.owners.get(self.get_entry().owner)

  def change(self, epoch, owner, standby):
    new = roster.with_pair(
      self.table, 0, epoch=epoch, owner=owner, standby=standby
    )
    if new is None:
      return False
    version = self.table.version + 1
    self.table = roster.Roster(
      domain='north',
      version=version,
      incarnations=new.incarnations,
      slots=new.slots,
    )
    return True

  def append(self, name, *records):
    owner = self.owners[name]
    owner.state.apply(records, answers=ANSWERS)
    append = messages.Append(
      slot=0,
      epoch=owner.version.epoch,
      claim=owner.version.claim,
      claimer=owner.version.claimer,
      sequence=owner.state.sequence,
      records=list(records),
    )
    self.in_flight.append(InFlight(name, owner.standby, append))
    return append

  # --- Callers ---

  def accept(self, name, action):
    requests = self.owners[name].state.program_by_id[PROGRAM].request_by_id
    if action in requests:
      return
    self.append(name, make_intent(action))
    self.awaited.add((name, action))
    if not self.waits_for_ack:
      self.ready.append((name, action))

  @stateful.precondition(lambda self: self.owners)
  @stateful.rule(data=strategies.data())
  def a_caller_acts(self, data):
    name = data.draw(strategies.sampled_from(sorted(self.owners)))
    self.count += 1
    self.accept(name, f'x{self.count}')

  @stateful.precondition(lambda self: self.owners and self.count)
  @stateful.rule(data=strategies.data())
  def a_caller_retries(self, data):
    name = data.draw(strategies.sampled_from(sorted(self.owners)))
    number = data.draw(strategies.integers(1, self.count))
    self.accept(name, f'x{number}')

  def mark_ready(self, name, action):
    if (name, action) in self.awaited:
      self.awaited.discard((name, action))
      self.ready.append((name, action))

  def is_ack_sufficient(self, name):
    """Returns whether an acknowledgement is sufficient to send an action."""
    return True

  # --- The network ---

  @stateful.precondition(lambda self: self.in_flight)
  @stateful.rule(data=strategies.data(), is_duplicated=strategies.booleans())
  def a_record_arrives(self, data, is_duplicated):
    index = data.draw(strategies.integers(0, len(self.in_flight) - 1))
    message = (
      self.in_flight[index] if is_duplicated else self.in_flight.pop(index)
    )
    replica = self.replicas.get(message.to)
    verdict = slots.AckStatus.STALE
    if replica is not None:
      verdict = replica.receive(message.append, answers=ANSWERS)
    self.acks.append((message, verdict))

  @stateful.precondition(lambda self: self.in_flight)
  @stateful.rule(data=strategies.data())
  def a_record_is_lost(self, data):
    self.in_flight.pop(
      data.draw(strategies.integers(0, len(self.in_flight) - 1))
    )

  @stateful.precondition(lambda self: self.acks)
  @stateful.rule(data=strategies.data())
  def an_ack_arrives(self, data):
    index = data.draw(strategies.integers(0, len(self.acks) - 1))
    message, verdict = self.acks.pop(index)
    owner = self.owners.get(message.sender)
    if owner is None or owner.version != message.append.version:
      return
    if verdict is not slots.AckStatus.OK:
      return
    for record in message.append.records:
      is_action = isinstance(record, program.Accepted) and not record.repeatable
      if (
        is_action
        and self.waits_for_ack
        and self.is_ack_sufficient(message.sender)
      ):
        self.mark_ready(message.sender, record.request)
      if isinstance(record, program.Finished):
        self.acknowledged.add(record.request)

  # --- Daemons; each step may be delayed by a freeze ---

  @stateful.precondition(lambda self: self.ready)
  @stateful.rule(data=strategies.data())
  def an_action_is_sent(self, data):
    index = data.draw(strategies.integers(0, len(self.ready) - 1))
    name, action = self.ready.pop(index)
    # A duplicated acknowledgement does not send the action twice, since one
    # caller waits for each action.
    self.ready = [r for r in self.ready if r != (name, action)]
    self.runs[action] = self.runs.get(action, 0) + 1
    if name in self.owners:
      self.append(name, make_finished(action))

  @stateful.precondition(lambda self: self.replicas)
  @stateful.rule(data=strategies.data())
  def a_standby_takes_over(self, data):
    name = data.draw(strategies.sampled_from(sorted(self.replicas)))
    replica = self.replicas[name]
    replica.is_fenced = self.fences
    new_standby = next(d for d in DAEMONS if d not in (name, replica.owner))
    if not self.change(replica.version.epoch, name, new_standby):
      return
    state = replica.state
    if self.fences:
      del self.replicas[name]
    else:
      state = copy(state)
    version = roster.Version(self.get_entry().epoch)
    self.owners[name] = Owner(version, new_standby, state)
    self.replicas[new_standby] = make_replica(name, version, state)

  @stateful.rule(data=strategies.data())
  def an_owner_replaces_its_standby(self, data):
    name = self.get_entry().owner
    owner = self.owners.get(name)
    if owner is None or owner.version.epoch != self.get_entry().epoch:
      return
    others = [d for d in DAEMONS if d not in (name, owner.standby)]
    standby = data.draw(strategies.sampled_from(others))
    assert self.change(owner.version.epoch, name, standby)
    self.replicas.pop(owner.standby, None)
    owner.version = roster.Version(self.get_entry().epoch)
    owner.standby = standby
    self.replicas[standby] = make_replica(name, owner.version, owner.state)
    assert self.replicas[standby].state == owner.state

  @stateful.rule(name=strategies.sampled_from(DAEMONS))
  def a_daemon_reads_the_roster(self, name):
    owner = self.owners.get(name)
    if owner is not None and self.get_entry().owner != name:
      del self.owners[name]
    replica = self.replicas.get(name)
    if replica is not None and self.get_entry().epoch != replica.version.epoch:
      del self.replicas[name]

  # --- Invariants ---

  @stateful.invariant()
  def each_action_ran_at_most_once(self):
    assert all(count <= 1 for count in self.runs.values()), self.runs

  @stateful.invariant()
  def the_owner_knows_each_acknowledged_outcome(self):
    owner = self.get_owner()
    if owner is None:
      return
    requests = owner.state.program_by_id[PROGRAM].request_by_id
    for action in self.acknowledged:
      assert action in requests
      assert requests[action].outcome == program.OK


class NaiveMachine(PairMachine):
  """Sends an action before its record is replicated."""

  waits_for_ack = False


class UnfencedMachine(PairMachine):
  """Lets a standby that takes over still acknowledge the old epoch."""

  fences = False


class ScriptedData:
  """Replaces `strategies.data()`: draws given values in order."""

  def __init__(self, *choices):
    self.choices = list(choices)

  def draw(self, strategy):
    pick = self.choices.pop(0)
    elements = getattr(strategy, 'elements', None)
    assert elements is None or pick in elements
    return pick


def deliver(machine, sender):
  """Delivers the last record of an owner to its standby, and its response."""
  index = max(n for n, m in enumerate(machine.in_flight) if m.sender == sender)
  machine.a_record_arrives(ScriptedData(index), is_duplicated=False)
  machine.an_ack_arrives(ScriptedData(len(machine.acks) - 1))
  while machine.ready:
    machine.an_action_is_sent(ScriptedData(0))


def send_before_ack(machine):
  """Lets a standby take over before it receives the record of an action."""
  machine.a_caller_acts(ScriptedData('a'))
  while machine.ready:
    machine.an_action_is_sent(ScriptedData(0))
  machine.a_record_is_lost(ScriptedData(0))
  machine.a_standby_takes_over(ScriptedData('b'))
  machine.a_caller_retries(ScriptedData('b', 1))
  deliver(machine, 'b')


def acknowledge_after_takeover(machine):
  """Delivers a record to a standby that has already taken over."""
  machine.a_caller_acts(ScriptedData('a'))
  machine.a_standby_takes_over(ScriptedData('b'))
  deliver(machine, 'a')
  machine.a_caller_retries(ScriptedData('b', 1))
  deliver(machine, 'b')


CASES = hypothesis.settings(max_examples=200, stateful_step_count=30)


def test_pair_protocol_keeps_its_invariants():
  stateful.run_state_machine_as_test(PairMachine, settings=CASES)


@pytest.mark.parametrize(
  ('script', 'variant'),
  [
    (send_before_ack, NaiveMachine),
    (acknowledge_after_takeover, UnfencedMachine),
  ],
)
def test_variants_without_the_mechanism_fail(script, variant):
  correct, broken = PairMachine(), variant()
  script(correct)
  assert correct.runs == {'x1': 1}
  correct.the_owner_knows_each_acknowledged_outcome()
  script(broken)
  with pytest.raises(AssertionError):
    broken.each_action_ran_at_most_once()
