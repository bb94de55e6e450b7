"""Admission control of programs that tell their finish time.

Like `program_demand`, for programs whose requests tell until when the program
should end.  A program begins only if its team's rate suffices for its requests
and for the remaining requests of the programs under way, within the time that
the program has.  Programs under way then seldom wait for the rate.

The programs of a kind differ in length, and their finish times differ alike.
What a program sends and how long it takes are therefore learned in relation to
the time that it had at its first request.
"""

from __future__ import annotations

from collections.abc import Mapping
import dataclasses
import math

from woadrun.decisions import admission_policy
from woadrun.decisions import program_demand

# A program that has sent as many requests as expected counts with this many
# more until it ends.
MIN_REMAINING_REQUESTS = 1.0
# Units that the bucket must have for each program under way when one begins:
# their next requests, which are the work that is left first.
UNITS_PER_PROGRAM = 1.0
# Maximum number of programs that are remembered before they begin.
MAX_TICKETS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Start:
  """The first request of a program.

  `seconds_left` is the time until the program should end.
  """

  id: str
  kind: str
  priority: int
  seconds_left: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class Refusal:
  """Why a program does not begin; it may return after `retry_after` seconds.

  `needed` is the number of requests that it is expected to send.
  """

  needed: float
  retry_after: float


@dataclasses.dataclass(kw_only=True)
class KindDemand:
  """What the programs of one kind need, in relation to the time that they have.

  `density` is the number of requests and `ratio` the duration without waiting
  for the rate, each divided by the time that the program had at its first
  request.  `spread` is the mean distance of the ratio of a program from it.
  """

  density: float
  ratio: float
  spread: float = 0.0


@dataclasses.dataclass(kw_only=True)
class _Offer:
  """The programs of one kind that were asked for, and those that began.

  `asked` and `begun` are decayed sums of the times that these programs had,
  `squares` is one of the squares of the times of those asked for.  They decay
  with the mean time that programs of the kind have, `seconds`.
  """

  priority: int
  updated_at: float
  seconds: float
  asked: float = 0.0
  begun: float = 0.0
  squares: float = 0.0

  def record_asked(self, allowed: float, now: float) -> None:
    """Adds a program that has `allowed` seconds."""
    self.decay(now)
    self.seconds += program_demand.LEARN_WEIGHT * (allowed - self.seconds)
    self.asked += allowed
    self.squares += allowed * allowed

  def decay(self, now: float) -> None:
    """Brings the sums up to `now`."""
    age = max(0.0, now - self.updated_at)
    factor = math.exp(-age / self.time_constant)
    self.asked *= factor
    self.begun *= factor
    self.squares *= factor
    self.updated_at = now

  @property
  def time_constant(self) -> float:
    """The time constant of the decay, in seconds."""
    return max(program_demand.MIN_DURATION_SECONDS, self.seconds)

  def get_expected(self, horizon: float) -> float:
    """Returns the times that the programs of the next seconds have, as a sum.

    It is the mean and one standard deviation, as of independent arrivals.
    """
    part = horizon / self.time_constant
    return self.asked * part + math.sqrt(self.squares * part)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Ticket:
  """A program that was asked for and has not begun.

  `allowed` is the time that it had at its first request, in seconds.  `needed`
  is the number of requests that it will send, 0 if it was not refused.
  """

  asked_at: float
  allowed: float
  priority: int
  needed: float = 0.0

  def is_expired(self, now: float) -> bool:
    """Returns whether the time that the program had is over."""
    return now - self.asked_at > self.allowed


@dataclasses.dataclass(kw_only=True)
class _Running:
  """A program under way.

  `is_whole` tells that its first request is known.  `is_refused` tells that its
  latest request was refused.
  """

  kind: str
  priority: int
  allowed: float
  started_at: float
  last_request_at: float
  finish_at: float
  is_whole: bool
  requests: int = 0
  waited_seconds: float = 0.0
  is_refused: bool = False


