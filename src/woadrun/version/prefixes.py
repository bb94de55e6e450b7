"""Estimates of which instances have a program's prompts in their cache."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from woadrun.connection import turn_messages

# A prompt is assumed to be in an engine's cache for this long after its last
# use: engines evict the least recently used prefixes, and the pauses of
# programs are shorter.
CACHE_TTL_SECONDS = 20.0


@dataclasses.dataclass(kw_only=True)
class _CachedParts:
  """The parts that one instance has cached, and when it last read a prompt."""

  tokens_by_part: dict[str, int] = dataclasses.field(default_factory=dict)
  used_at: float = 0.0


class Prefixes:
  """The cached parts of one program's prompts, by instance.

  Times are on the monotonic clock.
  """

  def __init__(self) -> None:
    self._cached_by_instance: dict[str, _CachedParts] = {}

  def note(
    self,
    instance: str,
    parts: Iterable[turn_messages.PromptPart],
    *,
    now: float,
  ) -> None:
    """Records that an instance has processed a prompt."""
    cached = self._cached_by_instance.setdefault(instance, _CachedParts())
    cached.used_at = now
    for part in parts:
      known = cached.tokens_by_part.get(part.id, 0)
      cached.tokens_by_part[part.id] = max(known, part.tokens)

  def find(
    self, parts: Iterable[turn_messages.PromptPart], *, now: float
  ) -> dict[str, int]:
    """Returns the cached tokens of a prompt by instance.

    Removes the instances whose cache has expired.
    """
    wanted = list(parts)
    self._cached_by_instance = {
      instance: cached
      for instance, cached in self._cached_by_instance.items()
      if now - cached.used_at < CACHE_TTL_SECONDS
    }
    return {
      instance: _count_cached_tokens(cached, wanted)
      for instance, cached in self._cached_by_instance.items()
    }


def _count_cached_tokens(
  cached: _CachedParts, parts: list[turn_messages.PromptPart]
) -> int:
  """Returns the number of cached tokens at the start of a prompt."""
  total = 0
  for part in parts:
    known = cached.tokens_by_part.get(part.id, 0)
    total += min(known, part.tokens)
    if known < part.tokens:
      # Later parts are usable only if this part is cached completely.
      break
  return total
