"""The settings file as the platform lays it, checked and decoded."""

from __future__ import annotations

import pathlib

import pydantic

from woadrun import errors
from woadrun import settings
from woadrun.process import node

# The variable that holds the path of the settings file.
PATH_VARIABLE = 'WOADRUN_CONFIG'


class _Part(pydantic.BaseModel):
  """The base of all parts: what is not known is ignored."""

  model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class _Addresses(_Part):
  """`front` is for callers, `ready` for the balancer's question."""

  front: settings.Address
  ready: settings.Address


class _Bounds(_Part):
  grace_s: float = pydantic.Field(8.0, gt=0)


class _Store(_Part):
  """The metadata store; `row_bytes` is the largest value of a row."""

  address: settings.Address
  row_bytes: int = pydantic.Field(65_536, ge=1024)


class _File(_Part):
  """The file; `zone` is a failure domain in our words."""

  node_name: str
  ip: str
  zone: str
  listen_addrs: _Addresses
  internal_port_range: tuple[int, int]
  bounds: _Bounds = _Bounds()
  platform: _Store


def load(path: str | pathlib.Path) -> node.NodeSettings:
  """Returns the settings in a file, or raises all findings together."""
  try:
    data = pathlib.Path(path).read_bytes()
    found = _File.model_validate_json(data)
  except OSError as error:
    reason = error.strerror or str(error)
    raise errors.FindingsError(
      [errors.Finding(file=str(path), key='(file)', reason=reason)]
    ) from None
  except pydantic.ValidationError as error:
    raise errors.FindingsError(
      settings.get_findings(error, file=str(path))
    ) from None
  return node.NodeSettings(
    name=found.node_name,
    domain=found.zone,
    callers_address=found.listen_addrs.front,
    ready_address=found.listen_addrs.ready,
    peers_address=f'{found.ip}:{found.internal_port_range[0]}',
    store_address=found.platform.address,
    row_bytes=found.platform.row_bytes,
    grace=found.bounds.grace_s,
  )
