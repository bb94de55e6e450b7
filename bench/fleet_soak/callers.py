"""Callers: programs of turns and calls, balanced over the ready daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

import aiohttp

from fleet_soak import daemons
from fleet_soak import http_client
from fleet_soak import outside

NOT_RUN_STATUSES = (402, 408, 421, 429, 503)
# For a turn that has run, these would state that it does not exist.
TURN_NOT_RUN_STATUSES = (*NOT_RUN_STATUSES, 404, 410)
REQUEST_TIMEOUT_SECONDS = 4.0
MAX_ATTEMPTS = 6
BUDGET, MAX_TOKENS = 60, 8
# Tries of a request that ends its instances, the range of the pauses between
# them, and the share of them that are sent beside the next one.
FATAL_TRIES = 14
FATAL_PAUSE_SECONDS = (0.02, 0.5)
FATAL_OVERLAP_SHARE = 0.1
# Range of the time after which the caller of such a request gives up.
FATAL_TRY_SECONDS = (0.3, 2.0)
# Share of requests in HTTP/1.0, whose responses have no chunks.
OLD_HTTP_SHARE = 0.1
# Share of requests of which a part is sent later, and the range of that time.
SPLIT_SHARE = 0.25
SPLIT_SECONDS = (0.02, 1.0)
# Shares of requests that go to daemons which need not be ready: over an open
# connection, and over any.
OPEN_CONNECTION_SHARE = 0.3
ANY_DAEMON_SHARE = 0.1


@dataclasses.dataclass(kw_only=True)
class Attempt:
  """An attempt of a request, as its caller saw it.

  `status` is 0 if the answer is missing or incomplete, `error` the code of a
  refusal.  `is_framed` tells that the answer states where it ends.  `input` is
  the body that was sent, `parent` the turn that the request continues, `daemon`
  the daemon to which the request was sent.  `begun` and `sent` are the times at
  which the first and the last byte of the request were sent, 0 if they were
  not.  `has_left` tells that the caller gave up before its deadline, while its
  connection was open, `is_burst` that its answer is not read or not compared.
  `is_stored` tells whether the store had the turn as its answer had ended.
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
  error: str = ''
  signature: str = ''
  is_framed: bool = False
  body: bytes = b''
  tokens: int = 0
  begun: float = 0.0
  sent: float = 0.0
  has_left: bool = False
  is_burst: bool = False
  is_stored: bool = True


