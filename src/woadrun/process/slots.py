"""The slots that a daemon owns, and its copies of slots of other owners.

A slot is a share of a failure domain's programs.  Its owner changes its state
by batches of records and sends each batch to the slot's standby, which takes
over if the owner fails.  The roster, a row of the table service, names this
pair for each slot; `epoch` is the roster version at which the pair last
changed.  A daemon that serves a slot while the table service is unavailable
does so by a claim within the epoch.  The platform's object store gets the
batches later.

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

  `OK` confirms that the standby has the batch.  `GAP` says that batches before
  it are missing and asks the owner for a copy of the slot.  `STALE` rejects a
  batch of a version that the standby no longer follows: its owner was, or is
  being, replaced.
  """

  OK = 'ok'
  GAP = 'gap'
  STALE = 'stale'


class Durability(enum.IntEnum):
  """Where a batch is stored besides its owner, weakest guarantee first."""

  NOWHERE = 0
  # A standby that is not of the pair in the roster, chosen while the table
  # service was unavailable.  It cannot rule out that another daemon serves the
  # slot.
  HELPER = 1
  PLATFORM = 2
  STANDBY = 3


@dataclasses.dataclass(eq=False, kw_only=True)
class PendingBatch:
  """A batch that waits until another daemon or the platform stores it.

  `durability` is completed with the place where the batch is stored, or with
  the error for which it cannot be committed.
  """

  append: messages.Append
  durability: asyncio.Future[Durability]

  def settle(self, held: Durability) -> None:
    """Completes `durability` with the place where the batch is stored.

    Has no effect if it is completed already.
    """
    if not self.durability.done():
      self.durability.set_result(held)

  def fail(self, error: errors.WoadrunError) -> None:
    """Completes `durability` with the error for which it cannot be committed.

    Has no effect if it is completed already.
    """
    if not self.durability.done():
      self.durability.set_exception(error)
      # Marks the exception as retrieved: it is not an error if no caller waits
      # for the batch any more.
      self.durability.exception()


@dataclasses.dataclass(eq=False, kw_only=True)
class OwnedSlot:
  """A slot that this daemon owns.

  `standby` is its address, empty for none.  While `writable` is not set, the
  slot accepts no appends because its state is being copied or the slot is being
  transferred.  `tickets` are the batches that no other daemon and not the
  platform is known to store yet.  `is_claimed` is set if this daemon took the
  slot over, or continues without its standby, while the table service is
  unavailable; `version` then has a higher claim than before.  `copied_to` is
  the future standby and the sequence number of a copy sent before a change of
  the pair, the address empty for none.  `is_resyncing` is set while the standby
  is sent a copy because it lacks batches.  `confirmed_at` is the monotonic time
  at which an acknowledgement last showed that this daemon owns the slot.
  `checkpoint_sequence` is the sequence number of the last checkpoint, -1 if
  there is none.
  """

  number: int
  version: roster.Version
  standby: str
  state: program.SlotState
  writable: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
  tickets: list[PendingBatch] = dataclasses.field(default_factory=list)
  copied_to: tuple[str, int] = ('', 0)
  is_claimed: bool = False
  is_resyncing: bool = False
  confirmed_at: float = float('-inf')
  checkpoint_sequence: int = -1

  def append(
    self, records: list[program.Record], *, answers: int, written: int = 0
  ) -> PendingBatch:
    """Applies a batch to the local state and returns it as pending.

    Each program keeps its newest `answers` answers.  The platform has stored
    the batches up to the sequence number `written`.  Raises `not_owner` while
    the slot is not writable.
    """
    if not self.writable.is_set():
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
    """The roster version at which the pair last changed."""
    return self.version.epoch

  def claim(self, claimer: str) -> None:
    """Claims the slot: serves it without a new roster and without a standby.

    The caller passes its own address as `claimer`.
    """
    self.version = increment_claim(self.version, claimer)
    self.standby = ''
    self.is_claimed = True

  def settle(self, sequence: int, held: Durability) -> None:
    """Completes all pending batches up to a sequence number.

    `held` is the place where they are stored.  The acknowledgement also
    confirms that this daemon owns the slot.
    """
    self.confirmed_at = time.monotonic()
    for ticket in self.tickets:
      if ticket.append.sequence <= sequence:
        ticket.settle(held)
    self.tickets = [t for t in self.tickets if not t.durability.done()]

  def fail(self, error: errors.WoadrunError) -> None:
    """Fails all batches that are still pending."""
    for ticket in self.tickets:
      ticket.fail(error)
    self.tickets = []


