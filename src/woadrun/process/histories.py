"""The history before a turn, assembled from the preceding turns."""

from __future__ import annotations

import logging

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.decisions import retry_after
from woadrun.process.store import turn_store

log = logging.getLogger('woadrun.turns')


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
    (last,) = await turn_store.load_turns((parent,), cache=cache, store=store)
    if last is None:
      raise _make_missing(f'Turn {parent} is not found.')
    if not turn_store.may_be_continued(last.kept_until):
      raise _make_missing(f'Turn {parent} has expired.')
    turns = [*await _load_line(last, cache, store), last]
  except errors.WoadrunError as error:
    if error.code is not errors.Code.PLATFORM_UNAVAILABLE:
      raise
    raise errors.WoadrunError(
      errors.Code.NOT_OWNER,
      f'The history cannot be read: {error.message}',
      retry_after=retry_after.OUTAGE_CHECK_SECONDS,
    ) from error
  return _join(turns)


def find_cached(
  parent: str, cache: turn_store.TurnCache
) -> turn_messages.OpenedTurn | None:
  """Returns the same from the cache alone, or None if it lacks a turn."""
  if not parent:
    return turn_messages.OpenedTurn()
  last = cache.get(parent)
  if last is None or not turn_store.may_be_continued(last.kept_until):
    return None
  before = [cache.get(request) for request in last.line]
  turns = [turn for turn in before if turn is not None]
  return _join([*turns, last]) if len(turns) == len(before) else None


def _join(turns: list[turn_messages.Turn]) -> turn_messages.OpenedTurn:
  return turn_messages.OpenedTurn(
    line=tuple(turn.request for turn in turns),
    history=b''.join(turn.input + turn.output for turn in turns),
    instance=turns[-1].instance,
    kept_until=turns[-1].kept_until,
  )


async def _load_line(
  last: turn_messages.Turn,
  cache: turn_store.TurnCache,
  store: turn_store.TurnStore,
) -> list[turn_messages.Turn]:
  """Returns the turns before a turn.

  The store keeps them as long as that turn, so that a missing one is a loss and
  is logged and counted, unlike an unknown turn or a store that does not answer.
  """
  found = await turn_store.load_turns(last.line, cache=cache, store=store)
  turns = [turn for turn in found if turn is not None]
  if len(turns) < len(found):
    missing = [place for place, turn in enumerate(found) if turn is None]
    store.missing_turns += len(missing)
    names = ' '.join(last.line[place] for place in missing)
    log.error(
      'The store lacks %d of the %d turns before %s, at places %s: %s.',
      len(missing),
      len(found),
      last.request,
      ' '.join(map(str, missing)),
      names,
    )
    raise _make_missing(f'Turns before {last.request} are not found: {names}.')
  return turns


def _make_missing(message: str) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.UNKNOWN_PROGRAM,
    message,
    retry_after=retry_after.OUTAGE_CHECK_SECONDS,
  )
