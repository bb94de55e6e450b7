"""Messages and datagrams between daemons in memory, over a faulty network."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
import dataclasses
import random
from typing import Any
from typing import TypeVar

from woadrun import errors
from woadrun.connection import peers
from woadrun.process import node

T = TypeVar('T')

# One way between two daemons in calm times, in seconds.
WAY_SECONDS = (0.0005, 0.002)
# Until a message to a process that is gone, or over a cut that resets, fails.
RESET_SECONDS = 0.002
# Longer than anybody waits for a message, in seconds.
HANG_SECONDS = 3_600.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Site:
  """One daemon's place in the network; `tasks` end with its process."""

  daemon: node.Node
  domain: str
  is_dead: bool = False
  tasks: set[asyncio.Task[Any]] = dataclasses.field(default_factory=set)

  def run(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Returns a task that ends when the process is killed."""
    task = asyncio.ensure_future(work)
    self.tasks.add(task)
    task.add_done_callback(self.tasks.discard)
    return task


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
  """Nothing passes from the domains in `sources` to those in `targets`."""

  sources: frozenset[str]
  targets: frozenset[str]
  is_reset: bool

  def holds(self, source: str, target: str) -> bool:
    """Returns whether a way is cut."""
    return source in self.sources and target in self.targets


def make_cuts(
  domain: str, domains: Iterable[str], *, is_reset: bool
) -> list[Cut]:
  """Returns the cuts by which a domain and all others lose each other."""
  alone = frozenset({domain})
  others = frozenset(domains) - alone
  return [
    Cut(sources=a, targets=b, is_reset=is_reset)
    for a, b in ((alone, others), (others, alone))
  ]


class Network:
  """The ways between daemons, as faults leave them.

  `loss` is the share of datagrams that are lost, `delay` what each way takes
  on top, in seconds.  Messages of the daemons in `unsent_by`, and the answers
  to messages of those in `unanswered_by`, never arrive; datagrams do.
  """

  def __init__(self, *, dice: random.Random) -> None:
    self._dice = dice
    self.site_by_address: dict[str, Site] = {}
    self.cuts: list[Cut] = []
    self.loss = 0.0
    self.delay = 0.0
    self.unsent_by: set[str] = set()
    self.unanswered_by: set[str] = set()

  def join(self, site: Site) -> None:
    """Carries what a daemon sends and brings it what others send."""
    daemon = site.daemon
    self.site_by_address[daemon.config.peers_address] = site
    sent = daemon.fleet.datagrams

    async def open_in_memory() -> None:
      sent._transport = _Transport(network=self, site=site)

    async def listen_to_nothing() -> None:
      return None

    async def post(
      address: str, path: str, message: Any, *, type: Any, timeout: float
    ) -> Any:
      return await self._post(site, address, path, message, type, timeout)

    sent.open = open_in_memory
    daemon._listen = listen_to_nothing
    daemon.links.post = post

  def _find_cut(self, source: Site, target: Site) -> Cut | None:
    found = (c for c in self.cuts if c.holds(source.domain, target.domain))
    return next(found, None)

  def _draw_way(self) -> float:
    return self._dice.uniform(*WAY_SECONDS) + self.delay * self._dice.random()

  def send(self, source: Site, address: str, data: bytes) -> None:
    """Sends a datagram, which may be lost."""
    target = self.site_by_address.get(address)
    if target is None or source.is_dead or self._find_cut(source, target):
      return
    if self._dice.random() < self.loss:
      return
    loop = asyncio.get_running_loop()
    loop.call_later(self._draw_way(), self._deliver, source, target, data)

  def _deliver(self, source: Site, target: Site, data: bytes) -> None:
    if not target.is_dead and not self._find_cut(source, target):
      target.daemon.fleet.datagrams._receive(data)

  async def _post(
    self,
    source: Site,
    address: str,
    path: str,
    message: Any,
    type: type[T],
    timeout: float,
  ) -> T:
    links = source.daemon.links
    name = source.daemon.config.name
    try:
      async with asyncio.timeout(timeout):
        body = links.encode(message)
        await _hang_if(name in self.unsent_by)
        target = await self._pass(source, self.site_by_address.get(address))
        handler = target.daemon._handler_by_path[path]
        work = target.run(handler(body))
        try:
          reply = await asyncio.shield(work)
        except asyncio.CancelledError:
          if work.cancelled():
            raise _lose(address) from None
          raise
        await _hang_if(name in self.unanswered_by)
        await self._pass(target, source)
    except TimeoutError:
      raise _lose(address) from None
    return links.decode(reply.status, reply.body, type)

  async def _pass(self, source: Site, target: Site | None) -> Site:
    """Returns the target once a message has come there."""
    if source.is_dead:
      await asyncio.Event().wait()
    if target is None or target.is_dead:
      await asyncio.sleep(RESET_SECONDS)
      raise _lose('a process that is gone')
    cut = self._find_cut(source, target)
    if cut is not None and cut.is_reset:
      await asyncio.sleep(RESET_SECONDS)
      raise _lose(target.daemon.config.name)
    await _hang_if(cut is not None)
    await asyncio.sleep(self._draw_way())
    return target


class _Transport:
  """What a daemon's datagrams are sent by."""

  def __init__(self, *, network: Network, site: Site) -> None:
    self._network = network
    self._site = site

  def sendto(self, data: bytes, endpoint: tuple[str, int]) -> None:
    """Sends one datagram."""
    host, port = endpoint
    self._network.send(self._site, f'{host}:{port}', data)

  def close(self) -> None:
    """Does nothing: the process's end is the network's."""


async def _hang_if(is_lost: bool) -> None:
  """Returns at once, or after the time of any message."""
  if is_lost:
    await asyncio.sleep(HANG_SECONDS)


def _lose(address: str) -> peers.NoAnswer:
  return peers.NoAnswer(
    errors.Code.OWNER_UNAVAILABLE,
    f'{address} gave no answer.',
    ran=errors.Ran.UNKNOWN,
    retry_after=1.0,
  )
