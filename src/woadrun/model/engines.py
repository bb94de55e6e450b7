"""A simulated engine: slots, speed and a prefix cache.

The cache holds one prefix for each program.  Waste is the cache memory, in
token-seconds, of prefixes that were not used again, either because their
program had ended or because they were evicted first.
"""

from __future__ import annotations

from collections import OrderedDict
import dataclasses

from woadrun.model import workload


@dataclasses.dataclass(kw_only=True)
class Prefix:
  """The cached prefix of one program.

  `used_at` is the time of its last use, `ended_at` the time at which the
  program ended, or None while the program runs.
  """

  tokens: int
  used_at: float
  ended_at: float | None = None


@dataclasses.dataclass(kw_only=True)
class Waste:
  """Wasted and useful cache memory, in token-seconds.

  `gone` is memory held after the end of the program, `unused` memory of
  running programs that was dropped before its next use, and `useful` memory
  whose prefix was used again.
  """

  gone: float = 0.0
  unused: float = 0.0
  useful: float = 0.0

  def add(self, other: Waste) -> None:
    """Adds the amounts of another engine."""
    self.gone += other.gone
    self.unused += other.unused
    self.useful += other.useful

  @property
  def total(self) -> float:
    """Returns all wasted memory."""
    return self.gone + self.unused


class EngineModel:
  """One simulated engine of a site."""

  def __init__(self, *, site: workload.Site, domain: int) -> None:
    self.site = site
    self.domain = domain
    self.running = 0
    self.slowdown = 1.0
    self.has_failed = False
    self.waste = Waste()
    self._prefix_by_program: OrderedDict[int, Prefix] = OrderedDict()
    self._cached_tokens = 0

  def get_cached_tokens(self, program: int) -> int:
    """Returns the number of cached tokens of a program's prefix."""
    prefix = self._prefix_by_program.get(program)
    return prefix.tokens if prefix else 0

  def get_call_seconds(self, program: int, prompt: int, output: int) -> float:
    """Returns the seconds that a call takes if it starts now."""
    missing = max(0, prompt - self.get_cached_tokens(program))
    seconds = missing / self.site.prefill_rate
    return (seconds + output * self.site.token_seconds) * self.slowdown

  def begin_call(self, program: int, now: float) -> None:
    """Occupies a slot and takes the program's prefix out of the cache.

    The memory of a cached prefix since its last use counts as useful.
    """
    self.running += 1
    prefix = self._prefix_by_program.pop(program, None)
    if prefix is not None:
      self.waste.useful += (now - prefix.used_at) * prefix.tokens
      self._cached_tokens -= prefix.tokens

  def finish_call(self, program: int, tokens: int, now: float) -> None:
    """Frees a slot and caches the program's prefix.

    Evicts the least recently used prefixes while the cache is over its
    capacity and holds more than one.
    """
    self.running -= 1
    self.drop(program, now)
    self._prefix_by_program[program] = Prefix(tokens=tokens, used_at=now)
    self._cached_tokens += tokens
    while (
      self._cached_tokens > self.site.cache_tokens
      and len(self._prefix_by_program) > 1
    ):
      self.drop(next(iter(self._prefix_by_program)), now)

  def mark_ended(self, program: int, now: float) -> None:
    """Records that a program has ended, if its prefix is cached."""
    prefix = self._prefix_by_program.get(program)
    if prefix is not None and prefix.ended_at is None:
      prefix.ended_at = now

  def drop(self, program: int, now: float) -> None:
    """Evicts a prefix; its memory since the last use counts as waste."""
    prefix = self._prefix_by_program.pop(program, None)
    if prefix is None:
      return
    self._cached_tokens -= prefix.tokens
    ended_at = now if prefix.ended_at is None else prefix.ended_at
    self.waste.unused += (ended_at - prefix.used_at) * prefix.tokens
    self.waste.gone += (now - ended_at) * prefix.tokens

  def fail(self, now: float) -> None:
    """Fails the engine; its running calls and its cache are lost."""
    self.has_failed = True
    self.running = 0
    for program in list(self._prefix_by_program):
      self.drop(program, now)

  def close(self, now: float) -> None:
    """Counts the prefixes still cached at the end of a run as waste."""
    for program in list(self._prefix_by_program):
      self.drop(program, now)
