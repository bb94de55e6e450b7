"""`woadrun timeline`: one program's requests, drawn from its daemons' logs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import pathlib
import re

from woadrun.cli import explain

# Signs that the whole program takes in the picture.
WIDTH = 60
_END = re.compile(r'^Request \w+: (.*) after (\d+) ms(.*)\.$', re.DOTALL)
_SENT = re.compile(r'^Request \w+ at (\S+) \((\S+),.*\): (.*)\.$', re.DOTALL)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Span:
  """One request from its arrival to its end, in seconds of a day.

  `notes` tell where it was sent and what came of it.
  """

  request: str
  line: str
  kind: str
  daemon: str
  began: float
  ended: float
  outcome: str
  notes: tuple[str, ...]


def timeline(program: str, /, *logs: pathlib.Path) -> int:
  """Prints the turns and calls of a program, with their pauses and ends.

  One row stands for one request; its bar shows when it ran.

  Parameters
  ----------
  program
    The id of the program.
  logs
    The logs of all daemons: one file each, or lines that begin with the
    daemon's name.
  """
  events = itertools.chain.from_iterable(explain.read(path) for path in logs)
  spans = find(program, events)
  for row in draw(spans):
    print(row)
  if not spans:
    print(f'No request of {program} has ended in these logs.')
  return 0 if spans else 1


def find(program: str, events: Iterable[explain.Event]) -> list[Span]:
  """Returns a program's requests in the order of their arrival."""
  notes_by_request: dict[str, list[str]] = {}
  ends: list[tuple[explain.Event, re.Match[str]]] = []
  for event in events:
    if event.program != program:
      continue
    sent = _SENT.match(event.message)
    if sent is not None:
      note = f'{sent[1]} in {sent[2]}: {sent[3]}'
      notes_by_request.setdefault(event.request, []).append(note)
    end = _END.match(event.message)
    if end is not None:
      ends.append((event, end))
  spans = (
    Span(
      request=event.request,
      line=event.line,
      kind=event.kind,
      daemon=event.daemon,
      began=event.at - int(end[2]) / 1000,
      ended=event.at,
      outcome=end[1] + end[3],
      notes=tuple(notes_by_request.get(event.request, ())),
    )
    for event, end in ends
  )
  return sorted(spans, key=lambda span: span.began)


def draw(spans: list[Span]) -> Iterator[str]:
  """Yields the rows of the picture, times from the program's begin."""
  if not spans:
    return
  first = spans[0].began
  whole = max(span.ended for span in spans) - first
  scale = WIDTH / max(whole, 0.001)
  for span in spans:
    begin = int((span.began - first) * scale)
    length = max(1, round((span.ended - span.began) * scale))
    bar = (' ' * begin + '=' * length).ljust(WIDTH)[:WIDTH]
    yield (
      f'{span.began - first:8.3f} {span.ended - span.began:7.3f} '
      f'|{bar}| {span.kind:10} {span.line:8} {span.request} {span.daemon} '
      f'{span.outcome}'
    )
    for note in span.notes:
      yield f'{"":17}|{"":{WIDTH}}|   {note}'
