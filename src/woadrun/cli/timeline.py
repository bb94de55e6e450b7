"""`woadrun timeline`: a chart of one program's requests from the logs."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import pathlib
import re

from woadrun.cli import explain

# Width of the column of bars; it spans all requests of the program.
CHART_WIDTH = 60
_REQUEST_END = re.compile(
  r'^Request \w+: (.*) after (\d+) ms(.*)\.$', re.DOTALL
)
_ATTEMPT = re.compile(r'^Request \w+ at (\S+) \((\S+),.*\): (.*)\.$', re.DOTALL)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Span:
  """One request, from its arrival to its end.

  `began` and `ended` are times of day in seconds.  `attempts` has an entry for
  each attempt: the instance, the instance's domain and the result.
  """

  request: str
  line: str
  kind: str
  daemon: str
  began: float
  ended: float
  outcome: str
  attempts: tuple[str, ...]


def timeline(program: str, /, *logs: pathlib.Path) -> int:
  """Prints a chart of the turns and calls of a program.

  Each row is one request: its start, its duration, a bar that shows when it
  ran, and its outcome.  The rows below it are its attempts.

  Parameters
  ----------
  program
    Id of the program.
  logs
    Logs of all daemons: one file for each daemon, or files whose lines
    begin with the daemon's name.
  """
  events = itertools.chain.from_iterable(explain.read(path) for path in logs)
  spans = find(program, events)
  for row in draw(spans):
    print(row)
  if not spans:
    print(f'No finished request of program {program} in these logs.')
  return 0 if spans else 1


def find(program: str, events: Iterable[explain.Event]) -> list[Span]:
  """Returns the finished requests of a program, sorted by arrival."""
  attempts_by_request: dict[str, list[str]] = {}
  ends: list[tuple[explain.Event, re.Match[str]]] = []
  for event in events:
    if event.program != program:
      continue
    attempt_match = _ATTEMPT.match(event.message)
    if attempt_match is not None:
      attempt = f'{attempt_match[1]} in {attempt_match[2]}: {attempt_match[3]}'
      attempts_by_request.setdefault(event.request, []).append(attempt)
    end = _REQUEST_END.match(event.message)
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
      attempts=tuple(attempts_by_request.get(event.request, ())),
    )
    for event, end in ends
  )
  return sorted(spans, key=lambda span: span.began)


def draw(spans: list[Span]) -> Iterator[str]:
  """Yields the rows of the chart; times count from the first arrival."""
  if not spans:
    return
  first = spans[0].began
  duration = max(span.ended for span in spans) - first
  scale = CHART_WIDTH / max(duration, 0.001)
  for span in spans:
    begin = int((span.began - first) * scale)
    length = max(1, round((span.ended - span.began) * scale))
    bar = (' ' * begin + '=' * length).ljust(CHART_WIDTH)[:CHART_WIDTH]
    yield (
      f'{span.began - first:8.3f} {span.ended - span.began:7.3f} '
      f'|{bar}| {span.kind:10} {span.line:8} {span.request} {span.daemon} '
      f'{span.outcome}'
    )
    for attempt in span.attempts:
      yield f'{"":17}|{"":{CHART_WIDTH}}|   {attempt}'
