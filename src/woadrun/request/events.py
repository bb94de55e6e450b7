"""Parser for server-sent events that are forwarded unchanged."""

from __future__ import annotations

import re

_LINE_END = re.compile(rb'\r\n|\n|\r')
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
# Bytes of an event, and of the data of a stream: both are held in memory.
MAX_EVENT_BYTES = 1024 * 1024
MAX_DATA_BYTES = 16 * 1024 * 1024


class StreamTooLarge(ValueError):
  """Raised if a stream has an event, or data, beyond the bounds."""


class EventReader:
  """Counts the events in a stream, and collects their data.

  `count` is the number of complete events with data.  `data` holds the data of
  each of them, followed by a line feed; it stays empty unless `keeps_data`.
  `has_events` is true once any field of an event was read.  Source: the event
  stream format of the HTML standard.
  """

  def __init__(self, *, keeps_data: bool = True) -> None:
    self._keeps_data = keeps_data
    self._partial_line: list[bytes] = []
    self._ends_with_cr = False
    self._is_at_start = True
    self._has_fields = False
    self._data_lines: list[bytes] = []
    # Bytes of the event that is not complete yet.
    self._event_bytes = 0
    self.has_events = False
    self.data = bytearray()
    self.count = 0

  @property
  def size(self) -> int:
    """The bytes held: the data, and what has come of the next event."""
    return len(self.data) + self._event_bytes

  @property
  def is_inside_event(self) -> bool:
    """Whether the bytes so far end within an event or a comment line."""
    return bool(self._partial_line) or self._has_fields

  def feed(self, chunk: bytes) -> None:
    """Parses the next bytes of the stream.

    Raises `StreamTooLarge` if an event, or the data kept, exceeds its bound.
    """
    if self._ends_with_cr and chunk:
      # The line feed belongs to the line end of the previous chunk.
      chunk = chunk.removeprefix(b'\n')
      self._ends_with_cr = False
    if not chunk:
      return
    self._ends_with_cr = chunk.endswith(b'\r')
    first, *lines = (
      _LINE_END.split(chunk) if b'\r' in chunk else chunk.split(b'\n')
    )
    if first:
      self._append(first)
    for line in lines:
      self._process_line(b''.join(self._partial_line))
      self._partial_line.clear()
      if line:
        self._append(line)

  def _append(self, part: bytes) -> None:
    self._event_bytes += len(part)
    if self._event_bytes > MAX_EVENT_BYTES:
      raise StreamTooLarge(f'An event exceeds {MAX_EVENT_BYTES} bytes.')
    self._partial_line.append(part)

  def _process_line(self, line: bytes) -> None:
    if self._is_at_start:
      self._is_at_start = False
      line = line.removeprefix(_BYTE_ORDER_MARK)
    if not line:
      self._dispatch_event()
      return
    field, _, value = line.partition(b':')
    if not field:
      # A comment.
      if not self._has_fields:
        self._event_bytes = 0
      return
    self._has_fields = self.has_events = True
    if field == b'data':
      self._data_lines.append(value.removeprefix(b' '))

  def _dispatch_event(self) -> None:
    self._has_fields = False
    self._event_bytes = 0
    if not self._data_lines:
      return
    self.count += 1
    if self._keeps_data:
      self.data += b'\n'.join(self._data_lines) + b'\n'
      if len(self.data) > MAX_DATA_BYTES:
        raise StreamTooLarge(f'The data exceed {MAX_DATA_BYTES} bytes.')
    self._data_lines.clear()
