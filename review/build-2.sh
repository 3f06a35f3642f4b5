#!/bin/sh
# Checks that the scripts and stand-ins of cases 4 to 6 compile. They need the standard library only.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile review/small_fleet.py review/4/run.py review/5/run.py review/6/run.py
