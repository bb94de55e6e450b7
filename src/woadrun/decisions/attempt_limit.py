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
# Part of a request's time in which further attempts begin: an attempt that
# begins later would leave too little time for the request to run.
FURTHER_ATTEMPTS_SHARE = 1 / 3


def may_send(
  *,
  max_attempts: int,
  tried: int,
  not_run: int,
  elapsed: float,
  total: float,
) -> bool:
  """Returns whether a request may be sent to another instance.

  `tried` counts all attempts, `not_run` those of them that certainly did not
  run.  `elapsed` is the time since the first attempt and `total` the time that
  the request had then, in seconds.
  """
  if max_attempts > 1:
    return tried < max_attempts
  if tried - not_run >= 1:
    return False
  return not_run == 0 or (
    not_run <= MAX_FURTHER_ATTEMPTS and elapsed < FURTHER_ATTEMPTS_SHARE * total
  )
