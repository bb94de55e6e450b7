"""Bytes of other writers end no daemon, stop no feed and prevent no start.

Each border where others write gets odd values, and arbitrary and mutated bytes.
"""

import asyncio
import json
import logging
import socket

import hypothesis
from hypothesis import strategies
import msgspec
import nodes
import pytest

from woadrun import decoding
from woadrun import errors
from woadrun.connection import attempt_reports
from woadrun.connection import endpoints
from woadrun.connection import engine
from woadrun.connection import http
from woadrun.connection import packing
from woadrun.connection import peers
from woadrun.connection import response_ends
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.platform import discovery
from woadrun.platform import operator
from woadrun.platform import store
from woadrun.process import datagram_calls
from woadrun.process import datagrams
from woadrun.process import fleet_heartbeats
from woadrun.process import peer_messages
from woadrun.process import program_copies
from woadrun.process import registration
from woadrun.process.store import line_expiries
from woadrun.process.store import sweeper
from woadrun.process.store import turn_store
from woadrun.request import gateway

DEPTH = 20_000
ENTRY = nodes.make_entry(zone='north')
MEMBER = {'address': '127.0.0.1:9', 'domain': 'north', 'incarnation': 'x'}


def nest(entry, *, brackets, is_closed=True):
  """Returns an entry with one more field, which is nested deep."""
  opening, closing = brackets
  inner = opening * DEPTH + (closing * DEPTH if is_closed else '')
  return f'{json.dumps(entry)[:-1]}, "odd": {inner}}}'.encode()


def make_odd_entries(entry):
  return {
    'nested arrays': nest(entry, brackets='[]'),
    'nested objects': nest(entry, brackets=('{"a":', '}')),
    'not closed': nest(entry, brackets='[]', is_closed=False),
    'large number': json.dumps({**entry, 'odd': 7})
    .replace('7}', '1e400}')
    .encode(),
    'many digits': json.dumps({**entry, 'odd': 7})
    .replace('7}', '9' * 4000 + '}')
    .encode(),
    'empty': b'',
    'null': b'null',
    'binary': bytes(range(256)),
    'surrogate': json.dumps(entry).replace('north', '\\ud800').encode(),
  }


ODD_ADDRESSES = (
  '127.0.0.1:70000',
  '127.0.0.1:0',
  '127.0.0.1:-5',
  '127.0.0.1:١٢',
  '127.0.0.1:',
  '127.0.0.1:' + '9' * 5000,
  '٧٧.0.0.1:9',
  '0.0.0.0:9',
  '224.0.0.1:9',
  '255.255.255.255:9',
  'localhost:9',
  '',
)
ODD_FIELDS = (
  *({'address': address} for address in ODD_ADDRESSES),
  {'slots': 0},
  {'slots': 2**63},
  {'slots': 2**64 - 1},
  {'born': 2**64 - 1},
  {'zone': 'x' * 100_000},
  {'zone': 'no\0rth'},
  {'service': ''},
  {'state': 'odd'},
)


def decode_entry(value):
  return discovery.decode(
    rows.Row(key=rows.Key('servers', '', 'odd'), value=value)
  )


@pytest.mark.parametrize('fields', ODD_FIELDS, ids=lambda item: str(item)[:40])
def test_an_entry_of_no_possible_instance_is_rejected(fields):
  with pytest.raises(decoding.MalformedData) as caught:
    decode_entry(msgspec.json.encode({**ENTRY, **fields}))
  assert len(str(caught.value)) < 400


def decode_member(address):
  value = msgspec.json.encode({**MEMBER, 'address': address})
  return decoding.decode_json(value, type=registration.MemberRow)


