"""Tests that two daemons that both own a program spend no token twice."""

import asyncio

import nodes
import pytest

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.process import datagrams
from woadrun.process.store import program_rows


def make_open(request, *, most=10, budget=1000):
  return turn_messages.OpenTurn(
    program='p', request=request, most=most, budget=budget
  )


def make_close(request, *, tokens=6):
  turn = turn_messages.Turn(request=request, program='p', tokens=tokens)
  return turn_messages.CloseTurn(
    program='p', request=request, tokens=tokens, turn=turn
  )


async def start_ranked(fleet):
  """Returns three daemons in the order of their rank for the program `p`."""
  await fleet.start('n1', 'n2', 'n3')
  await fleet.turn('n1', 'a')
  ranked = fleet.by_name['n1'].fleet.rank('p', 'north')
  return [fleet.by_name[member.name] for member in ranked]


def mark_failed(daemon, *others):
  """Makes a daemon consider others dead for half a second."""
  for other in others:
    daemon.fleet.record_failure(other.config.name)


async def test_a_frozen_owner_learns_what_its_standby_granted():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await start_ranked(fleet)
    await owner.programs.open_turn(make_open('b'))
    # The owner is frozen, and its standby takes over.
    mark_failed(standby, owner)
    await standby.programs.open_turn(make_open('c'))
    await standby.programs.close_turn(make_close('c'))
    # The owner resumes and does not know what the standby granted.
    await owner.programs.open_turn(make_open('d'))
    entry = owner.programs.entry_by_program['p']
    # The row may count the turn of the standby at its most.
    assert 6 + 10 + 6 + 10 <= entry.ledger.spent <= 6 + 10 + 10 + 10
    assert fleet.get_spent('p') >= 6 + 10 + 6 + 10


async def test_a_budget_is_not_spent_by_each_owner():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await start_ranked(fleet)
    # The 50 tokens that are left may be spent once.
    await owner.programs.open_turn(make_open('b', most=20, budget=56))
    mark_failed(standby, owner)
    await standby.programs.open_turn(make_open('c', most=20, budget=56))
    with pytest.raises(errors.WoadrunError) as caught:
      await owner.programs.open_turn(make_open('d', most=20, budget=56))
    assert caught.value.status == 402
    entry = owner.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 20 + 20


async def test_a_member_with_an_older_copy_counts_what_it_lacks():
  async with nodes.Nodes() as fleet:
    owner, standby, third = await start_ranked(fleet)
    # One copy goes to the third member, and the next one to the standby again.
    mark_failed(owner, standby)
    await owner.programs.open_turn(make_open('b'))
    owner.fleet._failed_until.clear()
    await owner.programs.open_turn(make_open('c'))
    mark_failed(third, owner)
    await third.programs.open_turn(make_open('d'))
    entry = third.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 10 + 10 + 10


async def test_the_store_counts_each_turn_of_both_owners_once():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await start_ranked(fleet)
    for daemon, request in ((owner, 'b'), (standby, 'c'), (owner, 'd')):
      if daemon is standby:
        mark_failed(standby, owner)
      await daemon.programs.open_turn(make_open(request))
      done = make_close(request)
      await daemon.turns.write(done.turn)
      await daemon.programs.close_turn(done)
    for entry in owner.programs.entry_by_program.values():
      entry.needs_flush = True
    await nodes.wait_until(
      lambda: all(
        not entry.needs_flush
        for daemon in (owner, standby)
        for entry in daemon.programs.entry_by_program.values()
      )
    )
    late = await fleet.start_alone('n4')
    await nodes.wait_until(lambda: late.is_ready() and late.store.is_direct)
    await late.programs.open_turn(make_open('e'))
    assert late.programs.entry_by_program['p'].ledger.spent == 4 * 6 + 10


async def test_a_program_that_starts_in_two_domains_has_one_home():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    began = await asyncio.gather(fleet.turn('n1', 'a'), fleet.turn('s1', 'b'))
    assert [status for status, _ in began] == [200, 200]
    homes = {
      daemon.programs.entry_by_program['p'].ledger.home
      for daemon in fleet.by_name.values()
      if 'p' in daemon.programs.entry_by_program
    }
    assert len(homes) == 1
    assert fleet.get_spent('p') >= 12


