#!/bin/sh
# run-fuzz.sh - builds the fuzz target and runs it
#
# usage: run-fuzz.sh RUNS [SECONDS]
# RUNS 0 only replays the corpus. New inputs stay in the build folder; copy the
# useful ones to fuzz/corpus by hand.
set -eu
runs=$1
seconds=${2:-0}
out=build-fuzz
mkdir -p $out/corpus $out/found
pkgs="apr-1 apr-util-1 msgpack jansson libxxhash libsodium"
# shellcheck disable=SC2046
clang -g -O1 -std=c17 -D_GNU_SOURCE -Isrc -I. \
	-fsanitize=fuzzer,address,undefined -fno-sanitize-recover=undefined \
	$(pkg-config --cflags $pkgs) fuzz/fuzz_messages.c \
	src/base/*.c src/state/*.c src/protocol/pack.c src/protocol/msg_*.c \
	src/protocol/json.c src/protocol/field.c \
	platform/config.c platform/dialect.c \
	$(pkg-config --libs $pkgs) -lpthread -lm -o $out/fuzz_messages
if [ "$runs" -eq 0 ]; then
	$out/fuzz_messages -seed=1 -runs=0 fuzz/corpus
else
	$out/fuzz_messages -seed=1 -runs="$runs" -max_total_time="$seconds" \
		-max_len=8192 -artifact_prefix=$out/found/ $out/corpus \
		fuzz/corpus
fi
