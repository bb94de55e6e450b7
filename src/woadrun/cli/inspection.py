"""`woadrun dump` and `woadrun top`: the state of running daemons."""

from __future__ import annotations

import sys
import time
from typing import Any

import msgspec

from woadrun.cli import operator
from woadrun.connection import client

CLEAR_SCREEN = '\x1b[2J\x1b[H'


def dump(*, access: operator.Access) -> None:
  """Prints the whole state of one daemon as JSON, grouped by role."""
  state = operator.run_with_client(
    access, lambda c: c.ask('GET', '/operate/dump')
  )
  data = msgspec.json.encode(state)
  print(data.decode() if access.json else msgspec.json.format(data).decode())


def top(
  *others: str,
  access: operator.Access,
  every: float = 2.0,
  rounds: int = 0,
) -> None:
  """Prints the load of daemons and upstreams repeatedly.

  Parameters
  ----------
  others
    Addresses of further daemons.
  every
    Seconds between two updates.
  rounds
    Number of updates; 0 repeats until interrupted.
  """
  addresses = [access.address, *others]
  count = 0
  while True:
    dumps = {address: _fetch_dump(access, address) for address in addresses}
    if sys.stdout.isatty():
      print(CLEAR_SCREEN, end='')
    _print_daemons(dumps)
    _print_upstreams(dumps)
    count += 1
    if count == rounds:
      return
    time.sleep(every)


def _fetch_dump(access: operator.Access, address: str) -> Any:
  daemon_access = operator.Access(address=address, token=access.token)
  try:
    return operator.run_with_client(
      daemon_access, lambda c: c.ask('GET', '/operate/dump')
    )
  except client.TRANSPORT_ERRORS:
    return None


def _print_daemons(dumps: dict[str, Any]) -> None:
  lines: list[list[object]] = [
    ['daemon', 'slots', 'programs', 'running', 'finished', 'refused', 'table']
  ]
  for address, state in dumps.items():
    if state is None:
      lines.append([address, 'no answer', '', '', '', '', ''])
      continue
    owner, owned = state['owner'], state['owner']['slots']['owned']
    programs = sum(slot['programs'] for slot in owned.values())
    lines.append(
      [
        address,
        len(owned),
        programs,
        len(owner['running']),
        owner['finished'],
        owner['refused'],
        state['configuration']['version'],
      ]
    )
  operator.print_columns(lines)


def _print_upstreams(dumps: dict[str, Any]) -> None:
  lines: list[list[object]] = [
    ['upstream', 'queue at', 'running', 'waiting', 'slots', 'seconds']
  ]
  for address, state in dumps.items():
    queues = state['dispatcher']['queues'] if state else {}
    for name, queue in sorted(queues.items()):
      if queue['keeper'] == address:
        lines.append(
          [
            name,
            address,
            queue['running'],
            queue['waiting'],
            queue['slots'],
            queue['seconds'],
          ]
        )
  print()
  operator.print_columns(lines)
