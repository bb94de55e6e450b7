"""Chooses upstreams for calls and manages the permits of the calls.

An upstream is a model engine or a plain service.  A call needs two permits: one
of its row in the operators' table, which limits a team or a kind of its work,
and one of its upstream, which limits the calls that run there concurrently.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import itertools
import secrets
import time
from typing import Any
import urllib.parse

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.decisions import routing
from woadrun.process import dispatcher
from woadrun.process import limits
from woadrun.process import membership
from woadrun.request import calls
from woadrun.request import model_call
from woadrun.version import program
from woadrun.version import rows

# Assumed speed at which engines process the part of a prompt that is not in
# their cache.
PREFILL_TOKENS_PER_SECOND = 8000.0
# Assumed service time per token.  It converts tokens to the expected cost of a
# call and to the service that a program has received.
SERVICE_SECONDS_PER_TOKEN = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallPlan:
  """What a call needs: candidate upstreams and, for model calls, the prompt.

  `upstream_names` are the candidates.  `body` is the decoded body of a model
  call, empty for a service call.  `cost` is the service time that the call is
  expected to take, in seconds.
  """

  upstream_names: list[str]
  body: dict[str, Any] = dataclasses.field(default_factory=dict)
  prepared: model_call.PreparedCall | None = None
  cost: float = 1.0


@dataclasses.dataclass(kw_only=True)
class UpstreamAssignment:
  """The upstream that runs a call, and the permit that the call holds there.

  `acquire` is the message by which the permit was requested, or None if the
  call holds no permit and waits for none.  `started_at` is the time of the
  grant on the monotonic clock, or 0 before.  With `is_resumed` the call was
  sent by an earlier owner, and its stream is resumed.  `is_ok` is reported with
  the release: whether the upstream did not fail.  `wasted_tokens` counts
  the tokens of abandoned attempts, and `tried` has the engines that failed the
  call, of which `lost` broke off before the end.
  """

  name: str
  acquire: messages.Acquire | None = None
  started_at: float = 0.0
  is_resumed: bool = False
  is_ok: bool = True
  wasted_tokens: int = 0
  lost: int = 0
  tried: set[str] = dataclasses.field(default_factory=set)


class CallPlacer:
  """Chooses upstreams and manages permits for the calls of this daemon."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    permits: dispatcher.PermitDispatcher,
    row_limits: limits.Limits,
  ) -> None:
    self._config = config
    self._members = members
    self._permits = permits
    self._row_limits = row_limits
    self._settings_by_engine = {
      engine.name: engine for engine in config.engines
    }
    self._settings_by_service = {
      service.name: service for service in config.services
    }
    self._calls_by_upstream: dict[str, int] = {}
    self._choice_counter = itertools.count()

  # --- Planning -------------------------------------------------------------

  def plan(
    self, call: calls.Call, found: program.Program, row: rows.Row
  ) -> CallPlan:
    """Returns what a call needs.

    Raises `unknown_service` or `unknown_model` if no upstream can serve it, and
    the errors of `model_call.parse_body` and `model_call.prepare`.
    """
    if call.call == program.SERVICE:
      name = call.target.partition('/')[0]
      if name not in self._settings_by_service:
        raise errors.WoadrunError(
          errors.Code.UNKNOWN_SERVICE, f'The service {name} does not exist.'
        )
      return CallPlan(upstream_names=[name])
    body = model_call.parse_body(call)
    names = self.get_engines(call.target, row)
    prepared = model_call.prepare(
      call, body, found, history_tokens=self._config.limits.history_tokens
    )
    cost = prepared.max_output_tokens * SERVICE_SECONDS_PER_TOKEN
    return CallPlan(
      upstream_names=names, body=body, prepared=prepared, cost=cost
    )

  def get_engines(self, model: str, row: rows.Row) -> list[str]:
    """Returns the engines that serve a model.

    Raises `unknown_model` if there is none or the row does not allow the model.
    """
    names = [
      name
      for name, engine in self._settings_by_engine.items()
      if model in engine.models
    ]
    if not names or not row.is_model_allowed(model):
      raise errors.WoadrunError(
        errors.Code.UNKNOWN_MODEL,
        f'The model {model} is not available to {row.key}.',
        place='model',
      )
    return names

  def choose_upstream(
    self, names: list[str], found: program.Program, prompt: int
  ) -> str:
    """Returns the upstream with the lowest estimated cost for a call.

    Only a sample of many `names` is compared.  Upstreams in failure domains
    that are not heard from are chosen only if there are no others.  `prompt` is
    the size of the prompt in tokens.  Raises `upstream_unavailable` if all
    upstreams are on leaving VMs, which the platform will remove soon.
    """
    now = time.monotonic()
    available = [name for name in names if not self._is_on_leaving_vm(name)]
    available = [
      name for name in available if self._is_reachable(name)
    ] or available
    if not available:
      raise errors.WoadrunError(
        errors.Code.UPSTREAM_UNAVAILABLE,
        f'All upstreams for the call are on leaving VMs: {", ".join(names)}.',
        retry_after=1.0,
      )
    sampled = routing.select_candidates(
      available, found.engine, next(self._choice_counter)
    )
    candidates = [self._make_candidate(name, found, now) for name in sampled]
    choice = routing.choose(
      candidates, prompt=prompt, prefill_rate=PREFILL_TOKENS_PER_SECOND
    )
    # There is no choice if no candidate has a slot.
    return choice.name if choice else available[0]

  def _is_reachable(self, name: str) -> bool:
    domain = self.get_domain(name)
    return self._is_in_own_domain(
      name
    ) or self._members.has_recent_domain_heartbeat(domain)

  def _is_on_leaving_vm(self, name: str) -> bool:
    address = urllib.parse.urlsplit(self._get_settings(name).url).netloc
    return address in self._members.vms.get_leaving()

  def _make_candidate(
    self, name: str, found: program.Program, now: float
  ) -> routing.Candidate:
    load = self._members.load_by_upstream.get(name)
    own_calls = self._calls_by_upstream.get(name, 0)
    return routing.Candidate(
      name=name,
      slots=load.slots if load else self._get_settings(name).slots,
      # The last report may lack the newest calls of this daemon.
      running=max(own_calls, load.running if load else 0),
      waiting=load.waiting if load else 0,
      seconds=load.seconds if load else dispatcher.INITIAL_CALL_SECONDS,
      cached=found.history_tokens if found.engine == name else 0,
      is_near=self._is_in_own_domain(name),
    )

  def _is_in_own_domain(self, name: str) -> bool:
    return self.get_domain(name) == self._members.domain

  def _get_settings(self, name: str) -> settings.Upstream:
    return self._settings_by_engine.get(name) or self._settings_by_service[name]

  # --- Permits --------------------------------------------------------------

  @contextlib.asynccontextmanager
  async def hold_permits(
    self,
    call: calls.Call,
    found: program.Program,
    row: rows.Row,
    plan: CallPlan,
    permit: str,
  ) -> AsyncIterator[UpstreamAssignment]:
    """Holds the row's permit, and releases both permits of the call on exit.

    `permit` is a new id for the row's permit.  Yields an assignment to the
    chosen upstream, whose own permit the caller acquires with `acquire_slot`.
    Raises `limit_reached` if the row's limits do not admit the call, and the
    errors of `choose_upstream`.
    """
    await self._row_limits.acquire(row, permit)
    place = UpstreamAssignment(name='')
    try:
      prompt = plan.prepared.prompt_tokens if plan.prepared else 0
      place.name = self.choose_upstream(plan.upstream_names, found, prompt)
      yield place
    except errors.WoadrunError as error:
      place.is_ok = place.is_ok and not _is_upstream_failure(call, error)
      raise
    finally:
      self.release_slot(place)
      self._row_limits.release(row, permit)

  async def acquire_slot(
    self,
    place: UpstreamAssignment,
    found: program.Program,
    row: rows.Row,
    cost: float,
  ) -> None:
    """Acquires the permit of the chosen upstream for the call.

    Waits until the deadline of the program, but no longer than the configured
    patience.  `cost` is the expected service time in seconds.  Raises
    `overloaded` if no permit is granted in that time, or none is expected to
    be, or the daemon that grants the upstream's permits is unreachable.
    """
    # At least 0.1 s, also if the deadline was reached meanwhile.
    remaining = max(0.1, found.started.deadline_at - time.time())
    message = messages.Acquire(
      holder=self._members.process_name,
      permit=secrets.token_hex(8),
      upstream=place.name,
      row=row.key,
      weight=row.weight,
      attained=found.spent * SERVICE_SECONDS_PER_TOKEN,
      cost=cost,
      patience=min(remaining, self._config.timing.patience),
    )
    self._calls_by_upstream[place.name] = (
      self._calls_by_upstream.get(place.name, 0) + 1
    )
    place.acquire = message
    place.started_at = 0.0
    place.is_ok = True
    try:
      await self._permits.acquire(message)
    except BaseException:
      place.acquire = None
      self._calls_by_upstream[place.name] -= 1
      raise
    place.started_at = time.monotonic()

  def release_slot(self, place: UpstreamAssignment) -> None:
    """Releases the upstream's permit and reports the outcome of the call.

    Does nothing if the call holds no permit.
    """
    message, place.acquire = place.acquire, None
    if message is None:
      return
    self._calls_by_upstream[place.name] -= 1
    seconds = time.monotonic() - place.started_at if place.started_at else 0.0
    self._permits.release(
      messages.Release(
        permit=message.permit,
        upstream=message.upstream,
        seconds=seconds,
        is_ok=place.is_ok,
      )
    )

  def make_resumed_assignment(
    self, name: str, *, is_resumed: bool
  ) -> UpstreamAssignment:
    """Returns the assignment of a call that an earlier owner started.

    It holds no permit.  With `is_resumed` the stream of the call is resumed.
    """
    return UpstreamAssignment(
      name=name, is_resumed=is_resumed, started_at=time.monotonic()
    )

  def get_domain(self, name: str) -> str:
    """Returns the failure domain of an upstream."""
    return self._permits.domain_by_name[name]

  def dump(self) -> dict[str, int]:
    """Returns this daemon's calls by upstream, for debugging.

    Counts the calls that hold an upstream's permit or wait for one.
    """
    return {
      name: count for name, count in self._calls_by_upstream.items() if count
    }


def _is_upstream_failure(call: calls.Call, error: errors.WoadrunError) -> bool:
  """Returns whether an error of a call is a failure of its upstream.

  A refused connection or a 5xx status of a service takes little time: counted
  as successes, such calls made the estimated duration of a call too short.  A
  failed engine is recorded when its call is moved to another engine.
  """
  # An unknown outcome is a failure, for example a timeout.
  if error.ran is errors.RunStatus.UNKNOWN:
    return True
  return call.call == program.SERVICE and error.code in (
    errors.Code.UPSTREAM_UNAVAILABLE,
    errors.Code.UPSTREAM_FAILED,
  )
