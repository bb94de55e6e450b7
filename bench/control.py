"""Measures the control-plane cost of idle domains of growing size.

Runs daemons as processes without callers.  Prints for each size the messages,
bytes, processor time and memory of a daemon, and the table's reads and writes.

Usage: ./dev python bench/control.py [--sizes 4 12 24 48] [--seconds 10]
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import statistics
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'tests'))

import fleet as fleets
import processes

from woadrun.standins import local

COLUMNS = (
  'daemons', 'messages/s', 'bytes/s', 'core %', 'resident MB',
  'table reads/s', 'table writes/s',
)  # fmt: skip


def get_network_bytes(dump) -> int:
  counts = dump['messages']
  return counts['sent_bytes'] + counts['received_bytes']


async def measure(size: int, seconds: float) -> list[str]:
  with tempfile.TemporaryDirectory() as folder:
    outside = await local.start_outside(engines=4)
    fleet = fleets.Fleet(pathlib.Path(folder), outside, has_links=False)
    try:
      for _ in range(size):
        await fleet.add('north', daemon={'slots': max(32, size * 4)})
      await fleet.wait_ready()
      await asyncio.sleep(5.0)
      return await measure_idle(fleet, seconds)
    finally:
      await fleet.stop()


async def measure_idle(fleet, seconds: float) -> list[str]:
  before = [await fleet.dump(n) for n in fleet.nodes]
  platform = fleet.outside.platform
  requests, writes = platform.requests, platform.table_writes
  processor_before = [
    processes.get_processor_seconds(fleets.get_pid(n)) for n in fleet.nodes
  ]
  started = time.monotonic()
  await asyncio.sleep(seconds)
  elapsed = time.monotonic() - started
  processor_seconds = [
    processes.get_processor_seconds(fleets.get_pid(n)) - s
    for n, s in zip(fleet.nodes, processor_before, strict=True)
  ]
  reads_per_second = (platform.requests - requests) / elapsed
  writes_per_second = (platform.table_writes - writes) / elapsed
  after = [await fleet.dump(n) for n in fleet.nodes]
  messages_per_second = [
    (b['messages']['sent'] - a['messages']['sent']) / elapsed
    for a, b in zip(before, after, strict=True)
  ]
  bytes_per_second = [
    (get_network_bytes(b) - get_network_bytes(a)) / elapsed
    for a, b in zip(before, after, strict=True)
  ]
  resident_mb = [
    processes.get_resident_bytes(fleets.get_pid(n)) / 2**20 for n in fleet.nodes
  ]
  return [
    str(len(fleet.nodes)),
    f'{statistics.fmean(messages_per_second):.1f}',
    f'{statistics.fmean(bytes_per_second):.0f}',
    f'{statistics.fmean(processor_seconds) / elapsed * 100:.2f}',
    f'{statistics.fmean(resident_mb):.1f}',
    f'{reads_per_second:.1f}',
    f'{writes_per_second:.2f}',
  ]


async def main() -> None:
  parser = argparse.ArgumentParser()
  parser.add_argument('--sizes', type=int, nargs='+', default=[4, 12, 24, 48])
  parser.add_argument('--seconds', type=float, default=10.0)
  arguments = parser.parse_args()
  print('  '.join(COLUMNS))
  for size in arguments.sizes:
    cells = await measure(size, arguments.seconds)
    pairs = zip(cells, COLUMNS, strict=True)
    print('  '.join(c.rjust(len(n)) for c, n in pairs), flush=True)


if __name__ == '__main__':
  asyncio.run(main())
