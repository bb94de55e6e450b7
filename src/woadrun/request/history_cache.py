"""Cache of the histories of turns that this daemon ran recently.

A caller usually sends a program's next turn on the same connection, so the
daemon that ran the previous turn already has the whole history.  Histories are
tens of kilobytes and do not fit into a datagram, so sending them is avoided.
"""

from __future__ import annotations

from woadrun.connection import turn_messages
from woadrun.process.store import turn_store

# Maximum total size of the cached histories: those of a few dozen programs.
MAX_BYTES = 1_000_000


class HistoryCache:
  """A cache of histories by the id of their last request, oldest first."""

  def __init__(self) -> None:
    self._opened_by_request: dict[str, turn_messages.OpenedTurn] = {}
    self._bytes = 0

  def get(self, request: str) -> turn_messages.OpenedTurn | None:
    """Returns the history for a turn that follows `request`, or None.

    It is None as well if the store may no longer have the turns.
    """
    known = self._opened_by_request.get(request)
    if known is None or turn_store.may_be_continued(known.kept_until):
      return known
    self._evict(request)
    return None

  def put(
    self, opened: turn_messages.OpenedTurn, turn: turn_messages.Turn
  ) -> None:
    """Caches the history up to a finished turn; evicts the oldest ones."""
    self._evict(turn.request)
    extended = turn_messages.OpenedTurn(
      line=(*opened.line, turn.request),
      history=opened.history + turn.input + turn.output,
      instance=turn.instance,
      kept_until=turn.kept_until,
    )
    self._opened_by_request[turn.request] = extended
    self._bytes += len(extended.history)
    while self._bytes > MAX_BYTES:
      self._evict(next(iter(self._opened_by_request)))

  def _evict(self, request: str) -> None:
    known = self._opened_by_request.pop(request, None)
    if known is not None:
      self._bytes -= len(known.history)
