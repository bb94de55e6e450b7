"""The soak finds each broken promise, and none in a short seeded run."""

import types

from fleet_soak import __main__ as program
from fleet_soak import callers
from fleet_soak import checker
from fleet_soak import outside
import pytest

# A short run: one fault a second or so, on as many daemons as two domains
# need so that a turn has two copies in each.
SECONDS, DAEMONS, SEED = 8.0, 4, 3


class Calm:
  name = 'calm'
  leavings = (100.0,)

  def is_calm(self, since, until):
    return True


def make_try(request, *, path=outside.CHAT, **fields):
  fields.setdefault('began', 99.0)
  return callers.Try(
    request=request,
    path=f'{path}x',
    program=fields.pop('program', 'p'),
    input=b'in',
    parent=fields.pop('parent', ''),
    daemon=Calm(),
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


def check(tries, runs, *, drained_at=None):
  item = types.SimpleNamespace(
    id='i', runs=runs, events_by_request={'a': 1}, drained_at=drained_at
  )
  around = types.SimpleNamespace(
    instances=[item],
    runs=runs,
    configs=[(0.0, 1, 'tools'), (90.0, 2, 'other')],
  )
  seen = types.SimpleNamespace(tries=tries)
  return checker.Checker(around=around, seen=seen).check()


GOOD = {
  'status': 200,
  'signature': 'models.i.a',
  'body': b'id: 0\ndata: a-0\n\n',
}


def test_what_is_kept_is_not_reported():
  turn = make_try('a', **GOOD)
  assert check([turn], [make_run('a')]) == []


@pytest.mark.parametrize(
  ('tries', 'runs', 'word'),
  [
    ([make_try('a', **GOOD)], [make_run('a')] * 2, 'ran 2 times'),
    ([make_try('a', status=503)], [make_run('a')], 'refused'),
    ([], [make_run('a')], 'nobody sent'),
    ([make_try('a', **GOOD)], [make_run('a', body=b'x')], 'ran with'),
    (
      [make_try('a', **{**GOOD, 'signature': 'models.i.b'})],
      [make_run('a')],
      'got an answer of',
    ),
    ([make_try('a', **{**GOOD, 'body': b''})], [make_run('a')], 'got []'),
    ([make_try('b', parent='a', status=404)], [], 'was whole'),
    ([make_try('a', tokens=69, status=502)], [], '69 tokens'),
    ([make_try('a', status=0)], [make_run('a')], 'cut by the stop'),
    (
      [make_try('a', path=outside.ACT, status=500)],
      [make_run('a', path=outside.ACT, service='tools')],
      'old configuration',
    ),
  ],
)
def test_each_broken_promise_is_reported(tries, runs, word):
  found = check(tries, runs)
  assert len(found) == 1
  assert word in found[0]


def test_work_for_an_instance_that_left_is_reported():
  found = check([make_try('a', **GOOD)], [make_run('a')], drained_at=95.0)
  assert len(found) == 1
  assert 'which had left' in found[0]


async def test_a_short_run_breaks_no_promise(tmp_path):
  found = await program.soak(
    seed=SEED, seconds=SECONDS, count=DAEMONS, folder=tmp_path
  )
  assert found == []
