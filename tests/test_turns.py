"""Turns of programs: history, budget, and what outlasts which loss."""

import asyncio
import time

import msgspec
import nodes
import pytest

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.request import exchange
from woadrun.request import recent_lines

# The tables of what lasts for a while only.
KEPT_TABLES = ('turns', 'programs')


def owner_of(fleet, program, domain='north'):
  """Returns the names of a program's owner and standby."""
  some = next(iter(fleet.by_name.values()))
  return [m.name for m in some.fleet.rank(program, domain)[:2]]


async def test_a_turn_gets_its_line_and_nothing_else():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    await fleet.turn('n2', 'b', parent='a')
    await fleet.turn('n1', 'c', parent='a')
    await fleet.turn('s1', 'd', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<c>'
    assert fleet.get_body('d') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<d>'


async def test_another_program_continues_after_all_daemons_were_lost():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    await fleet.turn('n1', 'b', parent='a')
    await fleet.stop('n1')
    await fleet.stop('n2')
    await fleet.start('n3')
    await fleet.turn('n3', 'c', parent='b', program='q')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


async def test_a_turn_larger_than_a_row_is_kept_whole():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.events = 500
    _, body = await fleet.turn('n1', 'a', most=5000, budget=10**6)
    await fleet.stop('n1')
    await fleet.start('n2')
    await fleet.turn('n2', 'b', parent='a', budget=10**6)
    assert fleet.get_body('b').count(b'\n') == body.count(b'data:') == 500


async def test_an_unknown_turn_is_refused_and_not_run():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('n1', 'b', parent='nobody')
    assert caught.value.status == 503
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert fleet.engines.sent == []


async def test_the_budget_holds_through_all_daemons_at_once():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    names = ['n1', 'n2', 's1'] * 4
    results = await asyncio.gather(
      *(
        fleet.turn(name, f'r{number}', most=10, budget=30)
        for number, name in enumerate(names)
      ),
      return_exceptions=True,
    )
    # Each turn is given 6 tokens of the 10 set aside for it.
    given = sum(6 for result in results if isinstance(result, tuple))
    assert 0 < given <= 30
    for result in results:
      if isinstance(result, errors.WoadrunError):
        assert result.ran is errors.Ran.NOT_RUN


async def test_a_spent_budget_is_said_so_after_a_loss_of_all_daemons():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    for id in ('a', 'b'):
      await fleet.turn('n1', id, most=10, budget=18)
    await fleet.stop('n1')
    await fleet.start('n2')
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('n2', 'd', most=10, budget=18)
    assert caught.value.status == 402


async def test_programs_go_on_while_the_store_is_out_and_it_learns_of_it():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    fleet.shared.is_out = True
    await fleet.turn('n2', 'b', parent='a')
    await fleet.turn('n1', 'c', parent='b')
    await fleet.turn('n1', 'new', program='q')
    fleet.shared.is_out = False
    await nodes.wait_until(
      lambda: not any(n.programs.unsaved for n in fleet.by_name.values())
    )
    await nodes.wait_until(
      lambda: (
        not any(
          entry.needs_flush
          for item in fleet.by_name.values()
          for entry in item.programs.entry_by_program.values()
        )
      )
    )
    await fleet.stop('n1')
    await fleet.stop('n2')
    await fleet.start('n3')
    await fleet.turn('n3', 'd', parent='c')
    assert fleet.get_body('d').startswith(b'<a>a-0\na-1\n<b>')
    spent = fleet.by_name['n3'].programs.entry_by_program['p'].ledger.spent
    assert spent == 4 * 6


async def test_a_turn_outlasts_all_daemons_of_its_domain_in_an_outage():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    fleet.shared.is_out = True
    await fleet.turn('n1', 'b', parent='a')
    south = fleet.by_name['s1'].programs
    await nodes.wait_until(lambda: 'b' in south.unsaved)
    await fleet.stop('n1')
    await fleet.stop('n2')
    fleet.shared.is_out = False
    await nodes.wait_until(lambda: not south.unsaved)
    north = await fleet.start_alone('n3')
    await nodes.wait_until(lambda: north.is_ready() and north.store.is_direct)
    await fleet.turn('n3', 'c', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


async def test_the_standby_goes_on_when_the_owner_dies_in_an_outage():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 'n3')
    await fleet.turn('n1', 'a')
    fleet.shared.is_out = True
    await fleet.turn('n1', 'b', parent='a')
    owner, standby = owner_of(fleet, 'p')
    await fleet.stop(owner)
    await fleet.turn(standby, 'c', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


async def spend_all(fleet, name, prefix):
  """Returns how many turns of a budget of 86 run before one is refused."""
  for number in range(20):
    try:
      await fleet.turn(name, f'{prefix}{number}', most=10, budget=86)
    except errors.WoadrunError as error:
      assert error.ran is errors.Ran.NOT_RUN
      return number
  raise AssertionError('Nothing was refused.')


async def test_the_whole_budget_may_be_spent_in_an_outage_while_all_are_heard():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a', most=10, budget=86)
    fleet.shared.is_out = True
    done = await spend_all(fleet, 'n1', 'b')
    assert 86 - 10 < 6 + done * 6 <= 86


async def test_half_of_the_budget_is_left_to_a_domain_out_of_sight():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a', most=10, budget=86)
    fleet.shared.is_out = True
    await fleet.turn('n1', 'b', most=10, budget=86)
    await fleet.stop('s1')
    north = [fleet.by_name['n1'], fleet.by_name['n2']]
    await nodes.wait_until(lambda: all(n.fleet.find_silent() for n in north))
    done = await spend_all(fleet, 'n1', 'c')
    # Half of what was left as the domain went out of sight.
    assert 0 < done * 6 <= (86 - 12) / 2


async def test_a_daemon_that_the_store_turns_away_goes_through_a_peer():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    fleet.view_by_name['s1'].is_cut = True
    await fleet.turn('s1', 'a', program='q')
    await fleet.turn('s1', 'b', program='q', parent='a')
    assert fleet.get_body('b') == b'<a>a-0\na-1\n<b>'
    assert not fleet.by_name['s1'].programs.unsaved


async def test_an_answer_of_the_store_that_is_lost_does_not_count_twice():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await fleet.turn('n1', 'a', most=10, budget=100)
    fleet.shared.loses_answers = True
    await fleet.turn('n1', 'b', most=10, budget=100)
    fleet.shared.loses_answers = False
    await fleet.turn('n1', 'c', most=10, budget=100)
    entry = fleet.by_name['n1'].programs.entry_by_program['p']
    assert entry.ledger.spent == 18


async def test_a_torn_stream_is_no_turn_and_costs_what_was_given():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.make_torn_reply())
    with pytest.raises(exchange.Lost):
      await fleet.turn('n1', 'a', most=10)
    with pytest.raises(errors.WoadrunError):
      await fleet.turn('n1', 'b', parent='a', most=10)
    entry = fleet.by_name['n1'].programs.entry_by_program['p']
    await nodes.wait_until(lambda: entry.ledger.spent == 3)


async def test_a_domain_cut_off_delivers_what_runs_and_the_store_gets_it():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a')
    south = fleet.by_name['s1']
    task = asyncio.ensure_future(fleet.turn('s1', 'b', parent='a'))
    await nodes.wait_until(lambda: fleet.get_body('b'))
    # The cut: no word to the other domain, none to the store.
    fleet.view_by_name['s1'].is_cut = True
    south.store.is_direct = False
    south.fleet.member_by_name.pop('n1')
    south.fleet.heard_by_name.clear()
    status, body = await task
    assert (status, body.count(b'data:')) == (200, 2)
    fleet.view_by_name['s1'].is_cut = False
    await nodes.wait_until(lambda: not south.programs.unsaved)
    await fleet.turn('n1', 'c', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


async def test_a_turn_of_an_outage_is_stored_by_one_of_those_that_keep_it():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    fleet.shared.is_out = True
    names = [f'a{number}' for number in range(6)]
    for name in names:
      await fleet.turn('n1', name, program=name)
    kept = [item.programs.unsaved for item in fleet.by_name.values()]
    await nodes.wait_until(
      lambda: all(name in each for name in names for each in kept)
    )
    fleet.clear_calls()
    fleet.shared.is_out = False
    await nodes.wait_until(lambda: not any(kept))
    stored = [name for name in fleet.get_written() if name in names]
    # The programs have the names of their turns.
    rows = fleet.find_calls('turns')
  assert set(stored) == set(names)
  assert rows == [('change', 'turns')] * len(names)


async def test_a_turn_is_stored_by_another_one_where_the_first_forgot_it():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    fleet.shared.is_out = True
    await fleet.turn('n1', 'a')
    first = fleet.by_name['n1'].fleet.rank('p', 'north')[0].name
    second = fleet.by_name['n2' if first == 'n1' else 'n1'].programs
    await nodes.wait_until(lambda: 'a' in second.unsaved)
    # It started again meanwhile.
    forgetful = fleet.by_name[first].programs
    forgetful.unsaved.drop('a')
    forgetful.cache._turn_by_request.clear()
    forgetful.cache._until_by_request.clear()
    fleet.clear_calls()
    fleet.shared.is_out = False
    await nodes.wait_until(lambda: not second.unsaved)
    assert fleet.get_written().count('a') == 1


async def test_a_store_that_is_silent_holds_up_the_first_turn_only():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    asked = []

    async def hang(*_, **__):
      asked.append(1)
      await asyncio.sleep(0.3)
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE, 'no answer in time'
      )

    for view in fleet.view_by_name.values():
      view.change = view.read = view.follow = hang
    await fleet.turn('n1', 'b', parent='a')
    await nodes.wait_until(
      lambda: not any(n.store.is_direct for n in fleet.by_name.values())
    )
    for item in fleet.by_name.values():
      item.store.direct = None
    await fleet.turn('n1', 'c', parent='b')
    assert fleet.get_body('c').endswith(b'<c>')


async def test_other_domains_find_the_home_while_the_store_is_out():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    fleet.shared.is_out = True
    await fleet.turn('s1', 'b', parent='a')
    assert fleet.get_body('b') == b'<a>a-0\na-1\n<b>'
    # Its budget is counted in one place.
    counts = [
      item.programs.entry_by_program['p'].ledger.spent
      for item in fleet.by_name.values()
      if 'p' in item.programs.entry_by_program
    ]
    assert max(counts) == 12


async def test_a_planned_stop_hands_programs_over_for_the_next_outage():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    for id, parent in (('a', ''), ('b', 'a')):
      await fleet.turn('n1', id, parent=parent)
    # A daemon that is new knows nothing of the program.
    await fleet.start('n3')
    await asyncio.gather(*(fleet.by_name[n].leave() for n in ('n1', 'n2')))
    fleet.shared.is_out = True
    await fleet.stop('n1')
    await fleet.stop('n2')
    await fleet.turn('n3', 'c', parent='b')
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<b>b-0\nb-1\n<c>'


async def test_a_row_that_another_daemon_wrote_is_checked_before_it_is_used():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await fleet.turn('n1', 'a', most=10, budget=100)
    key, row = next(
      (key, row)
      for key, row in fleet.shared.row_by_key.items()
      if key.table == 'programs'
    )
    stored = msgspec.json.decode(row.value)
    spent = msgspec.json.encode({**stored, 'settled': 95, 'reserved': {}})
    await fleet.shared.change(writes=[(key, spent)])
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('n1', 'b', most=10, budget=100)
    assert caught.value.status == 402
    assert fleet.get_body('b') is None


async def test_turns_and_programs_whose_time_is_over_leave_the_store():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.events = 600
    await fleet.turn('n1', 'a', most=9000, budget=10**6)
    keys = [k for k in fleet.shared.row_by_key if k.table in KEPT_TABLES]
    # The turn lies in two pieces.
    assert len(keys) == 3
    sweeper = fleet.by_name['n1'].sweeper
    now = time.time()
    for at, left in ((now + 100, 3), (now + 200, 1), (now + 4000, 0)):
      for key in keys:
        await sweeper.sweep(key.table, key.part, now=at)
      rows_left = [k for k in fleet.shared.row_by_key if k.table in KEPT_TABLES]
      assert len(rows_left) == left


async def test_a_slow_store_holds_up_the_end_of_a_turn_but_not_its_start():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await fleet.turn('n1', 'a')
    fleet.shared.delay = 0.5
    await fleet.turn('n1', 'b', parent='a')
    running = asyncio.ensure_future(fleet.turn('n1', 'c', parent='b'))
    writes = fleet.shared.writes
    await nodes.wait_until(lambda: fleet.get_body('c'))
    # It was sent before any write that it needs was done.
    assert fleet.shared.writes == writes
    await running
    fleet.shared.delay = 0.0
    await nodes.wait_until(
      lambda: (
        not any(
          entry.needs_flush
          for item in fleet.by_name.values()
          for entry in item.programs.entry_by_program.values()
        )
      )
    )
    await fleet.stop('n1')
    await fleet.stop('n2')
    await fleet.start('n3')
    await fleet.turn('n3', 'd', parent='c')
    entry = fleet.by_name['n3'].programs.entry_by_program['p']
    assert entry.ledger.spent == 4 * 6


async def test_a_new_owner_learns_what_was_spent_in_an_outage():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await fleet.turn('n1', 'a', most=10, budget=100)
    fleet.shared.is_out = True
    for id in ('b', 'c', 'd'):
      await fleet.turn('n1', id, most=10, budget=100)
    # A daemon that starts now, and has the first claim on the program, finds
    # only one turn in the store.
    old = fleet.by_name['n1'].programs
    old._is_first = lambda program: False
    fleet.shared.is_out = False
    await fleet.start('n2')
    ask = turn_messages.OpenTurn(program='p', request='e', most=10, budget=100)
    new = fleet.by_name['n2'].programs
    await new.open(ask)
    assert new.entry_by_program['p'].ledger.spent == 4 * 6 + 10


async def test_a_program_in_calm_times_reads_nothing_and_writes_twice_a_turn():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.clear_calls()
    await fleet.turn('n1', 'a')
    await fleet.turn('n1', 'b', parent='a')
    found = fleet.find_calls(*KEPT_TABLES)
    each = [('change', 'programs'), ('change', 'turns')]
    assert sorted(found) == sorted(each * 2)


async def test_a_first_turn_of_a_program_that_is_known_keeps_what_it_spent():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a')
    await fleet.stop('n1')
    await fleet.start_alone('n2')
    await nodes.wait_until(lambda: fleet.by_name['n2'].is_ready())
    await fleet.turn('n2', 'b')
    entry = fleet.by_name['n2'].programs.entry_by_program['p']
    assert entry.ledger.spent == 12


async def test_members_are_not_behind_once_the_store_has_each_turn():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    await fleet.turn('n1', 'b', parent='a')
    everyone = list(fleet.by_name.values())
    # The standby and the other domain have their copies of the last turn.
    await nodes.wait_until(
      lambda: all(n.programs.cache.get('b') is not None for n in everyone)
    )
    assert all('p' in n.programs.entry_by_program for n in everyone)
    assert not any(n.programs.is_behind for n in everyone)


async def test_a_turn_that_nobody_has_costs_one_read_in_calm_times():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a')
    fleet.clear_calls()
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('n1', 'b', parent='none')
    assert caught.value.status == 503
    assert fleet.find_calls('turns') == [('read', 'turns')]


async def test_a_daemon_that_ran_the_turn_before_is_sent_no_history():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    for name in ('n1', 'n2', 's1'):
      posted = []
      calls = fleet.by_name[name].calls
      post = calls.post

      async def note(
        address, path, message, *, post=post, posted=posted, **rest
      ):
        posted.append((message, await post(address, path, message, **rest)))
        return posted[-1][1]

      calls.post = note
      program = f'p-{name}'
      await fleet.turn(name, f'{name}-a', program=program)
      await fleet.turn(name, f'{name}-b', program=program, parent=f'{name}-a')
      expected = f'<{name}-a>{name}-a-0\n{name}-a-1\n<{name}-b>'.encode()
      assert fleet.get_body(f'{name}-b') == expected
      asked = [
        (message, answer)
        for message, answer in posted
        if getattr(message, 'parent', '')
      ]
      assert all(m.is_brief and not a.history for m, a in asked)
      # Another daemon has to be told.
      other = 's1' if name == 'n1' else 'n1'
      await fleet.turn(other, f'{name}-c', program=program, parent=f'{name}-a')
      assert fleet.get_body(f'{name}-c') == expected.replace(b'-b>', b'-c>')


def test_recent_lines_are_bounded_and_the_oldest_go_first():
  lines = recent_lines.RecentLines()
  opened = turn_messages.OpenedTurn(history=b'x' * 300_000)
  for name in 'abcd':
    lines.note(opened, turn_messages.Turn(request=name, program='p'))
  assert lines.get('a') is None
  assert lines.get('d').line == ('d',)
  lines.note(opened, turn_messages.Turn(request='d', program='p'))
  assert lines.get('b') is not None
