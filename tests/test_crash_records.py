"""Tests for the records of requests under which instances ended."""

import contextlib

import crashing_engines
import nodes
import pytest

from woadrun.connection import attempt_reports
from woadrun.decisions import crash_limit
from woadrun.process.load import crash_records

State = attempt_reports.State
Verdict = crash_limit.Verdict


class Clock:
  def __init__(self):
    self.now = 1000.0

  def monotonic(self):
    return self.now


@pytest.fixture
def clock(monkeypatch):
  fake = Clock()
  monkeypatch.setattr(crash_records.time, 'monotonic', fake.monotonic)
  return fake


def make(name='n1'):
  sent = []
  records = crash_records.CrashRecords(name=name, on_change=sent.append)
  return records, sent


def end(records, fingerprint, *ids):
  for id in ids:
    records.lose(fingerprint, id)
    records.resolve(id, is_ended=True)


def report(fingerprint, id, state, age=0.0):
  return attempt_reports.AttemptReport(fingerprint, id, state, age)


@pytest.mark.parametrize(
  ('ended', 'lost', 'running', 'verdict'),
  [
    (0, 0, 50, Verdict.RUN),
    (0, 2, 0, Verdict.RUN),
    (0, 3, 0, Verdict.WAIT),
    (1, 0, 1, Verdict.RUN),
    (1, 0, 2, Verdict.WAIT),
    (2, 0, 0, Verdict.RUN),
    (2, 1, 0, Verdict.WAIT),
    (3, 0, 0, Verdict.REFUSE),
    (3, 1, 5, Verdict.REFUSE),
  ],
)
def test_verdict(ended, lost, running, verdict):
  states = (
    *(State.ENDED,) * ended,
    *(State.LOST,) * lost,
    *(State.RUNNING,) * running,
  )
  places = [crash_limit.Place(state=state) for state in states]
  assert crash_limit.decide(places) is verdict


@pytest.mark.parametrize(
  ('states', 'verdict'),
  [
    ((State.SURVIVED,) * 2, Verdict.RUN),
    ((State.SURVIVED,) * 3, Verdict.HOLDERS),
    ((State.ABANDONED, State.LOST, State.LOST), Verdict.HOLDERS),
    ((State.ENDED, State.ENDED, State.SURVIVED), Verdict.HOLDERS),
    ((State.NOT_RUN, State.NOT_RUN), Verdict.RUN),
  ],
)
def test_a_request_without_a_free_place_runs_where_it_holds_one(
  states, verdict
):
  places = [
    crash_limit.Place(state=state)
    for state in states
    if crash_limit.is_held(state)
  ]
  assert crash_limit.decide(places) is verdict


def test_a_request_is_refused_after_three_instances_ended(clock):
  records, _ = make()
  end(records, 'f', 'a', 'b')
  assert records.judge('f') is Verdict.RUN
  end(records, 'f', 'c')
  assert records.judge('f') is Verdict.REFUSE
  assert records.judge('other') is Verdict.RUN
  assert sorted(records.find_ended('f')) == ['a', 'b', 'c']


# Guards against a time after which a refused request ends one more instance.
def test_a_refused_request_is_refused_however_long_it_is(clock):
  records, _ = make()
  end(records, 'f', 'a', 'b', 'c')
  for _ in range(3):
    clock.now += 100_000.0
    records.drop_expired()
    assert records.judge('f') is Verdict.REFUSE


def test_a_complete_response_clears_a_request(clock):
  records, sent = make()
  end(records, 'f', 'a', 'b')
  clock.now += 1
  records.complete('f', 'c')
  assert not records.is_suspect('f')
  assert sent[-1] == report('f', 'c', State.COMPLETE)
  # A late report of an end before it changes nothing.
  assert records.apply_reports([report('f', 'a', State.ENDED, age=1.0)]) == []
  assert not records.is_suspect('f')


def test_an_instance_that_lives_on_does_not_count(clock):
  records, _ = make()
  for id in 'abc':
    records.lose('f', id)
  assert records.judge('f') is Verdict.WAIT
  for id in 'abc':
    records.resolve(id, is_ended=False)
  # It may run at each of them again, since that takes no further place.
  assert records.judge('f') is Verdict.HOLDERS
  assert records.find_usable('f') == set('abc')


