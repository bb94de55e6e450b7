"""The registrations of daemons: rows of the store that list the members."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
import contextlib
import logging
from typing import Annotated
from typing import Any

import mode
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import endpoints
from woadrun.connection import rows
from woadrun.process import feed
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats

log = logging.getLogger('woadrun.fleet')

# Silence after which the row of a member is removed, in seconds.  A member that
# is still alive registers again.
ROW_REMOVAL_TIMEOUT_SECONDS = 15.0
CHECK_INTERVAL_SECONDS = 1.0


class MemberRow(msgspec.Struct, kw_only=True):
  """The registration of a member, as stored."""

  address: Annotated[str, msgspec.Meta(max_length=endpoints.MAX_CHARACTERS)]
  domain: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
  incarnation: str

  def __post_init__(self) -> None:
    """Raises `ValueError` unless a process can listen at the address."""
    endpoints.check_ipv4(self.address)


class Registration(mode.Service):
  """Keeps this daemon registered, and follows the rows of all members.

  `rejections` counts the rows that are malformed.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    incarnation: str,
    store: rows.RowStore,
  ) -> None:
    super().__init__()
    self._members = members
    self._me = members.me
    self._incarnation = incarnation
    self._store = store
    self._version_by_name: dict[str, int] = {}
    self.rejections = decoding.Rejections(kind='member row', log=log)
    self._is_row_outdated = asyncio.Event()
    self.feed = feed.Feed(
      store=store,
      table=fleet.TABLE,
      on_list=self._apply_list,
      on_row=self._apply_row,
    )

  async def on_start(self) -> None:
    """Starts to follow the registrations."""
    await self.add_runtime_dependency(self.feed)

  # --- The own row ----------------------------------------------------------

  async def register(self) -> None:
    """Writes this daemon's row."""
    row = MemberRow(
      address=self._me.address,
      domain=self._me.domain,
      incarnation=self._incarnation,
    )
    key = rows.Key(fleet.TABLE, '', self._me.name)
    await self._store.change(writes=[(key, msgspec.json.encode(row))])
    log.info('Registered at %s.', self._me.address)

  async def unregister(self) -> None:
    """Removes this daemon's row."""
    key = rows.Key(fleet.TABLE, '', self._me.name)
    await self._store.change(removes=[key])

  @mode.Service.task
  async def _stay_registered(self) -> None:
    while not self.should_stop:
      is_known = self._me.name in self._version_by_name
      if not is_known and not self._members.is_leaving:
        await self._try_change(self.register())
      await self._remove_silent()
      with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CHECK_INTERVAL_SECONDS):
          await self._is_row_outdated.wait()
      self._is_row_outdated.clear()

  async def _try_change(self, change: Coroutine[Any, Any, object]) -> None:
    try:
      await change
    except errors.WoadrunError as error:
      log.warning('Could not change a registration: %s', error.message)

  # --- The others' rows -----------------------------------------------------

  async def _remove_silent(self) -> None:
    for name, seconds in self._members.get_silent_seconds().items():
      if (
        seconds < ROW_REMOVAL_TIMEOUT_SECONDS
        or name not in self._version_by_name
      ):
        continue
      # Only one member of the fleet removes the row.
      if not self._members.is_first_ranked(fleet.TABLE):
        continue
      log.info('Removing row of member %s: silent for %.1f s.', name, seconds)
      key = rows.Key(fleet.TABLE, '', name)
      version = self._version_by_name[name]
      await self._try_change(
        self._store.change(removes=[key], conditions=[(key, version)])
      )

  def _apply_list(self, found: tuple[rows.Row, ...]) -> None:
    listed = {row.key.name for row in found}
    for name in [n for n in self._version_by_name if n not in listed]:
      self._forget(name)
    for row in found:
      self._apply_row(row)
    if self._me.name not in listed:
      # The first try to register is made before the store is reached.  While no
      # member knew this daemon, the turns that it kept without the store had no
      # copy, and were lost when it stopped.
      self._is_row_outdated.set()

  def _apply_row(self, row: rows.Row) -> None:
    name = row.key.name
    if row.is_removed:
      self._forget(name)
      return
    self._version_by_name[name] = row.version
    try:
      found = decoding.decode_json(row.value, type=MemberRow)
    except decoding.MalformedData as error:
      self.rejections.record(name, error)
      return
    if name == self._me.name:
      if found.address != self._me.address:
        # The row was written before this daemon restarted at a new address.
        self._forget(name)
        self._is_row_outdated.set()
      return
    self._members.add(
      fleet_heartbeats.Member(
        name=name, address=found.address, domain=found.domain
      )
    )

  def _forget(self, name: str) -> None:
    self._version_by_name.pop(name, None)
    self._members.remove_member(name)
