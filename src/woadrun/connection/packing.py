"""Large values of rows, compressed while they are kept and handed on.

A routing table of a thousand routes compresses to a tenth.  Uncompressed, a
daemon that handed it to all others of its domain at once held one copy for each
of them, and a small link was busy for seconds.
"""

from __future__ import annotations

import dataclasses
import zlib

from woadrun.connection import rows

# Smaller values gain little, in bytes.
LEAST_BYTES = 4096
LEVEL = 1


def pack(row: rows.Row) -> rows.Row:
  """Returns a row as it is kept, compressed where that is worth it."""
  if row.is_packed or len(row.value) < LEAST_BYTES:
    return row
  value = zlib.compress(row.value, LEVEL)
  return dataclasses.replace(row, value=value, is_packed=True)


def unpack(row: rows.Row) -> rows.Row:
  """Returns a row with its value as it was written."""
  if not row.is_packed:
    return row
  value = zlib.decompress(row.value)
  return dataclasses.replace(row, value=value, is_packed=False)
