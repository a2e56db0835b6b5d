#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Writes record.txt beside this file.
command -v python3 >/dev/null || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
