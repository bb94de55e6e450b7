"""Settings of one process, read from TOML and validated as a whole.

`load(path)` returns validated settings or raises one error with all findings.
"""

from __future__ import annotations

import ipaddress
import pathlib
import tomllib
from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

from woadrun import errors

# --- Models -----------------------------------------------------------------


class Section(pydantic.BaseModel):
  """The base of all sections: unknown keys are findings."""

  model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


def _check_address(value: str) -> str:
  host, _, port = value.rpartition(':')
  ipaddress.ip_address(host.strip('[]'))
  if not 0 <= int(port) <= 65535:
    raise ValueError('the port must be between 0 and 65535')
  return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Token = Annotated[str, pydantic.Field(min_length=8)]
Seconds = Annotated[float, pydantic.Field(gt=0)]
Url = Annotated[str, pydantic.Field(pattern=r'^https?://')]


class Daemon(Section):
  """Where the daemon stands."""

  address: Address = pydantic.Field(description='IP number and port served')
  listen: Address | None = pydantic.Field(
    None, description='where to listen, if not at the address itself'
  )
  domain: str = pydantic.Field(
    pattern='^[a-z0-9-]+$', description='failure domain of this VM'
  )
  region_domains: list[str] = pydantic.Field(
    description='failure domains of the region; programs start in one of them',
    min_length=1,
  )
  seeds: list[Address] = pydantic.Field(
    [], description='daemons asked while the list of VMs is out'
  )
  slots: int = pydantic.Field(
    32, ge=1, le=4096, description='slots of the failure domain'
  )


class Platform(Section):
  """Where the platform's services are."""

  table: Url = pydantic.Field(description='base URL of the table service')
  objects: Url = pydantic.Field(description='base URL of the object store')
  vms: Url = pydantic.Field(description='base URL of the list of VMs')
  writes_per_second: float = pydantic.Field(
    200, gt=0, description='platform writes a second, shared by all daemons'
  )
  timeout: Seconds = pydantic.Field(
    1.0, description='seconds until a platform request counts as failed'
  )


class Caller(Section):
  """A bearer token of callers and the teams it may act for."""

  token: Token = pydantic.Field(description='bearer token')
  teams: list[str] = pydantic.Field(description='teams of the token')


class Operator(Section):
  """A bearer token of an operator."""

  token: Token = pydantic.Field(description='bearer token')
  name: str = pydantic.Field(description='name written into the history')


class Security(Section):
  """Who may talk to the daemon."""

  peer_key: Token = pydantic.Field(description='key shared by all daemons')
  callers: list[Caller] = pydantic.Field([], description='callers')
  operators: list[Operator] = pydantic.Field([], description='operators')


class Limits(Section):
  """Bounds of what one daemon holds."""

  body_bytes: int = pydantic.Field(
    4_000_000, ge=1024, description='largest request body'
  )
  programs: int = pydantic.Field(
    5_000, ge=1, description='programs owned by one daemon'
  )
  answers: int = pydantic.Field(
    32, ge=1, description='stored answers for each program'
  )
  history_tokens: int = pydantic.Field(
    300_000, ge=1, description='tokens of history for each program'
  )
  waiting: int = pydantic.Field(
    2_000, ge=1, description='calls waiting for one upstream'
  )
  memory_mb: float | None = pydantic.Field(
    None,
    gt=0,
    description='memory limit of the process in megabytes; 512 if not given',
  )


