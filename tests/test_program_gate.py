"""Admission of programs by their owners, alone and in whole daemons."""

import asyncio
import contextlib
import logging
import types

import msgspec
import nodes
import pytest
import test_hubs

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.decisions import admission_policy
from woadrun.decisions import program_admission
from woadrun.process import fleet_heartbeats
from woadrun.process import hubs
from woadrun.process.load import loads
from woadrun.process.load import program_gate

SERVICE = 'models'
CONFIG = {
  **nodes.CONFIG,
  'routes': [
    {**route, 'max_attempts': 1} if route['kind'] == 'stream' else route
    for route in nodes.CONFIG['routes']
  ],
}
# The two engines of `nodes.Nodes` have 16 slots; each program has one turn.
CAPACITY = int(
  program_admission.estimate_capacity(slots=16, turns_per_program=1.0)
)
# The same with the slots of `Clock`.
CLOCK_CAPACITY = program_admission.estimate_capacity(
  slots=100, turns_per_program=1.0
)
# Programs that a decider without sums admits, with the slots and members of
# `Clock`.
LONE_LIMIT = program_admission.get_lone_limit(
  capacity=program_admission.estimate_capacity(
    slots=100, turns_per_program=1.0
  ),
  members=30,
)


class Clock:
  """A simulated clock, one gate of a large fleet, and its measured load."""

  def __init__(self, monkeypatch):
    self.now = 1000.0
    monkeypatch.setattr('time.monotonic', lambda: self.now)
    self.silent = set()
    self.slots, self.running = 100, 0
    # Each program under way has a running turn, unless a test says otherwise.
    self.turns_per_program = 1.0
    self.decisions = []
    self.members = types.SimpleNamespace(
      me=fleet_heartbeats.Member(name='n1', address='n1', domain='north'),
      domains={'north', 'south'},
      is_full_mesh=False,
      is_domain_silent=lambda domain: domain in self.silent,
      find_active_names=lambda: [f'm{n}' for n in range(30)],
    )
    self.gate = program_gate.ProgramGate(
      members=self.members,
      measure=lambda service: loads.ServiceLoad(
        slots=self.slots,
        running=int(self.running * self.turns_per_program),
        instances=10,
      ),
      get_weights=lambda: ({}, 0.0),
      record_decision=lambda *decision: self.decisions.append(decision),
    )

  def admit(self, program, *, seconds_left=3.0, **options):
    """Returns the time to return, or None for an admitted program."""
    ask = turn_messages.AdmissionRequest(
      service=SERVICE,
      kind='chat',
      seconds_left=seconds_left,
      turn_seconds=3.0,
      **options,
    )
    first = program_gate.FirstTurn(
      program=program, request=f'{program}.0', ask=ask
    )
    try:
      self.gate.admit(first)
    except errors.WoadrunError as error:
      assert error.code is errors.Code.SERVICE_FULL
      assert error.ran is errors.RunStatus.NOT_RUN
      return error.retry_after
    return None

  def hear(self, *, north=0, south=0, asked=0.0, age=0.0):
    """Receives the programs under way in both domains, from a hub."""
    self.hear_domain('north', north, asked=asked, age=age)
    self.running = north + south
    self.gate.record_elsewhere(make_demand(south))

  def hear_domain(self, domain, programs, *, asked=0.0, age=0.0):
    digest = fleet_heartbeats.Digest(
      hub='h',
      domain=domain,
      age=age,
      running={},
      demand=make_demand(programs, asked=asked),
    )
    self.running = programs
    self.gate.record_domain(digest)

  def get_demand(self):
    return self.gate.report().get(SERVICE, fleet_heartbeats.ServiceDemand())


def make_demand(programs, *, asked=0.0):
  by_class = {'0.0.': asked} if asked else {}
  return {
    SERVICE: fleet_heartbeats.ServiceDemand(programs=programs, asked=by_class)
  }


@pytest.fixture(name='clock')
def fixture_clock(monkeypatch):
  return Clock(monkeypatch)