# The platform has IPv4 addresses only.
@pytest.mark.parametrize('address', ['[::1]:80', '::1:80'])
def test_rows_name_no_ipv6_address(address):
  with pytest.raises(decoding.MalformedData):
    decode_member(address)
  with pytest.raises(decoding.MalformedData):
    decode_entry(msgspec.json.encode({**ENTRY, 'address': address}))


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_an_address_of_no_process_is_rejected(address):
  with pytest.raises(ValueError):
    endpoints.check(address)
  with pytest.raises(decoding.MalformedData):
    decode_member(address)


@pytest.mark.parametrize(
  'address', ['127.0.0.1:1', '10.0.0.1:65535', '[::1]:80', '192.168.1.2:8080']
)
def test_an_address_of_a_process_is_accepted(address):
  endpoints.check(address)


async def write_odd_rows(fleet):
  """Writes rows of another writer to the tables that daemons follow."""
  for table, entry in (
    ('servers', ENTRY),
    ('members', MEMBER),
    ('crash_places', {'fingerprint': 'f', 'incarnation_id': 'i'}),
    ('op', {'version': 2}),
  ):
    odd = make_odd_entries(entry)
    await fleet.shared.change(
      writes=[
        (rows.Key(table, '', f'odd-{number}'), value)
        for number, value in enumerate(odd.values())
      ]
    )
  await fleet.shared.change(
    writes=[
      (
        rows.Key('members', '', f'odd-address-{number}'),
        msgspec.json.encode({**MEMBER, 'address': address}),
      )
      for number, address in enumerate(ODD_ADDRESSES)
    ]
  )


# Guards against one row of another writer that ends all daemons.
@pytest.mark.parametrize('is_before', [True, False])
async def test_daemons_go_on_beside_odd_rows(is_before):
  async with nodes.Nodes() as fleet:
    if is_before:
      await write_odd_rows(fleet)
    await fleet.start('n1', 's1')
    if not is_before:
      await write_odd_rows(fleet)
    entry = msgspec.json.encode(nodes.make_entry(service='tools'))
    await fleet.shared.change(writes=[(rows.Key('servers', '', 't9'), entry)])
    for daemon in fleet.by_name.values():
      directory = daemon.catalogue.directory
      await nodes.wait_until(lambda found=directory: 't9' in found.by_id)
      assert daemon.is_ready()
      assert not daemon.crashed
      await nodes.wait_until(
        lambda found=daemon: (
          found.catalogue.rejections.count >= 5
          and found.registration.rejections.count >= len(ODD_ADDRESSES)
        )
      )
    status, _ = await fleet.turn('n1', 'r1')
    assert status == 200


@pytest.mark.parametrize('name', make_odd_entries(ENTRY))
async def test_an_odd_routing_table_leaves_the_current_one(name):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    odd = make_odd_entries({**nodes.CONFIG, 'version': 'x'})[name]
    await fleet.shared.change(
      writes=[(rows.Key('op', '', 'config'), operator.hash_api_keys(odd))]
    )
    await asyncio.sleep(0.3)
    assert fleet.by_name['n1'].is_ready()
    status, _ = await fleet.turn('n1', 'r1')
    assert status == 200


# Guards against a handler of rows that ends the feed with it.
async def test_a_feed_goes_on_after_an_error_of_its_reader(caplog):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    put = daemon.catalogue.directory.put

    def fail_once(instance):
      if instance.id == 'odd':
        raise RuntimeError('odd')
      put(instance)

    daemon.catalogue.directory.put = fail_once
    for id in ('odd', 't9'):
      entry = msgspec.json.encode(nodes.make_entry(service='tools'))
      await fleet.shared.change(writes=[(rows.Key('servers', '', id), entry)])
    await nodes.wait_until(lambda: 't9' in daemon.catalogue.directory.by_id)
    assert daemon.is_ready()
  assert any('Rejected row of servers odd' in line for line in caplog.messages)


# Guards against a daemon that calls itself ready without one of its services.
async def test_a_daemon_with_a_crashed_service_is_not_ready():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    await daemon.sweeper.crash(RuntimeError('odd'))
    assert not daemon.is_ready()


