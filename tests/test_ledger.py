"""Budgets under several writers: no tokens are lost, none counted twice."""

import copy

import hypothesis
from hypothesis import strategies as st

from woadrun.version import ledger

STEPS = st.lists(
  st.tuples(
    st.integers(0, 2),  # which owner
    st.sampled_from(['reserve', 'settle', 'save']),
    st.integers(0, 5),  # which turn
    st.integers(0, 9),  # tokens
  ),
  max_size=60,
)


class Shared:
  """The row as the store has it, changed under a condition."""

  def __init__(self):
    self.row = ledger.LedgerRow(home='north-1')
    self.version = 0

  def save(self, held):
    row = held.make_row('')
    if held.version == self.version:
      self.version += 1
      self.row = row
      held.note_saved(row, self.version)
      return True
    held.rebase(self.row, self.version)
    return False


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(STEPS)
def test_owners_that_save_in_any_order_agree_with_one_that_does_all(steps):
  shared = Shared()
  owners = [ledger.Ledger(saved=shared.row, version=0) for _ in range(3)]
  expected = {}
  for number, (index, action, turn, tokens) in enumerate(steps):
    held = owners[index]
    # Each owner has turns of its own.
    request = f'{index}/{turn}'
    if action == 'reserve':
      request = f'{request}/{number}'
      held.reserve(request, tokens)
      expected[request] = tokens
    elif action == 'settle':
      mine = [r for r in held.reserved if r.startswith(f'{index}/{turn}/')]
      for request in mine:
        held.settle(request, 1)
        expected[request] = 1
    else:
      shared.save(held)
  for held in owners:
    while held.is_dirty and not shared.save(held):
      pass
  final = ledger.Ledger(saved=shared.row, version=shared.version)
  assert final.spent == sum(expected.values())


def test_a_turn_reserved_or_settled_twice_counts_once():
  held = ledger.Ledger(saved=ledger.LedgerRow(home='a'), version=0)
  held.reserve('r', 10)
  held.reserve('r', 10)
  assert held.spent == 10
  held.settle('r', 4)
  held.settle('r', 4)
  assert held.spent == 4


def test_a_row_of_another_writer_keeps_its_bound_for_other_domains():
  held = ledger.Ledger(saved=ledger.LedgerRow(home='a'), version=0)
  held.rebase(ledger.LedgerRow(home='b', settled=5, away_most=50), 3)
  assert (held.home, held.away_most, held.spent) == ('b', 50, 5)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
  st.lists(
    st.tuples(
      st.integers(0, 2),  # which owner
      st.sampled_from(['reserve', 'settle', 'save', 'tell']),
      st.integers(0, 5),  # which turn, or whom to tell
      st.integers(1, 9),  # tokens
    ),
    max_size=60,
  )
)
def test_views_that_are_told_to_each_other_count_each_turn_once(steps):
  shared = Shared()
  owners = [ledger.Ledger(saved=shared.row, version=0) for _ in range(3)]
  expected = {}
  for number, (index, action, turn, tokens) in enumerate(steps):
    held = owners[index]
    if action == 'reserve':
      request = f'{turn}/{number}'
      held.reserve(request, tokens)
      expected[request] = tokens
    elif action == 'settle':
      for request in [r for r in held.reserved if r.startswith(f'{turn}/')]:
        held.settle(request, 1)
        # Only one daemon hears how a turn ended.
        expected[request] = 1
        for other in owners:
          if other is not held and request in other.reserved:
            other.merge(held)
    elif action == 'tell':
      owners[turn % 3].merge(copy.deepcopy(held))
    else:
      shared.save(held)
  for held in owners:
    while held.is_dirty and not shared.save(held):
      pass
  final = ledger.Ledger(saved=shared.row, version=shared.version)
  assert final.spent == sum(expected.values())


def make_views(count):
  row = ledger.LedgerRow(home='a')
  return [ledger.Ledger(saved=row, version=0) for _ in range(count)]


def test_leave_that_one_owner_refuses_does_not_end_what_another_gave():
  """A turn ran uncounted: its first owner had recorded it as ended with 0.

  The first owner set tokens aside, reached no standby and refused; the second
  one gave leave.  Brought together, the two views had the turn as ended.
  """
  first, second = make_views(2)
  first.reserve('r', 10)
  first.withdraw('r')
  second.reserve('r', 10)
  second.merge(copy.deepcopy(first))
  first.merge(copy.deepcopy(second))
  assert (first.spent, second.spent) == (10, 10)
  second.settle('r', 6)
  first.merge(copy.deepcopy(second))
  assert (first.spent, second.spent) == (6, 6)


def test_leave_that_another_domain_gave_through_the_store_stays_counted():
  shared = Shared()
  first, second = make_views(2)
  first.reserve('r', 10)
  first.withdraw('r')
  second.reserve('r', 10)
  assert shared.save(second)
  first.reserve('s', 10)
  assert not shared.save(first)
  assert shared.save(first)
  second.settle('r', 6)
  assert not shared.save(second)
  assert shared.save(second)
  final = ledger.Ledger(saved=shared.row, version=shared.version)
  assert final.spent == 10 + 6


def test_an_owner_that_refused_a_turn_may_give_leave_to_it_later():
  [held] = make_views(1)
  held.reserve('r', 10)
  held.withdraw('r')
  assert held.spent == 0
  held.reserve('r', 10)
  held.settle('r', 6)
  assert held.spent == 6
