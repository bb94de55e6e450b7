"""Tests that a domain behind a partition serves turns within its share."""

import collections

import hypothesis
from hypothesis import strategies
import msgspec
import nodes
import pytest

from woadrun import errors
from woadrun.decisions import shares
from woadrun.process import datagrams
from woadrun.process import histories
from woadrun.process import peer_messages
from woadrun.process import program_copies
from woadrun.version import spending


def test_copies_go_to_few_domains_evenly_and_stably():
  others = ['a', 'b', 'c', 'd']
  chosen = [
    tuple(program_copies.choose_domains(f'p{n}', others)) for n in range(400)
  ]
  assert {len(set(found)) for found in chosen} == {
    program_copies.MAX_REMOTE_DOMAINS
  }
  count_by_domain = collections.Counter(d for found in chosen for d in found)
  assert min(count_by_domain.values()) > 150
  again = program_copies.choose_domains('p7', reversed(others))
  assert tuple(again) == chosen[7]
  assert program_copies.choose_domains('p', ['a']) == ['a']


async def wait_for_remote_copy(fleet, name, request):
  """Returns once a daemon of another domain has a copy of a turn."""
  cache = fleet.by_name[name].programs.cache
  await nodes.wait_until(lambda: cache.get(request) is not None)


async def stop_others(fleet, name):
  """Returns a daemon after stopping all others and the store."""
  fleet.shared.is_out = True
  for other in [n for n in fleet.by_name if n != name]:
    await fleet.stop(other)
  alone = fleet.by_name[name]
  await nodes.wait_until(
    lambda: (
      not alone.store.is_reachable
      and (alone.fleet.find_silent_domains() or alone.fleet.is_isolated)
    )
  )
  return alone


async def test_a_partitioned_domain_continues_programs_of_others():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    await fleet.turn('n2', 'b', parent='a')
    await wait_for_remote_copy(fleet, 's1', 'a')
    await wait_for_remote_copy(fleet, 's1', 'b')
    south = await stop_others(fleet, 's1')
    await fleet.turn('s1', 'c', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'
    assert south.programs.is_owing
    # The store gets the spending, on top of what it already counts.
    fleet.shared.is_out = False
    await nodes.wait_until(
      lambda: not south.programs.is_owing and not south.programs.unsaved
    )
    north = await fleet.start_alone('n3')
    await nodes.wait_until(lambda: north.is_ready() and north.store.is_direct)
    await fleet.turn('n3', 'd', parent='c')
    assert fleet.get_body('d').endswith(b'<c>c-0\nc-1\n<d>')
    assert north.programs.entry_by_program['p'].ledger.spent == 4 * 6


async def test_the_last_daemon_of_a_domain_continues_while_it_hears_others():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    fleet.shared.is_out = True
    await fleet.stop('n2')
    north = fleet.by_name['n1']
    await nodes.wait_until(
      lambda: not north.store.is_reachable and not north.fleet.is_alive('n2')
    )
    await fleet.turn('n1', 'b', parent='a')
    assert fleet.get_body('b') == b'<a>a-0\na-1\n<b>'


async def test_a_partitioned_domain_spends_its_share_only():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a', most=10, budget=106)
    await wait_for_remote_copy(fleet, 's1', 'a')
    await stop_others(fleet, 's1')
    done = 0
    with pytest.raises(errors.WoadrunError) as caught:
      for number in range(20):
        await fleet.turn('s1', f'r{number}', most=10, budget=106)
        done += 1
    assert caught.value.status == 503
    assert 0 < done * 6 <= (106 - 6) * shares.get_partitioned_share(2)


async def test_the_home_reserves_the_share_of_a_silent_domain():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a', most=10, budget=106)
    address = fleet.by_name['s1'].config.peers_address
    await fleet.stop('s1')
    north = fleet.by_name['n1']
    await nodes.wait_until(north.fleet.find_silent_domains)
    done = 0
    with pytest.raises(errors.WoadrunError) as caught:
      for number in range(20):
        await fleet.turn('n1', f'r{number}', most=10, budget=106)
        done += 1
    assert caught.value.status == 503
    assert 0 < done * 6 <= (106 - 6) / 2
    # Once the domain is back and has no unsaved spending, the whole budget may
    # be spent.
    await fleet.start_alone('s1', address=address)
    await nodes.wait_until(lambda: not north.fleet.find_unsettled_domains())
    await fleet.turn('n1', 'later', most=10, budget=106)


async def test_an_isolated_daemon_spends_nothing():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 'n3')
    await fleet.turn('n1', 'a')
    # The other members may continue with the store, which this daemon cannot
    # know.
    await stop_others(fleet, 'n1')
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('n1', 'b', parent='a')
    assert caught.value.status == 503
    assert fleet.get_body('b') is None


