"""`woadrun explain`: what the logs of all daemons say of one request."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import pathlib
import re

import msgspec

# Lines of the same daemon that tell what it believed are shown from so long
# before the request's first line, in seconds.
BEFORE_SECONDS = 3.0
# Parts whose lines tell what a daemon believes, not what it did.
BELIEFS = frozenset(
  f'woadrun.{name}'
  for name in (
    'store',
    'feed',
    'fleet',
    'health',
    'catalogue',
    'node',
    'logs',
  )
)
_REQUEST = re.compile(r'\b[0-9a-f]{16}\b')


class _Line(msgspec.Struct, kw_only=True):
  time: str
  part: str = ''
  message: str = ''
  request: str = ''
  program: str = ''
  line: str = ''
  kind: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class Event:
  """One line of a log; `at` is in seconds of a day, `daemon` wrote it.

  `request`, `program`, `line` and `kind` are there where it tells of one
  request: its id, its program, the line of turns in it, the route's kind.
  """

  at: float
  daemon: str
  part: str
  message: str
  request: str = ''
  program: str = ''
  line: str = ''
  kind: str = ''


def explain(request: str, /, *logs: pathlib.Path) -> int:
  """Prints what happened to a request, and what its daemons believed.

  Shown are the lines that name the request, those that name the turns that
  they name, and what the same daemons learned of the store, peers, routes
  and instances shortly before and meanwhile.

  Parameters
  ----------
  request
    The id of the request.
  logs
    The logs of all daemons: one file each, or lines that begin with the
    daemon's name.
  """
  events = sorted(
    (event for path in logs for event in read(path)), key=lambda e: e.at
  )
  found = find(request, events)
  for event in found:
    print(f'{event.at:10.3f} {event.daemon:22} {event.message}')
  if not found:
    print(f'No line names {request}.')
  return 0 if found else 1


def read(path: pathlib.Path) -> Iterator[Event]:
  """Yields the events of a log; other lines are passed over."""
  with open(path, encoding='utf-8', errors='replace') as stream:
    for text in stream:
      before, brace, rest = text.partition('{')
      if not brace:
        continue
      try:
        line = msgspec.json.decode(brace + rest, type=_Line)
      except msgspec.MsgspecError:
        continue
      words = before.split()
      yield Event(
        at=_get_seconds(line.time),
        daemon=words[-1] if words else path.stem,
        part=line.part,
        message=line.message,
        request=line.request,
        program=line.program,
        line=line.line,
        kind=line.kind,
      )


def find(request: str, events: list[Event]) -> list[Event]:
  """Returns the events that tell what happened to a request, in order."""
  direct = [event for event in events if request in event.message]
  if not direct:
    return []
  ids = {id for event in direct for id in _REQUEST.findall(event.message)}
  daemons = {event.daemon for event in direct}
  first, last = direct[0].at - BEFORE_SECONDS, direct[-1].at
  return [
    event
    for event in events
    if any(id in event.message for id in ids)
    or (
      event.part in BELIEFS
      and event.daemon in daemons
      and first <= event.at <= last
    )
  ]


def _get_seconds(time: str) -> float:
  clock = time.partition(' ')[2].replace(',', '.')
  hours, minutes, seconds = clock.split(':')
  return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
