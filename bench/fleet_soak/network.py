"""A loopback network of its own for each run."""

from __future__ import annotations

import socket

# The second numbers of networks to choose from, and the port that claims one.
FIRST, LAST, CLAIM_PORT = 32, 231, 7379


class Network:
  """Addresses that no other run on this machine uses at the same time."""

  def __init__(self) -> None:
    self._claim = socket.socket()
    for number in range(FIRST, LAST + 1):
      try:
        self._claim.bind((f'127.{number}.0.1', CLAIM_PORT))
      except OSError:
        continue
      self.prefix = f'127.{number}'
      return
    raise OSError('No loopback network is free.')

  def get_host(self, group: int, number: int) -> str:
    """Returns the IP number of one host of a group."""
    return f'{self.prefix}.{group}.{number + 1}'

  def close(self) -> None:
    """Leaves the addresses to other runs."""
    self._claim.close()
