"""Sends reports on attempts that may end instances to all daemons.

A caller sends a request again within milliseconds, so that reports are sent at
once, as datagrams.  Most are sent again a little later, in case a datagram is
lost, and the ends of instances are sent from time to time, for daemons that
have just started.  Without lost connections nothing is sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import logging
import random

import mode
import msgspec

from woadrun import errors
from woadrun.connection import attempt_reports
from woadrun.connection import peers
from woadrun.process import datagrams
from woadrun.process import fleet
from woadrun.process import fleet_heartbeats
from woadrun.process import ticks
from woadrun.process.load import crash_records

log = logging.getLogger('woadrun.crashes')

# Reports in one datagram, so that it stays below the limit of datagrams.
MAX_REPORTS = 64
# States that are sent again, since no other state follows them soon.
LASTING_STATES = frozenset(
  (
    attempt_reports.State.RUNNING,
    attempt_reports.State.NOT_RUN,
    attempt_reports.State.ENDED,
    attempt_reports.State.COMPLETE,
  )
)
# Delays after which a report is sent again, in seconds.
REPEAT_DELAYS_SECONDS = (0.1, 0.3)
# Interval at which ends of instances are sent anew, and how many at a time.
REFRESH_INTERVAL_SECONDS = 1.0
MAX_REFRESHED = 6
# Interval at which members that are new are told of the ended instances.
INFORM_INTERVAL_SECONDS = 0.25
# Path of the message by which a daemon that starts asks for the records.
RECORDS_PATH = 'crash/records'
# Members that it asks, how long it waits for them, and for how long it asks.
MAX_ASKED = 4
RECORDS_TIMEOUT_SECONDS = 0.3
MAX_LEARNING_SECONDS = 1.0
LEARNING_INTERVAL_SECONDS = 0.02
# Hubs that pass a report on: that of its own domain, and one of another domain.
MAX_HOPS = 2


class CrashReports(mode.Service):
  """Sends this daemon's reports, passes on those of others and applies them.

  `has_member_list` returns whether the members of the fleet are known.
  `is_informed` is set once this daemon knows the records of the others, as far
  as they can be reached, or has waited for MAX_LEARNING_SECONDS.
  """

  def __init__(
    self,
    *,
    members: fleet.Fleet,
    records: crash_records.CrashRecords,
    messenger: peers.Messenger | None = None,
    has_member_list: Callable[[], bool] = lambda: True,
  ) -> None:
    super().__init__()
    self._messenger = messenger
    self._has_member_list = has_member_list
    self.is_informed = messenger is None
    self._members = members
    self._records = records
    self._unsent: list[attempt_reports.AttemptReport] = []
    self._flush: asyncio.Handle | None = None
    members.datagrams.handle(datagrams.ATTEMPT_REPORTS, self._receive)

  def send(self, report: attempt_reports.AttemptReport) -> None:
    """Sends a report to all daemons, with others of the same moment."""
    self._unsent.append(report)
    if self._flush is None:
      self._flush = asyncio.get_running_loop().call_soon(self._send_unsent)

  def _send_unsent(self) -> None:
    reports, self._unsent, self._flush = self._unsent, [], None
    self._send_with_repeats(reports, hops=0)

  def _send_with_repeats(
    self, reports: Sequence[attempt_reports.AttemptReport], *, hops: int
  ) -> None:
    self._send(reports, self._members.find_news_receivers(), hops=hops)
    lasting = [report for report in reports if report.state in LASTING_STATES]
    if lasting:
      loop = asyncio.get_running_loop()
      for delay in REPEAT_DELAYS_SECONDS:
        loop.call_later(delay, self._send_again, lasting, delay, hops)

  def _send_again(
    self,
    reports: Sequence[attempt_reports.AttemptReport],
    seconds: float,
    hops: int,
  ) -> None:
    older = [
      self._records.update_report(
        msgspec.structs.replace(report, age=report.age + seconds)
      )
      for report in reports
    ]
    present = [report for report in older if report is not None]
    self._send(present, self._members.find_news_receivers(), hops=hops)

  def _send(
    self,
    reports: Sequence[attempt_reports.AttemptReport],
    receivers: Sequence[fleet_heartbeats.Member],
    *,
    hops: int,
  ) -> None:
    for first in range(0, len(reports), MAX_REPORTS):
      part = tuple(reports[first : first + MAX_REPORTS])
      data = msgspec.json.encode(attempt_reports.AttemptReports(part, hops))
      for member in receivers:
        self._members.datagrams.send(
          member.address, datagrams.ATTEMPT_REPORTS, data
        )

  def _receive(self, data: bytes) -> None:
    try:
      message = msgspec.json.decode(data, type=attempt_reports.AttemptReports)
    except msgspec.MsgspecError as error:
      log.warning('Ignored malformed reports of attempts: %s', error)
      return
    news = self._records.apply_reports(message.reports)
    if news and self._members.is_relaying and message.hops < MAX_HOPS:
      self._send_with_repeats(news, hops=message.hops + 1)

  # --- Records of before the start ------------------------------------------

  async def answer(
    self, query: attempt_reports.RecordsQuery
  ) -> attempt_reports.AttemptReports:
    """Returns what a daemon that has just started should know."""
    return attempt_reports.AttemptReports(tuple(self._records.list_reports()))

  @mode.Service.task
  async def _learn(self) -> None:
    """Asks some members for their records, until one of them answers."""
    with contextlib.suppress(TimeoutError):
      async with asyncio.timeout(MAX_LEARNING_SECONDS):
        while not self.is_informed:
          self.is_informed = await self._ask_members()
          await asyncio.sleep(LEARNING_INTERVAL_SECONDS)
    self.is_informed = True

  async def _ask_members(self) -> bool:
    """Returns whether a member has answered, or there is none to ask."""
    if not self._has_member_list():
      return False
    me = self._members.me
    others = [m for m in self._members.member_by_name.values() if m != me]
    asked = random.sample(others, min(MAX_ASKED, len(others)))
    answers = await asyncio.gather(*(self._ask(member) for member in asked))
    return any(answers) or not asked

  async def _ask(self, member: fleet_heartbeats.Member) -> bool:
    assert self._messenger is not None
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
    self._records.apply_reports(told.reports)
    return True

  async def on_stop(self) -> None:
    """Sends what was not sent yet, which nobody else knows."""
    if self._unsent:
      self._send_unsent()

  # --- Reports from time to time --------------------------------------------

  @mode.Service.task
  async def _refresh(self) -> None:
    while not self.should_stop:
      await ticks.sleep(REFRESH_INTERVAL_SECONDS)
      reports = self._records.find_reports(limit=MAX_REFRESHED)
      if reports:
        self._send(reports, self._members.find_news_receivers(), hops=0)

  @mode.Service.task
  async def _inform_new_members(self) -> None:
    # A member that is back before it was missed has forgotten all the same.
    known: set[tuple[str, float]] = set()
    while not self.should_stop:
      await ticks.sleep(INFORM_INTERVAL_SECONDS)
      receivers = self._members.find_news_receivers()
      process_by_name = {
        member.name: (member.name, self._members.get_started_at(member.name))
        for member in receivers
      }
      new = [m for m in receivers if process_by_name[m.name] not in known]
      known = set(process_by_name.values())
      reports = self._records.find_reports(limit=MAX_REPORTS) if new else []
      if reports:
        self._send(reports, new, hops=0)
