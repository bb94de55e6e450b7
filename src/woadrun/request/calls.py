"""Requests sent between daemons, and answers that are streamed to readers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
import hashlib
import re
import secrets

import msgspec

from woadrun import errors

JSON_TYPE = 'application/json'
STREAM_TYPE = 'text/event-stream'

_PROGRAM_ID = re.compile(r'([a-z0-9-]+)\.(\d{1,4})\.([a-z0-9]+)')
_REQUEST_ID = re.compile(r'[A-Za-z0-9_.:-]{1,128}')


class Call(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """A model call or a service call of a program.

  `call` is `model` or `service`; `target` is the name of a model, or
  `service/action`.  `teams` are the teams that the caller's token is
  authorized for.  `ordinal` is the position of the call in its program,
  counted from 1, or 0 if the caller gives none.  With `is_append` the
  messages of the call are appended to the history of the program;
  otherwise they start with the history.
  """

  program: str
  request: str
  call: str
  target: str
  body: msgspec.Raw
  teams: list[str]
  ordinal: int = 0
  repeatable: bool = False
  is_append: bool = False

  def get_digest(self) -> str:
    """Returns a hash of the fields that requests with the same id share.

    A request that reuses an id with another digest is a conflict.
    """
    text = f'{self.call}|{self.target}|{self.repeatable}|{self.is_append}|'
    data = text.encode() + bytes(self.body)
    return hashlib.blake2b(data, digest_size=12).hexdigest()


class StartProgram(
  msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
  """A request to start a program.

  `deadline` is in seconds from the start; 0 selects the deadline of the
  team's configuration row.
  """

  program: str
  team: str
  kind: str
  budget: int
  teams: list[str]
  deadline: float = 0.0
  parent: str = ''

  def get_digest(self) -> str:
    """Returns a hash of the fields that requests with the same id share.

    A request that reuses an id with another digest is a conflict.
    """
    text = f'{self.team}|{self.kind}|{self.budget}|{self.parent}'
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


class ProgramCommand(
  msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
  """A request to read (`get`), `end` or `cancel` a program."""

  program: str
  verb: str
  teams: list[str]


# --- Identifiers ------------------------------------------------------------


def split_program_id(program: str) -> tuple[str, int]:
  """Returns the domain and the slot encoded in a program's id.

  Raises `unknown_program` if the id is malformed.
  """
  match = _PROGRAM_ID.fullmatch(program)
  if match is None:
    raise errors.WoadrunError(
      errors.Code.UNKNOWN_PROGRAM,
      'The program id is malformed.',
      place='Woadrun-Program',
    )
  return match[1], int(match[2])


def make_program_id(domain: str, slot: int, key: str) -> str:
  """Returns the id of the program that is started with a key.

  The id depends on the arguments alone, so a retry yields the same id.
  """
  suffix = hashlib.blake2b(key.encode(), digest_size=10).hexdigest()
  return f'{domain}.{slot:03d}.{suffix}'


def check_request_id(request: str) -> str:
  """Returns the id of a request, or a random one if the id is empty.

  Raises `bad_request` if the id is malformed.
  """
  if not request:
    return secrets.token_hex(12)
  if not _REQUEST_ID.fullmatch(request):
    raise errors.WoadrunError(
      errors.Code.BAD_REQUEST,
      'A request id must be 1 to 128 letters, digits, or _.:- characters.',
      place='Idempotency-Key',
    )
  return request


# --- Answers ----------------------------------------------------------------


class StreamInterrupted(Exception):
  """Raised to a reader of an answer that was restarted or interrupted."""


class Answer:
  """The answer of one request, complete or still being written.

  Any number of readers may read the answer at any time, each from its
  first byte.  When an answer is restarted, its readers get `StreamInterrupted`,
  so that no caller receives parts of two answers.
  """

  def __init__(self, *, digest: str) -> None:
    self.digest = digest
    self.status = 200
    self.content_type = JSON_TYPE
    self.generation = 0
    self.error: errors.WoadrunError | None = None
    self.is_done = False
    self._chunks: list[bytes] = []
    self._head_ready = asyncio.Event()
    self._changed = asyncio.Event()

  @classmethod
  def from_bytes(
    cls, data: bytes, *, status: int, content_type: str, digest: str = ''
  ) -> Answer:
    """Returns a complete answer."""
    answer = cls(digest=digest)
    answer.set_head(status=status, content_type=content_type)
    answer.write(data)
    answer.finish()
    return answer

  @property
  def size(self) -> int:
    """Returns the number of bytes written so far."""
    return sum(map(len, self._chunks))

  def set_head(self, *, status: int, content_type: str) -> None:
    """Sets the status and content type, which wakes `wait_for_head`."""
    self.status = status
    self.content_type = content_type
    self._head_ready.set()

  def write(self, data: bytes) -> None:
    """Appends bytes to the answer."""
    self._chunks.append(data)
    self._notify_readers()

  def restart(self) -> None:
    """Discards all bytes written.

    Readers that have received some of them get `StreamInterrupted`.
    """
    if self._chunks:
      self.generation += 1
      self._chunks = []
      self._notify_readers()

  def finish(self) -> None:
    """Marks the answer as complete."""
    self.is_done = True
    self._head_ready.set()
    self._notify_readers()

  def fail(self, error: errors.WoadrunError) -> None:
    """Completes the answer with an error."""
    self.error = error
    self.finish()

  def _notify_readers(self) -> None:
    self._changed.set()
    self._changed = asyncio.Event()

  async def wait_for_head(self) -> None:
    """Returns once the status and content type are set.

    Raises the answer's error if it has one.
    """
    await self._head_ready.wait()
    if self.error is not None:
      raise self.error

  async def read(self) -> AsyncGenerator[bytes, None]:
    """Yields the answer's bytes from the first one.

    Raises the answer's error if no bytes were yielded before it, and
    `StreamInterrupted` if yielded bytes were discarded or an error followed
    them.
    """
    index = 0
    generation = self.generation
    while True:
      changed = self._changed
      if self.error is not None and index == 0:
        raise self.error
      if index and (generation != self.generation or self.error is not None):
        raise StreamInterrupted
      generation = self.generation
      while index < len(self._chunks):
        chunk = b''.join(self._chunks[index:])
        index = len(self._chunks)
        yield chunk
      if self.is_done:
        return
      if changed is self._changed:
        await changed.wait()
