"""New connections in place of kept ones that may have gone silent.

A kept connection may go silent for good, without a reset, while new ones
work.  The client library keeps connections by host name: another name for the
same address leaves those of before unused.
"""

from __future__ import annotations

import hashlib
import socket
from typing import Any

import aiohttp
from aiohttp import abc

# Until what was sent must be acknowledged by the other end's kernel, in
# milliseconds.  A round trip takes a few; links that lose packets send again
# after 0.2, 0.4 and 0.8 s.
ACKNOWLEDGED_MS = 2000
# A connection at rest, or one that only receives, is looked at after so long,
# and given up after as many looks without an answer, in seconds.
PROBE_AFTER_SECONDS = 2
PROBE_INTERVAL_SECONDS = 1
PROBES = 2


class Addresses:
  """Host names that stand for addresses, another one after each silence."""

  def __init__(self) -> None:
    self._silences_by_address: dict[str, int] = {}

  def get_host(self, address: str, *, life: str = '') -> str:
    """Returns the host and port to use for IP:PORT.

    Connections of one `life` of what is there are not used for another.
    """
    silences = self._silences_by_address.get(address, 0)
    if not silences and not life:
      return address
    key = f'{life} {silences}'.encode()
    return f'c{hashlib.blake2b(key, digest_size=8).hexdigest()}.{address}'

  def note_silence(self, address: str) -> None:
    """Leaves the connections kept to an address unused from now on."""
    silences = self._silences_by_address.get(address, 0)
    self._silences_by_address[address] = silences + 1


class Resolver(abc.AbstractResolver):
  """Resolves the names of `Addresses`; nothing is looked up."""

  async def resolve(
    self,
    host: str,
    port: int = 0,
    family: socket.AddressFamily = socket.AF_INET,
  ) -> list[abc.ResolveResult]:
    """Returns the address that is in a name."""
    _, _, ip = host.partition('.')
    return [
      abc.ResolveResult(
        hostname=host,
        host=ip,
        port=port,
        family=socket.AF_INET,
        proto=0,
        flags=socket.AI_NUMERICHOST,
      )
    ]

  async def close(self) -> None:
    """Does nothing: there is nothing to close."""


def make_connector(*, limit: int, keepalive: float) -> aiohttp.TCPConnector:
  """Returns a connector for `Addresses`, whose sockets notice silence.

  At most `limit` connections are open; one at rest is kept for `keepalive`
  seconds.
  """
  return aiohttp.TCPConnector(
    limit=limit,
    keepalive_timeout=keepalive,
    resolver=Resolver(),
    use_dns_cache=False,
    socket_factory=make_socket,
  )


def make_socket(info: tuple[Any, ...]) -> socket.socket:
  """Returns a socket that is reset when the other end falls silent."""
  family, kind, protocol, _, _ = info
  made = socket.socket(family=family, type=kind, proto=protocol)
  for level, option, value in (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ACKNOWLEDGED_MS),
  ):
    made.setsockopt(level, option, value)
  return made
