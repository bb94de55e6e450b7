"""A daemon that a test freezes stays frozen until the test wakes it.

Tests that freeze a daemon with SIGSTOP failed occasionally under load, since
the daemon was running: no other daemon took over, or an action that should have
been refused was executed.  When the shell that started the tests ends, their
process group is orphaned: no parent of a member is left in another group of the
session.  If a member of such a group is stopped, the kernel sends SIGHUP and
SIGCONT to all members.  Dumps of three failures show the "frozen" daemon
sleeping and answering, with no member silent; all were frozen within two
seconds before such a shell ended.
"""

import subprocess
import sys
import textwrap

import pytest

# Starts a daemon with the named starter, freezes it, and writes its state to a
# file once the shell that started this program has ended.
FREEZER = textwrap.dedent("""
  import asyncio, os, pathlib, signal, sys, time

  sys.path[:0] = sys.argv[2:]

  class Outside:
    pass

  async def begin_of_tests():
    import fleet
    found = fleet.Fleet(pathlib.Path('.'), Outside())
    node = fleet.Node(host='h', domain='d', address='a', listen='l',
                      config=pathlib.Path('missing.toml'))
    await found.start(node)
    await found.session.close()
    return node.process.pid

  async def begin_of_soak():
    from fleet_soak import daemons
    found = daemons.Daemon(number=1, domain='d', folder=pathlib.Path('.'),
                           host='127.0.0.1')
    found.link = Outside()
    found.link.address = ''
    await found.start(('127.0.0.1', 1))
    return found.process.pid

  def read_state(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return status.split('State:')[1].split()[0]

  async def main():
    pid = await {'tests': begin_of_tests, 'soak': begin_of_soak}[sys.argv[1]]()
    os.kill(pid, signal.SIGSTOP)
    pathlib.Path('frozen').touch()
    while os.getppid() == int(os.environ['SHELL_PID']):
      await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    state = read_state(pid)
    os.kill(pid, signal.SIGKILL)
    pathlib.Path('state').write_text(state)

  asyncio.run(main())
""")
# Ends as soon as the daemon is frozen, while FREEZER is still running.  Like
# `nohup`, it ignores SIGHUP so that both processes survive the hangup.
SHELL = """
trap '' HUP
export SHELL_PID=$$
"$@" > out 2>&1 &
while [ ! -e frozen ]; do sleep 0.02; done
"""
TIMEOUT_SECONDS = 30


@pytest.mark.parametrize('starter', ['tests', 'soak'])
def test_a_frozen_daemon_stays_frozen_when_the_shell_ends(tmp_path, starter):
  folders = [p for p in sys.path if p.endswith(('tests', 'bench'))]
  command = [sys.executable, '-c', FREEZER, starter, *folders]
  # The shell has a process group of its own, as under job control.
  subprocess.run(
    ['sh', '-c', SHELL, 'sh', *command],
    cwd=tmp_path,
    process_group=0,
    timeout=TIMEOUT_SECONDS,
    check=True,
  )
  subprocess.run(
    ['sh', '-c', 'while [ ! -e state ]; do sleep 0.02; done'],
    cwd=tmp_path,
    timeout=TIMEOUT_SECONDS,
    check=True,
  )
  assert (tmp_path / 'state').read_text() == 'T'
