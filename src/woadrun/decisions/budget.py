"""Token budgets of programs: reservations before a call and usage after it.

A program's budget counts the tokens that the program adds to its history: new
input and generated output.  Recomputing an evicted prefix of the history is
not charged, since the program does not cause it.
"""

from __future__ import annotations

from collections.abc import Sequence
import math
from typing import Any

import msgspec

from woadrun import errors
from woadrun.connection import engine
from woadrun.version import program

DEFAULT_OUTPUT_TOKENS = 1024
# Upper bound of the tokens that a chat template adds to each message.
TOKENS_PER_MESSAGE = 8


def get_max_tokens(messages: Sequence[program.Message]) -> int:
  """Returns an upper bound of the tokens in messages.

  A token covers at least one byte, so the encoded size is a bound.
  """
  size = len(msgspec.json.encode(messages))
  return size + TOKENS_PER_MESSAGE * len(messages)


def get_reserve(
  state: program.Program, messages: Sequence[program.Message], output: int
) -> tuple[int, int]:
  """Returns the tokens to reserve for a call and its limit of output tokens.

  `output` is the limit that the caller requested, or 0 if there was none.
  Raises `budget_exceeded` if the worst case does not fit the budget.
  """
  prompt = get_max_tokens(messages)
  available = state.available - prompt
  max_output = output or min(DEFAULT_OUTPUT_TOKENS, max(available, 0))
  if max_output <= 0 or max_output > available:
    raise errors.WoadrunError(
      errors.Code.BUDGET_EXCEEDED,
      f'The call may need up to {prompt + max(max_output, 1)} tokens; '
      f'the budget of the program has {state.available} available.',
      place='max_tokens',
    )
  return prompt + max_output, max_output


def get_used(
  state: program.Program, usage: engine.Usage | None, reserve: int, wasted: int
) -> int:
  """Returns the tokens to charge for a call.

  `usage` is what the engine reported; without a report the whole `reserve` is
  charged.  `wasted` counts the tokens of abandoned attempts.
  """
  if usage is None:
    return reserve
  total = usage.prompt_tokens + usage.completion_tokens
  added = max(usage.completion_tokens, total - state.history_tokens)
  return added + wasted


def find_new_messages(
  history: Sequence[program.Message],
  messages: Sequence[program.Message],
) -> Sequence[program.Message]:
  """Returns the messages that follow the history in a full list of messages.

  Raises `history_mismatch` if the list does not begin with the history.
  """
  for index, known in enumerate(history):
    if index >= len(messages) or not _is_same_message(known, messages[index]):
      raise errors.WoadrunError(
        errors.Code.HISTORY_MISMATCH,
        'The messages do not begin with the history of the program.',
        place=f'messages[{index}]',
      )
  return messages[len(history) :]


def _is_same_message(known: program.Message, given: program.Message) -> bool:
  return _without_empty_fields(known) == _without_empty_fields(given)


def _without_empty_fields(message: program.Message) -> dict[str, Any]:
  return {k: v for k, v in message.items() if v is not None and v != []}


def check_output(value: Any) -> int:
  """Returns a valid `max_tokens` of a request, or 0 if the value is None.

  Raises `bad_request` for any other value.
  """
  if value is None:
    return 0
  is_number = isinstance(value, int) and not isinstance(value, bool)
  if not is_number or value < 1 or not math.isfinite(value):
    raise errors.WoadrunError(
      errors.Code.BAD_REQUEST,
      'max_tokens must be an integer greater than 0.',
      place='max_tokens',
    )
  return int(value)
