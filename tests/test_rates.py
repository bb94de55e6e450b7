"""Rate limits of teams across all daemons, without and with faults.

The faults are network partitions and restarts of daemons.  Most tests run whole
daemons on a virtual clock and count the requests that instances ran.
"""

import asyncio
import dataclasses
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
from woadrun.connection import rate_messages
from woadrun.connection import rows
from woadrun.decisions import program_demand
from woadrun.decisions import rate_limit
from woadrun.decisions import timed_programs
from woadrun.platform import operator
from woadrun.process import fleet_heartbeats
from woadrun.process import planned_stop
from woadrun.process import rate_owner
from woadrun.request import authorization
from woadrun.request import exchange
from woadrun.request import rates
from woadrun.version import routes

WINDOW_SECONDS = 5.0
RATE = 20.0
# Excess over a limit that operators accept during faults: a ratio and a number
# of requests.
FAULT_EXCESS_RATIO, FAULT_EXCESS_REQUESTS = 0.1, 20
MAX_REQUESTS_UNDER_FAULTS = (RATE * WINDOW_SECONDS + RATE) * (
  1 + FAULT_EXCESS_RATIO
) + FAULT_EXCESS_REQUESTS
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
    while times[first] < at - WINDOW_SECONDS:
      first += 1
    worst = max(worst, last - first + 1)
  return worst


class Load:
  """A fleet whose callers send requests of one team to all daemons."""

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
    asyncio.ensure_future(self._send_continuously())

  async def _send_continuously(self):
    rng = random.Random(2)
    for number in range(10_000):
      asyncio.ensure_future(self._send(rng, f'r{number}'))
      await asyncio.sleep(rng.expovariate(self.per_second))

  async def _send(self, rng, id):
    alive = self.served.get_alive()
    if not alive:
      return
    request = nodes.make_request(id, path=fleet.ACT, key=KEY)
    site = rng.choice(alive)
    # The task is cancelled when the daemon is killed.
    work = site.run(self._answer(site.daemon, request))
    await asyncio.wait([work])
    if id in self.served.instances.bodies_by_request:
      self.ran_at.append(time.monotonic())

  async def _answer(self, daemon, request):
    try:
      async with daemon.serving.handle_request(request):
        pass
    except errors.WoadrunError as error:
      self.codes.append(error.code)

  async def configure(self, config):
    value = operator.hash_api_keys(msgspec.json.encode(config))
    key = rows.Key('op', '', 'config')
    await self.served.store.rows.change(writes=[(key, value)])

  def partition(self, domain):
    self.served.network.cuts += network.make_cuts(
      domain, self.served.domains, is_reset=False
    )
    self.served.store.domains_without.add(domain)

  async def restart_all(self):
    """Kills and restarts all daemons; `codes` then has only later errors."""
    for name in self.served.names:
      await self.served.kill(name)
    await asyncio.sleep(0.3)
    self.codes.clear()
    for name in self.served.names:
      await self.served.start(name)

  def heal(self):
    self.served.network.cuts.clear()
    self.served.store.domains_without.clear()


def run_scenario(scenario, **options):
  async def run():
    load = Load(**options)
    await load.start()
    await scenario(load)

  with clock.run_by(clock.Clock()) as loop:
    random.seed(1)
    loop.run_until_complete(run())


def test_nothing_is_refused_below_the_rate_without_faults():
  async def scenario(load):
    await asyncio.sleep(15.0)
    assert errors.Code.RATE_EXCEEDED not in load.codes
    assert len(load.ran_at) > 13 * load.per_second

  run_scenario(scenario, per_second=RATE * 0.6)


def test_team_that_sends_five_times_its_rate_gets_its_rate():
  async def scenario(load):
    await asyncio.sleep(15.0)
    assert find_worst_window(load.ran_at) <= RATE * WINDOW_SECONDS + RATE
    assert len(load.ran_at) >= RATE * 14
    assert set(load.codes) <= {
      errors.Code.RATE_EXCEEDED,
      errors.Code.UPSTREAM_UNAVAILABLE,
      errors.Code.OUTCOME_UNKNOWN,
    }

  run_scenario(scenario, per_second=RATE * 5)


@pytest.mark.parametrize('daemons', [3, 6, 30])
def test_rate_holds_during_a_partition(daemons):
  async def scenario(load):
    await asyncio.sleep(6.0)
    load.partition('d0')
    await asyncio.sleep(5.0)
    load.heal()
    await asyncio.sleep(6.0)
    assert find_worst_window(load.ran_at) <= MAX_REQUESTS_UNDER_FAULTS

  run_scenario(scenario, per_second=RATE * 5, daemons=daemons)


def test_rate_holds_when_all_daemons_are_killed():
  async def scenario(load):
    await asyncio.sleep(6.0)
    await load.restart_all()
    await asyncio.sleep(8.0)
    assert find_worst_window(load.ran_at) <= RATE * WINDOW_SECONDS + RATE

  run_scenario(scenario, per_second=RATE * 5)


def test_rate_holds_when_owners_are_killed_one_after_another():
  async def scenario(load):
    await asyncio.sleep(3.0)
    for _ in range(6):
      daemon = load.served.get_alive()[0].daemon
      owner = rate_owner.find_rate_owner(daemon.fleet, 'red').name
      await load.served.kill(owner)
      await asyncio.sleep(0.6)
      await load.served.start(owner)
      await asyncio.sleep(1.0)
    assert find_worst_window(load.ran_at) <= MAX_REQUESTS_UNDER_FAULTS

  run_scenario(scenario, per_second=RATE * 5)


