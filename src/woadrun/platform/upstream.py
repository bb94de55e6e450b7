"""HTTP client for the instances of the platform's services."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time

import aiohttp
import yarl

from woadrun.connection import bodies
from woadrun.connection import endpoints
from woadrun.connection import http
from woadrun.connection import response_ends
from woadrun.connection import response_ids
from woadrun.connection import sent_bodies
from woadrun.connection import tcp_connections
from woadrun.decisions import run_status
from woadrun.platform import read_ahead
from woadrun.platform import wire
from woadrun.request import exchange
from woadrun.request import held_bytes
from woadrun.version import instances

# A reachable instance accepts a connection within a round trip; one that is
# down or behind a network partition never does.
CONNECT_TIMEOUT_SECONDS = 0.5
# A request that failed or was cancelled after this time without the start of a
# response may be on a dead connection that was not reset.  Turns queued at an
# instance start sooner.
SILENCE_THRESHOLD_SECONDS = 1.0
# Time for a probe of an instance.  A process that has ended, or another one at
# its address, answers within a round trip.
PROBE_TIMEOUT_SECONDS = 0.5
PROBE_CONNECT_TIMEOUT_SECONDS = 0.4
# Headers that the client library would otherwise add by itself.
_SKIPPED_AUTO_HEADERS = (
  'Accept',
  'Accept-Encoding',
  'User-Agent',
  'Content-Type',
)
_MIDDLEWARES = (
  http.prevent_resending,
  response_ids.match_responses(wire.REQUEST_ID),
)


class HttpUpstreams:
  """Sends requests, each without retries; implements `exchange.Upstreams`.

  `held` counts the bytes held for slow callers.
  """

  def __init__(
    self,
    *,
    session: aiohttp.ClientSession,
    addresses: tcp_connections.Addresses,
    held: held_bytes.HeldBytes | None = None,
  ) -> None:
    self._held = held or held_bytes.HeldBytes()
    self._session = session
    self._addresses = addresses
    self._probes = 0

  @contextlib.asynccontextmanager
  async def send(
    self, sending: exchange.RequestAttempt
  ) -> AsyncIterator[exchange.Reply]:
    """Returns a context manager with the reply; its exit ends the request."""
    response = await self._request(sending)
    statement = wire.read_statement(sending, response.status, response.headers)
    is_refusal = run_status.is_refusal(statement)
    reader = read_ahead.AnswerReader(response=response, held=self._held)
    try:
      yield exchange.Reply(
        status=response.status,
        headers=wire.decode_reply_headers(response.headers),
        has_run=not is_refusal,
        is_genuine=run_status.is_genuine(statement),
        statement=statement,
        chunks=reader.read(),
        ends_with_connection=response_ends.ends_with_connection(response),
        abort=response.close,
        is_reusable=lambda: _is_reusable(response),
        is_at_end=reader.is_at_end,
      )
      if is_refusal:
        await _drain(response)
    finally:
      reader.close()
      # A connection with an unread rest of a body cannot be reused.
      if response.content.at_eof():
        response.release()
      else:
        response.close()

  async def _request(
    self, sending: exchange.RequestAttempt
  ) -> aiohttp.ClientResponse:
    request = sending.request
    instance = sending.instance
    host = self._addresses.get_host(
      instance.address,
      incarnation_id=instance.incarnation_id if instance.started_ms else '',
    )
    name, port = endpoints.split(host)
    # Parsed as a URL, an empty query would lose its question mark.
    url = yarl.URL.build(
      scheme='http', host=name, port=port, path=request.target, encoded=True
    )
    generation = self._addresses.get_generation(instance.address)
    began = time.monotonic()
    timeout = aiohttp.ClientTimeout(
      total=sending.seconds, sock_connect=CONNECT_TIMEOUT_SECONDS
    )
    try:
      with self._addresses.watch(
        instance.address, seconds=sending.silence_seconds
      ):
        return await self._session.request(
          request.method,
          url,
          data=sent_bodies.split(sending.body) or None,
          headers=wire.encode_headers(sending),
          skip_auto_headers=_SKIPPED_AUTO_HEADERS,
          allow_redirects=False,
          timeout=timeout,
          middlewares=_MIDDLEWARES,
        )
    except (
      aiohttp.ClientConnectorError,
      aiohttp.ConnectionTimeoutError,
    ) as error:
      raise exchange.RequestNotSent(
        str(error) or type(error).__name__
      ) from error
    except TimeoutError as error:
      self._note_silence(sending, began, generation)
      raise exchange.ResponseOverdue(
        str(error) or type(error).__name__
      ) from error
    except (aiohttp.ClientError, OSError) as error:
      self._note_silence(sending, began, generation)
      raise exchange.ResponseLost(str(error) or type(error).__name__) from error
    except asyncio.CancelledError:
      # The caller disconnected or timed out, possibly because no response came.
      self._note_silence(sending, began, generation)
      raise

  async def probe(
    self, instance: instances.Instance, *, health_path: str
  ) -> exchange.Liveness:
    """Returns whether an instance still runs, over a connection of its own.

    A refused connection tells that it has ended, and so does another instance
    at its address.  A connection that opens tells that its VM is not silent.
    """
    try:
      if not health_path:
        await self._probe_connection(instance.address)
        return exchange.Liveness.REACHABLE
      return await self._probe_health(instance, health_path)
    except ConnectionRefusedError:
      return exchange.Liveness.ENDED
    except aiohttp.ClientConnectorError as error:
      is_refused = isinstance(error.os_error, ConnectionRefusedError)
      return (
        exchange.Liveness.ENDED if is_refused else exchange.Liveness.UNKNOWN
      )
    except aiohttp.ConnectionTimeoutError:
      return exchange.Liveness.UNKNOWN
    except (aiohttp.ClientError, TimeoutError, OSError):
      return (
        exchange.Liveness.REACHABLE
        if health_path
        else exchange.Liveness.UNKNOWN
      )

  async def _probe_connection(self, address: str) -> None:
    """Opens a connection to IP:PORT and closes it."""
    host, port = endpoints.split(address)
    async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
      _, writer = await asyncio.open_connection(host, port)
    writer.close()

  async def _probe_health(
    self, instance: instances.Instance, health_path: str
  ) -> exchange.Liveness:
    # A host name of its own keeps the connection out of the pool.
    self._probes += 1
    host = self._addresses.get_host(
      instance.address, incarnation_id=f'probe {self._probes}'
    )
    async with self._session.get(
      yarl.URL(f'http://{host}{health_path}', encoded=True),
      headers=wire.encode_probe_headers(instance),
      skip_auto_headers=_SKIPPED_AUTO_HEADERS,
      allow_redirects=False,
      timeout=aiohttp.ClientTimeout(
        total=PROBE_TIMEOUT_SECONDS, sock_connect=PROBE_CONNECT_TIMEOUT_SECONDS
      ),
    ) as response:
      is_own = wire.is_from(instance, response.status, response.headers)
    return exchange.Liveness.ALIVE if is_own else exchange.Liveness.ENDED

  def _note_silence(
    self, sending: exchange.RequestAttempt, began: float, generation: int
  ) -> None:
    if time.monotonic() - began > SILENCE_THRESHOLD_SECONDS:
      self._addresses.reset_connections(
        sending.instance.address, generation=generation
      )


def _is_reusable(response: aiohttp.ClientResponse) -> bool:
  is_closed = wire.closes_connection(
    response.headers
  ) or response_ends.ends_with_connection(response)
  return response.content.at_eof() and not is_closed


async def _drain(response: aiohttp.ClientResponse) -> None:
  # Reads the rest of the body so that the connection can be reused.
  with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
    async with asyncio.timeout(0.1):
      await bodies.read(response, limit=bodies.MAX_DRAINED_BYTES)
