"""Decodes rows of the platform's service registry into instances."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

import msgspec

from woadrun import decoding
from woadrun.connection import endpoints
from woadrun.connection import rows
from woadrun.version import instances

TABLE = 'servers'
# Grace period for registry entries that expired during a store outage.  A live
# server registers again within about two seconds after the store returns.  An
# instance that leaves at that moment must not get requests for longer than that
# either; the constant is shorter to leave time for requests in flight.
EXPIRY_GRACE_SECONDS = 1.8


_IS_DRAINING_BY_STATE = {'ready': False, 'draining': True}
# The largest values of an entry that are plausible: an instance with more slots
# would get all requests of its service.
MAX_SLOTS = 100_000
MAX_STARTED_MS = 2**53
_MAX_CHARACTERS = 200
_Text = Annotated[
  str,
  msgspec.Meta(
    min_length=1, max_length=_MAX_CHARACTERS, pattern=r'\A[^\x00-\x1f\x7f]*\Z'
  ),
]


class _Entry(msgspec.Struct, kw_only=True):
  """An instance's own registry entry; unlisted fields are ignored.

  `born` is the start time of the instance, in Unix milliseconds.
  """

  service: _Text
  address: _Text
  zone: _Text
  slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
  state: Literal['ready', 'draining']
  born: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_MS)] = 0


def decode(row: rows.Row) -> instances.Instance:
  """Returns the instance that a registry row describes.

  Raises `decoding.MalformedData` if the row is malformed, or describes no
  instance that can be: other writers can put arbitrary values into the table.
  """
  entry = decoding.decode_json(row.value, type=_Entry)
  decoding.run(lambda: endpoints.check_ipv4(entry.address))
  return instances.Instance(
    id=row.key.name,
    service=entry.service,
    address=entry.address,
    domain=entry.zone,
    slots=entry.slots,
    is_draining=_IS_DRAINING_BY_STATE[entry.state],
    started_ms=entry.born,
  )
