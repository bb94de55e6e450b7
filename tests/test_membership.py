"""Tests of rosters and failure detection without a network."""

import asyncio

import hypothesis
from hypothesis import given
from hypothesis import strategies
import msgspec

from woadrun import errors
from woadrun.connection import messages
from woadrun.process import directory
from woadrun.process import dispatcher
from woadrun.process import membership
from woadrun.process import ownership
from woadrun.process import slots
from woadrun.process import transitions
from woadrun.process import vm_list
from woadrun.request import recovery
from woadrun.request import runner
from woadrun.standins import local
from woadrun.version import program
from woadrun.version import roster

SIZE = 24


def make_roster(members, owners):
  slots = tuple(
    roster.Slot(owner=o, standby=members[(members.index(o) + 1) % len(members)])
    for o in owners
  )
  return roster.Roster(
    domain='north',
    version=1,
    incarnations=dict.fromkeys(members, 'i'),
    slots=slots,
  )


def get_counts(known):
  return [len(roster.get_owned(known, m)) for m in roster.get_members(known)]


@hypothesis.settings(max_examples=60)
@given(
  size=strategies.integers(2, 40),
  slots=strategies.integers(1, 128),
  chance=strategies.randoms(use_true_random=False),
)
def test_slots_are_balanced_within_few_rounds(size, slots, chance):
  members = [f'm{n:02}' for n in range(size)]
  # Worst case: a daemon that joined first owns all slots.
  known = make_roster(members, [chance.choice(members[:2])] * slots)
  for _ in range(2 * size.bit_length() + 2):
    plans = [roster.plan_rebalance(known, m, unfit=set()) for m in members]
    receivers = [target for numbers, target in plans if numbers]
    assert len(receivers) == len(set(receivers))
    for numbers, target in plans:
      pairs = {
        n: (known.slots[n].epoch, target, known.slots[n].owner) for n in numbers
      }
      known = roster.with_pairs(known, pairs) or known
  assert max(get_counts(known)) - min(get_counts(known)) <= 1


class Store:
  def add(self, append):
    pass

  def begin(self, slot, tail):
    pass

  def get_written_sequence(self, slot):
    return 0

  def get_unwritten_batches(self, slot):
    return []


class Clock:
  def __init__(self):
    self.now = 1000.0

  def monotonic(self):
    return self.now


def make_membership(monkeypatch, address):
  clock = Clock()
  if monkeypatch is not None:
    monkeypatch.setattr(membership.time, 'monotonic', clock.monotonic)
  outside = local.Outside(
    platform=local.platform.Platform(), engines=[], services=[]
  )
  outside.platform.url = 'http://127.0.0.1:1'
  config = local.check(local.make_settings(outside, address=address))
  found = membership.Membership(
    config=config,
    rows=None,
    links=None,
    vms=vm_list.VmList(config=config, session=None),
  )
  return found, clock


def make_heartbeat(sender, **values):
  return messages.Heartbeat(
    sender=sender,
    domain='north',
    incarnation='i',
    roster_version=1,
    table_version=0,
    **values,
  )


async def test_new_heartbeat_target_is_not_silent_at_once(monkeypatch):
  members = [f'127.0.0.1:{8000 + n}' for n in range(SIZE)]
  found, clock = make_membership(monkeypatch, members[0])
  found.adopt(make_roster(members, members))
  for _ in range(30):
    clock.now += 1.0
    for member in found._heartbeat_targets:
      found.record_heartbeat(make_heartbeat(member))
  assert not found.get_silent()
  # A change of pairs adds a partner that this daemon has not heard from before.
  far = [members[0], members[12], *members]
  new = make_roster(members, far[:SIZE])
  slots = (roster.Slot(owner=members[0], standby=members[12]), *new.slots[1:])
  found.adopt(
    roster.Roster(
      domain='north', version=2, incarnations=new.incarnations, slots=slots
    )
  )
  assert members[12] in found._heartbeat_targets
  assert not found.get_silent()
  clock.now += 3.0
  assert members[12] in found.get_silent()


async def test_event_loop_delay_is_logged(monkeypatch, caplog):
  """Guards the only log line that tells a frozen daemon from a cut-off one."""
  found, _ = make_membership(monkeypatch, '127.0.0.1:8000')
  found._log_loop_delay(0.1)
  assert not caplog.records
  found._log_loop_delay(5.3)
  assert 'late by 5.3 s' in caplog.text


