#!/bin/sh
# Succeeds when a fuzzer finds the fault that its broken variant has.
out=$(RUNS=${RUNS:-40000} "$(dirname "$0")/fuzz-run.sh" "$1" 2>&1) && {
	echo "$1: the fault was not found"
	exit 1
}
echo "$out" | grep -aq '^broken: ' || {
	echo "$out"
	exit 1
}
echo "$out" | grep -am 1 '^broken: '
