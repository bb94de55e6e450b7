"""Admission control of programs against the request rate of their team.

A program is a sequence of requests for one task, such as the calls of an agent.
Its kind is the name of the route of its requests.

Load pattern: a team starts more programs than its request rate can serve.  If
requests were admitted one by one, requests of every program would be refused in
turn and no program would complete.  Programs are therefore refused at their
first request, so that running programs complete.  The demand of a program is
learned from programs that have ended.
"""

from __future__ import annotations

from collections.abc import Container
import dataclasses

from woadrun.decisions import admission_policy

# Weight of the newest sample in the moving averages of a kind.
LEARN_WEIGHT = 0.1
# Lower bound of the duration by which request rates are computed: the duration
# from the first to the last request is 0 for a program of one request.
MIN_DURATION_SECONDS = 0.1


@dataclasses.dataclass(kw_only=True)
class ProgramDemand:
  """The average demand of the programs of one kind.

  `requests` is the number of requests of one program, `seconds` its duration
  without the time that its requests waited for the rate.
  """

  requests: float
  seconds: float

  @property
  def per_second(self) -> float:
    """The request rate of one program, in requests per second."""
    return self.requests / max(MIN_DURATION_SECONDS, self.seconds)


@dataclasses.dataclass(kw_only=True)
class _RunningProgram:
  kind: str
  priority: int
  started_at: float
  last_request_at: float
  requests: int = 0
  waited_seconds: float = 0.0


class ProgramTracker:
  """The running programs of one team, and the learned demand of each kind."""

  def __init__(
    self,
    *,
    policy: admission_policy.AdmissionPolicy = admission_policy.DEFAULT,
  ) -> None:
    self._policy = policy
    self.demand_by_kind: dict[str, ProgramDemand] = {}
    self._running_by_id: dict[str, _RunningProgram] = {}

  def record_request(
    self,
    id: str,
    kind: str,
    now: float,
    *,
    wait: float = 0.0,
    priority: int = 0,
  ) -> None:
    """Records a granted request of a program, which is running from then on.

    The request is sent `wait` seconds after `now`.  `priority` is that of the
    program's first request, 0 the most urgent.
    """
    running = self._running_by_id.get(id)
    if running is None:
      running = _RunningProgram(
        kind=kind, priority=priority, started_at=now, last_request_at=now
      )
      self._running_by_id[id] = running
    running.requests += 1
    running.last_request_at = now + wait
    running.waited_seconds += wait

  def record_return(self, id: str) -> None:
    """Records that a granted request was not sent.

    A program without another request has not begun.
    """
    running = self._running_by_id.get(id)
    if running is None:
      return
    running.requests -= 1
    if running.requests <= 0:
      del self._running_by_id[id]

  def is_running(self, id: str) -> bool:
    """Returns whether a program is running."""
    return id in self._running_by_id

  def expire_idle(self, now: float) -> None:
    """Removes idle programs, which are considered ended.

    Learns the demand of their kinds from them.
    """
    ended = [
      id
      for id, running in self._running_by_id.items()
      if now - running.last_request_at > self._policy.ended_seconds
    ]
    for id in ended:
      self._learn(self._running_by_id.pop(id))

  def _learn(self, ended: _RunningProgram) -> None:
    need = self.demand_by_kind.get(ended.kind)
    seconds = ended.last_request_at - ended.started_at - ended.waited_seconds
    if need is None:
      first_need = ProgramDemand(requests=ended.requests, seconds=seconds)
      self.demand_by_kind[ended.kind] = first_need
      return
    need.requests += LEARN_WEIGHT * (ended.requests - need.requests)
    need.seconds += LEARN_WEIGHT * (seconds - need.seconds)

  def get_excess(
    self,
    kind: str,
    *,
    level: float,
    rate: float,
    priority: int = 0,
    slowdown: float = 1.0,
  ) -> float:
    """Returns the demand over the available rate with one more program.

    The result, for a new program of `kind`, is in requests per second; the
    program fits if it is 0 or less.  `level` is the number of units in the
    token bucket, `rate` the units added per second.  For the duration of the
    program they have to cover the requests of the program and of the running
    ones that are as urgent or more, at their own pace or slowed down by the
    factor `slowdown`.  Less urgent ones do not keep it from beginning.  A kind
    without a known demand has no excess, and running programs of such a kind
    are not counted.
    """
    need = self.demand_by_kind.get(kind)
    if need is None:
      return 0.0
    running_rate = sum(
      self.demand_by_kind[running.kind].per_second
      for running in self._running_by_id.values()
      if running.kind in self.demand_by_kind and running.priority <= priority
    )
    spare = max(0.0, level) / max(MIN_DURATION_SECONDS, need.seconds)
    return running_rate + need.per_second - rate * slowdown - spare

  def get_running_rate(self, *, excluded: Container[str]) -> float:
    """Returns the requests per second of running programs, by learned demand.

    The programs in `excluded` are not counted.
    """
    return sum(
      self.demand_by_kind[running.kind].per_second
      for id, running in self._running_by_id.items()
      if running.kind in self.demand_by_kind and id not in excluded
    )

  def estimate_retry_after(self, kind: str, *, excess: float) -> float:
    """Estimates when running programs will have freed the excess demand.

    Returns the delay in seconds, at most the duration of one program.  `excess`
    is a positive result of `get_excess` for the same kind.
    """
    # All running programs are assumed to have the demand of this kind.
    need = self.demand_by_kind[kind]
    running_demand = len(self._running_by_id) * need.per_second
    return need.seconds * min(
      1.0, excess / max(running_demand, need.per_second)
    )
