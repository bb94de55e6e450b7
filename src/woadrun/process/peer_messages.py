"""Handlers for messages of other daemons, independent of the transport."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import logging
from types import ModuleType
from typing import Any

from woadrun import decoding
from woadrun import errors

log = logging.getLogger('woadrun.peers')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
  """A reply to a message; `body` is an error unless `status` is 200."""

  status: int
  body: bytes


Handler = Callable[[bytes], Awaitable[Reply]]


def make_handler(
  type: Any, answer: Callable[[Any], Awaitable[Any]], *, codec: ModuleType
) -> Handler:
  """Returns a handler that decodes a message, and encodes its answer or error.

  Any exception that is not a `WoadrunError` or a decoding error is reported to
  the peer as an internal error with an unknown outcome.
  """

  async def handle(body: bytes) -> Reply:
    try:
      found = await answer(
        decoding.run(functools.partial(codec.decode, body, type=type))
      )
    except errors.WoadrunError as error:
      return Reply(status=error.status, body=error.get_body())
    except decoding.MalformedData as error:
      return _make_error(errors.Code.BAD_REQUEST, str(error))
    except Exception as error:
      log.exception('Handler of a peer message failed.')
      return _make_error(
        errors.Code.INTERNAL, str(error), errors.RunStatus.UNKNOWN
      )
    return Reply(status=200, body=codec.encode(found))

  return handle


def _make_error(
  code: errors.Code,
  message: str,
  ran: errors.RunStatus = errors.RunStatus.NOT_RUN,
) -> Reply:
  failure = errors.WoadrunError(code, message, ran=ran)
  return Reply(status=failure.status, body=failure.get_body())
