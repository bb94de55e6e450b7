"""Drops cached prefixes of programs that no longer exist from engines.

A program's cache is dropped when the program ends.  Caches that remain
(after a lost command, or the death of an owner) are found by comparing the
engine's list of cached prefixes with the programs that the slots' owners
know.  The list is used because events of engines arrive late and with
gaps.  The keeper of an engine's queue reconciles that engine.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging

import mode

from woadrun import errors
from woadrun.connection import engine
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.process import dispatcher
from woadrun.process import membership
from woadrun.process import ownership
from woadrun.request import calls

log = logging.getLogger('woadrun.cache')

RECONCILE_INTERVAL_SECONDS = 2.0
OWNER_TIMEOUT_SECONDS = 2.0
# A program must be found gone in this many consecutive checks before its
# cache is dropped: its slot may be in transfer to another owner.
GONE_CHECKS_BEFORE_DROP = 2


class CacheReconciler(mode.Service):
  """Reconciles the caches of engines whose queues this daemon keeps."""

  def __init__(
    self,
    *,
    members: membership.Membership,
    links: peers.Peers,
    held: ownership.Ownership,
    permits: dispatcher.PermitDispatcher,
    engine_client_by_name: dict[str, engine.Engine],
  ) -> None:
    super().__init__()
    self._members = members
    self._peers = links
    self._held = held
    self._permits = permits
    self._engine_by_name = engine_client_by_name
    self._gone_checks: dict[tuple[str, str], int] = {}
    self.gone_tokens = 0
    self.held_tokens = 0
    self.dropped = 0

  @mode.Service.task
  async def _reconcile(self) -> None:
    while not self.should_stop:
      await self.sleep(RECONCILE_INTERVAL_SECONDS)
      for name in self._engine_by_name:
        if self._permits.get_keeper(name) != self._members.address:
          continue
        try:
          await self._reconcile_engine(name)
        except errors.WoadrunError as error:
          log.debug('Cache of engine %s not reconciled: %s', name, error)

  async def _reconcile_engine(self, name: str) -> None:
    cached = await self._engine_by_name[name].get_cache()
    gone = await self._find_gone(prefix.salt for prefix in cached)
    tokens = {prefix.salt: prefix.tokens for prefix in cached}
    self.held_tokens = sum(tokens.values())
    self.gone_tokens = sum(tokens[salt] for salt in gone)
    keys = {(name, salt) for salt in gone}
    self._gone_checks = {
      key: count
      for key, count in self._gone_checks.items()
      if key[0] != name or key in keys
    }
    for salt in gone:
      checks = self._gone_checks.get((name, salt), 0) + 1
      self._gone_checks[name, salt] = checks
      if checks >= GONE_CHECKS_BEFORE_DROP:
        await self._drop(name, salt)

  async def _drop(self, name: str, salt: str) -> None:
    fencing = self._members.roster.version
    await self._engine_by_name[name].drop_cache(salt, fencing=fencing)
    self._gone_checks.pop((name, salt), None)
    self.dropped += 1
    log.info('Cache of program %s dropped from engine %s.', salt, name)

  async def _find_gone(self, salts: Iterable[str]) -> list[str]:
    """Returns the programs that are gone according to their slots' owners.

    A program whose owner does not answer counts as existing.
    """
    programs_by_owner: dict[str, list[str]] = {}
    for salt in salts:
      try:
        domain, slot = calls.split_program_id(salt)
      except errors.WoadrunError:
        continue
      owner = self._members.directory.get_owner(domain, slot)
      if owner:
        programs_by_owner.setdefault(owner, []).append(salt)
    gone: list[str] = []
    for owner, programs in programs_by_owner.items():
      gone += await self._ask_owner(owner, programs)
    return gone

  async def _ask_owner(self, owner: str, programs: list[str]) -> list[str]:
    message = messages.Programs(programs=programs)
    if owner == self._members.address:
      return self.find_gone(message).programs
    try:
      answer = await self._peers.post(
        owner,
        'gone',
        message,
        type=messages.Programs,
        timeout=OWNER_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError:
      return []
    return answer.programs

  def find_gone(self, message: messages.Programs) -> messages.Programs:
    """Returns those of the programs that are gone.

    A program counts as gone only if this daemon owns its slot, and the slot
    does not have the program or has it as ended.
    """
    gone = [name for name in message.programs if self._is_gone(name)]
    return messages.Programs(programs=gone)

  def _is_gone(self, name: str) -> bool:
    _, slot = calls.split_program_id(name)
    holding = self._held.owned_slot_by_number.get(slot)
    if holding is None:
      return False
    found = holding.state.program_by_id.get(name)
    return found is None or bool(found.ended)

  def dump(self) -> dict[str, object]:
    """Returns the state of this service as plain data."""
    return {
      'held_tokens': self.held_tokens,
      'gone_tokens': self.gone_tokens,
      'dropped': self.dropped,
    }
