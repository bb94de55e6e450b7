"""The planned day on which all daemons are lost in an outage of the store."""

from fleet_soak import callers
from fleet_soak import outside
from fleet_soak import power_loss
import pytest

DAEMONS, CALLERS = 4, 8
# Calls of the store in a second, of which the platform allows 2,800.
CAPACITY = 150.0


def make_continuation(*tries):
  turn = callers.Attempt(
    request='t',
    path=f'{outside.CHAT}x',
    program='p',
    input=b'in',
    parent='',
    daemon=None,
    began=0.0,
  )
  return power_loss.Continuation(turn=turn, tries=list(tries))


def find(*tries, stored=('t',)):
  followed = [make_continuation(*tries)]
  return list(power_loss.find_violations(followed, set(stored)))


def test_the_day_finds_turns_that_are_lost_or_continued_too_late():
  refused = (503, 'owner_unavailable', 1.0)
  limit = power_loss.SERVED_SECONDS
  assert find(refused, (200, '', limit)) == []
  assert 'continued after' in find(refused, (200, '', limit + 0.1))[0]
  assert 'never continued' in find(refused)[0]
  assert 'not in the store' in find((200, '', 1.0), stored=())[0]


# Guards against turns that are whole for their callers and are lost, or
# continued too late, once all daemons were lost in an outage of the store.
@pytest.mark.parametrize('outage', power_loss.Outage)
async def test_complete_turns_are_continued_in_time(outage, tmp_path):
  found = await power_loss.run(
    seed=1,
    outage=outage,
    count=DAEMONS,
    callers_count=CALLERS,
    capacity=CAPACITY,
    folder=tmp_path,
  )
  assert found == []
