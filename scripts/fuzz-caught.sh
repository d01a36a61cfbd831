#!/bin/sh
# Succeeds if a fuzzer that is built with a fault on purpose finds that fault.
out=$(RUNS=${RUNS:-40000} "$(dirname "$0")/fuzz-run.sh" "$1" 2>&1) && {
	echo "$1: the fault was not found"
	exit 1
}
echo "$out" | grep -aq '^broken: ' || {
	echo "$out"
	exit 1
}
echo "$out" | grep -am 1 '^broken: '
