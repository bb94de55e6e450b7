"""Rates of teams over all daemons: in calm times, in cuts and after restarts.

Whole daemons on a virtual clock; what instances ran is counted.
"""

import asyncio
import random
import time

from faults import clock
from faults import fleet
from faults import network
import hypothesis
from hypothesis import strategies
import msgspec
import nodes
import pytest

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import quota_messages
from woadrun.connection import rows
from woadrun.decisions import program_need
from woadrun.decisions import rate_limit
from woadrun.platform import operator
from woadrun.process import beats
from woadrun.process import rate_keeper
from woadrun.request import exchange
from woadrun.request import rates

WINDOW = 5.0
RATE = 20.0
# What the operators allow beyond a limit while something fails.
FAULT_SHARE, FAULT_REQUESTS = 0.1, 20
ALLOWED_IN_FAULTS = (RATE * WINDOW + RATE) * (1 + FAULT_SHARE) + FAULT_REQUESTS
KEY = 'key'


def make_config(version=1, rate=RATE, burst=RATE):
  team = {
    'name': 'red',
    'api_keys': [KEY],
    'rate_per_s': rate,
    'burst': burst,
  }
  return {**fleet.CONFIG, 'version': version, 'tenants': [team]}


def find_worst_window(times):
  times = sorted(times)
  first = worst = 0
  for last, at in enumerate(times):
    while times[first] < at - WINDOW:
      first += 1
    worst = max(worst, last - first + 1)
  return worst


class Load:
  """A fleet whose callers send one team's requests to all daemons."""

  def __init__(self, *, per_second, daemons=6, config=None):
    self.served = fleet.Fleet(
      dice=random.Random(1),
      daemons=daemons,
      domains=3,
      config=config or make_config(),
    )
    self.per_second = per_second
    self.ran_at = []
    self.codes = []

  async def start(self):
    await self.served.start_all()
    await asyncio.sleep(3.0)
    asyncio.ensure_future(self._ask_often())

  async def _ask_often(self):
    dice = random.Random(2)
    for number in range(10_000):
      asyncio.ensure_future(self._ask(dice, f'r{number}'))
      await asyncio.sleep(dice.expovariate(self.per_second))

  async def _ask(self, dice, id):
    alive = self.served.get_alive()
    if not alive:
      return
    request = nodes.make_request(id, path=fleet.ACT, key=KEY)
    site = dice.choice(alive)
    # It ends with its daemon's process.
    work = site.run(self._answer(site.daemon, request))
    await asyncio.wait([work])
    if id in self.served.instances.bodies_by_request:
      self.ran_at.append(time.monotonic())

  async def _answer(self, daemon, request):
    try:
      async with daemon.serving.answer(request):
        pass
    except errors.WoadrunError as error:
      self.codes.append(error.code)

  async def configure(self, config):
    value = operator.seal(msgspec.json.encode(config))
    key = rows.Key('op', '', 'config')
    await self.served.store.rows.change(writes=[(key, value)])

  def cut(self, domain):
    self.served.network.cuts += network.make_cuts(
      domain, self.served.domains, is_reset=False
    )
    self.served.store.domains_without.add(domain)

  async def restart_all(self):
    """Kills all daemons and starts them; `codes` has what comes after that."""
    for name in self.served.names:
      await self.served.kill(name)
    await asyncio.sleep(0.3)
    self.codes.clear()
    for name in self.served.names:
      await self.served.start(name)

  def heal(self):
    self.served.network.cuts.clear()
    self.served.store.domains_without.clear()


def play(scenario, **options):
  async def run():
    found = Load(**options)
    await found.start()
    await scenario(found)

  with clock.run_by(clock.Clock()) as loop:
    random.seed(1)
    loop.run_until_complete(run())


def test_calm_times_refuse_nothing_below_the_rate():
  async def scenario(found):
    await asyncio.sleep(15.0)
    assert errors.Code.RATE_EXCEEDED not in found.codes
    assert len(found.ran_at) > 13 * found.per_second

  play(scenario, per_second=RATE * 0.6)


def test_a_team_that_sends_five_times_its_rate_gets_its_rate():
  async def scenario(found):
    await asyncio.sleep(15.0)
    assert find_worst_window(found.ran_at) <= RATE * WINDOW + RATE
    assert len(found.ran_at) >= RATE * 14
    assert set(found.codes) <= {
      errors.Code.RATE_EXCEEDED,
      errors.Code.UPSTREAM_UNAVAILABLE,
      errors.Code.OUTCOME_UNKNOWN,
    }

  play(scenario, per_second=RATE * 5)