def test_lowered_limit_holds_after_one_window():
  async def scenario(load):
    await asyncio.sleep(4.0)
    await load.configure(make_config(2, rate=5.0, burst=5.0))
    await asyncio.sleep(3.0)
    since = time.monotonic()
    await asyncio.sleep(10.0)
    ran = [at for at in load.ran_at if at > since]
    assert find_worst_window(ran) <= 5.0 * WINDOW_SECONDS + 5.0

  run_scenario(scenario, per_second=RATE * 5)


def test_raised_limit_takes_effect():
  async def scenario(load):
    await asyncio.sleep(4.0)
    await load.configure(make_config(2, rate=60.0, burst=60.0))
    await asyncio.sleep(3.0)
    since = time.monotonic()
    await asyncio.sleep(6.0)
    assert sum(at > since for at in load.ran_at) >= 60.0 * 5

  run_scenario(scenario, per_second=RATE * 5)


def test_refused_request_has_not_run_and_has_a_retry_delay():
  async def scenario(load):
    await asyncio.sleep(3.0)
    site = load.served.get_alive()[0]
    for number in range(200):
      request = nodes.make_request(f'x{number}', path=fleet.ACT, key=KEY)
      try:
        async with site.daemon.serving.handle_request(request):
          pass
      except errors.WoadrunError as error:
        if error.code is errors.Code.RATE_EXCEEDED:
          assert error.status == 429
          assert error.ran is errors.RunStatus.NOT_RUN
          # A unit within the time of the caller would have been awaited.
          assert error.retry_after > request.deadline - time.monotonic() > 2.9
          return
    raise AssertionError('no request exceeded the rate limit')

  run_scenario(scenario, per_second=RATE * 5)


def test_requests_to_restarted_daemons_wait_for_an_owner():
  """Requests after a restart of all daemons wait for a rate-limit owner.

  Without the wait they were refused with 421, without a retry delay, until the
  owners had discovered all members.
  """

  async def scenario(load):
    await asyncio.sleep(2.0)
    await load.restart_all()
    await asyncio.sleep(6.0)
    assert errors.Code.NOT_OWNER not in load.codes
    assert errors.Code.OWNER_UNAVAILABLE not in load.codes

  run_scenario(scenario, per_second=RATE * 0.5)


def test_request_without_reachable_owner_is_refused_with_a_retry_delay():
  async def scenario(load):
    await asyncio.sleep(1.0)
    site = load.served.get_alive()[0]

    async def refuse(member, ask):
      raise errors.WoadrunError(errors.Code.NOT_OWNER, 'Not here.')

    site.daemon.serving._limits._ask_member = refuse
    with pytest.raises(errors.WoadrunError) as caught:
      request = nodes.make_request('x', path=fleet.ACT, key=KEY)
      async with site.daemon.serving.handle_request(request):
        pass
    assert caught.value.code is errors.Code.OWNER_UNAVAILABLE
    assert caught.value.ran is errors.RunStatus.NOT_RUN
    assert caught.value.retry_after

  run_scenario(scenario, per_second=RATE * 0.5)


# --- Buckets ------------------------------------------------------------------


@hypothesis.given(
  rate=strategies.floats(0.5, 200.0),
  burst=strategies.floats(0.0, 200.0),
  gaps=strategies.lists(strategies.floats(0.0, 1.0), max_size=300),
)
def test_no_time_span_exceeds_the_rate_plus_one_burst(rate, burst, gaps):
  bucket = rate_limit.BucketState(level=burst, updated_at=0.0)
  now, used_at = 0.0, []
  for gap in gaps:
    now += gap
    outcome = rate_limit.take(bucket, rate=rate, burst=burst, now=now)
    assert outcome.wait <= rate_limit.MAX_ADVANCE_SECONDS
    if outcome.is_granted:
      used_at.append(now + outcome.wait)
  capacity = rate_limit.get_capacity(burst)
  for first, start in enumerate(used_at):
    for last in range(first, len(used_at)):
      span = used_at[last] - start
      assert last - first + 1 <= rate * span + capacity + 1e-6


def test_waiting_requests_are_granted_in_order():
  bucket = rate_limit.BucketState(level=1.0, updated_at=0.0)
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
    known.record_request(id, 'chat', at + seconds * number / (requests - 1))


def test_need_is_learned_from_ended_programs():
  known = program_demand.ProgramTracker()
  assert known.get_excess('chat', level=0.0, rate=1.0, slowdown=1.0) == 0
  run_program(known, 'a', at=0.0)
  known.expire_idle(3.0)
  assert not known.demand_by_kind
  known.expire_idle(4.1)
  need = known.demand_by_kind['chat']
  assert (need.requests, need.seconds) == (10, 2.0)


def test_rate_admits_as_many_programs_as_it_suffices_for():
  """Programs are admitted as long as the rate suffices for all of them.

  Each program sends five requests a second, so a rate of 20 suffices for four.
  With a slowdown to half the speed it suffices for eight, and with ten spare
  units for one more.
  """
  known = program_demand.ProgramTracker()
  run_program(known, 'a', at=0.0)
  known.expire_idle(10.0)
  for number in range(8):
    assert known.get_excess('chat', level=0.0, rate=20.0, slowdown=2.0) <= 0
    known.record_request(f'p{number}', 'chat', 10.0)
  assert known.get_excess(
    'chat', level=0.0, rate=20.0, slowdown=2.0
  ) == pytest.approx(5.0)
  assert known.get_excess('chat', level=10.0, rate=20.0, slowdown=2.0) <= 0
  seconds = known.estimate_retry_after('chat', excess=5.0)
  assert seconds == pytest.approx(2.0 / 8)


