"""The machine that plays schedules of faults runs by its seed alone."""

import asyncio
import random
import time

from faults import callers
from faults import clock
from faults import fleet
from faults import schedule
from faults import tenancy
import pytest

from woadrun.process import catalogue
from woadrun.process import rate_keeper
from woadrun.process import reservations
from woadrun.request import rates
from woadrun.version import teams


def make_fault(kind, *, at=1.0, seconds=2.0, place=0, how=0):
  return schedule.Fault(kind=kind, at=at, seconds=seconds, place=place, how=how)


def make_schedule(*faults, seed=1):
  return schedule.Schedule(seed=seed, daemons=3, domains=3, faults=faults)


def test_hours_pass_at_once_and_the_clocks_come_back():
  before = time.monotonic
  with clock.run_by(clock.Clock()) as loop:
    began, day = time.monotonic(), time.time()
    loop.run_until_complete(asyncio.sleep(3_600.0))
    assert time.monotonic() - began == pytest.approx(3_600.0)
    assert time.time() - day == pytest.approx(3_600.0)
  assert time.monotonic is before


def test_a_wait_that_nothing_ends_is_told():
  with clock.run_by(clock.Clock()) as loop:
    with pytest.raises(RuntimeError, match='no timer'):
      loop.run_until_complete(asyncio.Event().wait())


def test_a_seed_draws_and_plays_the_same_schedule_again():
  drawn = [schedule.draw(4, daemons=3, domains=3) for _ in range(2)]
  assert drawn[0] == drawn[1]
  assert drawn[0] != schedule.draw(5, daemons=3, domains=3)
  results = [schedule.play(item) for item in drawn]
  assert results[0] == results[1]
  assert results[0].count_by_status[200] > 20


def test_a_schedule_is_shortened_to_the_faults_that_matter():
  cut, kill = make_fault('cut'), make_fault('kill')
  long = make_schedule(make_fault('delay'), cut, make_fault('forget'), kill)

  def is_broken(item):
    return cut in item.faults and kill in item.faults

  assert schedule.shorten(long, is_broken).faults == (cut, kill)


def test_a_home_that_spends_without_its_part_is_found(monkeypatch):
  monkeypatch.setattr(
    reservations.Reservations, '_fits_offline', lambda *_: True
  )
  broken = (
    line
    for seed in range(1, 40)
    for line in schedule.play(
      make_schedule(make_fault('cut', place=seed), seed=seed)
    ).broken
  )
  assert next(broken, '').startswith('budget:')


# --- What callers check -------------------------------------------------------


def check(
  *,
  status=200,
  body=b'data: t-0\n',
  runs=(b'<t>',),
  parent='',
  team='red',
  key='red',
  late=0.0,
):
  served = fleet.Fleet(dice=random.Random(1), daemons=1, domains=1)
  around = callers.Callers(dice=random.Random(1), served=served)
  program = callers.Program(
    id='p', budget=9, most=9, path=fleet.CHAT, domain='d0'
  )
  served.instances.bodies_by_request['t'] = list(runs)
  served.instances.team_by_request['t'] = team
  served.revocation = tenancy.REVOCATION_SECONDS
  given = served.tenancy.get_key(key) if key else None
  if late:
    given.revoked_at = 0.0
  around._check(
    callers.Turn(
      id='t',
      program=program,
      line=b'',
      parent=parent,
      status=status,
      body=body,
      key=given,
      sent_at=late,
      ended_at=late + 1.0,
    )
  )
  return around.broken


def test_a_turn_that_went_well_breaks_nothing():
  assert check() == []


@pytest.mark.parametrize(
  ('turn', 'word'),
  [
    ({'runs': (b'<t>', b'<t>')}, 'at most once'),
    ({'status': 503}, 'refused'),
    ({'status': 404, 'runs': (), 'parent': 'a'}, 'lost'),
    ({'runs': (b'<a><t>',)}, 'history'),
    ({'body': b'data: u-0\n'}, 'mixed'),
    ({'team': 'blue'}, 'unasked'),
    ({'key': None}, 'unasked'),
    ({'status': 401, 'runs': ()}, 'denied'),
    ({'late': tenancy.REVOCATION_SECONDS + 0.01}, 'revoked'),
    ({'team': 'blue', 'key': 'blue', 'parent': 'a'}, 'foreign'),
  ],
)
def test_each_broken_promise_is_told(turn, word):
  (line,) = check(**turn)
  assert line.startswith(f'{word}:')


def test_what_is_given_beyond_the_budget_is_told():
  served = fleet.Fleet(dice=random.Random(1), daemons=1, domains=1)
  around = callers.Callers(dice=random.Random(1), served=served)
  program = callers.Program(
    id='p', budget=9, most=9, path=fleet.CHAT, domain='d0'
  )
  turn = callers.Turn(id='t', program=program, line=b'')
  around._take(turn, b'data: a\n' * 6)
  assert around.broken == []
  around._take(turn, b'data: a\n')
  assert around.broken == ['budget: p was given 21 of 9 and 9']


def test_a_key_may_be_used_for_a_while_after_it_was_revoked():
  assert check(late=tenancy.REVOCATION_SECONDS) == []


def test_requests_beyond_a_limit_are_told():
  known = tenancy.Tenancy(dice=random.Random(1))
  allowed = int(tenancy.RATE * 6 * 1.1 + tenancy.OVER_REQUESTS)
  known.ran_at = [100.0 + n / 1_000 for n in range(allowed)]
  assert known.find_excess() == ''
  known.ran_at.append(101.0)
  assert known.find_excess()


def test_a_lowered_limit_counts_once_it_must_be_in_force():
  known = tenancy.Tenancy(dice=random.Random(1))
  known.set_rate(3.0, 200.0)
  for at, is_allowed in ((205.0, True), (214.0, False)):
    known.ran_at = [at + n / 1_000 for n in range(60)]
    assert (known.find_excess() == '') is is_allowed


# --- What it finds with a part switched off -----------------------------------


def find_broken(kinds, *, seeds, seed_step=2):
  for seed in range(1, seeds, seed_step):
    drawn = schedule.draw(seed, daemons=6, domains=3, kinds=kinds)
    broken = schedule.play(drawn).broken
    if broken:
      return broken[0].partition(':')[0]
  return ''


def test_a_table_of_any_age_is_found(monkeypatch):
  monkeypatch.setattr(catalogue.Catalogue, 'is_fresh', lambda _: True)
  played = (
    schedule.play(
      make_schedule(
        make_fault('cut', at=0.6, seconds=5.0, place=seed),
        make_fault('revoke', at=1.0, seconds=0.5, place=seed),
        seed=seed,
      )
    )
    for seed in range(1, 20, 2)
  )
  broken = (line for result in played for line in result.broken)
  assert next(broken, '').startswith('revoked:')


def test_turns_that_are_found_by_their_id_alone_are_found(monkeypatch):
  monkeypatch.setattr(teams, 'scope', lambda team, id: id)
  assert find_broken(('revoke',), seeds=10) in ('foreign', 'budget')


def test_rates_that_each_daemon_keeps_by_itself_are_found(monkeypatch):
  async def answer_here(self, member, ask):
    return await self._local.answer(ask)

  monkeypatch.setattr(rates.Rates, '_ask_at', answer_here)
  monkeypatch.setattr(
    rate_keeper.RateKeeper, '_get_share', lambda self, team: 1.0
  )
  assert find_broken(('limit',), seeds=20) == 'rate'
