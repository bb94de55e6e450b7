"""Tests that two daemons that both own a program spend no token twice."""

import asyncio

import nodes
import pytest

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import datagrams
from woadrun.process import program_rows


def make_open(request, *, most=10, budget=1000):
  return turn_messages.OpenTurn(
    program='p', request=request, most=most, budget=budget
  )


def make_close(request, *, tokens=6):
  turn = turn_messages.Turn(request=request, program='p', tokens=tokens)
  return turn_messages.CloseTurn(
    program='p', request=request, tokens=tokens, turn=turn, is_saved=False
  )


async def start_without_store(fleet):
  """Returns the daemons in the order of their rank, the store unreachable."""
  await fleet.start('n1', 'n2', 'n3')
  await fleet.turn('n1', 'a')
  fleet.shared.is_out = True
  ranked = fleet.by_name['n1'].fleet.rank('p', 'north')
  found = [fleet.by_name[member.name] for member in ranked]
  await nodes.wait_until(lambda: not any(n.store.is_reachable for n in found))
  return found


def mark_failed(daemon, *others):
  """Makes a daemon consider others dead for half a second."""
  for other in others:
    daemon.fleet.record_failure(other.config.name)


async def test_a_frozen_owner_learns_what_its_standby_granted():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await start_without_store(fleet)
    await owner.programs.open(make_open('b'))
    # The owner is frozen, and its standby takes over.
    mark_failed(standby, owner)
    await standby.programs.open(make_open('c'))
    await standby.programs.close(make_close('c'))
    # The owner resumes and does not know what the standby granted.
    await owner.programs.open(make_open('d'))
    entry = owner.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 10 + 6 + 10


async def test_the_share_without_the_store_is_not_spent_by_each_owner():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await start_without_store(fleet)
    # The 50 tokens that are left may be spent without the store, once.
    await owner.programs.open(make_open('b', most=20, budget=56))
    mark_failed(standby, owner)
    await standby.programs.open(make_open('c', most=20, budget=56))
    with pytest.raises(errors.WoadrunError) as caught:
      await owner.programs.open(make_open('d', most=20, budget=56))
    assert caught.value.status == 503
    entry = owner.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 20 + 20


async def test_a_member_with_an_older_copy_asks_before_it_grants():
  async with nodes.Nodes() as fleet:
    owner, standby, third = await start_without_store(fleet)
    # One copy goes to the third member, and the next one to the standby again.
    mark_failed(owner, standby)
    await owner.programs.open(make_open('b'))
    owner.fleet._failed_until.clear()
    await owner.programs.open(make_open('c'))
    mark_failed(third, owner)
    await third.programs.open(make_open('d'))
    entry = third.programs.entry_by_program['p']
    assert entry.ledger.spent == 6 + 10 + 10 + 10


async def test_the_store_counts_each_turn_of_both_owners_once():
  async with nodes.Nodes() as fleet:
    owner, standby, _ = await start_without_store(fleet)
    for daemon, request in ((owner, 'b'), (standby, 'c'), (owner, 'd')):
      if daemon is standby:
        mark_failed(standby, owner)
      await daemon.programs.open(make_open(request))
      await daemon.programs.close(make_close(request))
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
    await late.programs.open(make_open('e'))
    assert late.programs.entry_by_program['p'].ledger.spent == 4 * 6 + 10


async def test_a_program_starts_in_the_domain_of_its_callers():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    north, south = fleet.by_name['n1'], fleet.by_name['s1']
    # One domain knows that the store is unreachable, the other one not yet.
    fleet.shared.is_out = True
    with pytest.raises(errors.WoadrunError):
      await north.store.change()
    south.store.is_direct = True
    status, _ = await fleet.turn('n1', 'a')
    assert status == 200
    assert north.programs.entry_by_program['p'].ledger.home == 'north'
    begun = south.programs.entry_by_program.get('p')
    assert begun is None or begun.ledger.home == 'north'


async def restart_owner_in_outage(fleet):
  """Returns the names of a restarted owner and of its standby.

  The store was unreachable when the owner was killed; the standby has granted
  turns since.  The owner has the store again, and has heard from no member yet.
  """
  await fleet.start('n1', 's1', 's2')
  await fleet.turn('s1', 'a', most=10, budget=306)
  ranked = fleet.by_name['s1'].fleet.rank('p', 'south')
  owner, standby = [member.name for member in ranked]
  fleet.shared.is_out = True
  await fleet.stop(owner)
  left = fleet.by_name[standby]
  await nodes.wait_until(
    lambda: not left.store.is_reachable and not left.fleet.is_alive(owner)
  )
  for number in range(40):
    await fleet.turn(standby, f'b{number}', most=10, budget=306)
  # The turns are left to the member that owns the program next.
  left.programs.flusher.flush = asyncio.Event().wait
  again = await fleet.start_alone(owner)
  again.fleet.datagrams.handle(datagrams.HEARTBEAT, lambda data: None)
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

  The owner was killed and restarted while the store was unreachable, and its
  standby granted turns.  When the store was back, the owner had heard from no
  member yet, so that no member seemed to hold unsaved spending, and it started
  from the row: 540 of 306 were given.
  """
  async with nodes.Nodes() as fleet:
    owner, _ = await restart_owner_in_outage(fleet)
    ran = 41 + await spend_all(fleet, owner)
    assert ran * 6 <= 306 + 10


async def test_a_standby_sends_the_owner_the_turns_it_lacks():
  """An owner does not learn the turns that its standby counted.

  A copy of a program is sent as a datagram, which had no answer: the standby
  logged at each turn that the owner lacked 15 turns.
  """
  async with nodes.Nodes() as fleet:
    owner, _ = await restart_owner_in_outage(fleet)
    again = fleet.by_name[owner]
    again.programs._load_entry = lambda ask, *, is_new: load_from_row(
      again, ask
    )
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
    await daemon.programs.open(make_open('c', budget=306))
    entry = daemon.programs.entry_by_program['p']
    assert 'c' in entry.ledger.saved.reserved
    assert entry.ledger.version > before


async def test_a_turn_refused_by_one_owner_and_granted_by_another_counts():
  """A turn that one owner refuses and another grants is not counted.

  The owner reached no standby and refused; the member asked next granted the
  turn.  The owner's ledger, in which the turn had ended with 0 tokens, then
  removed the reservation, and the end of the turn found nothing to settle: the
  program was given the turn's tokens beyond its budget.
  """
  async with nodes.Nodes() as fleet:
    owner, standby, third = await start_without_store(fleet)

    async def fail_post(*_, **__):
      raise peers.NoAnswer(errors.Code.OWNER_UNAVAILABLE, 'Lost.')

    post, owner.programs._copies._post = owner.programs._copies._post, fail_post
    await fleet.turn(third.config.name, 'b')
    owner.programs._copies._post = post
    owner.fleet._failed_until.clear()
    await fleet.turn(third.config.name, 'c')
    spent = [
      daemon.programs.entry_by_program['p'].ledger.spent
      for daemon in (owner, standby)
    ]
    # The standby may still count the reservation of the turn.
    assert spent[0] == 3 * 6
    assert spent[1] >= 2 * 6
