"""The turns of a line are kept in the store while the line goes on."""

import asyncio
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec
import nodes
import pytest

from woadrun import errors
from woadrun.connection import rows
from woadrun.connection import turn_messages
from woadrun.decisions import line_expiry
from woadrun.process import histories
from woadrun.process.store import line_expiries
from woadrun.process.store import program_rows
from woadrun.process.store import sweeper
from woadrun.process.store import turn_store
from woadrun.request import history_cache
from woadrun.standins import rows as memory

RETENTION, TIMEOUT = 60.0, 5.0
SWEPT_TABLES = (turn_store.TABLE, line_expiries.TABLE, program_rows.TABLE)
# Time after which nothing of a line is left: its expiry, the sweeper's margin
# and some more.
GONE_SECONDS = 3 * RETENTION + TIMEOUT + 2 * sweeper.EXPIRY_MARGIN_SECONDS


class Clock:
  """The time of day, as the daemons see it."""

  def __init__(self, monkeypatch):
    self._offset = 0.0
    read = time.time
    monkeypatch.setattr(time, 'time', lambda: read() + self._offset)

  def advance(self, seconds):
    self._offset += seconds


async def sweep_all(kept, *, now):
  """Sweeps all parts of the tables that expire."""
  swept = sweeper.Sweeper(store=kept, members=None)
  parts = {(key.table, key.part) for key in kept.row_by_key}
  for table, part in sorted(parts):
    if table in SWEPT_TABLES:
      await swept.sweep(table, part, now=now)


def count_rows(kept, table):
  return sum(key.table == table for key in kept.row_by_key)


async def run_line(fleet, clock, name, ids, *, pause, parent='', program='p'):
  """Runs turns one after another, with sweeps in between."""
  for id in ids:
    await fleet.turn(name, id, parent=parent, program=program)
    parent = id
    clock.advance(pause)
    await sweep_all(fleet.shared, now=time.time())


def make_history(ids):
  return ''.join(f'<{id}>{id}-0\n{id}-1\n' for id in ids).encode()


# Guards against the loss of long programs: early turns expired by themselves
# and were swept while their line went on.
async def test_early_turns_are_kept_while_their_line_goes_on(monkeypatch):
  clock = Clock(monkeypatch)
  ids = [f't{number}' for number in range(8)]
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await run_line(fleet, clock, 'n1', ids, pause=0.8 * RETENTION)
    await fleet.stop('n1')
    # A daemon that has none of the turns in memory.
    await fleet.start('n2')
    await fleet.turn('n2', 'last', parent=ids[-1])
    assert fleet.get_body('last') == make_history(ids) + b'<last>'


# Guards against a line that is lost by the program of another one: any program
# may continue from a turn, and several turns from the same one.
async def test_turns_before_a_branch_are_kept_for_all_its_lines(monkeypatch):
  clock = Clock(monkeypatch)
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await run_line(fleet, clock, 'n1', ['a', 'b'], pause=1.0)
    ids = [f't{number}' for number in range(6)]
    pause = 0.9 * RETENTION
    await run_line(
      fleet, clock, 'n1', ids, parent='b', program='other', pause=pause
    )
    await fleet.stop('n1')
    await fleet.start('n2')
    await fleet.turn('n2', 'last', parent=ids[-1], program='third')
    assert fleet.get_body('last') == make_history(['a', 'b', *ids]) + b'<last>'


# Guards against a table that grows without a bound.
async def test_line_that_is_over_is_removed_whole(monkeypatch):
  clock = Clock(monkeypatch)
  ids = [f't{number}' for number in range(8)]
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    await run_line(fleet, clock, 'n1', ids, pause=0.8 * RETENTION)
    assert count_rows(fleet.shared, turn_store.TABLE) == len(ids)
    clock.advance(GONE_SECONDS)
    # The rows of lines may be swept before or after those of turns.
    for _ in range(2):
      await sweep_all(fleet.shared, now=time.time())
    assert count_rows(fleet.shared, turn_store.TABLE) == 0
    assert count_rows(fleet.shared, line_expiries.TABLE) == 0


