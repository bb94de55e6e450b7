"""Finished turns in the store, and a cache of them in memory.

A turn is found by its request id alone, by any daemon and for any program.  Its
id names three parts of the table.  The next one is used only where those before
do not take the turn, since the store may be down in part.  A turn larger
than a row is stored as several rows of one part.  If they exceed the limits of
a transaction, the first row is written last: with it the turn is complete.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import hashlib
import logging
import time

import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.process import feed
from woadrun.process.store import line_expiries

log = logging.getLogger('woadrun.turns')

TABLE = 'turns'
# Parts of a table, which spread the writes; their names have two digits.
PART_COUNT = 256
# Parts in which a turn may lie.
PARTS_PER_TURN = 3
# Digits of the number of a piece.
MAX_PIECE_DIGITS = 9
# Interval of checks whether a write to the usual part of a turn is overdue.
OVERDUE_CHECK_SECONDS = 0.06
# Maximum parallel reads for one history.
MAX_PARALLEL_READS = 8
# The first piece of a turn starts with the turn's expiry, so that the sweeper
# need not decode the rest.
_EXPIRY_HEADER = line_expiries.EXPIRY
# The most that the clocks of VMs may differ when they tell whether a turn has
# expired.
CLOCK_SKEW_SECONDS = 30.0
# Maximum total size of cached turns beyond their own retention time, which are
# cached for the turns that continue from them.
MAX_LINE_CACHE_BYTES = 8_000_000


class _FirstTurn(msgspec.Struct, frozen=True):
  """The part of a stored turn that tells the first turn of its line."""

  request: str
  line: tuple[str, ...] = ()


def get_part(name: str) -> str:
  """Returns the part of the table in which a row lies."""
  return hashlib.blake2b(name.encode(), digest_size=1).hexdigest()


def get_parts(request: str) -> list[str]:
  """Returns the parts in which a turn may lie, the usual one first."""
  usual = int(get_part(request), 16)
  digest = hashlib.blake2b(request.encode(), digest_size=2).digest()
  # An odd distance and an even number of parts: the parts differ.
  distance = int.from_bytes(digest, 'big') | 1
  return [
    f'{(usual + number * distance) % PART_COUNT:02x}'
    for number in range(PARTS_PER_TURN)
  ]


def is_expired(piece: bytes, *, now: float) -> bool:
  """Returns whether the turn that starts with this piece has expired."""
  return line_expiries.is_expired(piece, now=now)


def may_be_continued(kept_until: float) -> bool:
  """Returns whether a line that is kept until a time may still be continued.

  The rows of a line that has expired may be removed while the turn runs that
  continues from it.
  """
  return time.time() < kept_until + CLOCK_SKEW_SECONDS


def find_first_turn(data: bytes, *, name: str) -> str:
  """Returns the first turn of the line of a stored turn, of all its pieces.

  For a turn that cannot be decoded it returns the `name` of its row.
  """
  try:
    found = decoding.decode_msgpack(
      data[_EXPIRY_HEADER.size :], type=_FirstTurn
    )
  except decoding.MalformedData as error:
    log.error('Stored turn %s cannot be decoded: %s', name, error)
    return name
  return found.line[0] if found.line else found.request


class TurnStore:
  """Turns by request id, in the store.

  `row_bytes` is the largest value of a row.  `is_overdue` tells whether a write
  that has run for some seconds takes unusually long.  `missing_turns` counts
  the turns before others that the store did not have when it was asked for
  them.
  """

  def __init__(
    self,
    *,
    store: rows.RowStore,
    row_bytes: int,
    is_overdue: Callable[[float], bool] = lambda seconds: False,
  ) -> None:
    self._is_overdue = is_overdue
    self._store = store
    self._row_bytes = row_bytes
    self.missing_turns = 0

  async def write(self, turn: turn_messages.Turn) -> None:
    """Stores a turn, and the expiry of its line if it extends that.

    Storing it again has no effect.
    """
    written: list[Awaitable[None]] = [self._write_to_one_part(turn)]
    if turn.extends_line and turn.line:
      written.append(self._write_all([line_expiries.make_write(turn)]))
    await _gather_all(written)

  async def _write_to_one_part(self, turn: turn_messages.Turn) -> None:
    """Returns once one of the turn's parts has it; the usual one is first."""
    began = time.monotonic()
    part, *others = get_parts(turn.request)
    writes = {asyncio.ensure_future(self._write_pieces(turn, part))}
    try:
      while True:
        done, writes = await asyncio.wait(
          writes,
          timeout=OVERDUE_CHECK_SECONDS if others else None,
          return_when=asyncio.FIRST_COMPLETED,
        )
        for write in done:
          write.result()
          return
        if others and self._is_overdue(time.monotonic() - began):
          log.info(
            'Turn %s: part %s of the store does not take it, part %s is asked.',
            turn.request,
            part,
            others[0],
          )
          part, *others = others
          began = time.monotonic()
          writes.add(asyncio.ensure_future(self._write_pieces(turn, part)))
    finally:
      for write in writes:
        write.cancel()

  async def _write_pieces(self, turn: turn_messages.Turn, part: str) -> None:
    header = _EXPIRY_HEADER.pack(turn.kept_until)
    data = header + msgspec.msgpack.encode(turn)
    size = self._row_bytes
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    writes = [
      (rows.Key(TABLE, part, _get_row_name(turn.request, number)), piece)
      for number, piece in enumerate(pieces)
    ]
    *others, last = rows.split_writes(writes[::-1])
    await _gather_all([self._write_all(group) for group in others])
    await self._write_all(last)

  async def _write_all(self, writes: list[tuple[rows.Key, bytes]]) -> None:
    await self._store.change(writes=writes)

  async def read(self, request: str) -> turn_messages.Turn | None:
    """Returns a turn, or None if the store has none.

    Raises `errors.WoadrunError` if a part in which it may lie cannot be read.
    """
    failure: errors.WoadrunError | None = None
    for part in get_parts(request):
      try:
        turn = await self._read_from(part, request)
      except errors.WoadrunError as error:
        failure = error
        continue
      if turn is not None:
        return turn
    if failure is not None:
      raise failure
    return None

  async def _read_from(
    self, part: str, request: str
  ) -> turn_messages.Turn | None:
    name = rows.make_name(request)
    # '0' is the character after '/': the range covers all pieces of one turn.
    page = await feed.read_all(
      self._store, TABLE, part, first=name, end=f'{name}0'
    )
    # It may hold those of other turns as well: 'a-b' lies between 'a' and 'a0'.
    found = sorted(
      (
        row
        for row in page.rows
        if get_first_name(row.key.name) == name and is_piece(row.key.name)
      ),
      key=lambda row: get_piece_number(row.key.name),
    )
    if not found or found[0].key.name != name:
      return None
    data = b''.join(row.value for row in found)
    try:
      return decoding.decode_msgpack(
        data[_EXPIRY_HEADER.size :], type=turn_messages.Turn
      )
    except decoding.MalformedData as error:
      # Its other rows may just have been removed.
      log.error('Stored turn %s cannot be decoded: %s', request, error)
      return None


