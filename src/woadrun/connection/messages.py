"""Messages between daemons about slots, upstreams, limits and the table.

Each message is the JSON body of a POST to `/peer/...`; its docstring names the
answer.  Instead of the answer a peer may return an error, with an HTTP status
other than 200.  Records and rosters are encoded as they are stored.

Terms:
  table: The operators' table of limits and weights, unless the table service is
    named, which also stores the rosters.
  roster: The members of a failure domain (domain), and the pair of each slot.
  slot: A numbered part of a domain's programs.  For an upstream, a call that it
    may run concurrently.
  pair: The owner of a slot, which serves it, and its standby, which has a copy.
  epoch: The roster version at which the pair of a slot last changed.
  claim: A daemon's decision to serve a slot without a change of the roster,
    while the table service is unavailable; numbered within the epoch.
  keeper: The daemon that coordinates an upstream's queue or a row's limits.
  holder: The process to which a keeper granted permits or lent places.
"""

from __future__ import annotations

import msgspec

from woadrun.version import program
from woadrun.version import roster
from woadrun.version import rows


class Done(msgspec.Struct, frozen=True):
  """The answer to messages that return nothing."""


class UpstreamLoad(msgspec.Struct, frozen=True, kw_only=True):
  """The load of an upstream, as known to the keeper of its queue.

  `running` and `waiting` count calls.  `slots` is the number of calls that the
  upstream may run now, lower than configured while it fails.  `seconds` is the
  moving average of the duration of its successful calls.
  """

  name: str
  running: int
  waiting: int
  slots: int
  seconds: float


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """Reports the state of a daemon; answered by the peer's own `Heartbeat`.

  `incarnation` identifies the process at the address `sender`.  The versions
  are those of its domain's roster and of its table.  `leaving` is set during a
  planned stop.  `suspects` are the members whose heartbeats the sender itself
  misses, `claims` the slots that it serves although the roster does not say so.
  `loads` covers the upstreams whose queues it keeps.  `leaving_vms` are the
  addresses of the VMs that the platform is about to remove.
  """

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


class LivenessQuery(msgspec.Struct, frozen=True, kw_only=True):
  """Asks whether the peer heard the daemon `address`.

  Answered by `LivenessAnswer`.
  """

  address: str


class LivenessAnswer(msgspec.Struct, frozen=True, kw_only=True):
  """Tells whether the peer recently heard the daemon of the `LivenessQuery`.

  `roster_version` is that of the peer's roster.
  """

  is_heard: bool
  roster_version: int


