"""Configures logging: one line per record, as text or JSON."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
  # Not imported at run time, so that daemons that do not use the settings
  # library do not load it.
  from woadrun import settings

TEXT_FORMAT = '%(asctime)s %(levelname)-7s %(name)s: %(message)s'

# Optional fields of a JSON line: the request that the record concerns, that
# request's program and line of turns, and the kind of its route.
CONTEXT_FIELDS = ('request', 'program', 'line', 'kind')


class JsonFormatter(logging.Formatter):
  """Formats each record as one JSON object."""

  def format(self, record: logging.LogRecord) -> str:
    """Returns the JSON line of a record."""
    line = {
      'time': self.formatTime(record),
      'level': record.levelname,
      'part': record.name,
      'message': record.getMessage(),
    }
    for name in CONTEXT_FIELDS:
      if record.__dict__.get(name):
        line[name] = record.__dict__[name]
    if record.exc_info:
      line['traceback'] = self.formatException(record.exc_info)
    try:
      return msgspec.json.encode(line).decode()
    except UnicodeEncodeError:
      # Bytes of requests that are not UTF-8 are decoded to surrogates.
      return msgspec.json.encode(_escape(line)).decode()


def _escape(line: dict[str, str]) -> dict[str, str]:
  return {
    name: str(text).encode(errors='backslashreplace').decode()
    for name, text in line.items()
  }


def configure(logs: settings.Logs, *, address: str) -> None:
  """Configures logging to standard error.

  Lines of the text format start with the daemon's `address`.
  """
  handler = logging.StreamHandler(sys.stderr)
  if logs.format == 'json':
    handler.setFormatter(JsonFormatter())
  else:
    handler.setFormatter(logging.Formatter(f'{address} {TEXT_FORMAT}'))
  root = logging.getLogger()
  root.handlers[:] = [handler]
  root.setLevel(logging.WARNING)
  logging.getLogger('woadrun').setLevel(logs.level)
  # Hides the messages with which each `mode` service logs its start and stop,
  # under its module's name.
  for package in ('woadrun.process', 'woadrun.request'):
    logging.getLogger(package).setLevel(logging.WARNING)
