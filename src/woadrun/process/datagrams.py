"""Datagrams between daemons, whose first byte is the kind of datagram."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import functools
import logging

from woadrun import decoding
from woadrun.connection import endpoints

log = logging.getLogger('woadrun.peers')

HEARTBEAT = b'b'
# A copy of a program, for its standby or for another domain.
PROGRAM_COPY = b'c'
REMOTE_PROGRAM_COPY = b'f'
# Reports on attempts of requests that may end instances.
ATTEMPT_REPORTS = b'r'
REPORTS_RECEIVED = b'k'
# A request, and the response to it.
CALL = b'q'
RESPONSE = b'a'
# Size limit, in bytes.  Larger messages are sent over another transport: a
# datagram is split into packets and is lost if any of them is lost.
MAX_DATAGRAM_BYTES = 8192
# Number of addresses that are kept parsed.
MAX_ADDRESSES = 8192
# Size limit where a lost datagram is sent again, in bytes: most histories of a
# turn fit.
MAX_CALL_BYTES = 32_768


class Datagrams:
  """The UDP socket by which one daemon sends and receives datagrams.

  `address` is IP:PORT.  A datagram may be lost without an error.  Handlers may
  raise `decoding.MalformedData`; `rejections` counts the datagrams that are
  rejected.
  """

  def __init__(self, *, address: str) -> None:
    self._address = address
    self._handler_by_kind: dict[bytes, Callable[[bytes], None]] = {}
    self._transport: asyncio.DatagramTransport | None = None
    self.rejections = decoding.Rejections(kind='datagram', log=log)

  def handle(self, kind: bytes, handler: Callable[[bytes], None]) -> None:
    """Registers the handler of a kind, which gets the data after this byte."""
    self._handler_by_kind[kind] = handler

  @property
  def is_open(self) -> bool:
    """Whether datagrams can be sent."""
    return self._transport is not None

  async def open(self) -> None:
    """Starts to listen."""
    loop = asyncio.get_running_loop()
    self._transport, _ = await loop.create_datagram_endpoint(
      lambda: _Receiver(on_datagram=self._receive),
      local_addr=endpoints.split(self._address),
    )

  def close(self) -> None:
    """Stops listening; later sends are ignored."""
    if self._transport is not None:
      self._transport.close()
      self._transport = None

  def send(self, address: str, kind: bytes, data: bytes) -> None:
    """Sends one datagram to IP:PORT, or nothing if the socket is closed.

    Nor is anything sent to an address of no process, which other daemons and
    rows may name: a port out of range would close the socket.
    """
    if self._transport is None:
      return
    try:
      target = _parse(address)
    except ValueError as error:
      self.rejections.record('address', error)
      return
    self._transport.sendto(kind + data, target)

  def _receive(self, data: bytes) -> None:
    handler = self._handler_by_kind.get(data[:1])
    if handler is None:
      return
    try:
      handler(data[1:])
    except decoding.MalformedData as error:
      self.rejections.record(f'of kind {data[:1]!r}', error)
    except Exception as error:
      # Whatever one datagram leads to, the next one is handled.
      log.exception('Cannot handle a datagram of kind %r.', data[:1])
      self.rejections.record(f'of kind {data[:1]!r}', error)


@functools.lru_cache(maxsize=MAX_ADDRESSES)
def _parse(address: str) -> tuple[str, int]:
  endpoints.check(address)
  return endpoints.split(address)


class _Receiver(asyncio.DatagramProtocol):
  """Passes each received datagram to a callback."""

  def __init__(self, *, on_datagram: Callable[[bytes], None]) -> None:
    self._on_datagram = on_datagram

  def datagram_received(self, data: bytes, addr: object) -> None:
    """Passes one datagram to the callback."""
    self._on_datagram(data)
