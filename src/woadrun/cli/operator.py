"""Daemon access and output shared by the operators' commands."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Annotated
from typing import TypeVar

import aiohttp
import cyclopts

from woadrun.connection import client
from woadrun.connection import response_ends

T = TypeVar('T')

# A failed request is retried for this long: an operator at a terminal waits
# for the result.
RETRY_TIMEOUT_SECONDS = 5.0


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True, kw_only=True)
class Access:
  """Address and credentials of the daemon to connect to.

  Parameters
  ----------
  address
    Address of any daemon, for example 10.0.0.1:8000.
  token
    Bearer token of an operator.
  json
    Print JSON instead of text.
  """

  address: Annotated[str, cyclopts.Parameter(env_var='WOADRUN_ADDRESS')]
  token: Annotated[str, cyclopts.Parameter(env_var='WOADRUN_TOKEN')]
  json: bool = False


def run_with_client(
  access: Access, operation: Callable[[client.Client], Awaitable[T]]
) -> T:
  """Runs an operation with a client of a daemon and returns its result."""

  async def run() -> T:
    connector = response_ends.Connector()
    async with aiohttp.ClientSession(connector=connector) as session:
      daemon_client = client.Client(
        session=session,
        addresses=[access.address],
        token=access.token,
        patience=RETRY_TIMEOUT_SECONDS,
      )
      return await operation(daemon_client)

  return asyncio.run(run())


def print_columns(rows: list[list[object]]) -> None:
  """Prints rows of cells in aligned columns; the first row is the heading."""
  cells = [[str(cell) for cell in row] for row in rows]
  widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
  for row in cells:
    line = '  '.join(c.ljust(w) for c, w in zip(row, widths, strict=True))
    print(line.rstrip())
