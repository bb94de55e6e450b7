"""`woadrun demo`: a complete deployment in one process."""

from __future__ import annotations

import asyncio
import logging
import secrets
import statistics
import sys
import time

import aiohttp
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.cli import operator
from woadrun.connection import client
from woadrun.process import daemon
from woadrun.process import logs
from woadrun.standins import local

WEIGHT_BY_TEAM = {'riders': 4.0, 'crews': 2.0, 'reconciliation': 1.0}
TURNS_PER_PROGRAM = 3
START_TIMEOUT_SECONDS = 30.0
PROGRAM_BUDGET_TOKENS = 20_000


def demo(*, daemons: int = 3, programs: int = 30, json: bool = False) -> None:
  """Runs programs of three teams and prints how long they took.

  Everything runs in this process, on loopback: stand-ins for the
  platform, for two engines and for a service, and several daemons.

  Parameters
  ----------
  daemons
    Number of daemons.
  programs
    Number of programs that each team runs.
  json
    Print JSON instead of a table.
  """
  logs.configure(settings.Logs(level='ERROR'), address='demo')
  logging.getLogger('mode').setLevel(logging.ERROR)
  seconds_by_team = asyncio.run(_run(daemons, programs))
  if json:
    print(msgspec.json.encode(seconds_by_team).decode())
    return
  operator.print_columns(
    [
      ['team', 'programs', 'median', 'worst'],
      *(
        [
          team,
          len(seconds),
          f'{statistics.median(seconds):.3f} s',
          f'{max(seconds):.3f} s',
        ]
        for team, seconds in seconds_by_team.items()
      ),
    ]
  )


async def _run(daemon_count: int, programs: int) -> dict[str, list[float]]:
  outside = await local.start_outside()
  addresses = [
    f'127.0.0.1:{local.get_free_port()}' for _ in range(daemon_count)
  ]
  async with aiohttp.ClientSession() as session:
    await local.set_vms(session, outside, dict.fromkeys(addresses, 'north'))
    started_daemons = [
      daemon.Daemon(
        config=local.check(local.make_settings(outside, address=address))
      )
      for address in addresses
    ]
    try:
      for service in started_daemons:
        await service.start()
      await _wait_ready(started_daemons)
      await _add_teams(session, started_daemons)
      return await _run_programs(session, addresses, programs)
    finally:
      for service in started_daemons:
        await service.stop()
      await outside.stop()


async def _wait_ready(started_daemons: list[daemon.Daemon]) -> None:
  deadline = time.monotonic() + START_TIMEOUT_SECONDS
  while not all(
    service.held.owned_slot_by_number for service in started_daemons
  ):
    if time.monotonic() > deadline:
      raise errors.WoadrunError(
        errors.Code.INTERNAL,
        f'Some daemons own no slots after {START_TIMEOUT_SECONDS:.0f} s.',
      )
    await asyncio.sleep(0.05)
  _print_progress(f'{len(started_daemons)} daemons are ready.')


async def _add_teams(
  session: aiohttp.ClientSession, started_daemons: list[daemon.Daemon]
) -> None:
  addresses = [service.config.daemon.address for service in started_daemons]
  editor = client.Client(
    session=session, addresses=addresses, token=local.OPERATOR_TOKEN
  )
  changes = [
    {'key': team, 'before': None, 'after': {'key': team, 'weight': weight}}
    for team, weight in WEIGHT_BY_TEAM.items()
  ]
  edit = await editor.ask('POST', '/operate/table', {'changes': changes})
  deadline = time.monotonic() + START_TIMEOUT_SECONDS
  while any(
    service.table.version < edit['version'] for service in started_daemons
  ):
    if time.monotonic() > deadline:
      raise errors.WoadrunError(
        errors.Code.INTERNAL,
        f'Some daemons do not apply table version {edit["version"]} '
        f'after {START_TIMEOUT_SECONDS:.0f} s.',
      )
    await asyncio.sleep(0.05)


async def _run_programs(
  session: aiohttp.ClientSession, addresses: list[str], programs: int
) -> dict[str, list[float]]:
  caller = client.Client(
    session=session, addresses=addresses, token=local.CALLER_TOKEN
  )
  seconds_by_team: dict[str, list[float]] = {
    team: [] for team in WEIGHT_BY_TEAM
  }
  tasks = [
    asyncio.ensure_future(_run_program(caller, team, seconds_by_team[team]))
    for _ in range(programs)
    for team in WEIGHT_BY_TEAM
  ]
  for done, task in enumerate(asyncio.as_completed(tasks), start=1):
    await task
    if done % 10 == 0 or done == len(tasks):
      _print_progress(f'{done} of {len(tasks)} programs have finished.')
  return seconds_by_team


async def _run_program(
  caller: client.Client, team: str, seconds: list[float]
) -> None:
  """Runs one program and appends its duration to `seconds`.

  The program has model turns with a pause after each one, one call of a
  service, and a sub-agent with one turn.
  """
  started = time.monotonic()
  program = await caller.start(team, PROGRAM_BUDGET_TOKENS)
  program_id = program['id']
  for turn in range(TURNS_PER_PROGRAM):
    await caller.say(program_id, f'{team} asks {turn}', model=local.MODEL)
    await asyncio.sleep(0.02)
  await caller.act(
    program_id, 'service-0/dispatch', {'to': secrets.token_hex(2)}
  )
  sub_agent = await caller.start(
    team, PROGRAM_BUDGET_TOKENS // 4, parent=program_id
  )
  await caller.say(sub_agent['id'], 'look it up', model=local.MODEL)
  await caller.ask('POST', f'/v1/programs/{sub_agent["id"]}/end')
  await caller.ask('POST', f'/v1/programs/{program_id}/end')
  seconds.append(time.monotonic() - started)


def _print_progress(text: str) -> None:
  print(text, file=sys.stderr)
