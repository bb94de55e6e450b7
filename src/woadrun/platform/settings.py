"""Validates and decodes the settings file that the platform provides.

Validation uses `msgspec` rather than pydantic, which validates the settings of
the other commands: pydantic would cost each daemon some eight megabytes, and
the daemon needs it for nothing else.
"""

from __future__ import annotations

from collections.abc import Iterator
import pathlib
from typing import Annotated
from typing import Any
from typing import get_type_hints

import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.process import node

# Environment variable with the path of the settings file.
PATH_VARIABLE = 'WOADRUN_CONFIG'

_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Ip = Annotated[str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
_Address = Annotated[
  str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]
_Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class _Addresses(msgspec.Struct, kw_only=True):
  """`front` is for callers, `ready` for the balancer's readiness probe."""

  front: _Address
  ready: _Address


class _Bounds(msgspec.Struct, kw_only=True):
  """`grace_s` is the time from SIGTERM to SIGKILL.

  With `revoke_everywhere`, no daemon runs a request with a key that was revoked
  more than `revoke_ms` ago.
  """

  grace_s: Annotated[float, msgspec.Meta(gt=0)] = 8.0
  revoke_everywhere: bool = False
  revoke_ms: Annotated[float, msgspec.Meta(gt=0)] = 5_000.0


class _Store(msgspec.Struct, kw_only=True):
  """The metadata store; `row_bytes` is the maximum size of a row's value."""

  address: _Address
  row_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 65_536


class _Limits(msgspec.Struct, kw_only=True):
  """`memory_mb` is the daemon's memory limit in megabytes, if there is one.

  `max_fds` is its limit on descriptors, if that is not the process's own.
  """

  memory_mb: Annotated[float, msgspec.Meta(gt=0)] | None = None
  max_fds: Annotated[int, msgspec.Meta(gt=0)] | None = None


class _File(msgspec.Struct, kw_only=True):
  """The settings file; `zone` is the failure domain.

  `internal_port_range` holds the first and the last port for connections
  between daemons.  Unlisted fields are ignored.
  """

  node_name: _Text
  ip: _Ip
  zone: _Text
  listen_addrs: _Addresses
  internal_port_range: tuple[_Port, _Port]
  platform: _Store
  bounds: _Bounds = msgspec.field(default_factory=_Bounds)
  limits: _Limits | None = None


def load(path: str | pathlib.Path) -> node.NodeSettings:
  """Returns the settings in a file.

  Raises `FindingsError` with all findings if the settings are invalid.
  """
  file = _decode(pathlib.Path(path))
  return node.NodeSettings(
    name=file.node_name,
    domain=file.zone,
    callers_address=file.listen_addrs.front,
    ready_address=file.listen_addrs.ready,
    peers_address=f'{file.ip}:{file.internal_port_range[0]}',
    store_address=file.platform.address,
    row_bytes=file.platform.row_bytes,
    grace=file.bounds.grace_s,
    revocation=_get_revocation(file.bounds),
    memory_mb=file.limits.memory_mb if file.limits else None,
    descriptors=file.limits.max_fds if file.limits else None,
  )


def _get_revocation(bounds: _Bounds) -> float | None:
  return bounds.revoke_ms / 1000 if bounds.revoke_everywhere else None


def _decode(path: pathlib.Path) -> _File:
  try:
    data = decoding.decode_json(path.read_bytes(), type=dict[str, Any])
  except OSError as error:
    raise _fail(path, '(file)', error.strerror or str(error)) from None
  except decoding.MalformedData as error:
    raise _fail(path, '(syntax)', str(error)) from None
  findings = list(_check(data, path))
  if findings:
    raise errors.FindingsError(findings)
  return msgspec.convert(data, _File)


def _check(
  data: dict[str, Any], path: pathlib.Path
) -> Iterator[errors.Finding]:
  types = get_type_hints(_File, include_extras=True)
  for field in msgspec.structs.fields(_File):
    name = field.name
    if name not in data:
      if field.required:
        yield errors.Finding(file=str(path), key=name, reason='is missing')
      continue
    try:
      msgspec.convert(data[name], types[name])
    except msgspec.ValidationError as error:
      reason, _, place = str(error).partition(' - at ')
      key = name + place.strip('`').removeprefix('$')
      yield errors.Finding(file=str(path), key=key, reason=reason)


def _fail(path: pathlib.Path, key: str, reason: str) -> errors.FindingsError:
  return errors.FindingsError(
    [errors.Finding(file=str(path), key=key, reason=reason)]
  )
