"""Builds `dist/woadrun.pyz`, a zip application made with shiv.

On its first run the file unpacks its packages into the folder that
SHIV_ROOT names; it imports them from there, without a child process.

Usage: ./dev build
"""

from __future__ import annotations

import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).parent.parent
OUTPUT = ROOT / 'dist' / 'woadrun.pyz'
SITE_PACKAGES = ROOT / 'build' / 'site'


def main() -> None:
  """Builds the zip application and prints its size."""
  shutil.rmtree(SITE_PACKAGES, ignore_errors=True)
  SITE_PACKAGES.mkdir(parents=True)
  OUTPUT.parent.mkdir(exist_ok=True)
  pip = [
    sys.executable,
    '-m',
    'pip',
    'install',
    '-qq',
    '--target',
    str(SITE_PACKAGES),
  ]
  lock = str(ROOT / 'requirements.txt')
  subprocess.run([*pip, '--require-hashes', '-r', lock], check=True)
  subprocess.run(
    [*pip, '--no-deps', '--no-build-isolation', str(ROOT)], check=True
  )
  shiv = [sys.executable, '-m', 'shiv', '--site-packages', str(SITE_PACKAGES)]
  shiv += ['--compressed', '--reproducible', '--no-modify']
  shiv += ['-p', '/usr/bin/env python3', '-e', 'woadrun.cli.app:main']
  subprocess.run([*shiv, '-o', str(OUTPUT)], check=True)
  size = OUTPUT.stat().st_size / 1e6
  print(f'{OUTPUT.relative_to(ROOT)}: {size:.1f} MB')


if __name__ == '__main__':
  main()
