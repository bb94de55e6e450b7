"""Groups of records written to the object store through writers."""

import asyncio

import fleet as fleets
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from woadrun import errors
from woadrun.connection import messages
from woadrun.decisions import write_rate
from woadrun.process import groups
from woadrun.process import slots
from woadrun.process import storage
from woadrun.standins import local
from woadrun.version import program
from woadrun.version import roster


@hypothesis.given(
  members=strategies.integers(1, 400),
  domains=strategies.integers(1, 100),
  budget=strategies.floats(100, 500),
)
def test_write_interval_respects_the_longest_interval_and_the_write_rate(
  members, domains, budget
):
  writers = write_rate.get_writers(members, domains, budget) * domains
  interval = write_rate.get_interval(0.2, writers, budget)
  assert 1 <= writers <= members * domains
  assert interval <= write_rate.MAX_INTERVAL_SECONDS
  assert writers / interval <= budget * (1 + 1e-9)


@hypothesis.given(
  strategies.lists(strategies.lists(strategies.integers() | strategies.text()))
)
def test_concatenated_arrays_equal_the_concatenation_of_parsed_arrays(lists):
  concatenated = groups.concatenate_arrays(
    msgspec.json.encode(items) for items in lists
  )
  assert msgspec.json.decode(concatenated) == [
    x for items in lists for x in items
  ]


class Vms:
  def get_domains(self):
    return {'north'}


class Members:
  """The members of a failure domain, as seen by one of them."""

  vms = Vms()

  def __init__(self, address, addresses):
    self.address = address
    self.incarnation = address
    self.directory = self
    self.roster = roster.Roster(
      domain='north', incarnations=dict.fromkeys(addresses, 'i')
    )

  def count_daemons(self):
    return len(self.roster.incarnations)

  def get_keeper(self, domain, name):
    return roster.get_keeper(self.roster, name)


class Store:
  def __init__(self):
    self.objects = {}
    self.is_down = False

  async def put(self, key, value):
    await asyncio.sleep(0)
    if self.is_down:
      raise errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE, 'The platform is down.'
      )
    assert key not in self.objects
    self.objects[key] = value


class Links:
  """A messenger to other daemons, some of which do not answer."""

  def __init__(self):
    self.part_by_address = {}
    self.dead = set()

  async def post(self, address, path, message, **options):
    if address in self.dead:
      raise errors.WoadrunError(
        errors.Code.OWNER_UNAVAILABLE, 'The daemon is dead.'
      )
    data = msgspec.json.encode(message)
    group = msgspec.json.decode(data, type=messages.Group)
    return await self.part_by_address[address].merge_and_store(group)


def make_domain(count, writes_per_second):
  outside = local.Outside(
    platform=local.platform.Platform(), engines=[], services=[]
  )
  outside.platform.url = 'http://127.0.0.1:1'
  store, links = Store(), Links()
  addresses = [f'127.0.0.1:{8000 + n}' for n in range(count)]
  for address in addresses:
    data = local.make_settings(outside, address=address)
    data['platform']['writes_per_second'] = writes_per_second
    links.part_by_address[address] = groups.RecordGroups(
      config=local.check(data),
      store=store,
      members=Members(address, addresses),
      links=links,
    )
  return store, links


def make_append(slot, *, sequence=1, written=0):
  record = program.Forgotten(program=f'north.{slot:03d}.p')
  return messages.Append(
    slot=slot, epoch=1, sequence=sequence, records=[record], written=written
  )


async def write_all(links, senders):
  parts = list(links.part_by_address.values())
  results = await asyncio.gather(
    *(parts[n].write([make_append(n)], is_urgent=False) for n in senders),
    return_exceptions=True,
  )
  return [r for r in results if r is not None]


def read_slots(store):
  return sorted(
    append.slot
    for data in store.objects.values()
    for append in msgspec.json.decode(data, type=list[messages.Append])
  )


