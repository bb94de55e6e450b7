"""The retry delay of refused callers depends on the cause of the refusal."""

import asyncio
import functools
import time
import unittest.mock

import nodes
import pytest

from woadrun import errors
from woadrun.decisions import retry_after
from woadrun.decisions import usual_duration
from woadrun.request import exchange


def test_outage_is_expected_to_last_as_long_again():
  found = [retry_after.estimate_outage(s) for s in (0.0, 0.3, 1.2, 9.0)]
  # Not before a daemon has looked whether the outage has ended.
  assert found == [0.25, 0.3, 1.2, 9.0]


def test_a_full_service_is_told_the_time_of_the_requests_ahead():
  """It was at most 2 s, while 300 requests of 4 s each were ahead."""
  estimate = functools.partial(
    retry_after.estimate, slots=60, seconds=4.0, slots_of_instance=6.0
  )
  assert estimate(running=359) == pytest.approx(20.0)
  # One instance was full, although others were not.
  assert estimate(running=3) == pytest.approx(4.0 / 6)
  assert estimate(running=0, slots=0) == retry_after.estimate_outage(0.0)


# Guards against a fixed delay of half a second or one second, whichever part
# noticed the outage.
@pytest.mark.parametrize('seconds', [0.0, 4.0])
async def test_callers_are_told_how_long_an_outage_is_expected_to_last(seconds):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    serving = fleet.by_name['n1'].serving
    serving._get_outage = lambda: seconds
    serving._turn_client.open = unittest.mock.AsyncMock(
      side_effect=errors.WoadrunError(
        errors.Code.PLATFORM_UNAVAILABLE, 'Out.', retry_after=0.1
      )
    )
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('n1', 'a')
    assert caught.value.retry_after == retry_after.estimate_outage(seconds)


# Guards against a caller that is told at its deadline that no owner answers,
# when a turn admitted then could no longer be run in time.
async def test_turn_waits_for_its_owner_while_it_can_be_run_in_time():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    daemon.serving._attempts.estimate_seconds = lambda service: 0.6
    daemon.serving._turn_client.open = lambda *_, **__: asyncio.Event().wait()
    request = nodes.make_request(
      'a', path='/chat/', turn=exchange.TurnInfo(program='p'), seconds=1.0
    )
    began = time.monotonic()
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', request)
    assert time.monotonic() - began == pytest.approx(0.4, abs=0.1)
    assert caught.value.code is errors.Code.OWNER_UNAVAILABLE
    assert caught.value.ran is errors.RunStatus.NOT_RUN


# Guards against a caller with less time than the work takes that is told at its
# deadline that no owner answers.
async def test_turn_without_time_for_its_work_waits_for_a_usual_answer():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    daemon = fleet.by_name['n1']
    daemon.serving._attempts.estimate_seconds = lambda service: 2.0
    daemon.serving._opening = usual_duration.UsualDuration(mean=0.1)
    daemon.serving._turn_client.open = lambda *_, **__: asyncio.Event().wait()
    request = nodes.make_request(
      'a', path='/chat/', turn=exchange.TurnInfo(program='p'), seconds=1.0
    )
    began = time.monotonic()
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', request)
    assert time.monotonic() - began == pytest.approx(0.1, abs=0.1)
    assert caught.value.code is errors.Code.OWNER_UNAVAILABLE
    assert caught.value.ran is errors.RunStatus.NOT_RUN


async def test_usual_time_until_an_owner_answers_is_observed():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    before = fleet.by_name['n1'].serving._opening.mean
    await fleet.turn('n1', 'a', budget=10, most=10)
    assert fleet.by_name['n1'].serving._opening.mean < before


# Guards against a wait for the routing table of up to 1.25 s, whatever time the
# caller has, and against one that ends at the caller's deadline.
@pytest.mark.parametrize('part', ['wait_until_known', 'refresh'])
@pytest.mark.parametrize(('seconds', 'waited'), [(0.5, 0.3), (0.2, 0.05)])
async def test_request_waits_for_the_routing_table_while_it_can_be_run(
  part, seconds, waited
):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    catalogue = fleet.by_name['n1'].catalogue
    catalogue.refresh_duration = usual_duration.UsualDuration(mean=0.05)
    setattr(catalogue, part, lambda: asyncio.Event().wait())
    request = nodes.make_request('a', path='/unknown/', seconds=seconds)
    began = time.monotonic()
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.ask('n1', request)
    assert time.monotonic() - began == pytest.approx(waited, abs=0.1)
    assert caught.value.code is errors.Code.CONFIG_UNAVAILABLE
    assert caught.value.ran is errors.RunStatus.NOT_RUN
    assert caught.value.retry_after > 0.0


async def test_retry_delay_grows_with_the_silence_of_a_domain():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 's1')
    await fleet.turn('n1', 'a')
    fleet.shared.is_out = True
    south = fleet.by_name['s1']
    south.store.is_direct = False
    await nodes.wait_until(lambda: not south.store.is_reachable)
    await fleet.stop('n1')
    # The home domain of the program and the store are both silent, and this
    # domain has no copy of the program.
    south.programs.entry_by_program.clear()
    south.programs.cache._cached_by_request.clear()
    await nodes.wait_until(
      lambda: south.fleet.get_domain_silence_seconds() > 1.3
    )
    before = south.fleet.get_domain_silence_seconds()
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('s1', 'b', parent='a')
    assert caught.value.status == 503
    after = max(
      south.fleet.get_domain_silence_seconds(), south.store.outage_seconds
    )
    found = caught.value.retry_after
    assert retry_after.estimate_outage(before) <= found
    assert found <= retry_after.estimate_outage(after)
