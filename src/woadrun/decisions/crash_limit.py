"""Decides whether a request may run although instances ended while running it.

A request that ends each instance that runs it would end all of them, one after
the other, since its caller sends it again.  An instance also ends for reasons
of its own, and then takes requests with it that have nothing to do with its
end, so that a request is not refused for the first ones.
"""

from __future__ import annotations

import enum
import math

# Instances that may end under one request.
MAX_ENDED_INSTANCES = 3
# Time after which one more instance may run a request under which
# MAX_ENDED_INSTANCES ended: what made it end them may have been corrected.
QUARANTINE_SECONDS = 3600.0


class Verdict(enum.Enum):
  """What to do with a request.

  RUN sends it, REFUSE refuses it, and WAIT waits for the outcome of the
  attempts that may still end their instances.
  """

  RUN = 'run'
  WAIT = 'wait'
  REFUSE = 'refuse'


def count_ended(ended: int, *, seconds: float) -> int:
  """Returns the ended instances that still count against a request.

  `ended` is the number of instances that ended under it, the last one `seconds`
  ago.
  """
  passed = math.floor(max(0.0, seconds) / QUARANTINE_SECONDS)
  return max(0, min(ended, MAX_ENDED_INSTANCES) - passed)


def decide(*, ended: int, lost: int, running: int) -> Verdict:
  """Returns the verdict on a request.

  `ended` counts the instances that ended under it, `lost` those that may have
  ended, since a connection was lost or nobody waits for them any more, and
  `running` those that may still run it.  While nothing was lost, any number may
  run it.
  """
  if ended >= MAX_ENDED_INSTANCES:
    return Verdict.REFUSE
  is_suspect = ended + lost > 0
  if is_suspect and ended + lost + running >= MAX_ENDED_INSTANCES:
    return Verdict.WAIT
  return Verdict.RUN
