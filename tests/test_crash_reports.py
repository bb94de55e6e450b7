"""Tests for the reports on attempts that daemons send each other."""

import asyncio
import time

import msgspec
import pytest

from woadrun import decoding
from woadrun import errors
from woadrun.connection import attempt_reports
from woadrun.connection import peers
from woadrun.process import crash_reports
from woadrun.process import datagrams
from woadrun.process import fleet_heartbeats
from woadrun.process.load import crash_records

State = attempt_reports.State
# Records that one datagram tells.
RECORDS = 12


class Members:
  """A fleet whose datagrams are recorded as `sent`, by address."""

  def __init__(self, *, is_relaying=False):
    self.is_relaying = is_relaying
    self.me = fleet_heartbeats.Member(
      name='n1', address='at-n1', domain='north'
    )
    self.domains = {'north'}
    self.is_isolated = False
    self.datagrams = self
    self.names = ['n2']
    self.started_at_by_name = {}
    self.sent = []
    self.acknowledged = []
    self.handler_by_kind = {}

  def handle(self, kind, handler):
    self.handler_by_kind[kind] = handler

  def send(self, address, kind, data):
    assert len(data) < datagrams.MAX_DATAGRAM_BYTES
    if kind == datagrams.REPORTS_RECEIVED:
      message = msgspec.json.decode(data, type=attempt_reports.ReportsReceived)
      self.acknowledged.append((address, message))
      return
    assert kind == datagrams.ATTEMPT_REPORTS
    message = msgspec.json.decode(data, type=attempt_reports.AttemptReports)
    self.sent.append((address, message))

  def find_news_receivers(self):
    return [
      fleet_heartbeats.Member(name=name, address=f'at-{name}', domain='north')
      for name in self.names
    ]

  def find_report_receivers(self):
    return self.find_news_receivers(), []

  @property
  def member_by_name(self):
    return {m.name: m for m in (self.me, *self.find_news_receivers())}

  def is_alive(self, name):
    return True

  def get_unheard_seconds(self):
    return 0.0

  def is_domain_silent(self, domain):
    return False

  def rank(self, key, domain):
    return [m for m in self.member_by_name.values() if m.domain == domain]

  def acknowledge(self, number, *reports):
    """Acknowledges the datagram with a number in the order of `sent`."""
    address, message = self.sent[number]
    ack = attempt_reports.ReportsReceived(
      message.id, address.removeprefix('at-'), reports
    )
    self.handler_by_kind[datagrams.REPORTS_RECEIVED](msgspec.json.encode(ack))

  def get_started_at(self, name):
    return self.started_at_by_name.get(name, 0.0)

  def receive(self, *reports, hops=0):
    message = attempt_reports.AttemptReports(reports, hops)
    self.handler_by_kind[datagrams.ATTEMPT_REPORTS](
      msgspec.json.encode(message)
    )


class Rows:
  """The rows of the store: what is recorded, and whether it is written."""

  def __init__(self, *, is_lost=False):
    self.is_loaded = True
    self.is_lost = is_lost
    self.is_write_awaited = False
    self.unread_seconds = 0.0
    self.recorded = []
    self.reads = 0

  @property
  def feed(self):
    return self

  def record(self, report):
    self.recorded.append(report)

  async def read(self):
    self.reads += 1


def make(members, *, crash_rows=None, messenger=None):
  records = crash_records.CrashRecords(
    name='n1', on_change=lambda report: reports.send(report)
  )
  reports = crash_reports.CrashReports(
    members=members,
    records=records,
    messenger=messenger or Peer(),
    crash_rows=crash_rows or Rows(),
  )
  return records, reports


def report(number, state):
  return attempt_reports.AttemptReport(f'{number:032x}', 'i-1', state, 0.0)


async def test_reports_of_a_moment_share_a_datagram_and_lasting_ones_repeat():
  members = Members()
  records, _ = make(members)
  records.lose('f', 'a')
  records.resolve('a', is_ended=True)
  await asyncio.sleep(0.01)
  assert [
    [item.state for item in message.reports] for _, message in members.sent
  ] == [[State.LOST, State.ENDED]]
  await asyncio.sleep(max(crash_reports.REPEAT_DELAYS_SECONDS) + 0.1)
  repeated = [message.reports for _, message in members.sent[1:]]
  assert [[item.state for item in part] for part in repeated] == [
    [State.ENDED]
  ] * len(crash_reports.REPEAT_DELAYS_SECONDS)
  assert [part[0].age for part in repeated] == [
    pytest.approx(delay) for delay in crash_reports.REPEAT_DELAYS_SECONDS
  ]


