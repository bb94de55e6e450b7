"""The relative slowness of instances, learned by all daemons together.

A daemon of a large fleet sees a few turns of an instance in a minute, so that
daemons send each other what they measured: the sums of
`decisions/service_times.py`, in heartbeats and in the digests of hubs.  State
is keyed by `Instance.incarnation_id`: a restarted instance begins anew.
"""

from __future__ import annotations

from collections.abc import Mapping
import math
import time

from woadrun.decisions import service_times

# Age at which received sums expire, as for the counts of requests.
REPORT_TTL_SECONDS = 1.5
# Interval between two additions of all sums: heartbeats arrive as often.
REFRESH_INTERVAL_SECONDS = 0.25

Sums = service_times.Sums


class SlownessTracker:
  """Measures turns, exchanges sums with peers, and estimates slowness.

  Times are on the monotonic clock.
  """

  def __init__(self) -> None:
    self._model_by_service: dict[str, service_times.Model] = {}
    # Sums of this daemon's turns for its next heartbeat.
    self._unsent: dict[str, Sums] = {}
    # The turns of this daemon, in a small fleet also those of its peers.
    self._sums = service_times.SumsByInstance()
    self._report_by_source: dict[str, tuple[float, Mapping[str, Sums]]] = {}
    self._slowness_by_id: dict[str, float] = {}
    self._refreshed_at = -math.inf

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
    if predicted is None or mean <= 0.0:
      return
    turn = service_times.make_turn_sums(
      seconds=seconds, predicted=predicted, mean=mean
    )
    self._sums.add({id: turn}, now=now)
    if id in self._unsent or len(self._unsent) < service_times.MAX_REPORTED:
      self._unsent |= service_times.add_up(
        [{id: self._unsent.get(id, Sums())}, {id: turn}]
      )

  # --- Reports --------------------------------------------------------------

  def report(self) -> dict[str, Sums]:
    """Returns the sums of the turns since the last call, for a heartbeat.

    All turns are reported, also of instances that do not differ: if each daemon
    reported only the instances at which it happened to see slow or fast turns,
    the sums of all daemons would be too far from 1.0.
    """
    unsent, self._unsent = self._unsent, {}
    return unsent

  def record_peer_turns(self, sums_by_id: Mapping[str, Sums]) -> None:
    """Adds the turns in the heartbeat of a peer, in a small fleet."""
    self._sums.add(sums_by_id, now=time.monotonic())

  def record_report(
    self, source: str, sums_by_id: Mapping[str, Sums], *, age: float = 0.0
  ) -> None:
    """Replaces the sums of a domain, or of all other domains."""
    self._report_by_source[source] = (time.monotonic() - age, sums_by_id)

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
    # In a large fleet, the sums of hubs include the turns of this daemon.
    pooled = (
      service_times.select_differing(service_times.add_up(reports))
      if reports
      else self._sums.find_differing(now=now)
    )
    return {
      id: service_times.estimate_slowness(sums) for id, sums in pooled.items()
    }
