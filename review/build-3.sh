#!/bin/sh
# Builds the stand-ins of the third review: Python files without dependencies
# beyond the standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m py_compile review/fleet3.py review/1[1-5]/check.py
