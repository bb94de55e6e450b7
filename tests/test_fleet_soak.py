"""The soak finds each kind of violation, and none in a short seeded run."""

import types

from fleet_soak import __main__ as program
from fleet_soak import callers
from fleet_soak import checker
from fleet_soak import outside
import pytest

# A short run: about one fault a second, on as many daemons as two domains need
# for two copies of a turn in each.
SECONDS, DAEMONS, SEED = 8.0, 4, 3


class FaultFreeDaemon:
  name = 'calm'
  stop_times = (100.0,)

  def is_fault_free(self, since, until):
    return True


def make_attempt(request, *, path=outside.CHAT, **fields):
  fields.setdefault('began', 99.0)
  return callers.Attempt(
    request=request,
    path=f'{path}x',
    program=fields.pop('program', 'p'),
    input=b'in',
    parent=fields.pop('parent', ''),
    daemon=FaultFreeDaemon(),
    ended=fields.pop('ended', 101.0),
    **fields,
  )


def make_run(request, *, path=outside.CHAT, body=b'in', **fields):
  return outside.Run(
    request=request,
    instance='i',
    service=fields.get('service', 'models'),
    path=f'{path}x',
    body=body,
    at=fields.get('at', 99.0),
  )


def check(attempts, runs, *, drained_at=None):
  item = types.SimpleNamespace(
    id='i',
    service='models',
    runs=runs,
    events_by_request={'a': 1},
    drained_at=drained_at,
  )
  environment = types.SimpleNamespace(
    instances=[item],
    runs=runs,
    configs=[(0.0, 1, 'tools'), (90.0, 2, 'other')],
  )
  caller_pool = types.SimpleNamespace(attempts=attempts)
  return checker.Checker(
    environment=environment, caller_pool=caller_pool
  ).check()


FULL = 'service_full'
GOOD = {
  'status': 200,
  'signature': 'models.i.a',
  'body': b'id: 0\ndata: a-0\n\n',
}


def test_a_correct_turn_is_not_reported():
  turn = make_attempt('a', **GOOD)
  assert check([turn], [make_run('a')]) == []


@pytest.mark.parametrize(
  ('attempts', 'runs', 'word'),
  [
    ([make_attempt('a', **GOOD)], [make_run('a')] * 2, 'ran 2 times'),
    ([make_attempt('a', status=503)], [make_run('a')], 'refused'),
    ([], [make_run('a')], 'nobody sent'),
    ([make_attempt('a', status=503, error=FULL)], [], 'with 0 turns in'),
    (
      [make_attempt('b', parent='a', status=503, error=FULL)]
      + [make_attempt(f'c{n}', status=500) for n in range(4)],
      [],
      'is a later turn',
    ),
    ([make_attempt('a', **GOOD)], [make_run('a', body=b'x')], 'ran with'),
    (
      [make_attempt('a', **{**GOOD, 'signature': 'models.i.b'})],
      [make_run('a')],
      'got an answer of',
    ),
    ([make_attempt('a', **{**GOOD, 'body': b''})], [make_run('a')], 'got []'),
    ([make_attempt('b', parent='a', status=404)], [], 'was complete'),
    ([make_attempt('a', tokens=69, status=502)], [], '69 tokens'),
    ([make_attempt('a', status=0)], [make_run('a')], 'cut by the stop'),
    (
      [make_attempt('a', path=outside.ACT, status=500)],
      [make_run('a', path=outside.ACT, service='tools')],
      'old configuration',
    ),
  ],
)
def test_each_violation_is_reported(attempts, runs, word):
  found = check(attempts, runs)
  assert len(found) == 1
  assert word in found[0]


def test_a_run_at_a_drained_instance_is_reported():
  found = check([make_attempt('a', **GOOD)], [make_run('a')], drained_at=95.0)
  assert len(found) == 1
  assert 'after it was drained' in found[0]


async def test_a_short_run_has_no_violations(tmp_path):
  found = await program.soak(
    seed=SEED, seconds=SECONDS, count=DAEMONS, folder=tmp_path
  )
  assert found == []
