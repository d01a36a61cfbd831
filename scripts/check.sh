#!/bin/bash
# Formatter, linter and all tests; ends in "N passed, N failed". Checks that
# KNOWN-RED.txt lists are run and printed, but do not fail the run.
set -u
cd "$(dirname "$0")/.."
passed=0
failed=0
jobs=$(nproc)
out=$(mktemp)
trap 'rm -f "$out"' EXIT

step() { # NAME COMMAND...: one check that counts as one test
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

known_red() { # NAME: whether KNOWN-RED.txt lists it
	[ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

suite() { # PROGRAM: counts each cmocka test
	local status=0 good bad name
	timeout 300 "$1" >"$out" 2>&1 || status=$?
	good=$(grep -c '^\[       OK \]' "$out")
	bad=0
	while read -r name; do
		if known_red "$name"; then
			echo "known red: $name"
		else
			bad=$((bad + 1))
		fi
	done < <(sed -n 's/^\[  FAILED  \] \([a-z_0-9]*\)$/\1/p' "$out" | sort -u)
	# A program that dies runs no further test, which must not look green.
	if [ $status -gt 128 ] || { [ $status -ne 0 ] && [ "$(grep -c FAILED "$out")" = 0 ]; }; then
		bad=$((bad + 1))
	fi
	passed=$((passed + good))
	failed=$((failed + bad))
	echo "$([ $bad = 0 ] && echo ok || echo FAILED)      $1: $good passed, $bad failed"
	[ $bad = 0 ] || tail -n 60 "$out"
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
