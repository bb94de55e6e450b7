"""Whether a request may have run, and which statuses its caller may get for it.

Some statuses guarantee to a caller that its request has not run and never will.
`may_return` is the only place that decides whether such a status goes to a
caller, be it that of an instance's response or of an error of this daemon.
`is_refusal` decides whether an instance's response guarantees the same to this
daemon: any doubt means that the request may have run.
"""

from __future__ import annotations

import dataclasses

from woadrun import errors

# Status in place of one that a caller may not get.
UNCERTAIN_STATUS = 502
# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Statuses that state the same of a turn: its budget is spent, or the turn that
# it continues from does not exist.
TURN_NOT_RUN_STATUSES = NOT_RUN_STATUSES | {402, 404, 410}
# Status of an instance that got a request meant for another one.
MISDIRECTED = 421
MIN_REFUSAL_STATUS = 400
# Statuses of a final response, by RFC 9110: lower ones announce one or change
# the protocol, and there are none beyond.
MIN_FINAL_STATUS = 200
MAX_FINAL_STATUS = 599


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


def is_final(status: int) -> bool:
  """Returns whether a final response may have a status."""
  return MIN_FINAL_STATUS <= status <= MAX_FINAL_STATUS


def is_genuine(statement: Statement) -> bool:
  """Returns whether a response is the final one of the request's instance."""
  return (
    statement.has_request_id
    and statement.is_signed
    and is_final(statement.status)
  )


def is_refusal(statement: Statement) -> bool:
  """Returns whether a response guarantees that its request has not run.

  A response that contradicts itself, or that does not show that it belongs to
  the request, guarantees nothing.
  """
  is_failure = MIN_REFUSAL_STATUS <= statement.status <= MAX_FINAL_STATUS
  if not statement.has_request_id or not is_failure:
    return False
  # The status alone may be that of the service, after it ran the request.
  is_misdirected = statement.status == MISDIRECTED
  return statement.states_not_run or (
    is_misdirected and statement.is_of_other_instance
  )


def may_return(status: int, *, ran: errors.RunStatus, is_turn: bool) -> bool:
  """Returns whether a caller may get a status for a request.

  A status that guarantees that the request has not run needs certainty.
  """
  promises = TURN_NOT_RUN_STATUSES if is_turn else NOT_RUN_STATUSES
  return ran is errors.RunStatus.NOT_RUN or status not in promises


def get_status(status: int, *, ran: errors.RunStatus, is_turn: bool) -> int:
  """Returns a status, or 502 if its caller may not get it."""
  if may_return(status, ran=ran, is_turn=is_turn):
    return status
  return UNCERTAIN_STATUS