def test_learned_need_excludes_the_time_spent_waiting():
  known = program_demand.ProgramTracker()
  for number in range(10):
    known.record_request('a', 'chat', 1.0 * number, wait=0.75)
  known.expire_idle(20.0)
  assert known.demand_by_kind['chat'].seconds == pytest.approx(2.25)


def test_kinds_are_compared_by_requests_per_second():
  """A long program's total need must not count against a short program's time.

  Kinds of programs differ in duration, so their requests a second are compared.
  """
  known = program_demand.ProgramTracker()
  run_program(known, 'long', at=0.0, requests=50, seconds=10.0)
  known.demand_by_kind['short'] = program_demand.ProgramDemand(
    requests=5, seconds=1.0
  )
  known.expire_idle(20.0)
  known.record_request('b', 'chat', 20.0)
  assert known.get_excess('short', level=0.0, rate=8.0, slowdown=2.0) <= 0


def get_owner(served):
  """Returns a daemon's rate-limit owner, past its start-up delay."""
  owner = served.by_name['n1'].rate_owner
  owner._started_at -= 10.0
  return owner


def make_ask(**fields):
  given = {
    'team': 'red',
    'version': 1,
    'per_second': 10.0,
    'burst': 10.0,
    'program': 'p',
    'kind': 'chat',
  }
  return rate_messages.AcquireRate(**{**given, **fields})


async def test_running_programs_continue_when_new_ones_are_refused():
  async with nodes.Nodes() as served:
    await served.start('n1')
    owner = get_owner(served)
    await owner.answer(make_ask(program='old'))
    limit = owner._limit_by_team['red']
    limit.programs.demand_by_kind['chat'] = program_demand.ProgramDemand(
      requests=60, seconds=1.0
    )
    limit.bucket.level = 5.0
    refused = await owner.answer(make_ask(program='new', begins=True))
    assert not refused.is_granted
    assert refused.retry_after > 0
    for begins in (False, True):
      ask = make_ask(program='old', begins=begins)
      assert (await owner.answer(ask)).is_granted


async def test_older_table_of_another_daemon_does_not_restore_an_old_limit():
  async with nodes.Nodes() as served:
    await served.start('n1')
    owner = get_owner(served)
    await owner.answer(make_ask(version=1, per_second=100.0, burst=100.0))
    await owner.answer(make_ask(version=2, per_second=5.0, burst=5.0))
    await owner.answer(make_ask(version=1, per_second=100.0, burst=100.0))
    limit = owner._limit_by_team['red']
    assert (limit.version, limit.per_second) == (2, 5.0)
    assert limit.bucket.level <= 5.0


async def test_low_priority_programs_are_refused_first():
  async with nodes.Nodes() as served:
    await served.start('n1')
    owner = get_owner(served)
    await owner.answer(make_ask(program='old', priority=1))
    limit = owner._limit_by_team['red']
    # One program is running, and each one needs the whole rate.
    limit.programs.demand_by_kind['chat'] = program_demand.ProgramDemand(
      requests=100, seconds=10.0
    )
    limit.bucket.level = 0.0
    answers = [
      await owner.answer(
        make_ask(program=f'p{number}', priority=priority, begins=True)
      )
      for number, priority in enumerate((2, 1, 0, 0))
    ]
    # Another urgent program would slow the one down that is under way.
    is_granted = [unit.is_granted for unit in answers]
    assert is_granted == [False, False, True, False]


async def test_program_does_not_slow_down_one_that_is_as_urgent():
  """Guards against programs that all take 2.3 times as long as they need."""
  async with nodes.Nodes() as served:
    await served.start('n1')
    owner = get_owner(served)
    await owner.answer(make_ask(program='old'))
    limit = owner._limit_by_team['red']
    limit.programs.demand_by_kind['chat'] = program_demand.ProgramDemand(
      requests=100, seconds=10.0
    )
    limit.bucket.level = 0.0
    refused = await owner.answer(make_ask(program='new', begins=True))
    assert not refused.is_granted and refused.retry_after > 0.0


async def test_only_one_daemon_owns_the_whole_rate():
  async with nodes.Nodes() as served:
    await served.start('n1', 's1', 'w1')
    owners = {
      rate_owner.find_rate_owner(item.fleet, 'red')
      for item in served.by_name.values()
    }
    assert len(owners) == 1
    for item in served.by_name.values():
      if item.fleet.me in owners:
        continue
      with pytest.raises(errors.WoadrunError) as caught:
        await item.rate_owner.answer(make_ask())
      assert caught.value.code is errors.Code.NOT_OWNER


async def test_stalled_owner_drops_its_accumulated_units():
  """During a stall another daemon may have owned the rate.

  The other daemon may have granted the burst, so the stalled owner must drop
  the units that it has accumulated.
  """
  async with nodes.Nodes() as served:
    await served.start('n1')
    owner = get_owner(served)
    await owner.answer(make_ask())
    limit = owner._limit_by_team['red']
    limit.bucket.level = 10.0
    owner._polled_at -= rate_owner.STALL_THRESHOLD_SECONDS
    owner._poll_members(time.monotonic())
    assert limit.bucket.level <= 0.0


