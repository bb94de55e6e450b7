"""The relative slowness of instances, learned by all daemons together.

A daemon of a large fleet sees a few turns of an instance in a minute, so that
daemons send each other what they measured: the sums of
`decisions/service_times.py`, in heartbeats and in the digests of hubs.  State
is keyed by `Instance.incarnation_id`: a restarted instance begins anew.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import time

from woadrun.decisions import service_times

# Age at which received sums expire, as for the counts of requests.
REPORT_TTL_SECONDS = 1.5
# Interval between two additions of all sums: heartbeats arrive as often.
REFRESH_INTERVAL_SECONDS = 0.25

Sums = service_times.Sums


@dataclasses.dataclass(kw_only=True)
class _OwnSums:
  """What this daemon measured at an instance, decayed up to the time `at`."""

  service: str
  sums: Sums = Sums()
  at: float


class SlownessTracker:
  """Measures turns, exchanges sums with peers, and estimates slowness.

  Times are on the monotonic clock.
  """

  def __init__(self) -> None:
    self._model_by_service: dict[str, service_times.Model] = {}
    self._own_by_id: dict[str, _OwnSums] = {}
    self._last_report: dict[str, Sums] = {}
    self._report_by_source: dict[str, tuple[float, Mapping[str, Sums]]] = {}
    self._slowness_by_id: dict[str, float] = {}
    self._refreshed_at = -REFRESH_INTERVAL_SECONDS

  def record_turn(
    self, id: str, service: str, size: service_times.TurnSize, seconds: float
  ) -> None:
    """Adds the time of a turn that an instance completed."""
    now = time.monotonic()
    model = self._model_by_service.get(service)
    if model is None:
      model = self._model_by_service[service] = service_times.Model(now=now)
    predicted = model.predict(size)
    mean = model.mean_seconds
    model.learn(size, seconds, slowness=self.get_slowness(id), now=now)
    if predicted is None or mean <= 0.0 or predicted <= 0.0:
      return
    own = self._own_by_id.setdefault(id, _OwnSums(service=service, at=now))
    own.sums = service_times.add_turn(
      own.sums,
      age=now - own.at,
      seconds=seconds,
      predicted=predicted,
      mean=mean,
    )
    own.at = now

  # --- Reports --------------------------------------------------------------

  def report(self) -> dict[str, Sums]:
    """Returns the sums for a heartbeat, and remembers them.

    `record_domain_report` subtracts them from the sums of the own domain.
    """
    now = time.monotonic()
    sums_by_service: dict[str, dict[str, Sums]] = {}
    for id, own in self._own_by_id.items():
      found = sums_by_service.setdefault(own.service, {})
      found[id] = service_times.decay(own.sums, now - own.at)
    selected = {
      id: sums
      for found in sums_by_service.values()
      for id, sums in service_times.select_service(found).items()
    }
    if len(selected) > service_times.MAX_REPORTED:
      selected = service_times.select_differing(selected)
    self._last_report = {
      id: Sums(round(sums.observed, 2), round(sums.predicted, 2))
      for id, sums in selected.items()
    }
    return self._last_report

  def record_report(
    self, source: str, sums_by_id: Mapping[str, Sums], *, age: float = 0.0
  ) -> None:
    """Replaces the sums of a peer, another domain, or all other domains."""
    self._report_by_source[source] = (time.monotonic() - age, sums_by_id)

  def record_domain_report(
    self, domain: str, sums_by_id: Mapping[str, Sums], *, age: float
  ) -> None:
    """Replaces the sums of the own domain, which include this daemon's."""
    others = {}
    for id, sums in sums_by_id.items():
      own = self._last_report.get(id, Sums())
      others[id] = Sums(
        max(0.0, sums.observed - own.observed),
        max(0.0, sums.predicted - own.predicted),
      )
    self.record_report(f'domain {domain}', others, age=age)

  def drop_unknown(self, known: Collection[str]) -> None:
    """Drops the sums of instances that are not in `known`, and old reports."""
    now = time.monotonic()
    self._own_by_id = {
      id: own for id, own in self._own_by_id.items() if id in known
    }
    self._report_by_source = {
      source: found
      for source, found in self._report_by_source.items()
      if now - found[0] <= REPORT_TTL_SECONDS
    }

  # --- Estimates ------------------------------------------------------------

  def get_slowness(self, id: str) -> float:
    """Returns the slowness of an instance, 1.0 unless it differs enough."""
    return self.get_differing().get(id, 1.0)

  def get_differing(self) -> Mapping[str, float]:
    """Returns the slowness of the instances that differ from the mean."""
    now = time.monotonic()
    if now - self._refreshed_at >= REFRESH_INTERVAL_SECONDS:
      self._refreshed_at = now
      self._slowness_by_id = self._estimate(now)
    return self._slowness_by_id

  def _estimate(self, now: float) -> dict[str, float]:
    reports = [
      sums_by_id
      for at, sums_by_id in self._report_by_source.values()
      if now - at <= REPORT_TTL_SECONDS
    ]
    # Where others report, an instance that none of them names does not differ:
    # the few turns that this daemon saw there do not decide.
    own = {
      id: service_times.decay(item.sums, now - item.at)
      for id, item in self._own_by_id.items()
      if not reports or any(id in report for report in reports)
    }
    pooled = service_times.add_up([own, *reports])
    return {
      id: service_times.estimate_slowness(sums)
      for id, sums in service_times.select_differing(pooled).items()
    }
