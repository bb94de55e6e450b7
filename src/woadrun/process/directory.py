"""A daemon's view of all failure domains: rosters, claims and keepers.

A keeper is the daemon that rendezvous hashing over a domain's roster
assigns to a name.  The view holds only what the daemon read from the table
or received from peers; `membership` keeps it up to date.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from woadrun.process import vm_list
from woadrun.version import roster

CachedKeeper = tuple[tuple[int, frozenset[str]], str]


class Directory:
  """The known rosters, and the owners and keepers that follow from them."""

  def __init__(
    self,
    *,
    address: str,
    own: roster.Roster,
    vms: vm_list.VmList,
    get_silent: Callable[[], set[str]],
  ) -> None:
    self._address = address
    self._vms = vms
    self._get_silent = get_silent
    self.domain = own.domain
    self.roster = own
    self.roster_by_domain: dict[str, roster.Roster] = {}
    self.claims: Callable[[], dict[int, roster.Version]] = dict
    self._claim_by_slot: dict[tuple[str, int], roster.Version] = {}
    self._keeper_by_name: dict[tuple[str, str], CachedKeeper] = {}

  def get_roster(self, domain: str) -> roster.Roster:
    """Returns a domain's roster, or an empty one if none is known."""
    if domain == self.domain:
      return self.roster
    return self.roster_by_domain.get(domain) or roster.Roster(domain=domain)

  # --- Slots ----------------------------------------------------------------

  def get_owner(self, domain: str, slot: int) -> str:
    """Returns the daemon that serves a slot, or '' if none is known.

    A claim of the slot's current epoch takes precedence over the roster.
    """
    known = self.get_roster(domain)
    if slot >= len(known.slots):
      return ''
    entry = known.slots[slot]
    if domain == self.domain and slot in self.claims():
      return self._address
    claim = self._claim_by_slot.get((domain, slot))
    is_claimed = claim is not None and claim.epoch == entry.epoch
    return claim.claimer if claim and is_claimed else entry.owner

  def get_replicas(self, domain: str, slot: int) -> list[str]:
    """Returns the daemons in a slot's roster entry, the standby first."""
    known = self.get_roster(domain)
    if slot >= len(known.slots):
      return []
    entry = known.slots[slot]
    return [m for m in (entry.standby, entry.owner) if m]

  def get_known_claims(self) -> dict[int, roster.Version]:
    """Returns the claims by which slots of this domain are served."""
    reported = {
      slot: claim
      for (domain, slot), claim in self._claim_by_slot.items()
      if domain == self.domain
    }
    return {**reported, **self.claims()}

  def record_claim(self, domain: str, slot: int, claim: roster.Version) -> None:
    """Records that a daemon serves a slot by a claim, without the table.

    The newest claim of a slot wins.
    """
    known = self._claim_by_slot.get((domain, slot), roster.Version())
    self._claim_by_slot[domain, slot] = max(claim, known)

  def replace_claims(
    self, claimer: str, claims: dict[int, roster.Version]
  ) -> None:
    """Replaces the recorded claims of a member of this domain."""
    for key, claim in list(self._claim_by_slot.items()):
      if claim.claimer == claimer and key[1] not in claims:
        del self._claim_by_slot[key]
    for slot, claim in claims.items():
      self.record_claim(self.domain, slot, claim)

  # --- Members --------------------------------------------------------------

  def get_keeper(self, domain: str, name: str) -> str:
    """Returns the keeper of a name in a domain.

    In this daemon's own domain, members that do not respond are passed
    over.
    """
    known = self.get_roster(domain)
    is_own = domain == self.domain
    silent = frozenset(self._get_silent() if is_own else ())
    # Cached: needed for each call and each heartbeat, and seldom changes.
    cache_key = (known.version, silent)
    found = self._keeper_by_name.get((domain, name))
    if found is None or found[0] != cache_key:
      keeper = roster.get_keeper(known, name, silent=silent)
      found = self._keeper_by_name[domain, name] = (cache_key, keeper)
    return found[1]

  def get_fencing_token(self, domain: str) -> int:
    """Returns the fencing token of commands to upstreams of a domain.

    The token is the version of the domain's roster.  Each domain counts
    versions by itself, so an upstream only gets tokens of its own domain.
    """
    return self.get_roster(domain).version

  def get_addresses(self, domain: str) -> list[str]:
    """Returns the daemons of another domain, in random order.

    They come from the domain's roster, or from the VM list if no roster
    with members is known.
    """
    listed = self._vms.get_staying([domain])
    found = sorted(self.get_roster(domain).incarnations) or listed
    random.shuffle(found)
    return found

  def get_known_addresses(self) -> set[str]:
    """Returns the addresses of the known members of all failure domains."""
    rosters = (self.roster, *self.roster_by_domain.values())
    return {member for known in rosters for member in known.incarnations}

  def get_known_processes(self) -> set[str]:
    """Returns the names of the known processes of all failure domains."""
    rosters = (self.roster, *self.roster_by_domain.values())
    return {
      make_process_name(address, incarnation)
      for known in rosters
      for address, incarnation in known.incarnations.items()
    }


def make_process_name(address: str, incarnation: str) -> str:
  """Returns a name of one process, unique although addresses are reused."""
  return f'{address}/{incarnation}'
