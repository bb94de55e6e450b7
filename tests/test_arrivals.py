"""Copies of turns: the same id arrives at two daemons."""

import asyncio

import nodes
import pytest

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.process import arrivals

PATHS = ['/chat/', '/draft/']


async def ask_copy(fleet, name, path):
  with pytest.raises(errors.WoadrunError) as caught:
    await fleet.turn(name, 'r', path=path)
  assert caught.value.code is errors.Code.OUTCOME_UNKNOWN
  assert caught.value.ran is errors.RunStatus.UNKNOWN


# Guards against a turn that runs at two instances because a library or proxy
# sends it again and the balancer passes the copy to another daemon.
@pytest.mark.parametrize('path', PATHS)
async def test_copy_of_a_turn_at_another_daemon_does_not_run(path):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    fleet.engines.faults.append(nodes.SILENCE)
    first = asyncio.ensure_future(fleet.turn('n1', 'r', path=path))
    await nodes.wait_until(lambda: fleet.engines.sent)
    await ask_copy(fleet, 'n2', path)
    await ask_copy(fleet, 's1', path)
    first.cancel()
    await asyncio.wait([first])
    await ask_copy(fleet, 'n2', path)
    assert len(fleet.engines.sent) == 1


# Guards against a second run of a turn that has ended.
@pytest.mark.parametrize('path', PATHS)
async def test_copy_of_an_ended_turn_at_another_daemon_does_not_run(path):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2', 's1')
    status, _ = await fleet.turn('n1', 'r', path=path)
    assert status == 200
    for name in ('n2', 's1'):
      await ask_copy(fleet, name, path)
    assert len(fleet.engines.sent) == 1


# Guards against turns that are refused for good: after a promise that the first
# copy has not run, the next one may run.
@pytest.mark.parametrize('path', PATHS)
async def test_copy_of_a_refused_turn_runs_at_another_daemon(path):
  async with nodes.Nodes() as fleet:
    await fleet.start('n1', 'n2')
    fleet.engines.faults.extend(
      nodes.make_reply(status=503, has_run=False) for _ in range(2)
    )
    with pytest.raises(errors.WoadrunError) as caught:
      await fleet.turn('n1', 'r', path=path)
    assert caught.value.code is errors.Code.UPSTREAM_UNAVAILABLE
    await asyncio.gather(*fleet.by_name['n1'].serving._close_tasks)
    status, _ = await fleet.turn('n2', 'r', path=path)
    assert status == 200


# Guards against a turn that is refused because its own message was sent again.
async def test_message_that_is_sent_again_is_answered_again():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    owner = fleet.by_name['n1'].programs
    for arrival in ('a', 'a', ''):
      ask = turn_messages.OpenTurn(
        program='p', request='r', most=10, budget=10, arrival=arrival
      )
      await owner.open_turn(ask)
    with pytest.raises(errors.WoadrunError):
      await owner.open_turn(
        turn_messages.OpenTurn(program='p', request='r', arrival='b')
      )


# Guards against a copy that is refused although the owner admitted no other.
async def test_turn_that_was_not_admitted_leaves_no_arrival():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    owner = fleet.by_name['n1'].programs
    for arrival in ('a', 'b'):
      with pytest.raises(errors.WoadrunError) as caught:
        await owner.open_turn(
          turn_messages.OpenTurn(
            program='p', request='r', most=10, budget=9, arrival=arrival
          )
        )
      assert caught.value.code is errors.Code.BUDGET_EXCEEDED


# Guards against memory that grows without a bound.
def test_arrivals_are_forgotten(monkeypatch):
  now = 0.0
  monkeypatch.setattr(arrivals.time, 'monotonic', lambda: now)
  monkeypatch.setattr(arrivals, 'MAX_ARRIVALS', 3)
  known = arrivals.Arrivals()

  def note(number):
    return known.note(
      turn_messages.OpenTurn(program='p', request=str(number), arrival='a')
    )

  assert [note(number) for number in range(5)] == [True] * 5
  assert [note(number) for number in (2, 3, 4)] == [False] * 3
  now = arrivals.MEMORY_SECONDS
  assert note(5)
  assert list(known._arrival_by_request) == ['5']
