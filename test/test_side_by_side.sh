#!/bin/bash
# Two checkouts must be able to run their tests on one machine at the same time:
# runs two copies of each test program that listens on an address.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build}
bad=0
outputs=$(mktemp -d)
trap 'rm -rf "$outputs"' EXIT

twice() { # NAME COMMAND: prints the output of a copy that fails
	local copy status
	local -a pids=()
	for copy in 0 1; do
		timeout 120 "$2" >"$outputs/$copy" 2>&1 &
		pids+=($!)
	done
	for copy in 0 1; do
		wait "${pids[$copy]}"
		status=$?
		[ $status = 0 ] && continue
		echo "$1: copy $copy ended with $status beside another one"
		tail -n 20 "$outputs/$copy"
		bad=1
	done
}

for name in adapter answers config_exchange peer store; do
	twice "test_$name" "$build/test/test_$name"
done
twice "test_ctl.sh" test/test_ctl.sh
exit $bad
