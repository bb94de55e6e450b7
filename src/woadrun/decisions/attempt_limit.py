"""Limits on the attempts of a request at instances.

A route's limit counts the attempts that may have run.  On a route with a single
attempt, a refused request would otherwise have no second chance, although the
refusing instance did no work for it.  Attempts that certainly did not run have
their own limit there.
"""

from __future__ import annotations

# Further attempts after one that did not run.  Three refusals show that the
# service is full; more attempts only add load.
MAX_FURTHER_ATTEMPTS = 2


def may_send(
  *,
  max_attempts: int,
  tried: int,
  not_run: int,
  seconds_left: float,
  work_seconds: float,
) -> bool:
  """Returns whether a request may be sent to another instance.

  `tried` counts all attempts, `not_run` those of them that certainly did not
  run.  `seconds_left` is the time that the caller waits, `work_seconds` the
  usual duration of such requests, both in seconds.  A further attempt after one
  that did not run has to be able to end in time.
  """
  if max_attempts > 1:
    return tried < max_attempts
  if tried - not_run >= 1:
    return False
  return not_run == 0 or (
    not_run <= MAX_FURTHER_ATTEMPTS and seconds_left >= work_seconds
  )
