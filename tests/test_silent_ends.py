"""An instance ends, and the connection of one daemon to it stays silent."""

import asyncio
import contextlib
import time

import pytest
import real_site

DEADLINE_SECONDS = real_site.TIMEOUT_SECONDS
# Time in which callers hear of an end that the fleet knows of, at most.
MAX_SECONDS = DEADLINE_SECONDS / 2
REQUESTS_WAITING = 9
# Enough for several at each instance.
REQUESTS_BESIDE = 30
# Instances begin a stream with an event, or do not answer at all.
BEGINS = {'chat-begun': True, 'chat': False, 'act': False, 'look': False}


class Silent:
  """Instances that never finish what they answer."""

  def __init__(self, site, *, begins):
    self.begins = begins
    self.writers_by_instance = {}
    for instance in site.instances:
      instance.respond = self.respond

  async def respond(self, instance, writer, path, request):
    self.writers_by_instance.setdefault(instance, []).append(writer)
    if self.begins:
      head = real_site.make_head(
        instance,
        request,
        'Content-Type: text/event-stream',
        'Transfer-Encoding: chunked',
      )
      event = f'id: 0\ndata: {request}\n\n'.encode()
      writer.write(head + b'\r\n%x\r\n%b\r\n' % (len(event), event))
    await asyncio.sleep(2 * DEADLINE_SECONDS)


async def wait_until(condition):
  async with asyncio.timeout(DEADLINE_SECONDS):
    while not condition():
      await asyncio.sleep(0.02)


async def send(site, daemon, kind):
  id, head = site.make_head(kind, '0', size=0)
  answer = real_site.Answer(request=id, began=time.monotonic())
  reader, writer = await site.connect(daemon)
  writer.write(head)
  with contextlib.suppress(OSError, asyncio.IncompleteReadError):
    await real_site.read_answer(reader, answer)
    status = answer.head.split()[1]
    answer.status = int(status)
  answer.ended = time.monotonic()
  writer.transport.abort()
  return answer


# A caller waited for its whole deadline, though the fleet knew of the end.
@pytest.mark.parametrize('name', BEGINS)
async def test_attempt_does_not_wait_for_an_instance_that_has_ended(
  tmp_path, name
):
  kind = name.partition('-')[0]
  async with real_site.Site(tmp_path, count=2) as site:
    silent = Silent(site, begins=BEGINS[name])
    first, second = site.daemons
    waiting = [
      asyncio.ensure_future(send(site, first, kind))
      for _ in range(REQUESTS_WAITING)
    ]
    await wait_until(
      lambda: (
        sum(map(len, silent.writers_by_instance.values())) >= REQUESTS_WAITING
      )
    )
    instance = max(
      site.instances, key=lambda i: len(silent.writers_by_instance.get(i, ()))
    )
    kept = list(silent.writers_by_instance[instance])
    beyond = [
      writer
      for other, writers in silent.writers_by_instance.items()
      if other is not instance
      for writer in writers
    ]
    # The second daemon has requests at each instance.
    beside = [
      asyncio.ensure_future(send(site, second, 'act'))
      for _ in range(REQUESTS_BESIDE)
    ]
    await wait_until(
      lambda: (
        sum(map(len, silent.writers_by_instance.values()))
        >= REQUESTS_BESIDE + REQUESTS_WAITING
      )
    )
    for other in site.instances:
      if other is not instance:
        other.respond = real_site.respond
    instance._server.close()
    for writer in silent.writers_by_instance[instance]:
      if writer not in kept:
        writer.transport.abort()
    for writer in beyond:
      writer.transport.abort()
    answers = await asyncio.gather(*waiting)
    for task in beside:
      task.cancel()
    await asyncio.gather(*beside, return_exceptions=True)
  for answer in answers:
    print(f'status {answer.status} after {answer.ended - answer.began:.1f} s')
    assert answer.ended - answer.began < MAX_SECONDS
    assert answer.status in ((200, 502) if kind == 'look' else (0, 502))
  # Both tries of a request can be at connections that the test closes.
  assert kind != 'look' or any(answer.status == 200 for answer in answers)
