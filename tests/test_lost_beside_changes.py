"""No request that was read in full is cut beside several planned changes."""

import asyncio
import itertools
import json
import signal
import time

import pytest
import real_site

# Time after the last byte of a request within which its connection may close,
# if it was not passed on: the two cross each other.
SLACK_SECONDS = 0.2
# Time after which a request counts as unanswered; all deadlines are earlier.
WAIT_SECONDS = 9.0
# Moments at which requests begin, in seconds after SIGTERM.
STARTS = [-1.0 + 0.025 * n for n in range(145)]
LARGE_BYTES = 2_000_000


async def ask(
  site, daemon, n, *, connection=None, size=4, pause=None, work=None, rest=0.0,
  fields=(), version=b'1.1', timeout=real_site.TIMEOUT_SECONDS,
):  # fmt: skip
  """Sends a last byte `pause` seconds late, reads the answer `rest` later."""
  work = (0.02, 0.3, 0.8, 1.5)[n % 4] if work is None else work
  pause = (0.0, 0.05, 0.3, 1.0, 1.7)[n % 5] if pause is None else pause
  id, head = site.make_head(
    ('act', 'chat', 'look')[n % 3], work,
    size=size, fields=fields, timeout=timeout,
  )  # fmt: skip
  answer = real_site.Answer(request=id, began=time.monotonic())
  writer = None
  try:
    async with asyncio.timeout(WAIT_SECONDS):
      reader, writer = connection or await site.connect(daemon)
      writer.write(head.replace(b'HTTP/1.1', b'HTTP/' + version))
      if 'Expect: 100-continue' in fields:
        await reader.readuntil(b' 100 Continue\r\n\r\n')
      writer.write(b'x' * (size - 1))
      await writer.drain()
      await asyncio.sleep(pause)
      writer.write(b'x')
      await writer.drain()
      answer.sent = time.monotonic()
      await asyncio.sleep(rest)
      await real_site.read_answer(reader, answer)
      if answer.status == 200 and version == b'1.0':
        # The answer has no length: it ends with its connection.
        answer.body += await reader.read()
  except (OSError, asyncio.IncompleteReadError):
    # A timeout is an OSError as well.
    answer.status = 0
  finally:
    answer.ended = time.monotonic()
    if writer is not None and connection is None:
      writer.transport.abort()
  return answer


async def ask_in_turn(site, n, until, **options):
  """Returns the answers to requests in turn, on kept connections."""
  answers, connection = [], None
  for step in itertools.count(n):
    if time.monotonic() > until:
      break
    try:
      connection = connection or await site.connect(site.daemons[0])
    except OSError:
      break
    answer = await ask(site, None, step, connection=connection, **options)
    answers.append(answer)
    fields = answer.head.lower()
    is_old = fields.startswith('http/1.0')
    if not answer.status or is_old or 'connection: close' in fields:
      connection[1].transport.abort()
      connection = None
  return answers


def check(site, answers, *, served):
  """Fails if a request was cut, or an answer is not true or not complete."""
  cut = [
    (a.request, site.has_run(a.request), a.sent - a.began, a.ended - a.began)
    for a in answers
    if not a.status and (site.has_run(a.request)
    or (a.sent and a.ended - a.sent > SLACK_SECONDS))
  ]  # fmt: skip
  assert cut == []
  assert [a for a in answers if a.is_not_run and site.has_run(a.request)] == []
  whole = [a for a in answers if a.status == 200]
  assert all(a.body.strip().endswith(a.request.encode()) for a in whole)
  assert len(whole) >= served


async def change_configuration(site, n):
  await site.configure(timeout=4.0 + n % 8 / 10)


async def change_settings(site, n):
  """Changes the store's address and the limits in the file; sends SIGHUP."""
  daemon = site.daemons[0]
  values = json.loads(daemon._settings.read_text())
  addresses = daemon.link.address, ':'.join(map(str, site.store_address))
  values['platform']['address'] = addresses[n % 2]
  values['limits']['memory_mb'] = 256 + 16 * (n % 4)
  daemon._settings.write_text(json.dumps(values))
  daemon.send_signal(signal.SIGHUP)


