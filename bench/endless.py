"""Costs of servers that never stop to send: `./dev python bench/endless.py`.

For each shape of `fleet_soak/endless.py`, prints how long one attempt takes,
the processor time and the memory of the process that reads, and the longest
time for which its event loop did not run.  The servers are a process of their
own.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import pathlib
import resource
import sys
import time

import aiohttp

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from fleet_soak import endless

from woadrun.connection import tcp_connections
from woadrun.platform import upstream
from woadrun.request import exchange
from woadrun.version import instances

ATTEMPT_SECONDS = 3.0
HEADS = endless.Heads(
  own='HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: r\r\n',
  other='HTTP/1.1 200 OK\r\nServer-Signature: s\r\nRequest-Id: other\r\n',
)
REFUSAL = endless.Shape(
  first=b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: r\r\n'
  b'Content-Length: 99999999999\r\n\r\n',
  piece=b'x',
)


async def _serve(shape: endless.Shape, ports) -> None:
  async def answer(reader, writer):
    await reader.readuntil(b'\r\n\r\n')
    await endless.send(writer, shape)

  server = await asyncio.start_server(answer, '127.0.0.1', 0)
  ports.send(server.sockets[0].getsockname()[1])
  await server.serve_forever()


def _run_server(shape: endless.Shape, ports) -> None:
  asyncio.run(_serve(shape, ports))


async def _watch_loop(delays: list[float]) -> None:
  while True:
    began = time.perf_counter()
    await asyncio.sleep(0.005)
    delays.append(time.perf_counter() - began - 0.005)


async def _attempt(port: int) -> tuple[str, float]:
  """Returns how an attempt ended, and the longest delay of the event loop."""
  delays = [0.0]
  watch = asyncio.ensure_future(_watch_loop(delays))
  connector = tcp_connections.make_connector(limit=10, keepalive=5.0)
  async with aiohttp.ClientSession(
    connector=connector, auto_decompress=False
  ) as session:
    client = upstream.HttpUpstreams(
      session=session, addresses=tcp_connections.Addresses()
    )
    request = exchange.Request(
      id='r',
      method='POST',
      host='h',
      target='/x',
      headers=[('Request-Id', 'r')],
      body=b'',
      deadline=time.monotonic() + ATTEMPT_SECONDS,
    )
    sending = exchange.RequestAttempt(
      request=request,
      instance=instances.Instance(
        id='i', service='s', address=f'127.0.0.1:{port}', domain='north'
      ),
      body=b'',
      seconds=ATTEMPT_SECONDS,
    )
    outcome = 'not run'
    try:
      async with client.send(sending) as reply:
        if reply.has_run:
          outcome = 'complete'
          async for _ in reply.chunks:
            pass
    except (exchange.ResponseLost, exchange.RequestNotSent) as error:
      outcome = type(error).__name__
  watch.cancel()
  return outcome, max(delays)


def _measure(name: str, port: int, results) -> None:
  usage = resource.getrusage(resource.RUSAGE_SELF)
  began, cpu = time.perf_counter(), time.process_time()
  outcome, delay = asyncio.run(_attempt(port))
  peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - usage.ru_maxrss
  results.send(
    f'{name:32}{outcome:17}{time.perf_counter() - began:6.2f} s '
    f'{time.process_time() - cpu:6.2f} s {peak / 1024:6.0f} MB {delay:6.3f} s'
  )


def main() -> None:
  """Prints a row for each shape."""
  print(f'{"without end":32}{"outcome":17}  time     cpu    memory    loop')
  context = multiprocessing.get_context('spawn')
  shapes = {**endless.make_shapes(HEADS), 'the body of a refusal': REFUSAL}
  for name, shape in shapes.items():
    ports, server_end = context.Pipe(duplex=False)
    server = context.Process(target=_run_server, args=(shape, server_end))
    server.start()
    results, reader_end = context.Pipe(duplex=False)
    reader = context.Process(
      target=_measure, args=(name, ports.recv(), reader_end)
    )
    reader.start()
    print(results.recv(), flush=True)
    reader.join()
    server.kill()
    server.join()


if __name__ == '__main__':
  main()
