"""Tests for the rows that keep the places of requests."""

import asyncio

import msgspec
import nodes
import pytest

from woadrun.connection import attempt_reports
from woadrun.connection import rows
from woadrun.process import crash_rows
from woadrun.process.load import crash_records
from woadrun.standins import rows as standin

State = attempt_reports.State


class Store(standin.MemoryRowStore):
  """A store that can be reached, as long as it is not out."""

  @property
  def is_reachable(self):
    return not self.is_out


class Daemon:
  """The records of a daemon with their rows in a store."""

  def __init__(self, store, name='n1'):
    self.store = store
    self.records = crash_records.CrashRecords(
      name=name, on_change=lambda report: self.rows.record(report)
    )
    self.rows = crash_rows.CrashRows(store=store, records=self.records)

  async def __aenter__(self):
    await self.rows.start()
    await nodes.wait_until(lambda: self.rows.is_loaded)
    return self

  async def __aexit__(self, *_):
    await self.rows.stop()

  async def wait_written(self):
    await nodes.wait_until(lambda: not self.rows.is_write_awaited)


@pytest.fixture(autouse=True)
def fast(monkeypatch):
  monkeypatch.setattr(crash_rows, 'WRITE_INTERVAL_SECONDS', 0.01)
  monkeypatch.setattr(crash_rows, 'RETRY_DELAY_SECONDS', 0.02)


def find_rows(store):
  return [
    msgspec.json.decode(row.value, type=crash_rows.PlaceRow)
    for key, row in store.row_by_key.items()
    if key.table == crash_rows.TABLE
  ]


def find_places(store):
  return sorted(
    (row.fingerprint, row.incarnation_id, row.is_ended)
    for row in find_rows(store)
  )


async def test_places_outlast_all_daemons():
  store = Store()
  async with Daemon(store) as daemon:
    daemon.records.lose('f', 'a')
    daemon.records.lose('f', 'b')
    daemon.records.resolve('b', is_ended=True)
    await daemon.wait_written()
  assert find_places(store) == [('f', 'a', False), ('f', 'b', True)]
  async with Daemon(store, 'n2') as daemon:
    assert sorted(daemon.records.find_holders('f')) == ['a', 'b']
    assert daemon.records.find_ended('f') == ['b']


async def test_the_places_of_a_moment_share_a_write():
  store = Store()
  async with Daemon(store) as daemon:
    for number in range(40):
      daemon.records.lose(f'f{number}', 'a')
    await daemon.wait_written()
    assert len(find_rows(store)) == 40
    assert store.writes == 1
    daemon.records.resolve('a', is_ended=True)
    await daemon.wait_written()
    assert store.writes == 2


# Guards against rows that nobody needs any more.
@pytest.mark.parametrize('other', ['n1', 'n2'])
async def test_a_place_that_is_given_back_has_no_row(other):
  store = Store()
  async with Daemon(store) as one, Daemon(store, 'n2') as two:
    one.records.lose('f', 'a')
    one.records.lose('f', 'b')
    one.records.lose('g', 'c')
    await one.wait_written()
    await nodes.wait_until(lambda: two.records.find_holders('g'))
    clearing = one if other == 'n1' else two
    clearing.records.complete('f', 'd')
    await clearing.wait_written()
    assert find_places(store) == [('g', 'c', False)]
    await nodes.wait_until(
      lambda: (
        not (one.records.find_holders('f') or two.records.find_holders('f'))
      )
    )


async def test_attempts_without_a_suspect_request_are_not_written():
  store = Store()
  async with Daemon(store) as daemon:
    with daemon.records.run('f', 'a'):
      pass
    daemon.records.complete('f', 'a')
    await daemon.wait_written()
  assert store.writes == 0


async def test_a_claim_has_no_row_of_its_own():
  store = Store()
  async with Daemon(store) as daemon:
    daemon.records.lose('f', 'a')
    claim_id = daemon.records.make_claim('f')
    with daemon.records.run('f', 'x', claim_id=claim_id):
      await daemon.wait_written()
      assert [place[1] for place in find_places(store)] == ['a', 'x']
      daemon.records.reject('f', 'x')
    await daemon.wait_written()
    assert [place[1] for place in find_places(store)] == ['a']


async def test_places_are_written_once_the_store_is_back():
  store = Store()
  async with Daemon(store) as daemon:
    store.is_out = True
    daemon.records.lose('f', 'a')
    daemon.records.lose('g', 'b')
    # Nobody waits for a store that is out.
    assert not daemon.rows.is_write_awaited
    await asyncio.sleep(0.1)
    daemon.records.complete('g', 'c')
    store.is_out = False
    await daemon.wait_written()
    assert find_places(store) == [('f', 'a', False)]


async def test_a_write_whose_answer_is_lost_is_made_again():
  store = Store()
  async with Daemon(store) as daemon:
    store.loses_answers = True
    daemon.records.lose('f', 'a')
    await asyncio.sleep(0.05)
    store.loses_answers = False
    await daemon.wait_written()
    assert find_places(store) == [('f', 'a', False)]


class LateStore(Store):
  """Keeps the next removal, which is done later if its condition holds."""

  def __init__(self):
    super().__init__()
    self.late = None

  async def change(self, **options):
    if options.get('removes') and self.late is None:
      self.late = options
      raise standin._make_unavailable_error(standin.errors.RunStatus.UNKNOWN)
    return await super().change(**options)


# Guards against a removal that is done late, and loses a place taken since.
async def test_a_late_removal_leaves_a_place_that_was_taken_since():
  store = LateStore()
  async with Daemon(store) as daemon:
    daemon.records.lose('f', 'a')
    await daemon.wait_written()
    daemon.records.complete('f', 'b')
    await nodes.wait_until(lambda: store.late is not None)
    await daemon.wait_written()
    assert find_places(store) == []
    await asyncio.sleep(0.25)
    daemon.records.lose('f', 'a')
    await daemon.wait_written()
    await store.change(**store.late)
    assert find_places(store) == [('f', 'a', False)]


