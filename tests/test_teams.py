"""Keys of teams: authentication, forwarded headers and isolation of teams."""

import asyncio
import logging

import msgspec
import nodes
import pytest
import test_ingress
import test_platform_store

from woadrun import errors
from woadrun.connection import rows
from woadrun.platform import operator
from woadrun.process import feed
from woadrun.version import teams

RED, BLUE = 'red-key-that-is-secret', 'blue-key-that-is-secret'
PUBLIC = {
  'name': 'open',
  'host': 'h',
  'path_prefix': '/open/',
  'kind': 'idempotent',
  'service': 'tools',
  'public': True,
}


def make_config(version=1, **keys_by_team):
  keys_by_team = keys_by_team or {'red': [RED], 'blue': [BLUE]}
  return {
    **nodes.CONFIG,
    'version': version,
    'routes': [*nodes.CONFIG['routes'], PUBLIC],
    'tenants': [
      {'name': name, 'api_keys': keys} for name, keys in keys_by_team.items()
    ],
  }


def get_status(found):
  return int(found.split(b' ')[1])


def make_head(*lines, path='/look/x'):
  return test_ingress.make_head(*lines, path=path)


@pytest.mark.parametrize(
  'lines',
  [
    (),
    ('Authorization: Token unknown',),
    (f'Authorization: Bearer {RED}',),
    (f'Authorization: {RED}',),
    (f'Authorization: Token {RED}', f'Authorization: Token {BLUE}'),
    ('Tenant: red',),
  ],
  ids=['none', 'unknown', 'scheme', 'no scheme', 'two keys', 'name only'],
)
async def test_request_without_a_known_key_is_rejected(lines):
  async with (
    nodes.Nodes(config=make_config()) as fleet,
    test_ingress.serve(fleet) as port,
  ):
    found = await test_ingress.talk(port, make_head(*lines))
    assert get_status(found) == 401
    assert fleet.engines.sent == []


async def test_instance_receives_the_team_and_never_the_key():
  async with (
    nodes.Nodes(config=make_config()) as fleet,
    test_ingress.serve(fleet) as port,
  ):
    lines = (f'Authorization: Token {RED}', 'Tenant: blue', 'tenant: green')
    found = await test_ingress.talk(port, make_head(*lines))
    assert get_status(found) == 200
    sending = fleet.engines.sent[0]
    sent = dict(test_ingress.wire.encode_headers(sending))
    assert sent['Tenant'] == 'red'
    assert RED not in repr(sending)
    assert RED not in repr(sent)
    assert 'Authorization' not in sent


async def test_a_public_route_needs_no_key():
  async with (
    nodes.Nodes(config=make_config()) as fleet,
    test_ingress.serve(fleet) as port,
  ):
    head = make_head('Tenant: red', path='/open/x')
    assert get_status(await test_ingress.talk(port, head)) == 200
    sent = dict(test_ingress.wire.encode_headers(fleet.engines.sent[0]))
    assert 'Tenant' not in sent


async def test_headers_are_forwarded_unchanged_without_teams():
  async with nodes.Nodes() as fleet, test_ingress.serve(fleet) as port:
    head = make_head('Authorization: Token x', 'Tenant: y')
    assert get_status(await test_ingress.talk(port, head)) == 200
    sent = dict(test_ingress.wire.encode_headers(fleet.engines.sent[0]))
    assert (sent['Authorization'], sent['Tenant']) == ('Token x', 'y')


def test_sealed_row_contains_no_key():
  sealed = operator.hash_api_keys(msgspec.json.encode(make_config()))
  assert RED.encode() not in sealed
  table = operator.decode(sealed)
  assert table.team_by_digest[teams.digest_key(RED)].name == 'red'


@pytest.mark.parametrize('value', [b'{', b'{"tenants": 3}', b'[]', b''])
def test_sealed_row_of_invalid_value_is_empty(value):
  assert operator.hash_api_keys(value) == b''


async def test_newly_added_key_is_accepted():
  """A daemon with an outdated table refreshes it before it refuses a key."""
  async with nodes.Nodes(config=make_config()) as fleet:
    await fleet.start('n1')
    table = fleet.by_name['n1'].catalogue._table_feed
    table.should_follow = lambda: False
    await asyncio.sleep(feed.RECONNECT_POLL_TIMEOUT_SECONDS)
    await fleet.configure(make_config(2, red=[RED], green=['new']))
    request = nodes.make_request('a', path='/look/', key='new')
    assert (await fleet.ask('n1', request))[0] == 200
    assert fleet.engines.sent[0].team == 'green'


async def test_unknown_key_during_store_outage_is_refused_as_retryable():
  async with nodes.Nodes(config=make_config()) as fleet:
    await fleet.start('n1')
    fleet.view_by_name['n1'].is_cut = True
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', nodes.make_request('a', path='/look/', key='new'))
    assert caught.value.status == 503
    assert caught.value.ran is errors.RunStatus.NOT_RUN
    assert fleet.engines.sent == []