async def stop_neighbours(site, n):
  """Stops the others at the signal, during the drain and at the close."""
  number = {6: 1, 14: 2, 31: 3}.get(n)
  assert number is None or await site.daemons[number].stop() == 0


async def play(site, begin, *changes, starts=STARTS, stops=True):
  """Returns what `begin(n)` returns at each start, beside changes in series."""
  zero = time.monotonic() + 0.5 - min(starts)

  async def run_at(at, run, *arguments):
    await asyncio.sleep(zero + at - time.monotonic())
    return await run(*arguments)

  code, _, *results = await asyncio.gather(
    run_at(0.0, site.daemons[0].stop) if stops else asyncio.sleep(0, 0),
    asyncio.gather(*(
      run_at(0.1 * n - 0.6, change, site, n)
      for change in changes for n in range(40)
    )),
    *(run_at(at, begin, n) for n, at in enumerate(starts)),
  )  # fmt: skip
  assert code == 0
  return results


@pytest.mark.parametrize(
  'change', [change_configuration, change_settings, stop_neighbours]
)
async def test_stop_beside_changes_cuts_no_request(tmp_path, change):
  count = 4 if change is stop_neighbours else 2
  async with real_site.Site(tmp_path, count=count) as site:
    answers = await play(
      site,
      lambda n: ask(site, site.daemons[n % count if count > 2 else 0], n),
      change,
    )
    check(site, answers, served=40)


async def test_stop_beside_full_memory_cuts_no_request(tmp_path):
  async def respond(instance, writer, path, request):
    if path.startswith('/look'):
      lines = f'Content-Length: {LARGE_BYTES + len(request)}'
      head = real_site.make_head(instance, request, lines) + b'\r\n'
      writer.write(head + b' ' * LARGE_BYTES + request.encode())
    else:
      await real_site.respond(instance, writer, path, request)

  async with real_site.Site(tmp_path, memory_mb=88, count=1) as site:
    for instance in site.instances:
      instance.respond = respond

    async def begin(n):
      size = (4, LARGE_BYTES, 4, 20_000, 300_000)[n // 2 % 5]
      return await ask(site, site.daemons[0], n, size=size, rest=n % 7 / 7)

    answers = await play(site, begin)
    check(site, answers, served=30)
    assert any('memory_full' in answer.head for answer in answers)


KEPT = {'work': 0.05, 'pause': 0.1}
OLD = {'work': 0.1, 'version': b'1.0'}
BOTH = change_configuration, change_settings
SHAPES = {
  'kept-stop': (True, KEPT),
  'kept-configurations': (False, KEPT, change_configuration),
  'kept-settings': (False, KEPT, change_settings),
  'http-1.0': (True, OLD, *BOTH),
  # Guards against a connection that stays open behind an answer without length.
  'http-1.0-kept': (False, OLD | {'fields': ['Connection: keep-alive']}, *BOTH),
  'late-body': (True, {'timeout': 0.3, 'pause': 0.6, 'work': 0.02}, *BOTH),
  # Guards against a caller that waits in vain for a 100 response.
  'continue': (False, {'work': 0.1, 'fields': ['Expect: 100-continue']}, *BOTH),
}


@pytest.mark.parametrize('shape', SHAPES)
async def test_requests_in_turn_get_answers(tmp_path, shape):
  stops, options, *changes = SHAPES[shape]
  async with real_site.Site(tmp_path) as site:
    until = time.monotonic() + 4.0
    lists = await play(
      site, lambda n: ask_in_turn(site, n, until, **options), *changes,
      starts=[-0.7 + 0.01 * n for n in range(100)], stops=stops,
    )  # fmt: skip
    answers = list(itertools.chain(*lists))
    if shape == 'late-body':
      # Its caller has stopped waiting as the body ends.
      assert not any(site.has_run(answer.request) for answer in answers)
      assert sum(answer.is_not_run for answer in answers) >= 100
    check(site, answers, served=0 if shape == 'late-body' else 100)
