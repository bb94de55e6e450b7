"""Token budgets, limits of rows and the removal of stale engine caches."""

import asyncio

import fleet as fleets
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from woadrun import errors
from woadrun.connection import engine
from woadrun.connection import messages
from woadrun.decisions import admission
from woadrun.decisions import budget
from woadrun.process import limits
from woadrun.standins import local
from woadrun.version import program
from woadrun.version import rows

ANSWERS = 8


class BudgetMachine(stateful.RuleBasedStateMachine):
  """Checks budgets under any order of calls, sub-agents, failures and ends."""

  def __init__(self):
    super().__init__()
    self.state = program.SlotState()
    self.count = 0
    self.running = []
    self.true_spent = {}
    self.start('root-', 3000, '')

  def start(self, name, tokens, parent):
    record = program.Started(
      program=name, team='t', kind='k', budget=tokens, deadline_at=9.0,
      time=0.0, parent=parent,
    )  # fmt: skip
    self.state.apply([record], answers=ANSWERS)
    self.true_spent[name] = 0

  @stateful.rule(tokens=strategies.integers(1, 3000))
  def a_program_starts(self, tokens):
    self.start(f'root{len(self.true_spent)}-', tokens, '')

  def get_open(self):
    programs = self.state.program_by_id.items()
    return sorted(name for name, p in programs if not p.ended)

  @stateful.precondition(lambda self: self.get_open())
  @stateful.rule(data=strategies.data(), output=strategies.integers(0, 800))
  def a_call_is_accepted(self, data, output):
    name = data.draw(strategies.sampled_from(self.get_open()))
    found = self.state.program_by_id[name]
    messages = [{'role': 'user', 'content': 'x' * data.draw(
      strategies.integers(0, 200))}]  # fmt: skip
    try:
      reserve, most = budget.get_reserve(found, messages, output)
    except errors.WoadrunError:
      return
    self.count += 1
    record = program.Accepted(
      program=name, request=f'r{self.count}', ordinal=1, call=program.MODEL,
      target='m', digest='', reserve=reserve, most_output=most,
      repeatable=True, time=0.0,
    )  # fmt: skip
    self.state.apply([record], answers=ANSWERS)
    self.running.append((name, f'r{self.count}', reserve, most))

  @stateful.precondition(lambda self: self.running)
  @stateful.rule(data=strategies.data(), outcome=strategies.sampled_from(
    [program.OK, program.NOT_RUN, program.FAILED]))  # fmt: skip
  def a_call_finishes(self, data, outcome):
    index = data.draw(strategies.integers(0, len(self.running) - 1))
    name, request, reserve, most = self.running.pop(index)
    found = self.state.program_by_id[name]
    output = data.draw(strategies.integers(0, most))
    wasted = data.draw(strategies.integers(0, most - output))
    prompt = found.history_tokens + reserve - most
    usage = engine.Usage(prompt_tokens=prompt, completion_tokens=output)
    used = budget.get_used(found, usage, reserve, wasted)
    if outcome == program.NOT_RUN:
      used = 0
    record = program.Finished(
      program=name, request=request, outcome=outcome, time=0.0, used=used,
      history_tokens=prompt + output if outcome == program.OK else 0,
    )  # fmt: skip
    self.state.apply([record], answers=ANSWERS)
    self.true_spent[name] += used

  @stateful.precondition(lambda self: self.get_open())
  @stateful.rule(data=strategies.data(), tokens=strategies.integers(1, 900))
  def a_sub_agent_starts(self, data, tokens):
    parent = data.draw(strategies.sampled_from(self.get_open()))
    if tokens <= self.state.program_by_id[parent].available:
      self.start(f'{parent}.{len(self.true_spent)}', tokens, parent)

  @stateful.precondition(lambda self: self.get_open())
  @stateful.rule(data=strategies.data())
  def a_program_ends(self, data):
    name = data.draw(strategies.sampled_from(self.get_open()))
    found = self.state.program_by_id[name]
    if found.carved or found.reserved:
      return
    record = program.Ended(program=name, reason='ended', time=0.0)
    self.state.apply([record], answers=ANSWERS)

  @stateful.invariant()
  def no_program_exceeds_its_budget(self):
    for name, found in self.state.program_by_id.items():
      assert found.available >= 0
      family = [n for n in self.true_spent if n.startswith(name)]
      assert sum(self.true_spent[n] for n in family) <= found.started.budget


def test_budgets_hold_in_any_order_of_events():
  stateful.run_state_machine_as_test(
    BudgetMachine,
    settings=hypothesis.settings(max_examples=150, stateful_step_count=30),
  )


