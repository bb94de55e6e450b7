"""Metrics of a daemon, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import NamedTuple

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

# Bucket bounds of the latency histogram, in seconds: from a call within the
# domain to the longest deadline.
LATENCY_BUCKETS_SECONDS = (
  0.01,
  0.025,
  0.05,
  0.1,
  0.25,
  0.5,
  1.0,
  2.5,
  5.0,
  10.0,
)


class GaugeKey(NamedTuple):
  """The name of a gauge, and the names and values of its labels."""

  name: str
  labels: tuple[tuple[str, str], ...]


class Counters:
  """The metrics of one daemon, in a registry of its own."""

  def __init__(self) -> None:
    self.registry = prometheus_client.CollectorRegistry()
    self._answers = prometheus_client.Counter(
      'woadrun_answers',
      'Answers to callers, by kind of request and outcome.',
      ('kind', 'outcome'),
      registry=self.registry,
    )
    self._seconds = prometheus_client.Histogram(
      'woadrun_answer_seconds',
      'Time from the request to the end of its answer.',
      ('kind',),
      buckets=LATENCY_BUCKETS_SECONDS,
      registry=self.registry,
    )
    self._truncated = prometheus_client.Counter(
      'woadrun_truncated_replies',
      'Responses of instances that broke off before the caller received any.',
      ('service',),
      registry=self.registry,
    )
    self._withheld = prometheus_client.Counter(
      'woadrun_withheld_replies',
      'Responses whose status denies that the request may have run.',
      ('service', 'status'),
      registry=self.registry,
    )
    self._ended = prometheus_client.Counter(
      'woadrun_instances_ended',
      'Instances found to have ended while they ran requests of this daemon.',
      ('service',),
      registry=self.registry,
    )
    self._quarantined = prometheus_client.Counter(
      'woadrun_quarantined_requests',
      'Requests refused because they ended the instances that ran them.',
      ('service',),
      registry=self.registry,
    )
    self._undecided = prometheus_client.Counter(
      'woadrun_undecided_requests',
      'Requests refused because instances may have ended that ran them.',
      ('service',),
      registry=self.registry,
    )
    self._loop_errors = prometheus_client.Counter(
      'woadrun_loop_errors',
      'Errors that ended a task or callback and that nothing handled.',
      registry=self.registry,
    )
    self._closes = prometheus_client.Counter(
      'woadrun_connections_closed',
      'Connections of callers that the daemon closed within its bounds.',
      ('reason',),
      registry=self.registry,
    )
    self._programs = prometheus_client.Counter(
      'woadrun_programs',
      'Programs that asked this daemon to begin, by outcome.',
      ('service', 'kind', 'outcome'),
      registry=self.registry,
    )

  def record_truncated(self, service: str) -> None:
    """Records that a response broke off before its caller received any."""
    self._truncated.labels(service).inc()

  def record_withheld(self, service: str, status: int) -> None:
    """Records a response whose status may not go to its caller."""
    self._withheld.labels(service, str(status)).inc()

  def record_ended(self, service: str) -> None:
    """Records that an instance ended while it ran requests of this daemon."""
    self._ended.labels(service).inc()

  def record_quarantined(self, service: str) -> None:
    """Records a request refused because it ended the instances that ran it."""
    self._quarantined.labels(service).inc()

  def record_loop_error(self) -> None:
    """Records an error of a task or callback that nothing handled."""
    self._loop_errors.inc()

  def record_close(self, reason: str) -> None:
    """Records that a connection of a caller was closed, and why."""
    self._closes.labels(reason).inc()

  def record_undecided(self, service: str) -> None:
    """Records a request refused as it is not known what its instances do."""
    self._undecided.labels(service).inc()

  def record_program(self, service: str, kind: str, is_admitted: bool) -> None:
    """Records that a program was admitted to a service, or refused."""
    outcome = 'admitted' if is_admitted else 'refused'
    self._programs.labels(service, kind, outcome).inc()

  def record_answer(self, kind: str, outcome: str, started: float) -> None:
    """Records an answer and its latency.

    `started` is when the request began, on the monotonic clock.
    """
    self._answers.labels(kind, outcome).inc()
    self._seconds.labels(kind).observe(time.monotonic() - started)

  def add_gauges(self, read: Callable[[], dict[str, float]]) -> None:
    """Registers gauges; `read` is called on each collection."""
    self.registry.register(_Gauges(read=read))

  def add_labelled_gauges(
    self, read: Callable[[], Mapping[GaugeKey, float]]
  ) -> None:
    """Registers gauges with labels; `read` is called on each collection."""
    self.registry.register(_LabelledGauges(read=read))

  def add_instance_gauge(
    self, name: str, read: Callable[[], Mapping[str, float]]
  ) -> None:
    """Registers a gauge; `read` returns its values by instance."""
    self.registry.register(_InstanceGauge(name=name, read=read))

  def encode(self) -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(self.registry)


class _Gauges(registry.Collector):
  """Collects gauges by name from a callback."""

  def __init__(self, *, read: Callable[[], dict[str, float]]) -> None:
    self._read = read

  def collect(self) -> list[core.Metric]:
    """Returns the current values of the gauges."""
    return [
      core.GaugeMetricFamily(f'woadrun_{name}', name, value=value)
      for name, value in self._read().items()
    ]


class _LabelledGauges(registry.Collector):
  """Collects gauges with labels from a callback."""

  def __init__(self, *, read: Callable[[], Mapping[GaugeKey, float]]) -> None:
    self._read = read

  def collect(self) -> list[core.Metric]:
    """Returns the current values of the gauges."""
    family_by_name: dict[str, core.GaugeMetricFamily] = {}
    for key, value in self._read().items():
      family = family_by_name.get(key.name)
      if family is None:
        family = family_by_name[key.name] = core.GaugeMetricFamily(
          f'woadrun_{key.name}', key.name, labels=[n for n, _ in key.labels]
        )
      family.add_metric([label for _, label in key.labels], value)
    return list(family_by_name.values())


class _InstanceGauge(registry.Collector):
  """Collects the values of one gauge, labelled by instance."""

  def __init__(
    self, *, name: str, read: Callable[[], Mapping[str, float]]
  ) -> None:
    self._name = name
    self._read = read

  def collect(self) -> list[core.Metric]:
    """Returns the current values of the gauge."""
    family = core.GaugeMetricFamily(
      f'woadrun_{self._name}', self._name, labels=('instance',)
    )
    for instance, value in self._read().items():
      family.add_metric((instance,), value)
    return [family]
