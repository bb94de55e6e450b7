"""A turn that ended whole can be continued, at any daemon and beside stops.

Turns run on real daemon processes.  A turn has ended whole once its caller has
its complete answer; the next one of its program begins at once.
"""

import asyncio
import contextlib
import time

import pytest
import real_site

# Number of programs of a play, and of tries of a turn.
PROGRAMS = 12
TRIES = 5
RETRY_SECONDS = 0.5
TROUBLE_SECONDS = 1.5
NOT_FOUND = (404, 410)
DOMAINS = ('north', 'south')
# Troubles in which no daemon reaches the store.
HOLDING = ('silent', 'cut')


class Program:
  """A program whose turns follow each other, each of the one before it.

  `statuses` are the answers to the tries of each turn, `refused_after_run` the
  requests that got 503 although an instance had them.  A held turn is sent
  again under its id.
  """

  def __init__(self, site, number):
    self._site = site
    self.name = f'program-{number}'
    self.turns = []
    self.statuses = []
    self.refused_after_run = []
    self._history = b''

  async def go_on(self, *daemons, tries=TRIES):
    """Runs the next turn at daemons in turn until it ends whole, if it does."""
    statuses = []
    self.statuses.append(statuses)
    for number in range(tries):
      if number:
        await asyncio.sleep(RETRY_SECONDS)
      request = f'{self.name}-{len(self.turns)}-{number}'
      daemon = daemons[number % len(daemons)]
      answer = await self._send(daemon, request)
      statuses.append(answer.status)
      if answer.status == 503 and self._has_run(request):
        self.refused_after_run.append(request)
      if answer.status == 200:
        self._check_history(request)
        self._history += f'<{request}>{request}\n{request}\n'.encode()
        self.turns.append(request)
        return

  def _check_history(self, request):
    bodies = [
      instance.body_by_turn[request]
      for instance in self._site.instances
      if request in instance.body_by_turn
    ]
    assert bodies[-1] == self._history + f'<{request}>'.encode()

  async def _send(self, daemon, request):
    body = f'<{request}>'.encode()
    head = (
      f'POST /chat/0 HTTP/1.1\r\nHost: site\r\nRequest-Id: {request}\r\n'
      f'Program-Id: {self.name}\r\nSession-Id: {self.name}\r\n'
      'Token-Usage: 10,8\r\nToken-Budget: 100000\r\nDeadline-Ms: 5000\r\n'
      f'Content-Length: {len(body)}\r\n'
    )
    if self.turns:
      head += f'Previous-Turn: {self.turns[-1]}\r\n'
    answer = real_site.Answer(request=request, began=time.monotonic())
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
      reader, writer = await self._site.connect(daemon)
      try:
        writer.write(f'{head}\r\n'.encode() + body)
        await real_site.read_answer(reader, answer)
      finally:
        writer.transport.abort()
    return answer

  def _has_run(self, request):
    """Returns whether an instance has a request."""
    return any(
      request in instance.body_by_turn for instance in self._site.instances
    )


def make_programs(site):
  return [Program(site, n) for n in range(PROGRAMS)]


async def go_on_all(programs, daemons, *, shift=0, tries=TRIES):
  """Runs a turn of each program, each first at another one of the daemons."""
  starts = [(n + shift) % len(daemons) for n in range(len(programs))]
  await asyncio.gather(
    *(
      program.go_on(*daemons[at:], *daemons[:at], tries=tries)
      for program, at in zip(programs, starts, strict=True)
    )
  )


def check(programs, *, turns):
  """Asserts that each turn ended whole in time and none was not found."""
  for program in programs:
    seen = program.name, program.statuses
    assert not any(
      status in NOT_FOUND for tried in program.statuses for status in tried
    ), seen
    assert len(program.turns) == turns, seen
    assert not program.refused_after_run, seen


