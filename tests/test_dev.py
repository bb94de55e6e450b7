"""The commands of a fresh clone."""

import os
import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
# Stands for the system's Python: sets an environment up slowly, and counts it.
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
SECONDS = 60


def test_two_commands_at_once_set_a_fresh_clone_up_once(tmp_path):
  """Each cleared the environment that the other one was installing into."""
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
  codes = [command.wait(SECONDS) for command in commands]
  assert codes == [0, 0]
  assert (tmp_path / 'set-ups').read_text().split() == ['begun']