def test_programs_are_refused_only_above_the_capacity_of_the_fleet(clock):
  clock.hear(north=20, south=20, asked=40.0)
  assert [clock.admit(f'p{n}') for n in range(8)] == [None] * 8
  clock.now += 0.1
  clock.hear(north=120, south=120, asked=40.0)
  delays = [clock.admit(f'q{n}') for n in range(8)]
  # Each is told another time: 240 of them are under way.  None has ended, and
  # all have 3 s.
  seconds = admission_policy.DEFAULT.initial_duration * 3.0
  excess = (248 - CLOCK_CAPACITY) / 248
  assert delays == pytest.approx(
    [seconds * (excess + (n + 1) / CLOCK_CAPACITY) for n in range(8)]
  )
  assert clock.decisions.count((SERVICE, 'chat', False)) == 8
  assert clock.get_demand().waiting == 8


def test_without_recent_sums_a_decider_has_its_part_of_the_capacity(clock):
  assert [clock.admit(f'p{n}') for n in range(8)].count(None) == LONE_LIMIT
  clock.now += 0.2
  clock.hear(north=3, asked=1.0)
  assert clock.admit('p8') is None
  # The digest expires after 1.5 s.
  clock.now += 1.6
  assert clock.admit('p9') is not None


def test_a_domain_that_is_cut_off_leaves_the_sums(clock):
  clock.hear_domain('south', 200)
  clock.hear_domain('north', 30, asked=40.0)
  clock.running = 230
  assert clock.admit('p1') is not None
  clock.now += 1.6
  clock.hear_domain('north', 30, asked=40.0)
  # Nothing is known of a domain that is not silent yet.
  assert [clock.admit(f'q{n}') for n in range(8)].count(None) == LONE_LIMIT
  clock.silent.add('south')
  clock.now += 0.2
  assert clock.admit('p2') is None


def test_the_last_sums_are_used_until_another_hub_sends_them(clock):
  # Guards against refusals on a quiet day whenever a hub is lost: the other hub
  # sends the sums of the other domains only a second later.
  clock.hear(north=10, south=10)
  clock.now += 1.2
  clock.hear_domain('north', 10)
  assert [clock.admit(f'p{n}') for n in range(8)] == [None] * 8
  clock.now += 0.4
  clock.hear_domain('north', 10)
  assert clock.admit('p8') is not None


def test_requests_at_the_same_time_scan_the_programs_once(clock, monkeypatch):
  # Guards against work for each request that grows with the programs.
  scanned = []
  monkeypatch.setattr(
    program_gate._Program, 'expire_turns', lambda *_: scanned.append(1)
  )
  clock.hear()
  for number in range(20):
    assert clock.admit(f'p{number}') is None
  assert len(scanned) <= 20


def test_a_program_is_under_way_until_half_a_second_after_its_last_turn(clock):
  clock.hear()
  clock.admit('p')
  ask = turn_messages.AdmissionRequest(service=SERVICE, kind='chat')
  clock.now += 0.2
  clock.gate.record_closed('p', 'p.0')
  clock.now += 0.4
  assert clock.get_demand().programs == 1
  clock.now += 0.2
  ended = clock.get_demand()
  assert (ended.programs, ended.ended > 0) == (0, True)
  # It only paused: its end must not make room for another program.
  clock.gate.record_opened('p', 'p.1', ask)
  resumed = clock.get_demand()
  assert (resumed.programs, resumed.ended) == (1, 0)


def test_the_end_of_a_program_that_only_paused_leaves_no_negative_rates(clock):
  # Guards against taking back a whole program of which the decayed rates have
  # only a part left: paused programs then hid the ends of others.
  clock.hear()
  clock.admit('p')
  clock.now += 0.5
  clock.gate.record_closed('p', 'p.0')
  clock.now += 0.5
  clock.get_demand()
  clock.now += 2.0
  ask = turn_messages.AdmissionRequest(service=SERVICE, kind='chat')
  clock.gate.record_opened('p', 'p.1', ask)
  resumed = clock.get_demand()
  assert resumed.ended == resumed.ended_seconds == 0
  assert resumed.ratio_sum == resumed.timed == 0


def test_a_program_without_time_does_not_make_all_others_late(clock):
  # Guards against a caller that asks for a program to end within milliseconds:
  # the ratio of its kind rose a hundredfold, so that no refused program counted
  # as one that can still be in time.
  clock.hear()
  clock.admit('p', seconds_left=0.001)
  clock.now += 2.0
  clock.gate.record_closed('p', 'p.0')
  for _ in range(5):
    clock.now += 1.0
    clock.get_demand()
  clock.hear(north=60, asked=4000.0)
  clock.admit('q', seconds_left=3.0)
  clock.admit('q', seconds_left=2.9)
  assert clock.get_demand().asked.keys() == {'0.0.'}