async def test_a_few_writers_write_the_groups_of_all_daemons():
  store, links = make_domain(40, writes_per_second=8)
  assert not await write_all(links, range(40))
  assert read_slots(store) == list(range(40))
  assert len(store.objects) <= 4
  # If the write rate suffices for all daemons, each writes its own groups.
  store, links = make_domain(4, writes_per_second=200)
  links.dead = set(links.part_by_address)
  assert not await write_all(links, range(4))
  assert len(store.objects) == 4


async def test_sender_writes_a_group_itself_when_the_writer_is_dead():
  store, links = make_domain(10, writes_per_second=4)
  parts = links.part_by_address
  writers = {part.get_writer() for part in parts.values()}
  assert len(writers) <= 2
  links.dead = writers
  senders = [n for n, address in enumerate(parts) if address not in writers]
  assert not await write_all(links, senders)
  assert read_slots(store) == senders
  assert sum(part.fallback_writes for part in parts.values()) == len(senders)


async def test_senders_do_not_write_directly_during_a_platform_outage():
  store, links = make_domain(10, writes_per_second=4)
  store.is_down = True
  failed = await write_all(links, range(10))
  assert [e.code for e in failed] == ['platform_unavailable'] * 10
  assert not any(
    part.fallback_writes for part in links.part_by_address.values()
  )
  store.is_down = False
  assert not await write_all(links, range(10))
  assert read_slots(store) == list(range(10))


async def test_new_owner_writes_what_a_dead_owner_left_unwritten():
  # The owner has written its first batch and has reported it to the standby.
  replica = slots.Replica(
    owner='a', version=roster.Version(1), state=program.SlotState()
  )
  for sequence, written in ((1, 0), (2, 0), (3, 1)):
    append = make_append(5, sequence=sequence, written=written)
    assert replica.receive(append, answers=1) is slots.AckStatus.OK
  assert [append.sequence for append in replica.tail] == [2, 3]
  store, links = make_domain(1, writes_per_second=200)
  [writer] = links.part_by_address.values()
  slot_store = storage.SlotStorage(
    config=writer._config, store=store, writer=writer
  )
  slot_store.begin(5, replica.tail)
  assert slot_store.get_unwritten_batches(5) == list(
    replica.tail
  ) and not slot_store.get_unwritten_batches(4)
  assert await slot_store.flush()
  assert read_slots(store) == [5, 5]
  assert slot_store.get_written_sequence(
    5
  ) == 3 and not slot_store.get_unwritten_batches(5)
  # A slot taken over again starts with nothing counted as written: a diverged
  # history of it may have been written before.
  slot_store.begin(5, [])
  assert slot_store.get_written_sequence(5) == 0


@pytest.mark.parametrize('is_writer', [True, False])
async def test_domain_with_writers_recovers_all_programs_after_a_restart(
  tmp_path, is_writer
):
  sections = {'platform': {'writes_per_second': 4.0}}
  async with fleets.make_fleet(tmp_path, 'nnnn', sections) as fleet:
    caller = fleet.make_client(patience=60.0)
    expected = {}

    async def converse(number):
      name = (await caller.start('riders', 50_000))['id']
      expected[name] = []
      for turn in range(4):
        text = f'{number} {turn}'
        expected[name] += [
          text,
          await caller.say(name, text, model=local.MODEL),
        ]

    tasks = [asyncio.ensure_future(converse(n)) for n in range(4)]
    dumps = [await fleet.dump(n) for n in fleet.nodes]
    writers = {d['storage']['groups']['writer'] for d in dumps}
    assert len(writers) <= 2
    victim = next(n for n in fleet.nodes if (n.address in writers) == is_writer)
    victim.kill()
    await victim.process.wait()
    await fleet.start(victim)
    await asyncio.gather(*tasks)

    await fleet.wait_ready()
    await fleet.wait_written()
    await fleet.restart()
    for name, texts in expected.items():
      history = await caller.ask('GET', f'/v1/programs/{name}/history')
      assert [m['content'] for m in history['messages']] == texts
