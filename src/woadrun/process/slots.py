"""Slot state of a daemon: as owner, as standby or as future standby.

This module contains the data and the operations that involve no other daemon.
`ownership` communicates with the other daemons.
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


class AckStatus(enum.StrEnum):
  """A standby's response to a batch.

  `GAP` asks the owner for a copy of the slot.  `STALE` rejects a batch of an
  owner that was replaced.
  """

  OK = 'ok'
  GAP = 'gap'
  STALE = 'stale'


class Durability(enum.IntEnum):
  """Where a batch is stored besides its owner, weakest guarantee first."""

  NOWHERE = 0
  # A daemon outside the pair in the roster.  It cannot rule out that another
  # daemon serves the slot.
  HELPER = 1
  PLATFORM = 2
  STANDBY = 3


@dataclasses.dataclass(eq=False, kw_only=True)
class PendingBatch:
  """A batch that waits until another daemon or the platform stores it."""

  append: messages.Append
  durability: asyncio.Future[Durability]

  def settle(self, held: Durability) -> None:
    """Completes the ticket with where the batch is stored."""
    if not self.durability.done():
      self.durability.set_result(held)

  def fail(self, error: errors.WoadrunError) -> None:
    """Fails the ticket: this owner cannot commit the batch any more."""
    if not self.durability.done():
      self.durability.set_exception(error)
      # Marks the exception as retrieved: it is not an error if no caller waits
      # for the batch any more.
      self.durability.exception()


@dataclasses.dataclass(eq=False, kw_only=True)
class OwnedSlot:
  """A slot that this daemon owns.

  While `opened` is not set, the slot accepts no appends because its state is
  being copied or the slot is being transferred.  `is_claimed` is set if this
  daemon took the slot over, or continues without its standby, while the table
  is unavailable.  `version` then has a higher claim than before.  `copied_to`
  is the standby and the sequence number of a copy sent before a change of the
  pair.
  """

  number: int
  version: roster.Version
  standby: str
  state: program.SlotState
  opened: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
  tickets: list[PendingBatch] = dataclasses.field(default_factory=list)
  copied_to: tuple[str, int] = ('', 0)
  is_claimed: bool = False
  is_resyncing: bool = False
  confirmed_at: float = float('-inf')
  checkpoint_sequence: int = -1

  def append(
    self, records: list[program.Record], *, answers: int, written: int = 0
  ) -> PendingBatch:
    """Applies a batch to the local state and returns its ticket."""
    if not self.opened.is_set():
      raise make_not_owner_error(f'Slot {self.number} is being transferred.')
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
    future: asyncio.Future[Durability] = (
      asyncio.get_running_loop().create_future()
    )
    ticket = PendingBatch(append=append, durability=future)
    self.tickets = [t for t in self.tickets if not t.durability.done()]
    self.tickets.append(ticket)
    return ticket

  @property
  def epoch(self) -> int:
    """Returns the roster version at which the pair last changed."""
    return self.version.epoch

  def claim(self, claimer: str) -> None:
    """Claims the slot: serves it without a table write and a standby."""
    self.version = increment_claim(self.version, claimer)
    self.standby = ''
    self.is_claimed = True

  def settle(self, sequence: int, held: Durability) -> None:
    """Completes the tickets of all batches up to a sequence number."""
    self.confirmed_at = time.monotonic()
    for ticket in self.tickets:
      if ticket.append.sequence <= sequence:
        ticket.settle(held)
    self.tickets = [t for t in self.tickets if not t.durability.done()]

  def fail(self, error: errors.WoadrunError) -> None:
    """Fails the tickets of all batches that are not committed yet."""
    for ticket in self.tickets:
      ticket.fail(error)
    self.tickets = []


@dataclasses.dataclass(eq=False, kw_only=True)
class Replica:
  """A standby's copy of a slot.

  A fenced replica acknowledges no further batches of its version, so that an
  owner that was only frozen cannot commit anything when it resumes.  `tail`
  holds the batches that the platform may not have yet.  This daemon writes them
  if the owner dies.
  """

  owner: str
  version: roster.Version
  state: program.SlotState
  tail: collections.deque[messages.Append] = dataclasses.field(
    default_factory=collections.deque
  )
  is_fenced: bool = False

  def receive(self, append: messages.Append, *, answers: int) -> AckStatus:
    """Applies a batch if it is the next one; returns the verdict on it."""
    if self.is_fenced or append.version != self.version:
      return AckStatus.STALE
    if append.sequence <= self.state.sequence:
      return AckStatus.OK
    if append.sequence > self.state.sequence + 1:
      return AckStatus.GAP
    self.state.apply(append.records, answers=answers)
    # Batches are removed from the front only, since the tail is long in a long
    # outage.
    while self.tail and self.tail[0].sequence <= append.written:
      self.tail.popleft()
    self.tail.append(append)
    return AckStatus.OK


@dataclasses.dataclass(eq=False, kw_only=True)
class Learner:
  """A copy that an owner sent before a change of the pair.

  `version` is the owner's when it sent the copy.  `copy_id` distinguishes
  copies of the same version.
  """

  sender: str
  version: roster.Version
  state: program.SlotState
  tail: list[messages.Append]
  copy_id: str = ''


async def wait_until_committed(holding: OwnedSlot, timeout: float) -> None:
  """Returns once all batches of a slot are committed or failed.

  Raises `not_committed` if that takes longer than `timeout` seconds.
  """
  waiting = [ticket.durability for ticket in holding.tickets]
  if waiting:
    await asyncio.wait(waiting, timeout=timeout)
  if any(not ticket.durability.done() for ticket in holding.tickets):
    raise make_not_committed_error(
      f'Slot {holding.number} has records that are not committed yet.',
      retry_after=1.0,
    )


def increment_claim(version: roster.Version, claimer: str) -> roster.Version:
  """Returns the version under which a daemon claims a slot."""
  return roster.Version(version.epoch, version.claim + 1, claimer)


def make_not_owner_error(message: str) -> errors.WoadrunError:
  """Returns the error that makes a peer look up the owner again."""
  return errors.WoadrunError(errors.Code.NOT_OWNER, message, retry_after=0.1)


def make_not_committed_error(
  message: str, *, retry_after: float
) -> errors.WoadrunError:
  """Returns the error for a call whose record is not stored elsewhere."""
  return errors.WoadrunError(
    errors.Code.NOT_COMMITTED, message, retry_after=retry_after
  )