@pytest.mark.parametrize('daemons', [3, 6, 30])
def test_the_rate_holds_through_a_cut(daemons):
  async def scenario(found):
    await asyncio.sleep(6.0)
    found.cut('d0')
    await asyncio.sleep(5.0)
    found.heal()
    await asyncio.sleep(6.0)
    assert find_worst_window(found.ran_at) <= ALLOWED_IN_FAULTS

  play(scenario, per_second=RATE * 5, daemons=daemons)


def test_the_rate_holds_as_all_daemons_are_killed():
  async def scenario(found):
    await asyncio.sleep(6.0)
    await found.restart_all()
    await asyncio.sleep(8.0)
    assert find_worst_window(found.ran_at) <= RATE * WINDOW + RATE

  play(scenario, per_second=RATE * 5)


def test_the_rate_holds_as_keepers_are_killed_one_after_the_other():
  async def scenario(found):
    await asyncio.sleep(3.0)
    for _ in range(6):
      some = found.served.get_alive()[0].daemon
      keeper = rate_keeper.find_keeper(some.fleet, 'red').name
      await found.served.kill(keeper)
      await asyncio.sleep(0.6)
      await found.served.start(keeper)
      await asyncio.sleep(1.0)
    assert find_worst_window(found.ran_at) <= ALLOWED_IN_FAULTS

  play(scenario, per_second=RATE * 5)


def test_a_lowered_limit_holds_one_window_later():
  async def scenario(found):
    await asyncio.sleep(4.0)
    await found.configure(make_config(2, rate=5.0, burst=5.0))
    await asyncio.sleep(3.0)
    since = time.monotonic()
    await asyncio.sleep(10.0)
    ran = [at for at in found.ran_at if at > since]
    assert find_worst_window(ran) <= 5.0 * WINDOW + 5.0

  play(scenario, per_second=RATE * 5)


def test_a_raised_limit_is_used():
  async def scenario(found):
    await asyncio.sleep(4.0)
    await found.configure(make_config(2, rate=60.0, burst=60.0))
    await asyncio.sleep(3.0)
    since = time.monotonic()
    await asyncio.sleep(6.0)
    assert sum(at > since for at in found.ran_at) >= 60.0 * 5

  play(scenario, per_second=RATE * 5)


def test_a_refusal_tells_when_to_come_back_and_has_not_run():
  async def scenario(found):
    await asyncio.sleep(3.0)
    site = found.served.get_alive()[0]
    for number in range(200):
      request = nodes.make_request(f'x{number}', path=fleet.ACT, key=KEY)
      try:
        async with site.daemon.serving.answer(request):
          pass
      except errors.WoadrunError as error:
        if error.code is errors.Code.RATE_EXCEEDED:
          assert error.status == 429
          assert error.ran is errors.Ran.NOT_RUN
          assert 0.5 < error.retry_after < 2.0
          return
    raise AssertionError('nothing was refused')

  play(scenario, per_second=RATE * 5)


def test_callers_that_come_back_to_daemons_just_started_wait_for_a_keeper():
  """They were refused with 421, without a time, until the keepers knew all."""

  async def scenario(found):
    await asyncio.sleep(2.0)
    await found.restart_all()
    await asyncio.sleep(6.0)
    assert errors.Code.NOT_OWNER not in found.codes
    assert errors.Code.OWNER_UNAVAILABLE not in found.codes

  play(scenario, per_second=RATE * 0.5)


def test_without_any_keeper_a_request_is_refused_with_a_time():
  async def scenario(found):
    await asyncio.sleep(1.0)
    site = found.served.get_alive()[0]

    async def refuse(member, ask):
      raise errors.WoadrunError(errors.Code.NOT_OWNER, 'Not here.')

    site.daemon.serving._limits._ask_at = refuse
    with pytest.raises(errors.WoadrunError) as caught:
      request = nodes.make_request('x', path=fleet.ACT, key=KEY)
      async with site.daemon.serving.answer(request):
        pass
    assert caught.value.code is errors.Code.OWNER_UNAVAILABLE
    assert caught.value.ran is errors.Ran.NOT_RUN
    assert caught.value.retry_after

  play(scenario, per_second=RATE * 0.5)


# --- Buckets ------------------------------------------------------------------


@hypothesis.given(
  rate=strategies.floats(0.5, 200.0),
  burst=strategies.floats(0.0, 200.0),
  gaps=strategies.lists(strategies.floats(0.0, 1.0), max_size=300),
)
def test_no_span_has_more_than_its_rate_and_one_burst(rate, burst, gaps):
  bucket = rate_limit.Bucket(level=burst, at=0.0)
  now, used_at = 0.0, []
  for gap in gaps:
    now += gap
    outcome = rate_limit.take(bucket, rate=rate, burst=burst, now=now)
    assert outcome.wait <= rate_limit.MOST_WAIT_SECONDS
    if outcome.is_granted:
      used_at.append(now + outcome.wait)
  capacity = rate_limit.get_capacity(burst)
  for first, start in enumerate(used_at):
    for last in range(first, len(used_at)):
      span = used_at[last] - start
      assert last - first + 1 <= rate * span + capacity + 1e-6


