"""The messages between daemons.

Each is the JSON body of a POST to `/peer/...`; the answer is named beside
the message.  Records and rosters travel as they are stored.
"""

from __future__ import annotations

import msgspec

from woadrun.version import program
from woadrun.version import roster
from woadrun.version import rows


class Done(msgspec.Struct, frozen=True):
  """The answer of messages that only have to arrive."""


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True):
  """What the dispatcher of an upstream knows of it.

  `seconds` is the learned time of a call in the upstream; `slots` is how
  many calls it may run now, less than configured while it is unwell.
  """

  name: str
  running: int
  waiting: int
  slots: int
  seconds: float


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """What a daemon says of itself; the answer is the peer's own."""

  sender: str
  domain: str
  incarnation: str
  roster_version: int
  table_version: int
  leaving: bool = False
  suspects: list[str] = []
  claims: dict[int, roster.Version] = {}
  loads: list[UpstreamLoad] = []
  leaving_vms: list[str] = []


class AskAlive(msgspec.Struct, frozen=True, kw_only=True):
  """Asks whether the peer hears `address`; answered by `Alive`."""

  address: str


class Alive(msgspec.Struct, frozen=True, kw_only=True):
  """Tells whether the peer heard a daemon lately, and its own roster."""

  is_heard: bool
  roster_version: int


class AskRoster(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for a domain's roster as the peer knows it."""

  domain: str


class AskEdits(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for the table after a version; answered by `Edits`."""

  after: int


class Edits(msgspec.Struct, frozen=True, kw_only=True):
  """The edits that follow, or the whole table where some are not kept."""

  version: int
  edits: list[rows.Edit] = []
  snapshot: list[dict[str, object]] | None = None


class Append(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """One batch of records of a slot, for its standby.

  `claim` and `claimer` go with the epoch as in `roster.Version`.  The
  platform has the slot's batches up to `written`.
  """

  slot: int
  epoch: int
  sequence: int
  records: list[program.Record]
  claim: int = 0
  claimer: str = ''
  written: int = 0

  @property
  def version(self) -> roster.Version:
    """Returns the version of the slot that wrote the batch."""
    return roster.Version(self.epoch, self.claim, self.claimer)


class Replicate(msgspec.Struct, frozen=True, kw_only=True):
  """Batches of several slots; answered by `Replicated`."""

  sender: str
  appends: list[Append]


class Group(msgspec.Struct, frozen=True, kw_only=True):
  """Batches for the object store, as JSON; answered by `Done` once kept."""

  appends: msgspec.Raw
  is_hurried: bool = False


class Ack(msgspec.Struct, frozen=True, kw_only=True):
  """A standby's word on a batch: `ok`, `gap` or `stale`."""

  slot: int
  sequence: int
  verdict: str


class Replicated(msgspec.Struct, frozen=True, kw_only=True):
  """The standby's word on each batch, in order."""

  acks: list[Ack]


class Sync(msgspec.Struct, frozen=True, kw_only=True):
  """The whole state of a slot, for a standby to be; answered by `Done`.

  `version` is that at which the sender holds the slot, `tail` the batches
  within the state that the platform may not have yet.  `copy_id` names one of
  several copies of the same version, so that a late request to drop it leaves
  those sent after it.
  """

  sender: str
  slot: int
  version: roster.Version
  state: program.SlotState
  tail: list[Append] = []
  copy_id: str = ''


class Copies(msgspec.Struct, frozen=True, kw_only=True):
  """Slots: asks which of them a member has a copy of, and answers so."""

  slots: list[int]


class Offer(msgspec.Struct, frozen=True, kw_only=True):
  """Slots, with their versions, that an owner leaves to their standby.

  Sent while the table is out; the answer names those that the standby
  serves from now on, with its own versions.
  """

  sender: str
  version_by_slot: dict[int, roster.Version]


class Handover(msgspec.Struct, frozen=True, kw_only=True):
  """Calls that the sender will finish although it gives their slot away.

  Only the process of this incarnation can: one that starts anew at the
  same address knows nothing of them.
  """

  sender: str
  incarnation: str
  requests: list[tuple[int, str, str]]


class Requests(msgspec.Struct, frozen=True, kw_only=True):
  """Calls, as program and request.

  Asks a giver which of them it still executes, and answers so.
  """

  requests: list[tuple[str, str]]


class Finish(msgspec.Struct, frozen=True, kw_only=True):
  """The outcome of a call that an earlier owner of the slot finished.

  Answered by `Recorded`.
  """

  slot: int
  record: program.Finished


class Recorded(msgspec.Struct, frozen=True, kw_only=True):
  """Tells whether the call has the outcome that was sent, or another one."""

  has_outcome: bool = True


class Acquire(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for a permit to use an upstream; answered by `Granted`.

  `holder` names one process, not only its address: the permits of one
  that died go back although another runs at the same address.
  `attained` is the service in seconds that the whole program has had,
  `cost` the seconds that the call is expected to take.
  """

  holder: str
  permit: str
  upstream: str
  row: str
  weight: float
  attained: float
  cost: float
  patience: float


class Granted(msgspec.Struct, frozen=True, kw_only=True):
  """A permit was given."""

  permit: str


class Release(msgspec.Struct, frozen=True, kw_only=True):
  """Gives a permit back with what became of the call."""

  permit: str
  upstream: str
  seconds: float
  is_ok: bool


class Releases(msgspec.Struct, frozen=True, kw_only=True):
  """Gives several permits back."""

  releases: list[Release]


class Hold(msgspec.Struct, frozen=True, kw_only=True):
  """Tells a dispatcher all permits that the sender holds, by upstream."""

  holder: str
  held: dict[str, list[str]]


class Borrow(msgspec.Struct, frozen=True, kw_only=True):
  """Asks the keeper of a row's limits for places and calls.

  `in_use` counts the places that the holder has, `is_more` tells whether
  it needs another one; answered by `Lent`.  `number` rises with each message
  of the holder about the row: it tells which one has its newer state.
  """

  holder: str
  row: str
  in_use: int
  is_more: bool
  number: int = 0


class Lent(msgspec.Struct, frozen=True, kw_only=True):
  """The places that the holder has now, and how many more calls."""

  places: int
  calls: int


class Holds(msgspec.Struct, frozen=True, kw_only=True):
  """Tells the keeper how many places the holder keeps of each row.

  `number` is as in `Borrow`.  No answer to a lower one is waited for.
  """

  holder: str
  places_by_row: dict[str, int]
  number: int = 0


class Programs(msgspec.Struct, frozen=True, kw_only=True):
  """Programs by id: asks which are gone, and answers which of them are."""

  programs: list[str]


class RosterAnswer(msgspec.Struct, frozen=True, kw_only=True):
  """A domain's roster, or none where the peer does not know it.

  `claims` are the slots that daemons serve without the table's word.
  """

  claims: dict[int, roster.Version] = {}
  roster: roster.Roster | None