# Guards against a daemon that starts between a report and the next one, and
# gets the old state alone, by its repetition.
@pytest.mark.parametrize('state', [State.NOT_RUN, State.SURVIVED])
async def test_a_repeated_report_tells_the_present_state(state):
  members, others = Members(), Members()
  records, _ = make(members)
  told, _ = make(others)
  records.lose('f', 'ended')
  records.resolve('ended', is_ended=True)
  with records.run('f', 'a'):
    await asyncio.sleep(0.01)
    if state is State.NOT_RUN:
      records.reject('f', 'a')
    else:
      records.lose('f', 'a')
      records.resolve('a', is_ended=False)
  await asyncio.sleep(0.01)
  members.sent.clear()
  await asyncio.sleep(max(crash_reports.REPEAT_DELAYS_SECONDS) + 0.1)
  repeated = [item for _, message in members.sent for item in message.reports]
  assert {item.state for item in repeated} == {state, State.ENDED}
  told.apply_reports(repeated)
  told.resolve('a', is_ended=True)
  # The end of an instance that lived on counts: it may have run the request.
  is_held = state is State.SURVIVED
  assert told.find_ended('f') == ['ended', *(['a'] if is_held else [])]


async def test_many_reports_are_split_into_datagrams():
  members = Members()
  _, reports = make(members)
  for number in range(3 * crash_reports.MAX_REPORTS):
    reports.send(report(number, State.LOST))
  await asyncio.sleep(0.01)
  assert len(members.sent) == 3


@pytest.mark.parametrize(
  ('is_relaying', 'hops', 'expected'),
  [(False, 0, []), (True, 0, [1]), (True, 1, [2]), (True, 2, [])],
)
async def test_hubs_pass_news_on(is_relaying, hops, expected):
  members = Members(is_relaying=is_relaying)
  records, _ = make(members)
  members.receive(report(1, State.LOST), hops=hops)
  members.receive(report(1, State.LOST), hops=hops)
  # In a large fleet the members of a domain are told, but no other domain.
  assert [message.hops for _, message in members.sent] == expected
  assert len(records) == 1


# The socket counts and logs what it rejects (test_foreign_bytes.py).
async def test_malformed_reports_are_rejected():
  members = Members()
  records, _ = make(members)
  receive = members.handler_by_kind[datagrams.ATTEMPT_REPORTS]
  for data in (b'', b'{', b'[[["f","i",99,0.0]],0]', b'[[["f"]],0]'):
    with pytest.raises(decoding.MalformedData):
      receive(data)
  assert len(records) == 0


async def test_a_new_member_is_told_of_ended_instances(monkeypatch):
  monkeypatch.setattr(crash_reports, 'INFORM_INTERVAL_SECONDS', 0.02)
  members = Members()
  records, reports = make(members)
  records.lose('f', 'a')
  records.resolve('a', is_ended=True)
  await reports.start()
  await asyncio.sleep(0.1)
  members.sent.clear()
  members.names.append('n3')
  await asyncio.sleep(0.1)
  told = [m.reports for address, m in members.sent if address == 'at-n3']
  assert [(item.fingerprint, item.state) for item in told[0]] == [
    ('f', State.ENDED)
  ]
  await reports.stop()


# Guards against a daemon that starts again so quickly that nobody misses it, is
# told of a few ended instances a second and sends a fatal request on meanwhile.
async def test_a_member_that_restarts_unnoticed_is_told_of_ended_instances(
  monkeypatch,
):
  monkeypatch.setattr(crash_reports, 'INFORM_INTERVAL_SECONDS', 0.02)
  members = Members()
  records, reports = make(members)
  for number in range(RECORDS):
    records.lose(f'f{number}', 'a')
  records.resolve('a', is_ended=True)
  members.started_at_by_name['n2'] = 1.0
  await reports.start()
  # Until it is told as a member that is new.
  await asyncio.sleep(0.1)
  for number in range(len(members.sent)):
    members.acknowledge(number)
  await asyncio.sleep(0.6)
  members.sent.clear()
  await asyncio.sleep(0.1)
  assert members.sent == []
  members.started_at_by_name['n2'] = 2.0
  await asyncio.sleep(0.1)
  # One datagram, which is sent again as it is not acknowledged.
  assert {address for address, _ in members.sent} == {'at-n2'}
  assert len({told.id for _, told in members.sent}) == 1
  for _, told in members.sent:
    assert len(told.reports) == RECORDS
  await reports.stop()


