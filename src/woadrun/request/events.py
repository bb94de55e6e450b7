"""Reads a stream of server-sent events without changing its bytes."""

from __future__ import annotations


class EventReader:
  """Collects the data of the events that have passed.

  `data` is the data of each whole event and a line feed after it; `count`
  is how many there were.
  """

  def __init__(self) -> None:
    self._rest = b''
    self._lines: list[bytes] = []
    self.data = bytearray()
    self.count = 0

  def feed(self, chunk: bytes) -> None:
    """Takes the next bytes of the stream."""
    *lines, self._rest = (self._rest + chunk).split(b'\n')
    for line in lines:
      self._take(line.removesuffix(b'\r'))

  def _take(self, line: bytes) -> None:
    if not line:
      self._end_event()
    elif line.startswith(b'data:'):
      self._lines.append(line[5:].removeprefix(b' '))

  def _end_event(self) -> None:
    if self._lines:
      self.data += b'\n'.join(self._lines) + b'\n'
      self.count += 1
      self._lines.clear()
