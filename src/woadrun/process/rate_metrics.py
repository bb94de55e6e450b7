"""Metrics of the teams' rate limits that a daemon owns."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import core
from prometheus_client import registry

from woadrun.process import rate_owner

_HELP_BY_NAME = {
  'allowed': 'Units that accrued at the rates of teams.',
  'granted': 'Units granted to requests of teams.',
  'returned': 'Units given back because their request was not sent.',
  'refused': 'Requests refused because they exceed the rate of their team.',
  'waited_seconds': 'Seconds for which requests wait for their units.',
}


class RateMetrics(registry.Collector):
  """Collects the counts of the teams with the most requests.

  `read` returns the counts by team.
  """

  def __init__(
    self, *, read: Callable[[], dict[str, rate_owner.TeamCounts]]
  ) -> None:
    self._read = read

  def collect(self) -> list[core.Metric]:
    """Returns one counter for each kind of count."""
    counts_by_team = self._read()
    metrics: list[core.Metric] = []
    for name, text in _HELP_BY_NAME.items():
      metric = core.CounterMetricFamily(
        f'woadrun_rate_{name}', text, labels=('team',)
      )
      for team, counts in counts_by_team.items():
        metric.add_metric((team,), getattr(counts, name))
      metrics.append(metric)
    return metrics
