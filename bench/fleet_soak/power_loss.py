"""A planned day: all daemons are lost in an outage of the store.

`./dev python bench/fleet_soak/power_loss.py --seed 1 --outage cut`.  The store
is a process of its own.  It stops serving the daemons, all of them are killed
meanwhile and started again, and the store returns after that.  Each turn that
was complete for its caller is continued at once, and again until it is served.

Prints the calls of the store for each second, and a violation for each such
turn that the store does not have or that is served too late.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Iterator
import dataclasses
import enum
import json
import pathlib
import random
import sys
import time
from typing import Any

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

from fleet_soak import __main__ as soak
from fleet_soak import callers
from fleet_soak import daemons
from fleet_soak import network
from fleet_soak import outside
from woadrun.connection import rows
from woadrun.connection import tcp_connections
from woadrun.platform import store
from woadrun.process.store import turn_store

WARM_UP_SECONDS = 6.0
# Length of the outage, and the range of the time from its begin to the kill.
OUTAGE_SECONDS = 4.5
KILL_RANGE_SECONDS = (2.2, 3.2)
DOWN_SECONDS = 1.0
# Range of the time from the store's return to the kill of a `BACK` outage.
BACK_RANGE_SECONDS = (0.0, 0.5)
# Complete turns before the outage that are continued.
RECENT_SECONDS = 3.0
# Time from the return of the machines within which a turn that continues from a
# complete one has to be served, and how long tries go on.
SERVED_SECONDS = 12.0
TRY_SECONDS = 30.0
RETRY_RANGE_SECONDS = (0.1, 0.4)
STORE_TIMEOUT_SECONDS = 5.0


class Outage(enum.StrEnum):
  """What the daemons meet: a silent store, for all or for one domain, refusals.

  A `BACK` outage is a silent one that ends just before the kill.
  """

  SILENT = 'silent'
  REFUSING = 'refusing'
  CUT = 'cut'
  BACK = 'back'


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Link:
  """The link of a daemon to the store, which has the faults."""

  address: str

  async def stop(self) -> None:
    """Does nothing: the link ends with the store."""


class SeparateStore(outside.Outside):
  """The environment of the daemons with the store in a process of its own."""

  def __init__(self, *, links: int, capacity: float, **options: Any) -> None:
    super().__init__(**options)
    self._count = links
    self._capacity = capacity
    self._process: asyncio.subprocess.Process | None = None
    self._session: aiohttp.ClientSession | None = None
    self._control = ''
    self._store: store.Store | None = None
    self.links: list[_Link] = []

  async def start_store(self, host: str) -> None:
    """Starts the process and waits until it listens."""
    self._process = await asyncio.create_subprocess_exec(
      sys.executable,
      str(pathlib.Path(__file__).with_name('store_process.py')),
      host,
      str(self._count),
      str(self._capacity),
      stdin=asyncio.subprocess.PIPE,
      stdout=asyncio.subprocess.PIPE,
      process_group=0,
    )
    control, *ports = json.loads(await self._process.stdout.readline())
    self.links = [_Link(address=f'{host}:{port}') for port in ports]
    self._control = f'http://{host}:{control}'
    self.store_address = (host, ports[0])
    self._session = aiohttp.ClientSession()
    self._store = store.Store(
      session=self._session,
      address=f'{host}:{control}/store',
      timeout=STORE_TIMEOUT_SECONDS,
      addresses=tcp_connections.Addresses(),
    )

  async def stop_store(self) -> None:
    """Ends the process."""
    await self._session.close()
    self._process.stdin.close()
    await self._process.wait()

  async def change_rows(self, **options: Any) -> None:
    """Changes rows of the store, whatever faults its links have."""
    await self._store.change(**options)

  async def set_faults(
    self, links: list[int], *, is_silent: bool, is_refusing: bool
  ) -> None:
    """Sets or ends the faults of some links."""
    await self._post(
      'faults',
      {'links': links, 'is_silent': is_silent, 'is_refusing': is_refusing},
    )

  async def take_statistics(self) -> list[dict[str, Any]]:
    """Returns the calls of each link since the last call of this method."""
    return await self._post('statistics', {})

  async def find_stored(self, requests: list[str]) -> set[str]:
    """Returns those of some turns that the store has."""
    wanted = [
      (turn_store.TABLE, part, rows.make_name(request))
      for request in requests
      for part in turn_store.get_parts(request)
    ]
    return {name for _, _, name in await self._post('rows', wanted)}

  async def _post(self, path: str, body: Any) -> Any:
    url = f'{self._control}/{path}'
    async with self._session.post(url, json=body) as response:
      return await response.json()


@dataclasses.dataclass(kw_only=True)
class Continuation:
  """The tries to continue from a complete turn.

  `tries` has the status, the error and the end of each, in seconds since the
  machines returned.
  """

  turn: callers.Attempt
  tries: list[tuple[int, str, float]] = dataclasses.field(default_factory=list)

  @property
  def served_at(self) -> float | None:
    """Seconds from the return to the end of the try that was served."""
    return self.tries[-1][2] if self.is_served else None

  @property
  def is_served(self) -> bool:
    """Whether a try was served."""
    return bool(self.tries) and self.tries[-1][0] == 200


class PowerLoss:
  """A planned day of one fleet."""

  def __init__(
    self,
    *,
    fleet: list[daemons.Daemon],
    environment: SeparateStore,
    caller_pool: callers.Callers,
    rng: random.Random,
    outage: Outage,
  ) -> None:
    self._fleet = fleet
    self._environment = environment
    self._callers = caller_pool
    self._rng = rng
    self._outage = outage
    self._began_at = 0.0
    self.returned_at = 0.0
    self.statistics: list[tuple[float, str]] = []

  async def run(self) -> tuple[list[Continuation], set[str]]:
    """Returns the continuations, and the complete turns the store has."""
    self._began_at = time.monotonic()
    await self._set_outage(True)
    began = time.monotonic()
    await asyncio.sleep(self._rng.uniform(*KILL_RANGE_SECONDS))
    if self._outage is Outage.BACK:
      await self._set_outage(False)
      await asyncio.sleep(self._rng.uniform(*BACK_RANGE_SECONDS))
    killed = time.monotonic()
    for daemon in self._fleet:
      daemon.process.kill()
    await asyncio.gather(*(daemon.kill() for daemon in self._fleet))
    await asyncio.sleep(DOWN_SECONDS)
    for daemon in self._fleet:
      await daemon.start(self._environment.store_address)
    self.returned_at = time.monotonic()
    followed = [
      Continuation(turn=attempt)
      for attempt in self._callers.attempts
      if attempt.status == 200
      and attempt.path.startswith(outside.CHAT)
      and began - RECENT_SECONDS < attempt.ended <= killed
    ]
    following = asyncio.gather(*map(self._follow, followed))
    await asyncio.sleep(max(0.0, began + OUTAGE_SECONDS - time.monotonic()))
    await self._set_outage(False)
    requests = [each.turn.request for each in followed]
    stored = await self._environment.find_stored(requests)
    await following
    return followed, stored

  async def _set_outage(self, is_out: bool) -> None:
    is_refusing = self._outage is Outage.REFUSING
    await self._environment.set_faults(
      [
        number
        for number, daemon in enumerate(self._fleet)
        if self._outage is not Outage.CUT or daemon.domain == soak.DOMAINS[0]
      ],
      is_silent=is_out and not is_refusing,
      is_refusing=is_out and is_refusing,
    )

  async def _follow(self, each: Continuation) -> None:
    while not each.is_served:
      since = time.monotonic() - self.returned_at
      if since > TRY_SECONDS:
        return
      attempt = await self._callers.continue_turn(each.turn)
      ended = round(time.monotonic() - self.returned_at, 2)
      each.tries.append((attempt.status, attempt.error, ended))
      if not each.is_served:
        await asyncio.sleep(self._rng.uniform(*RETRY_RANGE_SECONDS))

  async def watch(self) -> None:
    """Records what the store was asked in each second, until cancelled."""
    while True:
      await asyncio.sleep(1.0)
      found = await self._environment.take_statistics()
      since = time.monotonic() - (self.returned_at or time.monotonic())
      self.statistics.append((since, _summarize(found)))


def _summarize(found: list[dict[str, Any]]) -> str:
  """Returns the calls of all links by kind: made, answered, usual time."""
  kinds = sorted({kind for link in found for kind in link})

  def describe(kind: str) -> str:
    links = [link[kind] for link in found if kind in link]
    usual = [link['usual'] for link in links if link['usual'] is not None]
    return (
      f'{kind} {sum(link["calls"] for link in links)}'
      f'/{sum(link["answered"] for link in links)}'
      f' {max(usual, default=0.0) * 1000:.0f} ms'
    )

  return ', '.join(map(describe, kinds))


def find_violations(
  followed: list[Continuation], stored: set[str]
) -> Iterator[str]:
  """Yields the complete turns that were lost or continued too late."""
  for each in followed:
    request = each.turn.request
    if request not in stored:
      yield f'{request} was complete for its caller, and is not in the store'
    if each.served_at is None:
      yield f'{request} was never continued: {each.tries}'
    elif each.served_at > SERVED_SECONDS:
      yield f'{request} was continued after {each.served_at} s: {each.tries}'


async def run(
  *,
  seed: int,
  outage: Outage,
  count: int,
  callers_count: int,
  capacity: float,
  folder: pathlib.Path,
) -> list[str]:
  """Returns the violations found on the day of a seed, of `count` daemons.

  `capacity` is how many calls the store serves in a second, 0 for any number.
  """
  rng = random.Random(f'power loss/{seed}')
  hosts = network.Network()
  environment = SeparateStore(
    links=count,
    capacity=capacity,
    domains=soak.DOMAINS,
    seed=seed,
    hosts=hosts,
  )
  await environment.start()
  fleet = [
    daemons.Daemon(
      number=number,
      domain=soak.DOMAINS[number % len(soak.DOMAINS)],
      folder=folder,
      host=hosts.get_host(3, number),
      memory_mb=soak.MEMORY_MB[0],
    )
    for number in range(count)
  ]
  for daemon, link in zip(fleet, environment.links, strict=True):
    daemon.link = link
  caller_pool = callers.Callers(
    fleet=fleet, seed=seed, count=callers_count, has_turn=lambda request: True
  )
  day = PowerLoss(
    fleet=fleet,
    environment=environment,
    caller_pool=caller_pool,
    rng=rng,
    outage=outage,
  )
  try:
    await soak.start_all(fleet, environment)
    calling = asyncio.ensure_future(caller_pool.run())
    watching = asyncio.ensure_future(day.watch())
    await asyncio.sleep(WARM_UP_SECONDS)
    followed, stored = await day.run()
    watching.cancel()
    caller_pool.is_stopped = True
    calling.cancel()
    await asyncio.gather(calling, watching, return_exceptions=True)
  finally:
    for daemon in fleet:
      if daemon.process is not None:
        await daemon.kill()
    caller_pool.close()
    await environment.stop()
    hosts.close()
  for since, text in day.statistics:
    print(f'{since:6.1f} s: {text}')
  served = sorted(each.served_at or TRY_SECONDS for each in followed)
  slowest = served[-1] if served else 0.0
  late = sum(at > SERVED_SECONDS for at in served)
  print(
    f'seed {seed}, {outage}, {count} daemons, {callers_count} callers: '
    f'{len(followed)} complete turns, continued after {slowest:.1f} s at the '
    f'latest, {late} of them late; '
    f'{sum(len(each.tries) for each in followed)} tries; '
    f'{time.process_time():.0f} s of processor time in this process'
  )
  return list(find_violations(followed, stored))


def main() -> int:
  """Returns 1 if a turn was lost or continued too late, 0 otherwise."""
  parser = argparse.ArgumentParser(description=__doc__)
  soak.add_common_options(parser)
  parser.add_argument('--outage', type=Outage, default=Outage.SILENT)
  parser.add_argument('--daemons', type=int, default=12)
  parser.add_argument('--callers', type=int, default=24)
  parser.add_argument(
    '--capacity', type=float, default=0.0, help='calls of the store in a second'
  )
  options = parser.parse_args()

  async def play(seed: int, folder: pathlib.Path) -> list[str]:
    return await run(
      seed=seed,
      outage=options.outage,
      count=options.daemons,
      callers_count=options.callers,
      capacity=options.capacity,
      folder=folder,
    )

  return soak.run_seeds(options, play, prefix='power')


if __name__ == '__main__':
  sys.exit(main())
