"""Errors with codes, as returned to callers and peers.

Every error response of a daemon is one of these.  It tells the caller the
code, whether the request ran, and when to retry.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import Any

import msgspec

from woadrun import decoding


class RunStatus(enum.StrEnum):
  """Whether a failed request may have had an effect."""

  NOT_RUN = 'not run'
  RAN = 'ran'
  UNKNOWN = 'unknown'


class Code(enum.StrEnum):
  """The codes of all errors, from which the error reference is generated."""

  BAD_JSON = 'bad_json'
  BAD_REQUEST = 'bad_request'
  BODY_TOO_LARGE = 'body_too_large'
  BODY_LATE = 'body_late'
  HEAD_TOO_LARGE = 'head_too_large'
  UNAUTHORIZED = 'unauthorized'
  FORBIDDEN_TEAM = 'forbidden_team'
  UNKNOWN_TEAM = 'unknown_team'
  UNKNOWN_PROGRAM = 'unknown_program'
  UNKNOWN_SERVICE = 'unknown_service'
  UNKNOWN_MODEL = 'unknown_model'
  PROGRAM_ENDED = 'program_ended'
  REQUEST_CONFLICT = 'request_conflict'
  OUT_OF_ORDER = 'out_of_order'
  HISTORY_MISMATCH = 'history_mismatch'
  BUDGET_EXCEEDED = 'budget_exceeded'
  LIMIT_REACHED = 'limit_reached'
  OVERLOADED = 'overloaded'
  RATE_EXCEEDED = 'rate_exceeded'
  SERVICE_FULL = 'service_full'
  MEMORY_FULL = 'memory_full'
  DEADLINE_PASSED = 'deadline_passed'
  UPSTREAM_UNAVAILABLE = 'upstream_unavailable'
  UPSTREAM_FAILED = 'upstream_failed'
  REQUEST_QUARANTINED = 'request_quarantined'
  OUTCOME_UNKNOWN = 'outcome_unknown'
  CANCELLED = 'cancelled'
  NOT_OWNER = 'not_owner'
  OWNER_UNAVAILABLE = 'owner_unavailable'
  ISOLATED = 'isolated'
  NOT_COMMITTED = 'not_committed'
  CONFIG_UNAVAILABLE = 'config_unavailable'
  TABLE_TOO_OLD = 'table_too_old'
  TABLE_CONFLICT = 'table_conflict'
  PLATFORM_UNAVAILABLE = 'platform_unavailable'
  STALE_EPOCH = 'stale_epoch'
  STORAGE_FULL = 'storage_full'
  STOPPING = 'stopping'
  INTERNAL = 'internal'


# The HTTP status of each code; codes not listed have status 500.
STATUS_BY_CODE = {
  Code.BAD_JSON: 400,
  Code.BAD_REQUEST: 400,
  Code.BODY_TOO_LARGE: 413,
  Code.BODY_LATE: 408,
  Code.HEAD_TOO_LARGE: 431,
  Code.UNAUTHORIZED: 401,
  Code.FORBIDDEN_TEAM: 403,
  Code.UNKNOWN_TEAM: 404,
  Code.UNKNOWN_PROGRAM: 404,
  Code.UNKNOWN_SERVICE: 404,
  Code.UNKNOWN_MODEL: 404,
  Code.PROGRAM_ENDED: 409,
  Code.REQUEST_CONFLICT: 409,
  Code.OUT_OF_ORDER: 409,
  Code.HISTORY_MISMATCH: 409,
  Code.BUDGET_EXCEEDED: 402,
  Code.LIMIT_REACHED: 429,
  Code.OVERLOADED: 429,
  Code.RATE_EXCEEDED: 429,
  Code.SERVICE_FULL: 503,
  Code.MEMORY_FULL: 503,
  Code.DEADLINE_PASSED: 504,
  Code.UPSTREAM_UNAVAILABLE: 503,
  Code.UPSTREAM_FAILED: 502,
  Code.REQUEST_QUARANTINED: 502,
  Code.OUTCOME_UNKNOWN: 502,
  Code.CANCELLED: 409,
  Code.NOT_OWNER: 421,
  Code.OWNER_UNAVAILABLE: 503,
  Code.ISOLATED: 503,
  Code.NOT_COMMITTED: 503,
  Code.CONFIG_UNAVAILABLE: 503,
  Code.TABLE_TOO_OLD: 503,
  Code.TABLE_CONFLICT: 409,
  Code.PLATFORM_UNAVAILABLE: 503,
  Code.STALE_EPOCH: 409,
  Code.STORAGE_FULL: 507,
  Code.STOPPING: 503,
}


class ErrorBody(msgspec.Struct, kw_only=True):
  """The JSON form of an error; `retry_after` is in seconds."""

  code: str
  message: str
  ran: str = RunStatus.NOT_RUN.value
  place: str = ''
  retry_after: float | None = None
  details: Any = None


class ErrorAnswer(msgspec.Struct, kw_only=True):
  """The JSON object around an error body."""

  error: ErrorBody


class WoadrunError(Exception):
  """The base class of all errors; holds the content of the error response.

  The constructor takes the code, a short sentence, the place in the input
  that is invalid, whether the request ran, the seconds until a retry makes
  sense, and further details that can be encoded as JSON.
  """

  def __init__(
    self,
    code: Code,
    message: str,
    *,
    place: str = '',
    ran: RunStatus = RunStatus.NOT_RUN,
    retry_after: float | None = None,
    details: Any = None,
  ) -> None:
    super().__init__(message)
    self.code = code
    self.message = message
    self.place = place
    self.ran = ran
    self.retry_after = retry_after
    self.details = details

  @property
  def status(self) -> int:
    """Returns the HTTP status code for the error."""
    return STATUS_BY_CODE.get(self.code, 500)

  def get_body(self) -> bytes:
    """Returns the JSON body of the error response."""
    body = ErrorBody(
      code=self.code.value,
      message=self.message,
      ran=self.ran.value,
      place=self.place,
      retry_after=self.retry_after,
      details=self.details,
    )
    return msgspec.json.encode(ErrorAnswer(error=body))


def from_body(data: bytes) -> WoadrunError:
  """Returns the error decoded from the JSON response of a peer or upstream.

  Returns an `internal` error that quotes the response if it is not valid.
  """
  try:
    body = decoding.decode_json(data, type=ErrorAnswer).error
    return WoadrunError(
      Code(body.code),
      body.message,
      place=body.place,
      ran=RunStatus(body.ran),
      retry_after=body.retry_after,
      details=body.details,
    )
  except ValueError:
    text = data[:200].decode('utf-8', 'replace')
    return WoadrunError(
      Code.INTERNAL, f'invalid error response: {text}', ran=RunStatus.UNKNOWN
    )


def make_uncertain(error: WoadrunError) -> WoadrunError:
  """Returns the error of a request that an earlier attempt may have run.

  It is a copy, since other requests may share the error, that states "unknown"
  in place of "not run".
  """
  is_not_run = error.ran is RunStatus.NOT_RUN
  return WoadrunError(
    error.code,
    error.message,
    place=error.place,
    ran=RunStatus.UNKNOWN if is_not_run else error.ran,
    retry_after=error.retry_after,
    details=error.details,
  )


@dataclasses.dataclass(frozen=True, kw_only=True)
class Finding:
  """One error in a checked file: its location and its reason."""

  file: str
  key: str
  reason: str

  def __str__(self) -> str:
    return f'{self.file}: {self.key}: {self.reason}'


class FindingsError(ValueError):
  """Raised with all findings of a checked file."""

  def __init__(self, findings: list[Finding]) -> None:
    super().__init__('\n'.join(str(finding) for finding in findings))
    self.findings = findings