def test_a_far_finish_time_does_not_hide_that_programs_are_late(clock):
  # Guards against one program with a day left, which outweighed all others in
  # the ratio, so that the capacity was not reduced.
  clock.hear()
  for name, seconds_left in (('p', 1.0), ('q', 1.0), ('r', 86_400.0)):
    clock.admit(name, seconds_left=seconds_left)
  clock.now += 1.2
  for name in 'pqr':
    clock.gate.record_closed(name, f'{name}.0')
  clock.now += 0.6
  demand = clock.get_demand()
  assert demand.ratio_sum / demand.timed == pytest.approx(0.8, abs=0.02)


def test_a_program_whose_first_turn_was_not_opened_counts_as_none_ended(clock):
  # Guards against programs that exceed their token budget at once: each counted
  # as ended after half a second, and more programs were admitted than fit.
  clock.hear()
  clock.admit('p')
  clock.gate.record_closed('p', 'p.0', has_run=False)
  clock.now += 0.6
  demand = clock.get_demand()
  assert (demand.programs, demand.ended, demand.ended_seconds) == (0, 0, 0)


def test_a_turn_whose_end_is_never_reported_does_not_take_room_for_ever(clock):
  clock.hear()
  clock.admit('p')
  clock.now += 3.6
  clock.get_demand()
  clock.now += 0.6
  assert clock.get_demand().programs == 0


def test_a_returning_program_ranks_as_one_that_asks_first(clock):
  # Guards against callers that obey the time to return and then stand behind
  # all newer ones: of 10 programs a second each, with room for 10, all of the
  # new ones began and none of those that returned in time.
  clock.hear(north=200, asked=40.0)
  for number in range(4):
    clock.admit(f'p{number}', seconds_left=9.0)
    clock.now += 0.3
    clock.admit(f'p{number}', seconds_left=8.7)
    clock.admit(f'new{number}', seconds_left=9.0)
  assert clock.get_demand().asked.keys() == {'0.0.'}


def test_a_returning_program_keeps_the_time_of_its_first_request(clock):
  clock.hear(north=200, asked=40.0)
  # With 0.75 of the time allowed, a program is in time if 2.25 s are left.
  assert clock.admit('p', seconds_left=3.0) is not None
  assert clock.get_demand().asked.keys() == {'0.0.'}
  clock.now += 0.9
  clock.admit('p', seconds_left=2.1)
  assert clock.get_demand().asked.keys() == {'0.0.', '0.1.'}
  # It is remembered for as long as it has time, and no longer.
  clock.now += 1.9
  clock.hear(north=200, asked=40.0)
  clock.admit('p', seconds_left=2.0)
  assert '0.1.' in clock.get_demand().asked
  clock.now += 2.1
  clock.hear(north=200, asked=40.0)
  clock.admit('p', seconds_left=2.0)
  assert '0.1.' not in clock.get_demand().asked


def test_turns_per_program_are_measured_before_the_first_decision(clock):
  # Guards against a new decider that assumes one running turn for each program,
  # and refuses although half of the slots are free.
  clock.turns_per_program = 0.4
  clock.hear(north=60, south=60, asked=40.0)
  assert clock.admit('p') is None


def test_turns_without_admission_do_not_close_a_service_for_long(clock):
  # Guards against refusals in free slots: turns of routes without admission
  # count as running, but their programs do not count as under way.
  for _ in range(8):
    clock.turns_per_program = 45.0
    clock.hear(north=1, south=1, asked=4.0)
    clock.get_demand()
    clock.now += 0.25
  assert [clock.admit(f'p{n}') for n in range(8)].count(None) < 8
  clock.turns_per_program = 1.5
  clock.hear(north=1, south=1, asked=4.0)
  clock.now += 0.2
  assert [clock.admit(f'q{n}') for n in range(4)] == [None] * 4


def test_duration_is_expected_from_the_time_that_programs_have(clock):
  # Guards against 2 s for all programs of a service of which none has ended.
  clock.hear(north=200, asked=40.0)
  short = clock.admit('p', seconds_left=1.0)
  assert short < 1.0
  for number in range(60):
    clock.admit(f'q{number}', seconds_left=30.0)
  assert clock.admit('r', seconds_left=30.0) > 10.0


