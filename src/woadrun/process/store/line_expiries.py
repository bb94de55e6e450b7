"""Expiries of lines of turns in the store.

A line is a sequence of turns, each of which continues from the one before; the
lines that have their first turn in common form a tree.  Each turn has an expiry
in its own row.  A turn that extends the line before it writes one row here,
which holds for all turns of the tree: to write the row of each of them would
take a number of writes that grows with the square of the line's length.

Rows are only added, never changed, so that turns that end at the same time need
no condition and none shortens what another one relies on.
"""

from __future__ import annotations

from collections.abc import Collection
import hashlib
import itertools
import struct

from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.process import feed

TABLE = 'turn_lines'
# Parts of the table, named by one hexadecimal digit.  The rows are few, so that
# a sweep of expired turns reads most of them in one page of each part.
PARTS = tuple(f'{number:x}' for number in range(16))
# An expiry, in seconds of the time of day.
EXPIRY = struct.Struct('>d')
_FIRST_DIGEST_BYTES = 16
_TURN_DIGEST_BYTES = 8


def make_write(turn: turn_messages.Turn) -> tuple[rows.Key, bytes]:
  """Returns the row by which a turn extends its line."""
  first = _digest(turn.line[0], _FIRST_DIGEST_BYTES)
  # Digests have a fixed length, whatever that of the ids.
  name = f'{first}/{_digest(turn.request, _TURN_DIGEST_BYTES)}'
  value = EXPIRY.pack(turn.expires_at)
  return rows.Key(TABLE, first[0], name), value


def is_expired(value: bytes, *, now: float) -> bool:
  """Returns whether an expiry, with which a value starts, has passed.

  A value without one is of another writer, and never expires.
  """
  if len(value) < EXPIRY.size:
    return False
  (until,) = EXPIRY.unpack_from(value)
  return bool(until < now)


async def find_kept(
  store: rows.RowStore, first_turns: Collection[str], *, now: float
) -> set[str]:
  """Returns those first turns whose lines are extended beyond `now`.

  `first_turns` are the request ids of the first turns of lines.
  """
  first_by_digest = {
    _digest(request, _FIRST_DIGEST_BYTES): request for request in first_turns
  }
  kept: set[str] = set()
  for part, digests in itertools.groupby(
    sorted(first_by_digest), key=lambda digest: digest[0]
  ):
    listed = list(digests)
    # ':' is greater than '/', with which the rest of a name begins.
    page = await feed.read_all(
      store, TABLE, part, first=listed[0], end=f'{listed[-1]}:'
    )
    for row in page.rows:
      digest, _, _ = row.key.name.partition('/')
      if digest in first_by_digest and not is_expired(row.value, now=now):
        kept.add(first_by_digest[digest])
  return kept


def _digest(request: str, size: int) -> str:
  return hashlib.blake2b(request.encode(), digest_size=size).hexdigest()
