"""Distribution of the store's changes from few followers to all daemons."""

import dataclasses
import json
import math
import sys
import time

import msgspec
import nodes
import pytest

from woadrun.connection import packing
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.platform import operator
from woadrun.process import feed
from woadrun.process import feed_sync
from woadrun.process.store import row_messages
from woadrun.standins import rows as standin

NAMES = ('n1', 'n2', 'n3', 'n4', 'n5')
ENTRY = json.dumps(nodes.make_entry()).encode()


def key(id):
  return rows.Key('servers', '', id)


def find_followers(fleet):
  """Returns the names of daemons that follow the store for instances."""
  return [
    name
    for name, view in fleet.view_by_name.items()
    if ('follow', 'servers') in view.calls
  ]


def find_knowing(fleet, id):

  return [
    name
    for name, item in fleet.by_name.items()
    if id in item.catalogue.directory.by_id
  ]


async def wait_for_leaders(fleet):
  """Waits until the domain has the intended number of leaders."""
  await nodes.wait_until(
    lambda: (
      sum(
        item.feeds.should_follow('servers') for item in fleet.by_name.values()
      )
      == feed_sync.LEADERS_PER_DOMAIN
    )
  )


async def test_changes_reach_all_although_few_follow_the_store():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await wait_for_leaders(fleet)
    # By then, former followers have received their last response.
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    await nodes.wait_until(lambda: len(find_knowing(fleet, 'e3')) == len(NAMES))
    fleet.clear_calls()
    for number in range(4, 8):
      await fleet.shared.change(writes=[(key(f'e{number}'), ENTRY)])
      await nodes.wait_until(
        lambda n=number: len(find_knowing(fleet, f'e{n}')) == len(NAMES)
      )
    assert len(find_followers(fleet)) <= feed_sync.LEADERS_PER_DOMAIN
    await fleet.shared.change(removes=[key('e3')])
    await nodes.wait_until(lambda: not find_knowing(fleet, 'e3'), seconds=2.0)


async def test_another_daemon_follows_after_the_leaders_stopped():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await wait_for_leaders(fleet)
    leaders = [
      name
      for name, item in fleet.by_name.items()
      if item.feeds.should_follow('servers')
    ]
    for name in leaders:
      await fleet.stop(name)
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    rest = len(NAMES) - len(leaders)
    await nodes.wait_until(
      lambda: len(find_knowing(fleet, 'e3')) == rest, seconds=3.0
    )


async def test_other_daemons_take_over_from_leaders_without_the_store():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await wait_for_leaders(fleet)
    leaders = [
      name
      for name, item in fleet.by_name.items()
      if item.feeds.should_follow('servers')
    ]
    for name in leaders:
      fleet.view_by_name[name].is_cut = True
      fleet.by_name[name].store.is_direct = False
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    await nodes.wait_until(
      lambda: len(find_knowing(fleet, 'e3')) == len(NAMES), seconds=4.0
    )


async def test_a_new_configuration_reaches_all():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await wait_for_leaders(fleet)
    newer = msgspec.json.encode({**nodes.CONFIG, 'version': 9})
    place = rows.Key('op', '', 'config')
    await fleet.shared.change(writes=[(place, newer)])
    await nodes.wait_until(
      lambda: all(n.catalogue.version == 9 for n in fleet.by_name.values()),
      seconds=2.0,
    )


def record_announcements(fleet):
  """Returns a list of the daemons that announce a change, by name.

  With each name goes whether the daemon follows the table in the store at that
  moment.  Heartbeats are sent as usual, and those that no change of a table
  caused are not recorded.
  """
  found = []

  def watch(name, item):
    send = item.fleet.send_heartbeats

    def record(table):
      found.append((name, item.feeds.should_follow(table)))

    def send_heartbeats():
      caller = sys._getframe(1).f_globals['__name__']
      if caller == feed_sync.__name__:
        record('servers')
      send()

    item.fleet.send_heartbeats = send_heartbeats
    for table, each in item.feeds._feed_by_table.items():
      each.on_change = lambda _table=table: record(_table)

  for name, item in fleet.by_name.items():
    watch(name, item)
  return found


async def test_only_daemons_that_follow_the_store_announce_a_change():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await wait_for_leaders(fleet)
    await fleet.shared.change(writes=[(key('e3'), ENTRY)])
    await nodes.wait_until(lambda: len(find_knowing(fleet, 'e3')) == len(NAMES))
    leaders = {
      n for n, d in fleet.by_name.items() if d.feeds.should_follow('servers')
    }
    source = fleet.by_name[min(leaders)]
    other = fleet.by_name[min(set(NAMES) - leaders)]
    found = record_announcements(fleet)
    await fleet.shared.change(writes=[(key('e4'), ENTRY)])
    await nodes.wait_until(lambda: leaders <= set(find_knowing(fleet, 'e4')))
    item = other.feeds._feed_by_table['servers']
    await other.feeds._fetch(item, source.fleet.me)
    assert 'e4' in other.catalogue.directory.by_id
    assert {name for name, _ in found} == leaders
    assert all(is_follower for _, is_follower in found)


async def test_a_hub_announces_changes_learned_from_a_peer_to_its_domain():
  async with nodes.Nodes() as fleet:
    await fleet.start(*NAMES)
    await wait_for_leaders(fleet)
    leaders = {
      n for n, d in fleet.by_name.items() if d.feeds.should_follow('servers')
    }
    source = fleet.by_name[min(leaders)]
    hub = fleet.by_name[min(set(NAMES) - leaders)]
    found = record_announcements(fleet)
    hub.fleet._hubs._hub_since = 0.0
    await fleet.shared.change(writes=[(key('e5'), ENTRY)])
    await nodes.wait_until(lambda: leaders <= set(find_knowing(fleet, 'e5')))
    item = hub.feeds._feed_by_table['servers']
    await hub.feeds._fetch(item, source.fleet.me)
    assert hub.config.name in {name for name, _ in found}


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


