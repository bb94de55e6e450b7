"""A simulated network with faults for messages and datagrams of daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
import dataclasses
import random
import time
from typing import Any
from typing import TypeVar

from woadrun import errors
from woadrun.connection import peers
from woadrun.process import node

T = TypeVar('T')

# Range of the one-way latency between two daemons without faults.
LATENCY_SECONDS = (0.0005, 0.002)
# Delay until a message to a dead process, or over a cut with resets, fails.
RESET_DELAY_SECONDS = 0.002
# Exceeds every message timeout.
HANG_SECONDS = 3_600.0


@dataclasses.dataclass(kw_only=True, eq=False)
class Site:
  """A daemon on the network; its `tasks` are cancelled when it is killed.

  `started_at` is the time of its start on the monotonic clock.
  """

  daemon: node.Node
  domain: str
  is_dead: bool = False
  # Looked up when it is called, since runs replace the clock.
  started_at: float = dataclasses.field(
    default_factory=lambda: time.monotonic()
  )
  # In the order of their start: the order of a set of tasks differs by run.
  tasks: dict[asyncio.Task[Any], None] = dataclasses.field(default_factory=dict)

  def run(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
    """Returns a task that is cancelled when the daemon is killed."""
    task = asyncio.ensure_future(work)
    self.tasks[task] = None
    task.add_done_callback(self.tasks.pop)
    return task


@dataclasses.dataclass(frozen=True, kw_only=True)
class Cut:
  """Drops all traffic from the domains in `sources` to those in `targets`.

  With `is_reset`, messages fail at once instead of hanging.
  """

  sources: frozenset[str]
  targets: frozenset[str]
  is_reset: bool

  def drops(self, source: str, target: str) -> bool:
    """Returns whether the cut drops traffic between two domains."""
    return source in self.sources and target in self.targets


def make_cuts(
  domain: str, domains: Iterable[str], *, is_reset: bool
) -> list[Cut]:
  """Returns cuts in both directions between a domain and all others."""
  alone = frozenset({domain})
  others = frozenset(domains) - alone
  return [
    Cut(sources=a, targets=b, is_reset=is_reset)
    for a, b in ((alone, others), (others, alone))
  ]


class Network:
  """The network between daemons, with the faults in force.

  `loss` is the share of datagrams that are lost, `delay` the maximum extra
  one-way latency in seconds.  Messages sent by the daemons in
  `requests_lost_from`, and replies to messages of the daemons in
  `replies_lost_to`, never arrive; the daemons' datagrams do.  Nothing reaches
  the daemons in `mute_names`, or leaves them.  Those in `isolated_at`, with the
  time since when, are cut off from all other daemons, but not from callers.
  """

  def __init__(self, *, rng: random.Random) -> None:
    self._rng = rng
    self.site_by_address: dict[str, Site] = {}
    self.cuts: list[Cut] = []
    self.loss = 0.0
    self.delay = 0.0
    self.requests_lost_from: set[str] = set()
    self.mute_names: set[str] = set()
    self.isolated_at: dict[str, float] = {}
    self.replies_lost_to: set[str] = set()

  def attach(self, site: Site) -> None:
    """Attaches a daemon: replaces its transports by simulated ones."""
    daemon = site.daemon
    self.site_by_address[daemon.config.peers_address] = site
    datagrams = daemon.fleet.datagrams

    async def open_in_memory() -> None:
      datagrams._transport = _Transport(network=self, site=site)

    async def skip_listening() -> None:
      return None

    async def post(
      address: str, path: str, message: Any, *, type: Any, timeout: float
    ) -> Any:
      return await self._post(site, address, path, message, type, timeout)

    datagrams.open = open_in_memory
    daemon._listen = skip_listening
    daemon.links.post = post

  def _find_cut(self, source: Site, target: Site) -> Cut | None:
    found = (c for c in self.cuts if c.drops(source.domain, target.domain))
    return next(found, None)

  def _is_silenced(self, source: Site, target: Site) -> bool:
    """Returns whether one end is mute, or apart from the other one."""
    names = {source.daemon.config.name, target.daemon.config.name}
    is_apart = source is not target and bool(names & self.isolated_at.keys())
    return is_apart or bool(names & self.mute_names)

  def _draw_latency(self) -> float:
    return self._rng.uniform(*LATENCY_SECONDS) + self.delay * self._rng.random()

  def send(self, source: Site, address: str, data: bytes) -> None:
    """Sends a datagram, which the network may drop."""
    target = self.site_by_address.get(address)
    if target is None or source.is_dead or self._find_cut(source, target):
      return
    if self._is_silenced(source, target):
      return
    if self._rng.random() < self.loss:
      return
    loop = asyncio.get_running_loop()
    loop.call_later(
      self._draw_latency(), self._deliver_datagram, source, target, data
    )

  def _deliver_datagram(self, source: Site, target: Site, data: bytes) -> None:
    is_cut = self._find_cut(source, target) or self._is_silenced(source, target)
    if not target.is_dead and not is_cut:
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
        await _hang_if(name in self.requests_lost_from)
        target = await self._deliver_message(
          source, self.site_by_address.get(address)
        )
        handler = target.daemon._handler_by_path[path]
        work = target.run(handler(body))
        try:
          reply = await asyncio.shield(work)
        except asyncio.CancelledError:
          if work.cancelled():
            raise _make_no_answer(address) from None
          raise
        await _hang_if(name in self.replies_lost_to)
        await self._deliver_message(target, source)
    except TimeoutError:
      raise _make_no_answer(address) from None
    return links.decode(reply.status, reply.body, type)

  async def _deliver_message(self, source: Site, target: Site | None) -> Site:
    """Returns the target once a message has arrived there."""
    if source.is_dead:
      await asyncio.Event().wait()
    if target is None or target.is_dead:
      await asyncio.sleep(RESET_DELAY_SECONDS)
      raise _make_no_answer('a dead process')
    await _hang_if(self._is_silenced(source, target))
    cut = self._find_cut(source, target)
    if cut is not None and cut.is_reset:
      await asyncio.sleep(RESET_DELAY_SECONDS)
      raise _make_no_answer(target.daemon.config.name)
    await _hang_if(cut is not None)
    await asyncio.sleep(self._draw_latency())
    return target


class _Transport:
  """The datagram transport of a daemon."""

  def __init__(self, *, network: Network, site: Site) -> None:
    self._network = network
    self._site = site

  def sendto(self, data: bytes, endpoint: tuple[str, int]) -> None:
    """Sends a datagram to a host and port."""
    host, port = endpoint
    self._network.send(self._site, f'{host}:{port}', data)

  def close(self) -> None:
    """Does nothing: the network drops datagrams of dead daemons."""


async def _hang_if(is_lost: bool) -> None:
  """Sleeps longer than any message timeout if a message is lost."""
  if is_lost:
    await asyncio.sleep(HANG_SECONDS)


def _make_no_answer(address: str) -> peers.NoAnswer:
  return peers.NoAnswer(
    errors.Code.OWNER_UNAVAILABLE,
    f'No answer from {address}.',
    ran=errors.RunStatus.UNKNOWN,
    retry_after=1.0,
  )