class Peer:
  """A member that answers a question for records with `reports`, if at all."""

  def __init__(self, *reports, is_silent=False, is_informed=True):
    self.reports = reports
    self.is_silent = is_silent
    self.is_informed = is_informed
    self.asked = []

  async def post(self, address, path, message, *, type, timeout):
    self.asked.append(address)
    if self.is_silent:
      await asyncio.sleep(timeout)
      raise peers.NoAnswer(errors.Code.OWNER_UNAVAILABLE, 'silent')
    return attempt_reports.AttemptReports(
      self.reports, is_informed=self.is_informed
    )


async def start_learning(peer, *, is_lost=True):
  records, reports = make(
    Members(), crash_rows=Rows(is_lost=is_lost), messenger=peer
  )
  assert not reports.is_informed
  await reports.start()
  return records, reports


# Guards against a daemon that sends a refused request before it is told of it.
async def test_a_daemon_that_starts_in_an_outage_asks_for_records():
  ends = [
    attempt_reports.AttemptReport('f', id, State.ENDED, 1.0) for id in 'abc'
  ]
  records, reports = await start_learning(Peer(*ends))
  await asyncio.sleep(0.1)
  assert reports.is_informed
  assert records.count_quarantined() == 1
  await reports.stop()


# Guards against a place that a daemon could not write before it was killed.
async def test_a_daemon_that_starts_asks_members_beside_the_store():
  told = attempt_reports.AttemptReport('f', 'a', State.ENDED, 1.0)
  records, reports = await start_learning(Peer(told), is_lost=False)
  await asyncio.sleep(0.1)
  assert reports.is_informed
  assert records.find_ended('f') == ['a']
  await reports.stop()


# Guards against a daemon that asks nobody, since its rows came first.
async def test_a_daemon_waits_for_the_list_of_members_to_ask_them():
  peer = Peer()
  _, reports = make(Members(), messenger=peer)
  has_list = False
  reports._has_member_list = lambda: has_list
  await reports.start()
  await asyncio.sleep(0.1)
  assert not reports.is_informed
  assert not peer.asked
  has_list = True
  await asyncio.sleep(0.1)
  assert reports.is_informed
  assert peer.asked
  await reports.stop()


# Guards against an answer of a member that has forgotten everything itself.
async def test_a_member_that_has_just_started_informs_nobody():
  peer = Peer(is_informed=False)
  _, reports = await start_learning(peer)
  await asyncio.sleep(0.1)
  assert peer.asked
  assert not reports.is_informed
  peer.is_informed = True
  await asyncio.sleep(0.1)
  assert reports.is_informed
  await reports.stop()


# Guards against a wait that ends without an answer, after which requests are
# sent as if they were new.
async def test_a_daemon_that_nobody_answers_is_not_informed_without_the_store(
  monkeypatch,
):
  monkeypatch.setattr(crash_reports, 'RECORDS_TIMEOUT_SECONDS', 0.02)
  crash_rows = Rows(is_lost=True)
  peer = Peer(is_silent=True)
  _, reports = make(Members(), crash_rows=crash_rows, messenger=peer)
  await reports.start()
  await asyncio.sleep(0.3)
  assert peer.asked
  assert not reports.is_informed
  assert not await reports.catch_up(time.monotonic() + 0.05)
  crash_rows.is_lost = False
  await asyncio.sleep(0.2)
  assert reports.is_informed
  assert await reports.catch_up(time.monotonic() + 0.05)
  await reports.stop()


@pytest.mark.parametrize(
  ('unheard', 'unread', 'reads'), [(0.1, 9.0, 0), (9.0, 0.1, 0), (9.0, 9.0, 1)]
)
async def test_a_daemon_that_does_not_hear_all_others_reads_the_store(
  unheard, unread, reads
):
  members, crash_rows = Members(), Rows()
  members.get_unheard_seconds = lambda: unheard
  _, reports = make(members, crash_rows=crash_rows)
  reports.is_informed = True
  crash_rows.unread_seconds = unread
  assert await reports.catch_up(time.monotonic() + 1.0)
  assert crash_rows.reads == reads


