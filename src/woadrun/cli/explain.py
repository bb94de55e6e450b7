"""`woadrun explain`: one request's events from the logs of all daemons."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import pathlib
import re

import msgspec

from woadrun import decoding

# Lines of `STATE_LOGGERS` are included from this long before the first line
# that names the request.
STATE_LEAD_SECONDS = 3.0
# Loggers whose lines record what a daemon knows of the state of the store, its
# peers, routes and instances, rather than what the daemon did.
STATE_LOGGERS = frozenset(
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
_REQUEST_ID = re.compile(r'\b[0-9a-f]{16}\b')


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
  """One log line.

  `at` is the time of day in seconds, `daemon` the name of the daemon that
  wrote the line, `part` the name of the logger.  `request`, `program`,
  `line` and `kind` are set for lines about one request: the request's id,
  the program's id, the line of turns within the program, and the kind of
  the route.
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
  """Prints the log lines about one request and the state its daemons knew.

  Prints the lines that name the request, all lines that name any of the ids
  in those lines (such as earlier turns), and the lines in which the same
  daemons recorded the state of the store, peers, routes and instances, from
  shortly before the request's first line to its last one.

  Parameters
  ----------
  request
    Id of the request.
  logs
    Logs of all daemons: one file for each daemon, or files whose lines
    begin with the daemon's name.
  """
  events = sorted(
    (event for path in logs for event in read(path)), key=lambda e: e.at
  )
  found = find(request, events)
  for event in found:
    print(f'{event.at:10.3f} {event.daemon:22} {event.message}')
  if not found:
    print(f'No log line names request {request}.')
  return 0 if found else 1


def read(path: pathlib.Path) -> Iterator[Event]:
  """Yields the events of a log file, skipping lines that are not JSON.

  The word before the JSON object is the daemon's name; the name of the
  file is used where there is none.
  """
  with open(path, encoding='utf-8', errors='replace') as stream:
    for text in stream:
      before, brace, rest = text.partition('{')
      if not brace:
        continue
      try:
        line = decoding.decode_json(brace + rest, type=_Line)
      except decoding.MalformedData:
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
  """Returns the events that concern a request, in the order of `events`.

  `events` are sorted by time.  The list is empty where no event names the
  request.
  """
  direct = [event for event in events if request in event.message]
  if not direct:
    return []
  ids = {id for event in direct for id in _REQUEST_ID.findall(event.message)}
  daemons = {event.daemon for event in direct}
  first, last = direct[0].at - STATE_LEAD_SECONDS, direct[-1].at
  return [
    event
    for event in events
    if any(id in event.message for id in ids)
    or (
      event.part in STATE_LOGGERS
      and event.daemon in daemons
      and first <= event.at <= last
    )
  ]


def _get_seconds(time: str) -> float:
  clock = time.partition(' ')[2].replace(',', '.')
  hours, minutes, seconds = clock.split(':')
  return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
