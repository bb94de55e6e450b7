"""A client: sends requests on kept connections and reads whole answers."""

from __future__ import annotations

import asyncio
import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
  """An answer as the client sees it; status 0 means that none came whole."""

  status: int
  headers: dict[str, str] = dataclasses.field(default_factory=dict)
  body: bytes = b''


class Client:
  """Keeps one connection to one daemon, as long as it stays open."""

  def __init__(self, address: tuple[str, int]) -> None:
    self.address = address
    self._reader: asyncio.StreamReader | None = None
    self._writer: asyncio.StreamWriter | None = None

  def close(self) -> None:
    """Closes the connection."""
    if self._writer is not None:
      self._writer.close()
    self._reader = self._writer = None

  async def send(
    self,
    method: str,
    path: str,
    *,
    headers: dict[str, str],
    body: bytes = b'',
    seconds: float,
  ) -> Answer:
    """Sends a request and returns its answer within `seconds`."""
    try:
      async with asyncio.timeout(seconds):
        return await self._send(method, path, headers, body)
    except (TimeoutError, OSError, EOFError):
      self.close()
      return Answer(status=0)

  async def _send(
    self, method: str, path: str, headers: dict[str, str], body: bytes
  ) -> Answer:
    if self._writer is None or self._reader.at_eof():
      self.close()
      self._reader, self._writer = await asyncio.open_connection(*self.address)
    fields = {'Content-Length': str(len(body)), **headers}
    head = ''.join(f'{name}: {value}\r\n' for name, value in fields.items())
    self._writer.write(
      f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode() + body
    )
    await self._writer.drain()
    answer = await _read_answer(self._reader)
    is_framed = {'content-length', 'transfer-encoding'} & answer.headers.keys()
    closes = answer.headers.get('connection', '').lower() == 'close'
    if closes or not is_framed:
      self.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
  head = (await reader.readuntil(b'\r\n\r\n')).decode()
  status_line, *lines = head.split('\r\n')[:-2]
  fields = (line.partition(':') for line in lines)
  headers = {name.lower(): value.strip() for name, _, value in fields}
  body = b''
  if 'chunked' in headers.get('transfer-encoding', ''):
    while size := int(await reader.readuntil(b'\r\n'), 16):
      body += await reader.readexactly(size)
      await reader.readexactly(2)
    await reader.readuntil(b'\r\n')
  elif 'content-length' in headers:
    body = await reader.readexactly(int(headers['content-length']))
  else:
    body = await reader.read()
  return Answer(status=int(status_line.split()[1]), headers=headers, body=body)
