#!/bin/sh
# Builds the stand-ins of the scripts of the second review: they are Python, run
# with the packages of `target/deps`, which the build of the deploy file fills.
# Compiled elsewhere than beside the sources, to find errors only.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX=$folder python3 -m compileall -q review/standins-2 \
  review/4 review/5 review/6 review/7 review/8 2>/dev/null ||
  PYTHONPYCACHEPREFIX=$folder python3 -m compileall -q review/standins-2
PYTHONPATH=target/deps:review/standins-2 PYTHONPYCACHEPREFIX=$folder \
  python3 -c 'import crowd, deployment'
