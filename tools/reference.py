"""Generates docs/reference.md from the code.

The page lists settings, columns of the table, errors, exit codes and metrics.

Usage: ./dev python tools/reference.py
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import pathlib
import typing

import pydantic

from woadrun import errors
from woadrun import settings
from woadrun.cli import app
from woadrun.decisions import admission_policy
from woadrun.process import admission_settings
from woadrun.process import daemon
from woadrun.version import rows

PATH = pathlib.Path(__file__).parent.parent / 'docs' / 'reference.md'

# The condition under which each error is returned.
MEANING_BY_CODE = {
  errors.Code.BAD_JSON: 'the body is no JSON',
  errors.Code.BAD_REQUEST: 'something in the request is wrong; see `place`',
  errors.Code.BODY_TOO_LARGE: 'the body is over `limits.body_bytes`',
  errors.Code.BODY_LATE: 'the body stopped, or was late for its deadline',
  errors.Code.HEAD_TOO_LARGE: 'the head is over the limit of the operator',
  errors.Code.UNAUTHORIZED: 'the bearer token is not known',
  errors.Code.FORBIDDEN_TEAM: 'the token may not act for this team',
  errors.Code.UNKNOWN_TEAM: 'the table has no row for the team',
  errors.Code.UNKNOWN_PROGRAM: 'no such program, or not of the token',
  errors.Code.UNKNOWN_SERVICE: 'no such service in the settings',
  errors.Code.UNKNOWN_MODEL: 'no engine has the model, or the row forbids it',
  errors.Code.PROGRAM_ENDED: 'the program is over',
  errors.Code.REQUEST_CONFLICT: 'the id was used for another request',
  errors.Code.OUT_OF_ORDER: 'it is not the turn of this ordinal',
  errors.Code.HISTORY_MISMATCH: 'the messages do not begin with the history',
  errors.Code.BUDGET_EXCEEDED: 'the worst case does not fit the budget',
  errors.Code.LIMIT_REACHED: "the row's limits are reached",
  errors.Code.OVERLOADED: 'the upstream has too many calls waiting',
  errors.Code.RATE_EXCEEDED: "the team's rate does not hold the request",
  errors.Code.MEMORY_FULL: 'the body does not fit into memory now',
  errors.Code.SERVICE_FULL: 'the service has no room for one more program',
  errors.Code.DEADLINE_PASSED: 'the deadline of the program has passed',
  errors.Code.UPSTREAM_UNAVAILABLE: 'no upstream takes the call now',
  errors.Code.UPSTREAM_FAILED: 'the upstream failed the call',
  errors.Code.REQUEST_QUARANTINED: 'instances ended while they ran it',
  errors.Code.OUTCOME_UNKNOWN: 'the action may or may not have run',
  errors.Code.CANCELLED: 'the call was broken off',
  errors.Code.NOT_OWNER: 'between daemons: the slot is owned elsewhere',
  errors.Code.OWNER_UNAVAILABLE: 'the owner could not be reached in time',
  errors.Code.ISOLATED: 'this daemon reaches neither its domain nor the table',
  errors.Code.NOT_COMMITTED: 'no other daemon holds the record yet',
  errors.Code.CONFIG_UNAVAILABLE: 'this daemon has not seen the table yet',
  errors.Code.TABLE_TOO_OLD: 'a key of the table may have been revoked',
  errors.Code.TABLE_CONFLICT: 'another edit changed the same rows first',
  errors.Code.PLATFORM_UNAVAILABLE: 'the platform gave no answer',
  errors.Code.STALE_EPOCH: 'a newer fencing number was seen',
  errors.Code.STORAGE_FULL: 'a bound of what is held is reached',
  errors.Code.STOPPING: 'the daemon stops before the request could end',
  errors.Code.INTERNAL: 'a fault of woadrun; see the logs',
}


def make_reference() -> str:
  """Returns the text of the reference page."""
  lines = [
    '# Reference',
    '',
    'Written by `tools/reference.py` from the code; a test keeps it so.',
    '',
    '## Settings',
    '',
    '| key | type | default | meaning |',
    '|---|---|---|---|',
    *_describe_section(settings.Settings, ''),
    '',
    '## Admission of programs',
    '',
    'Of the file that `python3 -m woadrun.platform FILE.toml` reads:',
    '',
    '| key | default | meaning |',
    '|---|---|---|',
    *(
      f'| `admission.{name}` | {default} | '
      f'{admission_settings.MEANING_BY_FIELD[name]} |'
      for name, default in dataclasses.asdict(admission_policy.DEFAULT).items()
    ),
    '',
    '## Columns of the table',
    '',
    '| column | type | default | meaning |',
    '|---|---|---|---|',
    *_describe_section(rows.Row, ''),
    '',
    '## Errors',
    '',
    'The status is 502 in place of 402, 404, 421, 429 or 503 if the request',
    'may have run.',
    '',
    '| code | status | when |',
    '|---|---|---|',
    *(
      f'| `{code.value}` | {errors.STATUS_BY_CODE.get(code, 500)} | '
      f'{MEANING_BY_CODE[code]} |'
      for code in errors.Code
    ),
    '',
    '## Exit codes',
    '',
    *(f'- {code.value}: {code.name.lower()}' for code in app.ExitCode),
    '',
    '## Metrics',
    '',
    'Gauges, under `metrics.prefix`:',
    '',
    *(f'- `{name}`' for name in daemon.METRICS),
    '',
  ]
  return '\n'.join(lines)


def _describe_section(
  model: type[pydantic.BaseModel], prefix: str
) -> Iterator[str]:
  for name, field in model.model_fields.items():
    inner, is_list = _get_inner(field.annotation)
    if inner is not None:
      mark = '[]' if is_list else ''
      yield from _describe_section(inner, f'{prefix}{name}{mark}.')
      continue
    default = '(required)' if field.is_required() else repr(field.default)
    kind = _format_type(field.annotation)
    yield f'| `{prefix}{name}` | {kind} | {default} | {field.description} |'


def _get_inner(annotation: typing.Any) -> tuple[typing.Any, bool]:
  arguments = typing.get_args(annotation)
  is_list = typing.get_origin(annotation) is list
  found = arguments[0] if is_list else annotation
  is_model = isinstance(found, type) and issubclass(found, pydantic.BaseModel)
  return (found, is_list) if is_model else (None, False)


def _format_type(annotation: typing.Any) -> str:
  if typing.get_origin(annotation) is typing.Literal:
    return ' or '.join(typing.get_args(annotation))
  if typing.get_origin(annotation) is list:
    return 'list'
  inner = [a for a in typing.get_args(annotation) if a is not type(None)]
  if inner and isinstance(inner[0], type):
    return str(inner[0].__name__)
  return str(getattr(annotation, '__name__', annotation))


if __name__ == '__main__':
  PATH.write_text(make_reference())
