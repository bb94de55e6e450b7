"""Random faults, several at a time, each of limited duration."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal

from fleet_soak import bursts
from fleet_soak import daemons
from fleet_soak import outside
from woadrun.process import fleet
from woadrun.process import hubs

# Range of the interval between the starts of two faults; most faults last
# longer than that, so that faults overlap.
MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS = 0.3, 2.5
MAX_FAULT_SECONDS = 5.0
# Share of runs without unplanned faults, whose stops are beside calm, and the
# range of the pauses between the stops of a series.
PLANNED_SHARE = 0.5
SERIES_SECONDS = (0.0, 1.5)
# Shares of stops with a SIGHUP and with a second SIGTERM.
HANGUP_SHARE, SECOND_TERM_SHARE = 0.3, 0.3
# Part of the daemons that may stop at the same time while the store works.
MAX_STOPPING_SHARE = 0.5


class Faults:
  """Injects random faults from a seed; `heal` waits until all of them ended."""

  def __init__(
    self,
    *,
    fleet: list[daemons.Daemon],
    environment: outside.Outside,
    bursts: bursts.Bursts,
    seed: int,
  ) -> None:
    self._bursts = bursts
    self.counts: collections.Counter[str] = collections.Counter()
    self.bad_exits: list[str] = []
    self._fleet = fleet
    self._environment = environment
    self._rng = random.Random(f'faults/{seed}')
    self._running: set[asyncio.Task[None]] = set()
    self._down_limit = asyncio.Lock()
    self._store_fault = asyncio.Lock()

  async def run(self) -> None:
    """Starts faults at random intervals until cancelled."""
    planned: list[Callable[[], Awaitable[None]]] = [
      self._stop_series,
      self._stop_series,
      self._burst_endless,
      self._burst_endless,
      self._burst_large,
      self._configure,
      self._replace,
    ]
    kinds: list[Callable[[], Awaitable[None]]] = [
      *planned,
      self._stop_beside_outage,
      self._kill,
      self._kill_all,
      self._kill_all_beside_outage,
      self._cut_domain,
      self._freeze,
      self._freeze_hubs,
      self._stop,
      self._cut_link,
      self._slow_link,
      self._reset_link,
      self._store_out,
      self._store_slow,
      self._store_loses,
      self._reset_instance,
    ]
    if self._rng.random() < PLANNED_SHARE:
      kinds = planned
    while True:
      await asyncio.sleep(
        self._rng.uniform(MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS)
      )
      kind = self._rng.choice(kinds)
      self.counts[kind.__name__.strip('_')] += 1
      task = asyncio.ensure_future(kind())
      self._running.add(task)
      task.add_done_callback(self._running.discard)

  async def heal(self) -> None:
    """Waits until no fault lasts and all daemons run, then heals the links."""
    if self._running:
      await asyncio.wait(set(self._running))
    for daemon in self._fleet:
      daemon.link.heal()

  async def _wait_fault(self) -> None:
    await asyncio.sleep(self._rng.uniform(0.2, MAX_FAULT_SECONDS))

  def _record_fault_of_all(self) -> None:
    for daemon in self._fleet:
      daemon.record_fault()

  # --- Daemons --------------------------------------------------------------

  async def _kill(self) -> None:
    daemon = self._rng.choice(self._fleet)
    async with self._down_limit:
      await daemon.kill()
      await asyncio.sleep(self._rng.uniform(0.1, 2.0))
      await daemon.start(self._environment.store_address)

  async def _kill_all(self) -> None:
    """Kills all daemons at once, whatever other faults there are."""
    async with self._down_limit:
      self._record_fault_of_all()
      for daemon in self._fleet:
        daemon.process.kill()
      await asyncio.gather(*(daemon.kill() for daemon in self._fleet))
      for daemon in self._fleet:
        await daemon.start(self._environment.store_address)
      await asyncio.sleep(2.0)

  async def _kill_all_beside_outage(self) -> None:
    """Kills all daemons while the store is out, or just after it was."""
    outage = asyncio.ensure_future(
      self._rng.choice((self._store_out, self._store_slow, self._cut_domain))()
    )
    await asyncio.sleep(self._rng.uniform(0.1, MAX_FAULT_SECONDS))
    await self._kill_all()
    await outage

  async def _freeze(self) -> None:
    daemon = self._rng.choice(self._fleet)
    async with self._down_limit:
      daemon.freeze()
      try:
        await self._wait_fault()
      finally:
        daemon.resume()
      await asyncio.sleep(1.0)

  async def _freeze_hubs(self) -> None:
    """Suspends both hubs of a domain, in a fleet that is large enough."""
    domain = self._rng.choice(self._fleet).domain
    members = [daemon for daemon in self._fleet if daemon.domain == domain]
    members.sort(
      key=lambda daemon: hubs.get_rendezvous_weight(daemon.name, 'hub')
    )
    if len(self._fleet) <= fleet.FULL_MESH_MAX_MEMBERS:
      return
    frozen = members[-hubs.HUBS_PER_DOMAIN :]
    async with self._down_limit:
      for daemon in frozen:
        daemon.freeze()
      try:
        await self._wait_fault()
      finally:
        for daemon in frozen:
          daemon.resume()
      await asyncio.sleep(1.0)

  async def _stop(self) -> None:
    daemon = self._rng.choice(self._fleet)
    async with self._down_limit:
      await self._restart(daemon)
      await asyncio.sleep(2.0)

  async def _stop_series(self) -> None:
    """Stops several daemons one after the other, so that stops overlap."""
    limit = max(1, int(len(self._fleet) * MAX_STOPPING_SHARE))
    stopped = self._rng.sample(self._fleet, self._rng.randint(1, limit))
    async with self._down_limit:
      tasks = []
      for daemon in stopped:
        tasks.append(asyncio.ensure_future(self._restart(daemon)))
        await asyncio.sleep(self._rng.uniform(*SERIES_SECONDS))
      await asyncio.gather(*tasks)
      await asyncio.sleep(2.0)

  async def _stop_beside_outage(self) -> None:
    """Stops a daemon while the store is out."""
    daemon = self._rng.choice(self._fleet)
    async with self._down_limit:
      outage = asyncio.ensure_future(self._store_out())
      await asyncio.sleep(self._rng.uniform(0.0, 1.0))
      await self._restart(daemon)
      await outage
      await asyncio.sleep(2.0)

  async def _restart(self, daemon: daemons.Daemon) -> None:
    """Stops a daemon as planned, maybe beside other signals; starts it."""
    hangup = self._rng.random() < HANGUP_SHARE
    second = self._rng.random() < SECOND_TERM_SHARE
    signals = [signal.SIGHUP] * hangup + [signal.SIGTERM] * second
    stop = asyncio.ensure_future(daemon.stop())
    for number in signals:
      await asyncio.sleep(self._rng.uniform(0.0, 1.0))
      daemon.send_signal(number)
    code = await stop
    since = daemon.stop_times[-1] - 4.0
    if code == -signal.SIGTERM and not daemon.has_answered:
      # Ended before it could listen, and so before any request began.
      code = 0
    if code and daemon.is_fault_free(since, float('inf')):
      self.bad_exits.append(
        f'{daemon.name} ended with {code}, grace {daemon.grace:.1f} s'
      )
    await daemon.start(self._environment.store_address)

  # --- Links to the store ---------------------------------------------------

  async def _cut_link(self) -> None:
    daemon = self._rng.choice(self._fleet)
    drops_requests = self._rng.random() < 0.5
    daemon.link.drops_requests |= drops_requests
    daemon.link.drops_responses |= not drops_requests
    await self._record_fault_while(daemon)
    daemon.link.heal()
    daemon.record_fault()

  async def _cut_domain(self) -> None:
    """Cuts all daemons of a failure domain off from the store."""
    domain = self._rng.choice(self._fleet).domain
    cut = [daemon for daemon in self._fleet if daemon.domain == domain]
    for daemon in cut:
      daemon.link.drops_requests = True
    await asyncio.gather(*(self._record_fault_while(d) for d in cut))
    for daemon in cut:
      daemon.link.heal()
      daemon.record_fault()

  async def _slow_link(self) -> None:
    daemon = self._rng.choice(self._fleet)
    daemon.link.delay = self._rng.uniform(0.05, 0.5)
    await self._record_fault_while(daemon)
    daemon.link.delay = 0.0
    daemon.record_fault()

  async def _reset_link(self) -> None:
    daemon = self._rng.choice(self._fleet)
    daemon.record_fault()
    if self._rng.random() < 0.5:
      daemon.link.reset()
    else:
      daemon.link.close_connections()

  async def _record_fault_while(self, daemon: daemons.Daemon) -> None:
    remaining = self._rng.uniform(0.2, MAX_FAULT_SECONDS)
    while remaining > 0:
      daemon.record_fault()
      await asyncio.sleep(min(1.0, remaining))
      remaining -= 1.0

  # --- The store ------------------------------------------------------------

  async def _store_out(self) -> None:
    await self._apply_store_fault('is_out', True, False)

  async def _store_slow(self) -> None:
    await self._apply_store_fault('delay', self._rng.uniform(0.1, 0.6), 0.0)

  async def _store_loses(self) -> None:
    await self._apply_store_fault('loses_answers', True, False)

  async def _apply_store_fault(self, name, fault, normal) -> None:
    async with self._store_fault:
      setattr(self._environment.memory_rows, name, fault)
      remaining = self._rng.uniform(0.2, MAX_FAULT_SECONDS)
      while remaining > 0:
        self._record_fault_of_all()
        await asyncio.sleep(min(1.0, remaining))
        remaining -= 1.0
      setattr(self._environment.memory_rows, name, normal)
      self._record_fault_of_all()

  # --- Bursts ---------------------------------------------------------------

  async def _burst_endless(self) -> None:
    await self._bursts.send_endless(self._rng.choice(self._fleet))

  async def _burst_large(self) -> None:
    await self._bursts.send_large(self._rng.choice(self._fleet))

  # --- Operator and instances -----------------------------------------------

  async def _configure(self) -> None:
    await self._environment.configure(self._rng.choice(('tools', 'other')))

  async def _replace(self) -> None:
    await self._environment.replace(
      self._rng.choice(('models', 'tools', 'other'))
    )

  async def _reset_instance(self) -> None:
    # An orderly close would complete a response without length and chunks.
    self._record_fault_of_all()
    alive = [i for i in self._environment.instances if i.ended_at is None]
    self._rng.choice(alive).proxy.reset()
