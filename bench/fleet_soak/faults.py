"""Random faults, several at a time, each of which ends by itself."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import random

from fleet_soak import daemons
from fleet_soak import outside

# Between the begins of two faults, in seconds: most last longer than that.
LEAST_PAUSE, MOST_PAUSE = 0.3, 2.5
LONGEST = 5.0


class Faults:
  """Causes faults from a seed; `heal` ends them all.

  At most `MOST_DOWN` of the daemons are killed or frozen at a time, so that
  each turn that was kept without the store has a second copy.
  """

  MOST_DOWN = 1

  def __init__(
    self,
    *,
    fleet: list[daemons.Daemon],
    around: outside.Outside,
    seed: int,
  ) -> None:
    self.counts: collections.Counter[str] = collections.Counter()
    self.bad_exits: list[str] = []
    self._fleet = fleet
    self._around = around
    self._chance = random.Random(f'faults/{seed}')
    self._running: set[asyncio.Task[None]] = set()
    self._down = asyncio.Semaphore(self.MOST_DOWN)
    self._store_fault = asyncio.Lock()

  async def run(self) -> None:
    """Begins one fault after the other until it is cancelled."""
    kinds: list[Callable[[], Awaitable[None]]] = [
      self._kill,
      self._freeze,
      self._stop,
      self._cut_link,
      self._slow_link,
      self._reset_link,
      self._store_out,
      self._store_slow,
      self._store_loses,
      self._configure,
      self._replace,
      self._reset_instance,
    ]
    while True:
      await asyncio.sleep(self._chance.uniform(LEAST_PAUSE, MOST_PAUSE))
      kind = self._chance.choice(kinds)
      self.counts[kind.__name__.strip('_')] += 1
      task = asyncio.ensure_future(kind())
      self._running.add(task)
      task.add_done_callback(self._running.discard)

  async def heal(self) -> None:
    """Returns once no fault lasts and all daemons run."""
    if self._running:
      await asyncio.wait(set(self._running))
    for daemon in self._fleet:
      daemon.link.heal()

  async def _last(self) -> None:
    await asyncio.sleep(self._chance.uniform(0.2, LONGEST))

  def _disturb_all(self) -> None:
    for daemon in self._fleet:
      daemon.disturb()

  # --- Daemons --------------------------------------------------------------

  async def _kill(self) -> None:
    daemon = self._chance.choice(self._fleet)
    async with self._down:
      await daemon.kill()
      await asyncio.sleep(self._chance.uniform(0.1, 2.0))
      await daemon.start(self._around.store)
      # Its copies are back at two daemons once others have written to it.
      await asyncio.sleep(2.0)

  async def _freeze(self) -> None:
    daemon = self._chance.choice(self._fleet)
    async with self._down:
      daemon.freeze()
      try:
        await self._last()
      finally:
        daemon.wake()
      await asyncio.sleep(1.0)

  async def _stop(self) -> None:
    daemon = self._chance.choice(self._fleet)
    async with self._down:
      code = await daemon.leave()
      since = daemon.leavings[-1] - 4.0
      if code and daemon.is_calm(since, float('inf')):
        self.bad_exits.append(f'{daemon.name} ended with {code}')
      await daemon.start(self._around.store)
      await asyncio.sleep(2.0)

  # --- Ways to the store ----------------------------------------------------

  async def _cut_link(self) -> None:
    daemon = self._chance.choice(self._fleet)
    is_deaf = self._chance.random() < 0.5
    daemon.link.is_deaf |= is_deaf
    daemon.link.is_mute |= not is_deaf
    await self._disturb_while(daemon)
    daemon.link.heal()
    daemon.disturb()

  async def _slow_link(self) -> None:
    daemon = self._chance.choice(self._fleet)
    daemon.link.delay = self._chance.uniform(0.05, 0.5)
    await self._disturb_while(daemon)
    daemon.link.delay = 0.0
    daemon.disturb()

  async def _reset_link(self) -> None:
    daemon = self._chance.choice(self._fleet)
    daemon.disturb()
    daemon.link.reset()

  async def _disturb_while(self, daemon: daemons.Daemon) -> None:
    rest = self._chance.uniform(0.2, LONGEST)
    while rest > 0:
      daemon.disturb()
      await asyncio.sleep(min(1.0, rest))
      rest -= 1.0

  # --- The store ------------------------------------------------------------

  async def _store_out(self) -> None:
    await self._disturb_store('is_out', True, False)

  async def _store_slow(self) -> None:
    await self._disturb_store('delay', self._chance.uniform(0.1, 0.6), 0.0)

  async def _store_loses(self) -> None:
    await self._disturb_store('loses_answers', True, False)

  async def _disturb_store(self, name, fault, calm) -> None:
    async with self._store_fault:
      setattr(self._around.kept, name, fault)
      rest = self._chance.uniform(0.2, LONGEST)
      while rest > 0:
        self._disturb_all()
        await asyncio.sleep(min(1.0, rest))
        rest -= 1.0
      setattr(self._around.kept, name, calm)
      self._disturb_all()

  # --- What the operator does, and instances --------------------------------

  async def _configure(self) -> None:
    await self._around.configure(self._chance.choice(('tools', 'other')))

  async def _replace(self) -> None:
    await self._around.replace(
      self._chance.choice(('models', 'tools', 'other'))
    )

  async def _reset_instance(self) -> None:
    self._disturb_all()
    self._chance.choice(self._around.instances).proxy.reset()
