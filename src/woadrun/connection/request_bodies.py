"""Reads bodies of requests within the memory account of the process.

A limit of one body does not bound what all callers send at once.
"""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import hdrs
from aiohttp import web

from woadrun import errors
from woadrun.connection import bounded_reads
from woadrun.connection import memory_account

# Time after which a caller may return whose body cannot be held now.
RETRY_AFTER_SECONDS = 0.5
# Time for which the rest of a rejected body is read and dropped, so that its
# sender gets to read the response.
LINGERING_SECONDS = 2.0

# Smaller parts of a body are joined.
MIN_PART_BYTES = 4_096
# Times that a body may take where the server is given none: without a byte, and
# in all.
PATIENCE_SECONDS = 15.0
MAX_SECONDS = 60.0


async def read(
  http: web.BaseRequest,
  holder: memory_account.Holder,
  *,
  limit: int,
  patience: float = PATIENCE_SECONDS,
  seconds: float = MAX_SECONDS,
  invites: bool = False,
) -> bytes:
  """Returns the whole body of a request, whose bytes `holder` counts.

  Waits up to `patience` seconds for each part of it, and up to `seconds` for
  all of it.  With `invites`, tells a caller that waits for it to send the body.
  Raises `body_too_large` if it has more than `limit` bytes or more than may
  ever be held, `memory_full` if it cannot be held now, and `body_late` if it
  does not arrive in time.  The rest of it is not read then.
  """
  limit = min(limit, holder.account.get_most(holder.kind))
  stated = http.content_length or 0
  check_size(stated, limit=limit)
  parts: list[bytes] = []
  size = 0
  loop = asyncio.get_running_loop()
  until = loop.time() + seconds
  scope = asyncio.timeout(None)

  def reject() -> None:
    holder.on_evict = None
    # The time of the loop is always later.
    scope.reschedule(0.0)

  holder.on_evict = reject
  protocol = http.protocol
  if isinstance(protocol, bounded_reads.Connection):
    protocol.reject_body = reject
  try:
    # A body that will not fit is rejected before it is read.
    holder.grow(stated)
    async with scope:
      if invites:
        await _invite(http)
      while not http.content.at_eof():
        scope.reschedule(min(loop.time() + patience, until))
        part = await http.content.readany()
        _check_held(holder)
        size += len(part)
        check_size(size, limit=limit)
        _append(parts, part)
        holder.grow(max(0, size - holder.size))
      _check_held(holder)
  except memory_account.MemoryExceeded as error:
    raise make_rejection() from error
  except TimeoutError as error:
    if not scope.expired():
      raise
    if holder.on_evict is None:
      raise make_rejection() from error
    raise errors.WoadrunError(
      errors.Code.BODY_LATE,
      f'The request body did not arrive in time, after {size} bytes.',
      place='body',
    ) from error
  finally:
    # The request is about to run: it cannot let go of its body any more.
    holder.on_evict = None
    if isinstance(protocol, bounded_reads.Connection):
      protocol.reject_body = None
  return b''.join(parts)


def _append(parts: list[bytes], part: bytes) -> None:
  # Many small parts would cost more than what they hold.
  if parts and len(parts[-1]) < MIN_PART_BYTES:
    part = parts.pop() + part
  parts.append(part)


async def _invite(http: web.BaseRequest) -> None:
  """Tells a caller that waits for it to send its body (RFC 9110, 10.1.1)."""
  is_waiting = (
    http.headers.get(hdrs.EXPECT, '').lower() == '100-continue'
    and http.version >= aiohttp.HttpVersion11
    and not http.content.total_bytes
    and not http.content.is_eof()
  )
  if is_waiting:
    await http.writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
    # aiohttp counts these bytes to the response.
    http.writer.output_size = 0


def check_size(size: int, *, limit: int) -> None:
  """Raises `body_too_large` if a size in bytes exceeds a limit."""
  if size > limit:
    raise errors.WoadrunError(
      errors.Code.BODY_TOO_LARGE,
      f'The request body exceeds {limit} bytes.',
      place='body',
    )


def make_rejection() -> errors.WoadrunError:
  """Returns the error for a request whose body cannot be held now."""
  return errors.WoadrunError(
    errors.Code.MEMORY_FULL,
    'The daemon cannot hold the request body now.',
    place='body',
    retry_after=RETRY_AFTER_SECONDS,
  )


def _check_held(holder: memory_account.Holder) -> None:
  # The last bytes may arrive before an eviction cancels the wait for them.
  if holder.on_evict is None:
    raise make_rejection()
