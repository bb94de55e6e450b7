"""Few daemons follow the store; all know what it tells."""

import json
import math
import time

import msgspec
import nodes

from woadrun.connection import packing
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.platform import operator
from woadrun.process import feed
from woadrun.process import feed_sync
from woadrun.process import store_access

NAMES = ('n1', 'n2', 'n3', 'n4', 'n5')
ENTRY = json.dumps(nodes.make_entry()).encode()


def key(id):
  return rows.Key('servers', '', id)


def find_followers(fleet):
  """Returns the names of daemons that follow instances in the store."""
  return [
    name
    for name, view in fleet.view_by_name.items()
    if ('follow', 'servers') in view.calls
  ]


def knows(fleet, id):
  return [
    name
    for name, item in fleet.by_name.items()
    if id in item.catalogue.directory.by_id
  ]


async def settle(fleet):
  """Returns once each domain has as many leaders as it should."""
  await nodes.wait_until(
    lambda: (
      sum(item.feeds.leads('servers') for item in fleet.by_name.values())
      == feed_sync.LEADERS
    )
  )


async def test_changes_reach_all_although_few_follow_the_store():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await settle(fleet)
    # Who followed before has its last answer by now.
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    await nodes.wait_until(lambda: len(knows(fleet, 'e3')) == len(NAMES))
    fleet.clear_calls()
    for number in range(4, 8):
      await fleet.shared.change(writes=[(key(f'e{number}'), ENTRY)])
      await nodes.wait_until(
        lambda n=number: len(knows(fleet, f'e{n}')) == len(NAMES)
      )
    assert len(find_followers(fleet)) <= feed_sync.LEADERS
    await fleet.shared.change(removes=[key('e3')])
    await nodes.wait_until(lambda: not knows(fleet, 'e3'), seconds=2.0)


async def test_another_daemon_follows_when_the_leaders_are_gone():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await settle(fleet)
    leaders = [
      name
      for name, item in fleet.by_name.items()
      if item.feeds.leads('servers')
    ]
    for name in leaders:
      await fleet.stop(name)
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    rest = len(NAMES) - len(leaders)
    await nodes.wait_until(lambda: len(knows(fleet, 'e3')) == rest, seconds=3.0)


async def test_a_leader_without_the_store_leaves_it_to_others():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await settle(fleet)
    leaders = [
      name
      for name, item in fleet.by_name.items()
      if item.feeds.leads('servers')
    ]
    for name in leaders:
      fleet.view_by_name[name].is_cut = True
      fleet.by_name[name].store.is_direct = False
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    await nodes.wait_until(
      lambda: len(knows(fleet, 'e3')) == len(NAMES), seconds=4.0
    )


async def test_a_new_configuration_reaches_all():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await settle(fleet)
    newer = msgspec.json.encode({**nodes.CONFIG, 'version': 9})
    place = rows.Key('op', '', 'config')
    await fleet.shared.change(writes=[(place, newer)])
    await nodes.wait_until(
      lambda: all(n.catalogue.version == 9 for n in fleet.by_name.values()),
      seconds=2.0,
    )


def count_tellings(fleet):
  """Returns the names of daemons that send datagrams for a change."""
  found = []
  for name, item in fleet.by_name.items():
    for each in item.feeds._feed_by_table.values():
      each.on_change = lambda _name=name: found.append(_name)
    item.fleet.send_beats = lambda _name=name: found.append(_name)
  return found


async def test_only_who_follows_the_store_tells_of_a_change():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await settle(fleet)
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    await nodes.wait_until(lambda: len(knows(fleet, 'e3')) == len(NAMES))
    leaders = {n for n, d in fleet.by_name.items() if d.feeds.leads('servers')}
    source = fleet.by_name[min(leaders)]
    other = fleet.by_name[min(set(NAMES) - leaders)]
    found = count_tellings(fleet)
    await fleet.shared.change(writes=[(key('e4'), ENTRY)])
    await nodes.wait_until(lambda: leaders <= set(knows(fleet, 'e4')))
    item = other.feeds._feed_by_table['servers']
    await other.feeds._ask(item, source.fleet.me)
    assert 'e4' in other.catalogue.directory.by_id
    assert set(found) <= leaders


async def test_a_hub_tells_its_domain_what_it_learned_of_a_peer():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await settle(fleet)
    leaders = {n for n, d in fleet.by_name.items() if d.feeds.leads('servers')}
    source = fleet.by_name[min(leaders)]
    hub = fleet.by_name[min(set(NAMES) - leaders)]
    found = count_tellings(fleet)
    hub.fleet._hubs._hub_since = 0.0
    await fleet.shared.change(writes=[(key('e5'), ENTRY)])
    await nodes.wait_until(lambda: leaders <= set(knows(fleet, 'e5')))
    item = hub.feeds._feed_by_table['servers']
    await hub.feeds._ask(item, source.fleet.me)
    assert hub.config.name in found


