"""Tests that turns with and without history share one budget per program."""

import asyncio

import hypothesis
from hypothesis import strategies
import nodes
import pytest

from woadrun import errors
from woadrun.process.store import flusher
from woadrun.process.store import store_access
from woadrun.request import exchange

# Tokens of a turn: two events of three tokens each.
TURN_TOKENS = 6
MAX_TURN_TOKENS = 10


def run_draft(fleet, name, id, **options):
  return fleet.turn(name, id, path='/draft/', most=MAX_TURN_TOKENS, **options)


async def spend_all(fleet, name, prefix, **options):
  """Returns the number of turns that ran before a refusal, and the refusal."""
  for number in range(40):
    try:
      await run_draft(fleet, name, f'{prefix}{number}', **options)
    except errors.WoadrunError as error:
      return number, error
  raise AssertionError('no turn was refused within the limit')


async def test_turns_without_history_share_one_budget():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    results = await asyncio.gather(
      *(
        run_draft(fleet, name, f'r{number}', budget=30)
        for number, name in enumerate(['n1', 'n2', 's1'] * 4)
      ),
      return_exceptions=True,
    )
    assert 0 < sum(TURN_TOKENS for r in results if isinstance(r, tuple)) <= 30
    for result in results:
      if not isinstance(result, tuple):
        assert result.ran is errors.RunStatus.NOT_RUN


async def test_turns_without_history_store_no_turn():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await run_draft(fleet, 'n1', 'a')
    programs = fleet.by_name['n1'].programs
    entry = programs.entry_by_program['p']
    await nodes.wait_until(
      lambda: entry.ledger.spent == TURN_TOKENS and not entry.needs_flush
    )
    page = await fleet.shared.follow('turns', after=0, wait=0.0)
    assert not page.rows
    assert not len(programs.cache)
    assert not len(fleet.by_name['s1'].programs.cache)


async def test_turns_with_and_without_history_share_one_budget():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await run_draft(fleet, 'n1', 'a', budget=26)
    await fleet.turn('n2', 'b', most=MAX_TURN_TOKENS, budget=26)
    entries = [n.programs.entry_by_program for n in fleet.by_name.values()]
    await nodes.wait_until(
      lambda: any('p' in e and e['p'].ledger.spent == 12 for e in entries)
    )
    await run_draft(fleet, 'n1', 'c', budget=26)
    with pytest.raises(errors.WoadrunError) as caught:
      await run_draft(fleet, 'n2', 'd', budget=26)
    assert caught.value.status == 402


async def test_a_spent_budget_is_not_reloaded_for_each_refusal():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await spend_all(fleet, 'n1', 'r', budget=2 * TURN_TOKENS)
    fleet.clear_calls()
    for number in range(5):
      with pytest.raises(errors.WoadrunError) as caught:
        await run_draft(fleet, 'n1', f's{number}', budget=2 * TURN_TOKENS)
      assert caught.value.status == 402
    assert fleet.find_calls('programs').count(('read', 'programs')) <= 1


async def test_an_interrupted_turn_counts_its_delivered_tokens():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.engines.faults.append(nodes.make_torn_reply())
    with pytest.raises(exchange.ResponseLost):
      await run_draft(fleet, 'n1', 'a')
    entry = fleet.by_name['n1'].programs.entry_by_program['p']
    await nodes.wait_until(lambda: entry.ledger.spent == 3)


async def spend_and_forget(fleet):
  """Spends a budget of 56, clears all daemons' memory and stops the store."""
  ran, _ = await spend_all(fleet, 'n1', 'a', budget=56)
  assert ran * TURN_TOKENS <= 56
  for item in fleet.by_name.values():
    item.programs.entry_by_program.clear()
    item.programs.flusher._entry_by_program.clear()
  fleet.shared.is_out = True


