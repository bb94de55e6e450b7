"""The record of a run: what was sent, answered and run."""

from __future__ import annotations

import pathlib
import time


class Record:
  """Writes lines with the seconds since the start of the run."""

  def __init__(self, path: pathlib.Path) -> None:
    self._file = path.open('w')
    self._started_at = time.monotonic()

  def write(self, line: str) -> None:
    """Writes one line."""
    seconds = time.monotonic() - self._started_at
    self._file.write(f'{seconds:9.3f} {line}\n')
    self._file.flush()

  def say(self, line: str) -> None:
    """Writes one line and prints it."""
    self.write(line)
    print(line, flush=True)
