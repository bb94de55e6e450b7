"""What daemons find outside: the row store and instances, with their faults."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random
from typing import Any

from faults import network
from woadrun import errors
from woadrun.connection import rows
from woadrun.request import exchange
from woadrun.standins import rows as standin

# An answer of the store in calm times, and of one that is slow, in seconds.
ANSWER_SECONDS = 0.004
SLOW_SECONDS = 0.35
# A call of a store that is silent counts as lost after so long, in seconds.
SILENCE_SECONDS = 0.8
# Between two events of an answer, in seconds.
EVENT_SECONDS = (0.01, 0.03)
TOKENS_PER_EVENT = 3
# Shares of sends that never reach their instance, that it turns away, and of
# answers that break off.
NOT_SENT, TURNED_AWAY, TORN = 0.01, 0.01, 0.02


class Store:
  """The row store and its faults, which the views of all daemons share.

  `is_silent` says that calls without the store get no answer instead of a
  failure; `without` has the names of daemons that it turns away and
  `domains_without` the domains.
  """

  def __init__(self, *, dice: random.Random) -> None:
    self.rows = standin.MemoryRows()
    self.dice = dice
    self.is_out = False
    self.is_silent = False
    self.is_slow = False
    self.losing = 0.0
    self.without: set[str] = set()
    self.domains_without: set[str] = set()

  def is_lost(self, name: str, domain: str) -> bool:
    """Returns whether a daemon has no store."""
    is_turned_away = name in self.without or domain in self.domains_without
    return self.is_out or is_turned_away


class StoreView:
  """One daemon's way to the store; implements `rows.RowStore`."""

  def __init__(self, *, shared: Store, name: str, domain: str) -> None:
    self._shared = shared
    self._name = name
    self._domain = domain
    self.site: network.Site | None = None

  async def change(self, **options: Any) -> rows.Outcome:
    """Returns what became of a change, whose answer may be lost."""
    await self._reach()
    outcome = await self._shared.rows.change(**options)
    if self._shared.dice.random() < self._shared.losing:
      await asyncio.sleep(SILENCE_SECONDS)
      raise _fail(errors.Ran.UNKNOWN)
    await self._return()
    return outcome

  async def read(self, *parts: Any, **options: Any) -> rows.Page:
    """Returns rows."""
    await self._reach()
    page = await self._shared.rows.read(*parts, **options)
    await self._return()
    return page

  async def follow(self, *parts: Any, **options: Any) -> rows.Page:
    """Returns changes."""
    await self._reach()
    page = await self._shared.rows.follow(*parts, **options)
    await self._return()
    return page

  async def _reach(self) -> None:
    if self.site is not None and self.site.is_dead:
      await asyncio.Event().wait()
    await self._return()
    if self._shared.is_slow:
      await asyncio.sleep(SLOW_SECONDS * self._shared.dice.uniform(0.5, 1.5))

  async def _return(self) -> None:
    if self._shared.is_lost(self._name, self._domain):
      if self._shared.is_silent:
        await asyncio.sleep(SILENCE_SECONDS)
      raise _fail(errors.Ran.UNKNOWN)
    await asyncio.sleep(ANSWER_SECONDS / 2)


def _fail(ran: errors.Ran) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.PLATFORM_UNAVAILABLE, 'The store is out.', ran=ran
  )


class Instances:
  """All instances: they keep body and team of each request that they ran.

  `is_cut_off` tells whether a daemon cannot send to an instance's domain.
  """

  def __init__(self, *, dice: random.Random) -> None:
    self._dice = dice
    self.bodies_by_request: dict[str, list[bytes]] = {}
    self.team_by_request: dict[str, str | None] = {}

  def make_way(self, site: network.Site | None) -> exchange.Upstreams:
    """Returns one daemon's way to all instances."""
    return _Way(send=lambda sending: self._send(site, sending))

  @contextlib.asynccontextmanager
  async def _send(
    self, site: network.Site | None, sending: exchange.Sending
  ) -> AsyncIterator[exchange.Reply]:
    if site is not None and site.is_dead:
      await asyncio.Event().wait()
    drawn = self._dice.random()
    if drawn < NOT_SENT:
      raise exchange.NotSent('refused')
    if drawn < NOT_SENT + TURNED_AWAY:
      yield _make_reply(503, self._say_nothing(), has_run=False)
      return
    id = sending.request.id
    self.bodies_by_request.setdefault(id, []).append(sending.body)
    self.team_by_request[id] = sending.team
    is_torn = drawn > 1 - TORN
    yield _make_reply(200, self._stream(id, is_torn=is_torn), has_run=True)

  async def _stream(self, id: str, *, is_torn: bool) -> AsyncGenerator[bytes]:
    events = self._dice.randint(1, 3)
    for number in range(events):
      await asyncio.sleep(self._dice.uniform(*EVENT_SECONDS))
      yield f'id: {number}\ndata: {id}-{number}\n\n'.encode()
    if is_torn:
      raise exchange.Lost('reset')

  async def _say_nothing(self) -> AsyncGenerator[bytes]:
    yield b''


class _Way:
  """Implements `exchange.Upstreams`."""

  def __init__(self, *, send: Callable[[exchange.Sending], Any]) -> None:
    self.send = send


def _make_reply(
  status: int, chunks: AsyncGenerator[bytes], *, has_run: bool
) -> exchange.Reply:
  return exchange.Reply(
    status=status,
    headers=[],
    has_run=has_run,
    is_genuine=True,
    chunks=chunks,
  )
