"""The pair protocol with outages of the table, against its naive forms.

Adds to the pair machine: the table goes out and comes back, and while it
is out one daemon at a time may be silent (frozen, as a dead one is that
never wakes).  The others then serve slots as claims, find helpers, and
yield to newer claims.  Calls that may be repeated go on alone; actions
need the other one of the pair.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import test_pair_machine as pairs

from woadrun.process import slots
from woadrun.version import program
from woadrun.version import roster


def is_after(claim, version):
  return claim.epoch == version.epoch and claim.claim > version.claim


class ClaimMachine(pairs.PairMachine):
  """What was told stays known, and no action runs twice."""

  raises_claim = True

  def __init__(self):
    super().__init__()
    self.is_out = False
    self.frozen = ''
    self.claimed = set()

  def change(self, epoch, owner, standby):
    return not self.is_out and super().change(epoch, owner, standby)

  def is_awake(self, name):
    return name != self.frozen

  def raise_claim(self, version, name):
    if not self.raises_claim:
      return version
    return slots.raise_claim(version, name)

  # --- The table and the daemons ---

  @stateful.precondition(lambda self: not self.is_out)
  @stateful.rule()
  def the_table_goes_out(self):
    self.is_out = True

  @stateful.precondition(lambda self: self.is_out and not self.frozen)
  @stateful.rule(name=strategies.sampled_from(pairs.DAEMONS))
  def a_daemon_falls_silent(self, name):
    # Heartbeats had time to spread what each one serves.
    self.spread_claims()
    self.frozen = name

  @stateful.precondition(lambda self: self.frozen)
  @stateful.rule()
  def the_silent_daemon_wakes(self):
    self.frozen = ''

  @stateful.precondition(lambda self: self.is_out and not self.frozen)
  @stateful.rule()
  def the_table_is_back(self):
    self.spread_claims()
    self.is_out = False
    for name in sorted(self.claimed):
      owner = self.owners.get(name)
      if owner is None or not self.change(owner.version.epoch, name, ''):
        continue
      owner.version = roster.Version(self.get_entry().epoch)
      owner.standby = ''
    self.claimed.clear()
    self.ask_others()

  # --- Serving without the table ---

  @stateful.precondition(lambda self: self.is_out and self.frozen)
  @stateful.rule(data=strategies.data())
  def a_standby_claims(self, data):
    self.ask_others()
    ready = [
      name
      for name, replica in self.replicas.items()
      if self.is_awake(name) and replica.owner == self.frozen
    ]
    if not ready:
      return
    name = data.draw(strategies.sampled_from(sorted(ready)))
    replica = self.replicas.pop(name)
    self.owners[name] = pairs.Owner(
      self.raise_claim(replica.version, name), '', replica.state
    )
    self.claimed.add(name)

  @stateful.precondition(lambda self: self.is_out and self.frozen)
  @stateful.rule(data=strategies.data())
  def an_owner_goes_on_alone(self, data):
    self.ask_others()
    ready = [
      name
      for name, owner in self.owners.items()
      if self.is_awake(name) and owner.standby == self.frozen
    ]
    if not ready:
      return
    name = data.draw(strategies.sampled_from(sorted(ready)))
    owner = self.owners[name]
    owner.version = self.raise_claim(owner.version, name)
    owner.standby = ''
    self.claimed.add(name)
    self.tell_alone(name)

  def ask_others(self):
    # Before a daemon acts alone it asks the others, who know the newest row.
    for name in pairs.DAEMONS:
      if self.is_awake(name):
        self.a_daemon_reads_the_roster(name)

  @stateful.precondition(lambda self: self.is_out and self.claimed)
  @stateful.rule(data=strategies.data())
  def a_claim_is_copied(self, data):
    name = data.draw(strategies.sampled_from(sorted(self.claimed)))
    owner = self.owners.get(name)
    if owner is None or owner.standby or not self.is_awake(name):
      return
    entry = self.get_entry()
    others = [
      d for d in pairs.DAEMONS if d != name and self.is_awake(d)
    ]  # fmt: skip
    mates = [d for d in others if d in (entry.owner, entry.standby)]
    helper = data.draw(strategies.sampled_from(sorted(mates or others)))
    replica = self.replicas.get(helper)
    if helper in self.owners or (replica and replica.version > owner.version):
      return
    self.replicas[helper] = pairs.make_replica(name, owner.version, owner.state)
    owner.standby = helper

  @stateful.rule()
  def heartbeats_arrive(self):
    self.spread_claims()

  def spread_claims(self):
    for name in sorted(self.claimed):
      owner = self.owners.get(name)
      if owner is None or not self.is_awake(name):
        continue
      for other in pairs.DAEMONS:
        if other != name and self.is_awake(other):
          self.note_claim(other, owner.version)

  def note_claim(self, name, claim):
    replica = self.replicas.get(name)
    if replica is not None and is_after(claim, replica.version):
      del self.replicas[name]
    holding = self.owners.get(name)
    if holding is not None and is_after(claim, holding.version):
      del self.owners[name]
      self.claimed.discard(name)

  # --- Calls and actions ---

  @stateful.precondition(lambda self: self.owners)
  @stateful.rule(data=strategies.data())
  def a_caller_calls(self, data):
    """A call that may be repeated is told once its outcome is committed."""
    name = data.draw(strategies.sampled_from(sorted(self.owners)))
    if not self.is_awake(name):
      return
    self.count += 1
    call = f'x{self.count}'
    intent = pairs.make_intent(call, repeatable=True)
    self.append(name, intent, pairs.make_finished(call))
    self.tell_alone(name)

  def tell_alone(self, name):
    owner = self.owners.get(name)
    if owner is None or owner.standby or name not in self.claimed:
      return
    requests = owner.state.program_by_id[pairs.PROGRAM].request_by_id
    self.told |= {r for r, q in requests.items() if q.outcome == program.OK}

  def accept(self, name, action):
    if self.is_awake(name):
      super().accept(name, action)

  def is_sure(self, name):
    entry = self.get_entry()
    standby = self.owners[name].standby
    return name not in self.claimed or standby in (entry.owner, entry.standby)

  def get_owner(self):
    epoch = self.get_entry().epoch
    owners = [o for o in self.owners.values() if o.version.epoch == epoch]
    return max(owners, key=lambda o: o.version, default=None)

  # --- The rules of the pair machine, for daemons that are awake ---

  @stateful.rule(name=strategies.sampled_from(pairs.DAEMONS))
  def a_daemon_reads_the_roster(self, name):
    owner = self.owners.get(name)
    epoch = self.get_entry().epoch
    if owner is None or name not in self.claimed:
      super().a_daemon_reads_the_roster(name)
    elif owner.version.epoch != epoch:
      # Only the table's word on the claim itself ends it.
      self.claimed.discard(name)
      super().a_daemon_reads_the_roster(name)

  @stateful.precondition(
    lambda self: any(self.is_awake(m.to) for m in self.flying)
  )
  @stateful.rule(data=strategies.data(), is_doubled=strategies.booleans())
  def a_record_arrives(self, data, is_doubled):
    awake = [n for n, m in enumerate(self.flying) if self.is_awake(m.to)]
    index = data.draw(strategies.sampled_from(awake))
    message = self.flying[index] if is_doubled else self.flying.pop(index)
    replica = self.replicas.get(message.to)
    verdict = slots.Verdict.STALE
    if replica is not None:
      verdict = replica.receive(message.append, answers=pairs.ANSWERS)
    self.acks.append((message, verdict))

  @stateful.precondition(
    lambda self: any(self.is_awake(m.sender) for m, _ in self.acks)
  )
  @stateful.rule(data=strategies.data())
  def a_word_arrives(self, data):
    asleep = [a for a in self.acks if not self.is_awake(a[0].sender)]
    self.acks = [a for a in self.acks if self.is_awake(a[0].sender)]
    super().a_word_arrives(data)
    self.acks += asleep

  @stateful.precondition(
    lambda self: any(self.is_awake(name) for name, _ in self.ready)
  )
  @stateful.rule(data=strategies.data())
  def an_action_is_sent(self, data):
    asleep = [r for r in self.ready if not self.is_awake(r[0])]
    self.ready = [r for r in self.ready if self.is_awake(r[0])]
    super().an_action_is_sent(data)
    self.ready += asleep
    for name in sorted(self.owners):
      self.tell_alone(name)

  @stateful.precondition(lambda self: self.replicas and not self.is_out)
  @stateful.rule(data=strategies.data())
  def a_standby_takes_over(self, data):
    super().a_standby_takes_over(data)

  @stateful.precondition(lambda self: not self.is_out)
  @stateful.rule(data=strategies.data())
  def an_owner_replaces_its_standby(self, data):
    super().an_owner_replaces_its_standby(data)


class ReusingMachine(ClaimMachine):
  """A claim goes on under the version of the time before."""

  raises_claim = False


class KeepingMachine(ClaimMachine):
  """Copies of the time before a claim stay in use."""

  def note_claim(self, name, claim):
    holding = self.owners.get(name)
    if holding is not None and is_after(claim, holding.version):
      del self.owners[name]
      self.claimed.discard(name)


def claim_and_call(machine):
  """The owner falls silent; its standby claims the slot and serves."""
  machine.the_table_goes_out()
  machine.a_daemon_falls_silent(name='a')
  machine.a_standby_claims(pairs.Picks('b'))
  machine.a_caller_calls(pairs.Picks('b'))


def come_back_too_late(machine):
  """A standby wakes that has missed what its owner did alone."""
  machine.the_table_goes_out()
  machine.a_daemon_falls_silent(name='b')
  machine.an_owner_goes_on_alone(pairs.Picks('a'))
  machine.a_caller_calls(pairs.Picks('a'))
  machine.the_silent_daemon_wakes()
  machine.heartbeats_arrive()
  machine.a_daemon_falls_silent(name='a')
  machine.a_standby_claims(pairs.Picks('b'))


CASES = hypothesis.settings(max_examples=150, stateful_step_count=30)


def test_claims_lose_nothing_and_double_nothing():
  stateful.run_state_machine_as_test(ClaimMachine, settings=CASES)


@pytest.mark.parametrize(
  ('script', 'naive'),
  [(claim_and_call, ReusingMachine), (come_back_too_late, KeepingMachine)],
)
def test_forms_without_the_mechanism_break(script, naive):
  whole, broken = ClaimMachine(), naive()
  script(whole)
  assert whole.told == {'x1'}
  whole.what_was_told_is_known_to_the_owner()
  script(broken)
  assert broken.told == {'x1'}
  with pytest.raises(AssertionError):
    broken.what_was_told_is_known_to_the_owner()
