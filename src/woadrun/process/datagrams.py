"""Datagrams between daemons, each with a first byte that tells what it is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from woadrun.connection import endpoints

BEAT = b'b'
# A program, for its standby or for another domain.
COPY = b'c'
FAR_COPY = b'f'
# A message that is answered, and its answer.
CALL = b'q'
ANSWER = b'a'
# Larger messages go another way, in bytes: a datagram is split into packets and
# lost with any of them.
MOST_BYTES = 8192
# The same where a lost datagram is sent again: most histories of a turn.
MOST_ANSWER_BYTES = 32_768


class Datagrams:
  """The socket by which one daemon sends and receives datagrams.

  `address` is IP:PORT.  A datagram may be lost, and nobody is told.
  """

  def __init__(self, *, address: str) -> None:
    self._address = address
    self._handler_by_kind: dict[bytes, Callable[[bytes], None]] = {}
    self._transport: asyncio.DatagramTransport | None = None

  def handle(self, kind: bytes, handler: Callable[[bytes], None]) -> None:
    """Hands what comes of a kind to a handler, without its first byte."""
    self._handler_by_kind[kind] = handler

  @property
  def is_open(self) -> bool:
    """Whether datagrams can be sent."""
    return self._transport is not None

  async def open(self) -> None:
    """Begins to listen."""
    loop = asyncio.get_running_loop()
    self._transport, _ = await loop.create_datagram_endpoint(
      lambda: _Receiver(on_datagram=self._receive),
      local_addr=endpoints.split(self._address),
    )

  def close(self) -> None:
    """Stops listening; nothing is sent any more."""
    if self._transport is not None:
      self._transport.close()
      self._transport = None

  def send(self, address: str, kind: bytes, data: bytes) -> None:
    """Sends one datagram to IP:PORT, where the socket is open."""
    if self._transport is not None:
      self._transport.sendto(kind + data, endpoints.split(address))

  def _receive(self, data: bytes) -> None:
    handler = self._handler_by_kind.get(data[:1])
    if handler is not None:
      handler(data[1:])


class _Receiver(asyncio.DatagramProtocol):
  """Hands each datagram on."""

  def __init__(self, *, on_datagram: Callable[[bytes], None]) -> None:
    self._on_datagram = on_datagram

  def datagram_received(self, data: bytes, addr: object) -> None:
    """Hands one datagram on."""
    self._on_datagram(data)
