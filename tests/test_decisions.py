"""Decision functions compared with naive implementations and invariants."""

import pathlib

import hypothesis
from hypothesis import given
from hypothesis import stateful
from hypothesis import strategies
import pytest

from woadrun import errors
from woadrun.decisions import admission
from woadrun.decisions import queue
from woadrun.decisions import routing
from woadrun.decisions import write_rate
from woadrun.model import policies
from woadrun.model import simulation
from woadrun.model import workload

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
ROWS = {'a': 1.0, 'b': 2.0, 'c': 4.0}


def make_call(number, row='a', attained=0.0, cost=1.0, arrived=0.0):
  return queue.QueuedCall(
    id=f'c{number}',
    row=row,
    weight=ROWS[row],
    attained=attained,
    cost=cost,
    arrived=arrived,
  )


class QueueMachine(stateful.RuleBasedStateMachine):
  """Compares the fair queue with a linear search in a list of calls."""

  def __init__(self):
    super().__init__()
    self.fair = queue.FairQueue()
    self.calls = {}
    self.virtual = dict.fromkeys(ROWS, 0.0)
    self.now_virtual = 0.0
    self.count = 0
    self.now = 0.0

  @stateful.rule(
    row=strategies.sampled_from(sorted(ROWS)),
    attained=strategies.sampled_from([0.0, 1.0, 3.0, 50.0, 1e6]),
    cost=strategies.sampled_from([0.5, 1.0, 8.0]),
    passed=strategies.sampled_from([0.0, 0.5, 5.0]),
  )
  def push(self, row, attained, cost, passed):
    self.count += 1
    self.now += passed
    call = make_call(self.count, row, attained, cost, self.now)
    if not any(c.row == row for c in self.calls.values()):
      self.virtual[row] = max(self.virtual[row], self.now_virtual)
    self.calls[call.id] = call
    self.fair.push(call)

  @stateful.rule()
  def pop(self):
    found = self.fair.pop()
    if not self.calls:
      assert found is None
      return
    least = min(self.virtual[c.row] for c in self.calls.values())
    assert self.virtual[found.row] == least
    same = [c for c in self.calls.values() if c.row == found.row]
    key = lambda c: c.arrived + queue.get_delay(c.attained)  # noqa: E731
    assert key(found) == min(map(key, same))
    self.now_virtual = max(self.now_virtual, least)
    self.virtual[found.row] = least + found.cost / found.weight
    del self.calls[found.id]

  @stateful.precondition(lambda self: self.calls)
  @stateful.rule(data=strategies.data())
  def remove(self, data):
    name = data.draw(strategies.sampled_from(sorted(self.calls)))
    row = self.calls.pop(name).row
    self.fair.remove(name)
    # The model advances the virtual time of a row without calls at its next
    # push.  The queue does not if removed calls are still in its heap, so each
    # row keeps at least one call here.
    if not any(c.row == row for c in self.calls.values()):
      self.push(row, 0.0, 1.0, 0.0)

  @stateful.invariant()
  def lengths_agree(self):
    assert len(self.fair) == len(self.calls)


def test_fair_queue_agrees_with_linear_search():
  stateful.run_state_machine_as_test(
    QueueMachine,
    settings=hypothesis.settings(max_examples=200, stateful_step_count=40),
  )


@hypothesis.given(
  waiting=strategies.lists(
    strategies.tuples(
      strategies.sampled_from(sorted(ROWS)),
      strategies.sampled_from([0.0, 3.0, 50.0]),
    ),
    max_size=60,
  ),
  row=strategies.sampled_from(sorted(ROWS)),
  attained=strategies.sampled_from([0.0, 3.0, 50.0]),
)
def test_calls_ahead_are_those_served_before(waiting, row, attained):
  """Calls with a long wait could not be told from those served next."""
  fair = queue.FairQueue()
  for number, (other, used) in enumerate(waiting):
    fair.push(make_call(number, other, used, arrived=0.1 * number))
  call = make_call('new', row, attained, arrived=6.0)
  ahead = fair.count_ahead(call)
  fair.push(call)
  served = 0
  while fair.pop() is not call:
    served += 1
  # Shares by weight are kept to within one call of each row, counted by the
  # largest ratio of weights.
  assert served == pytest.approx(ahead, abs=len(ROWS) * 4)
  if len({other for other, _ in waiting} | {row}) == 1:
    assert served == ahead


