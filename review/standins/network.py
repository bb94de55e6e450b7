"""A loopback network of its own for each run."""

from __future__ import annotations

import random
import socket

# Ports that must be free at an address where a daemon is to listen.
DAEMON_PORTS = (8149, 8141, 8144, 9102, *range(7380, 7396))


class Network:
  """Hands out loopback addresses 127.x.y.z that nobody listens at."""

  def __init__(self) -> None:
    numbers = list(range(32, 232))
    random.shuffle(numbers)
    for number in numbers:
      self._prefix = f'127.{number}'
      if _is_free(self.get_host(1, 0)):
        return
    raise OSError('There is no free loopback network.')

  def get_host(self, group: int, number: int) -> str:
    """Returns the IP address of one host of a group."""
    return f'{self._prefix}.{group}.{number + 1}'


def _is_free(host: str) -> bool:
  for port in DAEMON_PORTS:
    with socket.socket() as tried:
      try:
        tried.bind((host, port))
      except OSError:
        return False
  return True
