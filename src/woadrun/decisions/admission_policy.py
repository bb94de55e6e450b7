"""The operator's settings for the admission of programs.

They decide what no caller tells and no daemon observes.  Each has a default.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class AdmissionPolicy:
  """What an operator sets; ratios and parts are between 0 and 1.

  `least_part` is the part of its proportional share that each kind of programs,
  and each priority, gets however much is asked for by more urgent ones.
  `usable_slots` is the part of a service's slots that programs are admitted
  for; turns are placed by counts that are up to 0.5 s old, so that some
  instances have more turns than slots while others have free ones.
  `target_duration` is the part of their time that programs are meant to need in
  the mean; the rest is for the spread of their durations.  `least_capacity` is
  the part of the usable slots that remains when programs need more than that,
  since they may be late for another reason, such as slow calls.
  `initial_duration` is the part of their time that programs are expected to
  need before any has ended.  A program without a request for `idle_seconds`
  does not count as under way, and after `ended_seconds` it has ended: the end
  of a program is not reported.
  """

  least_part: float = 0.25
  usable_slots: float = 0.85
  target_duration: float = 0.8
  least_capacity: float = 0.6
  initial_duration: float = 0.75
  idle_seconds: float = 0.5
  ended_seconds: float = 2.0


DEFAULT = AdmissionPolicy()