def test_after_a_list_is_read_again_peers_get_only_what_changed():
  """The store discarded its history, so that followers read the whole table."""
  listed = []
  known = make_feed(listed)
  assert known.apply_changes(make_list(10, a=1, b=2, c=3))
  assert known.find_changes(5).is_list
  assert known.apply_changes(make_list(15, a=1, c=12, d=14))
  assert len(listed) == 2
  changes = known.find_changes(10)
  assert not changes.is_list
  assert {row.key.name: row.is_removed for row in changes.rows} == {
    'b': True,
    'c': False,
    'd': False,
  }
  assert known.newest_change == 15
  # A daemon that missed the second list gets the same rows.
  other = make_feed([])
  other.apply_changes(make_list(10, a=1, b=2, c=3))
  other.apply_changes(changes)
  assert set(other.find_changes(None).rows) == set(
    known.find_changes(None).rows
  )


def test_a_list_without_changes_triggers_no_fetches():
  known = make_feed([])
  known.apply_changes(make_list(10, a=1, b=2))
  assert not known.apply_changes(make_list(20, a=1, b=2))
  assert (known.version, known.newest_change) == (20, 10)
  assert known.find_changes(10).rows == ()


def test_a_row_missing_from_one_list_is_restored_by_the_next():
  known = make_feed([])
  known.apply_changes(make_list(10, a=1, b=2))
  known.apply_changes(make_list(20, a=1))
  known.apply_changes(make_list(30, a=1, b=25))
  changes = known.find_changes(10)
  assert [(row.key.name, row.is_removed) for row in changes.rows] == [
    ('b', False)
  ]


class PagedStore(standin.MemoryRowStore):
  """Returns one row a page; `changes` are awaited, one after each page."""

  def __init__(self):
    super().__init__()
    self.changes = []

  async def read(self, *args, **options):
    page = await super().read(*args, **options)
    if self.changes:
      await self.changes.pop(0)
    is_cut = len(page.rows) > 1
    return dataclasses.replace(page, rows=page.rows[:1], is_cut=is_cut)


@pytest.mark.parametrize('is_removed', [False, True])
async def test_change_of_a_page_already_read_is_not_missed(is_removed):
  """Guards against requests to an instance that has long left."""
  store = PagedStore()
  await store.change(writes=[(key(id), b'old') for id in 'ab'])
  options = (
    {'removes': [key('a')]} if is_removed else {'writes': [(key('a'), b'new')]}
  )
  store.changes.append(store.change(**options))
  by_name = {}

  def apply(row):
    by_name[row.key.name] = b'' if row.is_removed else row.value

  known = feed.Feed(
    store=store,
    table='servers',
    on_list=lambda found: [apply(row) for row in found],
    on_row=apply,
    wait=0.0,
  )
  await known.read()
  await known.refresh()
  assert by_name == {'a': b'' if is_removed else b'new', 'b': b'old'}


async def test_an_outage_in_one_domain_is_not_adopted_by_others():
  """Guards against requests to an instance long after it has left.

  A domain regained contact with the store after a cut and announced that.
  Other domains, which had contact all the time, adopted the outage and treated
  an entry that was removed just then as one that had expired in it: they kept
  it for two seconds, and requests reached the instance 2.03 to 2.08 s after it
  had announced its departure.  The domain that was cut off followed the store
  again at 22.14 s, the instance left at 22.20 s, and all other domains dropped
  it at 24.71 to 25.17 s.
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
    await north.feeds._fetch(known, far.fleet.me)
    assert known.regained_at == -math.inf
    # The outage applies if a peer in the own domain had it, or if the store
    # does not serve this VM.
    await north.feeds._fetch(known, near.fleet.me)
    assert known.regained_at > -math.inf
    known.regained_at = -math.inf
    north.store.is_direct = False
    await north.feeds._fetch(known, far.fleet.me)
    assert known.regained_at > -math.inf


def make_large_config():
  route = nodes.CONFIG['routes'][0]
  more = [
    {**route, 'name': f'more-{n}', 'path_prefix': f'/more-{n}/'}
    for n in range(1_500)
  ]
  return {**nodes.CONFIG, 'version': 9, 'routes': [*more, route]}


async def test_a_large_table_is_sent_and_stored_compressed():
  """Guards against large messages when a table is sent to many daemons at once.

  An uncompressed table of 1,500 routes, 0.4 MB, was sent to 22 daemons of a
  domain at once.  The sender held a copy for each of them, and links of 30
  Mbit/s were busy for more than two seconds.
  """
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 'n3')
    config = make_large_config()
    await fleet.configure(config)
    await nodes.wait_until(
      lambda: all(n.catalogue.version == 9 for n in fleet.by_name.values())
    )
    written = operator.hash_api_keys(msgspec.json.encode(config))
    for item in fleet.by_name.values():
      copy = await item.feeds.answer(turn_messages.FeedQuery(table='op'))
      assert len(msgspec.msgpack.encode(copy)) < len(written) / 5
      (row,) = (row_messages.decode_row(found) for found in copy.rows)
      assert packing.unpack(row).value == written
      assert item.catalogue.table.match('h', '/more-7/x').name == 'more-7'
