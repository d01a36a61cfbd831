#!/bin/sh
# Runs a fuzzer with a fixed seed and number of runs.
exec "$1" -seed="${SEED:-1}" -runs="${RUNS:-6000}" -max_len=1200 -len_control=0 \
	-print_final_stats=0 -verbosity=0 -timeout=20 -artifact_prefix="${ARTIFACTS:-/tmp/}"
