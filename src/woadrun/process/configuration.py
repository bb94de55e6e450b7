"""The operators' table in effect, and the distribution of its edits.

Each version of the operators' table is a row in the platform's table
service, created only if it does not exist, so that one writer wins each
version number.  A daemon applies versions in order and never reverts to an
older one.  Daemons obtain versions by polling the table service, at a rate
shared among the daemons of a domain, and from each other.
"""

from __future__ import annotations

import logging
import random
import time
import uuid

import mode
import msgspec
import pydantic

from woadrun import errors
from woadrun import settings
from woadrun.connection import http
from woadrun.connection import messages
from woadrun.connection import objects
from woadrun.connection import peers
from woadrun.connection import table
from woadrun.process import membership
from woadrun.version import rows

log = logging.getLogger('woadrun.configuration')

EDITS_TABLE = 'configuration'
POINTER_TABLE = 'configuration-snapshot'
POINTER_KEY = 'latest'
SNAPSHOT_INTERVAL_VERSIONS = 500
# Latest edits retained to answer peers and operators without a read of the
# platform.
MAX_RETAINED_EDITS = 1000
PAGE_SIZE_ROWS = 200
PEER_TIMEOUT_SECONDS = 2.0


class Pointer(msgspec.Struct, frozen=True, kw_only=True):
  """Identifies the newest snapshot of the table in the object store."""

  write_id: str = ''
  version: int = 0