@hypothesis.given(
  sides=strategies.lists(
    strategies.integers(min_value=0, max_value=4), min_size=2, max_size=8
  ),
  home=strategies.integers(min_value=0, max_value=7),
  with_store=strategies.integers(min_value=-1, max_value=4),
)
@hypothesis.settings(derandomize=True)
def test_the_shares_of_all_sides_never_exceed_the_whole(
  sides, home, with_store
):
  """`sides` says on which side of a network partition each domain is."""
  home %= len(sides)
  total = 0.0
  for side in set(sides):
    has_store = side == with_store
    members = [d for d, s in enumerate(sides) if s == side]
    others = [d for d in range(len(sides)) if d not in members and d != home]
    is_home = home in members
    share = shares.get_share(
      is_home=is_home,
      has_store=has_store,
      domains=len(sides),
      unsettled=len(others),
    )
    # Without the store, each domain but the home domain spends its own share.
    total += share if has_store or is_home else share * len(members)
  assert total <= 1 + 1e-9


async def test_a_program_started_on_both_sides_keeps_its_budget():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    fleet.view_by_name['s1'].is_cut = True
    north, south = fleet.by_name['n1'], fleet.by_name['s1']
    for daemon, other in ((north, 'south'), (south, 'north')):
      daemon.fleet.is_domain_silent = lambda domain, other=other: (
        domain == other
      )
      daemon.fleet.is_alive = lambda name, me=daemon: name == me.config.name
    await nodes.wait_until(
      lambda: not south.store.is_reachable and south.fleet.find_silent_domains()
    )
    ran = [await spend_all(fleet, name, name) for name in ('n1', 's1')]
    assert min(ran) > 0
    assert sum(ran) * 6 <= 306 + 10


async def test_a_program_started_as_a_partition_begins_keeps_its_budget():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    north, south = fleet.by_name['n1'], fleet.by_name['s1']
    # The partition begins, and neither side has detected it yet.
    fleet.view_by_name['s1'].is_cut = True
    south.store._find_relays = list
    for daemon in (north, south):
      daemon.fleet.datagrams.handle(
        datagrams.REMOTE_PROGRAM_COPY, lambda data: None
      )
      daemon._handler_by_path['program/far'] = refuse_message
    names, statuses = ('n1', 's1'), (402, 503)
    ran = [
      await spend_all(fleet, name, name, statuses=statuses) for name in names
    ]
    assert not north.fleet.find_unsettled_domains()
    for daemon, other in ((north, 'south'), (south, 'north')):
      daemon.fleet.is_domain_silent = lambda domain, other=other: (
        domain == other
      )
      daemon.fleet.is_alive = lambda name, me=daemon: name == me.config.name
    await nodes.wait_until(south.fleet.find_silent_domains)
    ran += [
      await spend_all(fleet, name, f'{name}-', statuses=statuses)
      for name in names
    ]
    assert min(ran[:2]) > 0
    assert sum(ran) * 6 <= 306 + 10


async def test_spending_as_a_partition_begins_is_not_shared_again():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    north, south = fleet.by_name['n1'], fleet.by_name['s1']
    # The partition begins: nothing reaches the south, and the home domain has
    # not detected it yet.
    fleet.view_by_name['s1'].is_cut = True
    south.fleet.datagrams.handle(
      datagrams.REMOTE_PROGRAM_COPY, lambda data: None
    )
    south.fleet.is_domain_silent = lambda domain: domain == 'north'
    south.fleet.is_alive = lambda name: name == 's1'
    before = 12
    for number in range(before):
      await fleet.turn('n1', f'a{number}', most=10, budget=306)
    north.fleet.is_domain_silent = lambda domain: domain == 'south'
    north.fleet.is_alive = lambda name: name == 'n1'
    await nodes.wait_until(
      lambda: not south.store.is_reachable and south.fleet.find_silent_domains()
    )
    ran = [await spend_all(fleet, name, name) for name in ('n1', 's1')]
    assert ran[1] > 0
    assert (before + sum(ran)) * 6 <= 306 + 10


