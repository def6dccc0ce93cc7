#!/bin/sh
# The stand-ins need the standard library only; this checks that they compile.
set -eu
cd "$(dirname "$0")"
for source in fleet.py [1-5]/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
