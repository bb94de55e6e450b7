"""The operator's file with settings for the admission of programs.

The file is TOML; its table `[admission]` has any of the fields of
`decisions/admission_policy.py`, and the others have their defaults.

Validation uses `msgspec`, as for the platform's settings: pydantic would cost
each daemon some eight megabytes.
"""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import get_type_hints

import msgspec

from woadrun import errors
from woadrun.decisions import admission_policy

MEANING_BY_FIELD = {
  'least_part': 'part of its proportional share that each kind of programs, '
  'and each priority, gets at least',
  'usable_slots': "part of a service's slots that programs are admitted for",
  'target_duration': 'part of their time that programs need in the mean, above '
  'which fewer are admitted',
  'least_capacity': 'part of the usable slots that remains however slow '
  'programs are',
  'initial_duration': 'part of their time that programs are expected to need '
  'before any has ended',
  'idle_seconds': 'without a request, after which a program is not under way',
  'ended_seconds': 'without a request, after which a program has ended',
}

_Part = Annotated[float, msgspec.Meta(gt=0, le=1)]
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class _Admission(msgspec.Struct, kw_only=True):
  """The table; its fields are those of `AdmissionPolicy`."""

  least_part: _Part = admission_policy.DEFAULT.least_part
  usable_slots: _Part = admission_policy.DEFAULT.usable_slots
  target_duration: _Part = admission_policy.DEFAULT.target_duration
  least_capacity: _Part = admission_policy.DEFAULT.least_capacity
  initial_duration: _Part = admission_policy.DEFAULT.initial_duration
  idle_seconds: _Seconds = admission_policy.DEFAULT.idle_seconds
  ended_seconds: _Seconds = admission_policy.DEFAULT.ended_seconds


def load(path: str | pathlib.Path) -> admission_policy.AdmissionPolicy:
  """Returns the settings in a file.

  Raises `FindingsError` with all findings if the file or a value is invalid.
  """
  try:
    data = tomllib.loads(pathlib.Path(path).read_text(encoding='utf-8'))
  except OSError as error:
    reason = error.strerror or str(error)
    raise _fail(path, '(file)', reason) from None
  except ValueError as error:
    # Of the syntax, or of bytes that are no text.
    raise _fail(path, '(syntax)', str(error)) from None
  table = data.get('admission', {})
  findings = [
    errors.Finding(file=str(path), key=key, reason=reason)
    for key, reason in _check(data, table)
  ]
  if findings:
    raise errors.FindingsError(findings)
  fields = msgspec.structs.asdict(msgspec.convert(table, _Admission))
  return admission_policy.AdmissionPolicy(**fields)


def _check(data: dict[str, Any], table: Any) -> Iterator[tuple[str, str]]:
  """Yields the key and the reason of each finding."""
  for key in data.keys() - {'admission'}:
    yield key, 'is not known'
  if not isinstance(table, dict):
    yield 'admission', 'is no table'
    return
  types = get_type_hints(_Admission, include_extras=True)
  for key, value in table.items():
    if key not in types:
      yield f'admission.{key}', 'is not known'
      continue
    try:
      msgspec.convert(value, types[key])
    except msgspec.ValidationError as error:
      yield f'admission.{key}', str(error)


def _fail(
  path: str | pathlib.Path, key: str, reason: str
) -> errors.FindingsError:
  return errors.FindingsError(
    [errors.Finding(file=str(path), key=key, reason=reason)]
  )
