"""Compares what callers saw with what instances ran."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import re
import time

from fleet_soak import callers
from fleet_soak import outside

# How long before a moment a fault may still excuse a daemon, in seconds.
CONTACT_SECONDS = 4.0
CONFIG_SECONDS = 2.0
# What a message takes on a busy machine, in seconds.
SLACK_SECONDS = 1.0
_DATA = re.compile(rb'^data: (.*)$', re.MULTILINE)


class Checker:
  """The promises, checked over all that was seen so far."""

  def __init__(self, *, around: outside.Outside, seen: callers.Callers) -> None:
    self._around = around
    self._seen = seen

  def check(self) -> list[str]:
    """Returns all violations, each in one line."""
    self._try_by_request = {made.request: made for made in self._seen.tries}
    self._runs_by_request: dict[str, list[outside.Run]] = (
      collections.defaultdict(list)
    )
    for run in self._around.runs:
      self._runs_by_request[run.request].append(run)
    checks = (
      self._check_once,
      self._check_refusals,
      self._check_histories,
      self._check_answers,
      self._check_known,
      self._check_budgets,
      self._check_draining,
      self._check_stops,
      self._check_configurations,
    )
    return [found for check in checks for found in check()]

  def _check_once(self) -> Iterator[str]:
    for request, runs in self._runs_by_request.items():
      if len(runs) > 1 and not runs[0].path.startswith(outside.LOOK):
        yield f'{request} ran {len(runs)} times'

  def _check_refusals(self) -> Iterator[str]:
    for made in self._seen.tries:
      is_once = not made.path.startswith(outside.LOOK)
      has_run = made.request in self._runs_by_request
      if is_once and has_run and made.status in callers.PROMISES:
        yield f'{made.request} was refused with {made.status}, but ran'

  def _check_histories(self) -> Iterator[str]:
    for request, runs in self._runs_by_request.items():
      made = self._try_by_request.get(request)
      if made is None:
        yield f'{request} ran, but nobody sent it'
        continue
      expected = self._get_history(made.parent) + made.input
      if made.path.startswith(outside.LOOK):
        expected = b''
      for run in runs:
        if run.body != expected:
          yield f'{request} ran with {run.body!r}, not {expected!r}'

  def _get_history(self, parent: str) -> bytes:
    history = b''
    while parent:
      turn = self._try_by_request[parent]
      said = b''.join(data + b'\n' for data in _DATA.findall(turn.body))
      history = turn.input + said + history
      parent = turn.parent
    return history

  def _check_answers(self) -> Iterator[str]:
    events = {
      request: count
      for item in self._around.instances
      for request, count in item.events_by_request.items()
    }
    for made in self._seen.tries:
      if made.status != 200:
        continue
      said = _DATA.findall(made.body)
      if not made.signature.endswith(f'.{made.request}'):
        yield f'{made.request} got an answer of {made.signature}'
      elif made.path.startswith(outside.CHAT):
        wanted = [
          f'{made.request}-{n}'.encode() for n in range(events[made.request])
        ]
        if said != wanted:
          yield f'{made.request} got {said}, not {wanted}'

  def _check_known(self) -> Iterator[str]:
    for made in self._seen.tries:
      if made.parent and made.status in (404, 410):
        yield f'{made.request} got {made.status}: {made.parent} was whole'

  def _check_budgets(self) -> Iterator[str]:
    tokens: collections.Counter[str] = collections.Counter()
    for made in self._seen.tries:
      tokens[made.program] += made.tokens
    most = callers.BUDGET + callers.MOST
    for program, count in tokens.items():
      if count > most:
        yield f'program {program} got {count} tokens, at most {most} allowed'

  def _check_draining(self) -> Iterator[str]:
    for item in self._around.instances:
      if item.drained_at is None:
        continue
      limit = item.drained_at + outside.DRAIN_SECONDS + SLACK_SECONDS
      for run in item.runs:
        if run.at > limit and self._is_calm(run.request, run.at):
          yield f'{run.request} ran at {item.id}, which had left'

  def _check_stops(self) -> Iterator[str]:
    for made in self._seen.tries:
      if made.status or made.request not in self._runs_by_request:
        continue
      near = [
        at
        for at in made.daemon.leavings
        if made.began - CONTACT_SECONDS <= at <= made.ended
      ]
      since = made.began - CONTACT_SECONDS
      if near and made.daemon.is_calm(since, made.ended):
        yield f'{made.request} was cut by the stop of {made.daemon.name}'

  def _check_configurations(self) -> Iterator[str]:
    for runs in self._runs_by_request.values():
      for run in runs:
        if not run.path.startswith(outside.ACT):
          continue
        if run.service not in self._get_allowed(run.at) and self._is_calm(
          run.request, run.at
        ):
          yield f'{run.request} ran at {run.service} by an old configuration'

  def _get_allowed(self, at: float) -> set[str]:
    limit = at - CONFIG_SECONDS - SLACK_SECONDS
    older = [c for c in self._around.configs if c[0] <= limit]
    newer = [c for c in self._around.configs if c[0] > limit]
    return {service for _, _, service in (*older[-1:], *newer)}

  def _is_calm(self, request: str, at: float) -> bool:
    made = self._try_by_request.get(request)
    return made is not None and made.daemon.is_calm(at - CONTACT_SECONDS, at)

  def find_last_whole(self, count: int) -> list[callers.Try]:
    """Returns the newest turns that were answered whole."""
    whole = [
      made
      for made in self._seen.tries
      if made.status == 200
      and made.path.startswith(outside.CHAT)
      and time.monotonic() - made.ended < 40.0
    ]
    return whole[-count:]