# Guards against rows that end the service which removes old ones.
async def test_rows_of_other_writers_are_left_by_the_sweeper():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    odd = [b'', b'x', b'\xff' * 20, *make_odd_entries(MEMBER).values()]
    for table in (turn_store.TABLE, sweeper.program_rows.TABLE):
      await fleet.shared.change(
        writes=[
          (rows.Key(table, '00', f'odd-{number}/{suffix}'), value)
          for number, value in enumerate(odd)
          for suffix in ('', 'x', '١', '9' * 100)
          if suffix or number
        ]
      )
    await fleet.shared.change(
      writes=[(rows.Key(line_expiries.TABLE, '00', 'odd'), b'x')]
    )
    for table in (
      turn_store.TABLE,
      sweeper.program_rows.TABLE,
      line_expiries.TABLE,
    ):
      await daemon.sweeper.sweep(table, '00', now=1e12)


# --- Datagrams ---------------------------------------------------------------


def make_datagrams(entry):
  return [
    msgspec.json.encode(entry),
    *(
      msgspec.json.encode({**entry, 'address': address})
      for address in ODD_ADDRESSES
    ),
    *make_odd_entries(entry).values(),
  ]


async def send_datagrams(address, found):
  """Sends datagrams, each after the one before could be received."""
  with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
    for data in found:
      if len(data) <= 60_000:
        sender.sendto(data, endpoints.split(address))
        await asyncio.sleep(0.005)


# Guards against a datagram that closes the socket, or ends its reader.
async def test_daemons_go_on_after_odd_datagrams():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    heartbeat = {'name': 'odd', 'address': '127.0.0.1:9', 'domain': 'north'}
    target = fleet.by_name['n1'].config.peers_address
    for kind in (b'b', b'c', b'f', b'r', b'k', b'q', b'a', b'?', b''):
      await send_datagrams(
        target, [kind + d for d in make_datagrams(heartbeat)]
      )
    call = {'id': '1', 'reply_to': '127.0.0.1:70000', 'path': 'feed'}
    await send_datagrams(target, [b'q' + msgspec.msgpack.encode(call)])
    reports = attempt_reports.AttemptReports(
      (), reply_to='127.0.0.1:70000', id=1
    )
    await send_datagrams(target, [b'r' + msgspec.json.encode(reports)])
    daemon = fleet.by_name['n1']
    await nodes.wait_until(lambda: daemon.fleet.datagrams.rejections.count > 20)
    await asyncio.sleep(1.5)
    for daemon in fleet.by_name.values():
      assert daemon.is_ready()
      assert not daemon.fleet.find_silent_domains()
    status, _ = await fleet.turn('n1', 'r1')
    assert status == 200


async def test_rejected_datagrams_are_logged_at_a_bounded_rate(caplog):
  socket_ = datagrams.Datagrams(address='127.0.0.1:1')
  socket_.handle(b'r', lambda data: decoding.decode_json(data, type=int))
  with caplog.at_level(logging.ERROR):
    for _ in range(100):
      socket_._receive(b'r' + b'"' + b'x' * 5000 + b'"')
  assert socket_.rejections.count == 100
  assert len(caplog.messages) == decoding.MAX_LOGGED_LINES
  assert all(len(message) < 600 for message in caplog.messages)


# --- Answers -----------------------------------------------------------------


def make_reply(body):
  return http.Reply(status=200, body=body, etag=None)


NESTED = b'[' * DEPTH + b']' * DEPTH