class Configuration(mode.Service):
  """The operators' table in effect in this process."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    messenger: peers.Peers,
    store: table.Table,
    snapshots: objects.ObjectStore,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._peers = messenger
    self._table = store
    self._snapshots = snapshots
    self.version = 0
    self.is_known = False
    self.row_by_key: dict[str, rows.Row] = {}
    self.edits: list[rows.Edit] = []
    self.applied_at = 0.0
    self._pulling_from: set[str] = set()
    members.table_version = lambda: self.version
    members.on_newer_table = self._pull_from

  # --- Reading --------------------------------------------------------------

  def get_row(self, team: str, kind: str) -> rows.Row:
    """Returns the row that applies to a kind of a team's work.

    Raises `config_unavailable` if no table is known yet, and `unknown_team`
    if the table has no row for the team.
    """
    if not self.is_known:
      raise errors.WoadrunError(
        errors.Code.CONFIG_UNAVAILABLE,
        'This daemon has not loaded the table yet.',
        retry_after=1.0,
      )
    row = rows.get_row(self.row_by_key, team, kind)
    if row is None:
      raise errors.WoadrunError(
        errors.Code.UNKNOWN_TEAM,
        f'The table has no row for team {team}.',
        place='team',
      )
    return row

  # --- Updating -------------------------------------------------------------

  def apply(self, edits: list[rows.Edit]) -> None:
    """Applies the edits that follow the version in effect, in order.

    Skips edits that are older or leave a gap.
    """
    for edit in sorted(edits, key=lambda e: e.version):
      if edit.version != self.version + 1:
        continue
      self.row_by_key = rows.with_edit(self.row_by_key, edit)
      self.version = edit.version
      self.edits = [*self.edits[-MAX_RETAINED_EDITS + 1 :], edit]
      self.applied_at = time.time()
      log.info('Table version %d is in effect.', self.version)

  def _load(self, version: int, data: list[dict[str, object]]) -> None:
    if version <= self.version:
      return
    found = [rows.Row.model_validate(item) for item in data]
    self.row_by_key = {row.key: row for row in found}
    self.version = version
    self.edits = []
    self.applied_at = time.time()
    log.info('Table version %d is in effect, loaded from a snapshot.', version)

  async def pull(self) -> None:
    """Updates the table to the newest version on the platform.

    Raises a platform error if the platform cannot be read.
    """
    if not self.is_known:
      await self._load_snapshot()
    while True:
      listed = await self._table.list_after(
        EDITS_TABLE, make_key(self.version), limit=PAGE_SIZE_ROWS
      )
      self.apply(
        [http.decode(item.value.encode(), type=rows.Edit) for item in listed]
      )
      if len(listed) < PAGE_SIZE_ROWS:
        break
    self.is_known = True

  async def _load_snapshot(self) -> None:
    row = await self._table.read(POINTER_TABLE, POINTER_KEY)
    if row is None:
      return
    pointer = http.decode(row.value, type=Pointer)
    data = await self._snapshots.get(_make_snapshot_key(pointer.version))
    if data is not None:
      self._load(
        pointer.version, http.decode(data, type=list[dict[str, object]])
      )

  def get_edits(self, after: int) -> messages.Edits:
    """Returns the edits after version `after`.

    If some of them are no longer retained, returns the whole table instead.
    """
    retained = [e for e in self.edits if e.version > after]
    if after >= self.version or (retained and retained[0].version == after + 1):
      return messages.Edits(version=self.version, edits=retained)
    snapshot = [row.model_dump() for row in self.row_by_key.values()]
    return messages.Edits(version=self.version, snapshot=snapshot)

  def _pull_from(self, address: str) -> None:
    if address not in self._pulling_from:
      self._pulling_from.add(address)
      self.add_future(self._pull_from_peer(address))

  async def _pull_from_peer(self, address: str) -> None:
    try:
      answer = await self._peers.post(
        address,
        'edits',
        messages.EditsQuery(after=self.version),
        type=messages.Edits,
        timeout=PEER_TIMEOUT_SECONDS,
      )
      if answer.snapshot is not None:
        self._load(answer.version, answer.snapshot)
      self.apply(answer.edits)
      self.is_known = self.is_known or self.version > 0
    except errors.WoadrunError as error:
      log.debug('Edits not fetched from peer: %s', error)
    finally:
      self._pulling_from.discard(address)

  @mode.Service.task
  async def _poll(self) -> None:
    while not self.should_stop:
      try:
        await self.pull()
      except errors.WoadrunError as error:
        log.debug('Table not read from the platform: %s', error)
      members = max(1, len(self._members.roster.incarnations))
      interval = self._config.timing.configuration_poll
      await self.sleep(interval * members * random.uniform(0.5, 1.5))

  # --- Editing --------------------------------------------------------------

  async def submit(
    self, changes: tuple[rows.RowChange, ...], *, author: str
  ) -> rows.Edit:
    """Returns the edit once the platform has stored it.

    Raises `bad_request` if a new row is invalid.  Raises `table_conflict`
    with each row that another edit changed since the editor read it.
    """
    self._validate(changes)
    write_id = uuid.uuid4().hex
    while True:
      await self.pull()
      conflicts = list(rows.find_conflicts(self.row_by_key, changes))
      if conflicts:
        raise errors.WoadrunError(
          errors.Code.TABLE_CONFLICT,
          'Another edit has changed the same rows since they were read.',
          place=', '.join(c.key for c in conflicts),
          details=msgspec.to_builtins(conflicts),
        )
      edit = rows.Edit(
        version=self.version + 1,
        write_id=write_id,
        author=author,
        time=time.time(),
        changes=changes,
      )
      try:
        await self._table.write(
          EDITS_TABLE,
          make_key(edit.version),
          msgspec.json.encode(edit),
          etag=None,
        )
      except table.Conflict:
        continue
      self.apply([edit])
      self.add_future(self._write_snapshot())
      return edit

  def _validate(self, changes: tuple[rows.RowChange, ...]) -> None:
    findings: list[errors.Finding] = []
    for change in changes:
      if change.after is None:
        continue
      try:
        row = rows.Row.model_validate(change.after)
      except pydantic.ValidationError as error:
        findings += settings.get_findings(error, file=change.key)
        continue
      if row.key != change.key:
        reason = f'the key within the row is {row.key}'
        findings.append(
          errors.Finding(file=change.key, key='key', reason=reason)
        )
    if findings:
      raise errors.WoadrunError(
        errors.Code.BAD_REQUEST,
        'The edit has invalid rows.',
        details=[str(finding) for finding in findings],
      )

  async def _write_snapshot(self) -> None:
    version = self.version
    if version % SNAPSHOT_INTERVAL_VERSIONS:
      return
    data = [row.model_dump() for row in self.row_by_key.values()]
    try:
      await self._snapshots.put(
        _make_snapshot_key(version), msgspec.json.encode(data)
      )
      await self._table.update(
        POINTER_TABLE,
        POINTER_KEY,
        lambda old: Pointer(version=version) if version > old.version else None,
        type=Pointer,
        empty=Pointer(),
      )
    except errors.WoadrunError as error:
      log.warning(
        'Snapshot of table version %d not written: %s', version, error.message
      )

  def dump(self) -> dict[str, object]:
    """Returns the state of this service as plain data."""
    return {
      'version': self.version,
      'is_known': self.is_known,
      'rows': len(self.row_by_key),
      'applied_at': self.applied_at,
    }


def make_key(version: int) -> str:
  """Returns the row key of a version, zero-padded to sort by version."""
  return f'{version:012d}'


def _make_snapshot_key(version: int) -> str:
  return f'configuration/{make_key(version)}'
