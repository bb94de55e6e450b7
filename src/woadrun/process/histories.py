"""The history before a turn, assembled from the preceding turns."""

from __future__ import annotations

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.process import turn_store

# Retry delay for callers whose parent turn is not found.
RETRY_AFTER_SECONDS = 0.3


async def find(
  parent: str, *, cache: turn_store.TurnCache, store: turn_store.TurnStore
) -> turn_messages.OpenedTurn:
  """Returns the ids and the joined text of the turns up to a parent turn.

  Raises `unknown_program` if one of them is not found, `not_owner` if that
  cannot be determined without the store.
  """
  if not parent:
    return turn_messages.OpenedTurn()
  try:
    last = (await _load_turns((parent,), cache, store))[0]
    turns = [*await _load_turns(last.line, cache, store), last]
  except errors.WoadrunError as error:
    if error.code is not errors.Code.PLATFORM_UNAVAILABLE:
      raise
    raise errors.WoadrunError(
      errors.Code.NOT_OWNER,
      f'The history cannot be read: {error.message}',
      retry_after=RETRY_AFTER_SECONDS,
    ) from error
  return _join(turns)


def find_cached(
  parent: str, cache: turn_store.TurnCache
) -> turn_messages.OpenedTurn | None:
  """Returns the same from the cache alone, or None if it lacks a turn."""
  if not parent:
    return turn_messages.OpenedTurn()
  last = cache.get(parent)
  if last is None:
    return None
  before = [cache.get(request) for request in last.line]
  turns = [turn for turn in before if turn is not None]
  return _join([*turns, last]) if len(turns) == len(before) else None


def _join(turns: list[turn_messages.Turn]) -> turn_messages.OpenedTurn:
  return turn_messages.OpenedTurn(
    line=tuple(turn.request for turn in turns),
    history=b''.join(turn.input + turn.output for turn in turns),
    instance=turns[-1].instance,
  )


async def _load_turns(
  names: tuple[str, ...],
  cache: turn_store.TurnCache,
  store: turn_store.TurnStore,
) -> list[turn_messages.Turn]:
  found = await turn_store.load_turns(names, cache=cache, store=store)
  turns = [turn for turn in found if turn is not None]
  if len(turns) < len(found):
    raise errors.WoadrunError(
      errors.Code.UNKNOWN_PROGRAM,
      f'A turn of the history is not found: {" ".join(names)}.',
      retry_after=RETRY_AFTER_SECONDS,
    )
  return turns
