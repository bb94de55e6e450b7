"""`woadrun table`: shows and edits the operators' table of teams."""

from __future__ import annotations

import pathlib
import time
from typing import Any

import cyclopts
import msgspec
import pydantic

from woadrun import errors
from woadrun import settings
from woadrun.cli import operator
from woadrun.connection import client
from woadrun.version import rows

PATH = '/operate/table'

table = cyclopts.App(name='table', help='Show and edit the table of teams.')


@table.command
def show(*, access: operator.Access) -> None:
  """Prints the current table as CSV, for use in a spreadsheet."""
  response = operator.run_with_client(access, lambda c: c.ask('GET', PATH))
  if access.json:
    print(msgspec.json.encode(response).decode())
    return
  print(rows.to_csv(_parse_rows(response)), end='')


@table.command
def get(key: str, *, access: operator.Access) -> None:
  """Prints one row.

  Parameters
  ----------
  key
    Team, or team/kind.
  """
  response = operator.run_with_client(access, lambda c: c.ask('GET', PATH))
  row = _parse_rows(response).get(key)
  if row is None:
    raise errors.WoadrunError(
      errors.Code.UNKNOWN_TEAM,
      f'The table has no row with the key {key}.',
      place='key',
    )
  if access.json:
    print(row.model_dump_json())
    return
  operator.print_columns(
    [['column', 'value'], *([n, v] for n, v in row.model_dump().items())]
  )


@table.command(name='set')
def set_(key: str, *values: str, access: operator.Access) -> None:
  """Sets columns of one row; adds the row if it does not exist.

  Parameters
  ----------
  key
    Team, or team/kind.
  values
    Columns as name=value, for example: weight=4 concurrency=20
  """
  new_columns = dict(_split_assignment(value) for value in values)

  async def change(c: client.Client) -> Any:
    old = _parse_rows(await c.ask('GET', PATH))
    before = old[key].model_dump() if key in old else {}
    new = _check_row({**before, 'key': key, **new_columns})
    return await _submit(c, old, {**old, key: new})

  _print_result(access, operator.run_with_client(access, change))


@table.command
def remove(key: str, *, access: operator.Access) -> None:
  """Removes one row.

  Parameters
  ----------
  key
    Team, or team/kind.
  """

  async def change(c: client.Client) -> Any:
    old = _parse_rows(await c.ask('GET', PATH))
    return await _submit(c, old, {k: r for k, r in old.items() if k != key})

  _print_result(access, operator.run_with_client(access, change))


@table.command
def edit(
  file: pathlib.Path,
  *,
  access: operator.Access,
  base: pathlib.Path | None = None,
) -> None:
  """Replaces the table by the contents of a CSV file.

  Parameters
  ----------
  file
    CSV file with the whole new table.
  base
    CSV file with the table that the edit started from (`table show`).
    With it, the edit is refused if another edit changed the same rows
    since then; without it, such a change is overwritten.
  """
  new = rows.from_csv(file.read_text(), file=str(file))
  base_rows = rows.from_csv(base.read_text(), file=str(base)) if base else None

  async def change(c: client.Client) -> Any:
    old = (
      _parse_rows(await c.ask('GET', PATH)) if base_rows is None else base_rows
    )
    return await _submit(c, old, new)

  _print_result(access, operator.run_with_client(access, change))


@table.command
def history(*, access: operator.Access) -> None:
  """Prints the latest edits: version, time, author and changed rows."""
  response = operator.run_with_client(
    access, lambda c: c.ask('GET', f'{PATH}/history')
  )
  if access.json:
    print(msgspec.json.encode(response).decode())
    return
  lines = [
    [
      edit['version'],
      time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(edit['time'])),
      edit['author'],
      ' '.join(change['key'] for change in edit['changes']),
    ]
    for edit in response
  ]
  operator.print_columns([['version', 'time', 'author', 'rows'], *lines])


@table.command
def status(*, access: operator.Access) -> None:
  """Prints which version of the table each daemon applies."""
  response = operator.run_with_client(
    access, lambda c: c.ask('GET', f'{PATH}/status')
  )
  if access.json:
    print(msgspec.json.encode(response).decode())
    return
  lines = [
    [
      v['address'],
      v['domain'],
      'no answer' if v['version'] is None else v['version'],
    ]
    for v in response
  ]
  operator.print_columns([['daemon', 'domain', 'version'], *lines])


# --- Helpers ----------------------------------------------------------------


def _parse_rows(response: Any) -> dict[str, rows.Row]:
  parsed = [rows.Row.model_validate(data) for data in response['rows']]
  return {row.key: row for row in parsed}


def _split_assignment(value: str) -> tuple[str, str]:
  name, separator, text = value.partition('=')
  if not separator:
    finding = errors.Finding(
      file='(command line)', key=value, reason='expected column=value'
    )
    raise errors.FindingsError([finding])
  return name, text


def _check_row(data: dict[str, Any]) -> rows.Row:
  try:
    return rows.Row.model_validate(data)
  except pydantic.ValidationError as error:
    findings = settings.get_findings(error, file='(command line)')
    raise errors.FindingsError(findings) from None


async def _submit(
  c: client.Client, old: dict[str, rows.Row], new: dict[str, rows.Row]
) -> Any:
  changes = msgspec.to_builtins(list(rows.find_changes(old, new)))
  if not changes:
    return None
  return await c.ask('POST', PATH, {'changes': changes})


def _print_result(access: operator.Access, result: Any) -> None:
  if access.json:
    print(msgspec.json.encode(result).decode())
  elif result is None:
    print('The table already has these values.')
  else:
    print(f'Version {result["version"]} is accepted.')
