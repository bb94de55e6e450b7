"""Conversion between the platform's HTTP headers and requests.

A daemon receives requests from callers and forwards them to instances, the
servers of the platform's services.  A turn is a request of a program, whose
turns share a token budget.  A team is a group of callers with API keys of its
own, for which the platform's word is tenant.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
import time

import multidict

from woadrun import errors
from woadrun.connection import turn_messages
from woadrun.decisions import run_status
from woadrun.request import exchange
from woadrun.version import instances
from woadrun.version import teams

# In requests and responses.
REQUEST_ID = 'Request-Id'
# In requests.  `Deadline-Ms` is the time left, in milliseconds.
DEADLINE = 'Deadline-Ms'
EXPECTED_INSTANCE = 'Expect-Instance'
PRIORITY = 'Request-Priority'
# In instances' responses.  `Not-Executed` states that the request has not run.
NOT_EXECUTED = 'Not-Executed'
SIGNATURE = 'Server-Signature'
INSTANCE = 'Instance-Id'
# In requests: the API key of a caller, and the name of its team for instances.
AUTHORIZATION = 'Authorization'
TEAM = 'Tenant'

# Hop-by-hop headers, and headers about framing: they are never forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
  (
    'connection',
    'keep-alive',
    'proxy-connection',
    'proxy-authenticate',
    'proxy-authorization',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
    'content-length',
    'expect',
  )
)
# Headers with the keys by which a daemon keeps what it knows, which are text.
_KEY_HEADERS = (REQUEST_ID, 'Program-Id', 'Session-Id', 'Previous-Turn')
# Request headers by which a daemon controls an instance.  Callers may not use
# them, so those of callers are removed.
_RESERVED_HEADERS = frozenset(
  (
    'deadline-ms',
    'expect-instance',
    'expect-version',
    'hold',
    'kv-backup',
    'kv-fetch',
    'kv-from',
    'pin-ms',
    'request-priority',
  )
)
# Callers' headers that are not forwarded if the configuration defines teams: an
# instance must not see a key, and only a daemon may name a team.
_ACCESS_HEADERS = frozenset((AUTHORIZATION.lower(), TEAM.lower()))
# Values, in lower case, of a header that states something by being there.
_FALSE = frozenset(('', '0', '?0', 'false', 'no'))
# The scheme of the `Authorization` header, in lower case.
_KEY_SCHEME = 'token'
# The deadline sent to an instance is earlier than the daemon's own by this
# margin, so that the instance's response on whether the request has run still
# arrives in time.
_DEADLINE_MARGIN_SECONDS = 0.04
# Lowest priority of a request at an engine; 0 is the highest.
_LOWEST_PRIORITY = 9


def decode_request(
  *,
  method: str,
  target: str,
  headers: multidict.CIMultiDictProxy[str],
  body: bytes,
  received_at: float | None = None,
  connected_at: float = math.inf,
) -> exchange.Request:
  """Returns a caller's request; `received_at` is when its head arrived.

  That is a time of the monotonic clock, by default now.  `connected_at` is when
  its connection was opened.
  Raises a `WoadrunError` with code `bad_request` and the header's name as
  `place` if the request id is missing or a header is malformed.
  """
  _check_keys(headers)
  id = headers.get(REQUEST_ID, '')
  if not id:
    raise _make_bad_request(REQUEST_ID, 'The header is required.')
  seconds = get_deadline_seconds(headers)
  began = time.monotonic() if received_at is None else received_at
  deadline = None if seconds is None else began + seconds
  forwarded = _get_forwarded(headers.items(), headers.getall('Connection', []))
  return exchange.Request(
    id=id,
    method=method,
    host=headers.get('Host', ''),
    target=target,
    headers=[item for item in forwarded if not _is_access_header(item)],
    access_headers=[item for item in forwarded if _is_access_header(item)],
    key_digest=_get_key_digest(headers),
    body=body,
    deadline=deadline,
    connected_at=connected_at,
    turn=_decode_turn(headers),
    program=headers.get('Program-Id', ''),
    session_id=headers.get('Session-Id', ''),
  )


def _check_keys(headers: multidict.CIMultiDictProxy[str]) -> None:
  """Raises `bad_request` for a key that is not UTF-8."""
  for name in _KEY_HEADERS:
    # Other bytes are decoded to surrogates, which cannot be encoded.
    try:
      headers.get(name, '').encode()
    except UnicodeEncodeError:
      raise _make_bad_request(name, 'Expected UTF-8.') from None


def _is_access_header(header: tuple[str, str]) -> bool:
  return header[0].lower() in _ACCESS_HEADERS


def _get_key_digest(headers: multidict.CIMultiDictProxy[str]) -> str:
  """Returns the digest of a request's API key.

  Returns an empty string unless there is exactly one authorization header, with
  the platform's scheme and a key.
  """
  given = headers.getall(AUTHORIZATION, [])
  if len(given) != 1:
    return ''
  scheme, _, key = given[0].partition(' ')
  key = key.strip()
  return teams.digest_key(key) if key and scheme.lower() == _KEY_SCHEME else ''


def _decode_turn(
  headers: multidict.CIMultiDictProxy[str],
) -> exchange.TurnInfo | None:
  """Returns what the headers state about a turn, None if it is not one.

  A turn has a program and a `Token-Usage` of the form `PROMPT,MOST`, both in
  tokens.  Raises `bad_request` if a number is malformed.
  """
  program = headers.get('Program-Id', '')
  if not program or 'Token-Usage' not in headers:
    return None
  prompt, _, most = headers['Token-Usage'].partition(',')
  finish = _get_number(headers, 'Finish-Ms')
  budget = _get_number(headers, 'Token-Budget')
  try:
    return exchange.TurnInfo(
      program=program,
      parent=headers.get('Previous-Turn', ''),
      max_output=int(most),
      budget=None if budget is None else int(budget),
      prompt_tokens=int(prompt),
      parts=_decode_parts(headers.get('Prompt-Prefix', '')),
      finish_at=None if finish is None else time.monotonic() + finish / 1000,
    )
  except ValueError:
    raise _make_bad_request(
      'Token-Usage', 'Expected two integers separated by a comma.'
    ) from None


def _decode_parts(text: str) -> tuple[turn_messages.PromptPart, ...]:
  """Returns the parts of a prompt from a header `ID:TOKENS,ID:TOKENS,...`.

  Prompts that share a part can share its cache entry.  A malformed header is no
  error and gives no parts: they only help to choose an instance, and the header
  is forwarded unchanged.
  """
  pairs = [item.partition(':') for item in text.split(',') if item]
  if not all(id and tokens.isdecimal() for id, _, tokens in pairs):
    return ()
  return tuple(
    turn_messages.PromptPart(id, int(tokens)) for id, _, tokens in pairs
  )


def encode_headers(sending: exchange.RequestAttempt) -> list[tuple[str, str]]:
  """Returns the headers of a request to an instance."""
  headers = list(sending.request.headers)
  # Instances echo the id.  A caller may name its header in `Connection`.
  if all(name.lower() != REQUEST_ID.lower() for name, _ in headers):
    headers.append((REQUEST_ID, sending.request.id))
  # None: requests need no key.  Empty: the request belongs to no team.
  if sending.team is None:
    headers.extend(sending.request.access_headers)
  elif sending.team:
    headers.append((TEAM, sending.team))
  # If the margin is more than half of the time left, half of it is used.
  seconds = max(sending.seconds - _DEADLINE_MARGIN_SECONDS, sending.seconds / 2)
  headers.append((DEADLINE, str(int(seconds * 1000))))
  headers.append((EXPECTED_INSTANCE, sending.instance.id))
  if sending.urgency is not None:
    urgency = min(_LOWEST_PRIORITY, max(0, sending.urgency))
    headers.append((PRIORITY, str(urgency)))
  return headers


def encode_probe_headers(instance: instances.Instance) -> dict[str, str]:
  """Returns the headers of a health check that is meant for one instance."""
  return {EXPECTED_INSTANCE: instance.id, 'Connection': 'close'}


def is_from(
  instance: instances.Instance,
  status: int,
  headers: multidict.CIMultiDictProxy[str],
) -> bool:
  """Returns whether a response to a health check is an instance's own.

  Status 421 is that of an instance which expects another id.
  """
  return status != 421 and headers.get(INSTANCE, instance.id) == instance.id


def decode_reply_headers(
  headers: multidict.CIMultiDictProxy[str],
) -> list[tuple[str, str]]:
  """Returns the headers of an instance's response to forward to a caller.

  The statement that a request has not run is for this daemon alone.
  """
  forwarded = _get_forwarded(headers.items(), headers.getall('Connection', []))
  return [item for item in forwarded if item[0].lower() != NOT_EXECUTED.lower()]


def read_statement(
  sending: exchange.RequestAttempt,
  status: int,
  headers: multidict.CIMultiDictProxy[str],
) -> run_status.Statement:
  """Returns what an instance's response states about its request."""
  names = set(_get_values(headers, INSTANCE)) - {''}
  return run_status.Statement(
    status=status,
    has_request_id=set(headers.getall(REQUEST_ID, [])) == {sending.request.id},
    is_signed=SIGNATURE in headers,
    states_not_run=_is_set(headers, NOT_EXECUTED),
    is_of_other_instance=bool(names) and sending.instance.id not in names,
  )


