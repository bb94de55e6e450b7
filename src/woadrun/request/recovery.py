"""Calls that another owner of their slot had begun.

An owner that gives a slot away finishes the calls that it executes; the
new owner waits for their outcomes.  What a dead owner left, or what was
given up, the owner brings to its end: a call that may be repeated is
resumed, of an action only the outcome is asked.
"""

from __future__ import annotations

import asyncio
import logging

import mode
import msgspec

from woadrun import errors
from woadrun import settings
from woadrun.connection import messages
from woadrun.connection import peers
from woadrun.process import configuration
from woadrun.process import membership
from woadrun.process import ownership
from woadrun.process import slots
from woadrun.request import calls
from woadrun.request import execution
from woadrun.request import placing
from woadrun.request import runner
from woadrun.request import upstreams
from woadrun.version import program

log = logging.getLogger('woadrun.recovery')

# How often calls are looked for that nobody finishes.
ORPHAN_SECONDS = 5.0

Key = tuple[str, str]


class Recovery(mode.Service):
  """The calls of this daemon's slots that were not begun here."""

  def __init__(
    self,
    *,
    config: settings.Settings,
    members: membership.Membership,
    held: ownership.Ownership,
    table: configuration.Configuration,
    links: peers.Peers,
    places: placing.Placing,
    back: upstreams.Upstreams,
    run: runner.Runner,
  ) -> None:
    super().__init__()
    self._config = config
    self._members = members
    self._held = held
    self._table = table
    self._links = links
    self._places = places
    self._back = back
    self._runner = run
    self._elsewhere: dict[Key, messages.Handover] = {}
    # Calls that are waited for or about to be brought to their end here.
    self._recovering: set[Key] = set()
    held.on_owned = self._on_owned

  # --- Calls that their giver finishes --------------------------------------

  def note_handover(self, message: messages.Handover) -> messages.Done:
    """Takes in which calls of a slot to come another daemon will finish."""
    for _, name, request in message.requests:
      self._elsewhere[(name, request)] = message
    self.add_future(self._follow(message))
    return messages.Done()

  async def _follow(self, giver: messages.Handover) -> None:
    """Returns once the giver has nothing left to finish.

    What it does not execute any more it has given up: the outcome comes
    before it says so.
    """
    asked = {(name, request) for _, name, request in giver.requests}
    while asked := {k for k in asked if self._elsewhere.get(k) is giver}:
      for key in asked - await self._ask_giver(giver, asked):
        self._elsewhere.pop(key, None)
      await asyncio.sleep(self._config.timing.heartbeat)

  async def _ask_giver(
    self, giver: messages.Handover, keys: set[Key]
  ) -> set[Key]:
    known = self._members.roster.incarnations.get(giver.sender)
    if known not in (None, giver.incarnation):
      return set()
    try:
      answer = await self._links.post(
        giver.sender,
        'running',
        messages.Requests(requests=sorted(keys)),
        type=messages.Requests,
        timeout=self._config.timing.silent_after,
      )
    except errors.WoadrunError:
      is_alive = await self._members.is_heard_by_others(giver.sender)
      return keys if is_alive else set()
    return set(answer.requests)

  async def note_finished(self, message: messages.Finish) -> messages.Recorded:
    """Commits the outcome of a call that its giver finished."""
    recorded = await self._runner.note_finished(message)
    key = (message.record.program, message.record.request)
    if self._find_attempt(key) is None:
      # Otherwise the record was an earlier attempt's, and the giver still
      # executes this one.
      self._elsewhere.pop(key, None)
    return recorded

  def find_running(self, message: messages.Requests) -> messages.Requests:
    """Returns which of the calls this daemon still brings to their end."""
    return messages.Requests(
      requests=[
        key for key in message.requests if self._runner.is_under_way(key)
      ]
    )

  # --- Calls that nobody finishes -------------------------------------------

  def _on_owned(self, holding: slots.Holding) -> None:
    for name, found in holding.state.program_by_id.items():
      for request in found.get_running():
        key = (name, request.accepted.request)
        if not self._is_cared_for(key):
          self._recovering.add(key)
          self.add_future(self._recover(key, request.accepted))

  def _is_cared_for(self, key: Key) -> bool:
    return self._runner.is_under_way(key) or key in self._recovering

  @mode.Service.task
  async def _find_orphans(self) -> None:
    # Whatever was given up, here or elsewhere, a call has one end.
    while not self.should_stop:
      await self.sleep(ORPHAN_SECONDS)
      for holding in list(self._held.holding_by_slot.values()):
        self._on_owned(holding)

  async def _recover(self, key: Key, accepted: program.Accepted) -> None:
    """Brings a call to its end that an earlier owner had begun."""
    try:
      await self._wait_elsewhere(key)
      self._begin_again(key, accepted)
    finally:
      self._recovering.discard(key)

  async def _wait_elsewhere(self, key: Key) -> None:
    while key in self._elsewhere:
      await asyncio.sleep(self._config.timing.heartbeat / 10)

  def _find_attempt(self, key: Key) -> program.Accepted | None:
    """Returns the running attempt of a call, or None."""
    _, number = calls.split_program_id(key[0])
    holding = self._held.holding_by_slot.get(number)
    found = holding.state.program_by_id.get(key[0]) if holding else None
    request = found.request_by_id.get(key[1]) if found else None
    if request is None or not request.is_running:
      return None
    return request.accepted

  def _is_current(self, key: Key, accepted: program.Accepted) -> bool:
    """Returns whether an attempt is still the running one of its request."""
    found = self._find_attempt(key)
    return found is not None and found.attempt == accepted.attempt

  def _begin_again(self, key: Key, accepted: program.Accepted) -> None:
    if not self._is_current(key, accepted) or self._runner.is_under_way(key):
      return
    call = calls.Call(
      program=accepted.program,
      request=accepted.request,
      call=accepted.call,
      target=accepted.target,
      body=msgspec.Raw(accepted.body.encode()),
      teams=['*'],
      repeatable=accepted.repeatable,
    )
    running = execution.make_execution(call)
    running.digest = accepted.digest
    running.is_accepted = True
    self._runner.execution_by_key[key] = running
    running.task = asyncio.ensure_future(self._finish_begun(running, accepted))

  async def _finish_begun(
    self, running: execution.Execution, accepted: program.Accepted
  ) -> None:
    key = (accepted.program, accepted.request)
    await self._runner.turns.enter(accepted.program)
    try:
      if not self._is_current(key, accepted):
        raise runner.make_superseded(accepted.request)
      await self._resume(running, accepted)
    except errors.WoadrunError as error:
      running.fail(error)
    except asyncio.CancelledError:
      running.fail(runner.make_cancelled(running))
    finally:
      self._runner.turns.exit(accepted.program)
      self._runner.execution_by_key.pop(key, None)

  async def _resume(
    self, running: execution.Execution, accepted: program.Accepted
  ) -> None:
    _, number = calls.split_program_id(accepted.program)
    holding = await self._held.open(number)
    found = holding.state.get_program(accepted.program)
    row = self._table.get_row(found.started.team, found.started.kind)
    log.info('Resuming request %s of %s.', accepted.request, accepted.program)
    if accepted.repeatable:
      place = self._places.get_place(accepted.upstream, is_resumed=True)
      await self._runner.perform(running, accepted, place, row)
      return
    outcome = await self._back.ask_outcome(accepted)
    if outcome is not None:
      if not await self._runner.finish(outcome):
        raise runner.make_superseded(accepted.request)
      self._runner.pass_on(running, outcome)
      return
    error = upstreams.make_unknown(accepted)
    now = self._runner.clock()
    failed = runner.make_failed(accepted, error, now=now)
    if not await self._runner.finish(failed):
      raise runner.make_superseded(accepted.request)
    raise error

  def dump(self) -> dict[str, object]:
    """Returns the state of this part as plain data."""
    return {
      'elsewhere': len(self._elsewhere),
      'recovering': len(self._recovering),
    }