async def test_reported_suspicion_is_not_forwarded(monkeypatch):
  members = [f'127.0.0.1:{8000 + n}' for n in range(SIZE)]
  found, clock = make_membership(monkeypatch, members[0])
  found.adopt(make_roster(members, members))
  suspect = next(m for m in members[1:] if m not in found._heartbeat_targets)
  reporter = found._heartbeat_targets[0]
  found.record_heartbeat(make_heartbeat(reporter, suspects=[suspect]))
  assert suspect in found.get_silent()
  assert suspect not in found.make_heartbeat().suspects
  clock.now += membership.SUSPICION_TTL_SECONDS + 1.0
  assert suspect not in found.get_silent()


async def test_claim_survives_roster_changes_of_other_slots(monkeypatch):
  members = [f'127.0.0.1:{8000 + n}' for n in range(3)]
  found, _ = make_membership(monkeypatch, members[0])
  held = ownership.Ownership(
    config=found._config, members=found, links=None, store=Store()
  )
  # The first daemon is the standby of slot 0, whose owner died.
  pairs = [(members[1], members[0]), (members[2], members[1])]
  entries = [roster.Slot(owner=o, standby=s, epoch=1) for o, s in pairs]

  def make(version, entries):
    return roster.Roster(
      domain='north',
      version=version,
      incarnations=dict.fromkeys(members, 'i'),
      slots=tuple(entries),
    )

  found.adopt(make(1, entries))
  claim = slots.OwnedSlot(
    number=0,
    version=roster.Version(1, 1, members[0]),
    standby='',
    state=program.SlotState(sequence=7),
    is_claimed=True,
  )
  held.owned_slot_by_number[0] = claim
  other = roster.Slot(owner=members[2], standby=members[0], epoch=2, before=1)
  found.adopt(make(2, [entries[0], other]))
  assert held.owned_slot_by_number == {0: claim} and claim.is_claimed
  # Only a roster change of the claimed slot ends the claim.
  mine = roster.Slot(
    owner=members[0], standby=members[2], epoch=3, before=1, owner_before=1
  )
  found.adopt(make(3, [mine, other]))
  assert held.owned_slot_by_number == {0: claim} and not claim.is_claimed
  assert claim.epoch == 3 and claim.state.sequence == 7


def make_recovery(found, links):
  parts = {
    'config': found._config,
    'members': found,
    'held': ownership.Ownership(
      config=found._config, members=found, links=links, store=Store()
    ),
    'table': None,
    'links': links,
    'places': None,
    'back': None,
  }
  return recovery.Recovery(run=runner.Runner(**parts), **parts)


async def test_calls_of_a_restarted_previous_owner_are_not_awaited():
  members = [f'127.0.0.1:{8000 + n}' for n in range(2)]
  found, _ = make_membership(None, members[0])
  run = make_recovery(found, None)
  found.adopt(make_roster(members, members))
  found.record_heartbeat(make_heartbeat(members[1]))
  message = messages.Handover(
    sender=members[1], incarnation='earlier', requests=[(0, 'p', 'r')]
  )
  run.record_handover(message)
  # Another process runs at the address now, so the call is not awaited.
  await asyncio.wait_for(run._wait_for_previous_owner(('p', 'r')), 10)
  assert not run._handover_by_key


class Links:
  """Fakes the other daemons: answers each message with a given function."""

  def __init__(self, answer):
    self.answer = answer

  async def post(self, address, path, message, **options):
    return self.answer(path, message)


async def test_call_abandoned_by_its_previous_owner_is_not_awaited():
  members = [f'127.0.0.1:{8000 + n}' for n in range(2)]
  found, _ = make_membership(None, members[0])
  running = {('p', 'r'), ('p', 's')}
  links = Links(
    lambda path, ask: messages.Requests(
      requests=[r for r in ask.requests if r in running]
    )
  )
  run = make_recovery(found, links)
  found.adopt(make_roster(members, members))
  found.record_heartbeat(make_heartbeat(members[1]))
  run.record_handover(
    messages.Handover(
      sender=members[1],
      incarnation='i',
      requests=[(0, 'p', 'r'), (0, 'p', 's')],
    )
  )
  running.discard(('p', 'r'))
  # The previous owner is alive but has abandoned one of the two calls.
  await asyncio.wait_for(run._wait_for_previous_owner(('p', 'r')), 10)
  assert set(run._handover_by_key) == {('p', 's')}
  running.clear()
  await asyncio.wait_for(run._wait_for_previous_owner(('p', 's')), 10)


