"""Decodes rows of the platform's service registry into instances."""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Literal

import msgspec

from woadrun.connection import rows
from woadrun.version import instances

TABLE = 'servers'
# Grace period for registry entries that expired during a store outage.  A live
# server registers again within about two seconds after the store returns.  An
# instance that leaves at that moment must not get requests for longer than that
# either; the constant is shorter to leave time for requests in flight.
EXPIRY_GRACE_SECONDS = 1.8


_IS_DRAINING_BY_STATE = {'ready': False, 'draining': True}
_Text = Annotated[str, msgspec.Meta(min_length=1)]


class _Entry(msgspec.Struct, kw_only=True):
  """An instance's own registry entry; unlisted fields are ignored.

  `born` is the start time of the instance, in Unix milliseconds.
  """

  service: _Text
  address: _Text
  zone: _Text
  slots: Annotated[int, msgspec.Meta(ge=1)]
  state: Literal['ready', 'draining']
  born: Annotated[int, msgspec.Meta(ge=0)] = 0


def decode(row: rows.Row) -> instances.Instance:
  """Returns the instance that a registry row describes.

  Raises `msgspec.MsgspecError` if the row is malformed: other writers can put
  arbitrary values into the table.
  """
  entry = msgspec.json.decode(row.value, type=_Entry)
  _check_address(entry.address)
  return instances.Instance(
    id=row.key.name,
    service=entry.service,
    address=entry.address,
    domain=entry.zone,
    slots=entry.slots,
    is_draining=_IS_DRAINING_BY_STATE[entry.state],
    born=entry.born,
  )


def _check_address(address: str) -> None:
  host, _, port = address.rpartition(':')
  try:
    ipaddress.IPv4Address(host)
    is_port = port.isdecimal() and 0 < int(port) < 65536
  except ValueError:
    is_port = False
  if not is_port:
    raise msgspec.ValidationError(f'{address!r} is not of the form IP:PORT')