async def test_turn_with_expired_grant_takes_a_new_one():
  async with nodes.Nodes(config=make_config()) as served:
    await served.start('n1')
    asked = []
    daemon = served.by_name['n1']
    answer = get_owner(served).answer

    async def note(ask):
      asked.append(ask)
      return await answer(ask)

    daemon.rate_owner.answer = note
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
    unit = await limits.take(request, granted, deadline=deadline)
    assert await limits.renew(unit, request, granted, deadline=deadline) is unit
    assert len(asked) == 1
    old = dataclasses.replace(unit, granted_at=unit.granted_at - 2.0)
    await limits.renew(old, request, granted, deadline=deadline)
    assert len(asked) == 2


class Members:
  """Fake membership of two domains, of which `north` may be unreachable."""

  def __init__(self):
    self.me = fleet_heartbeats.Member(name='s1', address='x', domain='south')
    self.other = fleet_heartbeats.Member(name='n1', address='y', domain='north')
    self.domains = {'north', 'south'}
    self.is_north_silent = False

  def find_silent_domains(self):
    return ['north'] if self.is_north_silent else []

  def rank(self, key, domain):
    return [self.me if domain == 'south' else self.other]

  def find_active_names(self):
    return ['s1'] if self.is_north_silent else ['n1', 's1']


async def test_limit_taken_over_from_a_lost_owner_has_no_burst():
  """The previous owner may have granted the burst just before the cut."""
  members = Members()
  owner = rate_owner.RateOwner(members=members, has_member_list=lambda: True)
  owner._started_at -= 100.0
  owner._changed_at -= 100.0
  team = next(
    f'team{number}'
    for number in range(100)
    if rate_owner.find_rate_owner(members, f'team{number}') == members.other
  )
  owner._poll_members(time.monotonic() + rate_owner.POLL_INTERVAL_SECONDS)
  owner._changed_at -= 100.0
  members.is_north_silent = True
  unit = await owner.answer(make_ask(team=team))
  assert unit.wait > 0.0


async def test_unreachable_owner_of_a_domains_share_is_skipped():
  asked = []

  class Links:
    async def post(self, address, *_, **__):
      asked.append(address)
      if address != 'z':
        raise peers.NoAnswer(errors.Code.OWNER_UNAVAILABLE, 'Gone.')
      return rate_messages.RateDecision(is_granted=True)

  class UnreachableMembers(Members):
    """The owner and the first member of the own domain are unreachable."""

    def rank(self, key, domain):
      ranked = [('n1', 'y'), ('s2', 'w'), ('s3', 'z')]
      return [
        fleet_heartbeats.Member(name=name, address=address, domain=domain)
        for name, address in ranked
      ]

  limits = rates.RateLimitClient(
    members=UnreachableMembers(), local=None, messenger=Links()
  )
  unit = await limits._ask_with_retries(make_ask(), time.monotonic() + 3.0)
  assert unit.is_granted
  assert asked == ['y', 'w', 'z']


# --- Programs with a finish time ----------------------------------------------


def make_start(id, *, kind='chat', priority=0, left=2.0):
  return timed_programs.Start(
    id=id, kind=kind, priority=priority, seconds_left=left
  )


def make_timed_programs(**kinds):
  """Returns a tracker; each kind has `density` and `ratio`."""
  known = timed_programs.TimedPrograms()
  for kind, (density, ratio) in kinds.items():
    known.demand_by_kind[kind] = timed_programs.KindDemand(
      density=density, ratio=ratio
    )
  return known


def begin(known, start, *, now=0.0, **bucket):
  """Returns the refusal of a program, which otherwise sends one request."""
  known.record_asked(start, now)
  refusal = known.check(start, now=now, burst=20.0, **bucket)
  if refusal is None:
    known.record_request(
      start.id, start.kind, now, seconds_left=start.seconds_left
    )
  else:
    known.record_refused_start(start.id, refusal)
  return refusal


def test_programs_begin_until_their_remaining_requests_use_up_the_rate():
  """A rate of 20 suffices for 36 requests in the usable 1.8 s of 2 s.

  Four units of the bucket suffice for one more program.  Each has 10 requests,
  one of which is sent when it begins.  Programs that have sent most of theirs
  leave room; counted by requests a second, they did not.
  """
  known = make_timed_programs(chat=(5.0, 0.5))
  bucket = {'level': 4.0, 'rate': 20.0}
  refusals = [begin(known, make_start(f'p{n}'), **bucket) for n in range(6)]
  assert [refusal is None for refusal in refusals] == [True] * 4 + [False] * 2
  for _ in range(8):
    known.record_request('p0', 'chat', 0.3)
  assert begin(known, make_start('p4'), now=0.3, level=5.0, rate=20.0) is None


def test_new_program_leaves_a_unit_for_each_program_under_way():
  """Without this, programs under way waited before each of their requests."""
  known = make_timed_programs(chat=(5.0, 0.5))
  for number in range(4):
    known.record_request(f'p{number}', 'chat', 0.0, seconds_left=2.0)
  for kind in ('chat', 'unknown'):
    start = make_start('new', kind=kind)
    for level, is_refused in ((4.0, True), (5.0, False)):
      refusal = known.check(start, level=level, burst=90.0, rate=90.0, now=0.1)
      assert (refusal is not None) == is_refused