# Guards against a time after which a lost connection does not count any more.
def test_a_lost_connection_of_a_daemon_without_news_counts_for_good(clock):
  records, _ = make()
  records.apply_reports([report('f', id, State.LOST) for id in 'abc'])
  for _ in range(3):
    assert records.judge('f') is Verdict.WAIT
    clock.now += 100_000.0
    records.drop_expired()


def test_a_probe_says_nothing_of_connections_that_are_lost_after_it(clock):
  records, _ = make()
  began = clock.now
  clock.now += 0.1
  records.lose('f', 'a')
  records.resolve('a', is_ended=False, before=began)
  assert records.is_lost('a')


def test_a_connection_that_is_lost_to_an_ended_instance_is_its_end(clock):
  records, _ = make()
  end(records, 'f', 'a')
  records.lose('g', 'a')
  assert records.find_ended('g') == ['a']


def test_bytes_that_arrive_later_refute_the_end(clock):
  records, sent = make()
  end(records, 'f', 'a', 'b', 'c')
  # Sent before the end.
  records.record_bytes('a')
  assert records.judge('f') is Verdict.REFUSE
  clock.now += 1
  records.record_bytes('a')
  # The instance lives, and may still run the request.
  assert records.judge('f') is Verdict.HOLDERS
  assert records.find_usable('f') == {'a'}
  assert sent[-1] == report('f', 'a', State.SURVIVED)


def test_a_daemon_learns_of_ends_and_of_their_refutation(clock):
  records, _ = make()
  ends = [report('f', id, State.ENDED) for id in 'abc']
  assert records.apply_reports(ends) == ends
  assert records.judge('f') is Verdict.REFUSE
  # Sent again a little later, also after a long way.
  again = [report('f', id, State.ENDED, age=0.1) for id in 'abc']
  clock.now += 0.5
  assert records.apply_reports(again) == []
  records.apply_reports([report('f', 'a', State.SURVIVED)])
  assert records.judge('f') is Verdict.HOLDERS
  assert records.find_usable('f') == {'a'}


def test_running_attempts_are_announced_once_their_request_is_suspect(clock):
  records, sent = make()
  with records.run('f', 'x'):
    assert sent == []
    records.apply_reports([report('f', 'a', State.ENDED)])
    assert sent == [report('f', 'x', State.RUNNING)]
    records.apply_reports([report('f', 'b', State.RUNNING)])
    assert records.judge('f') is Verdict.WAIT
  assert sent[-1] == report('f', 'x', State.LOST)
  # Its instance may still run it, however long that is ago.
  for _ in range(3):
    assert records.judge('f') is Verdict.WAIT
    clock.now += 100_000.0


# Guards against two claims of one moment that each take the last place.
def test_of_two_daemons_that_claim_the_last_place_one_gets_it(clock):
  keeper, _ = make('keeper')
  daemons = [make(name)[0] for name in ('n1', 'n2')]
  grants = []
  for records in (keeper, *daemons):
    records.apply_reports([report('f', id, State.ENDED) for id in 'ab'])
  for records in daemons:
    claim = attempt_reports.ClaimPlace('f', records.make_claim('f'), 'north')
    grants.append(keeper.grant(claim))
    # The same claim again, since its answer may have been lost.
    assert keeper.grant(claim) is grants[-1]
  assert grants == [True, False]


# Guards against a place that is counted twice, or not at all for a moment.
def test_an_instance_takes_over_the_place_of_a_claim(clock):
  records, sent = make()
  end(records, 'f', 'a', 'b')
  claim_id = records.make_claim('f')
  assert records.judge('f') is Verdict.WAIT
  assert records.judge('f', without=claim_id) is Verdict.RUN
  with records.run('f', 'x', claim_id=claim_id):
    assert sent[-2:] == [
      report('f', 'x', State.RUNNING),
      report('f', claim_id, State.NOT_RUN),
    ]
    assert sorted(records.find_holders('f')) == ['a', 'b', 'x']
    records.release('f', claim_id)
    assert len(sent) == len(set(sent))


# Guards against a request that is refused for a claim nobody uses.
def test_a_claim_that_no_instance_takes_over_gives_its_place_back(clock):
  records, _ = make()
  others, _ = make('n2')
  end(records, 'f', 'a', 'b')
  claim_id = records.make_claim('f')
  others.merge(records.find_request_reports('f'), domain='')
  assert others.judge('f') is Verdict.WAIT
  records.release('f', claim_id)
  others.merge(records.find_request_reports('f'), domain='')
  assert others.judge('f') is Verdict.RUN


