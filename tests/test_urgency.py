"""Scheduling urgency of turns at an engine."""

import dataclasses
import time

import nodes

from woadrun.decisions import urgency
from woadrun.request import exchange


def test_late_programs_are_scheduled_after_all_others():
  in_time = [
    urgency.get_urgency(priority, finish=10.0, now=9.0)
    for priority in range(urgency.LATE_PENALTY)
  ]
  late = [
    urgency.get_urgency(priority, finish=10.0, now=10.0)
    for priority in range(urgency.LATE_PENALTY)
  ]
  assert max(in_time) < min(late)
  assert late == sorted(late)


def test_priority_is_used_without_a_finish_time():
  assert urgency.get_urgency(3, finish=None, now=1e9) == 3


async def test_late_turns_are_sent_to_engines_as_less_urgent():
  async with nodes.Nodes() as fleet:
    await fleet.start('n1')
    for id, seconds in (('early', 5.0), ('late', -5.0)):
      turn = exchange.TurnInfo(
        program=id,
        max_output=9,
        prompt_tokens=9,
        finish_at=time.monotonic() + seconds,
      )
      request = nodes.make_request(id, path='/chat/', turn=turn)
      await fleet.ask('n1', dataclasses.replace(request, turn=turn))
    early, late = (sending.urgency for sending in fleet.engines.sent)
    assert early < late
