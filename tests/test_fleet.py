"""Who is alive, who looks after what, and whom a daemon beats to."""

import time

import msgspec
import nodes

from woadrun.process import beats
from woadrun.process import fleet
from woadrun.process import hubs
from woadrun.process import registration
from woadrun.process import returns


def make_fleet(*others, me='n-me'):
  domain = me.partition('-')[0]
  member = beats.Member(name=me, address='127.0.0.1:1', domain=domain)

  def make_beat():
    return beats.Beat(name=me, address=member.address, domain=domain)

  made = fleet.Fleet(me=member, make_beat=make_beat, on_beat=lambda beat: None)
  for name in others:
    made.add(
      beats.Member(
        name=name, address='127.0.0.1:2', domain=name.partition('-')[0]
      )
    )
  return made


def hear(made, name, *, ago=0.0, **options):
  beat = beats.Beat(
    name=name,
    address='127.0.0.1:2',
    domain=name.partition('-')[0],
    **options,
  )
  made._receive(msgspec.json.encode(beat))
  made.heard_by_name[name].at -= ago


def test_a_member_that_goes_moves_only_what_it_had():
  made = make_fleet('n-1', 'n-2', 'n-3')
  before = {key: made.rank(key, 'n')[0].name for key in map(str, range(200))}
  hear(made, 'n-2', ago=5.0)
  after = {key: made.rank(key, 'n')[0].name for key in before}
  moved = {key for key in before if before[key] != after[key]}
  assert moved == {key for key in before if before[key] == 'n-2'}
  assert len(set(after.values())) == 3


def test_silence_failure_and_leaving_take_a_member_out_for_a_while():
  made = make_fleet('n-1', 'n-2', 'n-3')
  for name in ('n-1', 'n-2', 'n-3'):
    hear(made, name)
  made.note_failure('n-1')
  hear(made, 'n-2', ago=fleet.SUSPECT_SECONDS)
  hear(made, 'n-3', is_leaving=True)
  assert [m.name for m in made.rank('x', 'n')] == ['n-me']
  made._failed_until['n-1'] = time.monotonic()
  hear(made, 'n-2')
  hear(made, 'n-3')
  assert len(made.rank('x', 'n')) == 4


def test_a_member_that_is_listed_but_never_heard_is_silent_after_a_while():
  made = make_fleet('s-1', 's-2')
  assert not made.is_silent('s')
  for name in ('s-1', 's-2'):
    made._known_since[name] -= fleet.FIRST_BEAT_SECONDS
  made._forget_view()
  assert made.is_silent('s')
  hear(made, 's-1')
  assert not made.is_silent('s')


def test_peers_with_the_store_are_found_those_of_the_own_domain_first():
  made = make_fleet('n-1', 's-1', 's-2')
  hear(made, 's-1', has_store=True)
  hear(made, 'n-1', has_store=True)
  hear(made, 's-2', has_store=False)
  assert [m.name for m in made.find_with_store()] == ['n-1', 's-1']


def test_what_is_no_datagram_of_ours_is_ignored():
  made = make_fleet('n-1')
  made._receive(b'\xff not ours')
  assert made.heard_by_name == {}


def test_a_peer_that_says_the_same_again_costs_no_new_view():
  made = make_fleet('n-1', 's-1')
  hear(made, 'n-1', has_store=True)
  view = made._get_view()
  hear(made, 'n-1', has_store=True)
  assert made._get_view() is view
  # What changes counts at once.
  hear(made, 'n-1')
  assert not made.may_have_store('n-1')
  hear(made, 'n-1', is_leaving=True)
  assert [m.name for m in made.rank('x', 'n')] == ['n-me']
  hear(made, 's-1', is_owing=True)
  assert made.find_unsettled() == {'s'}


def test_a_domain_that_is_heard_again_counts_at_once():
  made = make_fleet('s-1')
  hear(made, 's-1', ago=5.0)
  made._heard_at_by_domain['s'] -= 5.0
  made._known_since['s-1'] -= fleet.FIRST_BEAT_SECONDS
  made._forget_view()
  assert made.find_silent() == ['s']
  made.heard_by_name.pop('s-1')
  hear(made, 's-1')
  assert made.find_silent() == []


