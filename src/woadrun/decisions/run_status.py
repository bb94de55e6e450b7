"""Whether a request has run, as far as the response of an instance tells."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Statement:
  """What a response states about its request.

  `has_request_id` is true if the response has the id of the request and no
  other.  `is_signed` is true if it has the signature of a request that ran,
  `states_not_run` if it states that the request has not run, and
  `is_of_other_instance` if it names an instance other than the expected one.
  """

  status: int
  has_request_id: bool = False
  is_signed: bool = False
  states_not_run: bool = False
  is_of_other_instance: bool = False

  def __str__(self) -> str:
    words = (
      'signed' if self.is_signed else 'not signed',
      'with its id' if self.has_request_id else 'without its id',
      'states not run' if self.states_not_run else '',
      'of another instance' if self.is_of_other_instance else '',
    )
    return ', '.join(filter(None, words))
