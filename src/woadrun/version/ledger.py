"""The token ledger of a program: settled tokens and reservations.

A program is a sequence of requests, its turns, that share a token budget.  The
program's owner, one of the daemons, reserves the maximum output of a turn
before the turn runs, and settles it with the tokens delivered when the turn
ends.  The program's home is the failure domain where it started.

The ledger is stored as a row.  Reservations are in the row before their turns
run; settled turns are added to it later.  `rebase` applies the owner's unsaved
changes to a row that another daemon wrote.
"""

from __future__ import annotations

import msgspec

# Maximum length of `LedgerRow.recent`, by which a daemon recognizes turns that
# another daemon has already added to `LedgerRow.settled`.  A short list
# suffices: two daemons that both save the end of a turn do so within seconds.
MAX_RECENT_TURNS = 64


class LedgerRow(msgspec.Struct, kw_only=True, omit_defaults=True):
  """The stored row of a program.

  `home` is the failure domain whose members decide for the program.  `settled`
  is the sum of the tokens of all settled turns; `reserved` maps the request id
  of each running turn to its reserved tokens.
  `recent` lists the request ids of turns that were settled although no stored
  row had a reservation for them, newest last.  `write` is the id of the last
  write, by which a writer recognizes its own write after a lost response;
  `written_at` is the Unix time of that write, in seconds.
  """

  home: str
  settled: int = 0
  reserved: dict[str, int] = {}
  recent: tuple[str, ...] = ()
  write: str = ''
  written_at: float = 0.0


class Ledger:
  """A daemon's view of the budget of one program.

  `saved` is the row as it was last read or written and `version` its version,
  0 if the row does not exist.  `given` holds the tokens of settled turns that
  the row does not count as settled yet, `reserved` the tokens reserved for
  running turns.  Both are keyed by request id, so that two views can be merged
  without counting a turn twice.
  """

  def __init__(self, *, saved: LedgerRow, version: int) -> None:
    self.saved = saved
    self.version = version
    self.home = saved.home
    self.given: dict[str, int] = {}
    self.reserved = dict(saved.reserved)
    self._given_by_write: dict[str, frozenset[str]] = {}

  @property
  def settled(self) -> int:
    """The tokens delivered by turns that have ended."""
    return self.saved.settled + sum(self.given.values())

  @property
  def spent(self) -> int:
    """The settled tokens and those reserved for running turns."""
    return self.settled + sum(self.reserved.values())

  @property
  def is_dirty(self) -> bool:
    """Whether settled turns or reservations are not saved yet."""
    return bool(self.given) or self.reserved != self.saved.reserved

  def knows(self, request: str) -> bool:
    """Returns whether a turn is listed by id in this view or the saved row.

    The result is False for turns that were settled in the row earlier, except
    for those in its `recent`.
    """
    return (
      request in self.reserved
      or request in self.given
      or request in self.saved.recent
    )

  def can_reserve(self, tokens: int, *, most: float) -> bool:
    """Returns whether `tokens` more keep the spent tokens within `most`.

    `most` is infinite for a program without a limit.
    """
    return self.spent + tokens <= most

  def reserve(self, request: str, tokens: int) -> None:
    """Reserves tokens for a turn.

    Does nothing if the turn has a reservation or is settled but not saved yet.
    """
    if request not in self.given:
      self.reserved.setdefault(request, tokens)

  def cancel_reservation(self, request: str) -> None:
    """Removes the reservation of a turn that this owner refuses after all.

    Unlike `settle` with 0 tokens, this does not record that the turn ended:
    another owner may have reserved tokens for the same turn and must keep them.
    Does nothing if the turn has no reservation.
    """
    self.reserved.pop(request, None)

  def settle(self, request: str, tokens: int) -> None:
    """Replaces the reservation of a turn by the tokens that it delivered.

    Does nothing if the turn has no reservation.
    """
    if self.reserved.pop(request, None) is not None:
      self.given[request] = tokens

  # --- The row --------------------------------------------------------------

  def make_row(self, write: str, *, now: float = 0.0) -> LedgerRow:
    """Returns the row to save in the store, for a write with id `write`.

    Remembers which settled turns the row includes, for `note_saved`.  `now` is
    the Unix time in seconds.
    """
    self._given_by_write[write] = frozenset(self.given)
    saved = self.saved
    unreserved = (r for r in self.given if r not in saved.reserved)
    return LedgerRow(
      home=self.home,
      settled=self.settled,
      recent=(*saved.recent, *unreserved)[-MAX_RECENT_TURNS:],
      reserved=dict(self.reserved),
      write=write,
      written_at=now,
    )

  def note_saved(self, row: LedgerRow, version: int) -> None:
    """Records that the store has a row that `make_row` returned.

    Turns that were settled after the row was made remain in `given`.  The row
    need not be the last one made: an earlier write may have succeeded although
    its response was lost.
    """
    counted = self._given_by_write.get(row.write, frozenset())
    self._given_by_write.clear()
    self.given = {r: t for r, t in self.given.items() if r not in counted}
    self.saved = row
    self.version = version

  def rebase(self, row: LedgerRow, version: int) -> None:
    """Applies the changes since `saved` to a row of another writer.

    Drops settled turns that the other writer has settled too.
    """
    before = self.saved.reserved
    # Another writer has settled the turns whose reservation is gone from the
    # row, and those that the row lists as settled.
    counted = (before.keys() - row.reserved.keys()) | set(row.recent)
    self.given = {r: t for r, t in self.given.items() if r not in counted}
    added = {
      request: tokens
      for request, tokens in self.reserved.items()
      if request not in before and request not in counted
    }
    removed = before.keys() - self.reserved.keys()
    kept = {
      request: tokens
      for request, tokens in row.reserved.items()
      if request not in removed and request not in self.given
    }
    self.reserved = {**kept, **added}
    self.home = row.home
    self.saved = row
    self.version = version

  # --- Views of other daemons -----------------------------------------------

  def merge(self, other: Ledger) -> None:
    """Adds the turns that another view counts and this one does not.

    The view with the older row is first rebased onto the newer row, so the call
    may change `other`.  A turn that `other` has settled loses its reservation.
    """
    if other.version > self.version:
      self.rebase(other.saved, other.version)
    elif other.version < self.version:
      other.rebase(self.saved, self.version)
    for request, tokens in other.given.items():
      self.reserved.pop(request, None)
      self.given.setdefault(request, tokens)
    for request, tokens in other.reserved.items():
      if request not in self.given:
        self.reserved.setdefault(request, tokens)
