#!/bin/sh
# Measures what a start costs a pool's owner, in this tree and in an earlier
# revision by turns: bench-owner.sh [REVISION] [SECONDS]
set -eu
cd "$(dirname "$0")/.."
base=${1:-9a4bc26}
seconds=${2:-4}
tree=build/owner-base
rm -rf "$tree"
mkdir -p "$tree"
git archive "$base" | tar -x -C "$tree"
cp bench/bench_owner.c bench/http_platform.c bench/http_platform.h "$tree/bench/"
make -s -j8 build/bench/bench_owner >/dev/null
make -s -j8 -C "$tree" build/bench/bench_owner >/dev/null
for turn in 1 2; do
	"$tree/build/bench/bench_owner" "$seconds" 2>/dev/null |
		sed -n "s/^workers=/revision=$base turn=$turn workers=/p"
	build/bench/bench_owner "$seconds" 2>/dev/null |
		sed -n "s/^workers=/revision=this turn=$turn workers=/p"
done
