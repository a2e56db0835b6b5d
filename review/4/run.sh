#!/bin/sh
# Runs the case; 1: the rule was broken, 0: it held, 2: it could not run.
# TROUBLE=0 leaves the disruption out; rig_trouble() reads it in the program.
cd "$(dirname "$0")" || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec ../../target/review/case-4