def test_attempts_without_suspicion_are_not_reported(clock):
  records, sent = make()
  with records.run('f', 'b'):
    assert records.count_running('b') == 1
  records.complete('f', 'c')
  assert sent == []
  for state in (State.ABANDONED, State.SURVIVED, State.COMPLETE):
    assert records.apply_reports([report('g', 'a', state)]) == []
  assert len(records) == 0


def test_a_suspect_request_avoids_instances_that_run_another_one(clock):
  records, _ = make()
  end(records, 'f', 'a')
  end(records, 'g', 'a', 'b')
  with records.run('f', 'x'), records.run('calm', 'y'):
    assert records.find_avoided('g') == {'x'}
    assert records.find_avoided('f') == set()
    assert records.find_avoided('calm') == set()
  assert records.find_avoided('g') == set()
  # Nothing is known of what becomes of it there.
  assert records.find_doubtful('g') == {'x'}
  records.resolve('x', is_ended=False)
  assert records.find_doubtful('g') == {'x'}
  records.complete('f', 'z')
  assert records.find_doubtful('g') == set()
  assert records.has_last_attempt('g')
  assert not records.has_last_attempt('f')


def test_an_abandoned_attempt_counts_if_its_instance_has_ended(clock):
  records, sent = make()
  records.orphan('f', 'a')
  records.give_up('a')
  assert nodes.find_open(records) == {'a'}
  records.resolve('a', is_ended=True)
  assert sent == [
    report('f', 'a', State.LOST),
    report('f', 'a', State.ABANDONED),
    report('f', 'a', State.ENDED),
  ]


def test_another_attempt_at_an_ended_instance_does_not_hide_its_end(clock):
  records, _ = make()
  end(records, 'f', 'a', 'b', 'c')
  with records.run('f', 'a'):
    assert records.judge('f') is Verdict.REFUSE
    records.reject('f', 'a')
  records.orphan('f', 'b')
  assert records.judge('f') is Verdict.REFUSE


def test_a_rejected_request_does_not_run(clock):
  records, _ = make()
  end(records, 'f', 'a')
  with records.run('f', 'x'), records.run('f', 'y'):
    assert records.judge('f') is Verdict.WAIT
    records.reject('f', 'x')
    assert records.judge('f') is Verdict.RUN


def test_an_attempt_of_a_daemon_that_ended_too_is_not_forgotten(clock):
  records, _ = make()
  end(records, 'f', 'a', 'b')
  # Its daemon is killed, so that nobody reports what becomes of it.
  records.apply_reports([report('f', 'x', State.RUNNING)])
  with records.run('f', 'x'):
    records.reject('f', 'x')
  assert records.judge('f') is Verdict.WAIT
  assert records.has_open_attempt('x')
  records.resolve('x', is_ended=True)
  assert records.judge('f') is Verdict.REFUSE


def test_the_end_of_an_instance_under_one_request_ends_all_that_it_ran(clock):
  records, _ = make()
  end(records, 'f', 'a', 'b')
  records.apply_reports([report('f', 'x', State.RUNNING)])
  records.apply_reports([report('g', 'x', State.ENDED)])
  assert records.judge('f') is Verdict.REFUSE


@pytest.mark.parametrize(
  'state', [State.RUNNING, State.NOT_RUN, State.ABANDONED, State.LOST]
)
def test_a_daemon_that_does_not_know_of_an_end_does_not_hide_it(clock, state):
  records, _ = make()
  end(records, 'f', 'a', 'b', 'c')
  clock.now += 1
  assert records.apply_reports([report('f', 'a', state)]) == []
  assert records.judge('f') is Verdict.REFUSE
  # The end of an attempt that was not made is that of an announcement.
  records.apply_reports([report('g', 'x', State.LOST)])
  clock.now += 1
  assert records.apply_reports([report('g', 'x', State.NOT_RUN)]) == []


def test_an_instance_that_lives_on_goes_on_with_what_it_runs(clock):
  records, _ = make()
  end(records, 'f', 'a', 'b')
  records.apply_reports([report('f', 'x', State.RUNNING)])
  records.resolve('x', is_ended=False)
  assert records.judge('f') is Verdict.WAIT


