"""Answers of instances that state the opposite of what happened to a request.

An instance that has run a request may answer with a status that guarantees to
callers that it has not run, or with a header that states it.  None of these
answers proves that the request has not run: each is signed, denies what its
status states, or does not show that it belongs to the request.
"""

from __future__ import annotations

import dataclasses
import enum
import random

# Share of the requests that an instance runs and answers so.
SHARE = 0.04
# Share of surplus answers without the id of their request.
ANONYMOUS_SURPLUS_SHARE = 0.5
# Share of refusals of an instance that takes itself for another one.
MISDIRECTED_SHARE = 0.25
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Those that guarantee it for a turn.
TURN_NOT_RUN_STATUSES = (*NOT_RUN_STATUSES, 402, 404, 410)
# Statuses that no final response can have (RFC 9110, section 15).
INVALID_STATUSES = (0, 99, 600, 999)
ID, SIGNATURE = 'Request-Id', 'Server-Signature'
NOT_RUN, INSTANCE = 'Not-Executed', 'Instance-Id'


class Kind(enum.Enum):
  """What an answer states about the request, which has run."""

  SIGNED = 'a status, signed'
  UNSIGNED = 'a status, not signed'
  DENIED = 'a status and a header that denies it'
  OWN_INSTANCE = 'a status of a misdirected request, by the right instance'
  ANONYMOUS = 'a status without an id'
  ANONYMOUS_STATEMENT = 'a status and a header without an id'
  SUCCESS_STATEMENT = 'a success, signed, and a header'
  UNSIGNED_SUCCESS = 'a success, not signed'
  UNSIGNED_SUCCESS_STATEMENT = 'a success, not signed, and a header'
  NO_STATUS = 'a status that is none, signed'
  NO_STATUS_STATEMENT = 'a status that is none and a header'


SUCCESSES = frozenset(
  (
    Kind.SUCCESS_STATEMENT,
    Kind.UNSIGNED_SUCCESS,
    Kind.UNSIGNED_SUCCESS_STATEMENT,
  )
)
WITHOUT_STATUS = frozenset((Kind.NO_STATUS, Kind.NO_STATUS_STATEMENT))
_HEADERS_BY_KIND = {
  Kind.SIGNED: (ID, SIGNATURE),
  Kind.UNSIGNED: (ID,),
  Kind.DENIED: (ID,),
  Kind.OWN_INSTANCE: (ID, INSTANCE),
  Kind.ANONYMOUS: (SIGNATURE,),
  Kind.ANONYMOUS_STATEMENT: (NOT_RUN,),
  Kind.SUCCESS_STATEMENT: (ID, SIGNATURE, NOT_RUN),
  Kind.UNSIGNED_SUCCESS: (ID,),
  Kind.UNSIGNED_SUCCESS_STATEMENT: (ID, NOT_RUN),
  Kind.NO_STATUS: (ID, SIGNATURE),
  Kind.NO_STATUS_STATEMENT: (ID, NOT_RUN),
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Contradiction:
  """The status and headers of such an answer."""

  kind: Kind
  status: int
  headers: dict[str, str]

  @property
  def is_success(self) -> bool:
    """Whether the answer has the status and the body of a success."""
    return self.kind in SUCCESSES

  @property
  def is_answer(self) -> bool:
    """Whether a caller may get the answer: it shows that the request ran."""
    return self.kind is Kind.SUCCESS_STATEMENT


def draw(
  rng: random.Random,
  *,
  request: str,
  instance: str,
  signature: str,
  is_turn: bool,
) -> Contradiction | None:
  """Returns the contradiction in an instance's answer, None in most cases."""
  if rng.random() >= SHARE:
    return None
  kind = rng.choice(list(Kind))
  status = rng.choice(TURN_NOT_RUN_STATUSES if is_turn else NOT_RUN_STATUSES)
  if kind is Kind.OWN_INSTANCE:
    status = 421
  elif kind in SUCCESSES:
    status = 200
  elif kind in WITHOUT_STATUS:
    status = rng.choice(INVALID_STATUSES)
  value_by_name = {
    ID: request,
    SIGNATURE: signature,
    NOT_RUN: '1',
    INSTANCE: instance,
  }
  headers = {name: value_by_name[name] for name in _HEADERS_BY_KIND[kind]}
  if kind is Kind.DENIED:
    headers[NOT_RUN] = '0'
  return Contradiction(kind=kind, status=status, headers=headers)
