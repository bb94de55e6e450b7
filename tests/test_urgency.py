"""Which turns go first at an engine."""

import dataclasses
import time

import nodes

from woadrun.decisions import urgency
from woadrun.request import exchange


def test_programs_that_are_late_go_behind_all_that_are_not():
  in_time = [
    urgency.get_urgency(priority, finish=10.0, now=9.0)
    for priority in range(urgency.LATE_STEPS)
  ]
  late = [
    urgency.get_urgency(priority, finish=10.0, now=10.0)
    for priority in range(urgency.LATE_STEPS)
  ]
  assert max(in_time) < min(late)
  assert late == sorted(late)


def test_without_a_time_to_finish_the_priority_counts():
  assert urgency.get_urgency(3, finish=None, now=1e9) == 3


async def test_engines_are_told_of_late_turns():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    for id, seconds in (('early', 5.0), ('late', -5.0)):
      turn = exchange.TurnInfo(
        program=id, most=9, prompt=9, finish=time.monotonic() + seconds
      )
      request = nodes.make_request(id, path='/chat/', turn=turn)
      await fleet.ask('n1', dataclasses.replace(request, turn=turn))
    early, late = (sending.urgency for sending in fleet.engines.sent)
    assert early < late
