"""How busy each instance is, by all daemons' counts, and how fast.

What is learned of an instance goes by its life: one that starts again under
its id has nothing of what it had before.

Each daemon counts its own requests and hears of the others' counts by
their datagrams, so that no instance has to be asked.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import dataclasses
import random
import time

from woadrun.connection import turn_messages
from woadrun.decisions import draws
from woadrun.decisions import retry_after
from woadrun.decisions import routing
from woadrun.process import beats
from woadrun.process import health
from woadrun.version import instances

# Weight of the newest request in the learned time of an instance: requests
# differ by a factor of ten, so that few of them tell little.
LEARN_WEIGHT = 0.05
# What a request is taken to last before one was seen, in seconds.
FIRST_SECONDS = 0.2
# An instance that could not be reached is passed over for so long, in
# seconds, while there are others.
PASSED_OVER_SECONDS = 1.0
# A peer's counts are forgotten after so long, in seconds.
COUNTS_SECONDS = 1.5
# Prompt tokens that an engine reads in a second: the order of size of those
# served today.
PREFILL_RATE = 40_000.0
# What a turn that runs adds to another one at the same engine, in seconds: its
# program's next prompts are read there as well, and its tokens slow each step.
TURN_SECONDS = 0.01
# The first part of a prompt is many programs'.  An engine that was sent it is
# taken to hold it for so long, in seconds: those that are used stay.
SHARED_SECONDS = 5.0
# What a failure of late at an instance adds to the time expected there, in
# seconds.  A call that may not be repeated and fails ends its program, whose
# calls take some ten times as long together.
FAILURE_SECONDS = 0.5
# Daemons that choose at the same moment should not all choose the same
# instance; in seconds, less than one turn adds.
JITTER_SECONDS = 0.02
# What a request costs more where no connection rests, in seconds: the
# handshake, and the slot that a new connection may hold meanwhile.  Above the
# jitter, so that among instances that are as good a rested connection decides.
CONNECT_SECONDS = 0.025
# A connection counts as rested for so long after a request, in seconds; a
# little later it is closed.
RESTED_SECONDS = 3.5


@dataclasses.dataclass(kw_only=True)
class Load:
  """What this daemon knows of one instance.

  `rested_at` has, for each connection at rest, since when, the newest last.
  """

  running: int = 0
  seconds: float = FIRST_SECONDS
  passed_over_until: float = 0.0
  rested_at: list[float] = dataclasses.field(default_factory=list)

  def has_rested(self, now: float) -> bool:
    """Returns whether a connection rests there."""
    return bool(self.rested_at) and now - self.rested_at[-1] < RESTED_SECONDS


class Loads:
  """The load of all instances."""

  def __init__(
    self,
    *,
    domain: str,
    is_silent: Callable[[str], bool] = lambda domain: False,
    outcomes: health.Health | None = None,
  ) -> None:
    self.health = outcomes or health.Health()
    self._domain = domain
    self._is_silent = is_silent
    self._load_by_id: dict[str, Load] = {}
    self._usual_by_service: dict[str, float] = {}
    self._told: dict[str, int] = {}
    self._counts_by_peer: dict[str, tuple[float, dict[str, int]]] = {}
    self._shared_at: dict[tuple[str, str], float] = {}
    self._sharer_by_part: dict[str, str] = {}
    # Instances with a connection that rested, the last one used last.
    self._rested: dict[str, None] = {}

  def get_running(self) -> dict[str, int]:
    """Returns this daemon's own requests, by instance."""
    return {
      id: load.running for id, load in self._load_by_id.items() if load.running
    }

  def tell_running(self) -> dict[str, int]:
    """Returns the same for a datagram, and remembers what was told."""
    self._told = self.get_running()
    return self._told

  def take_beat(self, beat: beats.Beat) -> None:
    """Takes a peer's counts in."""
    self._counts_by_peer[beat.name] = (time.monotonic(), beat.running)
    if beat.domain == self._domain:
      # An instance may fail for callers of one domain only.
      self.health.take(beat.name, beat.failing)

  def take_digest(self, digest: beats.Digest) -> None:
    """Takes the counts of a domain in, all its members together."""
    if digest.running is None:
      return
    counts = dict(digest.running)
    if digest.domain == self._domain:
      # This daemon's own requests are among them, as it told them last.
      for id, running in self._told.items():
        counts[id] = counts.get(id, 0) - running
      self.health.take_sum(digest.failing or {}, age=digest.age)
    at = time.monotonic() - digest.age
    self._counts_by_peer[f'domain {digest.domain}'] = (at, counts)

  def take_elsewhere(self, running: dict[str, int]) -> None:
    """Takes the counts of all other domains in, as a hub sums them."""
    self._counts_by_peer['elsewhere'] = (time.monotonic(), running)

  @contextlib.contextmanager
  def count(self, id: str) -> Iterator[Load]:
    """Counts a request at an instance while the context lasts."""
    load = self._load_by_id.setdefault(id, Load())
    load.running += 1
    if load.rested_at:
      load.rested_at.pop()
    try:
      yield load
    finally:
      load.running -= 1

  def note_rested(self, id: str) -> None:
    """Takes note that the connection of a request can be used again."""
    load = self._load_by_id.setdefault(id, Load())
    now = time.monotonic()
    load.rested_at = [at for at in load.rested_at if now - at < RESTED_SECONDS]
    load.rested_at.append(now)
    self._rested.pop(id, None)
    self._rested[id] = None

  def note_prompt(self, id: str, parts: Sequence[turn_messages.Part]) -> None:
    """Takes note of what a prompt that goes to an instance begins with."""
    if parts:
      self._shared_at[id, parts[0].id] = time.monotonic()
      self._sharer_by_part[parts[0].id] = id

  def _count_shared(
    self, id: str, parts: Sequence[turn_messages.Part], now: float
  ) -> int:
    if not parts:
      return 0
    at = self._shared_at.get((id, parts[0].id))
    is_held = at is not None and now - at < SHARED_SECONDS
    return parts[0].tokens if is_held else 0

  def note_seconds(self, id: str, service: str, seconds: float) -> None:
    """Learns from a request that took `seconds`."""
    load = self._load_by_id.setdefault(id, Load())
    load.seconds += LEARN_WEIGHT * (seconds - load.seconds)
    usual = self.get_usual_seconds(service)
    usual += LEARN_WEIGHT * (seconds - usual)
    self._usual_by_service[service] = usual

  def get_usual_seconds(self, service: str) -> float:
    """Returns what a request takes at a service, all instances together."""
    return self._usual_by_service.get(service, FIRST_SECONDS)

  def note_unreachable(self, id: str) -> None:
    """Passes an instance over for a while."""
    load = self._load_by_id.setdefault(id, Load())
    load.passed_over_until = time.monotonic() + PASSED_OVER_SECONDS

  def forget(self, known: Collection[str]) -> None:
    """Drops what is kept of instances that are not known any more."""
    gone = [
      id
      for id, load in self._load_by_id.items()
      if id not in known and not load.running
    ]
    for id in gone:
      del self._load_by_id[id]
    limit = time.monotonic() - SHARED_SECONDS
    self._shared_at = {
      key: at for key, at in self._shared_at.items() if at > limit
    }
    self._sharer_by_part = {
      part: id
      for part, id in self._sharer_by_part.items()
      if (id, part) in self._shared_at
    }
    now = time.monotonic()
    self._rested = {
      id: None for id in self._rested if self._get(id).has_rested(now)
    }

  def choose(
    self,
    found: instances.Group,
    *,
    tried: Collection[str],
    prompt: int = 0,
    parts: Sequence[turn_messages.Part] = (),
    cached_by_id: dict[str, int] | None = None,
  ) -> instances.Instance | None:
    """Returns the best of a few instances, if any is left to try.

    Those are the ones that hold the prompt, one that holds its shared part, one
    with a connection at rest, and two drawn at random (`decisions/draws.py`).
    """
    now = time.monotonic()
    cached_by_id = cached_by_id or {}

    def is_fit(item: instances.Instance) -> bool:
      return item.life not in tried and self._is_fit(item, now)

    known = [
      *cached_by_id,
      *self._find_sharer(parts, now),
      *self._find_rested(found, now),
    ]
    looked_at = {
      life: item
      for life in known
      if (item := found.by_life.get(life)) is not None and is_fit(item)
    }
    for item in self._draw(
      found, lambda item: item.life not in looked_at and is_fit(item)
    ):
      looked_at[item.life] = item
    if not looked_at:
      # All that are left are unreachable or cut off: any may be back.
      looked_at = {i.life: i for i in found.all if i.life not in tried}
    candidates = [
      self._make_candidate(
        item,
        risk=FAILURE_SECONDS * self.health.get(life),
        cached=max(
          cached_by_id.get(life, 0), self._count_shared(life, parts, now)
        ),
        added=TURN_SECONDS if prompt else 0.0,
        now=now,
      )
      for life, item in looked_at.items()
    ]
    chosen = routing.choose(
      candidates, prompt=prompt, prefill_rate=PREFILL_RATE
    )
    return looked_at[chosen.name] if chosen else None

  def _draw(
    self,
    found: instances.Group,
    is_fit: Callable[[instances.Instance], bool],
  ) -> list[instances.Instance]:
    """Returns instances drawn at random, sound ones among them if there are."""
    near = found.find_near(self._domain)
    drawn = draws.draw(near, found.all, is_fit=is_fit, pick=random.choice)
    if not any(self.health.get(item.life) for item in drawn):
      return drawn

    def is_sound(item: instances.Instance) -> bool:
      return is_fit(item) and not self.health.get(item.life)

    sound = draws.draw(near, found.all, is_fit=is_sound, pick=random.choice)
    return [*drawn, *sound]

  def _is_fit(self, item: instances.Instance, now: float) -> bool:
    """Returns whether an instance can be reached, as far as is known.

    A request to a domain that is cut off waits for its deadline: what was
    sent may have run there and is not sent again.
    """
    passed_over = self._get(item.life).passed_over_until > now
    return not passed_over and not self._is_silent(item.domain)

  def _find_sharer(
    self, parts: Sequence[turn_messages.Part], now: float
  ) -> list[str]:
    """Returns the instance that was sent a prompt's first part last."""
    known = self._sharer_by_part.get(parts[0].id) if parts else None
    if known is None or self._count_shared(known, parts, now) == 0:
      return []
    return [known]

  def _find_rested(self, found: instances.Group, now: float) -> list[str]:
    """Returns the instance of the group that was used last, if it rests."""
    for life in reversed(self._rested):
      if life in found.by_life and self._get(life).has_rested(now):
        return [life]
    return []

  def get_total(self, id: str) -> int:
    """Returns the requests of all daemons at an instance."""
    return self._get(id).running + self._count_others(id, time.monotonic())

  def estimate_return(self, found: instances.Group) -> float:
    """Returns when a refused request should find a free slot, in seconds."""
    running = sum(self.get_total(item.life) for item in found.all)
    seconds = [self._get(item.life).seconds for item in found.all]
    return retry_after.estimate(
      running=running,
      slots=sum(item.slots for item in found.all),
      seconds=sum(seconds) / len(seconds) if seconds else 0.0,
    )

  def _get(self, id: str) -> Load:
    return self._load_by_id.get(id) or Load()

  def _count_others(self, id: str, now: float) -> int:
    """Returns the requests of all other daemons at an instance."""
    return sum(
      max(0, counts.get(id, 0))
      for at, counts in self._counts_by_peer.values()
      if now - at <= COUNTS_SECONDS
    )

  def _make_candidate(
    self,
    item: instances.Instance,
    *,
    risk: float,
    cached: int,
    added: float,
    now: float,
  ) -> routing.Candidate:
    load = self._get(item.life)
    # What a turn takes depends on the load of its engine, which counts by
    # itself here.
    seconds = FIRST_SECONDS if added else load.seconds
    if not load.has_rested(now):
      seconds += CONNECT_SECONDS
    return routing.Candidate(
      name=item.life,
      slots=item.slots,
      running=load.running + self._count_others(item.life, now),
      waiting=0,
      seconds=seconds + random.uniform(0, JITTER_SECONDS),
      cached=cached,
      is_near=item.domain == self._domain,
      added=added,
      risk=risk,
    )
