"""`python3 -m woadrun.platform`: the daemon on the users' platform.

It imports what a daemon there needs and no more: the whole command line
would cost each process some ten megabytes.
"""

import asyncio
import sys

from woadrun import errors
from woadrun.platform import program


def main() -> int:
  """Returns the exit code of the daemon."""
  try:
    asyncio.run(program.run())
  except errors.FindingsError as error:
    print(error, file=sys.stderr)
    return 2
  return 0


if __name__ == '__main__':
  sys.exit(main())
