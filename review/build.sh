#!/bin/sh
# build.sh - builds the programs of the cases into target/review/
#
# Needs the packages of deploy/system.toml only. The nodes themselves are built
# by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]; do
	[ -f "$case/case.c" ] || continue
	# shellcheck disable=SC2046
	gcc -std=gnu17 -D_GNU_SOURCE -g -O1 -Wall -Wextra -Werror -Ireview/rig \
		$(pkg-config --cflags jansson) \
		"$case/case.c" review/rig/rig.c review/rig/platform.c \
		$(pkg-config --libs jansson) -lpthread \
		-o "target/review/new"
	mv target/review/new "target/review/case-${case#review/}"
done