def _is_set(headers: multidict.CIMultiDictProxy[str], name: str) -> bool:
  """Returns whether a header is there and none of its values denies it."""
  values = {value.lower() for value in _get_values(headers, name)}
  return bool(values) and values.isdisjoint(_FALSE)


def _get_values(
  headers: multidict.CIMultiDictProxy[str], name: str
) -> list[str]:
  """Returns a header's values.

  Proxies may join several headers of one name to a list with commas.
  """
  return [
    value.strip()
    for text in headers.getall(name, [])
    for value in text.split(',')
  ]


def closes_connection(headers: multidict.CIMultiDictProxy[str]) -> bool:
  """Returns whether the server closes the connection after a response."""
  return headers.get('Connection', '').lower() == 'close'


def encode_error(
  error: errors.WoadrunError, request_id: str
) -> tuple[int, list[tuple[str, str]]]:
  """Returns the status and headers of the response for an error."""
  # The code does not tell whether the request is a turn; turns have the most
  # statuses that guarantee that they have not run.
  status = run_status.get_status(error.status, ran=error.ran, is_turn=True)
  headers = [('Woadrun-Error', error.code.value)]
  if request_id:
    headers.append((REQUEST_ID, request_id))
  if error.retry_after is not None and status in run_status.NOT_RUN_STATUSES:
    # The platform allows fractions of a second in this header.
    headers.append(('Retry-After', f'{error.retry_after:.2f}'))
  return status, headers


