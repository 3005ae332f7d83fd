#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case cannot run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
# What was sent, answered and run.
export RECORD="$PWD/review/2/record.txt"
exec python3 -B review/2/run.py
