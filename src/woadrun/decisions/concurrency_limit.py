"""A limit on concurrent calls that adapts to how fast they are answered.

A server that is sent more calls than it can answer in time answers none in
time: each is given up and made again.  Senders that reduce their concurrent
calls as answers come late, and raise them slowly, share what the server can do.
"""

from __future__ import annotations

import math

# Calls that a sender may have under way, at the beginning and at the most.
INITIAL_CALLS = 32
MAX_CALLS = 256
# Least limit while calls are answered, though late, and while some are not
# answered at all.
MIN_CALLS_ANSWERED = 4
MIN_CALLS_UNANSWERED = 2
# Age of a call from which its answer is late.
LATE_SECONDS = 0.3
# Factor of a reduction.
REDUCTION = 0.5
# Late answers reduce the limit again only if the last reduction shortened them
# to this part: a server may be slow by itself.
MAX_SHORTENED = 0.8
# Time without a late answer after which the next one counts as the first.
CALM_SECONDS = 5.0


class ConcurrencyLimit:
  """The number of calls that one sender may have under way at a time.

  It grows by one with each answer in time until the first reduction, then by
  one in as many answers as there may be calls.  Calls that began before a
  reduction do not reduce it again.  Times are on one clock, in seconds.
  """

  def __init__(self) -> None:
    self._calls = float(INITIAL_CALLS)
    self._threshold = float(MAX_CALLS)
    self._reduced_at: float | None = None
    # The longest answer time since the last reduction for a late answer, and
    # when the last late answer arrived.
    self._longest = 0.0
    self._late_at = -math.inf

  @property
  def calls(self) -> int:
    """How many calls may be under way."""
    return int(self._calls)

  def record_answer(self, *, began: float, now: float, is_full: bool) -> None:
    """Records the answer to a call.

    `is_full` tells that as many calls were under way as allowed: others tell
    nothing about more of them.
    """
    if now - began > LATE_SECONDS:
      self._record_late(began, now)
      return
    if is_full:
      is_below = self._calls < self._threshold
      step = 1.0 if is_below else 1.0 / self._calls
      self._calls = min(float(MAX_CALLS), self._calls + step)

  def _record_late(self, began: float, now: float) -> None:
    is_first = now - self._late_at > CALM_SECONDS
    self._late_at = now
    if not self._is_counted(began):
      return
    seconds = now - began
    if is_first or seconds <= MAX_SHORTENED * self._longest:
      self._longest = seconds
      self._reduce(now, least=MIN_CALLS_ANSWERED)
    else:
      self._longest = max(self._longest, seconds)

  def record_failure(self, *, began: float, now: float) -> None:
    """Records that a call had no answer in time, or exceeded a rate limit."""
    if self._is_counted(began):
      self._reduce(now, least=MIN_CALLS_UNANSWERED)

  def _is_counted(self, began: float) -> bool:
    return self._reduced_at is None or began >= self._reduced_at

  def _reduce(self, now: float, *, least: int) -> None:
    if self._calls <= least:
      return
    self._reduced_at = now
    self._calls = max(float(least), self._calls * REDUCTION)
    self._threshold = self._calls
