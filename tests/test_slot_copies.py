"""Tests that the standby of a slot has a copy of it, or receives one."""

import asyncio

import pytest
import test_membership as members

from woadrun import errors
from woadrun.connection import messages
from woadrun.process import copies
from woadrun.process import ownership
from woadrun.process import transitions
from woadrun.version import program
from woadrun.version import roster

OWNER, STANDBY, THIRD = (f'127.0.0.1:{8000 + n}' for n in range(3))


def make_roster(version, *entries):
  return roster.Roster(
    domain='north',
    version=version,
    incarnations=dict.fromkeys((OWNER, STANDBY, THIRD), 'i'),
    slots=entries,
  )


def make_entry(epoch, before=0, *, owner=OWNER, standby=STANDBY):
  return roster.Slot(owner=owner, standby=standby, epoch=epoch, before=before)


def make_copies(address, known):
  found, _ = members.make_membership(None, address)
  found.adopt(known)
  return found, copies.Copies(
    members=found, address=address, answers=9, is_owned=lambda number: False
  )


def make_sync(epoch, *, sequence=0, copy_id=''):
  return messages.Sync(
    sender=OWNER,
    slot=0,
    version=roster.Version(epoch),
    state=program.SlotState(sequence=sequence),
    copy_id=copy_id,
  )


# --- Copies sent around a change of the pair ---------------------------------


def test_copy_received_before_its_pair_change_is_kept():
  """Guards against the loss of a call that was acknowledged as committed.

  The owner learns of a new pair before its standby does.  The standby misses a
  batch and receives a copy of the slot in the new epoch.  It must not drop this
  copy when the roster arrives, although the copy is not of the previous epoch.
  """
  found, held = make_copies(STANDBY, make_roster(1, make_entry(1, standby='')))
  held.learn(make_sync(1))
  held.learn(make_sync(2, sequence=7))
  new = make_roster(2, make_entry(2, 1))
  found.adopt(new)
  held.apply_entry(0, new.slots[0])
  replica = held.replica_by_slot[0]
  assert replica.owner == OWNER
  assert (replica.version, replica.state.sequence) == (roster.Version(2), 7)


def test_copy_of_an_earlier_pair_is_refused():
  """Guards against a stale owner that treats its records as replicated.

  A frozen owner resumes after another daemon took the slot over, and sends a
  copy of the slot.  An accepted copy would count as a commit.
  """
  _, held = make_copies(
    STANDBY, make_roster(2, make_entry(2, 1, owner=STANDBY, standby=THIRD))
  )
  with pytest.raises(errors.WoadrunError) as refusal:
    held.learn(make_sync(1, sequence=7))
  assert refusal.value.code is errors.Code.STALE_EPOCH


def test_late_request_to_drop_a_copy_keeps_the_next_copy():
  """Guards against a standby without the copy that its owner has sent.

  The request to drop a first copy arrives after the second copy.
  """
  found, held = make_copies(STANDBY, make_roster(1, make_entry(1, standby='')))
  first, second = (make_sync(1, copy_id=name) for name in ('first', 'second'))
  held.learn(first)
  held.learn(second)
  held.forget(first)
  new = make_roster(2, make_entry(2, 1))
  found.adopt(new)
  held.apply_entry(0, new.slots[0])
  assert 0 in held.replica_by_slot


# --- Pairs that changed without an action of the owner -----------------------


class RecordingLinks:
  """Records an owner's messages; the standby answers that it has no copy."""

  def __init__(self):
    self.by_path = {}

  async def post(self, address, path, message, **_):
    self.by_path.setdefault(path, []).append((address, message))
    if path != 'replicate':
      return messages.Done()
    acks = [
      messages.Ack(slot=a.slot, sequence=a.sequence, verdict='gap')
      for a in message.appends
    ]
    return messages.Replicated(acks=acks)


async def test_standby_without_a_copy_receives_one():
  """Guards against an idle slot without any copy when its owner dies.

  The answer to the write of a new pair is lost.  The owner tells the standby to
  drop its copy and learns later that the write succeeded.
  """
  found, _ = members.make_membership(None, OWNER)
  links = RecordingLinks()
  held = ownership.Ownership(
    config=found._config, members=found, links=links, store=members.Store()
  )
  found.adopt(make_roster(1, make_entry(1, standby='')))
  assert held.owned_slot_by_number[0].standby == ''
  found.adopt(make_roster(2, make_entry(2, 1)))
  for _ in range(9):
    await asyncio.sleep(0)
  [(address, copy)] = links.by_path['sync']
  assert address == STANDBY
  assert copy.version == roster.Version(2)


def make_transitions(monkeypatch, known, *, alive=()):
  """Returns the transitions of a standby and the rosters that they write.

  The standby hears only the third member.  `alive` lists the members that
  others hear.
  """
  found, clock = members.make_membership(monkeypatch, STANDBY)
  found.adopt(known)
  clock.now += 5.0
  found.record_heartbeat(members.make_heartbeat(THIRD))

  def answer(path, message):
    if path == 'copies':
      return messages.Copies(slots=[])
    if path == 'alive':
      return messages.LivenessAnswer(
        is_heard=message.address in alive, roster_version=known.version
      )
    raise errors.WoadrunError(errors.Code.OWNER_UNAVAILABLE, 'dead')

  links = found._links = members.Links(answer)
  held = ownership.Ownership(
    config=found._config, members=found, links=links, store=members.Store()
  )
  moves = transitions.Transitions(
    config=found._config,
    members=found,
    links=links,
    held=held,
    outage_handler=None,
  )
  changed = []

  async def change(step):
    changed.append(step(found.roster))

  monkeypatch.setattr(found, 'update_roster', change)
  return moves, changed


async def test_standby_without_a_copy_takes_over(monkeypatch):
  """Guards against a slot that no member takes over.

  The slot is no orphan, since its standby is alive, but the standby has no
  copy.
  """
  known = make_roster(1, make_entry(1), make_entry(1, standby=THIRD))
  moves, changed = make_transitions(monkeypatch, known)
  await moves._adopt_orphans({OWNER})
  [new] = changed
  assert roster.get_owned(new, STANDBY) == [0]


async def test_slot_of_an_owner_that_others_hear_is_not_taken_over(monkeypatch):
  known = make_roster(1, make_entry(1))
  moves, changed = make_transitions(monkeypatch, known, alive=[OWNER])
  await moves._adopt_orphans({OWNER})
  assert changed == []


async def test_orphans_are_adopted_despite_a_slot_whose_owner_others_hear(
  monkeypatch,
):
  """Guards against one slot that blocks the adoption of all orphans.

  Only this member does not hear the owner of that slot.
  """
  dead = '127.0.0.1:8003'
  orphans = [make_entry(1, owner=dead, standby='') for _ in range(8)]
  known = make_roster(1, make_entry(1), *orphans)
  known.incarnations[dead] = 'i'
  moves, changed = make_transitions(monkeypatch, known, alive=[OWNER])
  await moves._adopt_orphans({OWNER, dead})
  [new] = changed
  owned = roster.get_owned(new, STANDBY)
  assert owned and 0 not in owned
