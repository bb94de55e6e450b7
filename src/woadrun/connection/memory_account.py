"""One account of the bytes that a process holds for others.

Limits of one message or one stream do not bound their sum.  Whatever is read
and not yet passed on is counted here, and the sum is bounded in proportion to
the memory limit of the process.  Beyond it, the largest holder is told to let
go, so that a small one loses nothing to a large one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import enum
import logging
import os
import pathlib

log = logging.getLogger('woadrun.memory')

# Part of the memory limit of the process that may be held for others.
MEMORY_SHARE = 3 / 16
# Part of what the process itself leaves of its limit that may be held, and of
# the limit that may be held in any case.
ROOM_SHARE = 3 / 4
MIN_SHARE = 1 / 16
# Memory limit in megabytes of a process that is told none.
DEFAULT_MEMORY_MB = 512.0
# Holders up to this size are not told to let go: it would free nothing.
MIN_EVICTED_BYTES = 16_384
# Messages up to that size are held also if large ones have filled the account,
# as long as all exceed it by no more than this share of its bound.
SMALL_SHARE = 1 / 4


class Kind(enum.StrEnum):
  """What is held, as metrics name it."""

  CONNECTION = 'connection'
  CALL = 'call'
  REQUEST = 'request'
  RESPONSE = 'response'
  HISTORY = 'history'
  PEER = 'peer'
  PLATFORM = 'platform'


# How far the sum may rise by what is added, as a part of the bound.  Bodies and
# responses leave room for streams that run, and these for new requests and for
# other daemons and the store, without whose answers the daemon would serve
# nobody.
RISE_BY_KIND = {
  Kind.CONNECTION: 1 / 2,
  Kind.CALL: 5 / 4,
  Kind.REQUEST: 3 / 4,
  Kind.RESPONSE: 3 / 4,
  Kind.HISTORY: 1.0,
  Kind.PEER: 5 / 4,
  Kind.PLATFORM: 5 / 4,
}
# Parts of the bound that some kinds may take: what is held for running requests
# cannot let go.
SHARE_BY_KIND = {Kind.REQUEST: 1 / 2, Kind.CALL: 1 / 2}
# These are cut only for others of their kind.
CONTROL_KINDS = frozenset((Kind.PEER, Kind.PLATFORM))


class MemoryExceeded(ValueError):
  """Raised if a holder may not grow: no other holds more."""


def get_most(memory_mb: float | None, *, resident: int = 0) -> int:
  """Returns the bound in bytes for a memory limit in megabytes, if any.

  `resident` is what the process itself takes, in bytes.
  """
  limit = (memory_mb or DEFAULT_MEMORY_MB) * 1024 * 1024
  most = min(limit * MEMORY_SHARE, (limit - resident) * ROOM_SHARE)
  return int(max(limit * MIN_SHARE, most))


def read_resident_bytes() -> int:
  """Returns the memory of this process, 0 where the system does not tell."""
  try:
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')
  except (OSError, ValueError, IndexError) as error:
    log.info('The memory of the process is not known: %s', error)
    return 0


class Holder:
  """The bytes held for one message or stream; `size` is their number.

  `close` must be called in any case.
  """

  def __init__(
    self,
    *,
    account: Account,
    kind: Kind,
    name: str,
    on_evict: Callable[[], None] | None,
  ) -> None:
    self.kind = kind
    self.name = name
    self.size = 0
    self.on_evict = on_evict
    self._account = account

  @property
  def account(self) -> Account:
    """The account that the holder belongs to."""
    return self._account

  def add(self, count: int) -> None:
    """Counts more bytes; a negative `count` counts bytes let go.

    Raises `MemoryExceeded` if the account is full and no other holds more.
    """
    self._account.change(self, count)

  def grow(self, count: int) -> None:
    """Counts more bytes of one message.

    Like `add`, but a small message has a reserve beyond the bound.
    """
    is_small = self.size + count <= MIN_EVICTED_BYTES
    reserve = SMALL_SHARE * self._account.most
    if is_small and self._account.most + reserve >= self._account.total + count:
      self.note(count)
    else:
      self.add(count)

  def note(self, count: int) -> None:
    """Counts bytes that are held already, also beyond the bound."""
    self._account.note(self, count)

  def close(self) -> None:
    """Counts all bytes as let go."""
    self._account.remove(self)


def hold(
  account: Account | None, kind: Kind, name: str
) -> contextlib.AbstractContextManager[Holder | None]:
  """Returns a context with a holder of `account`, with None without one."""
  if account is None:
    return contextlib.nullcontext()
  return account.hold(kind, name)


class Account:
  """The bytes held by all holders of a process, mostly at most `most`.

  Messages of other daemons and of the store, and small ones, may exceed it by a
  quarter.
  `total` is their number, also by kind, and `evicted` counts the holders that
  were told to let go.
  """

  def __init__(self, *, most: int | None = None) -> None:
    self.most = most if most is not None else get_most(None)
    self.total = 0
    self.total_by_kind = dict.fromkeys(Kind, 0)
    self.evicted = 0
    self._holders: dict[Holder, None] = {}
    self._let_go = asyncio.Event()

  @contextlib.contextmanager
  def hold(
    self, kind: Kind, name: str, on_evict: Callable[[], None] | None = None
  ) -> Iterator[Holder]:
    """Returns a context with a holder, which is closed at its exit."""
    holder = self.open(kind, name, on_evict)
    try:
      yield holder
    finally:
      holder.close()

  def open(
    self, kind: Kind, name: str, on_evict: Callable[[], None] | None = None
  ) -> Holder:
    """Returns a holder without bytes; `name` tells log lines whose they are.

    `on_evict` is called, at most once, to make it let go.  Without it the
    holder is never told to: its own `add` raises instead.
    """
    return Holder(account=self, kind=kind, name=name, on_evict=on_evict)

  def change(self, holder: Holder, count: int) -> None:
    """Adds to the size of a holder, as `Holder.add` does."""
    if count > 0:
      self._make_room(holder, count)
    self.note(holder, count)

  def note(self, holder: Holder, count: int) -> None:
    """Adds to the size of a holder, as `Holder.note` does."""
    holder.size += count
    self._count(holder.kind, count)
    if holder.size:
      self._holders[holder] = None
    else:
      self._holders.pop(holder, None)

  def remove(self, holder: Holder) -> None:
    """Removes a holder and its bytes."""
    self._holders.pop(holder, None)
    self._count(holder.kind, -holder.size)
    holder.size = 0

  def get_room(self, kind: Kind) -> int:
    """Returns the bytes of a kind that may be added; negative beyond it."""
    room = int(self.most * RISE_BY_KIND[kind]) - self.total
    return min(room, self.get_most(kind) - self.total_by_kind[kind])

  def get_most(self, kind: Kind) -> int:
    """Returns the bound of the bytes of a kind."""
    share = SHARE_BY_KIND.get(kind, RISE_BY_KIND[kind])
    return int(self.most * share)

  async def wait_for_change(self) -> None:
    """Returns once any bytes are let go."""
    self._let_go.clear()
    await self._let_go.wait()

  def _count(self, kind: Kind, count: int) -> None:
    self.total += count
    self.total_by_kind[kind] += count
    if count < 0:
      self._let_go.set()

  def _make_room(self, holder: Holder, count: int) -> None:
    """Evicts the largest holders until `count` more bytes fit."""
    while self.get_room(holder.kind) < count:
      largest = max(
        self._find_evictable(holder.kind),
        key=lambda item: item.size,
        default=holder,
      )
      if (
        largest is holder
        or largest.size <= holder.size + count
        or largest.size <= MIN_EVICTED_BYTES
      ):
        log.warning(
          'Memory for others is full (%d of %d bytes): %s %s cannot hold %d '
          'bytes.',
          self.total,
          self.most,
          holder.kind,
          holder.name,
          holder.size + count,
        )
        raise MemoryExceeded(
          f'The daemon cannot hold {holder.size + count} bytes.'
        )
      self._evict(largest)

  def _find_evictable(self, kind: Kind) -> Iterator[Holder]:
    """Yields the holders that may be cut to make room for a kind."""
    is_kind_full = self.total_by_kind[kind] >= self.get_most(kind)
    for holder in self._holders:
      is_own = holder.kind is kind
      is_other = not is_kind_full and holder.kind not in CONTROL_KINDS
      if holder.on_evict is not None and (is_own or is_other):
        yield holder

  def _evict(self, holder: Holder) -> None:
    log.warning(
      'Memory for others is full (%d of %d bytes): %s %s is cut, which holds '
      '%d bytes.',
      self.total,
      self.most,
      holder.kind,
      holder.name,
      holder.size,
    )
    self.evicted += 1
    on_evict, holder.on_evict = holder.on_evict, None
    self.remove(holder)
    if on_evict is not None:
      on_evict()
