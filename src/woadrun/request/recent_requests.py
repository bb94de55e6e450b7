"""Ids of requests that may run only once and that this daemon handles or did.

Libraries and proxies send a request again by themselves, with the same id, if
its connection closes without a response: HTTP allows it for methods like GET,
whatever the kind of the route.  The second copy must not run as well.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import time

from woadrun import errors

# Time after the end of a request in which its id is remembered.  Copies are
# sent as soon as the connection of the first one closes, or after a timeout of
# some seconds.
MEMORY_SECONDS = 60.0
# Maximum number of ended requests that are remembered; the oldest are dropped.
MAX_ENDED = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Key:
  """Identifies a request: callers with different API keys may use the same id.

  `key_digest` is that of the caller's key, empty without a key.
  """

  key_digest: str
  id: str


@dataclasses.dataclass(kw_only=True)
class Claim:
  """The right to run a request; `has_run` is set once an instance answers."""

  has_run: bool = False


class RecentRequests:
  """Remembers which requests run, and which may have run lately."""

  def __init__(self) -> None:
    self._running: set[Key] = set()
    # Oldest first.  A plain dictionary finds its first key slowly once many
    # before it have been deleted.
    self._ended_at_by_key: collections.OrderedDict[Key, float] = (
      collections.OrderedDict()
    )

  def check(self, key: Key) -> None:
    """Raises `outcome_unknown` for a copy of a request that may have run."""
    now = time.monotonic()
    ended_at = self._ended_at_by_key.get(key)
    is_recent = ended_at is not None and now - ended_at < MEMORY_SECONDS
    if key in self._running or is_recent:
      raise errors.WoadrunError(
        errors.Code.OUTCOME_UNKNOWN,
        'A request with the same id is running or may have run.',
        ran=errors.RunStatus.UNKNOWN,
      )

  @contextlib.contextmanager
  def claim(self, key: Key) -> Iterator[Claim]:
    """Returns a context in which a request may run; raises like `check`.

    The request may be sent again afterwards if an error ends the context that
    states that it has not run, before an instance answered.
    """
    self.check(key)
    self._running.add(key)
    claim = Claim()
    may_have_run = True
    try:
      yield claim
    except errors.WoadrunError as error:
      may_have_run = claim.has_run or error.ran is not errors.RunStatus.NOT_RUN
      raise
    finally:
      self._running.discard(key)
      if may_have_run:
        self._remember(key)

  def _remember(self, key: Key) -> None:
    now = time.monotonic()
    self._ended_at_by_key[key] = now
    while self._ended_at_by_key:
      oldest = next(iter(self._ended_at_by_key))
      is_old = now - self._ended_at_by_key[oldest] >= MEMORY_SECONDS
      if not is_old and len(self._ended_at_by_key) <= MAX_ENDED:
        return
      del self._ended_at_by_key[oldest]
