"""Reads a process's processor time and memory from /proc."""

from __future__ import annotations

import os
import pathlib


def get_processor_seconds(pid: int) -> float:
  """Returns the user and system time of a process, in seconds."""
  fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1]
  user, system = fields.split()[11:13]
  return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def get_resident_bytes(pid: int | str = 'self') -> int:
  """Returns the resident memory of a process, or 0 if the system gives none."""
  for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
    if line.startswith('VmRSS'):
      return int(line.split()[1]) * 1024
  return 0
