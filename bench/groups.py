"""Measures how long records are on two VMs only, by the number of daemons.

Runs daemons as processes, a platform that takes few writes a second, and
callers at all daemons.  Prints the longest time between a record and the
acknowledgement of the object store, and the store's writes.  Then measures what
it costs one daemon to write for 32 others at the target size.

Usage: ./dev python bench/groups.py [--sizes 12 24 48] [--writes 4]
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import fleet as fleets
import msgspec
import processes

from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.standins import local
from woadrun.version import program

CALLERS = 8
# The target load: each of 32 daemons gets 14 calls/s of 5,000 new bytes, and
# sends a group every 0.78 s.
SENDERS = 32
GROUP_BYTES = 54_600
GROUP_INTERVAL_SECONDS = 0.78


async def call_until(caller, number, until) -> None:
  while time.monotonic() < until:
    name = (await caller.start('riders', 50_000))['id']
    for turn in range(5):
      await caller.say(name, f'{number} {turn}', model=local.MODEL)


def sum_storage(dumps, *keys) -> int:
  values = [d['storage'] for d in dumps]
  for key in keys:
    values = [value[key] for value in values]
  return sum(values)


async def measure(size: int, writes: float, seconds: float) -> None:
  with tempfile.TemporaryDirectory() as folder:
    outside = await local.start_outside(engines=4)
    fleet = fleets.Fleet(pathlib.Path(folder), outside, has_links=False)
    sections = {
      'daemon': {'slots': max(32, size * 2)},
      'platform': {'writes_per_second': writes},
    }
    try:
      for _ in range(size):
        await fleet.add('north', **sections)
      await fleet.wait_ready()
      version = await fleet.edit(fleet.nodes[0], riders={})
      await fleet.wait_version(version)
      before = [await fleet.dump(n) for n in fleet.nodes]
      caller = fleet.make_client(patience=60.0)
      until = time.monotonic() + seconds
      await asyncio.gather(
        *(call_until(caller, n, until) for n in range(CALLERS))
      )
      dumps = [await fleet.dump(n) for n in fleet.nodes]
    finally:
      await fleet.stop()
  groups = [d['storage']['groups'] for d in dumps]
  objects = sum_storage(dumps, 'groups', 'objects')
  objects -= sum_storage(before, 'groups', 'objects')
  writers = len({g['writer'] for g in groups})
  interval = max(g['interval'] for g in groups)
  longest = max(d['storage']['longest'] for d in dumps)
  print(
    f'{size} daemons, {writers} write: interval {interval:.2f} s, longest '
    f'{longest:.2f} s; {objects / seconds:.2f} objects/s of at most '
    f'{writes / 2:.2f}, {sum_storage(dumps, "groups", "joined")} groups '
    f'joined, {sum_storage(dumps, "groups", "detours")} detours',
    flush=True,
  )


async def measure_writer(seconds: float) -> None:
  with tempfile.TemporaryDirectory() as folder:
    outside = await local.start_outside(engines=1)
    fleet = fleets.Fleet(pathlib.Path(folder), outside, has_links=False)
    try:
      # 256 daemons would share this rate of writes: an interval of 0.78 s.
      node = await fleet.add('north', platform={'writes_per_second': 2.56})
      await fleet.wait_ready()
      links = peers.Peers(session=fleet.session, key=local.PEER_KEY)
      pid = fleets.get_pid(node)
      idle = await measure_core_share(pid, seconds)
      sending = asyncio.gather(
        *(send_groups_for(links, node.listen, seconds) for _ in range(SENDERS))
      )
      busy = await measure_core_share(pid, seconds)
      await sending
      dump = await fleet.dump(node)
    finally:
      await fleet.stop()
  rate = SENDERS * GROUP_BYTES / GROUP_INTERVAL_SECONDS / 1e6
  print(
    f'a writer for {SENDERS} daemons, {rate:.2f} MB/s: {busy - idle:.2f}% of '
    f'a core over {idle:.2f}% idle; {dump["storage"]["groups"]["joined"]} '
    f'groups in {dump["storage"]["groups"]["objects"]} objects',
    flush=True,
  )


async def measure_core_share(pid: int, seconds: float) -> float:
  before = processes.get_processor_seconds(pid)
  await asyncio.sleep(seconds)
  processor_seconds = processes.get_processor_seconds(pid) - before
  return processor_seconds / seconds * 100


async def send_groups_for(links, address: str, seconds: float) -> None:
  record = program.Finished(
    program='north.000.p',
    request='r',
    outcome=program.OK,
    time=0.0,
    answer='x' * GROUP_BYTES,
  )
  append = messages.Append(slot=0, epoch=0, sequence=1, records=[record])
  data = msgspec.json.encode([append])
  until = time.monotonic() + seconds
  while time.monotonic() < until:
    started = time.monotonic()
    await links.post(
      address,
      'records',
      messages.Group(appends=msgspec.Raw(data)),
      type=messages.Done,
      timeout=10.0,
    )
    await asyncio.sleep(
      max(0, started + GROUP_INTERVAL_SECONDS - time.monotonic())
    )


async def main() -> None:
  parser = argparse.ArgumentParser()
  parser.add_argument('--sizes', type=int, nargs='+', default=[12, 24, 48])
  parser.add_argument('--writes', type=float, default=4.0)
  parser.add_argument('--seconds', type=float, default=20.0)
  arguments = parser.parse_args()
  for size in arguments.sizes:
    await measure(size, arguments.writes, arguments.seconds)
  await measure_writer(arguments.seconds)


if __name__ == '__main__':
  asyncio.run(main())