# Guards against a caller that sends again before the store has the place.
async def test_a_failed_attempt_waits_until_the_store_has_it():
  members, crash_rows = Members(), Rows()
  records, reports = make(members, crash_rows=crash_rows)
  crash_rows.is_write_awaited = True
  records.orphan('f', 'a')
  waiting = asyncio.ensure_future(reports.wait_for_delivery())
  await asyncio.sleep(0.01)
  members.acknowledge(0)
  await asyncio.sleep(0.02)
  assert not waiting.done()
  assert [item.state for item in crash_rows.recorded] == [State.LOST]
  crash_rows.is_write_awaited = False
  await asyncio.wait_for(waiting, 0.1)


# Guards against a report that nobody sends again after it was lost.
async def test_a_report_is_sent_until_it_is_acknowledged():
  members = Members()
  records, _ = make(members)
  records.orphan('f', 'a')
  await asyncio.sleep(sum(crash_reports.REPEAT_DELAYS_SECONDS[:2]) + 0.02)
  assert len(members.sent) == 3
  assert len({message.id for _, message in members.sent}) == 1
  members.acknowledge(0)
  await asyncio.sleep(crash_reports.REPEAT_DELAYS_SECONDS[2] + 0.05)
  assert len(members.sent) == 3


# Guards against a member that was silent for longer than reports are repeated.
async def test_a_member_that_missed_reports_is_sent_all_records(monkeypatch):
  monkeypatch.setattr(crash_reports, 'REPEAT_DELAYS_SECONDS', (0.02, 0.04))
  monkeypatch.setattr(crash_reports, 'INFORM_INTERVAL_SECONDS', 0.02)
  members = Members()
  is_alive = False
  members.is_alive = lambda name: is_alive
  records, reports = make(members)
  await reports.start()
  records.orphan('f', 'a')
  records.orphan('g', 'b')
  await asyncio.sleep(0.3)
  members.sent.clear()
  await asyncio.sleep(0.3)
  assert members.sent == []
  is_alive = True
  await asyncio.sleep(0.3)
  told = {item.fingerprint for item in members.sent[0][1].reports}
  assert told == {'f', 'g'}
  await reports.stop()


# Guards against a caller that sends again before the others know.
async def test_a_failed_attempt_waits_until_the_others_know_of_it():
  members = Members()
  records, reports = make(members)
  records.orphan('f', 'a')
  waiting = asyncio.ensure_future(reports.wait_for_delivery())
  await asyncio.sleep(0.02)
  assert not waiting.done()
  members.acknowledge(0)
  await asyncio.wait_for(waiting, 0.1)


# Guards against a caller that is held for members that are gone.
async def test_a_failed_attempt_does_not_wait_for_silent_members():
  members = Members()
  members.is_alive = lambda name: False
  records, reports = make(members)
  records.orphan('f', 'a')
  await asyncio.wait_for(reports.wait_for_delivery(), 0.1)


# Guards against a side of a partition that is told that the other one knows of
# its places before it knows of theirs.
async def test_an_acknowledgement_tells_what_else_is_known():
  members = Members()
  records, _ = make(members)
  records.orphan('f', 'a')
  message = attempt_reports.AttemptReports(
    (attempt_reports.AttemptReport('f', 'b', State.LOST, 0.0),),
    domain='south',
    reply_to='at-s1',
    id=7,
  )
  receive = members.handler_by_kind[datagrams.ATTEMPT_REPORTS]
  receive(msgspec.json.encode(message))
  ((address, ack),) = members.acknowledged
  assert (address, ack.id, ack.name) == ('at-s1', 7, 'n1')
  assert [item.incarnation_id for item in ack.reports] == ['a']


# Guards against a domain that hears nothing as its hubs are gone unnoticed.
async def test_hubs_that_do_not_answer_are_bypassed():
  members = Members()
  far = [
    fleet_heartbeats.Member(name=f's{n}', address=f'at-s{n}', domain='south')
    for n in range(4)
  ]
  members.find_report_receivers = lambda: ([], far[:2])
  members.rank = lambda key, domain: far
  records, _ = make(members)
  records.orphan('f', 'a')
  await asyncio.sleep(0.01)
  assert {address for address, _ in members.sent} == {'at-s0', 'at-s1'}
  assert all(message.is_for_domain for _, message in members.sent)
  await asyncio.sleep(crash_reports.REPEAT_DELAYS_SECONDS[1] + 0.02)
  assert {address for address, _ in members.sent} == {
    member.address for member in far
  }