@dataclasses.dataclass(kw_only=True)
class _CachedTurn:
  """A cached turn, with times on the monotonic clock.

  It can be continued until `own_until`, and some turn that continues from it
  until `line_until`.
  """

  turn: turn_messages.Turn
  own_until: float
  line_until: float

  @property
  def size(self) -> int:
    """Bytes of the turn's text."""
    return len(self.turn.input) + len(self.turn.output)


class TurnCache:
  """Cache of turns, each kept as long as a turn of its line can be continued.

  Those that cannot be continued themselves are evicted first if all exceed
  MAX_LINE_CACHE_BYTES; they are read from the store again when needed.
  """

  def __init__(self) -> None:
    self._cached_by_request: dict[str, _CachedTurn] = {}
    self._bytes = 0
    self._loading_by_request: dict[
      str, asyncio.Task[turn_messages.Turn | None]
    ] = {}

  async def load(
    self, request: str, *, store: TurnStore
  ) -> turn_messages.Turn | None:
    """Reads a turn from the store and adds it; returns None if it is missing.

    A read that has begun goes on if its caller leaves, and serves all who ask
    meanwhile: while the store is slow, tries that each read anew what the one
    before had read for nothing would never get a whole history.
    """
    loading = self._loading_by_request.get(request)
    if loading is not None:
      turn = await asyncio.shield(loading)
      if turn is not None:
        return turn
      # The turn may have been stored after that read began.  One that runs now
      # began later.
      loading = self._loading_by_request.get(request)
    if loading is None:
      loading = asyncio.ensure_future(self._read(request, store))
      self._loading_by_request[request] = loading
      loading.add_done_callback(lambda task: self._note_loaded(request, task))
    return await asyncio.shield(loading)

  async def _read(
    self, request: str, store: TurnStore
  ) -> turn_messages.Turn | None:
    turn = await store.read(request)
    if turn is not None:
      self.put(turn)
    return turn

  def _note_loaded(
    self, request: str, task: asyncio.Task[turn_messages.Turn | None]
  ) -> None:
    self._loading_by_request.pop(request, None)
    if not task.cancelled() and task.exception() is not None:
      log.debug('Turn %s could not be read: %s', request, task.exception())

  def cancel_reads(self) -> None:
    """Ends the reads that are under way."""
    for task in self._loading_by_request.values():
      task.cancel()

  def __len__(self) -> int:
    return len(self._cached_by_request)

  def get(self, request: str) -> turn_messages.Turn | None:
    """Returns a cached turn, or None if it is not cached."""
    found = self._cached_by_request.get(request)
    return None if found is None else found.turn

  def get_recent(self) -> list[turn_messages.Turn]:
    """Returns the cached turns that can still be continued themselves."""
    now = time.monotonic()
    return [
      found.turn
      for found in self._cached_by_request.values()
      if found.own_until >= now
    ]

  def put(self, turn: turn_messages.Turn) -> None:
    """Adds a turn, or replaces it and restarts its retention time.

    The cached turns of its line are kept for as long.
    """
    until = time.monotonic() + turn.retention
    self._remove(turn.request)
    added = _CachedTurn(turn=turn, own_until=until, line_until=until)
    self._cached_by_request[turn.request] = added
    self._bytes += added.size
    for request in turn.line:
      before = self._cached_by_request.get(request)
      if before is not None:
        before.line_until = max(before.line_until, until)

  def expire(self) -> None:
    """Evicts the turns whose line cannot be continued any more."""
    now = time.monotonic()
    cached = list(self._cached_by_request.items())
    for request, found in cached:
      is_over = self._bytes > MAX_LINE_CACHE_BYTES and found.own_until < now
      if found.line_until < now or is_over:
        self._remove(request)

  def _remove(self, request: str) -> None:
    found = self._cached_by_request.pop(request, None)
    if found is not None:
      self._bytes -= found.size


