"""A budget is a program's, whether its routes keep a history or not."""

import asyncio

import hypothesis
from hypothesis import strategies
import nodes
import pytest

from woadrun import errors
from woadrun.process import flusher
from woadrun.process import store_access
from woadrun.request import exchange

# What a turn is given: two events of three tokens each.
GIVEN = 6
MOST = 10


def draft(fleet, name, id, **options):
  return fleet.turn(name, id, path='/draft/', most=MOST, **options)


async def spend_all(fleet, name, prefix, **options):
  """Returns the turns that ran before one was refused, and the refusal."""
  for number in range(40):
    try:
      await draft(fleet, name, f'{prefix}{number}', **options)
    except errors.WoadrunError as error:
      return number, error
  raise AssertionError('Nothing was refused.')


async def test_turns_without_history_share_their_programs_budget():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    results = await asyncio.gather(
      *(
        draft(fleet, name, f'r{number}', budget=30)
        for number, name in enumerate(['n1', 'n2', 's1'] * 4)
      ),
      return_exceptions=True,
    )
    assert 0 < sum(GIVEN for r in results if isinstance(r, tuple)) <= 30
    for result in results:
      if not isinstance(result, tuple):
        assert result.ran is errors.Ran.NOT_RUN


async def test_turns_without_history_store_no_turn():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await draft(fleet, 'n1', 'a')
    programs = fleet.by_name['n1'].programs
    entry = programs.entry_by_program['p']
    await nodes.wait_until(
      lambda: entry.ledger.spent == GIVEN and not entry.needs_flush
    )
    page = await fleet.shared.follow('turns', after=0, wait=0.0)
    assert not page.rows
    assert not len(programs.cache)
    assert not len(fleet.by_name['s1'].programs.cache)


async def test_both_sorts_of_turn_count_together():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await draft(fleet, 'n1', 'a', budget=26)
    await fleet.turn('n2', 'b', most=MOST, budget=26)
    entries = [n.programs.entry_by_program for n in fleet.by_name.values()]
    await nodes.wait_until(
      lambda: any('p' in e and e['p'].ledger.spent == 12 for e in entries)
    )
    await draft(fleet, 'n1', 'c', budget=26)
    with pytest.raises(errors.WoadrunError) as caught:
      await draft(fleet, 'n2', 'd', budget=26)
    assert caught.value.status == 402


async def test_a_spent_budget_is_not_read_anew_for_each_refusal():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await spend_all(fleet, 'n1', 'r', budget=2 * GIVEN)
    fleet.clear_calls()
    for number in range(5):
      with pytest.raises(errors.WoadrunError) as caught:
        await draft(fleet, 'n1', f's{number}', budget=2 * GIVEN)
      assert caught.value.status == 402
    assert fleet.find_calls('programs').count(('read', 'programs')) <= 1


async def test_a_turn_that_breaks_off_counts_what_was_given():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.make_torn_reply())
    with pytest.raises(exchange.Lost):
      await draft(fleet, 'n1', 'a')
    entry = fleet.by_name['n1'].programs.entry_by_program['p']
    await nodes.wait_until(lambda: entry.ledger.spent == 3)


async def begin_anew(fleet):
  """Spends a budget of 56; then all daemons forget it as the store is lost."""
  ran, _ = await spend_all(fleet, 'n1', 'a', budget=56)
  assert ran * GIVEN <= 56
  for item in fleet.by_name.values():
    item.programs.entry_by_program.clear()
    item.programs.flusher._entry_by_program.clear()
  fleet.shared.is_out = True


async def test_a_program_that_may_have_begun_before_begins_not_anew():
  """Its owner has started anew, and the store is lost with its first call."""
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await begin_anew(fleet)
    more, refusal = await spend_all(fleet, 'n1', 'b', budget=56)
    assert refusal.ran is errors.Ran.NOT_RUN
    # No daemon remembers it: it has a part of its budget, once.  Of these turns
    # only the last one may go beyond the part.
    assert (more - 1) * GIVEN < 56 / 2


