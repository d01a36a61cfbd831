#!/bin/sh
# Measures what pools cost the node that owns all of them: bench-pools.sh
# [PROGRAM]
set -eu
cd "$(dirname "$0")/.."
program=${1:-build/bramley-fleetd}
for pools in 3 51 200; do
	build/bench/bench_pools $pools "$program" 2>/dev/null
done
