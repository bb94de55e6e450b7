"""Where a process listens or is reached: IP:PORT in one text."""

from __future__ import annotations


def split(address: str) -> tuple[str, int]:
  """Returns the IP number, without brackets, and the port of IP:PORT."""
  host, _, port = address.rpartition(':')
  return host.strip('[]'), int(port)
