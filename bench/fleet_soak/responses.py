"""Responses of instances: their framing, and the place where they break off."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import random

from fleet_soak import sockets

# Share of responses that are truncated.
TRUNCATED_SHARE = 0.06
# Shares of requests that are refused, and of complete responses that are sent a
# second time in the place of the next response on their connection.
REFUSED_SHARE = 0.04
SURPLUS_SHARE = 0.1


class Framing(enum.Enum):
  """How a response states its end, if at all."""

  LENGTH = 'length'
  CHUNKS = 'chunks'
  # The end of the connection ends the response.
  NONE = 'none'


class Place(enum.Enum):
  """The place where a response ends."""

  END = 'end'
  HEAD = 'inside the head'
  BEFORE = 'before the first part'
  INSIDE = 'inside a part'
  BETWEEN = 'between two parts'


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
  """A response of `parts`, which is truncated unless it ends at its end.

  The parts of a stream are its events.  `version` is the HTTP version that the
  response states; `closes` tells that it announces the end of the connection.
  A truncated response sends `whole` of its parts.  With `is_reset`, it ends
  with a reset, else with an orderly close.
  """

  parts: tuple[bytes, ...]
  is_stream: bool
  framing: Framing = Framing.LENGTH
  place: Place = Place.END
  whole: int = 0
  is_reset: bool = False
  closes: bool = False
  version: str = 'HTTP/1.1'

  @property
  def body(self) -> bytes:
    """The complete body."""
    return b''.join(self.parts)

  @property
  def is_truncated(self) -> bool:
    """Whether a part of the response is missing."""
    return self.place is not Place.END

  @property
  def ends_connection(self) -> bool:
    """Whether the connection ends with the response."""
    return self.framing is Framing.NONE or self.closes or self.is_truncated

  def make_head(self, *, headers: dict[str, str], status: int = 200) -> bytes:
    """Returns the status line and the headers."""
    lines = [f'{self.version} {status:03} Status']
    lines.extend(f'{name}: {value}' for name, value in headers.items())
    if self.is_stream:
      lines.append('Content-Type: text/event-stream')
    if self.framing is Framing.LENGTH:
      lines.append(f'Content-Length: {len(self.body)}')
    elif self.framing is Framing.CHUNKS:
      lines.append('Transfer-Encoding: chunked')
    if self.closes:
      lines.append('Connection: close')
    return '\r\n'.join([*lines, '', '']).encode()

  def get_sent_parts(self) -> tuple[bytes, ...]:
    """Returns the parts that are sent, the last one possibly incomplete."""
    if self.place is Place.END:
      return self.parts
    if self.place in (Place.HEAD, Place.BEFORE):
      return ()
    if self.place is Place.BETWEEN:
      return self.parts[: self.whole]
    part = self.parts[self.whole]
    return (*self.parts[: self.whole], part[: len(part) // 2])


def draw(
  rng: random.Random, parts: tuple[bytes, ...], *, is_stream: bool
) -> Response:
  """Returns a response with a random framing, which may be truncated.

  Never draws an end that cannot be told from that of a complete response: an
  orderly close without framing between two events, or anywhere in the body of a
  response that is not a stream.
  """
  framing = rng.choice(list(Framing))
  is_unframed = framing is Framing.NONE
  version = rng.choice(('HTTP/1.0', 'HTTP/1.1')) if is_unframed else 'HTTP/1.1'
  response = Response(
    parts=parts,
    is_stream=is_stream,
    framing=framing,
    closes=rng.random() < (0.5 if is_unframed else 0.1),
    version=version,
  )
  if rng.random() >= TRUNCATED_SHARE:
    return response
  place = rng.choice(
    (Place.HEAD, Place.BEFORE, Place.INSIDE, Place.BETWEEN)
    if len(parts) > 1
    else (Place.HEAD, Place.BEFORE, Place.INSIDE)
  )
  first = 1 if place is Place.BETWEEN else 0
  is_undetectable = is_unframed and (
    place is Place.BETWEEN or (place is not Place.HEAD and not is_stream)
  )
  return dataclasses.replace(
    response,
    place=place,
    whole=rng.randrange(first, len(parts)),
    is_reset=is_undetectable or rng.random() < 0.5,
  )


def draw_failure(rng: random.Random, request: str) -> Response:
  """Returns a complete response that describes a failure."""
  return Response(
    parts=(f'failed {request}'.encode(),),
    is_stream=False,
    framing=rng.choice((Framing.LENGTH, Framing.CHUNKS)),
  )


def encode(
  response: Response, *, headers: dict[str, str], status: int = 200
) -> bytes:
  """Returns all bytes of a complete response."""
  frames = (_frame_part(response, part) for part in response.parts)
  end = b'0\r\n\r\n' if response.framing is Framing.CHUNKS else b''
  head = response.make_head(headers=headers, status=status)
  return head + b''.join(frames) + end


async def write(
  writer: asyncio.StreamWriter,
  response: Response,
  *,
  headers: dict[str, str],
  pause: Callable[[], Awaitable[None]],
  status: int = 200,
) -> bool:
  """Writes a response; returns whether the connection can be used again.

  Awaits `pause` before each part.
  """
  head = response.make_head(headers=headers, status=status)
  if response.place is Place.HEAD:
    head = head[: len(head) // 2]
  writer.write(head)
  async for data in _frame(response, pause):
    writer.write(data)
    await writer.drain()
  if response.is_truncated and response.is_reset:
    # Lets the bytes arrive that a reset would discard.
    await pause()
    sockets.reset(writer)
    return False
  await writer.drain()
  return not response.ends_connection


async def _frame(
  response: Response, pause: Callable[[], Awaitable[None]]
) -> AsyncIterator[bytes]:
  for part in response.get_sent_parts():
    await pause()
    yield _frame_part(response, part)
  if response.framing is Framing.CHUNKS and not response.is_truncated:
    yield b'0\r\n\r\n'


def _frame_part(response: Response, part: bytes) -> bytes:
  if response.framing is not Framing.CHUNKS:
    return part
  return b'%x\r\n%b\r\n' % (len(part), part)