def test_spending_known_to_others_stays_known_in_a_partition():
  seen = spending.SpendingHistory()
  assert seen.get_known(now=0.0) == 0
  seen.note(100, now=10.0)
  seen.note(300, now=11.0)
  assert [seen.get_known(now=at) for at in (11.9, 12.0, 12.9)] == [0, 100, 100]
  seen.note(250, now=13.0)
  seen.note(400, now=13.5)
  assert [seen.get_known(now=at) for at in (14.9, 15.2)] == [300, 250]
  seen.note(500, now=20.0)
  assert seen.get_known(now=20.0) == 400
  # Other domains have received nothing since a partition began.
  assert [seen.get_known(now=20.0, lasted=at) for at in (5.0, 6.0)] == [
    250,
    300,
  ]
  seen.note(600, now=60.0)
  assert len(seen._marks) == 2


async def test_domains_that_name_each_other_as_home_lose_no_history():
  """Both domains started the program while one of them was cut off."""
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a')
    await wait_for_remote_copy(fleet, 's1', 'a')
    for name, other in (('n1', 'south'), ('s1', 'north')):
      fleet.by_name[name].programs.entry_by_program['p'].ledger.home = other
    for name, request in (('n1', 'b'), ('s1', 'c')):
      await fleet.turn(name, request, parent='a')
      expected = f'<a>a-0\na-1\n<{request}>'.encode()
      assert fleet.get_body(request) == expected


async def test_a_remote_copy_does_not_change_the_home_of_a_home_domain():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a')
    await wait_for_remote_copy(fleet, 's1', 'a')
    north = fleet.by_name['n1'].programs
    south = fleet.by_name['s1'].programs
    entry = south.entry_by_program['p']
    entry.ledger.home = 'south'
    older = north._copies.make(north.entry_by_program['p'])
    await south.copy_receiver.handle_remote_copy(older)
    assert south.entry_by_program['p'].ledger.home == 'north'
    mine = north.entry_by_program['p']
    await north.copy_receiver.handle_remote_copy(
      msgspec.structs.replace(older, home='south')
    )
    assert mine.ledger.home == 'north'


async def test_a_cached_history_is_not_fetched_from_another_domain():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a')
    await wait_for_remote_copy(fleet, 's1', 'a')
    asked = []
    find = histories.find

    async def find_counted(parent, **options):
      asked.append(parent)
      return await find(parent, **options)

    histories.find = find_counted
    try:
      await fleet.turn('s1', 'b', parent='a')
    finally:
      histories.find = find
    assert asked == []
    assert fleet.get_body('b') == b'<a>a-0\na-1\n<b>'
    # The turn that is missing here comes from the home domain.
    fleet.by_name['s1'].programs.cache._cached_by_request.pop('a')
    await fleet.turn('s1', 'c', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


async def test_a_daemon_reports_silent_domains():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    north, south = fleet.by_name['n1'], fleet.by_name['s1']
    south.fleet.is_domain_silent = lambda domain: domain == 'north'
    await nodes.wait_until(
      lambda: north.fleet.find_unsettled_domains() == {'south'}
    )


async def refuse_message(body):
  """Answers a message with an error, as if it had not arrived."""
  lost = errors.WoadrunError(errors.Code.OWNER_UNAVAILABLE, 'Cut off.')
  return peer_messages.Reply(status=lost.status, body=lost.get_body())


async def spend_all(fleet, name, prefix, *, statuses=(503,)):
  """Returns how many turns a daemon grants before it refuses one."""
  for number in range(60):
    try:
      await fleet.turn(name, f'{prefix}{number}', most=10, budget=306)
    except errors.WoadrunError as error:
      assert error.status in statuses
      return number
  raise AssertionError('no turn was refused within the limit')


async def test_a_second_partition_gets_a_new_share():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a', most=10, budget=306)
    await wait_for_remote_copy(fleet, 's1', 'a')
    address = fleet.by_name['n1'].config.peers_address
    south = fleet.by_name['s1']
    spent = []
    for cut in ('first', 'second'):
      await fleet.stop('n1')
      await nodes.wait_until(south.fleet.find_silent_domains)
      spent.append(await spend_all(fleet, 's1', cut))
      north = await fleet.start_alone('n1', address=address)
      await nodes.wait_until(
        lambda north=north: (
          north.is_ready()
          and north.store.is_direct
          and south.fleet.is_store_current
          and not south.fleet.find_unsettled_domains()
        )
      )
      # The home domain finds all domains reachable again.
      await fleet.turn('n1', f'{cut}-end', most=10, budget=306)
    first, second = spent
    assert 0 < first * 6 <= 300 / 2
    assert 0 < second * 6 <= (300 - first * 6) / 2
