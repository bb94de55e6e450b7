"""Permits of upstreams: what a keeper is told of them, and of their calls."""

import pytest
import test_membership

from woadrun import errors
from woadrun.connection import messages
from woadrun.process import dispatcher
from woadrun.request import calls
from woadrun.request import placing
from woadrun.version import program

SLOTS = 2
HOLDER = '127.0.0.1:8001/a'


def make_dispatcher():
  found, _ = test_membership.make_membership(None, '127.0.0.1:8000')
  permits = dispatcher.PermitDispatcher(
    config=found._config, members=found, messenger=None
  )
  permits._slots_by_name['s'] = SLOTS
  permits.domain_by_name['s'] = found.domain
  return permits


def make_acquire(permit):
  return messages.Acquire(
    holder=HOLDER,
    permit=permit,
    upstream='s',
    row='t',
    weight=1.0,
    attained=0.0,
    cost=0.0,
    patience=0.01,
  )


def get_held(permits):
  return set(permits.upstream_by_name['s'].holder_by_permit)


def test_new_keeper_does_not_count_waiting_permits():
  """Guards against fewer slots at a keeper that has just taken over."""
  permits = make_dispatcher()
  report = messages.HeldPermits(
    holder=HOLDER, held={'s': ['a']}, waiting={'s': ['b', 'c']}
  )
  permits.apply_hold(report)
  assert get_held(permits) == {'a'}


async def test_permit_whose_grant_is_on_its_way_stays_granted():
  """Guards against a slot that is granted twice."""
  permits = make_dispatcher()
  await permits.queue(make_acquire('a'))
  permits.apply_hold(
    messages.HeldPermits(holder=HOLDER, held={'s': []}, waiting={'s': ['a']})
  )
  assert get_held(permits) == {'a'}
  permits.apply_hold(messages.HeldPermits(holder=HOLDER, held={'s': []}))
  assert not get_held(permits)


def test_report_lists_granted_and_waiting_permits():
  permits = make_dispatcher()
  permits._permits_by_upstream['s'] = {'a', 'b'}
  permits._waiting_permits = {'b'}
  report = permits._make_hold(['s'])
  assert (report.held, report.waiting) == ({'s': ['a']}, {'s': ['b']})


@pytest.mark.parametrize(
  ('kind', 'code', 'ran', 'is_failure'),
  [
    (program.SERVICE, errors.Code.UPSTREAM_UNAVAILABLE, 'not run', True),
    (program.SERVICE, errors.Code.UPSTREAM_FAILED, 'ran', True),
    (program.SERVICE, errors.Code.OUTCOME_UNKNOWN, 'unknown', True),
    (program.SERVICE, errors.Code.RATE_EXCEEDED, 'not run', False),
    # An engine that rejects a malformed call is well.
    (program.MODEL, errors.Code.UPSTREAM_FAILED, 'ran', False),
  ],
)
def test_failed_service_call_is_no_fast_success(kind, code, ran, is_failure):
  """Guards against an estimate of seconds that refused connections lower."""
  call = calls.Call(
    program='p', request='r', call=kind, target='s/x', body=b'{}', teams=['*']
  )
  error = errors.WoadrunError(code, 'failed', ran=errors.RunStatus(ran))
  assert placing._is_upstream_failure(call, error) is is_failure
