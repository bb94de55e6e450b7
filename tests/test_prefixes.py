"""Turns are sent to the engine that has their prompt cached."""

import contextlib
import random

import nodes
import pytest

from woadrun.connection import turn_messages
from woadrun.platform import wire
from woadrun.process.load import loads
from woadrun.request import exchange
from woadrun.version import instances
from woadrun.version import prefixes

PART = turn_messages.PromptPart


def test_prompt_is_cached_up_to_the_first_incomplete_part():
  held = prefixes.Prefixes()
  held.note('e1', (PART('s', 500), PART('a', 300)), now=0.0)
  longer = (PART('s', 500), PART('a', 700))
  assert held.find(longer, now=1.0) == {'e1': 800}
  assert held.find((PART('s', 600), PART('a', 1)), now=1.0) == {'e1': 500}
  helper = (PART('s', 500), PART('a', 300), PART('b', 90))
  assert held.find(helper, now=1.0) == {'e1': 800}
  assert held.find(longer, now=prefixes.CACHE_TTL_SECONDS + 2) == {}


@pytest.mark.parametrize(
  ('text', 'expected'),
  [
    ('5c:800,91:41', (PART('5c', 800), PART('91', 41))),
    ('', ()),
    ('5c', ()),
    ('5c:x', ()),
    ('5c:-1', ()),
  ],
)
def test_parts_are_decoded_from_the_header(text, expected):
  assert wire._decode_parts(text) == expected


def make_turn(id, *parts):
  return nodes.make_request(
    id,
    path='/draft/',
    turn=exchange.TurnInfo(
      program='p',
      max_output=10,
      budget=1000,
      prompt_tokens=sum(part.tokens for part in parts),
      parts=parts,
    ),
  )


@pytest.mark.parametrize('number', range(4))
async def test_engine_affinity_holds_across_daemons(number):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    system, line = PART('s', 500), f'line{number}'
    await fleet.ask('n1', make_turn('a', system, PART(line, 2000)))
    first = fleet.engines.sent[-1].instance.id
    owner = fleet.by_name['n1'].fleet.rank('p', 'north')[0].name
    entry = fleet.by_name[owner].programs.entry_by_program['p']
    await nodes.wait_until(
      lambda: entry.prefixes.find((system,), now=entry.used_at)
    )
    await fleet.ask('n2', make_turn('b', system, PART(line, 2600)))
    assert fleet.engines.sent[-1].instance.id == first
    helper = (system, PART(line, 2006), PART('helper', 100))
    await fleet.ask('s1', make_turn('c', *helper))
    assert fleet.engines.sent[-1].instance.id == first


# --- Simulated load: many programs of three turns at six engines --------------


class Cache:
  """Unbounded prefix caches of engines; `read` counts the uncached tokens."""

  def __init__(self):
    self.held_by_engine = {}
    self.read = 0

  def run(self, engine, parts):
    held = self.held_by_engine.setdefault(engine, {})
    is_complete = True
    for part in parts:
      known = held.get(part.id, 0) if is_complete else 0
      self.read += max(0, part.tokens - known)
      is_complete &= known >= part.tokens
      held[part.id] = max(held.get(part.id, 0), part.tokens)


def simulate(*, knows_prefixes):
  """Returns the prompt tokens that engines read for 120 programs.

  Eight turns run concurrently.
  """
  random.seed(7)
  load = loads.Loads(domain='d')
  found = [
    instances.Instance(
      id=f'e{n}', service='s', address='127.0.0.1:1', domain='d', slots=16
    )
    for n in range(6)
  ]
  cache = Cache()
  held_by_program = [prefixes.Prefixes() for _ in range(120)]
  turns = [(program, turn) for turn in range(3) for program in range(120)]
  for at in range(0, len(turns), 8):
    with contextlib.ExitStack() as running:
      for program, turn in turns[at : at + 8]:
        parts = (
          PART(f'system{program % 3}', 512),
          PART(f'line{program}', 654 * (turn + 1)),
        )
        held = held_by_program[program]
        chosen = load.choose(
          instances.Group(found),
          tried=[],
          prompt=sum(part.tokens for part in parts),
          parts=parts if knows_prefixes else (),
          cached_by_id=held.find(parts, now=0.0) if knows_prefixes else None,
        )
        running.enter_context(load.count(chosen.id))
        load.record_prompt(chosen.id, parts)
        cache.run(chosen.id, parts)
        held.note(chosen.id, parts, now=0.0)
  return cache.read


def test_affinity_reduces_prompt_tokens_read_by_engines():
  assert simulate(knows_prefixes=True) < 0.6 * simulate(knows_prefixes=False)
