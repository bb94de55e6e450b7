"""Detection of failing instances, its spread to peers, and recovery."""

import asyncio
import contextlib

import nodes
import pytest

from woadrun import errors
from woadrun.process import fleet_heartbeats
from woadrun.process.load import health
from woadrun.process.load import loads
from woadrun.request import exchange
from woadrun.version import instances


class Clock:
  def __init__(self, monkeypatch):
    self.now = 100.0
    monkeypatch.setattr('time.monotonic', lambda: self.now)


@pytest.fixture(name='clock')
def fixture_clock(monkeypatch):
  return Clock(monkeypatch)


def test_failures_decay_and_expire(clock):
  tracker = health.FailureTracker()
  tracker.record_failure('a')
  assert tracker.get_all_excess_failures() == {}
  clock.now += health.FAILURE_HALF_LIFE_SECONDS
  tracker.record_failure('a')
  assert tracker.get_all_excess_failures() == {'a': 0.5}
  clock.now += health.FAILURE_HALF_LIFE_SECONDS
  assert tracker.get_all_excess_failures() == {}
  assert tracker.report_failures() == {'a': 0.8}
  clock.now += 5 * health.FAILURE_HALF_LIFE_SECONDS
  assert tracker.report_failures() == {}


def test_the_failures_of_an_instance_are_capped(clock):
  tracker = health.FailureTracker()
  for _ in range(50):
    tracker.record_failure('a')
  tracker.record_peer_report('peer', {'a': health.MAX_FAILURES})
  most = health.MAX_FAILURES - health.TOLERATED_FAILURES
  assert tracker.get_all_excess_failures() == {'a': most}


def test_an_overdue_request_counts_as_failed_before_it_ends(clock):
  tracker = health.FailureTracker()
  tracker.record_request('r', 'a', 'tools')
  clock.now += health.MIN_OVERDUE_SECONDS
  assert tracker.get_all_excess_failures() == {}
  clock.now += 0.1
  assert tracker.get_all_excess_failures() == {'a': 0.5}
  # The caller cancels the request; the failure still counts.
  tracker.record_end('r')
  assert tracker.get_all_excess_failures() == {'a': 0.5}


def test_slow_responses_raise_the_timeout_of_their_service_for_a_while(clock):
  tracker = health.FailureTracker()
  tracker.record_request('slow', 'a', 'tools')
  clock.now += 0.9
  tracker.record_response('slow')
  tracker.record_end('slow')
  tracker.record_request('r', 'a', 'tools')
  tracker.record_request('other', 'b', 'models')
  clock.now += 1.7
  assert tracker.get_all_excess_failures() == {'b': 0.5}
  tracker.record_end('other')
  clock.now += 0.2
  assert tracker.get_all_excess_failures()['a'] == 0.5
  tracker.record_end('r')
  clock.now += 4 * health.LATENCY_HALF_LIFE_SECONDS
  tracker.record_request('late', 'a', 'tools')
  clock.now += health.MIN_OVERDUE_SECONDS + 0.1
  assert tracker.get_all_excess_failures() == {'a': 0.5}


def test_reports_of_peers_add_up_and_expire(clock):
  tracker = health.FailureTracker()
  tracker.record_peer_report('one', {'a': 1.0})
  tracker.record_peer_report('two', {'a': 0.5, 'b': 0.5})
  assert tracker.get_all_excess_failures() == {'a': 0.5}
  clock.now += health.PEER_REPORT_TTL_SECONDS
  assert tracker.get_all_excess_failures() == {}


def test_own_failures_in_the_sum_of_a_domain_count_once(clock):
  tracker = health.FailureTracker()
  tracker.record_failure('a')
  assert tracker.report_failures() == {'a': 1.0}
  tracker.record_domain_report({'a': 3.0}, age=0.2)
  assert tracker.get_all_excess_failures() == {'a': 2.0}


def test_the_log_says_which_instances_become_and_cease_to_be_avoided(
  clock, caplog
):
  caplog.set_level('INFO', logger='woadrun.health')
  tracker = health.FailureTracker()
  tracker.record_failure('a', 3.0)
  tracker.log_changes()
  tracker.log_changes()
  assert tracker.avoided == {'a'}
  clock.now += 5 * health.FAILURE_HALF_LIFE_SECONDS
  tracker.log_changes()
  assert [record.message for record in caplog.records] == [
    'Instance a is avoided: 2.0 failures.',
    'Instance a is no longer avoided.',
  ]


