"""Failure detection, ranking of members, and settled domains of a fleet."""

import time

import msgspec
import nodes
import pytest

from woadrun import decoding
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import hubs
from woadrun.process import registration
from woadrun.process import returning_domains


def make_fleet(*others, me='n-me'):
  domain = me.partition('-')[0]
  member = fleet_heartbeats.Member(
    name=me, address='127.0.0.1:1', domain=domain
  )

  def make_fleet_heartbeat():
    return fleet_heartbeats.FleetHeartbeat(
      name=me, address=member.address, domain=domain
    )

  made = fleet.Fleet(
    me=member,
    make_fleet_heartbeat=make_fleet_heartbeat,
    on_heartbeat=lambda heartbeat: None,
  )
  for name in others:
    made.add(
      fleet_heartbeats.Member(
        name=name, address='127.0.0.1:2', domain=name.partition('-')[0]
      )
    )
  return made


def receive(made, name, *, ago=0.0, **options):
  heartbeat = fleet_heartbeats.FleetHeartbeat(
    name=name,
    address='127.0.0.1:2',
    domain=name.partition('-')[0],
    **options,
  )
  made._receive(msgspec.json.encode(heartbeat))
  made.last_heartbeat_by_name[name].at -= ago


def test_a_silent_member_moves_only_the_keys_that_it_ranked_first_for():
  made = make_fleet('n-1', 'n-2', 'n-3')
  before = {key: made.rank(key, 'n')[0].name for key in map(str, range(200))}
  receive(made, 'n-2', ago=5.0)
  after = {key: made.rank(key, 'n')[0].name for key in before}
  moved = {key for key in before if before[key] != after[key]}
  assert moved == {key for key in before if before[key] == 'n-2'}
  assert len(set(after.values())) == 3


def test_silent_failed_and_leaving_members_are_not_ranked_until_they_recover():
  made = make_fleet('n-1', 'n-2', 'n-3')
  for name in ('n-1', 'n-2', 'n-3'):
    receive(made, name)
  made.record_failure('n-1')
  receive(made, 'n-2', ago=fleet.SUSPECT_TIMEOUT_SECONDS)
  receive(made, 'n-3', is_leaving=True)
  assert [m.name for m in made.rank('x', 'n')] == ['n-me']
  made._failed_until['n-1'] = time.monotonic()
  receive(made, 'n-2')
  receive(made, 'n-3')
  assert len(made.rank('x', 'n')) == 4


def test_a_domain_never_heard_is_silent_after_the_first_heartbeat_timeout():
  made = make_fleet('s-1', 's-2')
  assert not made.is_domain_silent('s')
  for name in ('s-1', 's-2'):
    made._added_at[name] -= fleet.FIRST_HEARTBEAT_TIMEOUT_SECONDS
  made._invalidate_view()
  assert made.is_domain_silent('s')
  receive(made, 's-1')
  assert not made.is_domain_silent('s')


def test_peers_with_store_access_are_sorted_by_own_domain_first():
  made = make_fleet('n-1', 's-1', 's-2')
  receive(made, 's-1', has_store=True)
  receive(made, 'n-1', has_store=True)
  receive(made, 's-2', has_store=False)
  assert [m.name for m in made.find_peers_with_store()] == ['n-1', 's-1']


# Its socket logs and counts the error, and goes on.
def test_a_malformed_datagram_is_rejected():
  made = make_fleet('n-1')
  with pytest.raises(decoding.MalformedData):
    made._receive(b'\xff not ours')
  made.datagrams._receive(b'b\xff not ours')
  assert made.datagrams.rejections.count == 1
  assert made.last_heartbeat_by_name == {}


def test_an_unchanged_heartbeat_keeps_the_cached_view():
  made = make_fleet('n-1', 's-1')
  receive(made, 'n-1', has_store=True)
  view = made._get_view()
  receive(made, 'n-1', has_store=True)
  assert made._get_view() is view
  # Changes take effect at once.
  receive(made, 'n-1')
  assert not made.may_reach_store('n-1')
  receive(made, 'n-1', is_leaving=True)
  assert [m.name for m in made.rank('x', 'n')] == ['n-me']
  receive(made, 's-1', is_owing=True)
  assert made.find_unsettled_domains() == {'s'}


def test_a_silent_domain_recovers_with_its_first_heartbeat():
  made = make_fleet('s-1')
  receive(made, 's-1', ago=5.0)
  made._heard_at_by_domain['s'] -= 5.0
  made._added_at['s-1'] -= fleet.FIRST_HEARTBEAT_TIMEOUT_SECONDS
  made._invalidate_view()
  assert made.find_silent_domains() == ['s']
  made.last_heartbeat_by_name.pop('s-1')
  receive(made, 's-1')
  assert made.find_silent_domains() == []


