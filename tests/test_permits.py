"""Permits of upstreams: what a keeper is told of them, and of their calls."""

import asyncio
import time

import msgspec
import pytest
import test_membership

from woadrun import errors
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.process import dispatcher
from woadrun.request import calls
from woadrun.request import placing
from woadrun.version import program
from woadrun.version import roster

SLOTS = 2
HOLDER = '127.0.0.1:8001/a'


def make_dispatcher():
  found, _ = test_membership.make_membership(None, '127.0.0.1:8000')
  permits = dispatcher.PermitDispatcher(
    config=found._config, members=found, messenger=None
  )
  permits._slots_by_name['s'] = SLOTS
  permits.domain_by_name['s'] = found.domain
  return permits


def make_acquire(permit):
  return messages.Acquire(
    holder=HOLDER,
    permit=permit,
    upstream='s',
    row='t',
    weight=1.0,
    attained=0.0,
    cost=0.0,
    patience=0.01,
  )


class LeavingKeepers:
  """Peers of which those in `gone` close their connections without answer.

  `on_post` is called as a message is sent.
  """

  def __init__(self, *, gone, on_post=lambda: None):
    self.asked = []
    self._gone = gone
    self._on_post = on_post

  async def post(self, address, path, message, *, type, timeout):
    if path != 'permit':
      return type()
    self.asked.append(address)
    self._on_post()
    if address in self._gone:
      raise peers.NoAnswer(errors.Code.OWNER_UNAVAILABLE, 'closed')
    return type(permit=message.permit)


class Successors:
  """A dispatcher, and the rosters before and after its keeper leaves."""

  def __init__(self):
    self.permits = make_dispatcher()
    self.members = self.permits._members
    addresses = [f'127.0.0.1:{8001 + n}' for n in range(2)]
    self.apply(1, addresses)
    self.old = self.permits.get_keeper('s')
    self.staying = [a for a in addresses if a != self.old]
    self.new = self.staying[0]

  def apply(self, version, addresses):
    self.members.apply_roster(
      roster.Roster(
        domain=self.members.domain,
        version=version,
        incarnations=dict.fromkeys(addresses, 'i'),
      )
    )

  def note_departure(self):
    self.apply(2, self.staying)

  def connect(self, **options):
    found = LeavingKeepers(gone=[self.old], **options)
    self.permits._peers = found
    return found


def make_patient_acquire(patience):
  return msgspec.structs.replace(make_acquire('a'), patience=patience)


async def test_call_is_not_refused_as_its_keeper_leaves():
  """Guards against a refusal if the roster crosses the request."""
  fleet = Successors()
  links = fleet.connect(on_post=fleet.note_departure)
  await fleet.permits.acquire(make_patient_acquire(30.0))
  assert links.asked == [fleet.old, fleet.new]
  assert not fleet.permits._waiting_permits
  assert fleet.permits._permits_by_upstream['s'] == {'a'}


async def test_call_waits_until_the_departure_of_its_keeper_is_known():
  """Guards against a refusal if the roster is late."""
  fleet = Successors()
  links = fleet.connect()
  asyncio.get_running_loop().call_later(0.2, fleet.note_departure)
  await fleet.permits.acquire(make_patient_acquire(30.0))
  assert links.asked == [fleet.old, fleet.new]


async def test_call_whose_keeper_is_not_replaced_is_refused_in_time():
  """Guards against a call that waits for ever, or asks without a pause."""
  fleet = Successors()
  links = fleet.connect()
  async with asyncio.timeout(5.0):
    with pytest.raises(errors.WoadrunError) as refusal:
      await fleet.permits.acquire(make_patient_acquire(0.2))
  assert refusal.value.code is errors.Code.OVERLOADED
  assert links.asked == [fleet.old]
  assert not fleet.permits._permits_by_upstream['s']


async def test_call_to_a_silent_domain_is_refused_without_a_wait():
  """Guards against calls held up where no keeper is passed over."""
  fleet = Successors()
  fleet.connect()
  fleet.permits.domain_by_name['s'] = 'south'
  fleet.members.directory.roster_by_domain['south'] = roster.Roster(
    domain='south', version=1, incarnations={fleet.old: 'i'}
  )
  async with asyncio.timeout(1.0):
    with pytest.raises(errors.WoadrunError) as refusal:
      await fleet.permits.acquire(make_patient_acquire(30.0))
  assert refusal.value.code is errors.Code.OVERLOADED


