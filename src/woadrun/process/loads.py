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
    counts = dict(digest.running)
    if digest.domain == self._domain:
      # This daemon's own requests are among them, as it told them last.
      for id, running in self._told.items():
        counts[id] = counts.get(id, 0) - running
      self.health.take_sum(digest.failing, age=digest.age)
    at = time.monotonic() - digest.age
    self._counts_by_peer[f'domain {digest.domain}'] = (at, counts)

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

  def note_prompt(self, id: str, parts: Sequence[turn_messages.Part]) -> None:
    """Takes note of what a prompt that goes to an instance begins with."""
    if parts:
      self._shared_at[id, parts[0].id] = time.monotonic()

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

  def choose(
    self,
    found: list[instances.Instance],
    *,
    tried: Collection[str],
    prompt: int = 0,
    parts: Sequence[turn_messages.Part] = (),
    cached_by_id: dict[str, int] | None = None,
  ) -> instances.Instance | None:
    """Returns the instance with the shortest expected time, if any."""
    by_id = {item.life: item for item in found if item.life not in tried}
    now = time.monotonic()
    # A request to a domain that is cut off waits for its deadline: what was
    # sent may have run there and is not sent again.
    silent = {d for d in self._get_domains(by_id) if self._is_silent(d)}
    fresh = [
      id
      for id, item in by_id.items()
      if self._get(id).passed_over_until <= now and item.domain not in silent
    ]
    counts = self._sum_counts(now)
    failing = self.health.get_all()
    candidates = [
      self._make_candidate(
        by_id[id],
        counts,
        risk=FAILURE_SECONDS * failing.get(id, 0.0),
        cached=max(
          (cached_by_id or {}).get(id, 0), self._count_shared(id, parts, now)
        ),
        added=TURN_SECONDS if prompt else 0.0,
      )
      for id in fresh or by_id
    ]
    chosen = routing.choose(
      candidates, prompt=prompt, prefill_rate=PREFILL_RATE
    )
    return by_id[chosen.name] if chosen else None

  def get_total(self, id: str) -> int:
    """Returns the requests of all daemons at an instance."""
    return self._add_own(id, self._sum_counts(time.monotonic()))

  def _add_own(self, id: str, counts: dict[str, int]) -> int:
    return self._get(id).running + counts.get(id, 0)

  def estimate_return(self, found: list[instances.Instance]) -> float:
    """Returns when a refused request should find a free slot, in seconds."""
    counts = self._sum_counts(time.monotonic())
    running = sum(self._add_own(item.life, counts) for item in found)
    seconds = [self._get(item.life).seconds for item in found]
    return retry_after.estimate(
      running=running,
      slots=sum(item.slots for item in found),
      seconds=sum(seconds) / len(seconds) if seconds else 0.0,
    )

  def _get(self, id: str) -> Load:
    return self._load_by_id.get(id) or Load()

  def _get_domains(self, by_id: dict[str, instances.Instance]) -> set[str]:
    return {item.domain for item in by_id.values()}

  def _sum_counts(self, now: float) -> dict[str, int]:
    total: dict[str, int] = {}
    for at, counts in self._counts_by_peer.values():
      if now - at > COUNTS_SECONDS:
        continue
      for id, running in counts.items():
        total[id] = total.get(id, 0) + max(0, running)
    return total

  def _make_candidate(
    self,
    item: instances.Instance,
    counts: dict[str, int],
    *,
    risk: float,
    cached: int,
    added: float,
  ) -> routing.Candidate:
    load = self._get(item.life)
    # What a turn takes depends on the load of its engine, which counts by
    # itself here.
    seconds = FIRST_SECONDS if added else load.seconds
    if not load.has_rested(time.monotonic()):
      seconds += CONNECT_SECONDS
    return routing.Candidate(
      name=item.life,
      slots=item.slots,
      running=self._add_own(item.life, counts),
      waiting=0,
      seconds=seconds + random.uniform(0, JITTER_SECONDS),
      cached=cached,
      is_near=item.domain == self._domain,
      added=added,
      risk=risk,
    )
