"""Requests between daemons as datagrams, on the loopback address."""

import asyncio
import contextlib
import socket

import msgspec
import pytest

from woadrun import decoding
from woadrun import errors
from woadrun.connection import peers
from woadrun.process import datagram_calls
from woadrun.process import datagrams
from woadrun.process import peer_messages

CODEC = msgspec.msgpack


class Names(msgspec.Struct, frozen=True, kw_only=True):
  """A message and its answer."""

  names: tuple[str, ...]


ASK = Names(names=('a',))


class Links(peers.Peers):
  """A transport over HTTP that records messages without sending them."""

  def __init__(self):
    super().__init__(session=None, key='', codec=CODEC)
    self.posted = []

  async def post(self, address, path, message, *, type, timeout):
    self.posted.append(path)
    return Names(names=('over http',))


class Peer:
  """One daemon, which answers requests with `answer`."""

  def __init__(self, answer=None):
    self.address = f'127.0.0.1:{_find_port()}'
    self.sent = datagrams.Datagrams(address=self.address)
    self.links = Links()
    self.handled = 0
    self._answer = answer
    handler = peer_messages.make_handler(Names, self._handle, codec=CODEC)
    self.calls = datagram_calls.DatagramCalls(
      address=self.address,
      datagram_socket=self.sent,
      messenger=self.links,
      handler_by_path={'ask': handler},
    )

  async def _handle(self, ask):
    self.handled += 1
    return await self._answer(ask)

  async def ask(self, other, *, path='ask', message=ASK, timeout=2.0):
    return await self.calls.post(
      other.address,
      path,
      message,
      type=Names,
      timeout=timeout,
    )


def _find_port():
  with socket.socket(type=socket.SOCK_DGRAM) as found:
    found.bind(('127.0.0.1', 0))
    return found.getsockname()[1]


async def answer_at_once(ask):
  return Names(names=ask.names)


@contextlib.asynccontextmanager
async def pair(answer=answer_at_once):
  asker, answerer = Peer(), Peer(answer)
  await asker.sent.open()
  await answerer.sent.open()
  yield asker, answerer
  asker.sent.close()
  answerer.sent.close()


async def test_a_short_message_is_sent_without_http():
  async with pair() as (asker, answerer):
    assert (await asker.ask(answerer)).names == ('a',)
    assert not asker.links.posted
    assert not asker.calls._pending_by_id
    assert asker.calls.answered_calls == 1


async def test_a_lost_request_is_sent_again():
  async with pair() as (asker, answerer):
    receive, lost = answerer.calls._receive_call, []
    answerer.sent.handle(
      datagrams.CALL,
      lambda data: receive(data) if lost else lost.append(data),
    )
    assert (await asker.ask(answerer)).names == ('a',)
    assert lost and not asker.links.posted


async def test_a_slow_response_is_awaited_and_the_request_handled_once():
  async def answer(ask):
    await asyncio.sleep(3 * datagram_calls.RETRANSMIT_TIMEOUT_SECONDS)
    return Names(names=ask.names)

  async with pair(answer) as (asker, answerer):
    assert (await asker.ask(answerer)).names == ('a',)
    assert answerer.handled == 1
    assert not asker.links.posted


async def test_a_lost_response_makes_the_request_be_handled_again():
  async with pair() as (asker, answerer):
    receive, lost = asker.calls._receive_response, []
    asker.sent.handle(
      datagrams.RESPONSE,
      lambda data: receive(data) if lost else lost.append(data),
    )
    assert (await asker.ask(answerer)).names == ('a',)
    assert answerer.handled == 2


async def test_a_request_to_a_stopped_peer_is_sent_over_http():
  async with pair() as (asker, answerer):
    answerer.sent.close()
    assert (await asker.ask(answerer)).names == ('over http',)
    assert asker.links.posted == ['ask']


@pytest.mark.parametrize('is_answer', [False, True])
async def test_a_message_too_large_for_a_datagram_is_sent_over_http(is_answer):
  large = ('x' * datagrams.MAX_CALL_BYTES,)

  async def answer(ask):
    return Names(names=large)

  async with pair(answer) as (asker, answerer):
    message = ASK if is_answer else Names(names=large)
    found = await asker.ask(answerer, message=message)
    assert found.names == ('over http',)
    assert answerer.handled == int(is_answer)


async def test_the_error_of_a_peer_is_raised():
  async def answer(ask):
    raise errors.WoadrunError(errors.Code.NOT_OWNER, 'not here')

  async with pair(answer) as (asker, answerer):
    with pytest.raises(errors.WoadrunError) as caught:
      await asker.ask(answerer)
    assert caught.value.code is errors.Code.NOT_OWNER
    with pytest.raises(errors.WoadrunError):
      await asker.ask(answerer, path='nowhere')
    assert not asker.links.posted


async def test_a_failing_handler_reports_an_unknown_outcome(caplog):
  async def answer(ask):
    raise KeyError('a fault of ours')

  async with pair(answer) as (asker, answerer):
    with pytest.raises(errors.WoadrunError) as caught:
      await asker.ask(answerer)
    assert caught.value.ran is errors.RunStatus.UNKNOWN
    assert 'Handler of a peer message failed' in caplog.text


# The socket logs and counts malformed ones, and goes on.
async def test_malformed_and_unexpected_datagrams_are_ignored():
  async with pair() as (asker, answerer):
    with pytest.raises(decoding.MalformedData):
      answerer.calls._receive_call(b'\xff')
    with pytest.raises(decoding.MalformedData):
      asker.calls._receive_response(b'\xff')
    asker.calls._receive_response(CODEC.encode([1, 200, b'']))
    assert (await asker.ask(answerer)).names == ('a',)
