#!/bin/sh
# check-build.sh - empties a build folder whose objects may not match the sources
#
# usage: check-build.sh BUILD_DIR TEXT
# TEXT names the compiler, its target and the flags. make compares modification
# times only: objects that were copied, or that another machine or an older
# checkout left, can be newer than sources that they were not built from.
#
# BUILD_DIR/.sources has the checksums of the sources of the last build. A source
# that differs and is newer than that list is an ordinary edit, which make sees.
# Anything else that differs removes objects, libraries and programs.
set -eu
dir=$1
list=$dir/.sources
mkdir -p "$dir"
new=$(mktemp "$dir/.sources-XXXXXX")
trap 'rm -f "$new"' EXIT
{
	echo "$2"
	find src platform test bench -type f \
		\( -name '*.c' -o -name '*.h' -o -name '*.cc' \) \
		-exec cksum {} + | LC_ALL=C sort -k 3
} >"$new"
cmp -s "$new" "$list" && exit 0

# Whether each difference to the list is an edit that make sees.
is_edit()
{
	[ -f "$list" ] || return 1
	[ "$(head -n 1 "$list")" = "$2" ] || return 1
	# Paths of entries that are only in the list: changed or removed files.
	LC_ALL=C sort "$list" >"$new.old"
	old=$(LC_ALL=C sort "$new" | LC_ALL=C comm -13 - "$new.old" | cut -d ' ' -f 3-)
	rm -f "$new.old"
	for f in $old; do
		[ -n "$(find "$f" -newer "$list" 2>/dev/null)" ] || return 1
	done
}

# Programs too: make does not rebuild a missing object of a program that is newer
# than its sources.
if ! is_edit "$@"; then
	find "$dir" -type f \
		\( -name '*.o' -o -name '*.a' -o -name '*.d' \) -delete
	for d in "$dir" "$dir/test"; do
		[ ! -d "$d" ] ||
			find "$d" -maxdepth 1 -type f -perm -100 -delete
	done
fi
mv "$new" "$list"