# Guards against a number of writes that grows with the square of a line.
async def test_line_is_extended_once_in_a_retention_time(monkeypatch):
  clock = Clock(monkeypatch)
  ids = [f't{number}' for number in range(40)]
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    fleet.clear_calls()
    await run_line(fleet, clock, 'n1', ids, pause=0.1 * RETENTION)
    extensions = [
      call
      for call in fleet.find_calls(line_expiries.TABLE)
      if call[0] == 'change'
    ]
    assert 1 <= len(extensions) <= 4


class OldTurn(msgspec.Struct, frozen=True, kw_only=True):
  """A turn as it was stored before lines had an expiry."""

  request: str
  program: str
  line: tuple[str, ...] = ()
  input: bytes = b''
  output: bytes = b''
  tokens: int = 0
  instance: str = ''
  ended_at: float = 0.0
  retention: float = RETENTION


async def store_old_turn(kept, request, *, line, ended_at):
  turn = OldTurn(
    request=request,
    program='p',
    line=line,
    input=f'<{request}>'.encode(),
    output=f'{request}-0\n{request}-1\n'.encode(),
    ended_at=ended_at,
  )
  header = line_expiries.EXPIRY.pack(ended_at + RETENTION)
  key = rows.Key(turn_store.TABLE, turn_store.get_part(request), request)
  await kept.change(writes=[(key, header + msgspec.msgpack.encode(turn))])


# Guards against programs that are lost when the daemons are replaced.
async def test_line_that_older_daemons_began_is_kept_as_it_goes_on(monkeypatch):
  clock = Clock(monkeypatch)
  ids = [f't{number}' for number in range(5)]
  async with nodes.Nodes() as fleet:
    now = time.time()
    await store_old_turn(fleet.shared, 'a', line=(), ended_at=now - 40.0)
    await store_old_turn(fleet.shared, 'b', line=('a',), ended_at=now - 10.0)
    await fleet.start('n1')
    await run_line(fleet, clock, 'n1', ids, parent='b', pause=0.8 * RETENTION)
    await fleet.stop('n1')
    await fleet.start('n2')
    await fleet.turn('n2', 'last', parent=ids[-1])
    assert fleet.get_body('last') == make_history(['a', 'b', *ids]) + b'<last>'


# Guards against a history in memory that hides that the store has lost it.
def test_recent_line_is_not_used_after_its_expiry(monkeypatch):
  clock = Clock(monkeypatch)
  lines = history_cache.HistoryCache()
  turn = make_turn('a', line=(), ended_at=time.time())
  lines.put(turn_messages.OpenedTurn(), turn)
  assert lines.get('a') is not None
  clock.advance(GONE_SECONDS)
  assert lines.get('a') is None


# Guards against programs that are lost in an outage of the store, as the
# daemons drop early turns of lines that go on.
def test_cached_turns_are_kept_while_their_line_goes_on(monkeypatch):
  now = time.monotonic()
  monkeypatch.setattr(time, 'monotonic', lambda: now)
  cache = turn_store.TurnCache()
  line = ()
  for number in range(5):
    cache.put(make_turn(f't{number}', line=line, ended_at=0.0))
    line = (*line, f't{number}')
    now += 0.8 * RETENTION
    cache.expire()
  assert all(cache.get(request) is not None for request in line)
  assert [turn.request for turn in cache.get_recent()] == ['t4']
  now += RETENTION
  cache.expire()
  assert len(cache) == 0


# Guards against memory that grows with the length of lines.
def test_cached_turns_of_long_lines_are_bounded(monkeypatch):
  now = time.monotonic()
  monkeypatch.setattr(time, 'monotonic', lambda: now)
  monkeypatch.setattr(turn_store, 'MAX_LINE_CACHE_BYTES', 10_000)
  cache = turn_store.TurnCache()
  line = ()
  for number in range(30):
    turn = make_turn(f't{number}', line=line, ended_at=0.0)
    cache.put(msgspec.structs.replace(turn, input=bytes(1000)))
    line = (*line, f't{number}')
    now += 0.8 * RETENTION
    cache.expire()
  assert 8 <= len(cache) <= 12
  assert cache.get('t29') is not None
  assert cache.get('t0') is None


