"""Histories of the turns that ran here of late, for the turns that follow.

A caller mostly sends a program's next turn on the same connection, so that the
daemon that ran the one before has its whole history and need not be sent it:
tens of kilobytes, which fit no datagram.
"""

from __future__ import annotations

from woadrun.connection import turn_messages

# What is kept at most, in bytes of histories: those of a few dozen programs.
MOST_BYTES = 1_000_000


class RecentLines:
  """Histories by the request that they end with, the oldest first."""

  def __init__(self) -> None:
    self._opened_by_request: dict[str, turn_messages.OpenedTurn] = {}
    self._bytes = 0

  def get(self, request: str) -> turn_messages.OpenedTurn | None:
    """Returns what a turn that continues from a request begins with."""
    return self._opened_by_request.get(request)

  def note(
    self, opened: turn_messages.OpenedTurn, turn: turn_messages.Turn
  ) -> None:
    """Keeps the history of a turn that ended, and drops the oldest."""
    self._drop(turn.request)
    grown = turn_messages.OpenedTurn(
      line=(*opened.line, turn.request),
      history=opened.history + turn.input + turn.output,
      instance=turn.instance,
    )
    self._opened_by_request[turn.request] = grown
    self._bytes += len(grown.history)
    while self._bytes > MOST_BYTES:
      self._drop(next(iter(self._opened_by_request)))

  def _drop(self, request: str) -> None:
    known = self._opened_by_request.pop(request, None)
    if known is not None:
      self._bytes -= len(known.history)
