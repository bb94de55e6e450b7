"""Measures the memory and time that the state of a daemon costs.

Measures in one process: programs by size of history, rows of the table,
rosters, choices among upstreams, and a queue by its length.

Usage: ./dev python bench/state.py
"""

from __future__ import annotations

import gc
import time

import msgspec
import processes

from woadrun.decisions import queue
from woadrun.decisions import routing
from woadrun.version import program
from woadrun.version import roster
from woadrun.version import rows

WORD = 'token '


def get_resident_bytes() -> int:
  gc.collect()
  return processes.get_resident_bytes()


def make_program(number: int, tokens: int, turns: int) -> program.Program:
  started = program.Started(
    program=f'north.001.{number:020d}', team='riders', kind='default',
    budget=10**6, deadline_at=1.0, time=0.0,
  )  # fmt: skip
  found = program.Program(started=started)
  for turn in range(turns):
    text = f'{number}{turn}' + WORD * (tokens // turns)
    found.history.append({'role': 'user', 'content': text})
  found.history_tokens = tokens
  return found


def measure_programs() -> None:
  for tokens, count in ((0, 20_000), (5_000, 2_000), (290_000, 50)):
    before = get_resident_bytes()
    kept = [make_program(n, tokens, 66) for n in range(count)]
    each = (get_resident_bytes() - before) / count
    data = msgspec.json.encode(kept[0])
    started = time.perf_counter()
    msgspec.json.decode(msgspec.json.encode(kept[0]), type=program.Program)
    copied = time.perf_counter() - started
    print(
      f'program of {tokens:7} tokens: {each / 1024:9.1f} KB in memory, '
      f'{len(data) / 1024:9.1f} KB as JSON, copied in {copied * 1e3:.2f} ms'
    )
    del kept


def measure_rows() -> None:
  before = get_resident_bytes()
  started = time.perf_counter()
  table = {f'team{n}': rows.Row(key=f'team{n}') for n in range(32_000)}
  seconds = time.perf_counter() - started
  each = (get_resident_bytes() - before) / len(table)
  edit = rows.Edit(
    version=1, write_id='x', author='a', time=0.0,
    changes=(rows.RowChange(
      key='team1', before=None, after=rows.Row(key='team1').model_dump()),),
  )  # fmt: skip
  started = time.perf_counter()
  for _ in range(20):
    rows.with_edit(table, edit)
  applied = (time.perf_counter() - started) / 20
  print(f'row of the table: {each:.0f} bytes; 32,000 rows checked in '
        f'{seconds:.2f} s; one edit of them applied in '
        f'{applied * 1e3:.2f} ms')  # fmt: skip


def measure_roster() -> None:
  for members in (4, 96):
    names = {
      f'10.0.{n // 250}.{n % 250}:8000': 'a' * 12 for n in range(members)
    }
    addresses = list(names)
    entries = tuple(
      roster.Slot(owner=addresses[n % members],
                  standby=addresses[(n + 1) % members], epoch=n, before=n,
                  owner_before=n)
      for n in range(members * 4)
    )  # fmt: skip
    found = roster.Roster(
      domain='north', version=9, incarnations=names, slots=entries
    )
    print(f'roster row of {members} daemons: '
          f'{len(msgspec.json.encode(found)) / 1024:.1f} KB')  # fmt: skip


def measure_queue() -> None:
  for waiting in (100, 10_000, 100_000):
    fair = queue.FairQueue()
    for number in range(waiting):
      fair.push(make_call(number))
    rounds = 2_000
    started = time.perf_counter()
    for number in range(rounds):
      fair.push(make_call(waiting + number))
      fair.pop()
    microseconds = (time.perf_counter() - started) / rounds * 1e6
    print(
      f'one call in and one out of a queue of {waiting:6}: '
      f'{microseconds:.1f} us'
    )


def make_call(number: int) -> queue.Waiting:
  return queue.Waiting(
    id=f'c{number}', row=f'row{number % 50}', weight=1.0 + number % 3,
    attained=number % 97, cost=1.0, arrived=float(number),
  )  # fmt: skip


def measure_routing() -> None:
  for count in (10, 100, 400):
    candidates = [
      routing.Candidate(
        name=f'e{n}', slots=8, running=n % 8, waiting=0, seconds=2.0
      )
      for n in range(count)
    ]
    rounds = 200
    started = time.perf_counter()
    for _ in range(rounds):
      routing.choose(candidates, prompt=5000, prefill_rate=8000.0)
    microseconds = (time.perf_counter() - started) / rounds * 1e6
    print(f'one choice among {count:3} upstreams: {microseconds:.0f} us')


if __name__ == '__main__':
  measure_rows()
  measure_roster()
  measure_queue()
  measure_routing()
  measure_programs()
