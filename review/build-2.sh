#!/bin/bash
# build-2.sh - builds what the scripts of the second review start beside the
# program of the deploy file: their stand-ins, in Python, need only be checked.
set -eu
cd "$(dirname "$0")"
python3 - rig-2/rig.py [0-9]*/case.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
PY
echo "stand-ins checked"