def test_a_flood_of_lost_connections_displaces_no_refused_request(clock):
  records, _ = make()
  end(records, 'f', 'a', 'b', 'c')
  for number in range(2 * crash_records.MAX_RECORDS):
    records.lose(f'flood-{number}', f'i-{number}')
  assert len(records) == crash_records.MAX_RECORDS
  assert records.judge('f') is Verdict.REFUSE


def test_records_without_a_place_taken_expire(clock):
  records, _ = make()
  records.lose('lost', 'x')
  end(records, 'f', 'a', 'b', 'c')
  with records.run('f', 'x'):
    pass
  records.lose('complete', 'y')
  records.complete('complete', 'y')
  assert len(records) == 3
  clock.now += crash_records.SETTLED_TTL_SECONDS + 1
  records.drop_expired()
  assert len(records) == 2
  records.complete('f', 'd')
  clock.now += crash_records.SETTLED_TTL_SECONDS + 1
  records.drop_expired()
  assert len(records) == 1


# Guards against a daemon that missed all reports and learns nothing more.
def test_places_of_the_store_are_taken_over(clock):
  records, _ = make()
  for id, state in (('a', State.ENDED), ('b', State.LOST), ('c', State.LOST)):
    records.hold('f', id, state)
  assert records.judge('f') is Verdict.WAIT
  assert records.find_ended('f') == ['a']
  # What is known in more detail is kept.
  records.resolve('b', is_ended=False)
  records.hold('f', 'b', State.LOST)
  assert records.find_usable('f') == {'b'}
  records.give_back('f', 'c')
  assert records.judge('f') is Verdict.RUN
  assert sorted(records.find_holders('f')) == ['a', 'b']


def test_a_place_in_use_is_not_given_back_by_its_row(clock):
  records, _ = make()
  end(records, 'f', 'a')
  with records.run('f', 'x'):
    records.give_back('f', 'x')
    assert sorted(records.find_holders('f')) == ['a', 'x']


# Guards against an attempt that nobody waits for and that is counted nowhere.
def test_an_attempt_that_nobody_waits_for_counts_until_its_outcome(clock):
  records, sent = make()
  for id in 'abc':
    records.orphan('f', id)
  assert sent[0] == report('f', 'a', State.LOST)
  assert records.judge('f') is Verdict.WAIT
  for id in 'abc':
    records.resolve(id, is_ended=False)
  # Each lives on, and may run it again, but no further one.
  assert records.judge('f') is Verdict.HOLDERS
  records.resolve('a', is_ended=True)
  assert records.judge('f') is Verdict.HOLDERS
  assert records.find_usable('f') == {'b', 'c'}
  records.resolve('b', is_ended=True)
  records.resolve('c', is_ended=True)
  assert records.judge('f') is Verdict.REFUSE


def test_an_instance_that_goes_silent_after_a_probe_may_have_ended(clock):
  records, _ = make()
  for id in 'abc':
    records.orphan('f', id)
    records.resolve(id, is_ended=False)
    records.doubt(id)
  assert records.judge('f') is Verdict.WAIT


def test_a_given_up_attempt_is_known_to_live_on_however_soon_that_is(clock):
  records, sent = make()
  others, _ = make('n2')
  records.orphan('f', 'a')
  records.resolve('a', is_ended=False)
  others.apply_reports(sent)
  assert not others.is_suspect('f')
  # A datagram that was overtaken.
  others.apply_reports(sent[:1])
  assert not others.is_suspect('f')
  assert others.find_usable('f') == {'a'}


# Guards against a request that is refused for having been beside another one.
def test_ends_under_a_refused_request_are_not_held_against_its_neighbours(
  clock,
):
  records, _ = make()
  end(records, 'fatal', 'x')
  for id in 'abc':
    records.lose('fatal', id)
    records.lose('innocent', id)
    records.resolve(id, is_ended=True)
  assert records.judge('fatal') is Verdict.REFUSE
  assert records.judge('innocent') is Verdict.RUN


def test_of_two_requests_that_end_the_same_instances_both_are_refused(clock):
  records, _ = make()
  for id in 'abc':
    records.lose('f', id)
    records.lose('g', id)
    records.resolve(id, is_ended=True)
  assert records.judge('f') is Verdict.REFUSE
  assert records.judge('g') is Verdict.REFUSE
  others, _ = make('n2')
  others.apply_reports(records.list_reports())
  assert others.judge('f') is others.judge('g') is Verdict.REFUSE


