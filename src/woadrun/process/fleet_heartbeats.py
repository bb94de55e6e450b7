"""Heartbeats of daemons, and the digests of whole failure domains."""

from __future__ import annotations

import dataclasses

import msgspec

from woadrun.decisions import service_times


@dataclasses.dataclass(frozen=True, kw_only=True)
class Member:
  """A daemon of the fleet; other daemons reach it at `address`, IP:PORT."""

  name: str
  address: str
  domain: str


class ServiceDemand(msgspec.Struct, kw_only=True, omit_defaults=True):
  """The demand for one service, at one daemon or summed over many.

  `programs` counts the programs under way, `waiting` those that were refused
  and are about to return, `ended` the programs that ended per second, and
  `ended_seconds` sums how long these were under way.  `timed` counts those of
  them with a finish time, and `ratio_sum` sums which part they used, from their
  admission to the end of their last turn, of the time that they had.  Each
  counts alike, so that a far finish time does not outweigh all others.  `asked`
  has the programs that asked to begin per second, by class; a class is encoded
  as PRIORITY.ORDER.TEAM (`decisions/program_admission.py`).
  """

  programs: int = 0
  waiting: int = 0
  ended: float = 0.0
  ended_seconds: float = 0.0
  timed: float = 0.0
  ratio_sum: float = 0.0
  asked: dict[str, float] = {}


class Digest(msgspec.Struct, kw_only=True, omit_defaults=True):
  """The state of all members of a domain, as one hub of it reports.

  `age` is how long ago the digest was made, in seconds.  `silent`, `leaving`
  and `storeless` name the members that the hub does not hear, that are about to
  stop, and that have no access to the store.  `deaf_to` names the other domains
  of which any member hears nothing.  `is_owing` and `is_behind` are set if they
  are set in the heartbeat of any member.  `running` sums the requests that the
  members have in progress at each instance, `failing` the failures that they
  saw there; both are None where the receiver gets them from another hub or, for
  other domains, as the sum `elsewhere` of a heartbeat.  `demand` sums what the
  members report for each service; it is empty where `running` is None.
  `turn_times` sums the times of turns at the instances that are faster or
  slower than the mean of their service, and is None where `running` is.
  `confirmed` is the newest value of all members.  `oldest` is the age of the
  oldest heartbeat in the digest when the digest was made, in seconds; it is
  None until the hub has heard all members, or has been a hub for long enough to
  call the others silent.  `suspecting` counts the members that suspect the
  store to be silent, `served` those that it answered a moment ago.
  """

  hub: str
  domain: str
  age: float = 0.0
  oldest: float | None = None
  silent: tuple[str, ...] = ()
  leaving: tuple[str, ...] = ()
  storeless: tuple[str, ...] = ()
  deaf_to: tuple[str, ...] = ()
  is_owing: bool = False
  is_behind: bool = False
  running: dict[str, int] | None = None
  failing: dict[str, float] | None = None
  demand: dict[str, ServiceDemand] = {}
  turn_times: dict[str, service_times.Sums] | None = None
  confirmed: tuple[float, int] | None = None
  suspecting: int = 0
  served: int = 0


class FleetHeartbeat(msgspec.Struct, kw_only=True, omit_defaults=True):
  """A heartbeat datagram: the state of one daemon, as it reports itself.

  `woadrun.connection.messages.Heartbeat` is another kind of heartbeat, which
  membership.py exchanges by request and response.

  `feeds` holds the number of the newest known change of each table.  `running`
  counts the requests that the daemon has in progress at each instance,
  `failing` the recent failures that it saw there, with older ones counting
  less.  `demand` has the demand for each service at this daemon.
  `silent` names the domains of which the daemon hears nothing.
  `is_owing` says that the daemon has spent from the budgets of other domains'
  programs and that the store does not have this spending yet, `is_behind` that
  the store lacks data of this daemon that others need before they decide.
  `wants_digests` asks the receiver for digests; a hub sends them in `digests`,
  and the requests that all other domains have in progress, summed by instance,
  in `elsewhere`, with the demand of these domains in `elsewhere_demand`.
  `turn_times` sums the times of the turns that ended at the daemon since its
  last heartbeat; `elsewhere_turn_times` has the sums of all other domains, of
  instances that differ in speed.  `confirmed` holds a reading of the store's
  clock, in seconds, and the newest change of the routing table made before it.
  `suspects_store` says that the store has not answered the daemon for much
  longer than usual, `is_served` that it answered a moment ago; a daemon without
  calls reports neither.  `started_at` is the Unix time at which its process
  started, by which a restart is noticed however short it was.
  """

  name: str
  address: str
  domain: str
  has_store: bool = False
  feeds: dict[str, int] = {}
  is_leaving: bool = False
  running: dict[str, int] = {}
  failing: dict[str, float] = {}
  demand: dict[str, ServiceDemand] = {}
  silent: tuple[str, ...] = ()
  is_owing: bool = False
  is_behind: bool = False
  wants_digests: bool = False
  digests: tuple[Digest, ...] = ()
  elsewhere: dict[str, int] | None = None
  elsewhere_demand: dict[str, ServiceDemand] = {}
  turn_times: dict[str, service_times.Sums] = {}
  elsewhere_turn_times: dict[str, service_times.Sums] = {}
  confirmed: tuple[float, int] | None = None
  suspects_store: bool = False
  is_served: bool = False
  started_at: float = 0.0


@dataclasses.dataclass(kw_only=True)
class LastHeartbeat:
  """The last heartbeat of a peer; `at` is its monotonic time of arrival."""

  heartbeat: FleetHeartbeat
  at: float
