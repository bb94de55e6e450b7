"""Resets of TCP connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

# With a linger time of 0, closing the socket resets the connection.
_NO_LINGER = struct.pack('ii', 1, 0)


def reset(writer: asyncio.StreamWriter) -> None:
  """Ends a connection with a reset, which discards unsent bytes."""
  if writer.transport.is_closing():
    return
  with contextlib.suppress(OSError):
    writer.get_extra_info('socket').setsockopt(
      socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
    )
  writer.transport.abort()
