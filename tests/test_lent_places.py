"""Places of a row, lent by a keeper to holders over a network with delays.

Guards against more calls than the row's limit (`assert 3 <= 2`, seen once in
many runs of whole daemons under load).  A holder returned its place while the
response to its request for another one was in transit; the keeper then counted
one place fewer than the holder had.  A report that arrived after the holder's
next request had the same effect, since messages had no sequence number.
"""

import asyncio
import random

from faults import clock
import pytest
import test_limits

from woadrun import errors
from woadrun.process import limits
from woadrun.version import rows

LIMIT = 2
KEEPER, OTHER_KEEPER = '127.0.0.1:9', '127.0.0.1:8'
DURATION_SECONDS = 6.0


class Directory:
  """A view of the members that all parts share; `keeper` may change."""

  def __init__(self):
    self.keeper = KEEPER
    self.names = set()

  def get_keeper(self, domain, name):
    return self.keeper

  def get_known_addresses(self):
    return self.names

  def get_known_processes(self):
    return self.names


class Members(test_limits.Members):
  def __init__(self, address, directory):
    super().__init__()
    self.address = address
    self.process_name = f'{address}/a'
    self.directory = directory
    directory.names.add(self.process_name)


class Network:
  """Delays messages between parts, reorders them and loses some."""

  def __init__(self, rng, *, loss, max_delay_seconds):
    self._rng = rng
    self._delays = (0.001, 0.002, 0.05, max_delay_seconds)
    self._loss = loss
    self.part_by_address = {}

  async def post(self, address, path, message, *, type, timeout):
    try:
      async with asyncio.timeout(timeout):
        await self._pass()
        part = self.part_by_address[address]
        if path == 'limit/hold':
          answer = part.apply_holds(message)
        else:
          answer = await part.lend(message)
        await self._pass()
        return answer
    except TimeoutError:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE, 'The message was lost.'
      ) from None

  async def _pass(self):
    if self._rng.random() < self._loss:
      await asyncio.sleep(3600)
    await asyncio.sleep(self._rng.choice(self._delays))


class Row(rows.Row):
  concurrency: int = LIMIT
  rate: float = 1000.0


async def hold(part, row, name, rng, running, violations):
  """Acquires and releases places until `DURATION_SECONDS` have passed."""
  loop = asyncio.get_running_loop()
  deadline = loop.time() + DURATION_SECONDS
  number = 0
  while loop.time() < deadline:
    number += 1
    permit = f'{name}/{number}'
    try:
      await part.acquire(row, permit)
    except errors.WoadrunError:
      await asyncio.sleep(rng.uniform(0.0, 0.2))
      continue
    running.add(permit)
    if len(running) > LIMIT:
      violations.append(sorted(running))
    await asyncio.sleep(rng.choice((0.0, 0.003, 0.05)))
    running.discard(permit)
    part.release(row, permit)


def simulate(seed, *, loss=0.0, changes=False):
  rng = random.Random(seed)
  running, violations = set(), []

  async def run():
    directory, row = Directory(), Row(key='riders')
    # The grace period of a new keeper is finite: if the keeper changes, delays
    # are shorter than the grace period.
    max_delay_seconds = limits.GRACE_PERIOD_SECONDS * (0.8 if changes else 1.5)
    network = Network(rng, loss=loss, max_delay_seconds=max_delay_seconds)
    addresses = [KEEPER, OTHER_KEEPER, *(f'127.0.0.1:{n}' for n in range(3))]
    for address in addresses:
      part = limits.Limits(
        config=test_limits.make_config(),
        members=Members(address, directory),
        links=network,
        get_row=lambda key: row,
      )
      network.part_by_address[address] = part
    parts = list(network.part_by_address.values())
    work = [
      hold(part, row, f'{number}-{copy}', rng, running, violations)
      for number, part in enumerate(parts)
      for copy in range(2)
    ]
    tasks = [asyncio.ensure_future(item) for item in work]
    for part in parts:
      tasks.append(asyncio.ensure_future(report_periodically(part)))
    if changes:
      await asyncio.sleep(DURATION_SECONDS / 2)
      directory.keeper = OTHER_KEEPER
      for part in parts:
        part._on_roster_change(None)
    await asyncio.sleep(DURATION_SECONDS / 2 + 2.0)

  with clock.run_by(clock.Clock()) as loop:
    loop.run_until_complete(run())
  return violations


async def report_periodically(part):
  while True:
    await asyncio.sleep(limits.RECONCILE_INTERVAL_SECONDS)
    part.report()


@pytest.mark.parametrize('loss', [0.0, 0.05])
def test_lent_places_never_exceed_the_limit(loss):
  violations = {seed: simulate(seed, loss=loss) for seed in range(25)}
  assert not {seed: found[0] for seed, found in violations.items() if found}


def test_new_keeper_counts_the_places_lent_by_its_predecessor():
  violations = {seed: simulate(seed, changes=True) for seed in range(25)}
  assert not {seed: found[0] for seed, found in violations.items() if found}
