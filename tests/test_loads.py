"""Placement of requests by the load that all daemons report."""

from woadrun.process import fleet_heartbeats
from woadrun.process.load import loads
from woadrun.version import instances


def make_instance(id, *, domain='north-1', slots=64):
  return instances.Instance(
    id=id, service='models', address='127.0.0.1:1', domain=domain, slots=slots
  )


def make_fleet_heartbeat(running, *, name='other'):
  return fleet_heartbeats.FleetHeartbeat(
    name=name, address='127.0.0.1:2', domain='north-1', running=running
  )


def test_turns_avoid_a_busy_engine_long_before_its_slots_are_full():
  load = loads.Loads(domain='north-1')
  load.record_peer_counts(make_fleet_heartbeat({'near': 20}))
  found = [make_instance('near'), make_instance('far', domain='north-2')]
  chosen = load.choose(instances.Group(found), tried=(), prompt=4000)
  assert chosen.id == 'far'


def test_a_cached_prompt_outweighs_a_few_running_turns_but_not_many():
  load = loads.Loads(domain='north-1')
  found = [make_instance('holder'), make_instance('free')]
  cached = {'holder': 8000}
  load.record_peer_counts(make_fleet_heartbeat({'holder': 3}))
  few = load.choose(
    instances.Group(found), tried=(), prompt=8000, cached_by_id=cached
  )
  load.record_peer_counts(make_fleet_heartbeat({'holder': 30}))
  many = load.choose(
    instances.Group(found), tried=(), prompt=8000, cached_by_id=cached
  )
  assert (few.id, many.id) == ('holder', 'free')


def test_counts_of_all_peers_add_up():
  load = loads.Loads(domain='north-1')
  found = [make_instance('a', slots=4), make_instance('b', slots=4)]
  for name in ('one', 'two', 'three'):
    load.record_peer_counts(make_fleet_heartbeat({'a': 2}, name=name))
  assert load.choose(instances.Group(found), tried=()).id == 'b'


def test_an_unreachable_instance_is_skipped_while_there_are_others():
  load = loads.Loads(domain='north-1')
  found = [make_instance('a'), make_instance('b')]
  load.record_unreachable('a')
  assert load.choose(instances.Group(found), tried=()).id == 'b'
  assert load.choose(instances.Group(found[:1]), tried=()).id == 'a'
  assert load.choose(instances.Group(found), tried=('a', 'b')) is None


def test_the_estimated_retry_delay_grows_with_the_load():
  load = loads.Loads(domain='north-1')
  found = [make_instance('a', slots=4)]
  free = load.estimate_retry_after(instances.Group(found))
  load.record_peer_counts(make_fleet_heartbeat({'a': 40}))
  assert load.estimate_retry_after(instances.Group(found)) > free


def test_instances_in_a_domain_that_is_cut_off_are_skipped():
  load = loads.Loads(
    domain='north-1', is_silent=lambda domain: domain == 'north-2'
  )
  found = [make_instance('near'), make_instance('far', domain='north-2')]
  load.record_peer_counts(make_fleet_heartbeat({'near': 60}))
  assert load.choose(instances.Group(found), tried=(), prompt=4000).id == 'near'
  assert (
    load.choose(instances.Group(found[1:]), tried=(), prompt=4000).id == 'far'
  )


def choose_often(load, found, times=50):
  return {
    load.choose(instances.Group(found), tried=()).id for _ in range(times)
  }


def test_an_idle_connection_decides_between_equal_instances():
  load = loads.Loads(domain='north-1')
  found = [make_instance(id, slots=6) for id in 'abcdef']
  assert len(choose_often(load, found)) > 1
  with load.count('d'):
    pass
  load.record_idle_connection('d')
  assert choose_often(load, found) == {'d'}
  with load.count('d'):
    # The only connection to instance d is in use.
    assert len(choose_often(load, found)) > 1


def test_a_connection_idle_for_too_long_is_ignored(monkeypatch):
  now = 100.0
  monkeypatch.setattr('time.monotonic', lambda: now)
  load = loads.Loads(domain='north-1')
  found = [make_instance(id, slots=6) for id in 'abcdef']
  load.record_idle_connection('d')
  now += loads.IDLE_CONNECTION_TTL_SECONDS
  assert len(choose_often(load, found)) > 1


def test_an_idle_connection_does_not_outweigh_a_high_load():
  load = loads.Loads(domain='north-1')
  found = [make_instance(id, slots=6) for id in 'ab']
  load.record_idle_connection('a')
  load.record_peer_counts(make_fleet_heartbeat({'a': 12}))
  assert choose_often(load, found) == {'b'}


def test_own_requests_in_the_sum_of_the_domain_count_once():
  load = loads.Loads(domain='north-1')
  with load.count('a'), load.count('a'):
    load.report_running()
    digest = fleet_heartbeats.Digest(
      hub='h', domain='north-1', running={'a': 5}
    )
    load.record_domain_counts(digest)
    assert load.get_total('a') == 5
  assert load.get_total('a') == 3


def test_the_measured_load_counts_usable_instances_only():
  silent = {'west-1'}
  load = loads.Loads(
    domain='north-1', is_silent=lambda domain: domain in silent
  )
  found = instances.Group(
    [
      make_instance('a', slots=4),
      make_instance('b', slots=4),
      make_instance('c', slots=4),
      make_instance('d', domain='west-1', slots=4),
    ]
  )
  load.record_peer_counts(make_fleet_heartbeat({'a': 1, 'b': 2, 'd': 8}))
  assert (load.measure(found).slots, load.measure(found).running) == (12, 3)
  load.record_unreachable('c')
  assert load.measure(found).slots == 8
  load.health.avoided = {'b'}
  # Avoided instances with half of the slots may merely be full: without them,
  # an overloaded service would seem to have no capacity at all.
  assert load.measure(found).slots == 8
  silent.clear()
  assert (load.measure(found).slots, load.measure(found).running) == (8, 9)
