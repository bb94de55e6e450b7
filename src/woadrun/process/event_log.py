"""Structured logs of a daemon: bounded, and never in the way of its work.

Each event is one line of JSON on the standard output stream: `time`,
`level`, `part`, `message`.  More events than `LINES_PER_SECOND` are dropped
and counted, and so are those that the reader of the stream is too slow for.
"""

from __future__ import annotations

import logging
import os
import sys
import time

from woadrun.process import logs

# A daemon writes some ten lines for each request; at this rate the lines
# take about a hundredth of a core.
LINES_PER_SECOND = 400
# A burst of so many lines passes at once.
BURST_LINES = 2_000
# What waits for a slow reader of the stream at most, in bytes.
BUFFER_BYTES = 262_144


class EventHandler(logging.Handler):
  """Writes lines without blocking, and counts those that it drops."""

  def __init__(self, *, descriptor: int) -> None:
    super().__init__()
    os.set_blocking(descriptor, False)
    self._descriptor = descriptor
    self._rest = bytearray()
    self._allowed = float(BURST_LINES)
    self._filled_at = time.monotonic()
    self._dropped = 0
    self.dropped_total = 0

  def emit(self, record: logging.LogRecord) -> None:
    """Writes one event, unless there are too many."""
    try:
      if not self._is_allowed(record):
        self._dropped += 1
        self.dropped_total += 1
        return
      if self._dropped:
        self._tell_dropped()
      self._write(self.format(record))
    except Exception:
      self.handleError(record)

  def _is_allowed(self, record: logging.LogRecord) -> bool:
    now = time.monotonic()
    gained = (now - self._filled_at) * LINES_PER_SECOND
    self._allowed = min(BURST_LINES, self._allowed + gained)
    self._filled_at = now
    if len(self._rest) > BUFFER_BYTES:
      return False
    # Warnings are rare and tell the most: they pass while there is room.
    if self._allowed < 1 and record.levelno < logging.WARNING:
      return False
    self._allowed -= 1
    return True

  def _tell_dropped(self) -> None:
    count, self._dropped = self._dropped, 0
    message = f'{count} lines were dropped: too many, or a slow reader.'
    record = logging.makeLogRecord(
      {
        'name': 'woadrun.logs',
        'levelno': logging.WARNING,
        'levelname': 'WARNING',
        'msg': message,
      }
    )
    self._write(self.format(record))

  def _write(self, line: str) -> None:
    self._rest += line.encode() + b'\n'
    try:
      written = os.write(self._descriptor, self._rest)
    except BlockingIOError:
      # The reader is slow: the lines wait, up to the size of the buffer.
      return
    del self._rest[:written]


def configure() -> EventHandler:
  """Returns the handler of all events, which is set up."""
  handler = EventHandler(descriptor=sys.stdout.fileno())
  handler.setFormatter(logs.JsonFormatter())
  root = logging.getLogger()
  root.handlers[:] = [handler]
  root.setLevel(logging.WARNING)
  logging.getLogger('woadrun').setLevel(logging.INFO)
  # Services of `mode` log each start and stop under their module's name.
  for package in ('woadrun.process', 'woadrun.request', 'woadrun.platform'):
    logging.getLogger(package).setLevel(logging.WARNING)
  return handler
