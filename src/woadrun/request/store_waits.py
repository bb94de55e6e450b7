"""Counts and logs the turns that wait for the row store."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import enum
import logging
import time

log = logging.getLogger('woadrun.turns')

# A wait for a store that answers counts from this time on, and any wait that
# lasted for it is logged when it ends.
LOGGED_SECONDS = 0.5


class Kind(enum.Enum):
  """What waits: the start of a turn, or the end of its answer."""

  START = 'start'
  END = 'end'


class Wait:
  """One possible wait of a turn; `reason` is empty unless it has to wait."""

  def __init__(self) -> None:
    self.began_at = time.monotonic()
    self.reason = ''

  def note(self, reason: str) -> None:
    """Records for the log why the turn has to wait."""
    self.reason = reason


class StoreWaits:
  """The waits of one daemon.

  By kind, `held` counts the turns that had to wait, `given_up` those of them
  that ended otherwise than with the store, and `seconds` sums up the waits.
  """

  def __init__(self) -> None:
    self.held = dict.fromkeys(Kind, 0)
    self.given_up = dict.fromkeys(Kind, 0)
    self.seconds = dict.fromkeys(Kind, 0.0)
    self._waits_by_kind: dict[Kind, set[Wait]] = {kind: set() for kind in Kind}

  @contextlib.contextmanager
  def measure(self, kind: Kind, request: str) -> Iterator[Wait]:
    """Returns a context for what may wait; an exception in it gives up."""
    wait = Wait()
    self._waits_by_kind[kind].add(wait)
    try:
      yield wait
    except BaseException:
      self._record(kind, request, wait, is_given_up=True)
      raise
    else:
      self._record(kind, request, wait, is_given_up=False)
    finally:
      self._waits_by_kind[kind].discard(wait)

  def count_waiting(self, kind: Kind) -> int:
    """Returns the number of turns that wait now."""
    waits = self._waits_by_kind[kind]
    return sum(self._is_long(wait) for wait in waits)

  def read_gauges(self) -> dict[str, float]:
    """Returns the figures for the metrics by name."""
    gauges: dict[str, float] = {}
    for kind in Kind:
      name = f'turn_{kind.value}s'
      gauges[f'{name}_waiting'] = self.count_waiting(kind)
      gauges[f'{name}_held'] = self.held[kind]
      gauges[f'{name}_given_up'] = self.given_up[kind]
      gauges[f'{name}_held_seconds'] = self.seconds[kind]
    return gauges

  def _record(
    self, kind: Kind, request: str, wait: Wait, *, is_given_up: bool
  ) -> None:
    if not self._is_long(wait):
      return
    seconds = time.monotonic() - wait.began_at
    self.held[kind] += 1
    self.given_up[kind] += is_given_up
    self.seconds[kind] += seconds
    if seconds < LOGGED_SECONDS and not is_given_up:
      return
    log.log(
      logging.WARNING if is_given_up else logging.INFO,
      'Turn %s: its %s waited %.2f s for the store (%s) and %s.',
      request,
      kind.value,
      seconds,
      wait.reason or 'it is slow',
      'was given up' if is_given_up else 'went on',
    )

  def _is_long(self, wait: Wait) -> bool:
    lasted = time.monotonic() - wait.began_at
    return bool(wait.reason) or lasted >= LOGGED_SECONDS