async def restart_owner(fleet):
  """Returns the names of a restarted owner and of its standby.

  The standby has granted turns since the owner was killed, whose ends the store
  does not have.  The owner has heard from no member yet.
  """
  await fleet.start('n1', 's1', 's2')
  await fleet.turn('s1', 'a', most=10, budget=306)
  ranked = fleet.by_name['s1'].fleet.rank('p', 'south')
  owner, standby = [member.name for member in ranked]
  await fleet.stop(owner)
  left = fleet.by_name[standby]
  await nodes.wait_until(lambda: not left.fleet.is_alive(owner))

  async def leave_to_others(*, used_before):
    return 0

  left.programs.flusher.flush = leave_to_others
  for number in range(40):
    await fleet.turn(standby, f'b{number}', most=10, budget=306)
  again = await fleet.start_alone(owner)
  again.fleet.datagrams.handle(datagrams.HEARTBEAT, lambda data: None)
  await nodes.wait_until(
    lambda: (
      again.is_ready()
      and again.store.is_direct
      and standby in again.fleet.member_by_name
      and left.fleet.is_alive(owner)
    )
  )
  return owner, standby


async def spend_all(fleet, name):
  """Returns how many turns a daemon grants before it refuses one."""
  for number in range(60):
    try:
      await fleet.turn(name, f'c{number}', most=10, budget=306)
    except errors.WoadrunError as error:
      assert error.status in (402, 503)
      return number
  raise AssertionError('no turn was refused within the limit')


async def test_an_owner_that_has_heard_no_member_asks_for_spending():
  """A daemon that has just joined relies on the store's row alone.

  The owner was killed and restarted, and its standby granted turns.  The owner
  had heard from no member yet and started from the row: 540 of 306 were given.
  """
  async with nodes.Nodes() as fleet:
    owner, _ = await restart_owner(fleet)
    ran = 41 + await spend_all(fleet, owner)
    assert ran * 6 <= 306 + 10


async def test_a_standby_sends_the_owner_the_turns_it_lacks():
  """An owner does not learn the turns that its standby counted.

  A copy of a program is sent as a datagram, which had no answer: the standby
  logged at each turn that the owner lacked 15 turns.
  """
  async with nodes.Nodes() as fleet:
    owner, _ = await restart_owner(fleet)
    again = fleet.by_name[owner]
    again.programs._load_entry = lambda ask: load_from_row(again, ask)
    await fleet.turn(owner, 'c', most=10, budget=306)
    await nodes.wait_until(
      lambda: again.programs.entry_by_program['p'].ledger.spent >= 42 * 6
    )


async def load_from_row(daemon, ask):
  """Returns the entry of a daemon that finds no unsaved state elsewhere."""
  return program_rows.Entry(
    program=ask.program,
    ledger=daemon.programs._rows.make(),
    is_unverified=True,
  )


async def test_a_member_without_standby_waits_for_a_slow_store():
  """Two members that consider each other dead continue without the store.

  The store was slow, but reachable: each member granted turns on its own, one
  of them from a row that the other had long replaced, and 84 of 72 were given.
  """
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a', most=10, budget=306)
    fleet.shared.delay = 0.2
    await fleet.turn('n1', 'b', most=10, budget=306)
    owner = fleet.by_name['n1'].fleet.rank('p', 'north')[0].name
    daemon = fleet.by_name[owner]
    await nodes.wait_until(lambda: daemon.store.is_slow)
    daemon.fleet.is_alive = lambda name: name == owner
    daemon.fleet._invalidate_view()
    before = daemon.programs.entry_by_program['p'].ledger.version
    await daemon.programs.open_turn(make_open('c', budget=306))
    entry = daemon.programs.entry_by_program['p']
    assert 'c' in entry.ledger.saved.reserved
    assert entry.ledger.version > before


async def test_a_turn_refused_by_one_owner_and_granted_by_another_counts():
  """A turn that one owner refuses and another grants is not counted.

  The owner reserved and refused; the member asked next granted the turn.  The
  owner's ledger, in which the turn had ended with 0 tokens, then
  removed the reservation, and the end of the turn found nothing to settle: the
  program was given the turn's tokens beyond its budget.
  """
  async with nodes.Nodes() as fleet:
    owner, standby, third = await start_ranked(fleet)

    reservations = owner.programs._reservations
    reserve = reservations.reserve

    async def lose_answer(*given):
      await reserve(*given)
      raise errors.WoadrunError(errors.Code.OWNER_UNAVAILABLE, 'Lost.')

    reservations.reserve = lose_answer
    await fleet.turn(third.config.name, 'b')
    reservations.reserve = reserve
    await fleet.turn(third.config.name, 'c')
    spent = [
      daemon.programs.entry_by_program['p'].ledger.spent
      for daemon in (owner, standby)
    ]
    # The standby may still count the reservation of the turn.
    assert spent[0] == 3 * 6
    assert spent[1] >= 2 * 6
