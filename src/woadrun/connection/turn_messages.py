"""Messages between daemons about turns of programs and the row store.

Each is the body of a POST to `/peer/...`, as msgpack; the answer is named
beside the message.
"""

from __future__ import annotations

import msgspec


class Turn(msgspec.Struct, frozen=True, kw_only=True):
  """One finished turn, as it is kept and as it travels.

  `line` names the turns before it, oldest first; `output` is the data of
  each event and a line feed after it; `tokens` is what the caller was
  given; `instance` ran it.  `ended_at` is in seconds of the time of day,
  `retention` in seconds.
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


class Part(msgspec.Struct, frozen=True, array_like=True):
  """A part of a prompt, which other prompts may share, with its tokens."""

  id: str
  tokens: int


class OpenTurn(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for leave to run a turn; answered by `OpenedTurn`.

  `most` is what the turn may generate, `budget` what all turns of the
  program may, both in tokens.  With `is_away` the program's own domain
  cannot be reached.  With `is_brief` the asker has the history already.
  Without `keeps_history` the turn names none before it: any of them may be
  the first of its program, or a later one.  Without `begins` a program that
  nobody knows is not begun there.  `parts` are those of its prompt,
  in order.
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
  parts: tuple[Part, ...] = ()


class OpenedTurn(msgspec.Struct, frozen=True, kw_only=True):
  """The turns before, oldest first.

  With `home` only that domain can give leave; the turns are there as well
  where `has_history` says so.  `cached_by_instance` tells how much of the
  prompt instances should still hold, in tokens.
  """

  line: tuple[str, ...] = ()
  history: bytes = b''
  instance: str = ''
  home: str = ''
  has_history: bool = False
  cached_by_instance: dict[str, int] = {}


class CloseTurn(msgspec.Struct, frozen=True, kw_only=True):
  """Tells how a turn ended; answered by `Closed`.

  `tokens` is what the caller was given.  `turn` is there when the answer
  is whole and belongs to a history; `is_saved` says that the row store has
  it.  With `is_away` the program's own domain cannot be reached, nor can the
  store.  `instance` ran it and holds `parts`, its prompt with what it made.
  """

  program: str
  request: str
  tokens: int
  instance: str = ''
  parts: tuple[Part, ...] = ()
  turn: Turn | None = None
  is_saved: bool = True
  is_away: bool = False


class Closed(msgspec.Struct, frozen=True):
  """The answer of messages that only have to arrive."""


class LedgerCopy(msgspec.Struct, frozen=True, kw_only=True):
  """A program's budget as its owner sees it, and what is not stored yet.

  Answered by `KnownProgram`.  `saved_*` and `version` are what the row store
  had at last, `given` what turns were given since, in tokens by request.
  `is_behind` says that the store lacks something that no stored turn tells,
  `offline_known` is what other domains know to be spent while the store is out.
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
  is_split: bool = False
  offline_known: int | None = None
  turns: tuple[Turn, ...] = ()
  unsaved: tuple[str, ...] = ()


class AskProgram(msgspec.Struct, frozen=True, kw_only=True):
  """Asks what a member has of a program that the store lacks.

  Answered by `KnownProgram`.  With `is_far` the asker is of the program's home,
  and wants back what that told another domain.
  """

  program: str
  is_far: bool = False


class KnownProgram(msgspec.Struct, frozen=True, kw_only=True):
  """The copy of a program, where the member has what the asker may lack."""

  copy: LedgerCopy | None = None


class AskStored(msgspec.Struct, frozen=True, kw_only=True):
  """Asks a member for turns that it is the first to bring to the store.

  Answered by `StoredTurns`.
  """

  requests: tuple[str, ...]


class StoredTurns(msgspec.Struct, frozen=True, kw_only=True):
  """Turns that the store has, and those that this member will bring there.

  Those that are in neither the member does not know.
  """

  stored: tuple[str, ...] = ()
  pending: tuple[str, ...] = ()


class StoreRow(msgspec.Struct, frozen=True, kw_only=True):
  """A row, as peers hand it on; compressed with `is_packed`."""

  table: str
  part: str
  name: str
  value: bytes = b''
  version: int = 0
  is_removed: bool = False
  is_packed: bool = False


class StoreChange(msgspec.Struct, frozen=True, kw_only=True):
  """A transaction for a peer that the store turns away.

  Answered by `StorePage`; `conditions` have the version wanted.
  """

  writes: tuple[StoreRow, ...] = ()
  removes: tuple[StoreRow, ...] = ()
  conditions: tuple[StoreRow, ...] = ()


class StoreRead(msgspec.Struct, frozen=True, kw_only=True):
  """A range of rows for such a peer; answered by `StorePage`."""

  table: str
  part: str
  first: str = ''
  end: str = ''


class StoreFollow(msgspec.Struct, frozen=True, kw_only=True):
  """Changes for such a peer; answered by `StorePage`."""

  table: str
  after: int
  wait: float


class StorePage(msgspec.Struct, frozen=True, kw_only=True):
  """What the store answered: rows, and whether a change was done.

  `clock` is that of the store, in seconds.
  """

  rows: tuple[StoreRow, ...] = ()
  clock: float | None = None
  version: int = 0
  is_cut: bool = False
  is_done: bool = True
  is_history_gone: bool = False


class AskFeed(msgspec.Struct, frozen=True, kw_only=True):
  """Asks for the changes of a table; answered by `FeedCopy`.

  `after` is the version up to which they are known, None for none.
  """

  table: str
  after: int | None = None


class FeedCopy(msgspec.Struct, frozen=True, kw_only=True):
  """Changes of a table up to a version, which is None where none is known.

  With `is_list` these are all rows.  `regained` tells how long ago contact
  with the store was regained, in seconds, `is_lost` that there is none now.
  `confirmed` is the reading of the store's clock up to which no newer change
  was there, `clock` bounds that clock as the answer is made; both are in
  seconds and None where nothing is known.
  """

  rows: tuple[StoreRow, ...] = ()
  version: int | None = None
  confirmed: float | None = None
  clock: tuple[float, float] | None = None
  is_list: bool = False
  regained: float | None = None
  is_lost: bool = False