class Timing(Section):
  """Intervals and timeouts, in seconds."""

  heartbeat: Seconds = pydantic.Field(0.5, description='between heartbeats')
  silent_after: Seconds = pydantic.Field(
    2.0, description='until a peer without answers is silent'
  )
  commit: Seconds = pydantic.Field(
    1.5, description='until a record that nobody acknowledged is refused'
  )
  flush: Seconds = pydantic.Field(
    0.2, description='between writes to the object store, at least'
  )
  checkpoint: Seconds = pydantic.Field(
    30.0, description='between checkpoints of a slot'
  )
  configuration_poll: Seconds = pydantic.Field(
    0.5, description='between reads of the table by one failure domain'
  )
  hold: Seconds = pydantic.Field(
    5.0, description='that a call waits for its turn, its owner or a handover'
  )
  patience: Seconds = pydantic.Field(
    30.0, description='that a call waits for its upstream at most'
  )
  keep_ended: Seconds = pydantic.Field(
    300.0, description='that a program that is over stays in memory'
  )
  leaving: Seconds = pydantic.Field(
    600.0, description='that a planned stop waits for running requests'
  )


class Logs(Section):
  """How logs are written."""

  level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = pydantic.Field(
    'INFO', description='lowest level written'
  )
  format: Literal['text', 'json'] = pydantic.Field(
    'text', description='one line of text or of JSON for each event'
  )


class Metrics(Section):
  """Where metrics go; without a host none are sent."""

  host: str | None = pydantic.Field(None, description='IP number of statsd')
  port: int = pydantic.Field(8125, description='UDP port of statsd')
  prefix: str = pydantic.Field('woadrun', description='prefix of all names')


class Upstream(Section):
  """What engines and services have in common."""

  name: str = pydantic.Field(description='name of the upstream')
  url: Url = pydantic.Field(description='base URL')
  domain: str = pydantic.Field(description='failure domain of the upstream')
  slots: int = pydantic.Field(8, ge=1, description='calls at a time')


class Engine(Upstream):
  """A model engine."""

  models: list[str] = pydantic.Field(description='models it serves')


class Service(Upstream):
  """A plain service."""

  timeout: Seconds = pydantic.Field(
    30.0, description='until a call to it counts as hung'
  )


class Settings(Section):
  """All settings of a daemon."""

  daemon: Daemon
  platform: Platform
  security: Security
  limits: Limits = Limits()
  timing: Timing = Timing()
  logs: Logs = Logs()
  metrics: Metrics = Metrics()
  engines: list[Engine] = pydantic.Field([], description='model engines')
  services: list[Service] = pydantic.Field([], description='plain services')

  @pydantic.model_validator(mode='after')
  def _check_consistency(self) -> Settings:
    names = [item.name for item in (*self.engines, *self.services)]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    if duplicates:
      raise ValueError(f'upstreams share a name: {", ".join(duplicates)}')
    if self.daemon.domain not in self.daemon.region_domains:
      raise ValueError('daemon.domain is not among daemon.region_domains')
    return self


# --- Reading ----------------------------------------------------------------


def check(data: dict[str, Any], *, file: str) -> Settings:
  """Returns the settings in `data`; raises `FindingsError` if invalid.

  `file` is the file name used in the findings.
  """
  try:
    return Settings.model_validate(data)
  except pydantic.ValidationError as error:
    raise errors.FindingsError(get_findings(error, file=file)) from None


def get_findings(
  error: pydantic.ValidationError, *, file: str
) -> list[errors.Finding]:
  """Returns a finding for each error in a validation error."""
  return [
    errors.Finding(
      file=file,
      key='.'.join(str(part) for part in item['loc']) or '(whole file)',
      reason=item['msg'],
    )
    for item in error.errors()
  ]


def load(path: str | pathlib.Path) -> Settings:
  """Returns the validated settings of a TOML file.

  Raises `FindingsError` if the file cannot be read or is invalid.
  """
  file = str(path)
  try:
    with open(path, 'rb') as stream:
      data = tomllib.load(stream)
  except OSError as error:
    reason = error.strerror or str(error)
    finding = errors.Finding(file=file, key='(file)', reason=reason)
    raise errors.FindingsError([finding]) from None
  except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
    finding = errors.Finding(file=file, key='(syntax)', reason=str(error))
    raise errors.FindingsError([finding]) from None
  return check(data, file=file)
