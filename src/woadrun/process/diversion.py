"""Sends the callers of a daemon that is cut off to other daemons.

A daemon that reaches neither the row store nor another failure domain cannot
serve turns, while daemons elsewhere can.  It answers readiness checks with no,
so that the load balancer passes new connections to others.  Once the balancer
has heard that often enough, callers whose connections are older are told to go
on over new ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import logging
import time

log = logging.getLogger('woadrun.node')

# Number of readiness checks in a row, answered with no, after which new
# connections go to other domains.  Load balancers take a daemon out after two;
# the third covers other members of the domain, which are checked later.
CHECKS_UNTIL_DIVERTED = 3


class Diverted(Exception):
  """Raised in a wait whose caller can go on at another daemon."""


class Diversion:
  """Whether the callers of one daemon can go on at others.

  `is_cut_off` returns whether the daemon reaches neither the store nor another
  domain.  `diverted` counts the waits that were ended.
  """

  def __init__(self, *, is_cut_off: Callable[[], bool]) -> None:
    self._is_cut_off = is_cut_off
    self._refused_checks = 0
    self._since: float | None = None
    self._scopes: dict[asyncio.Timeout, float] = {}
    self.diverted = 0

  def answer_check(self) -> bool:
    """Returns the answer to a readiness check: False while cut off."""
    if not self._is_cut_off():
      if self._since is not None:
        log.info('Callers are no longer sent to other domains.')
      self._refused_checks, self._since = 0, None
      return True
    self._refused_checks += 1
    if self._refused_checks == CHECKS_UNTIL_DIVERTED:
      self._divert()
    return False

  def _divert(self) -> None:
    self._since = time.monotonic()
    waiting = [
      scope for scope, at in self._scopes.items() if self.is_diverted(at)
    ]
    log.warning(
      'This daemon is cut off: callers are sent to other domains, %d of them '
      'wait here.',
      len(waiting),
    )
    for scope in waiting:
      scope.reschedule(asyncio.get_running_loop().time())

  def is_diverted(self, connected_at: float) -> bool:
    """Returns whether the caller of a connection can go on at another daemon.

    `connected_at` is when the connection was opened, on the monotonic clock.  A
    newer one shows that the balancer still sends callers here.
    """
    if self._since is None or connected_at >= self._since:
      return False
    return self._is_cut_off()

  @contextlib.asynccontextmanager
  async def bound(self, connected_at: float) -> AsyncIterator[None]:
    """Ends a wait whose caller can go on elsewhere: raises `Diverted`."""
    scope = asyncio.timeout(None)
    try:
      async with scope:
        if self.is_diverted(connected_at):
          scope.reschedule(asyncio.get_running_loop().time())
        self._scopes[scope] = connected_at
        yield
    except TimeoutError as error:
      if not scope.expired():
        raise
      self.diverted += 1
      raise Diverted('The daemon is cut off.') from error
    finally:
      self._scopes.pop(scope, None)
