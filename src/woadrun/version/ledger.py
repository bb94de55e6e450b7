"""The token ledger of a program: settled tokens and reservations.

The row in the store and the owner's view may diverge while the store is
unavailable; `rebase` applies the owner's unsaved changes to a newer row.
"""

from __future__ import annotations

import msgspec

# Number of settled turns that a row lists by id beside its sums, to detect
# duplicates.  A short list suffices: if two daemons both save the turns of an
# outage, they do so within seconds of each other.
MAX_RECENT_TURNS = 64


class LedgerRow(msgspec.Struct, kw_only=True, omit_defaults=True):
  """The stored row of a program.

  `settled` and the values of `reserved`, by request, are in tokens.  `home` is
  the failure domain that serves the program while the store is unavailable.
  `away_most` limits the total that other domains may spend while they cannot
  reach the home.  `recent` lists turns that were settled without having been
  reserved in a row, newest last.  `is_split` says that the program may also
  have started in a domain that was unreachable, or before the daemons of this
  domain started.  `write` is the id of the last write, by which a writer
  recognizes its own write after a lost response; `written_at` is the Unix time
  of that write, in seconds.
  """

  home: str
  settled: int = 0
  reserved: dict[str, int] = {}
  away_most: int | None = None
  recent: tuple[str, ...] = ()
  is_split: bool = False
  write: str = ''
  written_at: float = 0.0


class Ledger:
  """The owner's view of the budget of one program.

  `saved` is the row as it was last read or written and `version` its version,
  0 if the row does not exist.  `given` holds the tokens of settled turns that
  the row does not include yet, `reserved` the tokens set aside for running
  turns.  Both are keyed by request, so that two views can be merged without
  counting a turn twice.
  """

  def __init__(self, *, saved: LedgerRow, version: int) -> None:
    self.saved = saved
    self.version = version
    self.home = saved.home
    self.given: dict[str, int] = {}
    self.reserved = dict(saved.reserved)
    self.away_most = saved.away_most
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
    """Whether there are changes that are not in the saved row."""
    return (
      bool(self.given)
      or self.reserved != self.saved.reserved
      or self.away_most != self.saved.away_most
    )

  @property
  def has_uncounted_turns(self) -> bool:
    """Whether a turn is counted here but is absent from the saved row.

    A turn that the row still has as reserved does not matter: the row counts
    its maximum, so no reader of the row overspends.
    """
    counted = self.saved.reserved
    return any(r not in counted for r in (*self.given, *self.reserved))

  def knows(self, request: str) -> bool:
    """Returns whether a turn is listed by id in this view or the saved row."""
    return (
      request in self.reserved
      or request in self.given
      or request in self.saved.recent
    )

  def can_reserve(self, tokens: int, *, most: float) -> bool:
    """Returns whether `tokens` more keep the total within `most` tokens."""
    return self.spent + tokens <= most

  def reserve(self, request: str, tokens: int) -> None:
    """Reserves tokens for a turn; repeated calls have no effect."""
    if request not in self.given:
      self.reserved.setdefault(request, tokens)

  def cancel_reservation(self, request: str) -> None:
    """Removes the reservation of a turn that this owner refuses.

    Unlike `settle`, this records no outcome: another owner may have reserved
    tokens for the same turn and must keep them.
    """
    self.reserved.pop(request, None)

  def settle(self, request: str, tokens: int) -> None:
    """Replaces the reservation of a turn by the tokens that it delivered."""
    if self.reserved.pop(request, None) is not None:
      self.given[request] = tokens

  # --- The row --------------------------------------------------------------

  def make_row(self, write: str, *, now: float = 0.0) -> LedgerRow:
    """Returns the row to save in the store, for a write with id `write`."""
    self._given_by_write[write] = frozenset(self.given)
    saved = self.saved
    unseen = (r for r in self.given if r not in saved.reserved)
    return LedgerRow(
      home=self.home,
      settled=self.settled,
      recent=(*saved.recent, *unseen)[-MAX_RECENT_TURNS:],
      reserved=dict(self.reserved),
      away_most=self.away_most,
      is_split=saved.is_split,
      write=write,
      written_at=now,
    )

  def note_saved(self, row: LedgerRow, version: int) -> None:
    """Records that the store has a row made by this ledger."""
    counted = self._given_by_write.get(row.write, frozenset())
    self._given_by_write.clear()
    self.given = {r: t for r, t in self.given.items() if r not in counted}
    self.saved = row
    self.version = version

  def rebase(self, row: LedgerRow, version: int) -> None:
    """Applies the changes since `saved` to a row of another writer."""
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
    # A limit that was set here and not saved yet is kept.  A limit that was
    # saved and is gone from the row has been removed by the home.
    is_unsaved = self.away_most != self.saved.away_most
    if row.away_most is not None or not is_unsaved:
      self.away_most = row.away_most
    self.saved = row
    self.version = version

  # --- Views of other daemons -----------------------------------------------

  def merge(self, other: Ledger) -> None:
    """Adds the turns that another view counts and this one does not.

    A side with an older row is first rebased onto the newer one.
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
