"""Replication streams of batches of records from an owner to its standbys.

One task per standby sends all batches that were queued since its previous
message, so that groups grow with the load.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

import mode

from woadrun import errors
from woadrun.connection import messages
from woadrun.connection import peers

log = logging.getLogger('woadrun.replication')

RETRY_DELAY_SECONDS = 0.05
MAX_BATCHES_PER_MESSAGE = 500

# Called with the standby and its acknowledgement of a batch.
AckListener = Callable[[str, messages.Ack], None]
# Returns whether a batch still has to be sent to the standby.
IsPending = Callable[[str, messages.Append], bool]


class Replication(mode.Service):
  """Sends batches to the standbys of this daemon's slots."""

  def __init__(
    self,
    *,
    address: str,
    links: peers.Peers,
    timeout: float,
    on_ack: AckListener,
    is_pending: IsPending,
  ) -> None:
    super().__init__()
    self._address = address
    self._links = links
    self._timeout = timeout
    self._on_ack = on_ack
    self._is_pending = is_pending
    self._queue_by_standby: dict[str, list[messages.Append]] = {}
    self._task_by_standby: dict[str, asyncio.Task] = {}
    self.sent = 0

  def send(self, standby: str, append: messages.Append) -> None:
    """Queues a batch for a standby and starts its stream if necessary."""
    self._queue_by_standby.setdefault(standby, []).append(append)
    task = self._task_by_standby.get(standby)
    if task is None or task.done():
      self._task_by_standby[standby] = asyncio.ensure_future(self._run(standby))

  async def on_stop(self) -> None:
    """Cancels the tasks of all streams."""
    for task in self._task_by_standby.values():
      task.cancel()

  async def _run(self, standby: str) -> None:
    while self._queue_by_standby.get(standby):
      queue = self._queue_by_standby[standby]
      pending = [a for a in queue if self._is_pending(standby, a)]
      batch = pending[:MAX_BATCHES_PER_MESSAGE]
      self._queue_by_standby[standby] = pending[MAX_BATCHES_PER_MESSAGE:]
      if batch and not await self._send_batch(standby, batch):
        self._queue_by_standby[standby][:0] = batch
        await asyncio.sleep(RETRY_DELAY_SECONDS)

  async def _send_batch(
    self, standby: str, batch: list[messages.Append]
  ) -> bool:
    message = messages.Replicate(sender=self._address, appends=batch)
    try:
      answer = await self._links.post(
        standby,
        'replicate',
        message,
        type=messages.Replicated,
        timeout=self._timeout,
      )
    except errors.WoadrunError as error:
      log.debug('Replication to a standby failed, will retry: %s', error)
      return False
    self.sent += len(batch)
    for ack in answer.acks:
      self._on_ack(standby, ack)
    return True