def test_program_may_take_the_time_that_it_has():
  """One with much time was refused as if it had to end in 2.3 times its work.

  The rate suffices for its 50 requests within the 6 s that it has, but not
  within 2.3 s.  Where programs differ, it leaves room for its own duration.
  """
  known = make_timed_programs(chat=(50 / 6, 1 / 6))
  # Another program is under way, and has sent all that it needs.
  for _ in range(50):
    known.record_request('p', 'chat', 0.0, seconds_left=6.0)
  bucket = {'level': 2.0, 'burst': 20.0, 'rate': 10.0, 'now': 0.1}
  start = make_start('new', left=6.0)
  assert known.check(start, **bucket) is None
  known.demand_by_kind['chat'].spread = 0.3
  assert known.check(start, **bucket) is not None


def test_spread_of_durations_is_learned():
  known = timed_programs.TimedPrograms()
  for id, seconds in (('a', 1.0), ('b', 1.6)):
    known.record_asked(make_start(id), 0.0)
    for at in (0.0, seconds):
      known.record_request(id, 'chat', at, seconds_left=2.0)
    known.expire_idle(10.0)
  found = known.demand_by_kind['chat']
  assert found.ratio == pytest.approx(0.5 + 0.1 * 0.3)
  assert found.spread == pytest.approx(0.1 * 0.3)


def test_program_begins_alone_where_the_rate_suffices_for_none():
  """A team with a low limit was otherwise refused all of its programs."""
  known = make_timed_programs(chat=(50.0, 0.5))
  bucket = {'level': 20.0, 'rate': 20.0}
  assert begin(known, make_start('a'), **bucket) is None
  assert begin(known, make_start('b'), **bucket) is not None


def test_refused_program_is_told_when_the_missing_units_have_accrued():
  """It was told 1 s at most, however long the units took to accrue."""
  known = make_timed_programs(chat=(5.0, 0.5))
  bucket = {'level': -55.0, 'rate': 20.0}
  # The units for the level of one request, which one program leaves.
  first = begin(known, make_start('a', left=9.0), **bucket)
  assert first.retry_after == pytest.approx(56 / 20)
  # It has no more time when it returns than it had then.
  assert known.get_allowed('a') == 9.0


def test_refused_programs_are_told_to_return_one_after_the_other():
  """All were told the same time, came back together and were refused again."""
  known = make_timed_programs(chat=(5.0, 0.5))
  bucket = {'level': -5.0, 'rate': 20.0}
  refusals = [begin(known, make_start(f'p{n}'), **bucket) for n in range(3)]
  # Each of them sends 10 requests, which take 0.5 s at this rate.
  assert [r.retry_after for r in refusals] == pytest.approx([0.3, 0.8, 1.3])
  again = begin(known, make_start('p0', left=1.9), now=0.1, **bucket)
  assert again.retry_after == pytest.approx(0.3 + 1.0)
  # Other priorities do not stand in its way, nor those whose time is over.
  other = begin(known, make_start('q', priority=1), now=0.1, **bucket)
  assert other.retry_after < 1.0
  known.expire_idle(2.05)
  late = begin(known, make_start('r'), now=2.05, **bucket)
  assert late.retry_after < 0.8


def test_refused_program_keeps_the_time_of_its_first_request():
  """After 3 s it counted as a new one, with the time that was left then."""
  known = make_timed_programs(chat=(5.0, 0.5))
  begin(known, make_start('a', left=9.0), level=-55.0, rate=20.0)
  known.expire_idle(8.9)
  assert known.get_allowed('a') == 9.0
  known.expire_idle(9.1)
  assert known.get_allowed('a') is None


def test_less_urgent_programs_leave_room_for_the_demand_of_urgent_ones():
  """Without this, urgent programs found the rate used up and were refused."""
  known = make_timed_programs(urgent=(5.0, 0.5), other=(5.0, 0.5))
  for number in range(10):
    now = number * 0.5
    known.record_asked(make_start(f'u{number}', kind='urgent'), now)
  bucket = {'level': 1.0, 'burst': 20.0, 'rate': 20.0, 'now': 5.0}
  other = make_start('b', kind='other', priority=2)
  assert known.check(make_start('a', kind='urgent'), **bucket) is None
  assert known.check(other, **bucket) is not None


def test_demand_is_observed_over_the_time_that_programs_have():
  """A surge of programs of 2 s kept others out for 5 s after its end."""
  known = make_timed_programs(urgent=(5.0, 0.5), other=(5.0, 0.5))
  for number in range(30):
    known.record_asked(make_start(f'u{number}', kind='urgent'), number / 6)
  bucket = {'level': 1.0, 'burst': 20.0, 'rate': 20.0}
  other = make_start('b', kind='other', priority=2)
  assert known.check(other, now=5.0, **bucket) is not None
  assert known.check(other, now=9.0, **bucket) is None


def test_less_urgent_programs_leave_room_for_the_spread_of_the_demand():
  """Urgent programs that came a little closer together were late."""
  known = make_timed_programs(urgent=(5.0, 0.5), other=(5.0, 0.5))
  for number in range(12):
    known.record_asked(make_start(f'u{number}', kind='urgent'), number / 1.2)
  # The mean demand of 24 requests in 2 s leaves room for 10 more.
  bucket = {'level': 1.0, 'burst': 20.0, 'rate': 20.0, 'now': 10.0}
  other = make_start('b', kind='other', priority=2)
  assert known.check(make_start('a', kind='urgent'), **bucket) is None
  assert known.check(other, **bucket) is not None


