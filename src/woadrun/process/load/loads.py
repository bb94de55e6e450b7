"""Load and speed of each upstream instance, and the choice of one.

An instance is one incarnation of an upstream: an inference engine, or another
service that programs call.  State is keyed by `Instance.incarnation_id`, the id
with the start time: an instance that restarts under the same id inherits
nothing.  The parameters named `id` and the keys named `incarnation_id` in this
module are such keys.

A turn is a request that generates tokens at an engine; the turns of a program
share the beginning of their prompts.  A slot is one request that an instance
can run at a time.

Each daemon counts its own requests in progress and receives the counts of the
others in their heartbeats, or in large fleets in the digests of hubs, which sum
them by failure domain.  Therefore no instance has to be polled.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import math
import random
import time

from woadrun.connection import turn_messages
from woadrun.decisions import random_sampling
from woadrun.decisions import retry_after
from woadrun.decisions import routing
from woadrun.decisions import service_times
from woadrun.decisions import usual_duration
from woadrun.process import fleet_heartbeats
from woadrun.process.load import health
from woadrun.process.load import slowness
from woadrun.version import instances

# Time for which an unreachable instance is skipped while there are others.
UNREACHABLE_BACKOFF_SECONDS = 1.0
# Time within which the entry of an instance that has ended expires.
ENTRY_TTL_SECONDS = 3.0
# Age at which a peer's counts expire.
COUNTS_TTL_SECONDS = 1.5
# Prompt tokens that an engine processes per second: the order of magnitude of
# current engines.
PREFILL_TOKENS_PER_SECOND = 40_000.0
# Time that a running turn adds to another turn at the same engine: the next
# prompts of the running turn's program are processed there as well, and its
# tokens slow down each decoding step.
TURN_COST_SECONDS = 0.01
# Many programs share the first part of their prompts.  An engine is assumed to
# keep that part in its cache for this long after it was sent there: engines
# retain the prefixes that are in use.
SHARED_PREFIX_TTL_SECONDS = 5.0
# Time that each recent failure of an instance adds to the time expected for a
# request there.  The failure of a call that must not be repeated ends its
# program.
FAILURE_PENALTY_SECONDS = 0.5
# Upper limit of the random time added to each estimate, so that daemons that
# choose at the same moment do not all choose the same instance.  It equals the
# time that two running turns add.
JITTER_SECONDS = 0.02
# Extra time of a request to an instance without an idle connection: the
# handshake, and the slot of the instance that a new connection may occupy
# during the handshake.  It exceeds the jitter, so that an idle connection
# decides between instances that are otherwise equal.
CONNECT_COST_SECONDS = 0.025
# Time after a request for which its connection counts as idle and reusable; the
# HTTP client closes the connection a little later.
IDLE_CONNECTION_TTL_SECONDS = 3.5


@dataclasses.dataclass(kw_only=True)
class Load:
  """What this daemon knows of one instance.

  `running` counts this daemon's requests in progress, `seconds` is the moving
  average of the durations of its requests.  `idle_since` holds the time from
  which each idle connection has been idle, the newest last.  Times are on the
  monotonic clock.
  """

  running: int = 0
  seconds: float = usual_duration.INITIAL_ESTIMATE_SECONDS
  unreachable_until: float = 0.0
  idle_since: list[float] = dataclasses.field(default_factory=list)

  def has_idle_connection(self, now: float) -> bool:
    """Returns whether there is an idle connection to the instance."""
    return (
      bool(self.idle_since)
      and now - self.idle_since[-1] < IDLE_CONNECTION_TTL_SECONDS
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServiceLoad:
  """The slots of the usable instances of a service, and their running requests.

  An instance is usable if it accepts requests, is reachable and is not avoided
  because of failures.  `instances` counts all instances.
  """

  slots: int
  running: int
  instances: int


class Loads:
  """The load of all instances.

  `domain` is this daemon's failure domain.  `is_silent` returns whether a
  domain is cut off from this daemon.  `outcomes`, available as `health`, holds
  the failures of instances; `slowness` has their relative speed.
  """

  def __init__(
    self,
    *,
    domain: str,
    is_silent: Callable[[str], bool] = lambda domain: False,
    outcomes: health.FailureTracker | None = None,
  ) -> None:
    self.health = outcomes or health.FailureTracker()
    self.slowness = slowness.SlownessTracker()
    self._domain = domain
    self._is_silent = is_silent
    self._load_by_id: dict[str, Load] = {}
    self._duration_by_service: dict[str, usual_duration.UsualDuration] = {}
    self._last_sent: dict[str, int] = {}
    # The time of the counts and the counts by instance, for each peer; also for
    # each domain with a digest, and for the sum of all other domains.
    self._counts_by_peer: dict[str, tuple[float, dict[str, int]]] = {}
    self._prefix_sent_at: dict[tuple[str, str], float] = {}
    self._holder_by_prefix: dict[str, str] = {}
    # Instances with an idle connection, the most recently used one last.
    self._idle_lives: dict[str, None] = {}

  def get_running(self) -> dict[str, int]:
    """Returns the number of this daemon's requests in progress, by instance.

    Instances without requests are left out.
    """
    return {
      id: load.running for id, load in self._load_by_id.items() if load.running
    }

  def report_running(self) -> dict[str, int]:
    """Returns the counts of `get_running` for a heartbeat, and remembers them.

    `record_domain_counts` subtracts them from the sums of the own domain.
    """
    self._last_sent = self.get_running()
    return self._last_sent

  def record_peer_counts(
    self, heartbeat: fleet_heartbeats.FleetHeartbeat
  ) -> None:
    """Stores the counts in a peer's heartbeat."""
    self._counts_by_peer[heartbeat.name] = (time.monotonic(), heartbeat.running)
    self.slowness.record_peer_turns(heartbeat.turn_times)
    if heartbeat.domain == self._domain:
      # An instance may fail for the callers of a single domain only, so that
      # failures seen in other domains do not count here.
      self.health.record_peer_report(heartbeat.name, heartbeat.failing)

  def record_domain_counts(self, digest: fleet_heartbeats.Digest) -> None:
    """Stores the counts of a domain, summed over its members.

    A digest without counts is ignored.
    """
    if digest.running is None:
      return
    counts = dict(digest.running)
    if digest.domain == self._domain:
      # The sums include this daemon's own requests as it last sent them.
      for id, running in self._last_sent.items():
        counts[id] = counts.get(id, 0) - running
      self.health.record_domain_report(digest.failing or {}, age=digest.age)
    self.slowness.record_report(
      digest.domain, digest.turn_times or {}, age=digest.age
    )
    at = time.monotonic() - digest.age
    self._counts_by_peer[f'domain {digest.domain}'] = (at, counts)

  def record_other_domains(
    self,
    running: dict[str, int],
    sums_by_id: Mapping[str, service_times.Sums],
  ) -> None:
    """Stores what a hub summed of all other domains.

    That is the counts, and the times of turns by instance.
    """
    self._counts_by_peer['elsewhere'] = (time.monotonic(), running)
    self.slowness.record_report('elsewhere', sums_by_id)

  @contextlib.contextmanager
  def count(self, id: str) -> Iterator[Load]:
    """Returns a context that counts a request at an instance.

    The request is assumed to take the connection that became idle last.
    """
    load = self._load_by_id.setdefault(id, Load())
    load.running += 1
    if load.idle_since:
      load.idle_since.pop()
    try:
      yield load
    finally:
      load.running -= 1

  def record_idle_connection(self, id: str) -> None:
    """Records that a request ended and left a connection that can be reused."""
    load = self._load_by_id.setdefault(id, Load())
    now = time.monotonic()
    load.idle_since = [
      at for at in load.idle_since if now - at < IDLE_CONNECTION_TTL_SECONDS
    ]
    load.idle_since.append(now)
    self._idle_lives.pop(id, None)
    self._idle_lives[id] = None

  def record_prompt(
    self, id: str, parts: Sequence[turn_messages.PromptPart]
  ) -> None:
    """Records the first part of a prompt that is sent to an instance."""
    if parts:
      self._prefix_sent_at[id, parts[0].id] = time.monotonic()
      self._holder_by_prefix[parts[0].id] = id

  def _count_shared_tokens(
    self, id: str, parts: Sequence[turn_messages.PromptPart], now: float
  ) -> int:
    """Returns the tokens of a prompt's first part if it is cached, else 0.

    It is assumed to be in the cache of an instance for a while after this
    daemon sent it there.
    """
    if not parts:
      return 0
    at = self._prefix_sent_at.get((id, parts[0].id))
    is_held = at is not None and now - at < SHARED_PREFIX_TTL_SECONDS
    return parts[0].tokens if is_held else 0

  def count_uncached(
    self,
    id: str,
    *,
    prompt: int,
    parts: Sequence[turn_messages.PromptPart],
    cached_by_id: Mapping[str, int],
  ) -> int:
    """Returns the tokens of a prompt that an instance has to process."""
    shared = self._count_shared_tokens(id, parts, time.monotonic())
    return max(0, prompt - max(cached_by_id.get(id, 0), shared))

  def record_duration(
    self, id: str, service: str, seconds: float, *, is_failure: bool = False
  ) -> None:
    """Adds the duration of a request to the moving averages.

    A failure never lowers them: an instance that fails at once is not fast.
    """
    load = self._load_by_id.setdefault(id, Load())
    least = -math.inf if not is_failure else 0.0
    load.seconds += usual_duration.EWMA_WEIGHT * max(
      least, seconds - load.seconds
    )
    self._get_duration(service).record(seconds, is_failure=is_failure)

  def _get_duration(self, service: str) -> usual_duration.UsualDuration:
    return self._duration_by_service.setdefault(
      service, usual_duration.UsualDuration()
    )

  def get_mean_seconds(self, service: str) -> float:
    """Returns the moving average of request times over a whole service.

    Before the first request, the result is an initial estimate.
    """
    return self._get_duration(service).mean

  def get_usual_seconds(self, service: str) -> float:
    """Returns a duration that most requests to a service do not exceed."""
    return self._get_duration(service).seconds

  def record_unreachable(self, id: str) -> None:
    """Makes `choose` skip an instance for UNREACHABLE_BACKOFF_SECONDS."""
    load = self._load_by_id.setdefault(id, Load())
    load.unreachable_until = time.monotonic() + UNREACHABLE_BACKOFF_SECONDS

  def record_ended(self, id: str) -> None:
    """Makes `choose` skip an instance until its entry has expired.

    The entry of an instance that has ended stays for some seconds.
    """
    load = self._load_by_id.setdefault(id, Load())
    load.unreachable_until = time.monotonic() + ENTRY_TTL_SECONDS

  def drop_unknown(self, known: Collection[str]) -> None:
    """Drops the state of all instances that are not in `known`.

    `known` has the `incarnation_id` of each known instance.  Instances with
    running requests are kept.  Expired prefixes and idle connections are
    dropped as well.
    """
    stale = [
      id
      for id, load in self._load_by_id.items()
      if id not in known and not load.running
    ]
    for id in stale:
      del self._load_by_id[id]
    oldest = time.monotonic() - SHARED_PREFIX_TTL_SECONDS
    self._prefix_sent_at = {
      key: at for key, at in self._prefix_sent_at.items() if at > oldest
    }
    self._holder_by_prefix = {
      part: id
      for part, id in self._holder_by_prefix.items()
      if (id, part) in self._prefix_sent_at
    }
    now = time.monotonic()
    self._idle_lives = {
      id: None
      for id in self._idle_lives
      if self._get(id).has_idle_connection(now)
    }

  def choose(
    self,
    group: instances.Group,
    *,
    tried: Collection[str],
    prompt: int = 0,
    parts: Sequence[turn_messages.PromptPart] = (),
    cached_by_id: dict[str, int] | None = None,
    weighs_slowness: bool = False,
  ) -> instances.Instance | None:
    """Returns the best of a few instances, None if all were tried.

    Compared are the instances that hold the prompt in their cache, one that
    holds its shared first part, one with an idle connection, and two drawn at
    random (`decisions/random_sampling.py`).  If no instance is reachable, all
    that were not tried yet are compared.  The result is also None if none of
    the compared instances has a slot.

    `tried` has the `incarnation_id` of each instance to leave out.  `prompt` is
    the length of the prompt in tokens, 0 for a request that is not a turn;
    `parts` are the parts of the prompt.  `cached_by_id` has the number of its
    tokens that are in the cache of an instance.  With `weighs_slowness`, the
    times of a turn are multiplied by the slowness of each instance.
    """
    now = time.monotonic()
    cached_by_id = cached_by_id or {}

    def is_fit(item: instances.Instance) -> bool:
      return item.incarnation_id not in tried and self._is_reachable(item, now)

    known = [
      *cached_by_id,
      *self._find_prefix_holder(parts, now),
      *self._find_idle(group, now),
    ]
    considered = {
      incarnation_id: item
      for incarnation_id in known
      if (item := group.by_incarnation_id.get(incarnation_id)) is not None
      and is_fit(item)
    }
    for item in self._draw(
      group, lambda item: item.incarnation_id not in considered and is_fit(item)
    ):
      considered[item.incarnation_id] = item
    if not considered:
      # All remaining instances were unreachable or cut off; any of them may
      # have recovered.
      considered = {
        i.incarnation_id: i for i in group.all if i.incarnation_id not in tried
      }
    candidates = [
      self._make_candidate(
        item,
        risk=FAILURE_PENALTY_SECONDS
        * self.health.get_excess_failures(incarnation_id),
        cached=max(
          cached_by_id.get(incarnation_id, 0),
          self._count_shared_tokens(incarnation_id, parts, now),
        ),
        batch_delay=TURN_COST_SECONDS if prompt else 0.0,
        slowness=self.slowness.get_slowness(incarnation_id)
        if weighs_slowness and prompt
        else 1.0,
        now=now,
      )
      for incarnation_id, item in considered.items()
    ]
    chosen = routing.choose(
      candidates, prompt=prompt, prefill_rate=PREFILL_TOKENS_PER_SECOND
    )
    return considered[chosen.name] if chosen else None

  def _draw(
    self,
    group: instances.Group,
    is_fit: Callable[[instances.Instance], bool],
  ) -> list[instances.Instance]:
    """Returns up to two instances drawn at random from those that are fit.

    If one of the drawn instances has failed recently, up to two instances
    without failures are drawn as well.
    """
    near = group.find_near(self._domain)
    drawn = random_sampling.draw(
      near, group.all, is_fit=is_fit, pick=random.choice
    )
    if not any(
      self.health.get_excess_failures(item.incarnation_id) for item in drawn
    ):
      return drawn

    def is_healthy(item: instances.Instance) -> bool:
      return is_fit(item) and not self.health.get_excess_failures(
        item.incarnation_id
      )

    healthy = random_sampling.draw(
      near, group.all, is_fit=is_healthy, pick=random.choice
    )
    return [*drawn, *healthy]

  def _is_reachable(self, item: instances.Instance, now: float) -> bool:
    """Returns whether an instance is believed to be reachable.

    Instances in a domain that is cut off do not count as reachable: a request
    sent there waits until its deadline, since it may have run there and is
    therefore not sent to another instance.
    """
    is_backing_off = self._get(item.incarnation_id).unreachable_until > now
    return not is_backing_off and not self._is_silent(item.domain)

  def _find_prefix_holder(
    self, parts: Sequence[turn_messages.PromptPart], now: float
  ) -> list[str]:
    """Returns the instance that last received the prompt's first part.

    The list is empty if none received it recently.
    """
    known = self._holder_by_prefix.get(parts[0].id) if parts else None
    if known is None or self._count_shared_tokens(known, parts, now) == 0:
      return []
    return [known]

  def _find_idle(self, group: instances.Group, now: float) -> list[str]:
    """Returns the group's last used instance with an idle connection.

    The list is empty if there is none.
    """
    for incarnation_id in reversed(self._idle_lives):
      if incarnation_id in group.by_incarnation_id and self._get(
        incarnation_id
      ).has_idle_connection(now):
        return [incarnation_id]
    return []

  def get_total(self, id: str) -> int:
    """Returns the requests of all daemons in progress at an instance."""
    return self._get(id).running + self._count_others(id, time.monotonic())

  def measure(self, group: instances.Group) -> ServiceLoad:
    """Returns the load of the usable instances of a group.

    Full instances reject requests and are avoided for it as well.  Therefore,
    if avoided instances have half of the slots or more, they count as usable.
    """
    now = time.monotonic()
    fresh = [
      counts
      for at, counts in self._counts_by_peer.values()
      if now - at <= COUNTS_TTL_SECONDS
    ]
    is_silent_by_domain = {
      domain: self._is_silent(domain) for domain in group.domains
    }
    avoided = self.health.avoided
    slots = running = avoided_slots = avoided_running = 0
    for id, item in group.by_incarnation_id.items():
      load = self._load_by_id.get(id)
      if is_silent_by_domain[item.domain] or (
        load is not None and load.unreachable_until > now
      ):
        continue
      total = load.running if load is not None else 0
      for counts in fresh:
        if (count := counts.get(id, 0)) > 0:
          total += count
      if id in avoided:
        avoided_slots += item.slots
        avoided_running += total
      else:
        slots += item.slots
        running += total
    if avoided_slots >= slots:
      slots += avoided_slots
      running += avoided_running
    return ServiceLoad(slots=slots, running=running, instances=len(group))

  def estimate_retry_after(self, group: instances.Group) -> float:
    """Returns the seconds until a rejected request should find a free slot.

    See `retry_after.estimate`.
    """
    running = sum(self.get_total(item.incarnation_id) for item in group.all)
    seconds = [self._get(item.incarnation_id).seconds for item in group.all]
    slots = sum(item.slots for item in group.all)
    count = max(1, len(seconds))
    return retry_after.estimate(
      running=running,
      slots=slots,
      seconds=sum(seconds) / count,
      slots_of_instance=slots / count,
    )

  def _get(self, id: str) -> Load:
    return self._load_by_id.get(id) or Load()

  def _count_others(self, id: str, now: float) -> int:
    """Returns the number of other daemons' requests at an instance.

    The counts of a domain may be negative: they are older than the own requests
    that `record_domain_counts` subtracts.
    """
    return sum(
      max(0, counts.get(id, 0))
      for at, counts in self._counts_by_peer.values()
      if now - at <= COUNTS_TTL_SECONDS
    )

  def _make_candidate(
    self,
    item: instances.Instance,
    *,
    risk: float,
    cached: int,
    batch_delay: float,
    slowness: float,
    now: float,
  ) -> routing.Candidate:
    """Returns the properties of an instance that `routing.choose` compares.

    `risk` is the time expected to be lost by failures, in seconds, `cached` the
    tokens of the prompt in the instance's cache.  `batch_delay` is the
    time in seconds that each running turn adds, 0 for a request that is not a
    turn.  `slowness` multiplies the times of a turn.
    """
    load = self._get(item.incarnation_id)
    # The duration of a turn depends on the load of its engine, which
    # `batch_delay` accounts for; the measured average would count that load
    # twice.
    seconds = (
      slowness * usual_duration.INITIAL_ESTIMATE_SECONDS
      if batch_delay
      else load.seconds
    )
    if not load.has_idle_connection(now):
      seconds += CONNECT_COST_SECONDS
    return routing.Candidate(
      name=item.incarnation_id,
      slots=item.slots,
      running=load.running + self._count_others(item.incarnation_id, now),
      waiting=0,
      seconds=seconds + random.uniform(0, JITTER_SECONDS),
      cached=cached,
      is_near=item.domain == self._domain,
      batch_delay=slowness * batch_delay,
      risk=risk,
      slowness=slowness,
    )
