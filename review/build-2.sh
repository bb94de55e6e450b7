#!/bin/sh
# Builds the stand-ins of the scripts of the second review: they are Python, run
# with the packages of `target/deps`, which the build of the deploy file fills.
# Compiled elsewhere than beside the sources, to find errors only.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for path in review/standins-2 review/[4-8]; do
  PYTHONPYCACHEPREFIX=$folder python3 -m compileall -q "$path"
done
PYTHONPATH=target/deps:review/standins-2 PYTHONPYCACHEPREFIX=$folder \
  python3 -c 'import crowd, deployment'
