"""A program's budget: what its turns were given and what is reserved.

The row in the store and the owner's own view may differ while the store is
out; `rebase` brings the owner's changes onto a newer row.
"""

from __future__ import annotations

import msgspec

# Turns that a row names beside its sums.  Two daemons bring the same turns of
# an outage to the store within seconds of each other, or not at all.
MOST_RECENT = 64


class LedgerRow(msgspec.Struct, kw_only=True, omit_defaults=True):
  """A program as it is stored.

  `settled` and the values of `reserved`, by request, are tokens.  `home` is
  the failure domain that serves the program while the store is out.
  `away_most` bounds what other domains may spend while they cannot reach
  it.  `recent` names turns that were settled without having been reserved in
  a row, the newest last.  `is_split` says that the program may have begun
  elsewhere too, out of sight, or before the daemons here started.  `write` is
  the id of the last change, by which a writer whose answer was lost knows its
  own; `written_at` is its time of day, in seconds.
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
  """The budget of one program, as its owner sees it.

  `saved` is the row as it was read or written last and `version` its
  version, 0 for one that is not there.  `given` has what turns were given
  and the row does not count yet, `reserved` what running turns may still be
  given, both in tokens by request: two views can so be brought together
  without counting a turn twice.
  """

  def __init__(self, *, saved: LedgerRow, version: int) -> None:
    self.saved = saved
    self.version = version
    self.home = saved.home
    self.given: dict[str, int] = {}
    self.reserved = dict(saved.reserved)
    self.away_most = saved.away_most
    self._written: dict[str, frozenset[str]] = {}

  @property
  def settled(self) -> int:
    """What ended turns were given, in tokens."""
    return self.saved.settled + sum(self.given.values())

  @property
  def spent(self) -> int:
    """What was given and what running turns may still give, in tokens."""
    return self.settled + sum(self.reserved.values())

  @property
  def is_dirty(self) -> bool:
    """Whether the row lacks changes."""
    return (
      bool(self.given)
      or self.reserved != self.saved.reserved
      or self.away_most != self.saved.away_most
    )

  @property
  def owes(self) -> bool:
    """Whether turns count here of which the row has nothing.

    A turn that the row has as reserved counts there for the most that it may
    take: nobody who reads the row spends too much.
    """
    counted = self.saved.reserved
    return any(r not in counted for r in (*self.given, *self.reserved))

  def knows(self, request: str) -> bool:
    """Returns whether a turn is among those that this view counts by name."""
    return (
      request in self.reserved
      or request in self.given
      or request in self.saved.recent
    )

  def can_reserve(self, tokens: int, *, most: float) -> bool:
    """Returns whether a turn fits under `most` tokens in all."""
    return self.spent + tokens <= most

  def reserve(self, request: str, tokens: int) -> None:
    """Sets tokens aside for a turn; a second time changes nothing."""
    if request not in self.given:
      self.reserved.setdefault(request, tokens)

  def withdraw(self, request: str) -> None:
    """Removes the reservation of a turn that is refused here.

    Unlike `settle` it records nothing: another owner may have reserved tokens
    for the same turn, and must keep them.
    """
    self.reserved.pop(request, None)

  def settle(self, request: str, tokens: int) -> None:
    """Puts what a turn was given in place of what was set aside for it."""
    if self.reserved.pop(request, None) is not None:
      self.given[request] = tokens

  # --- The row --------------------------------------------------------------

  def make_row(self, write: str, *, now: float = 0.0) -> LedgerRow:
    """Returns the row that the store should have, written at `now`."""
    self._written[write] = frozenset(self.given)
    saved = self.saved
    unseen = (r for r in self.given if r not in saved.reserved)
    return LedgerRow(
      home=self.home,
      settled=self.settled,
      recent=(*saved.recent, *unseen)[-MOST_RECENT:],
      reserved=dict(self.reserved),
      away_most=self.away_most,
      is_split=saved.is_split,
      write=write,
      written_at=now,
    )

  def note_saved(self, row: LedgerRow, version: int) -> None:
    """Takes note that the store has a row of ours."""
    counted = self._written.get(row.write, frozenset())
    self._written.clear()
    self.given = {r: t for r, t in self.given.items() if r not in counted}
    self.saved = row
    self.version = version

  def rebase(self, row: LedgerRow, version: int) -> None:
    """Brings the changes since `saved` onto a row that another wrote."""
    before = self.saved.reserved
    # Another has settled what was reserved in the row and is not any more,
    # and what the row names as settled.
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
    # A bound of ours that the row does not have yet stays; one that it had
    # and lacks now was lifted by the home.
    is_unsaved = self.away_most != self.saved.away_most
    if row.away_most is not None or not is_unsaved:
      self.away_most = row.away_most
    self.saved = row
    self.version = version

  # --- Views of other daemons -----------------------------------------------

  def merge(self, other: Ledger) -> None:
    """Takes over what another view counts and this one does not."""
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
