"""Long conversations, and daemons that are stopped and started in turn."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib
import random
import secrets
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import case  # noqa: E402
from standins import clients  # noqa: E402
from standins import daemons  # noqa: E402
from standins import deployment  # noqa: E402
from standins import servers  # noqa: E402

SERVICE, PATH = 'agent-models', '/chat/'
# The sites have 60 s; with that a run would last for more than 120 s.
RETENTION_SECONDS = 8.0
CONVERSATIONS = 80
# Times after the start of the daemons.  Before the first one, turns follow each
# other closely, so that there are many early turns.
CLOSE_TURNS_UNTIL, STOP_AT, END_AT = 9.0, 80.0, 100.0
CLOSE_PAUSE_SECONDS, PAUSE_SECONDS = 0.4, 1.0
# As `roll_term` of the day scale-1: half of the machines (0.51 there), with a
# longer gap (1.1 s there).
STOPPED_DAEMONS, STOP_GAP_SECONDS = 2, 1.3
FIRST_TURNS_PER_SECOND = 5.0
DEADLINE_SECONDS = 4.0
# A turn is tried by the client at most twice, and sent anew at most twice.
MOST_TRIES = 6
# The time objective of a program, which lies after the end of the run.
PROGRAM_SECONDS = 110.0
GRACE_SECONDS = 8.0
TRIES_OF_RULE, SHARE_OF_FIRST_TURNS = 5, 0.9
RETRY_SECONDS = 0.25
RESEND_SECONDS = (0.1, 0.4)

CONFIG = {
  'version': 7,
  'routes': [
    {
      'name': 'swap-chat',
      'host': deployment.HOST,
      'path_prefix': PATH,
      'kind': 'stream',
      'service': SERVICE,
      'timeout_ms': 4000,
      'target_latency_ms': 200,
      'priority': 1,
      'max_attempts': 2,
      'retain_history': True,
      'retention_s': RETENTION_SECONDS,
      'session_affinity': True,
      'gap_aim_ms': 300,
    }
  ],
  'services': [
    {
      'name': SERVICE,
      'health_check_path': '/health',
      'max_connections': 370,
      'engine': {'slots': 64, 'tokens_per_event': 4, 'most': 12},
    }
  ],
}


@dataclasses.dataclass(kw_only=True)
class Turn:
  """One turn and its tries.

  `previous` is the request id of the turn that it continues from, which was
  answered whole at `previous_at`.  `tries` has the request id, the time and the
  daemon of each try.
  """

  program: str
  previous: str
  previous_at: float
  tries: list[tuple[str, float, daemons.Daemon]] = dataclasses.field(
    default_factory=list
  )
  statuses: list[int] = dataclasses.field(default_factory=list)


class Conversation:
  """A program whose turns come in through one daemon while that stays."""

  def __init__(
    self, parts: deployment.Deployment, *, daemon: daemons.Daemon
  ) -> None:
    self.program = secrets.token_hex(3)
    self.session = secrets.token_hex(3)
    self.previous = ''
    self.previous_at = 0.0
    self.turns = 0
    self._finish_at = time.monotonic() + PROGRAM_SECONDS
    self._parts = parts
    self._daemon = daemon
    self._client = clients.Client(daemon.address)

  def close(self) -> None:
    """Closes the connection."""
    self._client.close()

  async def take_turn(self) -> Turn:
    """Sends the next turn until it is answered whole or its tries are spent."""
    self.turns += 1
    turn = Turn(
      program=self.program,
      previous=self.previous,
      previous_at=self.previous_at,
    )
    body = f'input {self.turns} of {self.program}\n'.encode()
    while len(turn.tries) < MOST_TRIES:
      self._choose_daemon()
      answer = await self._try(turn, body)
      turn.statuses.append(answer.status)
      if answer.status == 200:
        self.previous = turn.tries[-1][0]
        self.previous_at = time.monotonic()
        return turn
      # Each further try comes on a new connection.
      self._client.close()
      if len(turn.tries) % 2:
        # The retry of the client, which honours Retry-After up to a third of
        # the time left.
        wait = float(answer.headers.get('retry-after', RETRY_SECONDS))
        await asyncio.sleep(min(wait, DEADLINE_SECONDS / 3))
      else:
        # The turn has failed and is sent anew from its start.
        await asyncio.sleep(random.uniform(*RESEND_SECONDS))
    return turn

  def _choose_daemon(self) -> None:
    """Leaves a daemon that is stopping for another one of its zone."""
    if self._daemon.stopped_at is None:
      return
    self._client.close()
    self._daemon = next(
      item
      for item in self._parts.daemons
      if item.zone == self._daemon.zone and item.stopped_at is None
    )
    self._client = clients.Client(self._daemon.address)

  async def _try(self, turn: Turn, body: bytes) -> clients.Answer:
    request = secrets.token_hex(8)
    turn.tries.append((request, time.monotonic(), self._daemon))
    headers = {
      'Host': deployment.HOST,
      'Request-Id': request,
      'Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
      'Program-Id': self.program,
      'Session-Id': self.session,
      'Finish-Ms': str(int((self._finish_at - time.monotonic()) * 1000)),
      'Token-Budget': '100000',
      'Model': 'm',
      'Token-Usage': f'{100 + 20 * self.turns},32',
      'Prompt-Prefix': f'5c1e07a2:100,{self.session}:{20 * self.turns}',
    }
    if turn.previous:
      headers['Previous-Turn'] = turn.previous
    self._parts.record.write(
      f'sent {request} of program {self.program} to {self._daemon.name}, '
      f'previous turn {turn.previous or "none"}'
    )
    answer = await self._client.send(
      'POST', PATH, headers=headers, body=body, seconds=DEADLINE_SECONDS
    )
    self._parts.record.write(f'answered {request}: {answer.status}')
    return answer


async def work(run: servers.Run) -> servers.Answer:
  """Makes four events."""
  await asyncio.sleep(0.03)
  events = tuple(
    f'id: {number}\ndata: {run.request}-{number}\n\n'.encode()
    for number in range(1, 5)
  )
  return servers.Answer(events=events)


async def play(parts: deployment.Deployment) -> int:
  """Leads conversations, restarts daemons as planned, and goes on."""
  found = [
    servers.Server(
      id=f'i-{number}{secrets.token_hex(3)}',
      service=SERVICE,
      zone=zone,
      slots=64,
      queue=192,
      kept=parts.record,
      work=work,
    )
    for number, zone in enumerate(deployment.ZONES)
  ]
  if not await parts.start(CONFIG, found):
    parts.record.say('The daemons are not ready.')
    return case.COULD_NOT_RUN
  began = max(daemon.started_at for daemon in parts.daemons)
  turns: list[Turn] = []
  first_turns: list[Turn] = []
  conversations = [
    Conversation(parts, daemon=parts.daemons[number % len(parts.daemons)])
    for number in range(CONVERSATIONS)
  ]
  await asyncio.gather(
    _restart_daemons(parts, began),
    _send_first_turns(parts, began, first_turns),
    *(_lead(item, began, turns) for item in conversations),
  )
  for item in conversations:
    item.close()
  return judge(parts, turns, first_turns)


async def _lead(item: Conversation, began: float, turns: list[Turn]) -> None:
  await asyncio.sleep(random.uniform(0, CLOSE_PAUSE_SECONDS))
  while (now := time.monotonic() - began) < END_AT - 8:
    turn = await item.take_turn()
    turns.append(turn)
    if turn.statuses[-1] != 200:
      # The program has failed.
      return
    is_close = now < CLOSE_TURNS_UNTIL
    pause = CLOSE_PAUSE_SECONDS if is_close else PAUSE_SECONDS
    await asyncio.sleep(pause * random.uniform(0.8, 1.2))


async def _send_first_turns(
  parts: deployment.Deployment, began: float, turns: list[Turn]
) -> None:
  """Begins programs after the stop, as a measure of what is served then."""
  await asyncio.sleep(began + STOP_AT + 3.0 - time.monotonic())
  tasks = []
  while time.monotonic() - began < END_AT - 8:
    staying = [item for item in parts.daemons if item.stopped_at is None]
    item = Conversation(parts, daemon=random.choice(staying))
    tasks.append(asyncio.ensure_future(item.take_turn()))
    await asyncio.sleep(1 / FIRST_TURNS_PER_SECOND)
  turns.extend(await asyncio.gather(*tasks))


async def _restart_daemons(parts: deployment.Deployment, began: float) -> None:
  await asyncio.sleep(began + STOP_AT - time.monotonic())
  if case.has_trouble():
    await asyncio.gather(
      *(
        _restart(parts, daemon, delay=number * STOP_GAP_SECONDS)
        for number, daemon in enumerate(parts.daemons[:STOPPED_DAEMONS])
      )
    )


async def _restart(
  parts: deployment.Deployment, daemon: daemons.Daemon, *, delay: float
) -> None:
  await asyncio.sleep(delay)
  parts.record.say(f'SIGTERM to {daemon.name}')
  daemon.stopped_at = time.monotonic()
  daemon.process.send_signal(signal.SIGTERM)
  while daemon.process.poll() is None:
    if time.monotonic() - daemon.stopped_at > GRACE_SECONDS:
      daemon.kill()
    await asyncio.sleep(0.05)
  parts.record.say(f'{daemon.name} has ended and starts again')
  daemon.start()


def judge(
  parts: deployment.Deployment, turns: list[Turn], first_turns: list[Turn]
) -> int:
  """Returns the result, by the tries of turns and what reached a server."""
  reached = {run.request for server in parts.servers for run in server.runs}

  def has_reached(turn: Turn) -> bool:
    return any(request in reached for request, _, _ in turn.tries)

  def count_tries(turn: Turn) -> int:
    """Counts tries within the retention time, at daemons in touch."""
    return sum(
      at - turn.previous_at < RETENTION_SECONDS and daemon.stopped_at is None
      for _, at, daemon in turn.tries
    )

  lost = [
    turn
    for turn in turns
    if turn.previous
    and not has_reached(turn)
    and count_tries(turn) >= TRIES_OF_RULE
  ]
  served = sum(map(has_reached, first_turns))
  statuses = collections.Counter(s for turn in turns for s in turn.statuses)
  parts.record.say(
    f'{len(turns)} turns, answers by status: {dict(sorted(statuses.items()))}'
  )
  parts.record.say(
    f'{served} of {len(first_turns)} first turns after the stop reached one'
  )
  for turn in lost:
    parts.record.write(
      f'lost: program {turn.program}, {turn.previous} was answered whole, '
      f'then {len(turn.tries)} tries: {turn.statuses}'
    )
  parts.record.say(
    f'LOST: {len(lost)} turns reached no server in {TRIES_OF_RULE} tries or '
    'more, less than the retention time after the turn before was answered'
  )
  if len(turns) < 1000 or served < SHARE_OF_FIRST_TURNS * len(first_turns):
    parts.record.say('The traffic was not as planned.')
    return case.COULD_NOT_RUN
  return case.BROKEN if lost else case.HELD


if __name__ == '__main__':
  case.main(FOLDER, play)