@dataclasses.dataclass(eq=False, kw_only=True)
class Replica:
  """A standby's copy of a slot.

  A daemon fences its replica before it takes over the slot.  A fenced replica
  acknowledges no further batches, so that an owner that was only frozen cannot
  commit anything when it resumes.  `tail` holds the batches that the platform
  may not have yet.  This daemon writes them if the owner dies.
  """

  owner: str
  version: roster.Version
  state: program.SlotState
  tail: collections.deque[messages.Append] = dataclasses.field(
    default_factory=collections.deque
  )
  is_fenced: bool = False

  def receive(self, append: messages.Append, *, answers: int) -> AckStatus:
    """Applies a batch if it is the next one; returns the response to it.

    Returns `OK` for a batch that was applied, now or before.  Each program
    keeps its newest `answers` answers.
    """
    if self.is_fenced or append.version != self.version:
      return AckStatus.STALE
    if append.sequence <= self.state.sequence:
      return AckStatus.OK
    if append.sequence > self.state.sequence + 1:
      return AckStatus.GAP
    self.state.apply(append.records, answers=answers)
    # Only the front is examined, not the whole tail, which is long in a long
    # outage.
    while self.tail and self.tail[0].sequence <= append.written:
      self.tail.popleft()
    self.tail.append(append)
    return AckStatus.OK


@dataclasses.dataclass(eq=False, kw_only=True)
class Learner:
  """A copy that an owner sent before a change of the pair.

  The change gives this daemon a place in the pair, so that it has the state
  from the start.  `sender` is the owner and `version` the owner's when it sent
  the copy.  `tail` holds the batches that the platform may not have yet.
  `copy_id` distinguishes copies of the same version.
  """

  sender: str
  version: roster.Version
  state: program.SlotState
  tail: list[messages.Append]
  copy_id: str = ''


async def wait_until_committed(owned_slot: OwnedSlot, timeout: float) -> None:
  """Returns once no batch of a slot is pending any more.

  That includes batches that failed or that are stored nowhere else.  Raises
  `not_committed` if a batch is still pending after `timeout` seconds, or if one
  was appended meanwhile and is pending.
  """
  waiting = [ticket.durability for ticket in owned_slot.tickets]
  if waiting:
    await asyncio.wait(waiting, timeout=timeout)
  if any(not ticket.durability.done() for ticket in owned_slot.tickets):
    raise make_not_committed_error(
      f'Slot {owned_slot.number} has records that are not committed yet.',
      retry_after=1.0,
    )


def increment_claim(version: roster.Version, claimer: str) -> roster.Version:
  """Returns the version under which a daemon claims a slot.

  It is of the same epoch and newer than `version`.
  """
  return roster.Version(version.epoch, version.claim + 1, claimer)


def make_not_owner_error(message: str) -> errors.WoadrunError:
  """Returns the error that makes a peer look up the owner again."""
  return errors.WoadrunError(errors.Code.NOT_OWNER, message, retry_after=0.1)


def make_not_committed_error(
  message: str, *, retry_after: float
) -> errors.WoadrunError:
  """Returns the error for a call whose record only the owner has stored."""
  return errors.WoadrunError(
    errors.Code.NOT_COMMITTED, message, retry_after=retry_after
  )
