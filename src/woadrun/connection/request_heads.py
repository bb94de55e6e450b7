"""Sizes of the heads of requests."""

from __future__ import annotations

from aiohttp import web

from woadrun import errors

# Spaces, the version and the line ends of a request line, and the last line.
_LINE_BYTES = len(' ' + ' HTTP/1.1\r\n' + '\r\n')
# What separates a field from its value and from the next one.
_FIELD_BYTES = len(': ' + '\r\n')


def check_size(http: web.BaseRequest, *, limit: int) -> None:
  """Raises `head_too_large` if a head has more than `limit` bytes."""
  size = len(http.method) + len(http.raw_path) + _LINE_BYTES
  for name, value in http.raw_headers:
    size += len(name) + len(value) + _FIELD_BYTES
  if size > limit:
    raise errors.WoadrunError(
      errors.Code.HEAD_TOO_LARGE,
      f'The head of the request exceeds {limit} bytes.',
      place='headers',
    )
