"""Compression of large row values in memory and between daemons.

A routing table of a thousand routes is 0.4 MB and is sent to all daemons of a
domain at once: uncompressed, it saturates a small link for seconds.
"""

from __future__ import annotations

import dataclasses
import zlib

from woadrun import decoding
from woadrun.connection import rows

# Smaller values are not compressed.
COMPRESSION_THRESHOLD_BYTES = 4096
COMPRESSION_LEVEL = 1
# Largest value that is decompressed, far above the rows of any store.
MAX_VALUE_BYTES = 64 * 1024 * 1024


def pack(row: rows.Row) -> rows.Row:
  """Returns a row with its value compressed, or unchanged if that is small."""
  if row.is_packed or len(row.value) < COMPRESSION_THRESHOLD_BYTES:
    return row
  value = zlib.compress(row.value, COMPRESSION_LEVEL)
  return dataclasses.replace(row, value=value, is_packed=True)


def unpack(row: rows.Row) -> rows.Row:
  """Returns a row with its value decompressed.

  Raises `decoding.MalformedData` if it is not compressed, or too large.
  """
  if not row.is_packed:
    return row
  inflater = zlib.decompressobj()
  value = decoding.run(lambda: inflater.decompress(row.value, MAX_VALUE_BYTES))
  if not inflater.eof:
    raise decoding.MalformedData('a compressed value is too large or cut')
  return dataclasses.replace(row, value=value, is_packed=False)
