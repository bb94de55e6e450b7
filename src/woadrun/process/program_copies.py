"""Sends copies of programs to their standbys and to other domains.

A program is a sequence of turns, its requests to models, with a common budget;
its ledger counts the tokens of the turns.  Members are the daemons of a fleet.
The members of a failure domain are ranked for each program: the first one owns
the program in that domain, the next one is its standby.  A copy holds a ledger,
and the turns that the receiver should cache.  A member answers a copy with its
own one if it counts turns that the sender lacks or has a newer row.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Iterator
import logging

import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.process import datagrams
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import hubs
from woadrun.process.store import program_rows
from woadrun.version import ledger

log = logging.getLogger('woadrun.programs')

# Timeout for a standby's answer to a copy, after which the next member is
# tried, and for a member's answer to a query.
COPY_TIMEOUT_SECONDS = 0.6
# Maximum number of requests with copies that run in the background at a time.
# Further copies are dropped, since the store or the standby has what they hold.
MAX_BACKGROUND_COPIES = 256
# Number of highest ranked members that are asked about a program that is new to
# this one.  They include its owner and standby before the last change of
# members.
MAX_QUERIED_MEMBERS = 3
# Number of other domains that get a copy of each turn.  It is limited because
# each copy takes processor time at both ends.
MAX_REMOTE_DOMAINS = 2


class Copies:
  """Sends copies of the programs of this daemon, and asks others for theirs.

  Copies save reads of the store; what they hold is in the store as well, or is
  lost without harm.
  """

  def __init__(
    self, *, members: fleet.Fleet, messenger: peers.Messenger
  ) -> None:
    self._members = members
    self._links = messenger
    self._background_tasks: set[asyncio.Task[None]] = set()

  async def send(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> str:
    """Returns the name of the standby, or a lower ranked member, with a copy.

    Turns that the receiver counts and this daemon does not are merged into the
    entry's ledger.  Returns '' at once if no other member of the domain is
    alive, and raises the last error if none of those alive answers.
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
        return member.name
      except errors.WoadrunError as error:
        if isinstance(error, peers.NoAnswer):
          self._members.record_failure(member.name)
        failure = error
    if failure is not None:
      raise failure
    return ''

  def send_remote_in_background(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Sends a program to other domains after a turn, in the background.

    A turn that arrives through another domain than the turn before then needs
    no read of the store to find its home domain and its history.
    """
    message = self._make_copy(entry, turns)
    data = _encode_datagram(message)
    for member in self._find_remote_members(entry.program):
      if data is not None:
        self._members.datagrams.send(
          member.address, datagrams.REMOTE_PROGRAM_COPY, data
        )
      else:
        self._start_in_background(
          self._try_post(member, 'program/far', message)
        )

  async def fetch(self, program: str) -> list[turn_messages.LedgerCopy]:
    """Returns other members' copies of a program that the store may lack.

    Members that do not answer or have nothing to add are left out.
    """
    me = self._members.me
    queried = self._members.rank(program, me.domain)[:MAX_QUERIED_MEMBERS]
    results = await asyncio.gather(
      *(self._fetch_from(m, program) for m in queried if m.name != me.name)
    )
    return [copy for copy in results if copy is not None]

  def _find_remote_members(
    self, program: str
  ) -> Iterator[fleet_heartbeats.Member]:
    """Yields the members of other domains that get copies of a program."""
    others = self._members.domains - {self._members.me.domain}
    for domain in choose_domains(program, others):
      yield from self._members.rank(program, domain)[:1]

  async def _fetch_from(
    self, member: fleet_heartbeats.Member, program: str
  ) -> turn_messages.LedgerCopy | None:
    """Returns a member's copy, or None if it has none or does not answer."""
    try:
      known = await self._links.post(
        member.address,
        'program/ask',
        turn_messages.ProgramQuery(program=program),
        type=turn_messages.KnownProgram,
        timeout=COPY_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info(
        '%s did not answer a query for program %s: %s',
        member.name,
        program,
        error,
      )
      return None
    return known.copy

  def make(self, entry: program_rows.Entry) -> turn_messages.LedgerCopy:
    """Returns the copy of a program without its turns."""
    return self._make_copy(entry, ())

  def send_in_background(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Sends a copy to the standby in the background.

    The copy may be lost; a failure is at most logged.
    """
    data = _encode_datagram(self._make_copy(entry, turns))
    if data is None:
      self._start_in_background(self.try_send(entry, turns))
      return
    me = self._members.me
    for member in self._members.rank(entry.program, me.domain)[:2]:
      if member.name != me.name:
        self._members.datagrams.send(
          member.address, datagrams.PROGRAM_COPY, data
        )
        return

  def is_first(self, program: str) -> bool:
    """Returns whether this daemon ranks first for a program in its domain.

    It does so as well if all members of the domain are dead or leaving.
    """
    me = self._members.me
    ranked = self._members.rank(program, me.domain)
    return not ranked or ranked[0] == me

  def _start_in_background(self, sending: Coroutine[None, None, None]) -> None:
    if len(self._background_tasks) >= MAX_BACKGROUND_COPIES:
      log.warning(
        'Dropped a copy: %d are being sent already.',
        len(self._background_tasks),
      )
      sending.close()
      return
    task = asyncio.ensure_future(sending)
    self._background_tasks.add(task)
    task.add_done_callback(self._background_tasks.discard)

  async def _try_post(
    self,
    member: fleet_heartbeats.Member,
    path: str,
    message: turn_messages.LedgerCopy,
  ) -> None:
    try:
      await self._post(member, path, message)
    except errors.WoadrunError as error:
      log.info(
        'Copy of program %s not sent: %s', message.program, error.message
      )

  async def _post(
    self,
    member: fleet_heartbeats.Member,
    path: str,
    message: turn_messages.LedgerCopy,
  ) -> turn_messages.KnownProgram:
    return await self._links.post(
      member.address,
      path,
      message,
      type=turn_messages.KnownProgram,
      timeout=COPY_TIMEOUT_SECONDS,
    )

  async def try_send(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> None:
    """Sends a copy to the standby; a failure is only logged."""
    try:
      await self.send(entry, turns)
    except errors.WoadrunError as error:
      log.info('Copy of program %s not sent: %s', entry.program, error.message)

  def _make_copy(
    self, entry: program_rows.Entry, turns: tuple[turn_messages.Turn, ...]
  ) -> turn_messages.LedgerCopy:
    """Returns a copy of a program with the given turns for the receiver."""
    held = entry.ledger
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
      turns=turns,
    )


def _encode_datagram(copy: turn_messages.LedgerCopy) -> bytes | None:
  """Returns a copy encoded as a datagram, or None if it has to be a request.

  Datagrams are preferred in the background, where nothing waits for an answer,
  because a request takes a connection and an answer.  A copy that is too large
  for a datagram has to be a request.
  """
  data = msgspec.msgpack.encode(copy)
  return data if len(data) <= datagrams.MAX_DATAGRAM_BYTES else None


def decode_datagram(data: bytes) -> turn_messages.LedgerCopy | None:
  """Returns the copy in a datagram, or None if it cannot be decoded."""
  try:
    return decoding.decode_msgpack(data, type=turn_messages.LedgerCopy)
  except decoding.MalformedData as error:
    log.warning('Ignored a copy that cannot be decoded: %s', error)
    return None


def choose_domains(program: str, others: Iterable[str]) -> list[str]:
  """Returns which of the domains `others` get copies of a program.

  These domains are the same for all turns of the program, so that each of them
  has its whole history, and differ from program to program to spread the load.
  They are chosen by rendezvous hashing.
  """
  ranked = sorted(
    others, key=lambda domain: hubs.get_rendezvous_weight(domain, program)
  )
  return ranked[:MAX_REMOTE_DOMAINS]


def decode(copy: turn_messages.LedgerCopy) -> ledger.Ledger:
  """Returns the ledger that a copy describes.

  `CopyReceiver` applies the fields of the copy that are no part of a ledger.
  """
  saved = ledger.LedgerRow(
    home=copy.home,
    settled=copy.saved_settled,
    reserved=copy.saved_reserved,
    recent=copy.saved_recent,
  )
  found = ledger.Ledger(saved=saved, version=copy.version)
  found.given = dict(copy.given)
  found.reserved = dict(copy.reserved)
  return found
