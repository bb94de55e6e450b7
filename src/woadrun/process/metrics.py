"""Sends gauges of values in the state dump to statsd periodically."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping

import mode
import statsd

from woadrun import settings

SEND_INTERVAL_SECONDS = 5.0


class Metrics(mode.Service):
  """Sends the gauges that `read` returns, by name, to statsd.

  Sends nothing if no host is configured.
  """

  def __init__(
    self,
    *,
    config: settings.Metrics,
    read: Callable[[], Mapping[str, float]],
  ) -> None:
    super().__init__()
    self._read_gauges = read
    self._client: statsd.StatsClient | None = None
    if config.host:
      self._client = statsd.StatsClient(
        config.host, config.port, prefix=config.prefix
      )

  def send(self) -> None:
    """Sends the current values of all gauges."""
    if self._client is None:
      return
    with self._client.pipeline() as pipeline:
      for name, value in self._read_gauges().items():
        pipeline.gauge(name, value)

  @mode.Service.task
  async def _send_periodically(self) -> None:
    while not self.should_stop and self._client is not None:
      self.send()
      await self.sleep(SEND_INTERVAL_SECONDS)