def test_a_malformed_row_leaves_the_others_of_its_page():
  good = b'{"table":"t","tls_key":"%b","value":"eA==","ver":%d}'
  for odd in (
    b'{"table":"t","tls_key":"o","value":' + NESTED + b',"ver":2}',
    b'{"table":"t","tls_key":"o","value":1e400,"ver":2}',
    b'{"table":"t","tls_key":"o","value":{"a":[1]},"ver":2}',
    b'{"table":"t","tls_key":"o","value":"%%%","ver":2}',
    b'{"table":"t","tls_key":"o]}{[\\"","value":"","ver":2,"x":'
    + NESTED
    + b'}',
    b'{"table":"t","tls_key":"o","value":"","ver":"x"}',
    b'{}',
  ):
    body = b'{"now_ms":7,"rows":[%b,%b,%b],"ver":9,"truncated":true}' % (
      good % (b'a', 1),
      odd,
      good % (b'b', 3),
    )
    page = store._get_page(store._decode(make_reply(body)))
    names = [row.key.name for row in page.rows if row.value]
    assert names == ['a', 'b']
    assert (page.version, page.is_cut, page.clock) == (9, True, 0.007)


@pytest.mark.parametrize(
  'body', [b'', b'x', b'{"rows":[', NESTED, b'{"rows":7}']
)
def test_a_malformed_page_is_an_error_of_the_store(body):
  with pytest.raises(errors.WoadrunError):
    store._decode(make_reply(body))


@pytest.mark.parametrize('codec', [msgspec.json, msgspec.msgpack])
def test_a_malformed_answer_of_a_daemon_is_its_error(codec):
  links = peers.Peers(session=None, key='', codec=codec)
  for body in (b'', NESTED, b'\x91' * DEPTH, b'\xc1'):
    for status in (200, 500):
      with pytest.raises(errors.WoadrunError):
        error = links.decode(status, body, turn_messages.FeedCopy)
        raise error if status != 200 else AssertionError


async def test_a_malformed_message_of_a_daemon_is_refused():
  async def answer(message):
    raise AssertionError

  for codec in (msgspec.json, msgspec.msgpack):
    handler = peer_messages.make_handler(
      turn_messages.FeedQuery, answer, codec=codec
    )
    for body in (b'', NESTED, b'\x91' * DEPTH, b'\xc1'):
      assert (await handler(body)).status == 400


def test_a_body_that_is_nested_deep_is_refused():
  with pytest.raises(errors.WoadrunError) as caught:
    gateway.decode_json(NESTED, list)
  assert caught.value.code is errors.Code.BAD_JSON
  assert not response_ends._is_delimited_json(NESTED)
  assert errors.from_body(NESTED).code is errors.Code.INTERNAL
  with pytest.raises(decoding.MalformedData):
    engine.read_answer([b'{"choices":' + NESTED + b'}'])


def test_a_compressed_value_that_is_cut_or_huge_is_rejected(monkeypatch):
  key = rows.Key('t', '', 'x')
  packed = packing.pack(rows.Row(key=key, value=b'x' * 10_000))
  assert packing.unpack(packed).value == b'x' * 10_000
  monkeypatch.setattr(packing, 'MAX_VALUE_BYTES', 9_999)
  for value in (b'', b'x', packed.value[:-3], packed.value):
    with pytest.raises(decoding.MalformedData):
      packing.unpack(rows.Row(key=key, value=value, is_packed=True))


# --- Arbitrary and mutated bytes ---------------------------------------------

HEARTBEAT = fleet_heartbeats.FleetHeartbeat(
  name='n9', address='127.0.0.1:9', domain='north', feeds={'op': 3}
)
REPORTS = attempt_reports.AttemptReports(
  (
    attempt_reports.AttemptReport(
      'f' * 32, 'i', attempt_reports.State.LOST, 0.5
    ),
  ),
  reply_to='127.0.0.1:9',
)
CALL = datagram_calls.Call(id=7, reply_to='127.0.0.1:9', path='feed', body=b'x')


def expect(*allowed):
  """Returns a check that a reader raises none but its documented errors."""

  def check(read, data):
    try:
      read(data)
    except allowed:
      pass

  return check


