"""A request ends at most three instances, whatever becomes of the daemons.

Each case prints how many instances ended, and how many runs began after the
third end.
"""

import asyncio
import contextlib

import crashing_engines
import nodes
import pytest
import test_ends_without_a_sign as without_a_sign

PATHS = ('/chat/', '/look/')
SIX = ('n1', 'n2', 's1', 's2', 'w1', 'w2')
ISOLATED = (('n2',), ('n2', 's2'), ('n2', 's2', 'w2'))
MAX_ENDED = 3
TRIES_AFTERWARDS = 6


@contextlib.asynccontextmanager
async def make_fleet(*names, **options):
  """Returns a context with daemons, and with instances for several ends."""
  async with crashing_engines.make_fleet(*names, **options) as fleet:
    for service in ('models', 'tools') * 4:
      await fleet.engines.add(service)
    yield fleet


async def end_instances(fleet, names, *, path, count=MAX_ENDED):
  """Sends a fatal request to some daemons until it has ended instances."""
  number = 0
  while len(fleet.engines.end_times) < count:
    assert number < 20
    await without_a_sign.send_try(fleet, names[number % len(names)], path=path)
    await asyncio.sleep(0.05)
    number += 1


async def send_again(fleet, names, *, path, count=TRIES_AFTERWARDS):
  """Sends the request to each of some daemons in turn."""
  for number in range(count):
    await without_a_sign.send_try(fleet, names[number % len(names)], path=path)
    await asyncio.sleep(0.05)


async def kill(fleet, name):
  """Ends a daemon, which can neither write nor send anything any more."""
  daemon = fleet.by_name.pop(name)
  daemon.fleet.datagrams.send = lambda *_: None
  fleet.view_by_name.pop(name).is_cut = True
  await daemon.stop()


async def restart(fleet, *names):
  """Kills some daemons at once, and starts them again."""
  await asyncio.gather(*(kill(fleet, name) for name in names))
  await fleet.start(*names)


def isolate(fleet, names):
  """Cuts each of some daemons off from all others, but not from the store."""
  address_by_name = {
    name: daemon.config.peers_address for name, daemon in fleet.by_name.items()
  }
  isolated = {address_by_name[name] for name in names}
  for daemon in fleet.by_name.values():
    own = daemon.config.peers_address

    def is_cut(address, own=own):
      return address != own and bool({address, own} & isolated)

    def send_unless_cut(
      address, kind, data, send=daemon.fleet.datagrams.send, is_cut=is_cut
    ):
      if not is_cut(address):
        send(address, kind, data)

    async def post_unless_cut(
      address, *args, post=daemon.links.post, is_cut=is_cut, **options
    ):
      if is_cut(address):
        raise nodes.peers.NoAnswer(
          nodes.errors.Code.OWNER_UNAVAILABLE, 'Cut off.'
        )
      return await post(address, *args, **options)

    daemon.fleet.datagrams.send = send_unless_cut
    daemon.links.post = post_unless_cut


def check(fleet):
  ended = len(fleet.engines.end_times)
  sent = fleet.engines.count_sent_after(MAX_ENDED)
  print(f'{ended} ended, {sent} sent after three had ended')
  assert (ended, sent) == (MAX_ENDED, 0)


# Guards against a count that is lost with all daemons.
@pytest.mark.parametrize('path', PATHS)
async def test_all_daemons_are_killed_at_once(path):
  async with make_fleet(*SIX) as fleet:
    await end_instances(fleet, SIX, path=path)
    await restart(fleet, *SIX)
    await send_again(fleet, SIX, path=path)
    check(fleet)


# Guards against places that are forgotten before all of them are taken.
@pytest.mark.parametrize('path', PATHS)
async def test_all_daemons_are_killed_after_each_end(path):
  async with make_fleet('n1', 's1') as fleet:
    for count in (1, 2, 3):
      await end_instances(fleet, ('n1', 's1'), path=path, count=count)
      await restart(fleet, 'n1', 's1')
    await send_again(fleet, ('n1', 's1'), path=path)
    check(fleet)