async def load_turns(
  names: Iterable[str], *, cache: TurnCache, store: TurnStore
) -> list[turn_messages.Turn | None]:
  """Returns the turns with the given ids, None for each that is not found."""
  semaphore = asyncio.Semaphore(MAX_PARALLEL_READS)

  async def find(request: str) -> turn_messages.Turn | None:
    known = cache.get(request)
    if known is not None:
      return known
    async with semaphore:
      return await cache.load(request, store=store)

  return list(await asyncio.gather(*(find(name) for name in names)))


async def _gather_all(writes: Iterable[Awaitable[None]]) -> None:
  """Waits until all writes have ended; raises the error of the first failed."""
  results = await asyncio.gather(*writes, return_exceptions=True)
  for result in results:
    if isinstance(result, BaseException):
      raise result


def _get_row_name(request: str, number: int) -> str:
  name = rows.make_name(request)
  return f'{name}/{number}' if number else name


def get_first_name(name: str) -> str:
  """Returns the name of the first row of the turn to which a row belongs."""
  return name.partition('/')[0]


def is_piece(name: str) -> bool:
  """Returns whether a row belongs to a turn, by its name."""
  _, separator, number = name.partition('/')
  is_number = number.isascii() and number.isdecimal()
  return not separator or (is_number and len(number) <= MAX_PIECE_DIGITS)


def get_piece_number(name: str) -> int:
  """Returns the place of a row among the pieces of its turn, from 0."""
  _, _, number = name.partition('/')
  return int(number or 0)
