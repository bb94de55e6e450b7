"""The roster of a failure domain: its daemons and the owner of each slot.

The roster is one row of the table service and is changed only by
compare-and-swap.  The functions of this module have no side effects: each
returns a new roster, or None if nothing has to change.

A slot's epoch is the roster version at which its owner or standby last
changed.  The epoch is the fencing token of all actions of the slot.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import hashlib

import msgspec

# --- Data -------------------------------------------------------------------


class Slot(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
  """The owner and standby of a slot, and the epoch of their assignment.

  `before` is the previous epoch, `owner_before` the last epoch of another
  owner: a daemon uses a copy of the slot only if the copy is of that epoch.
  """

  owner: str = ''
  standby: str = ''
  epoch: int = 0
  before: int = 0
  owner_before: int = 0


class Version(
  msgspec.Struct,
  frozen=True,
  order=True,
  array_like=True,
  omit_defaults=True,
):
  """The writer of a batch of a slot; later owners compare greater.

  While the table is unavailable, a daemon that serves a slot without a change
  of the roster increments `claim` within the epoch and sets `claimer` to its
  address.
  """

  epoch: int = 0
  claim: int = 0
  claimer: str = ''


class Roster(msgspec.Struct, frozen=True, kw_only=True):
  """The daemons and the slots of a failure domain.

  `incarnations` maps the address of each daemon to the incarnation of its
  process.  `write_id` identifies the write that produced this version, so that
  a writer can distinguish a lost response from a lost write.
  """

  domain: str
  version: int = 0
  write_id: str = ''
  incarnations: dict[str, str] = {}
  slots: tuple[Slot, ...] = ()


Change = Callable[[Roster], Roster | None]


def make_empty(domain: str, *, slots: int) -> Roster:
  """Returns the roster of a domain without daemons."""
  return Roster(domain=domain, slots=(Slot(),) * slots)


# --- Reading ----------------------------------------------------------------


def get_members(roster: Roster) -> list[str]:
  """Returns the addresses of all members in sorted order."""
  return sorted(roster.incarnations)


def get_owned(roster: Roster, address: str) -> list[int]:
  """Returns the numbers of the slots that `address` owns."""
  return [n for n, slot in enumerate(roster.slots) if slot.owner == address]


def get_partners(roster: Roster, address: str) -> set[str]:
  """Returns the other daemons that share a slot with `address`."""
  partners: set[str] = set()
  for slot in roster.slots:
    pair = {slot.owner, slot.standby}
    if address in pair:
      partners |= pair
  return partners - {address, ''}


def rank(key: str, candidates: Collection[str]) -> list[str]:
  """Returns the candidates in the order of rendezvous hashing for `key`."""
  return sorted(candidates, key=lambda name: _score(key, name), reverse=True)


def _score(key: str, name: str) -> bytes:
  return get_digest(f'{key}|{name}')


def get_digest(text: str) -> bytes:
  """Returns eight bytes of hash of a text, the same in every process."""
  return hashlib.blake2b(text.encode(), digest_size=8).digest()


# --- Changing ---------------------------------------------------------------


def with_member(
  roster: Roster, address: str, incarnation: str
) -> Roster | None:
  """Returns the roster with a daemon added, which holds no slots yet.

  An earlier process at the same address is removed from its slots, since the
  new process has none of their state.
  """
  if roster.incarnations.get(address) == incarnation:
    return None
  known = address in roster.incarnations
  changed = without_member(roster, address) if known else roster
  incarnations = {**(changed or roster).incarnations, address: incarnation}
  base = changed or roster
  return msgspec.structs.replace(base, incarnations=incarnations)


def without_member(roster: Roster, address: str) -> Roster | None:
  """Returns the roster without a daemon; its slots pass to their standbys."""
  if address not in roster.incarnations:
    return None
  incarnations = dict(roster.incarnations)
  del incarnations[address]
  slots = tuple(
    _remove_from_slot(roster, slot, address) for slot in roster.slots
  )
  return msgspec.structs.replace(roster, incarnations=incarnations, slots=slots)


def _remove_from_slot(roster: Roster, slot: Slot, address: str) -> Slot:
  if slot.owner == address:
    return _make_next_slot(roster, slot, owner=slot.standby, standby='')
  if slot.standby == address:
    return _make_next_slot(roster, slot, owner=slot.owner, standby='')
  return slot


def _make_next_slot(
  roster: Roster, slot: Slot, *, owner: str, standby: str
) -> Slot:
  is_same_owner = owner == slot.owner
  return Slot(
    owner=owner,
    standby=standby,
    epoch=roster.version + 1,
    before=slot.epoch,
    owner_before=slot.owner_before if is_same_owner else slot.epoch,
  )


def with_pair(
  roster: Roster, number: int, *, epoch: int, owner: str, standby: str
) -> Roster | None:
  """Returns the roster with a new owner and standby for one slot.

  Returns None if the slot is no longer at `epoch` or already has this pair.
  """
  old = roster.slots[number]
  is_unchanged = (old.owner, old.standby) == (owner, standby)
  if old.epoch != epoch or is_unchanged:
    return None
  new = _make_next_slot(roster, old, owner=owner, standby=standby)
  slots = (*roster.slots[:number], new, *roster.slots[number + 1 :])
  return msgspec.structs.replace(roster, slots=slots)


def with_pairs(
  roster: Roster, pairs: dict[int, tuple[int, str, str]]
) -> Roster | None:
  """Returns the roster with new owners and standbys for several slots.

  `pairs` maps a slot number to its expected epoch, the new owner and the new
  standby.  Slots that are at another epoch stay unchanged.
  """
  changed = roster
  for number, (epoch, owner, standby) in pairs.items():
    moved = with_pair(
      changed, number, epoch=epoch, owner=owner, standby=standby
    )
    changed = moved or changed
  return changed if changed is not roster else None


# --- Planning ---------------------------------------------------------------


def find_orphans(roster: Roster, silent: Collection[str]) -> Iterator[int]:
  """Yields the slots that have neither a live owner nor a live standby.

  `silent` holds the daemons that are considered dead.
  """
  for number, slot in enumerate(roster.slots):
    holders = {slot.owner, slot.standby} - {''}
    if not holders - set(silent):
      yield number


def choose_standby(
  roster: Roster, number: int, *, owner: str, unfit: Collection[str]
) -> str:
  """Returns the daemon that should become the standby of a slot.

  Returns '' if there is no candidate besides the owner and `unfit` daemons.
  Rendezvous hashing on the owner gives each owner few partners, which bounds
  the number of heartbeats and replication streams of a daemon.
  """
  live = set(roster.incarnations) - set(unfit) - {owner}
  ranked = rank(f'{roster.domain}/{owner}/{number % 2}', live)
  return ranked[0] if ranked else ''


def plan_rebalance(
  roster: Roster, address: str, *, unfit: Collection[str]
) -> tuple[list[int], str]:
  """Returns the slots that `address` should hand over, and the receiver.

  The list is empty unless the receiver owns at least two slots fewer.  Slots
  whose standby is the receiver come first, since they need no copy.
  """
  live = [m for m in get_members(roster) if m not in unfit]
  if address not in live:
    return [], ''
  counts = {m: len(get_owned(roster, m)) for m in live}
  # The daemon with the most slots hands over to the one with the fewest, the
  # second to the second last, and so on.  All daemons compute the same pairs
  # from the same roster, so the transfers run in parallel.
  by_count = sorted(live, key=lambda m: (-counts[m], m))
  target = by_count[-1 - by_count.index(address)]
  share = (counts[address] - counts[target]) // 2
  if share < 1:
    return [], ''
  owned = get_owned(roster, address)
  owned.sort(key=lambda number: roster.slots[number].standby != target)
  return owned[:share], target


def get_keeper(
  roster: Roster, name: str, *, silent: Collection[str] = ()
) -> str:
  """Returns the member that coordinates the resource with a name.

  Resources are for example an upstream's queue and a row's limits.  Members in
  `silent` are skipped, even while the roster cannot be changed.  Returns '' if
  no member is left.
  """
  ranked = rank(f'keeper/{name}', set(roster.incarnations) - set(silent))
  return ranked[0] if ranked else ''
