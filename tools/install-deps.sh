#!/bin/sh
# install-deps.sh - installs the Debian packages for build, tests and lint
set -eu
PACKAGES="gcc g++ make pkg-config ccache clang clang-format clang-tidy
cppcheck spin curl python3 git libclang-rt-14-dev libapr1-dev libaprutil1-dev
libmicrohttpd-dev libmsgpack-dev libjansson-dev libxxhash-dev libsodium-dev
libcurl4-openssl-dev libcpptoml-dev libgtest-dev libgmock-dev"
missing=
for p in $PACKAGES; do
	dpkg -s "$p" >/dev/null 2>&1 || missing="$missing $p"
done
[ -z "$missing" ] && exit 0
apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive apt-get install -y -q \
	--no-install-recommends $missing
