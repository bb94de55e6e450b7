"""Forwards requests from any daemon to the owner of their program's slot.

A request is retried under the same id until the slot's owner answers or the
timeout is reached.  Retries are safe because the owner records each request by
its id.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import logging
import math
import time
from typing import Any
from typing import TypeVar

import aiohttp
import mode
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.connection import bodies
from woadrun.connection import peers
from woadrun.connection import response_ends
from woadrun.process import membership
from woadrun.request import calls
from woadrun.request import owner
from woadrun.version import program

log = logging.getLogger('woadrun.gateway')

RETRY_DELAY_SECONDS = 0.05
# Minimum interval between two lookups of the owner of one slot.
LOOKUP_INTERVAL_SECONDS = 0.25
CONNECT_TIMEOUT_SECONDS = 0.5
# A program that cannot be started in one failure domain within this time is
# started in another one.
START_TIMEOUT_SECONDS = 3.0
STREAM_HEADER = 'Woadrun-Stream'

T = TypeVar('T')


@dataclasses.dataclass(frozen=True, kw_only=True)
class OpenedResponse:
  """A response whose headers have arrived and whose body is still unread."""

  status: int
  content_type: str
  chunks: AsyncGenerator[bytes, None]
  close: Callable[[], None]


@dataclasses.dataclass(eq=False, kw_only=True)
class _RemoteCall:
  """A call to another daemon whose response is awaited or being read.

  `close` cancels the call.
  """

  domain: str
  slot: int
  address: str
  close: Callable[[], object]


class Forwarder(mode.Service):
  """Forwards requests to the owners of their programs."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    messenger: peers.Peers,
    local: owner.ProgramOwner,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._peers = messenger
    self._local_owner = local
    self._remote_calls: set[_RemoteCall] = set()
    self._last_lookup_at: dict[tuple[str, int], float] = {}
    self.retries = 0

  # --- Requests -------------------------------------------------------------

  async def open_call(
    self, call: calls.Call, *, is_stream: bool
  ) -> OpenedResponse:
    """Returns the response of a call from the owner of its program."""

    async def local() -> OpenedResponse:
      answer = await self._local_owner.call(call, is_stream=is_stream)
      await answer.wait_for_head()
      return OpenedResponse(
        status=answer.status,
        content_type=answer.content_type,
        chunks=answer.read(),
        close=lambda: None,
      )

    async def remote(address: str) -> OpenedResponse:
      return await self._open_remote(address, call, is_stream=is_stream)

    return await self._call_owner(call.program, local, remote)

  async def start_program(self, start: calls.StartProgram) -> program.Program:
    """Returns a program after its owner has started it."""

    async def local() -> program.Program:
      return await self._local_owner.start_program(start)

    async def remote(address: str) -> program.Program:
      return await self._post(
        address, 'start', start, program.Program, timeout=START_TIMEOUT_SECONDS
      )

    return await self._call_owner(
      start.program, local, remote, timeout=START_TIMEOUT_SECONDS
    )

  async def control_program(
    self, steer: calls.ProgramCommand
  ) -> program.Program:
    """Returns a program after its owner has read, ended or cancelled it."""

    async def local() -> program.Program:
      return await control_program_locally(self._local_owner, steer)

    async def remote(address: str) -> program.Program:
      return await self._post(address, 'steer', steer, program.Program)

    return await self._call_owner(steer.program, local, remote)

  # --- Finding the owner ----------------------------------------------------

  async def wait_for_other_owner(
    self, program_id: str, *, timeout: float
  ) -> bool:
    """Returns whether another daemon owns a program, after a handover to it.

    Waits for `timeout` seconds, and not if no other daemon can take over.
    """
    domain, slot = calls.split_program_id(program_id)
    members = self._members
    deadline = time.monotonic() + timeout
    while members.directory.get_owner(domain, slot) == members.address:
      unfit = members.get_unfit() | {members.address}
      has_successor = not unfit.issuperset(members.roster.incarnations)
      if not has_successor or time.monotonic() >= deadline:
        return False
      await asyncio.sleep(RETRY_DELAY_SECONDS)
    return True

  async def _call_owner(
    self,
    program_id: str,
    local: Callable[[], Awaitable[T]],
    remote: Callable[[str], Awaitable[T]],
    *,
    timeout: float = math.inf,
  ) -> T:
    domain, slot = calls.split_program_id(program_id)
    timeout = min(timeout, self._config.timing.hold)
    deadline = time.monotonic() + timeout
    ran = errors.RunStatus.NOT_RUN
    while True:
      address = await self._find_owner(domain, slot)
      try:
        if address == self._members.address:
          return await local()
        if address:
          return await remote(address)
      except errors.WoadrunError as error:
        if not _is_retriable(error):
          if ran is not errors.RunStatus.NOT_RUN:
            raise errors.make_uncertain(error) from error
          raise
        if error.ran is not errors.RunStatus.NOT_RUN:
          ran = error.ran
        if error.code is errors.Code.OWNER_UNAVAILABLE:
          self._members.mark_domain_unreachable(domain)
      if time.monotonic() > deadline:
        raise errors.WoadrunError(
          errors.Code.OWNER_UNAVAILABLE,
          'The owner of the program could not be reached.',
          ran=ran,
          retry_after=self._config.timing.silent_after,
        )
      self.retries += 1
      await asyncio.sleep(RETRY_DELAY_SECONDS)
      await self._refresh_owner(domain, slot, address)

  async def _find_owner(self, domain: str, slot: int) -> str:
    if domain not in self._config.daemon.region_domains:
      raise errors.WoadrunError(
        errors.Code.UNKNOWN_PROGRAM,
        f'The failure domain {domain} does not exist.',
      )
    if slot >= self._config.daemon.slots:
      raise errors.WoadrunError(
        errors.Code.UNKNOWN_PROGRAM, f'The slot {slot} does not exist.'
      )
    if not self._members.directory.get_owner(domain, slot):
      await self._refresh_owner(domain, slot, '')
    return self._members.directory.get_owner(domain, slot)

  async def _refresh_owner(
    self, domain: str, slot: int, failed_address: str
  ) -> None:
    """Fetches the roster that names the owner of a slot from another daemon.

    Concurrent callers share one lookup of the slot.  Within this daemon's own
    domain no lookup is needed while the platform table is available, because
    roster changes then arrive by themselves.  During an outage of the table
    only the owner and the standby of the slot are certain to know its owner.
    """
    is_own_domain = domain == self._members.domain
    now = time.monotonic()
    if is_own_domain and self._members.is_platform_up():
      return
    if (
      now - self._last_lookup_at.get((domain, slot), 0.0)
      < LOOKUP_INTERVAL_SECONDS
    ):
      return
    self._last_lookup_at[domain, slot] = now
    pair = self._members.directory.get_replicas(domain, slot)
    others = (
      [] if is_own_domain else self._members.directory.get_addresses(domain)[:2]
    )
    for address in dict.fromkeys([*pair, *others]):
      if address in (failed_address, self._members.address):
        continue
      with contextlib.suppress(errors.WoadrunError):
        await self._members.fetch_roster(domain, address)
        return

  # --- Other daemons --------------------------------------------------------

  async def _post(
    self,
    address: str,
    path: str,
    message: Any,
    type: type[T],
    *,
    timeout: float = math.inf,
  ) -> T:
    timeout = min(timeout, self._config.timing.hold)
    return await self._peers.post(
      address, path, message, type=type, timeout=timeout
    )

  async def _open_remote(
    self, address: str, call: calls.Call, *, is_stream: bool
  ) -> OpenedResponse:
    domain, slot = calls.split_program_id(call.program)
    headers = {**self._peers.headers, STREAM_HEADER: str(int(is_stream))}
    task = asyncio.ensure_future(
      self._peers.session.post(
        f'http://{address}/peer/call',
        data=msgspec.json.encode(call),
        headers=headers,
        timeout=aiohttp.ClientTimeout(
          total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
        ),
      )
    )
    remote_call = _RemoteCall(
      domain=domain, slot=slot, address=address, close=task.cancel
    )
    self._remote_calls.add(remote_call)
    try:
      response = await self._wait_for_headers(task, address)
      remote_call.close = response.close
      await _check_head(response, address)
    except BaseException:
      self._remote_calls.discard(remote_call)
      task.cancel()
      raise
    return OpenedResponse(
      status=response.status,
      content_type=response.content_type,
      chunks=self._read_chunks(response),
      close=lambda: self._finish_remote_call(remote_call, response),
    )

  async def _wait_for_headers(
    self, task: asyncio.Task[aiohttp.ClientResponse], address: str
  ) -> aiohttp.ClientResponse:
    await asyncio.wait({task})
    error = asyncio.CancelledError() if task.cancelled() else task.exception()
    if error is None:
      return task.result()
    is_refused = isinstance(error, aiohttp.ClientConnectorError)
    raise _make_unavailable(
      address,
      error,
      errors.RunStatus.NOT_RUN if is_refused else errors.RunStatus.UNKNOWN,
    )

  async def _read_chunks(
    self, response: aiohttp.ClientResponse
  ) -> AsyncGenerator[bytes, None]:
    try:
      async for chunk in response.content.iter_any():
        yield chunk
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
      raise calls.StreamInterrupted from error

  def _finish_remote_call(
    self, remote_call: _RemoteCall, response: aiohttp.ClientResponse
  ) -> None:
    self._remote_calls.discard(remote_call)
    response.release()

  @mode.Service.task
  async def _watch_owners(self) -> None:
    # A frozen owner keeps its connections open.  The roster shows when another
    # daemon has taken over its slots.
    while not self.should_stop:
      await self.sleep(self._config.timing.heartbeat)
      for remote_call in list(self._remote_calls):
        if self._has_owner_gone(remote_call):
          remote_call.close()

  def _has_owner_gone(self, remote_call: _RemoteCall) -> bool:
    """Returns whether a call's daemon lost the slot and is no longer heard."""
    current_owner = self._members.directory.get_owner(
      remote_call.domain, remote_call.slot
    )
    if current_owner in ('', remote_call.address):
      return False
    if remote_call.domain == self._members.domain:
      return not self._members.has_recent_heartbeat(remote_call.address)
    return (
      remote_call.address not in self._members.directory.get_known_addresses()
    )


