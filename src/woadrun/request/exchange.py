"""Protocol-independent types for requests, replies and their errors."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import enum
import math
import time
from typing import Protocol

from woadrun.connection import turn_messages
from woadrun.decisions import run_status
from woadrun.request import events
from woadrun.version import instances

Headers = Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class TurnInfo:
  """What a turn's request states about the turn and its program.

  `max_output` is the maximum output of the turn, `budget` the maximum output of
  all turns of the program and `prompt_tokens` the size of the prompt, all in
  tokens.  `parts` are the parts of the prompt, in order.  `parent` is the
  request id of the previous turn.  `finish_at` is the time by which the program
  should end, on the monotonic clock.
  """

  program: str
  parent: str = ''
  max_output: int = 0
  budget: int | None = None
  prompt_tokens: int = 0
  parts: tuple[turn_messages.PromptPart, ...] = ()
  finish_at: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
  """A caller's request, to be sent to an upstream.

  `target` is the path and query, byte for byte.  `headers` are those to
  forward.  `deadline` is when the caller stops waiting, on the monotonic clock,
  or None if the caller sets no deadline.  `connected_at` is when its connection
  was opened, on the same clock, and infinite if not known.  `program` is the
  program that the request belongs to, if any, and `session_id` the sequence of
  turns within the program.  `key_digest` is empty without a key.
  `access_headers` may contain the key: they are forwarded only if requests need
  no key.
  """

  id: str
  method: str
  host: str
  target: str
  headers: Headers
  body: bytes
  deadline: float | None = None
  connected_at: float = math.inf
  turn: TurnInfo | None = None
  program: str = ''
  session_id: str = ''
  key_digest: str = dataclasses.field(default='', repr=False)
  access_headers: Headers = dataclasses.field(default=(), repr=False)

  @property
  def fields(self) -> dict[str, str]:
    """Structured fields for log records about the request."""
    return {
      'request': self.id,
      'program': self.program,
      'line': self.session_id,
    }

  @property
  def path(self) -> str:
    """The path of `target`, without the query."""
    return self.target.partition('?')[0]


@dataclasses.dataclass(kw_only=True)
class Answer:
  """A response to a caller.

  `chunks` raises if the response cannot be completed: the caller must then be
  able to see that the response is truncated.  If `ends_with_connection` is
  true, the end of `chunks` does not prove that the response is complete.
  """

  status: int
  headers: Headers
  chunks: AsyncGenerator[bytes]
  ends_with_connection: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class RequestAttempt:
  """One attempt of a request at one instance.

  `seconds` is the time left for the attempt.  `urgency` is 0 for the most
  urgent requests.  `team` is None if requests need no key, and empty for a
  request without a team.  `silence_seconds` is the time without the start of a
  response after which the connection may be dead.  `uncached` is the number of
  prompt tokens that the instance has to process, None if the time of the
  request is not measured.  `is_stream` is true if the response is a stream of
  events, and `keeps_history` if their data becomes part of a history.
  `fingerprint` is equal for all tries of the same request, and `claim_id` names
  the claim of a place that the instance takes over, if there is one.
  """

  request: Request
  instance: instances.Instance
  body: bytes
  seconds: float
  urgency: int | None = None
  team: str | None = None
  silence_seconds: float = 1.0
  uncached: int | None = None
  is_stream: bool = False
  keeps_history: bool = False
  fingerprint: str = ''
  claim_id: str = ''


@dataclasses.dataclass(kw_only=True)
class Reply:
  """An instance's response, of which the head has arrived.

  `has_run` is false if it is certain that the instance did not run the request.
  `is_genuine` is true if the response has the id of this request, the
  instance's signature and a final status; `statement` is what these are read
  from, None if not known.  `ends_with_connection` is true if only the end of
  the connection ends the body.  `event_reader` reads the body if it is a stream
  of events.  `abort` aborts the response: `chunks` then raises `ResponseLost`.
  `is_reusable` returns, after the request has ended, whether its connection can
  be reused.  `is_at_end` returns whether the newest chunk is known to be the
  last one; False says nothing.
  """

  status: int
  headers: Headers
  has_run: bool
  is_genuine: bool
  chunks: AsyncGenerator[bytes]
  statement: run_status.Statement | None = None
  ends_with_connection: bool = False
  event_reader: events.EventReader | None = None
  abort: Callable[[], None] = lambda: None
  is_reusable: Callable[[], bool] = lambda: False
  is_at_end: Callable[[], bool] = lambda: False


class RequestNotSent(Exception):
  """Raised when a request certainly did not reach the instance."""


class ResponseLost(Exception):
  """Raised if a response is missing or truncated: the request may have run."""


class ResponseOverdue(ResponseLost):
  """Raised if a daemon gave up waiting for a response on a sound connection."""


class Liveness(enum.Enum):
  """Whether an incarnation of an instance still runs, as far as is known.

  REACHABLE: its address accepts connections, and does not tell which process it
  is.  UNKNOWN: its address is silent.
  """

  ALIVE = 'alive'
  REACHABLE = 'reachable'
  ENDED = 'ended'
  UNKNOWN = 'unknown'


class Upstreams(Protocol):
  """Interface for sending requests to instances."""

  def send(
    self, sending: RequestAttempt
  ) -> contextlib.AbstractAsyncContextManager[Reply]:
    """Returns a context manager with the reply; its exit ends the request.

    Entering it raises `RequestNotSent` or `ResponseLost` if there is no reply.
    """

  async def probe(
    self, instance: instances.Instance, *, health_path: str
  ) -> Liveness:
    """Returns whether an instance still runs, over a connection of its own.

    `health_path` is the path of the health checks of its service, empty if it
    has none.
    """


def get_seconds_left(deadline: float) -> float:
  """Returns the seconds until `deadline`, a time of the monotonic clock."""
  return deadline - time.monotonic()
