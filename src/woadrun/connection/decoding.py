"""Decodes bytes that another process wrote, with one kind of error.

Decoders raise more than their documented error for bytes alone: `msgspec`
raises `RecursionError` for values that are nested too deep, and codecs raise
`ValueError` or `OverflowError`.  A reader that expects only one of them ends
with the first row, response or datagram that raises another one.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
from typing import Any
from typing import TypeVar

import msgspec

T = TypeVar('T')

# Length of foreign text in errors and log lines.
MAX_SHOWN_CHARACTERS = 120


class MalformedData(ValueError):
  """Raised for bytes that are not of the expected form."""


def decode_json(data: bytes | str | msgspec.Raw, *, type: Any = Any) -> Any:
  """Returns a value of `type` decoded from JSON; raises `MalformedData`."""
  return run(functools.partial(msgspec.json.decode, data, type=type))


def decode_msgpack(data: bytes, *, type: Any = Any) -> Any:
  """Returns a value of `type` from MessagePack; raises `MalformedData`."""
  return run(functools.partial(msgspec.msgpack.decode, data, type=type))


def convert(value: Any, *, type: Any) -> Any:
  """Returns a decoded value as one of `type`; raises `MalformedData`."""
  return run(functools.partial(msgspec.convert, value, type=type))


def run(decode: Callable[[], T]) -> T:
  """Returns the result of a decoder; raises `MalformedData` for its errors."""
  try:
    return decode()
  except MalformedData:
    raise
  except (
    msgspec.MsgspecError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    MemoryError,
  ) as error:
    raise MalformedData(shorten(str(error)) or type(error).__name__) from None


def shorten(text: str) -> str:
  """Returns foreign text in a form and length that is fit for a log line."""
  cut = text[: MAX_SHOWN_CHARACTERS + 1]
  shown = ascii(cut[:MAX_SHOWN_CHARACTERS])[1:-1]
  return f'{shown}...' if len(cut) > MAX_SHOWN_CHARACTERS else shown
