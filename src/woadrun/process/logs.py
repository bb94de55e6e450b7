"""Logging of the process: one short line for each event, text or JSON."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
  # The library that checks settings stays out of daemons that do not use it.
  from woadrun import settings

TEXT_FORMAT = '%(asctime)s %(levelname)-7s %(name)s: %(message)s'

# Fields that a line may have beside its message: which request it tells of,
# that request's program and line of turns, and the kind of its route.
FIELDS = ('request', 'program', 'line', 'kind')


class JsonFormatter(logging.Formatter):
  """Writes each event as one JSON object."""

  def format(self, record: logging.LogRecord) -> str:
    """Returns the line of an event."""
    line = {
      'time': self.formatTime(record),
      'level': record.levelname,
      'part': record.name,
      'message': record.getMessage(),
    }
    for name in FIELDS:
      if record.__dict__.get(name):
        line[name] = record.__dict__[name]
    if record.exc_info:
      line['traceback'] = self.formatException(record.exc_info)
    return msgspec.json.encode(line).decode()


def configure(logs: settings.Logs, *, address: str) -> None:
  """Sets up logging to the standard error stream."""
  handler = logging.StreamHandler(sys.stderr)
  if logs.format == 'json':
    handler.setFormatter(JsonFormatter())
  else:
    handler.setFormatter(logging.Formatter(f'{address} {TEXT_FORMAT}'))
  root = logging.getLogger()
  root.handlers[:] = [handler]
  root.setLevel(logging.WARNING)
  logging.getLogger('woadrun').setLevel(logs.level)
  # Services of `mode` log each start and stop under their module's name.
  for package in ('woadrun.process', 'woadrun.request'):
    logging.getLogger(package).setLevel(logging.WARNING)
