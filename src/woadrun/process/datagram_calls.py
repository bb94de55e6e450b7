"""Short messages to peers and their answers, as datagrams.

In a fleet of hundreds a daemon seldom speaks twice to the same peer while a
connection rests, so that each message over HTTP made a connection of its own.
A message that is too large for a datagram, or to which nobody answers, goes
over HTTP.
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

from woadrun import errors
from woadrun.connection import peers
from woadrun.process import datagrams
from woadrun.process import peer_messages

log = logging.getLogger('woadrun.peers')

T = TypeVar('T')

# Until a message without any answer is sent again, in seconds: a round trip
# takes a few milliseconds, and datagrams are lost now and then.
AGAIN_SECONDS = 0.1
# Sends without an answer before the message goes over HTTP, where a process
# that is gone is found out at once.
MOST_UNHEARD = 2
# Between questions whether the peer still works on a message, in seconds: the
# answer itself may have been lost.
ASK_SECONDS = 0.3
# Statuses beside those of HTTP: the peer works on it; the answer is too large.
WORKING = 102
TOO_LARGE = 413


class Call(msgspec.Struct, frozen=True, array_like=True):
  """A message; the answer goes to `reply_to`, IP:PORT, under its `id`."""

  id: int
  reply_to: str
  path: str
  body: bytes


class Answer(msgspec.Struct, frozen=True, array_like=True):
  """The answer to the message `id`; without status 200 the body is an error."""

  id: int
  status: int
  body: bytes = b''


class _Pending:
  """A message without an answer; `is_heard` says that the peer has it."""

  def __init__(self) -> None:
    self.answer: asyncio.Future[Answer] = (
      asyncio.get_running_loop().create_future()
    )
    self.is_heard = False


class DatagramCalls:
  """Sends messages to peers and answers theirs.

  `address` is where this daemon's datagrams come from.  Handlers must bear the
  same message twice.  What does not fit goes by `links`.  `messages` counts
  those that were answered by a datagram.
  """

  def __init__(
    self,
    *,
    address: str,
    sent: datagrams.Datagrams,
    links: peers.Peers,
    handler_by_path: dict[str, peer_messages.Handler],
  ) -> None:
    self._address = address
    self._sent = sent
    self._links = links
    self._handler_by_path = handler_by_path
    # A process that was started again must not take answers to the one before.
    self._ids = itertools.count(random.getrandbits(52))
    self._pending_by_id: dict[int, _Pending] = {}
    self._task_by_call: dict[tuple[str, int], asyncio.Task[None]] = {}
    self.messages = 0
    sent.handle(datagrams.CALL, self._receive_call)
    sent.handle(datagrams.ANSWER, self._receive_answer)

  # --- Messages of this daemon ----------------------------------------------

  async def post(
    self,
    address: str,
    path: str,
    message: Any,
    *,
    type: type[T],
    timeout: float,
  ) -> T:
    """Returns a peer's answer to one message; raises as `Peers.post` does."""
    began = time.monotonic()
    body = self._links.encode(message)
    if len(body) <= datagrams.MOST_ANSWER_BYTES and self._sent.is_open:
      answer = await self._call(address, path, body, timeout)
      if answer is not None:
        self.messages += 1
        return self._links.decode(answer.status, answer.body, type)
    left = timeout - (time.monotonic() - began)
    return await self._links.post(
      address, path, message, type=type, timeout=max(AGAIN_SECONDS, left)
    )

  def note_silence(self, address: str) -> None:
    """Uses new connections to a peer from now on."""
    self._links.note_silence(address)

  async def _call(
    self, address: str, path: str, body: bytes, timeout: float
  ) -> Answer | None:
    """Returns the answer, None where the message should go over HTTP."""
    call = Call(
      id=next(self._ids), reply_to=self._address, path=path, body=body
    )
    data = msgspec.msgpack.encode(call)
    pending = self._pending_by_id[call.id] = _Pending()
    deadline = time.monotonic() + timeout
    unheard = 0
    try:
      while unheard < MOST_UNHEARD and time.monotonic() < deadline:
        pending.is_heard = False
        self._sent.send(address, datagrams.CALL, data)
        answer = await self._wait(pending)
        if answer is not None:
          return None if answer.status == TOO_LARGE else answer
        unheard = 0 if pending.is_heard else unheard + 1
    finally:
      del self._pending_by_id[call.id]
    return None

  async def _wait(self, pending: _Pending) -> Answer | None:
    await asyncio.wait((pending.answer,), timeout=AGAIN_SECONDS)
    if pending.is_heard and not pending.answer.done():
      await asyncio.wait((pending.answer,), timeout=ASK_SECONDS)
    return pending.answer.result() if pending.answer.done() else None

  def _receive_answer(self, data: bytes) -> None:
    try:
      answer = msgspec.msgpack.decode(data, type=Answer)
    except msgspec.MsgspecError as error:
      log.warning('Ignored an answer: %s', error)
      return
    pending = self._pending_by_id.get(answer.id)
    if pending is None or pending.answer.done():
      return
    if answer.status == WORKING:
      pending.is_heard = True
    else:
      pending.answer.set_result(answer)

  # --- Messages of peers ----------------------------------------------------

  def _receive_call(self, data: bytes) -> None:
    try:
      call = msgspec.msgpack.decode(data, type=Call)
    except msgspec.MsgspecError as error:
      log.warning('Ignored a message: %s', error)
      return
    if call.path not in self._handler_by_path:
      self._answer(call, errors.STATUS_BY_CODE[errors.Code.UNKNOWN_SERVICE])
      return
    key = (call.reply_to, call.id)
    if key in self._task_by_call:
      self._answer(call, WORKING)
      return
    task = asyncio.ensure_future(self._work(call))
    self._task_by_call[key] = task
    task.add_done_callback(lambda _: self._task_by_call.pop(key, None))

  async def _work(self, call: Call) -> None:
    reply = await self._handler_by_path[call.path](call.body)
    if len(reply.body) > datagrams.MOST_ANSWER_BYTES:
      self._answer(call, TOO_LARGE)
    else:
      self._answer(call, reply.status, reply.body)

  def _answer(self, call: Call, status: int, body: bytes = b'') -> None:
    answer = Answer(id=call.id, status=status, body=body)
    self._sent.send(
      call.reply_to, datagrams.ANSWER, msgspec.msgpack.encode(answer)
    )
