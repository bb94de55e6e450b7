"""Entries of instances: incarnations, and rows with invalid contents."""

import base64
import json

import hypothesis
from hypothesis import strategies
import msgspec
import nodes
import pytest

from woadrun import decoding
from woadrun.connection import rows
from woadrun.platform import discovery
from woadrun.platform import store
from woadrun.version import instances

GOOD = {
  'service': 'models',
  'address': '10.1.2.3:80',
  'zone': 'd',
  'slots': 4,
  'state': 'ready',
  'born': 1764720000000,
  'call_seq': 7,
}


def make_row(value, *, id='e9', version=9):
  return rows.Row(key=rows.Key('servers', '', id), value=value, version=version)


def make_instance(**changes):
  return discovery.decode(make_row(json.dumps({**GOOD, **changes}).encode()))


@pytest.mark.parametrize(
  'changes',
  [
    {'service': None},
    {'service': ''},
    {'service': 7},
    {'address': 'nowhere'},
    {'address': '10.1.2.3'},
    {'address': '10.1.2.3:0'},
    {'address': '10.1.2.3:99999'},
    {'address': '10.1.2.300:80'},
    {'address': '[::1]:80'},
    {'address': '10.1.2.3:８０x'},
    {'zone': []},
    {'slots': 0},
    {'slots': '4'},
    {'slots': True},
    {'slots': 1.5},
    {'state': 'gone'},
    {'state': None},
    {'born': 1.5},
    {'born': 'then'},
    {'born': None},
    {'born': -1},
  ],
)
def test_entry_with_an_invalid_field_is_rejected(changes):
  with pytest.raises(decoding.MalformedData):
    make_instance(**changes)


@pytest.mark.parametrize(
  'name', ['service', 'address', 'zone', 'slots', 'state']
)
def test_entry_without_a_required_field_is_rejected(name):
  entry = {key: value for key, value in GOOD.items() if key != name}
  with pytest.raises(decoding.MalformedData):
    discovery.decode(make_row(json.dumps(entry).encode()))


@hypothesis.given(value=strategies.binary(max_size=60))
def test_arbitrary_bytes_are_rejected(value):
  with pytest.raises(decoding.MalformedData):
    discovery.decode(make_row(value))


@hypothesis.given(
  value=strategies.one_of(
    strategies.none(), strategies.integers(), strategies.text(max_size=9)
  )
)
def test_row_with_an_invalid_value_does_not_hide_other_rows(value):
  good = {
    'table': 't',
    'tls_key': 'a',
    'value': base64.b64encode(b'x').decode(),
    'ver': 3,
  }
  other = {'table': 't', 'tls_key': 'b', 'value': value, 'ver': 4}
  body = json.dumps({'rows': [good, other], 'ver': 4}).encode()
  reply = store.http.Reply(status=200, body=body)
  page = store._get_page(store._decode(reply))
  assert page.rows[0].value == b'x'
  assert [row.key.name for row in page.rows] == ['a', 'b']


# --- Incarnations -------------------------------------------------------------


def test_delayed_entry_of_an_older_incarnation_is_ignored():
  directory = instances.Directory(grace=1.0)
  directory.put(make_instance(born=2000))
  directory.put(make_instance(born=1000, state='draining'))
  assert directory.find('models').all[0].started_ms == 2000
  directory.remove('e9')
  directory.put(make_instance(born=1000))
  assert directory.find('models').all == ()


def test_new_incarnation_replaces_a_draining_one():
  directory = instances.Directory(grace=1.0)
  directory.put(make_instance(born=1000, state='draining'))
  assert directory.find('models').all == ()
  directory.put(make_instance(born=2000))
  assert directory.find('models').all[0].incarnation_id == 'e9.2000'
  directory.remove('e9')
  directory.put(make_instance(born=3000))
  assert directory.get_incarnation_ids() == {'e9.3000'}


async def put_entry(fleet, id, entry):
  value = entry if isinstance(entry, bytes) else msgspec.json.encode(entry)
  await fleet.shared.change(writes=[(rows.Key('servers', '', id), value)])


async def test_measurements_end_with_their_incarnation():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    entry = {**GOOD, 'address': '127.0.0.1:9'}
    await put_entry(fleet, 'e1', {**entry, 'born': 1000})
    by_id = daemon.catalogue.directory.by_id
    await nodes.wait_until(lambda: by_id['e1'].started_ms == 1000)
    before = by_id['e1'].incarnation_id
    for _ in range(5):
      daemon.loads.health.record_failure(before)
    daemon.loads.record_unreachable(before)
    assert before in daemon.loads.health.get_all_excess_failures()
    await put_entry(fleet, 'e1', {**entry, 'born': 2000})
    await nodes.wait_until(lambda: by_id['e1'].started_ms == 2000)
    assert (
      by_id['e1'].incarnation_id
      not in daemon.loads.health.get_all_excess_failures()
    )
    chosen = daemon.loads.choose(
      instances.Group([by_id['e1']]), tried=(before,)
    )
    assert chosen.started_ms == 2000


@pytest.mark.parametrize(
  'entry',
  [b'\xff\xfe', b'', b'[]', b'{"service": "models"}', {**GOOD, 'slots': 'x'}],
)
async def test_invalid_entry_does_not_affect_other_entries(entry):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    await put_entry(fleet, 'foreign', entry)
    await put_entry(fleet, 'e1', entry)
    await put_entry(
      fleet, 'e3', {**GOOD, 'address': '127.0.0.1:9', 'service': 'models'}
    )
    directory = daemon.catalogue.directory
    await nodes.wait_until(lambda: 'e3' in directory.by_id)
    assert {i.id for i in directory.find('models').all} == {'e2', 'e3'}
    assert daemon.catalogue.rejections.count == 2
    await fleet.turn('n1', 'a')


async def test_invalid_member_rows_are_ignored():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    for number, value in enumerate(
      [
        b'\xff',
        b'{}',
        b'{"address": "x", "domain": 1, "incarnation": ""}',
        b'{"address": "nowhere", "domain": "north", "incarnation": "i"}',
      ]
    ):
      key = rows.Key('members', '', f'foreign{number}')
      await fleet.shared.change(writes=[(key, value)])
    await put_entry(fleet, 'e3', {**GOOD, 'address': '127.0.0.1:9'})
    daemon = fleet.by_name['n1']
    await nodes.wait_until(
      lambda: (
        'e3' in daemon.catalogue.directory.by_id
        and 'foreign3' in daemon.registration._version_by_name
      )
    )
    assert set(daemon.fleet.member_by_name) == {'n1', 'n2'}
    await fleet.turn('n1', 'a')


async def test_turn_of_a_program_with_an_invalid_row_is_refused():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await fleet.turn('n1', 'a')
    daemon = fleet.by_name['n1']
    daemon.programs.entry_by_program.clear()
    key = rows.Key('programs', nodes.get_part('p'), 'p')
    await fleet.shared.change(writes=[(key, b'\xff')])
    with pytest.raises(nodes.errors.WoadrunError) as caught:
      await fleet.turn('n1', 'b', parent='a')
    assert caught.value.status == 503
    assert fleet.get_body('b') is None
