"""The `dev` script in a fresh clone."""

import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
# Replaces the system's Python: creates an environment slowly, and records it.
PYTHON = """#!/bin/sh
case "$*" in
  *fcntl*) exec "$REAL_PYTHON" "$@" ;;
  *venv*)
    echo begun >> set-ups
    rm -rf .venv
    mkdir -p .venv/bin
    printf '#!/bin/sh\\nsleep 0.3\\ntest -d .venv/bin\\n' > .venv/bin/python
    chmod +x .venv/bin/python ;;
esac
"""
TIMEOUT_SECONDS = 60


def test_concurrent_commands_create_one_environment(tmp_path):
  """Guards against each command deleting the environment of the other one.

  Both commands started to create the environment, and each cleared the one that
  the other was still installing into.
  """
  for name in ('dev', 'requirements-dev.txt'):
    shutil.copy(ROOT / name, tmp_path)
  python = tmp_path / 'python'
  python.write_text(PYTHON)
  python.chmod(0o755)
  environment = {
    **os.environ,
    'PYTHON': str(python),
    'REAL_PYTHON': sys.executable,
  }
  commands = [
    subprocess.Popen(['./dev', 'python'], cwd=tmp_path, env=environment)
    for _ in range(2)
  ]
  codes = [command.wait(TIMEOUT_SECONDS) for command in commands]
  assert codes == [0, 0]
  assert (tmp_path / 'set-ups').read_text().split() == ['begun']
