#!/bin/sh
# run-tests.sh - runs test programs, several at a time, and counts the results
#
# usage: run-tests.sh [-j JOBS] BUILD_DIR PROGRAM...
# Programs own their addresses, ports and directories, so they may run side by
# side; JOBS defaults to 1. The log of a program is BUILD_DIR/PROGRAM.log.
# A program listed in KNOWN-RED.txt as "test: NAME" may fail; its entry is
# printed. If "case: Suite.Case" lines follow, only these cases may fail, and
# the program must run to its end.
# run-tests.sh --one PROGRAM runs one program, with FP_BUILD set; used by xargs.
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

# Runs one program; prints its result in one write and leaves the verdict in
# BUILD_DIR/NAME.result.
run_one()
{
	name=$(basename "$1")
	log=$FP_BUILD/$name.log
	result=$FP_BUILD/$name.result
	start=$(date +%s)
	timeout 300 "$1" >"$log" 2>&1
	rc=$?
	took=$(($(date +%s) - start))
	if [ "$rc" -eq 0 ]; then
		echo passed >"$result"
		text="pass $name ($(grep -c '^\[       OK' "$log") cases, $took s)"
	elif excused "$name" "$rc" "$log"; then
		echo red >"$result"
		text="KNOWN RED $name ($took s)
$(grep -A4 "^test: $name\$" KNOWN-RED.txt)"
	else
		echo failed >"$result"
		text="FAIL $name ($took s)
$(tail -40 "$log")"
	fi
	printf '%s\n' "$text"
}

if [ "$1" = --one ]; then
	run_one "$2"
	exit 0
fi
jobs=1
if [ "$1" = -j ]; then
	jobs=$2
	shift 2
fi
FP_BUILD=$1
export FP_BUILD
shift
for t in "$@"; do
	rm -f "$FP_BUILD/$(basename "$t").result"
done
printf '%s\n' "$@" | xargs -P "$jobs" -n 1 sh "$0" --one
passed=0
failed=0
red=0
for t in "$@"; do
	case $(cat "$FP_BUILD/$(basename "$t").result" 2>/dev/null) in
	passed) passed=$((passed + 1)) ;;
	red) red=$((red + 1)) ;;
	*) failed=$((failed + 1)) ;;
	esac
done
echo "known red: $red"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
