"""Validation, engine request, event stream and answer of a model call."""

from __future__ import annotations

import dataclasses
from typing import Any

import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import engine
from woadrun.decisions import budget
from woadrun.request import calls
from woadrun.request import events
from woadrun.version import program

# Bytes of the event stream of one call, which is held until its outcome is
# committed.
MAX_STREAM_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class PreparedCall:
  """The messages and token counts of a model call.

  `messages` are those that the call adds to the history of its program.
  `reserved_tokens` is the most tokens that the call may use:
  `max_output_tokens` tokens of output and a bound of its new input.
  `prompt_tokens` is the most tokens of the whole prompt.
  """

  messages: list[program.Message]
  reserved_tokens: int
  max_output_tokens: int
  prompt_tokens: int


def parse_body(call: calls.Call) -> dict[str, Any]:
  """Returns the decoded body of a model call.

  Raises `bad_request` if the body is not valid.
  """
  body = decoding.decode_json(call.body)
  if not isinstance(body, dict):
    raise _make_bad_request('The body must be a JSON object.', '')
  messages = body.get('messages')
  if not isinstance(messages, list) or not messages:
    raise _make_bad_request(
      'The messages must be a non-empty list.', 'messages'
    )
  for index, message in enumerate(messages):
    if not isinstance(message, dict) or not isinstance(
      message.get('role'), str
    ):
      raise _make_bad_request(
        'Each message must be an object with a role.', f'messages[{index}]'
      )
  return body


def _make_bad_request(reason: str, place: str) -> errors.WoadrunError:
  return errors.WoadrunError(errors.Code.BAD_REQUEST, reason, place=place)


def prepare(
  call: calls.Call,
  body: dict[str, Any],
  found: program.Program,
  *,
  history_tokens: int,
) -> PreparedCall:
  """Returns the messages and token counts of a call.

  These depend on the current history and budget of the program.  Raises
  `budget_exceeded` if the call does not fit the budget, and `storage_full`
  if the history could exceed `history_tokens`.
  """
  messages = body['messages']
  if not call.is_append:
    messages = list(budget.find_new_messages(found.history, messages))
  requested_output = body.get('max_tokens', body.get('max_completion_tokens'))
  reserve, max_output = budget.get_reserve(
    found, messages, budget.check_output(requested_output)
  )
  prompt = found.history_tokens + reserve - max_output
  if found.history_tokens + reserve > history_tokens:
    raise errors.WoadrunError(
      errors.Code.STORAGE_FULL,
      f'The history would exceed {history_tokens} tokens.',
      place='messages',
    )
  return PreparedCall(
    messages=messages,
    reserved_tokens=reserve,
    max_output_tokens=max_output,
    prompt_tokens=prompt,
  )


def make_engine_body(
  body: dict[str, Any],
  history: list[program.Message],
  messages: list[program.Message],
  most_output: int,
) -> dict[str, Any]:
  """Returns the body to send to the engine, with the whole conversation."""
  options = {
    key: value
    for key, value in body.items()
    if key not in ('max_completion_tokens', 'stream', 'stream_options')
  }
  return {
    **options,
    'messages': [*history, *messages],
    'max_tokens': most_output,
  }


@dataclasses.dataclass(kw_only=True)
class Relay:
  """Forwards an engine's event stream to the readers of an answer.

  Complete events are forwarded as they arrive.  The terminating `[DONE]`
  event is held back until the record of the outcome is committed.
  `forwarded` is the number of bytes forwarded.  `event_data` has the data of
  each event before the terminating one.
  """

  answer: calls.Answer
  received: bytearray = dataclasses.field(default_factory=bytearray)
  forwarded: int = 0
  event_data: list[bytes] = dataclasses.field(default_factory=list)
  is_complete: bool = False
  _reader: events.EventReader = dataclasses.field(
    default_factory=events.EventReader
  )

  def feed(self, chunk: bytes) -> None:
    """Forwards the events that these bytes of the engine complete.

    Raises `events.StreamTooLarge` if the stream exceeds a bound.
    """
    if len(self.received) + len(chunk) > MAX_STREAM_BYTES:
      raise events.StreamTooLarge(
        f'The event stream exceeds {MAX_STREAM_BYTES} bytes.'
      )
    end = self.forwarded
    for line in chunk.splitlines(keepends=True):
      self.received += line
      if self.is_complete:
        continue
      self._read_line(line)
      if not self.is_complete and not self._reader.is_inside_event:
        end = len(self.received)
    if end > self.forwarded:
      self.answer.write(bytes(self.received[self.forwarded : end]))
      self.forwarded = end

  def _read_line(self, line: bytes) -> None:
    size = len(self._reader.data)
    self._reader.feed(line)
    if len(self._reader.data) == size:
      return
    data = bytes(self._reader.data[size:]).removesuffix(b'\n')
    if data == engine.DONE_DATA:
      self.is_complete = True
    else:
      self.event_data.append(data)

  def finish(self) -> bool:
    """Ends the stream; returns whether it has its terminating event.

    That event may lack its blank line, since its data states that no other
    event is missing.
    """
    last = bytes(self.received[self.forwarded :])
    if not self.is_complete and last.rstrip(b'\r\n') == engine.DONE:
      self.feed(b'\n\n')
    return self.is_complete


def make_completion(
  request: str, model: str, answer: engine.Answer, usage: engine.Usage
) -> bytes:
  """Returns the answer as the JSON of a chat completion."""
  return msgspec.json.encode(
    {
      'id': f'chatcmpl-{request}',
      'object': 'chat.completion',
      'model': model,
      'choices': [
        {
          'index': 0,
          'message': {'role': 'assistant', 'content': answer.content},
          'finish_reason': answer.finish_reason or 'stop',
        }
      ],
      'usage': {
        'prompt_tokens': usage.prompt_tokens,
        'completion_tokens': usage.completion_tokens,
        'total_tokens': usage.prompt_tokens + usage.completion_tokens,
      },
    }
  )


def make_events(completion: bytes) -> bytes:
  """Returns a stored completion as an event stream."""
  data = decoding.decode_json(completion)
  choice = data['choices'][0]
  head = {**data, 'object': 'chat.completion.chunk'}
  del head['usage']
  first = {'index': 0, 'delta': choice['message'], 'finish_reason': None}
  last = {
    'index': 0,
    'delta': {},
    'finish_reason': choice['finish_reason'],
  }
  events = (
    {**head, 'choices': [first]},
    {**head, 'choices': [last]},
    {**head, 'choices': [], 'usage': data['usage']},
  )
  encoded = [
    b'data: ' + msgspec.json.encode(event) + b'\n\n' for event in events
  ]
  return b''.join((*encoded, engine.DONE, b'\n\n'))