# Guards against a record that lies only with the daemons of the own side.
@pytest.mark.parametrize('names', ISOLATED)
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('seconds', [0.0, 4.0])
async def test_daemons_are_cut_off_from_the_others_but_not_from_the_store(
  path, names, seconds
):
  async with make_fleet(*SIX) as fleet:
    isolate(fleet, names)
    await asyncio.sleep(seconds)
    rest = [name for name in SIX if name not in names]
    await end_instances(fleet, rest, path=path)
    await asyncio.sleep(1.0)
    await send_again(fleet, names, path=path)
    check(fleet)


# Guards against an attempt of a daemon that nobody hears.
@pytest.mark.parametrize('path', PATHS)
async def test_a_daemon_that_is_cut_off_ends_instances_before_the_others(path):
  async with make_fleet(*SIX) as fleet:
    isolate(fleet, ['n2'])
    await send_again(fleet, ['n2'], path=path, count=2)
    await send_again(fleet, SIX, path=path, count=12)
    check(fleet)


# Guards against daemons that ask only those that have just started themselves.
@pytest.mark.parametrize('path', PATHS)
async def test_daemons_are_killed_one_after_the_other(path):
  async with make_fleet('n1', 'n2', 's1') as fleet:
    await end_instances(fleet, ('n1', 'n2', 's1'), path=path)
    for name in ('n1', 'n2', 's1') * 2:
      await kill(fleet, name)
      await fleet.start_alone(name)
    await fleet.wait_for_all()
    await send_again(fleet, ('n1', 'n2', 's1'), path=path)
    check(fleet)


# Guards against a daemon that starts while nobody answers it.
@pytest.mark.parametrize('path', PATHS)
async def test_a_daemon_starts_while_it_hears_only_the_store(path):
  async with make_fleet(*SIX) as fleet:
    await end_instances(fleet, SIX, path=path)
    await kill(fleet, 'n2')
    started = await fleet.start_alone('n2')
    isolate(fleet, ['n2'])
    await nodes.wait_until(started.is_ready)
    await send_again(fleet, ['n2'], path=path)
    check(fleet)


# Guards against the parts of a divided domain that each have its share.
@pytest.mark.parametrize('path', PATHS)
async def test_the_parts_of_a_divided_domain_share_its_places(path):
  names = ('n1', 'n2', 'n3', 's1', 'w1')
  async with make_fleet(*names) as fleet:
    isolate(fleet, ['n2', 'n3'])
    await end_instances(fleet, ['n1'], path=path, count=1)
    await asyncio.sleep(1.2)
    await send_again(fleet, names, path=path, count=15)
    check_at_most(fleet)


# Guards against a place that is known only to a daemon which is killed.
@pytest.mark.parametrize('path', PATHS)
async def test_a_daemon_is_killed_while_a_suspect_request_runs(path):
  async with make_fleet('n1', 's1', 'w1', end_seconds=0.3) as fleet:
    for name in ('n1', 's1', 'w1') * 2:
      sent = asyncio.ensure_future(
        without_a_sign.send_try(fleet, name, path=path)
      )
      await asyncio.sleep(0.015)
      # It is lost as its daemon is killed, if it was not before.
      await asyncio.wait({sent}, timeout=0.2)
      await asyncio.gather(
        *(kill(fleet, other) for other in list(fleet.by_name))
      )
      sent.cancel()
      await asyncio.wait({sent})
      await fleet.start('n1', 's1', 'w1')
    await asyncio.sleep(0.5)
    check_at_most(fleet)


def check_at_most(fleet):
  ended = len(fleet.engines.end_times)
  sent = fleet.engines.count_sent_after(MAX_ENDED)
  print(f'{ended} ended, {sent} sent after three had ended')
  assert ended <= MAX_ENDED
  assert sent == 0


# Guards against daemons that nobody hears, which each end one instance: what
# the store has is known to all of them.
@pytest.mark.parametrize('path', PATHS)
async def test_daemons_that_nobody_hears_any_more_share_three_places(path):
  async with make_fleet(*SIX) as fleet:
    for name in SIX:
      await without_a_sign.send_try(fleet, name, path=path)
      without_a_sign.deafen_peers(fleet, name)
    await send_again(fleet, SIX, path=path)
    check_at_most(fleet)