async def test_no_second_attempt_with_a_revoked_key():
  async with nodes.Nodes(config=make_config()) as fleet:
    await fleet.start('n1')
    served = fleet.by_name['n1']
    fleet.engines.faults = [nodes.make_reply(status=503, has_run=False)]
    choose = served.loads.choose
    without_red = msgspec.json.encode(make_config(2, blue=[BLUE]))

    def choose_and_revoke(*args, **options):
      served.catalogue.apply_table(operator.hash_api_keys(without_red))
      return choose(*args, **options)

    served.loads.choose = choose_and_revoke
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', nodes.make_request('a', path='/look/', key=RED))
    assert caught.value.status == 401
    assert len(fleet.engines.sent) == 1


async def test_teams_that_swap_keys_keep_their_own_turns():
  async with nodes.Nodes(config=make_config()) as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a', key=RED)
    await fleet.configure(make_config(2, red=[BLUE], blue=[RED]))
    await nodes.wait_until(
      lambda: all(d.catalogue.version == 2 for d in fleet.by_name.values())
    )
    with pytest.raises(errors.WoadrunError):
      await fleet.turn('s1', 'b', parent='a', key=RED)
    await fleet.turn('s1', 'c', parent='a', key=BLUE)
    assert fleet.get_body('c') == b'<a>a-0\na-1\n<c>'
    assert fleet.get_body('b') is None


@pytest.mark.parametrize('name', ['n1', 's1'])
@pytest.mark.parametrize('is_store_out', [False, True])
async def test_turn_of_another_team_is_reported_as_unknown(name, is_store_out):
  async with nodes.Nodes(config=make_config()) as fleet:
    await fleet.start('n1', 'n2', 's1')
    await fleet.turn('n1', 'a', key=RED)
    if is_store_out:
      for view in fleet.view_by_name.values():
        view.is_cut = True
    statuses = {}
    for id, parent in (('b', 'a'), ('c', 'never'), ('d', 'red:a')):
      with pytest.raises(errors.WoadrunError) as caught:
        await fleet.turn(name, id, parent=parent, key=BLUE, program='q')
      statuses[id] = (caught.value.status, caught.value.code)
      assert fleet.get_body(id) is None
    assert statuses['b'] == statuses['c'] == statuses['d']


async def test_teams_with_the_same_program_id_have_separate_budgets():
  async with nodes.Nodes(config=make_config()) as fleet:
    await fleet.start('n1')
    for key in (RED, BLUE):
      for number in range(2):
        await fleet.turn('n1', f'{key}{number}', budget=12, most=6, key=key)
      with pytest.raises(errors.WoadrunError) as caught:
        await fleet.turn('n1', f'{key}-last', budget=12, most=6, key=key)
      assert caught.value.status == 402


async def test_no_key_is_logged_exported_or_sent_to_other_daemons(caplog):
  caplog.set_level(logging.DEBUG)
  async with (
    nodes.Nodes(config=make_config()) as fleet,
    test_ingress.serve(fleet) as port,
  ):
    for key in (RED, 'wrong-key'):
      head = make_head(f'Authorization: Token {key}')
      await test_ingress.talk(port, head)
    served = fleet.by_name['n1']
    copy = await served.feeds.answer(
      nodes.node.turn_messages.FeedQuery(table='op')
    )
    outputs = [served.counters.encode(), msgspec.json.encode(copy)]
    for secret in (RED, BLUE, 'wrong-key'):
      assert secret not in caplog.text
      assert not any(secret.encode() in text for text in outputs)


async def test_keys_expire_while_the_table_is_unreadable():
  async with nodes.Nodes(config=make_config(), revocation=5.0) as fleet:
    await fleet.start('n1')
    request = nodes.make_request('a', path='/look/', key=RED)
    assert (await fleet.ask('n1', request))[0] == 200
    await fleet.configure({'version': 'two'})
    known = fleet.by_name['n1'].catalogue
    await nodes.wait_until(lambda: not known.is_fresh())
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', request)
    assert caught.value.code is errors.Code.TABLE_TOO_OLD
    await fleet.configure(make_config(3))
    await nodes.wait_until(known.is_fresh)


async def test_team_without_keys_is_refused():
  async with nodes.Nodes(config=make_config()) as fleet:
    await fleet.start('n1')
    await fleet.configure(make_config(2, red=[], blue=[BLUE]))
    await nodes.wait_until(lambda: fleet.by_name['n1'].catalogue.version == 2)
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', nodes.make_request('a', path='/look/', key=RED))
    assert caught.value.status == 401


def test_scoped_ids_of_different_teams_never_collide():
  pairs = [('a', 'b:c'), ('a:b', 'c'), ('', 'a:b:c'), ('a%3Ab', 'c')]
  names = [teams.scope(team, id) for team, id in pairs]
  assert len(set(names)) == len(pairs)
  assert teams.scope(None, 'a') == 'a'
  assert teams.scope('a', '') == ''


async def test_store_adapter_returns_no_key():
  async with test_platform_store.serve() as (client, kept):
    value = msgspec.json.encode(make_config())
    await kept.change(writes=[(rows.Key('op', '', 'config'), value)])
    await kept.change(writes=[(rows.Key('other', '', 'x'), b'{')])
    page = await client.read('op', '')
    changes = await client.follow('op', after=0, wait=0.1)
    for row in (*page.rows, *changes.rows):
      assert RED.encode() not in row.value
      assert operator.decode(row.value).team_by_digest
    assert (await client.read('other', '')).rows[0].value == b'{'
