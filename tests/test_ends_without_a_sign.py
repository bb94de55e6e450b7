"""Ends of which nothing is seen, or nothing is told, use up a request's places.

Each case prints how many instances ended, and how many runs began after the
third end.
"""

import asyncio
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
# An instance that is silent until its caller gives up.
SILENT = {'is_silent': True, 'gives_up': 0.4}
HEALTH_CONFIG = {
  **nodes.CONFIG,
  'services': [
    {**service, 'health_check_path': '/health'}
    for service in (
      *nodes.CONFIG['services'],
      {'name': 'tools'},
    )
  ],
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


def check(fleet, *, allowed=MAX_ENDED):
  ended = len(fleet.engines.end_times)
  sent = fleet.engines.count_sent_after(MAX_ENDED)
  print(f'ended {ended}, sent after three {sent}')
  assert ended <= allowed
  assert sent <= allowed - MAX_ENDED


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


# Guards against a process that starts again at the address of an ended one.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('options', [{}, SILENT])
@pytest.mark.parametrize('config', [nodes.CONFIG, HEALTH_CONFIG])
@pytest.mark.parametrize('entry_seconds', [0.5, 3.0])
async def test_instances_that_start_again_at_the_same_address(
  path, options, config, entry_seconds
):
  options = dict(options)
  gives_up = options.pop('gives_up', None)
  async with crashing_engines.make_fleet(
    *SMALL,
    config=config,
    restarts_in_place=True,
    entry_seconds=entry_seconds,
    **options,
  ) as fleet:
    await send_tries(fleet, path=path, gives_up=gives_up)
    check(fleet)


# Guards against an address that accepts connections and answers nothing.
@pytest.mark.parametrize('path', PATHS)
async def test_instances_that_go_mute(path):
  async with crashing_engines.make_fleet(
    *SMALL, is_silent=True, is_mute=True, entry_seconds=6.0
  ) as fleet:
    await send_tries(fleet, path=path, gives_up=0.4)
    check(fleet)


# Guards against a sign of life that settles an attempt which still runs.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('end_seconds', [0.3, 1.2, 2.5])
@pytest.mark.parametrize('config', [nodes.CONFIG, HEALTH_CONFIG])
async def test_instances_that_answer_a_probe_and_end_later(
  path, end_seconds, config
):
  async with crashing_engines.make_fleet(
    *SMALL, config=config, end_seconds=end_seconds
  ) as fleet:
    for service in ('models', 'tools') * 4:
      await fleet.engines.add(service)
    await send_tries(fleet, path=path)
    await asyncio.sleep(end_seconds)
    check(fleet)


# Guards against reports that go through hubs which are gone.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('loss', [0.0, 0.3])
@pytest.mark.parametrize('options', [{}, SILENT])
async def test_a_domain_whose_hubs_are_gone_unnoticed(
  path, loss, options, monkeypatch
):
  monkeypatch.setattr(fleet_module, 'FULL_MESH_MAX_MEMBERS', 6)
  options = dict(options)
  gives_up = options.pop('gives_up', None)
  async with crashing_engines.make_fleet(*LARGE, **options) as fleet:
    await nodes.wait_until(lambda: len(find_hubs(fleet, 'south')) >= 2)
    mute = find_hubs(fleet, 'south')
    if loss:
      lose_datagrams(fleet, loss)
    for name in mute:
      mute_daemon(fleet.by_name[name])
    await send_tries(fleet, path=path, gives_up=gives_up, tries=10, mute=mute)
    check(fleet)


# Guards against reports that are sent once, or until nobody sends them again.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('options', [{}, SILENT])
async def test_lost_datagrams(path, seed, options):
  options = dict(options)
  gives_up = options.pop('gives_up', None)
  async with crashing_engines.make_fleet(*NINE, **options) as fleet:
    lose_datagrams(fleet, 0.3, seed=seed)
    await send_tries(fleet, path=path, gives_up=gives_up)
    check(fleet)


# Guards against the sides of a cut that each use what is left of three places.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('before', [1, 2])
@pytest.mark.parametrize('options', [{}, SILENT])
async def test_a_domain_is_cut_off_and_returns(path, before, options):
  options = dict(options)
  gives_up = options.pop('gives_up', None)
  async with crashing_engines.make_fleet(*SIX, **options) as fleet:
    while len(fleet.engines.end_times) < before:
      await send_try(fleet, 'n1', path=path, gives_up=gives_up)
      await asyncio.sleep(0.2)
    fleet.cut_off('south')
    await send_tries(fleet, path=path, gives_up=gives_up)
    fleet.heal('south')
    await send_tries(fleet, path=path, gives_up=gives_up)
    # An idempotent request that ended one instance may have ended two.
    check(fleet)


# Guards against a daemon that forgets what it did itself: where nobody hears
# any other one, each ends one instance before its request is suspect.
@pytest.mark.parametrize('path', PATHS)
async def test_daemons_that_are_heard_by_nobody_end_one_instance_each(path):
  async with crashing_engines.make_fleet(*SIX) as fleet:
    for name in SIX:
      await send_try(fleet, name, path=path)
      deafen_peers(fleet, name)
    await send_tries(fleet, path=path, tries=6)
    check(fleet, allowed=len(SIX))