@hypothesis.given(
  limit=strategies.integers(0, 10_000),
  domains=strategies.integers(1, 26),
)
def test_shares_of_a_limit_sum_to_the_limit(limit, domains):
  names = [f'd{n:02}' for n in range(domains)]
  shares = [admission.get_share(limit, names, name) for name in names]
  assert sum(shares) == limit
  assert max(shares) - min(shares) <= 1


async def test_budget_holds_with_concurrent_calls_and_a_takeover(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn', token_seconds=0.01) as fleet:
    caller = fleet.make_client(patience=20.0)
    name = (await caller.start('riders', 600))['id']
    child = (await caller.start('riders', 250, parent=name))['id']

    async def spend(program_id, number):
      try:
        await caller.say(
          program_id, f'spend {number}', model=local.MODEL, max_tokens=60,
          request=f's{number}',
        )  # fmt: skip
      except errors.WoadrunError as error:
        assert error.code == 'budget_exceeded', error

    tasks = [
      asyncio.ensure_future(spend((name, child)[n % 2], n)) for n in range(16)
    ]
    await asyncio.sleep(0.3)
    (await fleet.find_owner(name)).kill()
    await asyncio.gather(*tasks)
    await caller.ask('POST', f'/v1/programs/{child}/end')
    state = await caller.ask('GET', f'/v1/programs/{name}')
    part = await caller.ask('GET', f'/v1/programs/{child}')
  assert part['spent'] <= part['budget']
  assert part['spent'] < state['spent'] <= state['budget']
  assert state['carved'] == state['reserved'] == 0


async def test_small_limit_holds_across_all_domains(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnss', token_seconds=0.01) as fleet:
    version = await fleet.edit(fleet.nodes[0], riders={'concurrency': 2})
    await fleet.wait_version(version)
    caller = fleet.make_client(patience=60.0)
    most = 0

    async def sample():
      nonlocal most
      while True:
        running = sum(e._semaphore.running for e in fleet.outside.engines)
        most = max(most, running)
        await asyncio.sleep(0.002)

    async def run_program(number):
      name = (await caller.start('riders', 5000))['id']
      await caller.say(name, f'{number}', model=local.MODEL)

    sampler = asyncio.ensure_future(sample())
    await asyncio.gather(*(run_program(n) for n in range(16)))
    sampler.cancel()
  assert 1 <= most <= 2
  assert caller.retries > 0


async def get_cached(fleet):
  salts = set()
  for part in fleet.outside.engines:
    url = f'{part.url}/v1/cache'
    async with fleet.session.get(url) as response:
      salts |= {item['salt'] for item in await response.json()}
  return salts


async def test_caches_of_programs_that_are_gone_are_dropped(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    version = await fleet.edit(fleet.nodes[0], crews={'idle_limit': 1.0})
    await fleet.wait_version(version)
    caller = fleet.make_client()
    names = {}
    for kind, team in (
      ('ended', 'riders'), ('cancelled', 'riders'), ('abandoned', 'crews'),
      ('missed', 'riders'), ('kept', 'riders'),
    ):  # fmt: skip
      names[kind] = (await caller.start(team, 5000))['id']
      await caller.say(names[kind], 'x', model=local.MODEL)
    assert names['kept'] in await get_cached(fleet)
    await caller.ask('POST', f'/v1/programs/{names["ended"]}/end')
    await caller.ask('POST', f'/v1/programs/{names["cancelled"]}/cancel')
    # Engines refuse all commands to drop this program's cache, so that only
    # the comparison with the engine's list finds the cache later.
    for part in fleet.outside.engines:
      part._highest_fencing = 10**9
    await caller.ask('POST', f'/v1/programs/{names["missed"]}/end')
    await asyncio.sleep(1.0)
    assert names['missed'] in await get_cached(fleet)
    for part in fleet.outside.engines:
      part._highest_fencing = 0

    async def is_dropped():
      return await get_cached(fleet) == {names['kept']}

    await fleets.until(is_dropped)


async def test_cache_is_dropped_when_the_owner_has_died(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnn') as fleet:
    caller = fleet.make_client()
    name = (await caller.start('riders', 5000))['id']
    await caller.say(name, 'x', model=local.MODEL)
    owner = await fleet.find_owner(name)
    owner.kill()
    caller.addresses = [n.listen for n in fleet.nodes if n is not owner]
    await caller.ask('POST', f'/v1/programs/{name}/end')

    async def is_dropped():
      return not await get_cached(fleet)

    await fleets.until(is_dropped)


async def test_leaving_engine_gets_no_new_calls(tmp_path):
  async with fleets.make_fleet(tmp_path, 'nnss') as fleet:
    south = fleet.nodes[2:]
    # South cannot read the VM list and learns of it from north.
    fleet.cut_platform(*south)
    caller = fleet.make_client()
    leaving = fleet.outside.engines[0]
    address = leaving.url.removeprefix('http://')
    listed = [
      {'address': n.address, 'domain': n.domain} for n in fleet.nodes
    ] + [{'address': address, 'domain': 'north', 'state': 'leaving'}]
    async with fleet.session.put(
      f'{fleet.outside.platform.url}/vms', json=listed
    ):
      pass

    async def is_known():
      dumps = [await fleet.dump(n) for n in fleet.nodes]
      return all(address in d['membership']['leaving_vms'] for d in dumps)

    await fleets.until(is_known)
    before = leaving.calls
    for _ in range(12):
      name = (await caller.start('riders', 5000))['id']
      await caller.say(name, 'x', model=local.MODEL)
    assert leaving.calls == before
    assert sum(e.calls for e in fleet.outside.engines) >= 12


async def test_commands_to_an_engine_are_fenced_by_its_own_domains_roster(
  tmp_path,
):
  """Fencing tokens of a domain with more roster versions block no other one."""
  async with fleets.make_fleet(tmp_path, 'nnsss', engines=1) as fleet:
    south = fleet.nodes[2:]
    for _ in range(2):
      south[0].kill()
      await south[0].process.wait()
      await fleet.start(south[0])
      await fleet.wait_ready(*south)
    dumps = [await fleet.dump(n) for n in fleet.nodes]
    versions = [d['membership']['roster']['version'] for d in dumps]
    assert max(versions[:2]) < min(versions[2:])
    caller = fleet.make_client()
    names = []
    while {n.split('.')[0] for n in names} != {'north', 'south'}:
      names.append((await caller.start('riders', 5000))['id'])
      await caller.say(names[-1], 'x', model=local.MODEL)
    # South's programs end first.  If its fencing tokens, which are higher,
    # reached north's engine, that engine would refuse north's commands.
    for name in sorted(names, reverse=True):
      await caller.ask('POST', f'/v1/programs/{name}/end')

    async def is_dropped():
      return not await get_cached(fleet)

    await fleets.until(is_dropped, 20)


async def test_daemon_enforces_its_limit_of_programs(tmp_path):
  few = {'limits': {'programs': 3}}
  async with fleets.make_fleet(tmp_path, 'n', few) as fleet:
    caller = fleet.make_client(patience=0.0)
    # The slot is derived from the request ID.  With random IDs, all three
    # programs were in one slot once in 256 runs.
    names = [
      (await caller.start('riders', 500, request=f'p{number}'))['id']
      for number in range(3)
    ]
    # The programs are in different slots, since the limit is per daemon.
    assert len({name.split('.')[1] for name in names}) > 1
    error = await fleets.get_refusal(caller.start('riders', 500))
    assert error.code == 'storage_full' and error.retry_after
    assert error.ran is errors.RunStatus.NOT_RUN
    # Sub-agents of an existing program are still admitted.
    assert await caller.start('riders', 100, parent=names[0])


def test_finished_call_does_not_keep_a_second_copy_of_its_messages():
  state = program.SlotState()
  started = program.Started(
    program='p', team='t', kind='k', budget=10**6, deadline_at=9.0, time=0.0
  )
  state.apply([started], answers=ANSWERS)
  for number in range(20):
    message = {'role': 'user', 'content': 'x' * 1000}
    accepted = program.Accepted(
      program='p', request=f'r{number}', ordinal=number + 1,
      call=program.MODEL, target='m', digest='', reserve=1000,
      repeatable=True, time=0.0, body='{"temperature": 0}',
      messages=[message],
    )  # fmt: skip
    finished = program.Finished(
      program='p', request=f'r{number}', outcome=program.OK, time=0.0,
      answer='{}', messages=[message],
    )  # fmt: skip
    state.apply([accepted], answers=ANSWERS)
    state.apply([finished], answers=ANSWERS)
  assert len(msgspec.json.encode(state)) < 20 * 1000 * 1.5


async def test_records_contain_only_the_messages_that_a_call_adds(tmp_path):
  """Sending the whole conversation with each call does not enlarge records."""
  async with fleets.make_fleet(tmp_path, 'nn') as fleet:
    caller = fleet.make_client()
    name = (await caller.start('riders', 200_000))['id']
    messages = []
    for _ in range(8):
      messages.append({'role': 'user', 'content': 'word ' * 400})
      body = {'model': local.MODEL, 'messages': messages}
      headers = {'Woadrun-Program': name}
      answer = await caller.ask(
        'POST', '/v1/chat/completions', body, headers=headers
      )
      messages.append(answer['choices'][0]['message'])
    size = len(msgspec.json.encode(messages))

    await fleet.wait_written()
    owner = await fleet.find_owner(name)
    written = (await fleet.dump(owner))['storage']['written_bytes']
  # Messages are written with the intent and with the outcome; the third share
  # allows for the smaller fields.
  assert written < 3 * size


async def test_keeper_with_an_outdated_table_returns_a_retryable_error():
  keeper = limits.Limits(
    config=make_config(),
    members=Members(),
    messenger=None,
    get_row=lambda key: None,
  )
  request = messages.Borrow(holder='x', row='riders', in_use=0, is_more=True)
  error = await fleets.get_refusal(keeper.lend(request))
  assert error.code == 'config_unavailable' and error.retry_after
  assert error.ran is errors.RunStatus.NOT_RUN


class Keepers:
  """Keepers that lend one call and every place that is requested."""

  def __init__(self, members, gone=()):
    self._members = members
    self._gone = gone
    self.asked = []

  async def post(self, keeper, path, ask, *, type, timeout):
    self.asked.append(keeper)
    await asyncio.sleep(0)
    if keeper in self._gone:
      # The keeper is removed from the roster while the request is pending.
      self._members.keeper = '127.0.0.1:3'
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE, 'The keeper is gone.'
      )
    return messages.Lent(places=ask.in_use + ask.is_more, calls=1)


def make_borrower(gone=()):
  members = Members()
  members.directory = members
  keepers = Keepers(members, gone)
  borrower = limits.Limits(
    config=make_config(), members=members, messenger=keepers, get_row=None
  )
  return borrower, keepers


async def test_concurrent_calls_get_the_free_places():
  borrower, _ = make_borrower()
  row = rows.Row(key='riders')
  # One unused place and no calls left: both requests ask for calls only.
  borrowed = limits.Borrowed(places=1)
  borrower._borrowed_by_row['riders'] = borrowed
  await asyncio.gather(*(borrower.acquire(row, f'q{n}') for n in range(2)))
  assert borrowed.in_use == {'q0', 'q1'}


async def test_departed_keeper_does_not_fail_a_call():
  borrower, keepers = make_borrower(gone=('127.0.0.1:2',))
  await borrower.acquire(rows.Row(key='riders'), 'p')
  assert keepers.asked == ['127.0.0.1:2', '127.0.0.1:3']


class SlowKeeper:
  """A keeper whose answer waits until `is_ready` is set."""

  def __init__(self, keeper):
    self._keeper = keeper
    self.is_ready = asyncio.Event()

  async def post(self, address, path, ask, *, type, timeout):
    if path == 'limit/hold':
      return self._keeper.apply_holds(ask)
    await self.is_ready.wait()
    return await self._keeper.lend(ask)


# Guards against a call that is refused although no limit is reached: its holder
# reported its places while the keeper was still to answer.
async def test_report_and_change_of_roster_do_not_overtake_a_request():
  row = rows.Row(key='riders')
  keeper = limits.Limits(
    config=make_config(),
    members=Members(),
    messenger=None,
    get_row=lambda key: row,
  )
  keeper._count_members = lambda: 1
  members = Members()
  members.directory = members
  members.get_known_processes = lambda: {members.process_name}
  posts = SlowKeeper(keeper)
  holder = limits.Limits(
    config=make_config(),
    members=members,
    messenger=posts,
    get_row=lambda key: row,
  )
  asking = asyncio.ensure_future(holder.acquire(row, 'p'))
  await asyncio.sleep(0)
  holder.report()
  for on_change in members.own_roster_listeners:
    on_change(None)
  await asyncio.sleep(0.01)
  posts.is_ready.set()
  await asyncio.wait_for(asking, 1.0)
  assert holder._borrowed_by_row['riders'].in_use == {'p'}


class Members:
  address = '127.0.0.1:1'
  domain = 'north'
  process_name = '127.0.0.1:1/a'
  keeper = '127.0.0.1:2'

  def __init__(self):
    self.own_roster_listeners = []

  def get_keeper(self, domain, name):
    return self.keeper


def make_config():
  outside = local.Outside(
    platform=local.platform.Platform(), engines=[], services=[]
  )
  outside.platform.url = 'http://127.0.0.1:1'
  return local.check(local.make_settings(outside, address='127.0.0.1:1'))
