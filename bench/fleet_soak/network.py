"""A separate loopback network for each run."""

from __future__ import annotations

import socket

# Range of the second byte of the networks 127.x, and the port that claims one.
FIRST_NETWORK, LAST_NETWORK, CLAIM_PORT = 32, 231, 7379


class Network:
  """Loopback addresses that no concurrent run on this machine uses."""

  def __init__(self) -> None:
    self._claim = socket.socket()
    for number in range(FIRST_NETWORK, LAST_NETWORK + 1):
      try:
        self._claim.bind((f'127.{number}.0.1', CLAIM_PORT))
      except OSError:
        continue
      self.prefix = f'127.{number}'
      return
    raise OSError(
      'No free loopback network from '
      f'127.{FIRST_NETWORK} to 127.{LAST_NETWORK}.'
    )

  def get_host(self, group: int, number: int) -> str:
    """Returns the IP address of a host of a group."""
    return f'{self.prefix}.{group}.{number + 1}'

  def close(self) -> None:
    """Releases the addresses for other runs."""
    self._claim.close()
