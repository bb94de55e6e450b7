"""Callers outside of any control cannot make a process exceed its machine.

Each crowd is fixed by its shape, the number of its connections, what each sends
and the size of that.  What must hold does not depend on the speed of the
machine: the process lives, its memory and its descriptors stay within what it
is told, and an ordinary request is answered.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import sys

import aiohttp
import fleet as fleets
from fleet_soak import daemons
import memory_bound
import pytest
import real_site

from woadrun.connection import client
from woadrun.standins import local

CLIENTS = pathlib.Path(__file__).parent / 'untrusted_clients.py'
# What the processes are told of their machines.
MEMORY_MB = 64.0
OWN_MEMORY_MB = 72.0
MAX_DESCRIPTORS = 4_100
FEW_DESCRIPTORS = 400
# Time for which a crowd stays after it has sent.
HOLD_SECONDS = 2.0
# An ordinary request that is refused returns when it is told.
CALL_SECONDS = 60.0

CROWD_BY_NAME = {
  'large-bodies': ('sized', 1_000, 1, 4_000_000),
  'bodies-in-pieces': ('slow', 600, 40, 4_000_000),
  'small-bodies': ('sized', 1_000, 1, 64_000),
  'large-chunks': ('chunked', 600, 60, 65_000),
  'small-chunks': ('chunked', 300, 20_000, 16),
  'requests-ahead': ('ahead', 400, 1_000, 0),
  'large-heads-ahead': ('padded', 60, 100, 12_000),
  'half-heads': ('half-heads', 1_500, 1, 8_000),
}
OWN_CROWD_BY_NAME = {
  'large-bodies': ('sized', 1_000, 1, 3_900_000),
  'bodies-in-pieces': ('slow', 600, 40, 3_900_000),
  'small-chunks': ('chunked', 300, 20_000, 16),
  'large-heads-ahead': ('padded', 100, 100, 8_000),
  'half-heads': ('half-heads', 1_500, 1, 8_000),
}
IDLE_CROWD = ('nothing', 600, 1, 1)


@contextlib.asynccontextmanager
async def crowd(host, port, lines, shape):
  """A crowd that has sent what it can, and keeps its connections."""
  process = await asyncio.create_subprocess_exec(
    sys.executable,
    str(CLIENTS),
    host,
    str(port),
    *map(str, shape),
    json.dumps(lines),
    stdin=asyncio.subprocess.PIPE,
    stdout=asyncio.subprocess.PIPE,
  )
  try:
    assert await process.stdout.readline() == b'sent\n'
    await asyncio.sleep(HOLD_SECONDS)
    yield
  finally:
    process.stdin.close()
    await process.wait()


def check_process(pid, memory_mb, descriptors):
  """Checks what a process has used of its machine."""
  peak = memory_bound.read_memory_mb(pid, 'VmHWM')
  count = len(os.listdir(f'/proc/{pid}/fd'))
  print(f'peak {peak:.1f} MB, {count} descriptors')
  assert peak <= memory_mb
  assert count <= descriptors


async def check_platform(folder, shape, kind, descriptors=MAX_DESCRIPTORS):
  site = real_site.Site(folder, memory_mb=MEMORY_MB, count=1)
  for daemon in site.daemons:
    daemon.max_fds = descriptors
  async with site:
    daemon = site.daemons[0]
    assert (await site.send(daemon, 'act', 0.0)).status == 200
    lines = [f'POST /{kind} HTTP/1.1', 'Host: site', 'Deadline-Ms: 60000']
    port = daemons.FRONT_PORT
    async with crowd(daemon.host, port, lines, shape):
      async with asyncio.timeout(CALL_SECONDS):
        while (await site.send(daemon, 'act', 0.0)).status != 200:
          await asyncio.sleep(0.5)
      assert daemon.process.poll() is None
      check_process(daemon.process.pid, MEMORY_MB, descriptors)


@pytest.mark.parametrize('name', CROWD_BY_NAME)
async def test_crowd_stays_within_the_memory_of_a_daemon(tmp_path, name):
  kind = 'act/60' if name.endswith('ahead') else 'act/0'
  await check_platform(tmp_path, CROWD_BY_NAME[name], kind)


async def test_idle_connections_stay_within_the_descriptors(tmp_path):
  await check_platform(tmp_path, IDLE_CROWD, 'act/0', FEW_DESCRIPTORS)


@pytest.mark.parametrize('name', OWN_CROWD_BY_NAME)
async def test_crowd_stays_within_the_memory_of_the_own_interface(
  tmp_path, name
):
  await check_own_interface(tmp_path, OWN_CROWD_BY_NAME[name])


async def test_idle_connections_stay_within_the_descriptors_of_own_interface(
  tmp_path,
):
  with limit_descriptors(FEW_DESCRIPTORS) as restore:
    await check_own_interface(tmp_path, IDLE_CROWD, FEW_DESCRIPTORS, restore)


@contextlib.contextmanager
def limit_descriptors(count):
  """Limits new processes; yields a function that ends the limit."""
  soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

  def restore():
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

  resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))
  try:
    yield restore
  finally:
    restore()


@contextlib.asynccontextmanager
async def make_caller(node):
  """A caller that opens a connection for each request."""
  connector = aiohttp.TCPConnector(force_close=True)
  async with aiohttp.ClientSession(connector=connector) as session:
    yield client.Client(
      session=session,
      addresses=[node.listen],
      token=local.CALLER_TOKEN,
      patience=CALL_SECONDS,
    )


async def check_own_interface(
  folder, shape, descriptors=MAX_DESCRIPTORS, on_start=lambda: None
):
  limits = {'memory_mb': OWN_MEMORY_MB}
  async with contextlib.AsyncExitStack() as stack:
    fleet = await stack.enter_async_context(
      fleets.make_fleet(folder, 'n', {'limits': limits})
    )
    on_start()
    node = fleet.nodes[0]
    caller = await stack.enter_async_context(make_caller(node))
    program = (await caller.start('riders', 50_000))['id']
    await caller.act(program, 'service-0/charge', {})
    host, port = node.listen.split(':')
    lines = [
      'POST /v1/chat/completions HTTP/1.1',
      'Host: site',
      f'Authorization: Bearer {local.CALLER_TOKEN}',
    ]
    async with crowd(host, port, lines, shape):
      await caller.act(program, 'service-0/charge', {})
      assert node.process.returncode is None
      check_process(node.process.pid, OWN_MEMORY_MB, descriptors)