@pytest.mark.parametrize('attained', [0.0, 50.0])
async def test_call_that_would_wait_too_long_is_refused_at_once(attained):
  """Later calls, and first ones up to 1.5 times, waited for the same answer."""
  permits = make_dispatcher()
  ask = msgspec.structs.replace(make_acquire('a'), attained=attained)
  for number in range(SLOTS):
    await permits.queue(msgspec.structs.replace(ask, permit=f'r{number}'))
  upstream = permits.upstream_by_name['s']
  # With two slots and calls of 1 s, a call begins 0.5 s after the one before.
  waiting = [
    asyncio.ensure_future(
      permits.queue(
        msgspec.structs.replace(ask, permit=f'w{number}', patience=60.0)
      )
    )
    for number in range(3)
  ]
  await asyncio.sleep(0)
  assert upstream.seconds == 1.0
  late = msgspec.structs.replace(ask, permit='late', patience=1.9)
  async with asyncio.timeout(0.5):
    with pytest.raises(errors.WoadrunError) as refusal:
      await permits.queue(late)
  assert refusal.value.retry_after == 2.0
  assert len(upstream.waiting) == 3
  patient = asyncio.ensure_future(
    permits.queue(msgspec.structs.replace(late, patience=2.1))
  )
  await asyncio.sleep(0)
  assert len(upstream.waiting) == 4
  for task in (*waiting, patient):
    task.cancel()


async def test_call_that_others_overtake_is_refused_once_that_is_known():
  """It was told only after all of its patience."""
  permits = make_dispatcher()
  ask = make_acquire('a')
  for number in range(SLOTS):
    await permits.queue(msgspec.structs.replace(ask, permit=f'r{number}'))
  upstream = permits.upstream_by_name['s']
  waiting = asyncio.ensure_future(
    permits.queue(
      msgspec.structs.replace(ask, permit='w', attained=64.0, patience=1.2)
    )
  )
  await asyncio.sleep(0)
  assert len(upstream.waiting) == 1
  # They have attained less service.
  others = [
    asyncio.ensure_future(
      permits.queue(
        msgspec.structs.replace(ask, permit=f'o{number}', patience=60.0)
      )
    )
    for number in range(10)
  ]
  began = time.monotonic()
  with pytest.raises(errors.WoadrunError) as refusal:
    await waiting
  assert time.monotonic() - began == pytest.approx(0.6, abs=0.2)
  # Ten calls of 1 s before it in two slots, and its own turn.
  assert refusal.value.code is errors.Code.OVERLOADED
  assert refusal.value.retry_after == pytest.approx(5.5, abs=0.5)
  assert len(upstream.waiting) == 10
  for task in others:
    task.cancel()


async def test_call_that_waits_is_granted_at_its_turn():
  permits = make_dispatcher()
  ask = make_acquire('a')
  for number in range(SLOTS):
    await permits.queue(msgspec.structs.replace(ask, permit=f'r{number}'))
  upstream = permits.upstream_by_name['s']
  upstream.seconds = 0.2
  waiting = asyncio.ensure_future(
    permits.queue(msgspec.structs.replace(ask, permit='w', patience=1.0))
  )
  await asyncio.sleep(0.7)
  assert not waiting.done()
  permits.release_slot(
    messages.Release(permit='r0', upstream='s', seconds=0.2, is_ok=True)
  )
  assert (await waiting).permit == 'w'
  assert not upstream.waiter_by_permit


def get_held(permits):
  return set(permits.upstream_by_name['s'].holder_by_permit)


def test_new_keeper_does_not_count_waiting_permits():
  """Guards against fewer slots at a keeper that has just taken over."""
  permits = make_dispatcher()
  report = messages.HeldPermits(
    holder=HOLDER, held={'s': ['a']}, waiting={'s': ['b', 'c']}
  )
  permits.apply_hold(report)
  assert get_held(permits) == {'a'}


async def test_permit_whose_grant_is_on_its_way_stays_granted():
  """Guards against a slot that is granted twice."""
  permits = make_dispatcher()
  await permits.queue(make_acquire('a'))
  permits.apply_hold(
    messages.HeldPermits(holder=HOLDER, held={'s': []}, waiting={'s': ['a']})
  )
  assert get_held(permits) == {'a'}
  permits.apply_hold(messages.HeldPermits(holder=HOLDER, held={'s': []}))
  assert not get_held(permits)


def test_report_lists_granted_and_waiting_permits():
  permits = make_dispatcher()
  permits._permits_by_upstream['s'] = {'a', 'b'}
  permits._waiting_permits = {'b'}
  report = permits._make_hold(['s'])
  assert (report.held, report.waiting) == ({'s': ['a']}, {'s': ['b']})


@pytest.mark.parametrize(
  ('kind', 'code', 'ran', 'is_failure'),
  [
    (program.SERVICE, errors.Code.UPSTREAM_UNAVAILABLE, 'not run', True),
    (program.SERVICE, errors.Code.UPSTREAM_FAILED, 'ran', True),
    (program.SERVICE, errors.Code.OUTCOME_UNKNOWN, 'unknown', True),
    (program.SERVICE, errors.Code.RATE_EXCEEDED, 'not run', False),
    # An engine that rejects a malformed call is well.
    (program.MODEL, errors.Code.UPSTREAM_FAILED, 'ran', False),
  ],
)
def test_failed_service_call_is_no_fast_success(kind, code, ran, is_failure):
  """Guards against an estimate of seconds that refused connections lower."""
  call = calls.Call(
    program='p', request='r', call=kind, target='s/x', body=b'{}', teams=['*']
  )
  error = errors.WoadrunError(code, 'failed', ran=errors.RunStatus(ran))
  assert placing._is_upstream_failure(call, error) is is_failure