def begin_trouble(site, trouble):
  for daemon in site.daemons:
    if trouble == 'slow':
      daemon.link.delay = 0.2
    elif trouble == 'silent':
      daemon.link.go_silent(is_listening=True)
    elif trouble == 'cut':
      daemon.link.reset()
  site.store.is_out = trouble == 'cut'


def end_trouble(site):
  site.store.is_out = False
  for daemon in site.daemons:
    daemon.link.heal()


@pytest.mark.parametrize('domains', [('north',), DOMAINS])
async def test_chain_goes_on_at_once_at_other_daemons(tmp_path, domains):
  async with real_site.Site(tmp_path, count=4, domains=domains) as site:
    programs = make_programs(site)
    for shift in range(6):
      await go_on_all(programs, site.daemons, shift=shift, tries=1)
  check(programs, turns=6)


@pytest.mark.parametrize('domains', [('north',), DOMAINS])
async def test_turn_goes_on_beside_the_stop_of_its_daemon(tmp_path, domains):
  async with real_site.Site(tmp_path, count=4, domains=domains) as site:
    programs = make_programs(site)
    stopped, *others = site.daemons
    await go_on_all(programs, [stopped])
    stopping = asyncio.ensure_future(stopped.stop())
    await go_on_all(programs, others, tries=1)
    await go_on_all(programs, [stopped, *others])
    code = await stopping
    await go_on_all(programs, others, tries=1)
  check(programs, turns=4)
  assert code == 0


@pytest.mark.parametrize('trouble', ['', 'slow', 'silent', 'cut'])
async def test_turns_go_on_beside_restarts_of_a_domain(tmp_path, trouble):
  async with real_site.Site(
    tmp_path, count=4, domains=DOMAINS, grace=4.0
  ) as site:
    programs = make_programs(site)
    await go_on_all(programs, site.daemons)
    for daemon in site.daemons if not trouble else site.daemons[::2]:
      others = [other for other in site.daemons if other is not daemon]
      begin_trouble(site, trouble)
      tries = 1 if trouble in HOLDING else TRIES
      await go_on_all(programs, [daemon], tries=tries)
      stopping = asyncio.ensure_future(daemon.stop())
      await go_on_all(programs, others, tries=tries)
      await stopping
      end_trouble(site)
      await daemon.start(site.store_address)
      await site.wait_ready()
      await go_on_all(programs, [daemon, *others])
  # Without the store, turns are held and refused as not run.
  count_by_trouble = {'': 13, 'slow': 7, 'silent': 3, 'cut': 3}
  check(programs, turns=count_by_trouble[trouble])


# Guards against turns that only a daemon which stops has, just after its start.
async def test_turns_of_an_outage_right_after_the_start_are_held(tmp_path):
  async with real_site.Site(tmp_path, count=2, grace=4.0) as site:
    first, second = site.daemons
    programs = make_programs(site)
    await go_on_all(programs, [first])
    begin_trouble(site, 'cut')
    await go_on_all(programs, [first], tries=1)
    await first.stop()
    await go_on_all(programs, [second], tries=1)
    end_trouble(site)
    await go_on_all(programs, [second])
  check(programs, turns=2)


@pytest.mark.parametrize('trouble', ['slow', 'silent', 'cut'])
async def test_turns_go_on_beside_trouble_of_the_store(tmp_path, trouble):
  async with real_site.Site(tmp_path, count=4, domains=DOMAINS) as site:
    programs = make_programs(site)
    await go_on_all(programs, site.daemons)
    for round in range(2):
      begin_trouble(site, trouble)
      tries = 1 if trouble in HOLDING else TRIES
      for shift in range(3):
        await go_on_all(programs, site.daemons, shift=shift, tries=tries)
      await asyncio.sleep(TROUBLE_SECONDS)
      await go_on_all(programs, site.daemons, shift=3, tries=tries)
      end_trouble(site)
      await go_on_all(programs, site.daemons, shift=round)
  check(programs, turns=3 if trouble in HOLDING else 11)