def make_instance(id, *, domain='north-1'):
  return instances.Instance(
    id=id, service='tools', address='127.0.0.1:1', domain=domain, slots=6
  )


def make_fleet_heartbeat(domain, failing):
  return fleet_heartbeats.FleetHeartbeat(
    name='peer', address='127.0.0.1:2', domain=domain, failing=failing
  )


def choose(load):
  found = [make_instance('bad'), make_instance('good')]
  return {load.choose(instances.Group(found), tried=()).id for _ in range(40)}


def test_a_failing_instance_is_avoided_while_another_is_equally_fast():
  load = loads.Loads(domain='north-1')
  assert choose(load) == {'bad', 'good'}
  load.health.record_failure('bad')
  assert choose(load) == {'bad', 'good'}
  load.health.record_failure('bad')
  assert choose(load) == {'good'}
  # No instance is avoided when all fail equally.
  load.health.record_failure('good', 2.0)
  assert choose(load) == {'bad', 'good'}


def test_only_reports_from_the_own_domain_count():
  load = loads.Loads(domain='north-1')
  load.record_peer_counts(make_fleet_heartbeat('north-2', {'bad': 2.0}))
  assert choose(load) == {'bad', 'good'}
  load.record_peer_counts(make_fleet_heartbeat('north-1', {'bad': 2.0}))
  assert choose(load) == {'good'}


def test_a_failing_instance_is_preferred_to_one_with_a_long_queue():
  load = loads.Loads(domain='north-1')
  load.health.record_failure('bad', 2.0)
  load.record_peer_counts(
    fleet_heartbeats.FleetHeartbeat(
      name='peer', address='127.0.0.1:2', domain='x', running={'good': 60}
    )
  )
  assert choose(load) == {'bad'}


class Flawed(nodes.Engines):
  """Engines one of which resets its connections or never responds.

  `met` counts the requests that this engine received.
  """

  def __init__(self, bad, *, is_mute):
    super().__init__()
    self.bad = bad
    self.is_mute = is_mute
    self.met = 0

  @contextlib.asynccontextmanager
  async def send(self, sending):
    if sending.instance.id == self.bad:
      self.met += 1
      if self.is_mute:
        await asyncio.Event().wait()
      raise exchange.ResponseLost('reset')
    async with super().send(sending) as reply:
      yield reply


async def act(fleet, name, id):
  request = nodes.make_request(id, path='/act/', seconds=1.5)
  try:
    async with asyncio.timeout(1.6):
      return (await fleet.ask(name, request))[0]
  except (errors.WoadrunError, TimeoutError):
    return None


@pytest.mark.parametrize('is_mute', [False, True])
async def test_failures_seen_by_one_daemon_keep_others_from_the_instance(
  is_mute,
):
  async with nodes.Nodes() as fleet:
    fleet.engines = Flawed('t1', is_mute=is_mute)
    await fleet.start('n1', 'n2', 'n3')
    # Each call that t2 serves makes it look faster.  If the first calls all go
    # there, t1 is never chosen and the loop below does not end.
    fleet.by_name['n1'].loads.record_duration('t2', 't', 2.0)
    while not fleet.engines.met:
      await asyncio.gather(*(act(fleet, 'n1', f'a{n}') for n in range(4)))
    met = fleet.engines.met
    await nodes.wait_until(
      lambda: all(
        't1' in item.loads.health.get_all_excess_failures()
        for item in fleet.by_name.values()
      )
    )
    found = [
      await act(fleet, name, f'{name}-{number}')
      for number in range(5)
      for name in ('n1', 'n2', 'n3')
    ]
    assert found == [200] * 15
    assert fleet.engines.met == met


def test_reading_failures_does_not_change_the_last_report(clock):
  tracker = health.FailureTracker()
  tracker.record_failure('a', 3.0)
  assert tracker.report_failures() == {'a': 3.0}
  # A failure after the hub computed its sum, and a read of all failures.
  tracker.record_failure('a', 2.0)
  tracker.record_peer_report('peer', {'a': 1.0})
  tracker.get_all_excess_failures()
  tracker.record_peer_report('peer', {})
  # The sum has the 3 reported failures and 2 of other daemons.
  tracker.record_domain_report({'a': 5.0}, age=0.0)
  assert tracker.get_all_excess_failures() == {
    'a': health.MAX_FAILURES - health.TOLERATED_FAILURES
  }
  tracker._record_by_id.clear()
  assert tracker.get_all_excess_failures() == {
    'a': 2.0 - health.TOLERATED_FAILURES
  }
