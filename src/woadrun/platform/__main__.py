"""`python3 -m woadrun.platform`: runs the daemon on the users' platform.

An argument names the operator's file with settings for the admission of
programs (`woadrun.process.admission_settings`); without one the defaults hold.

The module imports only what the daemon needs: the whole command line would
cost each process some ten megabytes.
"""

import asyncio
import gc
import os
import signal
import sys

from woadrun import errors

# Net new objects that trigger a garbage collection.  Reference counting frees
# most objects of a request when the request ends; with the interpreter's
# default threshold each request would trigger several collections.
GC_THRESHOLD_OBJECTS = 10_000


def main() -> int:
  """Runs the daemon and returns its exit code."""
  # A change of the settings during the imports must not end the process; the
  # settings are read after them.
  signal.signal(signal.SIGHUP, signal.SIG_IGN)
  # All connections of a daemon are plain HTTP.  The client library loads the
  # machine's CA certificates at import, which would be wasted work.
  os.environ['SSL_CERT_FILE'] = os.devnull
  os.environ['SSL_CERT_DIR'] = os.devnull
  # Imported objects live as long as the process, so collections during the
  # imports would only lengthen the start.
  gc.disable()
  from woadrun.platform import program
  from woadrun.process import event_loop

  gc.freeze()
  gc.set_threshold(GC_THRESHOLD_OBJECTS)
  gc.enable()
  try:
    with asyncio.Runner(loop_factory=event_loop.make) as runner:
      runner.run(program.run(*sys.argv[1:2]))
      # Cancelling what is left and freeing all objects would take long beside
      # many requests, and the grace period ends.
      os._exit(0)
  except errors.FindingsError as error:
    print(error, file=sys.stderr)
    return 2
  return 0


if __name__ == '__main__':
  sys.exit(main())
