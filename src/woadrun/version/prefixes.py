"""Which instances hold which parts of a program's prompts."""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses

from woadrun.connection import turn_messages

# What an engine read is taken to be there for so long after its last use, in
# seconds: engines drop what rested longest, and pauses of programs are
# shorter.
HELD_SECONDS = 20.0


@dataclasses.dataclass(kw_only=True)
class _Held:
  """What one instance read of a program, and when it was used last."""

  tokens_by_part: dict[str, int] = dataclasses.field(default_factory=dict)
  at: float = 0.0


class Prefixes:
  """The parts of one program's prompts, by instance.

  Times are on the monotonic clock.
  """

  def __init__(self) -> None:
    self._held_by_instance: dict[str, _Held] = {}

  def note(
    self, instance: str, parts: Iterable[turn_messages.Part], *, now: float
  ) -> None:
    """Takes note that an instance has read a prompt."""
    held = self._held_by_instance.setdefault(instance, _Held())
    held.at = now
    for part in parts:
      known = held.tokens_by_part.get(part.id, 0)
      held.tokens_by_part[part.id] = max(known, part.tokens)

  def find(
    self, parts: Iterable[turn_messages.Part], *, now: float
  ) -> dict[str, int]:
    """Returns how much of a prompt instances hold, in tokens by instance."""
    wanted = list(parts)
    self._held_by_instance = {
      instance: held
      for instance, held in self._held_by_instance.items()
      if now - held.at < HELD_SECONDS
    }
    return {
      instance: _count(held, wanted)
      for instance, held in self._held_by_instance.items()
    }


def _count(held: _Held, parts: list[turn_messages.Part]) -> int:
  """Returns the tokens of the leading parts that are held."""
  total = 0
  for part in parts:
    known = held.tokens_by_part.get(part.id, 0)
    total += min(known, part.tokens)
    if known < part.tokens:
      # What comes after is of use only behind the whole of this part.
      break
  return total
