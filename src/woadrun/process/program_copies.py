"""Copies of programs: at their standbys, and in the other domains."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Iterator
import logging
import math
import time

import msgspec

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import beats
from woadrun.process import datagrams
from woadrun.process import fleet
from woadrun.process import hubs
from woadrun.process import program_rows
from woadrun.process import unsaved_turns
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')

# Until a standby that does not acknowledge is passed over, in seconds.
COPY_SECONDS = 0.6
# Until a member of another domain that is asked to count what is spent is
# passed over, in seconds.
COUNT_SECONDS = 0.4
# Members of each other domain that are asked so, one after the other.
MOST_COUNTING = 2
# A domain of which none answered is not asked again for so long, in seconds:
# callers whose turns need its word are refused at once meanwhile.
UNHEARD_SECONDS = 0.5
# Copies under way that nobody waits for; more are dropped, since the store
# has what they hold.
MOST_COPIES = 256
# Members that are asked about a program that is new to this one: owner and
# standby before the last change of members.
MOST_ASKED = 3
# Other domains that get a copy of each turn: each takes processor time at both
# ends.  In regions of five domains one that is cut off goes on with half of the
# others' programs.
MOST_DOMAINS = 2


class Copies:
  """Sends programs to the next member in the order of their claim.

  `unsaved` has the ids of turns that the store lacks.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    links: peers.Messenger,
    unsaved: unsaved_turns.UnsavedTurns,
  ) -> None:
    self._members = members
    self._links = links
    self._unsaved = unsaved
    self._running: set[asyncio.Task[None]] = set()
    self._unheard_until_by_domain: dict[str, float] = {}

  async def send(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Brings a program to its standby, unless no other member is alive.

    What the standby counts and this daemon did not is taken over.
    """
    message = self._make_copy(entry, turns)
    me = self._members.me
    failure: errors.WoadrunError | None = None
    for member in self._members.rank(entry.program, me.domain):
      if member.name == me.name:
        continue
      try:
        known = await self._post(member, 'program/copy', message)
        if known.copy is not None:
          entry.ledger.merge(decode(known.copy))
        return
      except errors.WoadrunError as error:
        if isinstance(error, peers.NoAnswer):
          self._members.note_failure(member.name)
        failure = error
    if failure is not None:
      raise failure

  def send_far_behind(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Sends a program after a turn to other domains; nobody waits for it.

    A domain that is cut off goes on with the programs whose callers it has:
    a fifth of all turns come in through another domain than the one before.
    """
    message = self._make_copy(entry, turns)
    data = _encode_small(message)
    for member in self._find_far(entry.program):
      if data is not None:
        self._members.datagrams.send(member.address, datagrams.FAR_COPY, data)
      else:
        self._run(self._try_post(member, 'program/far', message))

  async def tell_domains(self, entry: program_rows.Entry) -> bool:
    """Returns whether each other domain counts what is spent here.

    What a domain counts and this daemon did not is taken over; it then does not
    count what it was told.
    """
    others = self._members.domains - {self._members.me.domain}
    if any(self._is_unheard(domain) for domain in others):
      return False
    message = self._make_copy(entry, ())
    answers = await asyncio.gather(
      *(self._tell_domain(entry, domain, message) for domain in sorted(others))
    )
    return all(answer is not None and answer.copy is None for answer in answers)

  def tell_begin_behind(self, entry: program_rows.Entry) -> None:
    """Tells the domains in `unknown_in` of a program; nobody waits for it."""
    if entry.unknown_in:
      self._run(self._tell_begin(entry))

  async def _tell_begin(self, entry: program_rows.Entry) -> None:
    message = self._make_copy(entry, ())

    async def tell(domain: str) -> None:
      if await self._tell_domain(entry, domain, message) is not None:
        entry.unknown_in.discard(domain)

    await asyncio.gather(*(tell(domain) for domain in sorted(entry.unknown_in)))

  def _is_unheard(self, domain: str) -> bool:
    until = self._unheard_until_by_domain.get(domain, -math.inf)
    return time.monotonic() < until

  async def _tell_domain(
    self,
    entry: program_rows.Entry,
    domain: str,
    message: turn_messages.LedgerCopy,
  ) -> turn_messages.KnownProgram | None:
    """Returns what a member of a domain answers, None where none does.

    What is known there and not here is taken over.
    """
    for member in self._members.rank(entry.program, domain)[:MOST_COUNTING]:
      try:
        known = await self._post(
          member, 'program/far', message, timeout=COUNT_SECONDS
        )
      except errors.WoadrunError as error:
        log.info('%s does not count %s: %s', member.name, entry.program, error)
        continue
      if known.copy is not None:
        entry.ledger.merge(decode(known.copy))
      return known
    self._unheard_until_by_domain[domain] = time.monotonic() + UNHEARD_SECONDS
    return None

  async def ask(
    self, program: str, *, is_young: bool = False
  ) -> list[turn_messages.LedgerCopy]:
    """Returns what other members have of a program that the store lacks.

    A daemon that `is_young` asks other domains as well.
    """
    me = self._members.me
    near = self._members.rank(program, me.domain)[:MOST_ASKED]
    asked = [(m, False) for m in near if m.name != me.name]
    if is_young:
      # All daemons of a domain that was lost in an outage had forgotten what
      # they had spent, and gave the budget anew.
      asked += ((member, True) for member in self._find_far(program))
    results = await asyncio.gather(
      *(self._ask_at(m, program, is_far=is_far) for m, is_far in asked)
    )
    return [copy for copy in results if copy is not None]

  def _find_far(self, program: str) -> Iterator[beats.Member]:
    """Yields the members of other domains that get copies of a program."""
    others = self._members.domains - {self._members.me.domain}
    for domain in choose_domains(program, others):
      yield from self._members.rank(program, domain)[:1]

  async def _ask_at(
    self, member: beats.Member, program: str, *, is_far: bool
  ) -> turn_messages.LedgerCopy | None:
    try:
      known = await self._links.post(
        member.address,
        'program/ask',
        turn_messages.AskProgram(program=program, is_far=is_far),
        type=turn_messages.KnownProgram,
        timeout=COPY_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info('%s does not tell of %s: %s', member.name, program, error)
      return None
    return known.copy

  def make(self, entry: program_rows.Entry) -> turn_messages.LedgerCopy:
    """Returns the copy of a program without its turns."""
    return self._make_copy(entry, ())

  def send_behind(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Sends a copy that nobody waits for."""
    data = _encode_small(self._make_copy(entry, turns))
    if data is None:
      self._run(self.try_send(entry, turns))
      return
    me = self._members.me
    for member in self._members.rank(entry.program, me.domain)[:2]:
      if member.name != me.name:
        self._members.datagrams.send(member.address, datagrams.COPY, data)
        return

  def has_standby(self, program: str) -> bool:
    """Returns whether another member of this domain is alive."""
    return len(self._members.rank(program, self._members.me.domain)) > 1

  def is_first(self, program: str) -> bool:
    """Returns whether this daemon has the first claim on a program."""
    me = self._members.me
    ranked = self._members.rank(program, me.domain)
    return not ranked or ranked[0] == me

  def _run(self, sending: Coroutine[None, None, None]) -> None:
    if len(self._running) >= MOST_COPIES:
      log.warning('A copy is left out: %d are under way.', len(self._running))
      sending.close()
      return
    task = asyncio.ensure_future(sending)
    self._running.add(task)
    task.add_done_callback(self._running.discard)

  async def _try_post(
    self, member: beats.Member, path: str, message: turn_messages.LedgerCopy
  ) -> None:
    try:
      await self._post(member, path, message)
    except errors.WoadrunError as error:
      log.info('No copy of %s: %s', message.program, error.message)

  async def _post(
    self,
    member: beats.Member,
    path: str,
    message: turn_messages.LedgerCopy,
    *,
    timeout: float = COPY_SECONDS,
  ) -> turn_messages.KnownProgram:
    return await self._links.post(
      member.address,
      path,
      message,
      type=turn_messages.KnownProgram,
      timeout=timeout,
    )

  async def try_send(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Sends a copy; a failure is only logged."""
    try:
      await self.send(entry, turns)
    except errors.WoadrunError as error:
      log.info('No copy of %s: %s', entry.program, error.message)

  def _make_copy(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> turn_messages.LedgerCopy:
    held = entry.ledger
    unsaved = tuple(t.request for t in turns if t.request in self._unsaved)
    return turn_messages.LedgerCopy(
      program=entry.program,
      home=held.home,
      given=dict(held.given),
      reserved=dict(held.reserved),
      saved_settled=held.saved.settled,
      saved_reserved=dict(held.saved.reserved),
      saved_recent=held.saved.recent,
      is_behind=entry.needs_flush,
      version=held.version,
      is_split=held.saved.is_split,
      offline_known=entry.offline_known,
      turns=turns,
      unsaved=unsaved,
    )


def _encode_small(copy: turn_messages.LedgerCopy) -> bytes | None:
  """Returns a copy as a datagram, None where that will not do.

  A request takes a connection and an answer, which nobody waits for here.
  Turns that the store lacks must not be lost.
  """
  if copy.unsaved:
    return None
  data = msgspec.msgpack.encode(copy)
  return data if len(data) <= datagrams.MOST_BYTES else None


def decode_datagram(data: bytes) -> turn_messages.LedgerCopy | None:
  """Returns the copy in a datagram, None where there is none."""
  try:
    return msgspec.msgpack.decode(data, type=turn_messages.LedgerCopy)
  except msgspec.MsgspecError as error:
    log.warning('Ignored a copy: %s', error)
    return None


def choose_domains(program: str, others: Iterable[str]) -> list[str]:
  """Returns which other domains get copies of a program.

  They stay the same for all of its turns, so that each has the whole line, and
  spread over the domains from program to program.
  """
  ranked = sorted(others, key=lambda domain: hubs.weigh(domain, program))
  return ranked[:MOST_DOMAINS]


def decode(copy: turn_messages.LedgerCopy) -> ledger.Ledger:
  """Returns the budget in a copy."""
  saved = ledger.LedgerRow(
    home=copy.home,
    settled=copy.saved_settled,
    reserved=copy.saved_reserved,
    recent=copy.saved_recent,
    is_split=copy.is_split,
  )
  found = ledger.Ledger(saved=saved, version=copy.version)
  found.given = dict(copy.given)
  found.reserved = dict(copy.reserved)
  return found
