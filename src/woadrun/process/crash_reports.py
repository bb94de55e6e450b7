"""Sends reports on attempts that may end instances, and claims their places.

A caller sends a request again within milliseconds, so that reports are sent at
once, as datagrams.  Each receiver acknowledges them; to one that does not they
are sent again, and where no hub of a domain answers, to all its members.  A
member that has missed reports is sent all records once it is heard again.
Without lost connections nothing is sent.  What is sent goes to the store as
well (`crash_rows.py`).

Before a request that may have ended instances is sent to one more, a member of
each failure domain is asked for a place (`decisions/crash_limit.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import itertools
import logging
import random
import time

import mode
import msgspec

from woadrun import decoding
from woadrun import errors
from woadrun.connection import attempt_reports
from woadrun.connection import peers
from woadrun.decisions import crash_limit
from woadrun.process import crash_rows
from woadrun.process import datagrams
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import hubs
from woadrun.process import ticks
from woadrun.process.load import crash_records

log = logging.getLogger('woadrun.crashes')

# Reports in one datagram, so that it stays below the limit of datagrams.
MAX_REPORTS = 64
# Delays after which a report is sent again, in seconds.
REPEAT_DELAYS_SECONDS = (0.04, 0.1, 0.3, 0.7, 1.5)
# The number of repetitions after which hubs that do not answer are bypassed.
REPEATS_BEFORE_BYPASS = 2
# Time for which a failed attempt waits until the others know of it.
MAX_DELIVERY_SECONDS = 0.15
# Path of the message by which a place is claimed, how long each member is
# waited for, and how many members of a domain are asked.
CLAIM_PATH = 'crash/claim'
CLAIM_TIMEOUT_SECONDS = 0.12
MAX_CLAIMED_MEMBERS = 2
# Interval at which members that have missed reports are told of them.
INFORM_INTERVAL_SECONDS = 0.25
# Path of the message by which a daemon that starts asks for the records.
RECORDS_PATH = 'crash/records'
# Members that it asks, how long it waits for them, and how soon it asks again.
MAX_ASKED = 4
RECORDS_TIMEOUT_SECONDS = 0.3
LEARNING_INTERVAL_SECONDS = 0.02
# Hubs that pass a report on: that of its own domain, and one of another domain.
MAX_HOPS = 2
DELIVERY_POLL_SECONDS = 0.002


@dataclasses.dataclass(kw_only=True)
class _Delivery:
  """A datagram that was sent with an `id`, and who has not acknowledged it."""

  id: int
  reports: Sequence[attempt_reports.AttemptReport]
  hops: int
  is_for_domain: bool
  missing_by_name: dict[str, fleet_heartbeats.Member]
  domains: frozenset[str]
  reached: set[str] = dataclasses.field(default_factory=set)


class CrashReports(mode.Service):
  """Sends this daemon's reports, passes on those of others and applies them.

  `has_member_list` returns whether the members of the fleet are known.
  `crash_rows` keeps the places in the store.  `is_informed` is set once this
  daemon knows the places that were taken before its start.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    records: crash_records.CrashRecords,
    messenger: peers.Messenger,
    crash_rows: crash_rows.CrashRows,
    has_member_list: Callable[[], bool] = lambda: True,
  ) -> None:
    super().__init__()
    self._messenger = messenger
    self._has_member_list = has_member_list
    self._rows = crash_rows
    self.is_informed = False
    self._members = members
    self._records = records
    self._unsent: list[attempt_reports.AttemptReport] = []
    self._flush: asyncio.Handle | None = None
    self._delivery_by_id: dict[int, _Delivery] = {}
    # Starts at a random number so that a restarted process does not take
    # acknowledgements of its previous run for its own.
    self._ids = itertools.count(random.getrandbits(52))
    # The members that acknowledged none of the sends of some reports.
    self._uninformed_names: set[str] = set()
    members.datagrams.handle(datagrams.ATTEMPT_REPORTS, self._receive)
    members.datagrams.handle(datagrams.REPORTS_RECEIVED, self._receive_ack)

  def send(self, report: attempt_reports.AttemptReport) -> None:
    """Sends a report to all daemons and to the store, with others at once."""
    self._rows.record(report)
    self._unsent.append(report)
    if self._flush is None:
      self._flush = asyncio.get_running_loop().call_soon(self._send_unsent)

  def _send_unsent(self) -> None:
    reports, self._unsent, self._flush = self._unsent, [], None
    near, far = self._members.find_report_receivers()
    self._deliver(reports, near, hops=MAX_HOPS)
    self._deliver(reports, far, hops=1, is_for_domain=True)

  async def wait_for_delivery(self) -> None:
    """Returns once the store and all members that live know what was sent.

    Waits no longer than MAX_DELIVERY_SECONDS.
    """
    until = time.monotonic() + MAX_DELIVERY_SECONDS
    if self._unsent:
      await asyncio.sleep(0)
    pending = list(self._delivery_by_id.values())
    while (
      self._rows.is_write_awaited or any(map(self._is_awaited, pending))
    ) and time.monotonic() < until:
      await asyncio.sleep(DELIVERY_POLL_SECONDS)

  def _is_awaited(self, delivery: _Delivery) -> bool:
    """Returns whether a member that is alive may not know of some reports.

    Of the hubs of a domain one is enough, since it passes them on.
    """
    return any(
      self._members.is_alive(name)
      for name, member in delivery.missing_by_name.items()
      if not (delivery.is_for_domain and member.domain in delivery.reached)
    )

  def _deliver(
    self,
    reports: Sequence[attempt_reports.AttemptReport],
    receivers: Sequence[fleet_heartbeats.Member],
    *,
    hops: int,
    is_for_domain: bool = False,
  ) -> None:
    """Sends reports until each receiver has acknowledged them."""
    if not receivers:
      return
    loop = asyncio.get_running_loop()
    for first in range(0, len(reports), MAX_REPORTS):
      delivery = _Delivery(
        id=next(self._ids),
        reports=reports[first : first + MAX_REPORTS],
        hops=hops,
        is_for_domain=is_for_domain,
        missing_by_name={member.name: member for member in receivers},
        domains=frozenset(member.domain for member in receivers),
      )
      self._delivery_by_id[delivery.id] = delivery
      self._send(delivery, delivery.reports)
      for number, delay in enumerate(REPEAT_DELAYS_SECONDS, 1):
        loop.call_later(delay, self._send_again, delivery, number, delay)

  def _send_again(
    self, delivery: _Delivery, number: int, seconds: float
  ) -> None:
    if delivery.id not in self._delivery_by_id:
      return
    if number == REPEATS_BEFORE_BYPASS and delivery.is_for_domain:
      self._bypass_hubs(delivery)
    self._send(delivery, self._find_present(delivery.reports, seconds))
    if number == len(REPEAT_DELAYS_SECONDS):
      del self._delivery_by_id[delivery.id]
      self._uninformed_names.update(delivery.missing_by_name)

  def _bypass_hubs(self, delivery: _Delivery) -> None:
    """Adds all members of the domains of which no hub has answered."""
    for domain in delivery.domains - delivery.reached:
      delivery.missing_by_name |= {
        member.name: member for member in self._members.rank('', domain)
      }

  def _find_present(
    self, reports: Sequence[attempt_reports.AttemptReport], seconds: float
  ) -> list[attempt_reports.AttemptReport]:
    """Returns reports of the present states of attempts, some time later."""
    found: dict[tuple[str, str], attempt_reports.AttemptReport] = {}
    for report in reports:
      older = msgspec.structs.replace(report, age=report.age + seconds)
      present = self._records.update_report(older)
      key = (report.fingerprint, report.incarnation_id)
      if present is not None and (key not in found or present is older):
        found[key] = present
    return list(found.values())

  def _send(
    self,
    delivery: _Delivery,
    reports: Sequence[attempt_reports.AttemptReport],
  ) -> None:
    if not reports:
      return
    data = msgspec.json.encode(
      attempt_reports.AttemptReports(
        tuple(reports),
        delivery.hops,
        self._members.me.domain,
        self._members.me.address,
        delivery.id,
        delivery.is_for_domain,
      )
    )
    for member in delivery.missing_by_name.values():
      self._members.datagrams.send(
        member.address, datagrams.ATTEMPT_REPORTS, data
      )

  def _receive_ack(self, data: bytes) -> None:
    ack = decoding.decode_json(data, type=attempt_reports.ReportsReceived)
    delivery = self._delivery_by_id.get(ack.id)
    if delivery is None:
      return
    member = delivery.missing_by_name.pop(ack.name, None)
    if member is not None:
      delivery.reached.add(member.domain)
      self._records.merge(ack.reports, domain=member.domain)
      if ack.is_complete:
        self._records.record_known(delivery.reports, domain=member.domain)
    if not delivery.missing_by_name:
      del self._delivery_by_id[delivery.id]

  def _receive(self, data: bytes) -> None:
    message = decoding.decode_json(data, type=attempt_reports.AttemptReports)
    news = self._records.apply_reports(message.reports, domain=message.domain)
    is_relaying = self._members.is_relaying or message.is_for_domain
    if news and is_relaying and message.hops < MAX_HOPS:
      near, _ = self._members.find_report_receivers()
      self._deliver(news, near, hops=message.hops + 1)
    if message.reply_to:
      self._acknowledge(message)

  def _acknowledge(self, message: attempt_reports.AttemptReports) -> None:
    """Tells the sender of reports what this daemon knows beside them.

    Otherwise a side of a partition could take the places that are left once the
    others know of its own ones, and before it knows of theirs.
    """
    told = {(item.fingerprint, item.incarnation_id) for item in message.reports}
    known = [
      report
      for fingerprint in {item.fingerprint for item in message.reports}
      for report in self._records.find_request_reports(fingerprint)
      if (fingerprint, report.incarnation_id) not in told
    ]
    ack = attempt_reports.ReportsReceived(
      message.id,
      self._members.me.name,
      tuple(known[:MAX_REPORTS]),
      is_complete=len(known) <= MAX_REPORTS,
    )
    self._members.datagrams.send(
      message.reply_to, datagrams.REPORTS_RECEIVED, msgspec.json.encode(ack)
    )

  # --- Places ---------------------------------------------------------------

  async def claim(self, fingerprint: str) -> str | None:
    """Returns a claim of a place for a request, or None if there is none left.

    A member of each domain is asked, in the same order by all daemons, so that
    of several claims the first one to reach the first domain gets the place.
    """
    claim_id = self._records.make_claim(fingerprint)
    has_place = False
    try:
      sides = await self._ask_domains(fingerprint, claim_id)
      has_place = sides is not None and self._records.has_free_place(
        fingerprint, sides, without=claim_id
      )
    finally:
      if not has_place:
        self._records.release(fingerprint, claim_id)
    return claim_id if has_place else None

  async def _ask_domains(
    self, fingerprint: str, claim_id: str
  ) -> crash_limit.Sides | None:
    """Returns which domains answered a claim, None if one of them denied it."""
    domains = sorted(
      self._members.domains | {self._members.me.domain},
      key=lambda domain: hubs.get_rendezvous_weight(domain, fingerprint),
      reverse=True,
    )
    reached: set[str] = set()
    rest = list(domains)
    # The first domain that answers decides between claims of one moment.
    while rest and not reached:
      domain = rest.pop(0)
      answer = await self._ask_domain(domain, fingerprint, claim_id)
      if answer is False:
        return None
      if answer:
        reached.add(domain)
    answers = await asyncio.gather(
      *(self._ask_domain(domain, fingerprint, claim_id) for domain in rest)
    )
    if any(answer is False for answer in answers):
      return None
    reached.update(d for d, answer in zip(rest, answers, strict=True) if answer)
    return crash_limit.Sides(domains=domains, reached=reached)

  async def _ask_domain(
    self, domain: str, fingerprint: str, claim_id: str
  ) -> bool | None:
    """Returns whether a domain grants a claim, None if it does not answer."""
    is_own = domain == self._members.me.domain
    if self._members.is_domain_silent(domain) or (
      is_own and self._members.is_isolated
    ):
      return None
    ranked = self._members.rank(fingerprint, domain)
    for member in ranked[:MAX_CLAIMED_MEMBERS]:
      if member == self._members.me:
        return True
      answer = await self._ask_for_place(member, fingerprint, claim_id)
      if answer is not None and answer.is_informed:
        return answer.is_granted
    # A daemon that is leaving does not rank itself.
    return True if is_own and not ranked else None

  async def _ask_for_place(
    self, member: fleet_heartbeats.Member, fingerprint: str, claim_id: str
  ) -> attempt_reports.ClaimAnswer | None:
    reports = self._records.find_request_reports(fingerprint)
    try:
      answer = await self._messenger.post(
        member.address,
        CLAIM_PATH,
        attempt_reports.ClaimPlace(
          fingerprint, claim_id, self._members.me.domain, reports
        ),
        type=attempt_reports.ClaimAnswer,
        timeout=CLAIM_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info('%s does not answer a claim: %s', member.name, error)
      return None
    self._records.merge(answer.reports, domain=member.domain)
    self._records.record_known(reports, domain=member.domain)
    return answer

  async def answer_claim(
    self, claim: attempt_reports.ClaimPlace
  ) -> attempt_reports.ClaimAnswer:
    """Returns whether a request has a place left, and takes it for a claim."""
    if not self.is_informed:
      return attempt_reports.ClaimAnswer(is_granted=False, is_informed=False)
    is_granted = self._records.grant(claim)
    return attempt_reports.ClaimAnswer(
      is_granted=is_granted,
      reports=self._records.find_request_reports(claim.fingerprint),
    )

  # --- Records of before the start ------------------------------------------

  async def catch_up(self, until: float) -> bool:
    """Waits until this daemon knows what others recorded, as far as it can.

    Returns False if it knows nothing until a time on the monotonic clock.  A
    daemon that hears neither all others nor the store goes on with what it
    knows: nobody could tell it more.
    """
    while (known := self._assess()) is crash_limit.Knowledge.NONE:
      if time.monotonic() >= until:
        return False
      await asyncio.sleep(LEARNING_INTERVAL_SECONDS)
    if known is crash_limit.Knowledge.STALE:
      await self._rows.read()
    return True

  def _assess(self) -> crash_limit.Knowledge:
    return crash_limit.assess(
      is_loaded=self.is_informed,
      unheard_seconds=self._members.get_unheard_seconds(),
      unread_seconds=self._rows.unread_seconds,
    )

  async def answer(
    self, query: attempt_reports.RecordsQuery
  ) -> attempt_reports.AttemptReports:
    """Returns what a daemon that has just started should know."""
    return attempt_reports.AttemptReports(
      tuple(self._records.list_reports()), is_informed=self.is_informed
    )

  @mode.Service.task
  async def _learn(self) -> None:
    """Waits for the rows, and asks members for what these lack.

    The store does not have the places of a daemon that was killed before it
    wrote them.  While the store is unavailable, a member has to answer.
    """
    while not self.is_informed and not self.should_stop:
      if self._rows.is_loaded and self._has_member_list():
        has_answer = await self._ask_members()
        self.is_informed = has_answer or not self._rows.feed.is_lost
      if self.is_informed:
        log.info(
          'Knows the places from before its start by %s: %d requests.',
          'a member and the rows' if has_answer else 'the store',
          len(self._records),
        )
      await asyncio.sleep(LEARNING_INTERVAL_SECONDS)

  async def _ask_members(self) -> bool:
    """Returns whether a member that is informed has answered."""
    me = self._members.me
    others = [m for m in self._members.member_by_name.values() if m != me]
    asked = random.sample(others, min(MAX_ASKED, len(others)))
    return any(await asyncio.gather(*(self._ask(member) for member in asked)))

  async def _ask(self, member: fleet_heartbeats.Member) -> bool:
    try:
      told = await self._messenger.post(
        member.address,
        RECORDS_PATH,
        attempt_reports.RecordsQuery(),
        type=attempt_reports.AttemptReports,
        timeout=RECORDS_TIMEOUT_SECONDS,
      )
    except errors.WoadrunError as error:
      log.info('%s tells no records of attempts: %s', member.name, error)
      return False
    self._records.merge(told.reports, domain=member.domain)
    return told.is_informed

  async def on_stop(self) -> None:
    """Sends what was not sent yet, which nobody else knows."""
    if self._unsent:
      self._send_unsent()

  # --- Members that have missed reports -------------------------------------

  @mode.Service.task
  async def _inform_returned_members(self) -> None:
    """Sends all records to members that have missed some, once they live.

    One that is new, or has started again, may have asked before a report.
    """
    known: set[tuple[str, float]] = set()
    while not self.should_stop:
      await ticks.sleep(INFORM_INTERVAL_SECONDS)
      processes = {
        (member.name, self._members.get_started_at(member.name))
        for member in self._members.find_news_receivers()
      }
      self._uninformed_names.update(name for name, _ in processes - known)
      known = processes
      found = [
        self._members.member_by_name[name]
        for name in sorted(self._uninformed_names)
        if name in self._members.member_by_name and self._members.is_alive(name)
      ]
      self._uninformed_names.difference_update(m.name for m in found)
      self._deliver(self._records.list_reports(), found, hops=MAX_HOPS)
