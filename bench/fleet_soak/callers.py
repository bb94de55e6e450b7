"""Callers: programs of turns and calls, told of the daemons by a balancer."""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

import aiohttp

from fleet_soak import daemons
from fleet_soak import outside

PROMISES = (402, 408, 421, 429, 503)
DEADLINE_SECONDS = 4.0
TRIES = 6
BUDGET, MOST = 60, 8


@dataclasses.dataclass(kw_only=True)
class Try:
  """One request as its caller saw it.

  `status` is 0 where the answer is missing or torn.  `input` is what was
  sent, `parent` the turn that it continues from, `daemon` who took it.
  """

  request: str
  path: str
  program: str
  input: bytes
  parent: str
  daemon: daemons.Daemon
  began: float
  ended: float = 0.0
  status: int = 0
  signature: str = ''
  body: bytes = b''
  tokens: int = 0


class Callers:
  """All callers; `tries` has what they saw."""

  def __init__(
    self, *, fleet: list[daemons.Daemon], seed: int, count: int
  ) -> None:
    self.fleet = fleet
    self.tries: list[Try] = []
    self.is_stopped = False
    self._ready: list[daemons.Daemon] = []
    self._chance = random.Random(f'callers/{seed}')
    self._count = count
    self._ids = 0

  async def run(self) -> None:
    """Runs programs until `is_stopped`."""
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=10)
    async with aiohttp.ClientSession(connector=connector) as session:
      balancer = asyncio.ensure_future(self._balance(session))
      try:
        await asyncio.gather(
          *(self._keep_calling(session) for _ in range(self._count))
        )
      finally:
        balancer.cancel()

  async def ask_last(self, session: aiohttp.ClientSession, found: Try) -> Try:
    """Returns a try to continue from a turn that was answered whole."""
    await self._look(session)
    return await self._try(
      session,
      path=f'{outside.CHAT}x',
      program=f'after-{found.request}',
      input=b'<after>',
      parent=found.request,
    )

  async def _balance(self, session: aiohttp.ClientSession) -> None:
    while True:
      await self._look(session)
      await asyncio.sleep(0.5)

  async def _look(self, session: aiohttp.ClientSession) -> None:
    found = await asyncio.gather(*(d.is_ready(session) for d in self.fleet))
    ready = [d for d, is_in in zip(self.fleet, found, strict=True) if is_in]
    self._ready = ready or list(self.fleet)

  async def _keep_calling(self, session: aiohttp.ClientSession) -> None:
    while not self.is_stopped:
      await self._run_program(session)

  async def _run_program(self, session: aiohttp.ClientSession) -> None:
    program = self._make_id()
    parent = ''
    for _ in range(self._chance.randint(2, 12)):
      if self.is_stopped:
        return
      turn = await self._insist(
        session, f'{outside.CHAT}x', program, f'<{program}>'.encode(), parent
      )
      if turn is None:
        return
      parent = turn.request
      path = self._chance.choice((outside.ACT, outside.LOOK))
      await self._insist(session, f'{path}x', program, b'do', '')
      await asyncio.sleep(self._chance.uniform(0.02, 0.2))

  async def _insist(
    self,
    session: aiohttp.ClientSession,
    path: str,
    program: str,
    input: bytes,
    parent: str,
  ) -> Try | None:
    """Returns the try that was answered whole, if any was."""
    for _ in range(TRIES):
      found = await self._try(
        session, path=path, program=program, input=input, parent=parent
      )
      if found.status == 200:
        return found
      may_repeat = not path.startswith(outside.ACT)
      if found.status in (402, 404) or not (
        may_repeat or found.status in PROMISES
      ):
        return None
      await asyncio.sleep(self._chance.uniform(0.1, 0.4))
    return None

  async def _try(
    self,
    session: aiohttp.ClientSession,
    *,
    path: str,
    program: str,
    input: bytes,
    parent: str,
  ) -> Try:
    daemon = self._chance.choice(self._ready or self.fleet)
    made = Try(
      request=self._make_id(),
      path=path,
      program=program,
      input=input,
      parent=parent,
      daemon=daemon,
      began=time.monotonic(),
    )
    self.tries.append(made)
    try:
      async with session.request(
        'GET' if path.startswith(outside.LOOK) else 'POST',
        f'http://{daemon.host}:{daemons.FRONT_PORT}{path}',
        data=input if not path.startswith(outside.LOOK) else None,
        headers=_get_headers(made),
        timeout=aiohttp.ClientTimeout(total=DEADLINE_SECONDS + 0.5),
      ) as response:
        async for chunk in response.content.iter_any():
          made.body += chunk
          made.tokens = made.body.count(b'data:')
        made.status = response.status
        made.signature = response.headers.get('Server-Signature', '')
    except (TimeoutError, aiohttp.ClientError, OSError):
      made.status = 0
    made.ended = time.monotonic()
    return made

  def _make_id(self) -> str:
    self._ids += 1
    return f'{self._ids:016x}'


def _get_headers(made: Try) -> dict[str, str]:
  headers = {
    'Host': 'soak',
    'Request-Id': made.request,
    'Program-Id': made.program,
    'Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
  }
  if made.path.startswith(outside.CHAT):
    headers['Token-Usage'] = f'100,{MOST}'
    headers['Token-Budget'] = str(BUDGET)
    headers['Session-Id'] = made.program
  if made.parent:
    headers['Previous-Turn'] = made.parent
  return headers