def test_backlogged_rows_get_their_weighted_share():
  fair = queue.FairQueue()
  for number in range(3000):
    fair.push(make_call(number, 'abc'[number % 3]))
  served = dict.fromkeys(ROWS, 0)
  for _ in range(1400):
    served[fair.pop().row] += 1
  for row, weight in ROWS.items():
    assert served[row] == pytest.approx(1400 * weight / 7, abs=1)


@given(attained=strategies.floats(0, 1e9))
def test_delay_is_bounded(attained):
  assert 0 <= queue.get_delay(attained) <= queue.MAX_DELAY_SECONDS


def make_candidate(name, **values):
  usual = {'slots': 8, 'running': 0, 'waiting': 0, 'seconds': 2.0}
  return routing.Candidate(name=name, **{**usual, **values})


def test_call_goes_to_prefix_holder_unless_wait_costs_more():
  def choose(**values):
    holder = make_candidate('holder', cached=9000, **values)
    other = make_candidate('other')
    return routing.choose(
      [other, holder], prompt=10_000, prefill_rate=5000.0
    ).name

  assert choose() == 'holder'
  assert choose(running=8, waiting=2) == 'holder'
  assert choose(running=8, waiting=12) == 'other'
  assert choose(seconds=20.0) == 'other'
  assert choose(slots=0) == 'other'


@given(count=strategies.integers(1, 200), turn=strategies.integers(0, 999))
def test_pick_returns_few_upstreams_and_the_prefix_holder(count, turn):
  names = [f'e{n}' for n in range(count)]
  found = routing.select_candidates(names, 'e0', turn)
  assert 'e0' in found and len(found) == len(set(found))
  assert len(found) in (count, 16, 17)
  seen = {
    n for t in range(count) for n in routing.select_candidates(names, 'e0', t)
  }
  assert seen == set(names)


@given(
  rate=strategies.floats(0.5, 100),
  gaps=strategies.lists(strategies.floats(0, 1), max_size=60),
)
def test_bucket_grants_no_more_than_its_rate(rate, gaps):
  bucket = admission.TokenBucket(
    rate=rate, burst=rate, level=rate, filled_at=0.0
  )
  now, taken = 0.0, 0
  for gap in gaps:
    now += gap
    taken += not bucket.take(now)
  assert taken <= rate * (now + 1) + 1e-6


@given(
  writers=strategies.integers(1, 50_000),
  budget=strategies.floats(1, 1000),
  least=strategies.floats(0.05, 60),
)
def test_all_writers_together_stay_within_the_rate(writers, budget, least):
  interval = write_rate.get_interval(least, writers, budget)
  assert writers / interval <= budget * (1 + 1e-9)
  assert interval >= least


@given(calls=strategies.lists(strategies.booleans(), max_size=200))
def test_retries_stay_within_their_budget(calls):
  budget = admission.RetryBudget()
  retries = 0
  for has_failed in calls:
    budget.note_call(0.1)
    retries += has_failed and budget.take()
  assert retries <= 1 + 0.1 * len(calls) + 1e-6


def run(site, scenario, policy, **changes):
  experiment = workload.load(EXAMPLES / f'{site}-experiment.toml')
  found = next(s for s in experiment.scenarios if s.name == scenario)
  return simulation.Simulation(
    experiment=experiment.model_copy(update=changes),
    scenario=found,
    policy=policies.POLICY_BY_NAME[policy],
    seed=1,
  ).run()


@pytest.mark.parametrize('site', ['consortium', 'tuilagi'])
def test_product_outperforms_naive_policy_in_surge(site):
  product = run(site, 'surge', 'woadrun')
  naive = run(site, 'surge', 'naive')
  assert sum(product.latencies) < 0.9 * sum(naive.latencies)
  assert product.waste.total * 4 < naive.waste.total
  assert product.waste.held_after_end == 0


def test_simulation_is_deterministic():
  short = {'seconds': 60.0}
  one = run('tuilagi', 'loops-and-hangs', 'woadrun', **short)
  two = run('tuilagi', 'loops-and-hangs', 'woadrun', **short)
  assert one == two


def test_experiment_errors_are_reported_together(tmp_path):
  path = tmp_path / 'bad.toml'
  path.write_text('name = "x"\nseconds = -1\nkinds = []\n[site]\nslots = 0\n')
  with pytest.raises(errors.FindingsError) as caught:
    workload.load(path)
  keys = {finding.key for finding in caught.value.findings}
  assert {'seconds', 'site.slots', 'site.domains', 'scenarios'} <= keys
