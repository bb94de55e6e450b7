"""Ends that no lost connection of a listed instance shows count as well."""

import asyncio

import crashing_engines
import pytest
import test_crashing_requests as crashing

TRIES = 8
PATHS = ('/chat/', '/look/', '/act/')
NAMES = ('n1', 'n2', 's1')


async def send_tries(fleet, *, path, pause, gives_up=None, tries=TRIES):
  """Sends a fatal request in turn to all daemons; returns the results.

  A caller that `gives_up` waits for that many seconds.
  """
  found = []
  for number in range(tries):
    name = sorted(fleet.by_name)[number % len(fleet.by_name)]
    await crashing.wait_for_instance(fleet, name, path)
    request = crashing.make_request(
      f'r{number}', path=path, content=crashing_engines.MARK
    )
    try:
      async with asyncio.timeout(gives_up):
        found.append(await crashing.send(fleet, name, request))
    except TimeoutError:
      found.append('given up')
    await asyncio.sleep(pause)
  return found


# Guards against a silent instance whose caller gives up before its entry goes.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize(
  ('gives_up', 'entry_seconds'),
  [(0.2, 1.5), (0.4, 1.5), (0.4, 3.0), (1.5, 1.5), (1.5, 3.0)],
)
async def test_silent_instances_whose_callers_give_up_are_at_most_three(
  path, gives_up, entry_seconds
):
  async with crashing_engines.make_fleet(
    *NAMES, is_silent=True, entry_seconds=entry_seconds
  ) as fleet:
    found = await send_tries(fleet, path=path, pause=0.1, gives_up=gives_up)
    assert len(fleet.engines.ended) <= crashing.MAX_ENDED
    assert len(found) == TRIES


# Guards against an entry that goes before its instance ends.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('leaves', ['removed', 'draining'])
@pytest.mark.parametrize('leave_seconds', [0.05, 0.3, 1.0])
async def test_instances_that_end_after_their_entry_are_at_most_three(
  path, leaves, leave_seconds
):
  async with crashing_engines.make_fleet(
    *NAMES, leaves=leaves, leave_seconds=leave_seconds
  ) as fleet:
    await send_tries(fleet, path=path, pause=0.1, tries=5)
    assert len(fleet.engines.ended) <= crashing.MAX_ENDED


# Guards against what a daemon that is replaced knew alone, or does not know.
@pytest.mark.parametrize('path', PATHS)
@pytest.mark.parametrize('every', [1, 2])
async def test_daemons_that_restart_between_tries_end_at_most_three(
  path, every
):
  async with crashing_engines.make_fleet(*NAMES) as fleet:
    for number in range(TRIES):
      names = sorted(fleet.by_name)
      name = names[number % len(names)]
      await crashing.wait_for_instance(fleet, name, path)
      request = crashing.make_request(
        f'r{number}', path=path, content=crashing_engines.MARK
      )
      await crashing.send(fleet, name, request)
      if number % every == every - 1:
        await fleet.stop(name)
        await fleet.start_alone(name)
    assert len(fleet.engines.ended) <= crashing.MAX_ENDED
