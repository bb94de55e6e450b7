"""The one of a pair that stands by has a copy of its slot, or gets one."""

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
    members=found, address=address, answers=9, is_held=lambda number: False
  )


def make_sync(epoch, *, sequence=0, copy_id=''):
  return messages.Sync(
    sender=OWNER,
    slot=0,
    version=roster.Version(epoch),
    state=program.SlotState(sequence=sequence),
    copy_id=copy_id,
  )


# --- Copies that come around a change of the pair ----------------------------


def test_a_copy_that_comes_before_the_change_of_its_pair_is_kept():
  """A call was told as committed, and its standby dropped it.

  The owner learns of a new pair first.  Its standby, which does not know yet
  that it is one, misses a batch, gets the slot anew, and dropped that copy when
  the roster came: the copy was of the new epoch, not of the one before.
  """
  found, held = make_copies(STANDBY, make_roster(1, make_entry(1, standby='')))
  held.learn(make_sync(1))
  held.learn(make_sync(2, sequence=7))
  new = make_roster(2, make_entry(2, 1))
  found.adopt(new)
  held.follow(0, new.slots[0])
  replica = held.replica_by_slot[0]
  assert replica.owner == OWNER
  assert (replica.version, replica.state.sequence) == (roster.Version(2), 7)


def test_a_copy_of_an_earlier_pair_is_refused():
  """An owner that wakes took it for held, though another one had the slot."""
  _, held = make_copies(
    STANDBY, make_roster(2, make_entry(2, 1, owner=STANDBY, standby=THIRD))
  )
  with pytest.raises(errors.WoadrunError) as refusal:
    held.learn(make_sync(1, sequence=7))
  assert refusal.value.code is errors.Code.STALE_EPOCH


def test_a_late_word_to_drop_a_copy_leaves_the_next_one():
  """A standby was named without a copy, which its owner took for sent."""
  found, held = make_copies(STANDBY, make_roster(1, make_entry(1, standby='')))
  first, second = (make_sync(1, copy_id=name) for name in ('first', 'second'))
  held.learn(first)
  held.learn(second)
  held.forget(first)
  new = make_roster(2, make_entry(2, 1))
  found.adopt(new)
  held.follow(0, new.slots[0])
  assert 0 in held.replica_by_slot


# --- A pair that changed without its owner's doing ----------------------------


class Sent:
  """What an owner sends; the standby answers that it has no copy."""

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


async def test_a_standby_that_was_named_without_a_copy_gets_one():
  """A slot that was not written to had no copy anywhere when its owner died.

  The answer to the write of a new pair was lost, the owner told the standby to
  drop its copy, and learned later that the write had been done.
  """
  found, _ = members.make_membership(None, OWNER)
  links = Sent()
  held = ownership.Ownership(
    config=found._config, members=found, links=links, store=members.Store()
  )
  found.adopt(make_roster(1, make_entry(1, standby='')))
  assert held.holding_by_slot[0].standby == ''
  found.adopt(make_roster(2, make_entry(2, 1)))
  for _ in range(9):
    await asyncio.sleep(0)
  [(address, copy)] = links.by_path['sync']
  assert address == STANDBY
  assert copy.version == roster.Version(2)


def make_transitions(monkeypatch, known, *, alive=()):
  """Returns a standby's transitions, and the rosters that it wrote.

  It hears only the third member; `alive` are those that others hear.
  """
  found, clock = members.make_membership(monkeypatch, STANDBY)
  found.adopt(known)
  clock.now += 5.0
  found.note_heartbeat(members.make_beat(THIRD))

  def answer(path, message):
    if path == 'copies':
      return messages.Copies(slots=[])
    if path == 'alive':
      return messages.Alive(
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
    without_table=None,
  )
  changed = []

  async def change(step):
    changed.append(step(found.roster))

  monkeypatch.setattr(found, 'change', change)
  return moves, changed


async def test_a_slot_is_taken_over_whose_standby_has_no_copy(monkeypatch):
  """Nobody took it over: it counted as held, since its standby was alive."""
  known = make_roster(1, make_entry(1), make_entry(1, standby=THIRD))
  moves, changed = make_transitions(monkeypatch, known)
  await moves._adopt_orphans({OWNER})
  [new] = changed
  assert roster.get_owned(new, STANDBY) == [0]


async def test_a_slot_is_left_whose_owner_others_hear(monkeypatch):
  known = make_roster(1, make_entry(1))
  moves, changed = make_transitions(monkeypatch, known, alive=[OWNER])
  await moves._adopt_orphans({OWNER})
  assert changed == []


async def test_orphans_are_adopted_beside_a_slot_whose_owner_others_hear(
  monkeypatch,
):
  """One owner that only this member did not hear kept all others waiting."""
  dead = '127.0.0.1:8003'
  orphans = [make_entry(1, owner=dead, standby='') for _ in range(8)]
  known = make_roster(1, make_entry(1), *orphans)
  known.incarnations[dead] = 'i'
  moves, changed = make_transitions(monkeypatch, known, alive=[OWNER])
  await moves._adopt_orphans({OWNER, dead})
  [new] = changed
  owned = roster.get_owned(new, STANDBY)
  assert owned and 0 not in owned