class Callers:
  """All callers; `attempts` has the requests that they sent.

  `has_turn` tells whether the store has the turn of a request.
  """

  def __init__(
    self,
    *,
    fleet: list[daemons.Daemon],
    seed: int,
    count: int,
    has_turn: Callable[[str], bool],
  ) -> None:
    self._has_turn = has_turn
    self.fleet = fleet
    self.attempts: list[Attempt] = []
    self.is_stopped = False
    self._ready: list[daemons.Daemon] = []
    self._rng = random.Random(f'callers/{seed}')
    self._count = count
    self._ids = 0
    self._client = http_client.Client()

  async def run(self) -> None:
    """Runs programs until `is_stopped` is set."""
    async with aiohttp.ClientSession() as session:
      poller = asyncio.ensure_future(self._poll_readiness(session))
      try:
        await asyncio.gather(
          *(self._run_programs() for _ in range(self._count)),
          self._send_fatal_requests(),
        )
      finally:
        poller.cancel()

  def close(self) -> None:
    """Closes the callers' connections."""
    self._client.close()

  async def continue_turn(
    self, attempt: Attempt, *, session: aiohttp.ClientSession | None = None
  ) -> Attempt:
    """Sends a turn that continues a complete one, and returns the attempt.

    With a `session` all daemons are asked first whether they are ready.
    """
    if session is not None:
      await self._update_ready_daemons(session)
    return await self._send(
      path=f'{outside.CHAT}x',
      program=f'after-{attempt.request}',
      input=b'<after>',
      parent=attempt.request,
    )

  async def _poll_readiness(self, session: aiohttp.ClientSession) -> None:
    while True:
      await self._update_ready_daemons(session)
      await asyncio.sleep(0.5)

  async def _update_ready_daemons(self, session: aiohttp.ClientSession) -> None:
    found = await asyncio.gather(*(d.is_ready(session) for d in self.fleet))
    ready = [
      d for d, is_ready in zip(self.fleet, found, strict=True) if is_ready
    ]
    self._ready = ready or list(self.fleet)

  async def _run_programs(self) -> None:
    while not self.is_stopped:
      await self._run_program()

  async def _run_program(self) -> None:
    program = self._make_id()
    # Every other program uses the route whose programs may be refused.
    prefix = outside.CHAT if int(program, 16) % 2 else outside.CHAT_ONCE
    parent = ''
    for _ in range(self._rng.randint(2, 12)):
      if self.is_stopped:
        return
      turn = await self._send_with_retries(
        f'{prefix}x', program, f'<{program}>'.encode(), parent
      )
      if turn is None:
        return
      parent = turn.request
      path = self._rng.choice((outside.ACT, outside.LOOK))
      await self._send_with_retries(f'{path}x', program, b'do', '')
      await asyncio.sleep(self._rng.uniform(0.02, 0.2))

  async def _send_fatal_requests(self) -> None:
    """Sends one request after the other that ends its instances."""
    number = 0
    while not self.is_stopped:
      number += 1
      prefix = self._rng.choice((outside.CHAT, outside.ACT, outside.LOOK))
      end = outside.ENDS[number % len(outside.ENDS)]
      path = f'{prefix}{outside.FATAL}-{end}-{number}'
      program = self._make_id()
      beside = []
      for _ in range(FATAL_TRIES):
        if self.is_stopped:
          break
        sent = asyncio.ensure_future(
          self._send(
            path=path,
            program=program,
            input=b'fatal',
            parent='',
            seconds=self._rng.uniform(*FATAL_TRY_SECONDS),
          )
        )
        beside.append(sent)
        if self._rng.random() >= FATAL_OVERLAP_SHARE:
          await sent
        await asyncio.sleep(self._rng.uniform(*FATAL_PAUSE_SECONDS))
      await asyncio.gather(*beside)

  async def _send_with_retries(
    self,
    path: str,
    program: str,
    input: bytes,
    parent: str,
  ) -> Attempt | None:
    """Retries a request; returns the attempt that succeeded, or None."""
    for _ in range(MAX_ATTEMPTS):
      attempt = await self._send(
        path=path, program=program, input=input, parent=parent
      )
      if attempt.status == 200:
        return attempt
      is_repeatable = not path.startswith(outside.ACT)
      if attempt.status in (402, 404) or not (
        is_repeatable or attempt.status in NOT_RUN_STATUSES
      ):
        return None
      await asyncio.sleep(self._rng.uniform(0.1, 0.4))
    return None

  async def _send(
    self,
    *,
    path: str,
    program: str,
    input: bytes,
    parent: str,
    seconds: float = REQUEST_TIMEOUT_SECONDS + 0.5,
  ) -> Attempt:
    daemon = self._choose_daemon()
    attempt = self.add_attempt(
      daemon, path=path, program=program, input=input, parent=parent
    )
    is_look = path.startswith(outside.LOOK)
    response = http_client.Response()
    split, pause = self._draw_split()
    try:
      async with asyncio.timeout(seconds + pause) as scope:
        await self._client.send(
          (daemon.host, daemons.FRONT_PORT),
          response,
          method='GET' if is_look else 'POST',
          path=path,
          headers=get_headers(attempt),
          body=b'' if is_look else input,
          version=self._draw_version(),
          split=split,
          pause=pause,
        )
      attempt.status = response.status
    except TimeoutError:
      # A connection that the daemon closes before raises another error.
      attempt.has_left = scope.expired() and seconds < REQUEST_TIMEOUT_SECONDS
    except OSError:
      attempt.status = 0
    attempt.begun, attempt.sent = response.begun_at, response.sent_at
    headers = response.header_by_name
    attempt.error = headers.get('woadrun-error', '')
    attempt.signature = headers.get('server-signature', '')
    attempt.is_framed = response.is_framed
    attempt.body = response.body
    attempt.tokens = attempt.body.count(b'data:')
    attempt.ended = time.monotonic()
    attempt.is_stored = self._has_turn(attempt.request)
    return attempt

  def add_attempt(
    self,
    daemon: daemons.Daemon,
    *,
    path: str,
    input: bytes,
    program: str = '',
    parent: str = '',
  ) -> Attempt:
    """Records and returns an attempt that begins, by default of no program."""
    attempt = Attempt(
      request=self._make_id(),
      path=path,
      program=program or self._make_id(),
      input=input,
      parent=parent,
      daemon=daemon,
      began=time.monotonic(),
    )
    self.attempts.append(attempt)
    return attempt

  def _choose_daemon(self) -> daemons.Daemon:
    draw = self._rng.random()
    if draw < ANY_DAEMON_SHARE:
      return self._rng.choice(self.fleet)
    if draw < ANY_DAEMON_SHARE + OPEN_CONNECTION_SHARE:
      connected = [
        daemon
        for daemon in self.fleet
        if self._client.has_idle((daemon.host, daemons.FRONT_PORT))
      ]
      if connected:
        return self._rng.choice(connected)
    return self._rng.choice(self._ready or self.fleet)

  def _draw_split(self) -> tuple[http_client.Split, float]:
    if self._rng.random() >= SPLIT_SHARE:
      return http_client.Split.NONE, 0.0
    split = self._rng.choice((http_client.Split.HEAD, http_client.Split.BODY))
    return split, self._rng.uniform(*SPLIT_SECONDS)

  def _draw_version(self) -> str:
    is_old = self._rng.random() < OLD_HTTP_SHARE
    return 'HTTP/1.0' if is_old else 'HTTP/1.1'

  def _make_id(self) -> str:
    self._ids += 1
    return f'{self._ids:016x}'


def get_headers(attempt: Attempt) -> dict[str, str]:
  """Returns the headers of a request, without its length."""
  headers = {
    'Host': 'soak',
    'Request-Id': attempt.request,
    'Program-Id': attempt.program,
    'Deadline-Ms': str(int(REQUEST_TIMEOUT_SECONDS * 1000)),
  }
  if attempt.path.startswith(outside.CHAT):
    headers['Token-Usage'] = f'100,{MAX_TOKENS}'
    headers['Token-Budget'] = str(BUDGET)
    headers['Session-Id'] = attempt.program
  if attempt.parent:
    headers['Previous-Turn'] = attempt.parent
  return headers
