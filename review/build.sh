#!/usr/bin/env bash
# The stand-ins are Python and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py */case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
