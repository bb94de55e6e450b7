"""Instances that fail: who learns of it, and when they are trusted again."""

import asyncio
import contextlib

import nodes
import pytest

from woadrun import errors
from woadrun.process import beats
from woadrun.process import health
from woadrun.process import loads
from woadrun.request import exchange
from woadrun.version import instances


class Clock:
  def __init__(self, monkeypatch):
    self.now = 100.0
    monkeypatch.setattr('time.monotonic', lambda: self.now)


@pytest.fixture(name='clock')
def fixture_clock(monkeypatch):
  return Clock(monkeypatch)


def test_failures_fade_and_are_forgotten(clock):
  found = health.Health()
  found.note_failure('a')
  assert found.get_all() == {}
  clock.now += health.HALF_LIFE_SECONDS
  found.note_failure('a')
  assert found.get_all() == {'a': 0.5}
  clock.now += health.HALF_LIFE_SECONDS
  assert found.get_all() == {}
  assert found.tell() == {'a': 0.8}
  clock.now += 5 * health.HALF_LIFE_SECONDS
  assert found.tell() == {}


def test_no_number_of_failures_counts_for_more_than_a_bound(clock):
  found = health.Health()
  for _ in range(50):
    found.note_failure('a')
  found.take('peer', {'a': health.MOST_FAILURES})
  most = health.MOST_FAILURES - health.TOLERATED
  assert found.get_all() == {'a': most}


def test_a_request_without_an_answer_counts_while_it_waits(clock):
  found = health.Health()
  found.note_sent('r', 'a', 'tools')
  clock.now += health.LEAST_OVERDUE_SECONDS
  assert found.get_all() == {}
  clock.now += 0.1
  assert found.get_all() == {'a': 0.5}
  # The caller gives up: the instance has failed all the same.
  found.note_end('r')
  assert found.get_all() == {'a': 0.5}


def test_what_takes_long_at_a_service_is_given_longer_for_a_while(clock):
  found = health.Health()
  found.note_sent('slow', 'a', 'tools')
  clock.now += 0.9
  found.note_answer('slow')
  found.note_end('slow')
  found.note_sent('r', 'a', 'tools')
  found.note_sent('other', 'b', 'models')
  clock.now += 1.7
  assert found.get_all() == {'b': 0.5}
  found.note_end('other')
  clock.now += 0.2
  assert found.get_all()['a'] == 0.5
  found.note_end('r')
  clock.now += 4 * health.LONGEST_HALF_LIFE_SECONDS
  found.note_sent('late', 'a', 'tools')
  clock.now += health.LEAST_OVERDUE_SECONDS + 0.1
  assert found.get_all() == {'a': 0.5}


def test_what_peers_told_adds_up_and_is_forgotten(clock):
  found = health.Health()
  found.take('one', {'a': 1.0})
  found.take('two', {'a': 0.5, 'b': 0.5})
  assert found.get_all() == {'a': 0.5}
  clock.now += health.TOLD_SECONDS
  assert found.get_all() == {}


def test_a_sum_that_has_what_this_daemon_told_counts_it_once(clock):
  found = health.Health()
  found.note_failure('a')
  assert found.tell() == {'a': 1.0}
  found.take_sum({'a': 3.0}, age=0.2)
  assert found.get_all() == {'a': 2.0}


def test_the_log_names_what_is_avoided_and_when_that_ends(clock, caplog):
  caplog.set_level('INFO', logger='woadrun.health')
  found = health.Health()
  found.note_failure('a', 3.0)
  found.log_changes()
  found.log_changes()
  assert found.avoided == {'a'}
  clock.now += 5 * health.HALF_LIFE_SECONDS
  found.log_changes()
  assert [record.message for record in caplog.records] == [
    'Instance a is avoided: 2.0 failures.',
    'Instance a is trusted again.',
  ]


def make_instance(id, *, domain='north-1'):
  return instances.Instance(
    id=id, service='tools', address='127.0.0.1:1', domain=domain, slots=6
  )


def make_beat(domain, failing):
  return beats.Beat(
    name='peer', address='127.0.0.1:2', domain=domain, failing=failing
  )


def choose(load):
  found = [make_instance('bad'), make_instance('good')]
  return {load.choose(instances.Group(found), tried=()).id for _ in range(40)}


def test_an_instance_that_failed_is_left_while_another_is_as_good():
  load = loads.Loads(domain='north-1')
  assert choose(load) == {'bad', 'good'}
  load.health.note_failure('bad')
  assert choose(load) == {'bad', 'good'}
  load.health.note_failure('bad')
  assert choose(load) == {'good'}
  # Where all fail alike, none is left out.
  load.health.note_failure('good', 2.0)
  assert choose(load) == {'bad', 'good'}


def test_peers_of_the_own_domain_warn_others_do_not():
  load = loads.Loads(domain='north-1')
  load.take_beat(make_beat('north-2', {'bad': 2.0}))
  assert choose(load) == {'bad', 'good'}
  load.take_beat(make_beat('north-1', {'bad': 2.0}))
  assert choose(load) == {'good'}


def test_a_failing_instance_still_beats_one_with_a_long_queue():
  load = loads.Loads(domain='north-1')
  load.health.note_failure('bad', 2.0)
  load.take_beat(
    beats.Beat(
      name='peer', address='127.0.0.1:2', domain='x', running={'good': 60}
    )
  )
  assert choose(load) == {'bad'}


class Flawed(nodes.Engines):
  """Engines one of which loses what it gets, or never answers."""

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
      raise exchange.Lost('reset')
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
async def test_what_one_daemon_meets_at_an_instance_spares_the_others(is_mute):
  async with nodes.Nodes() as fleet:
    fleet.engines = Flawed('t1', is_mute=is_mute)
    await fleet.start('n1', 'n2', 'n3')
    while not fleet.engines.met:
      await asyncio.gather(*(act(fleet, 'n1', f'a{n}') for n in range(4)))
    met = fleet.engines.met
    await nodes.wait_until(
      lambda: all(
        't1' in item.loads.health.get_all() for item in fleet.by_name.values()
      )
    )
    found = [
      await act(fleet, name, f'{name}-{number}')
      for number in range(5)
      for name in ('n1', 'n2', 'n3')
    ]
    assert found == [200] * 15
    assert fleet.engines.met == met


def test_a_look_does_not_change_what_was_told(clock):
  found = health.Health()
  found.note_failure('a', 3.0)
  assert found.tell() == {'a': 3.0}
  # Seen after the hub made its sum, and looked at.
  found.note_failure('a', 2.0)
  found.take('peer', {'a': 1.0})
  found.get_all()
  found.take('peer', {})
  # The sum has the 3 that were told, and 2 of others.
  found.take_sum({'a': 5.0}, age=0.0)
  assert found.get_all() == {'a': health.MOST_FAILURES - health.TOLERATED}
  found._record_by_id.clear()
  assert found.get_all() == {'a': 2.0 - health.TOLERATED}
