"""A program's budget: what its turns were given and what is reserved.

The row in the store and the owner's own view may differ while the store is
out; `rebase` brings the owner's changes onto a newer row.
"""

from __future__ import annotations

import msgspec


class LedgerRow(msgspec.Struct, kw_only=True, omit_defaults=True):
  """A program as it is stored.

  `settled` and the values of `reserved`, by request, are tokens.  `home` is
  the failure domain that serves the program while the store is out.
  `away_most` bounds what other domains may spend while they cannot reach
  it.  `write` is the id of the last change, by which a writer whose answer
  was lost knows its own; `written_at` is its time of day, in seconds.
  """

  home: str
  settled: int = 0
  reserved: dict[str, int] = {}
  away_most: int | None = None
  write: str = ''
  written_at: float = 0.0


class Ledger:
  """The budget of one program, as its owner sees it.

  `saved` is the row as it was read or written last and `version` its
  version, 0 for one that is not there.
  """

  def __init__(self, *, saved: LedgerRow, version: int) -> None:
    self.saved = saved
    self.version = version
    self.home = saved.home
    self.settled = saved.settled
    self.reserved = dict(saved.reserved)
    self.away_most = saved.away_most

  @property
  def spent(self) -> int:
    """What was given and what running turns may still give, in tokens."""
    return self.settled + sum(self.reserved.values())

  @property
  def is_dirty(self) -> bool:
    """Whether the row lacks changes."""
    return (
      self.settled != self.saved.settled
      or self.reserved != self.saved.reserved
      or self.away_most != self.saved.away_most
    )

  def can_reserve(self, tokens: int, *, most: float) -> bool:
    """Returns whether a turn fits under `most` tokens in all."""
    return self.spent + tokens <= most

  def reserve(self, request: str, tokens: int) -> None:
    """Sets tokens aside for a turn; a second time changes nothing."""
    self.reserved.setdefault(request, tokens)

  def settle(self, request: str, tokens: int) -> None:
    """Puts what a turn was given in place of what was set aside for it."""
    if self.reserved.pop(request, None) is not None:
      self.settled += tokens

  def make_row(self, write: str, *, now: float = 0.0) -> LedgerRow:
    """Returns the row that the store should have, written at `now`."""
    return LedgerRow(
      home=self.home,
      settled=self.settled,
      reserved=dict(self.reserved),
      away_most=self.away_most,
      write=write,
      written_at=now,
    )

  def note_saved(self, row: LedgerRow, version: int) -> None:
    """Takes note that the store has a row of ours."""
    self.saved = row
    self.version = version

  def rebase(self, row: LedgerRow, version: int) -> None:
    """Brings the changes since `saved` onto a row that another wrote."""
    gained = self.settled - self.saved.settled
    added = {
      request: tokens
      for request, tokens in self.reserved.items()
      if request not in self.saved.reserved
    }
    removed = set(self.saved.reserved) - set(self.reserved)
    kept = {k: v for k, v in row.reserved.items() if k not in removed}
    self.settled = row.settled + gained
    self.reserved = {**kept, **added}
    self.home = row.home
    if row.away_most is not None:
      self.away_most = row.away_most
    self.saved = row
    self.version = version
