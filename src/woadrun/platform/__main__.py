"""`python3 -m woadrun.platform`: the daemon on the users' platform.

It imports what a daemon there needs and no more: the whole command line
would cost each process some ten megabytes.
"""

import asyncio
import gc
import os
import sys

from woadrun import errors

# New objects between two looks for garbage.  Most objects of a request are
# freed as it ends, and by the interpreter's own number each has some looks.
GARBAGE_OBJECTS = 10_000


def main() -> int:
  """Returns the exit code of the daemon."""
  # All peers of a daemon speak plain HTTP.  The client library reads the
  # machine's certificates when it is imported, which nobody needs.
  os.environ['SSL_CERT_FILE'] = os.devnull
  os.environ['SSL_CERT_DIR'] = os.devnull
  # What is imported stays: to look for garbage in it makes a start longer.
  gc.disable()
  from woadrun.platform import program
  from woadrun.process import event_loop

  gc.freeze()
  gc.set_threshold(GARBAGE_OBJECTS)
  gc.enable()
  try:
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
      runner.run(program.run())
  except errors.FindingsError as error:
    print(error, file=sys.stderr)
    return 2
  return 0


if __name__ == '__main__':
  sys.exit(main())
