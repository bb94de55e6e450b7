"""Reports between daemons on attempts of requests that may end instances."""

from __future__ import annotations

import enum

import msgspec


class State(enum.IntEnum):
  """The state of an attempt; of two reports the later state is the newer one.

  CLAIMED: a daemon is about to send the request to an instance.  RUNNING: the
  instance runs the request.  NOT_RUN: it does not run it after all.  ABANDONED:
  the daemon gave up waiting, and the instance, which lives on as far as is
  known, may still run it.  LOST: the connection was lost or given up, and it is
  not known yet whether the instance ended.
  ENDED: the instance ended while it ran the request.  SURVIVED: the instance
  runs on.  COMPLETE: the response was received completely, which also clears
  the request of attempts before.
  """

  CLAIMED = -1
  RUNNING = 0
  NOT_RUN = 1
  ABANDONED = 2
  LOST = 3
  ENDED = 4
  SURVIVED = 5
  COMPLETE = 6


class AttemptReport(
  msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
  """The state of one attempt, which it entered `age` seconds ago.

  `fingerprint` identifies the request across its tries, `incarnation_id` the
  instance; for CLAIMED, which has no instance yet, it is the daemon's name.
  """

  fingerprint: str
  incarnation_id: str
  state: State
  age: float


class AttemptReports(msgspec.Struct, frozen=True, array_like=True):
  """The content of a datagram, which was passed on by `hops` hubs so far."""

  reports: tuple[AttemptReport, ...]
  hops: int = 0


class RecordsQuery(msgspec.Struct, frozen=True):
  """Asks for all that a daemon which has just started should know."""
