"""Answers to messages of other daemons, whichever way they come."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
from types import ModuleType
from typing import Any

import msgspec

from woadrun import errors

log = logging.getLogger('woadrun.peers')


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
  """What goes back; `body` is an error's where `status` is not 200."""

  status: int
  body: bytes


Handler = Callable[[bytes], Awaitable[Reply]]


def make_handler(
  type: Any, answer: Callable[[Any], Awaitable[Any]], *, codec: ModuleType
) -> Handler:
  """Returns a handler that decodes a message, and encodes what is answered."""

  async def handle(body: bytes) -> Reply:
    try:
      found = await answer(codec.decode(body, type=type))
    except errors.WoadrunError as error:
      return Reply(status=error.status, body=error.get_body())
    except msgspec.MsgspecError as error:
      return _make_error(errors.Code.BAD_REQUEST, str(error))
    except Exception as error:
      log.exception('A message of a peer failed.')
      return _make_error(errors.Code.INTERNAL, str(error), errors.Ran.UNKNOWN)
    return Reply(status=200, body=codec.encode(found))

  return handle


def _make_error(
  code: errors.Code, message: str, ran: errors.Ran = errors.Ran.NOT_RUN
) -> Reply:
  wrong = errors.WoadrunError(code, message, ran=ran)
  return Reply(status=wrong.status, body=wrong.get_body())