def test_keys_are_divided_among_live_members():
  made = make_fleet('n-1', 's-1')
  receive(made, 'n-1')
  receive(made, 's-1', ago=5.0)
  made._added_at['s-1'] -= fleet.FIRST_HEARTBEAT_TIMEOUT_SECONDS
  keys = [str(number) for number in range(64)]
  own = made.find_first_ranked_keys(keys)
  assert own == [key for key in keys if made.is_first_ranked(key)]
  assert 16 <= len(own) <= 48


def test_a_returning_domain_is_unsettled_until_its_members_report():
  made = make_fleet('s-1', 's-2')
  for name in ('s-1', 's-2'):
    receive(made, name, ago=5.0)
    made._added_at[name] -= fleet.FIRST_HEARTBEAT_TIMEOUT_SECONDS
  made._heard_at_by_domain['s'] -= 5.0
  made._invalidate_view()
  assert made.find_unsettled_domains() == {'s'}
  # After the partition one member reports; the other one may owe the store.
  receive(made, 's-1')
  made._invalidate_view()
  assert made.find_unsettled_domains() == {'s'}


def test_dividing_keys_needs_few_hashes():
  names = [f'{domain}-{n}' for domain in 'abcde' for n in range(39)]
  made = make_fleet(*names, me='a-me')
  keys = [f'{number:02x}' for number in range(256)]
  hubs.get_rendezvous_weight.cache_clear()
  own = made.find_first_ranked_keys(keys)
  # Each key is hashed with five domains, a fifth of the keys with 40 members.
  assert (
    hubs.get_rendezvous_weight.cache_info().misses < 256 * 5 + 2 * 256 / 5 * 40
  )
  owners = {
    key: [
      name
      for name in ('a-me', *names)
      if key
      in make_fleet(
        *({'a-me', *names} - {name}), me=name
      ).find_first_ranked_keys([key])
    ]
    for key in [*keys[:2], *own[:2]]
  }
  assert all(len(found) == 1 for found in owners.values())
  assert all(owners[key] == ['a-me'] for key in own[:2])


def return_from_silence(made, *names):
  """Makes the members' domain silent, and hears the first of them again."""
  for name in names:
    receive(made, name, ago=5.0)
    made._added_at[name] -= fleet.FIRST_HEARTBEAT_TIMEOUT_SECONDS
    made._heard_at_by_domain[name.partition('-')[0]] -= 5.0
  made._invalidate_view()
  assert made.find_unsettled_domains() == {'s'}
  receive(made, names[0])


def test_a_returning_domain_is_settled_once_all_its_members_report(
  monkeypatch,
):
  made = make_fleet('s-1', 's-2')
  return_from_silence(made, 's-1', 's-2')
  now = time.monotonic()
  monkeypatch.setattr('time.monotonic', lambda: now)
  # This report is too early: the member may not have heard this side yet, and
  # may still spend without it.
  receive(made, 's-2')
  assert made.find_unsettled_domains() == {'s'}
  now += returning_domains.REPORT_DELAY_SECONDS
  receive(made, 's-1')
  assert made.find_unsettled_domains() == {'s'}
  receive(made, 's-2', is_owing=True)
  assert made.find_unsettled_domains() == {'s'}
  receive(made, 's-2')
  assert not made.find_unsettled_domains()


def test_a_dead_member_delays_settling_only_for_the_suspect_timeout(
  monkeypatch,
):
  made = make_fleet('s-1', 's-2')
  return_from_silence(made, 's-1', 's-2')
  now = time.monotonic() + fleet.SUSPECT_TIMEOUT_SECONDS - 0.1
  monkeypatch.setattr('time.monotonic', lambda: now)
  receive(made, 's-1')
  assert made.find_unsettled_domains() == {'s'}
  now += 0.2
  receive(made, 's-1')
  assert not made.find_unsettled_domains()


def test_a_daemon_started_in_a_partition_uses_its_peers_reports():
  made = make_fleet('n-1', 's-1')
  receive(made, 'n-1', silent=('s',))
  assert made.find_silent_domains() == []
  assert made.find_unsettled_domains() == {'s'}
  # Later it detects for itself whether the domain is silent.
  made._started_at -= fleet.FIRST_HEARTBEAT_TIMEOUT_SECONDS
  assert not made.find_unsettled_domains()


async def test_a_daemon_restarted_at_another_address_registers_again(
  monkeypatch,
):
  """Guards against a daemon that stays registered at an outdated address.

  After a loss of all daemons each knew only the old addresses.  A row with the
  daemon's name existed, so that the daemon did not write a new one until the
  row was removed as that of a silent member.  This test disables that removal.
  """
  monkeypatch.setattr(registration, 'ROW_REMOVAL_TIMEOUT_SECONDS', 1e9)
  async with nodes.Nodes() as served:
    await served.start('n1', 's1')
    for name in ('n1', 's1'):
      await served.stop(name)
    await served.start_alone('n1')
    await served.start_alone('s1')
    await served.wait_for_all()
