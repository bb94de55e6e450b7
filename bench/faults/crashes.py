"""Callers whose request ends each instance that runs it, sent again and again.

A request must end at most `MAX_ENDED` instances, in whichever way it ends them,
also if all daemons are killed.  A run may end one more only if its daemon
cannot have known of those before: it began before any end could be noticed, or
reports are lost or late, or its daemon was cut off a moment ago; or if nobody
can know of it, since it was the first one and its daemon was killed.  An end in
silence is noticed once its caller gives up, and a late one as the connection is
lost.  The sides of a partition share what is left of `MAX_ENDED`: a side may
end one more only if it knew of none.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import time

from faults import fleet
from faults import network
from faults import outside
from faults import tenancy
from woadrun import errors
from woadrun.request import exchange
from woadrun.version import teams

MAX_ENDED = 3
TRY_TIMEOUT_SECONDS = 1.0
# Shortest time after which a caller gives up.
MIN_TRY_SECONDS = 0.2
# Range of the pause between two tries.
PAUSE_SECONDS = (0.02, 0.3)
# Share of the tries that are sent beside another one.
OVERLAP_SHARE = 0.1
# Time that a report takes, without and with delayed or lost datagrams.
REPORT_SECONDS = 0.02
DISTURBED_REPORT_SECONDS = 1.0
# Time after which a daemon that is cut off notices that it hears nobody.
NOTICE_SECONDS = 0.7
NOT_RUN_CODES = ('request_quarantined', 'upstream_unavailable')
DISTURBING_KINDS = frozenset(('delay', 'lose-datagrams'))
PARTITIONING_KINDS = frozenset(('cut', 'cut-one-way'))
# The routes of both services, of each kind.
PATHS = (fleet.LOOK, fleet.ACT, fleet.DRAFT, fleet.CHAT)


@dataclasses.dataclass(kw_only=True)
class _Try:
  """One try, sent at `at` to a daemon that is cut off since `isolated_at`.

  Its daemon `was_killed` while it ran.
  """

  request: exchange.Request
  at: float
  isolated_at: float | None = None
  was_killed: bool = False
  ended_at: float = 0.0
  code: str = ''


class FatalCaller:
  """A caller of one request that ends its instances.

  `kinds` has the kinds of all faults of the run.  `end` is one of
  `outside.ENDS`, drawn by name if it is not given.
  """

  def __init__(
    self,
    *,
    served: fleet.Fleet,
    name: str,
    path: str,
    kinds: frozenset[str],
    end: bytes | None = None,
  ) -> None:
    self._served = served
    self._path = path
    self._kinds = kinds
    self._rng = random.Random(name)
    self._name = name
    self._end = self._rng.choice(outside.ENDS) if end is None else end
    self._body = outside.FATAL_MARK + self._end + name.encode()
    self._tries: list[_Try] = []

  async def run(self, seconds: float) -> None:
    """Sends the request until a time has passed, then checks the result."""
    until = time.monotonic() + seconds
    beside: set[asyncio.Task[None]] = set()
    while time.monotonic() < until:
      sent = asyncio.ensure_future(self._send())
      if self._rng.random() < OVERLAP_SHARE:
        beside.add(sent)
      else:
        await sent
      await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
    await asyncio.gather(*beside)
    self._served.violations.extend(self._find_violations())

  async def _send(self) -> None:
    mute = self._served.network.mute_names
    alive = [
      site
      for site in self._served.get_alive()
      if site.daemon.config.name not in mute
    ]
    if not alive:
      return
    site = self._rng.choice(alive)
    sent = self._make_try(site)
    self._tries.append(sent)
    work = site.run(_get_code(site, sent.request))
    try:
      async with asyncio.timeout(
        self._rng.uniform(MIN_TRY_SECONDS, TRY_TIMEOUT_SECONDS)
      ):
        sent.code = await work
    except (TimeoutError, asyncio.CancelledError):
      if not work.done():
        raise
      sent.code = 'no answer'
    finally:
      sent.was_killed = site.is_dead
      sent.isolated_at = self._served.network.isolated_at.get(
        site.daemon.config.name
      )
      sent.ended_at = time.monotonic()

  def _make_try(self, site: network.Site) -> _Try:
    now = time.monotonic()
    key = self._served.tenancy.get_key(tenancy.TEAM_NAMES[0])
    is_turn = self._path in (fleet.CHAT, fleet.DRAFT)
    turn = exchange.TurnInfo(
      program=self._name, max_output=9, budget=10_000, prompt_tokens=9
    )
    request = exchange.Request(
      id=f'{self._name}-{len(self._tries)}',
      method='POST',
      host='h',
      target=f'{self._path}x',
      headers=[],
      body=self._body,
      deadline=now + TRY_TIMEOUT_SECONDS,
      key_digest=teams.digest_key(key.secret),
      program=self._name,
      turn=turn if is_turn else None,
    )
    return _Try(request=request, at=now)

  # --- Checks ---------------------------------------------------------------

  def _find_violations(self) -> list[str]:
    instances = self._served.instances
    try_by_id = {item.request.id: item for item in self._tries}
    runs = sorted(run for run in instances.fatal_runs if run[1] in try_by_id)
    ran = {id for _, id in runs}
    found = [
      f'refused: {item.request.id} ran and got {item.code}'
      for item in self._tries
      if item.code in NOT_RUN_CODES and item.request.id in ran
    ]
    # Copies of a request may run at one instance, and beside another request
    # that ended it.
    ended_ids = {
      id
      for id in instances.ended_by_body.get(self._body, ())
      if instances.ender_by_id.get(id, self._body) == self._body
    }
    ended_at = sorted(instances.ended_at_by_id[id] for id in ended_ids)
    if not ended_at:
      return found
    if self._end in outside.UNSEEN_ENDS or self._end == outside.LATE:
      ended_at = sorted(try_by_id[id].ended_at for _, id in runs)
    uninformed = sum(
      self._is_uninformed(at, try_by_id[id], ended_at)
      for at, id in runs[MAX_ENDED:]
    )
    untold = sum(
      try_by_id[id].was_killed and at <= ended_at[0] for at, id in runs
    )
    allowed = MAX_ENDED + uninformed + untold
    if self._kinds & PARTITIONING_KINDS:
      allowed = max(allowed, len(self._served.domains))
    if len(ended_ids) > allowed:
      found.append(
        f'crashes: {len(ended_ids)} instances ended under {self._name}, '
        f'allowed are {allowed}'
      )
    return found

  def _is_uninformed(
    self, at: float, sent: _Try, ended_at: list[float]
  ) -> bool:
    """Returns whether a daemon that ran a try `at` may not know of others."""
    is_disturbed = bool(self._kinds & DISTURBING_KINDS)
    seconds = DISTURBED_REPORT_SECONDS if is_disturbed else REPORT_SECONDS
    return (
      at < ended_at[0] + seconds
      or (
        sent.isolated_at is not None and at < sent.isolated_at + NOTICE_SECONDS
      )
      or (is_disturbed and any(0 < at - end < seconds for end in ended_at))
    )


async def _get_code(site: network.Site, request: exchange.Request) -> str:
  """Returns the error code of a try, or its status."""
  try:
    async with site.daemon.serving.handle_request(request) as answer:
      async for _ in answer.chunks:
        pass
      return str(answer.status)
  except errors.WoadrunError as error:
    return error.code.value
  except exchange.ResponseLost:
    return 'broken off'
