#!/bin/sh
# Runs the case; 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")" || exit 2
exec ../../target/review/case-4
