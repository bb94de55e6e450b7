"""Parser for server-sent events that are forwarded unchanged."""

from __future__ import annotations


class EventReader:
  """Collects the data of the events in a stream.

  `data` holds the data of each complete event, followed by a line feed;
  `count` is the number of these events.  `has_events` is true once any field of
  an event was read.
  """

  def __init__(self) -> None:
    self._partial_line = b''
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
    *lines, self._partial_line = (self._partial_line + chunk).split(b'\n')
    for line in lines:
      self._process_line(line.removesuffix(b'\r'))

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
