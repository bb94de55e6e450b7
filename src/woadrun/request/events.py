"""Parser for server-sent events that are forwarded unchanged."""

from __future__ import annotations

import re

_LINE_END = re.compile(rb'\r\n|\n|\r')


class EventReader:
  """Collects the data of the events in a stream.

  `data` holds the data of each complete event, followed by a line feed;
  `count` is the number of these events.  `has_events` is true once any field of
  an event was read.  Source: the event stream format of the HTML standard.
  """

  def __init__(self) -> None:
    self._partial_line = b''
    self._ends_with_cr = False
    self._has_fields = False
    self.has_events = False
    self._data_lines: list[bytes] = []
    self.data = bytearray()
    self.count = 0

  @property
  def is_inside_event(self) -> bool:
    """Whether the bytes so far end within an event or a comment line."""
    return bool(self._partial_line) or self._has_fields

  def feed(self, chunk: bytes) -> None:
    """Parses the next bytes of the stream."""
    if self._ends_with_cr:
      # The line feed belongs to the line end of the previous chunk.
      self._ends_with_cr = not chunk
      chunk = chunk.removeprefix(b'\n')
    if not chunk:
      return
    self._ends_with_cr = chunk.endswith(b'\r')
    received = self._partial_line + chunk
    *lines, self._partial_line = (
      _LINE_END.split(received) if b'\r' in received else received.split(b'\n')
    )
    for line in lines:
      self._process_line(line)

  def _process_line(self, line: bytes) -> None:
    if not line:
      self._dispatch_event()
      return
    if not line.startswith(b':'):
      self._has_fields = self.has_events = True
    if line.startswith(b'data:'):
      self._data_lines.append(line[5:].removeprefix(b' '))

  def _dispatch_event(self) -> None:
    self._has_fields = False
    if self._data_lines:
      self.data += b'\n'.join(self._data_lines) + b'\n'
      self.count += 1
      self._data_lines.clear()
