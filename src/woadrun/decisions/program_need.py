"""Whether a team's rate holds one more program.

Answers a team that begins more programs than its rate lets through: admitted
one by one, the requests of all would be refused in turn and no program would
end.  Programs are refused at their first request, so that those under way end.
What a program needs is learned from programs that ended.
"""

from __future__ import annotations

import dataclasses

# Weight of the newest program in what programs of its kind need.
LEARN_WEIGHT = 0.1
# A program without a request for so long has ended, in seconds.
IDLE_SECONDS = 2.0
# The shortest time of a program that is learned, in seconds.
LEAST_SECONDS = 0.1
# How much slower programs may become by waiting for their rate: one request
# after the other, each program waits instead of being refused.  The most urgent
# ones begin beside more others than less urgent ones do, so that these are
# refused first.
SLOWDOWN = 2.3
STEP = 0.6


def get_slowdown(priority: int) -> float:
  """Returns how much slower programs may become as one begins."""
  return max(1.0, SLOWDOWN - STEP * priority)


@dataclasses.dataclass(kw_only=True)
class Need:
  """What programs of one kind take: requests, and the seconds they last.

  The seconds are without the time that their requests waited for the rate.
  """

  requests: float
  seconds: float

  @property
  def per_second(self) -> float:
    """The requests a second of one program."""
    return self.requests / max(LEAST_SECONDS, self.seconds)


@dataclasses.dataclass(kw_only=True)
class _Running:
  kind: str
  began: float
  last: float
  requests: int = 0
  waited: float = 0.0


class Programs:
  """A team's programs under way, and what programs of each kind needed."""

  def __init__(self) -> None:
    self.need_by_kind: dict[str, Need] = {}
    self._running_by_id: dict[str, _Running] = {}

  def note(self, id: str, kind: str, now: float, *, wait: float = 0.0) -> None:
    """Takes note of a request of a program, sent after `wait` seconds."""
    running = self._running_by_id.get(id)
    if running is None:
      running = _Running(kind=kind, began=now, last=now)
      self._running_by_id[id] = running
    running.requests += 1
    running.last = now + wait
    running.waited += wait

  def is_running(self, id: str) -> bool:
    """Returns whether a program is under way."""
    return id in self._running_by_id

  def end_idle(self, now: float) -> None:
    """Learns from the programs that have ended."""
    ended = [
      id
      for id, running in self._running_by_id.items()
      if now - running.last > IDLE_SECONDS
    ]
    for id in ended:
      self._learn(self._running_by_id.pop(id))

  def _learn(self, ended: _Running) -> None:
    need = self.need_by_kind.get(ended.kind)
    seconds = ended.last - ended.began - ended.waited
    if need is None:
      found = Need(requests=ended.requests, seconds=seconds)
      self.need_by_kind[ended.kind] = found
      return
    need.requests += LEARN_WEIGHT * (ended.requests - need.requests)
    need.seconds += LEARN_WEIGHT * (seconds - need.seconds)

  def get_excess(
    self, kind: str, *, level: float, rate: float, slowdown: float
  ) -> float:
    """Returns by how many requests a second one more program is too much.

    `level` units are there and `rate` come a second.  In the time of the
    program they cover what it and all under way send, `slowdown` times slower.
    """
    need = self.need_by_kind.get(kind)
    if need is None:
      return 0.0
    under_way = sum(
      self.need_by_kind[running.kind].per_second
      for running in self._running_by_id.values()
      if running.kind in self.need_by_kind
    )
    spare = max(0.0, level) / max(LEAST_SECONDS, need.seconds)
    return under_way + need.per_second - rate * slowdown - spare

  def estimate_return(self, kind: str, *, excess: float) -> float:
    """Returns the seconds until so much of what is under way has ended."""
    need = self.need_by_kind[kind]
    ending = len(self._running_by_id) * need.per_second
    return need.seconds * min(1.0, excess / max(ending, need.per_second))
