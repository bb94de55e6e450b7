"""Rows in the messages by which daemons relay calls and pass changes on."""

from __future__ import annotations

from collections.abc import Sequence

from woadrun.connection import rows
from woadrun.connection import turn_messages


def make_row(
  key: rows.Key, *, value: bytes = b'', version: int = 0
) -> turn_messages.StoreRow:
  """Returns a row that a peer is asked to write, remove or check."""
  return turn_messages.StoreRow(
    table=key.table, part=key.part, name=key.name, value=value, version=version
  )


def get_key(row: turn_messages.StoreRow) -> rows.Key:
  """Returns the key of the row in a message."""
  return rows.Key(row.table, row.part, row.name)


def decode_row(row: turn_messages.StoreRow) -> rows.Row:
  """Returns the row decoded from a message of a peer."""
  return rows.Row(
    key=get_key(row),
    value=row.value,
    version=row.version,
    is_removed=row.is_removed,
    is_packed=row.is_packed,
  )


def decode_page(page: turn_messages.StorePage) -> rows.Page:
  """Returns the page decoded from a message of a peer."""
  found = tuple(decode_row(row) for row in page.rows)
  return rows.Page(
    rows=found, version=page.version, is_cut=page.is_cut, clock=page.clock
  )


def encode_rows(
  found: Sequence[rows.Row],
) -> tuple[turn_messages.StoreRow, ...]:
  """Returns rows encoded for a message to a peer."""
  return tuple(
    turn_messages.StoreRow(
      table=row.key.table,
      part=row.key.part,
      name=row.key.name,
      value=row.value,
      version=row.version,
      is_removed=row.is_removed,
      is_packed=row.is_packed,
    )
    for row in found
  )


def encode_page(page: rows.Page) -> turn_messages.StorePage:
  """Returns a page encoded for a message to a peer."""
  return turn_messages.StorePage(
    rows=encode_rows(page.rows),
    version=page.version,
    is_cut=page.is_cut,
    clock=page.clock,
  )