def make_turn(request, *, line, ended_at, line_expires_at=None):
  expiry = line_expiry.plan(
    ended_at=ended_at,
    retention=RETENTION,
    timeout=TIMEOUT,
    line_expires_at=line_expires_at,
  )
  return turn_messages.Turn(
    request=request,
    program='p',
    line=line,
    input=f'<{request}>'.encode(),
    ended_at=ended_at,
    retention=RETENTION,
    expires_at=expiry.expires_at,
    extends_line=expiry.extends_line,
  )


async def find_lost_turns(steps, *, extends=True):
  """Plays a tree of turns; returns those that callers can no longer continue.

  Each step is a pause, the turn to continue from and the time that the new one
  takes.  Turns are continued within their retention time only, and all parts
  are swept before each of them and before its end.
  """
  kept = memory.MemoryRowStore()
  store = turn_store.TurnStore(store=kept, row_bytes=2048)
  now = 1000.0
  turns = []
  lost = []

  async def find_history(turn):
    found = await turn_store.load_turns(
      (*turn.line, turn.request), cache=turn_store.TurnCache(), store=store
    )
    return None if None in found else found

  for number, (pause, choice, duration) in enumerate(steps):
    now += pause
    await sweep_all(kept, now=now)
    named = [t for t in turns if now <= t.ended_at + RETENTION]
    for turn in named:
      if await find_history(turn) is None:
        lost.append(turn.request)
    parent = named[choice % len(named)] if named and choice else None
    now += duration
    await sweep_all(kept, now=now)
    line = (*parent.line, parent.request) if parent else ()
    turn = make_turn(
      f't{number}',
      line=line,
      ended_at=now,
      line_expires_at=parent.kept_until if parent else None,
    )
    if not extends:
      turn = msgspec.structs.replace(turn, extends_line=False)
    await store.write(turn)
    turns.append(turn)
  await sweep_all(kept, now=now + GONE_SECONDS)
  await sweep_all(kept, now=now + GONE_SECONDS)
  assert not kept.row_by_key
  return lost


STEPS = strategies.lists(
  strategies.tuples(
    strategies.floats(0.0, 1.1 * RETENTION),
    strategies.integers(0, 5),
    strategies.floats(0.0, TIMEOUT),
  ),
  max_size=25,
)


# One rule over random trees of turns: whatever a caller may still name has its
# whole line, however often the store is swept.
@settings(deadline=None, max_examples=150)
@given(STEPS)
def test_each_turn_that_can_be_continued_has_its_whole_line(steps):
  assert asyncio.run(find_lost_turns(steps)) == []


def test_a_line_that_is_not_extended_is_found():
  steps = [(0.8 * RETENTION, 1, 0.0)] * 8
  assert asyncio.run(find_lost_turns(steps, extends=False))


# Guards against a loss that looks like a store that cannot be reached.
async def test_missing_turn_of_a_line_is_logged_with_its_place(caplog):
  kept = memory.MemoryRowStore()
  store = turn_store.TurnStore(store=kept, row_bytes=2048)
  now = time.time()
  for request, line in (('a', ()), ('b', ('a',)), ('c', ('a', 'b'))):
    await store.write(make_turn(request, line=line, ended_at=now))
  key = rows.Key(turn_store.TABLE, turn_store.get_part('b'), 'b')
  await kept.change(removes=[key])
  caplog.set_level('ERROR')
  with pytest.raises(errors.WoadrunError) as caught:
    await histories.find('c', cache=turn_store.TurnCache(), store=store)
  assert caught.value.code is errors.Code.UNKNOWN_PROGRAM
  assert 'lacks 1 of the 2 turns before c, at places 1: b.' in caplog.text
  assert store.missing_turns == 1


# Guards against the same log line for a turn that never existed.
async def test_unknown_turn_is_not_logged_as_missing(caplog):
  kept = memory.MemoryRowStore()
  store = turn_store.TurnStore(store=kept, row_bytes=2048)
  caplog.set_level('ERROR')
  with pytest.raises(errors.WoadrunError):
    await histories.find('c', cache=turn_store.TurnCache(), store=store)
  assert (caplog.text, store.missing_turns) == ('', 0)
