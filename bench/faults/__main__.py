"""Runs schedules of faults by seed, and shows the shortest that fails."""

from __future__ import annotations

import argparse
import logging
import sys
import time

from faults import schedule

# How many daemons a schedule has, and in how many failure domains.
DAEMONS, DOMAINS = 6, 3
# Between two lines that tell how far a run is.
TELL_SECONDS = 10.0


def main() -> int:
  """Returns 1 where a schedule broke a promise."""
  options = _parse()
  logging.getLogger('woadrun').setLevel(
    logging.INFO if options.log else logging.CRITICAL
  )
  if options.log:
    logging.basicConfig(format='%(name)s %(message)s')
  began = time.perf_counter()
  failed = 0
  told_at = began
  for number in range(options.schedules):
    if time.perf_counter() - told_at > TELL_SECONDS:
      told_at = time.perf_counter()
      _tell(f'{number} of {options.schedules} schedules: {failed} failed')
    seed = options.seed + number
    drawn = schedule.draw(
      seed,
      daemons=options.daemons,
      domains=options.domains,
      kinds=options.kinds,
    )
    failed += _run(drawn, is_short=options.short)
  took = time.perf_counter() - began
  print(f'{options.schedules} schedules in {took:.1f} s: {failed} failed')
  return 1 if failed else 0


def _parse() -> argparse.Namespace:
  parser = argparse.ArgumentParser(prog='faults')
  parser.add_argument('--seed', type=int, default=1)
  parser.add_argument('--schedules', type=int, default=1)
  parser.add_argument('--daemons', type=int, default=DAEMONS)
  parser.add_argument('--domains', type=int, default=DOMAINS)
  parser.add_argument(
    '--kinds',
    nargs='+',
    choices=schedule.KINDS,
    default=(),
    help='kinds of faults, all by default',
  )
  parser.add_argument('--log', action='store_true', help='show all log lines')
  parser.add_argument(
    '--no-short',
    dest='short',
    action='store_false',
    help='do not look for the shortest schedule that still fails',
  )
  return parser.parse_args()


def _tell(line: str) -> None:
  print(line, file=sys.stderr, flush=True)


def _run(drawn: schedule.Schedule, *, is_short: bool) -> bool:
  found = schedule.play(drawn)
  if not found.broken:
    return False
  print(f'seed {drawn.seed}: {found.broken[0]}', flush=True)
  if is_short:
    kind = found.broken[0].partition(':')[0]
    drawn = schedule.shorten(drawn, lambda item: _breaks(item, kind))
  for fault in drawn.faults:
    print(f'  {fault}', flush=True)
  return True


def _breaks(item: schedule.Schedule, kind: str) -> bool:
  broken = schedule.play(item).broken
  return any(line.startswith(f'{kind}:') for line in broken)


if __name__ == '__main__':
  sys.exit(main())
