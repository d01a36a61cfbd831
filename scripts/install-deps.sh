#!/bin/sh
# Installs the packages for the build, the tests and the benches on Debian.
set -eu
packages="gcc g++ make pkg-config libev-dev libhttp-parser-dev libprotobuf-c-dev libmicrohttpd-dev
 libcurl4-openssl-dev libglib2.0-dev libcmocka-dev libjansson-dev libxxhash-dev
 libtomlplusplus-dev clang clang-format clang-tidy libclang-rt-dev gnuplot-nox
 curl mandoc"
missing=""
for package in $packages; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
run=""
[ "$(id -u)" = 0 ] || run="sudo"
$run apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive $run apt-get install -q -y \
	--no-install-recommends $missing >/dev/null
