"""Compares the answers that callers received with what instances ran."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import math
import re
import time

from fleet_soak import bursts
from fleet_soak import callers
from fleet_soak import outside
from fleet_soak import responses
from woadrun import errors

# Time after a fault during which violations of the faulted daemon are excused.
FAULT_GRACE_SECONDS = 4.0
# Time within which daemons must apply a new configuration.
CONFIG_TIMEOUT_SECONDS = 2.0
# Extra time that a message may take on a busy machine.
MESSAGE_SLACK_SECONDS = 1.0
# No program may be refused while fewer of the slots than this are in use.
IDLE_FRACTION = 0.1
# No try of a request that begins this long after the third instance ended under
# it may run, at a daemon whose process ran all the while.
MAX_ENDED = 3
REPORT_TIMEOUT_SECONDS = 0.5
LEARNING_SECONDS = 2.0
# A connection that crosses the close of a listener opens at most this long
# before it, and is closed at most this long after the request was sent.
CROSSING_SECONDS = 0.05
CLOSED_AT_ONCE_SECONDS = 0.2
_DATA = re.compile(rb'^data: (.*)$', re.MULTILINE)


class Checker:
  """Checks the guarantees over all requests and runs so far."""

  def __init__(
    self,
    *,
    environment: outside.Outside,
    caller_pool: callers.Callers,
    bursts: Sequence[bursts.Burst] = (),
  ) -> None:
    self._bursts = bursts
    self._environment = environment
    self._caller_pool = caller_pool

  def check(self) -> list[str]:
    """Returns all violations, one line each."""
    self._attempt_by_request = {
      attempt.request: attempt for attempt in self._caller_pool.attempts
    }
    self._runs_by_request: dict[str, list[outside.Run]] = (
      collections.defaultdict(list)
    )
    for run in self._environment.runs:
      self._runs_by_request[run.request].append(run)
    self._truncated = self._environment.truncated_requests
    self._contradicted = self._environment.contradicted_requests
    # No turn may continue from these.
    self._unkept = self._truncated | self._contradicted
    checks = (
      self._check_once,
      self._check_refusals,
      self._check_full,
      self._check_histories,
      self._check_statuses,
      self._check_answers,
      self._check_stated_ends,
      self._check_stored,
      self._check_parents,
      self._check_budgets,
      self._check_draining,
      self._check_graceful_stops,
      self._check_stop_answers,
      self._check_configurations,
      self._check_crashes,
      self._check_quarantine,
      self._check_endless,
      self._check_neighbours,
    )
    return [found for check in checks for found in check()]

  def _check_once(self) -> Iterator[str]:
    for request, runs in self._runs_by_request.items():
      if len(runs) > 1 and not runs[0].path.startswith(outside.LOOK):
        yield f'{request} ran {len(runs)} times'

  def _check_refusals(self) -> Iterator[str]:
    for attempt in self._caller_pool.attempts:
      is_turn = attempt.path.startswith(outside.CHAT)
      promises = (
        callers.TURN_NOT_RUN_STATUSES if is_turn else callers.NOT_RUN_STATUSES
      )
      has_run = attempt.request in self._runs_by_request
      if has_run and attempt.status in promises:
        yield f'{attempt.request} was refused with {attempt.status}, but ran'

  def _check_full(self) -> Iterator[str]:
    attempts = self._caller_pool.attempts
    models = (i for i in self._environment.instances if i.service == 'models')
    slots = outside.SLOTS * sum(
      item.drained_at is None and item.ended_at is None for item in models
    )
    for attempt in attempts:
      if attempt.error != errors.Code.SERVICE_FULL.value:
        continue
      if attempt.parent:
        yield f'{attempt.request} is a later turn, but was refused as too many'
      running = sum(
        other.path.startswith(outside.CHAT)
        and other.began < attempt.ended
        and (not other.ended or other.ended > attempt.began)
        for other in attempts
        if other is not attempt
      )
      since = attempt.began - FAULT_GRACE_SECONDS
      is_calm = all(
        other.daemon.is_fault_free(since, attempt.ended) for other in attempts
      )
      if running < slots * IDLE_FRACTION and is_calm:
        yield (
          f'{attempt.request} was refused as too many, with {running} turns in '
          f'{slots} slots'
        )

  def _check_histories(self) -> Iterator[str]:
    for request, runs in self._runs_by_request.items():
      attempt = self._attempt_by_request.get(request)
      if attempt is None:
        yield f'{request} ran, but nobody sent it'
        continue
      if attempt.parent in self._unkept:
        reason = (
          'was truncated'
          if attempt.parent in self._truncated
          else 'contradicted its answer'
        )
        yield f'{request} ran after {attempt.parent}, which {reason}'
        continue
      expected = self._get_history(attempt.parent) + attempt.input
      if attempt.path.startswith(outside.LOOK):
        expected = b''
      for run in runs:
        if run.body != expected:
          yield f'{request} ran with {run.body!r}, not {expected!r}'

  def _get_history(self, parent: str) -> bytes:
    history = b''
    while parent:
      turn = self._attempt_by_request[parent]
      output = b''.join(data + b'\n' for data in _DATA.findall(turn.body))
      history = turn.input + output + history
      parent = turn.parent
    return history

  def _check_statuses(self) -> Iterator[str]:
    for attempt in self._caller_pool.attempts:
      if attempt.status and not 200 <= attempt.status <= 599:
        yield f'{attempt.request} got {attempt.status}, which is no status'

  def _check_answers(self) -> Iterator[str]:
    body_by_request = {
      request: response.body
      for item in self._environment.instances
      for request, response in item.response_by_request.items()
    }
    for attempt in self._caller_pool.attempts:
      if attempt.status != 200:
        continue
      expected = body_by_request.get(attempt.request)
      if not attempt.signature.endswith(f'.{attempt.request}'):
        yield f'{attempt.request} got an answer of {attempt.signature}'
      elif attempt.body != expected:
        yield (
          f'{attempt.request} got {attempt.body!r} as complete, not '
          f'{expected!r}'
        )

  def _check_stated_ends(self) -> Iterator[str]:
    """Yields answers with an end that their instance did not state."""
    unframed = {
      f'{item.service}.{item.id}.{request}'
      for item in self._environment.instances
      for request, response in item.response_by_request.items()
      if response.framing is responses.Framing.NONE
    }
    for attempt in self._caller_pool.attempts:
      is_ok = attempt.status == 200
      if is_ok and attempt.is_framed and attempt.signature in unframed:
        yield f'{attempt.request} got an end that its instance did not state'

  def _check_stored(self) -> Iterator[str]:
    """Yields turns that ended as complete before the store had them."""
    for attempt in self._caller_pool.attempts:
      is_turn = attempt.path.startswith(outside.CHAT)
      if is_turn and attempt.status == 200 and not attempt.is_stored:
        yield f'{attempt.request} ended as complete, but the store lacked it'

  def _check_parents(self) -> Iterator[str]:
    for attempt in self._caller_pool.attempts:
      if attempt.parent in self._unkept:
        continue
      if attempt.parent and attempt.status in (404, 410):
        yield (
          f'{attempt.request} got {attempt.status}: '
          f'{attempt.parent} was complete'
        )

  def _check_budgets(self) -> Iterator[str]:
    tokens: collections.Counter[str] = collections.Counter()
    for attempt in self._caller_pool.attempts:
      tokens[attempt.program] += attempt.tokens
    limit = callers.BUDGET + callers.MAX_TOKENS
    for program, count in tokens.items():
      if count > limit:
        yield f'program {program} got {count} tokens, at most {limit} allowed'

  def _check_draining(self) -> Iterator[str]:
    for item in self._environment.instances:
      if item.drained_at is None:
        continue
      limit = (
        item.drained_at + outside.DRAIN_TIMEOUT_SECONDS + MESSAGE_SLACK_SECONDS
      )
      for run in item.runs:
        if run.at > limit and self._is_fault_free(run.request, run.at):
          yield f'{run.request} ran at {item.id} after it was drained'

  def _check_graceful_stops(self) -> Iterator[str]:
    for attempt in self._caller_pool.attempts:
      if attempt.status or attempt.request not in self._runs_by_request:
        continue
      has_left = attempt.has_left or attempt.is_burst
      if attempt.request in self._truncated or has_left:
        # The instance broke the answer off, or the caller closed first or does
        # not read it.
        continue
      stops = [
        at
        for at in attempt.daemon.stop_times
        if attempt.began - FAULT_GRACE_SECONDS <= at <= attempt.ended
      ]
      since = attempt.began - FAULT_GRACE_SECONDS
      if stops and attempt.daemon.is_fault_free(since, attempt.ended):
        yield f'{attempt.request} was cut by the stop of {attempt.daemon.name}'

  def _check_stop_answers(self) -> Iterator[str]:
    """Yields requests that begin beside a planned stop and get no answer."""
    for attempt in self._caller_pool.attempts:
      if attempt.status or not attempt.ended or not attempt.begun:
        continue
      has_run = attempt.request in self._runs_by_request
      is_late = (
        has_run
        and attempt.ended - attempt.began >= callers.REQUEST_TIMEOUT_SECONDS
      )
      is_excused = (
        attempt.has_left or is_late or attempt.request in self._truncated
      )
      since = attempt.began - FAULT_GRACE_SECONDS
      if is_excused or not attempt.daemon.is_fault_free(since, attempt.ended):
        continue
      for closing in self._find_closings(attempt):
        crosses = (
          not has_run
          and attempt.begun > closing - CROSSING_SECONDS
          and attempt.ended - (attempt.sent or attempt.begun)
          <= CLOSED_AT_ONCE_SECONDS
        )
        if not crosses:
          yield (
            f'{attempt.request} got no answer beside the stop of '
            f'{attempt.daemon.name}: begun {attempt.begun - closing:.3f} s, '
            f'sent {attempt.sent - closing:.3f} s and closed '
            f'{attempt.ended - closing:.3f} s after the listener could close, '
            f'{"ran" if has_run else "did not run"}'
          )

  def _find_closings(self, attempt: callers.Attempt) -> Iterator[float]:
    """Yields when listeners close in the stops that are beside a request."""
    daemon = attempt.daemon
    for number, at in enumerate(daemon.stop_times):
      exits = daemon.exit_times[number : number + 1] or [math.inf]
      if at <= attempt.ended and attempt.began <= exits[0]:
        yield daemon.closing_times[number]

  def _check_configurations(self) -> Iterator[str]:
    for runs in self._runs_by_request.values():
      for run in runs:
        if not run.path.startswith(outside.ACT):
          continue
        if run.service not in self._get_allowed_services(
          run.at
        ) and self._is_fault_free(run.request, run.at):
          yield f'{run.request} ran at {run.service} by an old configuration'

  def _get_allowed_services(self, at: float) -> set[str]:
    limit = at - CONFIG_TIMEOUT_SECONDS - MESSAGE_SLACK_SECONDS
    older = [c for c in self._environment.configs if c[0] <= limit]
    newer = [c for c in self._environment.configs if c[0] > limit]
    return {service for _, _, service in (*older[-1:], *newer)}

  def _is_fault_free(self, request: str, at: float) -> bool:
    attempt = self._attempt_by_request.get(request)
    return attempt is not None and attempt.daemon.is_fault_free(
      at - FAULT_GRACE_SECONDS, at
    )

  def _check_crashes(self) -> Iterator[str]:
    runs_by_path: dict[str, list[outside.Run]] = collections.defaultdict(list)
    for runs in self._runs_by_request.values():
      for run in runs:
        if outside.FATAL in run.path:
          runs_by_path[run.path].append(run)
    for path, runs in runs_by_path.items():
      ended = sorted(self._find_noticed(path, runs).values())
      if len(ended) <= MAX_ENDED:
        continue
      limit = ended[MAX_ENDED - 1] + REPORT_TIMEOUT_SECONDS
      for run in runs:
        attempt = self._attempt_by_request[run.request]
        is_informed = attempt.began > limit and attempt.daemon.is_present(
          attempt.began - LEARNING_SECONDS, run.at
        )
        if is_informed:
          yield (
            f'{run.request} ran at {run.instance}, although {MAX_ENDED} '
            f'instances had ended under {path}'
          )

  def _find_noticed(
    self, path: str, runs: list[outside.Run]
  ) -> dict[str, float]:
    """Returns when the ends of instances could be noticed, by instance.

    An end in silence is noticed once its caller has given up, a late one as the
    connection is lost.
    """
    ended_at_by_id = {
      item.id: item.ended_at
      for item in self._environment.instances
      if item.ended_at is not None
    }
    noticed_at_by_id: dict[str, float] = {}
    for run in runs:
      if run.instance not in ended_at_by_id:
        continue
      at = ended_at_by_id[run.instance]
      if any(end in path for end in outside.UNSEEN_ENDS):
        at = max(at, self._attempt_by_request[run.request].ended or math.inf)
      if outside.LATE in path:
        at = self._attempt_by_request[run.request].ended or math.inf
      noticed_at_by_id[run.instance] = min(
        at, noticed_at_by_id.get(run.instance, math.inf)
      )
    return noticed_at_by_id

  def _check_quarantine(self) -> Iterator[str]:
    for attempt in self._caller_pool.attempts:
      if (
        attempt.error == 'request_quarantined'
        and outside.FATAL not in attempt.path
      ):
        yield f'{attempt.request} was refused, but ends no instance'

  def _check_endless(self) -> Iterator[str]:
    for item in self._environment.instances:
      for request, size in item.endless_bytes_by_request.items():
        if size > outside.MAX_ENDLESS_BYTES:
          yield f'{size} bytes of a response without end to {request} were read'

  def _check_neighbours(self) -> Iterator[str]:
    """Yields requests beside a burst that were cut, or got no answer of theirs.

    The instance of each has sent the whole answer.
    """
    for burst in self._bursts:
      for attempt in self._caller_pool.attempts:
        is_beside = (
          attempt.daemon is burst.daemon
          and not attempt.is_burst
          and not attempt.has_left
          and attempt.ended > burst.began
          and attempt.began < (burst.ended or math.inf)
        )
        if (
          is_beside
          and attempt.request in self._runs_by_request
          and attempt.request not in self._unkept
          and attempt.status not in (200, 402)
          and attempt.daemon.is_fault_free(
            attempt.began - FAULT_GRACE_SECONDS, attempt.ended
          )
        ):
          yield (
            f'{attempt.request} ran beside a burst at {burst.daemon.name} '
            f'({burst.kind}) and got {attempt.status} {attempt.error}'
          )

  def find_recent_turns(self, count: int) -> list[callers.Attempt]:
    """Returns the newest turns that were answered completely."""
    complete = [
      attempt
      for attempt in self._caller_pool.attempts
      if attempt.status == 200
      and attempt.path.startswith(outside.CHAT)
      and outside.FATAL not in attempt.path
      and time.monotonic() - attempt.ended < 40.0
    ]
    return complete[-count:]

  def find_unkept_turns(self, count: int) -> list[callers.Attempt]:
    """Returns the newest turns of each kind that have no complete answer.

    One kind was truncated, the other got an answer that contradicts its run.
    """
    kinds = (
      self._environment.truncated_requests,
      self._environment.contradicted_requests,
    )
    turns = [
      attempt
      for attempt in self._caller_pool.attempts
      if attempt.path.startswith(outside.CHAT)
    ]
    return [
      turn
      for requests in kinds
      for turn in [t for t in turns if t.request in requests][-count:]
    ]

  def count_innocent(self) -> dict[str, int]:
    """Returns tries of requests that end no instance, and their refusals."""
    innocent = [
      attempt
      for attempt in self._caller_pool.attempts
      if outside.FATAL not in attempt.path
    ]
    errors_found = collections.Counter(attempt.error for attempt in innocent)
    return {
      'innocent tries': len(innocent),
      'served': sum(attempt.status == 200 for attempt in innocent),
      **{
        code.value: errors_found[code.value]
        for code in (
          errors.Code.REQUEST_QUARANTINED,
          errors.Code.UPSTREAM_UNAVAILABLE,
        )
      },
    }

  def count_broken_promises(self) -> dict[str, int]:
    """Returns how many requests ran twice, or were refused after they ran."""
    return {
      'ran twice': len(list(self._check_once())),
      'refused after they ran': len(list(self._check_refusals())),
      'answers that contradict a run': sum(
        len(item.contradicted_requests) for item in self._environment.instances
      ),
    }
