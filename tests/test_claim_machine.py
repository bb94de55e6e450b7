"""Stateful tests of the pair protocol during outages of the table.

Extends the pair machine: the table becomes unavailable and recovers, and during
an outage one daemon at a time may be frozen.  A dead daemon is one that never
resumes.  The others then claim slots, copy them to temporary standbys and
yield to newer claims.  Repeatable calls continue without a standby; actions
require the other daemon of the pair in the roster.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest
import test_pair_machine as pairs

from woadrun.process import slots
from woadrun.version import program
from woadrun.version import roster


def supersedes(claim, version):
  return claim.epoch == version.epoch and claim.claim > version.claim


class ClaimMachine(pairs.PairMachine):
  """Keeps each acknowledged outcome and runs no action twice."""

  increments_claim = True

  def __init__(self):
    super().__init__()
    self.is_table_down = False
    self.frozen = ''
    self.claimed = set()

  def change(self, epoch, owner, standby):
    return not self.is_table_down and super().change(epoch, owner, standby)

  def is_running(self, name):
    return name != self.frozen

  def increment_claim(self, version, name):
    if not self.increments_claim:
      return version
    return slots.increment_claim(version, name)

  # --- The table and the daemons ---

  @stateful.precondition(lambda self: not self.is_table_down)
  @stateful.rule()
  def the_table_becomes_unavailable(self):
    self.is_table_down = True

  @stateful.precondition(lambda self: self.is_table_down and not self.frozen)
  @stateful.rule(name=strategies.sampled_from(pairs.DAEMONS))
  def a_daemon_freezes(self, name):
    # Heartbeats had the time to broadcast all claims.
    self.spread_claims()
    self.frozen = name

  @stateful.precondition(lambda self: self.frozen)
  @stateful.rule()
  def the_frozen_daemon_resumes(self):
    self.frozen = ''

  @stateful.precondition(lambda self: self.is_table_down and not self.frozen)
  @stateful.rule()
  def the_table_recovers(self):
    self.spread_claims()
    self.is_table_down = False
    for name in sorted(self.claimed):
      owner = self.owners.get(name)
      if owner is None or not self.change(owner.version.epoch, name, ''):
        continue
      owner.version = roster.Version(self.get_entry().epoch)
      owner.standby = ''
    self.claimed.clear()
    self.read_rosters()

  # --- Claims ---

  @stateful.precondition(lambda self: self.is_table_down and self.frozen)
  @stateful.rule(data=strategies.data())
  def a_standby_claims(self, data):
    self.read_rosters()
    ready = [
      name
      for name, replica in self.replicas.items()
      if self.is_running(name) and replica.owner == self.frozen
    ]
    if not ready:
      return
    name = data.draw(strategies.sampled_from(sorted(ready)))
    replica = self.replicas.pop(name)
    self.owners[name] = pairs.Owner(
      self.increment_claim(replica.version, name), '', replica.state
    )
    self.claimed.add(name)

  @stateful.precondition(lambda self: self.is_table_down and self.frozen)
  @stateful.rule(data=strategies.data())
  def an_owner_claims_without_its_standby(self, data):
    self.read_rosters()
    ready = [
      name
      for name, owner in self.owners.items()
      if self.is_running(name) and owner.standby == self.frozen
    ]
    if not ready:
      return
    name = data.draw(strategies.sampled_from(sorted(ready)))
    owner = self.owners[name]
    owner.version = self.increment_claim(owner.version, name)
    owner.standby = ''
    self.claimed.add(name)
    self.acknowledge_without_standby(name)

  def read_rosters(self):
    # A daemon queries the others, which know the latest row, before it claims.
    for name in pairs.DAEMONS:
      if self.is_running(name):
        self.a_daemon_reads_the_roster(name)

  @stateful.precondition(lambda self: self.is_table_down and self.claimed)
  @stateful.rule(data=strategies.data())
  def a_claim_is_copied(self, data):
    name = data.draw(strategies.sampled_from(sorted(self.claimed)))
    owner = self.owners.get(name)
    if owner is None or owner.standby or not self.is_running(name):
      return
    entry = self.get_entry()
    others = [
      d for d in pairs.DAEMONS if d != name and self.is_running(d)
    ]  # fmt: skip
    pair_members = [d for d in others if d in (entry.owner, entry.standby)]
    standby = data.draw(strategies.sampled_from(sorted(pair_members or others)))
    replica = self.replicas.get(standby)
    if standby in self.owners or (replica and replica.version > owner.version):
      return
    self.replicas[standby] = pairs.make_replica(
      name, owner.version, owner.state
    )
    owner.standby = standby

  @stateful.rule()
  def heartbeats_arrive(self):
    self.spread_claims()

  def spread_claims(self):
    for name in sorted(self.claimed):
      owner = self.owners.get(name)
      if owner is None or not self.is_running(name):
        continue
      for other in pairs.DAEMONS:
        if other != name and self.is_running(other):
          self.record_claim(other, owner.version)

  def record_claim(self, name, claim):
    replica = self.replicas.get(name)
    if replica is not None and supersedes(claim, replica.version):
      del self.replicas[name]
    holding = self.owners.get(name)
    if holding is not None and supersedes(claim, holding.version):
      del self.owners[name]
      self.claimed.discard(name)

  # --- Calls and actions ---

  @stateful.precondition(lambda self: self.owners)
  @stateful.rule(data=strategies.data())
  def a_caller_calls(self, data):
    """Acknowledges a repeatable call once its outcome is committed."""
    name = data.draw(strategies.sampled_from(sorted(self.owners)))
    if not self.is_running(name):
      return
    self.count += 1
    call = f'x{self.count}'
    intent = pairs.make_intent(call, repeatable=True)
    self.append(name, intent, pairs.make_finished(call))
    self.acknowledge_without_standby(name)

  def acknowledge_without_standby(self, name):
    owner = self.owners.get(name)
    if owner is None or owner.standby or name not in self.claimed:
      return
    requests = owner.state.program_by_id[pairs.PROGRAM].request_by_id
    self.acknowledged |= {
      r for r, q in requests.items() if q.outcome == program.OK
    }

  def accept(self, name, action):
    if self.is_running(name):
      super().accept(name, action)

  def is_ack_sufficient(self, name):
    entry = self.get_entry()
    standby = self.owners[name].standby
    return name not in self.claimed or standby in (entry.owner, entry.standby)

  def get_owner(self):
    epoch = self.get_entry().epoch
    owners = [o for o in self.owners.values() if o.version.epoch == epoch]
    return max(owners, key=lambda o: o.version, default=None)

  # --- Rules of the pair machine, restricted to running daemons ---

  @stateful.rule(name=strategies.sampled_from(pairs.DAEMONS))
  def a_daemon_reads_the_roster(self, name):
    owner = self.owners.get(name)
    epoch = self.get_entry().epoch
    if owner is None or name not in self.claimed:
      super().a_daemon_reads_the_roster(name)
    elif owner.version.epoch != epoch:
      # Only a roster change of the claimed slot ends the claim.
      self.claimed.discard(name)
      super().a_daemon_reads_the_roster(name)

  @stateful.precondition(
    lambda self: any(self.is_running(m.to) for m in self.in_flight)
  )
  @stateful.rule(data=strategies.data(), is_duplicated=strategies.booleans())
  def a_record_arrives(self, data, is_duplicated):
    running = [n for n, m in enumerate(self.in_flight) if self.is_running(m.to)]
    index = data.draw(strategies.sampled_from(running))
    message = (
      self.in_flight[index] if is_duplicated else self.in_flight.pop(index)
    )
    replica = self.replicas.get(message.to)
    verdict = slots.AckStatus.STALE
    if replica is not None:
      verdict = replica.receive(message.append, answers=pairs.ANSWERS)
    self.acks.append((message, verdict))

  @stateful.precondition(
    lambda self: any(self.is_running(m.sender) for m, _ in self.acks)
  )
  @stateful.rule(data=strategies.data())
  def an_ack_arrives(self, data):
    frozen = [a for a in self.acks if not self.is_running(a[0].sender)]
    self.acks = [a for a in self.acks if self.is_running(a[0].sender)]
    super().an_ack_arrives(data)
    self.acks += frozen

  @stateful.precondition(
    lambda self: any(self.is_running(name) for name, _ in self.ready)
  )
  @stateful.rule(data=strategies.data())
  def an_action_is_sent(self, data):
    frozen = [r for r in self.ready if not self.is_running(r[0])]
    self.ready = [r for r in self.ready if self.is_running(r[0])]
    super().an_action_is_sent(data)
    self.ready += frozen
    for name in sorted(self.owners):
      self.acknowledge_without_standby(name)

  @stateful.precondition(lambda self: self.replicas and not self.is_table_down)
  @stateful.rule(data=strategies.data())
  def a_standby_takes_over(self, data):
    super().a_standby_takes_over(data)

  @stateful.precondition(lambda self: not self.is_table_down)
  @stateful.rule(data=strategies.data())
  def an_owner_replaces_its_standby(self, data):
    super().an_owner_replaces_its_standby(data)


class ReusingMachine(ClaimMachine):
  """Claims a slot without a new version."""

  increments_claim = False


class KeepingMachine(ClaimMachine):
  """Keeps copies that are older than a claim."""

  def record_claim(self, name, claim):
    holding = self.owners.get(name)
    if holding is not None and supersedes(claim, holding.version):
      del self.owners[name]
      self.claimed.discard(name)


def claim_and_call(machine):
  """Freezes the owner; its standby claims the slot and serves a call."""
  machine.the_table_becomes_unavailable()
  machine.a_daemon_freezes(name='a')
  machine.a_standby_claims(pairs.ScriptedData('b'))
  machine.a_caller_calls(pairs.ScriptedData('b'))


def claim_from_an_outdated_copy(machine):
  """Resumes a standby that missed a call which its owner served alone."""
  machine.the_table_becomes_unavailable()
  machine.a_daemon_freezes(name='b')
  machine.an_owner_claims_without_its_standby(pairs.ScriptedData('a'))
  machine.a_caller_calls(pairs.ScriptedData('a'))
  machine.the_frozen_daemon_resumes()
  machine.heartbeats_arrive()
  machine.a_daemon_freezes(name='a')
  machine.a_standby_claims(pairs.ScriptedData('b'))


CASES = hypothesis.settings(max_examples=150, stateful_step_count=30)


def test_claims_neither_lose_outcomes_nor_repeat_actions():
  stateful.run_state_machine_as_test(ClaimMachine, settings=CASES)


@pytest.mark.parametrize(
  ('script', 'variant'),
  [
    (claim_and_call, ReusingMachine),
    (claim_from_an_outdated_copy, KeepingMachine),
  ],
)
def test_variants_without_the_mechanism_fail(script, variant):
  correct, broken = ClaimMachine(), variant()
  script(correct)
  assert correct.acknowledged == {'x1'}
  correct.the_owner_knows_each_acknowledged_outcome()
  script(broken)
  assert broken.acknowledged == {'x1'}
  with pytest.raises(AssertionError):
    broken.the_owner_knows_each_acknowledged_outcome()