# Guards against a place that is lost with a row of an earlier one.
async def test_a_row_of_a_place_that_is_held_again_is_not_removed():
  store = Store()
  async with Daemon(store) as one, Daemon(store, 'n2') as two:
    one.records.lose('f', 'a')
    await one.wait_written()
    await nodes.wait_until(lambda: two.records.find_holders('f'))
    one.records.resolve('a', is_ended=True)
    await one.wait_written()
    two.records.complete('f', 'b')
    two.records.lose('f', 'a')
    await asyncio.sleep(0.1)
    assert find_places(store) == [('f', 'a', False)]


# Guards against a row that stays since its removal missed a newer state of it.
async def test_a_row_whose_state_has_changed_is_removed():
  store = Store()
  async with Daemon(store) as one, Daemon(store, 'n2') as two:
    one.records.lose('f', 'a')
    await one.wait_written()
    await nodes.wait_until(lambda: two.records.find_holders('f'))
    one.records.resolve('a', is_ended=True)
    await one.wait_written()
    two.records.complete('f', 'b')
    await nodes.wait_until(lambda: not find_rows(store), seconds=1.0)
    await two.wait_written()
    assert not two.records.find_holders('f')


# Guards against a place that is written after its request was cleared.
async def test_a_place_of_a_request_that_was_cleared_meanwhile_is_not_left():
  store = Store()
  store.delay = 0.05
  async with Daemon(store) as daemon:
    daemon.records.lose('f', 'a')
    await asyncio.sleep(0.02)
    daemon.records.apply_reports(
      [attempt_reports.AttemptReport('f', 'b', State.COMPLETE, 0.0)]
    )
    await daemon.wait_written()
    assert find_rows(store) == []


async def test_a_record_that_gives_way_gives_up_its_rows(monkeypatch):
  monkeypatch.setattr(crash_records, 'MAX_RECORDS', 4)
  store = Store()
  async with Daemon(store) as daemon:
    for number in range(6):
      daemon.records.lose(f'f{number}', 'a')
      await daemon.wait_written()
    await nodes.wait_until(lambda: len(find_rows(store)) == 4)


@pytest.mark.parametrize(
  'value',
  [
    b'',
    b'null',
    b'\xff\x00',
    b'{"fingerprint": "f"}',
    b'{"fingerprint": "", "incarnation_id": "a"}',
    b'{"fingerprint": "f", "incarnation_id": "' + b'a' * 2000 + b'"}',
    b'{"fingerprint": "f", "incarnation_id": "a", "x": ' + b'[' * 20_000,
    b'{"fingerprint": "f", "incarnation_id": "a", "x": '
    + b'[' * 20_000
    + b']' * 20_000
    + b'}',
  ],
)
@pytest.mark.parametrize('is_before', [False, True])
async def test_rows_of_other_writers_are_rejected(value, is_before, caplog):
  store = Store()
  key = rows.Key(crash_rows.TABLE, '', 'x' * 200)

  async def write():
    await store.change(writes=[(key, value)])

  if is_before:
    await write()
  async with Daemon(store) as daemon, Daemon(store, 'n2') as other:
    if not is_before:
      await write()
    other.records.lose('f', 'b')
    await nodes.wait_until(lambda: daemon.records.find_holders('f') == ['b'])
    assert daemon.rows.rejections.count == 1
    assert not daemon.rows.crashed
  assert all(len(message) < 400 for message in caplog.messages)


# Guards against a name that the store does not take.
async def test_ids_of_any_length_have_short_names():
  store = Store()
  async with Daemon(store) as daemon:
    daemon.records.lose('f' * 32, 'i' * 1000)
    await daemon.wait_written()
  assert [len(key.name) < rows.MAX_NAME_BYTES for key in store.row_by_key] == [
    True
  ]


# Guards against a request that no operator can release.
async def test_a_request_whose_rows_are_removed_may_be_sent_again():
  store = Store()
  async with Daemon(store) as one, Daemon(store, 'n2') as two:
    for id in 'abc':
      one.records.lose('f', id)
      one.records.resolve(id, is_ended=True)
    await one.wait_written()
    await nodes.wait_until(lambda: two.records.count_quarantined())
    await store.change(removes=list(store.row_by_key))
    for daemon in (one, two):
      await nodes.wait_until(
        lambda records=daemon.records: not records.find_holders('f'),
        seconds=2.0,
      )
      assert not daemon.records.count_quarantined()


class RacingStore(Store):
  """A store of which another daemon removes a row just before this one does."""

  rows = None

  async def change(self, *, removes=(), **options):
    for key in removes:
      if key in self.row_by_key:
        await super().change(removes=[key])
        # The feed tells of it before the answer comes.
        await nodes.wait_until(lambda: not self.rows._row_by_name)
    return await super().change(removes=removes, **options)


# Guards against a writer that dies: the end of another instance, in the same
# batch, stayed unwritten, and a fourth instance ended once all daemons were
# killed.
async def test_a_row_that_others_remove_during_a_write_stops_no_other_row():
  store = RacingStore()
  async with Daemon(store) as daemon:
    store.rows = daemon.rows
    daemon.records.lose('f', 'a')
    await daemon.wait_written()
    daemon.records.complete('f', 'a')
    daemon.records.lose('g', 'b')
    daemon.records.resolve('b', is_ended=True)
    await nodes.wait_until(
      lambda: not daemon.rows.is_write_awaited, seconds=3.0
    )
    assert find_places(store) == [('g', 'b', True)]
