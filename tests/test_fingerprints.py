"""Tests for which requests count as the same."""

import dataclasses

import nodes
import pytest

from woadrun.request import fingerprints


def get_fingerprint(request, *, team=None, body=b'content'):
  return fingerprints.get_fingerprint(request, team=team, body=body)


def make(**changes):
  request = nodes.make_request('r', path='/look/')
  return dataclasses.replace(request, **changes)


def test_a_try_with_its_own_id_and_deadline_has_the_same_fingerprint():
  first = make(headers=[('Request-Id', '1'), ('Finish-Ms', '900')])
  second = make(
    id='r2', deadline=1.0, headers=[('Request-Id', '2'), ('Finish-Ms', '400')]
  )
  assert get_fingerprint(first) == get_fingerprint(second)


def test_the_same_content_is_the_same_within_its_program_only():
  first = make(program='p', session_id='s')
  second = make(program='p', session_id='t')
  other = make(program='q', session_id='s')
  assert get_fingerprint(first) == get_fingerprint(second)
  assert get_fingerprint(first) != get_fingerprint(other)


@pytest.mark.parametrize(
  'changes',
  [
    {'method': 'GET'},
    {'host': 'other'},
    {'target': '/look/y'},
    {'target': '/look/x?z'},
    {'headers': [('Cookie', 'Affinity-Key=17')]},
  ],
)
def test_other_content_has_another_fingerprint(changes):
  assert get_fingerprint(make()) != get_fingerprint(make(**changes))


def test_other_bodies_and_teams_have_other_fingerprints():
  found = {
    get_fingerprint(make()),
    get_fingerprint(make(), body=b'other'),
    get_fingerprint(make(), team='red'),
    get_fingerprint(make(), team='blue'),
    get_fingerprint(make(), team=''),
  }
  assert len(found) == 5


def test_requests_without_a_body_are_the_same_within_a_session_only():
  requests = [
    make(program=program, session_id=session)
    for program, session in (('p', 's'), ('p', 't'), ('q', 's'))
  ]
  assert len({get_fingerprint(item, body=b'') for item in requests}) == 3
  again = dataclasses.replace(requests[0], id='again')
  assert get_fingerprint(requests[0], body=b'') == get_fingerprint(
    again, body=b''
  )


def test_parts_of_a_request_do_not_run_into_each_other():
  first = make(host='ab', target='c')
  second = make(host='a', target='bc')
  assert get_fingerprint(first) != get_fingerprint(second)
