#!/bin/sh
# run-tests.sh - runs test programs one after another and counts the results
#
# usage: run-tests.sh BUILD_DIR PROGRAM...
# A program listed in KNOWN-RED.txt as "test: NAME" may fail; its entry is
# printed. If "case: Suite.Case" lines follow, only these cases may fail, and
# the program must run to its end.
set -u

# Whether KNOWN-RED.txt excuses program $1 with exit status $2 and log $3
excused()
{
	cases=$(awk -v t="test: $1" '
		$0 == t { on = 1; all = 1; next }
		on && /^case: / { all = 0; print $2; next }
		on { on = 0; if (all) print "*" }
		END { if (on && all) print "*" }' KNOWN-RED.txt 2>/dev/null)
	[ -n "$cases" ] || return 1
	echo "$cases" | grep -qx '\*' && return 0
	[ "$2" -eq 1 ] && grep -q '^\[==========\] .* ran\.' "$3" || return 1
	bad=$(sed -n '/^\[  FAILED  \] .* listed below:$/,$ {
		/ listed below:$/d
		s/, where .*//
		s/^\[  FAILED  \] //p
	}' "$3")
	[ -n "$bad" ] && ! echo "$bad" | grep -qvxF -e "$cases"
}

FP_BUILD=$1
export FP_BUILD
shift
passed=0
failed=0
red=0
for t in "$@"; do
	name=$(basename "$t")
	log=$FP_BUILD/$name.log
	timeout 300 "$t" >"$log" 2>&1
	rc=$?
	if [ "$rc" -eq 0 ]; then
		passed=$((passed + 1))
		echo "pass $name ($(grep -c '^\[       OK' "$log") cases)"
	elif excused "$name" "$rc" "$log"; then
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
