"""A cached copy of the platform's list of VMs.

The platform's list may be out of date, and reading it may fail.  The last
list that was read is kept.  Once it has expired, a daemon learns which VMs
are leaving from its peers' recent reports.
"""

from __future__ import annotations

from collections.abc import Iterable
import logging
import time

import aiohttp
import mode

from woadrun import errors
from woadrun import settings
from woadrun.connection import vms

log = logging.getLogger('woadrun.vms')

POLL_INTERVAL_SECONDS = 2.0
# With more VMs than this, the poll interval grows with their number.
FULL_POLL_RATE_VMS = 32
# Time for which a list, or a peer's report of leaving VMs, is valid.
LIST_TTL_SECONDS = 10.0


class VmList(mode.Service):
  """The VMs that the platform lists, and which of them are leaving."""

  def __init__(
    self, *, config: settings.Settings, session: aiohttp.ClientSession
  ) -> None:
    super().__init__()
    self._platform = config.platform
    self._session = session
    self.vm_by_address: dict[str, vms.Vm] = {}
    self._read_at = float('-inf')
    self._reported_at: dict[str, float] = {}

  async def read(self) -> None:
    """Reads the list from the platform, or keeps the last one on failure."""
    try:
      listed = await vms.read(
        self._session, self._platform.vms, timeout=self._platform.timeout
      )
    except errors.WoadrunError as error:
      log.debug('VM list not read from the platform: %s', error)
      return
    self.vm_by_address = {vm.address: vm for vm in listed}
    self._read_at = time.monotonic()

  @mode.Service.task
  async def _poll(self) -> None:
    while not self.should_stop:
      await self.read()
      factor = max(1.0, len(self.vm_by_address) / FULL_POLL_RATE_VMS)
      await self.sleep(POLL_INTERVAL_SECONDS * factor)

  def record_leaving_vms(self, addresses: Iterable[str]) -> None:
    """Records the leaving VMs that a peer reports."""
    now = time.monotonic()
    self._reported_at.update(dict.fromkeys(addresses, now))

  def get_leaving(self) -> set[str]:
    """Returns the addresses of the VMs that the platform will remove soon."""
    now = time.monotonic()
    if now - self._read_at < LIST_TTL_SECONDS:
      listed = self.vm_by_address.values()
      return {vm.address for vm in listed if vm.state == vms.LEAVING}
    reported = self._reported_at.items()
    return {address for address, at in reported if now - at < LIST_TTL_SECONDS}

  def get_staying(self, domains: Iterable[str]) -> list[str]:
    """Returns the addresses of VMs in some domains that are not leaving."""
    wanted = set(domains)
    return [
      vm.address
      for vm in self.vm_by_address.values()
      if vm.domain in wanted and vm.state != vms.LEAVING
    ]

  def get_domains(self) -> set[str]:
    """Returns all failure domains that have a VM in the list."""
    return {vm.domain for vm in self.vm_by_address.values()}
