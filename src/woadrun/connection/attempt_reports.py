"""Messages between daemons on attempts of requests that may end instances."""

from __future__ import annotations

import msgspec

from woadrun.decisions import crash_limit

State = crash_limit.State


class AttemptReport(
  msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
  """The state of one attempt, which it entered `age` seconds ago.

  `fingerprint` identifies the request across its tries, `incarnation_id` the
  instance, or the claim of a daemon that has not chosen an instance yet.
  """

  fingerprint: str
  incarnation_id: str
  state: State
  age: float


class AttemptReports(msgspec.Struct, frozen=True, array_like=True):
  """The content of a datagram, which was passed on by `hops` hubs so far.

  `domain` is the failure domain of its sender.  The receiver acknowledges the
  datagram with its `id` to `reply_to`, IP:PORT, unless that is empty.  With
  `is_for_domain` it passes the reports on to the members of its domain.  A
  sender that does not know the records of before its start is not
  `is_informed`.
  """

  reports: tuple[AttemptReport, ...]
  hops: int = 0
  domain: str = ''
  reply_to: str = ''
  id: int = 0
  is_for_domain: bool = False
  is_informed: bool = True


class ReportsReceived(msgspec.Struct, frozen=True, array_like=True):
  """The acknowledgement of a datagram with an `id` by a member `name`.

  `reports` is what the member knows of the requests of the datagram, as far as
  `is_complete` says.
  """

  id: int
  name: str
  reports: tuple[AttemptReport, ...] = ()
  is_complete: bool = True


class RecordsQuery(msgspec.Struct, frozen=True):
  """Asks for all that a daemon which has just started should know."""


class ClaimPlace(msgspec.Struct, frozen=True):
  """Claims a place for a request before it is sent to one more instance.

  `reports` is what the sender knows of the request, `claim_id` stands for the
  instance until one is chosen, and `domain` is that of the sender.
  """

  fingerprint: str
  claim_id: str
  domain: str
  reports: tuple[AttemptReport, ...] = ()


class ClaimAnswer(msgspec.Struct, frozen=True):
  """What a member knows of a request, and whether it has a place left.

  One that has just started does not know yet, as `is_informed` tells.
  """

  is_granted: bool
  is_informed: bool = True
  reports: tuple[AttemptReport, ...] = ()