async def control_program_locally(
  local: owner.ProgramOwner, steer: calls.ProgramCommand
) -> program.Program:
  """Returns a program that this daemon owns, after the requested operation.

  The operation is to read the program, to end it or to cancel it.
  """
  if steer.verb == 'end':
    return await local.end_program(steer, reason='ended')
  if steer.verb == 'cancel':
    return await local.end_program(steer, reason='cancelled')
  return await local.fetch_program(steer)


async def _check_head(response: aiohttp.ClientResponse, address: str) -> None:
  """Raises the error in a response, or that the end of its body is not known.

  The response is closed if an error is raised.
  """
  try:
    response_ends.check_framed(response)
    if response.headers.get('Woadrun-Error'):
      limit = bodies.MAX_ERROR_BYTES
      raise errors.from_body(await bodies.read(response, limit=limit))
  except BaseException as error:
    response.close()
    if isinstance(error, TimeoutError | aiohttp.ClientError | OSError):
      raise _make_unavailable(
        address, error, errors.RunStatus.UNKNOWN
      ) from error
    raise


def _make_unavailable(
  address: str, error: BaseException, ran: errors.RunStatus
) -> errors.WoadrunError:
  return errors.WoadrunError(
    errors.Code.OWNER_UNAVAILABLE,
    f'No response from {address}: {type(error).__name__}.',
    ran=ran,
  )


def _is_retriable(error: errors.WoadrunError) -> bool:
  is_unavailable = error.code is errors.Code.OWNER_UNAVAILABLE
  return error.code is errors.Code.NOT_OWNER or is_unavailable