def test_what_waits_has_its_turn_in_order():
  bucket = rate_limit.Bucket(level=1.0, at=0.0)
  waits = [
    rate_limit.take(bucket, rate=10.0, burst=1.0, now=0.0) for _ in range(7)
  ]
  assert [w.wait for w in waits[:6]] == pytest.approx(
    [0.0, 0.1, 0.2, 0.3, 0.4, 0.5]
  )
  assert not waits[6].is_granted
  assert waits[6].retry_after == pytest.approx(0.6)


# --- Whole programs -----------------------------------------------------------


def run_program(known, id, *, at, requests=10, seconds=2.0):
  for number in range(requests):
    known.note(id, 'chat', at + seconds * number / (requests - 1))


def test_what_programs_need_is_learned_from_those_that_ended():
  known = program_need.Programs()
  assert known.get_excess('chat', level=0.0, rate=1.0, slowdown=1.0) == 0
  run_program(known, 'a', at=0.0)
  known.end_idle(3.0)
  assert not known.need_by_kind
  known.end_idle(4.1)
  need = known.need_by_kind['chat']
  assert (need.requests, need.seconds) == (10, 2.0)


def test_a_rate_holds_as_many_programs_as_it_can_feed():
  """Five requests a second each: a rate of 20 feeds four of them.

  Eight while all become half as fast, one more with ten units to spare.
  """
  known = program_need.Programs()
  run_program(known, 'a', at=0.0)
  known.end_idle(10.0)
  for number in range(8):
    assert known.get_excess('chat', level=0.0, rate=20.0, slowdown=2.0) <= 0
    known.note(f'p{number}', 'chat', 10.0)
  assert known.get_excess(
    'chat', level=0.0, rate=20.0, slowdown=2.0
  ) == pytest.approx(5.0)
  assert known.get_excess('chat', level=10.0, rate=20.0, slowdown=2.0) <= 0
  seconds = known.estimate_return('chat', excess=5.0)
  assert seconds == pytest.approx(2.0 / 8)


def test_programs_that_wait_for_their_rate_do_not_seem_to_need_less():
  known = program_need.Programs()
  for number in range(10):
    known.note('a', 'chat', 1.0 * number, wait=0.75)
  known.end_idle(20.0)
  assert known.need_by_kind['chat'].seconds == pytest.approx(2.25)


def test_kinds_are_compared_by_what_they_send_a_second():
  """A long program must not count in the time of a short one as a whole."""
  known = program_need.Programs()
  run_program(known, 'long', at=0.0, requests=50, seconds=10.0)
  known.need_by_kind['short'] = program_need.Need(requests=5, seconds=1.0)
  known.end_idle(20.0)
  known.note('b', 'chat', 20.0)
  assert known.get_excess('short', level=0.0, rate=8.0, slowdown=2.0) <= 0


def get_keeper(served):
  """Returns the keeper of a daemon that has run for long."""
  keeper = served.by_name['n1'].rate_keeper
  keeper._started_at -= 10.0
  return keeper


def make_ask(**fields):
  given = {
    'team': 'red',
    'version': 1,
    'per_second': 10.0,
    'burst': 10.0,
    'program': 'p',
    'kind': 'chat',
  }
  return quota_messages.TakeUnit(**{**given, **fields})


async def test_programs_under_way_go_on_where_new_ones_are_refused():
  async with nodes.Nodes() as served:
    await served.start('n1')
    keeper = get_keeper(served)
    await keeper.answer(make_ask(program='old'))
    kept = keeper._kept_by_team['red']
    kept.programs.need_by_kind['chat'] = program_need.Need(
      requests=60, seconds=1.0
    )
    kept.bucket.level = 5.0
    refused = await keeper.answer(make_ask(program='new', begins=True))
    assert not refused.is_granted
    assert refused.retry_after > 0
    for begins in (False, True):
      ask = make_ask(program='old', begins=begins)
      assert (await keeper.answer(ask)).is_granted


async def test_a_daemon_with_an_older_table_does_not_bring_an_old_limit_back():
  async with nodes.Nodes() as served:
    await served.start('n1')
    keeper = get_keeper(served)
    await keeper.answer(make_ask(version=1, per_second=100.0, burst=100.0))
    await keeper.answer(make_ask(version=2, per_second=5.0, burst=5.0))
    await keeper.answer(make_ask(version=1, per_second=100.0, burst=100.0))
    kept = keeper._kept_by_team['red']
    assert (kept.version, kept.per_second) == (2, 5.0)
    assert kept.bucket.level <= 5.0


