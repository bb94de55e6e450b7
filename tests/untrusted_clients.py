"""Callers that nobody controls, in a process of their own.

`python tests/untrusted_clients.py HOST PORT SHAPE CONNECTIONS COUNT SIZE LINES`
opens the connections, sends what the shape says, prints `sent`, and keeps
them open without reading until its input ends.  LINES are those of a head
between the request line and its framing, as JSON, after the request line.
"""

import asyncio
import contextlib
import itertools
import json
import sys

PIECE = b'x' * 65_536
# Time for which a receiver may leave a sender waiting.
STALL_SECONDS = 2.0
# Bytes of a body or a head that never arrive.
MISSING_BYTES = 2


def send_sized(head, *, count, size):
  """Yields a body of `size` bytes with a length, short of its end."""
  del count
  yield head(f'Content-Length: {size}')
  left = size - MISSING_BYTES
  while left > 0:
    yield PIECE[:left]
    left -= len(PIECE)


def send_slow(head, *, count, size):
  """Yields a body like `send_sized`, in `count` pieces with pauses."""
  yield head(f'Content-Length: {size}')
  for number in range(count):
    end = size - MISSING_BYTES if number == count - 1 else size
    yield PIECE[:1] * (end // count)
    yield None


def send_chunked(head, *, count, size):
  """Yields `count` chunks of `size` bytes without the last chunk."""
  yield head('Transfer-Encoding: chunked')
  chunk = b'%x\r\n%b\r\n' % (size, PIECE[:1] * size)
  in_piece = max(1, len(PIECE) // len(chunk))
  for start in range(0, count, in_piece):
    yield chunk * min(in_piece, count - start)


def send_ahead(head, *, count, size):
  """Yields `count` whole requests with bodies of `size` bytes."""
  for _ in range(count):
    yield head(f'Content-Length: {size}') + PIECE[:1] * size


def send_padded(head, *, count, size):
  """Yields `count` whole requests whose heads are padded by `size` bytes."""
  padding = 'y' * 4_000
  fields = [f'Cookie: {padding}'] * (size // len(padding))
  for _ in range(count):
    yield head(*fields, 'Content-Length: 0')


def send_half_heads(head, *, count, size):
  """Yields `size` bytes of a head that does not end."""
  del count
  yield (head()[:-MISSING_BYTES] + b'Cookie: ' + PIECE)[:size]


def send_nothing(head, *, count, size):
  """Yields nothing: the connection only exists."""
  del head, count, size
  yield b''


SHAPES = {
  'sized': send_sized,
  'slow': send_slow,
  'chunked': send_chunked,
  'ahead': send_ahead,
  'padded': send_padded,
  'half-heads': send_half_heads,
  'nothing': send_nothing,
}


async def hold(host, port, pieces, until):
  """Sends pieces, as far as they are taken, and keeps the connection open."""
  writer = None
  try:
    async with asyncio.timeout(STALL_SECONDS):
      _, writer = await asyncio.open_connection(host, port, limit=1_024)
    # What the daemon sends stays unread.
    writer.transport.pause_reading()
    for piece in pieces:
      if piece is None:
        await asyncio.sleep(0.05)
        continue
      writer.write(piece)
      async with asyncio.timeout(STALL_SECONDS):
        await writer.drain()
  except (OSError, TimeoutError):
    pass
  until.count -= 1
  await until.event.wait()
  if writer is not None:
    writer.transport.abort()


class Ending:
  """`event` is set at the end; `count` connections are still sending."""

  def __init__(self, *, count):
    self.event = asyncio.Event()
    self.count = count


async def main(host, port, shape, connections, count, size, lines):
  request_line, *common = json.loads(lines)

  numbers = itertools.count()

  def make_head(*fields):
    id = f'Request-Id: {next(numbers):08x}'
    rows = (request_line, id, *common, *fields)
    return ('\r\n'.join(rows) + '\r\n\r\n').encode()

  until = Ending(count=int(connections))
  tasks = [
    asyncio.ensure_future(
      hold(
        host,
        port,
        SHAPES[shape](make_head, count=int(count), size=int(size)),
        until,
      )
    )
    for _ in range(int(connections))
  ]
  while until.count:
    await asyncio.sleep(0.02)
  print('sent', flush=True)
  with contextlib.suppress(ValueError):
    await asyncio.to_thread(sys.stdin.read)
  until.event.set()
  await asyncio.gather(*tasks)


if __name__ == '__main__':
  asyncio.run(main(*sys.argv[1:]))