async def test_a_program_begun_anew_has_its_part_and_one_turn_once():
  """The same where the loss of the store is known before the first call."""
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await begin_anew(fleet)
    items = fleet.by_name.values()
    await nodes.wait_until(lambda: not any(i.store.is_reached for i in items))
    more, refusal = await spend_all(fleet, 'n1', 'b', budget=56)
    assert refusal.ran is errors.Ran.NOT_RUN
    # The last turn may have settled after the next one was refused.
    again, _ = await spend_all(fleet, 'n2', 'c', budget=56)
    assert 0 < (more + again - 1) * GIVEN < 56 / 2


async def test_a_domain_cut_off_has_its_part_of_a_program_it_has_not_seen():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    fleet.shared.is_out = True
    await fleet.stop('n1')
    south = fleet.by_name['s1']
    await nodes.wait_until(
      lambda: not south.store.is_reached and south.fleet.find_silent()
    )
    ran, refusal = await spend_all(fleet, 's1', 'a', budget=120)
    assert refusal.status == 503
    # Two domains: the home may spend half without the store, and this is not
    # known to be the home.
    assert 0 < ran * GIVEN <= 60


async def test_a_far_copy_tells_of_a_budget_without_history():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await draft(fleet, 'n1', 'a', budget=106)
    held_by_program = fleet.by_name['s1'].programs.entry_by_program
    await nodes.wait_until(
      lambda: (
        'p' in held_by_program and held_by_program['p'].ledger.spent == GIVEN
      )
    )
    assert held_by_program['p'].ledger.home == 'north'


STEPS = strategies.lists(
  strategies.tuples(
    strategies.sampled_from(['draft', 'chat', 'torn', 'store', 'restart']),
    strategies.sampled_from(['n1', 'n2', 's1']),
  ),
  min_size=4,
  max_size=14,
)


async def play(steps):
  """Returns the tokens that the callers of one program were given."""
  given = 0
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    for number, (step, name) in enumerate(steps):
      if step == 'store':
        fleet.shared.is_out = not fleet.shared.is_out
      elif step == 'restart':
        address = fleet.by_name[name].config.peers_address
        await fleet.stop(name)
        await fleet.start_alone(name, address=address)
      else:
        given += await take_turn(fleet, step, name, f'r{number}')
  return given


async def take_turn(fleet, step, name, id):
  if step == 'torn':
    reply = nodes.make_reply()
    reply.chunks = _tear()
    fleet.engines.faults = [reply]
  path = '/chat/' if step == 'chat' else '/draft/'
  given = 0
  request = nodes.make_request(
    id,
    path=path,
    seconds=1.0,
    turn=exchange.TurnInfo(program='p', most=MOST, budget=40, prompt=9),
  )
  try:
    async with fleet.by_name[name].serving.answer(request) as answer:
      async for chunk in answer.chunks:
        given += 3 * chunk.count(b'data:')
  except (errors.WoadrunError, exchange.Lost):
    pass
  fleet.engines.faults = []
  return given


async def _tear():
  yield b'data: x\n\n'
  raise exchange.Lost('reset')


@hypothesis.given(steps=STEPS)
@hypothesis.settings(max_examples=12)
def test_no_series_of_turns_and_faults_exceeds_a_budget(steps):
  assert asyncio.run(play(steps)) <= 40 + MOST


async def test_a_program_begun_twice_while_the_store_is_slow_has_one_budget(
  monkeypatch,
):
  """Its first turns come in through two domains."""
  monkeypatch.setattr(store_access.StoreAccess, 'is_slow', True)
  monkeypatch.setattr(flusher, 'FLUSH_INTERVAL_SECONDS', 5.0)
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')

    async def spend(name):
      given = 0
      for number in range(40):
        try:
          await fleet.turn(name, f'{name}-{number}', most=MOST, budget=60)
        except errors.WoadrunError:
          break
        given += GIVEN
      return given

    given = await asyncio.gather(spend('n1'), spend('s1'))
  assert 0 < sum(given) <= 60 + MOST
