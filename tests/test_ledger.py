"""Budgets with concurrent writers: no tokens are lost or counted twice."""

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
  """The row in the store, written by compare-and-swap on its version."""

  def __init__(self):
    self.row = ledger.LedgerRow(home='north-1')
    self.version = 0

  def save(self, owner):
    row = owner.make_row('')
    if owner.version == self.version:
      self.version += 1
      self.row = row
      owner.note_saved(row, self.version)
      return True
    owner.rebase(self.row, self.version)
    return False


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(STEPS)
def test_owners_saving_in_any_order_agree_with_a_single_owner(steps):
  shared = Shared()
  owners = [ledger.Ledger(saved=shared.row, version=0) for _ in range(3)]
  expected = {}
  for number, (index, action, turn, tokens) in enumerate(steps):
    owner = owners[index]
    # Turns of different owners have different ids.
    request = f'{index}/{turn}'
    if action == 'reserve':
      request = f'{request}/{number}'
      owner.reserve(request, tokens)
      expected[request] = tokens
    elif action == 'settle':
      own_requests = [
        r for r in owner.reserved if r.startswith(f'{index}/{turn}/')
      ]
      for request in own_requests:
        owner.settle(request, 1)
        expected[request] = 1
    else:
      shared.save(owner)
  for owner in owners:
    while owner.is_dirty and not shared.save(owner):
      pass
  final = ledger.Ledger(saved=shared.row, version=shared.version)
  assert final.spent == sum(expected.values())


def test_turn_reserved_or_settled_twice_counts_once():
  owner = ledger.Ledger(saved=ledger.LedgerRow(home='a'), version=0)
  owner.reserve('r', 10)
  owner.reserve('r', 10)
  assert owner.spent == 10
  owner.settle('r', 4)
  owner.settle('r', 4)
  assert owner.spent == 4


def test_rebase_keeps_the_home_of_the_newer_row():
  owner = ledger.Ledger(saved=ledger.LedgerRow(home='a'), version=0)
  owner.rebase(ledger.LedgerRow(home='b', settled=5), 3)
  assert (owner.home, owner.spent) == ('b', 5)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
  st.lists(
    st.tuples(
      st.integers(0, 2),  # which owner
      st.sampled_from(['reserve', 'settle', 'save', 'tell']),
      st.integers(0, 5),  # which turn, or which owner to update
      st.integers(1, 9),  # tokens
    ),
    max_size=60,
  )
)
def test_merged_views_count_each_turn_once(steps):
  shared = Shared()
  owners = [ledger.Ledger(saved=shared.row, version=0) for _ in range(3)]
  expected = {}
  for number, (index, action, turn, tokens) in enumerate(steps):
    owner = owners[index]
    if action == 'reserve':
      request = f'{turn}/{number}'
      owner.reserve(request, tokens)
      expected[request] = tokens
    elif action == 'settle':
      for request in [r for r in owner.reserved if r.startswith(f'{turn}/')]:
        owner.settle(request, 1)
        # Only one daemon receives the outcome of a turn.
        expected[request] = 1
        for other in owners:
          if other is not owner and request in other.reserved:
            other.merge(owner)
    elif action == 'tell':
      owners[turn % 3].merge(copy.deepcopy(owner))
    else:
      shared.save(owner)
  for owner in owners:
    while owner.is_dirty and not shared.save(owner):
      pass
  final = ledger.Ledger(saved=shared.row, version=shared.version)
  assert final.spent == sum(expected.values())


def make_views(count):
  row = ledger.LedgerRow(home='a')
  return [ledger.Ledger(saved=row, version=0) for _ in range(count)]


def test_refusal_by_one_owner_keeps_reservation_of_another():
  """A turn that one owner refuses and another grants stays reserved.

  Guards against a turn that ran uncounted: the first owner reserved tokens,
  reached no standby, refused the turn and recorded it as ended with 0 tokens.
  The second owner granted the turn, but the merged views had it as ended.
  """
  first, second = make_views(2)
  first.reserve('r', 10)
  first.cancel_reservation('r')
  second.reserve('r', 10)
  second.merge(copy.deepcopy(first))
  first.merge(copy.deepcopy(second))
  assert (first.spent, second.spent) == (10, 10)
  second.settle('r', 6)
  first.merge(copy.deepcopy(second))
  assert (first.spent, second.spent) == (6, 6)


def test_refusal_keeps_reservation_saved_by_another_domain():
  shared = Shared()
  first, second = make_views(2)
  first.reserve('r', 10)
  first.cancel_reservation('r')
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


def test_owner_may_grant_a_turn_that_it_refused_before():
  [owner] = make_views(1)
  owner.reserve('r', 10)
  owner.cancel_reservation('r')
  assert owner.spent == 0
  owner.reserve('r', 10)
  owner.settle('r', 6)
  assert owner.spent == 6
