"""Limits on the attempts of a request at instances.

A route's limit counts the instances that a request was sent to, not those whose
connections failed.  On a route with a single attempt it counts the attempts
that may have run: a refused request would otherwise have no second chance,
although the refusing instance did no work for it.  Attempts that do not count
have a limit of their own.
"""

from __future__ import annotations

# Further attempts after those that do not count.  Three refusals show that the
# service is full; more attempts only add load.
MAX_FURTHER_ATTEMPTS = 2


def may_send(
  *,
  max_attempts: int,
  tried: int,
  not_run: int,
  not_sent: int,
  seconds_left: float,
  work_seconds: float,
) -> bool:
  """Returns whether a request may be sent to another instance.

  `tried` counts all attempts, `not_run` those of them that certainly did not
  run, and `not_sent` those of the latter that did not reach their instance.
  `seconds_left` is the time that the caller waits, `work_seconds` the usual
  duration of such requests, both in seconds.  An attempt beyond the limit has
  to be able to end in time.
  """
  excused = not_run if max_attempts == 1 else not_sent
  if tried - excused >= max_attempts:
    return False
  return tried < max_attempts or (
    excused <= MAX_FURTHER_ATTEMPTS and seconds_left >= work_seconds
  )