@pytest.mark.parametrize('is_known', [False, True])
async def test_a_forgotten_program_gets_nothing_without_the_store(is_known):
  """The owner has restarted, and the store fails with the first call.

  Otherwise the program would get its budget once more.
  """
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    await spend_and_forget(fleet)
    items = fleet.by_name.values()
    if is_known:
      await nodes.wait_until(
        lambda: not any(i.store.is_reachable for i in items)
      )
    for name in ('n1', 'n2'):
      ran_after, refusal = await spend_all(fleet, name, f'b{name}', budget=56)
      assert refusal.ran is errors.RunStatus.NOT_RUN
      assert (ran_after, refusal.status) == (0, 503)
    fleet.shared.is_out = False
    await nodes.wait_until(lambda: all(i.store.is_reachable for i in items))
    # Nothing is left of the budget after it.
    ran_after, refusal = await spend_all(fleet, 'n1', 'c', budget=56)
    assert (ran_after, refusal.status) == (0, 402)


async def test_a_partitioned_domain_begins_no_program():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    fleet.shared.is_out = True
    await fleet.stop('n1')
    south = fleet.by_name['s1']
    await nodes.wait_until(
      lambda: not south.store.is_reachable and south.fleet.find_silent_domains()
    )
    ran, refusal = await spend_all(fleet, 's1', 'a', budget=120)
    assert (ran, refusal.status) == (0, 503)
    fleet.shared.is_out = False
    await nodes.wait_until(lambda: south.store.is_reachable)
    # The whole budget is there after it.
    ran, refusal = await spend_all(fleet, 's1', 'b', budget=120)
    assert refusal.status == 402
    assert 120 - 2 * MAX_TURN_TOKENS < ran * TURN_TOKENS <= 120


async def test_a_remote_copy_reports_spending_without_history():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await run_draft(fleet, 'n1', 'a', budget=106)
    held_by_program = fleet.by_name['s1'].programs.entry_by_program
    await nodes.wait_until(
      lambda: (
        'p' in held_by_program
        and held_by_program['p'].ledger.spent == TURN_TOKENS
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


async def run_steps(steps):
  """Returns the tokens that the callers of one program received."""
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
        given += await run_turn(fleet, step, name, f'r{number}')
  return given


async def run_turn(fleet, step, name, id):
  if step == 'torn':
    reply = nodes.make_reply()
    reply.chunks = _stream_then_fail()
    fleet.engines.faults = [reply]
  path = '/chat/' if step == 'chat' else '/draft/'
  given = 0
  request = nodes.make_request(
    id,
    path=path,
    seconds=1.0,
    turn=exchange.TurnInfo(
      program='p', max_output=MAX_TURN_TOKENS, budget=40, prompt_tokens=9
    ),
  )
  try:
    async with fleet.by_name[name].serving.handle_request(request) as answer:
      async for chunk in answer.chunks:
        given += 3 * chunk.count(b'data:')
  except (errors.WoadrunError, exchange.ResponseLost):
    pass
  fleet.engines.faults = []
  return given


async def _stream_then_fail():
  yield b'data: x\n\n'
  raise exchange.ResponseLost('reset')


@hypothesis.given(steps=STEPS)
@hypothesis.settings(max_examples=12)
def test_no_sequence_of_turns_and_faults_exceeds_a_budget(steps):
  assert asyncio.run(run_steps(steps)) <= 40 + MAX_TURN_TOKENS


async def test_a_program_started_twice_on_a_slow_store_has_one_budget(
  monkeypatch,
):
  """The first turns of the program arrive through two domains."""
  monkeypatch.setattr(store_access.StoreAccess, 'is_slow', True)
  monkeypatch.setattr(flusher, 'FLUSH_INTERVAL_SECONDS', 5.0)
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')

    async def spend(name):
      given = 0
      for number in range(40):
        try:
          await fleet.turn(
            name, f'{name}-{number}', most=MAX_TURN_TOKENS, budget=60
          )
        except errors.WoadrunError:
          break
        given += TURN_TOKENS
      return given

    given = await asyncio.gather(spend('n1'), spend('s1'))
  assert 0 < sum(given) <= 60 + MAX_TURN_TOKENS
