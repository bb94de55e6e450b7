"""Ends of which nothing is seen, or nothing is told, use up a request's places.

Each case prints how many instances ended, and how many runs began after the
third end.
"""

import asyncio
import itertools
import random

import crashing_engines
import nodes
import pytest
import test_crashing_requests as crashing

from woadrun.process import fleet as fleet_module

TRIES = 12
MAX_ENDED = 3
PATHS = ('/chat/', '/look/')
SMALL = ('n1', 'n2', 's1')
NINE = tuple(f'{letter}{number}' for letter in 'nsw' for number in range(1, 4))
SIX = tuple(f'{letter}{number}' for letter in 'ns' for number in range(1, 4))
LARGE = tuple(f'{letter}{number}' for letter in 'nsw' for number in range(1, 6))
CONFIG_BY_NAME = {
  'no health check': nodes.CONFIG,
  'health check': {
    **nodes.CONFIG,
    'services': [
      {**service, 'health_check_path': '/health'}
      for service in (*nodes.CONFIG['services'], {'name': 'tools'})
    ],
  },
}
OPTIONS_BY_NAME = {
  'reset': {},
  # Until its caller gives up.
  'silent': {'is_silent': True, 'gives_up': 0.4},
}


def choose_daemons(fleet, mute):
  names = sorted(set(fleet.by_name) - set(mute))
  return lambda number: names[number % len(names)]


async def send_tries(fleet, *, path, gives_up=None, tries=TRIES, mute=()):
  """Sends a fatal request in turn to all daemons that are not mute."""
  choose = choose_daemons(fleet, mute)
  for number in range(tries):
    await send_try(fleet, choose(number), path=path, gives_up=gives_up)
    await asyncio.sleep(0.1)


async def send_try(fleet, name, *, path, gives_up=None):
  await crashing.wait_for_instance(fleet, name, path)
  fleet.tries = getattr(fleet, 'tries', 0) + 1
  request = crashing.make_request(
    f'r{fleet.tries}', path=path, content=crashing_engines.MARK
  )
  try:
    async with asyncio.timeout(gives_up):
      return await crashing.send(fleet, name, request)
  except TimeoutError:
    return 'given up'


def lose_datagrams(fleet, share, *, seed=1):
  """Makes a share of all datagrams between the daemons get lost."""
  rng = random.Random(seed)
  for daemon in fleet.by_name.values():
    send = daemon.fleet.datagrams.send

    def send_some(address, kind, data, send=send):
      if rng.random() >= share:
        send(address, kind, data)

    daemon.fleet.datagrams.send = send_some


def mute_daemon(daemon):
  """Makes a daemon neither send nor receive datagrams and messages."""
  daemon.fleet.datagrams.send = lambda *_: None
  daemon.fleet.datagrams._handler_by_kind.clear()
  daemon._handler_by_path.clear()


def deafen_peers(fleet, name):
  """Makes all others get no datagrams and messages of a daemon any more."""
  daemon = fleet.by_name[name]
  daemon.fleet.datagrams.send = lambda *_: None

  async def post(address, path, message, *, type, timeout):
    await asyncio.sleep(timeout)
    raise nodes.peers.NoAnswer(
      nodes.errors.Code.OWNER_UNAVAILABLE, 'No answer.'
    )

  daemon.links.post = post
  daemon.calls.post = post


def find_hubs(fleet, domain):
  return [
    name
    for name, daemon in fleet.by_name.items()
    if daemon.config.domain == domain and daemon.fleet.is_hub
  ]


async def run_cases(run, *axes):
  """Runs a case with each combination of values, all at the same time.

  They mostly wait.  Fails if a case ended or sent more than it may.
  """
  cases = list(itertools.product(*axes))
  found = await asyncio.gather(*(run(*case) for case in cases))
  for case, (ended, sent, _) in zip(cases, found, strict=True):
    print(f'{case}: {ended} ended, {sent} sent after three had ended')
  assert [
    case
    for case, (ended, sent, allowed) in zip(cases, found, strict=True)
    if ended > allowed or sent > allowed - MAX_ENDED
  ] == []


def measure(fleet, *, allowed=MAX_ENDED):
  """Returns how many instances ended, runs began after three, may end."""
  engines = fleet.engines
  return len(engines.end_times), engines.count_sent_after(MAX_ENDED), allowed


def split(options):
  """Returns the options of the instances, and when callers give up."""
  found = dict(OPTIONS_BY_NAME[options])
  gives_up = found.pop('gives_up', None)
  return found, gives_up


