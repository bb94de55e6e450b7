"""A client of the platform's list of VMs.

The list is updated with a delay.
"""

from __future__ import annotations

import aiohttp
import msgspec

from woadrun.connection import http

LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True, kw_only=True):
  """A VM in the list: its address, failure domain and state."""

  address: str
  domain: str
  state: str = 'live'


async def read(
  session: aiohttp.ClientSession, url: str, *, timeout: float
) -> list[Vm]:
  """Returns the VMs that the platform lists.

  `timeout` is in seconds.  Raises `platform_unavailable` when the request
  fails.
  """
  reply = await http.send(
    session, 'GET', f'{url.rstrip("/")}/vms', timeout=timeout
  )
  return http.decode(reply.body, type=list[Vm])