def make_feed(listed):
  return feed.Feed(
    store=None, table='servers', on_list=listed.append, on_row=lambda row: None
  )


def make_list(version, **versions):
  return feed.Changes(
    rows=tuple(
      rows.Row(key=key(id), value=b'x', version=each)
      for id, each in versions.items()
    ),
    version=version,
    is_list=True,
    regained=None,
  )


def test_a_list_read_anew_tells_others_what_changed_alone():
  """The store forgot its history: who follows it reads its table as a whole."""
  listed = []
  known = make_feed(listed)
  assert known.take_changes(make_list(10, a=1, b=2, c=3))
  assert known.find_changes(5).is_list
  assert known.take_changes(make_list(15, a=1, c=12, d=14))
  assert len(listed) == 2
  told = known.find_changes(10)
  assert not told.is_list
  assert {row.key.name: row.is_removed for row in told.rows} == {
    'b': True,
    'c': False,
    'd': False,
  }
  assert known.changed == 15
  # One that missed the list in between is told as well.
  other = make_feed([])
  other.take_changes(make_list(10, a=1, b=2, c=3))
  other.take_changes(told)
  assert set(other.find_changes(None).rows) == set(
    known.find_changes(None).rows
  )


def test_a_list_with_nothing_new_has_nobody_ask():
  known = make_feed([])
  known.take_changes(make_list(10, a=1, b=2))
  assert not known.take_changes(make_list(20, a=1, b=2))
  assert (known.version, known.changed) == (20, 10)
  assert known.find_changes(10).rows == ()


def test_a_row_that_comes_back_after_a_list_without_it_is_there_again():
  known = make_feed([])
  known.take_changes(make_list(10, a=1, b=2))
  known.take_changes(make_list(20, a=1))
  known.take_changes(make_list(30, a=1, b=25))
  told = known.find_changes(10)
  assert [(row.key.name, row.is_removed) for row in told.rows] == [('b', False)]


async def test_the_return_of_a_domain_that_was_cut_off_is_none_for_others():
  """Requests reached an instance 2.03 to 2.08 s after it had said it leaves.

  A domain had been cut off from the store and told as it had it again.  Others,
  which had had the store all the time, took that for a return of the store, and
  an entry that was removed just then for one that had lapsed in an outage: they
  kept it for two seconds.  Their logs: "Following servers" in the domain that
  was cut off at 22.14 s, the instance leaves at 22.20 s, "stayed missing and is
  gone" at 24.71 to 25.17 s in all others.
  """
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    north, near, far = (fleet.by_name[name] for name in ('n1', 'n2', 's1'))
    known, *others = (
      next(f for f in item.catalogue.feeds if f.table == 'servers')
      for item in (north, near, far)
    )
    for other in others:
      other.regained_at = time.monotonic()
    await north.feeds._ask(known, far.fleet.me)
    assert known.regained_at == -math.inf
    # Its own domain lost it as well, or this VM did.
    await north.feeds._ask(known, near.fleet.me)
    assert known.regained_at > -math.inf
    known.regained_at = -math.inf
    north.store.is_direct = False
    await north.feeds._ask(known, far.fleet.me)
    assert known.regained_at > -math.inf


def make_large_config():
  route = nodes.CONFIG['routes'][0]
  more = [
    {**route, 'name': f'more-{n}', 'path_prefix': f'/more-{n}/'}
    for n in range(1_500)
  ]
  return {**nodes.CONFIG, 'version': 9, 'routes': [*more, route]}


async def test_a_large_table_is_handed_on_and_kept_compressed():
  """A table of 1,500 routes, 0.4 MB, went to 22 daemons of a domain at once.

  The one that told it held a copy for each of them, and links of 30 Mbit/s were
  busy for more than two seconds.
  """
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 'n3')
    config = make_large_config()
    await fleet.configure(config)
    await nodes.wait_until(
      lambda: all(n.catalogue.version == 9 for n in fleet.by_name.values())
    )
    written = operator.seal(msgspec.json.encode(config))
    for item in fleet.by_name.values():
      copy = await item.feeds.answer(turn_messages.AskFeed(table='op'))
      assert len(msgspec.msgpack.encode(copy)) < len(written) / 5
      (row,) = (store_access.get_row(found) for found in copy.rows)
      assert packing.unpack(row).value == written
      assert item.catalogue.table.match('h', '/more-7/x').name == 'more-7'
