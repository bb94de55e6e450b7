"""A loopback proxy that delays, resets and blocks connections."""

from __future__ import annotations

import asyncio

from fleet_soak import sockets


class Proxy:
  """Forwards connections and their resets to an address, with faults.

  Each chunk is delayed by `delay` seconds.  `drops_requests` drops the data of
  clients, `drops_responses` the data of the server.  Connections stay open
  meanwhile, and one that lost data forwards nothing more in that direction.
  """

  def __init__(self, *, target: tuple[str, int]) -> None:
    self.target = target
    self.delay = 0.0
    self.drops_requests = False
    self.drops_responses = False
    self._server: asyncio.Server | None = None
    self._writers: set[asyncio.StreamWriter] = set()
    self._tasks: set[asyncio.Task[None]] = set()
    self.address = ''

  async def start(self, host: str, port: int = 0) -> str:
    """Starts to listen, by default at any port, and returns the address."""
    self._server = await asyncio.start_server(self._serve, host, port)
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

  def go_silent(self, *, is_listening: bool = False) -> None:
    """Forwards nothing on the open connections, and closes the listener.

    If it goes on listening, connections open and get no answer.
    """
    if self._server is not None and not is_listening:
      self._server.close()
    self.drops_requests = self.drops_responses = True

  def reset(self) -> None:
    """Resets all open connections."""
    for writer in list(self._writers):
      sockets.reset(writer)

  def close_connections(self) -> None:
    """Closes all open connections at once, mostly in an orderly way."""
    for writer in list(self._writers):
      writer.transport.abort()

  def heal(self) -> None:
    """Ends all faults; aborts all connections if any may have lost data."""
    was_dropping = self.drops_requests or self.drops_responses
    self.delay, self.drops_requests, self.drops_responses = 0.0, False, False
    if was_dropping:
      self.reset()

  async def _serve(
    self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
  ) -> None:
    task = asyncio.current_task()
    self._tasks.add(task)
    task.add_done_callback(self._tasks.discard)
    self._writers.add(writer)
    try:
      target_reader, target_writer = await asyncio.open_connection(*self.target)
    except OSError:
      writer.transport.abort()
      self._writers.discard(writer)
      return
    self._writers.add(target_writer)
    try:
      await asyncio.gather(
        self._forward(reader, target_writer, lambda: self.drops_requests),
        self._forward(target_reader, writer, lambda: self.drops_responses),
      )
    except asyncio.CancelledError:
      # The proxy is stopping; asyncio would log the cancellation as an error.
      return
    except OSError:
      for end in (writer, target_writer):
        sockets.reset(end)
    finally:
      for end in (writer, target_writer):
        self._writers.discard(end)
        end.transport.abort()

  async def _forward(self, reader, writer, is_dropping) -> None:
    while data := await reader.read(65536):
      if self.delay:
        await asyncio.sleep(self.delay)
      if is_dropping():
        # Forwards nothing more, since the stream has a gap.
        await asyncio.Event().wait()
      writer.write(data)
      await writer.drain()
    writer.write_eof()
