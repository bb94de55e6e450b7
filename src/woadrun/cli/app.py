"""Entry point of the command line, its exit codes and error output."""

from __future__ import annotations

import enum
import logging
import sys

import aiohttp
import cyclopts

import woadrun
from woadrun import errors
from woadrun.cli import demo
from woadrun.cli import experiment
from woadrun.cli import explain
from woadrun.cli import inspection
from woadrun.cli import serve
from woadrun.cli import stand_in
from woadrun.cli import table
from woadrun.cli import timeline


class ExitCode(enum.IntEnum):
  """The exit codes of all commands."""

  OK = 0
  REFUSED = 1
  USAGE = 2
  UNREACHABLE = 3
  INTERRUPTED = 130


app = cyclopts.App(
  name='woadrun',
  help='A scheduler for agent programs.\n\n'
  'Exit codes: 0 success, 1 request refused or failed, 2 invalid settings or '
  'usage, 3 no daemon reachable, 130 interrupted.',
  version=woadrun.__version__,
)
app.command(serve.serve)
app.command(serve.config)
app.command(table.table)
app.command(inspection.dump)
app.command(inspection.top)
app.command(explain.explain)
app.command(timeline.timeline)
app.command(demo.demo)
app.command(experiment.experiment)
app.command(stand_in.stand_in)
app.register_install_completion_command()


def main() -> None:
  """Runs the command in `sys.argv` and exits with its exit code."""
  sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
  """Runs one command and returns its exit code.

  Errors of the command are printed to the standard error stream.
  """
  try:
    result = app(arguments, exit_on_error=False, result_action='return_value')
    return result if isinstance(result, int) else ExitCode.OK
  except cyclopts.CycloptsError:
    # cyclopts has already printed the error.
    return ExitCode.USAGE
  except errors.FindingsError as error:
    print(error, file=sys.stderr)
    return ExitCode.USAGE
  except errors.WoadrunError as error:
    _print_error(error)
    return ExitCode.REFUSED
  except (aiohttp.ClientError, TimeoutError, OSError) as error:
    print(
      f'No answer: {error or type(error).__name__}',
      file=sys.stderr,
    )
    return ExitCode.UNREACHABLE
  except KeyboardInterrupt:
    return ExitCode.INTERRUPTED


def _print_error(error: errors.WoadrunError) -> None:
  place = f' ({error.place})' if error.place else ''
  print(f'{error.code.value}{place}: {error.message}', file=sys.stderr)
  logging.getLogger('woadrun.cli').debug('details: %s', error.details)
  for line in error.details or ():
    print(f'  {line}', file=sys.stderr)