def test_all_is_admitted_while_no_instance_is_usable(clock):
  clock.slots = 0
  clock.hear(north=50, asked=40.0)
  assert clock.admit('p') is None


def test_a_fleet_that_starts_anew_has_no_sums_without_demand(clock):
  # Guards against admitting a whole burst in the first half second.
  clock.gate.record_elsewhere({})
  digest = fleet_heartbeats.Digest(hub='h', domain='north', running={})
  clock.gate.record_domain(digest)
  assert [clock.admit(f'p{n}') for n in range(8)].count(None) == LONE_LIMIT


def test_sums_name_the_heaviest_teams_within_a_datagram():
  demands = [
    {
      SERVICE: fleet_heartbeats.ServiceDemand(
        programs=1,
        ended=0.5,
        asked={f'{n % 3}.1.team-{n}': 1.0 + n for n in range(first, 73, 2)},
      )
    }
    for first in (0, 1)
  ]
  total = hubs.sum_demand(demands)[SERVICE]
  assert (total.programs, total.ended) == (2, 1.0)
  teams = {hubs.decode_class(text).team for text in total.asked}
  assert teams == {'', *(f'team-{n}' for n in range(57, 73))}
  assert sum(total.asked.values()) == sum(range(1, 74))
  assert len(msgspec.json.encode(total)) < 500
  data = msgspec.json.encode(
    fleet_heartbeats.FleetHeartbeat(name='n', address='a', domain='d')
  )
  assert b'demand' not in data


class HoldingEngines(nodes.Engines):
  """Engines that do not end a turn before `release` is called."""

  def __init__(self):
    super().__init__()
    self._released = asyncio.Event()

  def release(self):
    self._released.set()

  async def _stream(self, id):
    if not id.startswith('free'):
      await self._released.wait()
    async for chunk in super()._stream(id):
      yield chunk


@contextlib.asynccontextmanager
async def start(*names, config=CONFIG):
  """Returns daemons, and the programs of turns that are held at the engines."""
  async with nodes.Nodes(config=config) as found:
    found.engines = HoldingEngines()
    await found.start(*names)
    held = []
    try:
      yield found, held
    finally:
      found.engines.release()
      await asyncio.gather(*held, return_exceptions=True)


async def fill(found, held, name, *, count):
  """Starts programs one after another, until `count` are held or one refused.

  Returns the error of the refused one, or None.
  """
  for _ in range(count):
    number = len(held)
    task = asyncio.ensure_future(
      found.turn(name, f'{number}', program=f'p{number}')
    )
    held.append(task)
    sent = len(found.engines.sent)
    await nodes.wait_until(
      lambda task=task, sent=sent: task.done() or len(found.engines.sent) > sent
    )
    if task.done():
      return task.exception()
  return None


def list_entries(found, program):
  return [
    name
    for name, item in found.by_name.items()
    if program in item.programs.entry_by_program
  ]


async def test_first_turns_are_refused_when_full_and_later_turns_are_not(
  caplog,
):
  caplog.set_level(logging.INFO, logger='woadrun.admission')
  async with start('n1', 'n2', 'n3') as (found, held):
    await found.turn('n1', 'free-1', program='early')
    error = await fill(found, held, 'n1', count=60)
    assert error.code is errors.Code.SERVICE_FULL
    assert (error.status, error.ran) == (503, errors.RunStatus.NOT_RUN)
    assert 0.1 <= error.retry_after <= 1.0
    refused = len(held) - 1
    # The programs asked for per second count as well, not only the room left.
    assert refused >= CAPACITY // 4
    assert list_entries(found, f'p{refused}') == []
    assert found.get_body(f'{refused}') is None
    assert any(
      f'Request {refused}: program p{refused} is refused' in message
      and 'capacity' in message
      for message in caplog.messages
    )
    status, _ = await found.turn(
      'n2', 'free-2', parent='free-1', program='early'
    )
    assert status == 200
    metrics = b''.join(
      item.counters.encode() for item in found.by_name.values()
    ).decode()
    assert (
      'woadrun_programs_total{kind="chat",outcome="refused",service="models"}'
      in metrics
    )
    assert 'woadrun_service_capacity_programs{service="models"}' in metrics


