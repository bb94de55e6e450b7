"""Which part of a budget each side may spend while they are cut off.

Failure domains that cannot reach each other may all go on with one program.
Each then spends a part of what was left when it noticed; the parts together
are never more than the whole.
"""

from __future__ import annotations

# The home domain's part while it has no store: another domain may reach the
# store meanwhile, and the other half is for that one.
HOME_SHARE = 0.5


def get_lone_share(domains: int) -> float:
  """Returns the part of a domain without the store and away from home.

  `domains` counts all domains that may serve the program.
  """
  return (1 - HOME_SHARE) / max(1, domains - 1)


def get_share(
  *, is_home: bool, has_store: bool, domains: int, unsettled: int
) -> float:
  """Returns the part of what is left that one domain may spend.

  `unsettled` counts the other domains, the home left out, that may be
  spending where this one does not see it.
  """
  alone = get_lone_share(domains)
  if has_store:
    whole = 1.0 if is_home else 1 - HOME_SHARE
    return max(0.0, whole - unsettled * alone)
  if not is_home:
    return alone
  # That all are in sight is known only up to a moment ago.
  return HOME_SHARE if domains > 1 else 1.0
