"""Tests of slot takeover while the platform is unavailable."""

import contextlib

import fleet as fleets

from woadrun.standins import local


@contextlib.asynccontextmanager
async def make_outage(tmp_path, domain_by_node, **sections):
  """Yields a fleet without its platform, and a program of domain north."""
  async with fleets.make_fleet(tmp_path, domain_by_node, sections) as fleet:
    caller = fleet.make_client(patience=60.0)
    name = ''
    while not name.startswith('north'):
      name = (await caller.start('riders', 50_000))['id']
    await caller.say(name, 'before', model=local.MODEL)
    fleet.outside.platform.faults.down = True
    yield fleet, caller, name


async def wait_until_copied(fleet, name, owner):
  """Returns a daemon that has a copy of a slot that `owner` claimed."""
  slot = str(int(name.split('.')[1]))
  found = []

  async def is_copied():
    found.clear()
    for node in fleet.nodes:
      dump = await fleet.dump(node)
      copy = dump and dump['owner']['slots']['standing_by'].get(slot)
      if copy and copy['claim'] and copy['owner'] == owner.address:
        found.append(node)
    return bool(found)

  await fleets.until(is_copied)
  return found[0]


async def get_user_messages(caller, name):
  history = await caller.ask('GET', f'/v1/programs/{name}/history')
  return [m['content'] for m in history['messages']][::2]


async def test_two_owners_dying_in_one_outage_lose_no_messages(tmp_path):
  async with make_outage(tmp_path, 'nnnnn') as (fleet, caller, name):
    first = await fleet.find_owner(name)
    second = await fleet.find_standby(name)
    first.kill()
    caller.addresses = [n.listen for n in fleet.nodes if n is not first]
    # The standby claims the slot and copies it to a third daemon.
    await caller.say(name, 'first is dead', model=local.MODEL)
    third = await wait_until_copied(fleet, name, second)
    assert third not in (first, second)
    await caller.say(name, 'copied', model=local.MODEL)
    # The third daemon is not in the pair of the roster, so its copy does not
    # ensure that no other daemon serves the slot; actions are refused.
    strict = fleet.make_client(third, patience=0.0)
    refusal = await fleets.get_refusal(strict.act(name, 'service-0/charge', {}))
    assert (refusal.code, refusal.ran) == ('not_committed', 'not run')
    second.kill()
    caller.addresses = [
      n.listen for n in fleet.nodes if n not in (first, second)
    ]
    await caller.say(name, 'second is dead', model=local.MODEL)
    fleet.outside.platform.faults.down = False
    await fleets.until(lambda: has_no_open_claims(fleet, third))
    await caller.act(name, 'service-0/charge', {})
    texts = await get_user_messages(caller, name)
    forks = (await fleet.dump(third))['owner']['slots']['forks']
  assert texts == ['before', 'first is dead', 'copied', 'second is dead']
  assert forks == 0


async def has_no_open_claims(fleet, node):
  dump = await fleet.dump(node)
  owned = dump['owner']['slots']['owned'].values()
  return not any(s['is_claimed'] or not s['standby'] for s in owned)


async def test_actions_resume_when_a_silent_standby_returns(tmp_path):
  async with make_outage(tmp_path, 'nnn') as (fleet, caller, name):
    owner = await fleet.find_owner(name)
    standby = await fleet.find_standby(name)
    caller.addresses = [owner.listen]
    standby.freeze()
    await caller.say(name, 'alone', model=local.MODEL)
    strict = fleet.make_client(owner, patience=0.0)
    refusal = await fleets.get_refusal(strict.act(name, 'service-0/charge', {}))
    assert refusal.ran == 'not run'
    standby.wake()
    assert await wait_until_copied(fleet, name, owner)
    await caller.act(name, 'service-0/charge', {}, request='x')
    owner.kill()
    # The standby also has the calls that the owner served without it.
    caller.addresses = [standby.listen]
    await caller.say(name, 'after', model=local.MODEL)
    assert await get_user_messages(caller, name) == ['before', 'alone', 'after']
    await caller.act(name, 'service-0/charge', {}, request='x')
    ran = fleet.outside.services[0].runs_by_id
  assert sum(ran.values()) == 1, ran


async def test_other_domains_and_distant_members_find_a_claimed_slot(tmp_path):
  sections = {'daemon': {'slots': 20}}
  async with make_outage(tmp_path, 'n' * 10 + 's', **sections) as found:
    fleet, _, name = found
    owner = await fleet.find_owner(name)
    standby = await fleet.find_standby(name)
    owner.kill()
    others = [n for n in fleet.nodes if n not in (owner, standby)]
    for node in others:
      caller = fleet.make_client(node, patience=20.0)
      await caller.say(name, node.host, model=local.MODEL)
