"""Compression of large row values in memory and between daemons.

A routing table of a thousand routes is 0.4 MB and is sent to all daemons of a
domain at once: uncompressed, it saturates a small link for seconds.
"""

from __future__ import annotations

import dataclasses
import zlib

from woadrun.connection import rows

# Smaller values are not compressed.
COMPRESSION_THRESHOLD_BYTES = 4096
COMPRESSION_LEVEL = 1


def pack(row: rows.Row) -> rows.Row:
  """Returns a row with its value compressed, or unchanged if that is small."""
  if row.is_packed or len(row.value) < COMPRESSION_THRESHOLD_BYTES:
    return row
  value = zlib.compress(row.value, COMPRESSION_LEVEL)
  return dataclasses.replace(row, value=value, is_packed=True)


def unpack(row: rows.Row) -> rows.Row:
  """Returns a row with its value decompressed."""
  if not row.is_packed:
    return row
  value = zlib.decompress(row.value)
  return dataclasses.replace(row, value=value, is_packed=False)
