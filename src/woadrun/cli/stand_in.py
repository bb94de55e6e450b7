"""`woadrun stand-in`: runs a stand-in for an external system."""

from __future__ import annotations

import asyncio

import cyclopts

from woadrun.standins import base
from woadrun.standins import engine as engine_stand_in
from woadrun.standins import platform as platform_stand_in
from woadrun.standins import service as service_stand_in

stand_in = cyclopts.App(
  name='stand-in', help='Run a stand-in for an external system (for tests).'
)


@stand_in.command
def platform(*, host: str = '127.0.0.1', port: int = 0) -> None:
  """Runs the platform: row tables, objects, model weights, list of VMs."""
  _run(platform_stand_in.Platform(), host, port)


@stand_in.command
def service(
  *,
  host: str = '127.0.0.1',
  port: int = 0,
  seconds: float = 0.002,
  forgets: bool = False,
) -> None:
  """Runs a service that counts how often it ran each request.

  Parameters
  ----------
  seconds
    Duration of each call, in seconds.
  forgets
    Report no outcome of an earlier request when asked for it.
  """
  _run(service_stand_in.Service(seconds=seconds, forgets=forgets), host, port)


@stand_in.command
def engine(
  *,
  host: str = '127.0.0.1',
  port: int = 0,
  slots: int = 8,
  cache_tokens: int = 200_000,
  token_seconds: float = 0.0005,
  checks_fencing: bool = True,
) -> None:
  """Runs a simulated model engine.

  Parameters
  ----------
  slots
    Number of calls that the engine runs at a time.
  cache_tokens
    Capacity of the prefix cache, in tokens.
  token_seconds
    Time to generate one token, in seconds.
  checks_fencing
    Whether the engine refuses orders and cache drops with an outdated
    fencing number.
  """
  server = engine_stand_in.Engine(
    slots=slots,
    cache_tokens=cache_tokens,
    token_seconds=token_seconds,
    checks_fencing=checks_fencing,
  )
  _run(server, host, port)


def _run(server: base.StandIn, host: str, port: int) -> None:
  async def serve() -> None:
    # Print the URL: with port 0 the operating system chooses the port.
    print(await server.start(host, port), flush=True)
    await asyncio.Event().wait()

  asyncio.run(serve())