def test_keys_are_divided_among_the_living():
  made = make_fleet('n-1', 's-1')
  hear(made, 'n-1')
  hear(made, 's-1', ago=5.0)
  made._known_since['s-1'] -= fleet.FIRST_BEAT_SECONDS
  keys = [str(number) for number in range(64)]
  own = made.find_own(keys)
  assert own == [key for key in keys if made.is_first_of_all(key)]
  assert 16 <= len(own) <= 48


def test_a_domain_that_returns_is_unsettled_until_its_members_have_spoken():
  made = make_fleet('s-1', 's-2')
  for name in ('s-1', 's-2'):
    hear(made, name, ago=5.0)
    made._known_since[name] -= fleet.FIRST_BEAT_SECONDS
  made._heard_at_by_domain['s'] -= 5.0
  made._forget_view()
  assert made.find_unsettled() == {'s'}
  # The cut has healed: one member speaks, the other one owes the store.
  hear(made, 's-1')
  made._forget_view()
  assert made.find_unsettled() == {'s'}


def test_keys_are_divided_by_few_hashes():
  names = [f'{domain}-{n}' for domain in 'abcde' for n in range(39)]
  made = make_fleet(*names, me='a-me')
  keys = [f'{number:02x}' for number in range(256)]
  hubs.weigh.cache_clear()
  own = made.find_own(keys)
  # Five domains for each key, and 40 members for a fifth of the keys.
  assert hubs.weigh.cache_info().misses < 256 * 5 + 2 * 256 / 5 * 40
  owners = {
    key: [
      name
      for name in ('a-me', *names)
      if key
      in make_fleet(*({'a-me', *names} - {name}), me=name).find_own([key])
    ]
    for key in [*keys[:2], *own[:2]]
  }
  assert all(len(found) == 1 for found in owners.values())
  assert all(owners[key] == ['a-me'] for key in own[:2])


def return_from_silence(made, *names):
  """Has domains go silent, and hears the first of some members again."""
  for name in names:
    hear(made, name, ago=5.0)
    made._known_since[name] -= fleet.FIRST_BEAT_SECONDS
    made._heard_at_by_domain[name.partition('-')[0]] -= 5.0
  made._forget_view()
  assert made.find_unsettled() == {'s'}
  hear(made, names[0])


def test_a_domain_that_returns_is_settled_once_all_its_members_have_spoken(
  monkeypatch,
):
  made = make_fleet('s-1', 's-2')
  return_from_silence(made, 's-1', 's-2')
  now = time.monotonic()
  monkeypatch.setattr('time.monotonic', lambda: now)
  # Said before it can have heard this side: it may spend for a moment more.
  hear(made, 's-2')
  assert made.find_unsettled() == {'s'}
  now += returns.HEARING_SECONDS
  hear(made, 's-1')
  assert made.find_unsettled() == {'s'}
  hear(made, 's-2', is_owing=True)
  assert made.find_unsettled() == {'s'}
  hear(made, 's-2')
  assert not made.find_unsettled()


def test_a_dead_member_holds_a_domain_up_no_longer_than_silence_takes(
  monkeypatch,
):
  made = make_fleet('s-1', 's-2')
  return_from_silence(made, 's-1', 's-2')
  now = time.monotonic() + fleet.SUSPECT_SECONDS - 0.1
  monkeypatch.setattr('time.monotonic', lambda: now)
  hear(made, 's-1')
  assert made.find_unsettled() == {'s'}
  now += 0.2
  hear(made, 's-1')
  assert not made.find_unsettled()


def test_a_daemon_that_starts_in_a_cut_takes_its_peers_word_for_it():
  made = make_fleet('n-1', 's-1')
  hear(made, 'n-1', silent=('s',))
  assert made.find_silent() == []
  assert made.find_unsettled() == {'s'}
  # Later it hears for itself whether that still holds.
  made._started_at -= fleet.FIRST_BEAT_SECONDS
  assert not made.find_unsettled()


async def test_a_daemon_that_is_back_at_another_address_registers_there(
  monkeypatch,
):
  """After a loss of all daemons each knew the old addresses only.

  A row under its name was there, so that nobody wrote a new one until it was
  removed as that of a silent member, which is left out here.
  """
  monkeypatch.setattr(registration, 'GONE_SECONDS', 1e9)
  async with nodes.Nodes() as served:
    await served.start('n1', 's1')
    for name in ('n1', 's1'):
      await served.stop(name)
    await served.start_alone('n1')
    await served.start_alone('s1')
    await served.wait_for_all()
