"""The live instances of upstreams, as the platform's list tells them.

An instance is one start of an upstream.  An upstream that starts again may
have the id that it had, and its address may be given to another one: `born`
tells one life from the next.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

# Ids whose newest life is remembered after their entry went, the most.
MOST_REMEMBERED = 10_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Instance:
  """One start of an upstream.

  `slots` is how many requests it runs at a time.  A draining instance
  finishes what it has and takes nothing new.  `born` is the Unix millisecond
  of its start, 0 where it does not say.
  """

  id: str
  service: str
  address: str
  domain: str
  slots: int = 1
  is_draining: bool = False
  born: int = 0

  @property
  def life(self) -> str:
    """The id with its start: what is learned of an instance goes by this."""
    return f'{self.id}.{self.born}' if self.born else self.id


class Group:
  """Instances among which one is chosen, as a list and by what names them."""

  def __init__(self, found: Sequence[Instance] = ()) -> None:
    self.all = tuple(found)
    self.by_life = {instance.life: instance for instance in found}
    self._by_domain: dict[str, list[Instance]] = {}
    for instance in found:
      self._by_domain.setdefault(instance.domain, []).append(instance)

  def __len__(self) -> int:
    return len(self.all)

  def find_near(self, domain: str) -> Sequence[Instance]:
    """Returns the instances in a failure domain."""
    return self._by_domain.get(domain, ())


class Directory:
  """All instances known, by id and by service.

  While the list is out, entries lapse that live on.  An entry missing from
  a list read anew is therefore kept until a later look, `grace` seconds
  after, still lacks it.
  """

  def __init__(self, *, grace: float) -> None:
    self._grace = grace
    self.by_id: dict[str, Instance] = {}
    self._ids_by_service: dict[str, dict[str, None]] = {}
    self._missing_since: dict[str, float] = {}
    self._newest_born_by_id: dict[str, int] = {}
    self._group_by_service: dict[str, Group] = {}

  def put(self, instance: Instance) -> None:
    """Takes a new or changed entry in, unless a later life is known."""
    if instance.born < self._newest_born_by_id.get(instance.id, 0):
      return
    self._remember(instance)
    known = self.by_id.get(instance.id)
    if known is not None and known.service != instance.service:
      self.remove(instance.id)
    self._missing_since.pop(instance.id, None)
    self.by_id[instance.id] = instance
    self._group_by_service.pop(instance.service, None)
    self._ids_by_service.setdefault(instance.service, {})[instance.id] = None

  def _remember(self, instance: Instance) -> None:
    if not instance.born:
      return
    # The newest last, so that the oldest are dropped.
    self._newest_born_by_id.pop(instance.id, None)
    self._newest_born_by_id[instance.id] = instance.born
    if len(self._newest_born_by_id) > MOST_REMEMBERED:
      del self._newest_born_by_id[next(iter(self._newest_born_by_id))]

  def get_lives(self) -> set[str]:
    """Returns the lives of all instances known."""
    return {instance.life for instance in self.by_id.values()}

  def remove(self, id: str) -> Instance | None:
    """Returns the entry taken out, if there was one."""
    self._missing_since.pop(id, None)
    instance = self.by_id.pop(id, None)
    if instance is not None:
      del self._ids_by_service[instance.service][id]
      self._group_by_service.pop(instance.service, None)
    return instance

  def replace(self, instances: Iterable[Instance], *, now: float) -> None:
    """Takes a whole list in; what it lacks is missing from `now` on."""
    listed = {instance.id: instance for instance in instances}
    for id in self.by_id:
      if id not in listed:
        self._missing_since.setdefault(id, now)
    for instance in listed.values():
      self.put(instance)

  def drop_missing(self, *, now: float) -> list[Instance]:
    """Returns the entries that are gone because they stayed missing."""
    gone = [
      id
      for id, since in self._missing_since.items()
      if now - since >= self._grace
    ]
    return [found for id in gone if (found := self.remove(id)) is not None]

  def get_missing(self) -> list[str]:
    """Returns the ids that the last whole list lacked."""
    return list(self._missing_since)

  def find(self, service: str) -> Group:
    """Returns the instances of a service that take requests.

    They are put together once for each change, not for each request.
    """
    known = self._group_by_service.get(service)
    if known is None:
      ids = self._ids_by_service.get(service, {})
      found = (self.by_id[id] for id in ids)
      known = Group([item for item in found if not item.is_draining])
      self._group_by_service[service] = known
    return known
