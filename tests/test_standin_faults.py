"""Stand-ins send answers with the faults of their framing and their end."""

import asyncio
import re

import aiohttp
import pytest

from woadrun.request import events
from woadrun.standins import engine
from woadrun.standins import platform
from woadrun.standins import service

BODY = b'{"messages": [{"role": "user", "content": "one two"}], "stream": true}'

_CHUNK_LINES = re.compile(rb'(?:^|\r\n)[0-9a-f]+\r\n')


async def call(standin, path):
  """Returns the head and data of an answer, and whether a reset ended it."""
  host, _, port = standin.url.removeprefix('http://').partition(':')
  reader, writer = await asyncio.open_connection(host, int(port))
  writer.write(
    b'POST %b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nConnection: close\r\n'
    b'Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b'
    % (path, len(BODY), BODY)
  )
  received, is_reset = b'', False
  async with asyncio.timeout(10):
    try:
      while data := await reader.read(65536):
        received += data
    except ConnectionError:
      is_reset = True
  writer.close()
  head, _, body = received.partition(b'\r\n\r\n')
  return head.lower(), _CHUNK_LINES.sub(b'', body), is_reset


STANDINS = pytest.mark.parametrize(
  ('make', 'path'),
  [
    (engine.Engine, b'/v1/chat/completions'),
    (service.Service, b'/actions/a'),
  ],
)


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('is_unframed', [False, True])
@STANDINS
async def test_an_answer_is_truncated(make, path, is_unframed, is_reset):
  standin = make()
  await standin.start()
  try:
    standin.faults.unframed = is_unframed
    _, whole, _ = await call(standin, path)
    standin.faults.truncate, standin.faults.reset = 1, is_reset
    head, part, was_reset = await call(standin, path)
    again = await call(standin, path)
  finally:
    await standin.stop()
  assert was_reset is is_reset
  assert 0 < len(part) < len(whole) - 5
  assert is_unframed is not (b'-length' in head or b'chunked' in head)
  assert len(again[1].rstrip()) == len(whole.rstrip())
  assert not again[2]


async def test_an_answer_keeps_its_headers_without_framing():
  standin = platform.Platform()
  await standin.start()
  url = f'{standin.url}/tables/t/rows/k'
  found = []
  try:
    async with aiohttp.ClientSession() as session:
      await session.put(url, data=b'v', headers={'If-None-Match': '*'})
      for is_unframed in (False, True):
        standin.faults.unframed = is_unframed
        async with session.get(url) as response:
          found.append((await response.read(), response.headers))
  finally:
    await standin.stop()
  for body, headers in found:
    assert (body, headers['ETag']) == (b'v', '"1"')
  assert ['Content-Length' in headers for _, headers in found] == [True, False]


async def test_a_truncated_stream_ends_inside_an_event():
  standin = engine.Engine()
  await standin.start()
  try:
    standin.faults.unframed, standin.faults.truncate = True, 1
    _, body, _ = await call(standin, b'/v1/chat/completions')
  finally:
    await standin.stop()
  reader = events.EventReader()
  reader.feed(body)
  assert reader.count > 0
  assert reader.is_inside_event
