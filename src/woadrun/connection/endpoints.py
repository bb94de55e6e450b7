"""Network addresses of processes, written as IP:PORT."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535
# The longest IPv6 address, in brackets, and a port.
MAX_CHARACTERS = 53


def split(address: str) -> tuple[str, int]:
  """Returns the IP address, without brackets, and the port of IP:PORT."""
  host, _, port = address.rpartition(':')
  return host.strip('[]'), int(port)


def check(address: str) -> None:
  """Raises `ValueError` unless a process can listen at IP:PORT.

  Addresses of no host and of several hosts are none of a process.
  """
  host, _, port = address.rpartition(':')
  is_port = port.isascii() and port.isdecimal() and len(port) <= len('65535')
  if (
    len(address) > MAX_CHARACTERS
    or not address.isascii()
    or not is_port
    or not 0 < int(port) <= MAX_PORT
  ):
    raise ValueError(f'{address[:MAX_CHARACTERS]!r} is not of the form IP:PORT')
  ip = ipaddress.ip_address(host.strip('[]'))
  is_reserved = ip.version == 4 and ip.is_reserved
  if ip.is_unspecified or ip.is_multicast or is_reserved:
    raise ValueError(f'{address!r} is not the address of a process')


def check_ipv4(address: str) -> None:
  """Raises `ValueError` unless a process can listen at IPv4:PORT."""
  check(address)
  ipaddress.IPv4Address(address.rpartition(':')[0])
