#!/bin/sh
# Builds the stand-ins of the cases: they are Python, so that their byte code is
# all there is to build.  The project's own stand-ins lie in `target/deps`
# after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/woadrun ] || { echo 'First run the build of deploy/system.toml.' >&2; exit 2; }
python3 -m compileall -q review/standins review/*/*.py
python3 -m compileall -q target/deps/woadrun/platform target/deps/woadrun/standins
