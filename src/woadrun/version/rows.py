"""The operators' table: its rows, edits and CSV format.

The key of a row is a team (`team`) or a team and a kind of work (`team/kind`).
The row of a kind takes precedence over the row of its team.
"""

from __future__ import annotations

from collections.abc import Iterator
import csv
import io
from typing import Any

import msgspec
import pydantic

from woadrun import errors
from woadrun import settings

KEY_SEPARATOR = '/'


class Row(pydantic.BaseModel):
  """The weights and limits of a team or of a kind of its work."""

  model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

  key: str = pydantic.Field(
    pattern=r'^[A-Za-z0-9_.-]+(/[A-Za-z0-9_.-]+)?$',
    description='team, or team/kind',
  )
  weight: float = pydantic.Field(
    1.0, gt=0, le=1000, description='share of the upstreams under load'
  )
  concurrency: int = pydantic.Field(
    1000, ge=0, description='calls at a time in the whole system'
  )
  rate: float = pydantic.Field(
    1000.0, ge=0, description='calls a second in the whole system'
  )
  program_budget: int = pydantic.Field(
    1_000_000, ge=0, description='tokens that one program may use at most'
  )
  deadline: float = pydantic.Field(
    3600.0, gt=0, description='seconds for a whole program'
  )
  idle_limit: float = pydantic.Field(
    900.0, gt=0, description='seconds without a call until abandoned'
  )
  max_calls: int = pydantic.Field(
    1000, ge=1, description='calls of one program, against loops'
  )
  tool_timeout: float = pydantic.Field(
    30.0, gt=0, description='seconds until a service call counts as hung'
  )
  retry_budget: float = pydantic.Field(
    0.1, ge=0, le=1, description='retries for each call, at most'
  )
  models: str = pydantic.Field(
    '*', description='models allowed, separated by blanks, or *'
  )

  def is_model_allowed(self, model: str) -> bool:
    """Returns whether the row allows its programs to use `model`."""
    return self.models == '*' or model in self.models.split()


class RowChange(msgspec.Struct, frozen=True, kw_only=True):
  """One row before and after an edit; None represents an absent row."""

  key: str
  before: dict[str, Any] | None
  after: dict[str, Any] | None


class Edit(msgspec.Struct, frozen=True, kw_only=True):
  """One version of the table: the changes of an operator, and their time."""

  version: int
  write_id: str
  author: str
  time: float
  changes: tuple[RowChange, ...]


# --- Looking up -------------------------------------------------------------


def get_row(row_by_key: dict[str, Row], team: str, kind: str) -> Row | None:
  """Returns the row that applies to a kind of a team's work, if any."""
  return row_by_key.get(f'{team}{KEY_SEPARATOR}{kind}') or row_by_key.get(team)


# --- Changing ---------------------------------------------------------------


def with_edit(row_by_key: dict[str, Row], edit: Edit) -> dict[str, Row]:
  """Returns the rows after an edit."""
  rows = dict(row_by_key)
  for change in edit.changes:
    if change.after is None:
      rows.pop(change.key, None)
    else:
      rows[change.key] = Row.model_validate(change.after)
  return rows


def find_changes(
  old: dict[str, Row], new: dict[str, Row]
) -> Iterator[RowChange]:
  """Yields a change for each row that differs between two tables."""
  for key in sorted(old.keys() | new.keys()):
    before, after = old.get(key), new.get(key)
    if before != after:
      yield RowChange(
        key=key,
        before=before.model_dump() if before else None,
        after=after.model_dump() if after else None,
      )


def find_conflicts(
  row_by_key: dict[str, Row], changes: tuple[RowChange, ...]
) -> Iterator[RowChange]:
  """Yields the rows in `changes` that another edit has changed meanwhile.

  Each conflict has the row as the editor read it and as it is now.
  """
  for change in changes:
    row = row_by_key.get(change.key)
    current = row.model_dump() if row else None
    if current != change.before:
      yield RowChange(key=change.key, before=change.before, after=current)


# --- CSV --------------------------------------------------------------------


def to_csv(row_by_key: dict[str, Row]) -> str:
  """Returns the table as CSV with a header line."""
  stream = io.StringIO()
  writer = csv.DictWriter(
    stream, fieldnames=list(Row.model_fields), lineterminator='\n'
  )
  writer.writeheader()
  writer.writerows(row_by_key[key].model_dump() for key in sorted(row_by_key))
  return stream.getvalue()


def from_csv(text: str, *, file: str) -> dict[str, Row]:
  """Returns the rows of a CSV table.

  Raises `FindingsError` with all findings if any row is invalid.
  """
  rows: dict[str, Row] = {}
  findings: list[errors.Finding] = []
  for line, data in enumerate(csv.DictReader(io.StringIO(text)), start=2):
    place = f'line {line}'
    try:
      row = _parse_row(data)
    except pydantic.ValidationError as error:
      for finding in settings.get_findings(error, file=file):
        key = f'{place}, {finding.key}'
        findings.append(
          errors.Finding(file=file, key=key, reason=finding.reason)
        )
      continue
    if row.key in rows:
      reason = f'the row {row.key} occurs more than once'
      findings.append(errors.Finding(file=file, key=place, reason=reason))
    rows[row.key] = row
  if findings:
    raise errors.FindingsError(findings)
  return rows


def _parse_row(data: dict[str | Any, str | Any]) -> Row:
  filled = {
    str(name): value for name, value in data.items() if value not in ('', None)
  }
  return Row.model_validate(filled)
