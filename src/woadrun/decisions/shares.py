"""Division of a program's budget between partitioned failure domains.

Failure domains that cannot reach each other may all continue one program.  Each
domain may then spend a share of the budget that was left when it detected the
partition.  The shares never add up to more than the whole.
"""

from __future__ import annotations

# Share of the home domain while it cannot reach the store.  The other half is
# reserved for a domain that can reach the store meanwhile.
HOME_SHARE = 0.5


def get_partitioned_share(domains: int) -> float:
  """Returns the share of a domain that is not the home and has no store.

  `domains` counts all domains that may serve the program.
  """
  return (1 - HOME_SHARE) / max(1, domains - 1)


def get_share(
  *, is_home: bool, has_store: bool, domains: int, unsettled: int
) -> float:
  """Returns the share of the remaining budget that one domain may spend.

  `is_home` tells whether the domain is the program's home, `has_store` whether
  it can reach the store.  `domains` counts all domains that may serve the
  program.  `unsettled` counts the other domains, except the home, that may be
  spending without the knowledge of this one.
  """
  lone_share = get_partitioned_share(domains)
  if has_store:
    base_share = 1.0 if is_home else 1 - HOME_SHARE
    return max(0.0, base_share - unsettled * lone_share)
  if not is_home:
    return lone_share
  # A domain may have been cut off since it was last heard from, so the share
  # does not depend on `unsettled`.
  return HOME_SHARE if domains > 1 else 1.0