async def test_nothing_is_refused_below_the_capacity():
  async with start('n1', 's1') as (found, held):
    # A few at a time: many at once would be too many per second.
    for _ in range(2):
      assert await fill(found, held, 'n1', count=CAPACITY // 4) is None
      await nodes.wait_until(
        lambda: (
          not any(
            demand.asked
            for item in found.by_name.values()
            for demand in item.gate.report().values()
          )
        )
      )
    found.engines.release()
    assert {status for status, _ in await asyncio.gather(*held)} == {200}


async def test_routes_with_two_attempts_are_never_refused():
  async with start('n1', 'n2', config=nodes.CONFIG) as (found, held):
    assert await fill(found, held, 'n1', count=40) is None
    assert all(item.gate.report() == {} for item in found.by_name.values())


async def test_one_member_decides_while_the_store_is_out():
  # Guards against a program that each member asked counts and may refuse: it
  # waits for the store, and asks again.
  async with start('n1', 'n2', 'n3') as (found, _):
    found.shared.is_out = True
    await nodes.wait_until(
      lambda: not any(n.store.is_reachable for n in found.by_name.values())
    )
    held = asyncio.ensure_future(found.turn('n1', 'free-1', program='p'))
    await asyncio.sleep(0.3)
    assert not held.done()
    found.shared.is_out = False
    await held
    demands = [
      demand
      for item in found.by_name.values()
      for demand in item.gate.report().values()
    ]
    assert sum(demand.programs for demand in demands) == 1
    assert sum(bool(demand.asked) for demand in demands) == 1


async def test_a_program_goes_on_after_its_owner_is_lost():
  async with start('n1', 'n2', 'n3') as (found, held):
    await found.turn('n1', 'free-1', program='p')
    owner = found.by_name['n1'].fleet.rank('p', 'north')[0].name
    other = next(name for name in found.by_name if name != owner)
    await fill(found, held, other, count=CAPACITY)
    await found.stop(owner)
    await nodes.wait_until(
      lambda: not found.by_name[other].fleet.is_alive(owner)
    )
    status, _ = await found.turn(other, 'free-2', parent='free-1', program='p')
    assert status == 200


@pytest.mark.parametrize('seconds', [1.0, 4.0])
def test_each_daemon_learns_the_demand_of_all_domains(monkeypatch, seconds):
  # Within 2 s of the start, guards against sums without the members that were
  # added a moment ago: nearly all programs of a new fleet were not counted.
  network = test_hubs.Network(monkeypatch)
  sums_by_name = {}

  def record(name, source, demand, running):
    found = demand.get(SERVICE, fleet_heartbeats.ServiceDemand())
    assert found.programs == running.get('e1', 0)
    sums_by_name.setdefault(name, {})[source] = found.programs

  for name, found in network.by_name.items():
    network.flags_by_name[name] = {
      'has_store': True,
      'demand': make_demand(1),
      'running': {'e1': 1},
    }
    found._on_digest = lambda digest, name=name: (
      record(name, digest.domain, digest.demand, digest.running)
      if digest.running is not None
      else None
    )
    found._on_beat = lambda heartbeat, name=name: (
      record(name, 'elsewhere', heartbeat.elsewhere_demand, heartbeat.elsewhere)
      if heartbeat.elsewhere is not None
      else None
    )
  network.run(seconds)
  for name, sums in sums_by_name.items():
    domain = name.partition('-')[0]
    others = sums.get('elsewhere') or sum(
      sums[other] for other in test_hubs.DOMAINS if other != domain
    )
    assert (sums[domain], others) == (test_hubs.SIZE, 2 * test_hubs.SIZE)
  assert len(sums_by_name) == len(network.by_name)


async def test_a_refused_program_begins_once_there_is_room_again():
  async with start('n1', 'n2', 's1') as (found, held):
    assert await fill(found, held, 'n1', count=60) is not None
    found.engines.release()
    await asyncio.gather(*held, return_exceptions=True)
    await nodes.wait_until(
      lambda: (
        not any(
          demand.programs or demand.asked
          for item in found.by_name.values()
          for demand in item.gate.report().values()
        )
      )
    )
    # A cut does not take the room of the domains that hear each other.
    found.cut_off('south')
    number = len(held) - 1
    status, _ = await found.turn('n2', f'{number}', program=f'p{number}')
    assert status == 200
