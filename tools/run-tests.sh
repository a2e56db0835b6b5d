#!/bin/sh
# run-tests.sh - runs test programs one after another and counts the results
#
# usage: run-tests.sh BUILD_DIR PROGRAM...
# A program listed in KNOWN-RED.txt as "test: NAME" may fail; it is printed.
set -u
FP_BUILD=$1
export FP_BUILD
shift
passed=0
failed=0
red=0
for t in "$@"; do
	name=$(basename "$t")
	log=$FP_BUILD/$name.log
	if timeout 300 "$t" >"$log" 2>&1; then
		passed=$((passed + 1))
		echo "pass $name ($(grep -c '^\[       OK' "$log") cases)"
	elif grep -q "^test: $name\$" KNOWN-RED.txt 2>/dev/null; then
		red=$((red + 1))
		echo "KNOWN RED $name"
		grep -A4 "^test: $name\$" KNOWN-RED.txt
	else
		failed=$((failed + 1))
		echo "FAIL $name"
		tail -40 "$log"
	fi
done
echo "known red: $red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
