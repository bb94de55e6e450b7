"""Accepted edits of the table reach all daemons soon and never revert."""

import asyncio
import time

import fleet as fleets
from hypothesis import given
from hypothesis import strategies

from woadrun import errors
from woadrun.version import rows

# Required bound for an edit to be in effect at all daemons.
PROPAGATION_LIMIT_SECONDS = 3.0


async def get_versions(fleet):
  dumps = [await fleet.dump(n) for n in fleet.nodes]
  return [d['configuration']['version'] for d in dumps if d]


async def test_edit_is_in_effect_at_all_daemons_within_the_bound(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnsswww') as fleet:
    for weight in (2.0, 3.0, 4.0):
      version = await fleet.edit(fleet.nodes[0], riders={'weight': weight})
      accepted = time.monotonic()
      await fleet.wait_version(version)
      assert time.monotonic() - accepted < PROPAGATION_LIMIT_SECONDS
    statuses = await fleet.make_operator(fleet.nodes[3]).ask(
      'GET', '/operate/table/status'
    )
  assert {v['version'] for v in statuses} == {version}
  assert len(statuses) == 7


async def test_one_of_several_concurrent_edits_wins(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nns') as fleet:
    operators = [fleet.make_operator(n) for n in fleet.nodes]
    table = await operators[0].ask('GET', '/operate/table')
    before = next(r for r in table['rows'] if r['key'] == 'riders')

    def edit(operator, weight):
      change = {'key': 'riders', 'before': before,
                'after': {**before, 'weight': weight}}  # fmt: skip
      return operator.ask('POST', '/operate/table', {'changes': [change]})

    results = await asyncio.gather(
      *(edit(o, 10.0 + i) for i, o in enumerate(operators)),
      return_exceptions=True,
    )
    won = [r for r in results if not isinstance(r, BaseException)]
    lost = [r for r in results if isinstance(r, errors.WoadrunError)]
    await fleet.wait_version(won[0]['version'])
    final = await operators[2].ask('GET', '/operate/table')
  assert len(won) == 1 and len(lost) == 2
  weight = next(r for r in final['rows'] if r['key'] == 'riders')['weight']
  for error in lost:
    assert error.code == 'table_conflict' and error.place == 'riders'
    assert error.details[0]['before']['weight'] == 1.0
    assert error.details[0]['after']['weight'] == weight


async def test_lost_response_neither_duplicates_nor_loses_an_edit(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    first = (await get_versions(fleet))[0]
    fleet.outside.platform.faults.lose = 1
    version = await fleet.edit(fleet.nodes[0], riders={'weight': 5.0})
    await fleet.wait_version(version)
    again = await fleet.edit(fleet.nodes[1], crews={'weight': 6.0})
  assert version == first + 1
  assert again == version + 1


async def test_edit_that_cannot_be_stored_is_not_accepted(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    before = await get_versions(fleet)
    fleet.outside.platform.faults.down = True
    operator = fleet.make_operator(fleet.nodes[0])
    operator._patience = 0.0
    change = {'key': 'new', 'before': None, 'after': {'key': 'new'}}
    error = await fleets.get_refusal(
      operator.ask('POST', '/operate/table', {'changes': [change]})
    )
    assert await get_versions(fleet) == before
    fleet.outside.platform.faults.down = False
    bad = {**change, 'after': {'key': 'new', 'weight': -1}}
    fault = await fleets.get_refusal(
      operator.ask('POST', '/operate/table', {'changes': [bad]})
    )
  assert error.code == 'platform_unavailable'
  assert fault.code == 'bad_request' and 'weight' in fault.details[0]


async def test_daemon_that_starts_during_an_outage_gets_the_newest_table(
  tmp_path,
):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    old, *others = fleet.nodes
    old.kill()
    await old.process.wait()
    version = await fleet.edit(others[0], riders={'weight': 7.0})
    await fleet.wait_version(version, *others)
    fleet.outside.platform.faults.down = True
    text = old.config.read_text()
    seeds = ', '.join(f'"{n.address}"' for n in others)
    old.config.write_text(
      text.replace('[daemon]', f'[daemon]\nseeds = [{seeds}]')
    )
    await fleet.start(old)
    await fleet.wait_version(version, old)
    # The daemon forwards requests, and serves nothing from an older table.
    found = await fleet.make_client(old).start('riders', 500)
    error = await fleets.get_refusal(fleet.make_client(old).start('x', 500))
  assert found['budget'] == 500
  assert error.code == 'unknown_team'


async def test_domain_cut_off_from_the_platform_receives_edits(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnss') as fleet:
    north, south = fleet.nodes[:2], fleet.nodes[2:]
    fleet.cut_platform(*south)
    version = await fleet.edit(north[0], riders={'weight': 8.0})
    await fleet.wait_version(version)
    # Cut off from north as well, south keeps its version and catches up after
    # the partition heals.
    fleet.cut(north, south)
    later = await fleet.edit(north[0], riders={'weight': 9.0})
    await fleet.wait_version(later, *north)
    dumps = [await fleet.dump(n) for n in south]
    assert {d['configuration']['version'] for d in dumps} == {version}
    fleet.heal()
    await fleet.wait_version(later)


row_data = strategies.fixed_dictionaries(
  {
    'key': strategies.from_regex(r'[a-z]{1,5}(/[a-z]{1,3})?', fullmatch=True),
    'weight': strategies.floats(0.01, 1000),
    'concurrency': strategies.integers(0, 10**6),
    'models': strategies.sampled_from(['*', 'a', 'a b']),
  }
)


@given(data=strategies.lists(row_data, unique_by=lambda r: r['key']))
def test_table_survives_a_csv_round_trip(data):
  table = {r['key']: rows.Row.model_validate(r) for r in data}
  assert rows.from_csv(rows.to_csv(table), file='x') == table


@given(
  one=strategies.lists(row_data, unique_by=lambda r: r['key']),
  two=strategies.lists(row_data, unique_by=lambda r: r['key']),
)
def test_applied_changes_turn_the_old_table_into_the_new_one(one, two):
  old = {r['key']: rows.Row.model_validate(r) for r in one}
  new = {r['key']: rows.Row.model_validate(r) for r in two}
  changes = tuple(rows.find_changes(old, new))
  edit = rows.Edit(version=1, write_id='', author='', time=0, changes=changes)
  assert rows.with_edit(old, edit) == new
  assert not list(rows.find_conflicts(old, changes))
  is_conflict = bool(list(rows.find_conflicts(new, changes)))
  assert is_conflict == bool(changes)


async def test_new_daemon_during_an_outage_gets_the_table_from_its_seeds(
  tmp_path,
):
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    newest = (await get_versions(fleet))[0]
    seeds = [n.address for n in fleet.nodes]
    fleet.outside.platform.faults.down = True
    new = await fleet.add('north', ('north',), daemon={'seeds': seeds})
    await fleet.wait_version(newest, new)
    found = await fleet.make_client(new).start('riders', 500)
  assert found['budget'] == 500
