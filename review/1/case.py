"""Late surplus answers of servers, and requests that may run only once."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import case  # noqa: E402
from standins import clients  # noqa: E402
from standins import deployment  # noqa: E402
from standins import servers  # noqa: E402

SERVICE, PATH = 'roster-app', '/payroll/'
SERVERS, SLOTS, QUEUE = 5, 4, 2
# Work of a request, as of the class `payroll-sync` of the site file.
MEAN_WORK_SECONDS, MAX_WORK_SECONDS = 0.208, 0.89
# Slightly less than the servers can do, so that they are full at times.
REQUESTS_PER_SECOND = 95.0
TRAFFIC_SECONDS = 75.0
CLIENTS = 24
DEADLINE_SECONDS = 4.0
# The largest dose of the site file: 60 in 100 servers give 3 in 100 of their
# answers a second time.
TROUBLED_SHARE, SURPLUS_SHARE = 0.6, 0.03
# It lasts for 5 s there, and comes every 10 s here.
TROUBLE_SECONDS, TROUBLE_PERIOD_SECONDS = 5.0, 10.0
PROMISES = (408, 421, 429, 503)

CONFIG = {
  'version': 7,
  'routes': [
    {
      'name': 'payroll-sync',
      'host': deployment.HOST,
      'path_prefix': PATH,
      'kind': 'non_idempotent',
      'service': SERVICE,
      'timeout_ms': 4000,
      'target_latency_ms': 800,
      'priority': 2,
      'max_attempts': 1,
    }
  ],
  'services': [
    {'name': SERVICE, 'health_check_path': '/health', 'max_connections': 110}
  ],
}


async def work(run: servers.Run) -> servers.Answer:
  """Works as long as a request of the class does."""
  seconds = min(
    MAX_WORK_SECONDS, random.lognormvariate(0, 1) * MEAN_WORK_SECONDS / 1.65
  )
  await asyncio.sleep(seconds)
  return servers.Answer(body=f'done {run.request}'.encode())


async def send_one(
  parts: deployment.Deployment, client: clients.Client, status_by_id: dict
) -> None:
  """Sends a request, and a second time after a promise that it has not run."""
  for _ in range(2):
    request = secrets.token_hex(8)
    parts.record.write(f'sent {request} to {client.address[0]}')
    answer = await client.send(
      'POST',
      PATH,
      headers={
        'Host': deployment.HOST,
        'Request-Id': request,
        'Deadline-Ms': str(int(DEADLINE_SECONDS * 1000)),
      },
      body=b'h' * 600,
      seconds=DEADLINE_SECONDS,
    )
    status_by_id[request] = answer.status
    parts.record.write(f'answered {request}: {answer.status}')
    if answer.status not in (429, 503):
      return
    # The retry comes on a new connection.
    client.close()
    wait = float(answer.headers.get('retry-after', 0))
    await asyncio.sleep(min(wait, DEADLINE_SECONDS / 3))


async def play(parts: deployment.Deployment) -> int:
  """Sends traffic and counts how often each request ran."""
  is_troubled = False

  def is_surplus_due() -> bool:
    return is_troubled and random.random() < SURPLUS_SHARE

  found = [
    servers.Server(
      id=f'i-{number}{secrets.token_hex(3)}',
      service=SERVICE,
      zone=deployment.ZONES[number % len(deployment.ZONES)],
      slots=SLOTS,
      queue=QUEUE,
      kept=parts.record,
      work=work,
      is_surplus_due=(
        is_surplus_due
        if number < round(TROUBLED_SHARE * SERVERS)
        else (lambda: False)
      ),
    )
    for number in range(SERVERS)
  ]
  if not await parts.start(CONFIG, found):
    parts.record.say('The daemons are not ready.')
    return case.COULD_NOT_RUN
  status_by_id: dict[str, int] = {}
  idle = [
    clients.Client(parts.daemons[number % len(parts.daemons)].address)
    for number in range(CLIENTS)
  ]
  tasks = set()

  async def serve(client: clients.Client) -> None:
    await send_one(parts, client, status_by_id)
    idle.append(client)

  loop = asyncio.get_running_loop()
  began = loop.time()
  while (seconds := loop.time() - began) < TRAFFIC_SECONDS:
    is_troubled = (
      case.has_trouble() and seconds % TROUBLE_PERIOD_SECONDS >= TROUBLE_SECONDS
    )
    await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
    if not idle:
      number = random.randrange(len(parts.daemons))
      idle.append(clients.Client(parts.daemons[number].address))
    client = idle.pop(random.randrange(len(idle)))
    tasks.add(asyncio.ensure_future(serve(client)))
  await asyncio.gather(*tasks)
  await asyncio.sleep(1.0)
  for client in idle:
    client.close()
  return judge(parts, status_by_id)


def judge(parts: deployment.Deployment, status_by_id: dict[str, int]) -> int:
  """Returns the result, by what servers ran and clients were answered."""
  runs = collections.Counter(
    run.request for server in parts.servers for run in server.runs
  )
  twice = [request for request, count in runs.items() if count > 1]
  refused = [
    request
    for request, status in status_by_id.items()
    if status in PROMISES and runs[request]
  ]
  unasked = [request for request in runs if request not in status_by_id]
  refusals = sum(server.refusals for server in parts.servers)
  surpluses = sum(len(server.surpluses) for server in parts.servers)
  parts.record.say(
    f'{len(status_by_id)} requests sent, {sum(runs.values())} runs, '
    f'{refusals} refusals of servers, {surpluses} surplus answers'
  )
  statuses = collections.Counter(status_by_id.values())
  parts.record.say(f'answers by status: {dict(sorted(statuses.items()))}')
  parts.record.say(f'TWICE: {len(twice)} requests ran twice: {twice[:10]}')
  parts.record.say(
    f'REFUSED: {len(refused)} requests have run and were answered as not run: '
    f'{refused[:10]}'
  )
  if len(status_by_id) < 1000 or unasked:
    parts.record.say('The traffic was not as planned.')
    return case.COULD_NOT_RUN
  return case.BROKEN if twice or refused else case.HELD


if __name__ == '__main__':
  case.main(FOLDER, play)
