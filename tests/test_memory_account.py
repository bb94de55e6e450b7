"""The account of the bytes that a process holds for others."""

import asyncio
import gc
import weakref

import aiohttp
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from woadrun.connection import bodies
from woadrun.connection import memory_account

MB = 1024 * 1024
KINDS = list(memory_account.Kind)


def open_holder(account, *, size=0, name='h', is_evictable=True):
  evicted = []
  holder = account.open(
    memory_account.Kind.HISTORY,
    name,
    (lambda: evicted.append(name)) if is_evictable else None,
  )
  holder.add(size)
  return holder, evicted


def test_the_largest_holder_lets_go_for_a_small_one():
  account = memory_account.Account(most=10 * MB)
  _, small = open_holder(account, size=MB)
  _, large = open_holder(account, size=9 * MB, name='large')
  open_holder(account, size=MB)
  assert (small, large) == ([], ['large'])
  assert account.total == 2 * MB


def test_the_largest_holder_itself_may_not_grow():
  account = memory_account.Account(most=10 * MB)
  _, small = open_holder(account, size=4 * MB)
  with pytest.raises(memory_account.MemoryExceeded):
    open_holder(account, size=7 * MB)
  assert small == []
  assert account.total == 4 * MB


def test_a_holder_that_cannot_let_go_is_left_alone():
  account = memory_account.Account(most=10 * MB)
  open_holder(account, size=9 * MB, is_evictable=False)
  with pytest.raises(memory_account.MemoryExceeded):
    open_holder(account, size=2 * MB)
  assert account.total == 9 * MB


async def test_bytes_that_are_let_go_wake_those_that_wait():
  account = memory_account.Account(most=MB)
  holder, _ = open_holder(account, size=MB)
  waiting = asyncio.ensure_future(account.wait_for_change())
  await asyncio.sleep(0)
  assert not waiting.done()
  holder.close()
  async with asyncio.timeout(1):
    await waiting


# Guards against running requests with large bodies that cut all streams, and
# make the store look unavailable.
def test_bodies_leave_room_for_streams_peers_and_the_store():
  account = memory_account.Account(most=10 * MB)
  kinds = memory_account.Kind
  body = account.open(kinds.REQUEST, 'body')
  body.add(5 * MB)
  with pytest.raises(memory_account.MemoryExceeded):
    account.open(kinds.REQUEST, 'other').add(MB)
  open_holder(account, size=5 * MB, is_evictable=False)
  for kind in memory_account.CONTROL_KINDS:
    account.open(kind, 'message').add(MB)
  _, evicted = open_holder(account)
  small = account.open(kinds.HISTORY, 'small')
  small.grow(memory_account.MIN_EVICTED_BYTES)
  assert evicted == []


# Guards against a configuration that gives way to the streams of callers.
def test_an_answer_of_the_store_does_not_give_way_to_streams():
  account = memory_account.Account(most=10 * MB)
  evicted = []
  page = account.open(
    memory_account.Kind.PLATFORM, 'page', lambda: evicted.append('page')
  )
  page.add(4 * MB)
  for _ in range(3):
    open_holder(account, size=2 * MB)
  with pytest.raises(memory_account.MemoryExceeded):
    open_holder(account, size=2 * MB)
  assert evicted == []


class Part(bytearray):
  """A part of a body that can be referred to weakly."""


class EndlessResponse:
  """A response whose body has no end."""

  def __init__(self):
    self.content = self
    self._refs = []

  def count_parts(self):
    """Returns how many of the parts are in memory."""
    return sum(ref() is not None for ref in self._refs)

  def iter_any(self):
    return self

  def __aiter__(self):
    return self

  async def __anext__(self):
    part = Part(MB)
    self._refs.append(weakref.ref(part))
    return part

  def close(self):
    pass


# Guards against bytes that the account counts as let go, while an error whose
# call is repeated keeps them in memory.
async def test_the_error_of_a_body_does_not_keep_its_bytes():
  account = memory_account.Account(most=4 * MB)
  response = EndlessResponse()
  with pytest.raises(aiohttp.ClientPayloadError) as caught:
    with account.hold(memory_account.Kind.PLATFORM, 'page') as holder:
      await bodies.read(response, limit=16 * MB, holder=holder)
  gc.collect()
  assert caught.value.__traceback__ is not None
  assert account.total == 0
  # The part that did not fit is in the frame itself.
  assert response.count_parts() <= 1


@pytest.mark.parametrize('memory_mb', [88, 128, 552])
def test_the_bound_is_in_proportion_to_the_limit(memory_mb):
  most = memory_account.get_most(memory_mb)
  assert most / MB == memory_mb * memory_account.MEMORY_SHARE


def test_the_bound_leaves_room_for_what_the_process_itself_takes():
  most = memory_account.get_most(72, resident=58 * MB)
  assert 58 * MB + most * memory_account.RISE_BY_KIND['call'] <= 72 * MB
  # Something can be held in any case.
  assert memory_account.get_most(72, resident=80 * MB) > 0
  assert memory_account.read_resident_bytes() > MB


class AccountMachine(stateful.RuleBasedStateMachine):
  """The bounds hold, and nobody that holds less than others is evicted."""

  def __init__(self):
    super().__init__()
    self.account = memory_account.Account(most=MB)
    self.size_by_holder = {}

  @stateful.rule(
    kind=strategies.sampled_from(KINDS), size=strategies.integers(1, MB)
  )
  def open(self, kind, size):
    holder = self.account.open(kind, 'h', lambda: self._evict(holder))
    self.size_by_holder[holder] = 0
    self._add(holder, size)

  @stateful.precondition(lambda self: self.size_by_holder)
  @stateful.rule(data=strategies.data(), size=strategies.integers(1, MB // 2))
  def grow(self, data, size):
    self._add(self._draw(data), size)

  @stateful.precondition(lambda self: self.size_by_holder)
  @stateful.rule(data=strategies.data())
  def close(self, data):
    holder = self._draw(data)
    holder.close()
    del self.size_by_holder[holder]

  def _draw(self, data):
    return data.draw(strategies.sampled_from(list(self.size_by_holder)))

  def _add(self, holder, size):
    self._adding = self.size_by_holder[holder] + size
    self._kind = holder.kind
    try:
      holder.add(size)
    except memory_account.MemoryExceeded:
      largest = max(self._list_sizes(holder.kind))
      is_small = largest <= memory_account.MIN_EVICTED_BYTES
      assert self._adding >= largest or is_small
      return
    self.size_by_holder[holder] += size

  def _list_sizes(self, kind):
    return [s for h, s in self.size_by_holder.items() if h.kind is kind] or [0]

  def _evict(self, holder):
    size = self.size_by_holder.pop(holder)
    assert size >= max(self._list_sizes(holder.kind))
    assert size > self._adding
    is_control = holder.kind in memory_account.CONTROL_KINDS
    assert holder.kind is self._kind or not is_control

  @stateful.invariant()
  def sums_agree(self):
    total = sum(self.size_by_holder.values())
    assert total == self.account.total
    assert total == sum(self.account.total_by_kind.values())
    for kind, size in self.account.total_by_kind.items():
      assert size == sum(self._list_sizes(kind))
      assert size <= self.account.get_most(kind)
    control = sum(
      self.account.total_by_kind[kind] for kind in memory_account.CONTROL_KINDS
    )
    assert total - control <= self.account.most
    assert total <= self.account.most * (1 + memory_account.SMALL_SHARE)


TestAccountMachine = AccountMachine.TestCase
TestAccountMachine.settings = hypothesis.settings(deadline=None)
