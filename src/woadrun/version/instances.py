"""The running instances of upstreams, as listed by the platform.

The platform that runs the upstreams lists each one in an entry.  An instance is
one incarnation of an upstream: the time from a start to its end.  An upstream
may keep its id across a restart, and its address may be reassigned to another
upstream, so `started_ms` distinguishes the incarnations.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from woadrun.version import departures

# The newest start time is kept for at most this many ids, including ids whose
# entry was removed.  A late entry of an earlier incarnation is rejected by it.
MAX_REMEMBERED_IDS = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
  """One incarnation of an upstream.

  `service` is the service that it belongs to, `domain` its failure domain.
  `slots` is the number of requests that it runs concurrently.  A draining
  instance completes its requests and accepts no new ones.  `started_ms` is its
  start time in Unix milliseconds, or 0 if its entry has none.
  """

  id: str
  service: str
  address: str
  domain: str
  slots: int = 1
  is_draining: bool = False
  started_ms: int = 0

  @property
  def incarnation_id(self) -> str:
    """The id with the start time, which identifies the incarnation.

    Measurements of an instance are stored under this key.
    """
    return f'{self.id}.{self.started_ms}' if self.started_ms else self.id


class Group:
  """A fixed set of instances, indexed by incarnation and by failure domain.

  `Directory.find` returns the candidates for a request as a group.
  """

  def __init__(self, found: Sequence[Instance] = ()) -> None:
    self.all = tuple(found)
    self.by_incarnation_id = {
      instance.incarnation_id: instance for instance in found
    }
    self._by_domain: dict[str, list[Instance]] = {}
    for instance in found:
      self._by_domain.setdefault(instance.domain, []).append(instance)

  def __len__(self) -> int:
    return len(self.all)

  @property
  def domains(self) -> Collection[str]:
    """The failure domains of the instances."""
    return self._by_domain.keys()

  def find_near(self, domain: str) -> Sequence[Instance]:
    """Returns the instances in a failure domain, none if it is unknown."""
    return self._by_domain.get(domain, ())


class Directory:
  """All known instances, at most one for each id.

  While the platform's list is unavailable, instances cannot renew their
  entries, so entries of running instances may expire from it.  An entry that is
  missing from a new list is therefore kept until it has been missing for
  `grace` seconds.  `departures` has those that are draining or were removed.
  """

  def __init__(self, *, grace: float) -> None:
    self._grace = grace
    self.by_id: dict[str, Instance] = {}
    self._ids_by_service: dict[str, dict[str, None]] = {}
    self._missing_since: dict[str, float] = {}
    self._newest_born_by_id: dict[str, int] = {}
    self._group_by_service: dict[str, Group] = {}
    self.departures = departures.Departures()

  def put(self, instance: Instance) -> None:
    """Stores an entry, unless a newer incarnation of its id is known.

    An entry without a start time is older than any entry with one.
    """
    if instance.started_ms < self._newest_born_by_id.get(instance.id, 0):
      return
    self._record_start(instance)
    known = self.by_id.get(instance.id)
    if known is not None and known.service != instance.service:
      self.remove(instance.id)
    self._missing_since.pop(instance.id, None)
    if known is not None and known.incarnation_id != instance.incarnation_id:
      self.departures.record(known)
    if instance.is_draining:
      self.departures.record(instance)
    else:
      self.departures.withdraw(instance.incarnation_id)
    self.by_id[instance.id] = instance
    self._group_by_service.pop(instance.service, None)
    self._ids_by_service.setdefault(instance.service, {})[instance.id] = None

  def _record_start(self, instance: Instance) -> None:
    if not instance.started_ms:
      return
    # Reinserted at the end, so that the least recently updated id is evicted.
    self._newest_born_by_id.pop(instance.id, None)
    self._newest_born_by_id[instance.id] = instance.started_ms
    if len(self._newest_born_by_id) > MAX_REMEMBERED_IDS:
      del self._newest_born_by_id[next(iter(self._newest_born_by_id))]

  def find_incarnation(self, incarnation_id: str) -> Instance | None:
    """Returns a listed instance, or None if it is not listed."""
    for id in (incarnation_id, incarnation_id.rpartition('.')[0]):
      found = self.by_id.get(id)
      if found is not None and found.incarnation_id == incarnation_id:
        return found
    return None

  def has_successor(self, instance: Instance) -> bool:
    """Returns whether a later incarnation is listed at an instance's address.

    Start times of other ids are compared only if both are known.
    """
    return any(
      item.address == instance.address
      and item.incarnation_id != instance.incarnation_id
      and item.started_ms > instance.started_ms > 0
      for item in self.by_id.values()
    )

  def get_incarnation_ids(self) -> set[str]:
    """Returns the `incarnation_id` of each known instance."""
    return {instance.incarnation_id for instance in self.by_id.values()}

  def remove(self, id: str) -> Instance | None:
    """Removes and returns an entry, or returns None if there is none."""
    self._missing_since.pop(id, None)
    instance = self.by_id.pop(id, None)
    if instance is not None:
      self.departures.record(instance)
      del self._ids_by_service[instance.service][id]
      self._group_by_service.pop(instance.service, None)
    return instance

  def replace(self, instances: Iterable[Instance], *, now: float) -> None:
    """Stores a complete list of instances.

    Known entries that are not in it count as missing from `now` on, or from the
    earlier list that they were missing from.  `drop_missing` removes them.
    """
    listed = {instance.id: instance for instance in instances}
    for id in self.by_id:
      if id not in listed:
        self._missing_since.setdefault(id, now)
    for instance in listed.values():
      self.put(instance)

  def drop_missing(self, *, now: float) -> list[Instance]:
    """Removes and returns entries that were missing for the grace period.

    `now` is on the same clock as that of `replace`.
    """
    expired = [
      id
      for id, since in self._missing_since.items()
      if now - since >= self._grace
    ]
    return [found for id in expired if (found := self.remove(id)) is not None]

  def get_missing(self) -> list[str]:
    """Returns the ids that are missing from the last complete list."""
    return list(self._missing_since)

  def find(self, service: str) -> Group:
    """Returns the instances of a service that accept requests.

    The group is empty if there are none.  It is cached until an entry of the
    service changes.
    """
    group = self._group_by_service.get(service)
    if group is None:
      ids = self._ids_by_service.get(service, {})
      found = (self.by_id[id] for id in ids)
      group = Group([item for item in found if not item.is_draining])
      self._group_by_service[service] = group
    return group
