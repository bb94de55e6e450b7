"""Replacement of pooled connections that stopped responding.

A pooled connection may stop responding for good, without a reset, while new
connections work.  If one connection to an address stays silent, all others that
are idle are suspect as well and are closed.  aiohttp pools connections by host
name, so a request under another host name for the same address opens a new
connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import hashlib
import logging
import socket
from typing import Any

import aiohttp
from aiohttp import abc

from woadrun.connection import response_ends

log = logging.getLogger('woadrun.connections')

# TCP user timeout: the remote kernel must acknowledge sent data within this
# time.  A round trip takes a few milliseconds; on links that lose packets TCP
# retransmits after 0.2, 0.4 and 0.8 s.
USER_TIMEOUT_MS = 2000
# TCP keepalive for connections that are idle or only receive: probes start
# after the idle time and repeat at the interval; the connection is reset after
# this number of unanswered probes.
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2


class Addresses:
  """Maps addresses to host names, so that pooled connections can be abandoned.

  `Resolver` resolves the names.  `connector` holds the idle connections; with
  None, abandoned connections stay open until their keepalive time has passed.
  `resets` counts the times that connections were abandoned.
  """

  def __init__(self, *, connector: aiohttp.BaseConnector | None = None) -> None:
    self._connector = connector
    self._retirements_by_address: dict[str, int] = {}
    self.resets = 0

  def get_host(self, address: str, *, incarnation_id: str = '') -> str:
    """Returns the host name and port to use in URLs for IP:PORT.

    `incarnation_id` identifies the process at the address: connections to one
    process are not reused for its successor.
    """
    retirements = self._retirements_by_address.get(address, 0)
    if not retirements and not incarnation_id:
      return address
    key = f'{incarnation_id} {retirements}'.encode()
    return f'c{hashlib.blake2b(key, digest_size=8).hexdigest()}.{address}'

  def get_generation(self, address: str) -> int:
    """Returns how often the connections to an address were abandoned."""
    return self._retirements_by_address.get(address, 0)

  def reset_connections(
    self, address: str, *, generation: int | None = None
  ) -> None:
    """Closes the idle connections to an address and stops all reuse.

    Connections in use stay open until their requests end.  `generation` is that
    of the silent connection, if known: nothing is done if the connections of
    that generation were abandoned already.
    """
    current = self.get_generation(address)
    if generation is not None and generation != current:
      return
    self._retirements_by_address[address] = current + 1
    self.resets += 1
    closed = _close_idle(self._connector, address) if self._connector else 0
    log.info(
      'A connection to %s stays silent: %d idle connections were closed.',
      address,
      closed,
    )

  @contextlib.contextmanager
  def watch(self, address: str, *, seconds: float) -> Iterator[None]:
    """Returns a context of waiting for a response from an address.

    The connections are reset once the context has lasted for `seconds`, while
    it still lasts, so that other requests do not wait on silent connections
    until the first one fails.
    """
    generation = self.get_generation(address)
    timer = asyncio.get_running_loop().call_later(
      seconds,
      lambda: self.reset_connections(address, generation=generation),
    )
    try:
      yield
    finally:
      timer.cancel()


def _close_idle(connector: aiohttp.BaseConnector, address: str) -> int:
  """Closes the idle connections to IP:PORT; returns their number."""
  ip, _, port = address.rpartition(':')
  # aiohttp has no public method that closes the idle connections of one host.
  pool = connector._conns
  keys = [
    key
    for key in pool
    if str(key.port) == port and (key.host == ip or key.host.endswith(f'.{ip}'))
  ]
  idle = [protocol for key in keys for protocol, _ in pool.pop(key)]
  for protocol in idle:
    protocol.close()
  return len(idle)


class Resolver(abc.AbstractResolver):
  """Resolves the host names of `Addresses` without a DNS lookup."""

  async def resolve(
    self,
    host: str,
    port: int = 0,
    family: socket.AddressFamily = socket.AF_INET,
  ) -> list[abc.ResolveResult]:
    """Returns the IP address that a host name contains."""
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
    """Does nothing: the resolver holds no resources."""


def make_connector(*, limit: int, keepalive: float) -> aiohttp.TCPConnector:
  """Returns a connector that resolves the host names of `Addresses`.

  Its sockets are those of `make_socket`.  At most `limit` connections are
  open; an idle connection is closed after `keepalive` seconds.
  """
  return response_ends.Connector(
    limit=limit,
    keepalive_timeout=keepalive,
    resolver=Resolver(),
    use_dns_cache=False,
    socket_factory=make_socket,
  )


def make_socket(info: tuple[Any, ...]) -> socket.socket:
  """Returns a socket that is reset when the remote host stops responding."""
  family, kind, protocol, _, _ = info
  new_socket = socket.socket(family=family, type=kind, proto=protocol)
  for level, option, value in (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
  ):
    new_socket.setsockopt(level, option, value)
  return new_socket
