#!/usr/bin/env bash
# The stand-ins are Python modules; checks that they load with the built tree.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -B -c \
    'import sys; sys.path.insert(0, "review"); import harness'