def test_less_urgent_kind_keeps_a_quarter_of_its_part():
  """Demand of urgent kinds beyond the rate would refuse all other programs."""
  known = make_timed_programs(urgent=(1.0, 0.5), other=(1.0, 0.5))
  for number in range(400):
    kind = 'other' if number % 4 == 0 else 'urgent'
    start = make_start(f'p{number}', kind=kind, priority=2 * (kind == 'other'))
    known.record_asked(start, 0.0)
  # A quarter of the part of 20 requests a second is 1.25: 2.5 in 2 s.
  bucket = {'level': 9.0, 'rate': 20.0}
  starts = [
    make_start(f'p{number}', kind='other', priority=2)
    for number in range(0, 32, 4)
  ]
  refusals = [begin(known, start, **bucket) for start in starts]
  assert [refusal is None for refusal in refusals] == [True] * 2 + [False] * 6


def test_programs_that_were_cut_short_are_not_learned():
  """They show fewer requests than a whole program sends."""
  known = timed_programs.TimedPrograms()
  for id in ('cut', 'whole'):
    known.record_asked(make_start(id), 0.0)
    for number in range(8):
      known.record_request(id, 'chat', number * 0.2, seconds_left=2.0)
  known.record_refusal('cut')
  known.record_request('partial', 'chat', 0.0, seconds_left=2.0)
  known.expire_idle(10.0)
  assert known.demand_by_kind == {
    'chat': timed_programs.KindDemand(density=4.0, ratio=pytest.approx(0.7))
  }
  assert not list(known._running_by_id)


async def start_owner(served, *, level):
  await served.start('n1')
  owner = get_owner(served)
  await owner.answer(make_ask(program='old', seconds_left=2.0))
  owner._limit_by_team['red'].bucket.level = level
  return owner


async def test_new_program_does_not_wait_and_one_under_way_has_a_place():
  """One that cannot be served in its caller's time is refused at once."""
  async with nodes.Nodes() as served:
    owner = await start_owner(served, level=-10.0)
    new = await owner.answer(
      make_ask(program='new', id='n', begins=True, seconds_left=2.0)
    )
    assert not new.is_granted and not new.has_place
    ask = make_ask(program='old', kind='look', id='a', max_wait=2.0)
    old = await owner.answer(ask)
    assert old.has_place and old.wait == pytest.approx(1.1, abs=0.05)
    owner._limit_by_team['red'].bucket.level = -30.0
    late = await owner.answer(msgspec.structs.replace(ask, id='b'))
    assert late.retry_after > 2.5
    assert not late.is_granted and not late.has_place


async def test_request_with_a_place_asks_again_until_it_is_granted():
  async with nodes.Nodes() as served:
    owner = await start_owner(served, level=-8.0)
    limits = served.by_name['n1'].serving._limits
    ask = make_ask(program='old', kind='look', id='x')
    decision = await limits._ask_until_decided(ask, time.monotonic() + 3.0)
    assert decision.is_granted
    assert owner._limit_by_team['red'].counts.refused == 0
    assert owner._limit_by_team['red'].counts.waited_seconds > 0.5


# --- Units given back ---------------------------------------------------------


async def test_unit_is_granted_and_given_back_once():
  """A repeated message takes no second unit and gives none back twice."""
  async with nodes.Nodes() as served:
    await served.start('n1')
    owner = get_owner(served)
    for _ in range(2):
      assert (await owner.answer(make_ask(id='a', program='p'))).is_granted
    counts = owner.get_counts()['red']
    assert (counts.granted, counts.returned) == (1, 0)
    message = rate_messages.ReturnUnit(team='red', id='a')
    returned = [(await owner.give_back(message)).is_returned for _ in range(2)]
    assert returned == [True, False]
    # A datagram that arrives late is a repetition, too.
    await owner.answer(make_ask(id='a', program='p'))
    assert counts.granted == 1
    assert not owner._limit_by_team['red'].programs.is_running('p')
    metrics = served.by_name['n1'].counters.encode().decode()
    assert 'woadrun_rate_returned_total{team="red"} 1.0' in metrics


@hypothesis.given(
  gaps=strategies.lists(
    strategies.tuples(strategies.floats(0.0, 0.3), strategies.booleans()),
    max_size=200,
  )
)
def test_units_given_back_do_not_exceed_the_rate(gaps):
  rate, burst = 10.0, 5.0
  bucket = rate_limit.BucketState(level=burst, updated_at=0.0)
  now, used_at = 0.0, []
  for gap, is_used in gaps:
    now += gap
    outcome = rate_limit.take(bucket, rate=rate, burst=burst, now=now)
    if outcome.is_granted and is_used:
      used_at.append(now + outcome.wait)
    elif outcome.is_granted:
      rate_limit.give_back(bucket, rate=rate, burst=burst, now=now)
  for first, start in enumerate(used_at):
    for last in range(first, len(used_at)):
      span = used_at[last] - start
      assert last - first + 1 <= rate * span + burst + 1e-6


def make_limit(**changes):
  return rate_owner._TeamLimit(
    bucket=rate_limit.BucketState(level=10.0, updated_at=0.0),
    version=1,
    per_second=10.0,
    burst=10.0,
    used_at=0.0,
    owned_at=0.0,
    **{'share': 1.0, **changes},
  )


