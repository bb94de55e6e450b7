"""Counters and latencies of a daemon, in Prometheus' text format."""

from __future__ import annotations

from collections.abc import Callable
import time

import prometheus_client
from prometheus_client import core
from prometheus_client import registry

# Bounds of the histogram of latencies, in seconds: from a call within the
# domain to the longest deadline.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class Counters:
  """What a daemon counts; each daemon has a registry of its own."""

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
      buckets=BUCKETS,
      registry=self.registry,
    )

  def note_answer(self, kind: str, outcome: str, started: float) -> None:
    """Counts an answer; `started` is on the monotonic clock."""
    self._answers.labels(kind, outcome).inc()
    self._seconds.labels(kind).observe(time.monotonic() - started)

  def add_gauges(self, read: Callable[[], dict[str, float]]) -> None:
    """Adds gauges that are read whenever somebody asks."""
    self.registry.register(_Gauges(read=read))

  def encode(self) -> bytes:
    """Returns all figures as text."""
    return prometheus_client.generate_latest(self.registry)


class _Gauges(registry.Collector):
  """Gauges by name, read when they are asked for."""

  def __init__(self, *, read: Callable[[], dict[str, float]]) -> None:
    self._read = read

  def collect(self) -> list[core.Metric]:
    """Returns the gauges as they are now."""
    return [
      core.GaugeMetricFamily(f'woadrun_{name}', name, value=value)
      for name, value in self._read().items()
    ]
