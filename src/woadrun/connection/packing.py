"""Large values of rows, compressed while they are kept and handed on.

A routing table of a thousand routes is 0.4 MB, and goes to all daemons of a
domain at once: uncompressed it keeps a small link busy for seconds.
"""

from __future__ import annotations

import dataclasses
import zlib

from woadrun.connection import rows

# Smaller values are kept as they are, in bytes.
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