# Guards against a process that starts again at the address of an ended one.
async def test_instances_that_start_again_at_the_same_address():
  async def run(path, options, config, entry_seconds):
    options, gives_up = split(options)
    async with crashing_engines.make_fleet(
      *SMALL,
      config=CONFIG_BY_NAME[config],
      restarts_in_place=True,
      entry_seconds=entry_seconds,
      **options,
    ) as fleet:
      await send_tries(fleet, path=path, gives_up=gives_up)
      return measure(fleet)

  await run_cases(run, PATHS, OPTIONS_BY_NAME, CONFIG_BY_NAME, (0.5, 3.0))


# Guards against an address that accepts connections and answers nothing.
async def test_instances_that_go_mute():
  async def run(path, entry_seconds):
    async with crashing_engines.make_fleet(
      *SMALL, is_silent=True, is_mute=True, entry_seconds=entry_seconds
    ) as fleet:
      await send_tries(fleet, path=path, gives_up=0.4)
      return measure(fleet)

  await run_cases(run, PATHS, (2.0, 6.0))


# Guards against a sign of life that settles an attempt which still runs.
async def test_instances_that_answer_a_probe_and_end_later():
  async def run(path, end_seconds, config):
    async with crashing_engines.make_fleet(
      *SMALL, config=CONFIG_BY_NAME[config], end_seconds=end_seconds
    ) as fleet:
      for service in ('models', 'tools') * 4:
        await fleet.engines.add(service)
      await send_tries(fleet, path=path)
      await asyncio.sleep(end_seconds)
      return measure(fleet)

  await run_cases(run, PATHS, (0.3, 1.2, 2.5), CONFIG_BY_NAME)


# Guards against an end that counts as planned, which the request has caused.
async def test_instances_that_drain_for_as_long_as_planned_and_end():
  async def run(path, leaves, leave_seconds):
    async with crashing_engines.make_fleet(
      *SMALL, leaves=leaves, leave_seconds=leave_seconds
    ) as fleet:
      for service in ('models', 'tools') * 3:
        await fleet.engines.add(service)
      await send_tries(fleet, path=path, tries=6)
      return measure(fleet)

  await run_cases(run, PATHS, ('removed', 'draining'), (1.0, 2.3))


# Guards against reports that go through hubs which are gone.
@pytest.mark.parametrize('options', OPTIONS_BY_NAME)
async def test_a_domain_whose_hubs_are_gone_unnoticed(options, monkeypatch):
  async def run(path, loss):
    others, gives_up = split(options)
    async with crashing_engines.make_fleet(*LARGE, **others) as fleet:
      monkeypatch.setattr(fleet_module, 'FULL_MESH_MAX_MEMBERS', 6)
      await nodes.wait_until(lambda: len(find_hubs(fleet, 'south')) == 2)
      await asyncio.sleep(1.0)
      mute = find_hubs(fleet, 'south')
      if loss:
        lose_datagrams(fleet, loss)
      for name in mute:
        mute_daemon(fleet.by_name[name])
      await send_tries(fleet, path=path, gives_up=gives_up, tries=10, mute=mute)
      return measure(fleet)

  for case in itertools.product(PATHS, (0.0, 0.3)):
    monkeypatch.setattr(fleet_module, 'FULL_MESH_MAX_MEMBERS', 24)
    await run_cases(run, *((value,) for value in case))


# Guards against reports that are sent once, or until nobody sends them again.
async def test_lost_datagrams():
  async def run(path, seed, options):
    options, gives_up = split(options)
    async with crashing_engines.make_fleet(*NINE, **options) as fleet:
      lose_datagrams(fleet, 0.3, seed=seed)
      await send_tries(fleet, path=path, gives_up=gives_up)
      return measure(fleet)

  for options in OPTIONS_BY_NAME:
    await run_cases(run, PATHS, range(3), (options,))


# Guards against the sides of a cut that each use what is left of three places.
async def test_a_domain_is_cut_off_and_returns():
  async def run(path, before, options):
    options, gives_up = split(options)
    async with crashing_engines.make_fleet(*SIX, **options) as fleet:
      while len(fleet.engines.end_times) < before:
        await send_try(fleet, 'n1', path=path, gives_up=gives_up)
        await asyncio.sleep(0.2)
      fleet.cut.add('south')
      await send_tries(fleet, path=path, gives_up=gives_up)
      fleet.cut.discard('south')
      await send_tries(fleet, path=path, gives_up=gives_up)
      return measure(fleet)

  await run_cases(run, PATHS, (1, 2), OPTIONS_BY_NAME)


# Guards against a daemon that forgets what it did itself: where nobody hears
# any other one, each ends one instance before its request is suspect.
async def test_daemons_that_are_heard_by_nobody_end_one_instance_each():
  async def run(path):
    async with crashing_engines.make_fleet(*SIX) as fleet:
      for name in SIX:
        await send_try(fleet, name, path=path)
        deafen_peers(fleet, name)
      await send_tries(fleet, path=path, tries=6)
      return measure(fleet, allowed=len(SIX))

  await run_cases(run, PATHS)
