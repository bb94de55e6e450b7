#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
# Python exits with 1 as well if an import fails.
PYTHONPATH=target/deps:review python3 -c 'import standins.case, standins.clients' || exit 2
exec env PYTHONPATH=target/deps python3 review/2/case.py
