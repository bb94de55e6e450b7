"""A loopback proxy that delays, resets, cuts and silences connections."""

from __future__ import annotations

import asyncio
import contextlib


class Proxy:
  """Passes connections on to one address, with faults.

  `delay` holds each piece up, in seconds.  `is_deaf` drops what clients
  send, `is_mute` what the server answers; connections stay open meanwhile,
  and those that lost bytes stay silent for good.
  """

  def __init__(self, *, target: tuple[str, int]) -> None:
    self.target = target
    self.delay = 0.0
    self.is_deaf = False
    self.is_mute = False
    self._server: asyncio.Server | None = None
    self._writers: set[asyncio.StreamWriter] = set()
    self._tasks: set[asyncio.Task[None]] = set()
    self.address = ''

  async def start(self, host: str) -> str:
    """Returns the address once the proxy listens."""
    self._server = await asyncio.start_server(self._serve, host, 0)
    port = self._server.sockets[0].getsockname()[1]
    self.address = f'{host}:{port}'
    return self.address

  async def stop(self) -> None:
    """Closes the listener and all connections."""
    if self._server is not None:
      self._server.close()
    for task in list(self._tasks):
      task.cancel()
    self.reset()

  def reset(self) -> None:
    """Breaks all open connections off."""
    for writer in list(self._writers):
      writer.transport.abort()

  def heal(self) -> None:
    """Ends all faults; connections that lost bytes are broken off."""
    was_silent = self.is_deaf or self.is_mute
    self.delay, self.is_deaf, self.is_mute = 0.0, False, False
    if was_silent:
      self.reset()

  async def _serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    task = asyncio.current_task()
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)
    self._writers.add(writer)
    try:
      far_reader, far = await asyncio.open_connection(*self.target)
    except OSError:
      writer.transport.abort()
      self._writers.discard(writer)
      return
    self._writers.add(far)
    try:
      await asyncio.gather(
        self._pass(reader, far, lambda: self.is_deaf),
        self._pass(far_reader, writer, lambda: self.is_mute),
      )
    except asyncio.CancelledError:
      # The run is over; the server would report it as a failure.
      return
    finally:
      for end in (writer, far):
        self._writers.discard(end)
        end.transport.abort()

  async def _pass(self, reader, writer, is_dropped) -> None:
    with contextlib.suppress(OSError):
      while data := await reader.read(65536):
        if self.delay:
          await asyncio.sleep(self.delay)
        if is_dropped():
          # A connection that lost bytes says nothing more.
          await asyncio.Event().wait()
        writer.write(data)
        await writer.drain()
      writer.write_eof()
