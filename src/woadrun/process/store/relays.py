"""Relays calls of peers that the row store refuses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

from woadrun import errors
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.decisions import retry_after
from woadrun.process.store import call_queue
from woadrun.process.store import row_messages
from woadrun.process.store import store_access


class StoreRelay:
  """Relays calls of peers to the store, always directly.

  A relayed call is not relayed again.  Each method raises `WoadrunError`
  immediately while the store does not respond to this daemon, and if the call
  to the store fails.
  """

  def __init__(self, *, access: store_access.StoreAccess) -> None:
    self._access = access

  def _check_available(self) -> None:
    if not self._access.is_responsive:
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'The store does not respond to the relaying daemon either.',
        retry_after=retry_after.OUTAGE_CHECK_SECONDS,
      )

  @contextlib.asynccontextmanager
  async def _enter(self) -> AsyncIterator[None]:
    """Returns a context for a call, which waits like those of this daemon.

    Raises `WoadrunError` if it is not sent while the peer waits for it.
    """
    timeout_scope = asyncio.timeout(store_access.RELAY_TIMEOUT_SECONDS)
    try:
      async with (
        timeout_scope,
        self._access.queue.enter(call_queue.Urgency.COMMIT),
      ):
        timeout_scope.reschedule(None)
        yield
    except TimeoutError as error:
      if not timeout_scope.expired():
        raise
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE,
        'Too many calls of the store wait at the relaying daemon.',
        retry_after=retry_after.OUTAGE_CHECK_SECONDS,
      ) from error

  async def change(
    self, message: turn_messages.StoreChange
  ) -> turn_messages.StorePage:
    """Returns the outcome of a change made for a peer.

    The write counts as one of this daemon's own in `is_slow` and
    `is_responsive`.
    """
    self._check_available()
    async with self._enter():
      with self._access.time_write(), self._access.time_call():
        outcome = await self._access.direct.change(
          writes=[
            (row_messages.get_key(row), row.value) for row in message.writes
          ],
          removes=[row_messages.get_key(row) for row in message.removes],
          conditions=[
            (row_messages.get_key(row), row.version)
            for row in message.conditions
          ],
        )
    return turn_messages.StorePage(
      rows=row_messages.encode_rows(outcome.rows),
      version=outcome.version,
      is_done=outcome.is_done,
      clock=outcome.clock,
    )

  async def read(
    self, message: turn_messages.StoreRead
  ) -> turn_messages.StorePage:
    """Returns a range of rows read for a peer."""
    self._check_available()
    async with self._enter():
      with self._access.time_call():
        page = await self._access.direct.read(
          message.table, message.part, first=message.first, end=message.end
        )
    return row_messages.encode_page(page)

  async def follow(
    self, message: turn_messages.StoreFollow
  ) -> turn_messages.StorePage:
    """Returns changes read for a peer.

    If the store no longer has the history, `is_history_gone` of the page is
    set.
    """
    self._check_available()
    try:
      page = await self._access.direct.follow(
        message.table, after=message.after, wait=message.wait
      )
    except rows.HistoryGone:
      return turn_messages.StorePage(is_history_gone=True)
    return row_messages.encode_page(page)
