"""Requests to peers and their responses, as datagrams.

In a fleet of hundreds a daemon seldom sends twice to the same peer before an
idle connection expires, so that each message over HTTP opened a connection of
its own.  A message that is too large for a datagram, or that is not answered,
is sent over HTTP.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
import time
from typing import Any
from typing import TypeVar

import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import peers
from woadrun.process import datagrams
from woadrun.process import peer_messages

log = logging.getLogger('woadrun.peers')

T = TypeVar('T')

# Time without a response after which a message is sent again, in seconds.  A
# round trip takes a few milliseconds, and datagrams are occasionally lost.
RETRANSMIT_TIMEOUT_SECONDS = 0.1
# Number of consecutive sends without an acknowledgement or a response before a
# message is sent over HTTP, which detects a stopped process at once.
MAX_UNACKNOWLEDGED_SENDS = 2
# Further wait for the response once the peer has acknowledged a message, in
# seconds.  The message is then sent again, since the response itself may have
# been lost.
RESPONSE_TIMEOUT_SECONDS = 0.3
# Status codes of responses beside those of the handlers: the peer is still
# processing the message; the response is too large for a datagram.
PROCESSING = 102
TOO_LARGE = 413


class Call(msgspec.Struct, frozen=True, array_like=True):
  """A request; the response is sent to `reply_to`, IP:PORT, with its `id`."""

  id: int
  reply_to: str
  path: str
  body: bytes


class Response(msgspec.Struct, frozen=True, array_like=True):
  """The response to request `id`; `body` is an error unless `status` is 200."""

  id: int
  status: int
  body: bytes = b''


class _Pending:
  """A request without a response yet.

  `is_acknowledged` says whether the peer has acknowledged the last send.
  """

  def __init__(self) -> None:
    self.response: asyncio.Future[Response] = (
      asyncio.get_running_loop().create_future()
    )
    self.is_acknowledged = False


class DatagramCalls:
  """Sends requests to peers and answers the requests of peers.

  `address` is the address to which peers respond.  Handlers must be idempotent,
  since the same message may be handled twice.  Messages that are too large for
  a datagram are sent over HTTP by `messenger`.  `answered_calls` counts the
  requests that were answered by a datagram.
  """

  def __init__(
    self,
    *,
    address: str,
    datagram_socket: datagrams.Datagrams,
    messenger: peers.Peers,
    handler_by_path: dict[str, peer_messages.Handler],
  ) -> None:
    self._address = address
    self._datagrams = datagram_socket
    self._links = messenger
    self._handler_by_path = handler_by_path
    # IDs start at a random number so that a restarted process does not accept
    # responses to requests of its previous run.
    self._ids = itertools.count(random.getrandbits(52))
    self._pending_by_id: dict[int, _Pending] = {}
    self._task_by_call: dict[tuple[str, int], asyncio.Task[None]] = {}
    self.answered_calls = 0
    datagram_socket.handle(datagrams.CALL, self._receive_call)
    datagram_socket.handle(datagrams.RESPONSE, self._receive_response)

  # --- Requests of this daemon ----------------------------------------------

  async def post(
    self,
    address: str,
    path: str,
    message: Any,
    *,
    type: type[T],
    timeout: float,
  ) -> T:
    """Returns a peer's response to one message.

    Raises the same errors as `Peers.post`.
    """
    started_at = time.monotonic()
    body = self._links.encode(message)
    if len(body) <= datagrams.MAX_CALL_BYTES and self._datagrams.is_open:
      response = await self._call(address, path, body, timeout)
      if response is not None:
        self.answered_calls += 1
        return self._links.decode(response.status, response.body, type)
    left = timeout - (time.monotonic() - started_at)
    return await self._links.post(
      address,
      path,
      message,
      type=type,
      timeout=max(RETRANSMIT_TIMEOUT_SECONDS, left),
    )

  def reset_connections(self, address: str) -> None:
    """Makes HTTP messages to a peer use new connections from now on."""
    self._links.reset_connections(address)

  async def _call(
    self, address: str, path: str, body: bytes, timeout: float
  ) -> Response | None:
    """Returns the response, or None if the message must be sent over HTTP."""
    call = Call(
      id=next(self._ids), reply_to=self._address, path=path, body=body
    )
    data = msgspec.msgpack.encode(call)
    pending = self._pending_by_id[call.id] = _Pending()
    deadline = time.monotonic() + timeout
    unacknowledged = 0
    try:
      while (
        unacknowledged < MAX_UNACKNOWLEDGED_SENDS
        and time.monotonic() < deadline
      ):
        pending.is_acknowledged = False
        self._datagrams.send(address, datagrams.CALL, data)
        response = await self._wait(pending)
        if response is not None:
          return None if response.status == TOO_LARGE else response
        unacknowledged = 0 if pending.is_acknowledged else unacknowledged + 1
    finally:
      del self._pending_by_id[call.id]
    return None

  async def _wait(self, pending: _Pending) -> Response | None:
    await asyncio.wait((pending.response,), timeout=RETRANSMIT_TIMEOUT_SECONDS)
    if pending.is_acknowledged and not pending.response.done():
      await asyncio.wait((pending.response,), timeout=RESPONSE_TIMEOUT_SECONDS)
    return pending.response.result() if pending.response.done() else None

  def _receive_response(self, data: bytes) -> None:
    response = decoding.decode_msgpack(data, type=Response)
    pending = self._pending_by_id.get(response.id)
    if pending is None or pending.response.done():
      return
    if response.status == PROCESSING:
      pending.is_acknowledged = True
    else:
      pending.response.set_result(response)

  # --- Requests of peers ----------------------------------------------------

  def _receive_call(self, data: bytes) -> None:
    call = decoding.decode_msgpack(data, type=Call)
    if call.path not in self._handler_by_path:
      self._send_response(
        call, errors.STATUS_BY_CODE[errors.Code.UNKNOWN_SERVICE]
      )
      return
    key = (call.reply_to, call.id)
    if key in self._task_by_call:
      self._send_response(call, PROCESSING)
      return
    task = asyncio.ensure_future(self._handle_call(call))
    self._task_by_call[key] = task
    task.add_done_callback(lambda _: self._task_by_call.pop(key, None))

  async def _handle_call(self, call: Call) -> None:
    reply = await self._handler_by_path[call.path](call.body)
    if len(reply.body) > datagrams.MAX_CALL_BYTES:
      self._send_response(call, TOO_LARGE)
    else:
      self._send_response(call, reply.status, reply.body)

  def _send_response(self, call: Call, status: int, body: bytes = b'') -> None:
    response = Response(id=call.id, status=status, body=body)
    self._datagrams.send(
      call.reply_to, datagrams.RESPONSE, msgspec.msgpack.encode(response)
    )
