"""Network addresses of processes, written as IP:PORT."""

from __future__ import annotations


def split(address: str) -> tuple[str, int]:
  """Returns the IP address, without brackets, and the port of IP:PORT."""
  host, _, port = address.rpartition(':')
  return host.strip('[]'), int(port)
