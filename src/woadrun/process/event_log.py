"""Structured logs of a daemon, rate-limited and written without blocking.

Each event is one line of JSON on the standard output stream, with `time`,
`level`, `part` and `message`.  Events beyond `LINES_PER_SECOND` are dropped and
counted, and so are events that do not fit the buffer because the reader of the
stream is too slow.
"""

from __future__ import annotations

import logging
import os
import sys
import time

from woadrun.process import logs

# Rate limit.  A daemon writes some ten lines for each request; at this rate the
# lines take about a hundredth of a core.
LINES_PER_SECOND = 400
# Maximum number of lines that pass in one burst.
BURST_LINES = 2_000
# Limit of the data buffered for a slow reader of the stream, in bytes; new
# lines are dropped while the buffer exceeds it.
MAX_BUFFER_BYTES = 262_144
# `extra` of records that pass the rate limit like warnings.
RARE = {'is_rare': True}


class EventHandler(logging.Handler):
  """Writes lines without blocking, and counts the lines that it drops."""

  def __init__(self, *, descriptor: int) -> None:
    super().__init__()
    os.set_blocking(descriptor, False)
    self._descriptor = descriptor
    self._unwritten = bytearray()
    self._tokens = float(BURST_LINES)
    self._refilled_at = time.monotonic()
    self._dropped = 0
    self.dropped_total = 0

  def emit(self, record: logging.LogRecord) -> None:
    """Writes one event, or drops it if a limit is exceeded."""
    try:
      if not self._is_allowed(record):
        self._dropped += 1
        self.dropped_total += 1
        return
      if self._dropped:
        self._report_dropped()
      self._write(self.format(record))
    except Exception:
      self.handleError(record)

  def _is_allowed(self, record: logging.LogRecord) -> bool:
    now = time.monotonic()
    gained = (now - self._refilled_at) * LINES_PER_SECOND
    self._tokens = min(BURST_LINES, self._tokens + gained)
    self._refilled_at = now
    if len(self._unwritten) > MAX_BUFFER_BYTES:
      return False
    # Warnings and the records marked as rare are the most informative: they are
    # exempt from the rate limit while the buffer has room.
    is_rare = record.levelno >= logging.WARNING or hasattr(record, 'is_rare')
    if self._tokens < 1 and not is_rare:
      return False
    self._tokens -= 1
    return True

  def _report_dropped(self) -> None:
    count, self._dropped = self._dropped, 0
    message = f'{count} lines were dropped: over the rate limit or slow reader.'
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
    self._unwritten += line.encode() + b'\n'
    try:
      written = os.write(self._descriptor, self._unwritten)
    except BlockingIOError:
      # The reader is slow: the lines stay in the buffer.
      return
    del self._unwritten[:written]


def configure() -> EventHandler:
  """Configures logging and returns the handler of the root logger."""
  handler = EventHandler(descriptor=sys.stdout.fileno())
  handler.setFormatter(logs.JsonFormatter())
  root = logging.getLogger()
  root.handlers[:] = [handler]
  root.setLevel(logging.WARNING)
  logging.getLogger('woadrun').setLevel(logging.INFO)
  # Services of `mode` log each start and stop under their module's name: these
  # messages are suppressed.
  for package in ('woadrun.process', 'woadrun.request', 'woadrun.platform'):
    logging.getLogger(package).setLevel(logging.WARNING)
  return handler