def grant(limit, ids, now):
  limit.accrue(now)
  for id in ids:
    assert limit.admit(make_ask(id=id), now) == 0.0


def test_unit_granted_before_the_bucket_was_full_is_not_added_again():
  """The units of two bursts were granted in one, when requests waited long."""
  limit = make_limit()
  grant(limit, 'abcde', 0.0)
  grant(limit, 'ABCDEFGHIJ', 2.0)
  assert all(limit.record_return(id, 2.0) for id in 'abcde')
  assert limit.bucket.level == 0.0
  assert limit.record_return('A', 2.0)
  assert limit.bucket.level == 1.0


def test_unit_given_back_to_a_previous_owner_is_handed_over():
  """All units but one were lost, as the share of such an owner is 0."""
  limit = make_limit()
  grant(limit, 'abc', 0.0)
  limit.share = 0.0
  assert limit.record_return('a', 0.1)
  assert limit.hand_over().level == 8.0


async def test_request_that_cannot_wait_uses_no_unit_and_is_told_when():
  """It used up a unit, and was told to return after 0 s."""
  async with nodes.Nodes() as served:
    owner = await start_owner(served, level=-2.0)
    limits = served.by_name['n1'].serving._limits
    request = nodes.make_request('a', path=fleet.ACT, key=KEY, seconds=0.1)
    team = nodes.teams.Team(
      name='red', rate=nodes.teams.Rate(version=1, per_second=10.0, burst=10.0)
    )
    route = served.by_name['n1'].catalogue.table.match('h', fleet.ACT)
    granted = authorization.Grant(route=route, team=team, has_teams=True)
    with pytest.raises(errors.WoadrunError) as caught:
      await limits.take(request, granted, deadline=request.deadline)
    assert caught.value.retry_after >= 0.1
    assert owner.get_counts()['red'].granted == 1


@pytest.mark.parametrize('path', [fleet.ACT, fleet.CHAT])
async def test_unit_of_a_request_without_an_instance_is_given_back(path):
  async with nodes.Nodes(config=make_config()) as served:
    await served.start('n1')
    owner = get_owner(served)
    daemon = served.by_name['n1']
    daemon.serving._attempts._loads.choose = lambda *_, **__: None
    turn = exchange.TurnInfo(program='p') if path == fleet.CHAT else None
    request = nodes.make_request('a', path=path, key=KEY, turn=turn)
    with pytest.raises(errors.WoadrunError) as caught:
      async with daemon.serving.handle_request(request):
        pass
    assert caught.value.code is errors.Code.UPSTREAM_UNAVAILABLE
    await nodes.wait_until(lambda: owner.get_counts()['red'].returned == 1)


async def test_unit_of_a_refused_turn_is_given_back():
  """The program has not begun, so that it does not count as under way."""
  async with nodes.Nodes(config=make_config()) as served:
    await served.start('n1')
    owner = get_owner(served)
    daemon = served.by_name['n1']

    async def refuse(*_, **__):
      raise errors.WoadrunError(errors.Code.BUDGET_EXCEEDED, 'No tokens.')

    daemon.serving._turn_client.open = refuse
    request = nodes.make_request(
      'a', path=fleet.CHAT, key=KEY, turn=exchange.TurnInfo(program='p')
    )
    with pytest.raises(errors.WoadrunError):
      async with daemon.serving.handle_request(
        dataclasses.replace(request, program='p')
      ):
        pass
    await nodes.wait_until(lambda: owner.get_counts()['red'].returned == 1)
    assert not owner._limit_by_team['red'].programs.is_running('p')


def stop_soon(daemon):
  """Begins a planned stop whose last answers are due at once."""
  daemon.planned_stop.schedule = planned_stop.plan(0.2)
  daemon.planned_stop.begin()


async def get_error_of(daemon, request):
  """Returns the error of a request that has no response."""
  with pytest.raises(errors.WoadrunError) as caught:
    async with daemon.serving.handle_request(request):
      pass
  return caught.value


# Guards against a rate used up by requests that a stopping daemon has not sent.
@pytest.mark.parametrize('path', [fleet.ACT, fleet.CHAT])
async def test_unit_of_a_request_rejected_at_a_stop_is_given_back(path):
  async with nodes.Nodes(config=make_config()) as served:
    await served.start('n1')
    owner = get_owner(served)
    daemon = served.by_name['n1']
    is_waiting = asyncio.Event()

    async def wait(*_, **__):
      is_waiting.set()
      await asyncio.Event().wait()

    daemon.crash_guard.admit = wait
    turn = exchange.TurnInfo(program='p') if path == fleet.CHAT else None
    request = nodes.make_request('a', path=path, key=KEY, turn=turn)
    handling = asyncio.ensure_future(get_error_of(daemon, request))
    await is_waiting.wait()
    stop_soon(daemon)
    error = await handling
    assert (error.code, error.retry_after) == (errors.Code.STOPPING, 0.0)
    assert error.ran is errors.RunStatus.NOT_RUN
    await nodes.wait_until(lambda: owner.get_counts()['red'].returned == 1)
    assert served.engines.sent == []


