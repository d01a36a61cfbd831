#!/bin/bash
# Runs the formatter, the linter and all tests; ends with "N passed, N failed".
# Tests that KNOWN-RED.txt lists are run and printed, but do not fail the run.
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
jobs=$(nproc)
out=$(mktemp)
trap 'rm -f "$out"' EXIT

step() { # NAME COMMAND...: runs a command that counts as one test
	local name=$1
	shift
	if "$@" >"$out" 2>&1; then
		passed=$((passed + 1))
		echo "ok      $name"
	else
		failed=$((failed + 1))
		echo "FAILED  $name"
		tail -n 40 "$out"
	fi
}

known_red() { # NAME: succeeds if KNOWN-RED.txt lists the test
	[ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

suite() { # PROGRAM: runs a test program and counts each cmocka test
	local status=0 ok_count failed_count name
	timeout 300 "$1" >"$out" 2>&1 || status=$?
	ok_count=$(grep -c '^\[       OK \]' "$out")
	failed_count=0
	while read -r name; do
		if known_red "$name"; then
			echo "known red: $name"
		else
			failed_count=$((failed_count + 1))
		fi
	done < <(sed -n 's/^\[  FAILED  \] \([a-z_0-9]*\)$/\1/p' "$out" | sort -u)
	# The tests after a crash do not run, so a crash counts as a failure.
	if [ $status -gt 128 ] || { [ $status -ne 0 ] && [ "$(grep -c FAILED "$out")" = 0 ]; }; then
		failed_count=$((failed_count + 1))
	fi
	passed=$((passed + ok_count))
	failed=$((failed + failed_count))
	echo "$([ $failed_count = 0 ] && echo ok || echo FAILED)      $1: $ok_count passed, $failed_count failed"
	[ $failed_count = 0 ] || tail -n 60 "$out"
}

step "build" make -j "$jobs" all tests build/test/play_world
step "format" make format-check
step "lint" make lint
for page in man/*.[1-9]; do
	[ -f "$page" ] && step "$page" mandoc -T lint -W warning "$page"
done
for test in build/test/test_*; do
	[ -x "$test" ] && suite "$test"
done
step "worlds catch broken schedulers" scripts/world-caught.sh
step "test/test_ctl.sh" test/test_ctl.sh
step "test/test_side_by_side.sh" test/test_side_by_side.sh
step "build with sanitizers" make -j "$jobs" BUILD=build/san CC=clang CXX=clang++ \
	SANITIZE="-fsanitize=address,undefined -fno-sanitize=vptr -fno-sanitize-recover=undefined" \
	OPT="-O1 -g" all tests
export ASAN_OPTIONS=detect_leaks=1
for test in build/san/test/test_*; do
	[ -x "$test" ] && suite "$test"
done
if [ -d fuzz ] && ls fuzz/fuzz_*.c >/dev/null 2>&1; then
	step "fuzzers build" make -j "$jobs" fuzzers
	for fuzzer in build/fuzz/fuzz_*; do
		case $fuzzer in
		*.o | *.d) ;;
		*_broken) step "$fuzzer is caught" scripts/fuzz-caught.sh "$fuzzer" ;;
		*) step "$fuzzer" scripts/fuzz-run.sh "$fuzzer" ;;
		esac
	done
fi
echo "$passed passed, $failed failed"
[ $failed = 0 ]
