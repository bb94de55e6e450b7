"""Messages between daemons about turns of programs and the row store.

Each message is the msgpack body of a POST to `/peer/...`; its docstring names
the answer.
"""

from __future__ import annotations

import msgspec


class Turn(msgspec.Struct, frozen=True, kw_only=True):
  """One finished turn, as stored and as sent between daemons.

  `line` lists the ids of the preceding turns, oldest first.  `input` is the
  turn's input; `output` is the data of each event, each followed by a line
  feed.  `tokens` is the number of tokens sent to the caller, `instance` the
  instance that ran the turn.  `ended_at` is Unix time in seconds; the turn can
  be continued for `retention` seconds.  The turn and its line are kept until
  `expires_at`, Unix time, and are not continued after it; it is 0 in turns that
  were written before the field existed.  `extends_line` tells that the turns of
  the line were kept for a shorter time before.
  """

  request: str
  program: str
  line: tuple[str, ...] = ()
  input: bytes = b''
  output: bytes = b''
  tokens: int = 0
  instance: str = ''
  ended_at: float = 0.0
  retention: float = 60.0
  expires_at: float = 0.0
  extends_line: bool = False

  @property
  def kept_until(self) -> float:
    """Until when the turn and its line are kept, in Unix time."""
    return self.expires_at or self.ended_at + self.retention


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
  """A part of a prompt, possibly shared by other prompts, and its tokens."""

  id: str
  tokens: int


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
  """What the owner of a program needs to decide whether the program may begin.

  The turn is for `service`; `kind` and `priority` are those of its route,
  `weight` is the share of its team against other teams.  `seconds_left` is the
  time until the program should end, None if it has no such time, and
  `turn_seconds` the time until the turn's deadline.  `is_first` says that the
  turn does not continue from another one, and that no other member has decided
  about the program while it handled this turn.
  """

  service: str
  kind: str
  team: str = ''
  weight: float = 1.0
  priority: int = 0
  seconds_left: float | None = None
  turn_seconds: float = 0.0
  is_first: bool = True


class OpenTurn(msgspec.Struct, frozen=True, kw_only=True):
  """Asks the owner of a program to admit a turn and reserve its tokens.

  Answered by `OpenedTurn`.  `parent` is the preceding turn, empty for none.
  `most` is the maximum number of tokens that the turn may generate and `budget`
  that of all turns of the program, None for no limit.  `parts` are the parts of
  the turn's prompt, in order.

  `is_away` is set when the program's home domain is unreachable: the receiver,
  a member of another domain, then admits the turn itself.  `is_brief` is set
  when the sender already has the history, which the answer then omits.  Without
  `keeps_history` the turn has no parent although it need not be the first of
  its program.  Without `begins` the receiver does not create a program that is
  not known.  `admission` is set if a program may only begin when its service
  has room for it.  `arrival` identifies one arrival of the request at a daemon,
  so that two copies of a request differ in it; it is empty if not known.
  """

  program: str
  request: str
  parent: str = ''
  most: int = 0
  budget: int | None = None
  is_away: bool = False
  is_brief: bool = False
  keeps_history: bool = True
  begins: bool = True
  parts: tuple[PromptPart, ...] = ()
  admission: AdmissionRequest | None = None
  arrival: str = ''


class OpenedTurn(msgspec.Struct, frozen=True, kw_only=True):
  """Admits a turn, or names the domain that can.

  `line` lists the ids of the preceding turns, oldest first; `history` is their
  input and output, and `instance` ran the last of them.  They are kept until
  `kept_until`, in Unix time.  If `home` is set, the turn was not admitted, only
  a daemon of that domain can admit it, and the history is present only with
  `has_history`.  `cached_by_instance` estimates how many tokens of the prompt
  each instance still has cached.
  """

  line: tuple[str, ...] = ()
  history: bytes = b''
  instance: str = ''
  kept_until: float = 0.0
  home: str = ''
  has_history: bool = False
  cached_by_instance: dict[str, int] = {}


