"""Two daemons that both act for a program in an outage spend no token twice."""

import nodes
import pytest

from woadrun import errors
from woadrun.connection import turn_messages


def ask(request, *, most=10, budget=1000):
  return turn_messages.OpenTurn(
    program='p', request=request, most=most, budget=budget
  )


def end(request, *, tokens=6):
  turn = turn_messages.Turn(request=request, program='p', tokens=tokens)
  return turn_messages.CloseTurn(
    program='p', request=request, tokens=tokens, turn=turn, is_saved=False
  )


async def begin(fleet):
  """Returns the daemons in the order of their claim, the store out."""
  await fleet.start('n1', 'n2', 'n3')
  await fleet.turn('n1', 'a')
  fleet.shared.is_out = True
  ranked = fleet.by_name['n1'].fleet.rank('p', 'north')
  found = [fleet.by_name[member.name] for member in ranked]
  await nodes.wait_until(lambda: not any(n.store.is_reached for n in found))
  return found


def leave_aside(daemon, *others):
  """Lets a daemon believe that others are dead, for half a second."""
  for other in others:
    daemon.fleet.note_failure(other.config.name)


async def test_an_owner_that_was_frozen_learns_what_its_standby_decided():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await begin(fleet)
    await owner.programs.open(ask('b'))
    # The owner stands still; its standby goes on.
    leave_aside(standby, owner)
    await standby.programs.open(ask('c'))
    await standby.programs.close(end('c'))
    # The owner wakes and knows of nothing.
    await owner.programs.open(ask('d'))
    entry = owner.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 10 + 6 + 10


async def test_the_part_without_the_store_is_not_spent_by_each_owner():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await begin(fleet)
    # The 50 that are left may be spent without the store, once.
    await owner.programs.open(ask('b', most=20, budget=56))
    leave_aside(standby, owner)
    await standby.programs.open(ask('c', most=20, budget=56))
    with pytest.raises(errors.WoadrunError) as caught:
      await owner.programs.open(ask('d', most=20, budget=56))
    assert caught.value.status == 503
    entry = owner.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 20 + 20


async def test_a_member_with_an_older_copy_asks_before_it_acts():
  async with nodes.Nodes() as fleet:
    owner, standby, third = await begin(fleet)
    # The copy goes to the third member for once, then to the standby again.
    leave_aside(owner, standby)
    await owner.programs.open(ask('b'))
    owner.fleet._failed_until.clear()
    await owner.programs.open(ask('c'))
    leave_aside(third, owner)
    await third.programs.open(ask('d'))
    entry = third.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 10 + 10 + 10


async def test_the_store_counts_each_turn_of_both_owners_once():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await begin(fleet)
    for daemon, request in ((owner, 'b'), (standby, 'c'), (owner, 'd')):
      if daemon is standby:
        leave_aside(standby, owner)
      await daemon.programs.open(ask(request))
      await daemon.programs.close(end(request))
    fleet.shared.is_out = False
    await nodes.wait_until(
      lambda: all(
        not entry.needs_flush
        for daemon in (owner, standby)
        for entry in daemon.programs.entry_by_program.values()
      )
    )
    late = await fleet.start_alone('n4')
    await nodes.wait_until(lambda: late.is_ready() and late.store.is_direct)
    await late.programs.open(ask('e'))
    assert late.programs.entry_by_program['p'].ledger.spent == 4 * 6 + 10


async def test_a_program_begins_where_its_callers_come_in():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    north, south = fleet.by_name['n1'], fleet.by_name['s1']
    # One domain knows that the store is out, the other one not yet.
    fleet.shared.is_out = True
    with pytest.raises(errors.WoadrunError):
      await north.store.change()
    south.store.is_direct = True
    status, _ = await fleet.turn('n1', 'a')
    assert status == 200
    assert north.programs.entry_by_program['p'].ledger.home == 'north'
    begun = south.programs.entry_by_program.get('p')
    assert begun is None or begun.ledger.home == 'north'