async def test_call_withdrawn_while_its_slot_is_closed_is_not_run():
  found, _ = make_membership(None, '127.0.0.1:8000')
  run = make_recovery(found, None)
  accepted = program.Accepted(
    program='north.000.a', request='r', ordinal=1, call=program.MODEL,
    target='m', digest='', reserve=10, repeatable=True, time=0.0,
  )  # fmt: skip
  started = program.Started(
    program='north.000.a', team='t', kind='k', budget=100, deadline_at=9.0,
    time=0.0,
  )  # fmt: skip
  state = program.SlotState()
  state.apply([started, accepted], answers=1)
  holding = slots.OwnedSlot(
    number=0, version=roster.Version(1), standby='', state=state
  )
  run._held.owned_slot_by_number[0] = holding
  error = slots.make_not_owner_error('The slot is being transferred.')
  withdrawal = asyncio.ensure_future(
    run._runner._record_not_run(accepted, error)
  )
  await asyncio.sleep(0)
  # The call counts as running here until the slot is open again.
  ask = messages.Requests(requests=[('north.000.a', 'r'), ('north.000.a', 'x')])
  assert run.get_running_calls(ask).requests == [('north.000.a', 'r')]
  assert list(state.get_program('north.000.a').get_running())
  holding.opened.set()
  await asyncio.wait_for(withdrawal, 10)
  assert not list(state.get_program('north.000.a').get_running())
  assert error.ran is errors.RunStatus.NOT_RUN
  assert run.get_running_calls(ask).requests == []


async def test_permits_of_a_restarted_process_are_dropped():
  members = [f'127.0.0.1:{8000 + n}' for n in range(2)]
  found, _ = make_membership(None, members[0])
  permits = dispatcher.PermitDispatcher(
    config=found._config, members=found, links=None
  )
  found.adopt(make_roster(members, members))
  upstream = dispatcher.Upstream(name='e', slots=1)
  permits.upstream_by_name['e'] = upstream
  holder = directory.make_process_name(members[1], 'i')
  upstream.holder_by_permit['p'] = holder
  permits._release_dead_holders()
  assert upstream.holder_by_permit == {'p': holder}
  known = roster.with_member(found.roster, members[1], 'later')
  found.adopt(msgspec.structs.replace(known, version=2))
  assert not upstream.holder_by_permit


async def test_slot_with_a_copy_on_another_member_is_not_adopted(
  monkeypatch,
):
  members = [f'127.0.0.1:{8000 + n}' for n in range(3)]
  found, clock = make_membership(monkeypatch, members[0])
  gone = roster.Slot(owner=members[1], epoch=1)
  incarnations = dict.fromkeys(members, 'i')
  known = roster.Roster(
    domain='north', version=1, incarnations=incarnations, slots=(gone,) * 16
  )
  found.adopt(known)
  clock.now += 5.0
  found.record_heartbeat(make_heartbeat(members[2]))
  assert found.get_silent() == {members[1]}

  def answer(path, message):
    if path == 'copies':
      return messages.Copies(slots=[n for n in message.slots if n % 2])
    raise errors.WoadrunError(errors.Code.OWNER_UNAVAILABLE, 'dead')

  held = ownership.Ownership(
    config=found._config, members=found, links=None, store=Store()
  )
  moves = transitions.Transitions(
    config=found._config,
    members=found,
    links=Links(answer),
    held=held,
    outage_handler=None,
  )
  found._links = Links(answer)
  changed = []

  async def change(step):
    changed.append(step(found.roster))

  monkeypatch.setattr(found, 'update_roster', change)
  await moves._adopt_orphans({members[1]})
  [new] = changed
  adopted = roster.get_owned(new, members[0])
  mine = [
    number
    for number in range(16)
    if roster.rank(f'adopt/{number}', [members[0], members[2]])[0] == members[0]
  ]
  assert adopted == [n for n in mine if n % 2 == 0] and adopted != mine