class RosterQuery(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for the roster of a failure domain; answered by `RosterAnswer`."""

  domain: str


class EditsQuery(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for the edits of the table after the version `after`.

  Answered by `Edits`.
  """

  after: int


class Edits(msgspec.Struct, frozen=True, kw_only=True):
  """The edits of the table up to `version`.

  `edits` are those after the version asked for.  If the peer no longer has all
  of them, `snapshot` holds all rows at `version` instead.
  """

  version: int
  edits: list[rows.Edit] = []
  snapshot: list[dict[str, object]] | None = None


class Append(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """One batch of a slot's records, sent by its owner to its standby.

  `epoch`, `claim` and `claimer` form the owner's `roster.Version`.  `sequence`
  numbers the slot's batches.  The platform has stored the batches up to the
  sequence number `written`.
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
    """Returns the version of the slot under which its owner wrote the batch."""
    return roster.Version(self.epoch, self.claim, self.claimer)


class Replicate(msgspec.Struct, frozen=True, kw_only=True):
  """Batches of several slots; answered by `Replicated`."""

  sender: str
  appends: list[Append]


class Group(msgspec.Struct, frozen=True, kw_only=True):
  """Batches that the receiver writes to the object store for the sender.

  `appends` is a JSON array of `Append`.  Answered by `Done` once they are
  stored.  `is_hurried` asks the receiver not to wait for its full write
  interval.
  """

  appends: msgspec.Raw
  is_hurried: bool = False


class Ack(msgspec.Struct, frozen=True, kw_only=True):
  """The result of a batch at a standby.

  `verdict` is `ok` if the standby has the batch, `gap` if it lacks an earlier
  one or has no copy of the slot, and `stale` if it no longer accepts batches of
  the version under which the batch was written.
  """

  slot: int
  sequence: int
  verdict: str


class Replicated(msgspec.Struct, frozen=True, kw_only=True):
  """The result of each batch, in the order of `Replicate`."""

  acks: list[Ack]


class Sync(msgspec.Struct, frozen=True, kw_only=True):
  """The whole state of a slot, sent to a daemon that is to be its standby.

  Answered by `Done`, or refused with `stale_epoch` if the receiver would not
  use the copy.  `version` is that under which the sender holds the slot; `tail`
  lists the batches within the state that the platform may not have stored yet.
  `copy_id` tells apart several copies of the same version: a delayed request to
  drop one copy (the same message with an empty state, to `/peer/sync/forget`)
  leaves later copies in place.
  """

  sender: str
  slot: int
  version: roster.Version
  state: program.SlotState
  tail: list[Append] = []
  copy_id: str = ''


class Copies(msgspec.Struct, frozen=True, kw_only=True):
  """Slots, to find out which of them a member has a copy of.

  As a request, asks which of these slots a member serves without the roster or
  has a current copy of; the answer lists those.
  """

  slots: list[int]


class Offer(msgspec.Struct, frozen=True, kw_only=True):
  """Slots, with their versions, that an owner offers to their standby.

  Sent during a planned stop while the table service is unavailable.  The answer
  is an `Offer` of the slots that the standby serves from now on, with the
  versions under which it claims them.
  """

  sender: str
  version_by_slot: dict[int, roster.Version]


class Handover(msgspec.Struct, frozen=True, kw_only=True):
  """Calls that the sender will finish although it gives their slots away.

  Each of `requests` is a slot number, program id and request id; answered by
  `Done`.  Only the process `incarnation` can finish them: a restarted process
  at the same address does not know them.
  """

  sender: str
  incarnation: str
  requests: list[tuple[int, str, str]]


class Requests(msgspec.Struct, frozen=True, kw_only=True):
  """Calls, each as program id and request id.

  As a request, asks the sender of a `Handover` which of these calls it still
  executes; the answer lists those.
  """

  requests: list[tuple[str, str]]


class ReportOutcome(msgspec.Struct, frozen=True, kw_only=True):
  """The outcome of a call, sent to the slot's owner by an earlier owner.

  Answered by `OutcomeRecorded`.
  """

  slot: int
  record: program.Finished


class OutcomeRecorded(msgspec.Struct, frozen=True, kw_only=True):
  """Tells whether the call has the outcome sent.

  `has_outcome` is False if the call already had a different one.
  """

  has_outcome: bool = True


class Acquire(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for a permit for one call to an upstream; answered by `Granted`.

  Refused with `overloaded` when the wait is longer than `patience` seconds or
  expected to be.  `holder` names a process, not only its address: the permits
  of a process that died are released although another process runs at the same
  address.  `row` is the key of the call's table row and `weight` that row's
  weight in fair queueing.  `attained` is the service that the whole
  program has received, estimated from its tokens, and `cost` the expected
  duration of the call, both in seconds.
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
  """Confirms that a permit was granted."""

  permit: str


class Release(msgspec.Struct, frozen=True, kw_only=True):
  """Returns a permit and reports the outcome of its call; see `Releases`.

  `seconds` is the duration of the call, 0 to report no outcome; `is_ok` tells
  whether the call succeeded.
  """

  permit: str
  upstream: str
  seconds: float
  is_ok: bool


class Releases(msgspec.Struct, frozen=True, kw_only=True):
  """Returns several permits; answered by `Done`."""

  releases: list[Release]


class HeldPermits(msgspec.Struct, frozen=True, kw_only=True):
  """Reports all permits of the sender, by upstream.

  Answered by `Done`.  The receiver, which keeps the queues of these upstreams,
  releases the permits of `holder` that are not listed.  `held` has the permits
  that were granted, `waiting` those that were requested and whose grant has not
  arrived.  Earlier releases list both in `held`.
  """

  holder: str
  held: dict[str, list[str]]
  waiting: dict[str, list[str]] = {}


class Borrow(msgspec.Struct, frozen=True, kw_only=True):
  """Asks the keeper of a row's limits for concurrent places and for calls.

  A place allows one concurrent call, a call is a token of the rate limit.
  Answered by `Lent`, or refused with `limit_reached`.  `in_use` counts all
  places that the holder has, used or not; `is_more` asks for another one.
  `number` increases with each message of the holder about the row and so
  identifies the newest state; a message with 0 is never considered outdated.
  """

  holder: str
  row: str
  in_use: int
  is_more: bool
  number: int = 0


class Lent(msgspec.Struct, frozen=True, kw_only=True):
  """Grants places and calls to the holder.

  `places` is the number of places that the holder now has in total, `calls`
  the number of further calls that it may start.
  """

  places: int
  calls: int


class HeldPlaces(msgspec.Struct, frozen=True, kw_only=True):
  """Reports how many places the holder keeps of each row; answered by `Done`.

  `number` is as in `Borrow`.  The holder no longer waits for answers to
  messages with lower numbers.
  """

  holder: str
  places_by_row: dict[str, int]
  number: int = 0


class Programs(msgspec.Struct, frozen=True, kw_only=True):
  """Program ids.

  As a request, asks the owner of their slots which of these programs no longer
  exist; the answer lists those.
  """

  programs: list[str]


class RosterAnswer(msgspec.Struct, frozen=True, kw_only=True):
  """A domain's roster, None if the peer does not know it.

  Also sent unasked to announce a new roster, which is answered by `Done`.
  `claims` are the slots of the domain that daemons serve although the roster
  does not say so.
  """

  claims: dict[int, roster.Version] = {}
  roster: roster.Roster | None