# Guards against a unit given back for a request that was sent.
async def test_unit_of_a_request_that_was_sent_before_a_stop_is_used():
  async with nodes.Nodes(config=make_config()) as served:
    await served.start('n1')
    owner = get_owner(served)
    daemon = served.by_name['n1']
    served.engines.faults = [nodes.make_reply(status=503, has_run=False)]
    admit, is_waiting = daemon.crash_guard.admit, asyncio.Event()

    async def wait_at_second(*given, **options):
      if served.engines.sent:
        is_waiting.set()
        await asyncio.Event().wait()
      return await admit(*given, **options)

    daemon.crash_guard.admit = wait_at_second
    request = nodes.make_request('a', path=fleet.ACT, key=KEY)
    handling = asyncio.ensure_future(get_error_of(daemon, request))
    await is_waiting.wait()
    stop_soon(daemon)
    assert (await handling).code is errors.Code.STOPPING
    await asyncio.sleep(0.2)
    assert owner.get_counts()['red'].returned == 0


# Guards against a unit that stays used because its owner granted it to a
# request which had ended while it asked.
@pytest.mark.parametrize('is_stopping', [True, False])
async def test_unit_granted_after_its_request_has_ended_is_given_back(
  is_stopping,
):
  async with nodes.Nodes(config=make_config()) as served:
    await served.start('n1', 'n2')
    for daemon in served.by_name.values():
      daemon.rate_owner._started_at -= 10.0
    owner = rate_owner.find_rate_owner(served.by_name['n1'].fleet, 'red').name
    (asking,) = served.by_name.keys() - {owner}
    daemon = served.by_name[asking]
    post, is_granted = daemon.calls.post, asyncio.Event()

    async def lose_answer(address, path, *given, **options):
      answer = await post(address, path, *given, **options)
      if path == 'rate/take':
        is_granted.set()
        await asyncio.Event().wait()
      return answer

    daemon.calls.post = lose_answer
    request = nodes.make_request('a', path=fleet.ACT, key=KEY)
    handling = asyncio.ensure_future(get_error_of(daemon, request))
    await is_granted.wait()
    if is_stopping:
      stop_soon(daemon)
      assert (await handling).code is errors.Code.STOPPING
    else:
      handling.cancel()
    get_counts = served.by_name[owner].rate_owner.get_counts
    await nodes.wait_until(lambda: get_counts()['red'].returned == 1)
    assert get_counts()['red'].granted == 1


@pytest.mark.parametrize('attempts', [1, 2])
@pytest.mark.parametrize(
  ('finish_in', 'is_told'), [(2.0, True), (float('inf'), False)]
)
def test_finish_time_counts_whatever_the_number_of_attempts(
  attempts, finish_in, is_told
):
  """Programs with two attempts were begun as if they had no finish time."""
  route = routes.Route(
    name='chat',
    host='h',
    prefix='/',
    kind=routes.Kind.STREAM,
    shares=(),
    timeout=3.0,
    target_latency=0.3,
    max_attempts=attempts,
  )
  turn = exchange.TurnInfo(program='p', finish_at=time.monotonic() + finish_in)
  assert (rates._get_seconds_left(turn, route) is not None) == is_told


# --- A new owner --------------------------------------------------------------


@pytest.mark.parametrize('answer', ['units', 'none', 'silence'])
async def test_new_owner_continues_with_the_units_of_the_previous_one(answer):
  """Without an answer it begins empty, as the units may have been granted."""

  class Links:
    async def post(self, address, path, message, **_):
      assert (address, path, message.team) == ('y', 'rate/hand-over', 'red')
      if answer == 'silence':
        await asyncio.sleep(60.0)
      if answer == 'none':
        raise errors.WoadrunError(errors.Code.NOT_OWNER, 'Never was.')
      return rate_messages.RateState(level=7.0)

  members = Members()
  members.member_by_name = {'n1': members.other, 's1': members.me}
  members.find_active_names = lambda: ['s1']
  members.rank = lambda key, domain: [members.me]
  owner = rate_owner.RateOwner(
    members=members, has_member_list=lambda: True, messenger=Links()
  )
  owner._started_at -= 100.0
  owner._active_names = ['n1', 's1']
  ask = make_ask(per_second=4.0)
  answers = await asyncio.gather(*(owner.answer(ask) for _ in range(3)))
  is_free = [unit.is_granted and not unit.wait for unit in answers]
  assert is_free == [answer == 'units'] * 3


async def test_stalled_owner_hands_over_no_accumulated_units():
  """Another owner may have granted them during the stall."""
  async with nodes.Nodes() as served:
    owner = await start_owner(served, level=8.0)
    owner._polled_at -= 2.0
    state = await owner.hand_over(rate_messages.RateStateQuery(team='red'))
    assert state.level <= 0.0


def test_rate_holds_when_owners_leave_one_after_another():
  """Neither are requests refused below the rate, as with an empty bucket."""

  async def scenario(load):
    await asyncio.sleep(3.0)
    for _ in range(6):
      daemon = load.served.get_alive()[0].daemon
      owner = rate_owner.find_rate_owner(daemon.fleet, 'red').name
      await load.served.stop(owner)
      await asyncio.sleep(0.6)
      await load.served.start(owner)
      await asyncio.sleep(1.0)
    if load.per_second > RATE:
      assert find_worst_window(load.ran_at) <= MAX_REQUESTS_UNDER_FAULTS
    else:
      assert errors.Code.RATE_EXCEEDED not in load.codes

  run_scenario(scenario, per_second=RATE * 5)
  run_scenario(scenario, per_second=RATE * 0.5)
