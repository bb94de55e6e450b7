"""The pair protocol under any order of events, against its naive form.

A model of three daemons and one slot, built on the real data of slots,
rosters and records: messages are lost, late or doubled, daemons freeze
and wake at any moment, any standby may take over at any time.
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
  """Each action runs at most once; what was told stays known."""

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
    self.flying = []
    self.acks = []
    self.ready = []
    # Each action is awaited once: a doubled word on it wakes nobody.
    self.awaited = set()
    self.runs = {}
    self.told = set()
    self.count = 0

  def get_entry(self):
    return self.table.slots[0]

  def get_owner(self):
    """Returns the owner that counts, if it knows that it is one."""
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
    self.flying.append(InFlight(name, owner.standby, append))
    return append

  # --- What callers do ---

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
  def a_caller_tries_again(self, data):
    name = data.draw(strategies.sampled_from(sorted(self.owners)))
    number = data.draw(strategies.integers(1, self.count))
    self.accept(name, f'x{number}')

  def wake(self, name, action):
    if (name, action) in self.awaited:
      self.awaited.discard((name, action))
      self.ready.append((name, action))

  def is_sure(self, name):
    """Returns whether a standby's word is enough to send an action."""
    return True

  # --- The network ---

  @stateful.precondition(lambda self: self.flying)
  @stateful.rule(data=strategies.data(), is_doubled=strategies.booleans())
  def a_record_arrives(self, data, is_doubled):
    index = data.draw(strategies.integers(0, len(self.flying) - 1))
    message = self.flying[index] if is_doubled else self.flying.pop(index)
    replica = self.replicas.get(message.to)
    verdict = slots.Verdict.STALE
    if replica is not None:
      verdict = replica.receive(message.append, answers=ANSWERS)
    self.acks.append((message, verdict))

  @stateful.precondition(lambda self: self.flying)
  @stateful.rule(data=strategies.data())
  def a_record_is_lost(self, data):
    self.flying.pop(data.draw(strategies.integers(0, len(self.flying) - 1)))

  @stateful.precondition(lambda self: self.acks)
  @stateful.rule(data=strategies.data())
  def a_word_arrives(self, data):
    index = data.draw(strategies.integers(0, len(self.acks) - 1))
    message, verdict = self.acks.pop(index)
    owner = self.owners.get(message.sender)
    if owner is None or owner.version != message.append.version:
      return
    if verdict is not slots.Verdict.OK:
      return
    for record in message.append.records:
      is_action = isinstance(record, program.Accepted) and not record.repeatable
      if is_action and self.waits_for_ack and self.is_sure(message.sender):
        self.wake(message.sender, record.request)
      if isinstance(record, program.Finished):
        self.told.add(record.request)

  # --- What daemons do; any of it may come late, after a freeze ---

  @stateful.precondition(lambda self: self.ready)
  @stateful.rule(data=strategies.data())
  def an_action_is_sent(self, data):
    index = data.draw(strategies.integers(0, len(self.ready) - 1))
    name, action = self.ready.pop(index)
    # A doubled acknowledgement does not send twice: one waiter each.
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
    third = next(d for d in DAEMONS if d not in (name, replica.owner))
    if not self.change(replica.version.epoch, name, third):
      return
    state = replica.state
    if self.fences:
      del self.replicas[name]
    else:
      state = copy(state)
    version = roster.Version(self.get_entry().epoch)
    self.owners[name] = Owner(version, third, state)
    self.replicas[third] = make_replica(name, version, state)

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

  # --- What must always hold ---

  @stateful.invariant()
  def each_action_ran_at_most_once(self):
    assert all(count <= 1 for count in self.runs.values()), self.runs

  @stateful.invariant()
  def what_was_told_is_known_to_the_owner(self):
    owner = self.get_owner()
    if owner is None:
      return
    requests = owner.state.program_by_id[PROGRAM].request_by_id
    for action in self.told:
      assert action in requests
      assert requests[action].outcome == program.OK


class NaiveMachine(PairMachine):
  """Sends an action at once, and writes its record behind."""

  waits_for_ack = False


class UnfencedMachine(PairMachine):
  """A standby that takes over goes on acknowledging the old epoch."""

  fences = False


class Picks:
  """Draws what a script names, in order."""

  def __init__(self, *picks):
    self.picks = list(picks)

  def draw(self, strategy):
    pick = self.picks.pop(0)
    elements = getattr(strategy, 'elements', None)
    assert elements is None or pick in elements
    return pick


def deliver(machine, sender):
  """Brings the last record of an owner to its standby, and the word back."""
  index = max(n for n, m in enumerate(machine.flying) if m.sender == sender)
  machine.a_record_arrives(Picks(index), is_doubled=False)
  machine.a_word_arrives(Picks(len(machine.acks) - 1))
  while machine.ready:
    machine.an_action_is_sent(Picks(0))


def send_at_once(machine):
  """A standby takes over before it has an action's record."""
  machine.a_caller_acts(Picks('a'))
  while machine.ready:
    machine.an_action_is_sent(Picks(0))
  machine.a_record_is_lost(Picks(0))
  machine.a_standby_takes_over(Picks('b'))
  machine.a_caller_tries_again(Picks('b', 1))
  deliver(machine, 'b')


def acknowledge_late(machine):
  """A record comes to a standby that has taken over."""
  machine.a_caller_acts(Picks('a'))
  machine.a_standby_takes_over(Picks('b'))
  deliver(machine, 'a')
  machine.a_caller_tries_again(Picks('b', 1))
  deliver(machine, 'b')


CASES = hypothesis.settings(max_examples=200, stateful_step_count=30)


def test_the_pair_protocol_holds():
  stateful.run_state_machine_as_test(PairMachine, settings=CASES)


@pytest.mark.parametrize(
  ('script', 'naive'),
  [(send_at_once, NaiveMachine), (acknowledge_late, UnfencedMachine)],
)
def test_forms_without_the_mechanism_break(script, naive):
  whole, broken = PairMachine(), naive()
  script(whole)
  assert whole.runs == {'x1': 1}
  whole.what_was_told_is_known_to_the_owner()
  script(broken)
  with pytest.raises(AssertionError):
    broken.each_action_ran_at_most_once()