def get_deadline_seconds(
  headers: multidict.CIMultiDictProxy[str],
) -> float | None:
  """Returns for how long the caller waits, None if it does not tell.

  Raises `bad_request` if that is no number.
  """
  milliseconds = _get_number(headers, DEADLINE)
  return None if milliseconds is None else milliseconds / 1000


def _get_forwarded(
  headers: Iterable[tuple[str, str]], connection: list[str]
) -> list[tuple[str, str]]:
  """Returns the headers to forward, without those that `connection` names.

  `connection` has the values of the `Connection` headers.
  """
  named = {
    name.strip().lower() for value in connection for name in value.split(',')
  }
  dropped = _HOP_BY_HOP_HEADERS | _RESERVED_HEADERS | named
  return [(k, v) for k, v in headers if k.lower() not in dropped]


def _get_number(
  headers: multidict.CIMultiDictProxy[str], name: str
) -> float | None:
  """Returns a header's number, or None without the header.

  Negative numbers are read as 0.  Raises `bad_request` if it is no finite
  number.
  """
  text = headers.get(name)
  if text is None:
    return None
  try:
    number = float(text)
  except ValueError:
    number = math.nan
  if not math.isfinite(number):
    raise _make_bad_request(name, 'Expected a finite number.')
  return max(0.0, number)


def _make_bad_request(place: str, message: str) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.BAD_REQUEST, f'{place}: {message}', place=place
  )
