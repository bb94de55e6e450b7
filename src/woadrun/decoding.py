"""Decodes bytes that another process wrote, with one kind of error.

Decoders raise more than their documented errors for bytes alone: `msgspec`
raises `RecursionError` for values that are nested too deep, codecs raise
`ValueError` and `OverflowError`.  A reader that expects only one of them ends
with the first row, response or datagram that raises another one.
"""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging
import time
from typing import Any
from typing import TypeVar
from typing import overload
import zlib

import msgspec

T = TypeVar('T')
Encoded = bytes | str | msgspec.Raw

# Length of foreign text in errors and log lines.
MAX_SHOWN_CHARACTERS = 200
# Most log lines on rejected data of one kind, in each interval.
MAX_LOGGED_LINES = 10
LOG_INTERVAL_SECONDS = 1.0


class MalformedData(ValueError):
  """Raised for bytes that are not of the expected form.

  `is_syntax` is False if the bytes are well formed, but not of the type.
  """

  def __init__(self, reason: str, *, is_syntax: bool = False) -> None:
    super().__init__(reason)
    self.is_syntax = is_syntax


@overload
def decode_json(data: Encoded) -> Any: ...


@overload
def decode_json(data: Encoded, *, type: type[T]) -> T: ...


def decode_json(data: Encoded, *, type: Any = Any) -> Any:
  """Returns a value of `type` decoded from JSON; raises `MalformedData`."""
  return run(functools.partial(msgspec.json.decode, data, type=type))


def decode_msgpack(data: bytes, *, type: type[T]) -> T:
  """Returns a value of `type` from MessagePack; raises `MalformedData`."""
  value: T = run(functools.partial(msgspec.msgpack.decode, data, type=type))
  return value


def run(decode: Callable[[], T]) -> T:
  """Returns the result of a decoder; raises `MalformedData` for its errors."""
  try:
    return decode()
  except MalformedData:
    raise
  except (
    msgspec.MsgspecError,
    AttributeError,
    LookupError,
    MemoryError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
    zlib.error,
  ) as error:
    raise MalformedData(
      shorten(str(error)) or type(error).__name__,
      is_syntax=not isinstance(error, msgspec.ValidationError),
    ) from error


def shorten(text: str) -> str:
  """Returns foreign text in a form and length that is fit for a log line."""
  shown = ascii(text[:MAX_SHOWN_CHARACTERS])[1:-1]
  return f'{shown}...' if len(text) > MAX_SHOWN_CHARACTERS else shown


class Rejections:
  """Counts and logs the data of one kind that are rejected.

  `count` is their number.  At most MAX_LOGGED_LINES are logged in each
  LOG_INTERVAL_SECONDS.
  """

  def __init__(self, *, kind: str, log: logging.Logger) -> None:
    self.count = 0
    self._kind = kind
    self._log = log
    self._interval_began = -LOG_INTERVAL_SECONDS
    self._lines = 0
    self._unlogged = 0

  def record(self, name: str, error: Exception) -> None:
    """Records that the data `name` were rejected with an error."""
    self.count += 1
    now = time.monotonic()
    if now - self._interval_began >= LOG_INTERVAL_SECONDS:
      self._interval_began, self._lines = now, 0
    if self._lines >= MAX_LOGGED_LINES:
      self._unlogged += 1
      return
    self._log.error(
      'Rejected %s %s: %s%s',
      self._kind,
      shorten(name),
      shorten(f'{type(error).__name__}: {error}'),
      f' ({self._unlogged} more before)' if self._unlogged else '',
    )
    self._lines += 1
    self._unlogged = 0