class CloseTurn(msgspec.Struct, frozen=True, kw_only=True):
  """Reports the end of a turn to the owner of its program.

  Answered by `Closed`.  `tokens` is the number of tokens sent to the caller.
  `turn` is set if the turn is complete and part of a history.  `instance` ran
  the turn and has `parts` cached, the parts of its prompt and of its output.
  `has_run` is false if the turn certainly has not run.
  """

  program: str
  request: str
  tokens: int
  instance: str = ''
  parts: tuple[PromptPart, ...] = ()
  turn: Turn | None = None
  has_run: bool = True


class Closed(msgspec.Struct, frozen=True):
  """The answer to messages that return nothing."""


class LedgerCopy(msgspec.Struct, frozen=True, kw_only=True):
  """A program's budget as its owner knows it, with what is not stored yet.

  Answered by `KnownProgram`.  `given` has the tokens of ended turns that the
  row in the store does not count yet, `reserved` those reserved for running
  turns, both by request.  `saved_settled`, `saved_reserved`, `saved_recent` and
  `version` are the content and version of the row when it was last read or
  written.  `is_behind` tells that the store lacks changes that do not follow
  from stored turns.
  """

  program: str
  home: str
  given: dict[str, int]
  reserved: dict[str, int]
  saved_settled: int
  saved_reserved: dict[str, int]
  saved_recent: tuple[str, ...]
  is_behind: bool
  version: int
  turns: tuple[Turn, ...] = ()


class ProgramQuery(msgspec.Struct, frozen=True, kw_only=True):
  """Asks a member for what it knows of a program and the store lacks.

  Answered by `KnownProgram`.
  """

  program: str


class KnownProgram(msgspec.Struct, frozen=True, kw_only=True):
  """The member's copy of a program, None if it has nothing to add."""

  copy: LedgerCopy | None = None


class StoreRow(msgspec.Struct, frozen=True, kw_only=True):
  """A row as sent between daemons; with `is_packed` its value is compressed."""

  table: str
  part: str
  name: str
  value: bytes = b''
  version: int = 0
  is_removed: bool = False
  is_packed: bool = False


class StoreChange(msgspec.Struct, frozen=True, kw_only=True):
  """A transaction to be relayed for a peer that cannot reach the store.

  Answered by `StorePage`.  `conditions` have the versions that the rows must
  have.
  """

  writes: tuple[StoreRow, ...] = ()
  removes: tuple[StoreRow, ...] = ()
  conditions: tuple[StoreRow, ...] = ()


class StoreRead(msgspec.Struct, frozen=True, kw_only=True):
  """A read of a range of rows to be relayed to the store.

  Answered by `StorePage`.  The range starts at the name `first` and excludes
  `end`.
  """

  table: str
  part: str
  first: str = ''
  end: str = ''


class StoreFollow(msgspec.Struct, frozen=True, kw_only=True):
  """A read of a table's changes after a version to be relayed to the store.

  Answered by `StorePage`, after at most `wait` seconds if there are no changes.
  """

  table: str
  after: int
  wait: float


class StorePage(msgspec.Struct, frozen=True, kw_only=True):
  """The store's answer to a relayed request.

  `is_done` tells whether a transaction was applied, `is_cut` that more rows
  follow, and `is_history_gone` that the store no longer has the changes asked
  for.  `clock` is the store's clock in seconds, None if unknown.
  """

  rows: tuple[StoreRow, ...] = ()
  clock: float | None = None
  version: int = 0
  is_cut: bool = False
  is_done: bool = True
  is_history_gone: bool = False


class FeedQuery(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for the changes of a table; answered by `FeedCopy`.

  `after` is the version up to which the sender has the table, None if it has
  nothing.
  """

  table: str
  after: int | None = None


class FeedCopy(msgspec.Struct, frozen=True, kw_only=True):
  """The changes of a table up to `version`, None if the peer has no rows.

  With `is_list`, `rows` are all rows of the table.  `regained` is the number of
  seconds since the peer regained contact with the store, None if it never lost
  it; `is_lost` tells that it has no contact now.  `confirmed` is the time on
  the store's clock at which the peer's table was known to be current.  `clock`
  gives the lower and upper bound of the store's clock at the time of the
  answer.  Both are in seconds, and None if unknown.
  """

  rows: tuple[StoreRow, ...] = ()
  version: int | None = None
  confirmed: float | None = None
  clock: tuple[float, float] | None = None
  is_list: bool = False
  regained: float | None = None
  is_lost: bool = False