def test_a_daemon_that_starts_is_told_of_open_attempts_too(clock):
  records, _ = make()
  end(records, 'f', 'a')
  records.orphan('f', 'b')
  records.orphan('g', 'c')
  told = records.list_reports()
  assert told[0].state is State.ENDED
  others, _ = make('n2')
  others.apply_reports(told)
  assert others.find_open_attempts('f') == ['b']
  assert others.find_open_attempts('g') == ['c']


def test_an_end_that_no_other_request_explains_makes_all_of_them_count(clock):
  records, _ = make()
  end(records, 'fatal', 'x', 'y')
  records.lose('fatal', 'a')
  records.lose('other', 'a')
  records.resolve('a', is_ended=True)
  assert records.judge('other') is Verdict.RUN
  assert not records.is_suspect('other')
  end(records, 'other', 'b', 'c')
  assert records.judge('other') is Verdict.REFUSE


# Guards against a request that is refused for instances which end a while after
# they completed it: others were not told, as it was not suspect any more.
def test_a_complete_response_is_told_to_others_though_it_is_not_suspect(clock):
  records, sent = make()
  others, _ = make('n2')
  for id in 'abc':
    records.orphan('f', id)
    records.resolve(id, is_ended=False)
  clock.now += 1
  assert not records.is_suspect('f')
  records.complete('f', 'd')
  others.apply_reports(sent)
  for id in 'abc':
    others.resolve(id, is_ended=True)
  assert others.judge('f') is Verdict.RUN


# Guards against a second attempt that settles an earlier one, which may still
# run at the same instance.
def test_an_attempt_beside_an_open_one_is_not_announced(clock):
  records, _ = make()
  records.orphan('f', 'a')
  with records.run('f', 'a'), records.run('f', 'b'):
    assert not records.is_announced('f', 'a')
    assert records.is_announced('f', 'b')
  assert not records.is_announced('f', 'b')


def test_the_end_of_an_announced_attempt_is_told(clock):
  records, sent = make()
  others, _ = make('n2')
  end(records, 'f', 'a')
  with records.run('f', 'x'):
    records.refute('a')
    assert not records.is_suspect('f')
  others.apply_reports(sent)
  clock.now += 1
  assert sent[-1] == report('f', 'x', State.LOST)


def test_bytes_of_an_instance_settle_what_was_given_up_there(clock):
  records, _ = make()
  for id in 'abc':
    records.orphan('f', id)
  assert records.judge('f') is Verdict.WAIT
  clock.now += crash_records.DELIVERY_SECONDS / 2
  records.record_bytes('a')
  assert records.judge('f') is Verdict.WAIT
  clock.now += crash_records.DELIVERY_SECONDS
  records.record_bytes('a')
  assert records.judge('f') is Verdict.HOLDERS
  assert records.find_usable('f') == {'a'}
  # It may still end under the request.
  records.resolve('a', is_ended=True)
  assert records.find_ended('f') == ['a']


# Guards against an ended instance that is taken for a full one, since requests
# whose connections are silent still run there.
async def test_a_silent_instance_that_refuses_connections_may_have_ended():
  async with crashing_engines.make_fleet('n1') as fleet:
    guard = fleet.by_name['n1'].crash_guard
    fleet.engines.refuses_probes = True
    directory = fleet.by_name['n1'].catalogue.directory
    found = list(directory.find('tools').all)
    with contextlib.ExitStack() as stack:
      for instance in found:
        id = instance.incarnation_id
        stack.enter_context(guard.records.run('beside', id))
        guard.records.orphan('f', id)
      guard._probe_open_attempts('f')
      await nodes.wait_until(lambda: not guard._probe_by_id)
    assert guard.records.is_suspect('f')


# Guards against an end that is put down to another request while instances that
# this one may have ended tell nothing.
def test_an_end_is_not_put_down_to_another_request_in_doubt(clock):
  records, _ = make()
  end(records, 'fatal', 'x', 'y')
  for fingerprint in ('fatal', 'f'):
    records.lose(fingerprint, 'a')
  for id in 'bc':
    records.orphan('f', id)
  records.resolve('a', is_ended=True)
  assert records.judge('fatal') is Verdict.REFUSE
  assert records.judge('f') is Verdict.WAIT
  for id in 'bc':
    records.resolve(id, is_ended=False)
  assert records.judge('f') is Verdict.RUN
