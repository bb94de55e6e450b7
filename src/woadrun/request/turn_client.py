"""Opens and closes turns at the owners of their programs.

A program is a sequence of requests, its turns, that share a token budget.  The
owner of a program admits a turn before it runs and records its end.  It is a
daemon of the program's home domain, the failure domain where the program
started.  The live members of a domain are ranked for each program: the first is
the owner, the next its standby, which has a copy of what the owner decided.
The members are asked in this order, until one of them can decide.

No daemon has a disk, and all of them may be lost at once.  So what a caller was
told has to be in the row store: a turn runs only once its reservation is there,
and its answer ends as complete only once the turn is.  While the store is
unreachable for this daemon and its peers, both wait here, as long as the
caller's deadline allows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import secrets
import time
from typing import TypeVar

import msgspec

from woadrun import errors
from woadrun.connection import peers
from woadrun.connection import turn_messages
from woadrun.decisions import retry_after
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import programs
from woadrun.process.store import store_access
from woadrun.process.store import turn_store
from woadrun.request import exchange
from woadrun.request import history_cache
from woadrun.request import store_waits

log = logging.getLogger('woadrun.turns')

T = TypeVar('T')

# Maximum number of members that a log line names in a list.
MAX_LOGGED_MEMBERS = 8
# Maximum number of members of a domain that are asked about one program: the
# owner, the standby, and the member that was one of the two before the last
# membership change.
MAX_MEMBERS_ASKED = 3
# Interval of checks whether a peer that has not answered yet is still alive.
LIVENESS_CHECK_INTERVAL_SECONDS = 0.15
# A message without an answer is sent again on a new connection after this
# delay, because the first connection may no longer pass any data.  Messages are
# idempotent, so sending one twice is safe.
RESEND_DELAY_SECONDS = 0.6
# Timeout of a message to an owner.  It covers the longest time that an owner
# waits for the row store, the network round trip and the owner's standby.
POST_TIMEOUT_SECONDS = 3.0
# Delay after which a turn that the store kept from being admitted is opened
# again, and its largest value: it doubles while the store can be reached and
# serves nobody in time, which more calls do not help.
REOPEN_DELAY_SECONDS = 0.05
MAX_REOPEN_DELAY_SECONDS = 0.4
# Time for the store to take a turn whose reply ends at its deadline.
MIN_WRITE_SECONDS = 0.25
# How long the end of a turn waits for the owner once the store has the turn.
# The owner is told in the background then.
MAX_OWNER_WAIT_SECONDS = 0.1
# Errors of one member after which another member may still admit the turn.
# `UNKNOWN_PROGRAM` says that the turn to continue from was not found.
INCONCLUSIVE_CODES = (
  errors.Code.NOT_OWNER,
  errors.Code.OWNER_UNAVAILABLE,
  errors.Code.UNKNOWN_PROGRAM,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Refusal:
  """The error by which a member did not admit a turn."""

  member: str
  code: errors.Code
  message: str


class TurnClient:
  """Client of the owners of programs, which admit turns.

  `members` is the fleet, `local` the part of this daemon that acts as owner,
  `store` its access to the row store, and `waits` counts what waits for that.
  `get_outage` returns for how many seconds the row store or another domain has
  been unreachable.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    local: programs.Programs,
    messenger: peers.Messenger,
    store: store_access.StoreAccess,
    turns: turn_store.TurnStore,
    waits: store_waits.StoreWaits,
    get_outage: Callable[[], float],
  ) -> None:
    self._waits = waits
    self._store = store
    self._members = members
    self._local_programs = local
    self._peers = messenger
    self._turn_store = turns
    self._get_outage = get_outage
    self._recent_lines = history_cache.HistoryCache()
    self._close_tasks: set[asyncio.Task[None]] = set()
    # The answers of members that did not admit a turn that is being opened.
    self._refusals_by_arrival: dict[str, list[_Refusal]] = {}

  @property
  def is_held(self) -> bool:
    """Whether a turn that begins or ends now has to wait for the row store."""
    return not self._store.is_reachable

  @property
  def may_hold_ends(self) -> bool:
    """Whether the end of a turn may have to wait, as far as is known."""
    return self._store.is_doubtful

  # --- Opening a turn -------------------------------------------------------

  async def open(
    self,
    id: str,
    turn: exchange.TurnInfo,
    *,
    keeps_history: bool = True,
    admission: turn_messages.AdmissionRequest | None = None,
  ) -> turn_messages.OpenedTurn:
    """Reserves the tokens of a turn and returns its history, if it has one.

    Waits for the row store while it is unreachable; the caller limits the time.
    `id` and the ids in `turn` are scoped by team.  Without `keeps_history` the
    turn is opened without its parent.  With `admission`, a program begins only
    if its service has room.  In the result, unlike in an owner's answer, `home`
    is the domain that admitted the turn, or empty for the domain of this
    daemon.

    Raises `owner_unavailable` if no reachable member can admit the turn, and
    other errors of the owner, such as `budget_exceeded`, `service_full` and (if
    another daemon handles a copy of the turn) `outcome_unknown`, unchanged.
    """
    parent = turn.parent if keeps_history else ''
    # The history, if this daemon ran the parent recently: the owner then need
    # not send it, and `is_brief` says so.
    known = self._recent_lines.get(parent)
    message = turn_messages.OpenTurn(
      program=turn.program,
      request=id,
      parent=parent,
      most=turn.max_output,
      budget=turn.budget,
      is_brief=known is not None,
      keeps_history=keeps_history,
      parts=turn.parts,
      admission=admission,
      arrival=secrets.token_hex(8),
    )
    refusals = self._refusals_by_arrival.setdefault(message.arrival, [])
    try:
      opened = await self._open_with_store(message)
    except errors.WoadrunError as error:
      if parent and error.code is errors.Code.OWNER_UNAVAILABLE:
        self._log_missed_parent(message, refusals)
      raise
    finally:
      del self._refusals_by_arrival[message.arrival]
    if known is None:
      return opened
    return msgspec.structs.replace(
      known, home=opened.home, cached_by_instance=opened.cached_by_instance
    )

  async def _open_with_store(
    self, message: turn_messages.OpenTurn
  ) -> turn_messages.OpenedTurn:
    """Opens a turn while the row store is reachable, and waits for that."""
    delay = REOPEN_DELAY_SECONDS
    with self._waits.measure(store_waits.Kind.START, message.request) as wait:
      while True:
        if self.is_held:
          wait.note('the store is unreachable')
          await self._store.wait_until_reachable()
          delay = REOPEN_DELAY_SECONDS
        try:
          return await self._open(message)
        except errors.WoadrunError as error:
          is_outage = error.code is errors.Code.PLATFORM_UNAVAILABLE or (
            error.code is errors.Code.OWNER_UNAVAILABLE and self.is_held
          )
          if not is_outage:
            raise
          wait.note(error.message)
        await asyncio.sleep(delay)
        delay = min(MAX_REOPEN_DELAY_SECONDS, 2 * delay)

  async def _open(
    self, message: turn_messages.OpenTurn
  ) -> turn_messages.OpenedTurn:
    """Asks this domain, whose members admit the turn or name the home domain.

    If none of them can tell, asks all other domains.
    """
    own_domain = self._members.me.domain
    try:
      opened = await self._open_in_domain(own_domain, message)
    except errors.WoadrunError as error:
      # What the row store lacks, no member has.
      if error.code is errors.Code.UNKNOWN_PROGRAM:
        raise self._make_refusal(error) from error
      if error.code not in INCONCLUSIVE_CODES:
        raise
      return await self._open_in_other_domains(message, error)
    if not opened.home:
      return opened
    # The turn is not admitted yet: `home` is the domain that can admit it.
    return await self._open_at_home(message, opened)

  async def _open_at_home(
    self, message: turn_messages.OpenTurn, opened: turn_messages.OpenedTurn
  ) -> turn_messages.OpenedTurn:
    """Opens a turn at the home domain that `opened` names.

    If that domain is unreachable, opens the turn in this domain.
    """
    own_domain = self._members.me.domain
    try:
      # The home domain need not send a history that this domain already has.
      is_brief = message.is_brief or opened.has_history
      message_to_home = msgspec.structs.replace(message, is_brief=is_brief)
      granted = await self._open_in_domain(opened.home, message_to_home)
      if not granted.home:
        history = opened if opened.has_history else granted
        return msgspec.structs.replace(
          history,
          home=opened.home,
          cached_by_instance=granted.cached_by_instance,
        )
      # Two domains started the program at the same time.  The answer of the
      # home domain, which names another one, admits nothing and has no history,
      # so the turn is opened in this domain below.
      log.warning(
        'Program %s: domain %s names %s as its home, which names %s.',
        message.program,
        own_domain,
        opened.home,
        granted.home,
      )
    except errors.WoadrunError as error:
      if error.code not in INCONCLUSIVE_CODES:
        raise
      log.info(
        'Turn %s: home domain %s of program %s is unreachable: %s',
        message.request,
        opened.home,
        message.program,
        error.message,
      )
    try:
      # The program has a home domain, so it must not be created here, even if
      # the row store has no row of it yet.
      return await self._open_in_domain(
        own_domain, msgspec.structs.replace(message, is_away=True, begins=False)
      )
    except errors.WoadrunError as error:
      raise self._make_refusal(error) from error

  async def _open_in_domain(
    self, domain: str, message: turn_messages.OpenTurn
  ) -> turn_messages.OpenedTurn:
    """Asks the members of one domain one by one; returns the first answer.

    Raises the first conclusive error, otherwise the last inconclusive one.
    """
    members = self._members.rank(message.program, domain)[:MAX_MEMBERS_ASKED]
    failure: errors.WoadrunError | None = None
    for member in members:
      try:
        return await self._open_at(member, message)
      except errors.WoadrunError as error:
        if (
          error.code not in INCONCLUSIVE_CODES
          or error.code is errors.Code.UNKNOWN_PROGRAM
        ):
          raise
        if not isinstance(error, peers.NoAnswer):
          # This member has decided whether the program may begin.  If each
          # member asked decided anew, a program would count several times, and
          # the last one could refuse what the owner admitted.
          message = _without_decision(message)
          if error.code is errors.Code.OWNER_UNAVAILABLE:
            # This member knows the program, so the next one must not create it.
            message = msgspec.structs.replace(message, begins=False)
        failure = error
    raise failure or errors.WoadrunError(
      errors.Code.OWNER_UNAVAILABLE, f'No member of {domain} is alive.'
    )

  async def _open_in_other_domains(
    self, message: turn_messages.OpenTurn, failure: errors.WoadrunError
  ) -> turn_messages.OpenedTurn:
    """Opens a turn at another domain, as no member of this one can.

    Another domain may be its home; only the domain of its caller may begin a
    program.
    """
    own_domain = self._members.me.domain
    others = sorted(self._members.domains - {own_domain})
    without_create = msgspec.structs.replace(message, begins=False)
    results = await asyncio.gather(
      *(self._open_in_domain(domain, without_create) for domain in others),
      return_exceptions=True,
    )
    for domain, result in zip(others, results, strict=True):
      if isinstance(result, turn_messages.OpenedTurn) and not result.home:
        return msgspec.structs.replace(result, home=domain)
    for result in results:
      if (
        isinstance(result, errors.WoadrunError)
        and result.code not in INCONCLUSIVE_CODES
      ):
        raise result
    raise self._make_refusal(failure)

  async def _open_at(
    self,
    member: fleet_heartbeats.Member,
    message: turn_messages.OpenTurn,
  ) -> turn_messages.OpenedTurn:
    """Asks one member; a turn that it opens after a cancellation is closed."""
    opening = asyncio.ensure_future(self._send_open(member, message))
    try:
      return await asyncio.shield(opening)
    except asyncio.CancelledError:
      closing = asyncio.ensure_future(
        self._close_unused(opening, message, member.domain)
      )
      self._close_tasks.add(closing)
      closing.add_done_callback(self._close_tasks.discard)
      raise

  async def _close_unused(
    self,
    opening: asyncio.Future[turn_messages.OpenedTurn],
    message: turn_messages.OpenTurn,
    domain: str,
  ) -> None:
    """Takes back the reservation of a turn whose request has ended."""
    try:
      opened = await opening
      if opened.home:
        # The answer of a member that has reserved nothing.
        return
      done = turn_messages.CloseTurn(
        program=message.program,
        request=message.request,
        tokens=0,
        has_run=False,
      )
      await self._close_in(domain, done)
    except errors.WoadrunError as error:
      log.info(
        'Turn %s of %s, whose request has ended, is not closed: %s',
        message.request,
        message.program,
        error.message,
      )

  def _log_missed_parent(
    self, message: turn_messages.OpenTurn, refusals: list[_Refusal]
  ) -> None:
    """Logs where the turn was looked for that a refused turn continues from.

    Each member that was asked looks in its memory, then in the store.  It is a
    warning if one of them could read the store and did not find the turn.
    """
    is_missing = any(r.code is errors.Code.UNKNOWN_PROGRAM for r in refusals)
    entry = self._local_programs.entry_by_program.get(message.program)
    home = '' if entry is None else entry.ledger.home
    holders = self._members.rank(message.program, home) if home else []
    silent = self._members.get_silent_seconds()
    log.log(
      logging.WARNING if is_missing else logging.INFO,
      'Turn %s of program %s is not admitted: turn %s, from which it '
      'continues, was looked for at %s.  Home domain: %s, first by rank now: '
      '%s.  Silent members, which may have it: %s.  The store or a domain has '
      'been unreachable for %.1f s.',
      message.request,
      message.program,
      message.parent,
      _join_names([f'{r.member} ({r.message})' for r in refusals]),
      home or 'not known here',
      _join_names([member.name for member in holders[:MAX_MEMBERS_ASKED]]),
      _join_names([f'{name} ({s:.1f} s)' for name, s in silent.items()]),
      self._get_outage(),
    )

  async def _send_open(
    self,
    member: fleet_heartbeats.Member,
    message: turn_messages.OpenTurn,
  ) -> turn_messages.OpenedTurn:
    try:
      return await self._send_open_once(member, message)
    except errors.WoadrunError as error:
      refusals = self._refusals_by_arrival.get(message.arrival)
      if refusals is not None:
        refusals.append(
          _Refusal(member=member.name, code=error.code, message=error.message)
        )
      raise

  async def _send_open_once(
    self,
    member: fleet_heartbeats.Member,
    message: turn_messages.OpenTurn,
  ) -> turn_messages.OpenedTurn:
    if member.name == self._members.me.name:
      return await self._local_programs.open_turn(message)
    return await self._post_with_resend(
      member, 'program/open', message, turn_messages.OpenedTurn
    )

  def _make_refusal(self, failure: errors.WoadrunError) -> errors.WoadrunError:
    """Returns the error to raise for a turn that no member admitted.

    It is `owner_unavailable` for an inconclusive error, else `failure` itself.
    """
    if failure.code not in INCONCLUSIVE_CODES:
      return failure
    # The turn has not run, because nothing was sent to an upstream.  A missing
    # parent is reported as `owner_unavailable` rather than `unknown_program`,
    # because a member that does not answer may have it.
    return errors.WoadrunError(
      errors.Code.OWNER_UNAVAILABLE,
      f'No reachable member can admit the turn: {failure.message}',
      retry_after=retry_after.estimate_outage(self._get_outage()),
    )

  # --- Closing a turn -------------------------------------------------------

  def record_history(
    self, opened: turn_messages.OpenedTurn, turn: turn_messages.Turn
  ) -> None:
    """Records the history of a durable turn for the turn that follows it."""
    self._recent_lines.put(opened, turn)

  async def close(
    self, message: turn_messages.CloseTurn, *, home: str, deadline: float
  ) -> None:
    """Records the end of a turn; returns once the row store has a complete one.

    A message without `turn` only settles the tokens, in the home domain: the
    turn is incomplete or has no history.  `home` is the domain that admitted
    the turn, `deadline` is on the monotonic clock.

    Raises `not_committed` if the store does not have the turn by then, and
    `rows.CallRejected` if it rejects the turn.  The answer must not end as
    complete then.
    """
    if message.turn is None:
      await self._close_in(home, message)
      return
    recording = asyncio.ensure_future(self._record_end(message, home))
    self._close_tasks.add(recording)
    recording.add_done_callback(self._close_tasks.discard)
    with self._waits.measure(store_waits.Kind.END, message.request) as wait:
      if self.is_held:
        wait.note('the store is unreachable')
      try:
        left = max(deadline - time.monotonic(), MIN_WRITE_SECONDS)
        async with asyncio.timeout(left):
          await self._turn_store.write(message.turn)
      except TimeoutError:
        raise errors.WoadrunError(
          errors.Code.NOT_COMMITTED,
          'The store did not take the turn before the deadline of its caller.',
          ran=errors.RunStatus.RAN,
        ) from None
    await asyncio.wait((recording,), timeout=MAX_OWNER_WAIT_SECONDS)

  async def _record_end(
    self, message: turn_messages.CloseTurn, home: str
  ) -> None:
    """Tells the owner of a program that a turn has ended; logs a failure."""
    try:
      await self._close_in(home, message)
    except errors.WoadrunError as error:
      # The row of the program has the turn as reserved, at its most tokens.
      log.info(
        'The owner does not know of the end of turn %s: %s',
        message.request,
        error.message,
      )

  async def _close_in(
    self, domain: str, message: turn_messages.CloseTurn
  ) -> None:
    """Reports the end of a turn to the first member of a domain that accepts.

    Raises the last error if none does.
    """
    failure: errors.WoadrunError | None = None
    for member in self._members.rank(message.program, domain)[
      :MAX_MEMBERS_ASKED
    ]:
      try:
        if member.name == self._members.me.name:
          await self._local_programs.close_turn(message)
        else:
          await self._post_with_resend(
            member, 'program/close', message, turn_messages.Closed
          )
        return
      except errors.WoadrunError as error:
        failure = error
    raise failure or errors.WoadrunError(
      errors.Code.OWNER_UNAVAILABLE, f'No member of {domain} is alive.'
    )

  # --- Messages to peers ----------------------------------------------------

  async def _post_with_resend(
    self,
    member: fleet_heartbeats.Member,
    path: str,
    message: object,
    type: type[T],
  ) -> T:
    """Posts a message, a second time if it stays without an answer.

    Returns the first answer to either one, or raises its error.  Raises
    `peers.NoAnswer` if the member is no longer considered alive.
    """
    started_at = time.monotonic()

    def post() -> asyncio.Task[T]:
      return asyncio.ensure_future(
        self._peers.post(
          member.address, path, message, type=type, timeout=POST_TIMEOUT_SECONDS
        )
      )

    tasks = [post()]
    try:
      while True:
        await asyncio.wait(
          tasks,
          timeout=LIVENESS_CHECK_INTERVAL_SECONDS,
          return_when=asyncio.FIRST_COMPLETED,
        )
        for task in tasks:
          if task.done():
            return task.result()
        if not self._members.is_alive(member.name):
          raise peers.NoAnswer(
            errors.Code.OWNER_UNAVAILABLE,
            f'{member.name} is not considered alive.',
          )
        if (
          len(tasks) == 1
          and time.monotonic() - started_at > RESEND_DELAY_SECONDS
        ):
          self._peers.reset_connections(member.address)
          tasks.append(post())
    except peers.NoAnswer:
      # Only a peer that does not answer counts as failed; one that refuses is
      # healthy.  When refusals counted as well, owners that refused turns,
      # because their domain's share of a budget was spent, were avoided during
      # a partition, until daemons considered themselves isolated and refused
      # all requests.
      self._members.record_failure(member.name)
      raise
    finally:
      for task in tasks:
        task.cancel()


def _without_decision(
  message: turn_messages.OpenTurn,
) -> turn_messages.OpenTurn:
  """Returns a message whose receiver does not decide if the program begins."""
  if message.admission is None:
    return message
  return msgspec.structs.replace(
    message,
    admission=msgspec.structs.replace(message.admission, is_first=False),
  )


def _join_names(names: list[str]) -> str:
  """Returns a list for a log line, shortened to MAX_LOGGED_MEMBERS."""
  left = len(names) - MAX_LOGGED_MEMBERS
  more = [f'{left} more'] if left > 0 else []
  return ', '.join([*names[:MAX_LOGGED_MEMBERS], *more]) or 'none'
