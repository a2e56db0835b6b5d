#!/bin/sh
# lint.sh - runs the formatter, linters and layer check; all must be clean
set -u
rc=0
files=$(git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cc')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $files || rc=1
cc=$(git ls-files --cached --others --exclude-standard 'src/*.c' 'platform/*.c')
flags="-std=c17 -D_GNU_SOURCE -Isrc -Itest -I.
$(pkg-config --cflags apr-1 apr-util-1 libmicrohttpd msgpack jansson \
	libxxhash libsodium libcurl)"
mkdir -p build-lint
echo "$cc" | xargs -P 8 -n 1 sh -c '
	clang-tidy --quiet "$@" -- '"$(echo $flags)"' 2>build-lint/err.$$ ||
	{ cat build-lint/err.$$; exit 1; }' _ || rc=1
cppcheck --quiet --std=c11 --language=c -j 6 --error-exitcode=1 \
	--enable=warning,portability --inline-suppr \
	--suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
	-Isrc -I. $cc || rc=1
python3 tools/check_layers.py || rc=1
[ $rc -eq 0 ] && echo "lint: clean"
exit $rc
