"""Runs fault schedules by seed and prints the shortest one that fails."""

from __future__ import annotations

import argparse
import logging
import sys
import time

from faults import schedule

# Default numbers of daemons and of failure domains in a schedule.
DAEMONS, DOMAINS = 6, 3
PROGRESS_INTERVAL_SECONDS = 10.0


def main() -> int:
  """Returns 1 if a schedule violated an invariant, 0 otherwise."""
  options = _parse()
  logging.getLogger('woadrun').setLevel(
    logging.INFO if options.log else logging.CRITICAL
  )
  if options.log:
    logging.basicConfig(format='%(name)s %(message)s')
  started_at = time.perf_counter()
  failed = 0
  reported_at = started_at
  for number in range(options.schedules):
    if time.perf_counter() - reported_at > PROGRESS_INTERVAL_SECONDS:
      reported_at = time.perf_counter()
      _print_progress(
        f'{number} of {options.schedules} schedules: {failed} failed'
      )
    seed = options.seed + number
    drawn = schedule.draw(
      seed,
      daemons=options.daemons,
      domains=options.domains,
      kinds=options.kinds,
    )
    is_known = seed in options.known_red
    has_failed = _run(drawn, is_shrunk=options.short and not is_known)
    if has_failed and is_known:
      print(f'  seed {seed} is known red and does not count', flush=True)
    failed += has_failed and not is_known
  elapsed = time.perf_counter() - started_at
  print(f'{options.schedules} schedules in {elapsed:.1f} s: {failed} failed')
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
  parser.add_argument(
    '--known-red',
    type=int,
    nargs='*',
    default=(),
    metavar='SEED',
    help='seeds whose violations are printed and do not count as failed',
  )
  parser.add_argument('--log', action='store_true', help='show all log lines')
  parser.add_argument(
    '--no-short',
    dest='short',
    action='store_false',
    help='do not look for the shortest schedule that still fails',
  )
  return parser.parse_args()


def _print_progress(line: str) -> None:
  print(line, file=sys.stderr, flush=True)


def _run(drawn: schedule.Schedule, *, is_shrunk: bool) -> bool:
  result = schedule.run(drawn)
  if not result.violations:
    return False
  print(f'seed {drawn.seed}: {result.violations[0]}', flush=True)
  if is_shrunk:
    kind = result.violations[0].partition(':')[0]
    drawn = schedule.shrink(drawn, lambda item: _violates(item, kind))
  for fault in drawn.faults:
    print(f'  {fault}', flush=True)
  return True


def _violates(item: schedule.Schedule, kind: str) -> bool:
  violations = schedule.run(item).violations
  return any(line.startswith(f'{kind}:') for line in violations)


if __name__ == '__main__':
  sys.exit(main())
