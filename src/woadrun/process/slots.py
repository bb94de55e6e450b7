"""What a daemon holds of its slots: as owner, as standby or to be.

Only data and the steps that need no other daemon; `ownership` acts on it.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import time

from woadrun import errors
from woadrun.connection import messages
from woadrun.version import program
from woadrun.version import roster


class Verdict(enum.StrEnum):
  """A standby's word on a batch."""

  OK = 'ok'
  GAP = 'gap'
  STALE = 'stale'


class Held(enum.IntEnum):
  """Where a committed batch is kept besides its owner, weakest first."""

  NOWHERE = 0
  # A daemon that has no say in who serves the slot.
  HELPER = 1
  PLATFORM = 2
  STANDBY = 3


@dataclasses.dataclass(eq=False, kw_only=True)
class Ticket:
  """A batch under way to being held elsewhere."""

  append: messages.Append
  held: asyncio.Future[Held]

  def settle(self, held: Held) -> None:
    """Marks the batch as held."""
    if not self.held.done():
      self.held.set_result(held)

  def fail(self, error: errors.WoadrunError) -> None:
    """Marks the batch as never to be held under this owner."""
    if not self.held.done():
      self.held.set_exception(error)
      # Nobody may be waiting any more; that is no fault.
      self.held.exception()


@dataclasses.dataclass(eq=False, kw_only=True)
class Holding:
  """A slot that this daemon owns.

  While `opened` is not set, nothing may be appended: a copy of the state
  is under way, or the slot changes hands.  `is_claimed` says that the
  slot was taken, or is kept without its standby, while the table is out;
  `version` tells this from the time before.
  """

  number: int
  version: roster.Version
  standby: str
  state: program.SlotState
  opened: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
  tickets: list[Ticket] = dataclasses.field(default_factory=list)
  synced: tuple[str, int] = ('', 0)
  is_claimed: bool = False
  is_resyncing: bool = False
  confirmed_at: float = float('-inf')
  checkpointed: int = -1

  def append(
    self, records: list[program.Record], *, answers: int, written: int = 0
  ) -> Ticket:
    """Returns the ticket of a batch that is applied here at once."""
    if not self.opened.is_set():
      raise make_not_owner(f'Slot {self.number} is changing hands.')
    self.state.apply(records, answers=answers)
    append = messages.Append(
      slot=self.number,
      epoch=self.version.epoch,
      claim=self.version.claim,
      claimer=self.version.claimer,
      sequence=self.state.sequence,
      records=records,
      written=written,
    )
    future: asyncio.Future[Held] = asyncio.get_running_loop().create_future()
    ticket = Ticket(append=append, held=future)
    self.tickets = [t for t in self.tickets if not t.held.done()]
    self.tickets.append(ticket)
    return ticket

  @property
  def epoch(self) -> int:
    """Returns the roster version at which the pair last changed."""
    return self.version.epoch

  def claim(self, claimer: str) -> None:
    """Goes on without the table's word and without a standby."""
    self.version = raise_claim(self.version, claimer)
    self.standby = ''
    self.is_claimed = True

  def settle(self, sequence: int, held: Held) -> None:
    """Marks all batches up to a sequence number as held."""
    self.confirmed_at = time.monotonic()
    for ticket in self.tickets:
      if ticket.append.sequence <= sequence:
        ticket.settle(held)
    self.tickets = [t for t in self.tickets if not t.held.done()]

  def fail(self, error: errors.WoadrunError) -> None:
    """Marks all batches under way as not committed."""
    for ticket in self.tickets:
      ticket.fail(error)
    self.tickets = []


@dataclasses.dataclass(eq=False, kw_only=True)
class Replica:
  """A standby's copy of a slot.

  Once fenced it acknowledges nothing more of its version, so that an owner
  that was only frozen can commit nothing when it wakes.  `tail` are the
  batches that the platform may not have: should the owner die, this
  daemon writes them.
  """

  owner: str
  version: roster.Version
  state: program.SlotState
  tail: collections.deque[messages.Append] = dataclasses.field(
    default_factory=collections.deque
  )
  is_fenced: bool = False

  def receive(self, append: messages.Append, *, answers: int) -> Verdict:
    """Returns the word on a batch, which is applied if it is the next."""
    if self.is_fenced or append.version != self.version:
      return Verdict.STALE
    if append.sequence <= self.state.sequence:
      return Verdict.OK
    if append.sequence > self.state.sequence + 1:
      return Verdict.GAP
    self.state.apply(append.records, answers=answers)
    # Only from the front: in a long outage the tail is long.
    while self.tail and self.tail[0].sequence <= append.written:
      self.tail.popleft()
    self.tail.append(append)
    return Verdict.OK


@dataclasses.dataclass(eq=False, kw_only=True)
class Learner:
  """A copy sent ahead of a change of the pair, of the sender's version.

  `copy_id` tells it from others of the same version.
  """

  sender: str
  version: roster.Version
  state: program.SlotState
  tail: list[messages.Append]
  copy_id: str = ''


async def wait_settled(holding: Holding, timeout: float) -> None:
  """Returns once nothing of a slot is under way to its standby."""
  waiting = [ticket.held for ticket in holding.tickets]
  if waiting:
    await asyncio.wait(waiting, timeout=timeout)
  if any(not ticket.held.done() for ticket in holding.tickets):
    raise make_not_committed(
      f'Slot {holding.number} has records under way.', retry_after=1.0
    )


def raise_claim(version: roster.Version, claimer: str) -> roster.Version:
  """Returns the version at which a daemon serves a slot on its own."""
  return roster.Version(version.epoch, version.claim + 1, claimer)


def make_not_owner(message: str) -> errors.WoadrunError:
  """Returns the refusal that sends a peer to look for the owner again."""
  return errors.WoadrunError(errors.Code.NOT_OWNER, message, retry_after=0.1)


def make_not_committed(
  message: str, *, retry_after: float
) -> errors.WoadrunError:
  """Returns the refusal of a call whose record nobody else holds."""
  return errors.WoadrunError(
    errors.Code.NOT_COMMITTED, message, retry_after=retry_after
  )
