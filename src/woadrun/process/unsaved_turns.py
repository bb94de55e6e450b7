"""Finished turns in a daemon's memory that are not in the store yet."""

from __future__ import annotations

import dataclasses

from woadrun.connection import turn_messages


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnsavedTurn:
  """A turn, and the failure domain whose member writes it to the store."""

  turn: turn_messages.Turn
  domain: str


class UnsavedTurns:
  """Unsaved turns by request id."""

  def __init__(self) -> None:
    self._item_by_request: dict[str, UnsavedTurn] = {}

  def __len__(self) -> int:
    return len(self._item_by_request)

  def __contains__(self, request: str) -> bool:
    return request in self._item_by_request

  def put(self, turn: turn_messages.Turn, *, domain: str) -> None:
    """Adds a turn whose program is owned in `domain`, unless it is present."""
    item = UnsavedTurn(turn=turn, domain=domain)
    self._item_by_request.setdefault(turn.request, item)

  def drop(self, request: str) -> None:
    """Drops a turn that is in the store."""
    self._item_by_request.pop(request, None)

  def get_all(self) -> list[UnsavedTurn]:
    """Returns all unsaved turns with their domains."""
    return list(self._item_by_request.values())