class TimedPrograms:
  """The programs of one team, and the learned demand of each kind."""

  def __init__(
    self,
    *,
    policy: admission_policy.AdmissionPolicy = admission_policy.DEFAULT,
  ) -> None:
    self._policy = policy
    self.demand_by_kind: dict[str, KindDemand] = {}
    self._running_by_id: dict[str, _Running] = {}
    self._offer_by_kind: dict[str, _Offer] = {}
    self._ticket_by_id: dict[str, _Ticket] = {}
    # Requests of the refused programs that may return.
    self._needed_by_priority: dict[int, float] = {}

  def __contains__(self, id: object) -> bool:
    return id in self._running_by_id

  def get_allowed(self, id: str) -> float | None:
    """Returns the time that a program which has not begun had at first.

    The result is in seconds, None if the program is not known or has begun.
    """
    ticket = self._ticket_by_id.get(id)
    return None if ticket is None else ticket.allowed

  def record_asked(self, start: Start, now: float) -> None:
    """Records the first request of a program, before it is decided on.

    A program that returns is not counted as demand again.
    """
    if start.id in self._running_by_id or start.id in self._ticket_by_id:
      return
    # A program may tell a finish time that has passed.
    allowed = max(0.0, start.seconds_left)
    self._put_ticket(
      start.id,
      _Ticket(asked_at=now, allowed=allowed, priority=start.priority),
    )
    offer = self._offer_by_kind.setdefault(
      start.kind,
      _Offer(priority=start.priority, updated_at=now, seconds=allowed),
    )
    offer.priority = start.priority
    offer.record_asked(allowed, now)

  def record_refused_start(self, id: str, refusal: Refusal) -> None:
    """Records that a program which asked to begin was refused.

    It stands before those of its priority that are refused later.
    """
    ticket = self._take_ticket(id)
    if ticket is not None:
      self._put_ticket(id, dataclasses.replace(ticket, needed=refusal.needed))

  def _put_ticket(self, id: str, ticket: _Ticket) -> None:
    if len(self._ticket_by_id) >= MAX_TICKETS:
      self._take_ticket(next(iter(self._ticket_by_id)))
    self._ticket_by_id[id] = ticket
    self._add_needed(ticket.priority, ticket.needed)

  def _take_ticket(self, id: str) -> _Ticket | None:
    ticket = self._ticket_by_id.pop(id, None)
    if ticket is not None:
      self._add_needed(ticket.priority, -ticket.needed)
    return ticket

  def _add_needed(self, priority: int, needed: float) -> None:
    known = self._needed_by_priority.get(priority, 0.0)
    self._needed_by_priority[priority] = max(0.0, known + needed)

  def record_request(
    self,
    id: str,
    kind: str,
    now: float,
    *,
    wait: float = 0.0,
    seconds_left: float | None = None,
  ) -> None:
    """Records a granted request, which is sent `wait` seconds after `now`.

    Only a request that tells `seconds_left` makes a program known.
    """
    running = self._running_by_id.get(id)
    if running is None:
      if seconds_left is None:
        return
      ticket = self._take_ticket(id)
      if ticket is not None and kind in self._offer_by_kind:
        self._offer_by_kind[kind].decay(now)
        self._offer_by_kind[kind].begun += ticket.allowed
      running = _Running(
        kind=kind,
        priority=ticket.priority if ticket else 0,
        allowed=ticket.allowed if ticket else max(0.0, seconds_left),
        started_at=now,
        last_request_at=now,
        finish_at=now + seconds_left,
        is_whole=ticket is not None,
      )
      self._running_by_id[id] = running
    running.requests += 1
    running.last_request_at = now + wait
    running.waited_seconds += wait
    running.is_refused = False

  def record_refusal(self, id: str) -> None:
    """Records that a request of a program was refused."""
    running = self._running_by_id.get(id)
    if running is not None:
      running.is_refused = True

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
      if running.is_whole:
        self._put_ticket(
          id,
          _Ticket(
            asked_at=running.started_at,
            allowed=running.allowed,
            priority=running.priority,
          ),
        )

  def expire_idle(self, now: float) -> None:
    """Removes ended programs, and learns the demand of their kinds from them.

    Also removes refused programs that have not returned.
    """
    ended = [
      id
      for id, running in self._running_by_id.items()
      if now - running.last_request_at > self._policy.ended_seconds
    ]
    for id in ended:
      self._learn(self._running_by_id.pop(id))
    gone = [
      id for id, ticket in self._ticket_by_id.items() if ticket.is_expired(now)
    ]
    for id in gone:
      self._take_ticket(id)

  def _learn(self, ended: _Running) -> None:
    if not ended.is_whole or ended.is_refused or ended.allowed <= 0:
      # A part of a program does not show the demand of a whole one.
      return
    seconds = ended.last_request_at - ended.started_at - ended.waited_seconds
    density, ratio = ended.requests / ended.allowed, seconds / ended.allowed
    known = self.demand_by_kind.get(ended.kind)
    if known is None:
      self.demand_by_kind[ended.kind] = KindDemand(density=density, ratio=ratio)
      return
    distance = abs(ratio - known.ratio)
    known.density += program_demand.LEARN_WEIGHT * (density - known.density)
    known.spread += program_demand.LEARN_WEIGHT * (distance - known.spread)
    known.ratio += program_demand.LEARN_WEIGHT * (ratio - known.ratio)

  def check(
    self,
    start: Start,
    *,
    level: float,
    burst: float,
    rate: float,
    now: float,
    other_rate: float = 0.0,
  ) -> Refusal | None:
    """Returns a refusal if the rate does not suffice for one more program.

    `level` is the number of units in the token bucket, negative if units were
    granted in advance, `burst` its capacity and `rate` the units added per
    second.  `other_rate` is the rate of requests of programs that tell no
    finish time.  A program that finds no other under way and a full bucket is
    admitted even if the rate suffices for no whole program: it could wait for
    no more.  A refused program is told when the missing units have accrued, and
    those for the programs of its priority that were refused before.
    """
    demand = self.demand_by_kind.get(start.kind)
    active = self._count_active(now)
    # The bucket has a unit left for each program under way.
    room = level - min(burst, 1.0 + UNITS_PER_PROGRAM * active)
    ticket = self._ticket_by_id.get(start.id)
    others = self._needed_by_priority.get(start.priority, 0.0)
    if ticket is not None:
      others -= ticket.needed
    if demand is None:
      return _make_refusal(-room, needed=1.0, others=others, rate=rate)
    allowed = self.get_allowed(start.id)
    if allowed is None:
      allowed = max(0.0, start.seconds_left)
    # The duration without waiting for the rate.
    seconds = max(program_demand.MIN_DURATION_SECONDS, demand.ratio * allowed)
    can_be_in_time = seconds <= start.seconds_left
    # The program may wait for the rate as long as it has time left beside its
    # work, which takes longer for some programs than for others.
    horizon = max(seconds, start.seconds_left - demand.spread * allowed)
    own = max(1.0, demand.density * allowed)
    sent_by_kind = self._count_remaining(horizon, now)
    offered_by_kind = self._get_offered(now)
    if not active and level >= burst:
      return None
    needed = own + other_rate * horizon
    for kind in sent_by_kind.keys() | offered_by_kind.keys():
      sent = sent_by_kind.get(kind, 0.0)
      offer = self._offer_by_kind.get(kind)
      # A program that cannot be in time leaves room for all the others.
      if offer and (offer.priority < start.priority or not can_be_in_time):
        sent = max(sent, self._expect_requests(kind, horizon))
      needed += sent
    excess = needed - rate * horizon - level
    if can_be_in_time and self._is_below_part(start, rate, offered_by_kind):
      excess = 0.0
    return _make_refusal(
      max(excess, -room), needed=own, others=others, rate=rate
    )

  def _is_below_part(
    self, start: Start, rate: float, offered_by_kind: Mapping[str, float]
  ) -> bool:
    """Returns whether a kind has got less than it keeps beside urgent kinds.

    The programs that began are compared, since the part of a small rate is less
    than one program at a time.
    """
    total = sum(offered_by_kind.values())
    own = self._offer_by_kind.get(start.kind)
    is_most_urgent = all(
      offer.priority >= start.priority for offer in self._offer_by_kind.values()
    )
    if not total or own is None or is_most_urgent:
      return False
    density = self.demand_by_kind[start.kind].density
    begun = own.begun / own.time_constant * density
    part = rate * offered_by_kind[start.kind] / total
    return begun < self._policy.least_part * part

  def _is_active(self, running: _Running, now: float) -> bool:
    return now - running.last_request_at < self._policy.idle_seconds

  def _count_active(self, now: float) -> int:
    return sum(
      self._is_active(running, now) for running in self._running_by_id.values()
    )

  def _count_remaining(self, horizon: float, now: float) -> dict[str, float]:
    """Returns the requests that running programs will send, by kind.

    Only requests within the next `horizon` seconds are counted.
    """
    count_by_kind: dict[str, float] = {}
    for running in self._running_by_id.values():
      demand = self.demand_by_kind.get(running.kind)
      if demand is None or not self._is_active(running, now):
        continue
      remaining = max(
        MIN_REMAINING_REQUESTS,
        demand.density * running.allowed - running.requests,
      )
      per_second = demand.density / max(0.01, demand.ratio)
      count = min(remaining, per_second * horizon)
      count_by_kind[running.kind] = count_by_kind.get(running.kind, 0.0) + count
    return count_by_kind

  def _expect_requests(self, kind: str, horizon: float) -> float:
    """Returns the requests of the programs that are expected to be asked for.

    Only requests within the next `horizon` seconds are counted, without those
    of a kind whose demand is not known.
    """
    demand = self.demand_by_kind.get(kind)
    if demand is None:
      return 0.0
    return demand.density * self._offer_by_kind[kind].get_expected(horizon)

  def _get_offered(self, now: float) -> dict[str, float]:
    """Returns the requests per second of the programs asked for, by kind."""
    for offer in self._offer_by_kind.values():
      offer.decay(now)
    return {
      kind: offer.asked
      / offer.time_constant
      * self.demand_by_kind[kind].density
      for kind, offer in self._offer_by_kind.items()
      if kind in self.demand_by_kind
    }


def _make_refusal(
  excess: float, *, needed: float, others: float, rate: float
) -> Refusal | None:
  if excess <= 0:
    return None
  missing = excess + max(0.0, others)
  return Refusal(needed=needed, retry_after=missing / rate)