async def test_less_urgent_programs_are_refused_first():
  async with nodes.Nodes() as served:
    await served.start('n1')
    keeper = get_keeper(served)
    await keeper.answer(make_ask(program='old'))
    kept = keeper._kept_by_team['red']
    # One is under way, and each sends as much as the rate holds.
    kept.programs.need_by_kind['chat'] = program_need.Need(
      requests=100, seconds=10.0
    )
    kept.bucket.level = 0.0
    answers = [
      await keeper.answer(
        make_ask(program=f'p{priority}', priority=priority, begins=True)
      )
      for priority in (1, 0)
    ]
    assert [unit.is_granted for unit in answers] == [False, True]


async def test_only_one_daemon_keeps_the_whole_rate():
  async with nodes.Nodes() as served:
    await served.start('n1', 's1', 'w1')
    keepers = {
      rate_keeper.find_keeper(item.fleet, 'red')
      for item in served.by_name.values()
    }
    assert len(keepers) == 1
    for item in served.by_name.values():
      if item.fleet.me in keepers:
        continue
      with pytest.raises(errors.WoadrunError) as caught:
        await item.rate_keeper.answer(make_ask())
      assert caught.value.code is errors.Code.NOT_OWNER


async def test_a_process_that_stood_still_has_nothing_saved():
  """Another daemon may have kept the rate meanwhile, and granted its burst."""
  async with nodes.Nodes() as served:
    await served.start('n1')
    keeper = get_keeper(served)
    await keeper.answer(make_ask())
    kept = keeper._kept_by_team['red']
    kept.bucket.level = 10.0
    keeper._polled_at -= rate_keeper.FROZEN_SECONDS
    keeper._poll_members(time.monotonic())
    assert kept.bucket.level <= 0.0


async def test_a_turn_that_waited_long_asks_again_before_it_is_sent():
  async with nodes.Nodes(config=make_config()) as served:
    await served.start('n1')
    asked = []
    daemon = served.by_name['n1']
    answer = get_keeper(served).answer

    async def note(ask):
      asked.append(ask)
      return await answer(ask)

    daemon.rate_keeper.answer = note
    limits = daemon.serving._limits
    request = exchange.Request(
      id='a',
      method='GET',
      host='h',
      target=f'{fleet.ACT}x',
      headers=[],
      body=b'',
      key_digest=nodes.teams.digest_key(KEY),
    )
    granted = await daemon.serving._access.grant(request)
    deadline = time.monotonic() + 3.0
    taken_at = await limits.take(request, granted, deadline=deadline)
    await limits.renew(taken_at, request, granted, deadline=deadline)
    assert len(asked) == 1
    await limits.renew(taken_at - 2.0, request, granted, deadline=deadline)
    assert len(asked) == 2


class Members:
  """Members of two domains; `north` may be out of sight."""

  def __init__(self):
    self.me = beats.Member(name='s1', address='x', domain='south')
    self.other = beats.Member(name='n1', address='y', domain='north')
    self.domains = {'north', 'south'}
    self.is_north_silent = False

  def find_silent(self):
    return ['north'] if self.is_north_silent else []

  def rank(self, key, domain):
    return [self.me if domain == 'south' else self.other]

  def find_staying(self):
    return ['s1'] if self.is_north_silent else ['n1', 's1']


async def test_a_team_that_comes_from_a_lost_keeper_brings_no_burst():
  """Its keeper beyond a cut may just have granted all that it had saved."""
  members = Members()
  keeper = rate_keeper.RateKeeper(members=members, is_told=lambda: True)
  keeper._started_at -= 100.0
  keeper._changed_at -= 100.0
  team = next(
    f'team{number}'
    for number in range(100)
    if rate_keeper.find_keeper(members, f'team{number}') == members.other
  )
  keeper._poll_members(time.monotonic() + rate_keeper.POLL_SECONDS)
  keeper._changed_at -= 100.0
  members.is_north_silent = True
  unit = await keeper.answer(make_ask(team=team))
  assert unit.wait > 0.0


async def test_a_lost_keeper_of_a_domains_share_is_passed_over():
  asked = []

  class Links:
    async def post(self, address, *_, **__):
      asked.append(address)
      if address != 'z':
        raise peers.NoAnswer(errors.Code.OWNER_UNAVAILABLE, 'Gone.')
      return quota_messages.Unit(is_granted=True)

  class Lost(Members):
    """Both the keeper and the first member of the own domain are lost."""

    def rank(self, key, domain):
      found = [('n1', 'y'), ('s2', 'w'), ('s3', 'z')]
      return [
        beats.Member(name=name, address=address, domain=domain)
        for name, address in found
      ]

  limits = rates.Rates(members=Lost(), local=None, links=Links())
  unit = await limits._ask_patiently(make_ask(), time.monotonic() + 3.0)
  assert unit.is_granted
  assert asked == ['y', 'w', 'z']