check_malformed = expect(decoding.MalformedData)
check_error = expect(errors.WoadrunError)
BORDERS = {
  'entry': (check_malformed, decode_entry, msgspec.json.encode(ENTRY)),
  'table': (
    check_malformed,
    operator.decode,
    msgspec.json.encode(nodes.CONFIG),
  ),
  'keys': (
    expect(),
    operator.hash_api_keys,
    b'{"tenants":[{"name":"a","api_keys":["k"]}]}',
  ),
  'member': (
    check_malformed,
    lambda data: decoding.decode_json(data, type=registration.MemberRow),
    msgspec.json.encode(MEMBER),
  ),
  'heartbeat': (
    check_malformed,
    lambda data: decoding.decode_json(
      data, type=fleet_heartbeats.FleetHeartbeat
    ),
    msgspec.json.encode(HEARTBEAT),
  ),
  'reports': (
    check_malformed,
    lambda data: decoding.decode_json(
      data, type=attempt_reports.AttemptReports
    ),
    msgspec.json.encode(REPORTS),
  ),
  'call': (
    check_malformed,
    lambda data: decoding.decode_msgpack(data, type=datagram_calls.Call),
    msgspec.msgpack.encode(CALL),
  ),
  'copy': (expect(), program_copies.decode_datagram, b'\x80'),
  'page': (
    check_error,
    lambda data: store._get_page(store._decode(make_reply(data))),
    b'{"rows":[{"table":"op","tls_key":"config","value":"e30=","ver":1}]}',
  ),
  'body': (
    check_error,
    lambda data: gateway.decode_json(data, dict),
    b'{"a": 1}',
  ),
  'answer': (
    check_error,
    lambda data: http.decode(data, type=attempt_reports.ReportsReceived),
    b'[1, "n1", []]',
  ),
  'error': (
    expect(),
    errors.from_body,
    errors.WoadrunError(errors.Code.BAD_REQUEST, 'x').get_body(),
  ),
  'event': (
    check_malformed,
    lambda data: engine.read_answer([data]),
    b'{"choices":[{"delta":{"content":"x"}}]}',
  ),
  'expiry': (
    expect(),
    lambda data: line_expiries.is_expired(data, now=1.0),
    b'\0' * 16,
  ),
  'first turn': (
    expect(),
    lambda data: turn_store.find_first_turn(data, name='x'),
    b'\0' * 20,
  ),
  'packed': (
    check_malformed,
    lambda data: packing.unpack(
      rows.Row(key=rows.Key('t', '', 'x'), value=data, is_packed=True)
    ),
    packing.zlib.compress(b'x' * 5000),
  ),
}
ODD_PARTS = (
  b'[' * DEPTH,
  b'{"a":' * DEPTH,
  b'\x91' * DEPTH,
  b'1e400',
  b'9' * 5000,
  b'-1',
  b'\xff',
  b'"\\ud800"',
  b'null',
  b'',
)


@pytest.mark.parametrize('border', BORDERS)
@hypothesis.given(data=strategies.data())
@hypothesis.settings(max_examples=150, deadline=None)
def test_arbitrary_bytes_raise_only_the_documented_error(border, data):
  check, read, valid = BORDERS[border]
  drawn = data.draw(
    strategies.one_of(
      strategies.binary(max_size=200),
      strategies.sampled_from(ODD_PARTS),
      mutate(valid),
    )
  )
  check(read, drawn)


@strategies.composite
def mutate(draw, valid):
  """Draws valid bytes of which some parts are replaced."""
  found = valid
  for _ in range(draw(strategies.integers(1, 4))):
    start = draw(strategies.integers(0, len(found)))
    end = min(len(found), start + draw(strategies.integers(0, 12)))
    part = draw(
      strategies.one_of(
        strategies.binary(max_size=6), strategies.sampled_from(ODD_PARTS)
      )
    )
    found = found[:start] + part + found[end:]
  return found


def test_valid_bytes_pass_each_border():
  for name, (_, read, valid) in BORDERS.items():
    if name not in ('copy', 'first turn'):
      read(valid)
