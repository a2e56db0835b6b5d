#!/bin/sh
# build-3.sh - prepares the stand-ins of review/rig-3
#
# They are Python programs that need only the standard library; `make deps`
# installs python3. This checks that they can be compiled, and builds nothing.
set -eu
cd "$(dirname "$0")/.."
for f in review/rig-3/*.py review/1[1-5]/*.py; do
	[ -f "$f" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$f"
done
