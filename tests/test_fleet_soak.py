"""The soak finds each kind of violation, and none in a short seeded run."""

import asyncio
import contextlib
import random
import signal
import subprocess
import sys
import types

from fleet_soak import __main__ as program
from fleet_soak import bursts
from fleet_soak import callers
from fleet_soak import checker
from fleet_soak import contradictions
from fleet_soak import http_client
from fleet_soak import outside
from fleet_soak import proxy
from fleet_soak import responses
from fleet_soak import watch
import pytest

# A short run: about one fault a second, on as many daemons as two domains need
# for two copies of a turn in each.  The first seed has planned changes only.
SECONDS, DAEMONS, SEEDS = 8.0, 4, (3, 4)


class FaultFreeDaemon:
  name = 'calm'
  stop_times = (100.0,)
  closing_times = (102.5,)
  exit_times = (107.0,)

  def is_fault_free(self, since, until):
    return True

  def is_present(self, since, until):
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


def check(
  attempts,
  runs,
  *,
  sent_bursts=(),
  drained_at=None,
  truncated=(),
  contradicted=(),
  endless_bytes_by_request=None,
  **options,
):
  item = types.SimpleNamespace(
    id='i',
    service='models',
    runs=runs,
    response_by_request={
      'a': responses.Response(parts=(GOOD['body'],), is_stream=True, **options)
    },
    drained_at=drained_at,
    ended_at=None,
    endless_bytes_by_request=endless_bytes_by_request or {},
  )
  environment = types.SimpleNamespace(
    instances=[item],
    runs=runs,
    truncated_requests=set(truncated),
    contradicted_requests=set(contradicted),
    configs=[(0.0, 1, 'tools'), (90.0, 2, 'other')],
  )
  caller_pool = types.SimpleNamespace(attempts=attempts)
  return checker.Checker(
    environment=environment, caller_pool=caller_pool, bursts=sent_bursts
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
    ([make_attempt('a', status=600)], [make_run('a')], 'is no status'),
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
    ([make_attempt('a', **{**GOOD, 'body': b''})], [make_run('a')], "got b''"),
    (
      [make_attempt('a', **{**GOOD, 'body': GOOD['body'][:-1]})],
      [make_run('a')],
      'as complete, not',
    ),
    (
      [make_attempt('a', path=outside.ACT, **{**GOOD, 'body': b'do'})],
      [make_run('a', path=outside.ACT, service='other')],
      'as complete, not',
    ),
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


PROMISES = [402, 408, 421, 429, 503]


# Guards against a checker that passes over a kind of request or a status.
@pytest.mark.parametrize(
  ('path', 'status'),
  [
    *((path, status) for path in outside.PATHS for status in PROMISES),
    (outside.CHAT, 404),
    (outside.CHAT, 410),
    (outside.CHAT_ONCE, 404),
    (outside.CHAT_ONCE, 410),
  ],
)
def test_a_promise_for_a_request_that_ran_is_reported(path, status):
  body = b'' if path == outside.LOOK else b'in'
  run = make_run('a', path=path, body=body, service='other')
  refused = make_attempt('a', path=path, status=status)
  assert check([refused], [run]) == [f'a was refused with {status}, but ran']
  later = make_run('a', path=path, body=body, service='other', at=102.0)
  assert check([refused], [later], contradicted='a') == [
    f'a was refused with {status}, but ran'
  ]
  assert check([refused], []) == []
  unknown = make_attempt('a', path=path, status=502)
  assert check([unknown], [run], contradicted='a') == []


@pytest.mark.parametrize('path', [outside.ACT, outside.LOOK])
@pytest.mark.parametrize('status', [400, 404, 410, 500, 502, 504])
def test_a_status_that_promises_nothing_is_not_reported(path, status):
  body = b'' if path == outside.LOOK else b'in'
  run = make_run('a', path=path, body=body, service='other')
  assert check([make_attempt('a', path=path, status=status)], [run]) == []


def test_only_idempotent_requests_may_run_twice():
  for path in outside.PATHS:
    body = b'' if path == outside.LOOK else b'in'
    runs = [make_run('a', path=path, body=body, service='other')] * 2
    found = check([make_attempt('a', path=path, status=502)], runs)
    assert found == ([] if path == outside.LOOK else ['a ran 2 times'])


def test_a_success_without_signature_is_reported():
  turn = make_attempt('a', **{**GOOD, 'signature': ''})
  found = check([turn], [make_run('a')], contradicted='a')
  assert found == ['a got an answer of ']


def test_a_turn_that_continues_a_contradicted_one_is_reported():
  attempts = [
    make_attempt('a', status=502),
    make_attempt('b', parent='a', status=502),
  ]
  found = check(attempts, [make_run('b')], contradicted='a')
  assert found == ['b ran after a, which contradicted its answer']


@pytest.mark.parametrize('status', [404, 410, 503])
def test_a_refused_turn_after_a_contradicted_one_is_not_reported(status):
  attempts = [
    make_attempt('a', status=502),
    make_attempt('b', parent='a', status=status),
  ]
  assert check(attempts, [make_run('a')], contradicted='a') == []


# A contradicted answer is whole, unlike one that breaks off.
@pytest.mark.parametrize(
  'times',
  [
    # Read whole, and never passed on.
    {'began': 102.0, 'begun': 102.0, 'sent': 102.6, 'ended': 107.2},
    # Begun before the listener closes, closed inside the body.
    {'began': 102.0, 'begun': 102.0, 'sent': 0.0, 'ended': 102.5},
    # Crosses the close of the listener, but is not closed at once.
    {'began': 102.6, 'begun': 102.6, 'sent': 102.6, 'ended': 103.0},
    # The deadline of a request that did not run excuses nothing.
    {'began': 101.0, 'begun': 101.0, 'sent': 101.0, 'ended': 105.5},
  ],
)
def test_a_request_without_answer_beside_a_stop_is_reported(times):
  attempt = make_attempt('a', status=0, **times)
  assert [found for found in check([attempt], []) if 'no answer' in found]


@pytest.mark.parametrize(
  'fields',
  [
    # No connection opened.
    {'began': 103.0, 'begun': 0.0, 'ended': 103.0},
    # Crosses the close of the listener.
    {'began': 102.4, 'begun': 102.48, 'sent': 102.48, 'ended': 102.6},
    {'began': 103.0, 'begun': 103.0, 'sent': 103.0, 'ended': 103.01},
    {'began': 102.0, 'begun': 102.0, 'ended': 103.0, 'has_left': True},
    # Begins after the process has ended.
    {'began': 107.1, 'begun': 107.1, 'sent': 107.1, 'ended': 109.0},
    {'began': 90.0, 'begun': 90.0, 'sent': 90.0, 'ended': 99.0},
  ],
)
def test_a_request_that_a_stop_needs_not_answer_is_not_reported(fields):
  assert check([make_attempt('a', status=0, **fields)], []) == []


def test_a_caller_of_a_burst_that_leaves_beside_a_stop_is_not_reported():
  attempt = make_attempt('a', status=0, is_burst=True, has_left=True)
  assert check([attempt], [make_run('a')]) == []


def test_a_caller_that_leaves_before_a_stop_cuts_is_not_reported():
  gone = make_attempt('a', status=0, has_left=True)
  assert check([gone], [make_run('a')]) == []
  stays = make_attempt('a', status=0, has_left=False)
  assert check([stays], [make_run('a')]) == ['a was cut by the stop of calm']


# Guards against an excuse for a request whose connection the daemon closed.
@pytest.mark.parametrize(
  ('closes_after', 'seconds', 'has_left'),
  [
    (None, 0.3, True),
    (0.05, 1.5, False),
    # Its deadline ended, by which a daemon has to answer.
    (None, None, False),
  ],
)
async def test_only_a_caller_that_closed_first_has_left(
  closes_after, seconds, has_left, monkeypatch
):
  is_closed = asyncio.Event()

  async def serve(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart')
    with contextlib.suppress(TimeoutError, OSError):
      async with asyncio.timeout(closes_after):
        while await reader.read(100):
          pass
    writer.transport.abort()
    with contextlib.suppress(OSError):
      await writer.wait_closed()
    is_closed.set()

  server = await asyncio.start_server(serve, '127.0.0.1', 0)
  port = server.sockets[0].getsockname()[1]
  monkeypatch.setattr(callers.daemons, 'FRONT_PORT', port)
  monkeypatch.setattr(callers, 'REQUEST_TIMEOUT_SECONDS', 2.0)
  monkeypatch.setattr(callers, 'SPLIT_SHARE', 0.0)
  daemon = types.SimpleNamespace(host='127.0.0.1')
  pool = callers.Callers(
    fleet=[daemon], seed=1, count=1, has_turn=lambda request: True
  )
  attempt = await pool._send(
    path=f'{outside.ACT}x',
    program='p',
    input=b'in',
    parent='',
    seconds=2.1 if seconds is None else seconds,
  )
  await is_closed.wait()
  server.close()
  pool.close()
  assert (attempt.status, attempt.has_left) == (0, has_left)


def check_beside_burst(fields, *, ended=103.0, **options):
  attempt = make_attempt('a', began=101.0, ended=102.0, **fields)
  burst = bursts.Burst(
    daemon=attempt.daemon, kind='test', began=100.0, ended=ended
  )
  found = check([attempt], [make_run('a')], sent_bursts=[burst], **options)
  return [line for line in found if 'beside a burst' in line]


@pytest.mark.parametrize('status', [0, 500, 502, 504])
def test_a_request_that_is_cut_beside_a_burst_is_reported(status):
  assert check_beside_burst({'status': status})
  # A burst that has not ended yet.
  assert check_beside_burst({'status': status}, ended=0.0)


def test_a_request_that_is_served_beside_a_burst_is_not_reported():
  assert check_beside_burst(GOOD) == []
  assert check_beside_burst({'status': 402}) == []
  assert check_beside_burst({'status': 502}, truncated=['a']) == []
  assert check_beside_burst({'status': 0}, ended=100.5) == []


class WatchedDaemon:
  """A calm daemon that misses the answers whose numbers are in `missed`."""

  name, memory_mb, is_stopping, is_frozen = 'watched', 1.0, False, False

  def __init__(self, *, missed=(), process=None):
    self.process = process
    self.asked = 0
    self.starts = 0
    self._missed = missed

  def is_running_since(self, since):
    return True

  def is_fault_free(self, since, until):
    return True

  async def answers_readiness(self, session, seconds):
    self.asked += 1
    return self.asked not in self._missed

  async def kill(self):
    self.process.kill()
    self.process.wait()

  async def start(self, store):
    self.starts += 1


async def run_watch(daemon, is_done):
  environment = types.SimpleNamespace(store_address=('', 0))
  observer = watch.Watch(fleet=[daemon], environment=environment)
  task = asyncio.ensure_future(observer.run())
  async with asyncio.timeout(10.0):
    while not is_done():
      await asyncio.sleep(0.01)
  task.cancel()
  return observer.violations


@pytest.mark.parametrize(
  ('missed', 'count'), [((), 0), ((2, 4), 0), ((2, 3), 1)]
)
async def test_two_missed_readiness_answers_in_a_row_are_reported(
  missed, count, monkeypatch
):
  monkeypatch.setattr(watch, 'READINESS_SECONDS', 0.01)
  daemon = WatchedDaemon(missed=missed)
  found = await run_watch(daemon, lambda: daemon.asked >= 6)
  assert len(found) == count


async def test_a_daemon_over_its_memory_limit_is_ended_and_reported():
  process = subprocess.Popen([sys.executable, '-c', 'input()'], stdin=-1)  # noqa: ASYNC220
  daemon = WatchedDaemon(process=process)
  with process:
    found = await run_watch(daemon, lambda: daemon.starts)
  assert process.returncode == -signal.SIGKILL
  assert len(found) == 1
  assert 'MB of 1' in found[0]


def test_a_contradicted_answer_that_a_stop_cuts_is_reported():
  cut = make_attempt('a', status=0)
  found = check([cut], [make_run('a')], contradicted='a')
  assert found == ['a was cut by the stop of calm']


def make_crash_checker(count, *, end=outside.RESET, given_up_seconds=0.3):
  """Returns a checker of tries a second apart, of which each ends an instance.

  The first try was sent at 101 s.
  """
  path = f'{outside.LOOK}{outside.FATAL}-{end}-1'
  numbers = range(1, count + 1)
  environment = types.SimpleNamespace(
    instances=[
      types.SimpleNamespace(
        id=f'i{n}', service='tools', ended_at=100.2 + n, drained_at=None
      )
      for n in numbers
    ]
  )
  attempts = [
    make_attempt(f'{n}', began=100.0 + n, ended=100.0 + n + given_up_seconds)
    for n in numbers
  ]
  guarantees = checker.Checker(
    environment=environment,
    caller_pool=types.SimpleNamespace(attempts=attempts),
  )
  guarantees._attempt_by_request = {item.request: item for item in attempts}
  guarantees._runs_by_request = {
    f'{n}': [
      outside.Run(
        request=f'{n}',
        instance=f'i{n}',
        service='tools',
        path=path,
        body=b'',
        at=100.1 + n,
      )
    ]
    for n in numbers
  }
  return guarantees


def test_a_fourth_instance_that_ends_under_a_request_is_reported():
  assert list(make_crash_checker(3)._check_crashes()) == []
  found = list(make_crash_checker(4)._check_crashes())
  assert len(found) == 1
  assert found[0].startswith('4 ran at i4')


def test_a_fourth_instance_that_ends_in_silence_is_reported():
  end = outside.SILENT
  assert list(make_crash_checker(3, end=end)._check_crashes()) == []
  found = list(make_crash_checker(4, end=end)._check_crashes())
  assert len(found) == 1
  # Before its callers gave up, nobody could know of the third.
  late = make_crash_checker(4, end=end, given_up_seconds=1.2)
  assert list(late._check_crashes()) == []


def test_a_response_without_end_that_is_read_on_is_reported():
  limit = outside.MAX_ENDLESS_BYTES
  turn, run = make_attempt('a', **GOOD), make_run('a')
  assert check([turn], [run], endless_bytes_by_request={'a': limit}) == []
  found = check([turn], [run], endless_bytes_by_request={'a': limit + 1})
  assert len(found) == 1
  assert 'without end' in found[0]


def test_a_refused_request_that_ends_no_instance_is_reported():
  refused = make_attempt('a', status=502, error='request_quarantined')
  assert check([refused], []) == ['a was refused, but ends no instance']


def test_a_run_at_a_drained_instance_is_reported():
  found = check([make_attempt('a', **GOOD)], [make_run('a')], drained_at=95.0)
  assert len(found) == 1
  assert 'after it was drained' in found[0]


def test_a_turn_that_runs_after_a_truncated_one_is_reported():
  attempts = [make_attempt('a'), make_attempt('b', parent='a', status=502)]
  found = check(attempts, [make_run('b')], truncated='a')
  assert found == ['b ran after a, which was truncated']


def test_an_end_that_the_instance_did_not_state_is_reported():
  turn = make_attempt('a', is_framed=True, **GOOD)
  found = check([turn], [make_run('a')], framing=responses.Framing.NONE)
  assert found == ['a got an end that its instance did not state']


@pytest.mark.parametrize(
  ('turn', 'truncated'),
  [
    (make_attempt('a', status=0), 'a'),
    (make_attempt('b', parent='a', status=404), 'a'),
    (make_attempt('a', **GOOD), ''),
  ],
)
def test_a_truncated_answer_that_is_handled_is_not_reported(turn, truncated):
  runs = [make_run('a')] if turn.request == 'a' else []
  found = check(
    [turn], runs, truncated=truncated, framing=responses.Framing.NONE
  )
  assert found == []


# --- Responses that break off -------------------------------------------------


PARTS = (b'data: a\n\n', b'data: b\n\n')


def is_detectable(response):
  if response.framing is not responses.Framing.NONE or response.is_reset:
    return True
  return response.place is responses.Place.HEAD or (
    response.is_stream and response.place is not responses.Place.BETWEEN
  )


@pytest.mark.parametrize('is_stream', [False, True])
def test_each_truncated_response_can_be_told_from_a_complete_one(is_stream):
  rng = random.Random(1)
  parts = PARTS if is_stream else PARTS[:1]
  drawn = [
    responses.draw(rng, parts, is_stream=is_stream) for _ in range(5_000)
  ]
  truncated = [item for item in drawn if item.is_truncated]
  assert all(map(is_detectable, truncated))
  kinds = {(r.framing, r.place, r.is_reset) for r in truncated}
  places = 4 if is_stream else 3
  # Without framing, one place of two can end orderly.
  ends_without_framing = places + (places - 1 if is_stream else 1)
  assert len(kinds) == 2 * 2 * places + ends_without_framing
  assert {r.framing for r in drawn if not r.is_truncated} == set(
    responses.Framing
  )


async def pause():
  await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def serve(response):
  """Serves a response behind a proxy; yields the address."""

  async def answer(reader, writer):
    with contextlib.suppress(asyncio.IncompleteReadError):
      while True:
        await reader.readuntil(b'\r\n\r\n')
        if not await responses.write(writer, response, headers={}, pause=pause):
          break
    writer.close()

  server = await asyncio.start_server(answer, '127.0.0.1', 0)
  link = proxy.Proxy(target=server.sockets[0].getsockname())
  async with server:
    await link.start('127.0.0.1')
    host, _, port = link.address.partition(':')
    yield host, int(port)
    await link.stop()


async def send(response, *, version='HTTP/1.1'):
  """Sends two requests; returns both responses."""
  client = http_client.Client()
  found = [http_client.Response(), http_client.Response()]
  async with serve(response) as address, asyncio.timeout(5):
    try:
      for item in found:
        await client.send(
          address, item, method='GET', path='/', headers={}, version=version
        )
    finally:
      client.close()
  return found


@pytest.mark.parametrize('version', ['HTTP/1.0', 'HTTP/1.1'])
@pytest.mark.parametrize('closes', [False, True])
@pytest.mark.parametrize('framing', responses.Framing)
async def test_a_caller_gets_complete_responses(framing, closes, version):
  found = await send(
    responses.Response(
      parts=PARTS, is_stream=True, framing=framing, closes=closes
    ),
    version=version,
  )
  for item in found:
    assert (item.status, item.body) == (200, b''.join(PARTS))
    assert item.is_framed is (framing is not responses.Framing.NONE)


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize(
  'place', [item for item in responses.Place if item is not responses.Place.END]
)
@pytest.mark.parametrize('framing', responses.Framing)
async def test_a_caller_sees_that_a_response_broke_off(
  framing, place, is_reset
):
  response = responses.Response(
    parts=PARTS,
    is_stream=True,
    framing=framing,
    place=place,
    whole=1,
    is_reset=is_reset,
  )
  is_unframed = framing is responses.Framing.NONE
  if is_unframed and not is_reset and place is not responses.Place.HEAD:
    # An orderly close is the end of such a response.
    found, _ = await send(response)
    assert found.body == b''.join(response.get_sent_parts())
    return
  with pytest.raises(OSError):
    await send(response)


# --- Answers that contradict a run --------------------------------------------


def draw_contradictions(*, is_turn):
  rng = random.Random(1)
  drawn = [
    contradictions.draw(
      rng, request='r', instance='i', signature='s.r', is_turn=is_turn
    )
    for _ in range(20_000)
  ]
  return drawn, [item for item in drawn if item is not None]


@pytest.mark.parametrize('is_turn', [False, True])
def test_a_few_answers_contradict_a_run_in_each_way(is_turn):
  drawn, found = draw_contradictions(is_turn=is_turn)
  assert 0.03 < len(found) / len(drawn) < 0.05
  assert {item.kind for item in found} == set(contradictions.Kind)
  statuses = {408, 421, 429, 503} | ({402, 404, 410} if is_turn else set())
  for kind in contradictions.Kind:
    seen = {item.status for item in found if item.kind is kind}
    if kind in contradictions.SUCCESSES:
      assert seen == {200}
    elif kind is contradictions.Kind.OWN_INSTANCE:
      assert seen == {421}
    elif kind in contradictions.WITHOUT_STATUS:
      assert seen == {0, 99, 600, 999}
    else:
      assert seen == statuses


# Guards against an answer that truly states that a request has not run: then no
# daemon could know better.
@pytest.mark.parametrize('is_turn', [False, True])
def test_no_contradiction_is_a_valid_refusal(is_turn):
  _, found = draw_contradictions(is_turn=is_turn)
  for item in found:
    names = set(item.headers)
    is_valid = (
      item.headers.get('Not-Executed') == '1' and 400 <= item.status < 600
    )
    is_own = 'Request-Id' in names and 'Server-Signature' not in names
    assert not (is_valid and is_own)
    assert item.headers.get('Instance-Id', 'i') == 'i'
    is_signed = 'Request-Id' in names and 'Server-Signature' in names
    assert item.is_answer is (item.status == 200 and is_signed)


@contextlib.asynccontextmanager
async def serve_instance(**options):
  instance = outside.Instance(
    id=options.pop('id', 'i'),
    service='models',
    host='127.0.0.1',
    rng=random.Random(1),
    on_fatal_request=lambda *_: None,
  )
  await instance.start()
  try:
    yield instance
  finally:
    await instance.stop()


async def ask_instance(instance, *, path, ids, expected='i'):
  """Sends requests over kept connections; yields their ids and responses."""
  host, _, port = instance.proxy.address.partition(':')
  client = http_client.Client()
  try:
    for id in ids:
      response = http_client.Response()
      headers = {'Request-Id': id, 'Expect-Instance': expected}
      with contextlib.suppress(OSError):
        async with asyncio.timeout(5):
          await client.send(
            (host, int(port)),
            response,
            method='POST',
            path=path,
            headers=headers,
            body=b'x',
          )
      yield id, response
  finally:
    client.close()


async def pass_at_once():
  await asyncio.sleep(0)


@pytest.fixture
def quick_instances(monkeypatch):
  """Makes instances answer at once, completely and with few other faults."""
  monkeypatch.setattr(outside.Instance, '_pause', lambda _: pass_at_once())
  monkeypatch.setattr(
    outside.Instance, '_pause_briefly', lambda _: pass_at_once()
  )
  monkeypatch.setattr(outside, 'ENDLESS_SHARE', 0.0)
  monkeypatch.setattr(responses, 'TRUNCATED_SHARE', 0.0)
  monkeypatch.setattr(responses, 'SURPLUS_SHARE', 0.0)


@pytest.mark.usefixtures('quick_instances')
@pytest.mark.parametrize('path', [outside.CHAT, outside.ACT, outside.LOOK])
async def test_an_instance_contradicts_requests_that_it_ran(path, monkeypatch):
  monkeypatch.setattr(contradictions, 'SHARE', 0.5)
  ids = [f'r{number}' for number in range(200)]
  seen = set()
  async with serve_instance() as instance:
    async for id, response in ask_instance(instance, path=f'{path}x', ids=ids):
      has_run = any(run.request == id for run in instance.runs)
      fields = response.header_by_name
      is_own = fields.get('request-id') == id
      is_signed = fields.get('server-signature', '').endswith(f'.{id}')
      is_success = is_own and is_signed and response.status == 200
      is_contradicted = id in instance.contradicted_requests
      assert is_success is (has_run and not is_contradicted)
      if is_success:
        assert response.body == instance.response_by_request[id].body
      if is_contradicted:
        seen.add((response.status, is_own, is_signed, 'not-executed' in fields))
      assert has_run or response.status in (421, 503)
  assert len(seen) > 10
  assert any(status == 200 for status, *_ in seen)


@pytest.mark.usefixtures('quick_instances')
async def test_an_instance_refuses_requests_that_it_does_not_run(monkeypatch):
  monkeypatch.setattr(responses, 'REFUSED_SHARE', 1.0)
  kinds = set()
  ids = [f'r{number}' for number in range(40)]
  async with serve_instance() as instance:
    found = [
      item async for item in ask_instance(instance, path='/chat/x', ids=ids)
    ]
    found.extend(
      [
        item
        async for item in ask_instance(
          instance, path='/chat/x', ids=ids, expected='other'
        )
      ]
    )
    assert instance.runs == []
  for id, response in found:
    fields = response.header_by_name
    assert fields['request-id'] == id
    assert 'server-signature' not in fields
    if response.status == 421:
      assert fields['instance-id']
    else:
      assert (response.status, fields['not-executed']) == (503, '1')
    kinds.add((response.status, fields.get('instance-id')))
  # Of another instance, of this one that was asked in place of another.
  assert kinds == {(503, None), (421, 'not-i'), (421, 'i')}


@pytest.mark.usefixtures('quick_instances')
async def test_copies_come_in_the_place_of_the_next_response(monkeypatch):
  monkeypatch.setattr(responses, 'SURPLUS_SHARE', 1.0)
  monkeypatch.setattr(responses, 'REFUSED_SHARE', 0.3)
  monkeypatch.setattr(contradictions, 'SHARE', 0.3)
  ids = [f'r{number}' for number in range(100)]
  seen = set()
  async with serve_instance() as instance:
    async for id, response in ask_instance(instance, path='/chat/x', ids=ids):
      fields = response.header_by_name
      own = fields.get('request-id', '')
      seen.add((own == id, bool(own), 'not-executed' in fields))
  # Copies with the id of another request and with none, also of refusals.
  assert {(False, True, True), (False, False, True)} <= seen
  assert {(False, True, False), (False, False, False)} <= seen


@pytest.mark.parametrize('seed', SEEDS)
async def test_a_short_run_has_no_violations(seed, tmp_path):
  found = await program.soak(
    seed=seed, seconds=SECONDS, count=DAEMONS, folder=tmp_path
  )
  assert found == []
