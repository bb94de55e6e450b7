"""Two daemons that both act for a program in an outage spend no token twice."""

import asyncio

import nodes
import pytest

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import datagrams
from woadrun.process import program_rows


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


async def lose_the_owner(fleet):
  """Returns the names of an owner that was started again, and of its standby.

  The store was out when it was killed; the standby let turns run since.  The
  owner has the store again, and hears nobody yet.
  """
  await fleet.start('n1', 's1', 's2')
  await fleet.turn('s1', 'a', most=10, budget=306)
  ranked = fleet.by_name['s1'].fleet.rank('p', 'south')
  owner, standby = [member.name for member in ranked]
  fleet.shared.is_out = True
  await fleet.stop(owner)
  left = fleet.by_name[standby]
  await nodes.wait_until(
    lambda: not left.store.is_reached and not left.fleet.is_alive(owner)
  )
  for number in range(40):
    await fleet.turn(standby, f'b{number}', most=10, budget=306)
  # The turns are brought to the store by the one that looks after them next.
  left.programs.flusher.flush = asyncio.Event().wait
  again = await fleet.start_alone(owner)
  again.fleet.datagrams.handle(datagrams.BEAT, lambda data: None)
  fleet.shared.is_out = False
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
  """Returns how many turns a daemon lets run before it refuses."""
  for number in range(60):
    try:
      await fleet.turn(name, f'c{number}', most=10, budget=306)
    except errors.WoadrunError as error:
      assert error.status in (402, 503)
      return number
  raise AssertionError('Nothing was refused.')


async def test_an_owner_that_hears_nobody_yet_asks_what_was_spent():
  """A daemon that joined a moment ago took the store's word for all.

  It was killed and started again while the store was out, and its standby let
  turns run.  Once the store was back it heard nobody yet, so that nobody seemed
  to keep what the store lacked, and it began from the row: 540 of 306 were
  given.
  """
  async with nodes.Nodes() as fleet:
    owner, _ = await lose_the_owner(fleet)
    ran = 41 + await spend_all(fleet, owner)
    assert ran * 6 <= 306 + 10


async def test_a_standby_tells_the_owner_what_that_does_not_count():
  """An owner was not told of turns that its standby counted.

  A copy of a program comes as a datagram, which had no answer: the standby
  logged that the owner lacked 15 turns, at each of them.
  """
  async with nodes.Nodes() as fleet:
    owner, _ = await lose_the_owner(fleet)
    again = fleet.by_name[owner]
    again.programs._load_entry = lambda ask, *, is_new: begin_from_row(
      again, ask
    )
    await fleet.turn(owner, 'c', most=10, budget=306)
    await nodes.wait_until(
      lambda: again.programs.entry_by_program['p'].ledger.spent >= 42 * 6
    )


async def begin_from_row(daemon, ask):
  """Returns a program as a daemon finds it that takes itself for settled."""
  return program_rows.Entry(
    program=ask.program, ledger=daemon.programs._rows.make(), is_unverified=True
  )


async def test_a_member_that_is_alone_waits_for_a_slow_store():
  """Two members that each took the other for dead went on without the store.

  It was slow, not out: each let turns run on its own word, one of them from a
  row that the other had long replaced, and 84 of 72 were given.
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
    daemon.fleet._forget_view()
    before = daemon.programs.entry_by_program['p'].ledger.version
    await daemon.programs.open(ask('c', budget=306))
    entry = daemon.programs.entry_by_program['p']
    assert 'c' in entry.ledger.saved.reserved
    assert entry.ledger.version > before


async def test_a_turn_that_one_owner_refuses_and_another_lets_run_counts():
  """A program was given the tokens of such a turn beside its budget.

  The owner reached no standby and refused; the member asked next gave leave.
  The owner's view, in which the turn had ended with 0 tokens, then took the
  reservation back, and the end of the turn found nothing to settle.
  """
  async with nodes.Nodes() as fleet:
    owner, standby, third = await begin(fleet)

    async def lose(*_, **__):
      raise peers.NoAnswer(errors.Code.OWNER_UNAVAILABLE, 'Lost.')

    post, owner.programs._copies._post = owner.programs._copies._post, lose
    await fleet.turn(third.config.name, 'b')
    owner.programs._copies._post = post
    owner.fleet._failed_until.clear()
    await fleet.turn(third.config.name, 'c')
    spent = [
      daemon.programs.entry_by_program['p'].ledger.spent
      for daemon in (owner, standby)
    ]
    # The standby may count what it set aside for the turn.
    assert spent[0] == 3 * 6
    assert spent[1] >= 2 * 6
